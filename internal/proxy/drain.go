package proxy

import (
	"context"
	"sync"
	"time"

	"hemlockmast/internal/shared/wait"
)

const (
	// outOfRotationTimeout bounds how long Drain waits until the platform sends callers
	// elsewhere: the platform asks for readiness twice, a second apart, plus a margin.
	outOfRotationTimeout = 2500 * time.Millisecond
	// minIdleTime is how long a session must have been idle before it is ended early. A
	// caller sends the statements of one operation at shorter intervals.
	minIdleTime = 150 * time.Millisecond
	// drainGrace is added to the timeout of transactions, so that sessions have time to
	// become idle after the wait for the platform.
	drainGrace = time.Second
	// drainPollInterval is the time between two checks for the end of the last session.
	drainPollInterval = 20 * time.Millisecond
)

// idleGate tracks whether a session waits for its caller, since a session may only be ended
// while it waits.
type idleGate struct {
	mu sync.Mutex
	// isWaiting is set while the session waits for a statement. canEnd is set if it waits
	// outside a transaction.
	isWaiting bool
	canEnd    bool
	// isClosed asks the session to end when it next waits outside a transaction, isForced
	// when it next waits, in a transaction or not.
	isClosed bool
	isForced bool
	// waitingSince is when the session began to wait.
	waitingSince time.Time
}

// enterWait records that the session starts to wait. It reports false if the session must
// end.
func (g *idleGate) enterWait(canEnd bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isClosed && canEnd || g.isForced {
		return false
	}
	g.isWaiting, g.canEnd, g.waitingSince = true, canEnd, time.Now()
	return true
}

// leaveWait records that a statement has begun to arrive. After it returns, close does not
// call interrupt.
func (g *idleGate) leaveWait() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isWaiting = false
}

// close asks the session to end. It calls interrupt if the session waits where it may end;
// with force, that includes a wait inside a transaction. If minIdle is not 0, close acts
// only on a session that has waited outside a transaction for at least minIdle: a caller
// that was active more recently may be about to send its next statement.
func (g *idleGate) close(force bool, minIdle time.Duration, interrupt func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	isIdle := g.isWaiting && g.canEnd && time.Since(g.waitingSince) >= minIdle
	if minIdle > 0 && !isIdle {
		return
	}
	g.isClosed = true
	g.isForced = g.isForced || force
	if g.isWaiting && (g.canEnd || g.isForced) {
		interrupt()
	}
}

// Drain ends all sessions without interrupting a request. Ready reports false from then on.
// Drain waits until the platform sends callers elsewhere and then ends each session when
// it has been idle for minIdleTime. After txTimeout, work that might not end before ctx is
// refused. After txTimeout plus drainGrace, all new work is, and every session ends that waits for
// its caller, also inside a transaction. refuseCallers, which refuses further connections, is
// called once no session is left or all new work is refused. Drain returns when no session is left
// or ctx is done; statements in progress are answered before.
func (s *Server) Drain(ctx context.Context, txTimeout time.Duration, refuseCallers func()) {
	endsAt, _ := ctx.Deadline()
	plan := newStopPlan(time.Now(), endsAt, txTimeout)
	s.stopPlan.Store(&plan)
	s.isDraining.Store(true)
	s.log.Info("drain started", "sessions", s.countSessions())
	s.awaitOutOfRotation(ctx, time.Now().Add(min(outOfRotationTimeout, txTimeout)))
	for ctx.Err() == nil && s.open.Load() > 0 && !s.refusesAll(plan) {
		s.endSessions(ctx, plan)
	}
	refuseCallers()
	// A connection may have been accepted just before.
	for isFirst := true; ctx.Err() == nil && (isFirst || s.open.Load() > 0); isFirst = false {
		s.endSessions(ctx, plan)
	}
	s.log.Info("drain ended", "sessions", s.countSessions())
	s.answerUnfinished()
}

// endSessions ends the sessions that may end now, and waits for drainPollInterval.
func (s *Server) endSessions(ctx context.Context, plan stopPlan) {
	force := time.Now().After(plan.sessionsEndAt)
	minIdle := minIdleTime
	if force {
		minIdle = 0
	}
	s.endIdleSessions(force, minIdle)
	wait.For(ctx, drainPollInterval)
}

// awaitOutOfRotation waits until the platform has seen enough negative answers of Ready to
// send callers elsewhere. It waits until deadline at most, because the platform may not be
// asking.
func (s *Server) awaitOutOfRotation(ctx context.Context, deadline time.Time) {
	for ctx.Err() == nil && time.Now().Before(deadline) && !s.notReadyStreak.isOutOfRotation() {
		wait.For(ctx, drainPollInterval)
	}
}

// countSessions returns the number of open sessions.
func (s *Server) countSessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// endIdleSessions ends the sessions that have been idle for at least minIdle. With
// withTransactions, it also ends sessions that wait inside a transaction.
func (s *Server) endIdleSessions(withTransactions bool, minIdle time.Duration) {
	for _, ss := range s.listSessions() {
		ss.end(withTransactions, minIdle)
	}
}

// listSessions returns the open sessions.
func (s *Server) listSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*session, 0, len(s.sessions))
	for ss := range s.sessions {
		list = append(list, ss)
	}
	return list
}

// end asks the session to end. force and minIdle are those of idleGate.close.
func (ss *session) end(force bool, minIdle time.Duration) {
	ss.idle.close(force, minIdle, func() {
		if err := ss.caller.SetReadDeadline(time.Now()); err != nil {
			ss.server.log.V(1).Info("session has already ended", "error", err.Error())
		}
	})
}
