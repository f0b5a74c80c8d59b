// Package assign chooses the holders of a slot by rendezvous hash: every daemon
// with the same members chooses the same, and a member that comes or goes moves
// only the slots that it holds.
package assign

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Slot is a slot to assign.
type Slot struct {
	Group, Name string
	// FailureDomain is where the slot's endpoint runs.
	FailureDomain string
}

// Candidate is a daemon that can hold connections.
type Candidate struct {
	Name          string
	FailureDomain string
}

// Holders returns the names of the slot's holders, n of them or as many as
// there are candidates, best first. Candidates of the slot's failure domain come
// first, others fill up where it has too few.
func Holders(slot Slot, candidates []Candidate, n int) []string {
	ranked := make([]ranking, 0, len(candidates))
	for _, c := range candidates {
		ranked = append(ranked, ranking{
			name:  c.Name,
			away:  c.FailureDomain != slot.FailureDomain,
			score: score(slot, c.Name),
		})
	}
	slices.SortFunc(ranked, compare)
	names := make([]string, 0, n)
	for _, r := range ranked[:min(n, len(ranked))] {
		names = append(names, r.name)
	}
	return names
}

// ranking is one candidate's place for one slot.
type ranking struct {
	name  string
	away  bool
	score uint64
}

func compare(a, b ranking) int {
	if a.away != b.away {
		if a.away {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
}

// score is the hash of slot and candidate. The zero bytes keep names apart.
func score(slot Slot, name string) uint64 {
	return xxhash.Sum64String(slot.Group + "\x00" + slot.Name + "\x00" + name)
}

// Moves returns how many holders of after were not in before.
func Moves(before, after []string) int {
	moved := 0
	for _, name := range after {
		if !slices.Contains(before, name) {
			moved++
		}
	}
	return moved
}
