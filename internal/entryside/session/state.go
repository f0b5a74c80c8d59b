// Package session keeps what a session must see: a floor for each database
// group, raised by every acknowledged write, and the token that carries the
// floors with the caller. The package has no clock and does no input or output.
package session

import (
	"slices"
	"strings"

	"hemlockmast/internal/shared/logpos"
)

// Bounds on the state of one session.
const (
	// MaxGroups bounds the groups in which one session has floors.
	MaxGroups = 32
	// MaxNameLength bounds group and slot names, in bytes.
	MaxNameLength = 64
)

// GroupFloor is the position that a session's reads in one group must see.
type GroupFloor struct {
	Group string
	// Pos is at or below every position that the session's reads may show.
	Pos logpos.Pos
	// Slot is the replica that confirmed the session's last write; empty when
	// none is known.
	Slot string
	// Settled says that no acknowledged write of the session lies above Pos.
	// Without it Pos is only a lower bound.
	Settled bool
	// Wrote says that the session had a write acknowledged in the group.
	Wrote bool
}

// Merge returns the floor that satisfies both f and g. Slot follows the later
// position.
func (f GroupFloor) Merge(g GroupFloor) GroupFloor {
	out := f
	if f.Pos.Less(g.Pos) {
		out = g
	}
	if f.Pos == g.Pos && out.Slot == "" {
		out.Slot = g.Slot
	}
	out.Settled = f.Settled || g.Settled
	out.Wrote = f.Wrote || g.Wrote
	return out
}

// Floors is a list of floors, at most one a group, sorted by group. The zero
// Floors is empty.
type Floors struct{ list []GroupFloor }

// NewFloors builds Floors from list, merging entries of the same group. More
// than MaxGroups groups give *GroupLimitError.
func NewFloors(list []GroupFloor) (Floors, error) {
	var f Floors
	for _, g := range list {
		if err := f.Merge(g); err != nil {
			return Floors{}, err
		}
	}
	return f, nil
}

// Get returns the floor of group; ok is false when none is kept.
func (f Floors) Get(group string) (floor GroupFloor, ok bool) {
	i, ok := f.find(group)
	if !ok {
		return GroupFloor{Group: group}, false
	}
	return f.list[i], true
}

// Merge raises the floor of g's group to satisfy g too. Floors never go down.
func (f *Floors) Merge(g GroupFloor) error {
	i, ok := f.find(g.Group)
	if ok {
		f.list[i] = f.list[i].Merge(g)
		return nil
	}
	if len(f.list) >= MaxGroups {
		return &GroupLimitError{Group: g.Group}
	}
	f.list = slices.Insert(f.list, i, g)
	return nil
}

// List returns a copy of the floors, sorted by group.
func (f Floors) List() []GroupFloor { return slices.Clone(f.list) }

// Len returns the number of groups.
func (f Floors) Len() int { return len(f.list) }

// Clone returns an independent copy.
func (f Floors) Clone() Floors { return Floors{list: slices.Clone(f.list)} }

func (f Floors) find(group string) (int, bool) {
	return slices.BinarySearchFunc(f.list, group, func(g GroupFloor, name string) int {
		return strings.Compare(g.Group, name)
	})
}

// State is what one daemon knows of one session. It is not safe for concurrent
// use; the entry that serves the connection owns it.
//
// Invariant: a settled floor is at or above every write of the session that was
// acknowledged before the floor was settled. An absent group counts as settled
// at the zero position only while the state is complete.
type State struct {
	id       ID
	complete bool
	floors   Floors
}

// New returns the state of a session that begins now, so that no earlier write
// exists. The id is made by this daemon, or empty for a caller without one.
func New(id ID) *State { return &State{id: id, complete: true} }

// Resume returns the state of a session that the caller named, of which nothing
// is known yet.
func Resume(id ID) *State { return &State{id: id} }

// FromToken returns the state that a caller's token carries.
func FromToken(t Token) *State {
	return &State{id: t.ID, complete: t.Complete, floors: t.Floors.Clone()}
}

// ID returns the session's id.
func (s *State) ID() ID { return s.id }

// Complete reports whether groups without a floor are known to have no write of
// the session.
func (s *State) Complete() bool { return s.complete }

// Floors returns a copy of the session's floors.
func (s *State) Floors() Floors { return s.floors.Clone() }

// Floor returns the floor in group. Without Settled the position is a lower
// bound, and the primary has to be asked before a read.
func (s *State) Floor(group string) GroupFloor {
	floor, _ := s.floors.Get(group)
	floor.Settled = floor.Settled || s.complete
	return floor
}

// Raise records an acknowledged write at pos, confirmed by slot. The write's own
// position lies above every earlier write in the group's log, so the floor is
// settled by it. More than MaxGroups groups give *GroupLimitError, and the
// session's floors in groups that are not kept are unknown from then on.
func (s *State) Raise(group string, pos logpos.Pos, slot string) error {
	return s.merge(GroupFloor{Group: group, Pos: pos, Slot: slot, Settled: true, Wrote: true})
}

// Settle records the position that a primary, confirmed by a majority, gave for
// a question sent after the state was made. Every write acknowledged before is
// at or below it.
func (s *State) Settle(group string, pos logpos.Pos) error {
	return s.merge(GroupFloor{Group: group, Pos: pos, Settled: true})
}

// merge gives up completeness with a group that cannot be kept.
func (s *State) merge(g GroupFloor) error {
	err := s.floors.Merge(g)
	if err != nil {
		s.complete = false
	}
	return err
}

// Learn merges what the session directory knows. The directory's completeness
// holds because every daemon writes it before a write is acknowledged.
func (s *State) Learn(floors Floors, complete bool) error {
	s.complete = s.complete || complete
	var last error
	for _, g := range floors.list {
		if err := s.merge(g); err != nil {
			last = err
		}
	}
	return last
}

// AddToken takes the floors of a token that came together with the session's
// id as lower bounds: another connection of the session may have written since
// the token was made, so the token settles nothing. A token of another session
// gives *MismatchError.
func (s *State) AddToken(t Token) error {
	if t.ID != s.id {
		return &MismatchError{Named: s.id, InToken: t.ID}
	}
	for _, g := range t.Floors.list {
		g.Settled = false
		if err := s.merge(g); err != nil {
			return err
		}
	}
	return nil
}

// Token returns the content of the token to report to the caller.
func (s *State) Token() Token {
	return Token{ID: s.id, Complete: s.complete, Floors: s.floors.Clone()}
}
