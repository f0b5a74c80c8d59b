package timeline

import (
	"context"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	timelinepb "hemlockmast/api/timeline"
)

// The seed is fixed so that each run gives the same verdict; -rapid.seed
// overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

var epoch = time.Date(2026, 1, 31, 22, 15, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func fixedJournal(daemon string, capacity int, ms *int) *Journal {
	return NewJournal(daemon, capacity, func() time.Time { return at(*ms) })
}

// TestMergeKeepsCausalOrder records events and sends messages between daemons whose clocks
// differ widely, stand still and jump back. An event must be shown after every event that
// its daemon knew of through messages.
func TestMergeKeepsCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 3
		var walls [daemons]int
		var journals [daemons]*Journal
		type eventKey struct{ daemon, sequence int }
		// known[d] is the set of events that daemon d knows of. after[e] is the set of
		// events that e must be shown after.
		var known [daemons]map[eventKey]bool
		after := map[eventKey]map[eventKey]bool{}
		var counts [daemons]int
		for d := range daemons {
			walls[d] = rapid.IntRange(0, 20_000).Draw(t, "clock")
			journals[d] = fixedJournal(string(rune('a'+d)), 1000, &walls[d])
			known[d] = map[eventKey]bool{}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			d := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			walls[d] += rapid.IntRange(-50, 50).Draw(t, "clock step")
			if rapid.Bool().Draw(t, "message") {
				to := rapid.IntRange(0, daemons-1).Draw(t, "to")
				if err := journals[to].Accept(journals[d].Stamp()); err != nil {
					t.Fatal(err)
				}
				for e := range known[d] {
					known[to][e] = true
				}
				continue
			}
			counts[d]++
			e := eventKey{d, counts[d]}
			after[e] = map[eventKey]bool{}
			for before := range known[d] {
				after[e][before] = true
			}
			known[d][e] = true
			journals[d].Record(&timelinepb.Event{})
		}
		var lists [][]*timelinepb.Event
		for _, j := range journals {
			lists = append(lists, j.After(0, nil, 0).Events)
		}
		shown := map[eventKey]bool{}
		for _, e := range Merge(lists...) {
			key := eventKey{int(e.Daemon[0] - 'a'), int(e.Sequence)}
			for before := range after[key] {
				if !shown[before] {
					t.Fatalf("event %v is shown before %v, which it follows", key, before)
				}
			}
			shown[key] = true
		}
	})
}

func TestInvalidStampsAreRejected(t *testing.T) {
	var c Clock
	var ahead *AheadError
	far := Stamp{Wall: epoch.Add(MaxAhead + 1).UnixNano()}
	assert.Assert(t, errors.As(c.Accept(epoch, far), &ahead))
	assert.Equal(t, c.Tick(epoch), Stamp{Wall: epoch.UnixNano()})
	full := Stamp{Wall: epoch.UnixNano(), Counter: ^uint32(0)}
	assert.NilError(t, c.Accept(epoch, full))
	assert.Equal(t, c.Tick(epoch).Compare(full), 1)
	for _, bad := range []string{"", "1", "1.", ".1", "-1.0", "1.-1", "1.4294967296", "x.y", "1.2.3"} {
		_, err := ParseStamp(bad)
		var stampErr *StampError
		assert.Assert(t, errors.As(err, &stampErr), bad)
	}
	got, err := ParseStamp(full.String())
	assert.NilError(t, err)
	assert.Equal(t, got, full)
}

func TestJournalIsBoundedAndCountsWhatIsLost(t *testing.T) {
	now := 0
	j := fixedJournal("a", 4, &now)
	for range 10 {
		j.Record(&timelinepb.Event{Detail: strings.Repeat("ä", MaxTextBytes)})
	}
	page := j.After(2, nil, 3)
	assert.Equal(t, page.Lost, uint64(4))
	assert.Equal(t, page.Events[0].Sequence, uint64(7))
	assert.Assert(t, page.More)
	assert.Assert(t, len(page.Events[0].Detail) <= MaxTextBytes)
	page = j.After(page.Next, nil, 3)
	assert.Equal(t, len(page.Events), 1)
	assert.Assert(t, !page.More)
	assert.Equal(t, len(j.After(1<<60, nil, 3).Events), 0)
}

func TestFilter(t *testing.T) {
	e := &timelinepb.Event{Group: "g", Service: "s", Session: "n", Request: "r", Stamp: &timelinepb.Stamp{WallNs: 50}}
	for _, tc := range []struct {
		filter *timelinepb.Filter
		want   bool
	}{
		{nil, true},
		{&timelinepb.Filter{Group: "g", Service: "s", Session: "n", Request: "r", FromNs: 50, ToNs: 50}, true},
		{&timelinepb.Filter{Group: "x"}, false},
		{&timelinepb.Filter{Service: "x"}, false},
		{&timelinepb.Filter{Session: "x"}, false},
		{&timelinepb.Filter{Request: "x"}, false},
		{&timelinepb.Filter{FromNs: 51}, false},
		{&timelinepb.Filter{ToNs: 49}, false},
	} {
		assert.Equal(t, Selects(tc.filter, e), tc.want, "%v", tc.filter)
	}
}

// failoverEvents returns the events of one failover, recorded by three daemons.
func failoverEvents(t testing.TB) []*timelinepb.Event {
	now := 0
	entry, holder, control := fixedJournal("fd1-vm1", 50, &now), fixedJournal("fd2-vm1", 50, &now), fixedJournal("fd3-vm1", 50, &now)
	record := func(ms int, j *Journal, kind timelinepb.Kind, slot string, term uint64, detail string) {
		now = ms
		j.Record(&timelinepb.Event{Kind: kind, Group: "north", Slot: slot, Term: term, Detail: detail})
	}
	record(0, holder, timelinepb.Kind_KIND_PRIMARY_SUSPECTED, "a", 3, "connection reset")
	record(2, entry, timelinepb.Kind_KIND_FIRST_ACKNOWLEDGED_WRITE, "a", 3, "confirmed by slot b before the loss")
	record(40, control, timelinepb.Kind_KIND_SUSPICION_CONFIRMED, "a", 3, "also from fd3")
	record(41, control, timelinepb.Kind_KIND_FENCE_SENT, "", 4, "")
	record(43, control, timelinepb.Kind_KIND_FENCE_GRANTED, "b", 4, "log 3/812")
	record(44, control, timelinepb.Kind_KIND_PROMOTION_CHOSEN, "b", 4, "")
	record(60, control, timelinepb.Kind_KIND_PROMOTED, "b", 4, "")
	record(75, entry, timelinepb.Kind_KIND_FIRST_ACKNOWLEDGED_WRITE, "b", 4, "line\x1b[2Jbreak\n")
	return Merge(control.After(0, nil, 0).Events, entry.After(0, nil, 0).Events, holder.After(0, nil, 0).Events)
}

func TestWriteTableOfFailover(t *testing.T) {
	var out strings.Builder
	assert.NilError(t, WriteTable(&out, failoverEvents(t), time.UTC))
	want := `TIME          SINCE   DAEMON   EVENT                     WHERE                DETAIL
2026-01-31
22:15:00.000  +0.000  fd2-vm1  primary suspected         north slot a term 3  connection reset
22:15:00.002  +0.002  fd1-vm1  first acknowledged write  north slot a term 3  confirmed by slot b before the loss
22:15:00.040  +0.040  fd3-vm1  suspicion confirmed       north slot a term 3  also from fd3
22:15:00.041  +0.041  fd3-vm1  fence sent                north term 4
22:15:00.043  +0.043  fd3-vm1  fence granted             north slot b term 4  log 3/812
22:15:00.044  +0.044  fd3-vm1  promotion chosen          north slot b term 4
22:15:00.060  +0.060  fd3-vm1  promoted                  north slot b term 4
22:15:00.075  +0.075  fd1-vm1  first acknowledged write  north slot b term 4  line?[2Jbreak?
group north: primary a suspected at 22:15:00.000; b promoted in term 4; first acknowledged write at 22:15:00.075; gap 75 ms
`
	lines := strings.Split(out.String(), "\n")
	for i := range lines {
		lines[i] = strings.TrimRight(lines[i], " ")
	}
	assert.Equal(t, strings.Join(lines, "\n"), want)
}

func TestUnfinishedFailovers(t *testing.T) {
	whole := failoverEvents(t)
	for _, tc := range []struct {
		name   string
		events []*timelinepb.Event
		want   string
	}{
		{"promoter died", whole[:5], "no replica is promoted yet, writes wait"},
		{"no majority for a write", whole[:7], "b promoted in term 4; no write is acknowledged yet"},
		{"false alarm", append(whole[:1:1], &timelinepb.Event{Group: "north", Kind: timelinepb.Kind_KIND_SUSPICION_CLEARED}), "cleared"},
	} {
		all := Failovers(tc.events)
		assert.Equal(t, len(all), 1, tc.name)
		_, known := all[0].Gap()
		assert.Assert(t, !known, tc.name)
		assert.Assert(t, strings.Contains(all[0].Sentence(time.UTC), tc.want), all[0].Sentence(time.UTC))
	}
}

func TestStoreSurvivesTornAndDamagedLines(t *testing.T) {
	dir := t.TempDir()
	store, err := OpenStore(dir, 1000)
	assert.NilError(t, err)
	now := 0
	j := fixedJournal("a", 100, &now)
	done, cancel := context.WithCancel(context.Background())
	cancel()
	for range 30 {
		last := j.Last()
		j.Record(&timelinepb.Event{Group: "north"})
		assert.NilError(t, j.WriteTo(done, store, last))
	}
	assert.NilError(t, store.Close())
	whole, damaged, err := ReadStore(dir)
	assert.NilError(t, err)
	assert.Equal(t, damaged, 0)
	assert.Assert(t, len(whole) > 10 && len(whole) < 30, len(whole))
	assert.Equal(t, whole[len(whole)-1].Sequence, uint64(30))

	name := filepath.Join(dir, fileName)
	text, err := os.ReadFile(name)
	assert.NilError(t, err)
	bad := "\x00\x01 not json\n" + strings.Repeat("x", 2*maxLineBytes) + "\n" + string(text[:len(text)-9])
	assert.NilError(t, os.WriteFile(name, []byte(bad), 0o600))
	got, damaged, err := ReadStore(dir)
	assert.NilError(t, err)
	assert.Equal(t, damaged, 3)
	assert.Equal(t, len(got), len(whole)-1)

	// After a restart with a clock that went back, new events still follow the old ones.
	now = -1000
	again := fixedJournal("a", 100, &now)
	again.Restore(got)
	again.Record(&timelinepb.Event{Detail: "new"})
	merged := Merge(again.After(0, nil, 0).Events)
	assert.Equal(t, merged[len(merged)-1].Detail, "new")

	_, err = OpenStore(filepath.Join(dir, "absent"), 1)
	var fileErr *FileError
	assert.Assert(t, errors.As(err, &fileErr))
}

func TestOverwrittenEventsAreRecordedAsLost(t *testing.T) {
	dir := t.TempDir()
	store, err := OpenStore(dir, 1<<20)
	assert.NilError(t, err)
	now := 0
	j := fixedJournal("a", 4, &now)
	for range 10 {
		j.Record(&timelinepb.Event{})
	}
	done, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, j.WriteTo(done, store, 0))
	got, _, err := ReadStore(dir)
	assert.NilError(t, err)
	last := got[len(got)-1]
	assert.Equal(t, last.Kind, timelinepb.Kind_KIND_EVENTS_LOST)
	assert.Equal(t, last.Count, uint64(6))
}
