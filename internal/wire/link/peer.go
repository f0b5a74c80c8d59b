package link

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"

	"hemlockmast/api/link"
	"hemlockmast/internal/endpointside/watch"
	"hemlockmast/internal/shared/outcome"
	"hemlockmast/internal/wire/exchange"
)

const (
	// dialTimeout bounds the connection attempt and, separately, the first ping.
	dialTimeout = time.Second
	// replyGrace is how long the entry waits beyond the deadline for the
	// holder's reply, because its outcome is more precise than a timeout.
	replyGrace = 200 * time.Millisecond
	// echoInterval is the time between two echoes on a watch stream.
	echoInterval = 100 * time.Millisecond
	// maxIdleStreams is the number of streams per peer that are kept for reuse.
	maxIdleStreams = 256
)

// Peer is this daemon's connection to one other daemon. It connects on first
// use and reconnects after a failure.
//
// Lock order: Peer.mu is a leaf.
type Peer struct {
	// name is this daemon's name.
	name string
	addr string
	// up is set while the peer sends statuses on a watch stream.
	up atomic.Bool
	// draining is set when the peer refused an exchange because it is shutting
	// down. Each new dial clears it.
	draining atomic.Bool

	// mu guards the fields below.
	mu      sync.Mutex
	session *yamux.Session
	idle    []*peerExchange
	// dialing is closed when the dial in progress ends. It is nil while none
	// runs.
	dialing chan struct{}
	dialErr error
}

var _ exchange.Opener = (*Peer)(nil)

// NewPeer returns a Peer for the daemon at addr. The name is this daemon's own.
func NewPeer(name, addr string) *Peer {
	return &Peer{name: name, addr: addr}
}

// Addr returns the peer's address.
func (p *Peer) Addr() string { return p.addr }

// Up reports whether the peer answers on a watch stream and accepts exchanges.
func (p *Peer) Up() bool { return p.up.Load() && !p.draining.Load() }

// Open implements exchange.Opener. It reuses an idle stream if there is one.
func (p *Peer) Open(ctx context.Context) (exchange.Exchange, error) {
	if r := p.popIdle(); r != nil {
		return r, nil
	}
	hello := &link.Hello{Daemon: p.name, Purpose: &link.Hello_Exchange{Exchange: &link.ExchangeHello{}}}
	r, err := p.openStream(ctx, hello)
	if err != nil {
		return nil, outcome.NotRunError(outcome.CodeCannotConnectNow, outcome.ReasonNoHolder,
			"no connection to the holder", err)
	}
	return r, nil
}

// Watch calls receive with every observation of the peer until ctx ends or the
// connection fails. AskedAt of the observations is on this daemon's clock.
func (p *Peer) Watch(ctx context.Context, receive func(watch.Observation)) error {
	hello := &link.Hello{Daemon: p.name, Purpose: &link.Hello_Watch{Watch: &link.WatchHello{}}}
	r, err := p.openStream(ctx, hello)
	if err != nil {
		return err
	}
	defer func() { _ = r.stream.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = r.stream.Close() })
	defer stop()
	sent := &echoLog{}
	go sendEchoes(ctx, r.w, sent)
	defer p.up.Store(false)
	for {
		status := &link.SlotStatus{}
		if err := r.r.read(status); err != nil {
			return err
		}
		p.up.Store(true)
		receive(watch.Observation{Status: status, AskedAt: sent.timeOf(status.Echo)})
	}
}

// sendEchoes sends a numbered echo every echoInterval. It records the time
// before it sends, so that the time precedes every status query that the peer
// makes after it received the echo.
func sendEchoes(ctx context.Context, w *frameWriter, sent *echoLog) {
	ticker := time.NewTicker(echoInterval)
	defer ticker.Stop()
	for number := uint64(1); ; number++ {
		sent.add(number, time.Now())
		if err := w.write(&link.Echo{Number: number}); err != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close closes the connection with all its streams.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeSession()
}

func (p *Peer) closeSession() {
	if p.session != nil {
		_ = p.session.Close()
		p.session = nil
	}
	p.idle = nil
}

func (p *Peer) popIdle() *peerExchange {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session == nil || p.session.IsClosed() {
		p.idle = nil
		return nil
	}
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	r := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return r
}

func (p *Peer) putIdle(r *peerExchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.session != p.session || len(p.idle) >= maxIdleStreams {
		_ = r.stream.Close()
		return
	}
	p.idle = append(p.idle, r)
}

func (p *Peer) openStream(ctx context.Context, hello *link.Hello) (*peerExchange, error) {
	session, err := p.connect(ctx)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, err
	}
	r := &peerExchange{
		peer: p, session: session, stream: stream,
		r: &frameReader{br: bufio.NewReaderSize(stream, streamBufferBytes)},
		w: &frameWriter{w: stream},
	}
	if err := r.w.write(hello); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return r, nil
}

// connect returns the open session and dials if there is none. Only one dial
// runs at a time; concurrent calls wait for it.
func (p *Peer) connect(ctx context.Context) (*yamux.Session, error) {
	for {
		p.mu.Lock()
		if p.session != nil && !p.session.IsClosed() {
			defer p.mu.Unlock()
			return p.session, nil
		}
		wait := p.dialing
		if wait == nil {
			p.closeSession()
			p.dialing = make(chan struct{})
			p.mu.Unlock()
			return p.dial()
		}
		p.mu.Unlock()
		select {
		case <-wait:
			if err := p.lastDialError(); err != nil {
				return nil, err
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (p *Peer) lastDialError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialErr
}

func (p *Peer) dial() (*yamux.Session, error) {
	session, err := dialSession(p.addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.session, p.dialErr = session, err
	p.draining.Store(false)
	close(p.dialing)
	p.dialing = nil
	return session, err
}

// dialSession connects and pings the peer, so that no segment is sent on a
// connection whose peer does not respond.
func dialSession(addr string) (*yamux.Session, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	session, err := yamux.Client(newCoalescer(conn), sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	stop := time.AfterFunc(dialTimeout, func() { _ = session.Close() })
	defer stop.Stop()
	if _, err := session.Ping(); err != nil {
		_ = session.Close()
		return nil, err
	}
	return session, nil
}

// peerExchange runs an exchange at a peer over one stream.
type peerExchange struct {
	peer    *Peer
	session *yamux.Session
	stream  *yamux.Stream
	r       *frameReader
	w       *frameWriter
	seq     uint64
	// attached is set while the holder keeps a connection for this stream.
	attached bool
	// broken is set when the stream must not be reused.
	broken bool
	reply  link.Reply
}

// Run implements exchange.Exchange.
func (r *peerExchange) Run(ctx context.Context, seg *link.Segment, sink io.Writer) (exchange.Result, error) {
	r.seq++
	seg.Seq = r.seq
	deadline, ok := ctx.Deadline()
	if !ok {
		return exchange.Result{}, outcome.NotRunError(outcome.CodeQueryCanceled,
			outcome.ReasonDeadline, "the request has no deadline", nil)
	}
	seg.TimeoutUs = uint64(max(0, time.Until(deadline)/time.Microsecond))
	_ = r.stream.SetDeadline(deadline.Add(replyGrace))
	stop := context.AfterFunc(ctx, func() {
		if ctx.Err() == context.Canceled {
			_ = r.stream.SetDeadline(time.Unix(1, 0))
		}
	})
	defer stop()
	res, err := r.exchange(seg, sink)
	if err != nil {
		r.broken = true
		r.recordDraining(err)
	}
	r.attached = res.Attached
	return res, err
}

// recordDraining marks the peer as draining if err says that it is shutting
// down.
func (r *peerExchange) recordDraining(err error) {
	var failure *outcome.Error
	if errors.As(err, &failure) && failure.Reason == outcome.ReasonDraining {
		r.peer.draining.Store(true)
	}
}

// exchange sends seg and reads replies up to the last one. Once the first byte
// is written, the outcome is unknown unless the holder reports it.
func (r *peerExchange) exchange(seg *link.Segment, sink io.Writer) (exchange.Result, error) {
	if err := r.w.write(seg); err != nil {
		return exchange.Result{}, linkError(err)
	}
	for {
		r.reply.Reset()
		if err := r.r.read(&r.reply); err != nil {
			return exchange.Result{}, linkError(err)
		}
		if r.reply.Seq != r.seq {
			return exchange.Result{}, outcome.UnknownError(outcome.ReasonProtocol,
				"the holder's reply belongs to another request", nil)
		}
		if len(r.reply.Data) > 0 {
			if _, err := sink.Write(r.reply.Data); err != nil {
				return exchange.Result{}, err
			}
		}
		if r.reply.Result != nil {
			return exchange.FromWire(r.reply.Result)
		}
	}
}

// Close implements exchange.Exchange.
func (r *peerExchange) Close() {
	if r.broken || r.attached {
		_ = r.stream.Close()
		return
	}
	r.peer.putIdle(r)
}

// linkError converts an error of the stream to an *outcome.Error with outcome
// unknown.
func linkError(err error) error {
	if errors.Is(err, yamux.ErrTimeout) {
		return outcome.UnknownError(outcome.ReasonDeadline, "the holder did not answer in time", err)
	}
	return outcome.UnknownError(outcome.ReasonConnLost, "the connection to the holder was lost", err)
}
