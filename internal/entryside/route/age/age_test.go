package age

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hemlockmast/internal/shared/logpos"
)

// The seed is fixed so that each run gives the same verdict; -rapid.seed
// overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

var testStart = time.Unix(5000, 0)

func at(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

// primaryLog is the actual log of the primary. commits[i] is the time in
// milliseconds at which the record with index i+1 was committed.
type primaryLog struct{ commits []int }

func (p primaryLog) indexAt(ms int) uint64 {
	n := uint64(0)
	for _, c := range p.commits {
		if c <= ms {
			n++
		}
	}
	return n
}

// trueAge is the time since the commit of the oldest record that the replica
// lacks.
func (p primaryLog) trueAge(now int, applied uint64) time.Duration {
	if applied >= uint64(len(p.commits)) || p.commits[applied] > now {
		return 0
	}
	return time.Duration(now-p.commits[applied]) * time.Millisecond
}

// Checks that an age is never understated, however replication lags, stalls or
// pauses, and although replies are delayed and reordered.
func TestAgeIsNeverUnderstated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log primaryLog
		now := 0
		for range rapid.IntRange(0, 40).Draw(t, "commits") {
			now += rapid.IntRange(0, 30).Draw(t, "pause")
			log.commits = append(log.commits, now)
		}
		end := now + 50
		var history History
		for range rapid.IntRange(0, 60).Draw(t, "polls") {
			sent := rapid.IntRange(0, end).Draw(t, "sent")
			readAt := sent + rapid.IntRange(0, 40).Draw(t, "travel")
			received := readAt + rapid.IntRange(0, 40).Draw(t, "way back")
			assert.Assert(t, received >= sent)
			history.Observe(at(sent), logpos.Pos{Term: 1, Index: log.indexAt(readAt)})
		}
		asOf := end + rapid.IntRange(0, 40).Draw(t, "now")
		applied := rapid.Uint64Range(0, uint64(len(log.commits))).Draw(t, "applied")
		got, known := history.AgeBound(at(asOf), logpos.Pos{Term: 1, Index: applied})
		if known && got < log.trueAge(asOf, applied) {
			t.Fatalf("age %v, true age %v", got, log.trueAge(asOf, applied))
		}
	})
}

func TestAge(t *testing.T) {
	var h History
	for _, o := range []struct {
		sent int
		pos  logpos.Pos
	}{{0, logpos.Pos{Term: 1, Index: 5}}, {10, logpos.Pos{Term: 1, Index: 5}}, {20, logpos.Pos{Term: 1, Index: 8}}, {30, logpos.Pos{Term: 2, Index: 2}}} {
		h.Observe(at(o.sent), o.pos)
	}
	for _, tc := range []struct {
		name    string
		applied logpos.Pos
		want    int
		known   bool
	}{
		{"lagging: age since the primary was last seen at or before the position", logpos.Pos{Term: 1, Index: 6}, 90, true},
		{"caught up in the term that ended", logpos.Pos{Term: 1, Index: 9}, 80, true},
		{"replayed into the later term", logpos.Pos{Term: 2, Index: 2}, 70, true},
		{"stalled before the first observation", logpos.Pos{Term: 1, Index: 4}, 0, false},
		{"empty disk", logpos.Pos{}, 0, false},
	} {
		got, known := h.AgeBound(at(100), tc.applied)
		assert.Equal(t, known, tc.known, tc.name)
		assert.Equal(t, got, time.Duration(tc.want)*time.Millisecond, tc.name)
	}
	got, _ := h.AgeBound(at(100).Add(time.Nanosecond), logpos.Pos{Term: 2, Index: 2})
	assert.Equal(t, got, 71*time.Millisecond)
	_, known := h.Since(at(100), logpos.Pos{Term: 2, Index: 3})
	assert.Assert(t, !known)
}

func TestHistoryIsBounded(t *testing.T) {
	var h History
	for i := range 100_000 {
		h.Observe(at(i), logpos.Pos{Term: 1, Index: uint64(i + 1)})
		assert.Assert(t, len(h.observations) <= maxObservations)
	}
	got, known := h.AgeBound(at(100_000), logpos.Pos{Term: 1, Index: 99_990})
	assert.Assert(t, known && got < 20*time.Millisecond, got)
}

func TestGate(t *testing.T) {
	thresholds := Thresholds{Exclude: 100 * time.Millisecond, Readmit: 50 * time.Millisecond, Hold: 20 * time.Millisecond}
	var g Gate
	for _, step := range []struct {
		now, age int
		known    bool
		behind   bool
		name     string
	}{
		{0, 100, true, false, "at Exclude"},
		{1, 101, true, true, "above Exclude"},
		{2, 80, true, true, "between the thresholds"},
		{3, 40, true, true, "below Readmit, Hold has not passed"},
		{20, 60, true, true, "above Readmit again"},
		{21, 40, true, true, "below Readmit, Hold starts again"},
		{40, 40, true, true, "just before the end of Hold"},
		{41, 40, true, false, "at the end of Hold"},
		{50, 90, true, false, "between the thresholds while not behind"},
		{51, 0, false, true, "age unknown"},
	} {
		got := g.Observe(at(step.now), thresholds, time.Duration(step.age)*time.Millisecond, step.known)
		assert.Equal(t, got, step.behind, step.name)
	}
}
