package hop

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	carrypb "hemlockmast/api/carry"
	"hemlockmast/internal/proxy/mark"
	"hemlockmast/internal/proxy/pool"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

// lender lends connections that note what happens to them.
type lender struct {
	// enter, when set, is called at each loan and its error returned.
	enter func() error
	// work, when set, is called at each statement.
	work func(text string) (stmt.Reply, error)
	mark mark.Mark

	mu       sync.Mutex
	ran      []string
	returned int
	dropped  int
	last     *pool.Conn
	faults   atomic.Int64
}

func (l *lender) Lend(o Order) (Lent, error) {
	if l.enter != nil {
		if err := l.enter(); err != nil {
			return nil, err
		}
	}
	c := pool.NewConn(nil)
	c.Values = o.Needs.Values
	c.Names = 7
	if o.Needs.Shape != nil {
		c.Prepared[o.Needs.Shape.Text] = "p7"
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = c
	return &lentConn{lender: l, conn: c}, nil
}

func (l *lender) Mark(string, time.Duration, time.Time) (mark.Mark, uint64, error) {
	return l.mark, 3, nil
}

func (l *lender) runs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.ran...)
}

func (l *lender) ends() (returned, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.returned, l.dropped
}

type lentConn struct {
	lender *lender
	conn   *pool.Conn
}

func (c *lentConn) Conn() *pool.Conn { return c.conn }

func (c *lentConn) Do(_ time.Time, text, _ string, _ logpos.Pos) (stmt.Reply, error) {
	c.lender.mu.Lock()
	c.lender.ran = append(c.lender.ran, text)
	c.lender.mu.Unlock()
	if c.lender.work != nil {
		return c.lender.work(text)
	}
	return stmt.Reply{Rows: []string{"r\xff1"}, Signature: "sig", Pos: logpos.Pos{Term: 2, Index: 9}}, nil
}

func (c *lentConn) Return() {
	c.lender.mu.Lock()
	defer c.lender.mu.Unlock()
	c.lender.returned++
}

func (c *lentConn) Discard() {
	c.lender.mu.Lock()
	defer c.lender.mu.Unlock()
	c.lender.dropped++
}

// serve starts a carrier on loopback.
func serve(t *testing.T, l *lender) (address string, server *Server) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	server = NewServer(l, logr.Discard(), func() { l.faults.Add(1) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.Serve(conn)
		}
	}()
	return listener.Addr().String(), server
}

func newClient() *Client {
	return NewClient((&net.Dialer{}).DialContext, logr.Discard())
}

func order(hold time.Duration) Order {
	now := time.Now()
	return Order{
		Endpoint: "e", HoldEnd: now.Add(hold), Deadline: now.Add(2 * hold),
		Needs: pool.Needs{Values: map[string]string{"tone": "v1"}, Shape: &stmt.Shape{Text: "FETCH q"}},
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), what)
	}
}

// TestLoan borrows, runs statements and returns; what is in force afterwards is noted at
// the carrier, and the stream is used again.
func TestLoan(t *testing.T) {
	l := &lender{}
	address, server := serve(t, l)
	client := newClient()
	for round := range 3 {
		c, err := client.Borrow(address, order(time.Second))
		assert.NilError(t, err)
		assert.Equal(t, c.Prepared["FETCH q"], "p7")
		assert.Equal(t, c.Names, 7)
		reply, err := c.Do(time.Now().Add(time.Second), "FETCH a", "id", logpos.Pos{Term: 1, Index: 1})
		assert.NilError(t, err)
		assert.DeepEqual(t, reply, stmt.Reply{Rows: []string{"r\xff1"}, Signature: "sig", Pos: logpos.Pos{Term: 2, Index: 9}})
		c.Values["tone"] = "v2"
		c.Prepared["STORE w"] = "p8"
		c.Names = 8
		assert.Assert(t, Return(c))
		eventually(t, "returned", func() bool { n, _ := l.ends(); return n == round+1 })
		assert.Equal(t, l.last.Values["tone"], "v2")
		assert.Equal(t, l.last.Prepared["STORE w"], "p8")
		assert.Equal(t, l.last.Names, 8)
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	assert.Equal(t, len(server.streams), 1)
}

// TestRefusals gives each refusal of a carrier its own type at the entry.
func TestRefusals(t *testing.T) {
	busy := &stmt.RefusedError{Reply: &stmt.Error{Code: stmt.CodeTooMany, Detail: "x"}}
	for _, row := range []struct {
		cause error
		check func(error) bool
	}{
		{&pool.FullError{}, func(err error) bool { var e *pool.FullError; return errors.As(err, &e) }},
		{&pool.DownError{}, func(err error) bool { var e *pool.DownError; return errors.As(err, &e) }},
		{&stmt.BrokenError{Cause: net.ErrClosed}, func(err error) bool { var e *pool.DownError; return errors.As(err, &e) }},
		{busy, func(err error) bool { var e *stmt.Error; return errors.As(err, &e) && e.Code == stmt.CodeTooMany }},
		{&NotLentError{}, func(err error) bool { var e *UnreachableError; return errors.As(err, &e) }},
		{&pool.ClosedError{}, func(err error) bool { var e *UnreachableError; return errors.As(err, &e) }},
	} {
		address, server := serve(t, &lender{enter: func() error { return row.cause }})
		_, err := newClient().Borrow(address, order(time.Second))
		assert.Assert(t, row.check(err), "%v: %v", row.cause, err)
		assert.Equal(t, server.Loans(), 0)
	}
}

// TestSlowCarrierIsWaitedFor has a loan and a statement take longer than silence may
// last: signs of life say that they are worked on.
func TestSlowCarrierIsWaitedFor(t *testing.T) { synctest.Test(t, testSlowCarrierIsWaitedFor) }

func testSlowCarrierIsWaitedFor(t *testing.T) {
	slow := 2 * silence
	l := &lender{
		enter: func() error { time.Sleep(slow); return nil },
		work:  func(string) (stmt.Reply, error) { time.Sleep(slow); return stmt.Reply{Signature: "s"}, nil },
	}
	client := pipeTo(NewServer(l, logr.Discard(), func() {}).Serve)
	defer client.Keep(nil)
	o := order(4 * slow)
	o.MayRepeat = true
	c, err := client.Borrow("c", o)
	assert.NilError(t, err)
	reply, err := c.Do(time.Now().Add(3*slow), "FETCH a", "id", logpos.Pos{})
	assert.NilError(t, err)
	assert.Equal(t, reply.Signature, "s")
	Return(c)
}

// pipeTo returns a client whose streams are served in memory, for tests with a clock that
// is driven.
func pipeTo(serve func(net.Conn)) *Client {
	return NewClient(func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go serve(far)
		return near, nil
	}, logr.Discard())
}

// TestSilentCarrierIsLeft has a carrier that is frozen: it is left long before the
// statement's time is over, and passed over for a while.
func TestSilentCarrierIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := pipeTo(func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
		started := time.Now()
		_, err := client.Borrow("c", order(10*time.Second))
		var unreachable *UnreachableError
		assert.Assert(t, errors.As(err, &unreachable), "%v", err)
		assert.Assert(t, time.Since(started) <= silence)
		assert.Assert(t, client.IsDown("c"))
		time.Sleep(downTime)
		assert.Assert(t, !client.IsDown("c"))
	})
}

// TestWriteWaitsForASilentCarrier has the carrier fall silent after a statement was sent.
// One that may run twice is given up at once; the answer of one that may not is waited
// for, since the carrier may only pause.
func TestWriteWaitsForASilentCarrier(t *testing.T) {
	for _, mayRepeat := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			client := pipeTo(pausing)
			defer client.Keep(nil)
			o := order(10 * time.Second)
			o.MayRepeat = mayRepeat
			c, err := client.Borrow("c", o)
			assert.NilError(t, err)
			_, err = c.Do(time.Now().Add(10*silence), "STORE a b", "id", logpos.Pos{})
			var broken *stmt.BrokenError
			assert.Equal(t, errors.As(err, &broken) && broken.Sent, mayRepeat, "%v", err)
			Discard(c)
			time.Sleep(10 * silence)
		})
	}
}

// pausing grants a loan, and answers a statement after a pause without a sign of life.
func pausing(conn net.Conn) {
	defer conn.Close()
	s := newStream(conn)
	for {
		request := &carrypb.Request{}
		if s.read(request) != nil {
			return
		}
		answer := &carrypb.Response{Kind: &carrypb.Response_Granted{Granted: &carrypb.Granted{}}}
		switch request.Kind.(type) {
		case *carrypb.Request_Release:
			continue
		case *carrypb.Request_Do:
			time.Sleep(2 * silence)
			answer.Kind = &carrypb.Response_Reply{Reply: &carrypb.Reply{Signature: []byte("s")}}
		}
		if s.write(answer, time.Now().Add(time.Second)) != nil {
			return
		}
	}
}

// TestPausedCarrierDoesNotStartWhatWasGivenUp has the entry send a statement and leave
// while the carrier does not get to read.
func TestPausedCarrierDoesNotStartWhatWasGivenUp(t *testing.T) {
	awake := make(chan struct{})
	l := &lender{enter: func() error { <-awake; return nil }}
	address, server := serve(t, l)
	raw, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	s := newStream(raw)
	end := time.Now().Add(time.Second)
	assert.NilError(t, s.write(&carrypb.Request{Kind: &carrypb.Request_Borrow{Borrow: &carrypb.Borrow{LeftMs: 1000}}}, end))
	assert.NilError(t, s.write(&carrypb.Request{Kind: &carrypb.Request_Do{Do: &carrypb.Do{Text: []byte("STORE a b"), LeftMs: 1000}}}, end))
	assert.NilError(t, raw.Close())
	time.Sleep(50 * time.Millisecond)
	close(awake)
	eventually(t, "stream ended", func() bool { _, n := l.ends(); return n == 1 && server.Loans() == 0 })
	assert.Equal(t, len(l.runs()), 0)
}

// TestBrokenStream cuts the stream of a loan: the statement under way may have run, and
// the carrier gives the connection up.
func TestBrokenStream(t *testing.T) {
	l := &lender{}
	address, server := serve(t, l)
	cut := func() {
		server.mu.Lock()
		defer server.mu.Unlock()
		for s := range server.streams {
			_ = s.Close()
		}
	}
	l.work = func(string) (stmt.Reply, error) { cut(); return stmt.Reply{}, nil }
	client := newClient()
	c, err := client.Borrow(address, order(time.Second))
	assert.NilError(t, err)
	_, err = c.Do(time.Now().Add(time.Second), "STORE a b", "id", logpos.Pos{})
	var broken *stmt.BrokenError
	assert.Assert(t, errors.As(err, &broken) && broken.Sent, "%v", err)
	assert.Assert(t, Discard(c))
	eventually(t, "given up", func() bool { _, n := l.ends(); return n == 1 })
	// A stream that was closed while unused is replaced.
	l.work = nil
	c, err = client.Borrow(address, order(time.Second))
	assert.NilError(t, err)
	Return(c)
	eventually(t, "returned", func() bool { n, _ := l.ends(); return n == 1 })
	cut()
	time.Sleep(20 * time.Millisecond)
	c, err = client.Borrow(address, order(time.Second))
	assert.NilError(t, err)
	Return(c)
}

// TestEndpointBrokenAtTheCarrier passes on whether the statement may have run.
func TestEndpointBrokenAtTheCarrier(t *testing.T) {
	for _, sent := range []bool{true, false} {
		l := &lender{work: func(string) (stmt.Reply, error) {
			return stmt.Reply{}, &stmt.BrokenError{Sent: sent, Cause: net.ErrClosed}
		}}
		address, server := serve(t, l)
		client := newClient()
		c, err := client.Borrow(address, order(time.Second))
		assert.NilError(t, err)
		_, err = c.Do(time.Now().Add(time.Second), "STORE a b", "id", logpos.Pos{})
		var broken *stmt.BrokenError
		var lost *LostError
		assert.Assert(t, errors.As(err, &broken) && broken.Sent == sent && errors.As(err, &lost), "%v", err)
		assert.Assert(t, !client.IsDown(address))
		Discard(c)
		eventually(t, "no loan", func() bool { return server.Loans() == 0 })
		_, dropped := l.ends()
		assert.Equal(t, dropped, 1)
	}
}

// TestStoppingServer refuses new loans and waits for the last to come back.
func TestStoppingServer(t *testing.T) {
	l := &lender{}
	address, server := serve(t, l)
	client := newClient()
	c, err := client.Borrow(address, order(time.Second))
	assert.NilError(t, err)
	server.StopLending()
	_, err = client.Borrow(address, order(time.Second))
	var unreachable *UnreachableError
	assert.Assert(t, errors.As(err, &unreachable), "%v", err)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		server.Drain(t.Context())
	}()
	select {
	case <-drained:
		t.Fatal("drained with a connection on loan")
	case <-time.After(5 * drainPoll):
	}
	_, err = c.Do(time.Now().Add(time.Second), "FETCH a", "id", logpos.Pos{})
	assert.NilError(t, err)
	Return(c)
	<-drained
}

// TestMalformedMessageEndsItsStreamAlone sends arbitrary bytes, and messages out of turn.
func TestMalformedMessageEndsItsStreamAlone(t *testing.T) {
	l := &lender{}
	address, _ := serve(t, l)
	client := newClient()
	c, err := client.Borrow(address, order(time.Second))
	assert.NilError(t, err)
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		raw, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		garbage := make([]byte, 1+random.IntN(40))
		for i := range garbage {
			garbage[i] = byte(random.Uint32())
		}
		_, err = raw.Write(garbage)
		assert.NilError(t, err)
		assert.NilError(t, raw.Close())
	}
	for _, m := range []*carrypb.Request{{}, {Kind: &carrypb.Request_Do{}}, {Kind: &carrypb.Request_Release{}}} {
		raw, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		assert.NilError(t, newStream(raw).write(m, time.Now().Add(time.Second)))
		assert.NilError(t, raw.Close())
	}
	_, err = c.Do(time.Now().Add(time.Second), "FETCH a", "id", logpos.Pos{})
	assert.NilError(t, err)
	Return(c)
}

// TestPanicEndsItsStreamAlone has a fault of the program in one stream.
func TestPanicEndsItsStreamAlone(t *testing.T) {
	l := &lender{work: func(text string) (stmt.Reply, error) {
		if text == "bad" {
			panic("fault")
		}
		return stmt.Reply{Signature: "s"}, nil
	}}
	address, server := serve(t, l)
	client := newClient()
	bad, err := client.Borrow(address, order(time.Second))
	assert.NilError(t, err)
	good, err := client.Borrow(address, order(time.Second))
	assert.NilError(t, err)
	_, err = bad.Do(time.Now().Add(time.Second), "bad", "id", logpos.Pos{})
	assert.Assert(t, err != nil)
	eventually(t, "counted", func() bool { return l.faults.Load() == 1 })
	_, err = good.Do(time.Now().Add(time.Second), "FETCH a", "id", logpos.Pos{})
	assert.NilError(t, err)
	Return(good)
	eventually(t, "no loan", func() bool { return server.Loans() == 0 })
}

// TestMarkIsNeverThoughtYounger compares what the entry makes of a mark with when it was
// really asked for.
func TestMarkIsNeverThoughtYounger(t *testing.T) {
	l := &lender{}
	address, _ := serve(t, l)
	client := newClient()
	for _, age := range []time.Duration{0, time.Microsecond, 300 * time.Millisecond} {
		since := boottime.Now() - age
		l.mark = mark.Mark{RequestedAt: boottime.Now(), Pos: logpos.Pos{Term: 1, Index: 5}}
		m, number, err := client.Mark(address, "svc", since, time.Now().Add(time.Second))
		assert.NilError(t, err)
		assert.Equal(t, number, uint64(3))
		assert.Equal(t, m.Pos, l.mark.Pos)
		assert.Assert(t, m.RequestedAt >= since && m.RequestedAt <= l.mark.RequestedAt, "%v %v %v", since, m.RequestedAt, l.mark.RequestedAt)
	}
}
