// Package commitack decides when a commit may be acknowledged: once a majority
// of the group's slots holds it in the term in which it was written.
//
// A Group does no I/O, reads no clock and starts no goroutine. It is not safe
// for concurrent use.
package commitack

import (
	"math"
	"time"

	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
)

// ID identifies a pending commit. The caller chooses it.
type ID uint64

// Outcome is the result of waiting for a commit to be confirmed.
type Outcome uint8

// Outcomes of a pending commit.
const (
	// Confirmed means that a majority holds the commit.
	Confirmed Outcome = iota
	// Unknown means that the commit can no longer be confirmed, or was not
	// confirmed before its deadline. It may still be durable.
	Unknown
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	if o == Confirmed {
		return "confirmed"
	}
	return "outcome unknown"
}

// Result is the outcome of one commit.
type Result struct {
	ID      ID
	Outcome Outcome
	// Slot names a replica that holds a confirmed commit, preferably the one
	// whose status confirmed it. It is empty for Unknown, and for a group whose
	// primary alone is a majority.
	Slot string
}

// member is the state of one slot.
type member struct {
	quorum.Member
	// heldIndex is the highest index of the group's term that the slot reported
	// as durable while it was not fenced at a higher term.
	heldIndex uint64
	// closed states that the slot can confirm no further commits in the term.
	closed bool
}

// pendingCommit is a commit that has no outcome yet.
type pendingCommit struct {
	index    uint64
	id       ID
	deadline time.Time
}

// Group tracks the commits of one group in one term.
type Group struct {
	term     uint64
	primary  int
	majority int
	members  []member
	// queue[head:] holds the pending commits, ordered by index.
	queue []pendingCommit
	head  int
	// minDeadline is a lower bound of the deadlines in the queue.
	minDeadline    time.Time
	confirmedIndex uint64
}

// New returns a Group for the commits that primary writes in term. members are
// all configured slots of the group; some of them may be unable to confirm
// commits of the term. The error is a *SlotError if primary is not a member.
func New(term uint64, primary string, members []quorum.Member) (*Group, error) {
	g := &Group{term: term, majority: quorum.Majority(len(members))}
	g.members = make([]member, len(members))
	for i, m := range members {
		g.members[i] = member{Member: m, closed: !m.CountsIn(term)}
	}
	g.primary = g.memberIndex(primary)
	if g.primary < 0 {
		return nil, &SlotError{Slot: primary}
	}
	return g, nil
}

// Term returns the term whose commits the group confirms.
func (g *Group) Term() uint64 { return g.term }

// Pending returns the number of commits without an outcome.
func (g *Group) Pending() int { return len(g.queue) - g.head }

// Confirmed returns the highest position known to be held by a majority, or the
// zero position if there is none in this term.
func (g *Group) Confirmed() logpos.Pos {
	if g.confirmedIndex == 0 {
		return logpos.Pos{}
	}
	return logpos.Pos{Term: g.term, Index: g.confirmedIndex}
}

// Add records a commit that the primary has made durable at pos, and appends to
// out the results of the commits that this decides. The error is a *TermError for a position of
// another term; then nothing is recorded and the commit's outcome is unknown.
func (g *Group) Add(out []Result, id ID, pos logpos.Pos, deadline time.Time) ([]Result, error) {
	if pos.Term != g.term {
		return out, &TermError{Pos: pos, Term: g.term}
	}
	g.insert(pendingCommit{index: pos.Index, id: id, deadline: deadline})
	p := &g.members[g.primary]
	if !p.closed {
		p.heldIndex = max(p.heldIndex, pos.Index)
	}
	return g.decide(out, g.primary), nil
}

// Observe records a slot's status and appends to out the results of the commits
// that it decides. One status may decide any number of commits. The error is a *SlotError
// for a slot that is not configured.
func (g *Group) Observe(out []Result, st endpoint.Status) ([]Result, error) {
	i := g.memberIndex(st.Slot)
	if i < 0 {
		return out, &SlotError{Slot: st.Slot}
	}
	m := &g.members[i]
	switch {
	case !m.Is(st):
		// Another incarnation: the slot lost the disk that held the commits.
		m.closed, m.heldIndex = true, 0
	case st.FencedTerm > g.term:
		// The slot's log may have been rewound, or be rewound soon. Only what it
		// reported before the fence counts.
		m.closed = true
	case !m.closed && st.Synced.Term == g.term:
		m.heldIndex = max(m.heldIndex, st.Synced.Index)
	}
	return g.decide(out, i), nil
}

// Expire appends an Unknown result to out for each commit whose deadline is not
// after now.
func (g *Group) Expire(out []Result, now time.Time) []Result {
	if g.Pending() == 0 || now.Before(g.minDeadline) {
		return out
	}
	kept := g.queue[g.head:g.head]
	g.minDeadline = time.Time{}
	for _, c := range g.queue[g.head:] {
		if !c.deadline.After(now) {
			out = append(out, Result{ID: c.id, Outcome: Unknown})
			continue
		}
		kept = append(kept, c)
		g.updateMinDeadline(c.deadline)
	}
	g.queue = g.queue[:g.head+len(kept)]
	g.compact()
	return out
}

// Close appends an Unknown result to out for every pending commit. It is called
// when the term is over.
func (g *Group) Close(out []Result) []Result {
	for _, c := range g.queue[g.head:] {
		out = append(out, Result{ID: c.id, Outcome: Unknown})
	}
	g.queue, g.head = g.queue[:0], 0
	return out
}

// decide appends to out the results that follow from the members' state:
// Confirmed for the commits that a majority holds, Unknown for those that a
// majority can no longer come to hold. cause is the index of the member that
// changed last.
func (g *Group) decide(out []Result, cause int) []Result {
	g.confirmedIndex = max(g.confirmedIndex, g.majorityIndex(false))
	for g.head < len(g.queue) && g.queue[g.head].index <= g.confirmedIndex {
		c := g.queue[g.head]
		out = append(out, Result{ID: c.id, Outcome: Confirmed, Slot: g.confirmingSlot(c.index, cause)})
		g.head++
	}
	limit := g.majorityIndex(true)
	for g.head < len(g.queue) && g.queue[len(g.queue)-1].index > limit {
		last := len(g.queue) - 1
		out = append(out, Result{ID: g.queue[last].id, Outcome: Unknown})
		g.queue = g.queue[:last]
	}
	g.compact()
	return out
}

// majorityIndex returns the highest log index that a majority holds. With
// includePossible set, it returns the highest one that a majority holds or may still
// come to hold.
func (g *Group) majorityIndex(includePossible bool) uint64 {
	var best uint64
	for i := range g.members {
		v := g.members[i].indexBound(includePossible)
		if v > best && g.countAtLeast(v, includePossible) >= g.majority {
			best = v
		}
	}
	return best
}

// countAtLeast returns the number of members that hold index or, with
// includePossible set, that hold it or may still come to hold it.
func (g *Group) countAtLeast(index uint64, includePossible bool) int {
	n := 0
	for i := range g.members {
		if g.members[i].indexBound(includePossible) >= index {
			n++
		}
	}
	return n
}

// indexBound returns the highest index that the member holds or, with
// includePossible set, an upper bound of what it may still come to hold.
func (m *member) indexBound(includePossible bool) uint64 {
	if includePossible && !m.closed {
		return math.MaxUint64
	}
	return m.heldIndex
}

// confirmingSlot returns the name of a replica that holds index, preferably of
// the member cause.
func (g *Group) confirmingSlot(index uint64, cause int) string {
	best := -1
	for i := range g.members {
		if i == g.primary || g.members[i].heldIndex < index {
			continue
		}
		if i == cause {
			return g.members[i].Slot
		}
		if best < 0 || g.members[i].heldIndex > g.members[best].heldIndex {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return g.members[best].Slot
}

// memberIndex returns the index of the slot in members, -1 if it is not there.
func (g *Group) memberIndex(slot string) int {
	for i := range g.members {
		if g.members[i].Slot == slot {
			return i
		}
	}
	return -1
}

// insert adds a commit to the queue, which stays ordered by index. Commits
// arrive nearly in order, so the search from the tail is short.
func (g *Group) insert(c pendingCommit) {
	if g.Pending() == 0 {
		g.minDeadline = time.Time{}
	}
	g.updateMinDeadline(c.deadline)
	g.queue = append(g.queue, c)
	i := len(g.queue) - 1
	for i > g.head && g.queue[i-1].index > c.index {
		g.queue[i] = g.queue[i-1]
		i--
	}
	g.queue[i] = c
}

func (g *Group) updateMinDeadline(d time.Time) {
	if g.minDeadline.IsZero() || d.Before(g.minDeadline) {
		g.minDeadline = d
	}
}

// compact removes the decided commits at the front of the queue once they are
// the larger part of it.
func (g *Group) compact() {
	if g.head*2 <= len(g.queue) && g.head != len(g.queue) {
		return
	}
	n := copy(g.queue, g.queue[g.head:])
	g.queue, g.head = g.queue[:n], 0
}
