// Package acks holds callers back until their commits are confirmed. It feeds
// the statuses of a group's endpoints to the decision of package commitack.
package acks

import (
	"context"
	"sync"
	"time"

	"hemlockmast/internal/commitack"
	"hemlockmast/internal/endpoint"
	"hemlockmast/internal/logpos"
	"hemlockmast/internal/outcome"
	"hemlockmast/internal/quorum"
)

// expiryInterval is the time between two looks at deadlines.
const expiryInterval = 20 * time.Millisecond

// Members returns the configured slots of a group with the incarnations that
// count, and the slot that is primary in a term; ok is false while the primary
// of that term is not known.
type Members func(group string, term uint64) (members []quorum.Member, primary string, ok bool)

// Tracker waits for confirmations of all groups.
//
// Lock order: Tracker.mu before group.mu.
type Tracker struct {
	members Members

	// mu guards groups.
	mu     sync.Mutex
	groups map[string]*group
}

// group tracks the commits of one database group.
type group struct {
	// mu guards the fields below.
	mu     sync.Mutex
	acks   *commitack.Group
	nextID commitack.ID
	wait   map[commitack.ID]chan commitack.Result
	// last is the newest status of each slot, replayed into a new term's state.
	last    map[string]endpoint.Status
	results []commitack.Result
}

// New returns a Tracker that learns the members of groups from members.
func New(members Members) *Tracker {
	return &Tracker{members: members, groups: map[string]*group{}}
}

// Await implements the holder package's Acknowledger.
func (t *Tracker) Await(ctx context.Context, name string, pos logpos.Pos) (string, error) {
	g := t.group(name)
	ready := make(chan commitack.Result, 1)
	deadline, ok := ctx.Deadline()
	if !ok {
		return "", outcome.UnknownError(outcome.ReasonDeadline, "a commit without a deadline cannot wait", nil)
	}
	id, err := t.add(g, name, pos, deadline, ready)
	if err != nil {
		return "", err
	}
	select {
	case res := <-ready:
		return verdict(res)
	case <-ctx.Done():
		g.forget(id)
		return "", notConfirmed()
	}
}

func verdict(res commitack.Result) (string, error) {
	if res.Outcome == commitack.Confirmed {
		return res.Slot, nil
	}
	return "", notConfirmed()
}

func notConfirmed() error {
	return outcome.UnknownError(outcome.ReasonNotConfirmed,
		"the commit was not confirmed by a majority of the group's slots", nil)
}

func (t *Tracker) group(name string) *group {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[name]
	if g == nil {
		g = &group{wait: map[commitack.ID]chan commitack.Result{}, last: map[string]endpoint.Status{}}
		t.groups[name] = g
	}
	return g
}

// add records the commit. The group's state is made anew when the commit
// belongs to a later term than the state.
func (t *Tracker) add(g *group, name string, pos logpos.Pos, deadline time.Time, ready chan commitack.Result) (commitack.ID, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.acks == nil || g.acks.Term() < pos.Term {
		members, primary, ok := t.members(name, pos.Term)
		if !ok {
			return 0, notConfirmed()
		}
		if err := g.begin(pos.Term, primary, members); err != nil {
			return 0, outcome.UnknownError(outcome.ReasonNotConfirmed, "the group's slots changed", err)
		}
	}
	g.nextID++
	id := g.nextID
	g.wait[id] = ready
	results, err := g.acks.Add(g.results[:0], id, pos, deadline)
	if err != nil {
		delete(g.wait, id)
		return 0, outcome.UnknownError(outcome.ReasonSuperseded, "the primary was superseded", err)
	}
	g.deliver(results)
	return id, nil
}

// begin starts the state of a term with what is known of the slots.
func (g *group) begin(term uint64, primary string, members []quorum.Member) error {
	if g.acks != nil {
		g.deliver(g.acks.Close(g.results[:0]))
	}
	acks, err := commitack.New(term, primary, members)
	if err != nil {
		return err
	}
	g.acks = acks
	for _, status := range g.last {
		g.observe(status)
	}
	return nil
}

// observe takes a status in. The caller holds mu.
func (g *group) observe(status endpoint.Status) {
	results, err := g.acks.Observe(g.results[:0], status)
	if err != nil {
		return
	}
	g.deliver(results)
}

// deliver wakes those whose verdict is known. The caller holds mu.
func (g *group) deliver(results []commitack.Result) {
	for _, res := range results {
		if ready := g.wait[res.ID]; ready != nil {
			ready <- res
			delete(g.wait, res.ID)
		}
	}
	g.results = results[:0]
}

func (g *group) forget(id commitack.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.wait, id)
}

// Observe takes in the status of an endpoint.
func (t *Tracker) Observe(status endpoint.Status) {
	g := t.group(status.Group)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last[status.Slot] = status
	if g.acks != nil {
		g.observe(status)
	}
}

// Run ends waits whose deadline has passed, until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			t.expire(now)
		case <-ctx.Done():
			return nil
		}
	}
}

func (t *Tracker) expire(now time.Time) {
	t.mu.Lock()
	groups := make([]*group, 0, len(t.groups))
	for _, g := range t.groups {
		groups = append(groups, g)
	}
	t.mu.Unlock()
	for _, g := range groups {
		g.mu.Lock()
		if g.acks != nil {
			g.deliver(g.acks.Expire(g.results[:0], now))
		}
		g.mu.Unlock()
	}
}
