package admission

import (
	"time"
)

// Controller decides admission for one daemon. It is not safe for concurrent
// use, has no clock and starts nothing.
//
// Invariants: running work never exceeds the capacity, nor a service's
// concurrency; while a service with work is below its share, no service at or
// above its own share is given a free place.
type Controller struct {
	capacity  int
	weights   int
	running   int
	stopping  bool
	services  map[string]*service
	work      map[WorkID]*placed
	effects   []Effect
	queued    int
	inService []*service
}

// service is one service's state.
type service struct {
	config  Service
	removed bool
	running int
	// open holds work of transactions in progress, fresh all other work.
	open, fresh queue
	run         estimate
	stats       Stats
}

// placed is admitted or waiting work.
type placed struct {
	work    Work
	service *service
	// started is when the work was admitted; zero while it waits.
	started time.Time
}

// NewController returns a controller for capacity pieces of work at once.
func NewController(capacity int, services []Service) *Controller {
	c := &Controller{
		capacity: capacity,
		services: make(map[string]*service),
		work:     make(map[WorkID]*placed),
	}
	c.setServices(services)
	return c
}

// Configure takes other limits into force. Running work goes on; waiting work of
// a service that was removed is refused.
func (c *Controller) Configure(now time.Time, capacity int, services []Service) []Effect {
	c.effects = nil
	c.capacity = capacity
	c.setServices(services)
	for _, s := range c.inService {
		if s.removed {
			c.refuseAll(now, s, ReasonUnknownService)
		}
	}
	c.dispatch(now)
	return c.effects
}

func (c *Controller) setServices(services []Service) {
	for _, s := range c.services {
		s.removed = true
	}
	c.weights = 0
	for _, config := range services {
		s, ok := c.services[config.Name]
		if !ok {
			s = &service{}
			c.services[config.Name] = s
			c.inService = append(c.inService, s)
		}
		s.config = config
		s.removed = false
		c.weights += config.Weight
	}
}

// Stop refuses all new work from now on. Waiting work and work of transactions
// in progress goes on.
func (c *Controller) Stop() { c.stopping = true }

// Arrive takes new work. Its effect may come with this event or a later one.
func (c *Controller) Arrive(now time.Time, w Work) []Effect {
	c.effects = nil
	s := c.services[w.Service]
	if s == nil || s.removed {
		c.refuse(now, nil, waiting{work: w, since: now}, ReasonUnknownService)
		return c.effects
	}
	if c.stopping && !w.InTransaction {
		c.refuse(now, s, waiting{work: w, since: now}, ReasonStopping)
		return c.effects
	}
	c.enqueue(now, s, waiting{work: w, since: now})
	c.dispatch(now)
	return c.effects
}

// Finish takes the end of admitted work.
func (c *Controller) Finish(now time.Time, id WorkID) []Effect {
	c.effects = nil
	p, ok := c.work[id]
	if !ok || p.started.IsZero() {
		return nil
	}
	s := p.service
	s.run.observe(now.Sub(p.started))
	s.stats.Finished++
	if now.After(p.work.Deadline) {
		s.stats.Late++
	}
	c.release(p)
	c.dispatch(now)
	return c.effects
}

// Abandon takes the news that the caller of id went away. Waiting work leaves
// the queue without an effect. Running work is cancelled by the entry, which
// reports its end by Abandon in place of Finish.
func (c *Controller) Abandon(now time.Time, id WorkID) []Effect {
	c.effects = nil
	p, ok := c.work[id]
	if !ok {
		return nil
	}
	s := p.service
	if p.started.IsZero() {
		s.stats.AbandonedWaiting++
		c.leaveQueue(p)
		return nil
	}
	s.stats.AbandonedRunning++
	c.release(p)
	c.dispatch(now)
	return c.effects
}

// Tick refuses waiting work that can no longer make its deadline.
func (c *Controller) Tick(now time.Time) []Effect {
	c.effects = nil
	for _, s := range c.inService {
		c.prune(now, s)
	}
	return c.effects
}

// Stats returns a service's counts; ok is false for a service that was never
// configured.
func (c *Controller) Stats(name string) (stats Stats, ok bool) {
	s, ok := c.services[name]
	if !ok {
		return Stats{}, false
	}
	stats = s.stats
	stats.Running = s.running
	stats.Waiting = s.waiting()
	return stats, true
}

func (s *service) waiting() int { return s.open.len() + s.fresh.len() }

// enqueue finds a place for w or refuses it. What can no longer make its
// deadline goes first, then new work makes way for a transaction in progress.
func (c *Controller) enqueue(now time.Time, s *service, w waiting) {
	c.prune(now, s)
	if !c.hasTime(now, s, w.work) {
		c.refuse(now, s, w, ReasonNoTime)
		return
	}
	if s.waiting() >= max(1, s.config.QueueLength) && !c.displace(now, s, w.work) {
		c.refuse(now, s, w, ReasonQueueFull)
		return
	}
	c.work[w.work.ID] = &placed{work: w.work, service: s}
	c.queued++
	if w.work.InTransaction {
		s.open.push(w)
		return
	}
	s.fresh.push(w)
}

func (c *Controller) displace(now time.Time, s *service, w Work) bool {
	if !w.InTransaction || s.fresh.len() == 0 {
		return false
	}
	c.drop(now, s, s.fresh.popLast(), ReasonDisplaced)
	return true
}

// hasTime reports whether w can make its deadline, given the work ahead of it.
func (c *Controller) hasTime(now time.Time, s *service, w Work) bool {
	ahead := s.open.before(w.Deadline)
	if !w.InTransaction {
		ahead = s.open.len() + s.fresh.before(w.Deadline)
	}
	var wait time.Duration
	if ahead > 0 || c.running >= c.capacity || s.running >= s.config.Concurrency {
		places := max(1, s.running, c.share(s))
		wait = s.run.mean * time.Duration(ahead+1) / time.Duration(places)
	}
	return !w.Deadline.Before(now.Add(wait + s.needed()))
}

// needed is the time that work of s should have left. A service without running
// work needs none: its next work shows how long the service takes now, so that
// an estimate from a slow period cannot refuse everything for ever.
func (s *service) needed() time.Duration {
	if s.running == 0 {
		return 0
	}
	return s.run.needed()
}

// prune refuses waiting work of s that has too little time left.
func (c *Controller) prune(now time.Time, s *service) {
	bound := now.Add(s.needed())
	for _, q := range []*queue{&s.open, &s.fresh} {
		if q.len() == 0 {
			continue
		}
		for _, w := range q.cut(bound) {
			c.drop(now, s, w, ReasonNoTime)
		}
	}
}

// drop refuses work that was taken out of a queue.
func (c *Controller) drop(now time.Time, s *service, w waiting, reason Reason) {
	delete(c.work, w.work.ID)
	c.queued--
	c.refuse(now, s, w, reason)
}

func (c *Controller) refuse(now time.Time, s *service, w waiting, reason Reason) {
	if s != nil {
		s.stats.Refused[reason]++
	}
	waited := now.Sub(w.since)
	c.effects = append(c.effects, Effect{
		ID:      w.work.ID,
		Refused: &RefusedError{Service: w.work.Service, Reason: reason, Waited: waited},
		Waited:  waited,
	})
}

func (c *Controller) refuseAll(now time.Time, s *service, reason Reason) {
	for _, q := range []*queue{&s.open, &s.fresh} {
		for q.len() > 0 {
			c.drop(now, s, q.pop(), reason)
		}
	}
}

func (c *Controller) leaveQueue(p *placed) {
	delete(c.work, p.work.ID)
	c.queued--
	if !p.service.open.remove(p.work.ID) {
		p.service.fresh.remove(p.work.ID)
	}
}

func (c *Controller) release(p *placed) {
	delete(c.work, p.work.ID)
	p.service.running--
	c.running--
}

// share is the number of places guaranteed to s.
func (c *Controller) share(s *service) int {
	if c.weights == 0 || s.removed {
		return 0
	}
	return max(1, min(s.config.Concurrency, c.capacity*s.config.Weight/c.weights))
}
