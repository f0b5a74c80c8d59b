package proxy

import (
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/shared/stmt"
)

// finalAnswerTimeout bounds writing the answers to statements that are not done when the daemon
// stops.
const finalAnswerTimeout = 100 * time.Millisecond

// stopPlan holds the times at which a daemon that stops ends its work. Callers may keep coming until
// the end, because the platform uses all entries of a failure domain while most of them stop.
type stopPlan struct {
	// New work is refused from refuseFrom on if it might not end before endsAt, when the daemon
	// ends, and all of it from sessionsEndAt on, when sessions that wait for their callers end.
	refuseFrom, sessionsEndAt, endsAt time.Time
}

// newStopPlan returns the plan of a daemon that begins to stop now; txTimeout is as for Drain. The
// zero endsAt means that no end is known.
func newStopPlan(now, endsAt time.Time, txTimeout time.Duration) stopPlan {
	return stopPlan{refuseFrom: now.Add(txTimeout), sessionsEndAt: now.Add(txTimeout + drainGrace), endsAt: endsAt}
}

// lastStart returns until when a statement that may take as long as timeout is passed on.
func (p stopPlan) lastStart(timeout time.Duration) time.Time {
	last := p.sessionsEndAt
	if inTime := p.endsAt.Add(-timeout); !p.endsAt.IsZero() && inTime.Before(last) {
		last = inTime
	}
	if last.Before(p.refuseFrom) {
		return p.refuseFrom
	}
	return last
}

// lastStart returns until when this daemon passes new work of a route on; ok is false if it does
// not stop.
func (s *Server) lastStart(route *fleetpb.Route) (at time.Time, ok bool) {
	plan := s.stopPlan.Load()
	if plan == nil {
		return time.Time{}, false
	}
	return plan.lastStart(time.Duration(route.GetTimeoutMs()) * time.Millisecond), true
}

// refusesNew reports whether this daemon stops so soon that it passes no new work of a route on.
func (s *Server) refusesNew(route *fleetpb.Route) bool {
	at, ok := s.lastStart(route)
	return ok && !time.Now().Before(at)
}

// stoppingError is the answer to work that this daemon does not pass on any more. Nothing of it has
// run.
func stoppingError() *stmt.Error {
	return &stmt.Error{Code: stmt.CodeBusy, Detail: "the daemon stops"}
}

// waitUntil returns when a statement that has not reached an endpoint is refused: at the time of
// waitDeadline, or earlier because this daemon stops.
func (s *Server) waitUntil(route *fleetpb.Route, arrival time.Time) time.Time {
	until := waitDeadline(route, arrival)
	if at, ok := s.lastStart(route); ok && at.Before(until) {
		return at
	}
	return until
}

// refusesAll reports whether this daemon refuses new work of every route.
func (s *Server) refusesAll(plan stopPlan) bool {
	for _, route := range s.cfg.View.Snapshot().Config.GetRoutes() {
		if !s.refusesNew(route) {
			return false
		}
	}
	return time.Now().After(plan.refuseFrom)
}

// answerUnfinished answers the statements that are not done. It is called right before the daemon
// ends; their outcome is not known then.
func (s *Server) answerUnfinished() {
	for _, ss := range s.listSessions() {
		ss.answerUnfinished()
	}
}

// begin records that a statement has been read and has to be answered.
func (ss *session) begin(st stmt.Statement) {
	reply := ss.unfinished(st)
	ss.answerMu.Lock()
	defer ss.answerMu.Unlock()
	ss.unanswered = &reply
}

// answer sends the reply to the statement that was begun. It returns false if that failed, or if
// the statement was answered because the daemon ends.
func (ss *session) answer(reply stmt.Reply) bool {
	ss.answerMu.Lock()
	defer ss.answerMu.Unlock()
	if ss.unanswered == nil {
		return false
	}
	ss.unanswered = nil
	if err := ss.caller.SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
		return false
	}
	return !ss.answerFailed(ss.caller.Answer(reply))
}

// answerUnfinished answers the statement in progress, if there is one, in place of its session.
func (ss *session) answerUnfinished() {
	ss.answerMu.Lock()
	defer ss.answerMu.Unlock()
	reply := ss.unanswered
	if reply == nil {
		return
	}
	ss.unanswered = nil
	ss.server.log.Info("statement not done when the daemon ends", "database", ss.database, "code", reply.Err.Code.String())
	if err := ss.caller.SetWriteDeadline(time.Now().Add(finalAnswerTimeout)); err != nil {
		return
	}
	ss.answerFailed(ss.caller.Answer(*reply))
}

// unfinished returns the answer to a statement whose outcome is not known when the daemon ends. An
// open transaction is rolled back then, unless its commit was sent.
func (ss *session) unfinished(st stmt.Statement) stmt.Reply {
	const detail = "the daemon ended before the statement did"
	shape, isKnown := ss.prepared[st.Name]
	switch {
	case ss.tx != nil && st.Kind != stmt.Commit:
		return stmt.Reply{Err: &stmt.Error{Code: stmt.CodeAborted, Detail: detail}, State: stmt.Failed}
	case st.Kind == stmt.Read, st.Kind == stmt.Execute && isKnown && !shape.Writes:
		return stmt.Reply{Err: &stmt.Error{Code: stmt.CodeFailed, Detail: detail}}
	}
	return stmt.Reply{Err: &stmt.Error{Code: stmt.CodeInDoubt, Detail: detail}}
}
