package pool

import (
	"context"
	"errors"
	"slices"
	"time"

	"hemlockmast/internal/shared/stmt"
)

// defaultDialTime is the time of a dial that is assumed until one was measured.
const defaultDialTime = 12 * time.Millisecond

// mayDial reports whether another connection may be opened for a workspace. A second one has to
// wait until the first is open, which shows how long a dial takes. mu must be held.
func (p *Pool) mayDial(workspace string, now time.Time) bool {
	if p.open >= p.maxOpen || p.dialing >= maxConcurrentDials || now.Before(p.noDialUntil) {
		return false
	}
	isFirst := p.open == p.dialing
	isSlow := now.Before(p.slowDialUntil)
	switch {
	case isFirst:
		return p.dialing == 0
	case p.isFirstOf(workspace):
		return true
	case isSlow && p.isCarried && p.open < p.share:
		// A carrier holds its share for seconds or longer, so a slow dial is worth the wait.
		return p.dialing == 0
	}
	return !isSlow
}

// mayReplace reports whether a connection may be opened for a workspace in place of an idle one
// of another. mu must be held.
func (p *Pool) mayReplace(workspace string, now time.Time) bool {
	if p.open != p.maxOpen || p.dialing >= maxConcurrentDials || now.Before(p.noDialUntil) {
		return false
	}
	return p.isFirstOf(workspace) || !now.Before(p.slowDialUntil)
}

// isFirstOf reports whether a connection would be the first of a workspace. Its statements can't
// use any other, so that they do not wait until the endpoint counts as fast again. mu must be
// held.
func (p *Pool) isFirstOf(workspace string) bool {
	return workspace != "" && p.book.Held(workspace) == 0
}

// dialTime returns how long opening a connection takes. mu must be held.
func (p *Pool) dialTime() time.Duration {
	if p.avgDialTime == 0 {
		return defaultDialTime
	}
	return p.avgDialTime
}

// recordDialTime records the time of a successful dial. mu must be held.
func (p *Pool) recordDialTime(took time.Duration) {
	if p.avgDialTime == 0 {
		p.avgDialTime = took
	}
	p.avgDialTime += (took - p.avgDialTime) / averageDivisor
}

// attempt is a dial with the statement that waits for it.
type attempt struct {
	waiter *waiter
	// done receives the result once: the dialed connection, one that was returned meanwhile, or
	// the dial's error.
	done chan attemptResult
}

type attemptResult struct {
	conn *Conn
	err  error
}

// startDial counts a connection for a statement and opens it in the background. mu must be held.
func (p *Pool) startDial(w *waiter) {
	workspace := w.needs.dialWorkspace()
	p.countOpen(workspace)
	p.dialing++
	p.running++
	p.book.Take(workspace)
	w.attempt = &attempt{waiter: w, done: make(chan attemptResult, 1)}
	p.attempts = append(p.attempts, w.attempt)
	go p.establish(w.attempt, workspace)
}

// awaitDial returns the connection that startDial opens, or one that is returned earlier. A
// statement's deadline must not decide whether the endpoint counts as reached. The dial therefore
// continues without the statement, and its connection goes to the pool.
func (p *Pool) awaitDial(a *attempt, deadline time.Time) (*Conn, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case r := <-a.done:
		return r.conn, r.err
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.endAttempt(a) {
		r := <-a.done
		return r.conn, r.err
	}
	p.stopCounting(a)
	p.wakeRunnable()
	return nil, &FullError{Endpoint: p.Endpoint.ID}
}

// endAttempt records that a statement no longer waits for its dial. It reports false if that is
// recorded already; done has its result then. mu must be held.
func (p *Pool) endAttempt(a *attempt) bool {
	i := slices.Index(p.attempts, a)
	if i < 0 {
		return false
	}
	p.attempts = slices.Delete(p.attempts, i, i+1)
	return true
}

// stopCounting no longer counts the connection of a dial as one that runs a statement. A dial
// without a statement does not count: one whose packets are lost takes no slot at the endpoint,
// and maxConcurrentDials bounds the others. mu must be held.
func (p *Pool) stopCounting(a *attempt) {
	p.running--
	p.book.Return(a.waiter.needs.dialWorkspace(), 0)
}

// giveToAttempt gives c, the last idle connection, to a statement that waits for its dial. With
// inOrder, the statement must go before all waiters that could use c. mu must be held.
func (p *Pool) giveToAttempt(c *Conn, inOrder bool) bool {
	for _, a := range p.attempts {
		if !a.waiter.needs.accepts(c) || inOrder && p.isOvertaken(a.waiter, c) {
			continue
		}
		p.endAttempt(a)
		// The statement already counts as running.
		p.stopCounting(a)
		a.done <- attemptResult{conn: p.take(len(p.idle)-1, a.waiter)}
		return true
	}
	return false
}

// isOvertaken reports whether a waiter that goes before w can use c now. mu must be held.
func (p *Pool) isOvertaken(w *waiter, c *Conn) bool {
	now := time.Now()
	if !p.mayRun() || now.Before(p.busyUntil) {
		return false
	}
	for o := range p.ahead(w, now) {
		if o.needs.accepts(c) && (o.needs.AnyState || !p.book.AtBound(o.needs.Workspace, p.maxOpen, now)) {
			return true
		}
	}
	return false
}

// offer makes a connection idle, or hands it to a statement that waits. It reports whether the
// connection is no longer idle. mu must be held.
func (p *Pool) offer(c *Conn) bool {
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	if p.giveToAttempt(c, true) {
		// The statement already had its slot, so that the one of c's last user is free.
		p.wakeRunnable()
		return true
	}
	if p.waiting.Len() > 0 && p.mayRun() && c.idleSince.After(p.busyUntil) && p.handOver(c) {
		return true
	}
	return p.giveToAttempt(c, false)
}

// wakeRunnable wakes the next waiter if it may run. mu must be held.
func (p *Pool) wakeRunnable() {
	if p.slots > 0 && p.mayRun() && !time.Now().Before(p.busyUntil) {
		p.wakeNext()
	}
}

// keep makes a connection idle as offer does, or closes it if the pool has no room for it. mu must
// be held.
func (p *Pool) keep(c *Conn) {
	if p.isClosed || p.open > p.maxOpen {
		c.Close()
		p.countClosed(c.Workspace)
		return
	}
	if p.offer(c) {
		return
	}
	p.closeExpired()
	if p.open > p.share {
		// Without a timer, the connection would stay open until the next use of the pool.
		p.sweepAfter(p.currentIdleTimeout())
	}
}

// establish opens the connection of an attempt and updates the pool's counters.
func (p *Pool) establish(a *attempt, workspace string) {
	endpoint := p.Endpoint
	endpoint.Workspace = workspace
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	started := time.Now()
	raw, err := p.dialer.Dial(ctx, endpoint)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if time.Since(started) > slowDialThreshold {
		p.slowDialUntil = time.Now().Add(slowDialBackoff)
	}
	isAwaited := p.endAttempt(a)
	if err != nil {
		p.dialFailed(a, isAwaited, err)
		return
	}
	p.recordDialTime(time.Since(started))
	p.observer.ConnOpened()
	c := NewConn(raw)
	c.Workspace, c.pool = workspace, p
	if isAwaited {
		a.done <- attemptResult{conn: c}
	} else {
		p.keep(c)
	}
	p.wakeNext()
}

// dialFailed records a failed dial. Its error goes to the statement that waits for it. If none
// does, the state of the pool says enough: the next statements see it, and a probe reports an
// endpoint that stays down. mu must be held.
func (p *Pool) dialFailed(a *attempt, isAwaited bool, err error) {
	if isAwaited {
		p.stopCounting(a)
		a.done <- attemptResult{err: err}
	}
	p.countClosed(a.waiter.needs.dialWorkspace())
	var refused *stmt.RefusedError
	if errors.As(err, &refused) && refused.Reply.Code == stmt.CodeTooMany {
		p.lastFullAt = time.Now()
		p.noDialUntil = p.lastFullAt.Add(dialBackoff)
	} else {
		p.markDown()
	}
	p.wakeNext()
}
