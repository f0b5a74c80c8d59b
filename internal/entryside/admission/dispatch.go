package admission

import "time"

// dispatch admits waiting work while there is free capacity.
func (c *Controller) dispatch(now time.Time) {
	for c.queued > 0 && c.running < c.capacity {
		s := c.nextService(now)
		if s == nil {
			return
		}
		c.start(now, s)
	}
}

func (c *Controller) start(now time.Time, s *service) {
	q := &s.txQueue
	if q.len() == 0 {
		q = &s.nonTxQueue
	}
	w := q.popFirst()
	c.queued--
	c.running++
	s.running++
	s.stats.Admitted++
	c.work[w.work.ID].started = now
	c.decisions = append(c.decisions, Decision{ID: w.work.ID, Waited: now.Sub(w.queuedAt)})
}

// nextService returns the service whose work is admitted next, or nil if no
// work can be admitted.
func (c *Controller) nextService(now time.Time) *service {
	var first *service
	for _, s := range c.serviceList {
		if s.waiting() == 0 {
			continue
		}
		c.pruneQueues(now, s)
		if s.waiting() == 0 || s.running >= s.config.Concurrency {
			continue
		}
		if first == nil || c.precedes(s, first) {
			first = s
		}
	}
	return first
}

// precedes reports whether a comes before b for free capacity. Services below
// their share come first, then those with waiting work of a transaction in
// progress, then those of higher priority, then those that use less of their share.
func (c *Controller) precedes(a, b *service) bool {
	belowShareA, belowShareB := a.running < c.share(a), b.running < c.share(b)
	if belowShareA != belowShareB {
		return belowShareA
	}
	hasTxA, hasTxB := a.txQueue.len() > 0, b.txQueue.len() > 0
	if hasTxA != hasTxB {
		return hasTxA
	}
	if a.config.Priority != b.config.Priority {
		return a.config.Priority > b.config.Priority
	}
	return a.running*c.share(b) < b.running*c.share(a)
}
