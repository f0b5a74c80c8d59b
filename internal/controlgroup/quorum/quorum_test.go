package quorum

import (
	"testing"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
)

func TestBook(t *testing.T) {
	empty := Book{}.Configure([]string{"a", "b", "c"})
	begun := empty.Begin([]Seen{{"a", "a1"}, {"b", "b1"}})
	assert.DeepEqual(t, begun.Members, []Member{{"a", "a1", 0}, {"b", "b1", 0}, {"c", "", 0}})
	for _, tc := range []struct {
		name string
		got  Book
		want Book
	}{
		{"begun only once", begun.Begin([]Seen{{"c", "c1"}}), begun},
		{"a slot seen late counts from the term", begun.Allocate(0, []Seen{{"c", "c1"}}),
			Book{2, []Member{{"a", "a1", 0}, {"b", "b1", 0}, {"c", "c1", 2}}}},
		{"new disk", begun.Allocate(7, []Seen{{"a", "a2"}, {"b", "b1"}}),
			Book{7, []Member{{"a", "a2", 7}, {"b", "b1", 0}, {"c", "", 0}}}},
		{"a term is never allocated twice", begun.Allocate(7, nil).Allocate(3, nil),
			Book{8, begun.Members}},
		{"record kept while it is the same", begun.Allocate(7, []Seen{{"a", "a2"}}).Allocate(0, []Seen{{"a", "a2"}}),
			Book{8, []Member{{"a", "a2", 7}, {"b", "b1", 0}, {"c", "", 0}}}},
		{"nothing seen, nothing lost", begun.Allocate(0, []Seen{{"a", ""}}), Book{2, begun.Members}},
		{"slot nobody configured", begun.Allocate(0, []Seen{{"z", "z1"}}), Book{2, begun.Members}},
		{"slot removed and added again is unknown", begun.Configure([]string{"b", "c"}).Configure([]string{"a", "b"}),
			Book{0, []Member{{"a", "", 0}, {"b", "b1", 0}}}},
		{"operator accepts the loss", begun.Allocate(4, nil).Accept([]Seen{{"a", "a2"}, {"b", "b2"}}),
			Book{4, []Member{{"a", "a2", 0}, {"b", "b2", 0}, {"c", "", 0}}}},
	} {
		assert.DeepEqual(t, tc.got, tc.want)
	}
	assert.Equal(t, begun.Members[0].Incarnation, "a1", "a book does not change")
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
