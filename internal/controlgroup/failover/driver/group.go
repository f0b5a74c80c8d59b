package driver

import (
	"context"
	"time"

	"hemlockmast/internal/controlgroup/failover"
	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/suspect"
)

// message is what a group's goroutine takes from its queue.
type message interface{ handle(g *group) }

type (
	heard    struct{ event suspect.Event }
	observed struct{ status endpoint.Status }
	known    struct{ current failover.Current }
	// allocated is the answer to the request for a term.
	allocated struct {
		Allocation
		err error
	}
	stepped struct{ event failover.Event }
)

type stage uint8

const (
	idle stage = iota
	// queued: waiting for a turn.
	queued
	// allocating: waiting for a term; has a turn.
	allocating
	// promoting: an attempt runs; has a turn.
	promoting
	// following: the primary is announced, others are being told to follow.
	following
	// pausing: the next attempt is due at group.retry.At.
	pausing
)

// reporter is an observer of a slot.
type reporter struct{ observer, slot string }

// group is the state of one group, owned by its goroutine.
type group struct {
	d      *Driver
	name   string
	ctx    context.Context
	cancel context.CancelFunc
	queue  chan message
	// turn hands the group a place among the running promotions. It is
	// unbuffered, so that a place is either taken by run or given back.
	turn chan struct{}

	current failover.Current
	judge   *suspect.Judge
	stage   stage
	machine *failover.Machine
	attempt *attempt
	retry   failover.RetryAt
	// optional is set while no attempt can have stopped a primary that is well.
	optional bool
	// suspected is the slot that a promotion avoids; empty when none is lost.
	suspected string
	// allocation is the last one.
	allocation Allocation
	// seen is the last incarnation of each slot.
	seen map[string]string
	// reported is the last level of each observer and slot.
	reported map[reporter]suspect.Level
	// corrected is when each slot was last corrected.
	corrected map[string]time.Time
	// apart is since when only a new term helps; zero if it is not so.
	apart map[string]time.Time
}

func newGroup(d *Driver, name string, current failover.Current) *group {
	g := &group{
		d: d, name: name, current: current,
		queue:     make(chan message, queueLength),
		turn:      make(chan struct{}),
		judge:     suspect.NewJudge(current.Primary, d.cfg.Suspicion),
		seen:      map[string]string{},
		reported:  map[reporter]suspect.Level{},
		corrected: map[string]time.Time{},
		apart:     map[string]time.Time{},
	}
	g.ctx, g.cancel = context.WithCancel(d.ctx)
	return g
}

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
		timer.Reset(g.untilNext())
		select {
		case m := <-g.queue:
			m.handle(g)
		case <-g.turn:
			g.takeTurn()
		case <-timer.C:
			g.tick()
		case <-g.ctx.Done():
			return
		}
	}
}

// untilNext returns the time until something is due.
func (g *group) untilNext() time.Duration {
	next := g.d.cfg.Now().Add(time.Hour)
	if at, ok := g.judge.Deadline(); ok && at.Before(next) {
		next = at
	}
	if g.machine != nil {
		if at, ok := g.machine.Deadline(); ok && at.Before(next) {
			next = at
		}
	}
	if g.stage == pausing && g.retry.At.Before(next) {
		next = g.retry.At
	}
	return max(0, next.Sub(g.d.cfg.Now()))
}

func (g *group) tick() {
	now := g.d.cfg.Now()
	g.judged(g.judge.Step(now, suspect.Tick{}))
	if g.machine != nil {
		g.carryOut(g.machine.Step(now, failover.Tick{}))
	}
	if g.stage == pausing && !now.Before(g.retry.At) {
		g.tryAgain(now)
	}
}

// tryAgain begins the next attempt, unless the primary is well after all. Slots
// that the last attempt fenced are corrected as their statuses come.
func (g *group) tryAgain(now time.Time) {
	g.stopAttempt()
	if g.optional && g.suspected != "" && !g.judge.Suspicious(now) {
		g.judged(g.judge.Step(now, suspect.PromotionFailed{}))
		return
	}
	g.begin()
}

func (m heard) handle(g *group) {
	switch e := m.event.(type) {
	case suspect.Report:
		g.recordReport(e)
	case suspect.Confirmation:
		g.record(Event{Kind: ConfirmationGiven, Slot: e.Slot, Domain: e.Domain, Level: e.Level})
	}
	g.judged(g.judge.Step(g.d.cfg.Now(), m.event))
}

func (g *group) judged(effects []suspect.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case suspect.AskConfirm:
			g.record(Event{Kind: ConfirmationAsked, Slot: e.Slot})
			g.confirm(e)
		case suspect.Cleared:
			g.record(Event{Kind: SuspicionCleared, Slot: e.Slot})
		case suspect.Promote:
			g.retry, g.suspected, g.optional = failover.RetryAt{}, e.Slot, true
			g.begin()
		}
	}
}

func (g *group) confirm(ask suspect.AskConfirm) {
	g.d.tasks.Go(func() error {
		ctx, cancel := context.WithTimeout(g.ctx, g.d.cfg.Suspicion.Confirm)
		defer cancel()
		if answer, err := g.d.cfg.Confirmer.Confirm(ctx, g.name, ask); err == nil {
			g.post(heard{answer})
		}
		return nil
	})
}

// begin waits for a turn, unless a promotion is on its way.
func (g *group) begin() {
	if g.stage != idle && g.stage != following && g.stage != pausing {
		return
	}
	g.stopAttempt()
	g.stage = queued
	g.d.tasks.Go(func() error {
		select {
		case g.d.turns <- struct{}{}:
			select {
			case g.turn <- struct{}{}:
			case <-g.ctx.Done():
				<-g.d.turns
			}
		case <-g.ctx.Done():
		}
		return nil
	})
}

func (g *group) takeTurn() {
	if g.stage != queued {
		<-g.d.turns
		return
	}
	g.stage = allocating
	g.allocate()
}

func (g *group) allocate() {
	atLeast := max(g.current.Term+1, g.retry.MinTerm)
	seen := g.seenList()
	g.d.tasks.Go(func() error {
		ctx, cancel := context.WithTimeout(g.ctx, g.d.cfg.Promotion.Fence)
		defer cancel()
		a, err := g.d.cfg.Terms.Allocate(ctx, g.name, atLeast, seen)
		g.post(allocated{a, err})
		return nil
	})
}

func (g *group) seenList() []Seen {
	var seen []Seen
	for _, m := range g.current.Members {
		if incarnation := g.seen[m.Slot]; incarnation != "" {
			seen = append(seen, Seen{Slot: m.Slot, Incarnation: incarnation})
		}
	}
	return seen
}

func (m allocated) handle(g *group) {
	if g.stage != allocating {
		return
	}
	now := g.d.cfg.Now()
	if m.err != nil {
		g.record(Event{Kind: NoTerm})
		g.pause(failover.RetryAt{At: now.Add(g.d.cfg.Promotion.BackoffCap), MinTerm: g.retry.MinTerm, FailedAttempts: g.retry.FailedAttempts})
		return
	}
	g.promote(now, m.Allocation)
}

func (g *group) promote(now time.Time, a Allocation) {
	machine, effects, err := failover.New(failover.Config{
		Group: g.name, Promoter: g.d.cfg.Promoter, Term: a.Term, Members: a.Members,
		Avoid: g.suspected, Prefer: g.preferred(), FailedAttempts: g.retry.FailedAttempts, Timing: g.d.cfg.Promotion,
	}, now)
	if err != nil {
		g.record(Event{Kind: NoTerm, Term: a.Term})
		g.pause(failover.RetryAt{At: now.Add(g.d.cfg.Promotion.BackoffCap), FailedAttempts: g.retry.FailedAttempts})
		return
	}
	g.stage, g.machine, g.attempt, g.allocation = promoting, machine, newAttempt(g), a
	g.record(Event{Kind: PromotionBegun, Slot: g.suspected, Term: a.Term})
	g.carryOut(effects)
}

// preferred is the primary where it is not suspected.
func (g *group) preferred() string {
	if g.suspected != "" {
		return ""
	}
	return g.current.Primary
}

func (m stepped) handle(g *group) {
	if g.attempt != nil {
		g.recordAnswer(m.event)
	}
	if g.machine != nil {
		g.carryOut(g.machine.Step(g.d.cfg.Now(), m.event))
	}
}

// pause gives the turn back and waits for the next attempt.
func (g *group) pause(retry failover.RetryAt) {
	g.giveBackTurn()
	g.stage, g.retry = pausing, retry
}

func (g *group) giveBackTurn() {
	if g.stage == allocating || g.stage == promoting {
		<-g.d.turns
	}
}

func (g *group) stopAttempt() {
	g.giveBackTurn()
	if g.attempt != nil {
		g.attempt.cancel()
	}
	g.attempt, g.machine, g.stage = nil, nil, idle
}

// tell takes the primary that this driver promoted.
func (g *group) tell(t failover.AnnouncePrimary) {
	g.record(Event{Kind: Promoted, Slot: t.Primary, Term: t.Term})
	g.giveBackTurn()
	g.stage = following
	g.adopt(failover.Current(t))
	g.d.cfg.Announcer.Announce(g.name, g.current)
}

func (g *group) adopt(current failover.Current) {
	g.current, g.retry = current, failover.RetryAt{}
	g.suspected = ""
	clear(g.apart)
	g.judge.Step(g.d.cfg.Now(), suspect.PrimaryChanged{Slot: current.Primary})
}

// handle takes news of a primary that another promoter made.
func (m known) handle(g *group) {
	if m.current.Term < g.current.Term {
		return
	}
	if m.current.Term == g.current.Term {
		g.current.Members = mergeMembers(g.current.Members, m.current.Members)
		return
	}
	if g.stage == promoting && g.allocation.Term > m.current.Term {
		// Slots are fenced above the term that is heard of: go on.
		return
	}
	g.stopAttempt()
	g.adopt(m.current)
}

// mergeMembers takes the newer record of each slot.
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
