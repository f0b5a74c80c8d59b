package daemon

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hemlockmast/internal/slotview"
)

// member is a daemon that can hold connections.
type member struct {
	name          string
	failureDomain string
}

// chooseHolders returns the n daemons that hold a slot's connections: those of
// the slot's failure domain first, each part ordered by rendezvous hash.
func chooseHolders(slot *slotview.Slot, members []member, n int) []string {
	key := slot.Group + "/" + slot.Name + "/"
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b member) int {
		aLocal := a.failureDomain == slot.FailureDomain
		bLocal := b.failureDomain == slot.FailureDomain
		if aLocal != bLocal {
			if aLocal {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(key+b.name), xxhash.Sum64String(key+a.name)),
			cmp.Compare(a.name, b.name),
		)
	})
	names := make([]string, 0, n)
	for _, m := range ranked[:min(n, len(ranked))] {
		names = append(names, m.name)
	}
	return names
}

// reservedConnections are kept free on each slot for a promotion.
const reservedConnections = 1

// baseShare returns the connections of a slot that the holder at index may use
// for callers, out of limit, when n holders share it. One connection of each
// holder watches the endpoint.
func baseShare(limit, n, index int) int {
	free := limit - reservedConnections - n
	share := free / n
	if index < free%n {
		share++
	}
	return max(share, 0)
}
