package directory

import (
	"github.com/cespare/xxhash/v2"

	"hemlockmast/internal/entryside/session"
)

// Copies is the number of daemons that keep a copy of each entry.
const Copies = 2

// Member is a daemon that keeps a part of the directory.
type Member struct {
	Name          string
	FailureDomain string
}

// Choose returns the members that keep id's entry, by rendezvous hashing. The
// first is the member with the highest score. The second is the one with the
// highest score outside the first one's failure domain, or, if all members are in
// one failure domain, the one with the next highest score. A single member is
// returned alone. The order of members does not matter, and adding or removing a
// member moves only the entries that this member keeps.
func Choose(id session.ID, members []Member) []Member {
	first := indexOfHighest(id, members, func(Member) bool { return true })
	if first < 0 {
		return nil
	}
	chosen := []Member{members[first]}
	second := indexOfHighest(id, members, func(m Member) bool {
		return m.FailureDomain != chosen[0].FailureDomain
	})
	if second < 0 {
		second = indexOfHighest(id, members, func(m Member) bool { return m.Name != chosen[0].Name })
	}
	if second >= 0 {
		chosen = append(chosen, members[second])
	}
	return chosen
}

// indexOfHighest returns the index of the eligible member with the highest score,
// or -1 if none is eligible. Among equal scores the lower name wins.
func indexOfHighest(id session.ID, members []Member, eligible func(Member) bool) int {
	bestIndex := -1
	var bestScore uint64
	for i, m := range members {
		if !eligible(m) {
			continue
		}
		score := score(id, m.Name)
		if bestIndex < 0 || score > bestScore || score == bestScore && m.Name < members[bestIndex].Name {
			bestIndex, bestScore = i, score
		}
	}
	return bestIndex
}

func score(id session.ID, name string) uint64 {
	var buf [2 * session.MaxNameLength]byte
	key := append(buf[:0], name...)
	key = append(key, 0)
	key = append(key, id...)
	return xxhash.Sum64(key)
}
