package holder

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/outcome"
)

const (
	// terminateTimeout bounds the sending of Terminate to an endpoint.
	terminateTimeout = 100 * time.Millisecond
	// pingIdleAfter is the idle time after which a connection is pinged.
	pingIdleAfter = 2 * time.Second
	// pingTimeout is the time within which an idle connection must answer a ping.
	pingTimeout = time.Second
	// dialRetryDelay is the time until the next dial after the endpoint refused
	// one because it has too many connections.
	dialRetryDelay = 50 * time.Millisecond
)

// pool shares the connections to one endpoint among exchanges. The number of
// open connections and dials in progress never exceeds the limit.
//
// Lock order: pool.mu is a leaf; no other lock is taken while it is held.
type pool struct {
	dialer Dialer

	// mu guards the fields below.
	mu    sync.Mutex
	addr  string
	limit int
	// open counts the connections that are idle, in use, being dialed or being
	// closed, because the endpoint may count each of them.
	open int
	// retiring counts the connections that are being closed.
	retiring int
	// idle holds the idle connections in the order in which they were returned.
	idle []*conn
	// inUse holds the connections that exchanges own, so that they can be closed
	// when the endpoint is replaced.
	inUse   map[*conn]struct{}
	waiters waitQueue
	// pinned counts the connections that session state keeps for one caller.
	pinned int
	// cancelDials holds the cancel function of each dial in progress.
	cancelDials map[*waiter]context.CancelFunc
	// connsByService counts the connections granted to each service.
	connsByService map[string]int
	closed         bool
}

// grant is what a waiter receives: an idle connection, permission to dial one at
// addr, or an error.
type grant struct {
	conn *conn
	addr string
	err  error
}

// waiter is an exchange that waits for a connection.
type waiter struct {
	key      connKey
	service  string
	share    int
	priority int32
	ready    chan grant
	elem     *list.Element
}

func newPool(dialer Dialer, addr string, limit int) *pool {
	return &pool{
		dialer:         dialer,
		addr:           addr,
		limit:          limit,
		inUse:          map[*conn]struct{}{},
		cancelDials:    map[*waiter]context.CancelFunc{},
		connsByService: map[string]int{},
		waiters:        newWaitQueue(),
	}
}

// connRequest is a request of an exchange for a connection.
type connRequest struct {
	key connKey
	// service is the service whose share the connection counts towards.
	service string
	// share is the maximum number of connections that the service may use; 0
	// means no limit.
	share int
	// priority orders the waiters, highest first.
	priority int32
}

// acquire returns a connection for req. The error is an *outcome.Error with
// outcome not run, because nothing of the caller's request was sent. If the
// endpoint has too many connections, acquire retries until the deadline, so that
// the caller never sees this error. A connection that the endpoint closed while
// it was idle is replaced.
func (p *pool) acquire(ctx context.Context, req connRequest) (*conn, error) {
	for {
		c, err := p.tryAcquire(ctx, req)
		if err == nil && c.isUnusable() {
			c.broken = true
			p.release(c, req.service)
			continue
		}
		if !isTooManyConnections(err) {
			return c, err
		}
		select {
		case <-time.After(dialRetryDelay):
		case <-ctx.Done():
			return nil, queueError(ctx)
		}
	}
}

// tryAcquire waits for a grant and turns it into a connection.
func (p *pool) tryAcquire(ctx context.Context, req connRequest) (*conn, error) {
	w := &waiter{
		key: req.key, service: req.service, share: req.share,
		priority: req.priority, ready: make(chan grant, 1),
	}
	p.mu.Lock()
	p.waiters.push(w)
	p.dispatch()
	p.mu.Unlock()

	select {
	case g := <-w.ready:
		return p.connFromGrant(ctx, w, g)
	case <-ctx.Done():
		p.cancelWait(w)
		return nil, queueError(ctx)
	}
}

// connFromGrant returns the connection of a grant, dialing one if the grant has
// none.
func (p *pool) connFromGrant(ctx context.Context, w *waiter, g grant) (*conn, error) {
	if g.err != nil {
		return nil, g.err
	}
	if g.conn != nil {
		return g.conn, nil
	}
	c, err := p.dialer.Dial(p.dialContext(ctx, w), g.addr, w.key)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelDials[w]()
	delete(p.cancelDials, w)
	if err != nil {
		p.open--
		p.decrementService(w.service)
		p.dispatch()
		return nil, dialError(ctx, err)
	}
	if p.closed || p.addr != g.addr {
		p.decrementService(w.service)
		p.retire(c)
		return nil, endpointGoneError()
	}
	p.inUse[c] = struct{}{}
	return c, nil
}

// dispatch grants connections to waiters in order. The caller holds mu.
func (p *pool) dispatch() {
	for w := p.waiters.next(p.belowShare); w != nil; w = p.waiters.next(p.belowShare) {
		g, ok := p.grantFor(w)
		if !ok {
			return
		}
		p.waiters.remove(w)
		p.connsByService[w.service]++
		w.ready <- g
	}
}

// belowShare reports whether the waiter's service may use another connection.
func (p *pool) belowShare(w *waiter) bool {
	return w.share == 0 || p.connsByService[w.service] < w.share
}

// grantFor returns an idle connection or permission to dial one, or false if the
// limit is reached. The caller holds mu.
func (p *pool) grantFor(w *waiter) (grant, bool) {
	if c := p.popIdle(w.key); c != nil {
		p.inUse[c] = struct{}{}
		return grant{conn: c}, true
	}
	if p.open >= p.limit {
		p.retireOldestIdle()
		return grant{}, false
	}
	p.open++
	return grant{addr: p.addr}, true
}

// retireOldestIdle retires the idle connection that was not used for the longest
// time, unless one connection per waiter is being closed already. The caller
// holds mu.
func (p *pool) retireOldestIdle() {
	if len(p.idle) == 0 || p.retiring >= p.waiters.len() {
		return
	}
	c := p.idle[0]
	p.idle = p.idle[1:]
	p.retire(c)
}

// retire closes a connection in the background. The connection counts as open
// until it is closed, so that the endpoint never has more than the limit. The
// caller holds mu.
func (p *pool) retire(c *conn) {
	p.retiring++
	go func() {
		c.terminate()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.retiring--
		p.open--
		p.dispatch()
	}()
}

// popIdle removes and returns the most recently used idle connection of key, nil
// if there is none.
func (p *pool) popIdle(key connKey) *conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.key == key {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return c
		}
	}
	return nil
}

// countPinned adds one pinned connection if on is set and subtracts one
// otherwise.
func (p *pool) countPinned(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.pinned++
	} else {
		p.pinned--
	}
}

// release returns a connection to the pool. A broken one is closed.
func (p *pool) release(c *conn, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inUse, c)
	p.decrementService(service)
	p.makeIdleOrRetire(c)
}

// makeIdleOrRetire makes a connection idle, or retires it if it is broken or
// above the limit or the pool is closed. The caller holds mu.
func (p *pool) makeIdleOrRetire(c *conn) {
	if c.broken || p.closed || p.open-p.retiring > p.limit {
		p.retire(c)
	} else {
		c.lastUsed = time.Now()
		p.idle = append(p.idle, c)
	}
	p.dispatch()
}

// cancelWait removes a waiter from the queue. A grant that it received meanwhile
// is returned.
func (p *pool) cancelWait(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case g := <-w.ready:
		p.returnGrant(w, g)
	default:
		p.waiters.remove(w)
	}
}

// returnGrant takes back a grant whose waiter has given up. The caller holds mu.
func (p *pool) returnGrant(w *waiter, g grant) {
	if g.err != nil {
		return
	}
	p.decrementService(w.service)
	if g.conn != nil {
		delete(p.inUse, g.conn)
		p.idle = append(p.idle, g.conn)
	} else {
		p.open--
	}
	p.dispatch()
}

// decrementService subtracts one connection from a service's count. The caller
// holds mu.
func (p *pool) decrementService(service string) {
	p.connsByService[service]--
	if p.connsByService[service] == 0 {
		delete(p.connsByService, service)
	}
}

// setLimit changes the connection limit. Connections above it are closed when
// they become idle.
func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for p.open-p.retiring > p.limit && len(p.idle) > 0 {
		c := p.idle[0]
		p.idle = p.idle[1:]
		p.retire(c)
	}
	p.dispatch()
}

// setAddr changes the endpoint's address. Connections to the old address are
// closed, because the endpoint there no longer belongs to the slot.
func (p *pool) setAddr(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr == p.addr {
		return
	}
	p.addr = addr
	p.closeAll()
	p.dispatch()
}

// address returns the endpoint's address.
func (p *pool) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr
}

// closeAll closes all connections. The owners of those in use then release them
// as broken. The caller holds mu.
func (p *pool) closeAll() {
	for _, c := range p.idle {
		c.close()
		p.retire(c)
	}
	p.idle = nil
	for c := range p.inUse {
		_ = c.raw.Close()
	}
}

// interrupt closes the connections in use, cancels dials in progress and refuses
// all waiters. The owners of the connections then release them as broken.
func (p *pool) interrupt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.inUse {
		_ = c.raw.Close()
	}
	for _, cancel := range p.cancelDials {
		cancel()
	}
	p.refuseWaiters()
}

// refuseWaiters fails all waiters, because the pool is closed or its endpoint was
// superseded as primary. The caller holds mu.
func (p *pool) refuseWaiters() {
	for w := p.waiters.next(nil); w != nil; w = p.waiters.next(nil) {
		p.waiters.remove(w)
		w.ready <- grant{err: endpointGoneError()}
	}
}

// dialContext returns a context for one dial; interrupt cancels it.
func (p *pool) dialContext(ctx context.Context, w *waiter) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelDials[w] = cancel
	return ctx
}

// close closes all connections and refuses all waiters.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeAll()
	p.refuseWaiters()
}

// checkIdle pings the connections that have been idle for pingIdleAfter and
// closes those that do not answer within pingTimeout. It returns the number of
// connections closed.
func (p *pool) checkIdle(now time.Time) int {
	due := p.popPingDue(now)
	closed := 0
	for _, c := range due {
		if err := c.ping(pingTimeout); err != nil {
			c.close()
			closed++
		} else {
			_ = c.raw.SetDeadline(time.Time{})
		}
		p.returnChecked(c)
	}
	return closed
}

// popPingDue removes and returns the idle connections that are due for a ping.
func (p *pool) popPingDue(now time.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due, keep []*conn
	for _, c := range p.idle {
		if now.Sub(c.lastUsed) >= pingIdleAfter {
			due = append(due, c)
		} else {
			keep = append(keep, c)
		}
	}
	p.idle = keep
	return due
}

// returnChecked returns a connection to the pool after its ping.
func (p *pool) returnChecked(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.makeIdleOrRetire(c)
}

// Usage counts the connections of a slot at one moment.
type Usage struct {
	// Limit is the maximum number of connections.
	Limit int
	// Open counts all connections, also those being dialed or closed.
	Open int
	// Idle counts the connections that no exchange uses.
	Idle int
	// Waiting counts the exchanges that wait for a connection.
	Waiting int
	// Pinned counts the connections that session state keeps for one caller.
	Pinned int
}

func (p *pool) usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Usage{Limit: p.limit, Open: p.open, Idle: len(p.idle), Waiting: p.waiters.len(), Pinned: p.pinned}
}

// queueError returns the error for a caller whose context ended while it waited
// for a connection.
func queueError(ctx context.Context) error {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return outcome.NotRunError(outcome.CodeQueryCanceled, outcome.ReasonDeadline,
			"no connection became free before the deadline", nil)
	}
	return outcome.NotRunError(outcome.CodeQueryCanceled, outcome.ReasonCanceled,
		"canceled while waiting for a connection", nil)
}

// dialError returns the error for a caller after a failed dial.
func dialError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return queueError(ctx)
	}
	return outcome.NotRunError(outcome.CodeCannotConnectNow, outcome.ReasonEndpointDown,
		"no connection to the endpoint", err)
}

// isTooManyConnections reports whether a dial failed with SQLSTATE 53300.
func isTooManyConnections(err error) bool {
	var pgErr *pgconn.PgError
	return errors.As(err, &pgErr) && pgErr.Code == endpoint.CodeTooManyConnections
}

// endpointGoneError returns the error for a caller whose endpoint left its slot
// or was superseded as primary.
func endpointGoneError() error {
	return outcome.NotRunError(outcome.CodeCannotConnectNow, outcome.ReasonEndpointDown,
		"the endpoint left its slot", nil)
}
