package proxy

import (
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/pool"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

// transaction is a caller's transaction. It gets a connection with its first statement, so
// that it holds none while the caller pauses after the begin.
type transaction struct {
	begin stmt.Statement
	// bootArrival is when the begin arrived, on the clock of package boottime.
	bootArrival time.Duration
	route       *fleetpb.Route
	// workspace is the workspace of the caller when the transaction started at an endpoint; nil
	// where callers are not identified.
	workspace *fleetpb.Workspace
	target    target
	// conn is nil before the first statement and after the transaction was aborted.
	conn *pool.Conn
	// first is the outcome of the first statement where it ran together with the begin, until
	// runStatement takes it; else nil.
	first *firstStatement
	// mayHaveRun is set when the first statement may have run in an attempt to start the
	// transaction that was rolled back.
	mayHaveRun bool
	// hasWritten is set after the first successful write.
	hasWritten bool
	// hasFailed is set after an error. The endpoint then accepts only the end of the
	// transaction.
	hasFailed bool
	// isAborted is set when the transaction could not be started, or when its connection
	// failed or was closed, which rolled it back.
	isAborted bool
}

// isReadOnly reports whether the caller began the transaction as a read-only one.
func (tx *transaction) isReadOnly() bool { return tx.begin.Kind == stmt.BeginRead }

// abortTransaction closes the transaction's connection, which rolls the transaction back.
func (ss *session) abortTransaction() {
	tx := ss.tx
	if tx.conn != nil {
		tx.target.pool.Discard(tx.conn)
		tx.conn = nil
	}
	tx.isAborted = true
}

// endTransaction closes the transaction in the session and returns its connection after
// the commit or rollback; reply is the endpoint's reply to that statement. A connection on
// which the transaction is still open is discarded.
func (ss *session) endTransaction(reply stmt.Reply) {
	tx := ss.tx
	ss.tx = nil
	if tx.conn == nil {
		return
	}
	if reply.State != stmt.Idle {
		tx.target.pool.Discard(tx.conn)
		return
	}
	tx.target.pool.Put(tx.conn)
}

// runInTransaction runs a statement of the caller's open transaction. The first one starts
// the transaction at an endpoint.
func (ss *session) runInTransaction(st stmt.Statement, arrival time.Time) stmt.Reply {
	tx := ss.tx
	if tx.conn != nil {
		if refusal := ss.recheck(); refusal != nil && st.Kind != stmt.Rollback {
			return ss.refuseTransaction(st, refusal)
		} else if refusal != nil {
			ss.abortTransaction()
		}
	}
	switch {
	case st.Kind == stmt.Rollback:
		return ss.rollback(st, arrival)
	case tx.isAborted && st.Kind == stmt.Commit:
		ss.tx = nil
		return ss.fail(stmt.CodeAborted, "transaction was rolled back")
	case tx.isAborted:
		return ss.fail(stmt.CodeAborted, "transaction was rolled back")
	case tx.hasFailed && st.Kind != stmt.Commit:
		return ss.fail(stmt.CodeMalformed, "transaction failed and waits for its end")
	case st.Kind == stmt.Begin || st.Kind == stmt.BeginRead:
		return ss.fail(stmt.CodeMalformed, "a transaction is open")
	}
	r, refusal := ss.resolve(st)
	if refusal != nil {
		tx.hasFailed = true
		return stmt.Reply{Err: refusal, State: ss.state()}
	}
	if tx.conn == nil {
		if refusal := ss.startTransaction(r, arrival); refusal != nil {
			return ss.refuseTransaction(st, refusal)
		}
	}
	if st.Kind == stmt.Commit {
		return ss.commit(st, arrival)
	}
	return ss.runStatement(r, arrival)
}

// refuseTransaction rolls the transaction back, if it was started, and returns the reply to the
// statement that was refused.
func (ss *session) refuseTransaction(st stmt.Statement, refusal *stmt.Error) stmt.Reply {
	if ss.tx.mayHaveRun && refusal.Code.NotRun() {
		refusal = &stmt.Error{Code: stmt.CodeAborted, Detail: "connection to the carrier failed, then: " + refusal.Detail}
	}
	ss.logFailure(st, refusal)
	ss.abortTransaction()
	if st.Kind == stmt.Commit {
		ss.tx = nil
	}
	return stmt.Reply{Err: refusal, State: ss.state()}
}

// logFailure logs what explains why a statement of the transaction failed.
func (ss *session) logFailure(st stmt.Statement, e *stmt.Error) {
	tx := ss.tx
	service := tx.route.GetService()
	fields := []any{
		"id", st.ID, "begin", tx.begin.ID, "database", ss.database, "service", service,
		"kind", st.Kind.String(), "code", e.Code.String(), "detail", e.Detail, "cutOff", ss.server.isIsolated(),
	}
	if tx.target.endpoint != nil {
		fields = append(fields, "endpoint", tx.target.endpoint.Id)
	}
	if sv := ss.server.cfg.View.Snapshot().Service(service); sv != nil {
		fields = append(fields, "primary", sv.PrimaryID, "primaryNumber", sv.PrimaryNumber,
			"promoting", time.Now().Before(sv.PromotionDeadline))
	}
	ss.server.log.Info("statement failed in a transaction", fields...)
}

// startTransaction begins the transaction at an endpoint. It retries until the wait
// deadline, as long as nothing of the transaction has run. The error is the answer to the
// caller.
func (ss *session) startTransaction(r resolvedStatement, arrival time.Time) *stmt.Error {
	tx := ss.tx
	tx.route = ss.server.cfg.View.Snapshot().Route(ss.database)
	if tx.route == nil {
		return &stmt.Error{Code: stmt.CodeNoDatabase, Detail: "no route has this name"}
	}
	w, refusal := ss.workspaceFor(tx.route)
	if refusal == nil && ss.server.refusesNew(tx.route) {
		refusal = stoppingError()
	}
	if refusal == nil {
		refusal = ss.server.takeToken(w, tx.route, arrival)
	}
	if refusal != nil {
		return refusal
	}
	tx.workspace, r.workspace = w, w.GetName()
	waitDeadline := ss.server.waitUntil(tx.route, arrival)
	deadline := ss.deadline(tx.route, arrival)
	tried := make(map[string]bool)
	backoffs := 0
	var overloaded *stmt.Error
	for {
		refusal := ss.tryStart(r, tried, waitDeadline, deadline)
		if refusal == nil || refusal.Code == stmt.CodeFailed || refusal.Code == stmt.CodeTimeout {
			return refusal
		}
		if refusal.Overloaded {
			overloaded = refusal
		}
		// A read-only transaction may start at another endpoint.
		if overloaded != nil && (!tx.isReadOnly() || len(tried) == 0) {
			return overloaded
		}
		if !time.Now().Before(waitDeadline) || ss.server.isIsolated() || ss.server.refusesNew(tx.route) {
			return refusal
		}
		if !tx.isReadOnly() && !ss.server.shouldAwaitPrimary(tx.route.Service, arrival) {
			return refusal
		}
		backoffs++
		time.Sleep(retryBackoff(backoffs))
	}
}

// tryStart attempts once to begin the transaction.
func (ss *session) tryStart(r resolvedStatement, tried map[string]bool, waitDeadline, deadline time.Time) *stmt.Error {
	tx := ss.tx
	t, floor, isOwnWrite, refusal := ss.startTarget(tried, waitDeadline)
	if refusal != nil {
		return refusal
	}
	if !tx.isReadOnly() && ss.server.isClosed(tx.route.Service, t) {
		return closedError()
	}
	if r.st.Kind != stmt.Commit {
		if refusal, isCarried := ss.startAtCarrier(t, r, startTimes{waitDeadline, deadline}, floor, isOwnWrite); isCarried {
			return refusal
		}
	}
	c, refusal := ss.getConn(t, tx.route, r, tx.isReadOnly(), waitDeadline, deadline)
	if refusal != nil {
		return refusal
	}
	requestedAt := boottime.Now()
	// The next statement is sent only after the endpoint has accepted the begin. After a
	// refused begin it would run outside the transaction.
	reply, err := c.Do(deadline, tx.begin.Text, tx.begin.ID, floor)
	if err != nil {
		t.pool.Discard(c)
		ss.server.failed(t, err)
		return notRunError(err)
	}
	if reply.Err != nil {
		ss.putConn(t.pool, c, reply)
	}
	if refusal := ss.recordBegin(t, reply, requestedAt, isOwnWrite); refusal != nil {
		return refusal
	}
	tx.target, tx.conn = t, c
	return nil
}

// recordBegin records what the reply to the begin, sent at requestedAt, shows about the
// endpoint. The error is that of the reply.
func (ss *session) recordBegin(t target, reply stmt.Reply, requestedAt time.Duration, isOwnWrite bool) *stmt.Error {
	if reply.Err != nil {
		ss.server.refused(t, reply.Err)
		if reply.Err.Code == stmt.CodeLagging {
			t.pool.local.RecordLagging(reply.Pos)
			ss.server.lagged(t.endpoint.Service, isOwnWrite)
		}
		return reply.Err
	}
	ss.server.answered(t, reply.Pos, 0)
	if !ss.tx.isReadOnly() {
		ss.server.service(ss.tx.route.Service).recordPosition(t.primaryNumber, requestedAt, reply.Pos)
	}
	return nil
}

// startTarget returns the endpoint for the transaction and the log position that a
// read-only one must see there. tried holds the ids of the endpoints tried so far; it is
// cleared when no endpoint is left.
func (ss *session) startTarget(tried map[string]bool, waitDeadline time.Time) (t target, floor logpos.Pos, isOwnWrite bool, refusal *stmt.Error) {
	tx := ss.tx
	if !tx.isReadOnly() {
		t, err := ss.server.primary(tx.route.Service)
		if err != nil {
			return target{}, logpos.Pos{}, false, notRunError(err)
		}
		return t, logpos.Pos{}, false, nil
	}
	floor, isOwnWrite, err := ss.floor(tx.route, tx.bootArrival, waitDeadline)
	if err != nil {
		return target{}, logpos.Pos{}, false, notRunError(err)
	}
	t, ok := ss.server.chooseTarget(tx.route, tx.workspace.GetName(), floor, tried)
	if !ok {
		clear(tried)
		return target{}, logpos.Pos{}, false, noEndpointError()
	}
	tried[t.endpoint.Id] = true
	return t, floor, isOwnWrite, nil
}

// runStatement runs a read or write on the transaction's connection. It retries while the
// endpoint is busy and the transaction still open.
func (ss *session) runStatement(r resolvedStatement, arrival time.Time) stmt.Reply {
	tx := ss.tx
	deadline := ss.deadline(tx.route, arrival)
	for {
		reply, requestedAt, err := ss.sendStatement(r, deadline)
		if err != nil {
			return ss.brokenStatement(r.st, err)
		}
		if reply.Err == nil {
			ss.server.answered(tx.target, reply.Pos, 0)
			tx.hasWritten = tx.hasWritten || r.writes
			if !tx.isReadOnly() {
				ss.server.service(tx.route.Service).recordPosition(tx.target.primaryNumber, requestedAt, reply.Pos)
			}
			return reply
		}
		ss.server.refused(tx.target, reply.Err)
		isOpen := reply.State == stmt.InTransaction
		if isOpen && reply.Err.Code == stmt.CodeBusy && time.Now().Add(minRetryBackoff).Before(deadline) {
			time.Sleep(minRetryBackoff)
			continue
		}
		ss.logFailure(r.st, reply.Err)
		tx.hasFailed = !isOpen
		// A carrier has ended the loan if no transaction is open any more.
		tx.isAborted = tx.conn == nil
		return reply
	}
}

// sendStatement runs a statement on the transaction's connection, or returns the reply that came
// with that to the begin. requestedAt is when the statement was sent.
func (ss *session) sendStatement(r resolvedStatement, deadline time.Time) (reply stmt.Reply, requestedAt time.Duration, err error) {
	tx := ss.tx
	if first := tx.first; first != nil {
		tx.first = nil
		return first.reply, first.requestedAt, first.err
	}
	if err := ss.align(tx.conn, deadline, r); err != nil {
		return stmt.Reply{}, 0, err
	}
	requestedAt = boottime.Now()
	reply, err = tx.conn.Do(deadline, ss.textFor(tx.conn, r), r.st.ID, logpos.Pos{})
	return reply, requestedAt, err
}

// brokenStatement returns the reply to a statement whose connection failed. The endpoint
// rolls the transaction back when the connection ends, since no commit was sent.
func (ss *session) brokenStatement(st stmt.Statement, err error) stmt.Reply {
	e := &stmt.Error{Code: stmt.CodeAborted, Detail: "connection to the endpoint failed"}
	ss.logFailure(st, e)
	ss.server.failed(ss.tx.target, err)
	ss.abortTransaction()
	return stmt.Reply{Err: e, State: ss.state()}
}

// commit commits the transaction. Once the commit has been sent, only the endpoint's answer
// shows the outcome. A refusal because the endpoint is busy is retried.
func (ss *session) commit(st stmt.Statement, arrival time.Time) stmt.Reply {
	tx := ss.tx
	deadline := ss.deadline(tx.route, arrival)
	for {
		if tx.hasWritten && ss.server.isClosed(tx.route.Service, tx.target) {
			return ss.abortClosed(st)
		}
		requestedAt := boottime.Now()
		reply, err := ss.sendCommit(st, deadline)
		if err != nil {
			return ss.brokenCommit(st, err)
		}
		isOpen := reply.State == stmt.InTransaction
		if reply.Err != nil && isOpen && reply.Err.Code == stmt.CodeBusy && time.Now().Add(minRetryBackoff).Before(deadline) {
			time.Sleep(minRetryBackoff)
			continue
		}
		if reply.Err == nil && !ss.recordCommit(requestedAt, reply, deadline) {
			reply = stmt.Reply{Err: unconfirmedError(), State: reply.State}
		}
		if reply.Err != nil {
			ss.logFailure(st, reply.Err)
		}
		ss.endTransaction(reply)
		reply.State = stmt.Idle
		return reply
	}
}

// abortClosed rolls the transaction back instead of committing it, because the success of the
// commit could not be passed on.
func (ss *session) abortClosed(st stmt.Statement) stmt.Reply {
	e := &stmt.Error{Code: stmt.CodeAborted, Detail: "the primary is being replaced"}
	ss.logFailure(st, e)
	ss.abortTransaction()
	ss.tx = nil
	return stmt.Reply{Err: e}
}

// sendCommit sends the commit. If the transaction has written, it reports the primary when
// the commit stalls.
func (ss *session) sendCommit(st stmt.Statement, deadline time.Time) (stmt.Reply, error) {
	tx := ss.tx
	if tx.hasWritten {
		defer ss.server.watchStall(tx.target)()
	}
	return tx.conn.Do(deadline, st.Text, st.ID, logpos.Pos{})
}

// recordCommit records the position of a successful commit if the transaction has written. It
// returns false if the success must not be passed on, which is known by deadline.
func (ss *session) recordCommit(requestedAt time.Duration, reply stmt.Reply, deadline time.Time) bool {
	tx := ss.tx
	if !tx.hasWritten {
		return true
	}
	if !ss.server.acknowledge(tx.route.Service, tx.target, reply.Pos, deadline) {
		return false
	}
	ss.server.service(tx.route.Service).recordPosition(tx.target.primaryNumber, requestedAt, reply.Pos)
	ss.raiseFloor(tx.route.Service, reply.Pos)
	return true
}

// brokenCommit returns the reply to a commit whose connection failed. It is in doubt if the
// transaction has written.
func (ss *session) brokenCommit(st stmt.Statement, err error) stmt.Reply {
	e := &stmt.Error{Code: stmt.CodeInDoubt, Detail: "connection to the endpoint failed"}
	if !ss.tx.hasWritten {
		e.Code = stmt.CodeFailed
	}
	ss.logFailure(st, e)
	ss.server.failed(ss.tx.target, err)
	ss.abortTransaction()
	ss.tx = nil
	return stmt.Reply{Err: e}
}

// rollback rolls the transaction back. It succeeds whatever the endpoint answers.
func (ss *session) rollback(st stmt.Statement, arrival time.Time) stmt.Reply {
	tx := ss.tx
	if tx.conn == nil {
		ss.tx = nil
		return ss.ok()
	}
	reply, err := tx.conn.Do(ss.deadline(tx.route, arrival), st.Text, st.ID, logpos.Pos{})
	if err != nil {
		ss.abortTransaction()
		ss.tx = nil
		return ss.ok()
	}
	ss.endTransaction(reply)
	return stmt.Reply{Signature: reply.Signature}
}
