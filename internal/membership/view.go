package membership

import (
	"cmp"
	"slices"
)

// Members returns every known daemon, this one too, in name order.
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
		if use, refused := s.choose(id); use != nil {
			out = append(out, EndpointView{Claim: use.Claim, Contested: len(refused) > 0})
		}
	}
	slices.SortFunc(out, func(a, b EndpointView) int { return compareSlots(a.SlotID, b.SlotID) })
	return out
}

func compareSlots(a, b SlotID) int {
	return cmp.Or(compareText(a.Group, b.Group), compareText(a.Slot, b.Slot))
}

// Problems returns what an operator should know of, in a fixed order.
func (s *State) Problems() []Problem {
	var out []Problem
	if s.clash != nil {
		out = append(out, s.clash)
	}
	var ids []SlotID
	for id := range s.slots {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareSlots)
	for _, id := range ids {
		out = append(out, s.slotProblems(id)...)
	}
	var unknown []*UnknownSlotError
	for id, u := range s.unknown {
		unknown = append(unknown, &UnknownSlotError{SlotID: id, Address: u.address})
	}
	slices.SortFunc(unknown, func(a, b *UnknownSlotError) int { return compareSlots(a.SlotID, b.SlotID) })
	for _, u := range unknown {
		out = append(out, u)
	}
	return out
}

func (s *State) slotProblems(id SlotID) []Problem {
	use, refused := s.choose(id)
	var out []Problem
	for _, c := range refused {
		out = append(out, &SlotConflictError{SlotID: id, InUse: use.Address, Refused: c.Address})
	}
	for _, c := range s.liveClaims(id) {
		if use != nil && c.Incarnation == use.Incarnation && c.Address != use.Address &&
			c.direct.Sub(use.first) > cloneLimit {
			out = append(out, &DiskConflictError{SlotID: id, Incarnation: c.Incarnation, InUse: use.Address, Refused: c.Address})
		}
	}
	return out
}
