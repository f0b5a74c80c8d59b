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

// TestFaults runs three failure domains of three daemons at revision 1, causes
// a fault and publishes revision 2. Every daemon that is running and not cut
// off must run it; those named in cut must stay at 1 until the fault is over.
func TestFaults(t *testing.T) {
	cases := []struct {
		name  string
		cause func(c *cluster)
		// cut is a failure domain that cannot learn of revision 2.
		cut string
		// stale means that the relay of fd0 cannot learn of it.
		stale bool
		mend  func(c *cluster)
		gone  int
	}{
		{
			name:  "relay killed",
			cause: func(c *cluster) { c.stop(c.relay("fd0").Name) },
			gone:  1,
		},
		{
			name: "relay and the next one killed",
			cause: func(c *cluster) {
				for _, member := range spreadstate.Rank(c.members, "fd0")[:2] {
					c.stop(member.Name)
				}
			},
			gone: 2,
		},
		{
			name:  "relay frozen",
			cause: func(c *cluster) { c.net.set("*", c.relay("fd0").Addr, linkFrozen) },
		},
		{
			name:  "relay cut off from control alone",
			cause: func(c *cluster) { c.net.set(c.relay("fd0").Name, controlAddr, linkCut) },
		},
		{
			name:  "relay's link to control frozen",
			cause: func(c *cluster) { c.net.set(c.relay("fd0").Name, controlAddr, linkFrozen) },
		},
		{
			name: "stale relay that answers all the same",
			cause: func(c *cluster) {
				c.net.set(c.relay("fd0").Name, "*", linkCut)
				c.skew.Add(int64(spreadstate.UpstreamStalenessLimit + time.Second))
			},
			stale: true,
		},
		{
			name: "all of a domain cut off from control, not from other domains",
			cause: func(c *cluster) {
				for _, member := range spreadstate.Rank(c.members, "fd0") {
					c.net.set(member.Name, controlAddr, linkCut)
				}
			},
		},
		{
			name:  "domain cut off",
			cause: func(c *cluster) { c.cut("fd0", linkCut) },
			cut:   "fd0",
			mend:  func(c *cluster) { c.cut("fd0", linkUp) },
		},
		{
			name:  "domain frozen",
			cause: func(c *cluster) { c.cut("fd0", linkFrozen) },
			cut:   "fd0",
			mend:  func(c *cluster) { c.cut("fd0", linkUp) },
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
			tc.cause(c)
			c.publish()
			c.waitOutside(tc.cut, tc.stale, 2)
			if tc.cut == "" {
				return
			}
			c.checkCutOff(tc.cut)
			tc.mend(c)
			c.waitAll(2)
		})
	}
}

// cut sets the links between the domain and everything outside of it.
func (c *cluster) cut(domain string, state linkState) {
	for _, inside := range spreadstate.Rank(c.members, domain) {
		c.net.set(inside.Name, controlAddr, state)
		for _, outside := range c.members {
			if outside.FailureDomain != domain {
				c.net.set(inside.Name, outside.Addr, state)
				c.net.set(outside.Name, inside.Addr, state)
			}
		}
	}
}

// waitOutside waits for revision at all daemons but those of domain and, when
// stale is set, the relay of fd0.
func (c *cluster) waitOutside(domain string, stale bool, revision uint64) {
	c.t.Helper()
	c.wait("new revision outside of the cut", func() bool {
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

// checkCutOff looks at what a domain at revision 1 does without control.
func (c *cluster) checkCutOff(domain string) {
	c.t.Helper()
	c.skew.Add(int64(spreadstate.ConfirmationMaxAge + pollHold))
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
// domain that cannot reach control. The first serves its stored revision and
// says that it is unconfirmed; the second serves nobody.
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
	c.skew.Add(int64(spreadstate.StartupConfirmTimeout))
	assert.Equal(t, <-served, uint64(1))
	assert.Equal(t, withDisk.State().Mode, confspread.Mode_MODE_UNCONFIRMED)
	assert.Equal(t, withDisk.State().Revision, uint64(1))
	c.wait("configuration from the relay", func() bool { return without.State().Revision == 1 })
	c.skew.Add(int64(spreadstate.ConfirmationMaxAge))
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

// TestControlWithoutQuorum lets control lose its quorum: it hands out what it
// has, and confirms nothing.
func TestControlWithoutQuorum(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.publish()
	c.agreement.noQuorum.Store(true)
	c.startAll()
	c.wait("configuration", func() bool {
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
	answer, err := c.control.Current(context.Background(), &confspread.CurrentRequest{})
	assert.NilError(t, err)
	assert.Equal(t, answer.Confirmed, false)
	c.agreement.noQuorum.Store(false)
	c.waitAll(1)
}

// TestRestartAfter500Changes stops daemons with and without a disk, publishes
// 500 times, restores control from its snapshot and starts the daemons again.
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

// TestLostAnswer loses the answer to a publication and sends it again.
func TestLostAnswer(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.agreement.loseAnswers.Store(true)
	request := publishRequest("c1", 0)
	answer, err := c.control.Publish(context.Background(), request)
	assert.NilError(t, err)
	assert.Assert(t, answer.GetUnavailable() != nil)
	c.agreement.loseAnswers.Store(false)
	for range 2 {
		answer, err = c.control.Publish(context.Background(), request)
		assert.NilError(t, err)
		assert.Equal(t, answer.GetAccepted().GetRevision(), uint64(1))
	}
}

// TestRaceWithEqualNumbers publishes many changes from one revision at once.
func TestRaceWithEqualNumbers(t *testing.T) {
	c := newCluster(t, 1, 1)
	const racers = 8
	answers := make([]*confspread.PublishResponse, racers)
	var group sync.WaitGroup
	for i := range racers {
		group.Go(func() {
			id := string(rune('a' + i))
			answers[i], _ = c.control.Publish(context.Background(), publishRequest(id, 0))
		})
	}
	group.Wait()
	winner := ""
	for i, answer := range answers {
		if answer.GetAccepted() != nil {
			assert.Equal(t, winner, "", "two winners")
			winner = string(rune('a' + i))
		}
	}
	for _, answer := range answers {
		if conflict := answer.GetConflict(); conflict != nil {
			assert.Equal(t, conflict.Winner.Id, winner)
			assert.Equal(t, conflict.Winner.Author, "author of "+winner)
			assert.Equal(t, conflict.Winner.Revision, uint64(1))
			continue
		}
		assert.Assert(t, answer.GetAccepted() != nil, "%v", answer)
	}
}

// TestRefusals sends what control and daemons must refuse.
func TestRefusals(t *testing.T) {
	c := newCluster(t, 1, 1)
	d := c.start(c.members[0], nil)
	ctx := context.Background()
	bad := publishRequest("c1", 0)
	bad.Configuration.Groups[0].Slots = nil
	answer, err := c.control.Publish(ctx, bad)
	assert.NilError(t, err)
	assert.Equal(t, answer.GetInvalid().GetProblems()[0].Field, "group.slots")
	noise := publishRequest("c1", 0)
	noise.Change.Id = "\xff"
	answer, err = c.control.Publish(ctx, noise)
	assert.NilError(t, err)
	assert.Assert(t, answer.GetMalformed() != nil)
	c.agreement.noQuorum.Store(true)
	answer, err = c.control.Publish(ctx, publishRequest("c1", 0))
	assert.NilError(t, err)
	assert.Assert(t, answer.GetUnavailable() != nil)
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

// TestControlSeesRelaysOnly counts who polls control, and shows that control
// knows of every daemon all the same.
func TestControlSeesRelaysOnly(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.startAll()
	c.publish()
	c.waitAll(1)
	c.waitReported(1)
	c.net.controlPolls.Store(0)
	c.net.daemonPolls.Store(0)
	c.wait("polls", func() bool { return c.net.daemonPolls.Load() >= 27 })
	// Three relays poll as often as nine daemons do.
	assert.Assert(t, c.net.controlPolls.Load() <= 14, "%d", c.net.controlPolls.Load())
}

// TestCanceledPollEnds lets a caller go away while its poll is held.
func TestCanceledPollEnds(t *testing.T) {
	c := newCluster(t, 1, 1)
	d := c.start(c.members[0], nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, err := d.Poll(ctx, &confspread.PollRequest{HoldMs: 1000,
		From: &confspread.Member{Name: "x", FailureDomain: "fd0"}})
	assert.Assert(t, err != nil)
}

// upstreamOf returns the control process that d follows.
func upstreamOf(d *Daemon) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upstream
}

// TestPolledDaemonRelays polls a daemon that is not the relay.
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
	c.wait("control polled", func() bool { return upstreamOf(d) == controlAddr })
}

// TestRelayReturnsToControl lets a relay find control silent so often that it
// passes it over for longer than the test waits.
func TestRelayReturnsToControl(t *testing.T) {
	c := newCluster(t, 2, 1)
	d := c.start(c.members[0], nil)
	d.mu.Lock()
	for range 4 {
		d.chooser.RecordFailure(spreadstate.Target{Addr: controlAddr, Control: true}, spreadstate.FailureUnresponsive, c.now())
	}
	d.mu.Unlock()
	c.start(c.members[1], nil)
	c.publish()
	c.waitAll(1)
	c.wait("control polled", func() bool { return upstreamOf(d) == controlAddr })
}

// TestStartingDaemonIsConfirmedAtOnce polls a relay whose long poll does not
// end.
func TestStartingDaemonIsConfirmedAtOnce(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.publish()
	d := c.start(c.members[0], nil)
	c.stop(c.members[0].Name)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { d.refreshLoop(ctx) })
	answer, err := d.Poll(ctx, &confspread.PollRequest{ConfirmNow: true, HoldMs: 1000,
		From: &confspread.Member{Name: "x", FailureDomain: "fd0"}})
	cancel()
	group.Wait()
	assert.NilError(t, err)
	assert.Equal(t, answer.Confirmed, true)
	assert.Assert(t, answer.ConfirmedAgeUs <= answer.HeldUs+1)
}
