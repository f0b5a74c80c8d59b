package entry

import (
	"hemlockmast/internal/shared/outcome"
	"hemlockmast/internal/wire/pgwire"
)

// skipToSync ignores a segment after a failure in a segment that ended with
// Flush, until a segment ends with Sync.
func (sess *callerConn) skipToSync(seg *segment) error {
	if seg.endType != pgwire.MsgSync {
		return nil
	}
	sess.skippingToSync = false
	_, err := sess.conn.Write(pgwire.AppendReadyForQuery(nil, sess.reportedTxStatus()))
	return err
}

// serveFailedTx answers a segment in a transaction whose endpoint was lost. As in
// a transaction aborted by an error, only the end of the transaction is
// accepted.
func (sess *callerConn) serveFailedTx(seg *segment) error {
	var out []byte
	if len(seg.queries) > 0 && endsTransaction(seg.queries[0]) && seg.executions > 0 {
		sess.failedTx = false
		sess.txStatus = 'I'
		out = rollbackReply(seg)
	} else if seg.executions > 0 || seg.endType != pgwire.MsgSync {
		out = pgwire.AppendErrorResponse(nil, "ERROR", "25P02",
			"the transaction's endpoint was lost; commands are ignored until the end of the transaction",
			"outcome: "+outcome.NotRun.String())
	}
	if seg.endType == pgwire.MsgFlush {
		sess.skippingToSync = true
	} else {
		out = pgwire.AppendReadyForQuery(out, sess.reportedTxStatus())
	}
	_, err := sess.conn.Write(out)
	return err
}

// rollbackReply returns the replies to the messages of a segment that ends a
// transaction.
func rollbackReply(seg *segment) []byte {
	var out []byte
	for _, op := range seg.ops {
		if len(op.Data) == 0 {
			out = pgwire.AppendEmptyMessage(out, pgwire.MsgParseComplete)
			continue
		}
		switch op.Data[0] {
		case pgwire.MsgBind:
			out = pgwire.AppendEmptyMessage(out, pgwire.MsgBindComplete)
		case pgwire.MsgDescribe:
			out = pgwire.AppendEmptyMessage(out, pgwire.MsgNoData)
		case pgwire.MsgExecute, pgwire.MsgQuery:
			out = pgwire.AppendCommandComplete(out, "ROLLBACK")
		}
	}
	return out
}

// changeEntryParam changes an entry parameter after the start-up. The session
// itself is chosen at start-up and cannot be changed.
func (sess *callerConn) changeEntryParam(name, value string) *outcome.Error {
	if name == paramSession || name == paramToken {
		return outcome.NotRunError(outcome.CodeInvalidParameter, outcome.ReasonProtocol,
			name+" is a start-up parameter; connect again with it", nil)
	}
	return sess.setEntryParam(name, value)
}

// serveSet answers a segment that consists of a single SET of an entry
// parameter. handled is false for any other segment.
func (sess *callerConn) serveSet(seg *segment) (handled bool, err error) {
	if len(seg.ops) != 1 || seg.endType != pgwire.MsgQuery {
		return false, nil
	}
	name, value, ok := parseEntrySet(seg.queries[0])
	if !ok {
		return false, nil
	}
	var out []byte
	if refusal := sess.changeEntryParam(name, value); refusal != nil {
		out = pgwire.AppendError(nil, refusal)
	} else {
		out = pgwire.AppendCommandComplete(nil, "SET")
	}
	out = pgwire.AppendReadyForQuery(out, sess.reportedTxStatus())
	_, err = sess.conn.Write(out)
	return true, err
}
