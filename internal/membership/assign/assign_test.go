package assign

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var domains = []string{"a", "b", "c", "d"}

func drawCandidates(t *rapid.T) []Candidate {
	count := rapid.IntRange(1, 40).Draw(t, "candidates")
	var out []Candidate
	for i := range count {
		out = append(out, Candidate{Name: fmt.Sprintf("vm%d", i), FailureDomain: rapid.SampledFrom(domains).Draw(t, "domain")})
	}
	return out
}

func drawSlot(t *rapid.T) Slot {
	return Slot{
		Group:         rapid.StringMatching(`[a-z]{1,4}`).Draw(t, "group"),
		Name:          rapid.StringMatching(`s[0-9]{1,2}`).Draw(t, "slot"),
		FailureDomain: rapid.SampledFrom(domains).Draw(t, "home"),
	}
}

// TestMovement takes one candidate away, at random, which is also one coming
// back: only its own place moves, and holders are local as far as they can be.
func TestMovement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slot, all := drawSlot(t), drawCandidates(t)
		n := rapid.IntRange(1, 3).Draw(t, "n")
		gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		before := Holders(slot, all, n)
		rest := slices.Delete(slices.Clone(all), gone, gone+1)
		after := Holders(slot, rest, n)

		assert.Equal(t, len(before), min(n, len(all)))
		lost := slices.Contains(before, all[gone].Name)
		want := 0
		if lost && len(rest) >= n {
			want = 1
		}
		assert.Equal(t, Moves(before, after), want)
		assert.Equal(t, len(slices.Compact(slices.Sorted(slices.Values(before)))), len(before))

		shuffled := rapid.Permutation(all).Draw(t, "order")
		assert.DeepEqual(t, Holders(slot, shuffled, n), before)

		home := 0
		for _, c := range all {
			if c.FailureDomain == slot.FailureDomain {
				home++
			}
		}
		for i, name := range before {
			c := all[slices.IndexFunc(all, func(c Candidate) bool { return c.Name == name })]
			assert.Equal(t, c.FailureDomain == slot.FailureDomain, i < home)
		}
	})
}

// TestSpread gives 900 slots to 12 candidates of one domain: each holds its
// part within a third. The hash has no seed, so the figures never change.
func TestSpread(t *testing.T) {
	var all []Candidate
	for i := range 12 {
		all = append(all, Candidate{Name: fmt.Sprintf("vm%d", i), FailureDomain: "a"})
	}
	held := map[string]int{}
	for g := range 300 {
		for s := range 3 {
			for _, name := range Holders(Slot{fmt.Sprintf("g%d", g), fmt.Sprintf("s%d", s), "a"}, all, 2) {
				held[name]++
			}
		}
	}
	const fair = 900 * 2 / 12
	for name, n := range held {
		assert.Assert(t, n > fair*2/3 && n < fair*4/3, "%s holds %d", name, n)
	}
	assert.Equal(t, len(held), 12)
}
