package daemon

import (
	"sync"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/holder"
)

// primaryTracker records the primary of the latest known term of each group.
type primaryTracker struct {
	// mu guards byGroup.
	mu      sync.Mutex
	byGroup map[string]termPrimary
}

// termPrimary is the slot of a primary and its term.
type termPrimary struct {
	slot string
	term uint64
}

func newPrimaryTracker() *primaryTracker { return &primaryTracker{byGroup: map[string]termPrimary{}} }

// observe processes a status. If it shows a primary of a newer term, observe
// returns the slot of the superseded one. ok is false if none is superseded.
func (p *primaryTracker) observe(st endpoint.Status) (superseded string, ok bool) {
	if st.Role != endpoint.RolePrimary || st.FencedTerm > st.Synced.Term {
		return "", false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old, known := p.byGroup[st.Group]
	if known && st.Synced.Term <= old.term {
		return "", false
	}
	p.byGroup[st.Group] = termPrimary{st.Slot, st.Synced.Term}
	return old.slot, known && old.slot != st.Slot
}

// interruptSuperseded interrupts the work on an endpoint that st shows to be
// superseded as primary.
func (d *Daemon) interruptSuperseded(st endpoint.Status) {
	slot, ok := d.primaryTracker.observe(st)
	if ok {
		d.holder.Interrupt(holder.SlotID{Group: st.Group, Slot: slot})
	}
}
