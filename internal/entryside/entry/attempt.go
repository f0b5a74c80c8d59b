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
	// minRetryPause and maxRetryPause bound the wait before a segment is sent
	// again; it doubles with each try.
	minRetryPause = 2 * time.Millisecond
	maxRetryPause = 100 * time.Millisecond
)

// attempt is one segment on its way.
type attempt struct {
	sess    *callerConn
	seg     *segment
	sink    heldSink
	access  access
	level   ReadLevel
	request string
	// begins states that the segment is a lone BEGIN.
	begins   bool
	started  time.Time
	deadline time.Time
	avoid    []string
	target   Target
	// mayHaveRun states that an earlier try ended with its outcome unknown.
	mayHaveRun bool
	// inTx states that the segment continues an open exchange.
	inTx    bool
	primary bool
}

func (sess *callerConn) newAttempt(seg *segment) *attempt {
	now := time.Now()
	a := &attempt{
		sess: sess, seg: seg, sink: heldSink{w: sess.conn},
		started: now, deadline: now.Add(sess.deadline()),
		inTx: sess.exchange != nil, primary: sess.onPrimary,
		level: sess.service.Level, request: sess.own[paramRequestID],
	}
	a.access = sess.accessOf(seg)
	if level, ok := parseLevel(sess.own[paramLevel]); ok {
		a.level = level
	}
	if len(seg.queries) > 0 {
		h := parseHints(seg.queries[0])
		if level, ok := parseLevel(h[hintLevel]); ok {
			a.level = level
		}
		if id := h[hintRequestID]; id != "" {
			a.request = id
		}
	}
	return a
}

// checkRequest refuses a request id on what cannot be kept from running twice:
// it must be one statement, or the BEGIN of a transaction. The id counts for
// this segment only. Within a transaction, and for segments that run nothing,
// it is left alone.
func (a *attempt) checkRequest() *outcome.Error {
	if a.request == "" {
		return nil
	}
	if a.inTx || a.seg.executes == 0 {
		a.request = ""
		return nil
	}
	delete(a.sess.own, paramRequestID)
	if a.seg.executes > 1 || a.seg.end == pgwire.MsgFlush || !isSingle(a.seg.queries[0]) {
		return outcome.NotRunError(outcome.CodeFeatureNotSupported, outcome.ReasonProtocol,
			"a request id needs a single statement or a BEGIN", nil)
	}
	_, a.begins = declaredMode(a.seg.queries[0])
	a.access = accessWrite
	return nil
}

func (sess *callerConn) deadline() time.Duration {
	if d, err := time.ParseDuration(sess.own[paramDeadline]); err == nil && d > 0 {
		return min(d, sess.service.Deadline)
	}
	return sess.service.Deadline
}

// run sends the segment until it has an outcome that may not be retried, or the
// deadline passes.
func (a *attempt) run(ctx context.Context) error {
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		res, err := a.once(ctx)
		if err == nil {
			return a.finish(ctx, res)
		}
		a.remember(err)
		if !a.mayRetry(ctx, err) || !sleep(ctx, pause) {
			return a.fail(ctx, err)
		}
	}
}

// remember keeps in mind that a try may have run: then no later failure can
// mean that the segment was not run.
func (a *attempt) remember(err error) {
	var failure *outcome.Error
	if errors.As(err, &failure) && failure.Outcome == outcome.Unknown && (a.access == accessWrite || a.primary) {
		a.mayHaveRun = true
	}
}

// sleep waits for d and reports whether ctx still stands.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// errReadOnly marks a segment that a replica refused because it writes.
var errReadOnly = outcome.NotRunError(outcome.CodeReadOnlyTransaction, outcome.ReasonUnknownTarget,
	"the segment writes", nil)

// errSuperseded marks a segment that a superseded primary refused.
var errSuperseded = outcome.NotRunError(outcome.CodeCannotConnectNow, outcome.ReasonSuperseded,
	"the primary was superseded", nil)

// errNotServing marks a segment that an endpoint refused because it serves
// nothing at the moment, as one that compares its log with a new primary's.
var errNotServing = outcome.NotRunError(outcome.CodeCannotConnectNow, outcome.ReasonEndpointDown,
	"the endpoint serves nothing at the moment", nil)

// once sends the segment once.
func (a *attempt) once(ctx context.Context) (exchange.Result, error) {
	sess := a.sess
	wire := &link.Segment{Ops: a.seg.ops}
	if sess.exchange == nil {
		open, err := a.open(ctx)
		if err != nil {
			return exchange.Result{}, err
		}
		wire.Open = open
	}
	started := time.Now()
	res, err := sess.exchange.Run(ctx, wire, &a.sink)
	if a.target.Done != nil {
		a.target.Done(time.Since(started), err)
		a.target.Done = nil
	}
	if err != nil {
		sess.dropExchange()
		return res, err
	}
	if a.inTx || a.sink.started {
		return res, nil
	}
	if res.ReadOnlyRefusal {
		return res, a.refusedAsWrite()
	}
	if res.ErrorCode == outcome.CodeCannotConnectNow {
		sess.dropExchange()
		return res, errNotServing
	}
	return res, nil
}

// refusedAsWrite decides about a segment that the endpoint refused to run
// because it writes. At a replica that was tried first, it moves to the primary;
// at a primary, which must have been superseded, it waits for the next one. A
// segment that declared to read gets the endpoint's own answer.
func (a *attempt) refusedAsWrite() error {
	switch {
	case a.access == accessUndeclared && !a.primary:
		a.sess.srv.learned.add(a.sess.service.Name, a.seg.queries)
		a.access = accessWrite
		a.sess.dropExchange()
		return errReadOnly
	case a.access == accessWrite && a.primary:
		a.sess.dropExchange()
		return errSuperseded
	}
	return nil
}

// open routes the segment and opens an exchange for it.
func (a *attempt) open(ctx context.Context) (*link.Open, error) {
	sess := a.sess
	need, err := a.need(ctx)
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
		a.avoidReplica(target.Slot, target.Primary)
		return nil, err
	}
	sess.exchange, sess.onPrimary, sess.slot = ex, target.Primary, target.Slot
	a.primary = target.Primary
	a.target = target
	a.sink.before = target.Confirm
	a.sink.ctx = ctx
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
		RequestId:  a.request,
		Begins:     a.begins,
		Priority:   sess.service.Priority,
	}, nil
}

// need says what the segment asks of the router. A write whose floor could not
// be recorded afterwards is refused before it is sent.
func (a *attempt) need(ctx context.Context) (Need, error) {
	sess := a.sess
	need := Need{
		Service:  sess.service,
		Write:    a.access == accessWrite,
		Level:    a.level,
		Avoid:    a.avoid,
		Deadline: a.deadline,
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

// wireParams returns the session parameters for the endpoint.
func (sess *callerConn) wireParams() []*link.Param {
	names := make([]string, 0, len(sess.params))
	for name := range sess.params {
		if name != "application_name" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	params := make([]*link.Param, 0, len(names))
	for _, name := range names {
		params = append(params, &link.Param{Name: name, Value: sess.params[name]})
	}
	return params
}

// finish records the commit, then lets the reply go to the caller.
func (a *attempt) finish(ctx context.Context, res exchange.Result) error {
	sess := a.sess
	if !res.Attached {
		sess.dropExchange()
	}
	if res.ErrorCode != "" {
		sess.forgetStatements(a.seg)
	}
	if res.TxStatus != 0 {
		sess.txStatus = res.TxStatus
	}
	if !res.Commit.IsZero() {
		if err := a.raise(ctx, res); err != nil {
			return a.fail(ctx, err)
		}
	}
	err := a.sink.finish()
	if a.sink.refusal != nil {
		return a.fail(ctx, a.sink.refusal)
	}
	a.observe(a.verdictOf(ctx, err), "")
	return err
}

// raise records the session's new floor before the write is acknowledged and
// puts the new token before the reply's end.
func (a *attempt) raise(ctx context.Context, res exchange.Result) error {
	sess := a.sess
	err := sess.handle.Raise(ctx, sess.service.Group, res.Commit, res.ConfirmedBy)
	if err != nil {
		return err
	}
	const readyLen = 6
	n := len(a.sink.buf) - readyLen
	if n >= 0 && a.sink.buf[n] == pgwire.MsgReadyForQuery {
		ready := slices.Clone(a.sink.buf[n:])
		a.sink.buf = pgwire.AppendParameterStatus(a.sink.buf[:n], paramToken, sess.token())
		a.sink.buf = append(a.sink.buf, ready...)
	}
	return nil
}

func (a *attempt) verdictOf(ctx context.Context, err error) Verdict {
	if err != nil || context.Cause(ctx) == error(errAbandoned) {
		return VerdictAbandoned
	}
	return VerdictDone
}

func (a *attempt) observe(v Verdict, reason outcome.Reason) {
	a.sess.srv.cfg.Observer.Segment(Segment{
		Service: a.sess.service.Name,
		Write:   a.access == accessWrite, InTransaction: a.inTx, Primary: a.primary,
		Verdict: v, Reason: reason, Wait: time.Since(a.started),
	})
}

// fail answers with the system's own failure. A transaction that was open at
// the endpoint is lost: the caller must end it before anything else runs.
func (a *attempt) fail(ctx context.Context, err error) error {
	var failure *outcome.Error
	if !errors.As(err, &failure) {
		a.observe(VerdictAbandoned, "")
		return err
	}
	if a.mayHaveRun && failure.Outcome == outcome.NotRun {
		failure = outcome.UnknownError(failure.Reason, failure.Message, failure)
	}
	sess := a.sess
	sess.dropExchange()
	sess.forgetStatements(a.seg)
	if context.Cause(ctx) == error(errAbandoned) {
		a.observe(VerdictAbandoned, "")
		return errTerminate
	}
	if context.Cause(ctx) == error(errCanceledByCaller) {
		failure = &outcome.Error{
			Outcome: failure.Outcome, Code: outcome.CodeQueryCanceled,
			Reason: outcome.ReasonCanceled, Message: "canceled on the caller's request", Cause: err,
		}
	}
	if failure.Outcome == outcome.NotRun {
		a.observe(VerdictNotRun, failure.Reason)
	} else {
		a.observe(VerdictUnknown, "")
	}
	return a.writeFailure(failure)
}

func (a *attempt) writeFailure(failure *outcome.Error) error {
	sess := a.sess
	sess.failedTx = a.inTx && sess.txStatus != 'I'
	if !sess.failedTx {
		sess.txStatus = 'I'
	}
	out := pgwire.AppendError(nil, failure)
	if a.seg.end == pgwire.MsgFlush {
		sess.skipping = true
	} else {
		out = pgwire.AppendReady(out, sess.shownStatus())
	}
	a.sink.discard()
	_, err := sess.conn.Write(out)
	return err
}

// shownStatus is the transaction status that the caller is told.
func (sess *callerConn) shownStatus() byte {
	if sess.failedTx {
		return 'E'
	}
	return sess.txStatus
}

func (sess *callerConn) dropExchange() {
	if sess.exchange != nil {
		sess.exchange.Close()
		sess.exchange = nil
		sess.onPrimary = false
	}
}

// forgetStatements undoes the Parse messages of a segment that failed.
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
