// Package slotview maintains one daemon's view of the slots of every group:
// their configuration, the addresses of their endpoints, the daemons that hold
// connections to them, and their last known status.
//
// Readers get an immutable snapshot of a group without taking a lock.
package slotview

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hemlockmast/api/service"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/watch"
	"hemlockmast/internal/shared/logpos"
)

// Endpoint is an endpoint's announcement: its slot, address and incarnation.
type Endpoint struct {
	Group       string
	Slot        string
	Addr        string
	Incarnation string
	// Leaving states that the endpoint must not receive new requests.
	Leaving bool
}

// Slot is the view of one slot.
type Slot struct {
	Group         string
	Name          string
	FailureDomain string
	// ConnLimit is the maximum number of connections to the endpoint.
	ConnLimit int
	Databases []string
	Endpoint  Endpoint
	// Holders names the daemons that hold connections, preferred first.
	Holders []string
	// Status is the last status received, zero before the first.
	Status endpoint.Status
	// Known states that a status has been received.
	Known bool
	// Reachable states that the last observer reached the endpoint.
	Reachable bool
	// SeenAt is when Status was received.
	SeenAt time.Time
	// AskedAt is a time before the request for Status was sent, zero if it is not
	// known.
	AskedAt time.Time
	// observer and sequence identify the last observation accepted. sequence is
	// the observer's own count.
	observer string
	sequence uint64
}

// Group is a snapshot of one group.
type Group struct {
	Name      string
	Databases []string
	// Slots is in the order of the configuration.
	Slots []Slot
}

// Primary returns the slot of the group's primary. Of the reachable endpoints
// that report to be primary and are not fenced above their log's term, it is the
// one with the latest term. It is false if there is none.
func (g *Group) Primary() (*Slot, bool) {
	var best *Slot
	for i := range g.Slots {
		s := &g.Slots[i]
		if !s.Known || !s.Reachable || s.Status.Role != endpoint.RolePrimary {
			continue
		}
		if s.Status.FencedTerm > s.Status.Synced.Term {
			continue
		}
		if best == nil || best.Status.Synced.Term < s.Status.Synced.Term {
			best = s
		}
	}
	return best, best != nil
}

// View is the view of all groups. It is safe for concurrent use.
//
// Lock order: View.mu is a leaf. Listeners are called without it.
type View struct {
	snapshot atomic.Pointer[map[string]*Group]

	// mu guards the fields below and serializes the writers of snapshot.
	mu        sync.Mutex
	changed   chan struct{}
	endpoints map[slotKey]Endpoint
	listeners []func(endpoint.Status, time.Time)
}

type slotKey struct{ group, slot string }

// New returns an empty View.
func New() *View {
	v := &View{changed: make(chan struct{}), endpoints: map[slotKey]Endpoint{}}
	v.snapshot.Store(&map[string]*Group{})
	return v
}

// Group returns the current snapshot of a group, or false if it is not configured.
func (v *View) Group(name string) (*Group, bool) {
	g, ok := (*v.snapshot.Load())[name]
	return g, ok
}

// Groups returns the current snapshots of all groups, sorted by name.
func (v *View) Groups() []*Group {
	all := *v.snapshot.Load()
	list := make([]*Group, 0, len(all))
	for _, g := range all {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *Group) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Listen registers f. It is called with every status that Apply accepts from a
// reachable endpoint. The time passed is one before the request for that status
// was sent, see watch.Observation.
func (v *View) Listen(f func(endpoint.Status, time.Time)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listeners = append(v.listeners, f)
}

// SetConfiguration replaces the groups and slots. Slots that remain keep their
// status.
func (v *View) SetConfiguration(cfg *service.Configuration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := *v.snapshot.Load()
	next := make(map[string]*Group, len(cfg.Groups))
	for _, g := range cfg.Groups {
		group := &Group{Name: g.Name, Databases: g.Databases}
		for _, s := range g.Slots {
			group.Slots = append(group.Slots, v.configuredSlot(old[g.Name], g, s))
		}
		next[g.Name] = group
	}
	v.publish(next)
}

// configuredSlot returns slot s of group g with its new configuration. The
// caller holds mu.
func (v *View) configuredSlot(old *Group, g *service.Group, s *service.Slot) Slot {
	slot := Slot{Group: g.Name, Name: s.Name}
	if old != nil {
		if i := old.index(s.Name); i >= 0 {
			slot = old.Slots[i]
		}
	}
	slot.FailureDomain = s.FailureDomain
	slot.ConnLimit = int(s.ConnectionLimit)
	slot.Databases = g.Databases
	slot.Endpoint = v.endpoints[slotKey{g.Name, s.Name}]
	return slot
}

// SetEndpoint records the announcement of a slot's endpoint.
func (v *View) SetEndpoint(e Endpoint) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.endpoints[slotKey{e.Group, e.Slot}] = e
	v.updateSlot(e.Group, e.Slot, func(s *Slot) bool {
		if s.Endpoint == e {
			return false
		}
		s.Endpoint = e
		return true
	})
}

// SetHolders records which daemons hold connections to a slot.
func (v *View) SetHolders(group, slot string, holders []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.updateSlot(group, slot, func(s *Slot) bool {
		if slices.Equal(s.Holders, holders) {
			return false
		}
		s.Holders = slices.Clone(holders)
		return true
	})
}

// Apply records an observation, unless a later one from the same observer has
// been recorded. If two observers disagree, the one that reaches the endpoint
// takes precedence, until its observation is staleObservationAge old.
func (v *View) Apply(o watch.Observation, now time.Time) {
	w := o.Status
	v.mu.Lock()
	accepted := false
	v.updateSlot(w.Group, w.Slot, func(s *Slot) bool {
		accepted = s.accept(o, now)
		return accepted
	})
	listeners := v.listeners
	v.mu.Unlock()
	if !accepted || !w.Reachable {
		return
	}
	status := watch.StatusFromWire(w)
	for _, f := range listeners {
		f(status, o.AskedAt)
	}
}

// staleObservationAge is the age after which an observation of a reachable
// endpoint no longer takes precedence over one of an unreachable endpoint.
const staleObservationAge = 500 * time.Millisecond

// accept records an observation in s and reports whether s changed.
func (s *Slot) accept(o watch.Observation, now time.Time) bool {
	w := o.Status
	if s.observer == w.Observer && w.Sequence <= s.sequence {
		return false
	}
	if !w.Reachable {
		return s.acceptUnreachable(o, now)
	}
	s.Status = watch.StatusFromWire(w)
	s.Known = true
	s.Reachable = true
	s.SeenAt = now
	s.AskedAt = o.AskedAt
	s.observer = w.Observer
	s.sequence = w.Sequence
	return true
}

// acceptUnreachable is accept for an observer that cannot reach the endpoint.
func (s *Slot) acceptUnreachable(o watch.Observation, now time.Time) bool {
	w := o.Status
	if s.observer != w.Observer && s.Reachable && now.Sub(s.SeenAt) < staleObservationAge {
		return false
	}
	wasReachable := s.Reachable
	s.Reachable = false
	s.observer = w.Observer
	s.sequence = w.Sequence
	return wasReachable
}

// AwaitApplied returns once the slot's endpoint has applied pos, with the
// endpoint's incarnation. ok is false if that takes longer than wait or ctx ends
// first. The current snapshot is checked at least once, even if wait is 0.
func (v *View) AwaitApplied(ctx context.Context, group, slot string, pos logpos.Pos, wait time.Duration) (incarnation string, ok bool) {
	if incarnation, ok = v.hasApplied(group, slot, pos); ok || wait <= 0 {
		return incarnation, ok
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		changed := v.Changed()
		if incarnation, ok = v.hasApplied(group, slot, pos); ok {
			return incarnation, true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return v.hasApplied(group, slot, pos)
		case <-ctx.Done():
			return "", false
		}
	}
}

// hasApplied reports whether the slot's endpoint has applied pos, and its
// incarnation.
func (v *View) hasApplied(group, slot string, pos logpos.Pos) (incarnation string, ok bool) {
	g, ok := v.Group(group)
	if !ok {
		return "", false
	}
	s, ok := g.Slot(slot)
	if !ok || !s.Known || s.Status.Applied.Less(pos) {
		return "", false
	}
	return s.Status.Incarnation, true
}

// updateSlot publishes a new snapshot in which change has been applied to one
// slot, unless change returns false. The caller holds mu.
func (v *View) updateSlot(group, slot string, change func(*Slot) bool) {
	all := *v.snapshot.Load()
	g := all[group]
	if g == nil {
		return
	}
	i := g.index(slot)
	if i < 0 {
		return
	}
	next := *g
	next.Slots = slices.Clone(g.Slots)
	if !change(&next.Slots[i]) {
		return
	}
	groups := make(map[string]*Group, len(all))
	for name, old := range all {
		groups[name] = old
	}
	groups[group] = &next
	v.publish(groups)
}

// publish stores the new snapshot and wakes the goroutines that wait for a
// change. The caller holds mu.
func (v *View) publish(groups map[string]*Group) {
	v.snapshot.Store(&groups)
	close(v.changed)
	v.changed = make(chan struct{})
}

// index returns the index of the slot in Slots, -1 if it is not there.
func (g *Group) index(slot string) int {
	return slices.IndexFunc(g.Slots, func(s Slot) bool { return s.Name == slot })
}

// Slot returns the slot with that name, or false if there is none.
func (g *Group) Slot(name string) (*Slot, bool) {
	i := g.index(name)
	if i < 0 {
		return nil, false
	}
	return &g.Slots[i], true
}
