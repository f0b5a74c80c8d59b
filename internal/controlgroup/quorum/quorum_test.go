package quorum

import (
	"testing"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
)

func TestMembership(t *testing.T) {
	empty := Membership{}.SetSlots([]string{"a", "b", "c"})
	initial := empty.RecordInitial([]Seen{{"a", "a1"}, {"b", "b1"}})
	assert.DeepEqual(t, initial.Members, []Member{{"a", "a1", 0}, {"b", "b1", 0}, {"c", "", 0}})
	for _, tc := range []struct {
		name string
		got  Membership
		want Membership
	}{
		{"initial incarnations are recorded only once", initial.RecordInitial([]Seen{{"c", "c1"}}), initial},
		{"a slot seen late counts from the term", initial.AllocateTerm(0, []Seen{{"c", "c1"}}),
			Membership{2, []Member{{"a", "a1", 0}, {"b", "b1", 0}, {"c", "c1", 2}}}},
		{"new disk", initial.AllocateTerm(7, []Seen{{"a", "a2"}, {"b", "b1"}}),
			Membership{7, []Member{{"a", "a2", 7}, {"b", "b1", 0}, {"c", "", 0}}}},
		{"a term is never allocated twice", initial.AllocateTerm(7, nil).AllocateTerm(3, nil),
			Membership{8, initial.Members}},
		{"record kept while it is the same", initial.AllocateTerm(7, []Seen{{"a", "a2"}}).AllocateTerm(0, []Seen{{"a", "a2"}}),
			Membership{8, []Member{{"a", "a2", 7}, {"b", "b1", 0}, {"c", "", 0}}}},
		{"empty incarnation is ignored", initial.AllocateTerm(0, []Seen{{"a", ""}}), Membership{2, initial.Members}},
		{"unconfigured slot is ignored", initial.AllocateTerm(0, []Seen{{"z", "z1"}}), Membership{2, initial.Members}},
		{"slot removed and added again is unknown", initial.SetSlots([]string{"b", "c"}).SetSlots([]string{"a", "b"}),
			Membership{0, []Member{{"a", "", 0}, {"b", "b1", 0}}}},
		{"operator accepts the loss", initial.AllocateTerm(4, nil).AcceptDiskLoss([]Seen{{"a", "a2"}, {"b", "b2"}}),
			Membership{4, []Member{{"a", "a2", 0}, {"b", "b2", 0}, {"c", "", 0}}}},
	} {
		assert.DeepEqual(t, tc.got, tc.want)
	}
	assert.Equal(t, initial.Members[0].Incarnation, "a1", "a membership does not change")
}

func TestMember(t *testing.T) {
	m := Member{Slot: "a", Incarnation: "a2", Since: 6}
	st := func(incarnation string, term uint64) endpoint.Status {
		return endpoint.Status{Incarnation: incarnation, Synced: logpos.Pos{Term: term, Index: 9}}
	}
	assert.Assert(t, m.CountsGrant(st("a2", 6)) && m.CountsGrant(st("a2", 8)))
	assert.Assert(t, !m.CountsGrant(st("a2", 5)), "log not yet in the term")
	assert.Assert(t, !m.CountsGrant(st("a1", 9)), "another disk")
	assert.Assert(t, m.CountsIn(6) && !m.CountsIn(5))
	assert.Assert(t, !Member{}.CountsIn(9) && !Member{}.Is(st("", 9)), "never seen")
	for n, want := range map[int]int{1: 1, 2: 2, 3: 2, 4: 3, 5: 3} {
		assert.Equal(t, Majority(n), want)
	}
}
