// Package slotview keeps one daemon's picture of the slots of every group: the
// configuration, where the endpoints are, which daemons hold connections to
// them, and their last known status.
//
// Readers take a snapshot of a group without a lock; a snapshot never changes.
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

// Endpoint is an endpoint's place in the network as it announced itself.
type Endpoint struct {
	Group       string
	Slot        string
	Addr        string
	Incarnation string
	// Leaving states that the endpoint must receive no new work.
	Leaving bool
}

// Slot is the picture of one slot.
type Slot struct {
	Group         string
	Name          string
	FailureDomain string
	ConnLimit     int
	Databases     []string
	Endpoint      Endpoint
	// Holders names the daemons that hold connections, preferred first.
	Holders []string
	// Status is the last status heard, zero before the first.
	Status endpoint.Status
	// Known states that Status was heard.
	Known bool
	// Reachable states that the last observer reached the endpoint.
	Reachable bool
	// SeenAt is when Status was heard.
	SeenAt time.Time
	// AskedAt is before the question that Status answers, zero when not known.
	AskedAt time.Time
	// order is the observer's number of the status.
	observer string
	order    uint64
}

// Group is a snapshot of one group.
type Group struct {
	Name      string
	Databases []string
	// Slots are in the order of the configuration.
	Slots []Slot
}

// Primary returns the slot of the group's primary: the reachable one that says
// it is primary, is not fenced above its log's term and has the latest term.
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

// View is the picture of all groups.
//
// Lock order: View.mu is a leaf, except that listeners are called without it.
type View struct {
	snapshot atomic.Pointer[map[string]*Group]

	// mu guards the fields below and serializes writers of snapshot.
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

// Group returns the present snapshot of a group.
func (v *View) Group(name string) (*Group, bool) {
	g, ok := (*v.snapshot.Load())[name]
	return g, ok
}

// Groups returns the present snapshots of all groups, sorted by name.
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

// Listen calls f with every status that is taken in and the time before the
// question that it answers.
func (v *View) Listen(f func(endpoint.Status, time.Time)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listeners = append(v.listeners, f)
}

// SetConfiguration replaces groups and slots; what is known of slots that
// remain stays.
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

// SetEndpoint records where a slot's endpoint is.
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

// Apply takes in a status. An older one from the same observer is dropped; of
// two observers, one that reaches the endpoint outweighs one that does not
// until its word is staleAfter old.
func (v *View) Apply(o watch.Observation, now time.Time) {
	w := o.Status
	v.mu.Lock()
	taken := false
	v.updateSlot(w.Group, w.Slot, func(s *Slot) bool {
		taken = s.accept(o, now)
		return taken
	})
	listeners := v.listeners
	v.mu.Unlock()
	if !taken || !w.Reachable {
		return
	}
	status := watch.StatusFromWire(w)
	for _, f := range listeners {
		f(status, o.AskedAt)
	}
}

// staleAfter is the age after which a reachable observer's word no longer
// outweighs that of one that cannot reach the endpoint.
const staleAfter = 500 * time.Millisecond

func (s *Slot) accept(o watch.Observation, now time.Time) bool {
	w := o.Status
	if s.observer == w.Observer && w.Sequence <= s.order {
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
	s.order = w.Sequence
	return true
}

func (s *Slot) acceptUnreachable(o watch.Observation, now time.Time) bool {
	w := o.Status
	if s.observer != w.Observer && s.Reachable && now.Sub(s.SeenAt) < staleAfter {
		return false
	}
	wasReachable := s.Reachable
	s.Reachable = false
	s.observer = w.Observer
	s.order = w.Sequence
	return wasReachable
}

// AwaitApplied returns once the slot's endpoint has applied pos, with the
// endpoint's incarnation; ok is false after wait or at the end of ctx. It looks
// at least once.
func (v *View) AwaitApplied(ctx context.Context, group, slot string, pos logpos.Pos, wait time.Duration) (incarnation string, ok bool) {
	if incarnation, ok = v.applied(group, slot, pos); ok || wait <= 0 {
		return incarnation, ok
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		changed := v.Changed()
		if incarnation, ok = v.applied(group, slot, pos); ok {
			return incarnation, true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return v.applied(group, slot, pos)
		case <-ctx.Done():
			return "", false
		}
	}
}

func (v *View) applied(group, slot string, pos logpos.Pos) (incarnation string, ok bool) {
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

// updateSlot changes one slot in a new snapshot. The caller holds mu.
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

// publish stores the new snapshot and wakes those who wait for a change.
func (v *View) publish(groups map[string]*Group) {
	v.snapshot.Store(&groups)
	close(v.changed)
	v.changed = make(chan struct{})
}

func (g *Group) index(slot string) int {
	return slices.IndexFunc(g.Slots, func(s Slot) bool { return s.Name == slot })
}

// Slot returns the slot of that name.
func (g *Group) Slot(name string) (*Slot, bool) {
	i := g.index(name)
	if i < 0 {
		return nil, false
	}
	return &g.Slots[i], true
}
