// Package positions reads the log positions of endpoints on behalf of many entries. It
// uses one connection to each endpoint and runs one query at a time on it. A query answers
// all calls that arrived before it was sent, so the load on an endpoint, which has few
// connections, does not grow with the number of entries.
package positions

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

const (
	// queryTimeout bounds a query, including the opening of its connection. It is many
	// round trips long, and much shorter than the deadlines of reads.
	queryTimeout = 300 * time.Millisecond
	// idleTimeout is how long an unused connection to a primary is kept open.
	idleTimeout = 500 * time.Millisecond
)

// Texts returns the text of the statements that a query consists of.
type Texts interface {
	Begin(readOnly bool) string
	Rollback() string
}

// Reader reads the log positions of primaries and replicas. It is safe for concurrent use.
type Reader struct {
	dialer stmt.Dialer
	texts  Texts

	// mu guards batchers, those of primaries, and replicas; both are kept by endpoint id. Nothing
	// else is locked under it.
	mu                 sync.Mutex
	batchers, replicas map[string]*batcher
}

// readFunc reads an endpoint's position on a connection.
type readFunc func(conn stmt.Conn, endpoint stmt.Endpoint, deadline time.Time) (logpos.Pos, error)

// New returns a Reader without connections.
func New(dialer stmt.Dialer, texts Texts) *Reader {
	return &Reader{dialer: dialer, texts: texts, batchers: make(map[string]*batcher), replicas: make(map[string]*batcher)}
}

// QueryRefusedError reports that an endpoint refused a query because it has another role than
// expected or is at capacity.
type QueryRefusedError struct {
	Endpoint string
	Cause    *stmt.Error
}

func (e *QueryRefusedError) Error() string {
	return fmt.Sprintf("endpoint %s told no position: %v", e.Endpoint, e.Cause)
}

// Unwrap returns the endpoint's answer.
func (e *QueryRefusedError) Unwrap() error { return e.Cause }

// batcher batches the calls for one endpoint's position into queries.
type batcher struct {
	// mu guards the fields below.
	mu sync.Mutex
	// isRunning means that the goroutine which runs queries is active.
	isRunning bool
	// next is the query that will answer the calls which arrive now, or nil.
	next *query
	// conn is used only by the running query. idleTimer closes it after idleTimeout.
	conn      stmt.Conn
	idleTimer *time.Timer
}

// query is one request to an endpoint for its position and answers all calls that joined it.
// done is closed once pos and err are set.
type query struct {
	done chan struct{}
	pos  logpos.Pos
	err  error
}

// Position returns a log position at or after every commit that the endpoint acknowledged
// as primary before the call. Errors: *QueryRefusedError, *stmt.BrokenError,
// *stmt.RefusedError, and ctx.Err().
func (r *Reader) Position(ctx context.Context, endpoint stmt.Endpoint) (logpos.Pos, error) {
	return r.query(ctx, r.batchers, endpoint, r.readPosition)
}

// Received returns a position up to which the endpoint, a replica, held the log at some time
// after the call. Errors: those of Position; an endpoint that leads refuses.
func (r *Reader) Received(ctx context.Context, endpoint stmt.Endpoint) (logpos.Pos, error) {
	return r.query(ctx, r.replicas, endpoint, readReceived)
}

// query joins the next query to an endpoint among batchers and waits for its result.
func (r *Reader) query(ctx context.Context, batchers map[string]*batcher, endpoint stmt.Endpoint, read readFunc) (logpos.Pos, error) {
	q := r.batcherOf(batchers, endpoint.ID).join(func(b *batcher, q *query) { r.runQuery(b, endpoint, q, read) })
	select {
	case <-q.done:
		return q.pos, q.err
	case <-ctx.Done():
		return logpos.Pos{}, ctx.Err()
	}
}

func (r *Reader) batcherOf(batchers map[string]*batcher, id string) *batcher {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := batchers[id]
	if b == nil {
		b = &batcher{}
		batchers[id] = b
	}
	return b
}

// join returns the next query. If the goroutine that runs queries is not active, join
// starts it.
func (b *batcher) join(run func(*batcher, *query)) *query {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = &query{done: make(chan struct{})}
	}
	q := b.next
	if !b.isRunning {
		b.isRunning = true
		go b.runQueries(run)
	}
	return q
}

// runQueries runs queries until no call waits for another one.
func (b *batcher) runQueries(run func(*batcher, *query)) {
	for {
		b.mu.Lock()
		q := b.next
		b.next = nil
		if q == nil {
			b.isRunning = false
			b.closeWhenIdle()
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		run(b, q)
		close(q.done)
	}
}

// closeWhenIdle closes the connection after idleTimeout unless it is used again. mu must
// be held.
func (b *batcher) closeWhenIdle() {
	if b.idleTimer != nil {
		b.idleTimer.Stop()
	}
	b.idleTimer = time.AfterFunc(idleTimeout, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if !b.isRunning {
			b.closeConn()
		}
	})
}

func (b *batcher) closeConn() {
	if b.conn != nil {
		b.conn.Close()
		b.conn = nil
	}
}

// runQuery runs one query and sets its result. Nothing else uses the connection meanwhile.
func (r *Reader) runQuery(b *batcher, endpoint stmt.Endpoint, q *query, read readFunc) {
	deadline := time.Now().Add(queryTimeout)
	if b.conn == nil {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		if b.conn, q.err = r.dialer.Dial(ctx, endpoint); q.err != nil {
			b.conn = nil
			return
		}
	}
	q.pos, q.err = read(b.conn, endpoint, deadline)
	if q.err != nil {
		b.closeConn()
	}
}

// readReceived reads what a replica has received from its status.
func readReceived(conn stmt.Conn, endpoint stmt.Endpoint, deadline time.Time) (logpos.Pos, error) {
	status, err := conn.Status(deadline)
	if err != nil {
		return logpos.Pos{}, err
	}
	if status.Role == stmt.Primary {
		return logpos.Pos{}, &QueryRefusedError{Endpoint: endpoint.ID, Cause: &stmt.Error{Code: stmt.CodeBusy, Detail: "is not a replica"}}
	}
	return status.Received, nil
}

// readPosition reads the position by opening a read-write transaction, which only a
// primary accepts, and rolls it back.
func (r *Reader) readPosition(conn stmt.Conn, endpoint stmt.Endpoint, deadline time.Time) (logpos.Pos, error) {
	begun, err := conn.Do(deadline, r.texts.Begin(false), "", logpos.Pos{})
	if err != nil {
		return logpos.Pos{}, err
	}
	if begun.Err != nil {
		return logpos.Pos{}, &QueryRefusedError{Endpoint: endpoint.ID, Cause: begun.Err}
	}
	pos := begun.Pos
	if pos.IsZero() {
		// The status tells whether the log is empty or the answer had no position.
		status, err := conn.Status(deadline)
		if err != nil {
			return logpos.Pos{}, err
		}
		if status.Role != stmt.Primary {
			return logpos.Pos{}, &QueryRefusedError{Endpoint: endpoint.ID, Cause: &stmt.Error{Code: stmt.CodeReadOnly, Detail: "lost its lead"}}
		}
		pos = status.Received
	}
	ended, err := conn.Do(deadline, r.texts.Rollback(), "", logpos.Pos{})
	if err == nil && ended.Err != nil {
		err = &stmt.RefusedError{Reply: ended.Err}
	}
	return pos, err
}
