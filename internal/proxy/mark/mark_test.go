package mark

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hemlockmast/internal/shared/logpos"
)

func at(n uint64) logpos.Pos { return logpos.Pos{Term: 1, Index: n} }

// TestMarkCoversAcknowledgedCommits adds the answers of a primary whose log grows, in any
// order of arrival. The mark returned for t must never lie before the end of the log at t.
func TestMarkCoversAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h History
		// At time x the log ends at x/10+1; an answer reports that position or a later one.
		for range rapid.IntRange(1, 300).Draw(t, "answers") {
			requestedMs := rapid.Int64Range(0, 5000).Draw(t, "asked")
			delayMs := rapid.Int64Range(0, 50).Draw(t, "later")
			h.Add(Mark{RequestedAt: time.Duration(requestedMs) * time.Millisecond, Pos: at(uint64(requestedMs+delayMs)/10 + 1)})
		}
		sinceMs := rapid.Int64Range(0, 5000).Draw(t, "since")
		m, ok := h.Since(time.Duration(sinceMs) * time.Millisecond)
		if ok {
			assert.Assert(t, m.Pos.Index >= uint64(sinceMs)/10+1)
			assert.Assert(t, m.RequestedAt >= time.Duration(sinceMs)*time.Millisecond)
		}
		assert.Assert(t, len(h.marks) <= maxMarks+1)
	})
}

func TestResetForgets(t *testing.T) {
	var h History
	h.Add(Mark{RequestedAt: time.Second, Pos: at(4)})
	h.Reset()
	_, ok := h.Since(0)
	assert.Assert(t, !ok)
}
