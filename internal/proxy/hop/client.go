package hop

import (
	"context"
	"errors"
	"fmt"
	"io"
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
	// dialTimeout bounds the connection to a carrier in the same failure domain.
	dialTimeout = 250 * time.Millisecond
	// downTime is how long a carrier that did not answer is passed over.
	downTime = time.Second
	// idleStreams bounds the streams kept open to one carrier; idleTime is how long an
	// unused one is trusted.
	idleStreams = 8
	idleTime    = 30 * time.Second
)

// Client borrows from carriers. It is safe for concurrent use.
type Client struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	log  logr.Logger

	// mu guards peers and their fields; nothing else is locked under it.
	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	idle      []idleStream
	downUntil time.Time
}

type idleStream struct {
	*stream
	since time.Time
}

// NewClient returns a client without streams.
func NewClient(dial func(ctx context.Context, network, address string) (net.Conn, error), log logr.Logger) *Client {
	return &Client{dial: dial, log: log, peers: make(map[string]*peer)}
}

// IsDown reports whether a carrier did not answer a moment ago.
func (c *Client) IsDown(carrier string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[carrier]
	return p != nil && time.Now().Before(p.downUntil)
}

// Keep closes the streams to all other carriers.
func (c *Client) Keep(carriers []string) {
	wanted := make(map[string]bool, len(carriers))
	for _, name := range carriers {
		wanted[name] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.peers {
		if !wanted[name] {
			closeAll(p.idle)
			delete(c.peers, name)
		}
	}
}

func closeAll(list []idleStream) {
	for _, s := range list {
		s.Close()
	}
}

// setDown notes that a carrier did not answer. Its idle streams most likely lead to the
// same.
func (c *Client) setDown(carrier string, cause error) {
	c.mu.Lock()
	p := c.peer(carrier)
	wasDown := time.Now().Before(p.downUntil)
	p.downUntil = time.Now().Add(downTime)
	closeAll(p.idle)
	p.idle = nil
	c.mu.Unlock()
	if !wasDown {
		c.log.Info("carrier passed over", "carrier", carrier, "for", downTime.String(), "error", cause.Error())
	}
}

// peer returns the record of a carrier. mu must be held.
func (c *Client) peer(carrier string) *peer {
	p := c.peers[carrier]
	if p == nil {
		p = &peer{}
		c.peers[carrier] = p
	}
	return p
}

// take returns an idle stream or a new one.
func (c *Client) take(carrier string) (s *stream, isNew bool, err error) {
	c.mu.Lock()
	p := c.peer(carrier)
	for n := len(p.idle); n > 0; n = len(p.idle) {
		last := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if time.Since(last.since) < idleTime {
			c.mu.Unlock()
			return last.stream, false, nil
		}
		last.Close()
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, "tcp", carrier)
	if err != nil {
		return nil, true, err
	}
	return newStream(raw), true, nil
}

func (c *Client) giveBack(carrier string, s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peer(carrier)
	if len(p.idle) >= idleStreams {
		s.Close()
		return
	}
	p.idle = append(p.idle, idleStream{stream: s, since: time.Now()})
}

// Order is what is asked for.
type Order struct {
	Endpoint string
	Priority int32
	Needs    pool.Needs
	// HoldEnd bounds the wait for a connection, Deadline the statement.
	HoldEnd, Deadline time.Time
	// MayRepeat is set when what runs on the loan may run twice: a carrier that goes
	// silent is then left at once. Else its answer is waited for.
	MayRepeat bool
}

// Borrow asks a carrier for a connection. Errors: *UnreachableError, *pool.FullError,
// *pool.DownError, *stmt.RefusedError. Nothing has run after any of them.
func (c *Client) Borrow(carrier string, o Order) (*pool.Conn, error) {
	request := &carrypb.Request{Kind: &carrypb.Request_Borrow{Borrow: &carrypb.Borrow{
		EndpointId: o.Endpoint, Priority: o.Priority,
		HoldMs: millis(time.Until(o.HoldEnd)), LeftMs: millis(time.Until(o.Deadline)),
		Values: encodeValues(o.Needs.Values),
	}}}
	if shape := o.Needs.Shape; shape != nil {
		request.GetBorrow().Shape = &carrypb.Shape{Text: []byte(shape.Text), Writes: shape.Writes}
	}
	s, answer, err := c.ask(carrier, request, o.HoldEnd.Add(silence))
	if err != nil {
		return nil, err
	}
	switch kind := answer.Kind.(type) {
	case *carrypb.Response_Granted:
		return c.lent(carrier, s, o, kind.Granted), nil
	case *carrypb.Response_Refused:
		c.giveBack(carrier, s)
		return nil, refusal(carrier, o.Endpoint, kind.Refused)
	}
	s.Close()
	err = &ProtocolError{Got: fmt.Sprintf("%T", answer.Kind)}
	c.setDown(carrier, err)
	return nil, &UnreachableError{Carrier: carrier, Cause: err}
}

// ask sends a request that may be sent twice and returns its answer with the stream.
func (c *Client) ask(carrier string, request *carrypb.Request, deadline time.Time) (*stream, *carrypb.Response, error) {
	for {
		s, isNew, err := c.take(carrier)
		var answer *carrypb.Response
		if err == nil {
			answer, err = exchange(s, request, deadline)
			if err == nil {
				return s, answer, nil
			}
			s.Close()
		}
		isSilent := errors.Is(err, os.ErrDeadlineExceeded)
		if !isNew && !isSilent {
			// The carrier closed a stream that was not in use.
			continue
		}
		c.setDown(carrier, err)
		return nil, nil, &UnreachableError{Carrier: carrier, Cause: err}
	}
}

// exchange sends a request and waits for its answer, as long as signs of life come.
func exchange(s *stream, request *carrypb.Request, deadline time.Time) (*carrypb.Response, error) {
	if err := s.write(request, time.Now().Add(silence)); err != nil {
		return nil, err
	}
	return await(s, deadline, silence)
}

// await reads the answer. Signs of life are passed over; without one for patience, or
// after the deadline, it gives up with os.ErrDeadlineExceeded.
func await(s *stream, deadline time.Time, patience time.Duration) (*carrypb.Response, error) {
	for {
		until := time.Now().Add(patience)
		if deadline.Before(until) {
			until = deadline
		}
		if err := s.SetReadDeadline(until); err != nil {
			return nil, err
		}
		answer := &carrypb.Response{}
		if err := s.read(answer); err != nil {
			return nil, err
		}
		if answer.GetAlive() == nil {
			return answer, nil
		}
	}
}

func refusal(carrier, endpoint string, m *carrypb.Refused) error {
	switch m.Reason {
	case carrypb.Reason_REASON_FULL:
		return &pool.FullError{Endpoint: endpoint}
	case carrypb.Reason_REASON_DOWN:
		return &pool.DownError{Endpoint: endpoint}
	case carrypb.Reason_REASON_ENDPOINT:
		return &stmt.RefusedError{Reply: decodeError(m.Code, m.Detail)}
	}
	return &UnreachableError{Carrier: carrier, Cause: &NotLentError{Detail: string(m.Detail)}}
}

func (c *Client) lent(carrier string, s *stream, o Order, m *carrypb.Granted) *pool.Conn {
	l := &loan{client: c, carrier: carrier, stream: s, mayRepeat: o.MayRepeat}
	conn := pool.NewConn(l)
	for name, value := range o.Needs.Values {
		conn.Values[name] = value
	}
	conn.Names = int(m.Names)
	if shape := o.Needs.Shape; shape != nil {
		conn.Prepared[shape.Text] = m.Prepared
	}
	return conn
}

// Return ends the loan of a connection on which nothing is in progress. It reports
// whether the connection was lent.
func Return(c *pool.Conn) bool { return end(c, false) }

// Discard ends the loan of a connection that must not be used again. It reports whether
// the connection was lent.
func Discard(c *pool.Conn) bool { return end(c, true) }

func end(c *pool.Conn, discard bool) bool {
	l, ok := c.Conn.(*loan)
	if !ok {
		return false
	}
	release := &carrypb.Release{Discard: discard}
	if !discard {
		release.Values, release.Prepared = encodeValues(c.Values), encodeValues(c.Prepared)
		release.Names = uint32(c.Names)
	}
	l.release(release)
	return true
}

// loan is a lent connection. It implements stmt.Conn.
type loan struct {
	client    *Client
	carrier   string
	stream    *stream
	mayRepeat bool
	// over is set once the stream is closed or used by another loan.
	over bool
}

func (l *loan) release(m *carrypb.Release) {
	if l.over {
		return
	}
	l.over = true
	err := l.stream.write(&carrypb.Request{Kind: &carrypb.Request_Release{Release: m}}, time.Now().Add(silence))
	if err != nil {
		l.stream.Close()
		return
	}
	l.client.giveBack(l.carrier, l.stream)
}

// Close implements stmt.Conn.
func (l *loan) Close() { l.release(&carrypb.Release{Discard: true}) }

// lose gives the stream up after an exchange that failed. A carrier that has not run
// the statement yet sees that it is closed and does not start it.
func (l *loan) lose(sent bool, err error) error {
	if !l.over {
		l.over = true
		l.stream.Close()
	}
	if !errors.Is(err, io.EOF) {
		l.client.setDown(l.carrier, err)
	}
	return &stmt.BrokenError{Sent: sent, Cause: &LostError{Carrier: l.carrier, Detail: err.Error()}}
}

// Do implements stmt.Conn.
func (l *loan) Do(deadline time.Time, text, id string, after logpos.Pos) (stmt.Reply, error) {
	if l.over {
		return stmt.Reply{}, &stmt.BrokenError{Cause: &LostError{Carrier: l.carrier, Detail: "loan is over"}}
	}
	request := &carrypb.Request{Kind: &carrypb.Request_Do{Do: &carrypb.Do{
		Text: []byte(text), Id: []byte(id), AfterTerm: after.Term, AfterIndex: after.Index,
		LeftMs: millis(time.Until(deadline)),
	}}}
	if err := l.stream.write(request, time.Now().Add(silence)); err != nil {
		return stmt.Reply{}, l.lose(true, err)
	}
	patience := silence
	if !l.mayRepeat {
		patience = max(silence, time.Until(deadline)+answerGrace)
	}
	answer, err := await(l.stream, deadline.Add(answerGrace), patience)
	if err != nil {
		return stmt.Reply{}, l.lose(true, err)
	}
	switch kind := answer.Kind.(type) {
	case *carrypb.Response_Reply:
		reply, err := decodeReply(kind.Reply)
		if err != nil {
			return stmt.Reply{}, l.lose(true, err)
		}
		return reply, nil
	case *carrypb.Response_Broken:
		// The carrier has closed its connection; the stream serves the next loan.
		l.over = true
		l.client.giveBack(l.carrier, l.stream)
		return stmt.Reply{}, &stmt.BrokenError{Sent: kind.Broken.Sent, Cause: &LostError{
			Carrier: l.carrier, Detail: string(kind.Broken.Detail),
		}}
	}
	return stmt.Reply{}, l.lose(true, &ProtocolError{Got: fmt.Sprintf("%T", answer.Kind)})
}

// NotForLoansError refuses commands that only control gives.
type NotForLoansError struct{}

func (*NotForLoansError) Error() string { return "no commands to an endpoint over a loan" }

// Status implements stmt.Conn. Positions are asked for by Mark.
func (l *loan) Status(time.Time) (stmt.Status, error) { return stmt.Status{}, &NotForLoansError{} }

// Pause implements stmt.Conn.
func (l *loan) Pause(time.Time, uint64) (stmt.Status, error) {
	return stmt.Status{}, &NotForLoansError{}
}

// Resume implements stmt.Conn.
func (l *loan) Resume(time.Time) (stmt.Status, error) { return stmt.Status{}, &NotForLoansError{} }

// StepDown implements stmt.Conn.
func (l *loan) StepDown(time.Time, uint64) (stmt.Status, error) {
	return stmt.Status{}, &NotForLoansError{}
}

// Mark asks a carrier for a watermark of a service that covers every commit
// acknowledged before since, with the number of the primary record it belongs to.
// Errors: *UnreachableError, *stmt.RefusedError.
func (c *Client) Mark(carrier, service string, since time.Duration, deadline time.Time) (mark.Mark, uint64, error) {
	// What is sent now is received later, so that an age counted here is one that the
	// carrier may count from there; its own age counts back from its answer, which is
	// later than now.
	now := boottime.Now()
	request := &carrypb.Request{Kind: &carrypb.Request_Mark{Mark: &carrypb.Mark{
		Service: service, AgeUs: uint64(max(0, now-since).Microseconds()), LeftMs: millis(time.Until(deadline)),
	}}}
	s, answer, err := c.ask(carrier, request, deadline.Add(answerGrace))
	if err != nil {
		return mark.Mark{}, 0, err
	}
	switch kind := answer.Kind.(type) {
	case *carrypb.Response_Marked:
		c.giveBack(carrier, s)
		m := kind.Marked
		// Rounded up, a mark is never thought younger than it is.
		age := time.Duration(m.AgeUs+1) * time.Microsecond
		// Both are no later than the question to the primary.
		asked := max(now-age, since)
		return mark.Mark{RequestedAt: asked, Pos: logpos.Pos{Term: m.Term, Index: m.Index}}, m.Number, nil
	case *carrypb.Response_Refused:
		c.giveBack(carrier, s)
		return mark.Mark{}, 0, refusal(carrier, service, kind.Refused)
	}
	s.Close()
	return mark.Mark{}, 0, &UnreachableError{Carrier: carrier, Cause: &ProtocolError{Got: fmt.Sprintf("%T", answer.Kind)}}
}
