// Package assign chooses the daemons that hold connections to a slot, by rendezvous
// hashing. All daemons that know the same candidates choose the same holders. A
// candidate that is added or removed changes only the slots that it holds.
package assign

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Slot is a slot to assign holders to.
type Slot struct {
	// Group and Name identify the slot.
	Group, Name string
	// FailureDomain is the failure domain of the slot's endpoint.
	FailureDomain string
}

// Candidate is a daemon that can hold connections to slots.
type Candidate struct {
	Name          string
	FailureDomain string
}

// Holders returns the names of the slot's holders, best first: n, or all candidates
// if there are fewer. Candidates in the slot's failure domain rank before all
// others.
func Holders(slot Slot, candidates []Candidate, n int) []string {
	ranked := make([]ranking, 0, len(candidates))
	for _, c := range candidates {
		ranked = append(ranked, ranking{
			name:   c.Name,
			remote: c.FailureDomain != slot.FailureDomain,
			score:  score(slot, c.Name),
		})
	}
	slices.SortFunc(ranked, compareRankings)
	names := make([]string, 0, n)
	for _, r := range ranked[:min(n, len(ranked))] {
		names = append(names, r.name)
	}
	return names
}

// ranking is what one candidate is sorted by for one slot.
type ranking struct {
	name   string
	remote bool // in another failure domain than the slot
	score  uint64
}

// compareRankings orders local candidates before remote ones, then by falling
// score. The name breaks a tie.
func compareRankings(a, b ranking) int {
	if a.remote != b.remote {
		if a.remote {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
}

// score is the hash of a slot and a candidate. The zero bytes separate the names,
// so that different names do not join to the same text.
func score(slot Slot, name string) uint64 {
	return xxhash.Sum64String(slot.Group + "\x00" + slot.Name + "\x00" + name)
}

// CountAdded returns the number of names in after that are not in before.
func CountAdded(before, after []string) int {
	added := 0
	for _, name := range after {
		if !slices.Contains(before, name) {
			added++
		}
	}
	return added
}
