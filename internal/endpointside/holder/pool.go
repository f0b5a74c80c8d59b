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
	// terminateTimeout bounds the farewell to an endpoint.
	terminateTimeout = 100 * time.Millisecond
	// pingAfter is the idle time after which a connection is checked.
	pingAfter = 2 * time.Second
	// pingTimeout is the time within which an idle connection must answer.
	pingTimeout = time.Second
	// dialPause is the wait after the endpoint said that it has too many
	// connections.
	dialPause = 50 * time.Millisecond
)

// pool shares the connections to one endpoint among exchanges. The sum of open
// and dialing connections never exceeds the limit.
//
// Lock order: pool.mu is a leaf; no other lock is taken while it is held.
type pool struct {
	dialer Dialer

	// mu guards the fields below.
	mu    sync.Mutex
	addr  string
	limit int
	// open counts connections that are idle, in use, being dialed or being
	// closed: the endpoint may count each of them.
	open int
	// retiring counts connections that are being closed.
	retiring int
	idle     []*conn
	// inUse holds the connections that exchanges own, to cut them when the
	// endpoint is replaced.
	inUse   map[*conn]struct{}
	waiters waitQueue
	// pinned counts connections that session state keeps for one caller.
	pinned int
	// dials ends the dials in progress.
	dials map[*waiter]context.CancelFunc
	// services counts connections in use by service.
	services map[string]int
	closed   bool
}

// grant is what a waiter receives: a connection, or leave to dial one.
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
		dialer:   dialer,
		addr:     addr,
		limit:    limit,
		inUse:    map[*conn]struct{}{},
		dials:    map[*waiter]context.CancelFunc{},
		services: map[string]int{},
		waiters:  newWaitQueue(),
	}
}

// request is what an exchange asks of a pool.
type request struct {
	key connKey
	// service is charged with the connection.
	service string
	// share is the most connections that the service may use; 0 means no bound.
	share    int
	priority int32
}

// acquire returns a connection for req. Errors are *outcome.Error with outcome
// not run: no byte of the caller has left. An endpoint that says it has too
// many connections is asked again until the deadline; the caller never sees it.
// A connection that the endpoint closed while it was idle is replaced.
func (p *pool) acquire(ctx context.Context, req request) (*conn, error) {
	for {
		c, err := p.tryAcquire(ctx, req)
		if err == nil && c.isClosedByPeer() {
			c.broken = true
			p.release(c, req.service)
			continue
		}
		if !isTooManyConnections(err) {
			return c, err
		}
		select {
		case <-time.After(dialPause):
		case <-ctx.Done():
			return nil, queueError(ctx)
		}
	}
}

func (p *pool) tryAcquire(ctx context.Context, req request) (*conn, error) {
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
		return p.use(ctx, w, g)
	case <-ctx.Done():
		p.abandon(w)
		return nil, queueError(ctx)
	}
}

// use turns a grant into a connection, dialing when none was handed over.
func (p *pool) use(ctx context.Context, w *waiter, g grant) (*conn, error) {
	if g.err != nil {
		return nil, g.err
	}
	if g.conn != nil {
		return g.conn, nil
	}
	c, err := p.dialer.Dial(p.startDial(ctx, w), g.addr, w.key)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dials[w]()
	delete(p.dials, w)
	if err != nil {
		p.open--
		p.discharge(w.service)
		p.dispatch()
		return nil, dialError(ctx, err)
	}
	if p.closed || p.addr != g.addr {
		p.discharge(w.service)
		p.retire(c)
		return nil, endpointGone()
	}
	p.inUse[c] = struct{}{}
	return c, nil
}

// dispatch grants connections to waiters in order. The caller holds mu.
func (p *pool) dispatch() {
	for w := p.waiters.next(p.mayUse); w != nil; w = p.waiters.next(p.mayUse) {
		g, ok := p.grantFor(w)
		if !ok {
			return
		}
		p.waiters.remove(w)
		p.services[w.service]++
		w.ready <- g
	}
}

// mayUse reports whether the waiter's service is below its share.
func (p *pool) mayUse(w *waiter) bool {
	return w.share == 0 || p.services[w.service] < w.share
}

// grantFor finds a connection or room for one. The caller holds mu.
func (p *pool) grantFor(w *waiter) (grant, bool) {
	if c := p.takeIdle(w.key); c != nil {
		p.inUse[c] = struct{}{}
		return grant{conn: c}, true
	}
	if p.open >= p.limit {
		p.makeRoom()
		return grant{}, false
	}
	p.open++
	return grant{addr: p.addr}, true
}

// makeRoom retires the idle connection that was unused longest, unless enough
// are on their way out for those who wait. The caller holds mu.
func (p *pool) makeRoom() {
	if len(p.idle) == 0 || p.retiring >= p.waiters.len() {
		return
	}
	c := p.idle[0]
	p.idle = p.idle[1:]
	p.retire(c)
}

// retire closes a connection; its place is free once it is closed, so that the
// endpoint never has more than the limit. The caller holds mu.
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

// takeIdle returns the idle connection of key that was used last.
func (p *pool) takeIdle(key connKey) *conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.key == key {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return c
		}
	}
	return nil
}

// pin counts a connection as kept by session state, or no longer so.
func (p *pool) pin(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.pinned++
	} else {
		p.pinned--
	}
}

// release takes a connection back. A broken one is closed.
func (p *pool) release(c *conn, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inUse, c)
	p.discharge(service)
	p.takeBack(c)
}

// takeBack makes a connection idle, or retires one that must not be used. The
// caller holds mu.
func (p *pool) takeBack(c *conn) {
	if c.broken || p.closed || p.open-p.retiring > p.limit {
		p.retire(c)
	} else {
		c.lastUsed = time.Now()
		p.idle = append(p.idle, c)
	}
	p.dispatch()
}

// abandon takes a waiter out of the queue; a grant that crossed is returned.
func (p *pool) abandon(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case g := <-w.ready:
		p.undo(w, g)
	default:
		p.waiters.remove(w)
	}
}

// undo takes a grant back that its waiter no longer wants. The caller holds mu.
func (p *pool) undo(w *waiter, g grant) {
	if g.err != nil {
		return
	}
	p.discharge(w.service)
	if g.conn != nil {
		delete(p.inUse, g.conn)
		p.idle = append(p.idle, g.conn)
	} else {
		p.open--
	}
	p.dispatch()
}

// discharge takes one connection off a service's account. The caller holds mu.
func (p *pool) discharge(service string) {
	p.services[service]--
	if p.services[service] == 0 {
		delete(p.services, service)
	}
}

// setLimit changes the connection limit; connections above it close as they
// become idle.
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

// setAddr moves the pool to another address. Connections to the old one are
// cut: the endpoint there is no longer the slot's.
func (p *pool) setAddr(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr == p.addr {
		return
	}
	p.addr = addr
	p.cutAll()
	p.dispatch()
}

// address returns the endpoint's address.
func (p *pool) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr
}

// cutAll closes idle connections and interrupts those in use, whose owners
// then release them as broken. The caller holds mu.
func (p *pool) cutAll() {
	for _, c := range p.idle {
		c.close()
		p.retire(c)
	}
	p.idle = nil
	for c := range p.inUse {
		_ = c.raw.Close()
	}
}

// interrupt closes the connections in use, whose owners then release them as
// broken, ends dials in progress and refuses those who wait.
func (p *pool) interrupt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.inUse {
		_ = c.raw.Close()
	}
	for _, cancel := range p.dials {
		cancel()
	}
	p.refuseWaiters()
}

// refuseWaiters tells all who wait that the endpoint is gone. The caller holds
// mu.
func (p *pool) refuseWaiters() {
	for w := p.waiters.next(nil); w != nil; w = p.waiters.next(nil) {
		p.waiters.remove(w)
		w.ready <- grant{err: endpointGone()}
	}
}

// startDial returns a context for one dial that interrupt ends.
func (p *pool) startDial(ctx context.Context, w *waiter) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dials[w] = cancel
	return ctx
}

// close cuts all connections and refuses all waiters.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.cutAll()
	p.refuseWaiters()
}

// checkIdle pings connections that were idle for long and closes those that do
// not answer in time. It returns the number closed.
func (p *pool) checkIdle(now time.Time) int {
	stale := p.takeStale(now)
	closed := 0
	for _, c := range stale {
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

// takeStale removes the idle connections that are due for a ping.
func (p *pool) takeStale(now time.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var stale, keep []*conn
	for _, c := range p.idle {
		if now.Sub(c.lastUsed) >= pingAfter {
			stale = append(stale, c)
		} else {
			keep = append(keep, c)
		}
	}
	p.idle = keep
	return stale
}

func (p *pool) returnChecked(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.takeBack(c)
}

// Usage is a pool's state at one moment.
type Usage struct {
	Limit   int
	Open    int
	Idle    int
	Waiting int
	// Pinned counts connections that session state keeps for one caller.
	Pinned int
}

func (p *pool) usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Usage{Limit: p.limit, Open: p.open, Idle: len(p.idle), Waiting: p.waiters.len(), Pinned: p.pinned}
}

func queueError(ctx context.Context) error {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return outcome.NotRunError(outcome.CodeQueryCanceled, outcome.ReasonDeadline,
			"no connection became free before the deadline", nil)
	}
	return outcome.NotRunError(outcome.CodeQueryCanceled, outcome.ReasonCanceled,
		"canceled while waiting for a connection", nil)
}

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

func endpointGone() error {
	return outcome.NotRunError(outcome.CodeCannotConnectNow, outcome.ReasonEndpointDown,
		"the endpoint left its slot", nil)
}
