// Package carrier decides which entries hold the connections to an endpoint. An entry is a
// daemon that serves callers. Where entries outnumber an endpoint's connections, an entry
// on its own would have to open one for nearly every statement. A few entries, the
// carriers, then hold the connections and lend them to the others. The package has no state
// and does no I/O.
package carrier

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minDirectConns and resumeDirectConns are connections per entry. Below minDirectConns
	// the connections are carried; from resumeDirectConns on, each entry opens its own
	// again. An entry needs at least two, so that a statement finds a connection while an
	// idle transaction holds the other. The hysteresis keeps entries that come and go from
	// switching the mode back and forth.
	minDirectConns    = 2
	resumeDirectConns = 3
	// minShare is the smallest number of connections that a carrier is given. Idle
	// transactions would hold most of a smaller share.
	minShare = 8
	// sharedPercent is the part of an endpoint's connections that is divided among the
	// failure domains in mode Near. The rest is for the connections of former holders:
	// they are still open while the mode or the carrier changes, and the endpoint counts
	// those of a VM for some seconds after the VM lost power.
	sharedPercent = 50
	// reservedConns is how many of an endpoint's connections are left for control's probes and
	// promotions.
	reservedConns = 3
	// distantRoundTrip is the round-trip time between failure domains from which mode Near is not
	// used. There, session values, a prepared statement and the begin of a transaction cross one
	// after the other before the first statement; in mode Home a carrier does that next to the
	// endpoint.
	distantRoundTrip = 4 * time.Millisecond
	// successorCount is how many entries after the carrier also get a share in mode Near, so
	// that they can take over.
	successorCount = 1
	// minCarriers and maxCarriers bound the carriers of an endpoint in mode Home. With two,
	// one can be lost. Each sees a part of the endpoint's queue, which is too small to
	// decide from with many.
	minCarriers = 2
	maxCarriers = 4
)

// Mode is who holds the connections to the endpoints of a service.
type Mode int

const (
	// Direct: each entry opens its own.
	Direct Mode = iota
	// Near: in each failure domain one entry lends to the others there. The hop stays within
	// the failure domain, but the connections are divided among the failure domains.
	Near
	// Home: a few entries in the endpoint's own failure domain lend to all entries. A
	// network partition takes them away only together with the endpoint.
	Home
)

// String returns the mode's name for logs.
func (m Mode) String() string { return [...]string{"direct", "near", "home"}[m] }

// ChooseMode returns the mode for an endpoint's connections. limit is the endpoint's
// connection limit, entries the number of all entries and domains the number of their
// failure domains, roundTrip the usual round-trip time between these, 0 if unknown. previous is
// the last result, for the hysteresis.
func ChooseMode(limit, entries, domains int, roundTrip time.Duration, previous Mode) Mode {
	minPerEntry := minDirectConns
	if previous != Direct {
		minPerEntry = resumeDirectConns
	}
	if max(0, limit-reservedConns)/max(entries, 1) >= minPerEntry {
		return Direct
	}
	// A failure domain that is cut off no longer counts, which must not change the mode.
	minNearShare := minShare
	if previous == Home {
		minNearShare = 2 * minShare
	}
	mayBeNear := roundTrip < distantRoundTrip || HomeShare(limit, minCarriers) < minShare
	switch {
	case mayBeNear && Share(limit, domains) >= minNearShare:
		return Near
	case HomeShare(limit, minCarriers) >= minShare:
		return Home
	}
	return Direct
}

// Share returns the number of connections that a failure domain may keep open in mode Near
// to an endpoint with the given connection limit.
func Share(limit, domains int) int {
	shared := max(0, limit-reservedConns) * sharedPercent / 100
	return shared / max(domains, 1)
}

// HomeShare returns the number of connections that each carrier may keep open in mode Home.
func HomeShare(limit, carriers int) int {
	return max(0, limit-reservedConns) / max(carriers, 1)
}

// Endpoint is an endpoint that needs carriers.
type Endpoint struct {
	ID string
	// Limit is the endpoint's connection limit.
	Limit int
}

// Deal returns the carriers of each endpoint of a failure domain in mode Home: those that
// carry the fewest endpoints so far, and among those the first by rendezvous hashing. The
// entries carry equally many, to within one, because a carrier's link and processor bear
// few. When an entry or an endpoint joins or leaves, few others move.
func Deal(endpoints []Endpoint, entries []string) map[string][]string {
	if len(entries) == 0 || len(endpoints) == 0 {
		return nil
	}
	sorted := slices.SortedFunc(slices.Values(endpoints), func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	load := make(map[string]int, len(entries))
	dealt := make(map[string][]string, len(sorted))
	for _, e := range sorted {
		ranked := Rank(e.ID, entries)
		slices.SortStableFunc(ranked, func(a, b string) int { return cmp.Compare(load[a], load[b]) })
		dealt[e.ID] = ranked[:carrierCount(e.Limit, len(sorted), len(entries))]
		for _, name := range dealt[e.ID] {
			load[name]++
		}
	}
	return dealt
}

// carrierCount returns how many carriers an endpoint gets in a failure domain.
func carrierCount(limit, endpoints, entries int) int {
	most := min(maxCarriers, max(0, limit-reservedConns)/minShare)
	// Rounding to the nearest keeps the count when an entry leaves an even deal.
	perEndpoint := (2*entries + endpoints) / (2 * endpoints)
	return min(max(min(perEndpoint, most), minCarriers), entries)
}

// Order returns an endpoint's carriers in mode Home in the order in which the entry self
// asks them. A carrier uses its own connections; the others spread evenly.
func Order(carriers []string, self string) []string {
	if slices.Contains(carriers, self) {
		return []string{self}
	}
	return Rank(self, carriers)
}

// Rank orders entries by rendezvous hashing with a key. In mode Near the key is an
// endpoint's id: the first entry of the failure domain is its carrier, and the next takes
// over when the first is unreachable. When an entry joins or leaves, only the endpoints
// that it carries move.
func Rank(key string, entries []string) []string {
	type weightedEntry struct {
		entry  string
		weight uint64
	}
	weighted := make([]weightedEntry, 0, len(entries))
	for _, e := range entries {
		weighted = append(weighted, weightedEntry{entry: e, weight: xxhash.Sum64String(key + "\x00" + e)})
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

// HasShare reports whether the entry self gets a share of the endpoint's connections in mode
// Near.
func HasShare(ranked []string, self string) bool {
	rank := slices.Index(ranked, self)
	return rank >= 0 && rank <= successorCount
}
