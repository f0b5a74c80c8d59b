package driver

import (
	"context"
	"time"

	"hemlockmast/internal/controlgroup/failover"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/suspect"
)

// carryOut does what the machine wants.
func (g *group) carryOut(effects []failover.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case failover.Fence:
			g.fence(e)
		case failover.Promote:
			g.record(Event{Kind: Chosen, Slot: e.Slot, Term: e.Term})
			g.attempt.start(e.Slot, e.Term, g.promoteCommand(e.Term), func(st endpoint.Status) failover.Event {
				return failover.PromoteSucceeded{Slot: e.Slot, Term: e.Term, Status: st}
			})
		case failover.Follow:
			g.attempt.start(e.Slot, e.Term, g.followCommand(e.Term, e.Primary), func(st endpoint.Status) failover.Event {
				return failover.FollowSucceeded{Slot: e.Slot, Term: e.Term, Status: st}
			})
		case failover.QueryStatus:
			g.attempt.start(e.Slot, 0, statusCommand, func(st endpoint.Status) failover.Event {
				return failover.StatusReceived{Status: st}
			})
		case failover.AnnouncePrimary:
			g.tell(e)
		case failover.Done:
			g.record(Event{Kind: PromotionDone, Slot: e.Primary, Term: e.Term})
			g.stopAttempt()
			return
		case failover.Abort:
			g.aborted(e)
		case failover.RetryAt:
			g.pause(e)
		}
	}
}

func (g *group) fence(e failover.Fence) {
	promoter := g.d.cfg.Promoter
	do := func(ctx context.Context, ctl endpoint.Controller) (endpoint.Status, error) {
		return ctl.Fence(ctx, e.Term, promoter)
	}
	g.attempt.start(e.Slot, e.Term, do, func(st endpoint.Status) failover.Event {
		return failover.FenceGranted{Slot: e.Slot, Term: e.Term, Status: st}
	})
}

func (g *group) promoteCommand(term uint64) command {
	return func(ctx context.Context, ctl endpoint.Controller) (endpoint.Status, error) {
		return ctl.Promote(ctx, term, g.d.cfg.Promoter)
	}
}

func (g *group) followCommand(term uint64, primary string) command {
	return func(ctx context.Context, ctl endpoint.Controller) (endpoint.Status, error) {
		addr, ok := g.d.cfg.Address(g.name, primary)
		if !ok {
			return endpoint.Status{}, &AddressError{Group: g.name, Slot: primary}
		}
		return ctl.Follow(ctx, term, addr)
	}
}

func statusCommand(ctx context.Context, ctl endpoint.Controller) (endpoint.Status, error) {
	return ctl.Status(ctx)
}

func (g *group) aborted(e failover.Abort) {
	g.record(Event{Kind: PromotionAborted, Term: e.Term, Reason: e.Reason})
	g.optional = e.Reason == failover.ReasonNoMajority
	if e.Reason == failover.ReasonOtherPrimary {
		g.stopAttempt()
		g.judged(g.judge.Step(g.d.cfg.Now(), suspect.PromotionFailed{}))
	}
}

func (g *group) recordAnswer(event failover.Event) {
	switch e := event.(type) {
	case failover.FenceGranted:
		g.noteIncarnation(e.Status)
		g.record(Event{Kind: Fenced, Slot: e.Slot, Term: e.Term})
	case failover.StatusReceived:
		g.noteIncarnation(e.Status)
		g.noticePrimary(e.Status)
	case failover.Refused:
		g.record(Event{Kind: Refused, Slot: e.Slot, Term: e.Term})
	case failover.Failed:
		if g.attempt.firstFailure(e.Slot) {
			g.record(Event{Kind: Unanswered, Slot: e.Slot, Term: e.Term})
		}
	case failover.FollowSucceeded:
		g.record(Event{Kind: Follows, Slot: e.Slot, Term: e.Term})
	}
}

// recordReport records changes only: reports are renewed all the time.
func (g *group) recordReport(r suspect.Report) {
	key := reporter{r.Observer, r.Slot}
	if g.reported[key] == r.Level {
		return
	}
	g.reported[key] = r.Level
	if r.Level == suspect.Well {
		delete(g.reported, key)
	}
	g.record(Event{Kind: Reported, Slot: r.Slot, Observer: r.Observer, Domain: r.Domain, Level: r.Level})
}

func (g *group) record(e Event) {
	e.At, e.Group = g.d.cfg.Now(), g.name
	g.d.cfg.Recorder.Record(e)
}

func (g *group) noteIncarnation(st endpoint.Status) {
	if st.Incarnation != "" {
		g.seen[st.Slot] = st.Incarnation
	}
}

// handle brings an endpoint in line with the primary.
func (m observed) handle(g *group) {
	st := m.status
	if st.Group != g.name {
		return
	}
	g.noteIncarnation(st)
	if g.stage != idle && g.stage != following {
		return
	}
	g.noticePrimary(st)
	now := g.d.cfg.Now()
	need := g.current.CorrectionFor(st)
	if need != failover.CorrectionNewTerm {
		delete(g.apart, st.Slot)
	}
	switch need {
	case failover.CorrectionFence, failover.CorrectionFollow:
		g.correct(now, st.Slot, need)
	case failover.CorrectionNewTerm:
		g.needTerm(now, st)
	}
}

// noticePrimary adopts a primary of a later term that another promoter made and
// may not have told of. The members that are known count in any term that is
// high enough.
func (g *group) noticePrimary(st endpoint.Status) {
	working := st.Role == endpoint.RolePrimary && st.FencedTerm == st.Synced.Term
	if !working || st.Synced.Term <= g.current.Term || g.stage == promoting {
		return
	}
	members := mergeMembers(g.current.Members, g.allocation.Members)
	if len(g.allocation.Members) == 0 {
		members = g.current.Members
	}
	g.record(Event{Kind: Noticed, Slot: st.Slot, Term: st.Synced.Term})
	g.stopAttempt()
	g.adopt(failover.Current{Term: st.Synced.Term, Primary: st.Slot, Members: members})
	g.d.cfg.Announcer.Announce(g.name, g.current)
}

// correct fences a slot at the current term where it must, and makes it follow.
func (g *group) correct(now time.Time, slot string, need failover.Correction) {
	if g.stage == following || now.Sub(g.corrected[slot]) < correctInterval {
		return
	}
	g.corrected[slot] = now
	g.record(Event{Kind: Corrected, Slot: slot, Term: g.current.Term})
	term, follow := g.current.Term, g.followCommand(g.current.Term, g.current.Primary)
	do := func(ctx context.Context, ctl endpoint.Controller) (endpoint.Status, error) {
		if need == failover.CorrectionFence {
			if _, err := ctl.Fence(ctx, term, g.d.cfg.Promoter); err != nil {
				return endpoint.Status{}, err
			}
		}
		return follow(ctx, ctl)
	}
	a := newAttempt(g)
	g.d.tasks.Go(func() error {
		defer a.cancel()
		_, _ = a.issue(slot, do) // seen by the next status
		return nil
	})
}

// needTerm begins a promotion once a slot has been apart for some time. The
// primary is in no doubt, so it is chosen again where its log is the latest.
func (g *group) needTerm(now time.Time, st endpoint.Status) {
	since, ok := g.apart[st.Slot]
	if !ok {
		g.apart[st.Slot] = now
		return
	}
	if g.stage != idle || now.Sub(since) < termHold {
		return
	}
	g.retry, g.suspected = failover.RetryAt{MinTerm: st.FencedTerm + 1}, ""
	g.begin()
}
