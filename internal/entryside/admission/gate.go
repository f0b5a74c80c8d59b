package admission

import (
	"context"
	"sync"
	"time"
)

// Gate makes a Controller safe for concurrent use.
//
// mu is the only lock. While it is held, no other lock is taken and nothing
// blocks: each waiter's channel has room for its one decision.
type Gate struct {
	now func() time.Time

	mu         sync.Mutex
	controller *Controller
	nextID     WorkID
	waiters    map[WorkID]chan Decision
	budgets    map[string]*RetryBudget
}

// NewGate returns a gate that admits up to capacity work items at once; now is
// the clock.
func NewGate(now func() time.Time, capacity int, services []Service) *Gate {
	return &Gate{
		now:        now,
		controller: NewController(capacity, services),
		waiters:    make(map[WorkID]chan Decision),
		budgets:    make(map[string]*RetryBudget),
	}
}

// Permit is the right to run one work item. Only the first call of Finish or
// Abandon has an effect.
type Permit struct {
	gate *Gate
	id   WorkID
	// Waited is how long the work was queued.
	Waited time.Duration
}

// Finish reports that the work has ended.
func (p *Permit) Finish() {
	p.gate.applyEvent(func(c *Controller, now time.Time) []Decision { return c.Finish(now, p.id) })
}

// Abandon reports that the caller went away and that its work was canceled.
func (p *Permit) Abandon() {
	p.gate.applyEvent(func(c *Controller, now time.Time) []Decision { return c.Abandon(now, p.id) })
}

// Acquire waits until the work may run. It ignores the ID of w. If the work is
// refused, and thus was not run, the error is *RefusedError. If ctx ends while
// the work waits, the work counts as abandoned and the error is that of ctx.
func (g *Gate) Acquire(ctx context.Context, w Work) (*Permit, error) {
	decisions := g.arrive(&w)
	select {
	case d := <-decisions:
		return g.newPermit(d)
	default:
	}
	timer := time.NewTimer(w.Deadline.Sub(g.now()))
	defer timer.Stop()
	for {
		select {
		case d := <-decisions:
			return g.newPermit(d)
		case <-ctx.Done():
			return g.abandonWait(ctx, w.ID, decisions)
		case <-timer.C:
			g.applyEvent(func(c *Controller, now time.Time) []Decision { return c.Tick(now) })
			timer.Reset(tickInterval)
		}
	}
}

// tickInterval is the time between checks of work that waits past its deadline.
// The first check can come too early, because the timer may run ahead of the
// clock.
const tickInterval = time.Millisecond

func (g *Gate) newPermit(d Decision) (*Permit, error) {
	if d.Refused != nil {
		return nil, d.Refused
	}
	return &Permit{gate: g, id: d.ID, Waited: d.Waited}, nil
}

// arrive passes the work to the controller and returns the channel on which its
// decision will be sent.
func (g *Gate) arrive(w *Work) <-chan Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	w.ID = g.nextID
	decisions := make(chan Decision, 1)
	g.waiters[w.ID] = decisions
	g.deliver(g.controller.Arrive(g.now(), *w))
	return decisions
}

// abandonWait ends the wait for work whose context has ended. If the work was
// admitted in the meantime, its capacity is given back.
func (g *Gate) abandonWait(ctx context.Context, id WorkID, decisions <-chan Decision) (*Permit, error) {
	g.applyEvent(func(c *Controller, now time.Time) []Decision {
		delete(g.waiters, id)
		return c.Abandon(now, id)
	})
	select {
	case d := <-decisions:
		if d.Refused != nil {
			return nil, d.Refused
		}
	default:
	}
	return nil, ctx.Err()
}

func (g *Gate) applyEvent(event func(c *Controller, now time.Time) []Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(event(g.controller, g.now()))
}

// deliver sends decisions to their waiters. The caller must hold mu.
func (g *Gate) deliver(decisions []Decision) {
	for _, d := range decisions {
		if waiter, ok := g.waiters[d.ID]; ok {
			delete(g.waiters, d.ID)
			waiter <- d
		}
	}
}

// Configure replaces the limits.
func (g *Gate) Configure(capacity int, services []Service) {
	g.applyEvent(func(c *Controller, now time.Time) []Decision {
		return c.Configure(now, capacity, services)
	})
}

// Stop refuses new work; transactions in progress continue.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.Stop()
}

// Stats returns the counters of a service. ok is false for a service that was
// never configured.
func (g *Gate) Stats(service string) (stats Stats, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Stats(service)
}

// FirstTry records a first try of service in its retry budget.
func (g *Gate) FirstTry(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service).FirstTry()
}

// Retry reports whether the budget of service allows a retry, and if so charges
// it.
func (g *Gate) Retry(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(service).Retry()
}

// budget returns the retry budget of a service. Services that were never
// configured share one budget, so that names sent by callers cannot fill the
// map. The caller must hold mu.
func (g *Gate) budget(service string) *RetryBudget {
	if _, ok := g.controller.Stats(service); !ok {
		service = ""
	}
	b, ok := g.budgets[service]
	if !ok {
		b = NewRetryBudget()
		g.budgets[service] = b
	}
	return b
}
