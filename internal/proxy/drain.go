package proxy

import (
	"context"
	"sync"
	"time"

	"hemlockmast/internal/shared/wait"
)

const (
	// drainNotice is how long new connections still arrive after readiness ended:
	// two questions a second apart, and a little.
	drainNotice = 2500 * time.Millisecond
	// drainQuiet is how long a session must have been idle to be ended early. A
	// caller sends the statements of one operation at shorter intervals.
	drainQuiet = 150 * time.Millisecond
	// drainExtra is the time after the notice in which sessions may become idle.
	drainExtra = time.Second
	// drainPoll is how often the end of the last session is looked for.
	drainPoll = 20 * time.Millisecond
)

// idleGate tells whether a session waits for its caller, so that it can be ended
// there and nowhere else.
type idleGate struct {
	mu sync.Mutex
	// waiting is set while the session waits; canEnd also outside a transaction.
	waiting bool
	canEnd  bool
	// closed asks the session to end once it can, forced also in a transaction.
	closed bool
	forced bool
	// since is when the session began to wait.
	since time.Time
}

// enter notes that the session waits; it reports false when the session must end.
func (g *idleGate) enter(canEnd bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed && canEnd || g.forced {
		return false
	}
	g.waiting, g.canEnd, g.since = true, canEnd, time.Now()
	return true
}

// leave notes that a statement has begun to arrive. interrupt is not called any
// more afterwards.
func (g *idleGate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = false
}

// close asks the session to end and calls interrupt if it waits where it may. A
// session that has waited for less than quiet is left alone: its caller may be
// about to send.
func (g *idleGate) close(force bool, quiet time.Duration, interrupt func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	isQuiet := g.waiting && g.canEnd && time.Since(g.since) >= quiet
	if quiet > 0 && !isQuiet {
		return
	}
	g.closed = true
	g.forced = g.forced || force
	if g.waiting && (g.canEnd || g.forced) {
		interrupt()
	}
}

// Drain ends the sessions without cutting a request: it first stops being ready,
// waits until callers are led elsewhere, then ends each session once it is idle.
// Transactions may go on until txEnd, everything until ctx ends.
func (s *Server) Drain(ctx context.Context, txEnd time.Duration) {
	s.draining.Store(true)
	s.log.Info("drain started", "sessions", s.countSessions())
	end := time.Now().Add(txEnd)
	s.awaitNotice(ctx, time.Now().Add(min(drainNotice, txEnd)))
	end = end.Add(drainExtra)
	for ctx.Err() == nil && s.countSessions() > 0 {
		isLate := time.Now().After(end)
		quiet := drainQuiet
		if isLate {
			quiet = 0
		}
		s.endIdle(isLate, quiet)
		wait.For(ctx, drainPoll)
	}
	s.log.Info("drain ended", "sessions", s.countSessions())
}

// awaitNotice waits until the platform has been told twice, at most until the
// stated time: nobody may be asking.
func (s *Server) awaitNotice(ctx context.Context, until time.Time) {
	for ctx.Err() == nil && time.Now().Before(until) && !s.misses.hasLeft() {
		wait.For(ctx, drainPoll)
	}
}

func (s *Server) countSessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// endIdle closes the connections of sessions idle for longer than quiet;
// withTransactions also those of sessions that wait within a transaction.
func (s *Server) endIdle(withTransactions bool, quiet time.Duration) {
	s.mu.Lock()
	list := make([]*session, 0, len(s.sessions))
	for ss := range s.sessions {
		list = append(list, ss)
	}
	s.mu.Unlock()
	for _, ss := range list {
		ss.idle.close(withTransactions, quiet, func() {
			if err := ss.caller.SetReadDeadline(time.Now()); err != nil {
				s.log.V(1).Info("session is gone already", "error", err.Error())
			}
		})
	}
}
