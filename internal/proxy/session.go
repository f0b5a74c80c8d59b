package proxy

import (
	"errors"
	"maps"
	"net"
	"os"
	"sync"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/fault"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

const (
	// helloTimeout bounds the wait for a caller's first message. configTimeout bounds how
	// long the answer to that message waits for a first configuration; callers give up
	// after 2 s.
	helloTimeout  = 10 * time.Second
	configTimeout = 1500 * time.Millisecond
	// defaultIdleTransactionTimeout applies if the configuration sets no limit.
	defaultIdleTransactionTimeout = 10 * time.Second
	// answerTimeout bounds writing one answer, in case the caller does not read.
	answerTimeout = 20 * time.Second
)

// Caller is a caller's connection. It implements the protocol that callers speak.
type Caller interface {
	net.Conn
	// Hello reads the first message and returns the database that the caller asks for, and the
	// caller's key.
	Hello() (database, key string, err error)
	// Welcome answers the first message with success.
	Welcome() error
	// Refuse answers the first message with an error.
	Refuse(e *stmt.Error) error
	// Wait returns when a statement begins to arrive.
	Wait() error
	// Next reads the next statement.
	Next() (stmt.Statement, error)
	// Answer sends the reply to a statement.
	Answer(reply stmt.Reply) error
}

// session is the session of one caller.
type session struct {
	server *Server
	caller Caller

	// database and key are set by the handshake and never change. key identifies the caller's
	// workspace; it is a secret and must not be logged.
	database, key string
	// values are the session values. The map is replaced, never changed.
	values map[string]string
	// prepared maps the caller's names to prepared statements.
	prepared map[string]stmt.Shape
	// floors maps service names to the position of this session's last write there.
	floors map[string]logpos.Pos
	// tx is the open transaction; nil without one.
	tx *transaction

	// idle lets Drain, WatchIsolation and endRevoked end the session while it is idle.
	idle idleGate

	// answerMu guards unanswered: the answer to the statement in progress if the daemon ends
	// before it; nil if there is none, or if it was answered.
	answerMu   sync.Mutex
	unanswered *stmt.Reply
}

// Serve serves a caller until it disconnects or the session is ended, and closes the
// connection. A panic ends only this session.
func (s *Server) Serve(caller Caller) {
	s.open.Add(1)
	defer s.open.Add(-1)
	defer caller.Close()
	defer fault.Recover(s.log, "session", s.cfg.Metrics.Fault)
	ss := &session{
		server: s, caller: caller,
		values: make(map[string]string), prepared: make(map[string]stmt.Shape),
		floors: make(map[string]logpos.Pos),
	}
	if !ss.handshake() {
		return
	}
	s.mu.Lock()
	s.sessions[ss] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.sessions, ss)
		s.mu.Unlock()
		ss.cleanUp()
	}()
	// endRevoked has not seen this session if the key was taken away since the handshake.
	if ss.isRevoked(s.cfg.View.Snapshot()) {
		return
	}
	ss.loop()
}

// handshake answers the first message. It reports whether the session continues.
func (ss *session) handshake() bool {
	if err := ss.caller.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return false
	}
	database, key, err := ss.caller.Hello()
	if err != nil {
		return false
	}
	ss.database, ss.key = database, key
	if refusal := ss.awaitRoute(); refusal != nil {
		ss.server.log.Info("session refused", "database", database, "reason", refusal.Error())
		ss.answerFailed(ss.caller.Refuse(refusal))
		return false
	}
	return !ss.answerFailed(ss.caller.Welcome())
}

// awaitRoute waits for a first configuration and returns an error if it has no route for
// the session's database, or no workspace for its key.
func (ss *session) awaitRoute() *stmt.Error {
	timer := time.NewTimer(configTimeout)
	defer timer.Stop()
	for {
		changed := ss.server.cfg.View.Changed()
		snapshot := ss.server.cfg.View.Snapshot()
		if snapshot.Config != nil {
			route := snapshot.Route(ss.database)
			if route == nil {
				return &stmt.Error{Code: stmt.CodeNoDatabase, Detail: "no route has this name"}
			}
			if ss.server.refusesNew(route) {
				return stoppingError()
			}
			_, refusal := ss.identify(snapshot, route)
			if refusal != nil {
				ss.server.cfg.Metrics.Refused(route.Name, refusal.Code.String())
			}
			return refusal
		}
		select {
		case <-changed:
		case <-timer.C:
			return &stmt.Error{Code: stmt.CodeBusy, Detail: "no configuration yet"}
		}
	}
}

// answerFailed logs err, the result of sending an answer, and reports whether it failed.
func (ss *session) answerFailed(err error) bool {
	if err != nil {
		ss.server.log.V(1).Info("answer not delivered", "database", ss.database, "error", err.Error())
	}
	return err != nil
}

// loop serves statements until the session ends.
func (ss *session) loop() {
	for {
		st, err := ss.next()
		if err != nil {
			return
		}
		arrival := time.Now()
		ss.begin(st)
		reply := ss.handle(st, arrival)
		ss.observe(st, reply, time.Since(arrival))
		if !ss.answer(reply) {
			ss.observeAbandoned()
			return
		}
	}
}

// next waits for the next statement. It rolls back a transaction that exceeds the idle
// timeout; the next statement of that transaction gets an error.
func (ss *session) next() (stmt.Statement, error) {
	for {
		if !ss.idle.enterWait(ss.tx == nil) {
			return stmt.Statement{}, &drainError{}
		}
		deadline := time.Time{}
		if ss.tx != nil && !ss.tx.isAborted {
			deadline = time.Now().Add(ss.idleTransactionTimeout())
		}
		if err := ss.caller.SetReadDeadline(deadline); err != nil {
			return stmt.Statement{}, err
		}
		err := ss.caller.Wait()
		ss.idle.leaveWait()
		if err == nil {
			if err := ss.caller.SetReadDeadline(time.Time{}); err != nil {
				return stmt.Statement{}, err
			}
			return ss.caller.Next()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || ss.tx == nil || ss.tx.isAborted {
			return stmt.Statement{}, err
		}
		ss.server.log.Info("idle transaction rolled back", "database", ss.database, "begin", ss.tx.begin.ID)
		ss.abortTransaction()
	}
}

// drainError ends a session because Drain, WatchIsolation or endRevoked asked for it.
type drainError struct{}

func (*drainError) Error() string { return "idle session ended by the daemon" }

// idleTransactionTimeout returns how long a transaction may wait for its next statement.
func (ss *session) idleTransactionTimeout() time.Duration {
	ms := ss.server.cfg.View.Snapshot().Config.GetIdleTransactionMs()
	if ms == 0 {
		return defaultIdleTransactionTimeout
	}
	return time.Duration(ms) * time.Millisecond
}

// handle runs one statement and returns its reply.
func (ss *session) handle(st stmt.Statement, arrival time.Time) stmt.Reply {
	switch st.Kind {
	case stmt.Set:
		return ss.set(st, arrival)
	case stmt.Prepare:
		ss.prepared[st.Name] = st.Shape
		return ss.ok()
	case stmt.Deallocate:
		return ss.deallocate(st)
	case stmt.Unknown:
		return ss.fail(stmt.CodeMalformed, "statement is not understood")
	}
	if ss.tx != nil {
		return ss.runInTransaction(st, arrival)
	}
	switch st.Kind {
	case stmt.Begin, stmt.BeginRead:
		if ss.server.refusesNew(ss.server.cfg.View.Snapshot().Route(ss.database)) {
			return stmt.Reply{Err: stoppingError()}
		}
		ss.tx = &transaction{begin: st, bootArrival: boottime.Now()}
		return ss.ok()
	case stmt.Commit, stmt.Rollback:
		return ss.ok()
	}
	return ss.runSingle(st, arrival)
}

// ok returns the reply to a statement that the proxy itself handles.
func (ss *session) ok() stmt.Reply { return stmt.Reply{State: ss.state()} }

// fail returns an error reply.
func (ss *session) fail(code stmt.Code, detail string) stmt.Reply {
	return stmt.Reply{Err: &stmt.Error{Code: code, Detail: detail}, State: ss.state()}
}

// state returns the session's transaction state.
func (ss *session) state() stmt.State {
	switch {
	case ss.tx == nil:
		return stmt.Idle
	case ss.tx.isAborted || ss.tx.hasFailed:
		return stmt.Failed
	}
	return stmt.InTransaction
}

// deallocate removes a prepared statement from the session.
func (ss *session) deallocate(st stmt.Statement) stmt.Reply {
	if _, ok := ss.prepared[st.Name]; !ok {
		return ss.fail(stmt.CodeNoStatement, "no prepared statement has this name")
	}
	delete(ss.prepared, st.Name)
	return ss.ok()
}

// set sets a session value. If a transaction already has a connection, the value is set
// there as well.
func (ss *session) set(st stmt.Statement, arrival time.Time) stmt.Reply {
	if tx := ss.tx; tx != nil && tx.conn != nil && !tx.isAborted {
		if refusal := ss.recheck(); refusal != nil {
			return ss.refuseTransaction(st, refusal)
		}
		reply, err := tx.conn.Do(ss.deadline(tx.route, arrival), st.Text, st.ID, logpos.Pos{})
		if err != nil {
			ss.abortTransaction()
			return ss.fail(stmt.CodeAborted, "connection to the endpoint failed")
		}
		if reply.Err != nil {
			tx.hasFailed = reply.State == stmt.Failed
			return reply
		}
		tx.conn.Values[st.Name] = st.Value
	}
	// The slower of two hedged reads may still use the old map.
	ss.values = maps.Clone(ss.values)
	ss.values[st.Name] = st.Value
	return ss.ok()
}

// resolve looks up the prepared statement that an Execute names, determines whether the
// statement writes, and adds the session values.
func (ss *session) resolve(st stmt.Statement) (resolvedStatement, *stmt.Error) {
	r := resolvedStatement{st: st, writes: st.Kind == stmt.Write, values: ss.values}
	if st.Kind != stmt.Execute {
		return r, nil
	}
	shape, ok := ss.prepared[st.Name]
	if !ok {
		return r, &stmt.Error{Code: stmt.CodeNoStatement, Detail: "no prepared statement has this name"}
	}
	r.shape = &shape
	r.writes = shape.Writes
	return r, nil
}

// resolvedStatement is a statement with the session state that it needs.
type resolvedStatement struct {
	st stmt.Statement
	// shape is the prepared statement that st executes; nil for none.
	shape  *stmt.Shape
	writes bool
	// values are the session values when the statement arrived.
	values map[string]string
	// workspace is the name of the caller's workspace; "" where callers are not identified.
	workspace string
}

// deadline returns the deadline of a statement that arrived at arrival.
func (ss *session) deadline(route *fleetpb.Route, arrival time.Time) time.Time {
	return arrival.Add(time.Duration(route.GetTimeoutMs()) * time.Millisecond)
}

// cleanUp rolls back the transaction that a caller left open.
func (ss *session) cleanUp() {
	if ss.tx != nil {
		ss.abortTransaction()
	}
}
