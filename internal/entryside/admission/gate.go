package admission

import (
	"context"
	"sync"
	"time"
)

// Gate is a Controller for concurrent use.
//
// Lock order: mu is the only lock; nothing else is taken and nothing blocks
// while it is held. Each waiter's channel has room for its one effect.
type Gate struct {
	now func() time.Time

	mu      sync.Mutex
	control *Controller
	next    WorkID
	waiters map[WorkID]chan Effect
	budgets map[string]*RetryBudget
}

// NewGate returns a gate; now is the clock.
func NewGate(now func() time.Time, capacity int, services []Service) *Gate {
	return &Gate{
		now:     now,
		control: NewController(capacity, services),
		waiters: make(map[WorkID]chan Effect),
		budgets: make(map[string]*RetryBudget),
	}
}

// Permit is the right to run one piece of work. Exactly one of Finish and
// Abandon takes effect, the first one called.
type Permit struct {
	gate *Gate
	id   WorkID
	// Waited is how long the work was queued.
	Waited time.Duration
}

// Finish reports that the work is over.
func (p *Permit) Finish() {
	p.gate.event(func(c *Controller, now time.Time) []Effect { return c.Finish(now, p.id) })
}

// Abandon reports that the caller went away and its work was cancelled.
func (p *Permit) Abandon() {
	p.gate.event(func(c *Controller, now time.Time) []Effect { return c.Abandon(now, p.id) })
}

// Acquire waits until the work may run; the ID of w is ignored. A refusal gives
// *RefusedError; the work was not run. A context that ends while the work waits
// counts as abandonment and gives the context's error.
func (g *Gate) Acquire(ctx context.Context, w Work) (*Permit, error) {
	effects := g.arrive(&w)
	select {
	case e := <-effects:
		return g.permit(e)
	default:
	}
	timer := time.NewTimer(w.Deadline.Sub(g.now()))
	defer timer.Stop()
	for {
		select {
		case e := <-effects:
			return g.permit(e)
		case <-ctx.Done():
			return g.giveUp(ctx, w.ID, effects)
		case <-timer.C:
			g.event(func(c *Controller, now time.Time) []Effect { return c.Tick(now) })
			timer.Reset(tickInterval)
		}
	}
}

// tickInterval is how often work that is past its deadline looks again, in case
// the timer ran ahead of the clock.
const tickInterval = time.Millisecond

func (g *Gate) permit(e Effect) (*Permit, error) {
	if e.Refused != nil {
		return nil, e.Refused
	}
	return &Permit{gate: g, id: e.ID, Waited: e.Waited}, nil
}

// arrive hands the work to the controller and returns where its effect comes.
func (g *Gate) arrive(w *Work) <-chan Effect {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	w.ID = g.next
	effects := make(chan Effect, 1)
	g.waiters[w.ID] = effects
	g.deliver(g.control.Arrive(g.now(), *w))
	return effects
}

// giveUp returns a place that was granted in the same moment.
func (g *Gate) giveUp(ctx context.Context, id WorkID, effects <-chan Effect) (*Permit, error) {
	g.event(func(c *Controller, now time.Time) []Effect {
		delete(g.waiters, id)
		return c.Abandon(now, id)
	})
	select {
	case e := <-effects:
		if e.Refused != nil {
			return nil, e.Refused
		}
	default:
	}
	return nil, ctx.Err()
}

func (g *Gate) event(apply func(c *Controller, now time.Time) []Effect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(apply(g.control, g.now()))
}

// deliver is called with mu held.
func (g *Gate) deliver(effects []Effect) {
	for _, e := range effects {
		if waiter, ok := g.waiters[e.ID]; ok {
			delete(g.waiters, e.ID)
			waiter <- e
		}
	}
}

// Configure takes other limits into force.
func (g *Gate) Configure(capacity int, services []Service) {
	g.event(func(c *Controller, now time.Time) []Effect {
		return c.Configure(now, capacity, services)
	})
}

// Stop refuses new work; transactions in progress go on.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.control.Stop()
}

// Stats returns a service's counts; ok is false for a service that was never
// configured.
func (g *Gate) Stats(service string) (stats Stats, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control.Stats(service)
}

// FirstTry records a first try of service in its retry budget.
func (g *Gate) FirstTry(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service).FirstTry()
}

// Retry reports whether a retry of service is within its budget, and takes it.
func (g *Gate) Retry(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(service).Retry()
}

// budget is called with mu held. Services that are not configured share one
// budget, so that names from callers cannot fill the table.
func (g *Gate) budget(service string) *RetryBudget {
	if _, ok := g.control.Stats(service); !ok {
		service = ""
	}
	b, ok := g.budgets[service]
	if !ok {
		b = NewRetryBudget()
		g.budgets[service] = b
	}
	return b
}
