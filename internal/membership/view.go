package membership

import (
	"cmp"
	"slices"
)

// Members returns every known daemon including this one, in name order.
func (s *State) Members() []MemberView {
	out := []MemberView{{Member: s.self, Reachable: true}}
	for _, m := range s.members {
		reachable := !s.silent[m.FailureDomain]
		if m.seed && m.Incarnation == 0 {
			reachable = false // known from the settings only
		}
		out = append(out, MemberView{Member: m.Member, Reachable: reachable})
	}
	slices.SortFunc(out, func(a, b MemberView) int { return compareText(a.Name, b.Name) })
	return out
}

// Endpoints returns the endpoint in use for each configured slot that has one,
// in order of group and slot.
func (s *State) Endpoints() []EndpointView {
	var out []EndpointView
	for id := range s.slots {
		if inUse, refused := s.chooseClaim(id); inUse != nil {
			out = append(out, EndpointView{Claim: inUse.Claim, Contested: len(refused) > 0})
		}
	}
	slices.SortFunc(out, func(a, b EndpointView) int { return compareSlots(a.SlotID, b.SlotID) })
	return out
}

func compareSlots(a, b SlotID) int {
	return cmp.Or(compareText(a.Group, b.Group), compareText(a.Slot, b.Slot))
}

// Problems returns the current problems for the operator: first a name conflict,
// then those of the slots, then unknown slots, each in a fixed order.
func (s *State) Problems() []Problem {
	var out []Problem
	if s.nameConflict != nil {
		out = append(out, s.nameConflict)
	}
	var ids []SlotID
	for id := range s.slots {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareSlots)
	for _, id := range ids {
		out = append(out, s.slotProblems(id)...)
	}
	var unknownSlots []*UnknownSlotError
	for id, u := range s.unknownSlots {
		unknownSlots = append(unknownSlots, &UnknownSlotError{SlotID: id, Address: u.address})
	}
	slices.SortFunc(unknownSlots, func(a, b *UnknownSlotError) int { return compareSlots(a.SlotID, b.SlotID) })
	for _, u := range unknownSlots {
		out = append(out, u)
	}
	return out
}

func (s *State) slotProblems(id SlotID) []Problem {
	inUse, refused := s.chooseClaim(id)
	var out []Problem
	for _, c := range refused {
		out = append(out, &SlotConflictError{SlotID: id, InUse: inUse.Address, Refused: c.Address})
	}
	for _, c := range s.liveClaims(id) {
		if inUse != nil && c.Incarnation == inUse.Incarnation && c.Address != inUse.Address &&
			c.announcedAt.Sub(inUse.firstHeardAt) > diskCopyGrace {
			out = append(out, &DiskConflictError{SlotID: id, Incarnation: c.Incarnation, InUse: inUse.Address, Refused: c.Address})
		}
	}
	return out
}
