// Package mark keeps watermarks: positions of a service's log that cover every
// commit acknowledged before a known moment. It is pure.
package mark

import (
	"time"

	"hemlockmast/internal/shared/logpos"
)

const (
	// spacing is the least time between two kept marks.
	spacing = 20 * time.Millisecond
	// maxMarks bounds the history; with spacing it covers more than the staleness
	// that routes allow.
	maxMarks = 256
)

// Mark is a position that a primary told in answer to a question. It covers
// every commit acknowledged before the question was sent.
type Mark struct {
	// Asked is when the question was sent, on the clock of package boottime.
	Asked time.Duration
	Pos   logpos.Pos
}

// History is the marks of one service, oldest first. The zero History is empty.
// It is not safe for concurrent use.
type History struct{ marks []Mark }

// Add takes a mark in. A mark that is no later than the newest is dropped.
func (h *History) Add(m Mark) {
	n := len(h.marks)
	switch {
	case n == 0:
	case m.Asked <= h.marks[n-1].Asked:
		return
	case m.Pos.Less(h.marks[n-1].Pos):
		// The answer crossed a later one; the later position covers as much.
		m.Pos = h.marks[n-1].Pos
	}
	if n > 1 && m.Asked-h.marks[n-2].Asked < spacing {
		// The newest mark moves on until it is far enough from the one before.
		h.marks[n-1] = m
		return
	}
	h.marks = append(h.marks, m)
	if len(h.marks) > maxMarks {
		h.marks = append(h.marks[:0], h.marks[maxMarks/2:]...)
	}
}

// Since returns the oldest mark whose question was sent at t or later: the
// easiest one to meet for a replica.
func (h *History) Since(t time.Duration) (Mark, bool) {
	for _, m := range h.marks {
		if m.Asked >= t {
			return m, true
		}
	}
	return Mark{}, false
}

// Len returns the number of marks kept.
func (h *History) Len() int { return len(h.marks) }

// Newest returns when the question of the newest mark was sent; 0 without one.
func (h *History) Newest() time.Duration {
	if len(h.marks) == 0 {
		return 0
	}
	return h.marks[len(h.marks)-1].Asked
}

// Reset forgets all marks. A new primary may have rolled back what they name.
func (h *History) Reset() { h.marks = nil }
