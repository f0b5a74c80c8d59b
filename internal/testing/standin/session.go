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
	// maxMessageBytes is the maximum length of a message.
	maxMessageBytes = 64 << 20
	// flushThreshold is the number of bytes of a result after which the buffered
	// rows are sent.
	flushThreshold = 16 << 10
	// peerCheckInterval is the interval of the checks for a closed connection
	// while a statement runs.
	peerCheckInterval = time.Second
	// paramReplica is the start-up parameter in which a replica's connection
	// names its slot. Such a connection does not count towards the limit.
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

// prepared is a prepared statement. stmt is nil if the text holds no statement.
type prepared struct {
	text   string
	stmt   sqltext.Stmt
	params []sqltext.Type
	cols   []exec.Col
}

// portal is a bound statement. result is nil until the portal is first executed.
type portal struct {
	*prepared
	values  []store.Value
	formats []int16
	result  *exec.Result
}

// session is one client connection. Only its own goroutine uses the fields that
// are not marked as guarded.
type session struct {
	e            *Endpoint
	ctx          context.Context
	conn         net.Conn
	writer       *faultWriter
	backend      *pgproto3.Backend
	pid          uint32
	secret       uint32
	pendingBytes int // approximate bytes of rows since the last flush

	identified    bool   // guarded by e.mu; the start-up message was received
	countsToLimit bool   // guarded by e.mu; counts towards the connection limit
	holder        string // guarded by e.mu

	stmtMu     sync.Mutex         // guards cancelStmt
	cancelStmt context.CancelFunc // nil while no statement runs

	db         string
	settings   settings
	block      block
	access     sqltext.Access // of the transaction
	tx         *store.Tx
	statements map[string]*prepared
	portals    map[string]*portal
	skipToSync bool // messages are skipped until the next Sync, after an error
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
	s.writer = &faultWriter{f: e.faults, ctx: ctx, conn: conn, number: number}
	s.backend = pgproto3.NewBackend(conn, s.writer)
	s.backend.SetMaxBodyLen(maxMessageBytes)
	return s
}

// run serves the connection until it ends.
func (s *session) run() {
	defer s.release()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	s.ctx, s.writer.ctx = ctx, ctx
	if !s.startUp() {
		return
	}
	for !s.closed {
		msg, err := s.backend.Receive()
		if err != nil || s.writer.awaitRead() != nil {
			return
		}
		if !s.handleMessage(msg) {
			return
		}
	}
}

// release releases what the session holds.
func (s *session) release() {
	if s.tx != nil {
		s.tx.End()
	}
	s.conn.Close()
	s.e.unregister(s)
}

// handleMessage handles one message and reports whether the connection stays
// open.
func (s *session) handleMessage(msg pgproto3.FrontendMessage) bool {
	if s.skipToSync {
		if _, ok := msg.(*pgproto3.Sync); !ok {
			_, quit := msg.(*pgproto3.Terminate)
			return !quit
		}
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		s.simpleQuery(m.String)
		return s.sendReady()
	case *pgproto3.Parse:
		s.handleError(s.parse(m))
	case *pgproto3.Bind:
		s.handleError(s.bind(m))
	case *pgproto3.Describe:
		s.handleError(s.describe(m))
	case *pgproto3.Execute:
		s.handleError(s.execute(m))
	case *pgproto3.Close:
		s.closeObject(m)
	case *pgproto3.Flush:
		return s.flush() == nil
	case *pgproto3.Sync:
		s.skipToSync = false
		if s.block == blockImplicit {
			if err := s.commit(); err != nil {
				s.sendError(err)
			}
		}
		return s.sendReady()
	case *pgproto3.Terminate:
		return false
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// A client may still send the data of a rejected COPY.
	default:
		s.handleError(&sqltext.Error{Code: sqltext.CodeUnsupported, Message: "message is not supported by the stand-in endpoint"})
	}
	return !s.closed
}

// handleError handles an error in a message of the extended protocol: it sends
// the error and skips messages until the next Sync.
func (s *session) handleError(err error) {
	if err == nil {
		return
	}
	s.failTransaction()
	s.sendError(err)
	s.skipToSync = true
}

// failTransaction rolls back the transaction after an error. An explicit block
// remains open in the failed state.
func (s *session) failTransaction() {
	switch s.block {
	case blockImplicit:
		s.resetTransaction(blockNone)
	case blockExplicit:
		s.resetTransaction(blockFailed)
	}
}

// resetTransaction drops the transaction with its uncommitted changes and its
// locks, and enters the block state next.
func (s *session) resetTransaction(next block) {
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

// commit commits the transaction and ends it. If it returns an error, none of the
// transaction's changes took effect.
func (s *session) commit() error {
	if s.tx != nil && len(s.tx.Ops()) > 0 {
		if err := s.e.faults.awaitThaw(s.ctx); err != nil {
			return err
		}
		pos, err := s.e.currentNode().Commit(s.tx.Ops())
		if err != nil {
			s.resetTransaction(blockNone)
			return err
		}
		s.backend.Send(&pgproto3.ParameterStatus{Name: endpoint.ParamCommit, Value: pos.String()})
	}
	s.settings.endTransaction(true)
	s.resetTransaction(blockNone)
	return nil
}

// ensureTransaction opens a transaction if none is open.
func (s *session) ensureTransaction() {
	if s.block == blockNone {
		s.block = blockImplicit
	}
	if s.tx == nil {
		s.tx = s.e.currentNode().Store().Begin()
	}
}

// sendReady sends changed settings and ReadyForQuery, and reports whether the
// connection stays open.
func (s *session) sendReady() bool {
	status := byte('I')
	switch s.block {
	case blockExplicit:
		status = 'T'
	case blockFailed:
		status = 'E'
	}
	for _, p := range s.settings.takeUnreported() {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p.name, Value: p.value})
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return s.flush() == nil && !s.closed
}

func (s *session) flush() error {
	s.pendingBytes = 0
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

// statementContext returns the context of one statement and the function that
// ends it. A cancel request cancels the context. So does a client that closed its
// connection, because a waiting statement of a dead holder would otherwise keep
// the connection counted.
func (s *session) statementContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.stmtMu.Lock()
	defer s.stmtMu.Unlock()
	s.cancelStmt = cancel
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
		s.cancelStmt = nil
		s.stmtMu.Unlock()
		cancel()
	}
}

func (s *session) cancelStatement() {
	s.stmtMu.Lock()
	defer s.stmtMu.Unlock()
	if s.cancelStmt != nil {
		s.cancelStmt()
	}
}

// startUp handles the messages before the session starts and reports whether it
// started.
func (s *session) startUp() bool {
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil || s.writer.awaitRead() != nil {
			return false
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.writer.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			s.e.cancelByKey(m.ProcessID, binary.BigEndian.Uint32(append(slices.Clone(m.SecretKey), 0, 0, 0, 0)))
			return false
		case *pgproto3.StartupMessage:
			return s.acceptStartup(m.Parameters)
		}
	}
}

// acceptStartup answers the start-up message and reports whether the session
// started.
func (s *session) acceptStartup(params map[string]string) bool {
	if !s.identify(params) {
		return false
	}
	if sleep(s.ctx, s.e.cfg.ConnectDelay) != nil || s.writer.awaitRead() != nil {
		return false
	}
	if err := s.admit(params); err != nil {
		s.backend.Send(errorResponse("FATAL", err))
		s.flush()
		return false
	}
	s.settings.start(params)
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range s.settings.reportedValues() {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p.name, Value: p.value})
	}
	recovery := "on"
	if s.e.currentNode().Writable() {
		recovery = "off"
	}
	s.backend.Send(&pgproto3.ParameterStatus{Name: "in_hot_standby", Value: recovery})
	s.backend.Send(&pgproto3.ParameterStatus{Name: endpoint.ParamIncarnation, Value: s.e.Status().Incarnation})
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: binary.BigEndian.AppendUint32(nil, s.secret)})
	ok := s.sendReady()
	s.writer.answering = true
	return ok
}

// identify records the peer's names and reports whether it may connect, which a
// peer that is cut off may not.
func (s *session) identify(params map[string]string) bool {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	s.holder = params[endpoint.ParamHolder]
	for _, name := range []string{s.holder, params[paramReplica]} {
		if name != "" {
			s.writer.peers = append(s.writer.peers, name)
		}
	}
	s.identified = true
	return !s.e.faults.isCut(Both, s.writer.peers...)
}

// admit selects the database and checks the connection limit.
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
