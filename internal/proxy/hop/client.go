package hop

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"

	carrypb "hemlockmast/api/carry"
	"hemlockmast/internal/proxy/mark"
	"hemlockmast/internal/proxy/pool"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

const (
	// dialTimeout bounds opening a connection to a carrier.
	dialTimeout = 250 * time.Millisecond
	// probeInterval is the time between two attempts to reach a carrier that did not answer.
	// Probes run in the background, so that no statement waits for a carrier that is lost.
	probeInterval = 250 * time.Millisecond
	// maxIdleStreams bounds the idle streams kept open to one carrier. A stream idle for
	// longer than idleTimeout is not used again.
	maxIdleStreams = 8
	idleTimeout    = 30 * time.Second
)

// Client borrows connections from carriers. It is safe for concurrent use.
type Client struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	log  logr.Logger

	// mu guards peers and their fields; no other lock is taken while it is held.
	mu    sync.Mutex
	peers map[string]*peer
}

// peer is what the client knows of one carrier.
type peer struct {
	// idle holds the idle streams, the most recently used last.
	idle []idleStream
	// isDown is set from a failure until a probe was answered.
	isDown bool
	// noRunUntil is until when the carrier counts as one that does not know Run.
	noRunUntil time.Time
	// roundTrip is the time of a message to the carrier and its answer; 0 when not measured.
	roundTrip time.Duration
}

// idleStream is a stream without a loan.
type idleStream struct {
	*stream
	idleSince time.Time
}

// NewClient returns a client that opens its streams with dial.
func NewClient(dial func(ctx context.Context, network, address string) (net.Conn, error), log logr.Logger) *Client {
	return &Client{dial: dial, log: log, peers: make(map[string]*peer)}
}

// IsDown reports whether a carrier did not answer and has not been reached again yet.
func (c *Client) IsDown(carrier string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[carrier]
	return p != nil && p.isDown
}

// KeepOnly forgets all carriers that are not in the lists and closes the idle streams to
// them.
func (c *Client) KeepOnly(carriers map[string][]string) {
	kept := make(map[string]bool)
	for _, list := range carriers {
		for _, name := range list {
			kept[name] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.peers {
		if !kept[name] {
			closeStreams(p.idle)
			delete(c.peers, name)
		}
	}
}

// markDown marks a carrier that did not answer as down and probes it until it answers. It
// closes the carrier's idle streams, which are most likely broken as well.
func (c *Client) markDown(carrier string, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peer(carrier)
	closeStreams(p.idle)
	p.idle = nil
	p.noRunUntil = time.Time{}
	if p.isDown {
		return
	}
	p.isDown = true
	c.log.Info("carrier down", "carrier", carrier, "error", cause.Error())
	go c.probe(carrier, p)
}

// probe waits until a carrier answers, or until the client has forgotten it.
func (c *Client) probe(carrier string, p *peer) {
	start := time.Now()
	for {
		time.Sleep(probeInterval/2 + rand.N(probeInterval/2))
		answers := c.answers(carrier)
		c.mu.Lock()
		isForgotten := c.peers[carrier] != p
		if answers {
			p.isDown = false
		}
		c.mu.Unlock()
		if answers || isForgotten {
			c.log.Info("carrier no longer probed", "carrier", carrier, "answers", answers, "after", time.Since(start).String())
			return
		}
	}
}

// answers reports whether a carrier answers a request on a new stream.
func (c *Client) answers(carrier string) bool {
	s, err := c.dialStream(carrier)
	if err != nil {
		return false
	}
	defer s.Close()
	_, err = exchange(s, probeRequest(), time.Now().Add(keepaliveTimeout))
	return err == nil
}

// probeRequest returns a request that every carrier refuses, because no endpoint has an
// empty id.
func probeRequest() *carrypb.Request {
	return &carrypb.Request{Kind: &carrypb.Request_Borrow{Borrow: &carrypb.Borrow{}}}
}

// peer returns the record of a carrier and creates it if needed. mu must be held.
func (c *Client) peer(carrier string) *peer {
	p := c.peers[carrier]
	if p == nil {
		p = &peer{}
		c.peers[carrier] = p
	}
	return p
}

// getStream returns an idle stream or opens a new one.
func (c *Client) getStream(carrier string) (s *stream, isNew bool, err error) {
	c.mu.Lock()
	p := c.peer(carrier)
	for n := len(p.idle); n > 0; n = len(p.idle) {
		last := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if time.Since(last.idleSince) < idleTimeout {
			c.mu.Unlock()
			return last.stream, false, nil
		}
		last.Close()
	}
	c.mu.Unlock()
	s, err = c.dialStream(carrier)
	return s, true, err
}

// dialStream opens a stream to a carrier.
func (c *Client) dialStream(carrier string) (*stream, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	start := time.Now()
	raw, err := c.dial(ctx, "tcp", carrier)
	if err != nil {
		return nil, err
	}
	c.recordRoundTrip(carrier, time.Since(start))
	return newStream(raw), nil
}

// putStream keeps a stream for the next loan, or closes it if enough are idle.
func (c *Client) putStream(carrier string, s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peer(carrier)
	if len(p.idle) >= maxIdleStreams {
		s.Close()
		return
	}
	p.idle = append(p.idle, idleStream{stream: s, idleSince: time.Now()})
}

// BorrowRequest is a request for a connection to an endpoint.
type BorrowRequest struct {
	// Endpoint is the endpoint's id.
	Endpoint string
	Priority int32
	Needs    pool.Needs
	// WaitDeadline bounds the wait for a connection. A carrier refuses the request at once if
	// its turn would most likely not come by TurnBy. Deadline is the statement's and bounds
	// the carrier's work on the session state.
	TurnBy, WaitDeadline, Deadline time.Time
	// Idempotent is set when the statements of the loan may run twice. The client then
	// gives up a statement as soon as the carrier's keepalives stop. Otherwise it waits for
	// the answer until the statement's deadline.
	Idempotent bool
	// Target is the time until the answer is due; 0 if not known.
	Target time.Duration
	// OnLoad is called with the load that the carrier tells in its answer; nil to ignore it.
	OnLoad func(pool.Load)
}

// Borrow borrows a connection from a carrier. Errors: *UnreachableError, *pool.FullError,
// *pool.DownError, *stmt.RefusedError. After any of them no statement has run.
func (c *Client) Borrow(carrier string, r BorrowRequest) (*pool.Conn, error) {
	request := &carrypb.Request{Kind: &carrypb.Request_Borrow{Borrow: encodeBorrow(r)}}
	s, answer, err := c.call(carrier, request, r.WaitDeadline.Add(keepaliveTimeout))
	if err != nil {
		return nil, err
	}
	switch kind := answer.Kind.(type) {
	case *carrypb.Response_Granted:
		r.tell(kind.Granted.Load)
		return c.newBorrowedConn(carrier, s, r, kind.Granted), nil
	case *carrypb.Response_Refused:
		r.tell(kind.Refused.Load)
		c.putStream(carrier, s)
		return nil, refusalError(carrier, r.Endpoint, kind.Refused)
	}
	s.Close()
	err = &ProtocolError{Got: fmt.Sprintf("%T", answer.Kind)}
	c.markDown(carrier, err)
	return nil, &UnreachableError{Carrier: carrier, Cause: err}
}

// call sends an idempotent request and returns the answer and the stream. It repeats the
// request on another stream if an idle one turns out to be closed. Errors:
// *UnreachableError, with a *LateError if the deadline passed and the carrier is not known to be
// silent.
func (c *Client) call(carrier string, request *carrypb.Request, deadline time.Time) (*stream, *carrypb.Response, error) {
	for {
		s, isNew, err := c.getStream(carrier)
		var answer *carrypb.Response
		if err == nil {
			answer, err = exchange(s, request, deadline)
			if err == nil {
				return s, answer, nil
			}
			s.Close()
		}
		isTimeout := errors.Is(err, os.ErrDeadlineExceeded)
		if !isNew && !isTimeout {
			// The carrier closed the stream while it was idle.
			continue
		}
		if !isLate(err) {
			c.markDown(carrier, err)
		}
		return nil, nil, &UnreachableError{Carrier: carrier, Cause: err}
	}
}

// refusalError converts a carrier's refusal to the error of Borrow or Mark.
func refusalError(carrier, endpoint string, m *carrypb.Refused) error {
	switch m.Reason {
	case carrypb.Reason_REASON_FULL:
		return &pool.FullError{Endpoint: endpoint}
	case carrypb.Reason_REASON_QUEUE_TOO_LONG:
		return &pool.FullError{Endpoint: endpoint, Expected: true}
	case carrypb.Reason_REASON_DOWN:
		return &pool.DownError{Endpoint: endpoint}
	case carrypb.Reason_REASON_ENDPOINT:
		return &stmt.RefusedError{Reply: decodeError(m.Code, m.Detail)}
	}
	return &UnreachableError{Carrier: carrier, Cause: &NotLentError{Detail: string(m.Detail)}}
}

// newBorrowedConn returns the connection that a carrier has lent on the stream s.
func (c *Client) newBorrowedConn(carrier string, s *stream, r BorrowRequest, m *carrypb.Granted) *pool.Conn {
	b := &borrowedConn{client: c, carrier: carrier, stream: s, idempotent: r.Idempotent}
	conn := pool.NewConn(b)
	conn.Workspace = r.Needs.Workspace
	for name, value := range r.Needs.Values {
		conn.Values[name] = value
	}
	conn.Names = int(m.Names)
	if shape := r.Needs.Shape; shape != nil {
		conn.Prepared[shape.Text] = m.Prepared
	}
	return conn
}

// Return ends the loan of a connection on which no statement and no transaction is in
// progress. It reports false, and does nothing, if the connection is not a borrowed one.
func Return(c *pool.Conn) bool { return endLoan(c, false) }

// Discard ends the loan of a connection that must not be used again. It reports false, and
// does nothing, if the connection is not a borrowed one.
func Discard(c *pool.Conn) bool { return endLoan(c, true) }

// endLoan implements Return and Discard.
func endLoan(c *pool.Conn, discard bool) bool {
	b, ok := c.Conn.(*borrowedConn)
	if !ok {
		return false
	}
	release := &carrypb.Release{Discard: discard}
	if !discard {
		release.Values, release.Prepared = encodeValues(c.Values), encodeValues(c.Prepared)
		release.Names = uint32(c.Names)
	}
	b.release(release)
	return true
}

// borrowedConn is a connection on loan from a carrier. It implements stmt.Conn.
type borrowedConn struct {
	client     *Client
	carrier    string
	stream     *stream
	idempotent bool
	// isOver is set once the stream is closed or free for another loan.
	isOver bool
}

// release ends the loan at the carrier and keeps the stream for the next one.
func (b *borrowedConn) release(m *carrypb.Release) {
	if b.isOver {
		return
	}
	b.isOver = true
	err := b.stream.write(&carrypb.Request{Kind: &carrypb.Request_Release{Release: m}}, time.Now().Add(keepaliveTimeout))
	if err != nil {
		b.stream.Close()
		return
	}
	b.client.putStream(b.carrier, b.stream)
}

// Close implements stmt.Conn. The carrier discards the connection.
func (b *borrowedConn) Close() { b.release(&carrypb.Release{Discard: true}) }

// fail closes the stream after a failed exchange and returns the error to report. A
// carrier that has not started the statement yet sees the closed stream and does not
// start it. The carrier counts as down, unless it closed the stream itself or is only late.
func (b *borrowedConn) fail(sent bool, err error) error {
	if !b.isOver {
		b.isOver = true
		b.stream.Close()
	}
	if !errors.Is(err, io.EOF) && !isLate(err) {
		b.client.markDown(b.carrier, err)
	}
	return &stmt.BrokenError{Sent: sent, Cause: &LostError{Carrier: b.carrier, Detail: err.Error()}}
}

// Do implements stmt.Conn.
func (b *borrowedConn) Do(deadline time.Time, text, id string, after logpos.Pos) (stmt.Reply, error) {
	if b.isOver {
		return stmt.Reply{}, &stmt.BrokenError{Cause: &LostError{Carrier: b.carrier, Detail: "loan is over"}}
	}
	request := &carrypb.Request{Kind: &carrypb.Request_Do{Do: &carrypb.Do{
		Text: []byte(text), Id: []byte(id), AfterTerm: after.Term, AfterIndex: after.Index,
		LeftMs: ceilMillis(time.Until(deadline)),
	}}}
	if err := b.stream.write(request, time.Now().Add(keepaliveTimeout)); err != nil {
		return stmt.Reply{}, b.fail(true, err)
	}
	maxSilence := keepaliveTimeout
	if !b.idempotent {
		maxSilence = max(keepaliveTimeout, time.Until(deadline)+answerGrace)
	}
	answer, err := awaitResponse(b.stream, deadline.Add(answerGrace), maxSilence)
	if err != nil {
		return stmt.Reply{}, b.fail(true, err)
	}
	switch kind := answer.Kind.(type) {
	case *carrypb.Response_Reply:
		reply, err := decodeReply(kind.Reply)
		if err != nil {
			return stmt.Reply{}, b.fail(true, err)
		}
		return reply, nil
	case *carrypb.Response_Broken:
		// The carrier has closed its connection to the endpoint. The stream can serve the
		// next loan.
		b.isOver = true
		b.client.putStream(b.carrier, b.stream)
		return stmt.Reply{}, brokenAtCarrier(b.carrier, kind.Broken)
	}
	return stmt.Reply{}, b.fail(true, &ProtocolError{Got: fmt.Sprintf("%T", answer.Kind)})
}

// UnsupportedError reports an endpoint command on a borrowed connection. Only control
// issues such commands.
type UnsupportedError struct{}

func (*UnsupportedError) Error() string { return "endpoint command on a borrowed connection" }

// Status implements stmt.Conn. It always fails; positions are requested with Client.Mark.
func (b *borrowedConn) Status(time.Time) (stmt.Status, error) {
	return stmt.Status{}, &UnsupportedError{}
}

// Pause implements stmt.Conn. It always fails.
func (b *borrowedConn) Pause(time.Time, uint64) (stmt.Status, error) {
	return stmt.Status{}, &UnsupportedError{}
}

// Resume implements stmt.Conn. It always fails.
func (b *borrowedConn) Resume(time.Time) (stmt.Status, error) {
	return stmt.Status{}, &UnsupportedError{}
}

// StepDown implements stmt.Conn. It always fails.
func (b *borrowedConn) StepDown(time.Time, uint64) (stmt.Status, error) {
	return stmt.Status{}, &UnsupportedError{}
}

// Mark asks a carrier for a watermark of a service that covers every commit acknowledged
// before since, on the clock of package boottime. It also returns the number of the primary
// record that the watermark belongs to. Errors: *UnreachableError, *pool.FullError,
// *pool.DownError, *stmt.RefusedError.
func (c *Client) Mark(carrier, service string, since time.Duration, deadline time.Time) (mark.Mark, uint64, error) {
	// Entries have no common clock, so messages carry ages. The carrier subtracts the age
	// in the request from the time when it receives the request. That is after now, so the
	// result is no earlier than since. The age in the answer counts from when the answer is
	// sent. That is after now as well, so subtracting it from now gives no later time than
	// the mark has.
	now := boottime.Now()
	request := &carrypb.Request{Kind: &carrypb.Request_Mark{Mark: &carrypb.Mark{
		Service: service, AgeUs: uint64(max(0, now-since).Microseconds()), LeftMs: ceilMillis(time.Until(deadline)),
	}}}
	s, answer, err := c.call(carrier, request, deadline.Add(answerGrace))
	if err != nil {
		return mark.Mark{}, 0, err
	}
	switch kind := answer.Kind.(type) {
	case *carrypb.Response_Marked:
		c.putStream(carrier, s)
		m := kind.Marked
		// The age is rounded up, so that the mark never looks more recent than it is.
		age := time.Duration(m.AgeUs+1) * time.Microsecond
		// The carrier's request to the primary was sent at the later of the two times or
		// after it.
		requestedAt := max(now-age, since)
		return mark.Mark{RequestedAt: requestedAt, Pos: logpos.Pos{Term: m.Term, Index: m.Index}}, m.Number, nil
	case *carrypb.Response_Refused:
		c.putStream(carrier, s)
		return mark.Mark{}, 0, refusalError(carrier, service, kind.Refused)
	}
	s.Close()
	return mark.Mark{}, 0, &UnreachableError{Carrier: carrier, Cause: &ProtocolError{Got: fmt.Sprintf("%T", answer.Kind)}}
}
