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

// A request that must run at most once carries a request id. The holder inserts
// the id as a marker into a table of the same database, in the transaction of
// the request. The table's unique key lets only one transaction with the id
// commit, whichever daemon or primary it goes through. A request whose id is
// already in the table gets the command tag of the first one; a transaction gets
// an error.
const (
	createMarkerTable = "CREATE TABLE IF NOT EXISTS hemlock_requests (id text PRIMARY KEY, tag text, at int8)"
	// transactionTag is the command tag stored for a request that is a
	// transaction.
	transactionTag = "COMMIT"
)

// SQLSTATE codes by which an endpoint refuses to insert a marker.
const (
	codeUniqueViolation = "23505"
	codeUndefinedTable  = "42P01"
)

// markedRequest is one request with a request id in progress.
type markedRequest struct {
	l   *localExchange
	seg *link.Segment
	id  string
	// commitSent states that COMMIT may have reached the endpoint. Until then
	// the request certainly has no effect.
	commitSent bool
}

// runMarked runs a segment that carries a request id.
func (l *localExchange) runMarked(ctx context.Context, seg *link.Segment, sink io.Writer) (exchange.Result, error) {
	m := &markedRequest{l: l, seg: seg, id: quoteLiteral(seg.Open.RequestId)}
	raw := l.conn.raw
	if deadline, ok := ctx.Deadline(); ok {
		_ = raw.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	res, err := m.run(ctx, sink)
	if err != nil {
		l.closeConn()
	}
	return res, err
}

func (m *markedRequest) run(ctx context.Context, sink io.Writer) (exchange.Result, error) {
	repeated, err := m.begin(ctx)
	if err != nil {
		return exchange.Result{}, err
	}
	if repeated {
		return m.answerRepeated(ctx, sink)
	}
	if m.seg.Open.Begins {
		return m.answerBegin(sink)
	}
	return m.runOnce(ctx, sink)
}

// begin starts the request's transaction and inserts its marker. It creates the
// marker table if there is none. repeated reports whether the request ran
// before.
func (m *markedRequest) begin(ctx context.Context) (repeated bool, err error) {
	at := strconv.FormatInt(time.Now().Unix(), 10)
	insert := "BEGIN; INSERT INTO hemlock_requests (id, tag, at) VALUES (" + m.id +
		", " + quoteLiteral(transactionTag) + ", " + at + ")"
	reply, err := m.query(ctx, insert)
	if err == nil && reply.code == codeUndefinedTable {
		if _, err = m.query(ctx, "ROLLBACK; "+createMarkerTable); err == nil {
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
	return false, markerRefusedError(reply.code)
}

// markerRefusedError reports that the endpoint refused the marker or the commit
// and nothing took effect. A refusal by a superseded primary has a reason of its own, because the
// request can be retried at the new primary.
func markerRefusedError(code string) error {
	reason := outcome.ReasonProtocol
	if code == outcome.CodeReadOnlyTransaction {
		reason = outcome.ReasonSuperseded
	}
	return outcome.NotRunError(code, reason, "the request's marker was refused", &EndpointError{Code: code})
}

// query runs a statement of the holder itself. If the connection is lost before
// COMMIT is sent, the outcome is not run.
func (m *markedRequest) query(ctx context.Context, sql string) (internalReply, error) {
	reply, err := m.l.conn.query(sql)
	if err != nil {
		return reply, m.connLostError(ctx, err)
	}
	return reply, nil
}

// connLostError converts an error of the connection to one for the caller.
func (m *markedRequest) connLostError(ctx context.Context, err error) error {
	reason, message := outcome.ReasonConnLost, "the connection to the endpoint was lost"
	if ctx.Err() != nil || isTimeout(err) {
		reason, message = outcome.ReasonDeadline, "the endpoint did not answer before the deadline"
	}
	if m.commitSent {
		return outcome.UnknownError(reason, message, err)
	}
	return outcome.NotRunError(outcome.CodeCannotConnectNow, reason, message, err)
}

// answerBegin answers a BEGIN after its marker is inserted.
func (m *markedRequest) answerBegin(sink io.Writer) (exchange.Result, error) {
	out := pgwire.AppendCommandComplete(nil, "BEGIN")
	out = pgwire.AppendReadyForQuery(out, 'T')
	_, err := sink.Write(out)
	return exchange.Result{TxStatus: 'T', Attached: true}, err
}

// runOnce runs the request's statement, stores its command tag and commits.
func (m *markedRequest) runOnce(ctx context.Context, sink io.Writer) (exchange.Result, error) {
	l := m.l
	r := newSegmentRun(l.conn, buildPlan(l.conn, m.seg), sink)
	r.withholdAll = true
	res, err := r.execute()
	if err != nil {
		if r.sinkErr != nil {
			return res, r.sinkErr
		}
		return res, m.connLostError(ctx, err)
	}
	end := "UPDATE hemlock_requests SET tag = " + quoteLiteral(r.commandTag) + " WHERE id = " + m.id + "; COMMIT"
	if res.ErrorCode != "" {
		end = "ROLLBACK"
	}
	m.commitSent = res.ErrorCode == ""
	reply, err := m.query(ctx, end)
	if err != nil {
		return res, err
	}
	if reply.code != "" || reply.txStatus != 'I' {
		return res, markerRefusedError(reply.code)
	}
	if res.ReadOnlyRefusal {
		return res, markerRefusedError(res.ErrorCode)
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

// setReadyStatus changes the status in the ReadyForQuery at the end of a reply,
// because the caller does not know of the transaction around its statement.
func setReadyStatus(reply []byte, status byte) {
	if n := len(reply); n > 0 {
		reply[n-1] = status
	}
}

// answerRepeated answers a request that ran before. Possibly only the primary
// holds its marker, so it updates the marker and waits until that commit is
// confirmed.
func (m *markedRequest) answerRepeated(ctx context.Context, sink io.Writer) (exchange.Result, error) {
	reply, err := m.query(ctx, "UPDATE hemlock_requests SET tag = tag WHERE id = "+m.id+" RETURNING tag")
	if err != nil {
		return exchange.Result{}, err
	}
	if reply.code != "" || reply.commit.IsZero() {
		return exchange.Result{}, markerRefusedError(reply.code)
	}
	m.l.detach()
	res := exchange.Result{TxStatus: 'I', Commit: reply.commit}
	if err := m.l.confirm(ctx, &res); err != nil {
		return res, err
	}
	_, err = sink.Write(m.repeatedReply(reply.value))
	return res, err
}

// repeatedReply returns the reply to a request that ran before: the command tag
// of the first run for a statement, an error for a transaction.
func (m *markedRequest) repeatedReply(tag string) []byte {
	var out []byte
	for _, op := range m.seg.Ops {
		switch {
		case op.Kind == link.OpKind_OP_PARSE:
			out = pgwire.AppendEmptyMessage(out, pgwire.MsgParseComplete)
		case op.Kind == link.OpKind_OP_SYNTHETIC:
			out = append(out, op.Data...)
		case m.seg.Open.Begins && op.Data[0] != pgwire.MsgSync:
			out = pgwire.AppendErrorResponse(out, "ERROR", outcome.CodeDuplicateRequest,
				"a transaction with this request id is committed", "outcome: done")
		case op.Data[0] == pgwire.MsgBind:
			out = pgwire.AppendEmptyMessage(out, pgwire.MsgBindComplete)
		case op.Data[0] == pgwire.MsgDescribe:
			out = pgwire.AppendEmptyMessage(out, pgwire.MsgNoData)
		case op.Data[0] == pgwire.MsgExecute || op.Data[0] == pgwire.MsgQuery:
			out = pgwire.AppendCommandComplete(out, tag)
		}
	}
	return pgwire.AppendReadyForQuery(out, 'I')
}
