// Package carrier decides which entry of a failure domain holds the connections to an
// endpoint. An entry is a daemon that serves callers. Where entries outnumber an endpoint's
// connections, an entry on its own would have to open one for nearly every statement. One
// entry, the carrier, then holds the failure domain's connections and lends them to the
// others: the connections are carried. The package has no state and does no I/O.
package carrier

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// carryBelow and directFrom are connections per entry. Below carryBelow the connections
	// are carried; from directFrom on, each entry opens its own again. An entry needs at
	// least two, so that a statement finds a connection while an idle transaction holds
	// the other. The hysteresis keeps entries that come and go from switching the mode
	// back and forth.
	carryBelow = 2
	directFrom = 3
	// minCarriedShare is the smallest share of a failure domain, in connections, with which
	// connections are carried. Idle transactions would hold most of a smaller share while
	// the connections of other failure domains stay unused. Entries that open their own
	// connections share all of them.
	minCarriedShare = 8
	// sharedPercent is the part of an endpoint's connections that is divided among the
	// failure domains. The rest is for the connections of former holders: they are still
	// open while the mode or the carrier changes, and the endpoint counts those of a VM
	// for some seconds after the VM lost power.
	sharedPercent = 50
	// reservedConns is how many of an endpoint's connections are left for control's probes and
	// promotions.
	reservedConns = 3
	// successorCount is how many entries after the carrier also get a share, so that they can
	// take over.
	successorCount = 1
)

// IsCarried reports whether connections to an endpoint are carried. limit is the
// endpoint's connection limit, entries the number of all entries and domains the number
// of their failure domains. wasCarried is the previous result, for the hysteresis.
func IsCarried(limit, entries, domains int, wasCarried bool) bool {
	if Share(limit, domains) < minCarriedShare {
		return false
	}
	connsPerEntry := max(0, limit-reservedConns) / max(entries, 1)
	if wasCarried {
		return connsPerEntry < directFrom
	}
	return connsPerEntry < carryBelow
}

// Share returns the number of connections that a failure domain may keep open to an
// endpoint with the given connection limit.
func Share(limit, domains int) int {
	shared := max(0, limit-reservedConns) * sharedPercent / 100
	return shared / max(domains, 1)
}

// Rank orders the entries of a failure domain by rendezvous hashing: the first is the
// endpoint's carrier, the next takes over when the first is unreachable. When an entry
// joins or leaves, only the endpoints that it carries move.
func Rank(endpoint string, entries []string) []string {
	type weightedEntry struct {
		entry  string
		weight uint64
	}
	weighted := make([]weightedEntry, 0, len(entries))
	for _, e := range entries {
		weighted = append(weighted, weightedEntry{entry: e, weight: xxhash.Sum64String(endpoint + "\x00" + e)})
	}
	slices.SortFunc(weighted, func(a, b weightedEntry) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.entry, b.entry))
	})
	ranked := make([]string, 0, len(weighted))
	for _, w := range weighted {
		ranked = append(ranked, w.entry)
	}
	return ranked
}

// HasShare reports whether the entry self gets a share of the endpoint's connections.
func HasShare(ranked []string, self string) bool {
	rank := slices.Index(ranked, self)
	return rank >= 0 && rank <= successorCount
}
