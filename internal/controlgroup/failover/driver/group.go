package driver

import (
	"context"
	"time"

	"hemlockmast/internal/controlgroup/failover"
	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/suspect"
)

// message is an item of a group's queue. The group's goroutine calls handle.
type message interface{ handle(g *group) }

// Messages of a group's queue.
type (
	// suspicionMessage carries an observer's report or a confirmation.
	suspicionMessage struct{ event suspect.Event }
	// statusMessage carries the status of an endpoint.
	statusMessage struct{ status endpoint.Status }
	// primaryMessage carries a primary that the driver's user learned of.
	primaryMessage struct{ current failover.Current }
	// allocationMessage is the answer to the request for a term.
	allocationMessage struct {
		Allocation
		err error
	}
	// attemptMessage carries an endpoint's answer to the attempt in progress.
	attemptMessage struct{ event failover.Event }
)

// stage is the progress of a group's promotion.
type stage uint8

const (
	// idle means that no promotion is requested.
	idle stage = iota
	// queued means that the group waits for a permit.
	queued
	// allocating means that the group has a permit and waits for a term.
	allocating
	// promoting means that the group has a permit and an attempt runs.
	promoting
	// following means that the primary is announced and the other slots are
	// being told to follow.
	following
	// backingOff means that the next attempt is due at group.retry.At.
	backingOff
)

// observedSlot is an observer and the slot that it reports on.
type observedSlot struct{ observer, slot string }

// group is the state of one group, owned by its goroutine.
type group struct {
	d      *Driver
	name   string
	ctx    context.Context
	cancel context.CancelFunc
	queue  chan message
	// permit hands the group one of Driver.permits. It is unbuffered, so that
	// run either receives a permit or the sender releases it.
	permit chan struct{}

	current failover.Current
	judge   *suspect.Judge
	stage   stage
	machine *failover.Machine
	attempt *attempt
	// retry describes the next attempt.
	retry failover.RetryAt
	// mayCancelRetry is true while no attempt can have stopped a healthy primary.
	mayCancelRetry bool
	// suspectedPrimary is the slot that a promotion avoids; empty if the primary
	// is not suspected.
	suspectedPrimary string
	// allocation is the last allocated term and the members with it.
	allocation Allocation
	// seen holds the last incarnation that was seen in each slot.
	seen map[string]string
	// reportedLevels holds the last level of each observer and slot, except for
	// suspect.Well.
	reportedLevels map[observedSlot]suspect.Level
	// lastCorrection holds the time of the last correction of each slot.
	lastCorrection map[string]time.Time
	// newTermNeededSince holds, for each slot that only a new term brings in line,
	// when that was first seen.
	newTermNeededSince map[string]time.Time
}

func newGroup(d *Driver, name string, current failover.Current) *group {
	g := &group{
		d: d, name: name, current: current,
		queue:              make(chan message, queueLength),
		permit:             make(chan struct{}),
		judge:              suspect.NewJudge(current.Primary, d.cfg.SuspicionTiming),
		seen:               map[string]string{},
		reportedLevels:     map[observedSlot]suspect.Level{},
		lastCorrection:     map[string]time.Time{},
		newTermNeededSince: map[string]time.Time{},
	}
	g.ctx, g.cancel = context.WithCancel(d.ctx)
	return g
}

// post queues m. It blocks while the queue is full and the group runs.
func (g *group) post(m message) {
	select {
	case g.queue <- m:
	case <-g.ctx.Done():
	}
}

func (g *group) run() {
	defer g.stopAttempt()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(g.timeUntilDeadline())
		select {
		case m := <-g.queue:
			m.handle(g)
		case <-g.permit:
			g.handlePermit()
		case <-timer.C:
			g.tick()
		case <-g.ctx.Done():
			return
		}
	}
}

// timeUntilDeadline returns the time until the next deadline of the judge, the
// machine or the backoff.
func (g *group) timeUntilDeadline() time.Duration {
	next := g.d.cfg.Now().Add(time.Hour)
	if at, ok := g.judge.Deadline(); ok && at.Before(next) {
		next = at
	}
	if g.machine != nil {
		if at, ok := g.machine.Deadline(); ok && at.Before(next) {
			next = at
		}
	}
	if g.stage == backingOff && g.retry.At.Before(next) {
		next = g.retry.At
	}
	return max(0, next.Sub(g.d.cfg.Now()))
}

func (g *group) tick() {
	now := g.d.cfg.Now()
	g.applySuspicionEffects(g.judge.Step(now, suspect.Tick{}))
	if g.machine != nil {
		g.applyEffects(g.machine.Step(now, failover.Tick{}))
	}
	if g.stage == backingOff && !now.Before(g.retry.At) {
		g.retryPromotion(now)
	}
}

// retryPromotion requests the next attempt, or cancels it if no attempt can have
// stopped the primary and the primary is no longer suspected. Slots that the last
// attempt fenced are corrected when their next status arrives.
func (g *group) retryPromotion(now time.Time) {
	g.stopAttempt()
	if g.mayCancelRetry && g.suspectedPrimary != "" && !g.judge.Suspicious(now) {
		g.applySuspicionEffects(g.judge.Step(now, suspect.PromotionFailed{}))
		return
	}
	g.requestPromotion()
}

func (m suspicionMessage) handle(g *group) {
	switch e := m.event.(type) {
	case suspect.Report:
		g.recordReport(e)
	case suspect.Confirmation:
		g.record(Event{Kind: ConfirmationGiven, Slot: e.Slot, Domain: e.Domain, Level: e.Level})
	}
	g.applySuspicionEffects(g.judge.Step(g.d.cfg.Now(), m.event))
}

// applySuspicionEffects carries out the effects of the judge.
func (g *group) applySuspicionEffects(effects []suspect.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case suspect.AskConfirm:
			g.record(Event{Kind: ConfirmationAsked, Slot: e.Slot})
			g.askConfirmation(e)
		case suspect.Cleared:
			g.record(Event{Kind: SuspicionCleared, Slot: e.Slot})
		case suspect.Promote:
			g.retry, g.suspectedPrimary, g.mayCancelRetry = failover.RetryAt{}, e.Slot, true
			g.requestPromotion()
		}
	}
}

// askConfirmation asks another failure domain for a confirmation in the
// background.
func (g *group) askConfirmation(ask suspect.AskConfirm) {
	g.d.tasks.Go(func() error {
		ctx, cancel := context.WithTimeout(g.ctx, g.d.cfg.SuspicionTiming.Confirm)
		defer cancel()
		if answer, err := g.d.cfg.Confirmer.Confirm(ctx, g.name, ask); err == nil {
			g.post(suspicionMessage{answer})
		}
		return nil
	})
}

// requestPromotion queues for a promotion permit, unless the group already waits
// for one or has one.
func (g *group) requestPromotion() {
	if g.stage != idle && g.stage != following && g.stage != backingOff {
		return
	}
	g.stopAttempt()
	g.stage = queued
	g.d.tasks.Go(func() error {
		select {
		case g.d.permits <- struct{}{}:
			select {
			case g.permit <- struct{}{}:
			case <-g.ctx.Done():
				<-g.d.permits
			}
		case <-g.ctx.Done():
		}
		return nil
	})
}

// handlePermit uses a permit that the group received, or releases it if the group
// no longer waits for one.
func (g *group) handlePermit() {
	if g.stage != queued {
		<-g.d.permits
		return
	}
	g.stage = allocating
	g.allocateTerm()
}

// allocateTerm requests a term in the background.
func (g *group) allocateTerm() {
	atLeast := max(g.current.Term+1, g.retry.MinTerm)
	seen := g.seenIncarnations()
	g.d.tasks.Go(func() error {
		ctx, cancel := context.WithTimeout(g.ctx, g.d.cfg.PromotionTiming.Fence)
		defer cancel()
		a, err := g.d.cfg.Terms.Allocate(ctx, g.name, atLeast, seen)
		g.post(allocationMessage{a, err})
		return nil
	})
}

// seenIncarnations lists the last seen incarnation of each member.
func (g *group) seenIncarnations() []Seen {
	var seen []Seen
	for _, m := range g.current.Members {
		if incarnation := g.seen[m.Slot]; incarnation != "" {
			seen = append(seen, Seen{Slot: m.Slot, Incarnation: incarnation})
		}
	}
	return seen
}

func (m allocationMessage) handle(g *group) {
	if g.stage != allocating {
		return
	}
	now := g.d.cfg.Now()
	if m.err != nil {
		g.record(Event{Kind: NoTerm})
		g.scheduleRetry(failover.RetryAt{At: now.Add(g.d.cfg.PromotionTiming.BackoffCap), MinTerm: g.retry.MinTerm, FailedAttempts: g.retry.FailedAttempts})
		return
	}
	g.startAttempt(now, m.Allocation)
}

// startAttempt begins an attempt at the allocated term.
func (g *group) startAttempt(now time.Time, a Allocation) {
	machine, effects, err := failover.New(failover.Config{
		Group: g.name, Promoter: g.d.cfg.Promoter, Term: a.Term, Members: a.Members,
		Avoid: g.suspectedPrimary, Prefer: g.preferredSlot(), FailedAttempts: g.retry.FailedAttempts, Timing: g.d.cfg.PromotionTiming,
	}, now)
	if err != nil {
		g.record(Event{Kind: NoTerm, Term: a.Term})
		g.scheduleRetry(failover.RetryAt{At: now.Add(g.d.cfg.PromotionTiming.BackoffCap), FailedAttempts: g.retry.FailedAttempts})
		return
	}
	g.stage, g.machine, g.attempt, g.allocation = promoting, machine, newAttempt(g), a
	g.record(Event{Kind: PromotionBegun, Slot: g.suspectedPrimary, Term: a.Term})
	g.applyEffects(effects)
}

// preferredSlot returns the primary, or "" if it is suspected.
func (g *group) preferredSlot() string {
	if g.suspectedPrimary != "" {
		return ""
	}
	return g.current.Primary
}

func (m attemptMessage) handle(g *group) {
	if g.attempt != nil {
		g.recordAnswer(m.event)
	}
	if g.machine != nil {
		g.applyEffects(g.machine.Step(g.d.cfg.Now(), m.event))
	}
}

// scheduleRetry releases the permit and waits for the time of the next attempt.
func (g *group) scheduleRetry(retry failover.RetryAt) {
	g.releasePermit()
	g.stage, g.retry = backingOff, retry
}

// releasePermit releases the permit if the stage holds one. The caller changes
// the stage.
func (g *group) releasePermit() {
	if g.stage == allocating || g.stage == promoting {
		<-g.d.permits
	}
}

// stopAttempt ends the attempt, if there is one, and returns to idle.
func (g *group) stopAttempt() {
	g.releasePermit()
	if g.attempt != nil {
		g.attempt.cancel()
	}
	g.attempt, g.machine, g.stage = nil, nil, idle
}

// announcePrimary adopts and announces the primary that this driver promoted.
func (g *group) announcePrimary(e failover.AnnouncePrimary) {
	g.record(Event{Kind: Promoted, Slot: e.Primary, Term: e.Term})
	g.releasePermit()
	g.stage = following
	g.adoptPrimary(failover.Current(e))
	g.d.cfg.Announcer.Announce(g.name, g.current)
}

// adoptPrimary makes current the group's primary and resets the suspicion.
func (g *group) adoptPrimary(current failover.Current) {
	g.current, g.retry = current, failover.RetryAt{}
	g.suspectedPrimary = ""
	clear(g.newTermNeededSince)
	g.judge.Step(g.d.cfg.Now(), suspect.PrimaryChanged{Slot: current.Primary})
}

// handle adopts a primary of a later term that another promoter promoted. For the
// current term it only merges the members.
func (m primaryMessage) handle(g *group) {
	if m.current.Term < g.current.Term {
		return
	}
	if m.current.Term == g.current.Term {
		g.current.Members = mergeMembers(g.current.Members, m.current.Members)
		return
	}
	if g.stage == promoting && g.allocation.Term > m.current.Term {
		// This attempt fences the slots at a higher term, so it continues.
		return
	}
	g.stopAttempt()
	g.adoptPrimary(m.current)
}

// mergeMembers returns the slots of new, each with its record of the later Since.
func mergeMembers(old, new []quorum.Member) []quorum.Member {
	merged := append([]quorum.Member(nil), new...)
	for i, m := range merged {
		for _, o := range old {
			if o.Slot == m.Slot && o.Since > m.Since {
				merged[i] = o
			}
		}
	}
	return merged
}
