package admission

import "time"

// dispatch gives free places to waiting work.
func (c *Controller) dispatch(now time.Time) {
	for c.queued > 0 && c.running < c.capacity {
		s := c.next(now)
		if s == nil {
			return
		}
		c.start(now, s)
	}
}

func (c *Controller) start(now time.Time, s *service) {
	q := &s.open
	if q.len() == 0 {
		q = &s.fresh
	}
	w := q.pop()
	c.queued--
	c.running++
	s.running++
	s.stats.Admitted++
	c.work[w.work.ID].started = now
	c.effects = append(c.effects, Effect{ID: w.work.ID, Waited: now.Sub(w.since)})
}

// next returns the service whose work goes first, or nil.
func (c *Controller) next(now time.Time) *service {
	var first *service
	for _, s := range c.inService {
		if s.waiting() == 0 {
			continue
		}
		c.prune(now, s)
		if s.waiting() == 0 || s.running >= s.config.Concurrency {
			continue
		}
		if first == nil || c.before(s, first) {
			first = s
		}
	}
	return first
}

// before orders services for a free place: below their share first, then with a
// transaction in progress, then by priority, then by how little of their share
// they use.
func (c *Controller) before(a, b *service) bool {
	underA, underB := a.running < c.share(a), b.running < c.share(b)
	if underA != underB {
		return underA
	}
	openA, openB := a.open.len() > 0, b.open.len() > 0
	if openA != openB {
		return openA
	}
	if a.config.Priority != b.config.Priority {
		return a.config.Priority > b.config.Priority
	}
	return a.running*c.share(b) < b.running*c.share(a)
}
