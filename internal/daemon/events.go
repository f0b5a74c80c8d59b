package daemon

import (
	"time"

	timelinepb "hemlockmast/api/timeline"
	"hemlockmast/internal/controlgroup/failover/driver"
	"hemlockmast/internal/shared/timeline"
)

// recorder writes the events of the failover driver to the time line.
type recorder struct{ journal *timeline.Journal }

// eventKinds maps the kinds of driver events to those of the time line. Other
// kinds are not recorded.
var eventKinds = map[driver.Kind]timelinepb.Kind{
	driver.Reported:          timelinepb.Kind_KIND_PRIMARY_SUSPECTED,
	driver.ConfirmationGiven: timelinepb.Kind_KIND_SUSPICION_CONFIRMED,
	driver.SuspicionCleared:  timelinepb.Kind_KIND_SUSPICION_CLEARED,
	driver.PromotionBegun:    timelinepb.Kind_KIND_FENCE_SENT,
	driver.Fenced:            timelinepb.Kind_KIND_FENCE_GRANTED,
	driver.Refused:           timelinepb.Kind_KIND_FENCE_REFUSED,
	driver.Chosen:            timelinepb.Kind_KIND_PROMOTION_CHOSEN,
	driver.Promoted:          timelinepb.Kind_KIND_PROMOTED,
	driver.PromotionAborted:  timelinepb.Kind_KIND_PROMOTION_GIVEN_UP,
	driver.Noticed:           timelinepb.Kind_KIND_PRIMARY_LEARNT,
	driver.NoTerm:            timelinepb.Kind_KIND_NO_MAJORITY,
}

// Record implements driver.Recorder.
func (r recorder) Record(e driver.Event) {
	kind, ok := eventKinds[e.Kind]
	if !ok {
		return
	}
	event := &timelinepb.Event{
		Kind: kind, Group: e.Group, Slot: e.Slot, Term: e.Term,
		Detail: e.Kind.String(),
	}
	if e.Observer != "" {
		event.Detail = e.Observer + ": " + e.Level.String()
	}
	if e.Kind == driver.PromotionAborted {
		event.Detail = e.Reason.String()
	}
	r.journal.Record(event)
}

// recordFirstWrite records the first confirmed commit of a term.
func (d *Daemon) recordFirstWrite(group string, term uint64) {
	d.journal.Record(&timelinepb.Event{
		Kind: timelinepb.Kind_KIND_FIRST_ACKNOWLEDGED_WRITE, Group: group, Term: term,
	})
}

// recordLifecycle records the start or the drain of this daemon.
func (d *Daemon) recordLifecycle(kind timelinepb.Kind, detail string) {
	d.journal.Record(&timelinepb.Event{Kind: kind, Detail: detail})
}

// journalCapacity is the number of events that a daemon keeps in memory.
const journalCapacity = 8192

func newJournal(name string) *timeline.Journal {
	return timeline.NewJournal(name, journalCapacity, time.Now)
}
