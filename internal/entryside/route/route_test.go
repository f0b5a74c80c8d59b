package route

import (
	"errors"
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/entryside/session"
	"hemlockmast/internal/shared/logpos"
)

// The seed is fixed so that each run gives the same verdict; -rapid.seed
// overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func fixed() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func pos(term, index uint64) logpos.Pos { return logpos.Pos{Term: term, Index: index} }

const ms = time.Millisecond

// cluster is a group in health: primary a of term 2 at 2/100, replica b that
// confirmed 2/90 and holds 2/95, replica c at 2/80.
func cluster() []Slot {
	replica := Slot{Role: endpoint.RoleReplica, Age: 50 * ms, AgeKnown: true, Delay: 40 * ms, ApplyDelay: ms, Latency: ms}
	a := Slot{Name: "a", Role: endpoint.RolePrimary, Term: 2, Synced: pos(2, 100), Applied: pos(2, 100), Latency: ms}
	b, c := replica, replica
	b.Name, b.Synced, b.Applied = "b", pos(2, 95), pos(2, 95)
	c.Name, c.Synced, c.Applied = "c", pos(2, 80), pos(2, 80)
	return []Slot{a, b, c}
}

func read() Request {
	return Request{
		Class:     ClassReadOnly,
		Floor:     session.GroupFloor{Pos: pos(2, 90), Slot: "b", Settled: true, Wrote: true},
		Remaining: time.Second,
	}
}

// Each row changes the group in health or the request; zero want is a refusal.
func TestFaults(t *testing.T) {
	session5 := Policy{MaxWait: 5 * ms}
	aged := Policy{Level: LevelAge, MaxAge: 100 * ms, MaxWait: 5 * ms}
	for _, tc := range []struct {
		name   string
		policy Policy
		fault  func(s []Slot, r *Request)
		want   Decision
		reason Reason
	}{
		{"health: the confirming replica", session5, func([]Slot, *Request) {},
			Decision{Action: ActionSend, Slot: "b", Floor: pos(2, 90)}, 0},
		{"confirming replica has synced, not applied", session5, func(s []Slot, r *Request) { s[1].Applied = pos(2, 85) },
			Decision{Action: ActionWait, Slot: "b", Wait: 5 * ms, Floor: pos(2, 90)}, 0},
		{"confirmed, not yet reported here", session5, func(s []Slot, r *Request) { s[1].Applied, s[1].Synced = pos(2, 85), pos(2, 85) },
			Decision{Action: ActionWait, Slot: "b", Wait: 5 * ms, Floor: pos(2, 90)}, 0},
		{"apply too slow", session5, func(s []Slot, r *Request) { s[1].Applied, s[1].ApplyDelay = pos(2, 85), 9*ms },
			Decision{Action: ActionSend, Slot: "a", Floor: pos(2, 90)}, 0},
		{"apply too slow, no primary: wait longer", session5, func(s []Slot, r *Request) {
			s[1].Applied, s[1].ApplyDelay, s[0].Suspect = pos(2, 85), 9*ms, true
		}, Decision{Action: ActionWait, Slot: "b", Wait: time.Second, Floor: pos(2, 90)}, 0},
		{"slow to apply, but the write is old", session5, func(s []Slot, r *Request) {
			s[1].Applied, s[1].ApplyDelay, r.FloorAge = pos(2, 85), 39*ms, 38*ms
		}, Decision{Action: ActionWait, Slot: "b", Wait: 5 * ms, Floor: pos(2, 90)}, 0},
		{"confirming replica suspect, the other about to meet the floor", session5, func(s []Slot, r *Request) {
			s[1].Suspect, r.FloorAge = true, 37*ms
		}, Decision{Action: ActionWait, Slot: "c", Wait: 5 * ms, Floor: pos(2, 90)}, 0},
		{"both about to meet the floor: the confirming one", session5, func(s []Slot, r *Request) {
			s[1].Applied, s[1].Synced, r.Floor.Slot, r.FloorAge = pos(2, 80), pos(2, 80), "c", 40*ms
		}, Decision{Action: ActionWait, Slot: "c", Wait: 5 * ms, Floor: pos(2, 90)}, 0},
		{"a wait that failed is not repeated", session5, func(s []Slot, r *Request) { r.Tried, r.FloorAge = []string{"b"}, 37*ms },
			Decision{Action: ActionSend, Slot: "a", Floor: pos(2, 90)}, 0},
		{"the same for latency: the primary is as quick", Policy{Preference: PreferLatency, MaxWait: 5 * ms}, func(s []Slot, r *Request) {
			s[1].Suspect, r.FloorAge = true, 37*ms
		}, Decision{Action: ActionSend, Slot: "a", Floor: pos(2, 90)}, 0},
		{"for latency with a busy primary: wait", Policy{Preference: PreferLatency, MaxWait: 5 * ms}, func(s []Slot, r *Request) {
			s[1].Suspect, r.FloorAge, s[0].Outstanding = true, 37*ms, 9
		}, Decision{Action: ActionWait, Slot: "c", Wait: 5 * ms, Floor: pos(2, 90)}, 0},
		{"no replica in time", session5, func(s []Slot, r *Request) { s[1].Suspect = true },
			Decision{Action: ActionSend, Slot: "a", Floor: pos(2, 90)}, 0},
		{"confirming replica leaving", session5, func(s []Slot, r *Request) { s[1].Leaving, s[2].Applied = true, pos(2, 90) },
			Decision{Action: ActionSend, Slot: "c", Floor: pos(2, 90)}, 0},
		{"confirming replica tried, work moves", session5, func(s []Slot, r *Request) { r.Tried, s[2].Applied = []string{"b"}, pos(2, 90) },
			Decision{Action: ActionSend, Slot: "c", Floor: pos(2, 90)}, 0},
		{"confirming replica overloaded", session5, func(s []Slot, r *Request) {
			s[1].Outstanding, s[1].Latency, s[2].Applied = 1000, time.Hour, pos(2, 90)
		}, Decision{Action: ActionSend, Slot: "c", Floor: pos(2, 90)}, 0},
		{"confirming replica slower than another", session5, func(s []Slot, r *Request) {
			s[1].Latency, s[2].Applied = time.Hour, pos(2, 90)
		}, Decision{Action: ActionSend, Slot: "b", Floor: pos(2, 90)}, 0},
		{"behind, the primary takes over", session5, func(s []Slot, r *Request) { s[1].Behind, s[2].Behind = true, true },
			Decision{Action: ActionSend, Slot: "a", Floor: pos(2, 90)}, 0},
		{"behind, no primary, the floor still holds", session5, func(s []Slot, r *Request) {
			s[0].Suspect, s[1].Behind, s[2].Behind = true, true, true
		}, Decision{Action: ActionSend, Slot: "b", Floor: pos(2, 90)}, 0},
		{"no replica and no primary in reach", session5, func(s []Slot, r *Request) {
			s[0].Suspect, s[1].Suspect, s[2].Suspect = true, true, true
		}, Decision{}, ReasonNoEndpoint},
		{"floor of an earlier term, replayed into a later one", session5, func(s []Slot, r *Request) {
			r.Floor.Slot, s[1].Suspect, s[2].Applied = "", true, pos(3, 1)
		}, Decision{Action: ActionSend, Slot: "c", Floor: pos(2, 90)}, 0},
		{"floor of a later term: the known primary is superseded", session5, func(s []Slot, r *Request) {
			r.Floor.Pos, r.Floor.Slot, s[1].Delay, s[2].Delay = pos(3, 1), "", time.Hour, time.Hour
		}, Decision{}, ReasonFloorNotMet},
		{"two primaries: the one of the higher term", session5, func(s []Slot, r *Request) {
			r.Class, s[1].Role, s[1].Term = ClassUnknown, endpoint.RolePrimary, 3
		}, Decision{Action: ActionSend, Slot: "b"}, 0},
		{"two primaries, the higher one suspect: never the lower", session5, func(s []Slot, r *Request) {
			r.Class, s[1].Role, s[1].Term, s[1].Suspect = ClassUnknown, endpoint.RolePrimary, 3, true
		}, Decision{Action: ActionAwaitPrimary, Wait: time.Second}, 0},
		{"write during a failover waits", session5, func(s []Slot, r *Request) { r.Class, s[0].Suspect = ClassUnknown, true },
			Decision{Action: ActionAwaitPrimary, Wait: time.Second}, 0},
		{"write with a leaving primary waits", session5, func(s []Slot, r *Request) { r.Class, s[0].Leaving = ClassUnknown, true },
			Decision{Action: ActionAwaitPrimary, Wait: time.Second}, 0},
		{"write of a session that saw a later term", session5, func(s []Slot, r *Request) { r.Class, r.Floor.Pos = ClassUnknown, pos(3, 1) },
			Decision{Action: ActionAwaitPrimary, Wait: time.Second}, 0},
		{"transaction in progress at a leaving slot", session5, func(s []Slot, r *Request) { r.Bound, s[1].Leaving = "b", true },
			Decision{Action: ActionSend, Slot: "b"}, 0},
		{"transaction whose slot went away", session5, func(s []Slot, r *Request) { r.Bound = "gone" },
			Decision{}, ReasonTransactionLost},
		{"deadline passed", session5, func(s []Slot, r *Request) { r.Remaining = 0 }, Decision{}, ReasonDeadline},
		{"floor unknown: ask", session5, func(s []Slot, r *Request) { r.Floor.Settled = false },
			Decision{Action: ActionAskFloor, Slot: "a", Confirm: true}, 0},
		{"floor unknown, no primary", session5, func(s []Slot, r *Request) { r.Floor.Settled, s[0].Suspect = false, true },
			Decision{}, ReasonFloorUnknown},
		{"floor unknown, no primary, an age is accepted", aged, func(s []Slot, r *Request) { r.Floor.Settled, s[0].Suspect = false, true },
			Decision{}, ReasonFloorUnknown},
		{"no write, no primary, an age is accepted", aged, func(s []Slot, r *Request) {
			r.Floor, s[0].Suspect, s[2].Suspect = session.GroupFloor{Settled: true}, true, true
		}, Decision{Action: ActionSend, Slot: "b"}, 0},
		{"too old at a stated age", aged, func(s []Slot, r *Request) { s[1].Age, s[2].Age = 101*ms, 101*ms },
			Decision{Action: ActionSend, Slot: "a", Floor: pos(2, 90), Confirm: true}, 0},
		{"age not known", aged, func(s []Slot, r *Request) { s[1].AgeKnown, s[2].AgeKnown = false, false },
			Decision{Action: ActionSend, Slot: "a", Floor: pos(2, 90), Confirm: true}, 0},
		{"too old and no primary", aged, func(s []Slot, r *Request) { s[0].Suspect, s[1].Age, s[2].AgeKnown = true, 101*ms, false },
			Decision{}, ReasonTooOld},
		{"a stated age keeps read-your-writes", aged, func(s []Slot, r *Request) { s[1].Suspect = true },
			Decision{Action: ActionSend, Slot: "a", Floor: pos(2, 90), Confirm: true}, 0},
		{"level primary", Policy{Level: LevelPrimary}, func(s []Slot, r *Request) {},
			Decision{Action: ActionSend, Slot: "a", Confirm: true}, 0},
		{"level primary during a failover", Policy{Level: LevelPrimary}, func(s []Slot, r *Request) { s[0].Suspect = true },
			Decision{Action: ActionAwaitPrimary, Wait: time.Second}, 0},
	} {
		slots, req := cluster(), read()
		tc.fault(slots, &req)
		got, err := Choose(req, tc.policy, slots, fixed())
		assert.Equal(t, got, tc.want, tc.name)
		var refused *RefusedError
		assert.Equal(t, errors.As(err, &refused), tc.reason != 0, tc.name)
		if tc.reason != 0 {
			assert.Equal(t, refused.Reason, tc.reason, tc.name)
		}
	}
}

// Any table and request: no read runs where the floor is not met, and none at a
// replica without a settled floor.
func TestReadsNeverMissTheFloor(t *testing.T) {
	position := rapid.Custom(func(t *rapid.T) logpos.Pos {
		return pos(rapid.Uint64Range(1, 3).Draw(t, "term"), rapid.Uint64Range(1, 4).Draw(t, "index"))
	})
	slot := rapid.Custom(func(t *rapid.T) Slot {
		applied := position.Draw(t, "applied")
		return Slot{
			Role:    rapid.SampledFrom([]endpoint.Role{endpoint.RoleReplica, endpoint.RolePrimary}).Draw(t, "role"),
			Term:    applied.Term,
			Applied: applied, Synced: logpos.Max(applied, position.Draw(t, "synced")),
			Suspect: rapid.Bool().Draw(t, "suspect"), Behind: rapid.Bool().Draw(t, "behind"),
			Leaving: rapid.Bool().Draw(t, "leaving"), AgeKnown: rapid.Bool().Draw(t, "age known"),
			Age: time.Duration(rapid.IntRange(0, 200).Draw(t, "age")) * ms,
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		slots := []Slot{slot.Draw(t, "a"), slot.Draw(t, "b"), slot.Draw(t, "c")}
		byName := map[string]Slot{}
		for i := range slots {
			slots[i].Name = string(rune('a' + i))
			byName[slots[i].Name] = slots[i]
		}
		req := read()
		req.Floor.Pos = position.Draw(t, "floor")
		req.Floor.Settled = rapid.Bool().Draw(t, "settled")
		policy := Policy{Level: Level(rapid.IntRange(0, 1).Draw(t, "level")), MaxAge: 100 * ms, MaxWait: 5 * ms}
		got, err := Choose(req, policy, slots, fixed())
		if err != nil || got.Action == ActionAskFloor {
			return
		}
		s := byName[got.Slot]
		if s.Suspect || s.Leaving || !req.Floor.Settled || got.Floor != req.Floor.Pos {
			t.Fatalf("%+v at %+v for %+v", got, s, req)
		}
		primary := s.Role == endpoint.RolePrimary
		if got.Action == ActionSend && !primary && s.Applied.Less(req.Floor.Pos) {
			t.Fatalf("replica %+v does not meet %v", s, req.Floor.Pos)
		}
		if primary && s.Term < req.Floor.Pos.Term {
			t.Fatalf("superseded primary %+v for %v", s, req.Floor.Pos)
		}
		if !primary && policy.Level == LevelAge && (!s.AgeKnown || s.Age > policy.MaxAge) {
			t.Fatalf("replica %+v is too old", s)
		}
	})
}

// Many entries share an old, equal view of latencies in which one replica looks
// twice as quick. None of them may send nearly all its reads there.
func TestReadsSpreadWithoutHerding(t *testing.T) {
	const entries, reads = 9, 2000
	load := map[string]int{}
	random := fixed()
	for range entries {
		slots := cluster()
		for _, name := range []string{"d", "e"} {
			s := slots[1]
			s.Name = name
			slots = append(slots, s)
		}
		slots[1].Latency, slots[2].Applied = ms/2, pos(2, 95)
		for range reads {
			req := read()
			req.Floor.Slot = ""
			got, err := Choose(req, Policy{}, slots, random)
			assert.NilError(t, err)
			load[got.Slot]++
		}
	}
	share := float64(load["b"]) / (entries * reads)
	assert.Assert(t, share > 0.28 && share < 0.40, share)
	for _, name := range []string{"c", "d", "e"} {
		assert.Assert(t, float64(load[name])/(entries*reads) > 0.18, load)
	}
}
