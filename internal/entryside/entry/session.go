package entry

import (
	"bufio"
	"context"
	"io"
	"maps"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"hemlockmast/internal/shared/outcome"
	"hemlockmast/internal/shared/sockpeek"
	"hemlockmast/internal/wire/exchange"
	"hemlockmast/internal/wire/pgwire"
)

const (
	// callerBufferBytes is the read buffer of a caller that is being served;
	// idle callers have none.
	callerBufferBytes = 4 << 10
	// watchAfter is how long a segment runs before the entry watches whether
	// its caller is still there.
	watchAfter = 10 * time.Millisecond
)

// Causes for which a running segment is canceled.
var (
	errCanceledByCaller = &CancelError{Abandoned: false}
	errAbandoned        = &CancelError{Abandoned: true}
)

// CancelError says why a running segment was canceled.
type CancelError struct {
	// Abandoned states that the caller closed its connection; otherwise it sent
	// a cancel request.
	Abandoned bool
}

func (e *CancelError) Error() string {
	if e.Abandoned {
		return "the caller closed its connection"
	}
	return "canceled on the caller's request"
}

// callerConn is one caller connection. Fields outside mu belong to the goroutine
// that serves the caller.
type callerConn struct {
	srv     *Server
	conn    net.Conn
	service Service
	user    string
	db      string
	// params are the session parameters for endpoints, own those for the entry.
	params map[string]string
	own    map[string]string
	handle SessionHandle
	pid    uint32
	secret uint32

	// statements maps the caller's names of prepared statements.
	statements map[string]statement
	// exchange holds an endpoint connection while it is not nil.
	exchange exchange.Exchange
	// onPrimary states that exchange runs at the primary.
	onPrimary bool
	// slot is the slot of exchange.
	slot string
	// txStatus is the last byte of ReadyForQuery.
	txStatus byte
	// failedTx states that the endpoint of an open transaction was lost: the
	// caller must end the transaction before anything else runs.
	failedTx bool
	// skipping states that messages up to the next Sync are to be ignored.
	skipping bool

	// mu guards the fields below.
	mu sync.Mutex
	// idle states that the session waits for its caller outside a transaction.
	idle bool
	// cancel stops the segment in progress; nil when none runs.
	cancel context.CancelCauseFunc
}

func (s *Server) newSession(conn net.Conn, startup startupParams) (*callerConn, *outcome.Error) {
	if s.draining.Load() {
		return nil, outcome.NotRunError(outcome.CodeCannotConnectNow, outcome.ReasonDraining,
			"this daemon is stopping", nil)
	}
	if s.cfg.MaxCallers > 0 && s.Callers() >= s.cfg.MaxCallers {
		return nil, outcome.NotRunError(outcome.CodeTooManyConnections, outcome.ReasonQueueFull,
			"this daemon has as many callers as its settings allow", nil)
	}
	if !s.cfg.Ready() {
		return nil, outcome.NotRunError(outcome.CodeCannotConnectNow, outcome.ReasonNoConfiguration,
			"this daemon has no configuration in force yet", nil)
	}
	user, db := startup["user"], startup["database"]
	if db == "" {
		db = user
	}
	service, ok := s.cfg.Catalog.Lookup(user, db)
	if !ok {
		return nil, outcome.NotRunError(outcome.CodeInvalidCatalogName, outcome.ReasonUnknownTarget,
			"no service file names this user and database", nil)
	}
	own, params := splitParams(startup)
	sess := &callerConn{
		srv: s, conn: conn, service: service, user: user, db: db,
		params: params, own: own, secret: randomUint32(), txStatus: 'I',
	}
	handle, refusal := s.cfg.Sessions.Open(own[paramSession], own[paramToken])
	if refusal != nil {
		return nil, refusal
	}
	sess.handle = handle
	return sess, sess.checkOwn()
}

// startupParams are the parameters of a start-up message.
type startupParams map[string]string

// checkOwn validates the system's own parameters.
func (sess *callerConn) checkOwn() *outcome.Error {
	for name, value := range sess.own {
		if err := checkParam(name, value); err != nil {
			return err
		}
	}
	return nil
}

func (sess *callerConn) token() string { return sess.handle.Token() }

// loop serves the caller until it leaves, fails or the server stops.
func (sess *callerConn) loop() {
	for {
		if !sess.awaitRequest() {
			sess.farewell()
			return
		}
		if err := sess.serveReadable(); err != nil {
			sess.reportFatal(err)
			return
		}
	}
}

// awaitRequest waits, without a buffer, until the caller sends something. It
// returns false when the server stops and the session is idle.
func (sess *callerConn) awaitRequest() bool {
	sess.setIdle(sess.exchange == nil && sess.txStatus == 'I')
	defer sess.setIdle(false)
	if sess.mayLeave() {
		return sockpeek.HasInput(sess.conn)
	}
	err := sockpeek.WaitReadable(sess.conn)
	if isTimeout(err) {
		_ = sess.conn.SetReadDeadline(time.Time{})
		return !sess.mayLeave() || sockpeek.HasInput(sess.conn)
	}
	return true
}

// mayLeave reports whether the server stops and nothing of this session is in
// progress.
func (sess *callerConn) mayLeave() bool {
	return sess.srv.draining.Load() && sess.exchange == nil && sess.txStatus == 'I'
}

func (sess *callerConn) setIdle(idle bool) {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	sess.idle = idle
}

// wakeIfIdle makes an idle session look at the server's state.
func (sess *callerConn) wakeIfIdle() {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	if sess.idle {
		_ = sess.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

var readerPool = sync.Pool{
	New: func() any { return bufio.NewReaderSize(nil, callerBufferBytes) },
}

// serveReadable serves segments until no input is left in the buffer.
func (sess *callerConn) serveReadable() error {
	br := readerPool.Get().(*bufio.Reader)
	br.Reset(sess.conn)
	defer func() {
		br.Reset(nil)
		readerPool.Put(br)
	}()
	r := pgwire.NewReader(br, maxSegmentBytes)
	for {
		in, err := sess.readSegment(r)
		if err != nil {
			return err
		}
		if err := sess.serve(in); err != nil {
			return err
		}
		if r.Buffered() == 0 {
			return nil
		}
	}
}

// errTerminate ends a session that its caller closed in good order.
var errTerminate = &CancelError{Abandoned: true}

// reportFatal tells the caller why its connection ends, where it can be told.
func (sess *callerConn) reportFatal(err error) {
	var length *pgwire.LengthError
	var refusal *outcome.Error
	switch {
	case errors.As(err, &refusal):
		writeFatal(sess.conn, refusal)
	case errors.As(err, &length):
		writeFatal(sess.conn, outcome.NotRunError(outcome.CodeProtocolViolation,
			outcome.ReasonTooLarge, "a message is too long", err))
	case errors.Is(err, io.EOF), errors.Is(err, error(errTerminate)):
	default:
		sess.srv.cfg.Log.V(1).Info("caller connection ended", "error", err.Error())
	}
}

// farewell tells an idle caller to reconnect elsewhere.
func (sess *callerConn) farewell() {
	out := pgwire.AppendErrorText(nil, "FATAL", outcome.CodeAdminShutdown,
		"this daemon is stopping; connect again", "outcome: not run")
	_, _ = sess.conn.Write(out)
}

// end gives up what the session holds.
func (sess *callerConn) end() {
	if sess.exchange != nil {
		sess.exchange.Close()
		sess.exchange = nil
	}
}

// startRunning makes the segment in progress cancelable.
func (sess *callerConn) startRunning(deadline time.Time) (context.Context, func()) {
	ctx, cancelCause := context.WithCancelCause(context.Background())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	sess.mu.Lock()
	sess.cancel = cancelCause
	sess.mu.Unlock()
	watch := newCallerWatch(sess.conn, watchAfter, func() { cancelCause(errAbandoned) })
	return ctx, func() {
		watch.stop()
		sess.mu.Lock()
		sess.cancel = nil
		sess.mu.Unlock()
		cancel()
		cancelCause(nil)
	}
}

func (sess *callerConn) cancelRunning(cause error) {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	if sess.cancel != nil {
		sess.cancel(cause)
	}
}

// setOwn changes one of the system's own parameters.
func (sess *callerConn) setOwn(name, value string) *outcome.Error {
	if err := checkParam(name, value); err != nil {
		return err
	}
	own := maps.Clone(sess.own)
	if own == nil {
		own = map[string]string{}
	}
	own[name] = value
	sess.own = own
	return nil
}

// checkParam validates one of the system's own parameters.
func checkParam(name, value string) *outcome.Error {
	switch name {
	case paramSession, paramToken, paramRequestID:
		return nil
	case paramLevel:
		if _, ok := parseLevel(value); ok {
			return nil
		}
	case paramDeadline:
		if d, err := time.ParseDuration(value); err == nil && d > 0 {
			return nil
		}
	case paramReadOnly:
		if _, ok := parseBool(value); ok {
			return nil
		}
	default:
		return outcome.NotRunError(outcome.CodeInvalidParameter, outcome.ReasonProtocol,
			"unknown parameter "+name, nil)
	}
	return outcome.NotRunError(outcome.CodeInvalidParameter, outcome.ReasonProtocol,
		"invalid value for parameter "+name, nil)
}

func parseLevel(value string) (ReadLevel, bool) {
	switch strings.ToLower(value) {
	case "session":
		return LevelSession, true
	case "max_age":
		return LevelMaxAge, true
	case "primary":
		return LevelPrimary, true
	}
	return LevelSession, false
}

func parseBool(value string) (on, ok bool) {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		return true, true
	case "off", "false", "no", "0":
		return false, true
	}
	return false, false
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
