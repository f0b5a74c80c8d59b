// Package standin implements a stand-in database endpoint for tests and
// evaluation. It speaks version 3 of the PostgreSQL protocol, supports a small
// subset of SQL, fulfils the contract of docs/endpoint-contract.md, replicates to
// other stand-in endpoints, and can inject faults.
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
	"hemlockmast/internal/testing/ports"
	"hemlockmast/internal/testing/standin/disk"
	"hemlockmast/internal/testing/standin/node"
)

// Config configures an endpoint. Group and Slot are required.
type Config struct {
	Group, Slot string
	// Databases lists the databases to which clients can connect. If it is
	// empty, every name is allowed.
	Databases []string
	// ConnLimit is the maximum number of connections to all databases together;
	// 0 means no limit.
	ConnLimit int
	// ConnectDelay delays the acceptance of each new connection.
	ConnectDelay time.Duration
	// DataDir is the folder for the state. If it is empty, the state is kept in
	// memory.
	DataDir string
	// Disk, if set, is used in place of DataDir.
	Disk disk.Disk
	// Addr is the listening address. If it is empty, one on loopback is used that no
	// other test of this machine uses.
	Addr string
	// Advertise is the address that daemons and replicas use. If it is empty,
	// they use the listening address.
	Advertise string
	// Announce lists the base URLs of the daemons to which the endpoint
	// announces itself.
	Announce []string
	// Primary makes an endpoint with an empty disk the primary of term 1. It is
	// for the first start of a group only.
	Primary bool
	// Follow is the address of the primary of term 1, which an endpoint with an
	// empty disk follows. It is for the first start of a group only.
	Follow string
	// ReplicationLag is the time from the arrival of a record from the primary
	// until it is synced.
	ReplicationLag time.Duration
	// ApplyLag is the time from when a record is synced until it is visible.
	ApplyLag time.Duration
	// OnKill, if set, is called in place of Kill by the command HEMLOCK FAULT
	// KILL. A process exits here.
	OnKill func()
}

// bootstrapPromoter is the name of the promoter of a group's first primary.
const bootstrapPromoter = "bootstrap"

// Endpoint is a running stand-in endpoint.
type Endpoint struct {
	cfg    Config
	disk   disk.Disk
	faults *faults

	mu             sync.Mutex // guards the fields below except wg
	node           *node.Node
	listener       net.Listener
	addr           string
	sessions       map[uint32]*session
	connsInUse     int // connections that count towards the limit
	lastConnNumber int // number of the last connection
	running        bool
	closed         bool
	announcer      *announcer.Announcer
	stop           context.CancelFunc
	wg             sync.WaitGroup
}

// Start starts an endpoint, which runs until Close. Errors: *ConfigError,
// *ListenError, those of the disk, *sqltext.Error and *endpoint.FencedError.
func Start(cfg Config) (*Endpoint, error) {
	if cfg.Group == "" || cfg.Slot == "" {
		return nil, &ConfigError{Field: "Group and Slot", Reason: "must be given"}
	}
	if cfg.Addr == "" {
		cfg.Addr = ports.Own()
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

// startAnnouncing announces the endpoint to the daemons until Kill.
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

// Leave announces to the daemons that the endpoint leaves. The endpoint keeps
// serving. Leave returns when the daemons have answered or ctx ends.
func (e *Endpoint) Leave(ctx context.Context) {
	e.mu.Lock()
	a := e.announcer
	e.mu.Unlock()
	if a != nil {
		a.Leave(ctx)
	}
}

// ConfigError reports an invalid Config.
type ConfigError struct{ Field, Reason string }

func (e *ConfigError) Error() string { return "stand-in endpoint: " + e.Field + " " + e.Reason }

// ListenError reports that the endpoint cannot listen on Addr.
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

// start opens the node from the disk and serves connections. After a Kill it
// listens on the same address again.
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
	e.sessions, e.connsInUse, e.running = map[uint32]*session{}, 0, true
	e.wg.Go(func() { e.acceptConns(ctx, l) })
	e.wg.Go(func() { e.pull(ctx, n) })
	e.wg.Go(func() { e.apply(ctx, n) })
	return nil
}

// bootstrap gives an endpoint with an empty disk its role in term 1.
func (e *Endpoint) bootstrap() error {
	n := e.currentNode()
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

// Addr returns the address at which daemons and replicas reach the endpoint.
func (e *Endpoint) Addr() string {
	if e.cfg.Advertise != "" {
		return e.cfg.Advertise
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

func (e *Endpoint) currentNode() *node.Node {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.node
}

// Status returns the status that the endpoint reports.
func (e *Endpoint) Status() endpoint.Status {
	st, _ := e.status()
	return st
}

// status returns the status and a channel that is closed at the node's next
// change.
func (e *Endpoint) status() (endpoint.Status, <-chan struct{}) {
	st, changed := e.currentNode().Status()
	e.mu.Lock()
	defer e.mu.Unlock()
	st.ConnLimit, st.ConnsInUse = e.cfg.ConnLimit, e.connsInUse
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
// closed and open transactions are lost. The disk is kept.
func (e *Endpoint) Kill() {
	e.mu.Lock()
	if !e.running {
		e.mu.Unlock()
		return
	}
	e.running = false
	if e.announcer != nil {
		// Stop waits for an announcement in progress, which acquires no lock of
		// this endpoint.
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

// Restart starts a killed endpoint again at the same address and with its disk.
// All faults except the lags are cleared. It returns net.ErrClosed after Close.
func (e *Endpoint) Restart() error {
	if e.isClosed() {
		return net.ErrClosed
	}
	e.faults.update(e.faults.clear)
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

// RestartEmpty is Restart with an empty disk. The endpoint is then a new
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

func (e *Endpoint) acceptConns(ctx context.Context, l net.Listener) {
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

// register creates the session of a new connection, or returns nil if the
// endpoint does not run.
func (e *Endpoint) register(ctx context.Context, conn net.Conn) *session {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.running {
		return nil
	}
	e.lastConnNumber++
	s := newSession(ctx, e, conn, e.lastConnNumber)
	e.sessions[s.pid] = s
	return s
}

func (e *Endpoint) nextConnNumber() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastConnNumber + 1
}

// admit counts a connection towards the limit. It reports false if the limit is
// reached.
func (e *Endpoint) admit(s *session) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ConnLimit > 0 && e.connsInUse >= e.cfg.ConnLimit {
		return false
	}
	e.connsInUse++
	s.countsToLimit = true
	return true
}

func (e *Endpoint) unregister(s *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sessions[s.pid] != s {
		return
	}
	delete(e.sessions, s.pid)
	if s.countsToLimit {
		e.connsInUse--
	}
}

// cancelByKey cancels the statement of a session if the secret is right.
func (e *Endpoint) cancelByKey(pid, secret uint32) {
	e.mu.Lock()
	s := e.sessions[pid]
	e.mu.Unlock()
	if s != nil && s.secret == secret {
		s.cancelStatement()
	}
}

// closeCutConns closes the connections of peers that are cut in both directions.
func (e *Endpoint) closeCutConns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sessions {
		if s.identified && e.faults.isCut(Both, s.writer.peers...) {
			s.conn.Close()
		}
	}
}

// holderCount is the number of connections of one holder.
type holderCount struct {
	holder string
	conns  int
}

// holders returns the number of connections of each holder, sorted by name.
func (e *Endpoint) holders() []holderCount {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []holderCount
	for _, s := range e.sessions {
		if !s.countsToLimit {
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
