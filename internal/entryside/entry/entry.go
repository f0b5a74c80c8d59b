// Package entry accepts caller connections, keeps their sessions and sends their
// segments to holders. A segment is the sequence of messages that a caller sends
// up to and including a Query, Sync or Flush message.
//
// The entry renames prepared statements to names derived from their text, so
// that any endpoint connection can serve any session. It buffers a reply until
// it is complete or exceeds a size limit. A segment that had no effect can
// therefore be retried at another endpoint without the caller noticing.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"hemlockmast/internal/entryside/session"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/outcome"
	"hemlockmast/internal/wire/exchange"
)

const (
	// startupTimeout bounds the time from the accepted connection to the end of
	// the start-up.
	startupTimeout = 10 * time.Second
	// maxStartupBytes limits the size of the start-up message.
	maxStartupBytes = 10 << 10
	// maxSegmentBytes limits the size of a segment.
	maxSegmentBytes = 16 << 20
	// callerKeepAliveInterval is the interval of TCP keep-alive probes to callers.
	callerKeepAliveInterval = 15 * time.Second
)

// Service is the part of a service's configuration that the entry uses.
type Service struct {
	Name  string
	Group string
	// Deadline limits how long a segment may take. A caller may set a shorter
	// deadline.
	Deadline time.Duration
	Priority int32
	// ReadOnlyDefault states that statements without a declared access mode are
	// tried at a replica first.
	ReadOnlyDefault bool
	// Repeatable states that the service's statements are idempotent: running
	// one twice does no harm.
	Repeatable bool
	// Level is the default read level.
	Level ReadLevel
	// MaxAge is the staleness limit of reads at LevelMaxAge. Package route does
	// not use it at other levels.
	MaxAge time.Duration
	// PreferReplicas states that a read waits for a replica instead of going to
	// the primary.
	PreferReplicas bool
}

// ReadLevel is the consistency level of a read.
type ReadLevel uint8

// Read levels.
const (
	// LevelSession means that a read sees the session's own writes.
	LevelSession ReadLevel = iota
	// LevelMaxAge means that a read sees data not older than Service.MaxAge.
	LevelMaxAge
	// LevelPrimary means that a read sees the current state of the primary.
	LevelPrimary
)

// Catalog finds the service of a caller.
type Catalog interface {
	// Lookup returns the service of user and database. ok is false if no
	// service file names them.
	Lookup(user, database string) (service Service, ok bool)
}

// Target is the slot that the router chose for a segment.
type Target struct {
	Slot string
	// Opener opens an exchange at the slot.
	Opener exchange.Opener
	// Primary states that the slot is the group's primary.
	Primary bool
	// Floor is the log position that the slot must have applied before the
	// segment runs there. The holder waits for it up to Wait.
	Floor logpos.Pos
	Wait  time.Duration
	// Confirm, if set, must succeed before any part of the reply is sent to the
	// caller.
	Confirm func(context.Context) error
	// Done, if set, is called once with the duration and the error of the first
	// segment. The duration is 0 if the exchange could not be opened.
	Done func(time.Duration, error)
}

// Need is the router's input for one segment.
type Need struct {
	Service Service
	// Write states that the segment must run at the primary.
	Write bool
	Level ReadLevel
	// Floor is the position that a read must see.
	Floor session.GroupFloor
	// Settle records a position that the primary reported as the session's
	// floor. It is nil for writes.
	Settle func(ctx context.Context, pos logpos.Pos) error
	// Avoid lists the slots that already failed for this segment.
	Avoid []string
	// Deadline is the time by which the caller expects the answer.
	Deadline time.Time
}

// Router chooses the slot for a segment. Errors are *outcome.Error with outcome
// NotRun.
type Router interface {
	Route(ctx context.Context, need Need) (Target, error)
}

// Observer receives the result of each segment, for metrics. It must return
// quickly and be safe for concurrent use.
type Observer interface {
	// Segment is called when a segment has ended.
	Segment(s Segment)
}

// Segment describes a segment that has ended.
type Segment struct {
	Service string
	// Write states that the segment was classified as a write, InTransaction
	// that it continued a transaction, Primary that its last attempt was at the
	// primary.
	Write, InTransaction, Primary bool
	Verdict                       Verdict
	// Reason is the reason for VerdictNotRun; it is empty otherwise.
	Reason outcome.Reason
	// Wait is how long the caller waited for the answer.
	Wait time.Duration
}

// Verdict is the result of a segment.
type Verdict uint8

// Verdicts.
const (
	// VerdictDone means that the segment was answered by an endpoint.
	VerdictDone Verdict = iota
	// VerdictNotRun means that the segment was not run. Segment.Reason says why.
	VerdictNotRun
	// VerdictUnknown means that the segment may have run.
	VerdictUnknown
	// VerdictAbandoned means that the caller disconnected before it was answered.
	VerdictAbandoned
)

// String returns the verdict as a metric label.
func (v Verdict) String() string {
	return [...]string{"done", "not_run", "unknown", "abandoned"}[v]
}

// Config holds the dependencies and limits of a Server.
type Config struct {
	// Ready reports whether a configuration is in force.
	Ready func() bool
	// ForwardCancel forwards a cancel request for a session of another daemon. It
	// must not block.
	ForwardCancel func(pid, secret uint32)
	Catalog       Catalog
	Router        Router
	Sessions      Sessions
	Admit         Admitter
	Observer      Observer
	Log           logr.Logger
	// MaxCallers limits the number of open caller connections; 0 means no limit.
	MaxCallers int
	// DrainTimeout limits how long the graceful shutdown waits for transactions.
	DrainTimeout time.Duration
}

// Server accepts and serves caller connections.
//
// Lock order: Server.mu before callerConn.mu.
type Server struct {
	cfg      Config
	learned  *learnedWrites
	draining atomic.Bool

	// mu guards the fields below.
	mu       sync.Mutex
	sessions map[uint32]*callerConn
}

// New returns a Server.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, learned: newLearnedWrites(), sessions: map[uint32]*callerConn{}}
}

// Serve accepts callers on ln until ctx ends and then shuts down gracefully: it
// accepts no new caller, asks idle sessions to reconnect and lets transactions
// finish until the drain timeout. It returns an error if accepting fails before
// ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	var g errgroup.Group
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			return err
		}
		g.Go(func() error {
			s.serveConn(conn)
			return nil
		})
	}
	s.drain()
	return g.Wait()
}

// drain makes every session end as soon as it is idle. It closes the connections
// that are still open after the drain timeout.
func (s *Server) drain() {
	s.draining.Store(true)
	for _, sess := range s.listSessions() {
		sess.wakeIfIdle()
	}
	deadline := time.Now().Add(s.cfg.DrainTimeout)
	for time.Now().Before(deadline) && s.Callers() > 0 {
		time.Sleep(drainPollInterval)
	}
	for _, sess := range s.listSessions() {
		_ = sess.conn.Close()
	}
}

// drainPollInterval is how often drain checks for open sessions.
const drainPollInterval = 10 * time.Millisecond

// Callers returns the number of open sessions.
func (s *Server) Callers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

func (s *Server) listSessions() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*callerConn, 0, len(s.sessions))
	for _, sess := range s.sessions {
		list = append(list, sess)
	}
	return list
}

// register adds the session under a random process id that no other open
// session has.
func (s *Server) register(sess *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		sess.pid = randomUint32() >> 1
		if _, exists := s.sessions[sess.pid]; !exists && sess.pid != 0 {
			s.sessions[sess.pid] = sess
			return
		}
	}
}

func (s *Server) unregister(sess *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess.pid)
}

// Cancel cancels the running segment of the session with process id pid if
// secret is the session's key. It reports whether this server has such a
// session.
func (s *Server) Cancel(pid, secret uint32) bool {
	s.mu.Lock()
	sess := s.sessions[pid]
	s.mu.Unlock()
	if sess == nil || sess.secret != secret {
		return false
	}
	sess.cancelRunning(errCanceledByCaller)
	return true
}

func randomUint32() uint32 {
	var b [4]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint32(b[:])
}
