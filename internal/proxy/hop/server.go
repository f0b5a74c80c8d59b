package hop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"

	carrypb "hemlockmast/api/carry"
	"hemlockmast/internal/proxy/mark"
	"hemlockmast/internal/proxy/pool"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/fault"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/sockpeek"
	"hemlockmast/internal/shared/stmt"
	"hemlockmast/internal/shared/wait"
)

// drainPollInterval is the time between two checks of Drain for the end of the last loan.
const drainPollInterval = 20 * time.Millisecond

// Lender lends connections from this daemon's own pools.
type Lender interface {
	// Lend returns a connection with the requested session state. Errors: *NotLentError,
	// *pool.FullError, *pool.DownError, *pool.ClosedError, *stmt.RefusedError, and the
	// dialer's errors. After any of them no statement of the caller has run.
	Lend(r BorrowRequest) (Loan, error)
	// Load returns the load of an endpoint for a new statement of a priority. It reports false
	// if the endpoint is not known.
	Load(endpoint string, priority int32) (pool.Load, bool)
	// Mark returns a watermark that covers every commit acknowledged before since, and
	// the number of the primary record that it belongs to. since is on the clock of
	// package boottime. Errors: *stmt.Error.
	Mark(service string, since time.Duration, deadline time.Time) (mark.Mark, uint64, error)
	// GrantTokens answers a request for tokens at once. isGranter is not set if this daemon does
	// not grant tokens of the workspace.
	GrantTokens(r TokenRequest) (granted int, retry time.Duration, isGranter bool)
}

// Loan is a connection on loan.
type Loan interface {
	// Conn returns the connection with its session state.
	Conn() *pool.Conn
	// Do runs a statement as stmt.Conn.Do does, and records what the answer shows about the
	// endpoint.
	Do(deadline time.Time, text, id string, after logpos.Pos) (stmt.Reply, error)
	// Execute returns the text that executes a prepared shape on this connection.
	Execute(shape, args string) string
	// RollBack rolls the open transaction back and ends the loan. It keeps the connection if
	// that succeeds by the deadline.
	RollBack(deadline time.Time)
	// Return ends the loan and keeps the connection.
	Return()
	// Discard ends the loan and closes the connection.
	Discard()
}

// Server lends this daemon's connections to other entries.
type Server struct {
	lender  Lender
	log     logr.Logger
	onPanic func()

	// mu guards the fields below; no other lock is taken while it is held.
	mu         sync.Mutex
	streams    map[*stream]struct{}
	loans      int
	isDraining bool
}

// NewServer returns a server without streams. onPanic is called when a panic has ended a
// stream.
func NewServer(lender Lender, log logr.Logger, onPanic func()) *Server {
	return &Server{lender: lender, log: log, onPanic: onPanic, streams: make(map[*stream]struct{})}
}

// Serve serves one stream until it ends, and closes it. A panic ends only this stream.
func (s *Server) Serve(raw net.Conn) {
	st := newStream(raw)
	handler := &serverStream{server: s, stream: st}
	s.mu.Lock()
	s.streams[st] = struct{}{}
	s.mu.Unlock()
	defer fault.Recover(s.log, "stream of loans", s.onPanic)
	defer func() {
		st.Close()
		s.mu.Lock()
		delete(s.streams, st)
		s.mu.Unlock()
		handler.discardLoan()
	}()
	for {
		request := &carrypb.Request{}
		if err := st.read(request); err != nil {
			return
		}
		if err := handler.handle(request); err != nil {
			s.log.Info("stream of loans ended", "peer", raw.RemoteAddr().String(), "error", err.Error())
			return
		}
	}
}

// Drain refuses further loans and waits until all loans have ended or ctx is done.
func (s *Server) Drain(ctx context.Context) {
	s.StopLending()
	for ctx.Err() == nil && s.Loans() > 0 {
		wait.For(ctx, drainPollInterval)
	}
}

// StopLending refuses further loans. Loans in progress continue.
func (s *Server) StopLending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDraining = true
}

// Loans returns the number of connections on loan.
func (s *Server) Loans() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loans
}

// addLoan counts a new loan. It reports false if the server no longer lends.
func (s *Server) addLoan() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDraining {
		return false
	}
	s.loans++
	return true
}

func (s *Server) removeLoan() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loans--
}

// serverStream is the server's side of one stream.
type serverStream struct {
	server *Server
	stream *stream
	// loan is nil between two loans.
	loan Loan
}

func (s *serverStream) discardLoan() {
	if s.loan != nil {
		s.loan.Discard()
		s.clearLoan()
	}
}

func (s *serverStream) clearLoan() {
	s.loan = nil
	s.server.removeLoan()
}

// handle serves one request. An error ends the stream.
func (s *serverStream) handle(request *carrypb.Request) error {
	switch kind := request.Kind.(type) {
	case *carrypb.Request_Borrow:
		if s.loan != nil {
			return &ProtocolError{Got: "borrow during a loan"}
		}
		return s.respond(func() *carrypb.Response { return s.borrow(kind.Borrow) })
	case *carrypb.Request_Do:
		if s.loan == nil {
			return &ProtocolError{Got: "statement without a loan"}
		}
		// If this VM was paused, the borrower may have given the statement up and closed
		// the stream. Such a statement must not start.
		if s.isAbandoned() {
			return &ProtocolError{Got: "abandoned statement"}
		}
		return s.respond(func() *carrypb.Response { return s.execute(kind.Do) })
	case *carrypb.Request_Run:
		return s.run(kind.Run)
	case *carrypb.Request_Release:
		s.release(kind.Release)
		return nil
	case *carrypb.Request_Mark:
		return s.respond(func() *carrypb.Response { return s.mark(kind.Mark) })
	case *carrypb.Request_Tokens:
		return s.stream.write(s.tokens(kind.Tokens), time.Now().Add(keepaliveTimeout))
	}
	return &ProtocolError{Got: fmt.Sprintf("%T", request.Kind)}
}

// isAbandoned reports whether the borrower has closed the stream, or sent something although a
// request is in progress. A stream that was closed on this side counts as well: its socket can no
// longer be examined, but setting a deadline fails.
func (s *serverStream) isAbandoned() bool {
	if err := s.stream.SetReadDeadline(time.Time{}); err != nil {
		return true
	}
	return s.stream.r.Buffered() > 0 || sockpeek.HasInputOrEnd(s.stream.Conn)
}

// respond runs work and sends its response. Until then it sends keepalives. If work returns nil,
// the request was abandoned.
func (s *serverStream) respond(work func() *carrypb.Response) error {
	done := make(chan struct{})
	stopped := make(chan struct{})
	timer := time.AfterFunc(keepaliveInterval, func() { s.sendKeepalives(done, stopped) })
	response := work()
	close(done)
	if !timer.Stop() {
		<-stopped
	}
	if response == nil {
		return &ProtocolError{Got: "abandoned statement"}
	}
	return s.stream.write(response, time.Now().Add(keepaliveTimeout))
}

// sendKeepalives sends keepalives until done is closed. It closes stopped after its last
// write.
func (s *serverStream) sendKeepalives(done <-chan struct{}, stopped chan<- struct{}) {
	defer close(stopped)
	ticker := time.NewTicker(keepaliveInterval)
	defer ticker.Stop()
	alive := &carrypb.Response{Kind: &carrypb.Response_Alive{Alive: &carrypb.Alive{}}}
	for {
		select {
		case <-done:
			return
		default:
		}
		if err := s.stream.write(alive, time.Now().Add(keepaliveTimeout)); err != nil {
			// The borrower is gone. Writing the response will fail as well.
			return
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

func (s *serverStream) borrow(m *carrypb.Borrow) *carrypb.Response {
	if !s.server.addLoan() {
		return refusedResponse(carrypb.Reason_REASON_NOT_CARRIED, 0, "daemon stops")
	}
	r := decodeBorrow(m, time.Now())
	loan, err := s.server.lender.Lend(r)
	if err != nil {
		s.server.removeLoan()
		return s.withLoad(refusedResponseFor(err), r)
	}
	s.loan = loan
	c := loan.Conn()
	granted := &carrypb.Granted{Names: uint32(c.Names), Load: s.load(r)}
	if r.Needs.Shape != nil {
		granted.Prepared = c.Prepared[r.Needs.Shape.Text]
	}
	return &carrypb.Response{Kind: &carrypb.Response_Granted{Granted: granted}}
}

func refusedResponse(reason carrypb.Reason, code stmt.Code, detail string) *carrypb.Response {
	return &carrypb.Response{Kind: &carrypb.Response_Refused{Refused: &carrypb.Refused{
		Reason: reason, Code: uint32(code), Detail: []byte(detail),
	}}}
}

// refusedResponseFor returns the refusal for an error of Lender.
func refusedResponseFor(err error) *carrypb.Response {
	var full *pool.FullError
	var closed *pool.ClosedError
	var notLent *NotLentError
	var endpointErr *stmt.Error
	switch {
	case errors.As(err, &full) && full.Expected:
		return refusedResponse(carrypb.Reason_REASON_QUEUE_TOO_LONG, 0, "")
	case errors.As(err, &full):
		return refusedResponse(carrypb.Reason_REASON_FULL, 0, "")
	case errors.As(err, &endpointErr):
		return refusedResponse(carrypb.Reason_REASON_ENDPOINT, endpointErr.Code, endpointErr.Detail)
	case errors.As(err, &closed), errors.As(err, &notLent):
		return refusedResponse(carrypb.Reason_REASON_NOT_CARRIED, 0, err.Error())
	}
	return refusedResponse(carrypb.Reason_REASON_DOWN, 0, err.Error())
}

func (s *serverStream) execute(m *carrypb.Do) *carrypb.Response {
	deadline := time.Now().Add(time.Duration(m.LeftMs) * time.Millisecond)
	after := logpos.Pos{Term: m.AfterTerm, Index: m.AfterIndex}
	reply, err := s.loan.Do(deadline, string(m.Text), string(m.Id), after)
	if err == nil {
		return &carrypb.Response{Kind: &carrypb.Response_Reply{Reply: encodeReply(reply)}}
	}
	s.discardLoan()
	return &carrypb.Response{Kind: &carrypb.Response_Broken{Broken: encodeBroken(err)}}
}

func (s *serverStream) release(m *carrypb.Release) {
	switch {
	case s.loan == nil:
		return
	case m.Discard:
		s.loan.Discard()
	default:
		c := s.loan.Conn()
		c.Values = decodeValues(m.Values)
		for shape, name := range decodeValues(m.Prepared) {
			c.Prepared[shape] = name
		}
		c.Names = max(c.Names, int(m.Names))
		s.loan.Return()
	}
	s.clearLoan()
}

func (s *serverStream) mark(m *carrypb.Mark) *carrypb.Response {
	since := boottime.Now() - time.Duration(m.AgeUs)*time.Microsecond
	deadline := time.Now().Add(time.Duration(m.LeftMs) * time.Millisecond)
	found, number, err := s.server.lender.Mark(m.Service, since, deadline)
	if err != nil {
		return refusedResponseFor(err)
	}
	age := boottime.Now() - found.RequestedAt
	return &carrypb.Response{Kind: &carrypb.Response_Marked{Marked: &carrypb.Marked{
		Number: number, AgeUs: uint64(age.Microseconds()), Term: found.Pos.Term, Index: found.Pos.Index,
	}}}
}
