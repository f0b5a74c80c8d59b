package timeline

import (
	"time"

	timelinepb "hemlockmast/api/timeline"
)

// Failover is one failover of a group, reconstructed from merged events.
type Failover struct {
	Group string
	// Suspected is the time of the first suspicion of the primary. Resumed is the time of
	// the first write acknowledged by the new primary, or zero if there is none yet.
	Suspected, Resumed time.Time
	// OldSlot and NewSlot are the slots of the old and the new primary. They are empty if
	// no event names them.
	OldSlot, NewSlot string
	// Term is the new primary's term, or 0 if no replica has been promoted.
	Term uint64
	// Cleared means that the suspicion was cleared without a promotion.
	Cleared bool
}

// Gap returns the time from the suspicion to the first acknowledged write. known is false
// if there is no such write.
func (f *Failover) Gap() (gap time.Duration, known bool) {
	if f.Resumed.IsZero() {
		return 0, false
	}
	return f.Resumed.Sub(f.Suspected), true
}

// Failovers reconstructs the failovers from merged events, in the order in which they
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
		if f != nil && f.apply(e) {
			delete(open, e.Group)
		}
	}
	return all
}

// apply updates f by an event of its group. It reports whether the event ends the
// failover.
func (f *Failover) apply(e *timelinepb.Event) bool {
	switch e.Kind {
	case timelinepb.Kind_KIND_SUSPICION_CLEARED:
		f.Cleared = f.Term == 0
		return f.Cleared
	case timelinepb.Kind_KIND_PROMOTED:
		f.NewSlot = e.Slot
		f.Term = max(f.Term, e.Term)
	case timelinepb.Kind_KIND_FIRST_ACKNOWLEDGED_WRITE:
		// A write of an earlier term may be acknowledged while the primary is suspected.
		if f.Term == 0 || e.Term < f.Term {
			return false
		}
		f.Resumed = stampFromProto(e.Stamp).Time()
		return true
	}
	return false
}
