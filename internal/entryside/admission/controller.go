package admission

import (
	"time"
)

// Controller decides admission for one daemon. It is not safe for concurrent
// use, reads no clock and starts no goroutine.
//
// Invariants: no work is admitted beyond the capacity or a service's concurrency.
// Running work exceeds them only after Configure has lowered them. While a service below its share has waiting work, no service at
// or above its own share gets free capacity.
type Controller struct {
	capacity    int
	totalWeight int
	running     int
	stopping    bool
	services    map[string]*service
	work        map[WorkID]*workState
	// decisions collects the decisions of the current call.
	decisions []Decision
	// queued is the number of waiting work items of all services.
	queued int
	// serviceList holds the values of services in the order in which they were
	// first configured.
	serviceList []*service
}

// service is the state of one service.
type service struct {
	config  Service
	removed bool
	running int
	// txQueue holds work of transactions in progress, nonTxQueue all other work.
	txQueue, nonTxQueue queue
	runTime             estimate
	stats               Stats
}

// workState is the state of one work item that waits or runs.
type workState struct {
	work    Work
	service *service
	// started is when the work was admitted; zero while it waits.
	started time.Time
}

// NewController returns a controller that admits up to capacity work items at
// once.
func NewController(capacity int, services []Service) *Controller {
	c := &Controller{
		capacity: capacity,
		services: make(map[string]*service),
		work:     make(map[WorkID]*workState),
	}
	c.setServices(services)
	return c
}

// Configure replaces the limits. Running work continues. Waiting work of a
// service that was removed is refused.
func (c *Controller) Configure(now time.Time, capacity int, services []Service) []Decision {
	c.decisions = nil
	c.capacity = capacity
	c.setServices(services)
	for _, s := range c.serviceList {
		if s.removed {
			c.refuseAllQueued(now, s, ReasonUnknownService)
		}
	}
	c.dispatch(now)
	return c.decisions
}

func (c *Controller) setServices(services []Service) {
	for _, s := range c.services {
		s.removed = true
	}
	c.totalWeight = 0
	for _, config := range services {
		s, ok := c.services[config.Name]
		if !ok {
			s = &service{}
			c.services[config.Name] = s
			c.serviceList = append(c.serviceList, s)
		}
		s.config = config
		s.removed = false
		c.totalWeight += config.Weight
	}
}

// Stop refuses all new work from now on. Waiting work, and work of transactions
// in progress, is still admitted.
func (c *Controller) Stop() { c.stopping = true }

// Arrive adds new work. The decision on it is returned by this call or by a
// later one.
func (c *Controller) Arrive(now time.Time, w Work) []Decision {
	c.decisions = nil
	s := c.services[w.Service]
	if s == nil || s.removed {
		c.refuse(now, nil, waiting{work: w, queuedAt: now}, ReasonUnknownService)
		return c.decisions
	}
	if c.stopping && !w.InTransaction {
		c.refuse(now, s, waiting{work: w, queuedAt: now}, ReasonStopping)
		return c.decisions
	}
	c.enqueue(now, s, waiting{work: w, queuedAt: now})
	c.dispatch(now)
	return c.decisions
}

// Finish ends admitted work and records how long it ran. It ignores work that is
// not running.
func (c *Controller) Finish(now time.Time, id WorkID) []Decision {
	c.decisions = nil
	ws, ok := c.work[id]
	if !ok || ws.started.IsZero() {
		return nil
	}
	s := ws.service
	s.runTime.observe(now.Sub(ws.started))
	s.stats.Finished++
	if now.After(ws.work.Deadline) {
		s.stats.Late++
	}
	c.release(ws)
	c.dispatch(now)
	return c.decisions
}

// Abandon ends work whose caller went away. Waiting work leaves the queue
// without a decision. The entry cancels running work and, when it has ended,
// calls Abandon in place of Finish.
func (c *Controller) Abandon(now time.Time, id WorkID) []Decision {
	c.decisions = nil
	ws, ok := c.work[id]
	if !ok {
		return nil
	}
	s := ws.service
	if ws.started.IsZero() {
		s.stats.AbandonedWaiting++
		c.removeFromQueue(ws)
		return nil
	}
	s.stats.AbandonedRunning++
	c.release(ws)
	c.dispatch(now)
	return c.decisions
}

// Tick refuses waiting work that can no longer meet its deadline.
func (c *Controller) Tick(now time.Time) []Decision {
	c.decisions = nil
	for _, s := range c.serviceList {
		c.pruneQueues(now, s)
	}
	return c.decisions
}

// Stats returns the counters of a service. ok is false for a service that was
// never configured.
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

func (s *service) waiting() int { return s.txQueue.len() + s.nonTxQueue.len() }

// enqueue queues w or refuses it. To make room it first refuses queued work
// that can no longer meet its deadline. If w belongs to a transaction in
// progress, it then displaces work outside transactions.
func (c *Controller) enqueue(now time.Time, s *service, w waiting) {
	c.pruneQueues(now, s)
	if !c.canMeetDeadline(now, s, w.work) {
		c.refuse(now, s, w, ReasonNoTime)
		return
	}
	if s.waiting() >= max(1, s.config.QueueLength) && !c.displace(now, s, w.work) {
		c.refuse(now, s, w, ReasonQueueFull)
		return
	}
	c.work[w.work.ID] = &workState{work: w.work, service: s}
	c.queued++
	if w.work.InTransaction {
		s.txQueue.push(w)
		return
	}
	s.nonTxQueue.push(w)
}

// displace makes room for work of a transaction in progress: it refuses the
// work outside transactions that has the latest deadline. It reports whether
// there was any.
func (c *Controller) displace(now time.Time, s *service, w Work) bool {
	if !w.InTransaction || s.nonTxQueue.len() == 0 {
		return false
	}
	c.refuseQueued(now, s, s.nonTxQueue.popLast(), ReasonDisplaced)
	return true
}

// canMeetDeadline reports whether w can meet its deadline behind the work that
// runs or is queued ahead of it.
func (c *Controller) canMeetDeadline(now time.Time, s *service, w Work) bool {
	ahead := s.txQueue.countAhead(w.Deadline)
	if !w.InTransaction {
		ahead = s.txQueue.len() + s.nonTxQueue.countAhead(w.Deadline)
	}
	var wait time.Duration
	if ahead > 0 || c.running >= c.capacity || s.running >= s.config.Concurrency {
		parallelism := max(1, s.running, c.share(s))
		wait = s.runTime.mean * time.Duration(ahead+1) / time.Duration(parallelism)
	}
	return !w.Deadline.Before(now.Add(wait + s.timeNeeded()))
}

// timeNeeded returns the time that work of s should have left before its
// deadline. It is 0 while no work of s runs: the next work item then measures
// how long the service takes now, so that an estimate from a slow period cannot
// refuse all work forever.
func (s *service) timeNeeded() time.Duration {
	if s.running == 0 {
		return 0
	}
	return s.runTime.timeNeeded()
}

// pruneQueues refuses waiting work of s that has too little time left.
func (c *Controller) pruneQueues(now time.Time, s *service) {
	minDeadline := now.Add(s.timeNeeded())
	for _, q := range []*queue{&s.txQueue, &s.nonTxQueue} {
		if q.len() == 0 {
			continue
		}
		for _, w := range q.popBefore(minDeadline) {
			c.refuseQueued(now, s, w, ReasonNoTime)
		}
	}
}

// refuseQueued refuses work that was taken out of a queue.
func (c *Controller) refuseQueued(now time.Time, s *service, w waiting, reason Reason) {
	delete(c.work, w.work.ID)
	c.queued--
	c.refuse(now, s, w, reason)
}

func (c *Controller) refuse(now time.Time, s *service, w waiting, reason Reason) {
	if s != nil {
		s.stats.Refused[reason]++
	}
	waited := now.Sub(w.queuedAt)
	c.decisions = append(c.decisions, Decision{
		ID:      w.work.ID,
		Refused: &RefusedError{Service: w.work.Service, Reason: reason, Waited: waited},
		Waited:  waited,
	})
}

func (c *Controller) refuseAllQueued(now time.Time, s *service, reason Reason) {
	for _, q := range []*queue{&s.txQueue, &s.nonTxQueue} {
		for q.len() > 0 {
			c.refuseQueued(now, s, q.popFirst(), reason)
		}
	}
}

func (c *Controller) removeFromQueue(ws *workState) {
	delete(c.work, ws.work.ID)
	c.queued--
	if !ws.service.txQueue.remove(ws.work.ID) {
		ws.service.nonTxQueue.remove(ws.work.ID)
	}
}

func (c *Controller) release(ws *workState) {
	delete(c.work, ws.work.ID)
	ws.service.running--
	c.running--
}

// share returns how much of the capacity is guaranteed to s, in work items.
func (c *Controller) share(s *service) int {
	if c.totalWeight == 0 || s.removed {
		return 0
	}
	return max(1, min(s.config.Concurrency, c.capacity*s.config.Weight/c.totalWeight))
}
