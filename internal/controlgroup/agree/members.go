package agree

import (
	"cmp"
	"slices"

	agreepb "hemlockmast/api/agree"
)

// memberPoint is the membership in force from index on.
type memberPoint struct {
	index      uint64
	membership *agreepb.Membership
}

// memberLog is the history of memberships since the snapshot. A membership is
// in force as soon as its entry is in the log, committed or not; truncating
// the entry brings back the one before. It never becomes empty.
type memberLog []memberPoint

func newMemberLog(l *entryLog) memberLog {
	base := l.snapshot.Membership
	if base == nil {
		base = &agreepb.Membership{}
	}
	h := memberLog{{index: l.snapshot.Index, membership: base}}
	for _, e := range l.entries {
		h = h.add(e)
	}
	return h
}

func (h memberLog) add(e *agreepb.Entry) memberLog {
	if e.Kind != agreepb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return h
	}
	return append(h, memberPoint{index: e.Index, membership: e.Membership})
}

func (h memberLog) truncate(index uint64) memberLog {
	for len(h) > 1 && h[len(h)-1].index >= index {
		h = h[:len(h)-1]
	}
	return h
}

// compact drops what was superseded at or before index.
func (h memberLog) compact(index uint64) memberLog {
	for len(h) > 1 && h[1].index <= index {
		h = h[1:]
	}
	return slices.Clone(h)
}

// at returns the membership in force at index.
func (h memberLog) at(index uint64) *agreepb.Membership {
	found := h[0].membership
	for _, p := range h {
		if p.index <= index {
			found = p.membership
		}
	}
	return found
}

func (h memberLog) current() memberPoint { return h[len(h)-1] }

// Voters returns the voters of m in order.
func Voters(m *agreepb.Membership) []ID {
	var list []ID
	for _, member := range m.GetMembers() {
		if member.Voter {
			list = append(list, IDOf(member.Id))
		}
	}
	return list
}

// Find returns the member with this ID, or nil.
func Find(m *agreepb.Membership, id ID) *agreepb.Member {
	for _, member := range m.GetMembers() {
		if IDOf(member.Id) == id {
			return member
		}
	}
	return nil
}

// quorum is the number of voters that make a majority.
func quorum(voters int) int { return voters/2 + 1 }

// without returns a copy of m without the members that drop selects; they are
// recorded as removed.
func without(m *agreepb.Membership, drop func(*agreepb.Member) bool) *agreepb.Membership {
	out := &agreepb.Membership{Removed: slices.Clone(m.GetRemoved())}
	for _, member := range m.GetMembers() {
		if drop(member) {
			out.Removed = append(out.Removed, member.Id)
			continue
		}
		out.Members = append(out.Members, member)
	}
	if extra := len(out.Removed) - maxRemoved; extra > 0 {
		out.Removed = out.Removed[extra:]
	}
	return out
}

// wasRemoved reports whether id is among the recorded removals.
func wasRemoved(m *agreepb.Membership, id ID) bool {
	return slices.ContainsFunc(m.GetRemoved(), func(removed *agreepb.NodeID) bool {
		return IDOf(removed) == id
	})
}

// with returns a copy of m that holds member, in place of one with its ID.
func with(m *agreepb.Membership, member *agreepb.Member) *agreepb.Membership {
	id := IDOf(member.Id)
	out := &agreepb.Membership{Removed: m.GetRemoved(), Members: []*agreepb.Member{member}}
	for _, other := range m.GetMembers() {
		if IDOf(other.Id) != id {
			out.Members = append(out.Members, other)
		}
	}
	slices.SortFunc(out.Members, func(a, b *agreepb.Member) int {
		return cmp.Or(cmp.Compare(a.Id.Name, b.Id.Name),
			cmp.Compare(a.Id.Incarnation, b.Id.Incarnation))
	})
	return out
}

func newMember(id ID, address string, voter bool) *agreepb.Member {
	return &agreepb.Member{Id: id.Proto(), Address: address, Voter: voter}
}

// Founding returns the state of a new group whose only voter is self. Only the
// founder's data folder is formatted with it; other members join.
func Founding(self ID, address string) State {
	m := &agreepb.Membership{Members: []*agreepb.Member{newMember(self, address, true)}}
	return State{
		HardState: &agreepb.HardState{Term: 1, Commit: 1},
		Entries: []*agreepb.Entry{{
			Term: 1, Index: 1, Kind: agreepb.EntryKind_ENTRY_KIND_MEMBERSHIP, Membership: m,
		}},
	}
}
