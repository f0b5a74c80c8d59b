package pool

import (
	"context"
	"errors"
	"time"

	"hemlockmast/internal/shared/stmt"
)

// RecordFailure records that the endpoint did not answer. It closes the idle connections,
// which are most likely broken as well. The endpoint stays down until a probe reaches it.
func (p *Pool) RecordFailure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markDown()
	p.wakeNext()
}

// markDown closes the idle connections and starts the probe. mu must be held.
func (p *Pool) markDown() {
	p.closeAllIdle()
	if p.isDown || p.isClosed {
		return
	}
	p.isDown = true
	go p.probe()
}

// probe dials until the endpoint answers or the pool is closed, and adds the new connection
// to the pool. A refusal because the endpoint is full is an answer.
func (p *Pool) probe() {
	for {
		time.Sleep(probeInterval)
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		raw, err := p.dialer.Dial(ctx, p.Endpoint)
		cancel()
		var refused *stmt.RefusedError
		isFull := errors.As(err, &refused) && refused.Reply.Code == stmt.CodeTooMany
		if p.finishProbe(raw, err == nil || isFull) {
			return
		}
		p.onProbeFailed(err)
	}
}

// finishProbe records the result of one probe and reports whether probing is over. raw is
// nil when the dial failed.
func (p *Pool) finishProbe(raw stmt.Conn, isReached bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !isReached && !p.isClosed {
		return false
	}
	p.isDown = false
	if raw == nil {
		return true
	}
	if p.isClosed || p.open >= p.maxOpen || p.book.HasWorkspaces(time.Now()) {
		// A connection of no workspace would take the place of one that can be used.
		raw.Close()
		return true
	}
	p.countOpen("")
	p.offer(NewConn(raw))
	return true
}
