package fleetd

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/platform/standin"
)

// announceProcess announces a ready replica once and to one control daemon, as another writer may.
func (f *fleet) announceProcess(daemon int, id, service, address string, sequence int, bornMs int64) {
	f.t.Helper()
	body := fmt.Sprintf(`{"Backend":%q,"Address":%q,"Zone":"a","Version":"v1","Slots":3,"State":"ready","ColdRemainingMs":0,"DbRole":"replica","Sequence":%d,"born":%d}`,
		service, address, sequence, bornMs)
	status, _ := f.operatorRequest(daemon, "POST", standin.BeatPath(id), body)
	assert.Equal(f.t, status, http.StatusOK)
}

// writeFor writes items through both entries for a time and returns how many writes succeeded.
func (f *fleet) writeFor(d time.Duration) int {
	done := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for entry := range 2 {
			if f.serves(entry, "current", "STORE item v") {
				done++
			}
		}
	}
	return done
}

// TestAnnouncementsAtLiveAddressesLoseNoCommit guards against the loss of commits that two
// endpoints hold and answer for, after announcements of another writer at their addresses made
// control take both for ended.
func TestAnnouncementsAtLiveAddressesLoseNoCommit(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.publish(standin.Levels(5, 800, 1500, 40, "svc"))
	f.querySucceedsAt(0, "current", "STORE item v")
	nodes := f.group.Nodes()
	born := time.Now().UnixMilli()
	f.announceProcess(0, "svc-9", "svc", nodes[1].Address, 1, born)
	assert.Assert(t, f.writeFor(3*time.Second) > 0)
	nodes[2].Set(standin.Faults{Deaf: true})
	assert.Assert(t, f.writeFor(time.Second) > 0)
	f.announceProcess(0, "svc-9", "svc", nodes[0].Address, 2, born)
	f.writeFor(3 * time.Second)
	for _, n := range nodes {
		assert.Check(t, n != f.group.Primary() || len(n.Lost()) == 0, "%s lacks %d commits", n.ID, len(n.Lost()))
	}
	nodes[2].Set(standin.Faults{})
	served := standin.WaitFor(10*time.Second, func() bool {
		return f.serves(0, "current", "STORE item w") && f.serves(1, "current", "STORE item w")
	})
	assert.Assert(t, served, "the service is not served again")
	for _, p := range f.group.Promotions() {
		assert.Check(t, len(p.Missing) == 0, "promotion of %s: %d commits are missing", p.Endpoint, len(p.Missing))
	}
}
