// Package commitack decides when a commit may be acknowledged: once a majority
// of the group's slots holds it in the term in which it was written.
//
// A Group is plain state guarded by its caller. It does no I/O, reads no clock
// and starts no goroutine.
package commitack

import (
	"math"
	"time"

	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
)

// ID is the caller's name for a pending commit.
type ID uint64

// Outcome is the verdict on a pending commit.
type Outcome uint8

// Outcomes of a pending commit.
const (
	// Confirmed means that a majority holds the commit.
	Confirmed Outcome = iota
	// Unknown means that the commit cannot be confirmed any more, or was not
	// before its deadline. It may have survived.
	Unknown
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	if o == Confirmed {
		return "confirmed"
	}
	return "outcome unknown"
}

// Result is the verdict on one commit.
type Result struct {
	ID      ID
	Outcome Outcome
	// Slot names a replica that holds a confirmed commit: the one whose status
	// confirmed it, where that was a replica. Empty for Unknown, and for a
	// group whose primary is a majority.
	Slot string
}

// member is what is known of one slot.
type member struct {
	quorum.Member
	// held is the highest index of the group's term that the slot was seen to
	// hold while it was fenced no higher than the term.
	held uint64
	// closed is set once the slot cannot confirm anything more in the term.
	closed bool
}

// waiting is a commit that has no verdict yet.
type waiting struct {
	index    uint64
	id       ID
	deadline time.Time
}

// Group is the state of one group in one term.
type Group struct {
	term     uint64
	primary  int
	majority int
	members  []member
	// queue[head:] is ordered by index.
	queue []waiting
	head  int
	// earliest is no later than the earliest deadline in the queue.
	earliest  time.Time
	confirmed uint64
}

// New returns the state for the commits that primary writes in term. members
// are all configured slots of the group; it is not an error when some of them
// count for nothing. The error is *SlotError for a primary that is no member.
func New(term uint64, primary string, members []quorum.Member) (*Group, error) {
	g := &Group{term: term, majority: quorum.Majority(len(members))}
	g.members = make([]member, len(members))
	for i, m := range members {
		g.members[i] = member{Member: m, closed: !m.CountsIn(term)}
	}
	g.primary = g.find(primary)
	if g.primary < 0 {
		return nil, &SlotError{Slot: primary}
	}
	return g, nil
}

// Term returns the term whose commits the group confirms.
func (g *Group) Term() uint64 { return g.term }

// Pending returns the number of commits without a verdict.
func (g *Group) Pending() int { return len(g.queue) - g.head }

// Confirmed returns the highest position known to be held by a majority; the
// zero position if there is none in this term.
func (g *Group) Confirmed() logpos.Pos {
	if g.confirmed == 0 {
		return logpos.Pos{}
	}
	return logpos.Pos{Term: g.term, Index: g.confirmed}
}

// Add records a commit that the primary has made durable at pos, and appends to
// out the verdicts that this allows. The error is *TermError for a position of
// another term; nothing is recorded then and the commit's outcome is unknown.
func (g *Group) Add(out []Result, id ID, pos logpos.Pos, deadline time.Time) ([]Result, error) {
	if pos.Term != g.term {
		return out, &TermError{Pos: pos, Term: g.term}
	}
	g.insert(waiting{index: pos.Index, id: id, deadline: deadline})
	p := &g.members[g.primary]
	if !p.closed {
		p.held = max(p.held, pos.Index)
	}
	return g.settle(out, g.primary), nil
}

// Observe takes a status of a slot and appends to out the verdicts that it
// allows. One status settles every commit that waits for it. The error is
// *SlotError for a slot that is not configured.
func (g *Group) Observe(out []Result, st endpoint.Status) ([]Result, error) {
	i := g.find(st.Slot)
	if i < 0 {
		return out, &SlotError{Slot: st.Slot}
	}
	m := &g.members[i]
	switch {
	case !m.Is(st):
		// The disk that held the commits is gone.
		m.closed, m.held = true, 0
	case st.FencedTerm > g.term:
		// What the slot holds may have been replaced or be about to be: only
		// what it was seen to hold before the fence counts.
		m.closed = true
	case !m.closed && st.Synced.Term == g.term:
		m.held = max(m.held, st.Synced.Index)
	}
	return g.settle(out, i), nil
}

// Expire appends an Unknown to out for each commit whose deadline is not after
// now.
func (g *Group) Expire(out []Result, now time.Time) []Result {
	if g.Pending() == 0 || now.Before(g.earliest) {
		return out
	}
	kept := g.queue[g.head:g.head]
	g.earliest = time.Time{}
	for _, w := range g.queue[g.head:] {
		if !w.deadline.After(now) {
			out = append(out, Result{ID: w.id, Outcome: Unknown})
			continue
		}
		kept = append(kept, w)
		g.noteDeadline(w.deadline)
	}
	g.queue = g.queue[:g.head+len(kept)]
	g.compact()
	return out
}

// Close appends an Unknown to out for every pending commit, for use when the
// term is over.
func (g *Group) Close(out []Result) []Result {
	for _, w := range g.queue[g.head:] {
		out = append(out, Result{ID: w.id, Outcome: Unknown})
	}
	g.queue, g.head = g.queue[:0], 0
	return out
}

// settle gives the verdicts that follow from the members; cause is the member
// that changed last.
func (g *Group) settle(out []Result, cause int) []Result {
	g.confirmed = max(g.confirmed, g.reach(false))
	for g.head < len(g.queue) && g.queue[g.head].index <= g.confirmed {
		w := g.queue[g.head]
		out = append(out, Result{ID: w.id, Outcome: Confirmed, Slot: g.holderOf(w.index, cause)})
		g.head++
	}
	limit := g.reach(true)
	for g.head < len(g.queue) && g.queue[len(g.queue)-1].index > limit {
		last := len(g.queue) - 1
		out = append(out, Result{ID: g.queue[last].id, Outcome: Unknown})
		g.queue = g.queue[:last]
	}
	g.compact()
	return out
}

// reach returns the highest index that a majority holds, or with future set
// the highest that a majority holds or may come to hold.
func (g *Group) reach(future bool) uint64 {
	var best uint64
	for i := range g.members {
		v := g.members[i].limit(future)
		if v > best && g.countAtLeast(v, future) >= g.majority {
			best = v
		}
	}
	return best
}

func (g *Group) countAtLeast(index uint64, future bool) int {
	n := 0
	for i := range g.members {
		if g.members[i].limit(future) >= index {
			n++
		}
	}
	return n
}

func (m *member) limit(future bool) uint64 {
	if future && !m.closed {
		return math.MaxUint64
	}
	return m.held
}

// holderOf names a replica that holds index: the member cause where it can.
func (g *Group) holderOf(index uint64, cause int) string {
	best := -1
	for i := range g.members {
		if i == g.primary || g.members[i].held < index {
			continue
		}
		if i == cause {
			return g.members[i].Slot
		}
		if best < 0 || g.members[i].held > g.members[best].held {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return g.members[best].Slot
}

func (g *Group) find(slot string) int {
	for i := range g.members {
		if g.members[i].Slot == slot {
			return i
		}
	}
	return -1
}

// insert keeps the queue ordered by index. Commits arrive nearly in order, so
// the walk from the tail is short.
func (g *Group) insert(w waiting) {
	if g.Pending() == 0 {
		g.earliest = time.Time{}
	}
	g.noteDeadline(w.deadline)
	g.queue = append(g.queue, w)
	i := len(g.queue) - 1
	for i > g.head && g.queue[i-1].index > w.index {
		g.queue[i] = g.queue[i-1]
		i--
	}
	g.queue[i] = w
}

func (g *Group) noteDeadline(d time.Time) {
	if g.earliest.IsZero() || d.Before(g.earliest) {
		g.earliest = d
	}
}

// compact frees the settled front of the queue once it is the larger part.
func (g *Group) compact() {
	if g.head*2 <= len(g.queue) && g.head != len(g.queue) {
		return
	}
	n := copy(g.queue, g.queue[g.head:])
	g.queue, g.head = g.queue[:n], 0
}
