package quorum

import "slices"

// Seen is a slot and the incarnation that was seen in it.
type Seen struct{ Slot, Incarnation string }

// Membership is a group's last allocated term and its members, as agreed on by
// the control group. It is immutable: methods return the next Membership.
type Membership struct {
	// Term is the last allocated term; 0 for a new group, whose endpoints start
	// in term 1 without an allocation.
	Term uint64
	// Members are the configured slots. A slot whose endpoint was never seen
	// has an empty incarnation and never counts.
	Members []Member
}

// SetSlots returns the membership with the configured slots. A slot that stays
// keeps its record. Slots must be added or removed one at a time, each change
// followed by a promotion, so that the majorities before and after it intersect.
func (ms Membership) SetSlots(slots []string) Membership {
	members := make([]Member, len(slots))
	for i, slot := range slots {
		members[i].Slot = slot
		if k := ms.index(slot); k >= 0 {
			members[i] = ms.Members[k]
		}
	}
	return Membership{Term: ms.Term, Members: members}
}

// RecordInitial records the incarnations with which a group starts. They count in
// every term. It changes nothing once any incarnation is recorded.
func (ms Membership) RecordInitial(seen []Seen) Membership {
	if slices.ContainsFunc(ms.Members, func(m Member) bool { return m.Incarnation != "" }) {
		return ms
	}
	return ms.recordIncarnations(seen, 0)
}

// AllocateTerm returns the membership with the next term, which is at least
// atLeast and at least 2. Seen incarnations that differ from the recorded ones
// replace them and count from that term on.
func (ms Membership) AllocateTerm(atLeast uint64, seen []Seen) Membership {
	term := max(ms.Term+1, atLeast, 2)
	next := ms.recordIncarnations(seen, term)
	next.Term = term
	return next
}

// AcceptDiskLoss returns the membership with the seen incarnations, which count
// immediately. It gives up all data that only the previous disks held, so it has
// to be an operator's decision.
func (ms Membership) AcceptDiskLoss(seen []Seen) Membership { return ms.recordIncarnations(seen, 0) }

// recordIncarnations records the seen incarnations that differ from the recorded
// ones, counting from the term since. It ignores unknown slots and empty
// incarnations.
func (ms Membership) recordIncarnations(seen []Seen, since uint64) Membership {
	next := Membership{Term: ms.Term, Members: slices.Clone(ms.Members)}
	for _, s := range seen {
		i := next.index(s.Slot)
		if i < 0 || s.Incarnation == "" || next.Members[i].Incarnation == s.Incarnation {
			continue
		}
		next.Members[i].Incarnation, next.Members[i].Since = s.Incarnation, since
	}
	return next
}

// index returns the index of slot in Members, or -1.
func (ms Membership) index(slot string) int {
	return slices.IndexFunc(ms.Members, func(m Member) bool { return m.Slot == slot })
}
