// Package age computes an upper bound on the age of a replica's data, and
// decides from that bound whether the replica may take reads. The age is the time
// since the primary committed the oldest record that the replica has not applied,
// or 0 if there is none.
//
// All times are parameters and readings of the monotonic clock of one observer,
// a daemon that queries the slots. Readings of different clocks are never
// compared.
package age

import (
	"slices"
	"time"

	"hemlockmast/internal/shared/logpos"
)

const (
	// Granularity is the unit to which ages are rounded up.
	Granularity = time.Millisecond
	// maxObservations is the number of observations that a History keeps at most.
	maxObservations = 256
)

// observation records that the primary's log ended at or before pos at time at.
type observation struct {
	pos logpos.Pos
	at  time.Time
}

// History holds the log positions that one observer has seen at the primary of
// one group. The zero History is empty. It is not safe for concurrent use.
//
// Invariant: observations are in strictly ascending order of both position and
// time. Dropping an observation can only make computed ages larger.
type History struct{ observations []observation }

// Observe records that the primary reported the position pos in reply to a
// request sent at the time sent. The time of the reply must not be used, because
// the primary may have written more while the reply was in transit.
//
// Only replies of a primary may be passed whose term a majority of the group's
// slots confirmed after sent. A superseded primary no longer advances,
// and its position would make stale replicas look fresh.
func (h *History) Observe(sent time.Time, pos logpos.Pos) {
	i, found := h.find(pos)
	if h.dominated(i, found, sent) {
		return
	}
	end := i
	for end < len(h.observations) && !h.observations[end].at.After(sent) {
		end++
	}
	h.observations = slices.Replace(h.observations, i, end, observation{pos: pos, at: sent})
	if len(h.observations) > maxObservations {
		h.dropAlternate()
	}
}

// dominated reports whether an observation with the same or an earlier position
// is at least as recent as sent. Index i is where the position is, or where it
// would be inserted.
func (h *History) dominated(i int, found bool, sent time.Time) bool {
	if found {
		return !h.observations[i].at.Before(sent)
	}
	return i > 0 && !h.observations[i-1].at.Before(sent)
}

// dropAlternate drops every other observation in the older half.
func (h *History) dropAlternate() {
	half := len(h.observations) / 2
	kept := h.observations[:0]
	for i, o := range h.observations {
		if i >= half || i%2 == 0 {
			kept = append(kept, o)
		}
	}
	h.observations = kept
}

// AgeBound returns an upper bound on the age of data at position applied,
// rounded up to Granularity. Data at that position includes everything that the
// primary held at the time now minus age. known is false when there is no
// observation at or before applied, so that the age cannot be bounded.
func (h *History) AgeBound(now time.Time, applied logpos.Pos) (age time.Duration, known bool) {
	i, found := h.find(applied)
	if found {
		i++
	}
	if i == 0 {
		return 0, false
	}
	return roundUp(now.Sub(h.observations[i-1].at)), true
}

// Since returns the time elapsed since the earliest observation at or past pos.
// The primary may have reached pos up to one round trip after that observation's
// time, which is the time of the request. known is false when there is no such
// observation.
func (h *History) Since(now time.Time, pos logpos.Pos) (elapsed time.Duration, known bool) {
	i, _ := h.find(pos)
	if i == len(h.observations) {
		return 0, false
	}
	return max(0, now.Sub(h.observations[i].at)), true
}

func (h *History) find(pos logpos.Pos) (int, bool) {
	return slices.BinarySearchFunc(h.observations, pos, func(o observation, pos logpos.Pos) int {
		return o.pos.Compare(pos)
	})
}

func roundUp(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return (d + Granularity - 1) / Granularity * Granularity
}
