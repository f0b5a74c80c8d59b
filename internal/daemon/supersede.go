package daemon

import (
	"sync"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/holder"
)

// primaries remembers the primary of the latest term of each group.
type primaries struct {
	// mu guards byGroup.
	mu      sync.Mutex
	byGroup map[string]primaryOf
}

// primaryOf is a slot and the term in which it became primary.
type primaryOf struct {
	slot string
	term uint64
}

func newPrimaries() *primaries { return &primaries{byGroup: map[string]primaryOf{}} }

// observe takes in a status and returns the slot whose endpoint is superseded by
// it; ok is false when none is.
func (p *primaries) observe(st endpoint.Status) (superseded string, ok bool) {
	if st.Role != endpoint.RolePrimary || st.FencedTerm > st.Synced.Term {
		return "", false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old, known := p.byGroup[st.Group]
	if known && st.Synced.Term <= old.term {
		return "", false
	}
	p.byGroup[st.Group] = primaryOf{st.Slot, st.Synced.Term}
	return old.slot, known && old.slot != st.Slot
}

// noteSuperseded cuts what waits for an endpoint that is no longer primary.
func (d *Daemon) noteSuperseded(st endpoint.Status) {
	slot, ok := d.primaries.observe(st)
	if ok {
		d.holder.Interrupt(holder.SlotID{Group: st.Group, Slot: slot})
	}
}
