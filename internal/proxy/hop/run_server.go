package hop

import (
	"errors"
	"time"

	carrypb "hemlockmast/api/carry"
	"hemlockmast/internal/shared/fault"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

// run lends a connection, runs the steps of the request on it and answers once. An error ends
// the stream.
func (s *serverStream) run(m *carrypb.Run) error {
	if s.loan != nil || m.Borrow == nil || m.Statement == nil {
		return &ProtocolError{Got: "run during a loan, or without a statement"}
	}
	w := &runWork{serverStream: s, request: m, receivedAt: time.Now()}
	w.deadline = w.receivedAt.Add(time.Duration(m.Statement.LeftMs) * time.Millisecond)
	err := s.respond(w.do)
	if w.endsGuard {
		s.rollBack(w.deadline)
	}
	return err
}

// runWork is a Run while it is being served.
type runWork struct {
	*serverStream
	request    *carrypb.Run
	receivedAt time.Time
	deadline   time.Time
	reply      carrypb.RunReply
	// endsGuard is set when the open transaction is to be rolled back after the answer.
	endsGuard bool
}

// do returns the response, or nil if the request was abandoned before one of its steps.
func (w *runWork) do() *carrypb.Response {
	response := w.borrow(w.request.Borrow)
	w.reply.Granted = response.GetGranted()
	if w.reply.Granted == nil {
		return response
	}
	if w.isAbandoned() {
		// The connection is as the pool lent it.
		w.loan.Return()
		w.clearLoan()
		return nil
	}
	after := logpos.Pos{Term: w.request.Statement.AfterTerm, Index: w.request.Statement.AfterIndex}
	if len(w.request.Begin) > 0 {
		if !w.begin(after) {
			return w.response()
		}
		if w.isAbandoned() {
			return nil
		}
		after = logpos.Pos{}
	}
	w.runStatement(after)
	return w.response()
}

func (w *runWork) response() *carrypb.Response {
	w.reply.ServedUs = uint64(time.Since(w.receivedAt).Microseconds())
	return &carrypb.Response{Kind: &carrypb.Response_RunReply{RunReply: &w.reply}}
}

// begin starts the transaction. It reports whether the endpoint accepted it; otherwise the loan
// is over.
func (w *runWork) begin(after logpos.Pos) bool {
	reply, err := w.loan.Do(w.deadline, string(w.request.Begin), string(w.request.BeginId), after)
	if err != nil {
		w.broke(err)
		return false
	}
	w.reply.Begun = encodeReply(reply)
	if reply.Err != nil {
		w.endLoan(reply)
	}
	return reply.Err == nil
}

// runStatement runs the statement and ends the loan if the request asks for it.
func (w *runWork) runStatement(after logpos.Pos) {
	text := string(w.request.Statement.Text)
	if w.request.Executes {
		text = w.loan.Execute(string(w.request.Borrow.GetShape().GetText()), string(w.request.ExecuteArgs))
	}
	startedAt := time.Now()
	reply, err := w.loan.Do(w.deadline, text, string(w.request.Statement.Id), after)
	w.reply.StatementUs = uint64(time.Since(startedAt).Microseconds())
	if err != nil {
		w.broke(err)
		return
	}
	w.reply.Reply = encodeReply(reply)
	switch {
	case w.request.End == carrypb.Run_END_ROLLBACK && !isNoStatement(reply):
		w.endsGuard = true
	case w.request.End == carrypb.Run_END_KEEP && (reply.Err == nil || reply.State != stmt.Idle):
		w.reply.Kept = true
	default:
		w.endLoan(reply)
	}
}

// isNoStatement reports whether the record of the connection's prepared statements is wrong.
func isNoStatement(reply stmt.Reply) bool {
	return reply.Err != nil && reply.Err.Code == stmt.CodeNoStatement
}

// endLoan ends the loan after a reply. It discards a connection that cannot be used again.
func (w *runWork) endLoan(reply stmt.Reply) {
	if reply.State != stmt.Idle || isNoStatement(reply) {
		w.discardLoan()
		return
	}
	w.loan.Return()
	w.clearLoan()
}

// broke ends the loan after the connection to the endpoint has failed.
func (w *runWork) broke(err error) {
	w.discardLoan()
	w.reply.Broken = encodeBroken(err)
}

func encodeBroken(err error) *carrypb.Broken {
	var broken *stmt.BrokenError
	sent := !errors.As(err, &broken) || broken.Sent
	return &carrypb.Broken{Sent: sent, Detail: []byte(err.Error())}
}

// rollBack ends the loan with a rollback in the background, so that the stream can serve the
// next request. The loan counts until then.
func (s *serverStream) rollBack(deadline time.Time) {
	loan := s.loan
	s.loan = nil
	go func() {
		defer fault.Recover(s.server.log, "rollback of a guard", s.server.onPanic)
		defer s.server.removeLoan()
		loan.RollBack(deadline)
	}()
}
