// Package mark keeps watermarks. A watermark is a position in a service's log that covers
// every commit acknowledged before a known time. The package does no I/O.
package mark

import (
	"time"

	"hemlockmast/internal/shared/logpos"
)

const (
	// minSpacing is the minimum time between a mark in the history and the second one
	// after it.
	minSpacing = 20 * time.Millisecond
	// maxMarks bounds the history, whose older half is dropped beyond that. With
	// minSpacing, it covers more than the staleness limits of routes.
	maxMarks = 256
)

// Mark is a watermark: a log position that a primary reported. It covers every commit
// acknowledged before the position was requested.
type Mark struct {
	// RequestedAt is when the request was sent, on the clock of package boottime.
	RequestedAt time.Duration
	Pos         logpos.Pos
}

// History holds the marks of one service, oldest first. The zero value is empty. A History
// is not safe for concurrent use.
type History struct{ marks []Mark }

// Add adds a mark. It drops a mark that was requested no later than the newest one.
func (h *History) Add(m Mark) {
	n := len(h.marks)
	switch {
	case n == 0:
	case m.RequestedAt <= h.marks[n-1].RequestedAt:
		return
	case m.Pos.Less(h.marks[n-1].Pos):
		// The answers arrived out of order. The later position, which an earlier request
		// got, covers the same commits.
		m.Pos = h.marks[n-1].Pos
	}
	if n > 1 && m.RequestedAt-h.marks[n-2].RequestedAt < minSpacing {
		// The new mark is too close to the last but one and replaces the newest.
		h.marks[n-1] = m
		return
	}
	h.marks = append(h.marks, m)
	if len(h.marks) > maxMarks {
		h.marks = append(h.marks[:0], h.marks[maxMarks/2:]...)
	}
}

// Since returns the oldest mark requested at t or later: of those that cover t, replicas
// reach it first. It reports false if there is none.
func (h *History) Since(t time.Duration) (Mark, bool) {
	for _, m := range h.marks {
		if m.RequestedAt >= t {
			return m, true
		}
	}
	return Mark{}, false
}

// Len returns the number of marks.
func (h *History) Len() int { return len(h.marks) }

// NewestRequestedAt returns when the newest mark was requested; 0 without marks.
func (h *History) NewestRequestedAt() time.Duration {
	if len(h.marks) == 0 {
		return 0
	}
	return h.marks[len(h.marks)-1].RequestedAt
}

// Reset removes all marks. A new primary may have rolled back the positions they hold.
func (h *History) Reset() { h.marks = nil }
