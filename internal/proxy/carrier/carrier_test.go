package carrier

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// TestIsCarried covers the sizes of the known deployments and the target size.
func TestIsCarried(t *testing.T) {
	for _, row := range []struct {
		limit, entries, domains int
		carried                 bool
	}{
		{21, 8, 4, false}, {23, 9, 3, false}, {46, 9, 5, false}, {166, 76, 5, false},
		{35, 72, 3, false}, {51, 82, 4, false}, {117, 194, 6, true}, {117, 1200, 6, true},
		{117, 1200, 12, false}, {20, 0, 0, false}, {2, 8, 1, false},
	} {
		assert.Equal(t, IsCarried(row.limit, row.entries, row.domains, false), row.carried, "%+v", row)
	}
}

// TestIsCarriedHasHysteresis varies the number of entries around the threshold. The mode
// must not switch back and forth.
func TestIsCarriedHasHysteresis(t *testing.T) {
	carried, switches := false, 0
	for round := range 50 {
		entries := 57 + round%3
		now := IsCarried(117, entries, 6, carried)
		if now != carried {
			switches++
		}
		carried = now
	}
	assert.Assert(t, switches <= 1, "%d switches", switches)
	assert.Assert(t, !IsCarried(117, 30, 6, true))
}

// TestSharesFitLimitDuringTakeover adds up the shares of the carrier and its successor in
// each failure domain: both are open while the carrier changes. They must stay within the
// endpoint's limit.
func TestSharesFitLimitDuringTakeover(t *testing.T) {
	for _, row := range []struct{ limit, domains int }{{35, 3}, {51, 4}, {117, 6}, {117, 12}, {166, 5}} {
		assert.Assert(t, (1+successorCount)*Share(row.limit, row.domains)*row.domains <= row.limit, "%+v", row)
	}
}

// TestRankMovesOnlyEndpointsOfRemovedEntry removes one of 32 entries. Only the endpoints
// that it carried may move, each to its successor.
func TestRankMovesOnlyEndpointsOfRemovedEntry(t *testing.T) {
	var entries []string
	for i := range 32 {
		entries = append(entries, fmt.Sprintf("10.0.0.%d:7440", i))
	}
	const gone = 7
	left := slices.Delete(slices.Clone(entries), gone, gone+1)
	carried := make(map[string]int)
	for i := range 600 {
		endpoint := fmt.Sprintf("i-%04x", i)
		before, after := Rank(endpoint, entries), Rank(endpoint, left)
		carried[before[0]]++
		if before[0] == entries[gone] {
			assert.Equal(t, after[0], before[1])
		} else {
			assert.Equal(t, after[0], before[0])
		}
	}
	for entry, n := range carried {
		// 600 endpoints over 32 entries: 19 each, plus 4 standard deviations.
		assert.Assert(t, n < 36, "%s carries %d", entry, n)
	}
	assert.Equal(t, len(carried), len(entries))
}

func TestHasShare(t *testing.T) {
	ranked := []string{"a", "b", "c"}
	assert.Assert(t, HasShare(ranked, "a"))
	assert.Assert(t, HasShare(ranked, "b"))
	assert.Assert(t, !HasShare(ranked, "c"))
	assert.Assert(t, !HasShare(ranked, "d"))
}
