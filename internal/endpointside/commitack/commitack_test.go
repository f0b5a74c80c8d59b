package commitack

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
)

var (
	start   = time.Unix(1000, 0)
	members = []quorum.Member{
		{Slot: "a", Incarnation: "a1"}, {Slot: "b", Incarnation: "b1"}, {Slot: "c", Incarnation: "c1"},
	}
)

// status returns a status for the group in term 5. The slot's durable log ends
// at index of logTerm.
func status(slot, incarnation string, logTerm, index, fenced uint64) endpoint.Status {
	return endpoint.Status{Slot: slot, Incarnation: incarnation, FencedTerm: fenced,
		Synced: logpos.Pos{Term: logTerm, Index: index}}
}

func newGroup(t testing.TB, slots []quorum.Member) *Group {
	g, err := New(5, "a", slots)
	assert.NilError(t, err)
	return g
}

func add(t testing.TB, g *Group, id ID, index uint64) []Result {
	out, err := g.Add(nil, id, logpos.Pos{Term: 5, Index: index}, start.Add(time.Second))
	assert.NilError(t, err)
	return out
}

// TestObserve applies each row's statuses to a group with two pending commits:
// commit 1 at index 10 and commit 2 at index 20.
func TestObserve(t *testing.T) {
	both := func(slot string) []Result { return []Result{{1, Confirmed, slot}, {2, Confirmed, slot}} }
	lost := []Result{{2, Unknown, ""}, {1, Unknown, ""}}
	late := []quorum.Member{members[0], {Slot: "b", Incarnation: "b2", Since: 6}, members[2]}
	for _, tc := range []struct {
		name    string
		members []quorum.Member
		updates []endpoint.Status
		want    []Result
		pending int
	}{
		{"one status confirms all", members, []endpoint.Status{status("b", "b1", 5, 20, 5)}, both("b"), 0},
		{"behind", members, []endpoint.Status{status("b", "b1", 5, 19, 5)}, []Result{{1, Confirmed, "b"}}, 1},
		{"log of an earlier term, longer", members, []endpoint.Status{status("b", "b1", 4, 99, 5)}, nil, 2},
		{"log of a later term", members, []endpoint.Status{status("b", "b1", 6, 99, 6)}, nil, 2},
		{"holds both but is fenced at a higher term", members, []endpoint.Status{status("b", "b1", 5, 20, 6)}, nil, 2},
		{"status with a higher fence, then an older status", members,
			[]endpoint.Status{status("b", "b1", 5, 5, 6), status("b", "b1", 5, 20, 5)}, nil, 2},
		{"two of three fenced", members,
			[]endpoint.Status{status("b", "b1", 5, 5, 6), status("c", "c1", 5, 5, 6)}, lost, 0},
		{"fenced after it held the first", members,
			[]endpoint.Status{status("b", "b1", 5, 10, 5), status("b", "b1", 5, 10, 6), status("c", "c1", 5, 10, 6)},
			[]Result{{1, Confirmed, "b"}, {2, Unknown, ""}}, 0},
		{"new incarnation", members, []endpoint.Status{status("b", "b2", 5, 20, 5)}, nil, 2},
		{"old incarnation's status after the new one's", members,
			[]endpoint.Status{status("b", "b2", 0, 0, 0), status("b", "b1", 5, 20, 5)}, nil, 2},
		{"incarnation that counts from a later term", late, []endpoint.Status{status("b", "b2", 5, 20, 5)}, nil, 2},
		{"primary lost its disk, one replica", members,
			[]endpoint.Status{status("a", "a2", 0, 0, 0), status("b", "b1", 5, 20, 5)}, nil, 2},
		{"primary lost its disk, both replicas", members,
			[]endpoint.Status{status("a", "a2", 0, 0, 0), status("b", "b1", 5, 20, 5), status("c", "c1", 5, 20, 5)}, both("c"), 0},
		{"primary and a replica lost their disks", members,
			[]endpoint.Status{status("a", "a2", 0, 0, 0), status("b", "b2", 0, 0, 0)}, lost, 0},
		{"primary's own status", members, []endpoint.Status{status("a", "a1", 5, 99, 5)}, nil, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := newGroup(t, tc.members)
			add(t, g, 2, 20)
			add(t, g, 1, 10)
			var got []Result
			for _, st := range tc.updates {
				var err error
				got, err = g.Observe(got, st)
				assert.NilError(t, err)
			}
			assert.DeepEqual(t, got, tc.want)
			assert.Equal(t, g.Pending(), tc.pending)
		})
	}
}

func TestAddAfterStatusConfirmsAtOnce(t *testing.T) {
	g := newGroup(t, members)
	_, err := g.Observe(nil, status("c", "c1", 5, 9, 5))
	assert.NilError(t, err)
	assert.DeepEqual(t, add(t, g, 7, 9), []Result{{7, Confirmed, "c"}})
	assert.Equal(t, g.Confirmed(), logpos.Pos{Term: 5, Index: 9})
}

func TestAddAfterMajorityIsFencedIsUnknownAtOnce(t *testing.T) {
	g := newGroup(t, members)
	for _, s := range []endpoint.Status{status("a", "a1", 5, 9, 6), status("b", "b1", 5, 8, 6)} {
		_, err := g.Observe(nil, s)
		assert.NilError(t, err)
	}
	assert.DeepEqual(t, add(t, g, 7, 9), []Result{{7, Unknown, ""}})
}

func TestExpireAndClose(t *testing.T) {
	g := newGroup(t, members)
	for i, d := range []time.Duration{3, 1, 2, 1} {
		_, err := g.Add(nil, ID(i), logpos.Pos{Term: 5, Index: uint64(i + 1)}, start.Add(d*time.Second))
		assert.NilError(t, err)
	}
	assert.DeepEqual(t, g.Expire(nil, start), []Result(nil))
	assert.DeepEqual(t, g.Expire(nil, start.Add(time.Second)), []Result{{1, Unknown, ""}, {3, Unknown, ""}})
	assert.DeepEqual(t, g.Expire(nil, start.Add(2*time.Second)), []Result{{2, Unknown, ""}})
	assert.DeepEqual(t, g.Close(nil), []Result{{0, Unknown, ""}})
	assert.Equal(t, g.Pending(), 0)
}

func TestBadInput(t *testing.T) {
	_, err := New(5, "z", members)
	assert.ErrorType(t, err, &SlotError{})
	g := newGroup(t, members)
	_, err = g.Observe(nil, status("z", "z1", 5, 1, 5))
	assert.ErrorType(t, err, &SlotError{})
	_, err = g.Add(nil, 1, logpos.Pos{Term: 4, Index: 1}, start)
	assert.ErrorType(t, err, &TermError{})
	assert.Equal(t, g.Pending(), 0)
}

// TestEveryCommitGetsOneResult checks with random commits, statuses and
// deadlines, for three and five slots, that every commit gets exactly one result
// and that no commit is confirmed without a majority that holds it.
func TestEveryCommitGetsOneResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := members
		if rapid.Bool().Draw(t, "five") {
			slots = append(append([]quorum.Member{}, members...), quorum.Member{Slot: "d", Incarnation: "d1"}, quorum.Member{Slot: "e", Incarnation: "e1"})
		}
		g, err := New(5, "a", slots)
		if err != nil {
			t.Fatal(err)
		}
		held, outcomes, index := make([]uint64, len(slots)), map[ID]Outcome{}, map[ID]uint64{}
		record := func(out []Result) {
			for _, r := range out {
				if _, again := outcomes[r.ID]; again {
					t.Fatalf("two results for commit %d", r.ID)
				}
				outcomes[r.ID] = r.Outcome
				n := 0
				for _, h := range held {
					if h >= index[r.ID] {
						n++
					}
				}
				if r.Outcome == Confirmed && n < quorum.Majority(len(slots)) {
					t.Fatalf("commit %d confirmed by %d of %d slots", r.ID, n, len(slots))
				}
			}
		}
		var out []Result
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1:
				i := rapid.Uint64Range(1, 30).Draw(t, "index")
				index[ID(step)] = i
				held[0] = max(held[0], i)
				out, err = g.Add(nil, ID(step), logpos.Pos{Term: 5, Index: i}, start.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "deadline"))*time.Second))
			case 2, 3:
				m := rapid.IntRange(1, len(slots)-1).Draw(t, "slot")
				i, fenced := rapid.Uint64Range(0, 30).Draw(t, "synced"), rapid.SampledFrom([]uint64{5, 5, 5, 6}).Draw(t, "fenced")
				if fenced == 5 {
					held[m] = max(held[m], i)
				}
				out, err = g.Observe(nil, status(slots[m].Slot, slots[m].Incarnation, 5, i, fenced))
			case 4:
				out = g.Expire(nil, start.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "now"))*time.Second))
			}
			if err != nil {
				t.Fatal(err)
			}
			record(out)
		}
		record(g.Close(nil))
		if len(outcomes) != len(index) {
			t.Fatalf("%d results for %d commits", len(outcomes), len(index))
		}
	})
}

// BenchmarkConfirm adds a batch of commits and confirms it by one status.
func BenchmarkConfirm(b *testing.B) {
	const batch = 5000
	g := newGroup(b, members)
	out := make([]Result, 0, batch)
	var index uint64
	deadline := start.Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		out = out[:0]
		for range batch {
			index++
			out, _ = g.Add(out, ID(index), logpos.Pos{Term: 5, Index: index}, deadline)
		}
		out = g.Expire(out, start)
		out, _ = g.Observe(out, status("b", "b1", 5, index, 5))
	}
	assert.Equal(b, len(out), batch)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/batch, "ns/commit")
}
