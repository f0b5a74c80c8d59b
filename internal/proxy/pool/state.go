package pool

import (
	"math/rand/v2"
	"slices"
	"time"

	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

// RecordAnswer records an answer: the log position that the endpoint reported and the
// statement's time. With a time of 0 only the position counts.
func (p *Pool) RecordAnswer(pos logpos.Pos, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.knownPos = logpos.Max(p.knownPos, pos)
	if took <= 0 {
		return
	}
	p.busyRefusal = nil
	if took > congestionThreshold && !p.isCarried {
		p.backOff()
	} else {
		p.busyBackoff /= 2
		p.busyUntil = time.Time{}
	}
	if len(p.idle) > 0 {
		p.wakeNext()
	}
	if p.avgStatementTime == 0 {
		p.avgStatementTime = took
	}
	p.lastTimedAt = time.Now()
	p.avgStatementTime += (took - p.avgStatementTime) / averageDivisor
}

// RecordBusy records that the endpoint refused a statement because it was busy. The pool
// backs off: until the backoff ends, statements wait in order.
func (p *Pool) RecordBusy(refusal *stmt.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busyRefusal = refusal
	p.backOff()
}

// backOff starts a backoff with jitter, unless one is in progress. mu must be held.
func (p *Pool) backOff() {
	now := time.Now()
	if now.Before(p.busyUntil) {
		return
	}
	maxBackoff := maxBusyBackoff
	if p.isCarried {
		maxBackoff = maxCarriedBackoff
	}
	p.busyBackoff = min(max(2*p.busyBackoff, minBusyBackoff), maxBackoff)
	backoff := p.busyBackoff/2 + rand.N(p.busyBackoff/2)
	p.busyUntil = now.Add(backoff)
	time.AfterFunc(backoff+timerMargin, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.wakeNext()
	})
}

// RecordLagging records that the endpoint's log lacked a requested position; pos is the
// position it has.
func (p *Pool) RecordLagging(pos logpos.Pos) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.knownPos = logpos.Max(p.knownPos, pos)
	p.laggingUntil = time.Now().Add(laggingWindow)
}

// IsDown reports whether the endpoint failed and has not been reached again yet.
func (p *Pool) IsDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isDown
}

// State is a snapshot of a pool.
type State struct {
	// Down is set from a failure until the endpoint has been reached again.
	Down bool
	// RecentlyLagged is set when the endpoint recently lacked a requested position.
	RecentlyLagged bool
	// KnownPos is the highest log position that the endpoint has reported.
	KnownPos logpos.Pos
	// InFlight is the number of this daemon's statements, waiting or running.
	InFlight int
	// AvgTime is the moving average of statement times; 0 when not measured.
	AvgTime time.Duration
	// LastTimed is when a statement was last measured.
	LastTimed time.Time
	// Busy is set during the backoff after a busy refusal or a slow answer.
	Busy bool
	// HasIdle is set when a connection is available at once.
	HasIdle bool
}

// HasIdle reports whether a connection of a workspace is idle.
func (p *Pool) HasIdle(workspace string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, func(c *Conn) bool { return c.Workspace == workspace })
}

// State returns a snapshot of the pool.
func (p *Pool) State() State {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return State{
		Down: p.isDown, RecentlyLagged: now.Before(p.laggingUntil),
		KnownPos: p.knownPos, InFlight: int(p.inFlight.Load()), AvgTime: p.avgStatementTime, LastTimed: p.lastTimedAt,
		Busy: now.Before(p.busyUntil), HasIdle: len(p.idle) > 0,
	}
}
