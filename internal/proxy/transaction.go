package proxy

import (
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/pool"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

// transaction is a caller's. It takes a connection at its first statement, so
// that a pause before it holds none.
type transaction struct {
	begin   stmt.Statement
	arrived time.Duration
	route   *fleetpb.Route
	lead    lead
	// conn is nil before the first statement and after the transaction is lost.
	conn *pool.Conn
	// wrote is set once a write succeeded.
	wrote bool
	// failed is set after an error; the endpoint waits for the end.
	failed bool
	// lost is set when the transaction was rolled back by the end of its
	// connection.
	lost bool
}

func (tx *transaction) readsOnly() bool { return tx.begin.Kind == stmt.BeginRead }

// loseTransaction closes the connection, which rolls the transaction back.
func (ss *session) loseTransaction() {
	tx := ss.tx
	if tx.conn != nil {
		tx.lead.pool.Discard(tx.conn)
		tx.conn = nil
	}
	tx.lost = true
}

// endTransaction gives the connection back and leaves the transaction.
func (ss *session) endTransaction(reply stmt.Reply) {
	tx := ss.tx
	ss.tx = nil
	if tx.conn == nil {
		return
	}
	if reply.State != stmt.Idle {
		tx.lead.pool.Discard(tx.conn)
		return
	}
	tx.lead.pool.Put(tx.conn)
}

// inTransaction answers a statement within a transaction.
func (ss *session) inTransaction(st stmt.Statement, arrival time.Time) stmt.Reply {
	tx := ss.tx
	switch {
	case st.Kind == stmt.Rollback:
		return ss.rollback(st, arrival)
	case tx.lost && st.Kind == stmt.Commit:
		ss.tx = nil
		return ss.fail(stmt.CodeAborted, "transaction was rolled back")
	case tx.lost:
		return ss.fail(stmt.CodeAborted, "transaction was rolled back")
	case tx.failed && st.Kind != stmt.Commit:
		return ss.fail(stmt.CodeMalformed, "transaction failed and waits for its end")
	case st.Kind == stmt.Begin || st.Kind == stmt.BeginRead:
		return ss.fail(stmt.CodeMalformed, "a transaction is open")
	}
	r, refusal := ss.resolve(st)
	if refusal != nil {
		tx.failed = true
		return stmt.Reply{Err: refusal, State: ss.state()}
	}
	if tx.conn == nil {
		if refusal := ss.start(r, arrival); refusal != nil {
			return ss.refuseStart(st, refusal)
		}
	}
	if st.Kind == stmt.Commit {
		return ss.commit(st, arrival)
	}
	return ss.statement(r, arrival)
}

// refuseStart answers a statement whose transaction could not be started.
func (ss *session) refuseStart(st stmt.Statement, refusal *stmt.Error) stmt.Reply {
	ss.logFailure(st, refusal)
	ss.tx.lost = true
	if st.Kind == stmt.Commit {
		ss.tx = nil
	}
	return stmt.Reply{Err: refusal, State: ss.state()}
}

func (ss *session) logFailure(st stmt.Statement, e *stmt.Error) {
	tx := ss.tx
	service := tx.route.GetService()
	fields := []any{
		"id", st.ID, "begin", tx.begin.ID, "database", ss.database, "service", service,
		"kind", st.Kind.String(), "code", e.Code.String(), "detail", e.Detail, "cutOff", ss.server.isolated(),
	}
	if tx.lead.endpoint != nil {
		fields = append(fields, "endpoint", tx.lead.endpoint.Id)
	}
	if sv := ss.server.cfg.View.Snapshot().Service(service); sv != nil {
		fields = append(fields, "primary", sv.PrimaryID, "primaryNumber", sv.PrimaryNumber,
			"promoting", time.Now().Before(sv.PromotionDeadline))
	}
	ss.server.log.Info("statement failed in a transaction", fields...)
}

// start opens the transaction at an endpoint. It is tried again while nothing of
// it ran. The error is the caller's answer.
func (ss *session) start(r resolved, arrival time.Time) *stmt.Error {
	tx := ss.tx
	tx.route = ss.server.cfg.View.Snapshot().Route(ss.database)
	if tx.route == nil {
		return &stmt.Error{Code: stmt.CodeNoDatabase, Detail: "no route has this name"}
	}
	holdEnd := arrival.Add(time.Duration(tx.route.TimeoutMs) * time.Millisecond / holdShare)
	deadline := ss.deadline(tx.route, arrival)
	tried := make(map[string]bool)
	pauses := 0
	for {
		refusal := ss.startOnce(r, tried, holdEnd, deadline)
		if refusal == nil || refusal.Code == stmt.CodeFailed || refusal.Code == stmt.CodeTimeout {
			return refusal
		}
		if !time.Now().Before(holdEnd) || ss.server.isolated() {
			return refusal
		}
		if !tx.readsOnly() && !ss.server.awaitsLead(tx.route.Service, arrival) {
			return refusal
		}
		pauses++
		time.Sleep(backoff(pauses))
	}
}

func (ss *session) startOnce(r resolved, tried map[string]bool, holdEnd, deadline time.Time) *stmt.Error {
	tx := ss.tx
	l, floor, isOwn, refusal := ss.startTarget(tried, holdEnd)
	if refusal != nil {
		return refusal
	}
	c, refusal := ss.borrow(l, tx.route, r, tx.readsOnly(), holdEnd, deadline)
	if refusal != nil {
		return refusal
	}
	asked := boottime.Now()
	// The statement behind it is sent only after the endpoint has agreed: behind
	// a refused begin it would run outside the transaction.
	reply, err := c.Do(deadline, tx.begin.Text, tx.begin.ID, floor)
	if err != nil {
		l.pool.Discard(c)
		ss.server.failed(l, err)
		return notRun(err)
	}
	if reply.Err != nil {
		ss.server.refused(l, reply.Err)
		if reply.Err.Code == stmt.CodeLagging {
			l.pool.local.RecordLagging(reply.Pos)
			ss.server.lagged(l.endpoint.Service, isOwn)
		}
		ss.giveBack(l.pool, c, reply)
		return reply.Err
	}
	ss.server.answered(l, reply.Pos, 0)
	if !tx.readsOnly() {
		ss.server.service(tx.route.Service).learn(l.number, asked, reply.Pos)
	}
	tx.lead, tx.conn = l, c
	return nil
}

// startTarget returns where the transaction goes and what it must see there.
func (ss *session) startTarget(tried map[string]bool, holdEnd time.Time) (l lead, floor logpos.Pos, isOwn bool, refusal *stmt.Error) {
	tx := ss.tx
	if !tx.readsOnly() {
		l, err := ss.server.primary(tx.route.Service)
		if err != nil {
			return lead{}, logpos.Pos{}, false, notRun(err)
		}
		return l, logpos.Pos{}, false, nil
	}
	floor, isOwn, err := ss.floor(tx.route, tx.arrived, holdEnd)
	if err != nil {
		return lead{}, logpos.Pos{}, false, notRun(err)
	}
	l, ok := ss.server.choose(tx.route.Service, floor, tried)
	if !ok {
		clear(tried)
		return lead{}, logpos.Pos{}, false, &stmt.Error{Code: stmt.CodeBusy, Detail: "no endpoint can be asked"}
	}
	tried[l.endpoint.Id] = true
	return l, floor, isOwn, nil
}

// statement runs a read or write on the transaction's connection.
func (ss *session) statement(r resolved, arrival time.Time) stmt.Reply {
	tx := ss.tx
	deadline := ss.deadline(tx.route, arrival)
	for {
		if err := ss.align(tx.conn, deadline, r); err != nil {
			return ss.brokenStatement(r.st, err)
		}
		asked := boottime.Now()
		reply, err := tx.conn.Do(deadline, ss.textOn(tx.conn, r), r.st.ID, logpos.Pos{})
		if err != nil {
			return ss.brokenStatement(r.st, err)
		}
		if reply.Err == nil {
			ss.server.answered(tx.lead, reply.Pos, 0)
			tx.wrote = tx.wrote || r.writes
			if !tx.readsOnly() {
				ss.server.service(tx.route.Service).learn(tx.lead.number, asked, reply.Pos)
			}
			return reply
		}
		ss.server.refused(tx.lead, reply.Err)
		isOpen := reply.State == stmt.InTransaction
		if isOpen && reply.Err.Code == stmt.CodeBusy && time.Now().Add(retryPause).Before(deadline) {
			time.Sleep(retryPause)
			continue
		}
		ss.logFailure(r.st, reply.Err)
		tx.failed = !isOpen
		return reply
	}
}

// brokenStatement answers a statement whose connection failed. The transaction
// is rolled back with the connection, and its end was not asked for yet.
func (ss *session) brokenStatement(st stmt.Statement, err error) stmt.Reply {
	e := &stmt.Error{Code: stmt.CodeAborted, Detail: "connection to the endpoint failed"}
	ss.logFailure(st, e)
	ss.server.failed(ss.tx.lead, err)
	ss.loseTransaction()
	return stmt.Reply{Err: e, State: ss.state()}
}

// commit ends the transaction. After its sending, only the endpoint's answer
// tells the outcome.
func (ss *session) commit(st stmt.Statement, arrival time.Time) stmt.Reply {
	tx := ss.tx
	deadline := ss.deadline(tx.route, arrival)
	for {
		asked := boottime.Now()
		reply, err := ss.sendCommit(st, deadline)
		if err != nil {
			return ss.brokenCommit(st, err)
		}
		isOpen := reply.State == stmt.InTransaction
		if reply.Err != nil && isOpen && reply.Err.Code == stmt.CodeBusy && time.Now().Add(retryPause).Before(deadline) {
			time.Sleep(retryPause)
			continue
		}
		if reply.Err != nil {
			ss.logFailure(st, reply.Err)
		} else {
			ss.committed(asked, reply)
		}
		ss.endTransaction(reply)
		reply.State = stmt.Idle
		return reply
	}
}

func (ss *session) sendCommit(st stmt.Statement, deadline time.Time) (stmt.Reply, error) {
	tx := ss.tx
	if tx.wrote {
		defer ss.server.watchStall(tx.lead)()
	}
	return tx.conn.Do(deadline, st.Text, st.ID, logpos.Pos{})
}

func (ss *session) committed(asked time.Duration, reply stmt.Reply) {
	tx := ss.tx
	if !tx.wrote {
		return
	}
	ss.server.service(tx.route.Service).learn(tx.lead.number, asked, reply.Pos)
	ss.raiseFloor(tx.route.Service, reply.Pos)
}

func (ss *session) brokenCommit(st stmt.Statement, err error) stmt.Reply {
	e := &stmt.Error{Code: stmt.CodeInDoubt, Detail: "connection to the endpoint failed"}
	if !ss.tx.wrote {
		e.Code = stmt.CodeFailed
	}
	ss.logFailure(st, e)
	ss.server.failed(ss.tx.lead, err)
	ss.loseTransaction()
	ss.tx = nil
	return stmt.Reply{Err: e}
}

// rollback ends the transaction without effect, whatever the endpoint says.
func (ss *session) rollback(st stmt.Statement, arrival time.Time) stmt.Reply {
	tx := ss.tx
	if tx.conn == nil {
		ss.tx = nil
		return ss.ok()
	}
	reply, err := tx.conn.Do(ss.deadline(tx.route, arrival), st.Text, st.ID, logpos.Pos{})
	if err != nil {
		ss.loseTransaction()
		ss.tx = nil
		return ss.ok()
	}
	ss.endTransaction(reply)
	return stmt.Reply{Signature: reply.Signature}
}
