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
	// callerBufferBytes is the size of the read buffer of a caller that is being
	// served. Idle callers have no buffer.
	callerBufferBytes = 4 << 10
	// callerWatchDelay is how long a segment runs before the entry starts to
	// watch for the caller's disconnection.
	callerWatchDelay = 10 * time.Millisecond
)

// Causes for the cancellation of a running segment.
var (
	errCanceledByCaller = &CancelError{Abandoned: false}
	errAbandoned        = &CancelError{Abandoned: true}
)

// CancelError is the cause of a running segment's cancellation.
type CancelError struct {
	// Abandoned states that the caller closed its connection. Otherwise the
	// caller sent a cancel request.
	Abandoned bool
}

func (e *CancelError) Error() string {
	if e.Abandoned {
		return "the caller closed its connection"
	}
	return "canceled on the caller's request"
}

// callerConn is one caller connection. Fields that mu does not guard are used
// only by the goroutine that serves the caller.
type callerConn struct {
	srv     *Server
	conn    net.Conn
	service Service
	user    string
	db      string
	// endpointParams are the session parameters for endpoints, entryParams those
	// for the entry itself.
	endpointParams map[string]string
	entryParams    map[string]string
	handle         SessionHandle
	pid            uint32
	secret         uint32

	// statements holds the prepared statements by the caller's names for them.
	statements map[string]statement
	// exchange is the open exchange, which holds an endpoint connection. It is
	// nil if none is open.
	exchange exchange.Exchange
	// onPrimary states that exchange runs at the primary.
	onPrimary bool
	// slot is the slot of the last exchange.
	slot string
	// txStatus is the transaction status of the endpoint's last ReadyForQuery.
	txStatus byte
	// failedTx states that the endpoint of an open transaction was lost. The
	// caller must end the transaction before anything else runs.
	failedTx bool
	// skippingToSync states that messages are ignored up to the next Sync.
	skippingToSync bool

	// mu guards the fields below.
	mu sync.Mutex
	// idle states that the session waits for input outside a transaction.
	idle bool
	// cancel cancels the running segment. It is nil if none runs.
	cancel context.CancelCauseFunc
}

// newSession checks the start-up parameters and returns the session of a new
// caller.
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
	entryParams, endpointParams := splitParams(startup)
	sess := &callerConn{
		srv: s, conn: conn, service: service, user: user, db: db,
		endpointParams: endpointParams, entryParams: entryParams, secret: randomUint32(), txStatus: 'I',
	}
	handle, refusal := s.cfg.Sessions.Open(entryParams[paramSession], entryParams[paramToken])
	if refusal != nil {
		return nil, refusal
	}
	sess.handle = handle
	return sess, sess.checkEntryParams()
}

// startupParams are the parameters of a start-up message.
type startupParams map[string]string

// checkEntryParams validates the entry parameters of the start-up message.
func (sess *callerConn) checkEntryParams() *outcome.Error {
	for name, value := range sess.entryParams {
		if err := checkEntryParam(name, value); err != nil {
			return err
		}
	}
	return nil
}

func (sess *callerConn) token() string { return sess.handle.Token() }

// serveLoop serves the caller until it disconnects, an error occurs or the
// server drains.
func (sess *callerConn) serveLoop() {
	for {
		if !sess.awaitRequest() {
			sess.sendShutdown()
			return
		}
		if err := sess.serveReadable(); err != nil {
			sess.reportFatal(err)
			return
		}
	}
}

// awaitRequest waits, without a read buffer, until the caller sends data or
// disconnects. It returns false if the server is draining and the session can be
// closed.
func (sess *callerConn) awaitRequest() bool {
	sess.setIdle(sess.exchange == nil && sess.txStatus == 'I')
	defer sess.setIdle(false)
	if sess.canClose() {
		return sockpeek.HasInput(sess.conn)
	}
	err := sockpeek.WaitReadable(sess.conn)
	if isTimeout(err) {
		_ = sess.conn.SetReadDeadline(time.Time{})
		return !sess.canClose() || sockpeek.HasInput(sess.conn)
	}
	return true
}

// canClose reports whether the server is draining and the session has nothing in
// progress.
func (sess *callerConn) canClose() bool {
	return sess.srv.draining.Load() && sess.exchange == nil && sess.txStatus == 'I'
}

func (sess *callerConn) setIdle(idle bool) {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	sess.idle = idle
}

// wakeIfIdle interrupts the wait of an idle session, so that it checks whether
// the server is draining.
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

// serveReadable serves segments until the read buffer is empty.
func (sess *callerConn) serveReadable() error {
	br := readerPool.Get().(*bufio.Reader)
	br.Reset(sess.conn)
	defer func() {
		br.Reset(nil)
		readerPool.Put(br)
	}()
	r := pgwire.NewReader(br, maxSegmentBytes)
	for {
		seg, err := sess.readSegment(r)
		if err != nil {
			return err
		}
		if err := sess.serveSegment(seg); err != nil {
			return err
		}
		if r.Buffered() == 0 {
			return nil
		}
	}
}

// errTerminate ends a session whose caller sent Terminate or closed its
// connection.
var errTerminate = &CancelError{Abandoned: true}

// reportFatal sends the caller a refusal or a length error that ends its
// connection. Other errors are only logged, and the end of the stream is not an
// error.
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

// sendShutdown tells an idle caller that the daemon is stopping and that it
// should reconnect.
func (sess *callerConn) sendShutdown() {
	out := pgwire.AppendErrorResponse(nil, "FATAL", outcome.CodeAdminShutdown,
		"this daemon is stopping; connect again", "outcome: not run")
	_, _ = sess.conn.Write(out)
}

// releaseExchange closes the exchange that is still open when the session ends.
func (sess *callerConn) releaseExchange() {
	if sess.exchange != nil {
		sess.exchange.Close()
		sess.exchange = nil
	}
}

// startRunning returns a context for running a segment, which ends at the
// deadline, on a cancel request or when the caller disconnects. The returned
// function must be called after the segment has ended.
func (sess *callerConn) startRunning(deadline time.Time) (context.Context, func()) {
	ctx, cancelCause := context.WithCancelCause(context.Background())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	sess.mu.Lock()
	sess.cancel = cancelCause
	sess.mu.Unlock()
	watch := newCallerWatch(sess.conn, callerWatchDelay, func() { cancelCause(errAbandoned) })
	return ctx, func() {
		watch.stop()
		sess.mu.Lock()
		sess.cancel = nil
		sess.mu.Unlock()
		cancel()
		cancelCause(nil)
	}
}

// cancelRunning cancels the running segment, if there is one.
func (sess *callerConn) cancelRunning(cause error) {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	if sess.cancel != nil {
		sess.cancel(cause)
	}
}

// setEntryParam validates and sets an entry parameter.
func (sess *callerConn) setEntryParam(name, value string) *outcome.Error {
	if err := checkEntryParam(name, value); err != nil {
		return err
	}
	entryParams := maps.Clone(sess.entryParams)
	if entryParams == nil {
		entryParams = map[string]string{}
	}
	entryParams[name] = value
	sess.entryParams = entryParams
	return nil
}

// checkEntryParam validates an entry parameter.
func checkEntryParam(name, value string) *outcome.Error {
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
