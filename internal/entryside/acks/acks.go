// Package acks holds callers back until their commits are confirmed. It feeds
// the statuses of a group's endpoints to the decision of package commitack.
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
	// firstOfTerm is told of the first commit that is confirmed in a term.
	firstOfTerm func(group string, term uint64)

	// mu guards groups.
	mu     sync.Mutex
	groups map[string]*group
}

// group tracks the commits of one database group.
type group struct {
	name        string
	members     Members
	firstOfTerm func(group string, term uint64)

	// mu guards the fields below.
	mu     sync.Mutex
	acks   *commitack.Group
	counts []quorum.Member
	nextID commitack.ID
	wait   map[commitack.ID]*commit
	// last is the newest status of each slot, replayed into a new state.
	last map[string]endpoint.Status
	// confirmedTerm is the latest term in which a commit was confirmed.
	confirmedTerm uint64
	results       []commitack.Result
}

// commit is one commit that waits for its verdict.
type commit struct {
	pos      logpos.Pos
	deadline time.Time
	ready    chan commitack.Result
	// placed states that the group's state knows the commit. One that is not
	// waits until its term's primary and members are known.
	placed bool
}

// New returns a Tracker that learns the members of groups from members. It tells
// firstOfTerm of the first commit confirmed in each term; nil tells nobody.
func New(members Members, firstOfTerm func(group string, term uint64)) *Tracker {
	return &Tracker{members: members, firstOfTerm: firstOfTerm, groups: map[string]*group{}}
}

// Refresh takes in that the members of groups may have changed.
func (t *Tracker) Refresh() {
	for _, g := range t.all() {
		g.refresh()
	}
}

// Await implements the holder package's Acknowledger.
func (t *Tracker) Await(ctx context.Context, name string, pos logpos.Pos) (string, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return "", outcome.UnknownError(outcome.ReasonDeadline, "a commit without a deadline cannot wait", nil)
	}
	g := t.group(name)
	c := &commit{pos: pos, deadline: deadline, ready: make(chan commitack.Result, 1)}
	id := g.add(c)
	select {
	case res := <-c.ready:
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

// all returns the groups that are tracked.
func (t *Tracker) all() []*group {
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
			name: name, members: t.members, firstOfTerm: t.firstOfTerm,
			wait: map[commitack.ID]*commit{}, last: map[string]endpoint.Status{},
		}
		t.groups[name] = g
	}
	return g
}

// add records a commit.
func (g *group) add(c *commit) commitack.ID {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	id := g.nextID
	g.wait[id] = c
	if g.acks == nil || g.acks.Term() < c.pos.Term {
		g.renew(c.pos.Term)
	}
	g.place(id, c)
	return id
}

// place gives a commit to the state of its term. One of an earlier term than
// the state's cannot be confirmed any more.
func (g *group) place(id commitack.ID, c *commit) {
	if c.placed || g.acks == nil || g.acks.Term() < c.pos.Term {
		return
	}
	c.placed = true
	results, err := g.acks.Add(g.results[:0], id, c.pos, c.deadline)
	if err != nil {
		results = append(results, commitack.Result{ID: id, Outcome: commitack.Unknown})
	}
	g.deliver(results)
}

// renew makes the state of a term anew, if its primary is known and the members
// differ, and gives it what waits.
func (g *group) renew(term uint64) {
	members, primary, ok := g.members(g.name, term)
	if !ok || g.acks != nil && g.acks.Term() == term && slices.Equal(g.counts, members) {
		return
	}
	acks, err := commitack.New(term, primary, members)
	if err != nil {
		return
	}
	g.acks, g.counts = acks, members
	for _, status := range g.last {
		g.observe(status)
	}
	for id, c := range g.wait {
		c.placed = false
		g.place(id, c)
	}
}

// observe gives the state a status. The caller holds mu.
func (g *group) observe(status endpoint.Status) {
	results, err := g.acks.Observe(g.results[:0], status)
	if err != nil {
		return
	}
	g.deliver(results)
}

// countsAs reports whether the state knows the status's incarnation.
func (g *group) countsAs(status endpoint.Status) bool {
	return slices.ContainsFunc(g.counts, func(m quorum.Member) bool { return m.Is(status) })
}

// latestWaiting returns the latest term of a commit without a state, 0 if there
// is none.
func (g *group) latestWaiting() (term uint64) {
	for _, c := range g.wait {
		if !c.placed {
			term = max(term, c.pos.Term)
		}
	}
	return term
}

// deliver wakes those whose verdict is known. The caller holds mu.
func (g *group) deliver(results []commitack.Result) {
	for _, res := range results {
		g.noteConfirmed(res)
		if c := g.wait[res.ID]; c != nil {
			c.ready <- res
			delete(g.wait, res.ID)
		}
	}
	g.results = results[:0]
}

// noteConfirmed tells of the first commit confirmed in a term.
func (g *group) noteConfirmed(res commitack.Result) {
	if res.Outcome != commitack.Confirmed || g.acks.Term() <= g.confirmedTerm {
		return
	}
	g.confirmedTerm = g.acks.Term()
	if g.firstOfTerm != nil {
		g.firstOfTerm(g.name, g.confirmedTerm)
	}
}

// refresh renews the state if the members changed.
func (g *group) refresh() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term := g.latestWaiting(); term > 0 {
		g.renew(term)
	} else if g.acks != nil {
		g.renew(g.acks.Term())
	}
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
	switch term := g.latestWaiting(); {
	case term > 0:
		g.renew(term)
	case g.acks != nil && !g.countsAs(status):
		g.renew(g.acks.Term())
	}
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
	for _, g := range t.all() {
		g.mu.Lock()
		if g.acks != nil {
			g.deliver(g.acks.Expire(g.results[:0], now))
		}
		g.mu.Unlock()
	}
}
