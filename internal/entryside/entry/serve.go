package entry

import (
	"context"
	"time"

	"hemlockmast/internal/entryside/session"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/outcome"
)

const (
	// answerGrace is the time beyond the deadline in which an answer is written.
	answerGrace = time.Second
)

// serve runs one segment and answers it. An error ends the session.
func (sess *callerConn) serve(seg *segment) error {
	if sess.skipping {
		return sess.skip(seg)
	}
	if sess.failedTx {
		return sess.serveFailedTx(seg)
	}
	if handled, err := sess.serveOwn(seg); handled {
		return err
	}
	a := sess.newAttempt(seg)
	// A caller that does not read its answer must not hold an endpoint connection
	// for longer than its deadline.
	_ = sess.conn.SetWriteDeadline(a.deadline.Add(answerGrace))
	if refusal := a.checkRequest(); refusal != nil {
		return a.writeFailure(refusal)
	}
	ctx, done := sess.startRunning(a.deadline)
	defer done()
	permit, refusal := sess.srv.cfg.Admit.Admit(ctx, sess.service, a.inTx)
	if refusal != nil {
		return a.fail(ctx, refusal)
	}
	err := a.run(ctx)
	if context.Cause(ctx) == error(errAbandoned) {
		permit.Abandon()
	}
	permit.Finish()
	return err
}

// SessionHandle is the state of one session that outlives its connection.
// Errors are *outcome.Error.
type SessionHandle interface {
	// Floor returns what the session's next read in a group must see.
	Floor(ctx context.Context, group string) (session.GroupFloor, error)
	// Settle records the position that a primary, confirmed by a majority, gave
	// for a question that was asked after the last Floor.
	Settle(ctx context.Context, group string, pos logpos.Pos) error
	// CanWrite tells before a write is sent whether Raise could record it.
	CanWrite(group string) error
	// Raise records an acknowledged write. Until it returns, the write must not
	// be acknowledged.
	Raise(ctx context.Context, group string, pos logpos.Pos, confirmedBy string) error
	// Token returns the text that carries the session's state with the caller.
	Token() string
}

// Sessions opens session states.
type Sessions interface {
	// Open returns the state for a session id and token, each possibly empty.
	// Text that is not a token of this system is refused.
	Open(id, token string) (SessionHandle, *outcome.Error)
}

// Admitter bounds what runs at one time and how often segments are sent again.
type Admitter interface {
	// Admit waits for leave to run a segment. Errors are *outcome.Error with
	// outcome not run.
	Admit(ctx context.Context, service Service, inTransaction bool) (Permit, error)
	// Retry reports whether the service's budget allows one more try.
	Retry(service string) bool
}

// Permit is the leave to run one segment. One of its methods must be called at
// the segment's end; further calls have no effect.
type Permit interface {
	Finish()
	// Abandon says that the caller went away.
	Abandon()
}
