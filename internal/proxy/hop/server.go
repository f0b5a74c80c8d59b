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

// drainPoll is how often the end of the last loan is looked for.
const drainPoll = 20 * time.Millisecond

// Lender lends connections of this daemon's own.
type Lender interface {
	// Lend returns a connection with what is wanted in force. Errors: *NotLentError,
	// *pool.FullError, *pool.DownError, *pool.ClosedError, *stmt.RefusedError, those of
	// the dialer. Nothing has run after any of them.
	Lend(o Order) (Lent, error)
	// Mark returns a watermark that covers every commit acknowledged before since, and
	// the number of its primary record.
	Mark(service string, since time.Duration, deadline time.Time) (mark.Mark, uint64, error)
}

// Lent is a connection on loan.
type Lent interface {
	Conn() *pool.Conn
	// Do is stmt.Conn's, with what it says of the endpoint taken note of.
	Do(deadline time.Time, text, id string, after logpos.Pos) (stmt.Reply, error)
	// Return and Discard end the loan.
	Return()
	Discard()
}

// Server serves the entries that borrow here.
type Server struct {
	lender   Lender
	log      logr.Logger
	faultMet func()

	// mu guards the fields below; nothing else is locked under it.
	mu       sync.Mutex
	streams  map[*stream]struct{}
	loans    int
	draining bool
}

// NewServer returns a server without streams. faultMet is called when a panic has ended
// one.
func NewServer(lender Lender, log logr.Logger, faultMet func()) *Server {
	return &Server{lender: lender, log: log, faultMet: faultMet, streams: make(map[*stream]struct{})}
}

// Serve serves one stream until it ends, and closes it. A panic ends this stream alone.
func (s *Server) Serve(raw net.Conn) {
	st := newStream(raw)
	l := &loanSide{server: s, stream: st}
	s.mu.Lock()
	s.streams[st] = struct{}{}
	s.mu.Unlock()
	defer fault.Contain(s.log, "stream of loans", s.faultMet)
	defer func() {
		st.Close()
		s.mu.Lock()
		delete(s.streams, st)
		s.mu.Unlock()
		l.discard()
	}()
	for {
		request := &carrypb.Request{}
		if err := st.read(request); err != nil {
			return
		}
		if err := l.handle(request); err != nil {
			s.log.Info("stream of loans ended", "peer", raw.RemoteAddr().String(), "error", err.Error())
			return
		}
	}
}

// Drain lends nothing more and waits until what is lent has come back, or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.StopLending()
	for ctx.Err() == nil && s.Loans() > 0 {
		wait.For(ctx, drainPoll)
	}
}

// StopLending refuses further loans; those that run go on.
func (s *Server) StopLending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Loans returns the number of connections on loan.
func (s *Server) Loans() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loans
}

// begin counts a loan; it reports false while the daemon stops.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.loans++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loans--
}

// loanSide is the carrier's side of one stream.
type loanSide struct {
	server *Server
	stream *stream
	// lent is nil between two loans.
	lent Lent
}

func (l *loanSide) discard() {
	if l.lent != nil {
		l.lent.Discard()
		l.forget()
	}
}

func (l *loanSide) forget() {
	l.lent = nil
	l.server.end()
}

// handle serves one request. An error ends the stream.
func (l *loanSide) handle(request *carrypb.Request) error {
	switch kind := request.Kind.(type) {
	case *carrypb.Request_Borrow:
		if l.lent != nil {
			return &ProtocolError{Got: "borrow during a loan"}
		}
		return l.answer(func() *carrypb.Response { return l.borrow(kind.Borrow) })
	case *carrypb.Request_Do:
		if l.lent == nil {
			return &ProtocolError{Got: "statement without a loan"}
		}
		// After a pause of this VM the entry may have given the statement up: it has
		// closed the stream then. What it no longer waits for is not started.
		if l.stream.r.Buffered() > 0 || sockpeek.HasInputOrEnd(l.stream.Conn) {
			return &ProtocolError{Got: "statement that is no longer waited for"}
		}
		return l.answer(func() *carrypb.Response { return l.do(kind.Do) })
	case *carrypb.Request_Release:
		l.release(kind.Release)
		return nil
	case *carrypb.Request_Mark:
		return l.answer(func() *carrypb.Response { return l.mark(kind.Mark) })
	}
	return &ProtocolError{Got: fmt.Sprintf("%T", request.Kind)}
}

// answer works on a request and answers it, with signs of life until then.
func (l *loanSide) answer(work func() *carrypb.Response) error {
	done := make(chan struct{})
	stopped := make(chan struct{})
	timer := time.AfterFunc(aliveEvery, func() { l.beat(done, stopped) })
	response := work()
	close(done)
	if !timer.Stop() {
		<-stopped
	}
	return l.stream.write(response, time.Now().Add(silence))
}

// beat gives signs of life until done. stopped is closed once it writes no more.
func (l *loanSide) beat(done <-chan struct{}, stopped chan<- struct{}) {
	defer close(stopped)
	ticker := time.NewTicker(aliveEvery)
	defer ticker.Stop()
	alive := &carrypb.Response{Kind: &carrypb.Response_Alive{Alive: &carrypb.Alive{}}}
	for {
		select {
		case <-done:
			return
		default:
		}
		if err := l.stream.write(alive, time.Now().Add(silence)); err != nil {
			// The entry is gone; the answer's writing finds the same.
			return
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

func (l *loanSide) borrow(m *carrypb.Borrow) *carrypb.Response {
	if !l.server.begin() {
		return refused(carrypb.Reason_REASON_NOT_CARRIED, 0, "daemon stops")
	}
	now := time.Now()
	o := Order{
		Endpoint: m.EndpointId, Priority: m.Priority, Needs: pool.Needs{Values: decodeValues(m.Values)},
		HoldEnd:  now.Add(time.Duration(m.HoldMs) * time.Millisecond),
		Deadline: now.Add(time.Duration(m.LeftMs) * time.Millisecond),
	}
	if m.Shape != nil {
		o.Needs.Shape = &stmt.Shape{Text: string(m.Shape.Text), Writes: m.Shape.Writes}
	}
	lent, err := l.server.lender.Lend(o)
	if err != nil {
		l.server.end()
		return refusedFor(err)
	}
	l.lent = lent
	c := lent.Conn()
	granted := &carrypb.Granted{Names: uint32(c.Names)}
	if o.Needs.Shape != nil {
		granted.Prepared = c.Prepared[o.Needs.Shape.Text]
	}
	return &carrypb.Response{Kind: &carrypb.Response_Granted{Granted: granted}}
}

func refused(reason carrypb.Reason, code stmt.Code, detail string) *carrypb.Response {
	return &carrypb.Response{Kind: &carrypb.Response_Refused{Refused: &carrypb.Refused{
		Reason: reason, Code: uint32(code), Detail: []byte(detail),
	}}}
}

func refusedFor(err error) *carrypb.Response {
	var full *pool.FullError
	var closed *pool.ClosedError
	var notLent *NotLentError
	var said *stmt.Error
	switch {
	case errors.As(err, &full):
		return refused(carrypb.Reason_REASON_FULL, 0, "")
	case errors.As(err, &said):
		return refused(carrypb.Reason_REASON_ENDPOINT, said.Code, said.Detail)
	case errors.As(err, &closed), errors.As(err, &notLent):
		return refused(carrypb.Reason_REASON_NOT_CARRIED, 0, err.Error())
	}
	return refused(carrypb.Reason_REASON_DOWN, 0, err.Error())
}

func (l *loanSide) do(m *carrypb.Do) *carrypb.Response {
	deadline := time.Now().Add(time.Duration(m.LeftMs) * time.Millisecond)
	after := logpos.Pos{Term: m.AfterTerm, Index: m.AfterIndex}
	reply, err := l.lent.Do(deadline, string(m.Text), string(m.Id), after)
	if err == nil {
		return &carrypb.Response{Kind: &carrypb.Response_Reply{Reply: encodeReply(reply)}}
	}
	l.discard()
	var broken *stmt.BrokenError
	sent := !errors.As(err, &broken) || broken.Sent
	return &carrypb.Response{Kind: &carrypb.Response_Broken{Broken: &carrypb.Broken{
		Sent: sent, Detail: []byte(err.Error()),
	}}}
}

func (l *loanSide) release(m *carrypb.Release) {
	switch {
	case l.lent == nil:
		return
	case m.Discard:
		l.lent.Discard()
	default:
		c := l.lent.Conn()
		c.Values = decodeValues(m.Values)
		for shape, name := range decodeValues(m.Prepared) {
			c.Prepared[shape] = name
		}
		c.Names = max(c.Names, int(m.Names))
		l.lent.Return()
	}
	l.forget()
}

func (l *loanSide) mark(m *carrypb.Mark) *carrypb.Response {
	since := boottime.Now() - time.Duration(m.AgeUs)*time.Microsecond
	deadline := time.Now().Add(time.Duration(m.LeftMs) * time.Millisecond)
	found, number, err := l.server.lender.Mark(m.Service, since, deadline)
	if err != nil {
		return refusedFor(err)
	}
	age := boottime.Now() - found.RequestedAt
	return &carrypb.Response{Kind: &carrypb.Response_Marked{Marked: &carrypb.Marked{
		Number: number, AgeUs: uint64(age.Microseconds()), Term: found.Pos.Term, Index: found.Pos.Index,
	}}}
}
