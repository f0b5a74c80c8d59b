// Package age bounds how old the data of a replica is. All times are readings
// of one observer's monotonic clock, passed in; no two clocks are compared.
package age

import (
	"slices"
	"time"

	"hemlockmast/internal/shared/logpos"
)

const (
	// Granularity is the unit to which ages are rounded up.
	Granularity = time.Millisecond
	// maxObservations bounds the observations that a History keeps.
	maxObservations = 256
)

// observation says that the primary was at or before pos at time at.
type observation struct {
	pos logpos.Pos
	at  time.Time
}

// History holds what one observer knows of the positions of one group's
// primary. The zero History is empty. It is not safe for concurrent use.
//
// Invariant: observations are in strictly ascending order of both position and
// time. Leaving an observation out makes ages larger, never smaller.
type History struct{ list []observation }

// Observe records an answer of the primary: the position pos, given to a
// question sent at the time sent. The time of the answer would be wrong: the
// primary may have moved on while the answer travelled. The caller must pass
// only answers of a primary whose term a majority of the group's slots confirmed
// after sent; a superseded primary stands still and would make its replicas look
// fresh.
func (h *History) Observe(sent time.Time, pos logpos.Pos) {
	i, found := h.find(pos)
	if h.dominated(i, found, sent) {
		return
	}
	end := i
	for end < len(h.list) && !h.list[end].at.After(sent) {
		end++
	}
	h.list = slices.Replace(h.list, i, end, observation{pos: pos, at: sent})
	if len(h.list) > maxObservations {
		h.thin()
	}
}

// dominated reports whether an observation at or before the position is as new.
// Index i is where the position is or belongs.
func (h *History) dominated(i int, found bool, sent time.Time) bool {
	if found {
		return !h.list[i].at.Before(sent)
	}
	return i > 0 && !h.list[i-1].at.Before(sent)
}

// thin drops every other observation of the older half.
func (h *History) thin() {
	half := len(h.list) / 2
	kept := h.list[:0]
	for i, o := range h.list {
		if i >= half || i%2 == 0 {
			kept = append(kept, o)
		}
	}
	h.list = kept
}

// Of returns a bound on the age of data at position applied, rounded up: all that
// the primary held that long before now is visible. Known is false when no
// observation reaches back to the position; no statement on the age is then
// possible.
func (h *History) Of(now time.Time, applied logpos.Pos) (age time.Duration, known bool) {
	i, found := h.find(applied)
	if found {
		i++
	}
	if i == 0 {
		return 0, false
	}
	return roundUp(now.Sub(h.list[i-1].at)), true
}

// Since returns how long ago the primary was first known to be at or past pos;
// known is false when it is not known to have been there.
func (h *History) Since(now time.Time, pos logpos.Pos) (elapsed time.Duration, known bool) {
	i, _ := h.find(pos)
	if i == len(h.list) {
		return 0, false
	}
	return max(0, now.Sub(h.list[i].at)), true
}

func (h *History) find(pos logpos.Pos) (int, bool) {
	return slices.BinarySearchFunc(h.list, pos, func(o observation, pos logpos.Pos) int {
		return o.pos.Compare(pos)
	})
}

func roundUp(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return (d + Granularity - 1) / Granularity * Granularity
}
