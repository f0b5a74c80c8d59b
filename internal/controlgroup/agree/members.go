package agree

import (
	"cmp"
	"slices"

	agreepb "hemlockmast/api/agree"
)

// membershipVersion is the membership in force from index on.
type membershipVersion struct {
	index      uint64
	membership *agreepb.Membership
}

// membershipHistory lists the memberships since the snapshot. A membership is in
// force as soon as its entry is in the log, committed or not; truncating the
// entry restores the previous one. The history is never empty.
type membershipHistory []membershipVersion

func newMembershipHistory(l *entryLog) membershipHistory {
	base := l.snapshot.Membership
	if base == nil {
		base = &agreepb.Membership{}
	}
	h := membershipHistory{{index: l.snapshot.Index, membership: base}}
	for _, e := range l.entries {
		h = h.add(e)
	}
	return h
}

func (h membershipHistory) add(e *agreepb.Entry) membershipHistory {
	if e.Kind != agreepb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return h
	}
	return append(h, membershipVersion{index: e.Index, membership: e.Membership})
}

func (h membershipHistory) truncate(index uint64) membershipHistory {
	for len(h) > 1 && h[len(h)-1].index >= index {
		h = h[:len(h)-1]
	}
	return h
}

// compact drops the memberships that were superseded at or before index.
func (h membershipHistory) compact(index uint64) membershipHistory {
	for len(h) > 1 && h[1].index <= index {
		h = h[1:]
	}
	return slices.Clone(h)
}

// at returns the membership in force at index.
func (h membershipHistory) at(index uint64) *agreepb.Membership {
	found := h[0].membership
	for _, p := range h {
		if p.index <= index {
			found = p.membership
		}
	}
	return found
}

func (h membershipHistory) current() membershipVersion { return h[len(h)-1] }

// Voters returns the voters of m in membership order.
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

// quorum returns the size of a majority of the given number of voters.
func quorum(voters int) int { return voters/2 + 1 }

// withoutMembers returns a copy of m without the members that drop selects, and
// records those as removed.
func withoutMembers(m *agreepb.Membership, drop func(*agreepb.Member) bool) *agreepb.Membership {
	out := &agreepb.Membership{Removed: slices.Clone(m.GetRemoved())}
	for _, member := range m.GetMembers() {
		if drop(member) {
			out.Removed = append(out.Removed, member.Id)
			continue
		}
		out.Members = append(out.Members, member)
	}
	if extra := len(out.Removed) - maxRecordedRemovals; extra > 0 {
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

// withMember returns a copy of m with member added, replacing any member of the
// same ID. Members are sorted by name and incarnation.
func withMember(m *agreepb.Membership, member *agreepb.Member) *agreepb.Membership {
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

// InitialState returns the initial state of a new group whose only voter is self.
// Only the first member's data folder is formatted with it; other members join.
func InitialState(self ID, address string) State {
	m := &agreepb.Membership{Members: []*agreepb.Member{newMember(self, address, true)}}
	return State{
		HardState: &agreepb.HardState{Term: 1, Commit: 1},
		Entries: []*agreepb.Entry{{
			Term: 1, Index: 1, Kind: agreepb.EntryKind_ENTRY_KIND_MEMBERSHIP, Membership: m,
		}},
	}
}
