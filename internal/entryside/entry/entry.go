// Package entry accepts callers, owns their sessions and sends their segments
// to holders. A segment is what a caller sends up to Query, Sync or Flush.
//
// The entry rewrites prepared statements to names derived from their text, so
// that any endpoint connection can serve any session. It keeps the reply back
// until it is complete or too large, so that a segment that had no effect can
// move to another endpoint without the caller's notice.
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
	// startupTimeout bounds the time from connect to the start-up message.
	startupTimeout = 10 * time.Second
	// maxStartupBytes bounds the start-up message.
	maxStartupBytes = 10 << 10
	// maxSegmentBytes bounds what a caller sends up to Query, Sync or Flush.
	maxSegmentBytes = 16 << 20
	// callerKeepAlive is the interval of TCP keep-alive probes to callers.
	callerKeepAlive = 15 * time.Second
)

// Service is what the entry knows of the service that a caller belongs to.
type Service struct {
	Name  string
	Group string
	// Deadline bounds a segment when its caller states none.
	Deadline time.Duration
	Priority int32
	// ReadOnlyDefault states that statements which declare no access mode are
	// tried at a replica.
	ReadOnlyDefault bool
	// Repeatable states that a statement may run twice without harm.
	Repeatable bool
	// Level is the default read level.
	Level ReadLevel
	// MaxAge is the age that reads accept at LevelMaxAge, and at LevelSession
	// when neither floor nor primary can be reached and nothing was written.
	MaxAge time.Duration
	// PreferReplicas lets a read wait for a replica rather than go to the
	// primary.
	PreferReplicas bool
}

// ReadLevel says what a read must see.
type ReadLevel uint8

// Read levels.
const (
	// LevelSession: the session's own writes.
	LevelSession ReadLevel = iota
	// LevelMaxAge: data not older than a stated age.
	LevelMaxAge
	// LevelPrimary: the current state at the primary.
	LevelPrimary
)

// Catalog resolves callers to services.
type Catalog interface {
	// Lookup returns the service of user and database; ok is false when no
	// service file names them.
	Lookup(user, database string) (service Service, ok bool)
}

// Target is where a segment runs.
type Target struct {
	Slot   string
	Opener exchange.Opener
	// Primary states that the slot is the group's primary.
	Primary bool
	// Floor must be applied at the slot before the segment runs there; the
	// holder waits for it up to Wait.
	Floor logpos.Pos
	Wait  time.Duration
	// Confirm, if set, must succeed before any part of the reply goes to the
	// caller.
	Confirm func(context.Context) error
	// Done, if set, is told how long the first segment ran and its error.
	Done func(time.Duration, error)
}

// Need is what a segment asks of the router.
type Need struct {
	Service Service
	// Write states that the segment must run at the primary.
	Write bool
	Level ReadLevel
	// Floor is what a read must see.
	Floor session.GroupFloor
	// Settle records a floor that was asked of the primary.
	Settle func(ctx context.Context, pos logpos.Pos) error
	// Avoid lists slots that failed this segment already.
	Avoid []string
	// Deadline is when the caller's patience ends.
	Deadline time.Time
}

// Router chooses where a segment runs. Errors are *outcome.Error with outcome
// not run.
type Router interface {
	Route(ctx context.Context, need Need) (Target, error)
}

// Observer counts what callers got. It must be quick and safe for concurrent
// use.
type Observer interface {
	// Segment reports a segment that ended.
	Segment(s Segment)
}

// Segment is a segment that ended.
type Segment struct {
	Service string
	// Write states that it was sent to the primary as a write, InTransaction
	// that it continued a transaction, Primary that it ended at the primary.
	Write, InTransaction, Primary bool
	Verdict                       Verdict
	// Reason is why it was refused; empty otherwise.
	Reason outcome.Reason
	// Wait is how long the caller waited.
	Wait time.Duration
}

// Verdict is what became of a segment.
type Verdict uint8

// Verdicts.
const (
	VerdictDone Verdict = iota
	VerdictNotRun
	VerdictUnknown
	// VerdictAbandoned: the caller went away before it was answered.
	VerdictAbandoned
)

// String returns the verdict as a metric label.
func (v Verdict) String() string {
	return [...]string{"done", "not_run", "unknown", "abandoned"}[v]
}

// Config holds what a Server needs.
type Config struct {
	// Ready reports whether a configuration is in force.
	Ready func() bool
	// Elsewhere passes on a cancel request for a session that is not here. It
	// must not block.
	Elsewhere func(pid, secret uint32)
	Catalog   Catalog
	Router    Router
	Sessions  Sessions
	Admit     Admitter
	Observer  Observer
	Log       logr.Logger
	// MaxCallers bounds the open caller connections.
	MaxCallers int
	// DrainTimeout bounds the graceful stop.
	DrainTimeout time.Duration
}

// Server accepts callers.
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

// Serve accepts callers on ln until ctx ends, then stops gracefully: no new
// caller is accepted, idle sessions are told to reconnect, transactions may
// finish until the drain timeout.
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

// drain asks every session to end at its next idle moment and cuts those that
// are left after the drain timeout.
func (s *Server) drain() {
	s.draining.Store(true)
	for _, sess := range s.all() {
		sess.wakeIfIdle()
	}
	deadline := time.Now().Add(s.cfg.DrainTimeout)
	for time.Now().Before(deadline) && s.Callers() > 0 {
		time.Sleep(drainPoll)
	}
	for _, sess := range s.all() {
		_ = sess.conn.Close()
	}
}

// drainPoll is the interval at which a graceful stop looks for sessions left.
const drainPoll = 10 * time.Millisecond

// Callers returns the number of open sessions.
func (s *Server) Callers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

func (s *Server) all() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*callerConn, 0, len(s.sessions))
	for _, sess := range s.sessions {
		list = append(list, sess)
	}
	return list
}

// register gives the session a process id that no other open session has.
func (s *Server) register(sess *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		sess.pid = randomUint32() >> 1
		if _, taken := s.sessions[sess.pid]; !taken && sess.pid != 0 {
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

// Cancel stops what the session of pid runs, if secret is its key. It reports
// whether the session is one of this entry.
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
