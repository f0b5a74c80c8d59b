package pool

import (
	"time"

	"hemlockmast/internal/shared/logpos"
)

// Answered notes an answer: the position told and the time taken.
func (p *Pool) Answered(pos logpos.Pos, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known = logpos.Max(p.known, pos)
	if took <= 0 {
		return
	}
	if p.usual == 0 {
		p.usual = took
	}
	p.usual += (took - p.usual) / timeWeight
}

// Lagging notes that the endpoint lacked a position; pos is what it has.
func (p *Pool) Lagging(pos logpos.Pos) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known = logpos.Max(p.known, pos)
	p.refused = time.Now().Add(refusedTime)
}

// IsDown reports whether the endpoint is not reached.
func (p *Pool) IsDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

// State is what is known of the endpoint at one moment.
type State struct {
	Down          bool
	RefusedLately bool
	Known         logpos.Pos
	InFlight      int
	Usual         time.Duration
	// HasIdle is set when a connection can be had at once.
	HasIdle bool
}

// State returns what is known of the endpoint.
func (p *Pool) State() State {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return State{
		Down: p.down, RefusedLately: now.Before(p.refused),
		Known: p.known, InFlight: int(p.inFlight.Load()), Usual: p.usual,
		HasIdle: len(p.idle) > 0,
	}
}
