package standin

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is the direction of traffic that a cut affects, as seen from the
// endpoint.
type Direction uint8

// Directions of a cut.
const (
	// Both closes connections and rejects new ones.
	Both Direction = iota
	// In blocks what peers send. Their requests are not executed.
	In
	// Out blocks the endpoint's answers. Requests are executed.
	Out
)

// AnyPeer stands for all peers in Cut.
const AnyPeer = "*"

// faults holds the faults that are injected at an endpoint.
type faults struct {
	// active is false while no fault affects connections, the usual case. It
	// saves locking mu for each message.
	active atomic.Bool

	mu             sync.Mutex    // guards the fields below
	changed        chan struct{} // closed at the next change
	frozen         bool
	receivePaused  bool                 // no records are received from the primary
	applyPaused    bool                 // synced records are not applied
	cuts           map[string]Direction // by name of the peer
	answerDelay    time.Duration        // delay of each answer
	duplicates     int                  // number of answers still to be sent twice
	silentBelow    int                  // connections with a lower number are silent
	replicationLag time.Duration
	apply          time.Duration // apply lag
}

func newFaults(cfg *Config) *faults {
	return &faults{changed: make(chan struct{}), cuts: map[string]Direction{},
		replicationLag: cfg.ReplicationLag, apply: cfg.ApplyLag}
}

// clear ends all faults except the lags. It is called with f.mu held.
func (f *faults) clear() {
	f.frozen, f.receivePaused, f.applyPaused = false, false, false
	f.answerDelay, f.duplicates, f.silentBelow = 0, 0, 0
	clear(f.cuts)
}

// update changes the faults by calling change with f.mu held.
func (f *faults) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.active.Store(f.frozen || f.answerDelay > 0 || f.duplicates > 0 || f.silentBelow > 0 || len(f.cuts) > 0)
	close(f.changed)
	f.changed = make(chan struct{})
}

// wait returns when blocked reports false, or ctx's error when ctx ends. blocked
// is called with f.mu held, at the start and after each change of the faults.
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

// cutLocked reports whether the direction is cut for any of a peer's names. It is
// called with f.mu held.
func (f *faults) cutLocked(dir Direction, names ...string) bool {
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
	return f.cutLocked(dir, names...)
}

// takeDuplicate reports whether the next answer is sent twice, and counts it.
func (f *faults) takeDuplicate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.duplicates == 0 {
		return false
	}
	f.duplicates--
	return true
}

func (f *faults) currentAnswerDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answerDelay
}

// waitUntil returns at the time that due returns, early when wake is closed, or
// ctx's error when ctx ends. due is called with f.mu held, again after each
// change of the faults. A zero time means never.
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

// faultWriter writes to a connection and applies the faults.
type faultWriter struct {
	f      *faults
	ctx    context.Context
	conn   net.Conn
	number int      // of the connection
	peers  []string // names of the peer
	// answering is set once the session has started. Everything written from then
	// on answers statements.
	answering bool
}

// silent reports whether the connection is silent. It is called with f.mu held.
func (w *faultWriter) silent() bool { return w.number < w.f.silentBelow }

// Write writes p as the faults allow. An answer that is cut off is sent after
// Heal, as TCP would retransmit it.
func (w *faultWriter) Write(p []byte) (int, error) {
	if !w.f.active.Load() {
		return w.conn.Write(p)
	}
	if w.answering {
		if err := sleep(w.ctx, w.f.currentAnswerDelay()); err != nil {
			return 0, err
		}
	}
	if err := w.await(Out); err != nil {
		return 0, err
	}
	if w.answering && w.f.takeDuplicate() {
		if _, err := w.conn.Write(p); err != nil {
			return 0, err
		}
	}
	return w.conn.Write(p)
}

// awaitRead blocks while a received message must not be executed.
func (w *faultWriter) awaitRead() error {
	if !w.f.active.Load() {
		return nil
	}
	return w.await(In)
}

// await blocks while the endpoint is frozen or the direction is cut. On a silent
// connection it discards input until the peer closes the connection, and returns
// an error.
func (w *faultWriter) await(dir Direction) error {
	err := w.f.wait(w.ctx, func() bool {
		return !w.silent() && (w.f.frozen || w.f.cutLocked(dir, w.peers...))
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

// sleep waits for d, or returns ctx's error when ctx ends.
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

// Freeze stops all connections, open and new, and replication until Thaw.
func (e *Endpoint) Freeze() { e.faults.update(func() { e.faults.frozen = true }) }

// Thaw ends Freeze.
func (e *Endpoint) Thaw() { e.faults.update(func() { e.faults.frozen = false }) }

// SilenceConnections makes all open connections silent permanently: they stay
// open, but nothing that clients send on them is executed or answered. New
// connections work.
func (e *Endpoint) SilenceConnections() {
	next := e.nextConnNumber()
	e.faults.update(func() { e.faults.silentBelow = next })
}

// Cut blocks the traffic of a peer, or of AnyPeer, until Heal. A peer is named by
// the holder parameter of its connections, by the slot of a replica, or by the
// address at which this endpoint dials a primary. Both closes the peer's
// connections and rejects new ones.
func (e *Endpoint) Cut(peer string, dir Direction) {
	e.faults.update(func() { e.faults.cuts[peer] = dir })
	if dir == Both {
		e.closeCutConns()
	}
}

// Heal ends every cut.
func (e *Endpoint) Heal() { e.faults.update(func() { clear(e.faults.cuts) }) }

// DelayAnswers delays each answer by d; 0 ends the fault.
func (e *Endpoint) DelayAnswers(d time.Duration) {
	e.faults.update(func() { e.faults.answerDelay = d })
}

// DuplicateAnswers sends the next n answers twice. The client takes the second
// copy for the answer to its next request.
func (e *Endpoint) DuplicateAnswers(n int) { e.faults.update(func() { e.faults.duplicates = n }) }

// SetLag sets the endpoint's lags. receive is the time from the arrival of a
// record from the primary until it is synced, apply the time from then until it
// is visible.
func (e *Endpoint) SetLag(receive, apply time.Duration) {
	e.faults.update(func() { e.faults.replicationLag, e.faults.apply = receive, apply })
}

// PauseReplication stops receiving records from the primary, or resumes it if on
// is false.
func (e *Endpoint) PauseReplication(on bool) {
	e.faults.update(func() { e.faults.receivePaused = on })
}

// PauseApply stops making synced records visible, or resumes it if on is false.
func (e *Endpoint) PauseApply(on bool) { e.faults.update(func() { e.faults.applyPaused = on }) }
