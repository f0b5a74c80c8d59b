package driver

import (
	"context"
	"errors"
	"sync"

	"hemlockmast/internal/controlgroup/failover"
	"hemlockmast/internal/endpointside/endpoint"
)

// attempt holds the connections of one promotion attempt, one a slot.
type attempt struct {
	g      *group
	ctx    context.Context
	cancel context.CancelFunc

	// failed names the slots whose failure was recorded; used by the group's
	// goroutine only.
	failed map[string]bool

	mu    sync.Mutex // guards links
	links map[string]*slotLink
}

// slotLink serves the commands of one slot, one at a time.
type slotLink struct {
	busy chan struct{} // holds one token while a command runs; guards ctl
	ctl  endpoint.Controller
}

func newAttempt(g *group) *attempt {
	ctx, cancel := context.WithCancel(g.ctx)
	return &attempt{g: g, ctx: ctx, cancel: cancel, failed: map[string]bool{}, links: map[string]*slotLink{}}
}

func (a *attempt) firstFailure(slot string) bool {
	first := !a.failed[slot]
	a.failed[slot] = true
	return first
}

func (a *attempt) link(slot string) *slotLink {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.links[slot]
	if l == nil {
		l = &slotLink{busy: make(chan struct{}, 1)}
		a.links[slot] = l
		context.AfterFunc(a.ctx, l.close)
	}
	return l
}

// close drops the connection once the command in progress has ended.
func (l *slotLink) close() {
	l.busy <- struct{}{}
	defer func() { <-l.busy }()
	l.drop()
}

func (l *slotLink) drop() {
	if l.ctl != nil {
		_ = l.ctl.Close()
		l.ctl = nil
	}
}

// command issues one command in the background and posts the answer.
type command func(ctx context.Context, ctl endpoint.Controller) (endpoint.Status, error)

func (a *attempt) start(slot string, term uint64, do command, answer func(endpoint.Status) failover.Event) {
	a.g.d.tasks.Go(func() error {
		st, err := a.issue(slot, do)
		event := answerOf(slot, term, st, err, answer)
		if event != nil && a.ctx.Err() == nil {
			a.g.post(stepped{event})
		}
		return nil
	})
}

func answerOf(slot string, term uint64, st endpoint.Status, err error, answer func(endpoint.Status) failover.Event) failover.Event {
	var fenced *endpoint.FencedError
	switch {
	case err == nil:
		return answer(st)
	case errors.As(err, &fenced):
		return failover.Refused{Slot: slot, Term: term, FencedTerm: fenced.FencedTerm}
	case term == 0:
		return nil
	}
	return failover.Failed{Slot: slot, Term: term}
}

// issue runs do on the slot's connection, which it opens where there is none.
// A connection whose command failed is not used again.
func (a *attempt) issue(slot string, do command) (endpoint.Status, error) {
	l := a.link(slot)
	l.busy <- struct{}{}
	defer func() { <-l.busy }()
	ctx, cancel := context.WithTimeout(a.ctx, a.g.d.cfg.CommandTimeout)
	defer cancel()
	if l.ctl == nil {
		ctl, err := a.g.d.cfg.Connect(ctx, a.g.name, slot)
		if err != nil {
			return endpoint.Status{}, err
		}
		l.ctl = ctl
	}
	st, err := do(ctx, l.ctl)
	var fenced *endpoint.FencedError
	if err != nil && !errors.As(err, &fenced) || a.ctx.Err() != nil {
		l.drop()
	}
	if err == nil && (st.Group != a.g.name || st.Slot != slot) {
		l.drop()
		return st, &SlotError{Group: a.g.name, Slot: slot, Status: st}
	}
	return st, err
}

// SlotError reports an endpoint that says that it is in another slot.
type SlotError struct {
	Group, Slot string
	Status      endpoint.Status
}

func (e *SlotError) Error() string {
	return "endpoint of group " + e.Group + " slot " + e.Slot +
		" says that it is in group " + e.Status.Group + " slot " + e.Status.Slot
}

// AddressError reports a slot whose endpoint's address is not known.
type AddressError struct{ Group, Slot string }

func (e *AddressError) Error() string {
	return "no address is known for group " + e.Group + " slot " + e.Slot
}
