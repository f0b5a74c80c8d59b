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
	// smoothingDivisor is the inverse of the weight of a new sample in a moving
	// average.
	smoothingDivisor = 8
	// maxTimedPositions bounds the positions, of the primary and of each
	// replica, that are kept to measure replication and apply delays.
	maxTimedPositions = 64
	// maxUnconfirmedPositions bounds the primary's replies that a majority has
	// not yet confirmed.
	maxUnconfirmedPositions = 64
	// excludeAge and readmitAge are the ages of data at which a replica stops
	// and resumes taking reads. They apply to all services, also to those with
	// an age limit of their own.
	excludeAge = 30 * time.Second
	readmitAge = 10 * time.Second
	// readmitHold is how long the age must stay at or below readmitAge.
	readmitHold = time.Second
)

// groupState holds what one daemon has measured of one group.
type groupState struct {
	// mu guards the fields below.
	mu      sync.Mutex
	slots   map[string]*slotState
	history age.History
	// hasHistory states that history is not empty.
	hasHistory bool
	// term is the term of the primary whose positions are in unconfirmed and
	// primaryPositions.
	term uint64
	// unconfirmed holds the primary's replies that are not yet in history.
	unconfirmed []timedPos
	// primaryPositions holds positions of the primary with the time at which
	// this daemon learned of them.
	primaryPositions []timedPos
}

// timedPos is a log position and the time that belongs to it: the start of the
// query in groupState.unconfirmed, the time of the reply elsewhere.
type timedPos struct {
	at  time.Time
	pos logpos.Pos
}

// slotState holds what has been measured of one slot.
type slotState struct {
	status endpoint.Status
	// queryStart is a time before status was queried; zero if status did not
	// answer a query.
	queryStart time.Time
	gate       age.Gate
	// latency is a moving average of how long segments at the slot took, as
	// this daemon measured it.
	latency          time.Duration
	replicationDelay time.Duration
	applyDelay       time.Duration
	syncedPositions  []timedPos
	outstanding      int
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

// observe records a status received at now. queryStart is a time before the
// status was queried; zero if the status did not answer a query. slots is the
// number of configured slots.
func (g *groupState) observe(now, queryStart time.Time, st endpoint.Status, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.slot(st.Slot)
	s.status = st
	s.queryStart = queryStart
	if st.Role == endpoint.RolePrimary && st.FencedTerm <= st.Synced.Term {
		g.observePrimary(now, queryStart, st)
	} else {
		g.observeReplica(now, s, st)
	}
	g.recordConfirmed(slots)
}

// observePrimary records the primary's position for ages and delays. In a new
// term it discards the unconfirmed and timed positions, because times of
// positions in different terms are not comparable.
func (g *groupState) observePrimary(now, queryStart time.Time, st endpoint.Status) {
	if st.Synced.Term < g.term {
		return
	}
	if st.Synced.Term > g.term {
		g.term = st.Synced.Term
		g.unconfirmed, g.primaryPositions = nil, nil
	}
	if !queryStart.IsZero() {
		g.unconfirmed = appendBounded(g.unconfirmed, timedPos{queryStart, st.Synced}, maxUnconfirmedPositions)
	}
	if n := len(g.primaryPositions); n == 0 || g.primaryPositions[n-1].pos.Less(st.Synced) {
		g.primaryPositions = appendBounded(g.primaryPositions, timedPos{now, st.Synced}, maxTimedPositions)
	}
}

// observeReplica measures how long the primary's positions take to be synced
// and applied at the replica.
func (g *groupState) observeReplica(now time.Time, s *slotState, st endpoint.Status) {
	if at, ok := lastAtOrBelow(g.primaryPositions, st.Applied); ok {
		s.replicationDelay = movingAverage(s.replicationDelay, now.Sub(at))
	}
	if n := len(s.syncedPositions); n == 0 || s.syncedPositions[n-1].pos.Less(st.Synced) {
		s.syncedPositions = appendBounded(s.syncedPositions, timedPos{now, st.Synced}, maxTimedPositions)
	}
	if at, ok := lastAtOrBelow(s.syncedPositions, st.Applied); ok {
		s.applyDelay = movingAverage(s.applyDelay, now.Sub(at))
		s.syncedPositions = slices.DeleteFunc(s.syncedPositions, func(p timedPos) bool { return !st.Applied.Less(p.pos) })
	}
}

// recordConfirmed moves replies of the primary to the history once a majority
// of the slots, with fenced terms not above the primary's term, has answered
// queries that were sent no earlier. Only then is it certain that the primary
// was not superseded when it was queried.
func (g *groupState) recordConfirmed(slots int) {
	queryStarts := make([]time.Time, 0, len(g.slots))
	for _, s := range g.slots {
		if !s.queryStart.IsZero() && s.status.FencedTerm <= g.term {
			queryStarts = append(queryStarts, s.queryStart)
		}
	}
	majority := quorum.Majority(slots)
	if len(queryStarts) < majority {
		return
	}
	slices.SortFunc(queryStarts, func(a, b time.Time) int { return b.Compare(a) })
	confirmedUntil := queryStarts[majority-1]
	n := 0
	for n < len(g.unconfirmed) && !g.unconfirmed[n].at.After(confirmedUntil) {
		g.history.Observe(g.unconfirmed[n].at, g.unconfirmed[n].pos)
		g.hasHistory = true
		n++
	}
	g.unconfirmed = append(g.unconfirmed[:0], g.unconfirmed[n:]...)
}

// table returns the group's slots at now for package route, and an estimate of
// how long ago the primary reached floor.
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

// row returns the table row of one slot. A slot that reports to be primary, but is
// not the view's current primary, is marked suspect.
func (g *groupState) row(now time.Time, v *slotview.Slot, primary bool) route.Slot {
	s := g.slot(v.Name)
	row := route.Slot{
		Name:             v.Name,
		Role:             v.Status.Role,
		Synced:           v.Status.Synced,
		Applied:          v.Status.Applied,
		ReplicationDelay: s.replicationDelay,
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
	thresholds := age.Thresholds{Exclude: excludeAge, Readmit: readmitAge, Hold: readmitHold}
	row.Behind = g.hasHistory && s.gate.Observe(now, thresholds, row.Age, row.AgeKnown)
	return row
}

// trackSegment counts a segment as outstanding at a slot until the returned
// function is called with the segment's duration and error.
func (g *groupState) trackSegment(slot string) func(time.Duration, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slot(slot).outstanding++
	return func(d time.Duration, err error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		s := g.slot(slot)
		s.outstanding--
		if err == nil {
			s.latency = movingAverage(s.latency, d)
		}
	}
}

func movingAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/smoothingDivisor
}

func appendBounded(list []timedPos, p timedPos, limit int) []timedPos {
	if len(list) >= limit {
		list = append(list[:0], list[1:]...)
	}
	return append(list, p)
}

// lastAtOrBelow returns the time of the last position in list that is at or
// below pos.
func lastAtOrBelow(list []timedPos, pos logpos.Pos) (time.Time, bool) {
	for i := len(list) - 1; i >= 0; i-- {
		if !pos.Less(list[i].pos) {
			return list[i].at, true
		}
	}
	return time.Time{}, false
}
