package driver

import (
	"context"
	"time"

	"hemlockmast/internal/controlgroup/failover"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/suspect"
)

// applyEffects carries out the effects of the failover machine.
func (g *group) applyEffects(effects []failover.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case failover.Fence:
			g.sendFence(e)
		case failover.Promote:
			g.record(Event{Kind: Chosen, Slot: e.Slot, Term: e.Term})
			g.attempt.startCommand(e.Slot, e.Term, g.promoteCommand(e.Term), func(st endpoint.Status) failover.Event {
				return failover.PromoteSucceeded{Slot: e.Slot, Term: e.Term, Status: st}
			})
		case failover.Follow:
			g.attempt.startCommand(e.Slot, e.Term, g.followCommand(e.Term, e.Primary), func(st endpoint.Status) failover.Event {
				return failover.FollowSucceeded{Slot: e.Slot, Term: e.Term, Status: st}
			})
		case failover.QueryStatus:
			g.attempt.startCommand(e.Slot, 0, statusCommand, func(st endpoint.Status) failover.Event {
				return failover.StatusReceived{Status: st}
			})
		case failover.AnnouncePrimary:
			g.announcePrimary(e)
		case failover.Done:
			g.record(Event{Kind: PromotionDone, Slot: e.Primary, Term: e.Term})
			g.stopAttempt()
			return
		case failover.Abort:
			g.handleAbort(e)
		case failover.RetryAt:
			g.scheduleRetry(e)
		}
	}
}

func (g *group) sendFence(e failover.Fence) {
	promoter := g.d.cfg.Promoter
	cmd := func(ctx context.Context, ctl endpoint.Controller) (endpoint.Status, error) {
		return ctl.Fence(ctx, e.Term, promoter)
	}
	g.attempt.startCommand(e.Slot, e.Term, cmd, func(st endpoint.Status) failover.Event {
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

// handleAbort records the abort. It ends the promotion if another promoter's
// primary works.
func (g *group) handleAbort(e failover.Abort) {
	g.record(Event{Kind: PromotionAborted, Term: e.Term, Reason: e.Reason})
	g.mayCancelRetry = e.Reason == failover.ReasonNoMajority
	if e.Reason == failover.ReasonOtherPrimary {
		g.stopAttempt()
		g.applySuspicionEffects(g.judge.Step(g.d.cfg.Now(), suspect.PromotionFailed{}))
	}
}

// recordAnswer records the time-line event for an endpoint's answer and notes
// the incarnation and the primary that the answer shows.
func (g *group) recordAnswer(event failover.Event) {
	switch e := event.(type) {
	case failover.FenceGranted:
		g.noteIncarnation(e.Status)
		g.record(Event{Kind: Fenced, Slot: e.Slot, Term: e.Term})
	case failover.StatusReceived:
		g.noteIncarnation(e.Status)
		g.adoptUnannouncedPrimary(e.Status)
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

// recordReport records a report whose level changed. Observers repeat their
// reports, which are not recorded again.
func (g *group) recordReport(r suspect.Report) {
	key := observedSlot{r.Observer, r.Slot}
	if g.reportedLevels[key] == r.Level {
		return
	}
	g.reportedLevels[key] = r.Level
	if r.Level == suspect.Well {
		delete(g.reportedLevels, key)
	}
	g.record(Event{Kind: Reported, Slot: r.Slot, Observer: r.Observer, Domain: r.Domain, Level: r.Level})
}

func (g *group) record(e Event) {
	e.At, e.Group = g.d.cfg.Now(), g.name
	g.d.cfg.Recorder.Record(e)
}

// noteIncarnation remembers the incarnation that the slot's endpoint reports.
func (g *group) noteIncarnation(st endpoint.Status) {
	if st.Incarnation != "" {
		g.seen[st.Slot] = st.Incarnation
	}
}

// handle brings an endpoint in line with the primary, unless a promotion is under
// way or scheduled.
func (m statusMessage) handle(g *group) {
	st := m.status
	if st.Group != g.name {
		return
	}
	g.noteIncarnation(st)
	if g.stage != idle && g.stage != following {
		return
	}
	g.adoptUnannouncedPrimary(st)
	now := g.d.cfg.Now()
	correction := g.current.CorrectionFor(st)
	if correction != failover.CorrectionNewTerm {
		delete(g.newTermNeededSince, st.Slot)
	}
	switch correction {
	case failover.CorrectionFence, failover.CorrectionFollow:
		g.correctSlot(now, st.Slot, correction)
	case failover.CorrectionNewTerm:
		g.promoteIfTermNeeded(now, st)
	}
}

// adoptUnannouncedPrimary adopts a primary of a later term, which another promoter
// promoted and may not have announced. The members of that term are not known.
// The known members are safe to use: each counts in every term from its Since on.
func (g *group) adoptUnannouncedPrimary(st endpoint.Status) {
	isWorkingPrimary := st.Role == endpoint.RolePrimary && st.FencedTerm == st.Synced.Term
	if !isWorkingPrimary || st.Synced.Term <= g.current.Term || g.stage == promoting {
		return
	}
	members := mergeMembers(g.current.Members, g.allocation.Members)
	if len(g.allocation.Members) == 0 {
		members = g.current.Members
	}
	g.record(Event{Kind: Noticed, Slot: st.Slot, Term: st.Synced.Term})
	g.stopAttempt()
	g.adoptPrimary(failover.Current{Term: st.Synced.Term, Primary: st.Slot, Members: members})
	g.d.cfg.Announcer.Announce(g.name, g.current)
}

// correctSlot makes a slot follow the primary, after fencing it at the current
// term if correction asks for that.
func (g *group) correctSlot(now time.Time, slot string, correction failover.Correction) {
	if g.stage == following || now.Sub(g.lastCorrection[slot]) < minCorrectionInterval {
		return
	}
	g.lastCorrection[slot] = now
	g.record(Event{Kind: Corrected, Slot: slot, Term: g.current.Term})
	term, follow := g.current.Term, g.followCommand(g.current.Term, g.current.Primary)
	cmd := func(ctx context.Context, ctl endpoint.Controller) (endpoint.Status, error) {
		if correction == failover.CorrectionFence {
			if _, err := ctl.Fence(ctx, term, g.d.cfg.Promoter); err != nil {
				return endpoint.Status{}, err
			}
		}
		return follow(ctx, ctl)
	}
	a := newAttempt(g)
	g.d.tasks.Go(func() error {
		defer a.cancel()
		_, _ = a.runCommand(slot, cmd) // the next status shows whether it succeeded
		return nil
	})
}

// promoteIfTermNeeded requests a promotion once a slot has needed a new term for
// newTermDelay. The primary is not suspected, so it is chosen again if no other
// log is later.
func (g *group) promoteIfTermNeeded(now time.Time, st endpoint.Status) {
	since, ok := g.newTermNeededSince[st.Slot]
	if !ok {
		g.newTermNeededSince[st.Slot] = now
		return
	}
	if g.stage != idle || now.Sub(since) < newTermDelay {
		return
	}
	g.retry, g.suspectedPrimary = failover.RetryAt{MinTerm: st.FencedTerm + 1}, ""
	g.requestPromotion()
}
