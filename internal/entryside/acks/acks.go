// Package acks makes callers wait until their commits are confirmed. It passes
// the statuses of a group's endpoints to package commitack, which decides when
// a commit is confirmed.
package acks

import (
	"context"
	"slices"
	"sync"
	"time"

	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/commitack"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/outcome"
)

// expiryCheckInterval is the time between two checks for commits whose deadline
// has passed.
const expiryCheckInterval = 20 * time.Millisecond

// Members returns the configured slots of a group with the incarnations that
// may confirm commits, and the slot that is primary in term. ok is false while
// the primary of that term is not known. It is called with the group's mutex
// held.
type Members func(group string, term uint64) (members []quorum.Member, primary string, ok bool)

// Tracker tracks the commits of all groups that wait for confirmation. It is
// safe for concurrent use.
//
// Lock order: Tracker.mu before group.mu.
type Tracker struct {
	members Members
	// onFirstConfirmed is called for the first commit confirmed in each term.
	onFirstConfirmed func(group string, term uint64)

	// mu guards groups.
	mu     sync.Mutex
	groups map[string]*group
}

// group tracks the commits of one database group.
type group struct {
	name             string
	members          Members
	onFirstConfirmed func(group string, term uint64)

	// mu guards the fields below.
	mu sync.Mutex
	// termState confirms the commits of one term. It is nil until the primary
	// and the members are known.
	termState *commitack.Group
	// termMembers holds the members from which termState was built.
	termMembers []quorum.Member
	nextID      commitack.ID
	// pending holds the commits that wait for a result.
	pending map[commitack.ID]*commit
	// lastStatus is the newest status of each slot. It is replayed into a new
	// termState.
	lastStatus map[string]endpoint.Status
	// confirmedTerm is the latest term in which a commit was confirmed.
	confirmedTerm uint64
	// results is a reusable buffer.
	results []commitack.Result
}

// commit is a commit that waits for its result.
type commit struct {
	pos      logpos.Pos
	deadline time.Time
	result   chan commitack.Result
	// added states that the commit was added to termState. That happens once
	// the primary and the members of its term are known.
	added bool
}

// New returns a Tracker that obtains the members of groups from members. For
// the first commit confirmed in each term it calls onFirstConfirmed, unless
// that is nil. The call is made with the group's mutex held.
func New(members Members, onFirstConfirmed func(group string, term uint64)) *Tracker {
	return &Tracker{members: members, onFirstConfirmed: onFirstConfirmed, groups: map[string]*group{}}
}

// Refresh must be called when the members of groups may have changed.
func (t *Tracker) Refresh() {
	for _, g := range t.allGroups() {
		g.refresh()
	}
}

// Await implements holder.Acknowledger. It returns the slot of a
// replica that holds the confirmed commit; the slot is empty if the primary
// alone is a majority. ctx must have a deadline. Errors are *outcome.Error with
// outcome unknown.
func (t *Tracker) Await(ctx context.Context, name string, pos logpos.Pos) (string, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return "", outcome.UnknownError(outcome.ReasonDeadline, "a commit without a deadline cannot wait", nil)
	}
	g := t.group(name)
	c := &commit{pos: pos, deadline: deadline, result: make(chan commitack.Result, 1)}
	id := g.add(c)
	select {
	case res := <-c.result:
		return outcomeOf(res)
	case <-ctx.Done():
		g.remove(id)
		return "", notConfirmedError()
	}
}

func outcomeOf(res commitack.Result) (string, error) {
	if res.Outcome == commitack.Confirmed {
		return res.Slot, nil
	}
	return "", notConfirmedError()
}

func notConfirmedError() error {
	return outcome.UnknownError(outcome.ReasonNotConfirmed,
		"the commit was not confirmed by a majority of the group's slots", nil)
}

// allGroups returns the tracked groups.
func (t *Tracker) allGroups() []*group {
	t.mu.Lock()
	defer t.mu.Unlock()
	groups := make([]*group, 0, len(t.groups))
	for _, g := range t.groups {
		groups = append(groups, g)
	}
	return groups
}

func (t *Tracker) group(name string) *group {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[name]
	if g == nil {
		g = &group{
			name: name, members: t.members, onFirstConfirmed: t.onFirstConfirmed,
			pending: map[commitack.ID]*commit{}, lastStatus: map[string]endpoint.Status{},
		}
		t.groups[name] = g
	}
	return g
}

// add starts to track c and returns its ID.
func (g *group) add(c *commit) commitack.ID {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	id := g.nextID
	g.pending[id] = c
	if g.termState == nil || g.termState.Term() < c.pos.Term {
		g.rebuild(c.pos.Term)
	}
	g.addToState(id, c)
	return id
}

// addToState adds a commit to the state of its term. A commit of an earlier
// term can no longer be confirmed, and its outcome becomes unknown. The caller
// must hold mu.
func (g *group) addToState(id commitack.ID, c *commit) {
	if c.added || g.termState == nil || g.termState.Term() < c.pos.Term {
		return
	}
	c.added = true
	results, err := g.termState.Add(g.results[:0], id, c.pos, c.deadline)
	if err != nil {
		results = append(results, commitack.Result{ID: id, Outcome: commitack.Unknown})
	}
	g.deliver(results)
}

// rebuild replaces the state by one for term, replays the newest statuses into
// it and adds the pending commits to it. It does nothing if the primary of term
// is not known or not a member, or if the state is already of that term with the
// same members. The caller must hold mu.
func (g *group) rebuild(term uint64) {
	members, primary, ok := g.members(g.name, term)
	if !ok || g.termState != nil && g.termState.Term() == term && slices.Equal(g.termMembers, members) {
		return
	}
	termState, err := commitack.New(term, primary, members)
	if err != nil {
		return
	}
	g.termState, g.termMembers = termState, members
	for _, status := range g.lastStatus {
		g.observe(status)
	}
	for id, c := range g.pending {
		c.added = false
		g.addToState(id, c)
	}
}

// observe passes a status to the state. The caller must hold mu.
func (g *group) observe(status endpoint.Status) {
	results, err := g.termState.Observe(g.results[:0], status)
	if err != nil {
		return
	}
	g.deliver(results)
}

// isCounted reports whether status is from an incarnation that the state
// counts.
func (g *group) isCounted(status endpoint.Status) bool {
	return slices.ContainsFunc(g.termMembers, func(m quorum.Member) bool { return m.Is(status) })
}

// latestPendingTerm returns the latest term of the pending commits that have
// not been added to the state, or 0 if there are none.
func (g *group) latestPendingTerm() (term uint64) {
	for _, c := range g.pending {
		if !c.added {
			term = max(term, c.pos.Term)
		}
	}
	return term
}

// deliver passes results to the waiting callers. The caller must hold mu.
func (g *group) deliver(results []commitack.Result) {
	for _, res := range results {
		g.reportFirstConfirmed(res)
		if c := g.pending[res.ID]; c != nil {
			c.result <- res
			delete(g.pending, res.ID)
		}
	}
	g.results = results[:0]
}

// reportFirstConfirmed calls onFirstConfirmed if res is the first confirmation
// in the state's term. The caller must hold mu.
func (g *group) reportFirstConfirmed(res commitack.Result) {
	if res.Outcome != commitack.Confirmed || g.termState.Term() <= g.confirmedTerm {
		return
	}
	g.confirmedTerm = g.termState.Term()
	if g.onFirstConfirmed != nil {
		g.onFirstConfirmed(g.name, g.confirmedTerm)
	}
}

// refresh rebuilds the state if the members have changed.
func (g *group) refresh() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term := g.latestPendingTerm(); term > 0 {
		g.rebuild(term)
	} else if g.termState != nil {
		g.rebuild(g.termState.Term())
	}
}

func (g *group) remove(id commitack.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pending, id)
}

// Observe records the newest status of an endpoint and confirms the commits that
// a majority holds with it.
func (t *Tracker) Observe(status endpoint.Status) {
	g := t.group(status.Group)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastStatus[status.Slot] = status
	switch term := g.latestPendingTerm(); {
	case term > 0:
		g.rebuild(term)
	case g.termState != nil && !g.isCounted(status):
		g.rebuild(g.termState.Term())
	}
	if g.termState != nil {
		g.observe(status)
	}
}

// Run ends the waits of commits whose deadline has passed, until ctx ends. It
// returns nil.
func (t *Tracker) Run(ctx context.Context) error {
	ticker := time.NewTicker(expiryCheckInterval)
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

// expire delivers outcome unknown for the commits whose deadline is not after
// now.
func (t *Tracker) expire(now time.Time) {
	for _, g := range t.allGroups() {
		g.mu.Lock()
		if g.termState != nil {
			g.deliver(g.termState.Expire(g.results[:0], now))
		}
		g.mu.Unlock()
	}
}
