package proxy

import (
	"errors"
	"maps"
	"net"
	"os"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/fault"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

const (
	// helloTimeout bounds the wait for a caller's first message, and configWait
	// the wait of a first message for a configuration; callers give up after 2 s.
	helloTimeout = 10 * time.Second
	configWait   = 1500 * time.Millisecond
	// defaultIdleTransaction stands where the configuration sets no limit.
	defaultIdleTransaction = 10 * time.Second
	// answerTimeout bounds the writing of one answer to a caller that does not
	// read.
	answerTimeout = 20 * time.Second
)

// Caller is a caller's connection with its protocol.
type Caller interface {
	net.Conn
	// Hello returns the database that the caller asks for.
	Hello() (database string, err error)
	Welcome() error
	Refuse(e *stmt.Error) error
	// Wait returns once a statement begins to arrive.
	Wait() error
	Next() (stmt.Statement, error)
	Answer(reply stmt.Reply) error
}

// session is one caller's.
type session struct {
	server *Server
	caller Caller

	database string
	// values are never changed, but replaced.
	values   map[string]string
	prepared map[string]stmt.Shape
	// floors are, by service, the last positions written by this session.
	floors map[string]logpos.Pos
	tx     *transaction

	// idle guards the end of an idle session by Drain.
	idle idleGate
}

// Serve serves a caller until it leaves. It closes the connection. A panic ends this
// session alone.
func (s *Server) Serve(caller Caller) {
	defer caller.Close()
	defer fault.Contain(s.log, "session", s.cfg.Metrics.Fault)
	ss := &session{
		server: s, caller: caller,
		values: make(map[string]string), prepared: make(map[string]stmt.Shape),
		floors: make(map[string]logpos.Pos),
	}
	if !ss.open() {
		return
	}
	s.mu.Lock()
	s.sessions[ss] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.sessions, ss)
		s.mu.Unlock()
		ss.abandon()
	}()
	ss.loop()
}

// open answers the first message; it reports whether the session goes on.
func (ss *session) open() bool {
	if err := ss.caller.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return false
	}
	database, err := ss.caller.Hello()
	if err != nil {
		return false
	}
	ss.database = database
	if refusal := ss.awaitRoute(); refusal != nil {
		ss.server.log.Info("session refused", "database", database, "reason", refusal.Error())
		ss.answerFailed(ss.caller.Refuse(refusal))
		return false
	}
	return !ss.answerFailed(ss.caller.Welcome())
}

// awaitRoute waits for a first configuration, then looks the database up.
func (ss *session) awaitRoute() *stmt.Error {
	timeout := time.NewTimer(configWait)
	defer timeout.Stop()
	for {
		changed := ss.server.cfg.View.Changed()
		picture := ss.server.cfg.View.Snapshot()
		if picture.Config != nil {
			if picture.Route(ss.database) == nil {
				return &stmt.Error{Code: stmt.CodeNoDatabase, Detail: "no route has this name"}
			}
			return nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return &stmt.Error{Code: stmt.CodeBusy, Detail: "no configuration yet"}
		}
	}
}

// answerFailed reports whether the caller is gone.
func (ss *session) answerFailed(err error) bool {
	if err != nil {
		ss.server.log.V(1).Info("answer not delivered", "database", ss.database, "error", err.Error())
	}
	return err != nil
}

func (ss *session) loop() {
	for {
		st, err := ss.next()
		if err != nil {
			return
		}
		arrival := time.Now()
		reply := ss.handle(st, arrival)
		ss.observe(st, reply, time.Since(arrival))
		if err := ss.caller.SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
			return
		}
		if ss.answerFailed(ss.caller.Answer(reply)) {
			ss.observeAbandoned()
			return
		}
	}
}

// next waits for the next statement. A transaction that stays idle for too long
// is rolled back; its next statement is told so.
func (ss *session) next() (stmt.Statement, error) {
	for {
		if !ss.idle.enter(ss.tx == nil) {
			return stmt.Statement{}, &drainError{}
		}
		deadline := time.Time{}
		if ss.tx != nil && !ss.tx.lost {
			deadline = time.Now().Add(ss.idleLimit())
		}
		if err := ss.caller.SetReadDeadline(deadline); err != nil {
			return stmt.Statement{}, err
		}
		err := ss.caller.Wait()
		ss.idle.leave()
		if err == nil {
			if err := ss.caller.SetReadDeadline(time.Time{}); err != nil {
				return stmt.Statement{}, err
			}
			return ss.caller.Next()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || ss.tx == nil || ss.tx.lost {
			return stmt.Statement{}, err
		}
		ss.server.log.Info("idle transaction rolled back", "database", ss.database, "begin", ss.tx.begin.ID)
		ss.loseTransaction()
	}
}

// drainError ends a session because the daemon stops.
type drainError struct{}

func (*drainError) Error() string { return "daemon stops" }

func (ss *session) idleLimit() time.Duration {
	ms := ss.server.cfg.View.Snapshot().Config.GetIdleTransactionMs()
	if ms == 0 {
		return defaultIdleTransaction
	}
	return time.Duration(ms) * time.Millisecond
}

// handle answers one statement.
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
		return ss.inTransaction(st, arrival)
	}
	switch st.Kind {
	case stmt.Begin, stmt.BeginRead:
		ss.tx = &transaction{begin: st, arrived: boottime.Now()}
		return ss.ok()
	case stmt.Commit, stmt.Rollback:
		return ss.ok()
	}
	return ss.single(st, arrival)
}

// ok answers what the proxy does itself.
func (ss *session) ok() stmt.Reply { return stmt.Reply{State: ss.state()} }

func (ss *session) fail(code stmt.Code, detail string) stmt.Reply {
	return stmt.Reply{Err: &stmt.Error{Code: code, Detail: detail}, State: ss.state()}
}

func (ss *session) state() stmt.State {
	switch {
	case ss.tx == nil:
		return stmt.Idle
	case ss.tx.lost || ss.tx.failed:
		return stmt.Failed
	}
	return stmt.InTransaction
}

func (ss *session) deallocate(st stmt.Statement) stmt.Reply {
	if _, ok := ss.prepared[st.Name]; !ok {
		return ss.fail(stmt.CodeNoStatement, "no prepared statement has this name")
	}
	delete(ss.prepared, st.Name)
	return ss.ok()
}

// set keeps a session value. Within a transaction that runs already, the value
// has to be in force on its connection too.
func (ss *session) set(st stmt.Statement, arrival time.Time) stmt.Reply {
	if tx := ss.tx; tx != nil && tx.conn != nil && !tx.lost {
		reply, err := tx.conn.Do(ss.deadline(tx.route, arrival), st.Text, st.ID, logpos.Pos{})
		if err != nil {
			ss.loseTransaction()
			return ss.fail(stmt.CodeAborted, "connection to the endpoint failed")
		}
		if reply.Err != nil {
			tx.failed = reply.State == stmt.Failed
			return reply
		}
		tx.conn.Values[st.Name] = st.Value
	}
	// A read that was overtaken by another endpoint's answer may still use the former ones.
	ss.values = maps.Clone(ss.values)
	ss.values[st.Name] = st.Value
	return ss.ok()
}

// resolve returns the statement's kind as run, its text for a connection, and
// the shape that must be prepared there.
func (ss *session) resolve(st stmt.Statement) (resolved, *stmt.Error) {
	r := resolved{st: st, writes: st.Kind == stmt.Write, values: ss.values}
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

// resolved is a statement with what has to be prepared for it.
type resolved struct {
	st     stmt.Statement
	shape  *stmt.Shape
	writes bool
	// values are the session's when the statement arrived.
	values map[string]string
}

func (ss *session) deadline(route *fleetpb.Route, arrival time.Time) time.Time {
	return arrival.Add(time.Duration(route.GetTimeoutMs()) * time.Millisecond)
}

// abandon ends what a caller that left has open.
func (ss *session) abandon() {
	if ss.tx != nil {
		ss.loseTransaction()
	}
}
