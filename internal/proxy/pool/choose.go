package pool

import (
	"iter"
	"slices"
	"time"

	"hemlockmast/internal/proxy/connshare"
)

// way is how a statement whose turn has come gets its connection.
type way int

const (
	// await: no connection can be had now.
	await way = iota
	// useIdle: an idle connection that the statement may use.
	useIdle
	// open: a new connection; the share has room for it.
	open
	// evict: a new connection in place of an idle one of another workspace.
	evict
)

// choice is the result of Pool.choose. idle is the index of the connection to use or evict.
type choice struct {
	way  way
	idle int
	// retryAfter is set with await if another way is open after that time.
	retryAfter time.Duration
	// isBounded is set with await if the workspace uses as many connections as it may.
	isBounded bool
}

// choose decides how a statement whose turn has come gets its connection. mu must be held.
func (p *Pool) choose(w *waiter, now time.Time) choice {
	if w.needs.AnyState {
		return p.chooseAny(now)
	}
	workspace := w.needs.Workspace
	if p.book.AtBound(workspace, p.maxOpen, now) {
		return choice{isBounded: true}
	}
	if best := p.bestIdle(w.needs); best >= 0 {
		return choice{way: useIdle, idle: best}
	}
	mayOpen := p.mayDial(workspace, now)
	if !mayOpen && (len(p.idle) == 0 || !p.mayReplace(workspace, now)) {
		return choice{}
	}
	opening := connshare.Opening{Time: p.dialTime(), Evicts: !mayOpen}
	if !w.lackingSince.IsZero() {
		opening.Waited = now.Sub(w.lackingSince)
	}
	if wait := p.book.ShortWait(workspace, opening); wait > 0 {
		return choice{retryAfter: wait}
	}
	if mayOpen {
		return choice{way: open}
	}
	return choice{way: evict, idle: p.victim(now)}
}

// chooseAny is choose for a statement that may use any connection. It prefers one of no
// workspace, then the one that is least likely to be needed soon. mu must be held.
func (p *Pool) chooseAny(now time.Time) choice {
	for i, c := range slices.Backward(p.idle) {
		if c.Workspace == "" {
			return choice{way: useIdle, idle: i}
		}
	}
	switch {
	case len(p.idle) > 0:
		return choice{way: useIdle, idle: p.victim(now)}
	case p.mayDial("", now):
		return choice{way: open}
	}
	return choice{}
}

// victim returns the index of the idle connection that is least likely to be needed soon.
// There must be one. mu must be held.
func (p *Pool) victim(now time.Time) int {
	names := make([]string, 0, len(p.idle))
	for _, c := range p.idle {
		names = append(names, c.Workspace)
	}
	return p.book.Victim(names, p.maxOpen, now)
}

// bestIdle returns the index of the idle connection that matches best, or -1 if the
// statement can use none. mu must be held.
func (p *Pool) bestIdle(needs Needs) int {
	best, bestScore := -1, -1
	for i, c := range p.idle {
		if !needs.accepts(c) {
			continue
		}
		if score := needs.matchScore(c); score >= bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// take returns an idle connection for a statement. mu must be held.
func (p *Pool) take(i int, w *waiter) *Conn {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	c.isAnyState = w.needs.AnyState
	p.running++
	p.book.Take(c.Workspace)
	return c
}

// returned records that a connection is no longer in use. mu must be held.
func (p *Pool) returned(c *Conn) {
	held := time.Duration(0)
	if !c.isAnyState && !c.acquiredAt.IsZero() {
		held = time.Since(c.acquiredAt)
	}
	p.book.Return(c.Workspace, held)
}

// startLack records that a statement has its turn and must wait for a connection. mu must be
// held.
func (p *Pool) startLack(w *waiter, chosen choice, now time.Time) {
	w.retryAfter = chosen.retryAfter
	if chosen.isBounded && !w.isBounded {
		w.isBounded = true
		p.observer.ConnBounded(w.needs.Workspace)
	}
	if !w.lackingSince.IsZero() {
		return
	}
	w.lackingSince = now
	if !w.needs.AnyState {
		p.book.Lack(w.needs.Workspace, 1)
	}
}

// endLack records that a statement no longer waits.
func (p *Pool) endLack(w *waiter) {
	if w.lackingSince.IsZero() || w.needs.AnyState {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.Lack(w.needs.Workspace, -1)
}

// nextTry returns how long a statement waits before it tries again. mu must be held.
func (w *waiter) nextTry() time.Duration {
	if w.retryAfter > 0 {
		return min(w.retryAfter, dialBackoff)
	}
	return dialBackoff
}

// ahead yields the waiters that go before w, in order. mu must be held.
func (p *Pool) ahead(w *waiter, now time.Time) iter.Seq[*waiter] {
	return func(yield func(*waiter) bool) {
		n := p.waiting.Ahead(&w.Ticket, now)
		if n == 0 {
			return
		}
		for o := range p.waiting.Ordered(now) {
			if n--; !yield(o) || n == 0 {
				return
			}
		}
	}
}

// keepsBack reports whether a waiter keeps back w if it goes before it. One that lacks a
// connection only keeps back statements of its own workspace: others may have an idle connection.
func (o *waiter) keepsBack(w *waiter) bool {
	return !o.HasTurn || o.needs.Workspace == w.needs.Workspace
}

// countAhead counts the waiters that go before w and keep it back. mu must be held.
func (p *Pool) countAhead(w *waiter, now time.Time) int {
	if n := p.waiting.Ahead(&w.Ticket, now); n < minAhead || p.waiting.Turned() == 0 {
		// No wait is estimated from so few.
		return n
	}
	n := 0
	for o := range p.ahead(w, now) {
		if o.keepsBack(w) {
			n++
		}
	}
	return n
}

// isBehind reports whether a waiter that waits for its turn goes before w. mu must be held.
func (p *Pool) isBehind(w *waiter, now time.Time) bool {
	if p.waiting.Len() == p.waiting.Turned() {
		return false
	}
	for o := range p.ahead(w, now) {
		if !o.HasTurn {
			return true
		}
	}
	return false
}

// isBehindOwn reports whether a waiter of w's workspace that lacks a connection goes before w.
// mu must be held.
func (p *Pool) isBehindOwn(w *waiter, now time.Time) bool {
	if p.waiting.Turned() == 0 {
		return false
	}
	for o := range p.ahead(w, now) {
		if o.HasTurn && o.keepsBack(w) {
			return true
		}
	}
	return false
}

// servable returns the first waiter for which a connection can be had, and how. It reports false
// if there is none. Waiters that have their turn and get no connection no longer keep back other
// workspaces. mu must be held.
func (p *Pool) servable(now time.Time) (*waiter, choice, bool) {
	var blocked []string
	isTurn := p.mayRun() && !now.Before(p.busyUntil)
	for w := range p.waiting.Ordered(now) {
		isBlocked := !w.needs.AnyState && slices.Contains(blocked, w.needs.Workspace)
		chosen := choice{}
		if !isBlocked {
			chosen = p.choose(w, now)
		}
		if chosen.way != await {
			return w, chosen, true
		}
		if isTurn && !w.HasTurn {
			p.waiting.GiveTurn(w)
			p.startLack(w, chosen, now)
			p.wakeAfter(chosen.retryAfter)
		}
		if !isBlocked && !w.needs.AnyState {
			blocked = append(blocked, w.needs.Workspace)
		}
	}
	return nil, choice{}, false
}

// wakeAfter wakes the next waiter after d, unless d is 0.
func (p *Pool) wakeAfter(d time.Duration) {
	if d <= 0 {
		return
	}
	time.AfterFunc(d+timerMargin, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.wakeNext()
	})
}

// handOver serves the first waiter that can be served now that c was returned, the last idle
// connection. It reports whether c is no longer idle. mu must be held.
func (p *Pool) handOver(c *Conn) bool {
	w, chosen, ok := p.servable(c.idleSince)
	if !ok {
		return false
	}
	p.serve(w)
	switch {
	case w.needs.accepts(c):
		w.ready <- p.take(len(p.idle)-1, w)
		return true
	case chosen.way == useIdle:
		w.ready <- p.take(chosen.idle, w)
		return false
	}
	// The room is given away here: a new statement could take it before the waiter tries again.
	isEvicted := chosen.way == evict && p.idle[chosen.idle] == c
	p.makeRoom(chosen)
	p.startDial(w)
	w.ready <- nil
	return isEvicted
}

// makeRoom closes the connection that a choice evicts. mu must be held.
func (p *Pool) makeRoom(chosen choice) {
	if chosen.way == evict {
		p.observer.ConnEvicted(p.idle[chosen.idle].Workspace)
		p.closeIdle(chosen.idle)
	}
}

// closeIdle closes an idle connection. mu must be held.
func (p *Pool) closeIdle(i int) {
	p.idle[i].Close()
	workspace := p.idle[i].Workspace
	p.idle = slices.Delete(p.idle, i, i+1)
	p.countClosed(workspace)
}

// closeAllIdle closes all idle connections. mu must be held.
func (p *Pool) closeAllIdle() {
	for len(p.idle) > 0 {
		p.closeIdle(len(p.idle) - 1)
	}
}
