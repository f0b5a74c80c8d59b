package fleetd

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/platform/standin"
)

// Another writer announces, once and to one control daemon, an endpoint that does not exist.
func TestAnnouncementOfAnEndpointThatDoesNotExistDoesNotBlockReplacement(t *testing.T) {
	for daemon := range 3 {
		t.Run(fmt.Sprint("announced to control-", daemon), func(t *testing.T) {
			f := newFleet(t, 4, 1)
			f.publish(standin.Configuration(5, 800))
			f.querySucceeds(0, "STORE item v0")
			body := fmt.Sprintf(`{"Backend":"svc","Address":"127.0.0.1:1","Zone":"a","Slots":3,"State":"ready","DbRole":"replica","Sequence":1,"born":%d}`, f.born)
			status, _ := f.operatorRequest(daemon, "POST", standin.BeatPath("svc-9"), body)
			assert.Equal(t, status, http.StatusOK)
			for range 20 {
				f.querySucceeds(0, "FETCH item")
				time.Sleep(100 * time.Millisecond)
			}
			f.group.Nodes()[0].Set(standin.Faults{Down: true})
			replaced := standin.WaitFor(6*time.Second, func() bool {
				f.query(0, "STORE item v1")
				return f.group.Primary().ID != "svc-0"
			})
			assert.Assert(t, replaced)
			assert.Equal(t, len(f.group.Primary().Lost()), 0)
		})
	}
}

// The endpoints answer slowly, so that a check of the attempt sees no pause yet.
func TestCheckDoesNotEndAnAttemptInProgress(t *testing.T) {
	f := newFleet(t, 4, 1)
	f.publish(standin.Configuration(5, 800))
	f.querySucceeds(0, "STORE item v0")
	nodes := f.group.Nodes()
	nodes[1].Set(standin.Faults{Slow: 130 * time.Millisecond})
	nodes[2].Set(standin.Faults{Slow: 130 * time.Millisecond})
	f.mu.Lock()
	f.leaving["svc-0"] = true
	f.mu.Unlock()
	replaced := standin.WaitFor(8*time.Second, func() bool { p := f.group.Primary(); return p != nil && p.ID != "svc-0" })
	assert.Assert(t, replaced)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, line := range f.logLines {
		assert.Assert(t, !strings.Contains(line, "is superseded"), line)
	}
}

// The platform takes 600 ms for a promotion, so that checks see paused replicas meanwhile.
func TestReplacementIsNotRepeated(t *testing.T) {
	f := newFleet(t, 4, 1)
	f.promoteDelay.Store(int64(600 * time.Millisecond))
	f.publish(standin.Configuration(5, 800))
	f.querySucceeds(0, "STORE item v0")
	f.mu.Lock()
	f.leaving["svc-0"] = true
	f.mu.Unlock()
	assert.Assert(t, standin.WaitFor(8*time.Second, func() bool { p := f.group.Primary(); return p != nil && p.ID != "svc-0" }))
	time.Sleep(4 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	done := 0
	for _, line := range f.logLines {
		if strings.Contains(line, `"promotion done"`) {
			done++
		}
	}
	assert.Equal(t, done, 1)
}
