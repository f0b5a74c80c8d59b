package fleethub

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	fleetpb "hemlockmast/api/fleet"
)

type fakeState struct {
	config    *fleetpb.Configuration
	primaries []*fleetpb.Primary
	endpoints []*fleetpb.Endpoint
}

func (f *fakeState) Configuration() (*fleetpb.Configuration, []byte) { return f.config, nil }
func (f *fakeState) Primaries() []*fleetpb.Primary                   { return f.primaries }
func (f *fakeState) Announcements() []*fleetpb.Endpoint              { return f.endpoints }

type fakeDaemon struct{ stale atomic.Bool }

func (f *fakeDaemon) IsCurrent() bool                          { return !f.stale.Load() }
func (f *fakeDaemon) ControlDaemons() []*fleetpb.ControlDaemon { return nil }
func (f *fakeDaemon) Leader() string                           { return "" }
func (f *fakeDaemon) FailureDomain() string                    { return "a" }

func newHub() (*Hub, *fakeState, *fakeDaemon) {
	state, daemon := &fakeState{}, &fakeDaemon{}
	return New(7, state, daemon, time.Now), state, daemon
}

func entryPoll(source, version, configuration uint64) *fleetpb.FollowRequest {
	return &fleetpb.FollowRequest{
		Daemon: "e", IsEntry: true, Source: source, Version: version, ConfigurationVersion: configuration, WaitMs: 1000,
	}
}

// leavingEndpoint returns an announcement that is not gathered with others.
func leavingEndpoint(id, address string) *fleetpb.Endpoint {
	return &fleetpb.Endpoint{
		Id: id, Service: "s", Address: address, State: fleetpb.EndpointState_ENDPOINT_STATE_LEAVING, BornMs: 1, Sequence: 1,
	}
}

func TestFollowerGetsWhatChanged(t *testing.T) {
	h, state, _ := newHub()
	state.config = &fleetpb.Configuration{Version: 3, Routes: []*fleetpb.Route{{Name: "a"}, {Name: "b"}}}
	state.primaries = []*fleetpb.Primary{{Service: "s", EndpointId: "x", Number: 1}}
	h.Refresh()
	h.Merge(leavingEndpoint("x", "1.1.1.1:1"))
	first := h.Follow(t.Context(), entryPoll(0, 0, 0))
	assert.Equal(t, len(first.Configuration.Changed.Routes), 2)
	assert.Equal(t, len(first.Primaries), 1)
	assert.Equal(t, len(first.Endpoints), 1)
	state.config = &fleetpb.Configuration{Version: 4, Routes: []*fleetpb.Route{{Name: "a", TimeoutMs: 5}, {Name: "b"}}}
	h.Refresh()
	second := h.Follow(t.Context(), entryPoll(7, first.Version, 3))
	assert.Equal(t, second.Configuration.BaseVersion, uint64(3))
	assert.Equal(t, len(second.Configuration.Changed.Routes), 1)
	assert.Equal(t, len(second.Endpoints), 0)
	// A restarted daemon has another source, so the follower receives everything.
	third := h.Follow(t.Context(), entryPoll(6, second.Version, 4))
	assert.Equal(t, len(third.Endpoints), 1)
	// A new token, which marks the start of a promotion, is sent to followers.
	state.primaries = []*fleetpb.Primary{{Service: "s", EndpointId: "x", Number: 1, Token: 2}}
	h.Refresh()
	assert.Equal(t, len(h.Follow(t.Context(), entryPoll(7, second.Version, 4)).Primaries), 1)
}

func TestWaitEndsOnChangeAndWhenNotCurrent(t *testing.T) {
	synctest.Test(t, testWaitEndsOnChangeAndWhenNotCurrent)
}

func testWaitEndsOnChangeAndWhenNotCurrent(t *testing.T) {
	h, state, daemon := newHub()
	h.Merge(leavingEndpoint("x", "1.1.1.1:1"))
	held := h.Follow(t.Context(), entryPoll(0, 0, 0)).Version
	start := time.Now()
	time.AfterFunc(30*time.Millisecond, func() { h.Merge(leavingEndpoint("y", "1.1.1.1:2")) })
	answer := h.Follow(t.Context(), entryPoll(7, held, 0))
	assert.Equal(t, answer.Endpoints[0].Id, "y")
	assert.Assert(t, time.Since(start) < 500*time.Millisecond)
	time.AfterFunc(30*time.Millisecond, func() { daemon.stale.Store(true) })
	start = time.Now()
	assert.Equal(t, h.Follow(t.Context(), entryPoll(7, answer.Version, 3)).Current, false)
	assert.Assert(t, time.Since(start) < 700*time.Millisecond)
	// A follower without a configuration waits until the daemon is current.
	time.AfterFunc(50*time.Millisecond, func() {
		state.config = &fleetpb.Configuration{Version: 3}
		daemon.stale.Store(false)
		h.Refresh()
	})
	start = time.Now()
	first := h.Follow(t.Context(), entryPoll(7, answer.Version, 0))
	assert.Equal(t, first.Current, true)
	assert.Equal(t, first.Configuration.Changed.Version, uint64(3))
	assert.Assert(t, time.Since(start) < 700*time.Millisecond)
	// A follower that polls this daemon for the first time receives the list of control
	// daemons at once.
	daemon.stale.Store(true)
	start = time.Now()
	first = h.Follow(t.Context(), entryPoll(0, 0, 0))
	assert.Equal(t, first.Current, false)
	assert.Assert(t, first.Configuration == nil)
	assert.Equal(t, first.Source, uint64(7))
	assert.Assert(t, time.Since(start) < 200*time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	daemon.stale.Store(false)
	h.Follow(ctx, entryPoll(7, answer.Version, 0))
}

func TestEntriesAreCounted(t *testing.T) {
	h, _, _ := newHub()
	h.Merge(leavingEndpoint("x", "1.1.1.1:1"))
	h.Follow(t.Context(), entryPoll(0, 0, 0))
	other := entryPoll(0, 0, 0)
	other.Daemon = "f"
	assert.Equal(t, h.Follow(t.Context(), other).Entries, uint32(2))
	peer := &fleetpb.FollowRequest{Daemon: "control"}
	// For a while, an entry that moved here is also reported by the other control daemon.
	peerAnswer := h.Follow(t.Context(), peer)
	assert.Equal(t, len(peerAnswer.EntryDaemons), 2)
	h.SetRemoteEntries("peer", []*fleetpb.EntryDaemon{{Id: 1}, {Id: 2}, peerAnswer.EntryDaemons[0]})
	assert.Equal(t, h.Follow(t.Context(), other).Entries, uint32(4))
	h.SetRemoteEntries("peer", nil)
	assert.Equal(t, h.Follow(t.Context(), other).Entries, uint32(2))
	// A control daemon that already knows the entries does not receive them again.
	peer.Source, peer.EntriesDigest = peerAnswer.Source, peerAnswer.EntriesDigest
	assert.Equal(t, len(h.Follow(t.Context(), peer).EntryDaemons), 0)
}

// TestCarriersOfEachFailureDomain checks that each entry receives the addresses at which
// entries lend connections in each failure domain, including entries that follow another
// control daemon, until they stop lending. A failure domain that did not change is left out.
func TestCarriersOfEachFailureDomain(t *testing.T) {
	h, _, _ := newHub()
	h.Merge(leavingEndpoint("x", "1.1.1.1:1"))
	poll := func(daemon, domain, carrier string, held map[string]uint64) *fleetpb.FollowResponse {
		r := entryPoll(0, 0, 0)
		r.Daemon, r.FailureDomain, r.Carrier, r.CarriersDigests = daemon, domain, carrier, held
		return h.Follow(t.Context(), r)
	}
	poll("e1", "a", "1.1.1.1:1", nil)
	poll("e2", "b", "2.2.2.2:1", nil)
	h.SetRemoteEntries("peer", []*fleetpb.EntryDaemon{{Id: 9, FailureDomain: "a", Carrier: "1.1.1.9:1"}})
	first := poll("e3", "a", "1.1.1.3:1", nil)
	assert.Equal(t, first.EntryDomains, uint32(2))
	held := make(map[string]uint64)
	var lists [][]string
	for _, d := range first.Carriers {
		held[d.FailureDomain] = d.Digest
		lists = append(lists, d.Carriers)
	}
	assert.DeepEqual(t, lists, [][]string{{"1.1.1.1:1", "1.1.1.3:1", "1.1.1.9:1"}, {"2.2.2.2:1"}})
	assert.Equal(t, len(poll("e3", "a", "1.1.1.3:1", held).Carriers), 0)
	poll("e1", "a", "", nil)
	changed := poll("e3", "a", "1.1.1.3:1", held).Carriers
	assert.Equal(t, len(changed), 1)
	assert.DeepEqual(t, changed[0].Carriers, []string{"1.1.1.3:1", "1.1.1.9:1"})
	held["a"] = changed[0].Digest
	poll("e2", "b", "", nil)
	ended := poll("e3", "a", "1.1.1.3:1", held).Carriers
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].FailureDomain, "b")
	assert.Equal(t, len(ended[0].Carriers), 0)
}

// TestFollowerWaitsUntilCurrent polls a control daemon repeatedly that has lost its
// leader, as in a network partition of the control group. The first poll is answered at
// once, later ones wait, and nothing that the follower holds is sent again.
func TestFollowerWaitsUntilCurrent(t *testing.T) {
	synctest.Test(t, testFollowerWaitsUntilCurrent)
}

func testFollowerWaitsUntilCurrent(t *testing.T) {
	h, state, daemon := newHub()
	state.config = &fleetpb.Configuration{Version: 3}
	h.Refresh()
	h.Merge(leavingEndpoint("x", "1.1.1.1:1"))
	daemon.stale.Store(true)
	start := time.Now()
	first := h.Follow(t.Context(), entryPoll(0, 0, 3))
	assert.Assert(t, time.Since(start) < 100*time.Millisecond)
	assert.Equal(t, len(first.Endpoints), 1)
	again := entryPoll(first.Source, first.Version, 3)
	again.AwaitCurrent, again.WaitMs = true, 300
	start = time.Now()
	second := h.Follow(t.Context(), again)
	assert.Assert(t, time.Since(start) >= 290*time.Millisecond)
	assert.Equal(t, len(second.Endpoints), 0)
	time.AfterFunc(50*time.Millisecond, func() { daemon.stale.Store(false); h.Wake() })
	start = time.Now()
	for !h.Follow(t.Context(), again).Current {
		assert.Assert(t, time.Since(start) < 200*time.Millisecond)
	}
}

// TestLargeConfigurationIsPackedOnce checks that two followers receive the same byte
// slice.
func TestLargeConfigurationIsPackedOnce(t *testing.T) {
	h, state, _ := newHub()
	state.config = &fleetpb.Configuration{Version: 3}
	for i := range 500 {
		state.config.Routes = append(state.config.Routes, &fleetpb.Route{Name: fmt.Sprint("r", i), Database: fmt.Sprint("d", i)})
	}
	h.Refresh()
	first, second := h.Follow(t.Context(), entryPoll(0, 0, 0)), h.Follow(t.Context(), entryPoll(0, 0, 0))
	assert.Assert(t, first.Configuration == nil)
	assert.Assert(t, &first.PackedConfiguration[0] == &second.PackedConfiguration[0])
	// A newer configuration replaces the cached update.
	state.config = &fleetpb.Configuration{Version: 4}
	h.Refresh()
	assert.Equal(t, h.Follow(t.Context(), entryPoll(0, 0, 0)).Configuration.Changed.Version, uint64(4))
}

// TestAnnouncementsAreGathered has endpoints announce themselves one after the other, as
// when the whole system starts. A follower must receive far fewer answers than there are
// announcements.
func TestAnnouncementsAreGathered(t *testing.T) { synctest.Test(t, testAnnouncementsAreGathered) }

func testAnnouncementsAreGathered(t *testing.T) {
	h, _, _ := newHub()
	h.Merge(&fleetpb.Endpoint{Id: "x", Service: "s", Address: "1.1.1.1:1", State: fleetpb.EndpointState_ENDPOINT_STATE_READY, BornMs: 1, Sequence: 1})
	const endpoints = 40
	go func() {
		for i := range endpoints {
			time.Sleep(5 * time.Millisecond)
			h.Merge(&fleetpb.Endpoint{
				Id: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprint("1.1.2.1:", 1+i), State: fleetpb.EndpointState_ENDPOINT_STATE_READY, BornMs: 1, Sequence: 1,
			})
		}
	}()
	version, polls, known := h.Follow(t.Context(), entryPoll(0, 0, 0)).Version, 0, 0
	for known < endpoints {
		answer := h.Follow(t.Context(), entryPoll(7, version, 0))
		version = answer.Version
		known += len(answer.Endpoints)
		polls++
	}
	assert.Assert(t, polls <= endpoints/5, "%d polls", polls)
	// The end of an endpoint is sent at once.
	time.AfterFunc(10*time.Millisecond, func() { h.MarkGone("e1", 0) })
	start := time.Now()
	h.Follow(t.Context(), entryPoll(7, version, 0))
	assert.Assert(t, time.Since(start) < gatherDelay)
}

// Statements reached a primary that had been leaving for too long: a control daemon that started
// since knows its age from an entry, and tells the others.
func TestHigherAgeIsPassedOn(t *testing.T) {
	h, _, _ := newHub()
	h.Merge(leavingEndpoint("x", "1.1.1.1:1"))
	first := h.Follow(t.Context(), entryPoll(0, 0, 0))
	assert.Equal(t, len(first.Leaving), 1)
	assert.Assert(t, first.Leaving[0].AgeMs < 1000)
	waiting := make(chan *fleetpb.FollowResponse)
	go func() { waiting <- h.Follow(t.Context(), entryPoll(7, first.Version, 0)) }()
	poll := entryPoll(7, first.Version, 0)
	poll.Daemon, poll.Leaving = "f", []*fleetpb.LeavingAge{{EndpointId: "x", BornMs: 1, AgeMs: 5000}, {EndpointId: "y", BornMs: 1, AgeMs: 5000}}
	h.Follow(t.Context(), poll)
	second := <-waiting
	assert.Equal(t, len(second.Leaving), 1)
	assert.Assert(t, second.Leaving[0].AgeMs >= 5000 && second.Leaving[0].AgeMs < 6000, "%v", second.Leaving)
}
