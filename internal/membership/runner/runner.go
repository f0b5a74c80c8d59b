// Package runner runs the membership state machine: UDP packets, exchanges of
// tables and endpoints' announcements over HTTP, the clock, and views for the
// rest of the daemon.
package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hemlockmast/internal/membership"
)

const (
	// maxPacketBytes bounds a UDP packet.
	maxPacketBytes = 65507
	// maxTableBytes bounds a table in an exchange.
	maxTableBytes = 16 << 20
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 5 * time.Second
	// readRetry is between reads of a socket that failed.
	readRetry = 10 * time.Millisecond
)

// Config is what a Runner needs. Self's Heartbeat is the UDP address that others
// use; a zero Incarnation is taken from the clock.
type Config struct {
	Self  membership.Member
	Seeds []membership.Member
	// Slots are those that are configured at the start.
	Slots []membership.SlotID
	// Listen is the UDP address to listen on; empty means Self.Heartbeat.
	Listen string
}

// ListenError reports that the heartbeat address cannot be used.
type ListenError struct {
	Addr string
	Err  error
}

func (e *ListenError) Error() string { return "heartbeats on " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Runner runs one daemon's membership. Its methods may be called concurrently.
type Runner struct {
	conn   net.PacketConn
	client *http.Client

	mu      sync.Mutex // guards state and changed; nothing blocks under it
	state   *membership.State
	changed chan struct{}
}

// New listens for heartbeats. Run must be called. An error is a *ListenError.
func New(cfg Config) (*Runner, error) {
	addr := cfg.Listen
	if addr == "" {
		addr = cfg.Self.Heartbeat
	}
	conn, err := net.ListenPacket("udp", addr)
	if err != nil {
		return nil, &ListenError{Addr: addr, Err: err}
	}
	if cfg.Self.Heartbeat == "" {
		cfg.Self.Heartbeat = conn.LocalAddr().String()
	}
	if cfg.Self.Incarnation == 0 {
		cfg.Self.Incarnation = uint64(time.Now().UnixNano())
	}
	state := membership.New(membership.Config{
		Self: cfg.Self, Seeds: cfg.Seeds, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	state.SetSlots(cfg.Slots)
	return &Runner{
		conn: conn, state: state, changed: make(chan struct{}),
		client: &http.Client{Timeout: exchangeTimeout},
	}, nil
}

// Run works until ctx ends; then it tells the others that this daemon stops.
func (r *Runner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { r.tick(ctx); return nil })
	group.Go(func() error { r.read(ctx); return nil })
	group.Go(func() error {
		<-ctx.Done()
		r.do(context.Background(), func(s *membership.State, now time.Time) membership.Effects { return s.Leave(now) })
		return r.conn.Close()
	})
	return group.Wait()
}

func (r *Runner) tick(ctx context.Context) {
	t := time.NewTicker(membership.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.do(ctx, func(s *membership.State, now time.Time) membership.Effects { return s.Tick(now) })
		case <-ctx.Done():
			return
		}
	}
}

func (r *Runner) read(ctx context.Context) {
	buf := make([]byte, maxPacketBytes)
	for ctx.Err() == nil {
		n, _, err := r.conn.ReadFrom(buf)
		if err != nil {
			// A refused packet shows as an error of a later read.
			select {
			case <-time.After(readRetry):
			case <-ctx.Done():
			}
			continue
		}
		p, err := decodePacket(buf[:n])
		if err != nil {
			continue
		}
		r.do(ctx, func(s *membership.State, now time.Time) membership.Effects { return s.Receive(now, p) })
	}
}

// do runs one event and its effects.
func (r *Runner) do(ctx context.Context, event func(*membership.State, time.Time) membership.Effects) {
	r.mu.Lock()
	eff := event(r.state, time.Now())
	if eff.Changed {
		close(r.changed)
		r.changed = make(chan struct{})
	}
	r.mu.Unlock()
	for _, send := range eff.Outgoing {
		r.send(send)
	}
	for _, admin := range eff.ExchangeWith {
		go r.exchange(ctx, admin)
	}
}

// send drops a packet that cannot be sent: the state machine repeats its news.
func (r *Runner) send(s membership.Outgoing) {
	to, err := net.ResolveUDPAddr("udp", s.To)
	if err != nil {
		return
	}
	data, err := encodePacket(s.Packet)
	if err != nil || len(data) > maxPacketBytes {
		return
	}
	r.conn.WriteTo(data, to)
}

// SetSlots replaces the configured slots.
func (r *Runner) SetSlots(slots []membership.SlotID) {
	r.do(context.Background(), func(s *membership.State, _ time.Time) membership.Effects { return s.SetSlots(slots) })
}

// Members returns every known daemon, this one too, in name order.
func (r *Runner) Members() []membership.MemberView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Members()
}

// Endpoints returns the endpoint in use for each slot that has one.
func (r *Runner) Endpoints() []membership.EndpointView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Endpoints()
}

// Problems returns what an operator should know of.
func (r *Runner) Problems() []membership.Problem {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Problems()
}

// Changed returns a channel that is closed when a view or the problems may have
// changed since the call. Take it before reading the views.
func (r *Runner) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}
