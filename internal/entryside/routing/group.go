package routing

import (
	"slices"
	"sync"
	"time"

	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/slotview"
	"hemlockmast/internal/entryside/route"
	"hemlockmast/internal/entryside/route/age"
	"hemlockmast/internal/shared/logpos"
)

const (
	// smoothing is the weight of a new sample in a moving average, as a divisor.
	smoothing = 8
	// maxMarks bounds the primary positions whose arrival at replicas is timed.
	maxMarks = 64
	// maxPendingAges bounds answers of the primary that wait for a majority.
	maxPendingAges = 64
	// behindLeave and behindReturn bound the age at which a replica stops and
	// starts again to take reads of services without an age of their own.
	behindLeave  = 30 * time.Second
	behindReturn = 10 * time.Second
	// behindHold is how long the age must stay low.
	behindHold = time.Second
)

// groupState is what one daemon measures of one group.
type groupState struct {
	// mu guards the fields below.
	mu      sync.Mutex
	slots   map[string]*slotState
	history age.History
	// begun states that history is not empty.
	begun bool
	// term is the term of the primary whose positions history holds.
	term    uint64
	pending []askedPos
	marks   []askedPos
}

// askedPos is a position of the primary and a time before which, or at which,
// it was known.
type askedPos struct {
	at  time.Time
	pos logpos.Pos
}

// slotState is what is measured of one slot.
type slotState struct {
	status      endpoint.Status
	asked       time.Time
	gate        age.Gate
	latency     time.Duration
	delay       time.Duration
	applyDelay  time.Duration
	syncedAt    []askedPos
	outstanding int
}

func newGroupState() *groupState { return &groupState{slots: map[string]*slotState{}} }

func (g *groupState) slot(name string) *slotState {
	s := g.slots[name]
	if s == nil {
		s = &slotState{}
		g.slots[name] = s
	}
	return s
}

// observe takes in a status heard at now in answer to a question asked after
// asked; asked may be zero. slots is the number of configured slots.
func (g *groupState) observe(now, asked time.Time, st endpoint.Status, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.slot(st.Slot)
	s.status = st
	s.asked = asked
	if st.Role == endpoint.RolePrimary && st.FencedTerm <= st.Synced.Term {
		g.observePrimary(now, asked, st)
	} else {
		g.observeReplica(now, s, st)
	}
	g.settleAges(slots)
}

// observePrimary remembers the position for ages and delays. A new term starts
// the history anew; positions of the old one are not comparable in time.
func (g *groupState) observePrimary(now, asked time.Time, st endpoint.Status) {
	if st.Synced.Term < g.term {
		return
	}
	if st.Synced.Term > g.term {
		g.term = st.Synced.Term
		g.pending, g.marks = nil, nil
	}
	if !asked.IsZero() {
		g.pending = appendBounded(g.pending, askedPos{asked, st.Synced}, maxPendingAges)
	}
	if n := len(g.marks); n == 0 || g.marks[n-1].pos.Less(st.Synced) {
		g.marks = appendBounded(g.marks, askedPos{now, st.Synced}, maxMarks)
	}
}

// observeReplica times how long the primary's positions take to be synced and
// applied here.
func (g *groupState) observeReplica(now time.Time, s *slotState, st endpoint.Status) {
	if at, ok := lastAtOrBelow(g.marks, st.Applied); ok {
		s.delay = average(s.delay, now.Sub(at))
	}
	if n := len(s.syncedAt); n == 0 || s.syncedAt[n-1].pos.Less(st.Synced) {
		s.syncedAt = appendBounded(s.syncedAt, askedPos{now, st.Synced}, maxMarks)
	}
	if at, ok := lastAtOrBelow(s.syncedAt, st.Applied); ok {
		s.applyDelay = average(s.applyDelay, now.Sub(at))
		s.syncedAt = slices.DeleteFunc(s.syncedAt, func(m askedPos) bool { return !st.Applied.Less(m.pos) })
	}
}

// settleAges moves answers of the primary to the history once a majority of
// slots answered a question asked later and is fenced no higher: only then was
// the primary not superseded when it was asked.
func (g *groupState) settleAges(slots int) {
	times := make([]time.Time, 0, len(g.slots))
	for _, s := range g.slots {
		if !s.asked.IsZero() && s.status.FencedTerm <= g.term {
			times = append(times, s.asked)
		}
	}
	need := quorum.Majority(slots)
	if len(times) < need {
		return
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	confirmed := times[need-1]
	n := 0
	for n < len(g.pending) && !g.pending[n].at.After(confirmed) {
		g.history.Observe(g.pending[n].at, g.pending[n].pos)
		g.begun = true
		n++
	}
	g.pending = append(g.pending[:0], g.pending[n:]...)
}

// table returns the route package's picture of the group at now. Returned with
// it is how long ago the primary was at the floor.
func (g *groupState) table(now time.Time, view *slotview.Group, floor logpos.Pos) ([]route.Slot, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	primary, _ := view.Primary()
	slots := make([]route.Slot, 0, len(view.Slots))
	for i := range view.Slots {
		v := &view.Slots[i]
		if !v.Known || len(v.Holders) == 0 {
			continue
		}
		slots = append(slots, g.row(now, v, primary == v))
	}
	since, _ := g.history.Since(now, floor)
	return slots, since
}

func (g *groupState) row(now time.Time, v *slotview.Slot, primary bool) route.Slot {
	s := g.slot(v.Name)
	row := route.Slot{
		Name:             v.Name,
		Role:             v.Status.Role,
		Synced:           v.Status.Synced,
		Applied:          v.Status.Applied,
		ReplicationDelay: s.delay,
		ApplyDelay:       s.applyDelay,
		Latency:          s.latency,
		Outstanding:      s.outstanding,
		Leaving:          v.Endpoint.Leaving,
		Suspect:          !v.Reachable,
	}
	if v.Status.Role == endpoint.RolePrimary {
		row.Term = v.Status.Synced.Term
		row.Suspect = !primary
		return row
	}
	row.Age, row.AgeKnown = g.history.AgeBound(now, v.Status.Applied)
	bounds := age.Thresholds{Exclude: behindLeave, Readmit: behindReturn, Hold: behindHold}
	row.Behind = g.begun && s.gate.Observe(now, bounds, row.Age, row.AgeKnown)
	return row
}

// begin counts a segment at a slot; the returned function ends it.
func (g *groupState) begin(slot string) func(time.Duration, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slot(slot).outstanding++
	return func(d time.Duration, err error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		s := g.slot(slot)
		s.outstanding--
		if err == nil {
			s.latency = average(s.latency, d)
		}
	}
}

func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/smoothing
}

func appendBounded(list []askedPos, p askedPos, limit int) []askedPos {
	if len(list) >= limit {
		list = append(list[:0], list[1:]...)
	}
	return append(list, p)
}

// lastAtOrBelow returns the time of the last position that is not after pos.
func lastAtOrBelow(list []askedPos, pos logpos.Pos) (time.Time, bool) {
	for i := len(list) - 1; i >= 0; i-- {
		if !pos.Less(list[i].pos) {
			return list[i].at, true
		}
	}
	return time.Time{}, false
}
