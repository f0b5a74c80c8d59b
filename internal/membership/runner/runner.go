// Package runner runs the membership state machine. It provides the clock, sends
// and receives packets over UDP, exchanges tables and accepts announcements over
// HTTP, and gives the rest of the daemon views of the state.
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
	// maxPacketBytes is the largest UDP payload over IPv4.
	maxPacketBytes = 65507
	// maxTableBytes bounds an encoded table in an exchange.
	maxTableBytes = 16 << 20
	// exchangeTimeout bounds one exchange of tables.
	exchangeTimeout = 5 * time.Second
	// readRetryDelay is the wait after a failed read from the socket.
	readRetryDelay = 10 * time.Millisecond
)

// Config configures a Runner. Self.Heartbeat is the UDP address that other daemons
// send to; if it is empty, the listening address is used. A zero Self.Incarnation
// is set to the current time in nanoseconds.
type Config struct {
	Self  membership.Member
	Seeds []membership.Member
	// Slots are the slots that are configured at the start.
	Slots []membership.SlotID
	// Listen is the UDP address to listen on; empty means Self.Heartbeat.
	Listen string
}

// ListenError reports that the heartbeat address cannot be listened on.
type ListenError struct {
	Addr string
	Err  error
}

func (e *ListenError) Error() string { return "heartbeats on " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the error of the network.
func (e *ListenError) Unwrap() error { return e.Err }

// Runner runs one daemon's membership. Its methods may be called concurrently.
type Runner struct {
	conn   net.PacketConn
	client *http.Client

	mu      sync.Mutex // guards state and changed; never held during I/O
	state   *membership.State
	changed chan struct{}
}

// New starts to listen for heartbeats. Run must be called to process them. An
// error is a *ListenError.
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

// Run runs the membership until ctx ends. Then it announces to the other daemons
// that this daemon stops, closes the socket and returns the error of closing it.
func (r *Runner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { r.runTicks(ctx); return nil })
	group.Go(func() error { r.receivePackets(ctx); return nil })
	group.Go(func() error {
		<-ctx.Done()
		r.applyEvent(context.Background(), func(s *membership.State, now time.Time) membership.Effects { return s.Leave(now) })
		return r.conn.Close()
	})
	return group.Wait()
}

func (r *Runner) runTicks(ctx context.Context) {
	t := time.NewTicker(membership.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.applyEvent(ctx, func(s *membership.State, now time.Time) membership.Effects { return s.Tick(now) })
		case <-ctx.Done():
			return
		}
	}
}

func (r *Runner) receivePackets(ctx context.Context) {
	buf := make([]byte, maxPacketBytes)
	for ctx.Err() == nil {
		n, _, err := r.conn.ReadFrom(buf)
		if err != nil {
			// The error may be about a packet sent earlier that its receiver
			// refused, so reading goes on.
			select {
			case <-time.After(readRetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		p, err := decodePacket(buf[:n])
		if err != nil {
			continue
		}
		r.applyEvent(ctx, func(s *membership.State, now time.Time) membership.Effects { return s.Receive(now, p) })
	}
}

// applyEvent applies one event to the state and performs its effects.
func (r *Runner) applyEvent(ctx context.Context, event func(*membership.State, time.Time) membership.Effects) {
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
	for _, adminAddr := range eff.ExchangeWith {
		go r.exchange(ctx, adminAddr)
	}
}

// send sends a packet. It drops a packet that cannot be sent, because the state
// machine sends each change several times.
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

// SetSlots replaces the list of configured slots.
func (r *Runner) SetSlots(slots []membership.SlotID) {
	r.applyEvent(context.Background(), func(s *membership.State, _ time.Time) membership.Effects { return s.SetSlots(slots) })
}

// Members returns every known daemon including this one, in name order.
func (r *Runner) Members() []membership.MemberView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Members()
}

// Endpoints returns the endpoint in use for each configured slot that has one, in
// order of group and slot.
func (r *Runner) Endpoints() []membership.EndpointView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Endpoints()
}

// Problems returns the current problems for the operator.
func (r *Runner) Problems() []membership.Problem {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Problems()
}

// Changed returns a channel that is closed when a view or the problems may have
// changed since the call. Call it before reading the views, so that no change is
// missed.
func (r *Runner) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}
