// Package pool manages this daemon's connections to one endpoint. A statement or a
// transaction gets a connection with Get and returns it with Put or Discard. An endpoint
// runs a limited number of statements at once: those occupy its slots, the others wait in
// its queue.
package pool

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"hemlockmast/internal/proxy/connshare"
	"hemlockmast/internal/proxy/turn"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

const (
	// dialTimeout bounds opening a connection: a few round trips plus the endpoint's
	// own work.
	dialTimeout = 700 * time.Millisecond
	// dialBackoff is how long the pool opens no connection after the endpoint refused
	// one because it was full.
	dialBackoff = 100 * time.Millisecond
	// probeInterval is the time between two attempts to reach an endpoint that failed.
	// Probes run in the background, not on behalf of a statement.
	probeInterval = 250 * time.Millisecond
	// slowDialThreshold is the dial time above which the endpoint counts as having no free
	// slot: a few times the usual dial time. For slowDialBackoff after such a dial, a pool
	// that has an open connection opens no other: the new one would queue behind the
	// statements already waiting at the endpoint, and take a slot from them.
	slowDialThreshold = 40 * time.Millisecond
	slowDialBackoff   = time.Second
	// maxConcurrentDials bounds the dials in progress: each takes a slot at the endpoint,
	// which drops attempts beyond its queue.
	maxConcurrentDials = 2
	// idleTimeout is the idle timeout of connections within the daemon's share, except that
	// the last open one is kept. It leaves room for other daemons.
	idleTimeout = 4 * time.Second
	// extraIdleTimeout is the idle timeout of connections beyond the daemon's share. It is
	// not shorter because reopening one takes a slot at the endpoint, and slots are scarce
	// when daemons exceed their shares.
	extraIdleTimeout = time.Second
	// onDemandIdleTimeout is the idle timeout where daemons outnumber connections and their
	// share is 0: each daemon opens a connection on demand, and most daemons need none at
	// any moment.
	onDemandIdleTimeout = 300 * time.Millisecond
	// scarceIdleTimeout replaces onDemandIdleTimeout while the endpoint has recently refused
	// a connection, because other daemons are then waiting for one.
	scarceIdleTimeout = 20 * time.Millisecond
	// refusalWindow is how long a refused connection counts as recent. An endpoint still
	// counts a VM's connections for three seconds after the VM lost power.
	refusalWindow = 3 * time.Second
	// timerMargin is added to timers so that the timeout has passed when they fire.
	timerMargin = time.Millisecond
	// laggingWindow is how long an endpoint that lacked a position counts as lagging.
	laggingWindow = 60 * time.Millisecond
	// minBusyBackoff is the initial backoff after a busy endpoint refused a statement:
	// a fraction of a usual statement's time, in which a slot may become free. The backoff
	// doubles up to maxBusyBackoff, so that many daemons do not keep a full endpoint
	// occupied with refusals.
	minBusyBackoff = 4 * time.Millisecond
	maxBusyBackoff = 256 * time.Millisecond
	// maxCarriedBackoff replaces maxBusyBackoff where only a few carriers share the endpoint.
	maxCarriedBackoff = 16 * time.Millisecond
	// congestionThreshold is the statement time above which the endpoint counts as full:
	// most of that time was spent in the endpoint's queue.
	congestionThreshold = 100 * time.Millisecond
	// averageDivisor sets the moving averages: a new sample has the weight 1/averageDivisor.
	averageDivisor = 8
)

// Pool holds connections to one endpoint. It is safe for concurrent use.
type Pool struct {
	// Endpoint is the endpoint that the connections lead to.
	Endpoint stmt.Endpoint
	dialer   stmt.Dialer
	// onProbeFailed is called after each failed probe of an endpoint that is down.
	onProbeFailed func(error)
	observer      Observer

	// inFlight counts the connections in use and the calls of Get in progress.
	inFlight atomic.Int64

	// mu guards the fields below; no other lock is taken while it is held.
	mu sync.Mutex
	// idle holds the unused connections, the longest unused first.
	idle []*Conn
	// open counts the connections that are open or being opened, dialing those being
	// opened.
	open    int
	dialing int
	// attempts holds the dials that statements wait for, the oldest first. A statement that no
	// longer waits leaves its dial to the pool.
	attempts []*attempt
	// running counts the connections that run a statement or are being opened for one that
	// waits.
	running int
	// share, maxOpen, slots and isCarried are the fields of Share; share is its KeepOpen.
	share     int
	maxOpen   int
	slots     int
	isCarried bool
	isClosed  bool
	// waiting holds the statements that wait.
	waiting turn.Queue[*waiter]
	// book divides the connections among workspaces.
	book *connshare.Book
	// avgDialTime is the moving average of the time to open a connection; 0 when not measured.
	avgDialTime time.Duration
	// noDialUntil is the end of the backoff after a refused connection.
	noDialUntil time.Time
	// lastFullAt is when the endpoint last refused a connection because it was full.
	lastFullAt time.Time
	// slowDialUntil is when the endpoint stops counting as slow to accept connections.
	slowDialUntil time.Time
	// isDown is set from a failure until the endpoint has been reached again.
	isDown bool
	// busyUntil is the end of the backoff after a busy refusal or a slow answer: Get waits
	// until then. busyBackoff is the length of the last backoff before jitter.
	busyUntil   time.Time
	busyBackoff time.Duration
	// busyRefusal is the last busy refusal of a statement; nil once a statement has run.
	busyRefusal *stmt.Error
	// laggingUntil is when the endpoint stops counting as lagging.
	laggingUntil time.Time
	// knownPos is the highest log position that the endpoint has reported.
	knownPos logpos.Pos
	// avgStatementTime is the moving average of statement times; 0 when not measured.
	avgStatementTime time.Duration
	// lastTimedAt is when a statement's time was last added to it.
	lastTimedAt time.Time
	// avgHoldTime is the moving average of the time from Get to Put without the pauses of
	// transactions; 0 when not measured. avgAtEndpoint is that of the part of it in which the
	// endpoint had a statement.
	avgHoldTime   time.Duration
	avgAtEndpoint time.Duration
}

// New returns a pool without connections. onProbeFailed is called, without a lock held,
// after each failed probe of an endpoint that is down.
func New(endpoint stmt.Endpoint, dialer stmt.Dialer, share Share, onProbeFailed func(error)) *Pool {
	p := &Pool{
		Endpoint: endpoint, dialer: dialer, onProbeFailed: onProbeFailed,
		observer: noObserver{}, book: connshare.NewBook(),
	}
	p.SetShare(share)
	return p
}

// Share is a daemon's share of an endpoint's connections.
type Share struct {
	// KeepOpen is how many connections may stay open while unused; 0 where daemons
	// outnumber connections. The sum over all daemons is within the endpoint's limit.
	KeepOpen int
	// MaxOpen is how many connections may be open while statements wait. The sum over all
	// daemons may exceed the endpoint's limit; the endpoint then refuses connections.
	MaxOpen int
	// IsCarried is set where one daemon, the carrier, holds the connections of a whole
	// failure domain. Few daemons then share the endpoint, and the number of connections
	// bounds the endpoint's queue. Backing off after a slow answer would leave the endpoint
	// idle.
	IsCarried bool
	// Slots is how many statements may be at the endpoint at once, besides those of
	// transactions that have begun; 0 means any number. With no more than the endpoint has
	// slots, statements wait here in order of priority and not at the endpoint.
	Slots int
}

// FullError reports that no connection became free by the deadline, or that the wait would
// most likely be too long.
type FullError struct {
	Endpoint string
	// Expected is set if the statement was refused at once because of the expected wait. An
	// early retry would be refused as well.
	Expected bool
}

func (e *FullError) Error() string {
	if e.Expected {
		return fmt.Sprintf("queue of %s is too long", e.Endpoint)
	}
	return fmt.Sprintf("no free connection to %s in time", e.Endpoint)
}

// ClosedError reports a closed pool; its endpoint is gone.
type ClosedError struct{ Endpoint string }

func (e *ClosedError) Error() string { return fmt.Sprintf("endpoint %s is gone", e.Endpoint) }

// DownError reports an endpoint that failed and has not been reached again yet.
type DownError struct{ Endpoint string }

func (e *DownError) Error() string { return fmt.Sprintf("endpoint %s is not reached", e.Endpoint) }

// SetShare changes how many connections may be open, and closes idle ones beyond that.
func (p *Pool) SetShare(share Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share, p.maxOpen, p.slots, p.isCarried = share.KeepOpen, share.MaxOpen, share.Slots, share.IsCarried
	for p.open > p.maxOpen && len(p.idle) > 0 {
		p.closeIdle(0)
	}
}

// tryAcquire returns an idle connection or a place in the queue. It returns neither when
// a connection is being opened for the statement, which w.attempt then tells of.
func (p *Pool) tryAcquire(w *waiter, turnBy time.Time) (*Conn, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, err := p.leaveQueue(w); c != nil || err != nil || w.attempt != nil {
		return c, nil, err
	}
	if p.isClosed {
		return nil, nil, &ClosedError{Endpoint: p.Endpoint.ID}
	}
	if p.isDown {
		return nil, nil, &DownError{Endpoint: p.Endpoint.ID}
	}
	p.closeExpired()
	now := time.Now()
	if p.isBehind(w, now) || !p.mayRun() || now.Before(p.busyUntil) {
		w.retryAfter = 0
		return p.enqueueOrRefuse(w, false, turnBy)
	}
	// Where workspaces use the pool, an idle connection may be of use to AnyState only.
	if p.isBehindOwn(w, now) && !(w.needs.AnyState && p.book.HasWorkspaces(now)) {
		p.startLack(w, choice{}, now)
		return p.enqueueOrRefuse(w, true, turnBy)
	}
	chosen := p.choose(w, now)
	switch chosen.way {
	case useIdle:
		p.waiting.Take(&w.Ticket)
		return p.take(chosen.idle, w), nil, nil
	case open, evict:
		p.waiting.Take(&w.Ticket)
		p.makeRoom(chosen)
		p.startDial(w)
		return nil, nil, nil
	}
	p.startLack(w, chosen, now)
	return p.enqueueOrRefuse(w, true, turnBy)
}

// Put returns a connection on which no statement and no transaction is in progress.
func (p *Pool) Put(c *Conn) {
	p.inFlight.Add(-1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRunning(c)
	if !c.acquiredAt.IsZero() {
		p.avgHoldTime += (c.ranFor - p.avgHoldTime) / averageDivisor
		p.avgAtEndpoint += (c.atEndpoint - p.avgAtEndpoint) / averageDivisor
	}
	p.returned(c)
	p.keep(c)
}

// Discard closes a connection on which an exchange failed or a transaction was left open.
func (p *Pool) Discard(c *Conn) {
	p.inFlight.Add(-1)
	p.discard(c)
}

func (p *Pool) discard(c *Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRunning(c)
	p.book.Return(c.Workspace, 0)
	p.countClosed(c.Workspace)
	p.wakeNext()
}

// Close closes the idle connections; those in use are closed when they are returned. From
// then on Get fails with *ClosedError.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	p.closeAllIdle()
	for p.waiting.Len() > 0 {
		p.wakeNext()
	}
}
