package confspread

import (
	"context"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"hemlockmast/api/confspread"
	"hemlockmast/internal/configuration/spreadstate"
)

// TestFaults runs three failure domains of three daemons at revision 1, injects
// a fault and publishes revision 2. Every daemon that is running and not cut off
// must run it. The daemons of the domain cut must stay at revision 1 until the
// fault is healed.
func TestFaults(t *testing.T) {
	cases := []struct {
		name   string
		inject func(c *cluster)
		// cut is a failure domain that cannot learn of revision 2.
		cut string
		// stale means that the relay of fd0 cannot learn of revision 2.
		stale bool
		heal  func(c *cluster)
		gone  int
	}{
		{
			name:   "relay killed",
			inject: func(c *cluster) { c.stop(c.relay("fd0").Name) },
			gone:   1,
		},
		{
			name: "relay and the next one killed",
			inject: func(c *cluster) {
				for _, member := range spreadstate.Rank(c.members, "fd0")[:2] {
					c.stop(member.Name)
				}
			},
			gone: 2,
		},
		{
			name:   "relay frozen",
			inject: func(c *cluster) { c.net.setLink("*", c.relay("fd0").Addr, linkFrozen) },
		},
		{
			name:   "relay cut off from control alone",
			inject: func(c *cluster) { c.net.setLink(c.relay("fd0").Name, controlAddr, linkCut) },
		},
		{
			name:   "relay's link to control frozen",
			inject: func(c *cluster) { c.net.setLink(c.relay("fd0").Name, controlAddr, linkFrozen) },
		},
		{
			name: "relay stale but still answering",
			inject: func(c *cluster) {
				c.net.setLink(c.relay("fd0").Name, "*", linkCut)
				c.clockOffset.Add(int64(spreadstate.UpstreamStalenessLimit + time.Second))
			},
			stale: true,
		},
		{
			name: "domain cut off from control but not from other domains",
			inject: func(c *cluster) {
				for _, member := range spreadstate.Rank(c.members, "fd0") {
					c.net.setLink(member.Name, controlAddr, linkCut)
				}
			},
		},
		{
			name:   "domain cut off",
			inject: func(c *cluster) { c.cut("fd0", linkCut) },
			cut:    "fd0",
			heal:   func(c *cluster) { c.cut("fd0", linkUp) },
		},
		{
			name:   "domain frozen",
			inject: func(c *cluster) { c.cut("fd0", linkFrozen) },
			cut:    "fd0",
			heal:   func(c *cluster) { c.cut("fd0", linkUp) },
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3, 3)
			c.startAll()
			c.publish()
			c.waitAll(1)
			c.waitReported(1)
			tc.inject(c)
			c.publish()
			c.waitOutside(tc.cut, tc.stale, 2)
			if tc.cut == "" {
				return
			}
			c.checkCutOff(tc.cut)
			tc.heal(c)
			c.waitAll(2)
		})
	}
}

// cut sets the state of the links between the domain and everything outside it.
func (c *cluster) cut(domain string, state linkState) {
	for _, inside := range spreadstate.Rank(c.members, domain) {
		c.net.setLink(inside.Name, controlAddr, state)
		for _, outside := range c.members {
			if outside.FailureDomain != domain {
				c.net.setLink(inside.Name, outside.Addr, state)
				c.net.setLink(outside.Name, inside.Addr, state)
			}
		}
	}
}

// waitOutside waits until all daemons run revision and are confirmed, except
// those of domain and, when stale is set, the relay of fd0.
func (c *cluster) waitOutside(domain string, stale bool, revision uint64) {
	c.t.Helper()
	c.waitFor("new revision outside the cut domain", func() bool {
		for name, d := range c.daemons {
			if d.opts.Self.FailureDomain == domain || stale && name == c.relay("fd0").Name {
				continue
			}
			state := d.State()
			if state.Revision != revision || state.Mode != confspread.Mode_MODE_CONFIRMED {
				return false
			}
		}
		return true
	})
}

// checkCutOff checks that the daemons of a domain without control stay at
// revision 1 as unconfirmed, and that control shows them as unreachable.
func (c *cluster) checkCutOff(domain string) {
	c.t.Helper()
	c.clockOffset.Add(int64(spreadstate.ConfirmationMaxAge + pollHold))
	for _, member := range spreadstate.Rank(c.members, domain) {
		state := c.daemons[member.Name].State()
		assert.Equal(c.t, state.Revision, uint64(1))
		assert.Equal(c.t, state.Mode, confspread.Mode_MODE_UNCONFIRMED)
	}
	status, err := c.control.Status(context.Background(), &confspread.StatusRequest{})
	assert.NilError(c.t, err)
	for _, d := range status.Domains {
		if d.FailureDomain != domain {
			continue
		}
		for _, member := range d.Members {
			assert.Equal(c.t, member.Reachable, false)
			assert.Equal(c.t, member.Revision, uint64(1))
		}
	}
}

// TestRestartInCutOffDomain restarts a daemon with a disk and one without in a
// domain that cannot reach control. The first must serve its stored revision as
// unconfirmed; the second must serve no callers.
func TestRestartInCutOffDomain(t *testing.T) {
	c := newCluster(t, 2, 3)
	store := NewStore(t.TempDir())
	inside := spreadstate.Rank(c.members, "fd0")
	for _, member := range c.members {
		s := store
		if member.Name != inside[1].Name {
			s = nil
		}
		c.start(member, s)
	}
	c.publish()
	c.waitAll(1)
	c.cut("fd0", linkCut)
	c.stop(inside[1].Name)
	c.stop(inside[2].Name)
	withDisk, without := c.start(inside[1], store), c.start(inside[2], nil)
	assert.Equal(t, withDisk.State().Mode, confspread.Mode_MODE_STARTING)
	assert.Assert(t, !isServing(withDisk))
	served := make(chan uint64, 1)
	go func() {
		cfg, _ := withDisk.Next(context.Background(), 0)
		served <- cfg.GetRevision()
	}()
	c.clockOffset.Add(int64(spreadstate.StartupConfirmTimeout))
	assert.Equal(t, <-served, uint64(1))
	assert.Equal(t, withDisk.State().Mode, confspread.Mode_MODE_UNCONFIRMED)
	assert.Equal(t, withDisk.State().Revision, uint64(1))
	c.waitFor("configuration from the relay", func() bool { return without.State().Revision == 1 })
	c.clockOffset.Add(int64(spreadstate.ConfirmationMaxAge))
	assert.Equal(t, without.State().Mode, confspread.Mode_MODE_STARTING)
	assert.Assert(t, !isServing(without))
	c.publish()
	c.cut("fd0", linkUp)
	cfg, err := without.Next(context.Background(), 0)
	assert.NilError(t, err)
	assert.Equal(t, cfg.GetRevision(), uint64(2))
	c.waitAll(2)
}

// isServing reports whether d may serve callers now.
func isServing(d *Daemon) bool {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := d.Next(ctx, 0)
	return err == nil
}

// TestControlWithoutQuorum starts daemons while control has no quorum. Control
// must send its configuration without confirming it.
func TestControlWithoutQuorum(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.publish()
	c.agreement.noQuorum.Store(true)
	c.startAll()
	c.waitFor("configuration", func() bool {
		for _, d := range c.daemons {
			if d.State().Revision != 1 {
				return false
			}
		}
		return true
	})
	for _, d := range c.daemons {
		assert.Equal(t, d.State().Mode, confspread.Mode_MODE_STARTING)
	}
	response, err := c.control.Current(context.Background(), &confspread.CurrentRequest{})
	assert.NilError(t, err)
	assert.Equal(t, response.Confirmed, false)
	c.agreement.noQuorum.Store(false)
	c.waitAll(1)
}

// TestRestartAfter500Changes stops daemons with and without a disk, publishes
// 500 times, restores control from its snapshot and starts the daemons again.
// All must run the latest revision and have stored it.
func TestRestartAfter500Changes(t *testing.T) {
	const changes = 500
	c := newCluster(t, 2, 2)
	stores := make(map[string]*Store)
	for i, member := range c.members {
		if i%2 == 0 {
			stores[member.Name] = NewStore(t.TempDir())
		}
		c.start(member, stores[member.Name])
	}
	c.publish()
	c.waitAll(1)
	stopped := c.members[:3]
	for _, member := range stopped {
		c.stop(member.Name)
	}
	last := uint64(1)
	for range changes {
		last = c.publish()
	}
	c.waitAll(last)
	state, err := c.agreement.state.Snapshot()
	assert.NilError(t, err)
	assert.NilError(t, c.agreement.state.Restore(state))
	for _, member := range stopped {
		c.start(member, stores[member.Name])
	}
	last = c.publish()
	c.waitAll(last)
	want, _, _ := c.agreement.state.current()
	for name, d := range c.daemons {
		assert.Assert(t, proto.Equal(d.Configuration(), want), name)
	}
	for _, store := range stores {
		stored, err := store.Load()
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(stored, want))
	}
}

// TestLostAnswer loses the result of a publication and resends it twice. Each
// resend must get the first result.
func TestLostAnswer(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.agreement.loseResults.Store(true)
	request := publishRequest("c1", 0)
	response, err := c.control.Publish(context.Background(), request)
	assert.NilError(t, err)
	assert.Assert(t, response.GetUnavailable() != nil)
	c.agreement.loseResults.Store(false)
	for range 2 {
		response, err = c.control.Publish(context.Background(), request)
		assert.NilError(t, err)
		assert.Equal(t, response.GetAccepted().GetRevision(), uint64(1))
	}
}

// TestConcurrentChangesFromOneRevision publishes many changes from one base
// revision at once. One must win, and the others must be conflicts that name it.
func TestConcurrentChangesFromOneRevision(t *testing.T) {
	c := newCluster(t, 1, 1)
	const publishers = 8
	responses := make([]*confspread.PublishResponse, publishers)
	var group sync.WaitGroup
	for i := range publishers {
		group.Go(func() {
			id := string(rune('a' + i))
			responses[i], _ = c.control.Publish(context.Background(), publishRequest(id, 0))
		})
	}
	group.Wait()
	winner := ""
	for i, response := range responses {
		if response.GetAccepted() != nil {
			assert.Equal(t, winner, "", "two winners")
			winner = string(rune('a' + i))
		}
	}
	for _, response := range responses {
		if conflict := response.GetConflict(); conflict != nil {
			assert.Equal(t, conflict.Winner.Id, winner)
			assert.Equal(t, conflict.Winner.Author, "author of "+winner)
			assert.Equal(t, conflict.Winner.Revision, uint64(1))
			continue
		}
		assert.Assert(t, response.GetAccepted() != nil, "%v", response)
	}
}

// TestRefusals sends invalid requests, which control and daemons must refuse.
func TestRefusals(t *testing.T) {
	c := newCluster(t, 1, 1)
	d := c.start(c.members[0], nil)
	ctx := context.Background()
	bad := publishRequest("c1", 0)
	bad.Configuration.Groups[0].Slots = nil
	response, err := c.control.Publish(ctx, bad)
	assert.NilError(t, err)
	assert.Equal(t, response.GetInvalid().GetProblems()[0].Field, "group.slots")
	invalidID := publishRequest("c1", 0)
	invalidID.Change.Id = "\xff"
	response, err = c.control.Publish(ctx, invalidID)
	assert.NilError(t, err)
	assert.Assert(t, response.GetMalformed() != nil)
	c.agreement.noQuorum.Store(true)
	response, err = c.control.Publish(ctx, publishRequest("c1", 0))
	assert.NilError(t, err)
	assert.Assert(t, response.GetUnavailable() != nil)
	for _, name := range []string{"", string(make([]byte, maxNameBytes+1))} {
		from := &confspread.Member{Name: name, FailureDomain: "fd0"}
		_, err = d.Poll(ctx, &confspread.PollRequest{From: from})
		assert.Assert(t, err != nil)
		_, err = c.control.Poll(ctx, &confspread.PollRequest{From: from})
		assert.Assert(t, err != nil)
		_, err = c.control.Report(ctx, &confspread.DomainReport{FailureDomain: "fd0", Relay: name})
		assert.Assert(t, err != nil)
	}
	many := &confspread.DomainReport{FailureDomain: "fd0", Relay: "r",
		Members: make([]*confspread.MemberReport, maxReportMembers+1)}
	_, err = c.control.Report(ctx, many)
	assert.Assert(t, err != nil)
}

// TestControlSeesRelaysOnly checks that only relays poll control, while reports
// still tell control about every daemon.
func TestControlSeesRelaysOnly(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.startAll()
	c.publish()
	c.waitAll(1)
	c.waitReported(1)
	c.net.controlPolls.Store(0)
	c.net.daemonPolls.Store(0)
	c.waitFor("polls", func() bool { return c.net.daemonPolls.Load() >= 27 })
	// Each daemon polls equally often, so three relays send a third as many polls
	// as the nine other daemons.
	assert.Assert(t, c.net.controlPolls.Load() <= 14, "%d", c.net.controlPolls.Load())
}

// TestCanceledPollEnds cancels a poll while it is held.
func TestCanceledPollEnds(t *testing.T) {
	c := newCluster(t, 1, 1)
	d := c.start(c.members[0], nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, err := d.Poll(ctx, &confspread.PollRequest{HoldMs: 1000,
		From: &confspread.Member{Name: "x", FailureDomain: "fd0"}})
	assert.Assert(t, err != nil)
}

// upstreamOf returns the address of the control process that d follows, or "".
func upstreamOf(d *Daemon) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.controlUpstream
}

// TestPolledDaemonRelays polls a daemon that is not the relay. It must act as a
// relay and so follow control.
func TestPolledDaemonRelays(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.startAll()
	c.publish()
	c.waitAll(1)
	d := c.daemons[spreadstate.Rank(c.members, "fd0")[2].Name]
	assert.Equal(t, upstreamOf(d), "")
	_, err := d.Poll(context.Background(), &confspread.PollRequest{
		From: &confspread.Member{Name: "x", FailureDomain: "fd0"}})
	assert.NilError(t, err)
	c.waitFor("control polled", func() bool { return upstreamOf(d) == controlAddr })
}

// TestRelayReturnsToControl records so many failures of control at a relay that
// the backoff outlasts the test's timeout. Probes must still make the relay
// follow control.
func TestRelayReturnsToControl(t *testing.T) {
	c := newCluster(t, 2, 1)
	d := c.start(c.members[0], nil)
	d.mu.Lock()
	for range 4 {
		d.selector.RecordFailure(spreadstate.Target{Addr: controlAddr, Control: true}, spreadstate.FailureUnresponsive, c.now())
	}
	d.mu.Unlock()
	c.start(c.members[1], nil)
	c.publish()
	c.waitAll(1)
	c.waitFor("control polled", func() bool { return upstreamOf(d) == controlAddr })
}

// TestStartingDaemonIsConfirmedAtOnce asks a relay for a confirmation while its
// followLoop is stopped. The refresh loop must get one.
func TestStartingDaemonIsConfirmedAtOnce(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.publish()
	d := c.start(c.members[0], nil)
	c.stop(c.members[0].Name)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { d.refreshLoop(ctx) })
	response, err := d.Poll(ctx, &confspread.PollRequest{ConfirmNow: true, HoldMs: 1000,
		From: &confspread.Member{Name: "x", FailureDomain: "fd0"}})
	cancel()
	group.Wait()
	assert.NilError(t, err)
	assert.Equal(t, response.Confirmed, true)
	assert.Assert(t, response.ConfirmedAgeUs <= response.HeldUs+1)
}
