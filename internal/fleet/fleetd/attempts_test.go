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

// announceForeign announces a ready replica svc-9 of the group's service, once and to one control
// daemon, as another writer may.
func (f *fleet) announceForeign(daemon int, address string) {
	f.t.Helper()
	f.announceProcess(daemon, "svc-9", "svc", address, 1, f.born)
	for range 20 {
		f.querySucceeds(0, "FETCH item")
		time.Sleep(100 * time.Millisecond)
	}
}

// assertReplaced checks that svc-0 is replaced as the primary without a lost commit.
func (f *fleet) assertReplaced() {
	f.t.Helper()
	assert.Assert(f.t, standin.WaitFor(6*time.Second, f.isReplaced))
	assert.Equal(f.t, len(f.group.Primary().Lost()), 0)
}

// isReplaced writes an item and reports whether another endpoint than svc-0 leads.
func (f *fleet) isReplaced() bool {
	f.query(0, "STORE item v1")
	p := f.group.Primary()
	return p != nil && p.ID != "svc-0"
}

// Another writer announces an endpoint at an address where another endpoint answers.
func TestAnnouncementOfAnEndpointThatDoesNotExistDoesNotBlockReplacement(t *testing.T) {
	for daemon := range 3 {
		t.Run(fmt.Sprint("announced to control-", daemon), func(t *testing.T) {
			f := newFleet(t, 4, 1)
			f.publish(standin.Configuration(5, 800))
			f.querySucceeds(0, "STORE item v0")
			other, err := standin.Start("other", 1)
			assert.NilError(t, err)
			t.Cleanup(other.Close)
			f.announceForeign(daemon, other.Nodes()[0].Address)
			f.group.Nodes()[0].Set(standin.Faults{Down: true})
			f.assertReplaced()
		})
	}
}

// An announced endpoint whose address refuses connections may run behind a partition: it does
// not block a planned replacement, and a crashed primary is replaced once it is deregistered.
func TestEndpointThatRefusesConnections(t *testing.T) {
	t.Run("planned replacement", func(t *testing.T) {
		f := newFleet(t, 4, 1)
		f.publish(standin.Configuration(5, 800))
		f.querySucceeds(0, "STORE item v0")
		f.announceForeign(1, refusingAddress)
		f.mu.Lock()
		f.leaving["svc-0"] = true
		f.mu.Unlock()
		f.assertReplaced()
	})
	t.Run("deregistered by an operator", func(t *testing.T) {
		f := newFleet(t, 4, 1)
		f.publish(standin.Configuration(5, 800))
		f.querySucceeds(0, "STORE item v0")
		f.announceForeign(1, refusingAddress)
		status, _ := f.operatorRequest(2, "POST", standin.LeavePath("svc-9"), "")
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, standin.WaitFor(5*time.Second, func() bool { return f.logged("endpoints are covered") }))
		f.group.Nodes()[0].Set(standin.Faults{Down: true})
		f.assertReplaced()
	})
}

// refusingAddress is an address at which nothing listens.
const refusingAddress = "127.0.0.1:1"

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
