package holder

import (
	"context"
	"io"
	"strconv"
	"time"

	"hemlockmast/api/link"
	"hemlockmast/internal/shared/outcome"
	"hemlockmast/internal/wire/exchange"
	"hemlockmast/internal/wire/pgwire"
)

// A request that may not be repeated carries an id. The holder writes the id
// into a table of the same database, in the transaction of the request: the
// table's unique key lets one transaction with the id commit, whichever daemon
// or primary it comes through. A request whose id stands there already gets the
// command tag of the first one.
const (
	createMarkers = "CREATE TABLE IF NOT EXISTS hemlock_requests (id text PRIMARY KEY, tag text, at int8)"
	// tagBegin is the tag stored for a request that is a transaction.
	tagBegin = "COMMIT"
)

// SQLSTATE codes that decide about markers.
const (
	codeUniqueViolation = "23505"
	codeUndefinedTable  = "42P01"
)

// marked is one request with an id on its way.
type marked struct {
	l   *local
	seg *link.Segment
	id  string
	// committing states that COMMIT may have reached the endpoint; before that
	// the request surely has no effect.
	committing bool
}

// runMarked runs a segment that carries a request id.
func (l *local) runMarked(ctx context.Context, seg *link.Segment, sink io.Writer) (exchange.Result, error) {
	m := &marked{l: l, seg: seg, id: quoteLiteral(seg.Open.RequestId)}
	raw := l.conn.raw
	if deadline, ok := ctx.Deadline(); ok {
		_ = raw.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	res, err := m.run(ctx, sink)
	if err != nil {
		l.drop()
	}
	return res, err
}

func (m *marked) run(ctx context.Context, sink io.Writer) (exchange.Result, error) {
	ran, err := m.begin(ctx)
	if err != nil {
		return exchange.Result{}, err
	}
	if ran {
		return m.answerAgain(ctx, sink)
	}
	if m.seg.Open.Begins {
		return m.answerBegin(sink)
	}
	return m.runOnce(ctx, sink)
}

// begin opens the request's transaction with its marker. It reports whether
// the request ran before.
func (m *marked) begin(ctx context.Context) (ran bool, err error) {
	at := strconv.FormatInt(time.Now().Unix(), 10)
	insert := "BEGIN; INSERT INTO hemlock_requests (id, tag, at) VALUES (" + m.id +
		", " + quoteLiteral(tagBegin) + ", " + at + ")"
	reply, err := m.query(ctx, insert)
	if err == nil && reply.code == codeUndefinedTable {
		if _, err = m.query(ctx, "ROLLBACK; "+createMarkers); err == nil {
			reply, err = m.query(ctx, insert)
		}
	}
	if err != nil {
		return false, err
	}
	if reply.code == "" {
		return false, nil
	}
	if _, err := m.query(ctx, "ROLLBACK"); err != nil {
		return false, err
	}
	if reply.code == codeUniqueViolation {
		return true, nil
	}
	return false, markerRefused(reply.code)
}

// markerRefused reports that the endpoint refused the marker: nothing ran. A
// superseded primary is worth another try elsewhere.
func markerRefused(code string) error {
	reason := outcome.ReasonProtocol
	if code == outcome.CodeReadOnlyTransaction {
		reason = outcome.ReasonSuperseded
	}
	return outcome.NotRunError(code, reason, "the request's marker was refused", &EndpointError{Code: code})
}

// query runs a statement of the holder's own. A lost connection is not run as
// long as COMMIT was not sent.
func (m *marked) query(ctx context.Context, sql string) (ownReply, error) {
	reply, err := m.l.conn.query(sql)
	if err != nil {
		return reply, m.lost(ctx, err)
	}
	return reply, nil
}

func (m *marked) lost(ctx context.Context, err error) error {
	reason, message := outcome.ReasonConnLost, "the connection to the endpoint was lost"
	if ctx.Err() != nil || isTimeout(err) {
		reason, message = outcome.ReasonDeadline, "the endpoint did not answer before the deadline"
	}
	if m.committing {
		return outcome.UnknownError(reason, message, err)
	}
	return outcome.NotRunError(outcome.CodeCannotConnectNow, reason, message, err)
}

// answerBegin answers a BEGIN whose marker is written.
func (m *marked) answerBegin(sink io.Writer) (exchange.Result, error) {
	out := pgwire.AppendCommandComplete(nil, "BEGIN")
	out = pgwire.AppendReady(out, 'T')
	_, err := sink.Write(out)
	return exchange.Result{TxStatus: 'T', Attached: true}, err
}

// runOnce runs the request's statement, stores its command tag and commits.
func (m *marked) runOnce(ctx context.Context, sink io.Writer) (exchange.Result, error) {
	l := m.l
	r := newRun(l.conn, build(l.conn, m.seg), sink)
	r.withholdAll = true
	res, err := r.drive()
	if err != nil {
		if r.sinkErr != nil {
			return res, r.sinkErr
		}
		return res, m.lost(ctx, err)
	}
	end := "UPDATE hemlock_requests SET tag = " + quoteLiteral(r.tag) + " WHERE id = " + m.id + "; COMMIT"
	if res.ErrorCode != "" {
		end = "ROLLBACK"
	}
	m.committing = res.ErrorCode == ""
	reply, err := m.query(ctx, end)
	if err != nil {
		return res, err
	}
	if reply.code != "" || reply.txStatus != 'I' {
		return res, markerRefused(reply.code)
	}
	if res.ReadOnlyRefusal {
		return res, markerRefused(res.ErrorCode)
	}
	res.TxStatus = 'I'
	res.Commit = reply.commit
	setReadyStatus(r.withheld, 'I')
	l.detach()
	if err := l.confirm(ctx, &res); err != nil {
		return res, err
	}
	return res, r.releaseWithheld()
}

// setReadyStatus changes the ReadyForQuery at the end of a reply: the caller
// knows nothing of the transaction around its statement.
func setReadyStatus(reply []byte, status byte) {
	if n := len(reply); n > 0 {
		reply[n-1] = status
	}
}

// answerAgain answers a request that ran before. Its marker may be held by the
// primary alone, so that it is written once more and its commit confirmed.
func (m *marked) answerAgain(ctx context.Context, sink io.Writer) (exchange.Result, error) {
	reply, err := m.query(ctx, "UPDATE hemlock_requests SET tag = tag WHERE id = "+m.id+" RETURNING tag")
	if err != nil {
		return exchange.Result{}, err
	}
	if reply.code != "" || reply.commit.IsZero() {
		return exchange.Result{}, markerRefused(reply.code)
	}
	m.l.detach()
	res := exchange.Result{TxStatus: 'I', Commit: reply.commit}
	if err := m.l.confirm(ctx, &res); err != nil {
		return res, err
	}
	_, err = sink.Write(m.repeatedReply(reply.value))
	return res, err
}

// repeatedReply is the reply to a request that ran before: the first command
// tag for a statement, a refusal for a transaction.
func (m *marked) repeatedReply(tag string) []byte {
	var out []byte
	for _, op := range m.seg.Ops {
		switch {
		case op.Kind == link.OpKind_OP_PARSE:
			out = pgwire.AppendEmpty(out, pgwire.MsgParseComplete)
		case op.Kind == link.OpKind_OP_SYNTHETIC:
			out = append(out, op.Data...)
		case m.seg.Open.Begins && op.Data[0] != pgwire.MsgSync:
			out = pgwire.AppendErrorText(out, "ERROR", outcome.CodeDuplicateRequest,
				"a transaction with this request id is committed", "outcome: done")
		case op.Data[0] == pgwire.MsgBind:
			out = pgwire.AppendEmpty(out, pgwire.MsgBindComplete)
		case op.Data[0] == pgwire.MsgDescribe:
			out = pgwire.AppendEmpty(out, pgwire.MsgNoData)
		case op.Data[0] == pgwire.MsgExecute || op.Data[0] == pgwire.MsgQuery:
			out = pgwire.AppendCommandComplete(out, tag)
		}
	}
	return pgwire.AppendReady(out, 'I')
}
