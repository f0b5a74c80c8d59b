package fleetd

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/shared/stmt"
	"hemlockmast/platform"
	"hemlockmast/platform/standin"
)

func TestCrashedPrimaryIsReplaced(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.publish(standin.Configuration(5, 800))
	f.querySucceeds(0, "STORE item v0")
	f.group.Nodes()[0].Set(standin.Faults{Down: true})
	f.querySucceeds(0, "STORE item v1")
	f.querySucceeds(1, "STORE item v2")
	assert.Assert(t, f.group.Primary().ID != "svc-0")
	assert.Equal(t, len(f.group.Primary().Lost()), 0)
}

// TestEndedReplicaMayHoldTheLastCommit guards against the loss of a commit, found with the
// test scenario primary-lost-while-control-moves, seed 139129557736. The only replica that
// received a commit ends, then the primary crashes. No replica may be promoted before the
// primary is back.
func TestEndedReplicaMayHoldTheLastCommit(t *testing.T) {
	f := newFleet(t, 4, 1)
	f.publish(standin.Configuration(5, 800))
	f.querySucceeds(0, "STORE item v0")
	nodes := f.group.Nodes()
	nodes[1].Set(standin.Faults{Deaf: true})
	f.querySucceeds(0, "STORE item v1")
	status, _ := f.operatorRequest(0, "POST", standin.LeavePath(nodes[2].ID), "")
	assert.Equal(t, status, http.StatusOK)
	nodes[2].Set(standin.Faults{Down: true})
	nodes[0].Set(standin.Faults{Down: true})
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		f.query(0, "STORE item v2")
		assert.Equal(t, f.group.Primary().ID, "svc-0")
	}
	nodes[1].Set(standin.Faults{})
	nodes[0].Set(standin.Faults{})
	f.querySucceeds(0, "STORE item v3")
	assert.Equal(t, len(f.group.Primary().Lost()), 0)
}

// The primary leaves while one replica has ended and the other one receives nothing, so it
// steps down and, as no other endpoint has its log, leads again.
func TestEndedReplicaLeavesTheServiceItsPrimary(t *testing.T) {
	f := newFleet(t, 4, 1)
	f.publish(standin.Configuration(5, 800))
	f.querySucceeds(0, "STORE item v0")
	nodes := f.group.Nodes()
	nodes[1].Set(standin.Faults{Deaf: true})
	f.querySucceeds(0, "STORE item v1")
	status, _ := f.operatorRequest(0, "POST", standin.LeavePath(nodes[2].ID), "")
	assert.Equal(t, status, http.StatusOK)
	nodes[2].Set(standin.Faults{Down: true})
	f.mu.Lock()
	f.leaving["svc-0"] = true
	f.mu.Unlock()
	assert.Assert(t, standin.WaitFor(5*time.Second, func() bool { return f.logged("promotion done") }))
	nodes[1].Set(standin.Faults{})
	f.querySucceeds(0, "STORE item v2")
	assert.Equal(t, len(f.group.Primary().Lost()), 0)
}

// logged reports whether a daemon has logged text.
func (f *fleet) logged(text string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.logLines, func(line string) bool { return strings.Contains(line, text) })
}

// TestCoveredReplicaIsNotWaitedFor has a replica end while the primary and another replica
// keep running. It must not block a later promotion.
func TestCoveredReplicaIsNotWaitedFor(t *testing.T) {
	f := newFleet(t, 4, 1)
	f.publish(standin.Configuration(5, 800))
	f.querySucceeds(0, "STORE item v0")
	nodes := f.group.Nodes()
	nodes[2].Set(standin.Faults{Down: true})
	status, _ := f.operatorRequest(0, "POST", standin.LeavePath(nodes[2].ID), "")
	assert.Equal(t, status, http.StatusOK)
	time.Sleep(time.Second)
	nodes[0].Set(standin.Faults{Down: true})
	promoted := standin.WaitFor(5*time.Second, func() bool {
		f.query(0, "STORE item v1")
		return f.group.Primary().ID == "svc-1"
	})
	assert.Assert(t, promoted)
	assert.Equal(t, len(f.group.Primary().Lost()), 0)
}

// TestStalledPrimaryIsReplaced stops replication from a running primary, so that no write
// is acknowledged.
func TestStalledPrimaryIsReplaced(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.publish(standin.Configuration(5, 800))
	f.querySucceeds(0, "STORE item v0")
	f.group.Nodes()[1].Set(standin.Faults{Deaf: true})
	f.group.Nodes()[2].Set(standin.Faults{Deaf: true})
	f.querySucceeds(0, "STORE item v1")
	f.querySucceeds(1, "STORE item v2")
	assert.Assert(t, f.group.Primary().ID != "svc-0")
	assert.Equal(t, len(f.group.Primary().Lost()), 0)
}

// TestOverloadedPrimaryIsRelieved has replicas that receive everything but apply it so
// late that only the primary can answer reads, while the primary is at capacity.
func TestOverloadedPrimaryIsRelieved(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.publish(standin.Configuration(5, 800))
	f.querySucceeds(0, "STORE item v0")
	nodes := f.group.Nodes()
	nodes[1].Set(standin.Faults{Late: true, LagMs: 5000})
	nodes[2].Set(standin.Faults{Late: true, LagMs: 9000})
	f.querySucceeds(0, "STORE item v1")
	// A read may return data up to the route's staleness limit old. After that it must
	// return v1.
	time.Sleep(1600 * time.Millisecond)
	nodes[0].Set(standin.Faults{Busy: true})
	f.querySucceeds(1, "FETCH item")
	assert.Equal(t, f.query(1, "FETCH item"), "ROW v1\r\n")
	assert.Equal(t, f.group.Primary().ID, "svc-2")
	assert.Equal(t, len(f.group.Primary().Lost()), 0)
}

// TestOldAnnouncementsAfterAPromotion guards against a second promotion, found with the test
// scenario fresh-a94b on the enlarged sankofa deployment: after a promotion the endpoints
// still announce their former roles. The recorded primary must not change and no endpoint may
// be promoted again.
func TestOldAnnouncementsAfterAPromotion(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.publish(standin.Configuration(5, 800))
	f.querySucceeds(0, "STORE item v0")
	f.mu.Lock()
	f.announcedPrimaries = map[string]bool{"svc-0": true}
	f.mu.Unlock()
	nodes := f.group.Nodes()
	nodes[2].Set(standin.Faults{Late: true, LagMs: 9000})
	nodes[1].Set(standin.Faults{Late: true, LagMs: 5000})
	f.querySucceeds(0, "STORE item v1")
	time.Sleep(1600 * time.Millisecond)
	nodes[0].Set(standin.Faults{Busy: true})
	f.querySucceeds(1, "FETCH item")
	assert.Equal(t, f.group.Primary().ID, "svc-2")
	nodes[0].Set(standin.Faults{})
	for i := range 20 {
		f.querySucceeds(i%2, fmt.Sprintf("STORE item w%d", i))
		assert.Equal(t, f.group.Primary().ID, "svc-2")
		time.Sleep(100 * time.Millisecond)
	}
	assert.Equal(t, len(f.group.Primary().Lost()), 0)
	// The false claim does not prevent the replacement of a crashed primary.
	nodes[1].Set(standin.Faults{})
	nodes[2].Set(standin.Faults{Down: true})
	f.querySucceeds(0, "STORE item x")
	assert.Equal(t, len(f.group.Primary().Lost()), 0)
}

// TestPrimaryThatSteppedDown makes the primary step down without a promotion, as a control
// leader does that is lost in the middle of one. The service must have a primary again.
func TestPrimaryThatSteppedDown(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.publish(standin.Configuration(5, 800))
	f.querySucceeds(0, "STORE item v0")
	n := f.group.Nodes()[0]
	conn, err := platform.Dialer{Name: "lost-leader"}.Dial(t.Context(), stmt.Endpoint{ID: n.ID, Service: "svc", Address: n.Address})
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.StepDown(time.Now().Add(time.Second), 2)
	assert.NilError(t, err)
	assert.Assert(t, f.group.Primary() == nil)
	f.querySucceeds(1, "STORE item v1")
	assert.Equal(t, len(f.group.Primary().Lost()), 0)
}

func TestLeavingPrimaryIsReplaced(t *testing.T) {
	f := newFleet(t, 4, 1)
	f.publish(standin.Configuration(5, 800))
	f.querySucceeds(0, "STORE item v0")
	f.mu.Lock()
	f.leaving["svc-0"] = true
	f.mu.Unlock()
	replaced := standin.WaitFor(5*time.Second, func() bool { return f.group.Primary().ID != "svc-0" })
	assert.Assert(t, replaced)
	f.querySucceeds(0, "STORE item v1")
	assert.Equal(t, len(f.group.Primary().Lost()), 0)
	// The daemon that carried out the promotion counts it.
	counted := standin.WaitFor(3*time.Second, func() bool {
		for i := range 4 {
			if strings.Contains(f.metrics(fmt.Sprintf("127.0.1.%d:%d", i+1, f.port)),
				`hemlockmast_promotions_total{outcome="done",reason="leaving"} 1`) {
				return true
			}
		}
		return false
	})
	assert.Assert(t, counted)
}

// TestLateCallThatLosesACommitIsSeen has the platform carry out a call that no daemon waits for.
func TestLateCallThatLosesACommitIsSeen(t *testing.T) {
	f := newFleet(t, 4, 1)
	f.publish(standin.Configuration(5, 800))
	f.querySucceeds(0, "STORE item v0")
	f.group.Nodes()[1].Set(standin.Faults{Deaf: true})
	f.querySucceeds(0, "STORE item v1")
	assert.Equal(t, f.group.Promote("svc-1", 100), http.StatusOK)
	assert.Equal(t, len(f.group.Primary().Lost()), 1)
	isSeen := func() bool { s := f.story(); return s != nil && len(s.Missing) == 1 }
	assert.Assert(t, standin.WaitFor(5*time.Second, isSeen))
	var text strings.Builder
	assert.NilError(t, f.story().Write(&text))
	want := "MISSING: entry-0 saw 1/2 acknowledged; svc-1 leads term 2 since record 2 and began with 1/1"
	assert.Assert(t, strings.Contains(text.String(), want), text.String())
}

// TestPromotionIsToldByTheLogs guards against a story that misses a line because its message or
// a field was renamed.
func TestPromotionIsToldByTheLogs(t *testing.T) {
	f := newFleet(t, 4, 1)
	f.publish(standin.Configuration(5, 800))
	f.querySucceeds(0, "STORE item v0")
	f.group.Nodes()[0].Set(standin.Faults{Down: true})
	f.querySucceeds(0, "STORE item v1")
	var text strings.Builder
	isDone := func() bool {
		text.Reset()
		s := f.story()
		return s != nil && s.Write(&text) == nil && strings.Contains(text.String(), "done, "+f.group.Primary().ID+" replaces svc-0 (")
	}
	assert.Assert(t, standin.WaitFor(3*time.Second, isDone), text.String())
	for _, want := range []string{
		"primary does not answer", "promotion started", "order=status", "order=pause", "promotion called", "outcome=accepted",
		"new primary answers", "primary recorded", "leads term 2 with a log up to 1/1; highest position known before: 1/1",
		"lead term", "missing: none reported", "leader changed",
	} {
		assert.Assert(t, strings.Contains(text.String(), want), "%q is not in\n%s", want, text.String())
	}
	assert.Assert(t, !strings.Contains(text.String(), "CALL LEFT OPEN"), text.String())
}

// Callers lost commits: an endpoint that started while the platform promoted another one received
// what the old primary still wrote, and the old primary acknowledged that.
func TestNewcomerDuringAPromotionCostsNoAcknowledgedCommit(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.promoteDelay.Store(int64(700 * time.Millisecond))
	f.publish(standin.Configuration(5, 800))
	f.querySucceeds(0, "STORE item v0")
	nodes := f.group.Nodes()
	nodes[1].Set(standin.Faults{Deaf: true})
	nodes[2].Set(standin.Faults{Deaf: true})
	w := f.startWriters()
	assert.Assert(t, standin.WaitFor(6*time.Second, func() bool { return f.logged(`"promotion called"`) }))
	nodes[2].Set(standin.Faults{})
	nodes[2].Restart("svc-9")
	assert.Assert(t, standin.WaitFor(6*time.Second, func() bool { p := f.group.Primary(); return p != nil && p != nodes[0] }))
	nodes[1].Set(standin.Faults{})
	time.Sleep(time.Second)
	w.assertNothingLost()
}

// Callers lost commits that only an endpoint had received which started during a planned
// replacement, as the successor received nothing meanwhile.
func TestNewcomerDuringAPlannedReplacementCostsNoAcknowledgedCommit(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.promoteDelay.Store(int64(700 * time.Millisecond))
	f.publish(standin.Configuration(5, 800))
	f.querySucceeds(0, "STORE item v0")
	nodes := f.group.Nodes()
	w := f.startWriters()
	f.mu.Lock()
	f.leaving["svc-0"] = true
	f.mu.Unlock()
	assert.Assert(t, standin.WaitFor(6*time.Second, func() bool { return f.logged(`"promotion called"`) }))
	nodes[2].Restart("svc-9")
	time.Sleep(10 * time.Millisecond)
	nodes[1].Set(standin.Faults{Deaf: true})
	assert.Assert(t, standin.WaitFor(6*time.Second, func() bool { return f.group.Primary() == nodes[1] }))
	nodes[1].Set(standin.Faults{})
	time.Sleep(time.Second)
	w.assertNothingLost()
}

// writers write through both entries, each item once.
type writers struct {
	f    *fleet
	stop context.CancelFunc
	wait sync.WaitGroup
	// mu guards acknowledged, the items whose success was told.
	mu           sync.Mutex
	acknowledged []string
}

func (f *fleet) startWriters() *writers {
	ctx, stop := context.WithCancel(f.t.Context())
	w := &writers{f: f, stop: stop}
	for i := range 6 {
		w.wait.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				time.Sleep(10 * time.Millisecond)
				item := fmt.Sprintf("item-%d-%d", i, n)
				if strings.HasPrefix(f.query(i%2, "STORE "+item+" v"), "COMPLETE") {
					w.mu.Lock()
					w.acknowledged = append(w.acknowledged, item)
					w.mu.Unlock()
				}
			}
		})
	}
	return w
}

// assertNothingLost ends the writers and reads every item whose success was told.
func (w *writers) assertNothingLost() {
	w.f.t.Helper()
	w.stop()
	w.wait.Wait()
	w.f.t.Logf("%d commits acknowledged to callers, %d lost by endpoints", len(w.acknowledged), len(w.f.group.Primary().Lost()))
	for _, item := range w.acknowledged {
		line := w.f.query(0, "FETCH "+item)
		assert.Assert(w.f.t, strings.HasPrefix(line, "ROW v"), "%s: %s", item, line)
	}
}
