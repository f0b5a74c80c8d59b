package timeline

import (
	"cmp"
	"slices"

	timelinepb "hemlockmast/api/timeline"
)

// Selects reports whether filter selects e. A nil filter selects all events, and an unset
// field of filter matches any value.
func Selects(filter *timelinepb.Filter, e *timelinepb.Event) bool {
	wall := e.GetStamp().GetWallNs()
	if from := filter.GetFromNs(); from != 0 && wall < from {
		return false
	}
	if to := filter.GetToNs(); to != 0 && wall > to {
		return false
	}
	return matchesField(filter.GetGroup(), e.Group) &&
		matchesField(filter.GetService(), e.Service) &&
		matchesField(filter.GetSession(), e.Session) &&
		matchesField(filter.GetRequest(), e.Request)
}

func matchesField(wanted, have string) bool { return wanted == "" || wanted == have }

// Merge returns the events of all lists in causal order, without duplicates. Events that
// no message relates are ordered by the clocks of their daemons.
func Merge(lists ...[]*timelinepb.Event) []*timelinepb.Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compareEvents)
	return slices.CompactFunc(all, func(a, b *timelinepb.Event) bool {
		return compareEvents(a, b) == 0
	})
}

func compareEvents(a, b *timelinepb.Event) int {
	return cmp.Or(
		stampFromProto(a.Stamp).Compare(stampFromProto(b.Stamp)),
		cmp.Compare(a.Daemon, b.Daemon),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}
