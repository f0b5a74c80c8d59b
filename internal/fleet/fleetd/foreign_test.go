package fleetd

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/platform/standin"
)

// announceProcess announces a ready replica once and to one control daemon, as another writer may.
func (f *fleet) announceProcess(daemon int, id, service, address string, sequence int, bornMs int64) {
	f.t.Helper()
	status, _ := f.operatorRequest(daemon, "POST", standin.BeatPath(id), standin.ReplicaBeat(service, address, sequence, bornMs))
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

// announceForeigners sends a control daemon announcements of a service that is not defined, with the
// ids and at the addresses of the group's endpoints, and the odd ones that a daemon which knows
// nothing yet can refuse. It reports whether the daemon answered each.
func (f *fleet) announceForeigners(daemon int) bool {
	isAnswered := true
	send := func(id, body string) {
		status, _ := f.operatorRequest(daemon, "POST", standin.BeatPath(id), body)
		isAnswered = isAnswered && status != 0
	}
	for i, n := range f.group.Nodes() {
		foreign := func(address string) string { return standin.ReplicaBeat("other", address, 1, time.Now().UnixMilli()) }
		send(fmt.Sprint("other-", i), foreign(n.Address))
		send(n.ID, foreign("127.0.3.1:9"))
		send(n.ID, foreign(n.Address))
		for _, odd := range standin.OddBeats(n, f.born) {
			if odd.Name != "sequence far ahead" {
				send(odd.Path, odd.Body)
			}
		}
	}
	return isAnswered
}

// TestForeignAnnouncementsWithoutAConfigurationHideNoEndpoint guards against endpoints that are never
// used, because a control daemon without a configuration takes announcements of any service: before
// the first configuration, and where it replaces another daemon or starts again.
func TestForeignAnnouncementsWithoutAConfigurationHideNoEndpoint(t *testing.T) {
	f := newFleet(t, 4, 2)
	isServed := func() {
		t.Helper()
		for entry := range 2 {
			f.querySucceedsAt(entry, "current", "STORE item v")
			f.querySucceedsAt(entry, "bounded", "FETCH item")
			f.querySucceedsAt(entry, "session", "FETCH item")
		}
	}
	for daemon := range 3 {
		assert.Assert(t, standin.WaitFor(5*time.Second, func() bool { return f.announceForeigners(daemon) }))
	}
	f.publish(standin.Levels(5, 800, 1500, 40, "svc"))
	isServed()
	// A replaced daemon is empty and may not found a group.
	f.stop("control-3")
	f.start(f.controlSettings(3, false))
	assert.Assert(t, standin.WaitFor(5*time.Second, func() bool { return f.announceForeigners(3) }))
	isServed()
	for daemon := range 3 {
		f.start(f.stop(fmt.Sprint("control-", daemon)))
		assert.Assert(t, standin.WaitFor(5*time.Second, func() bool { return f.announceForeigners(daemon) }))
	}
	isServed()
	f.group.Nodes()[0].Set(standin.Faults{Down: true})
	isServed()
	for _, p := range f.group.Promotions() {
		assert.Check(t, len(p.Missing) == 0, "promotion of %s: %d commits are missing", p.Endpoint, len(p.Missing))
	}
}

// TestAnnouncementsBeforeTheConfigurationCount guards against a first configuration after which the
// endpoints are used only once they announce themselves again.
func TestAnnouncementsBeforeTheConfigurationCount(t *testing.T) {
	f := newFleet(t, 3, 1)
	n := f.group.Nodes()
	accepts := func() bool {
		status, _ := f.operatorRequest(2, "POST", standin.BeatPath(n[0].ID), n[0].Beat("a", false, 1, f.born))
		return status == http.StatusOK
	}
	assert.Assert(t, standin.WaitFor(5*time.Second, accepts))
	f.stopAnnouncing()
	f.publish(standin.Levels(5, 800, 1500, 40, "svc"))
	f.querySucceedsAt(0, "current", "STORE item v")
}

// TestClaimedEndNeedsAnAnswerAtTheAddress guards against a replica that runs and receives, and is
// recorded as covered because another writer announced its address and control does not reach it.
func TestClaimedEndNeedsAnAnswerAtTheAddress(t *testing.T) {
	f := newFleet(t, 4, 1)
	f.publish(standin.Levels(5, 800, 1500, 40, "svc"))
	f.querySucceedsAt(0, "current", "STORE item v")
	replica := f.group.Nodes()[1]
	const covered = `"endpoints are covered","daemon":"control-`
	isCovered := func() bool { return f.logged(covered) && f.logged(`"ended":["svc-1"]`) }
	replica.Set(standin.Faults{SilentTo: []string{"control-"}})
	f.announceProcess(0, "svc-9", "svc", replica.Address, 1, time.Now().UnixMilli())
	assert.Assert(t, f.writeFor(2*time.Second) > 0)
	assert.Assert(t, !isCovered())
	replica.Set(standin.Faults{})
	assert.Assert(t, standin.WaitFor(5*time.Second, func() bool { return f.logged("endpoint that counts as ended answers") }))
	assert.Assert(t, !isCovered())
	// Now another process answers there.
	f.stopAnnouncing()
	replica.Restart("svc-9")
	assert.Assert(t, standin.WaitFor(10*time.Second, isCovered))
}

// TestDeregisteredReplicaAtItsLimitIsNotCovered guards against a replica that runs and receives, and
// is recorded as covered because a deregistration named it while it had no connection left.
func TestDeregisteredReplicaAtItsLimitIsNotCovered(t *testing.T) {
	f := newFleet(t, 4, 1)
	f.publish(standin.Levels(5, 800, 1500, 40, "svc"))
	f.querySucceedsAt(0, "current", "STORE item v")
	replica := f.group.Nodes()[1]
	conn, err := net.Dial("tcp", replica.Address)
	assert.NilError(t, err)
	defer conn.Close()
	replica.Set(standin.Faults{MaxConnections: 1})
	f.stopAnnouncing()
	status, _ := f.operatorRequest(0, "POST", standin.LeavePath(replica.ID), "")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, standin.WaitFor(5*time.Second, func() bool { return f.logged("endpoint that counts as ended answers") }))
	f.writeFor(2 * time.Second)
	assert.Assert(t, !f.logged(`"ended":["svc-1"]`))
	replica.Set(standin.Faults{Down: true})
	assert.Assert(t, standin.WaitFor(10*time.Second, func() bool { return f.logged(`"ended":["svc-1"]`) }))
}

// TestDeregistrationCountsAtEachDaemon guards against an endpoint that ended and was deregistered at
// another control daemon than the one that received its announcements, and counts as running there.
func TestDeregistrationCountsAtEachDaemon(t *testing.T) {
	f := newFleet(t, 4, 1)
	f.publish(standin.Levels(5, 800, 1500, 40, "svc"))
	f.querySucceedsAt(0, "current", "STORE item v")
	// The first daemon receives further announcements, which change nothing.
	time.Sleep(4 * heartbeat)
	replica := f.group.Nodes()[1]
	replica.Set(standin.Faults{Down: true})
	time.Sleep(heartbeat)
	status, _ := f.operatorRequest(2, "POST", standin.LeavePath(replica.ID), "")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, standin.WaitFor(5*time.Second, func() bool {
		for daemon := range 4 {
			if !f.knowsEnd(daemon, replica.ID) {
				return false
			}
		}
		return true
	}))
}

// knowsEnd reports whether a control daemon logged an endpoint's end.
func (f *fleet) knowsEnd(daemon int, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.logLines, func(line string) bool {
		return strings.Contains(line, fmt.Sprintf(`"daemon":"control-%d","endpoint":%q`, daemon, id)) && strings.Contains(line, `"ENDPOINT_STATE_GONE"`)
	})
}
