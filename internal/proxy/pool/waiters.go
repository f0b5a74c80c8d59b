package pool

import (
	"time"

	"hemlockmast/internal/proxy/turn"
	"hemlockmast/internal/shared/stmt"
)

// waiter is a statement that waits for its turn or, with HasTurn, for a connection that it can
// use. Its place is kept when it waits again.
type waiter struct {
	turn.Ticket
	needs Needs
	// lackingSince is when its turn had come and no connection could be had; zero before.
	// retryAfter, if not 0, is after which time to try again.
	lackingSince time.Time
	retryAfter   time.Duration
	// maxWait is how long it waits before it tries again.
	maxWait time.Duration
	// attempt is set once a connection is being opened for the waiter. It is guarded by the
	// pool's mu, and not changed afterwards.
	attempt *attempt
	// isBounded is set once the statement had to wait for its workspace's bound.
	isBounded bool
	// ready receives the connection, or nil when the waiter should try again or isEvicted is
	// set.
	ready chan *Conn
	// isEvicted is set before ready receives nil if the waiter's turn will not come in time.
	isEvicted bool
	// deadline is the statement's; zero if it does not bound the wait.
	deadline time.Time
}

// Request is a request for a connection.
type Request struct {
	// Priority is served first where it is lower.
	Priority int32
	Needs    Needs
	// Target is the time until the answer is due; 0 if not known.
	Target time.Duration
	// TurnBy is when the statement's turn must be expected to come. Where connections are
	// carried, the request fails at once if it would most likely come later. WaitDeadline
	// bounds the wait.
	TurnBy, WaitDeadline time.Time
	// Deadline is the statement's; zero if it does not bound the wait.
	Deadline time.Time
}

// Get returns a connection for exclusive use: the idle one that matches needs best, a new
// one, or the next one returned. Statements of a lower priority value go first. Errors:
// *FullError, *ClosedError, *DownError, *stmt.RefusedError while the endpoint is busy, and
// the dialer's errors.
func (p *Pool) Get(deadline time.Time, priority int32, needs Needs) (*Conn, error) {
	return p.GetInTime(Request{Priority: priority, Needs: needs, TurnBy: deadline, WaitDeadline: deadline})
}

// GetInTime returns a connection as Get does. Statements that wait get their turns in the
// order of package turn.
func (p *Pool) GetInTime(r Request) (*Conn, error) {
	p.inFlight.Add(1)
	c, err := p.acquire(r)
	if err != nil {
		p.inFlight.Add(-1)
		return nil, err
	}
	c.acquiredAt = time.Now()
	c.isRunning, c.runningSince, c.ranFor, c.atEndpoint = true, c.acquiredAt, 0, 0
	return c, nil
}

func (p *Pool) acquire(r Request) (*Conn, error) {
	w := p.newWaiter(r)
	defer p.endLack(w)
	turnBy := r.TurnBy
	for {
		c, wait, err := p.tryAcquire(w, turnBy)
		if c != nil || err != nil {
			return c, err
		}
		if wait == nil {
			return p.awaitDial(w.attempt, r.WaitDeadline)
		}
		c, err = p.awaitTurn(wait, r.WaitDeadline)
		if c != nil || err != nil {
			return c, err
		}
		// A statement that has waited keeps its place as long as it may still be served.
		turnBy = r.WaitDeadline
	}
}

// newWaiter returns the place of a statement that has just arrived.
func (p *Pool) newWaiter(r Request) *waiter {
	w := &waiter{needs: r.Needs, ready: make(chan *Conn, 1), deadline: r.Deadline, Ticket: turn.Ticket{
		Priority: r.Priority, Workspace: r.Needs.Workspace, Due: r.WaitDeadline, Expires: r.WaitDeadline,
	}}
	if r.Target > 0 {
		w.Due = time.Now().Add(r.Target)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting.New(&w.Ticket)
	if !r.Needs.AnyState {
		p.book.Ask(r.Needs.Workspace, time.Now())
	}
	return w
}

// enqueueOrRefuse returns a place in the queue, or a *FullError when the statement's turn
// would most likely not come by turnBy. lacksConn is set if it has its turn and waits for a
// connection that it can use. mu must be held.
func (p *Pool) enqueueOrRefuse(w *waiter, lacksConn bool, turnBy time.Time) (*Conn, *waiter, error) {
	now := time.Now()
	q := p.queueFor(p.countAhead(w, now))
	// Only a carrier can estimate the wait. An entry that opens its own connections
	// sees a small part of the queue.
	if p.isCarried {
		if p.waitExceeds(w, lacksConn, q, w.timeLeft(turnBy, q.AvgHoldTime, now)) {
			return nil, nil, &FullError{Endpoint: p.Endpoint.ID, Expected: true}
		}
		p.evict(w, q, now)
	}
	p.waiting.Cost = p.avgHoldTime
	w.HasTurn, w.maxWait = lacksConn, w.nextTry()
	p.waiting.Push(w)
	return nil, w, nil
}

// waitExceeds reports whether a statement most likely waits longer than timeLeft. mu must be
// held.
func (p *Pool) waitExceeds(w *waiter, lacksConn bool, q Queue, timeLeft time.Duration) bool {
	if lacksConn && w.needs.Workspace != "" {
		return p.book.WaitExceeds(w.needs.Workspace, q.Ahead, timeLeft)
	}
	return q.WaitExceeds(timeLeft)
}

// timeLeft returns how long a statement may be expected to wait: until turnBy, and so that it
// ends before its deadline.
func (w *waiter) timeLeft(turnBy time.Time, holdTime time.Duration, now time.Time) time.Duration {
	left := turnBy.Sub(now)
	if !w.deadline.IsZero() {
		left = min(left, w.deadline.Sub(now)-holdTime)
	}
	return left
}

// queueFor returns the queue as a statement sees it before which ahead others go. mu must be
// held.
func (p *Pool) queueFor(ahead int) Queue {
	conns := p.open - p.dialing
	if p.slots > 0 {
		conns = min(conns, p.maxRunning())
	}
	return Queue{Ahead: ahead, Conns: conns, AvgHoldTime: p.avgHoldTime}
}

// evict tells a statement of a later priority than w that its turn will not come in time any
// more. mu must be held.
func (p *Pool) evict(w *waiter, q Queue, now time.Time) {
	if q.Conns <= 0 || p.waiting.Len() < minAhead {
		return
	}
	if lost, ok := p.waiting.Evict(w.Priority, q.AvgHoldTime/time.Duration(q.Conns), now); ok {
		lost.isEvicted = true
		lost.ready <- nil
	}
}

// awaitTurn returns the connection that was handed over, or nil when acquire should try
// again.
func (p *Pool) awaitTurn(w *waiter, deadline time.Time) (*Conn, error) {
	// The wait is bounded, since no one may hand over a connection while the endpoint
	// is full.
	timer := time.NewTimer(min(time.Until(deadline), w.maxWait))
	defer timer.Stop()
	select {
	case c := <-w.ready:
		return p.handed(w, c)
	case <-timer.C:
	}
	if time.Now().Before(deadline) {
		// The statement stays in the queue until tryAcquire decides again: outside of it, it
		// would lose its turn to others.
		return nil, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting.Remove(w)
	select {
	case c := <-w.ready:
		return p.handed(w, c)
	default:
	}
	if p.busyRefusal != nil {
		return nil, &stmt.RefusedError{Reply: p.busyRefusal}
	}
	return nil, &FullError{Endpoint: p.Endpoint.ID}
}

// leaveQueue removes a statement that tries again from the queue. It returns what was handed to
// it meanwhile. mu must be held.
func (p *Pool) leaveQueue(w *waiter) (*Conn, error) {
	p.waiting.Remove(w)
	select {
	case c := <-w.ready:
		return p.handed(w, c)
	default:
		return nil, nil
	}
}

// handed returns what a waiter received.
func (p *Pool) handed(w *waiter, c *Conn) (*Conn, error) {
	if w.isEvicted {
		return nil, &FullError{Endpoint: p.Endpoint.ID, Expected: true}
	}
	return c, nil
}

// wakeNext tells the first waiter that can be served to try again, or all waiters while the
// endpoint is down. mu must be held.
func (p *Pool) wakeNext() {
	for n := 0; p.waiting.Len() > 0 && (n == 0 || p.isDown); n++ {
		p.popServable().ready <- nil
	}
}

// popServable removes the first waiter that can be served, or the first one if none can. There
// must be one. mu must be held.
func (p *Pool) popServable() *waiter {
	now := time.Now()
	if !p.isDown && !p.isClosed {
		if w, _, ok := p.servable(now); ok {
			return p.serve(w)
		}
	}
	p.waiting.Cost = p.avgHoldTime
	w, _ := p.waiting.Pop(now)
	return w
}

// serve removes a waiter from the queue and charges its workspace. mu must be held.
func (p *Pool) serve(w *waiter) *waiter {
	p.waiting.Cost = p.avgHoldTime
	p.waiting.Serve(w)
	return w
}

// Load is what a carrier tells about an endpoint's load.
type Load struct {
	// Wait is the expected wait of a new statement.
	Wait time.Duration
	// StatementTime is the mean time of a statement; 0 when not measured.
	StatementTime time.Duration
}

// Load returns the load for a new statement of a priority.
func (p *Pool) Load(priority int32) Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := Load{StatementTime: p.avgStatementTime}
	ahead := p.waiting.CountUpTo(priority)
	if q := p.queueFor(ahead); q.Conns > 0 && (ahead > 0 || !p.mayRun()) {
		// The turn after all those ahead comes when one more of those that run has ended.
		load.Wait = time.Duration(ahead+1) * q.AvgHoldTime / time.Duration(q.Conns)
	}
	return load
}
