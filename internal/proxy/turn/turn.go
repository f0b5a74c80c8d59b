// Package turn decides in which order statements that wait for an endpoint get their turns,
// and how long a statement may be expected to wait before it is refused instead.
//
// The order is by priority. Within a priority, workspaces share the turns equally by
// start-time fair queueing: each turn costs the mean time of a statement, and the workspace
// that has used least goes first, so that one that sends more than others waits behind its own
// statements. A workspace without waiting statements saves up nothing. Within a workspace, the
// statement whose target comes first goes first; statements that can no longer be answered
// within their target go behind those that can, because a late answer is worth less. The
// package does no I/O and has no clock.
package turn

import (
	"slices"
	"time"
)

// defaultCost is the cost of a turn until the time of a statement is measured. Only the
// ratio of costs matters.
const defaultCost = 10 * time.Millisecond

// Ticket is a statement's place in a Queue. It is created once for a statement and is used
// again when the statement waits again.
type Ticket struct {
	// Priority is served first where it is lower.
	Priority int32
	// Workspace is the workspace of the caller; "" where callers are not identified.
	Workspace string
	// Due is when the answer is due: the arrival plus the route's target.
	Due time.Time
	// Expires is when the statement stops waiting.
	Expires time.Time
	// HasTurn is set while the statement has its turn and waits for something else, such as a
	// connection. It keeps its place and takes no turn from others. For one that waits in a
	// Queue, only Queue.GiveTurn sets it.
	HasTurn bool
	// seq orders statements that are due at the same time. Queue.Add sets it once.
	seq uint64
	// charged is what the workspace was charged for the ticket's turn; 0 while it has had
	// none.
	charged time.Duration
}

// Place returns the ticket itself. It makes types that embed a Ticket a Waiter.
func (t *Ticket) Place() *Ticket { return t }

func (t *Ticket) before(o *Ticket) bool {
	if !t.Due.Equal(o.Due) {
		return t.Due.Before(o.Due)
	}
	return t.seq < o.seq
}

// Waiter is what a Queue holds.
type Waiter interface {
	comparable
	Place() *Ticket
}

// Queue holds waiting statements in order. The zero value is empty. It is not safe for
// concurrent use.
type Queue[W Waiter] struct {
	// Cost is the mean time of a statement; 0 while not measured.
	Cost    time.Duration
	classes []*class[W]
	lastSeq uint64
	size    int
}

// class holds the statements of one priority: size of them, turned of which have their turn.
// virtual is the start tag of the turn given last.
type class[W Waiter] struct {
	priority int32
	virtual  time.Duration
	flows    map[string]*flow[W]
	size     int
	turned   int
}

// flow holds the statements of one workspace in a class, ordered by Due. start is the start
// tag of its next turn.
type flow[W Waiter] struct {
	start   time.Duration
	waiters []W
}

// New gives a ticket its number. It must be called once before the ticket is used.
func (q *Queue[W]) New(t *Ticket) {
	q.lastSeq++
	t.seq = q.lastSeq
}

// Len returns the number of waiting statements.
func (q *Queue[W]) Len() int { return q.size }

// Turned returns the number of waiting statements that have their turn.
func (q *Queue[W]) Turned() int {
	n := 0
	for _, c := range q.classes {
		n += c.turned
	}
	return n
}

// GiveTurn records that a waiting statement has its turn and waits for something else.
func (q *Queue[W]) GiveTurn(w W) {
	t := w.Place()
	if c, _ := q.class(t.Priority); c != nil && !t.HasTurn {
		t.HasTurn = true
		c.turned++
	}
}

func (q *Queue[W]) cost() time.Duration {
	if q.Cost <= 0 {
		return defaultCost
	}
	return q.Cost
}

// class returns the class of a priority, or nil and where it belongs.
func (q *Queue[W]) class(priority int32) (*class[W], int) {
	at, ok := slices.BinarySearchFunc(q.classes, priority, func(c *class[W], p int32) int { return int(c.priority) - int(p) })
	if !ok {
		return nil, at
	}
	return q.classes[at], at
}

// Push adds a statement. One that had a turn and could not use it gets its workspace's charge
// back.
func (q *Queue[W]) Push(w W) {
	t := w.Place()
	c, at := q.class(t.Priority)
	if c == nil {
		c = &class[W]{priority: t.Priority, flows: make(map[string]*flow[W])}
		q.classes = slices.Insert(q.classes, at, c)
	}
	f := c.flow(t.Workspace)
	f.start -= t.charged
	t.charged = 0
	i, _ := slices.BinarySearchFunc(f.waiters, t, func(o W, t *Ticket) int {
		if o.Place().before(t) {
			return -1
		}
		return 1
	})
	f.waiters = slices.Insert(f.waiters, i, w)
	c.size++
	q.size++
	if t.HasTurn {
		c.turned++
	}
}

// flow returns the flow of a workspace and creates it if needed.
func (c *class[W]) flow(workspace string) *flow[W] {
	f := c.flows[workspace]
	if f == nil {
		f = &flow[W]{start: c.virtual}
		c.flows[workspace] = f
	}
	if len(f.waiters) == 0 {
		f.start = max(f.start, c.virtual)
	}
	return f
}

// firstTimely returns the index of the first statement that can still be answered within its
// target, or the number of statements if there is none.
func (f *flow[W]) firstTimely(now time.Time, cost time.Duration) int {
	i, _ := slices.BinarySearchFunc(f.waiters, now.Add(cost), func(o W, t time.Time) int {
		if o.Place().Due.Before(t) {
			return -1
		}
		return 1
	})
	return i
}

// next returns the index of the statement of the flow that goes first.
func (f *flow[W]) next(now time.Time, cost time.Duration) int {
	if i := f.firstTimely(now, cost); i < len(f.waiters) {
		return i
	}
	return 0
}

// Pop removes and returns the statement that goes first, and charges its workspace. It reports
// false if none waits.
func (q *Queue[W]) Pop(now time.Time) (w W, ok bool) {
	if q.size == 0 {
		return w, false
	}
	cost := q.cost()
	best := q.classes[0].first(now, cost)
	w = best.waiters[best.next(now, cost)]
	q.Serve(w)
	return w, true
}

// first returns the flow whose turn is next.
func (c *class[W]) first(now time.Time, cost time.Duration) *flow[W] {
	var best *flow[W]
	for _, f := range c.flows {
		if len(f.waiters) > 0 && (best == nil || f.goesBefore(best, now, cost)) {
			best = f
		}
	}
	return best
}

// Serve removes a waiting statement out of order and charges its workspace.
func (q *Queue[W]) Serve(w W) {
	t := w.Place()
	c, _ := q.class(t.Priority)
	c.charge(c.flows[t.Workspace], t, q.cost())
	q.Remove(w)
}

func (f *flow[W]) goesBefore(o *flow[W], now time.Time, cost time.Duration) bool {
	if f.start != o.start {
		return f.start < o.start
	}
	return f.waiters[f.next(now, cost)].Place().before(o.waiters[o.next(now, cost)].Place())
}

// charge charges a flow for a turn.
func (c *class[W]) charge(f *flow[W], t *Ticket, cost time.Duration) {
	c.virtual = max(c.virtual, f.start)
	f.start += cost
	t.charged = cost
}

// Take charges a statement that gets its turn without waiting.
func (q *Queue[W]) Take(t *Ticket) {
	if c, _ := q.class(t.Priority); c != nil && t.charged == 0 {
		c.charge(c.flow(t.Workspace), t, q.cost())
	}
}

// Remove removes a statement. It reports false if the statement does not wait.
func (q *Queue[W]) Remove(w W) bool {
	t := w.Place()
	c, at := q.class(t.Priority)
	if c == nil || c.flows[t.Workspace] == nil {
		return false
	}
	f := c.flows[t.Workspace]
	i := slices.Index(f.waiters, w)
	if i < 0 {
		return false
	}
	f.waiters = slices.Delete(f.waiters, i, i+1)
	c.size--
	q.size--
	if t.HasTurn {
		c.turned--
	}
	if c.size == 0 {
		// Who has used how much no longer matters once nobody waits.
		q.classes = slices.Delete(q.classes, at, at+1)
		return true
	}
	c.forget()
	return true
}

// forget removes flows without statements that have used no more than others.
func (c *class[W]) forget() {
	for name, f := range c.flows {
		if len(f.waiters) == 0 && f.start <= c.virtual {
			delete(c.flows, name)
		}
	}
}

// Ahead returns how many waiting statements go before a ticket that does not wait yet.
func (q *Queue[W]) Ahead(t *Ticket, now time.Time) int {
	n := 0
	for _, c := range q.classes {
		switch {
		case c.priority < t.Priority:
			n += c.size
		case c.priority == t.Priority:
			return n + c.ahead(t, now, q.cost())
		}
	}
	return n
}

func (c *class[W]) ahead(t *Ticket, now time.Time, cost time.Duration) int {
	own := c.flows[t.Workspace]
	start, n := c.virtual, 0
	if own != nil {
		n = own.ahead(t, now, cost)
		start = own.start - t.charged
		if len(own.waiters) == 0 {
			start = max(start, c.virtual)
		}
	}
	tag := start + time.Duration(n)*cost
	for _, f := range c.flows {
		if f == own || len(f.waiters) == 0 || f.start > tag {
			continue
		}
		turns := int((tag-f.start)/cost) + 1
		if f.start+time.Duration(turns-1)*cost == tag && t.before(f.waiters[min(turns, len(f.waiters))-1].Place()) {
			turns--
		}
		n += min(turns, len(f.waiters))
	}
	return n
}

// ahead returns how many statements of the flow go before a ticket of the same workspace.
func (f *flow[W]) ahead(t *Ticket, now time.Time, cost time.Duration) int {
	timely := f.firstTimely(now, cost)
	i, _ := slices.BinarySearchFunc(f.waiters, t, func(o W, t *Ticket) int {
		if o.Place().before(t) {
			return -1
		}
		return 1
	})
	if i >= timely && !t.Due.Before(now.Add(cost)) {
		return i - timely
	}
	return len(f.waiters) - timely + i
}

// CountUpTo returns how many statements wait for their turn whose priority goes first or is the
// same.
func (q *Queue[W]) CountUpTo(priority int32) int {
	n := 0
	for _, c := range q.classes {
		if c.priority <= priority {
			n += c.size - c.turned
		}
	}
	return n
}

// Evict removes and returns a statement of a later class than priority that will not get its
// turn before it stops waiting, if one turn is given every interval. It looks at the
// statements of the last class only: they are the first that an overload leaves without a
// turn.
func (q *Queue[W]) Evict(priority int32, interval time.Duration, now time.Time) (w W, ok bool) {
	if q.size == 0 || interval <= 0 {
		return w, false
	}
	c := q.classes[len(q.classes)-1]
	if c.priority <= priority {
		return w, false
	}
	// The first turn of the class comes after those of all others.
	first := now.Add(time.Duration(q.size-q.Turned()-(c.size-c.turned)) * interval)
	for _, f := range c.flows {
		for _, candidate := range f.waiters {
			if t := candidate.Place(); !t.HasTurn && t.Expires.Before(first) {
				q.Remove(candidate)
				return candidate, true
			}
		}
	}
	return w, false
}
