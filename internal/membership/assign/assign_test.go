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

// TestRemovalMovesOneHolder checks that removing a random candidate replaces that
// candidate alone among the holders; the addition of a candidate is the reverse. It
// also checks that the order of the candidates does not matter, and that local
// candidates are chosen before remote ones.
func TestRemovalMovesOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slot, all := drawSlot(t), drawCandidates(t)
		n := rapid.IntRange(1, 3).Draw(t, "n")
		removed := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		before := Holders(slot, all, n)
		remaining := slices.Delete(slices.Clone(all), removed, removed+1)
		after := Holders(slot, remaining, n)

		assert.Equal(t, len(before), min(n, len(all)))
		wasHolder := slices.Contains(before, all[removed].Name)
		want := 0
		if wasHolder && len(remaining) >= n {
			want = 1
		}
		assert.Equal(t, CountAdded(before, after), want)
		assert.Equal(t, len(slices.Compact(slices.Sorted(slices.Values(before)))), len(before))

		shuffled := rapid.Permutation(all).Draw(t, "order")
		assert.DeepEqual(t, Holders(slot, shuffled, n), before)

		localCandidates := 0
		for _, c := range all {
			if c.FailureDomain == slot.FailureDomain {
				localCandidates++
			}
		}
		for i, name := range before {
			c := all[slices.IndexFunc(all, func(c Candidate) bool { return c.Name == name })]
			assert.Equal(t, c.FailureDomain == slot.FailureDomain, i < localCandidates)
		}
	})
}

// TestBalance assigns 900 slots to 12 candidates of one failure domain. Each must
// hold its fair share of slots within a third. The hash has no seed, so the
// result is the same in every run.
func TestBalance(t *testing.T) {
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
