package timeline

import (
	"time"

	timelinepb "hemlockmast/api/timeline"
)

// Failover is one change of a group's primary, read out of merged events.
type Failover struct {
	Group string
	// Suspected is when the primary was first suspected, Resumed when the first
	// write was acknowledged afterwards; Resumed is zero while there is none.
	Suspected, Resumed time.Time
	// OldSlot and NewSlot are empty when no event names them.
	OldSlot, NewSlot string
	// Term is the new primary's term; 0 when none was promoted.
	Term uint64
	// Cleared says that the suspicion ended without a promotion.
	Cleared bool
}

// Gap is the time from suspicion to the first acknowledged write; known is false
// while the failover is not over.
func (f *Failover) Gap() (gap time.Duration, known bool) {
	if f.Resumed.IsZero() {
		return 0, false
	}
	return f.Resumed.Sub(f.Suspected), true
}

// Failovers reads the failovers out of merged events, in the order in which they
// began.
func Failovers(merged []*timelinepb.Event) []*Failover {
	var all []*Failover
	open := make(map[string]*Failover)
	for _, e := range merged {
		f := open[e.Group]
		if f == nil && e.Kind == timelinepb.Kind_KIND_PRIMARY_SUSPECTED {
			f = &Failover{Group: e.Group, Suspected: stampFromProto(e.Stamp).Time(), OldSlot: e.Slot}
			open[e.Group] = f
			all = append(all, f)
		}
		if f != nil && f.take(e) {
			delete(open, e.Group)
		}
	}
	return all
}

// take adds an event and reports whether the failover is over with it.
func (f *Failover) take(e *timelinepb.Event) bool {
	switch e.Kind {
	case timelinepb.Kind_KIND_SUSPICION_CLEARED:
		f.Cleared = f.Term == 0
		return f.Cleared
	case timelinepb.Kind_KIND_PROMOTED:
		f.NewSlot = e.Slot
		f.Term = max(f.Term, e.Term)
	case timelinepb.Kind_KIND_FIRST_ACKNOWLEDGED_WRITE:
		// A write of an earlier term was acknowledged while the suspicion grew.
		if f.Term == 0 || e.Term < f.Term {
			return false
		}
		f.Resumed = stampFromProto(e.Stamp).Time()
		return true
	}
	return false
}
