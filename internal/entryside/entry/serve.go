package entry

import (
	"context"
	"time"

	"hemlockmast/internal/entryside/session"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/outcome"
)

const (
	// answerWriteGrace is the additional time after the deadline for writing the
	// answer to the caller.
	answerWriteGrace = time.Second
)

// serveSegment runs one segment and answers it. An error ends the session.
func (sess *callerConn) serveSegment(seg *segment) error {
	if sess.skippingToSync {
		return sess.skipToSync(seg)
	}
	if sess.failedTx {
		return sess.serveFailedTx(seg)
	}
	if handled, err := sess.serveSet(seg); handled {
		return err
	}
	exec := sess.newExecution(seg)
	// A caller that does not read its answer must not keep an endpoint connection
	// in use much longer than its deadline.
	_ = sess.conn.SetWriteDeadline(exec.deadline.Add(answerWriteGrace))
	if refusal := exec.checkRequestID(); refusal != nil {
		return exec.writeFailure(refusal)
	}
	ctx, done := sess.startRunning(exec.deadline)
	defer done()
	permit, refusal := sess.srv.cfg.Admit.Admit(ctx, sess.service, exec.inTx)
	if refusal != nil {
		return exec.fail(ctx, refusal)
	}
	err := exec.runWithRetries(ctx)
	if context.Cause(ctx) == error(errAbandoned) {
		permit.Abandon()
	}
	permit.Finish()
	return err
}

// SessionHandle gives access to the state of one session, which outlives the
// caller's connection. Errors are *outcome.Error.
type SessionHandle interface {
	// Floor returns the position that the session's next read in group must see.
	Floor(ctx context.Context, group string) (session.GroupFloor, error)
	// Settle records a position that a primary confirmed by a majority reported
	// after the last call of Floor. It covers all earlier writes of the session.
	Settle(ctx context.Context, group string, pos logpos.Pos) error
	// CanWrite returns an error if Raise could not record a write in group. It is
	// called before the write is sent.
	CanWrite(group string) error
	// Raise records a committed write at pos, confirmed by slot confirmedBy. The
	// write must not be acknowledged to the caller before Raise returns nil.
	Raise(ctx context.Context, group string, pos logpos.Pos, confirmedBy string) error
	// Token returns the session's state as a token for the caller.
	Token() string
}

// Sessions opens session states.
type Sessions interface {
	// Open returns the state for a session id and a token, each of which may be
	// empty. It refuses an invalid id and a token that this system did not issue.
	Open(id, token string) (SessionHandle, *outcome.Error)
}

// Admitter limits the number of concurrent segments and of retries.
type Admitter interface {
	// Admit waits for permission to run a segment. Errors are *outcome.Error with
	// outcome NotRun.
	Admit(ctx context.Context, service Service, inTransaction bool) (Permit, error)
	// Retry reports whether the service's retry budget allows another retry, and
	// charges it.
	Retry(service string) bool
}

// Permit is the permission to run one segment. One of its methods must be called
// when the segment ends. Further calls have no effect.
type Permit interface {
	// Finish reports that the segment has ended.
	Finish()
	// Abandon reports that the caller disconnected before the answer.
	Abandon()
}
