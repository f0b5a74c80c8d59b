// Package marker asks primaries for the position of their log on behalf of many
// entries. Each primary has few connections and is asked by one question at a time,
// however many entries wait: a question answers all who asked before it was sent.
package marker

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

const (
	// questionTimeout bounds one question with the opening of its connection: many
	// times a round trip, and well within the deadlines of reads.
	questionTimeout = 300 * time.Millisecond
	// idleTime is how long the connection to a primary is kept unused.
	idleTime = 500 * time.Millisecond
)

// Texts writes the statements of a question.
type Texts interface {
	Begin(readOnly bool) string
	Rollback() string
}

// Marker is safe for concurrent use.
type Marker struct {
	dialer stmt.Dialer
	texts  Texts

	// mu guards lines; nothing else is locked under it.
	mu    sync.Mutex
	lines map[string]*line
}

// New returns a Marker without connections.
func New(dialer stmt.Dialer, texts Texts) *Marker {
	return &Marker{dialer: dialer, texts: texts, lines: make(map[string]*line)}
}

// NotLeadingError reports an endpoint that refused the question: it leads no more, or
// has no room.
type NotLeadingError struct {
	Endpoint string
	Cause    *stmt.Error
}

func (e *NotLeadingError) Error() string {
	return fmt.Sprintf("endpoint %s told no position: %v", e.Endpoint, e.Cause)
}

// Unwrap returns the endpoint's answer.
func (e *NotLeadingError) Unwrap() error { return e.Cause }

// line is the questions to one endpoint.
type line struct {
	// mu guards the fields below.
	mu sync.Mutex
	// asking is set while a question is on its way; next is answered by the one
	// after it.
	asking bool
	next   *question
	// conn is used by the question on its way, idle closes it.
	conn stmt.Conn
	idle *time.Timer
}

type question struct {
	done chan struct{}
	pos  logpos.Pos
	err  error
}

// Position returns a position that covers every commit which the endpoint, as primary,
// acknowledged before the call. Errors: *NotLeadingError, *stmt.BrokenError,
// *stmt.RefusedError, the context's.
func (m *Marker) Position(ctx context.Context, endpoint stmt.Endpoint) (logpos.Pos, error) {
	q := m.lineOf(endpoint.ID).join(func(l *line, q *question) { m.run(l, endpoint, q) })
	select {
	case <-q.done:
		return q.pos, q.err
	case <-ctx.Done():
		return logpos.Pos{}, ctx.Err()
	}
}

func (m *Marker) lineOf(id string) *line {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.lines[id]
	if l == nil {
		l = &line{}
		m.lines[id] = l
	}
	return l
}

// join adds a call to the next question and starts it if none is on its way.
func (l *line) join(run func(*line, *question)) *question {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.next == nil {
		l.next = &question{done: make(chan struct{})}
	}
	q := l.next
	if !l.asking {
		l.asking = true
		go l.work(run)
	}
	return q
}

// work runs questions until nobody waits for another.
func (l *line) work(run func(*line, *question)) {
	for {
		l.mu.Lock()
		q := l.next
		l.next = nil
		if q == nil {
			l.asking = false
			l.closeLater()
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		run(l, q)
		close(q.done)
	}
}

// closeLater closes the connection unless it is used again. mu must be held.
func (l *line) closeLater() {
	if l.idle != nil {
		l.idle.Stop()
	}
	l.idle = time.AfterFunc(idleTime, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if !l.asking {
			l.drop()
		}
	})
}

// drop closes the connection.
func (l *line) drop() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// run asks one question. It alone uses the line's connection meanwhile.
func (m *Marker) run(l *line, endpoint stmt.Endpoint, q *question) {
	deadline := time.Now().Add(questionTimeout)
	if l.conn == nil {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		if l.conn, q.err = m.dialer.Dial(ctx, endpoint); q.err != nil {
			l.conn = nil
			return
		}
	}
	q.pos, q.err = m.ask(l.conn, endpoint, deadline)
	if q.err != nil {
		l.drop()
	}
}

// ask opens a transaction, which only a primary does, and rolls it back.
func (m *Marker) ask(conn stmt.Conn, endpoint stmt.Endpoint, deadline time.Time) (logpos.Pos, error) {
	begun, err := conn.Do(deadline, m.texts.Begin(false), "", logpos.Pos{})
	if err != nil {
		return logpos.Pos{}, err
	}
	if begun.Err != nil {
		return logpos.Pos{}, &NotLeadingError{Endpoint: endpoint.ID, Cause: begun.Err}
	}
	pos := begun.Pos
	if pos.IsZero() {
		// A status tells whether the log is empty or the position was left out.
		status, err := conn.Status(deadline)
		if err != nil {
			return logpos.Pos{}, err
		}
		if status.Role != stmt.Primary {
			return logpos.Pos{}, &NotLeadingError{Endpoint: endpoint.ID, Cause: &stmt.Error{Code: stmt.CodeReadOnly, Detail: "lost its lead"}}
		}
		pos = status.Received
	}
	ended, err := conn.Do(deadline, m.texts.Rollback(), "", logpos.Pos{})
	if err == nil && ended.Err != nil {
		err = &stmt.RefusedError{Reply: ended.Err}
	}
	return pos, err
}
