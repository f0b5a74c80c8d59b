package standin

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/sockpeek"
	"hemlockmast/internal/testing/standin/exec"
	"hemlockmast/internal/testing/standin/sqltext"
	"hemlockmast/internal/testing/standin/store"
)

const (
	// maxMessageBytes bounds one message of a client.
	maxMessageBytes = 64 << 20
	// flushBytes is how much of a result is collected before it is sent.
	flushBytes = 16 << 10
	// peerCheckInterval is between looks for a client that is gone while its
	// statement runs.
	peerCheckInterval = time.Second
	// paramReplica is the start-up parameter by which a replica's connection
	// names its slot; such a connection does not count towards the limit.
	paramReplica = "hemlock.replica"
)

// block is the state of a session's transaction block.
type block uint8

const (
	blockNone block = iota
	blockImplicit
	blockExplicit
	blockFailed
)

// prepared is a prepared statement. stmt is nil for empty text.
type prepared struct {
	text   string
	stmt   sqltext.Stmt
	params []sqltext.Type
	cols   []exec.Col
}

// portal is a bound statement; result is nil until it first runs.
type portal struct {
	*prepared
	values  []store.Value
	formats []int16
	result  *exec.Result
}

// session is one connection. Its goroutine owns all fields but those marked.
type session struct {
	e       *Endpoint
	ctx     context.Context
	conn    net.Conn
	out     *faultWriter
	backend *pgproto3.Backend
	pid     uint32
	secret  uint32
	pending int // bytes of rows since the last flush

	started bool   // guarded by e.mu
	counted bool   // guarded by e.mu
	holder  string // guarded by e.mu

	stmtMu   sync.Mutex // guards stopStmt
	stopStmt context.CancelFunc

	db         string
	settings   settings
	block      block
	access     sqltext.Access // of the transaction
	tx         *store.Tx
	statements map[string]*prepared
	portals    map[string]*portal
	skipping   bool // to the next Sync, after an error
	closed     bool
}

func newSession(ctx context.Context, e *Endpoint, conn net.Conn, number int) *session {
	var secret [4]byte
	rand.Read(secret[:]) // never fails, as crypto/rand documents
	s := &session{
		e: e, ctx: ctx, conn: conn, pid: uint32(number),
		secret:     binary.BigEndian.Uint32(secret[:]),
		statements: map[string]*prepared{},
		portals:    map[string]*portal{},
	}
	s.out = &faultWriter{f: e.faults, ctx: ctx, conn: conn, number: number}
	s.backend = pgproto3.NewBackend(conn, s.out)
	s.backend.SetMaxBodyLen(maxMessageBytes)
	return s
}

// run serves the connection until it ends.
func (s *session) run() {
	defer s.end()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	s.ctx, s.out.ctx = ctx, ctx
	if !s.startUp() {
		return
	}
	for !s.closed {
		msg, err := s.backend.Receive()
		if err != nil || s.out.awaitRead() != nil {
			return
		}
		if !s.handle(msg) {
			return
		}
	}
}

func (s *session) end() {
	if s.tx != nil {
		s.tx.End()
	}
	s.conn.Close()
	s.e.unregister(s)
}

// handle serves one message and reports whether the connection goes on.
func (s *session) handle(msg pgproto3.FrontendMessage) bool {
	if s.skipping {
		if _, ok := msg.(*pgproto3.Sync); !ok {
			_, quit := msg.(*pgproto3.Terminate)
			return !quit
		}
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		s.simpleQuery(m.String)
		return s.ready()
	case *pgproto3.Parse:
		s.check(s.parse(m))
	case *pgproto3.Bind:
		s.check(s.bind(m))
	case *pgproto3.Describe:
		s.check(s.describe(m))
	case *pgproto3.Execute:
		s.check(s.execute(m))
	case *pgproto3.Close:
		s.closeObject(m)
	case *pgproto3.Flush:
		return s.flush() == nil
	case *pgproto3.Sync:
		s.skipping = false
		if s.block == blockImplicit {
			if err := s.commit(); err != nil {
				s.sendError(err)
			}
		}
		return s.ready()
	case *pgproto3.Terminate:
		return false
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// A client may go on sending after a refused COPY.
	default:
		s.check(&sqltext.Error{Code: sqltext.CodeUnsupported, Message: "message is not supported by the stand-in endpoint"})
	}
	return !s.closed
}

// check reports an error of the extended protocol and skips to the next Sync.
func (s *session) check(err error) {
	if err == nil {
		return
	}
	s.fail()
	s.sendError(err)
	s.skipping = true
}

// fail ends an implicit transaction and marks an explicit one as failed.
func (s *session) fail() {
	switch s.block {
	case blockImplicit:
		s.abandon(blockNone)
	case blockExplicit:
		s.abandon(blockFailed)
	}
}

// abandon drops the transaction's changes and locks.
func (s *session) abandon(next block) {
	if s.tx != nil {
		s.tx.End()
		s.tx = nil
	}
	clear(s.portals)
	s.settings.endTransaction(false)
	s.block = next
	if next == blockNone {
		s.access = sqltext.AccessDefault
	}
}

// commit ends the transaction and keeps its changes. On an error nothing of it
// took effect.
func (s *session) commit() error {
	if s.tx != nil && len(s.tx.Ops()) > 0 {
		if err := s.e.faults.awaitThaw(s.ctx); err != nil {
			return err
		}
		pos, err := s.e.state().Commit(s.tx.Ops())
		if err != nil {
			s.abandon(blockNone)
			return err
		}
		s.backend.Send(&pgproto3.ParameterStatus{Name: endpoint.ParamCommit, Value: pos.String()})
	}
	s.settings.endTransaction(true)
	s.abandon(blockNone)
	return nil
}

// begin makes sure that a transaction is open.
func (s *session) begin() {
	if s.block == blockNone {
		s.block = blockImplicit
	}
	if s.tx == nil {
		s.tx = s.e.state().Store().Begin()
	}
}

func (s *session) ready() bool {
	status := byte('I')
	switch s.block {
	case blockExplicit:
		status = 'T'
	case blockFailed:
		status = 'E'
	}
	for _, p := range s.settings.takeReports() {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p.name, Value: p.value})
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return s.flush() == nil && !s.closed
}

func (s *session) flush() error {
	s.pending = 0
	return s.backend.Flush()
}

func (s *session) sendError(err error) {
	s.backend.Send(errorResponse("ERROR", err))
}

func errorResponse(severity string, err error) *pgproto3.ErrorResponse {
	resp := &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Message: err.Error(), Code: "XX000"}
	switch e := err.(type) {
	case *sqltext.Error:
		resp.Code, resp.Message, resp.Detail = e.Code, e.Message, e.Detail
	case *endpoint.FencedError:
		resp.Code, resp.Detail = endpoint.CodeFenced, fencedDetail(e)
	}
	return resp
}

// statementContext gives a context that a cancel request ends, and so does a
// client that is gone: a dead holder's waiting statements must not keep its
// connections.
func (s *session) statementContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.stmtMu.Lock()
	defer s.stmtMu.Unlock()
	s.stopStmt = cancel
	var check *time.Timer
	check = time.AfterFunc(peerCheckInterval, func() {
		if sockpeek.HasInputOrEnd(s.conn) && !sockpeek.HasInput(s.conn) {
			cancel()
		}
		s.stmtMu.Lock()
		defer s.stmtMu.Unlock()
		if ctx.Err() == nil {
			check.Reset(peerCheckInterval)
		}
	})
	return ctx, func() {
		check.Stop()
		s.stmtMu.Lock()
		s.stopStmt = nil
		s.stmtMu.Unlock()
		cancel()
	}
}

func (s *session) cancelStatement() {
	s.stmtMu.Lock()
	defer s.stmtMu.Unlock()
	if s.stopStmt != nil {
		s.stopStmt()
	}
}

// startUp performs the protocol's start and reports whether the connection
// goes on.
func (s *session) startUp() bool {
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil || s.out.awaitRead() != nil {
			return false
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.out.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			s.e.cancel(m.ProcessID, binary.BigEndian.Uint32(append(slices.Clone(m.SecretKey), 0, 0, 0, 0)))
			return false
		case *pgproto3.StartupMessage:
			return s.accept(m.Parameters)
		}
	}
}

func (s *session) accept(params map[string]string) bool {
	if !s.identify(params) {
		return false
	}
	if sleep(s.ctx, s.e.cfg.ConnectDelay) != nil || s.out.awaitRead() != nil {
		return false
	}
	if err := s.admit(params); err != nil {
		s.backend.Send(errorResponse("FATAL", err))
		s.flush()
		return false
	}
	s.settings.start(params)
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range s.settings.all() {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p.name, Value: p.value})
	}
	recovery := "on"
	if s.e.state().Writable() {
		recovery = "off"
	}
	s.backend.Send(&pgproto3.ParameterStatus{Name: "in_hot_standby", Value: recovery})
	s.backend.Send(&pgproto3.ParameterStatus{Name: endpoint.ParamIncarnation, Value: s.e.Status().Incarnation})
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: binary.BigEndian.AppendUint32(nil, s.secret)})
	ok := s.ready()
	s.out.answering = true
	return ok
}

// identify notes who connects, and refuses a peer that is cut off.
func (s *session) identify(params map[string]string) bool {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	s.holder = params[endpoint.ParamHolder]
	for _, name := range []string{s.holder, params[paramReplica]} {
		if name != "" {
			s.out.peers = append(s.out.peers, name)
		}
	}
	s.started = true
	return !s.e.faults.isCut(Both, s.out.peers...)
}

func (s *session) admit(params map[string]string) error {
	s.db = params["database"]
	if s.db == "" {
		s.db = params["user"]
	}
	if params[paramReplica] != "" {
		return nil
	}
	if dbs := s.e.cfg.Databases; len(dbs) > 0 && !slices.Contains(dbs, s.db) {
		return &sqltext.Error{Code: "3D000", Message: "database \"" + s.db + "\" does not exist"}
	}
	if !s.e.admit(s) {
		return &sqltext.Error{Code: endpoint.CodeTooManyConnections, Message: "sorry, too many clients already"}
	}
	return nil
}
