package directory

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hemlockmast/internal/entryside/session"
	"hemlockmast/internal/shared/logpos"
)

// A fixed seed makes every run give the same result. -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

var start = time.Unix(1000, 0)

func floorsOf(t assert.TestingT, group string, index uint64, settled bool) session.Floors {
	f, err := session.NewFloors([]session.GroupFloor{{
		Group: group, Pos: logpos.Pos{Term: 1, Index: index}, Settled: settled, Wrote: !settled,
	}})
	assert.NilError(t, err)
	return f
}

func TestChoose(t *testing.T) {
	var members []Member
	for i := range 9 {
		members = append(members, Member{Name: fmt.Sprint("vm", i), FailureDomain: fmt.Sprint("fd", i%4)})
	}
	moved := 0
	const ids = 2000
	for i := range ids {
		id := session.ID(fmt.Sprint("s", i))
		pair := Choose(id, members)
		assert.Equal(t, len(pair), Copies)
		assert.Assert(t, pair[0].FailureDomain != pair[1].FailureDomain)
		without := Choose(id, members[1:])
		kept := pair[0] != members[0] && pair[1] != members[0]
		if fmt.Sprint(pair) != fmt.Sprint(without) {
			moved++
			assert.Assert(t, !kept, "an entry moved that the removed member did not keep")
		}
	}
	assert.Assert(t, moved > ids/9 && moved < ids/3, moved)
	for _, tc := range []struct {
		name    string
		members []Member
		want    int
	}{
		{"no members", nil, 0},
		{"one member", members[:1], 1},
		{"one failure domain", []Member{members[0], members[4]}, 2},
	} {
		assert.Equal(t, len(Choose("s", tc.members)), tc.want, tc.name)
	}
}

// The cases with known false lose an entry. Its floor must then be unknown, not
// zero or too low.
func TestLostEntryMakesFloorUnknown(t *testing.T) {
	limits := Limits{MaxEntries: 2, TTL: time.Minute}
	type pair [2]*Table
	lookup := func(p pair, now time.Time) CombinedAnswer {
		return Combine(2, []Answer{p[0].Lookup(now, "s"), p[1].Lookup(now, "s")})
	}
	for _, tc := range []struct {
		name  string
		fault func(p *pair) time.Time
		known bool
	}{
		{"nothing lost", func(p *pair) time.Time { return start }, true},
		{"one copy restarted with an empty table", func(p *pair) time.Time {
			p[0] = NewTable(77, limits)
			return start
		}, false},
		{"both copies restarted, then a delayed record of an earlier write", func(p *pair) time.Time {
			p[0], p[1] = NewTable(77, limits), NewTable(78, limits)
			for _, c := range p {
				c.Record(start, "s", floorsOf(t, "g", 3, false))
			}
			return start
		}, false},
		{"one copy restarted, settled with the stamp from before the restart", func(p *pair) time.Time {
			old := p[0].Lookup(start, "s").Stamp
			p[0] = NewTable(77, limits)
			p[0].Settle(start, "s", old, floorsOf(t, "g", 3, true))
			return start
		}, false},
		{"entry expired", func(p *pair) time.Time { return start.Add(limits.TTL) }, false},
		{"entry evicted by other sessions", func(p *pair) time.Time {
			p[1].Create(start, "x")
			p[1].Create(start, "y")
			return start
		}, false},
		{"one copy restarted and settled again", func(p *pair) time.Time {
			p[0] = NewTable(77, limits)
			stamp := p[0].Lookup(start, "s").Stamp
			p[0].Settle(start, "s", stamp, floorsOf(t, "g", 9, true))
			return start
		}, true},
	} {
		p := pair{NewTable(1, limits), NewTable(2, limits)}
		for i, c := range p {
			c.Create(start, "s")
			// The write at 7 is recorded at both copies, the one at 8 only at the
			// second.
			c.Record(start, "s", floorsOf(t, "g", 7+uint64(i), false))
		}
		now := tc.fault(&p)
		got := lookup(p, now)
		floor, _ := got.Floors.Get("g")
		known := got.Complete || floor.Settled
		assert.Equal(t, known, tc.known, tc.name)
		assert.Assert(t, !known || floor.Pos.Index >= 8, tc.name)
		other, _ := got.Floors.Get("h")
		assert.Assert(t, !other.Settled, tc.name)
	}
}

func TestOneCopyAloneSettlesNothing(t *testing.T) {
	table := NewTable(1, Limits{MaxEntries: 9, TTL: time.Minute})
	answer := table.Create(start, "s")
	assert.Assert(t, Combine(1, []Answer{answer}).Complete)
	assert.Assert(t, !Combine(2, []Answer{answer}).Complete)
	assert.Assert(t, !Combine(0, nil).Complete)
}

func TestGroupAboveLimitIsUnknown(t *testing.T) {
	table := NewTable(1, Limits{MaxEntries: 9, TTL: time.Minute})
	table.Create(start, "s")
	for i := range session.MaxGroups {
		table.Record(start, "s", floorsOf(t, fmt.Sprint("g", i), 1, false))
	}
	assert.Assert(t, table.Lookup(start, "s").Complete)
	answer := table.Record(start, "s", floorsOf(t, "one more", 1, false))
	assert.Assert(t, !answer.Complete)
}

// modelSystem models two copies and daemons that may use old stamps. At any step a
// copy may lose its entries or become unreachable. A known floor must cover every
// acknowledged write.
type modelSystem struct {
	copies          [2]*Table
	disconnected    [2]bool
	lastIncarnation uint64
	lastIndex       uint64
	ackedIndex      uint64
	pending         []pendingSettle
}

type pendingSettle struct {
	stamps [2]Stamp
	index  uint64
}

func (m *modelSystem) write(t *rapid.T) {
	m.lastIndex++
	reached := false
	for i, c := range m.copies {
		if m.disconnected[i] {
			continue
		}
		c.Record(start, "s", floorsOf(t, "g", m.lastIndex, false))
		reached = true
	}
	if reached {
		m.ackedIndex = m.lastIndex
	}
}

func (m *modelSystem) startSettle() {
	var p pendingSettle
	for i, c := range m.copies {
		if !m.disconnected[i] {
			p.stamps[i] = c.Lookup(start, "s").Stamp
		}
	}
	p.index = m.lastIndex
	m.pending = append(m.pending, p)
}

func (m *modelSystem) finishSettle(t *rapid.T) {
	if len(m.pending) == 0 {
		return
	}
	chosen := rapid.IntRange(0, len(m.pending)-1).Draw(t, "pending")
	p := m.pending[chosen]
	for i, c := range m.copies {
		if !m.disconnected[i] {
			c.Settle(start, "s", p.stamps[i], floorsOf(t, "g", p.index, true))
		}
	}
}

func (m *modelSystem) check(t *rapid.T) {
	var answers []Answer
	for i, c := range m.copies {
		if !m.disconnected[i] {
			answers = append(answers, c.Lookup(start, "s"))
		}
	}
	got := Combine(2, answers)
	floor, _ := got.Floors.Get("g")
	if (got.Complete || floor.Settled) && floor.Pos.Index < m.ackedIndex {
		t.Fatalf("floor %v is known, but a write at %d was acknowledged", floor.Pos, m.ackedIndex)
	}
}

func TestKnownFloorCoversEveryAcknowledgedWrite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxEntries: 4, TTL: time.Hour}
		m := &modelSystem{copies: [2]*Table{NewTable(1, limits), NewTable(2, limits)}, lastIncarnation: 2}
		for _, c := range m.copies {
			c.Create(start, "s")
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			side := rapid.IntRange(0, 1).Draw(t, "side")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				m.write(t)
			case 1:
				m.startSettle()
			case 2:
				m.finishSettle(t)
			case 3:
				m.disconnected[side] = !m.disconnected[side]
			case 4:
				m.lastIncarnation++
				m.copies[side] = NewTable(m.lastIncarnation, limits)
			}
			m.check(t)
		}
	})
}
