package entry

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"hemlockmast/api/link"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/outcome"
	"hemlockmast/internal/wire/exchange"
	"hemlockmast/internal/wire/pgwire"
)

const (
	// minRetryBackoff and maxRetryBackoff bound the wait before a segment is sent
	// again. The wait doubles with each attempt.
	minRetryBackoff = 2 * time.Millisecond
	maxRetryBackoff = 100 * time.Millisecond
)

// execution runs one segment, in one or more attempts.
type execution struct {
	sess      *callerConn
	seg       *segment
	sink      bufferedSink
	access    access
	level     ReadLevel
	requestID string
	// isBegin states that the segment has a request id and is a single BEGIN.
	isBegin    bool
	started    time.Time
	deadline   time.Time
	avoidSlots []string
	target     Target
	// mayHaveRun states that an attempt ended with its outcome unknown and may
	// have had an effect.
	mayHaveRun bool
	// inTx states that the segment continues an open exchange.
	inTx bool
	// atPrimary states that the last attempt was sent to the primary.
	atPrimary bool
}

func (sess *callerConn) newExecution(seg *segment) *execution {
	now := time.Now()
	e := &execution{
		sess: sess, seg: seg, sink: bufferedSink{w: sess.conn},
		started: now, deadline: now.Add(sess.deadline()),
		inTx: sess.exchange != nil, atPrimary: sess.onPrimary,
		level: sess.service.Level, requestID: sess.entryParams[paramRequestID],
	}
	e.access = sess.segmentAccess(seg)
	if level, ok := parseLevel(sess.entryParams[paramLevel]); ok {
		e.level = level
	}
	if len(seg.queries) > 0 {
		h := parseHints(seg.queries[0])
		if level, ok := parseLevel(h[hintLevel]); ok {
			e.level = level
		}
		if id := h[hintRequestID]; id != "" {
			e.requestID = id
		}
	}
	return e
}

// checkRequestID refuses a request id on a segment that cannot be protected from
// running twice. The segment must be a single statement or the BEGIN of a
// transaction. The session's request id is used up by this segment. Within a
// transaction, and for segments that run nothing, it is ignored and kept.
func (e *execution) checkRequestID() *outcome.Error {
	if e.requestID == "" {
		return nil
	}
	if e.inTx || e.seg.executions == 0 {
		e.requestID = ""
		return nil
	}
	delete(e.sess.entryParams, paramRequestID)
	if e.seg.executions > 1 || e.seg.endType == pgwire.MsgFlush || !isSingleStatement(e.seg.queries[0]) {
		return outcome.NotRunError(outcome.CodeFeatureNotSupported, outcome.ReasonProtocol,
			"a request id needs a single statement or a BEGIN", nil)
	}
	_, e.isBegin = parseBegin(e.seg.queries[0])
	e.access = accessWrite
	return nil
}

// deadline returns how long a segment may take: the session's own setting, but
// at most the service's.
func (sess *callerConn) deadline() time.Duration {
	if d, err := time.ParseDuration(sess.entryParams[paramDeadline]); err == nil && d > 0 {
		return min(d, sess.service.Deadline)
	}
	return sess.service.Deadline
}

// runWithRetries sends the segment until an attempt succeeds, a failure must not
// be retried or ctx ends.
func (e *execution) runWithRetries(ctx context.Context) error {
	for backoff := minRetryBackoff; ; backoff = min(2*backoff, maxRetryBackoff) {
		res, err := e.tryOnce(ctx)
		if err == nil {
			return e.sendReply(ctx, res)
		}
		e.noteUnknownOutcome(err)
		if !e.mayRetry(ctx, err) || !sleep(ctx, backoff) {
			return e.fail(ctx, err)
		}
	}
}

// noteUnknownOutcome records that an attempt may have run. After that, a failure
// of a later attempt cannot be reported as not run.
func (e *execution) noteUnknownOutcome(err error) {
	var failure *outcome.Error
	if errors.As(err, &failure) && failure.Outcome == outcome.Unknown && (e.access == accessWrite || e.atPrimary) {
		e.mayHaveRun = true
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// errReadOnly reports a segment that a replica refused because it writes.
var errReadOnly = outcome.NotRunError(outcome.CodeReadOnlyTransaction, outcome.ReasonUnknownTarget,
	"the segment writes", nil)

// errSuperseded reports a segment that a superseded primary refused.
var errSuperseded = outcome.NotRunError(outcome.CodeCannotConnectNow, outcome.ReasonSuperseded,
	"the primary was superseded", nil)

// errNotServing reports a segment that an endpoint refused because it currently
// serves nothing, for example while it compares its log with a new primary's.
var errNotServing = outcome.NotRunError(outcome.CodeCannotConnectNow, outcome.ReasonEndpointDown,
	"the endpoint serves nothing at the moment", nil)

// tryOnce makes one attempt to run the segment.
func (e *execution) tryOnce(ctx context.Context) (exchange.Result, error) {
	sess := e.sess
	wire := &link.Segment{Ops: e.seg.ops}
	if sess.exchange == nil {
		open, err := e.open(ctx)
		if err != nil {
			return exchange.Result{}, err
		}
		wire.Open = open
	}
	started := time.Now()
	res, err := sess.exchange.Run(ctx, wire, &e.sink)
	if e.target.Done != nil {
		e.target.Done(time.Since(started), err)
		e.target.Done = nil
	}
	if err != nil {
		sess.dropExchange()
		return res, err
	}
	if e.inTx || e.sink.started {
		return res, nil
	}
	if res.ReadOnlyRefusal {
		return res, e.handleReadOnlyRefusal()
	}
	if res.ErrorCode == outcome.CodeCannotConnectNow {
		sess.dropExchange()
		return res, errNotServing
	}
	return res, nil
}

// handleReadOnlyRefusal decides how to go on with a segment that the endpoint
// refused to run because it writes. An undeclared segment that was tried at a
// replica is retried at the primary. A write refused by a primary is retried at
// the next primary, because this one must have been superseded. For a segment
// that declared itself read-only it returns nil, and the caller gets the
// endpoint's answer.
func (e *execution) handleReadOnlyRefusal() error {
	switch {
	case e.access == accessUndeclared && !e.atPrimary:
		e.sess.srv.learned.add(e.sess.service.Name, e.seg.queries)
		e.access = accessWrite
		e.sess.dropExchange()
		return errReadOnly
	case e.access == accessWrite && e.atPrimary:
		e.sess.dropExchange()
		return errSuperseded
	}
	return nil
}

// open routes the segment and opens an exchange at the chosen slot.
func (e *execution) open(ctx context.Context) (*link.Open, error) {
	sess := e.sess
	need, err := e.need(ctx)
	if err != nil {
		return nil, err
	}
	target, err := sess.srv.cfg.Router.Route(ctx, need)
	if err != nil {
		return nil, err
	}
	ex, err := target.Opener.Open(ctx)
	if err != nil {
		if target.Done != nil {
			target.Done(0, err)
		}
		e.avoidReplica(target.Slot, target.Primary)
		return nil, err
	}
	sess.exchange, sess.onPrimary, sess.slot = ex, target.Primary, target.Slot
	e.atPrimary = target.Primary
	e.target = target
	e.sink.confirm = target.Confirm
	e.sink.ctx = ctx
	return &link.Open{
		Group:      sess.service.Group,
		Slot:       target.Slot,
		Database:   sess.db,
		User:       sess.user,
		Service:    sess.service.Name,
		Params:     sess.wireParams(),
		Write:      need.Write,
		FloorTerm:  target.Floor.Term,
		FloorIndex: target.Floor.Index,
		WaitUs:     uint64(target.Wait / time.Microsecond),
		RequestId:  e.requestID,
		Begins:     e.isBegin,
		Priority:   sess.service.Priority,
	}, nil
}

// need returns the router's input for the segment. It refuses a write whose floor
// could not be recorded afterwards, before the write is sent.
func (e *execution) need(ctx context.Context) (Need, error) {
	sess := e.sess
	need := Need{
		Service:  sess.service,
		Write:    e.access == accessWrite,
		Level:    e.level,
		Avoid:    e.avoidSlots,
		Deadline: e.deadline,
	}
	if need.Write {
		return need, sess.handle.CanWrite(sess.service.Group)
	}
	floor, err := sess.handle.Floor(ctx, sess.service.Group)
	if err != nil {
		return need, err
	}
	need.Floor = floor
	need.Settle = func(ctx context.Context, pos logpos.Pos) error {
		return sess.handle.Settle(ctx, sess.service.Group, pos)
	}
	return need, nil
}

// wireParams returns the session parameters for the endpoint, sorted by name.
func (sess *callerConn) wireParams() []*link.Param {
	names := make([]string, 0, len(sess.endpointParams))
	for name := range sess.endpointParams {
		if name != "application_name" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	endpointParams := make([]*link.Param, 0, len(names))
	for _, name := range names {
		endpointParams = append(endpointParams, &link.Param{Name: name, Value: sess.endpointParams[name]})
	}
	return endpointParams
}

// sendReply records the commit, if there is one, and then sends the reply to the
// caller.
func (e *execution) sendReply(ctx context.Context, res exchange.Result) error {
	sess := e.sess
	if !res.Attached {
		sess.dropExchange()
	}
	if res.ErrorCode != "" {
		sess.forgetStatements(e.seg)
	}
	if res.TxStatus != 0 {
		sess.txStatus = res.TxStatus
	}
	if !res.Commit.IsZero() {
		if err := e.recordCommit(ctx, res); err != nil {
			return e.fail(ctx, err)
		}
	}
	err := e.sink.sendReply()
	if e.sink.confirmErr != nil {
		return e.fail(ctx, e.sink.confirmErr)
	}
	e.observe(e.verdict(ctx, err), "")
	return err
}

// recordCommit records the session's new floor before the write is acknowledged
// and inserts the new token before the final ReadyForQuery of the reply.
func (e *execution) recordCommit(ctx context.Context, res exchange.Result) error {
	sess := e.sess
	err := sess.handle.Raise(ctx, sess.service.Group, res.Commit, res.ConfirmedBy)
	if err != nil {
		return err
	}
	const readyLen = 6
	n := len(e.sink.buf) - readyLen
	if n >= 0 && e.sink.buf[n] == pgwire.MsgReadyForQuery {
		ready := slices.Clone(e.sink.buf[n:])
		e.sink.buf = pgwire.AppendParameterStatus(e.sink.buf[:n], paramToken, sess.token())
		e.sink.buf = append(e.sink.buf, ready...)
	}
	return nil
}

// verdict returns the verdict of a segment that an endpoint answered. err is the
// error of sending the reply.
func (e *execution) verdict(ctx context.Context, err error) Verdict {
	if err != nil || context.Cause(ctx) == error(errAbandoned) {
		return VerdictAbandoned
	}
	return VerdictDone
}

// observe reports the segment to the observer.
func (e *execution) observe(v Verdict, reason outcome.Reason) {
	e.sess.srv.cfg.Observer.Segment(Segment{
		Service: e.sess.service.Name,
		Write:   e.access == accessWrite, InTransaction: e.inTx, Primary: e.atPrimary,
		Verdict: v, Reason: reason, Wait: time.Since(e.started),
	})
}

// fail answers the segment with an error of this system instead of an endpoint's
// answer. An open transaction at the endpoint is lost, and the caller must end
// it before anything else runs. An error other than *outcome.Error is returned
// and ends the session.
func (e *execution) fail(ctx context.Context, err error) error {
	var failure *outcome.Error
	if !errors.As(err, &failure) {
		e.observe(VerdictAbandoned, "")
		return err
	}
	if e.mayHaveRun && failure.Outcome == outcome.NotRun {
		failure = outcome.UnknownError(failure.Reason, failure.Message, failure)
	}
	sess := e.sess
	sess.dropExchange()
	sess.forgetStatements(e.seg)
	if context.Cause(ctx) == error(errAbandoned) {
		e.observe(VerdictAbandoned, "")
		return errTerminate
	}
	if context.Cause(ctx) == error(errCanceledByCaller) {
		failure = &outcome.Error{
			Outcome: failure.Outcome, Code: outcome.CodeQueryCanceled,
			Reason: outcome.ReasonCanceled, Message: "canceled on the caller's request", Cause: err,
		}
	}
	if failure.Outcome == outcome.NotRun {
		e.observe(VerdictNotRun, failure.Reason)
	} else {
		e.observe(VerdictUnknown, "")
	}
	return e.writeFailure(failure)
}

// writeFailure sends failure to the caller in place of the reply.
func (e *execution) writeFailure(failure *outcome.Error) error {
	sess := e.sess
	sess.failedTx = e.inTx && sess.txStatus != 'I'
	if !sess.failedTx {
		sess.txStatus = 'I'
	}
	out := pgwire.AppendError(nil, failure)
	if e.seg.endType == pgwire.MsgFlush {
		sess.skippingToSync = true
	} else {
		out = pgwire.AppendReadyForQuery(out, sess.reportedTxStatus())
	}
	e.sink.discard()
	_, err := sess.conn.Write(out)
	return err
}

// reportedTxStatus returns the transaction status to report to the caller.
func (sess *callerConn) reportedTxStatus() byte {
	if sess.failedTx {
		return 'E'
	}
	return sess.txStatus
}

// dropExchange closes the session's exchange, if one is open.
func (sess *callerConn) dropExchange() {
	if sess.exchange != nil {
		sess.exchange.Close()
		sess.exchange = nil
		sess.onPrimary = false
	}
}

// forgetStatements removes the statements that a failed segment prepared.
func (sess *callerConn) forgetStatements(seg *segment) {
	for _, op := range seg.ops {
		if op.Kind != link.OpKind_OP_PARSE {
			continue
		}
		for name, st := range sess.statements {
			if st.wire == op.Statement {
				delete(sess.statements, name)
			}
		}
	}
}
