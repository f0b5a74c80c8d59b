package quorum

import "slices"

// Seen is an incarnation that was seen in a slot.
type Seen struct{ Slot, Incarnation string }

// Book is the record of a group's terms that control agrees on. A Book is a
// value: methods return the next one and leave the old one as it is.
type Book struct {
	// Term is the last term that was allocated; 0 for a new group, whose
	// endpoints begin in term 1 by themselves.
	Term uint64
	// Members are the configured slots. A slot whose endpoint was never seen
	// has an empty incarnation and counts for nothing.
	Members []Member
}

// Configure returns the book with the configured slots: what is recorded of a
// slot that stays is kept. Slots are to be added or removed one at a time, each
// followed by a promotion, so that majorities of before and after meet.
func (b Book) Configure(slots []string) Book {
	members := make([]Member, len(slots))
	for i, slot := range slots {
		members[i].Slot = slot
		if k := b.index(slot); k >= 0 {
			members[i] = b.Members[k]
		}
	}
	return Book{Term: b.Term, Members: members}
}

// Begin records the incarnations of a group that has no record yet. They count
// from the start. It changes nothing once one is recorded.
func (b Book) Begin(seen []Seen) Book {
	if slices.ContainsFunc(b.Members, func(m Member) bool { return m.Incarnation != "" }) {
		return b
	}
	return b.record(seen, 0)
}

// Allocate returns the book with the next term, at least atLeast and at least 2.
// Seen incarnations that are not the recorded ones count from that term on.
func (b Book) Allocate(atLeast uint64, seen []Seen) Book {
	term := max(b.Term+1, atLeast, 2)
	next := b.record(seen, term)
	next.Term = term
	return next
}

// Accept returns the book with the incarnations that are named, which count at
// once. It gives up what only the disks before held: an operator's decision.
func (b Book) Accept(seen []Seen) Book { return b.record(seen, 0) }

func (b Book) record(seen []Seen, since uint64) Book {
	next := Book{Term: b.Term, Members: slices.Clone(b.Members)}
	for _, s := range seen {
		i := next.index(s.Slot)
		if i < 0 || s.Incarnation == "" || next.Members[i].Incarnation == s.Incarnation {
			continue
		}
		next.Members[i].Incarnation, next.Members[i].Since = s.Incarnation, since
	}
	return next
}

func (b Book) index(slot string) int {
	return slices.IndexFunc(b.Members, func(m Member) bool { return m.Slot == slot })
}
