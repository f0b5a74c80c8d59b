package entry

import (
	"hemlockmast/internal/shared/outcome"
	"hemlockmast/internal/wire/pgwire"
)

// skip ignores a segment after a failure in a segment that ended with Flush;
// the next Sync ends the skipping.
func (sess *callerConn) skip(seg *segment) error {
	if seg.end != pgwire.MsgSync {
		return nil
	}
	sess.skipping = false
	_, err := sess.conn.Write(pgwire.AppendReady(nil, sess.shownStatus()))
	return err
}

// serveFailedTx answers in a transaction whose endpoint was lost. Only its end
// is accepted; until then nothing runs, as after an error at an endpoint.
func (sess *callerConn) serveFailedTx(seg *segment) error {
	var out []byte
	if len(seg.queries) > 0 && endsTransaction(seg.queries[0]) && seg.executes > 0 {
		sess.failedTx = false
		sess.txStatus = 'I'
		out = rollbackReply(seg)
	} else if seg.executes > 0 || seg.end != pgwire.MsgSync {
		out = pgwire.AppendErrorText(nil, "ERROR", "25P02",
			"the transaction's endpoint was lost; commands are ignored until the end of the transaction",
			"outcome: "+outcome.NotRun.String())
	}
	if seg.end == pgwire.MsgFlush {
		sess.skipping = true
	} else {
		out = pgwire.AppendReady(out, sess.shownStatus())
	}
	_, err := sess.conn.Write(out)
	return err
}

// rollbackReply answers the messages of a segment that ends a transaction.
func rollbackReply(seg *segment) []byte {
	var out []byte
	for _, op := range seg.ops {
		if len(op.Data) == 0 {
			out = pgwire.AppendEmpty(out, pgwire.MsgParseComplete)
			continue
		}
		switch op.Data[0] {
		case pgwire.MsgBind:
			out = pgwire.AppendEmpty(out, pgwire.MsgBindComplete)
		case pgwire.MsgDescribe:
			out = pgwire.AppendEmpty(out, pgwire.MsgNoData)
		case pgwire.MsgExecute, pgwire.MsgQuery:
			out = pgwire.AppendCommandComplete(out, "ROLLBACK")
		}
	}
	return out
}

// setLater changes a parameter after the start-up. The session is chosen at
// start-up and stays.
func (sess *callerConn) setLater(name, value string) *outcome.Error {
	if name == paramSession || name == paramToken {
		return outcome.NotRunError(outcome.CodeInvalidParameter, outcome.ReasonProtocol,
			name+" is a start-up parameter; connect again with it", nil)
	}
	return sess.setOwn(name, value)
}

// serveOwn answers a lone SET of one of the entry's own parameters.
func (sess *callerConn) serveOwn(seg *segment) (handled bool, err error) {
	if len(seg.ops) != 1 || seg.end != pgwire.MsgQuery {
		return false, nil
	}
	name, value, ok := ownSetting(seg.queries[0])
	if !ok {
		return false, nil
	}
	var out []byte
	if refusal := sess.setLater(name, value); refusal != nil {
		out = pgwire.AppendError(nil, refusal)
	} else {
		out = pgwire.AppendCommandComplete(nil, "SET")
	}
	out = pgwire.AppendReady(out, sess.shownStatus())
	_, err = sess.conn.Write(out)
	return true, err
}
