package quorum

import (
	"testing"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/endpoint"
	"hemlockmast/internal/logpos"
)

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
