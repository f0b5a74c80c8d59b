package driver

import (
	"context"
	"errors"
	"sync"

	"hemlockmast/internal/controlgroup/failover"
	"hemlockmast/internal/endpointside/endpoint"
)

// attempt holds the connections of one promotion attempt or one correction, one
// for each slot.
type attempt struct {
	g      *group
	ctx    context.Context
	cancel context.CancelFunc

	// failureRecorded holds the slots for which Unanswered was recorded. Only the
	// group's goroutine uses it.
	failureRecorded map[string]bool

	mu    sync.Mutex // guards conns
	conns map[string]*slotConn
}

// slotConn runs the commands of one slot, one at a time.
type slotConn struct {
	sem chan struct{} // holds one token while a command runs; guards ctl
	ctl endpoint.Controller
}

func newAttempt(g *group) *attempt {
	ctx, cancel := context.WithCancel(g.ctx)
	return &attempt{g: g, ctx: ctx, cancel: cancel, failureRecorded: map[string]bool{}, conns: map[string]*slotConn{}}
}

// firstFailure notes a failure of slot and reports whether it is the slot's first in
// the attempt.
func (a *attempt) firstFailure(slot string) bool {
	first := !a.failureRecorded[slot]
	a.failureRecorded[slot] = true
	return first
}

// conn returns the slot's connection, which is not yet open if it is new. It is
// closed when the attempt ends.
func (a *attempt) conn(slot string) *slotConn {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.conns[slot]
	if l == nil {
		l = &slotConn{sem: make(chan struct{}, 1)}
		a.conns[slot] = l
		context.AfterFunc(a.ctx, l.close)
	}
	return l
}

// close closes the connection once the command in progress has ended.
func (l *slotConn) close() {
	l.sem <- struct{}{}
	defer func() { <-l.sem }()
	l.disconnect()
}

// disconnect closes the connection if it is open. The caller holds sem.
func (l *slotConn) disconnect() {
	if l.ctl != nil {
		_ = l.ctl.Close()
		l.ctl = nil
	}
}

// command issues one endpoint command and returns the endpoint's answer.
type command func(ctx context.Context, ctl endpoint.Controller) (endpoint.Status, error)

// startCommand runs cmd in the background and posts its result as an event to
// the group. toEvent converts the answer. A term of 0 means that failures are
// dropped.
func (a *attempt) startCommand(slot string, term uint64, cmd command, toEvent func(endpoint.Status) failover.Event) {
	a.g.d.tasks.Go(func() error {
		st, err := a.runCommand(slot, cmd)
		event := eventFor(slot, term, st, err, toEvent)
		if event != nil && a.ctx.Err() == nil {
			a.g.post(attemptMessage{event})
		}
		return nil
	})
}

// eventFor returns the event for the result of a command, or nil if the group
// need not know.
func eventFor(slot string, term uint64, st endpoint.Status, err error, toEvent func(endpoint.Status) failover.Event) failover.Event {
	var fenced *endpoint.FencedError
	switch {
	case err == nil:
		return toEvent(st)
	case errors.As(err, &fenced):
		return failover.Refused{Slot: slot, Term: term, FencedTerm: fenced.FencedTerm}
	case term == 0:
		return nil
	}
	return failover.Failed{Slot: slot, Term: term}
}

// runCommand runs cmd on the slot's connection, which it opens if necessary. It
// closes the connection if the command fails, unless the endpoint refused its
// term.
func (a *attempt) runCommand(slot string, cmd command) (endpoint.Status, error) {
	l := a.conn(slot)
	l.sem <- struct{}{}
	defer func() { <-l.sem }()
	ctx, cancel := context.WithTimeout(a.ctx, a.g.d.cfg.CommandTimeout)
	defer cancel()
	if l.ctl == nil {
		ctl, err := a.g.d.cfg.Connect(ctx, a.g.name, slot)
		if err != nil {
			return endpoint.Status{}, err
		}
		l.ctl = ctl
	}
	st, err := cmd(ctx, l.ctl)
	var fenced *endpoint.FencedError
	if err != nil && !errors.As(err, &fenced) || a.ctx.Err() != nil {
		l.disconnect()
	}
	if err == nil && (st.Group != a.g.name || st.Slot != slot) {
		l.disconnect()
		return st, &SlotError{Group: a.g.name, Slot: slot, Status: st}
	}
	return st, err
}

// SlotError reports an endpoint that is in another slot than expected. Status is
// what it reported.
type SlotError struct {
	Group, Slot string
	Status      endpoint.Status
}

func (e *SlotError) Error() string {
	return "endpoint of group " + e.Group + " slot " + e.Slot +
		" reports that it is in group " + e.Status.Group + " slot " + e.Status.Slot
}

// AddressError reports a slot whose endpoint has no known address.
type AddressError struct{ Group, Slot string }

func (e *AddressError) Error() string {
	return "no address is known for group " + e.Group + " slot " + e.Slot
}
