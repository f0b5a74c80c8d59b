package standin

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction selects the half of a connection that a fault strikes, as seen
// from the endpoint.
type Direction uint8

// Directions of a cut.
const (
	// Both refuses connections.
	Both Direction = iota
	// In loses what peers send; nothing of it is executed.
	In
	// Out loses what the endpoint answers; requests are executed.
	Out
)

// AnyPeer stands for every peer in a cut.
const AnyPeer = "*"

// faults is the switchboard of an endpoint's faults.
type faults struct {
	// active is false while no fault strikes connections, the usual case.
	active atomic.Bool

	mu      sync.Mutex
	changed chan struct{} // closed at each change
	frozen  bool
	paused  bool // replication
	held    bool // applying of what was replicated
	cuts    map[string]Direction
	late    time.Duration
	doubled int // answers still to be sent twice
	silence int // connections with a lower number are silent
	lag     time.Duration
	apply   time.Duration
}

func newFaults(cfg *Config) *faults {
	return &faults{changed: make(chan struct{}), cuts: map[string]Direction{},
		lag: cfg.ReplicationLag, apply: cfg.ApplyLag}
}

// clear switches all faults off but the lags. It is called with f.mu held.
func (f *faults) clear() {
	f.frozen, f.paused, f.held = false, false, false
	f.late, f.doubled, f.silence = 0, 0, 0
	clear(f.cuts)
}

func (f *faults) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.active.Store(f.frozen || f.late > 0 || f.doubled > 0 || f.silence > 0 || len(f.cuts) > 0)
	close(f.changed)
	f.changed = make(chan struct{})
}

// wait returns once blocked reports false, or with ctx's error. blocked is
// called with f.mu held.
func (f *faults) wait(ctx context.Context, blocked func() bool) error {
	for {
		f.mu.Lock()
		stop, changed := blocked(), f.changed
		f.mu.Unlock()
		if !stop {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (f *faults) awaitThaw(ctx context.Context) error {
	if !f.active.Load() {
		return ctx.Err()
	}
	return f.wait(ctx, func() bool { return f.frozen })
}

// cut reports whether the direction is cut for any of the peer's names. It is
// called with f.mu held.
func (f *faults) cut(dir Direction, names ...string) bool {
	for _, n := range append(names, AnyPeer) {
		if d, ok := f.cuts[n]; ok && (d == dir || d == Both) {
			return true
		}
	}
	return false
}

func (f *faults) isCut(dir Direction, names ...string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut(dir, names...)
}

// takeDoubled reports whether this answer is to be sent twice.
func (f *faults) takeDoubled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.doubled == 0 {
		return false
	}
	f.doubled--
	return true
}

func (f *faults) lateness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.late
}

// waitUntil returns at the time that due gives, which is asked again at each
// change, or with ctx's error. A zero time stands for never. It returns early
// when wake is closed.
func (f *faults) waitUntil(ctx context.Context, wake <-chan struct{}, due func() time.Time) error {
	for {
		f.mu.Lock()
		at, changed := due(), f.changed
		f.mu.Unlock()
		left := time.Until(at)
		if !at.IsZero() && left <= 0 {
			return ctx.Err()
		}
		if at.IsZero() {
			left = time.Hour
		}
		t := time.NewTimer(left)
		select {
		case <-t.C:
		case <-changed:
		case <-wake:
			t.Stop()
			return nil
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
		t.Stop()
	}
}

// faultWriter applies the faults to what a connection sends.
type faultWriter struct {
	f      *faults
	ctx    context.Context
	conn   net.Conn
	number int // of the connection
	peers  []string
	// answering is set while the bytes belong to the answer of a statement.
	answering bool
}

// silent is called with f.mu held.
func (w *faultWriter) silent() bool { return w.number < w.f.silence }

// Write sends what the faults let through. An answer that is cut off waits for
// Heal, as a network would send it again.
func (w *faultWriter) Write(p []byte) (int, error) {
	if !w.f.active.Load() {
		return w.conn.Write(p)
	}
	if w.answering {
		if err := sleep(w.ctx, w.f.lateness()); err != nil {
			return 0, err
		}
	}
	if err := w.await(Out); err != nil {
		return 0, err
	}
	if w.answering && w.f.takeDoubled() {
		if _, err := w.conn.Write(p); err != nil {
			return 0, err
		}
	}
	return w.conn.Write(p)
}

// awaitRead blocks while what the peer sent must not be executed.
func (w *faultWriter) awaitRead() error {
	if !w.f.active.Load() {
		return nil
	}
	return w.await(In)
}

// await blocks while the endpoint is frozen or the direction is cut. On a
// silent connection it drops what comes until the peer closes, and fails.
func (w *faultWriter) await(dir Direction) error {
	err := w.f.wait(w.ctx, func() bool {
		return !w.silent() && (w.f.frozen || w.f.cut(dir, w.peers...))
	})
	if err != nil {
		return err
	}
	w.f.mu.Lock()
	silent := w.silent()
	w.f.mu.Unlock()
	if !silent {
		return nil
	}
	io.Copy(io.Discard, w.conn)
	return net.ErrClosed
}

// sleep waits for d or returns ctx's error.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Freeze stops every connection, old and new, and replication, until Thaw.
func (e *Endpoint) Freeze() { e.faults.set(func() { e.faults.frozen = true }) }

// Thaw ends Freeze.
func (e *Endpoint) Thaw() { e.faults.set(func() { e.faults.frozen = false }) }

// SilenceConnections makes every connection that is open now silent for good:
// it stays open, and nothing that is sent on it is executed or answered. New
// connections work.
func (e *Endpoint) SilenceConnections() {
	next := e.nextNumber()
	e.faults.set(func() { e.faults.silence = next })
}

// Cut loses the traffic of a peer, or of AnyPeer, until Heal. A peer is named
// by its holder parameter, its slot, or the address to which it is dialled.
// With Both, its connections are closed and new ones refused.
func (e *Endpoint) Cut(peer string, dir Direction) {
	e.faults.set(func() { e.faults.cuts[peer] = dir })
	if dir == Both {
		e.closeCut()
	}
}

// Heal ends every cut.
func (e *Endpoint) Heal() { e.faults.set(func() { clear(e.faults.cuts) }) }

// Late delays every answer by d; 0 ends it.
func (e *Endpoint) Late(d time.Duration) { e.faults.set(func() { e.faults.late = d }) }

// Cross sends the next n answers twice: the second copy stands where the answer
// of the connection's next request is expected.
func (e *Endpoint) Cross(n int) { e.faults.set(func() { e.faults.doubled = n }) }

// SetLag changes by how much the endpoint's replication lags: receive is from
// the primary's sending to synced, apply from synced to visible.
func (e *Endpoint) SetLag(receive, apply time.Duration) {
	e.faults.set(func() { e.faults.lag, e.faults.apply = receive, apply })
}

// PauseReplication stops, or with false resumes, taking records from the
// primary.
func (e *Endpoint) PauseReplication(on bool) {
	e.faults.set(func() { e.faults.paused = on })
}

// PauseApply stops, or with false resumes, making synced records visible.
func (e *Endpoint) PauseApply(on bool) { e.faults.set(func() { e.faults.held = on }) }
