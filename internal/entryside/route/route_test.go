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

func fixedRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func pos(term, index uint64) logpos.Pos { return logpos.Pos{Term: term, Index: index} }

const ms = time.Millisecond

// healthyGroup returns the slots of a group without faults. Positions are written
// as term/index. Primary a of term 2 is at 2/100. Replica b has applied 2/95, and
// is the one that confirmed 2/90 (see readRequest). Replica c has applied 2/80.
func healthyGroup() []Slot {
	replica := Slot{Role: endpoint.RoleReplica, Age: 50 * ms, AgeKnown: true, ReplicationDelay: 40 * ms, ApplyDelay: ms, Latency: ms}
	a := Slot{Name: "a", Role: endpoint.RolePrimary, Term: 2, Synced: pos(2, 100), Applied: pos(2, 100), Latency: ms}
	b, c := replica, replica
	b.Name, b.Synced, b.Applied = "b", pos(2, 95), pos(2, 95)
	c.Name, c.Synced, c.Applied = "c", pos(2, 80), pos(2, 80)
	return []Slot{a, b, c}
}

func readRequest() Request {
	return Request{
		Class:     ClassReadOnly,
		Floor:     session.GroupFloor{Pos: pos(2, 90), Slot: "b", Settled: true, Wrote: true},
		Remaining: time.Second,
	}
}

// Each case changes the healthy group or the request. A zero want stands for a
// refusal with the reason.
func TestFaults(t *testing.T) {
	sessionPolicy := Policy{MaxWait: 5 * ms}
	maxAgePolicy := Policy{Level: LevelAge, MaxAge: 100 * ms, MaxWait: 5 * ms}
	for _, tc := range []struct {
		name   string
		policy Policy
		fault  func(s []Slot, r *Request)
		want   Decision
		reason Reason
	}{
		{"no fault: the confirming replica", sessionPolicy, func([]Slot, *Request) {},
			Decision{Action: ActionSend, Slot: "b", Floor: pos(2, 90)}, 0},
		{"confirming replica has synced the floor but not applied it", sessionPolicy, func(s []Slot, r *Request) { s[1].Applied = pos(2, 85) },
			Decision{Action: ActionSendAndWait, Slot: "b", Wait: 5 * ms, Floor: pos(2, 90)}, 0},
		{"confirming replica's report is older than its confirmation", sessionPolicy, func(s []Slot, r *Request) { s[1].Applied, s[1].Synced = pos(2, 85), pos(2, 85) },
			Decision{Action: ActionSendAndWait, Slot: "b", Wait: 5 * ms, Floor: pos(2, 90)}, 0},
		{"confirming replica applies too slowly", sessionPolicy, func(s []Slot, r *Request) { s[1].Applied, s[1].ApplyDelay = pos(2, 85), 9*ms },
			Decision{Action: ActionSend, Slot: "a", Floor: pos(2, 90)}, 0},
		{"confirming replica applies too slowly, no primary: wait longer", sessionPolicy, func(s []Slot, r *Request) {
			s[1].Applied, s[1].ApplyDelay, s[0].Suspect = pos(2, 85), 9*ms, true
		}, Decision{Action: ActionSendAndWait, Slot: "b", Wait: time.Second, Floor: pos(2, 90)}, 0},
		{"confirming replica applies slowly, but the write is old", sessionPolicy, func(s []Slot, r *Request) {
			s[1].Applied, s[1].ApplyDelay, r.FloorAge = pos(2, 85), 39*ms, 38*ms
		}, Decision{Action: ActionSendAndWait, Slot: "b", Wait: 5 * ms, Floor: pos(2, 90)}, 0},
		{"confirming replica suspect, the other about to meet the floor", sessionPolicy, func(s []Slot, r *Request) {
			s[1].Suspect, r.FloorAge = true, 37*ms
		}, Decision{Action: ActionSendAndWait, Slot: "c", Wait: 5 * ms, Floor: pos(2, 90)}, 0},
		{"both replicas about to meet the floor: the confirming one", sessionPolicy, func(s []Slot, r *Request) {
			s[1].Applied, s[1].Synced, r.Floor.Slot, r.FloorAge = pos(2, 80), pos(2, 80), "c", 40*ms
		}, Decision{Action: ActionSendAndWait, Slot: "c", Wait: 5 * ms, Floor: pos(2, 90)}, 0},
		{"a failed wait is not repeated", sessionPolicy, func(s []Slot, r *Request) { r.Tried, r.FloorAge = []string{"b"}, 37*ms },
			Decision{Action: ActionSend, Slot: "a", Floor: pos(2, 90)}, 0},
		{"PreferLatency: the primary is as fast", Policy{Preference: PreferLatency, MaxWait: 5 * ms}, func(s []Slot, r *Request) {
			s[1].Suspect, r.FloorAge = true, 37*ms
		}, Decision{Action: ActionSend, Slot: "a", Floor: pos(2, 90)}, 0},
		{"PreferLatency with a busy primary: wait", Policy{Preference: PreferLatency, MaxWait: 5 * ms}, func(s []Slot, r *Request) {
			s[1].Suspect, r.FloorAge, s[0].Outstanding = true, 37*ms, 9
		}, Decision{Action: ActionSendAndWait, Slot: "c", Wait: 5 * ms, Floor: pos(2, 90)}, 0},
		{"no replica meets the floor in time", sessionPolicy, func(s []Slot, r *Request) { s[1].Suspect = true },
			Decision{Action: ActionSend, Slot: "a", Floor: pos(2, 90)}, 0},
		{"confirming replica leaving", sessionPolicy, func(s []Slot, r *Request) { s[1].Leaving, s[2].Applied = true, pos(2, 90) },
			Decision{Action: ActionSend, Slot: "c", Floor: pos(2, 90)}, 0},
		{"confirming replica already tried: another replica", sessionPolicy, func(s []Slot, r *Request) { r.Tried, s[2].Applied = []string{"b"}, pos(2, 90) },
			Decision{Action: ActionSend, Slot: "c", Floor: pos(2, 90)}, 0},
		{"confirming replica overloaded", sessionPolicy, func(s []Slot, r *Request) {
			s[1].Outstanding, s[1].Latency, s[2].Applied = 1000, time.Hour, pos(2, 90)
		}, Decision{Action: ActionSend, Slot: "c", Floor: pos(2, 90)}, 0},
		{"confirming replica slower than another", sessionPolicy, func(s []Slot, r *Request) {
			s[1].Latency, s[2].Applied = time.Hour, pos(2, 90)
		}, Decision{Action: ActionSend, Slot: "b", Floor: pos(2, 90)}, 0},
		{"replicas behind: the primary", sessionPolicy, func(s []Slot, r *Request) { s[1].Behind, s[2].Behind = true, true },
			Decision{Action: ActionSend, Slot: "a", Floor: pos(2, 90)}, 0},
		{"replicas behind, no primary: a replica that meets the floor", sessionPolicy, func(s []Slot, r *Request) {
			s[0].Suspect, s[1].Behind, s[2].Behind = true, true, true
		}, Decision{Action: ActionSend, Slot: "b", Floor: pos(2, 90)}, 0},
		{"no replica and no primary reachable", sessionPolicy, func(s []Slot, r *Request) {
			s[0].Suspect, s[1].Suspect, s[2].Suspect = true, true, true
		}, Decision{}, ReasonNoEndpoint},
		{"floor of an earlier term, replica already in a later term", sessionPolicy, func(s []Slot, r *Request) {
			r.Floor.Slot, s[1].Suspect, s[2].Applied = "", true, pos(3, 1)
		}, Decision{Action: ActionSend, Slot: "c", Floor: pos(2, 90)}, 0},
		{"floor of a later term: the known primary is superseded", sessionPolicy, func(s []Slot, r *Request) {
			r.Floor.Pos, r.Floor.Slot, s[1].ReplicationDelay, s[2].ReplicationDelay = pos(3, 1), "", time.Hour, time.Hour
		}, Decision{}, ReasonFloorNotMet},
		{"two primaries: the one of the higher term", sessionPolicy, func(s []Slot, r *Request) {
			r.Class, s[1].Role, s[1].Term = ClassReadWrite, endpoint.RolePrimary, 3
		}, Decision{Action: ActionSend, Slot: "b"}, 0},
		{"two primaries, the one of the higher term suspect: never the other", sessionPolicy, func(s []Slot, r *Request) {
			r.Class, s[1].Role, s[1].Term, s[1].Suspect = ClassReadWrite, endpoint.RolePrimary, 3, true
		}, Decision{Action: ActionAwaitPrimary, Wait: time.Second}, 0},
		{"write during a failover waits", sessionPolicy, func(s []Slot, r *Request) { r.Class, s[0].Suspect = ClassReadWrite, true },
			Decision{Action: ActionAwaitPrimary, Wait: time.Second}, 0},
		{"write with a leaving primary waits", sessionPolicy, func(s []Slot, r *Request) { r.Class, s[0].Leaving = ClassReadWrite, true },
			Decision{Action: ActionAwaitPrimary, Wait: time.Second}, 0},
		{"write of a session that saw a later term", sessionPolicy, func(s []Slot, r *Request) { r.Class, r.Floor.Pos = ClassReadWrite, pos(3, 1) },
			Decision{Action: ActionAwaitPrimary, Wait: time.Second}, 0},
		{"transaction in progress at a leaving slot", sessionPolicy, func(s []Slot, r *Request) { r.TxSlot, s[1].Leaving = "b", true },
			Decision{Action: ActionSend, Slot: "b"}, 0},
		{"transaction whose slot is gone", sessionPolicy, func(s []Slot, r *Request) { r.TxSlot = "gone" },
			Decision{}, ReasonTransactionLost},
		{"deadline passed", sessionPolicy, func(s []Slot, r *Request) { r.Remaining = 0 }, Decision{}, ReasonDeadline},
		{"floor unknown: ask the primary", sessionPolicy, func(s []Slot, r *Request) { r.Floor.Settled = false },
			Decision{Action: ActionAskFloor, Slot: "a", Confirm: true}, 0},
		{"floor unknown, no primary", sessionPolicy, func(s []Slot, r *Request) { r.Floor.Settled, s[0].Suspect = false, true },
			Decision{}, ReasonFloorUnknown},
		{"floor unknown, no primary, LevelAge", maxAgePolicy, func(s []Slot, r *Request) { r.Floor.Settled, s[0].Suspect = false, true },
			Decision{}, ReasonFloorUnknown},
		{"session without writes, no primary, LevelAge", maxAgePolicy, func(s []Slot, r *Request) {
			r.Floor, s[0].Suspect, s[2].Suspect = session.GroupFloor{Settled: true}, true, true
		}, Decision{Action: ActionSend, Slot: "b"}, 0},
		{"replicas too old at LevelAge", maxAgePolicy, func(s []Slot, r *Request) { s[1].Age, s[2].Age = 101*ms, 101*ms },
			Decision{Action: ActionSend, Slot: "a", Floor: pos(2, 90), Confirm: true}, 0},
		{"ages of the replicas not known", maxAgePolicy, func(s []Slot, r *Request) { s[1].AgeKnown, s[2].AgeKnown = false, false },
			Decision{Action: ActionSend, Slot: "a", Floor: pos(2, 90), Confirm: true}, 0},
		{"replicas too old, no primary", maxAgePolicy, func(s []Slot, r *Request) { s[0].Suspect, s[1].Age, s[2].AgeKnown = true, 101*ms, false },
			Decision{}, ReasonTooOld},
		{"LevelAge guarantees read-your-writes", maxAgePolicy, func(s []Slot, r *Request) { s[1].Suspect = true },
			Decision{Action: ActionSend, Slot: "a", Floor: pos(2, 90), Confirm: true}, 0},
		{"LevelPrimary", Policy{Level: LevelPrimary}, func(s []Slot, r *Request) {},
			Decision{Action: ActionSend, Slot: "a", Confirm: true}, 0},
		{"LevelPrimary during a failover", Policy{Level: LevelPrimary}, func(s []Slot, r *Request) { s[0].Suspect = true },
			Decision{Action: ActionAwaitPrimary, Wait: time.Second}, 0},
	} {
		slots, req := healthyGroup(), readRequest()
		tc.fault(slots, &req)
		got, err := Choose(req, tc.policy, slots, fixedRand())
		assert.Equal(t, got, tc.want, tc.name)
		var refused *RefusedError
		assert.Equal(t, errors.As(err, &refused), tc.reason != 0, tc.name)
		if tc.reason != 0 {
			assert.Equal(t, refused.Reason, tc.reason, tc.name)
		}
	}
}

// Checks for random slot tables and requests that no read runs at a replica
// that has not applied the floor, or while the floor is not settled.
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
		req := readRequest()
		req.Floor.Pos = position.Draw(t, "floor")
		req.Floor.Settled = rapid.Bool().Draw(t, "settled")
		policy := Policy{Level: Level(rapid.IntRange(0, 1).Draw(t, "level")), MaxAge: 100 * ms, MaxWait: 5 * ms}
		got, err := Choose(req, policy, slots, fixedRand())
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

// Many entries share the same outdated latencies, in which one replica looks
// twice as fast as the others. They must not all send their reads to that
// replica.
func TestReadsSpreadWithoutHerding(t *testing.T) {
	const entries, reads = 9, 2000
	load := map[string]int{}
	random := fixedRand()
	for range entries {
		slots := healthyGroup()
		for _, name := range []string{"d", "e"} {
			s := slots[1]
			s.Name = name
			slots = append(slots, s)
		}
		slots[1].Latency, slots[2].Applied = ms/2, pos(2, 95)
		for range reads {
			req := readRequest()
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
