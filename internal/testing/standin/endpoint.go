// Package standin is a stand-in database endpoint for tests and first tries: it
// speaks the PostgreSQL protocol, version 3, understands a small part of SQL,
// keeps the contract of docs/endpoint-contract.md, replicates to others of its
// kind, and has faults that can be switched on.
package standin

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/membership/announcer"
	"hemlockmast/internal/testing/standin/disk"
	"hemlockmast/internal/testing/standin/node"
)

// Config describes an endpoint. Group and Slot are required.
type Config struct {
	Group, Slot string
	// Databases lists the names that can be connected to; empty allows all.
	Databases []string
	// ConnLimit bounds the connections of all databases together; 0 means no
	// limit.
	ConnLimit int
	// ConnectDelay is how long a new connection takes.
	ConnectDelay time.Duration
	// DataDir keeps the state in files; empty keeps it in memory.
	DataDir string
	// Disk overrides DataDir.
	Disk disk.Disk
	// Addr is the listening address; empty means a free port on loopback.
	Addr string
	// Advertise is the address that others use; empty means Addr.
	Advertise string
	// Announce lists the base URLs of daemons that are told of the endpoint.
	Announce []string
	// Primary makes an endpoint with an empty disk primary of term 1. For the
	// first start of a group only.
	Primary bool
	// Follow makes an endpoint with an empty disk a replica of the primary of
	// term 1 at this address. For the first start of a group only.
	Follow string
	// ReplicationLag is from the primary's sending of a record to synced.
	ReplicationLag time.Duration
	// ApplyLag is from synced to visible.
	ApplyLag time.Duration
	// OnKill replaces Kill when a contract connection asks for it; a process
	// exits here.
	OnKill func()
}

// bootstrapPromoter is the promoter of a group's first primary.
const bootstrapPromoter = "bootstrap"

// Endpoint is a running stand-in endpoint.
type Endpoint struct {
	cfg    Config
	disk   disk.Disk
	faults *faults

	mu        sync.Mutex // guards what follows
	node      *node.Node
	listener  net.Listener
	addr      string
	sessions  map[uint32]*session
	inUse     int // connections that count towards the limit
	number    int // of the last connection
	running   bool
	closed    bool
	announcer *announcer.Announcer
	stop      context.CancelFunc
	wg        sync.WaitGroup
}

// Start runs an endpoint until Close.
func Start(cfg Config) (*Endpoint, error) {
	if cfg.Group == "" || cfg.Slot == "" {
		return nil, &ConfigError{Field: "Group and Slot", Reason: "must be given"}
	}
	if cfg.Addr == "" {
		cfg.Addr = "127.0.0.1:0"
	}
	e := &Endpoint{cfg: cfg, disk: cfg.Disk}
	e.faults = newFaults(&e.cfg)
	if err := e.openDisk(); err != nil {
		return nil, err
	}
	if err := e.start(); err != nil {
		return nil, err
	}
	if err := e.bootstrap(); err != nil {
		e.Close()
		return nil, err
	}
	e.startAnnouncing()
	return e, nil
}

// startAnnouncing tells the daemons of the endpoint until Kill.
func (e *Endpoint) startAnnouncing() {
	if len(e.cfg.Announce) == 0 {
		return
	}
	a := announcer.Start(e.cfg.Announce, announcer.Announcement{
		Group: e.cfg.Group, Slot: e.cfg.Slot, Address: e.Addr(), Incarnation: e.Status().Incarnation,
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.announcer = a
}

// Leave tells the daemons that the endpoint leaves; it goes on serving. It
// returns when they answered or ctx ends.
func (e *Endpoint) Leave(ctx context.Context) {
	e.mu.Lock()
	a := e.announcer
	e.mu.Unlock()
	if a != nil {
		a.Leave(ctx)
	}
}

// ConfigError reports a Config that cannot be used.
type ConfigError struct{ Field, Reason string }

func (e *ConfigError) Error() string { return "stand-in endpoint: " + e.Field + " " + e.Reason }

// ListenError reports that the listening address cannot be used.
type ListenError struct {
	Addr string
	Err  error
}

func (e *ListenError) Error() string { return "listen on " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

func (e *Endpoint) openDisk() error {
	if e.disk != nil {
		return nil
	}
	if e.cfg.DataDir == "" {
		e.disk = &disk.Memory{}
		return nil
	}
	f, err := disk.OpenFile(e.cfg.DataDir)
	if err != nil {
		return err
	}
	e.disk = f
	return nil
}

func (e *Endpoint) start() error {
	n, err := node.Open(e.cfg.Group, e.cfg.Slot, e.disk)
	if err != nil {
		return err
	}
	addr := e.cfg.Addr
	if e.addr != "" {
		addr = e.addr
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return &ListenError{Addr: addr, Err: err}
	}
	ctx, stop := context.WithCancel(context.Background())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.node, e.listener, e.addr, e.stop = n, l, l.Addr().String(), stop
	e.sessions, e.inUse, e.running = map[uint32]*session{}, 0, true
	e.wg.Go(func() { e.accept(ctx, l) })
	e.wg.Go(func() { e.pull(ctx, n) })
	e.wg.Go(func() { e.apply(ctx, n) })
	return nil
}

// bootstrap gives an empty disk its role in term 1.
func (e *Endpoint) bootstrap() error {
	n := e.state()
	st, _ := n.Status()
	if st.FencedTerm > 0 {
		return nil
	}
	switch {
	case e.cfg.Primary:
		if err := n.Fence(1, bootstrapPromoter); err != nil {
			return err
		}
		return n.Promote(1, bootstrapPromoter)
	case e.cfg.Follow != "":
		return n.Follow(1, e.cfg.Follow)
	}
	return nil
}

// Addr returns the address at which others reach the endpoint.
func (e *Endpoint) Addr() string {
	if e.cfg.Advertise != "" {
		return e.cfg.Advertise
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

func (e *Endpoint) state() *node.Node {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.node
}

// Status returns what the endpoint reports of itself.
func (e *Endpoint) Status() endpoint.Status {
	st, _ := e.status()
	return st
}

func (e *Endpoint) status() (endpoint.Status, <-chan struct{}) {
	st, changed := e.state().Status()
	e.mu.Lock()
	defer e.mu.Unlock()
	st.ConnLimit, st.ConnsInUse = e.cfg.ConnLimit, e.inUse
	return st, changed
}

// Close stops the endpoint and closes its disk.
func (e *Endpoint) Close() error {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.Kill()
	return e.disk.Close()
}

// Kill stops the endpoint at once, like a crash of its process: connections are
// cut, open transactions lost; the disk stays.
func (e *Endpoint) Kill() {
	e.mu.Lock()
	if !e.running {
		e.mu.Unlock()
		return
	}
	e.running = false
	if e.announcer != nil {
		// Waits for a post on its way, which takes no lock of this endpoint.
		e.announcer.Stop()
		e.announcer = nil
	}
	e.stop()
	e.listener.Close()
	for _, s := range e.sessions {
		s.conn.Close()
	}
	e.mu.Unlock()
	e.wg.Wait()
}

// Restart starts a killed endpoint again at the same address, with its disk.
// Faults that were switched on are off.
func (e *Endpoint) Restart() error {
	if e.isClosed() {
		return net.ErrClosed
	}
	e.faults.set(e.faults.clear)
	if e.cfg.Disk == nil && e.cfg.DataDir != "" {
		e.disk.Close()
		e.disk = nil
		if err := e.openDisk(); err != nil {
			return err
		}
	}
	if err := e.start(); err != nil {
		return err
	}
	e.startAnnouncing()
	return nil
}

// RestartEmpty is Restart with an empty disk: the endpoint comes back as a new
// incarnation in term 0.
func (e *Endpoint) RestartEmpty() error {
	if e.isClosed() {
		return net.ErrClosed
	}
	if err := e.disk.Wipe(); err != nil {
		return err
	}
	return e.Restart()
}

func (e *Endpoint) isClosed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closed
}

func (e *Endpoint) accept(ctx context.Context, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s := e.register(ctx, conn)
		if s == nil {
			conn.Close()
			continue
		}
		e.wg.Go(s.run)
	}
}

func (e *Endpoint) register(ctx context.Context, conn net.Conn) *session {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.running {
		return nil
	}
	e.number++
	s := newSession(ctx, e, conn, e.number)
	e.sessions[s.pid] = s
	return s
}

func (e *Endpoint) nextNumber() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.number + 1
}

// admit counts a connection towards the limit, or refuses.
func (e *Endpoint) admit(s *session) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ConnLimit > 0 && e.inUse >= e.cfg.ConnLimit {
		return false
	}
	e.inUse++
	s.counted = true
	return true
}

func (e *Endpoint) unregister(s *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sessions[s.pid] != s {
		return
	}
	delete(e.sessions, s.pid)
	if s.counted {
		e.inUse--
	}
}

func (e *Endpoint) cancel(pid, secret uint32) {
	e.mu.Lock()
	s := e.sessions[pid]
	e.mu.Unlock()
	if s != nil && s.secret == secret {
		s.cancelStatement()
	}
}

func (e *Endpoint) closeCut() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sessions {
		if s.started && e.faults.isCut(Both, s.out.peers...) {
			s.conn.Close()
		}
	}
}

// holderCount is the number of connections of one holder.
type holderCount struct {
	holder string
	conns  int
}

// holders counts the connections of each holder, in name order.
func (e *Endpoint) holders() []holderCount {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []holderCount
	for _, s := range e.sessions {
		if !s.counted {
			continue
		}
		i := slices.IndexFunc(out, func(h holderCount) bool { return h.holder == s.holder })
		if i < 0 {
			out = append(out, holderCount{s.holder, 1})
			continue
		}
		out[i].conns++
	}
	slices.SortFunc(out, func(a, b holderCount) int { return strings.Compare(a.holder, b.holder) })
	return out
}
