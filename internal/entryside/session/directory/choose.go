package directory

import (
	"github.com/cespare/xxhash/v2"

	"hemlockmast/internal/entryside/session"
)

// Copies is the number of daemons that keep each entry.
const Copies = 2

// Member is a daemon that can keep a part of the directory.
type Member struct {
	Name          string
	FailureDomain string
}

// Choose returns the members that keep id's entry, by rendezvous hash: the one
// with the highest score, and the one with the highest score outside the first
// one's failure domain. When all members are in one failure domain the second
// is the next by score; a single member stands alone. The order of members does
// not matter, and a member that comes or goes moves only the entries it keeps.
func Choose(id session.ID, members []Member) []Member {
	first := best(id, members, func(Member) bool { return true })
	if first < 0 {
		return nil
	}
	out := []Member{members[first]}
	second := best(id, members, func(m Member) bool {
		return m.FailureDomain != out[0].FailureDomain
	})
	if second < 0 {
		second = best(id, members, func(m Member) bool { return m.Name != out[0].Name })
	}
	if second >= 0 {
		out = append(out, members[second])
	}
	return out
}

// best returns the index of the eligible member with the highest score, or -1.
// Equal scores go to the lower name.
func best(id session.ID, members []Member, eligible func(Member) bool) int {
	at := -1
	var top uint64
	for i, m := range members {
		if !eligible(m) {
			continue
		}
		score := score(id, m.Name)
		if at < 0 || score > top || score == top && m.Name < members[at].Name {
			at, top = i, score
		}
	}
	return at
}

func score(id session.ID, name string) uint64 {
	var buf [2 * session.MaxNameLength]byte
	key := append(buf[:0], name...)
	key = append(key, 0)
	key = append(key, id...)
	return xxhash.Sum64(key)
}
