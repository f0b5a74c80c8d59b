package failover

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
)

// TestPreferredSlot delivers the answers to Fence in the order of each row, from
// slots with equal logs. A lower-case letter is a grant, an upper-case letter a
// failed command, and a dot the end of the wait for the preferred slot.
func TestPreferredSlot(t *testing.T) {
	for _, tc := range []struct{ name, prefer, avoid, order, want string }{
		{"first in order without a preference", "", "", "cb", "b"},
		{"the suspected primary is avoided", "", "a", "ab", "b"},
		{"the preferred slot is waited for", "a", "", "bca", "a"},
		{"the preferred slot is among the first", "b", "", "ab", "b"},
		{"the preferred slot does not answer", "a", "", "bc.", "b"},
		{"the preferred slot failed before", "a", "", "Abc", "b"},
		{"the preferred slot fails in the wait", "a", "", "bcA", "b"},
	} {
		now := modelTime
		w := newWorld()
		m, _, err := New(Config{Promoter: "x", Term: 2, Members: w.members[:], Prefer: tc.prefer, Avoid: tc.avoid, Timing: DefaultTiming()}, now)
		assert.NilError(t, err)
		var effects []Effect
		for i, c := range tc.order {
			assert.Equal(t, len(effects), 0, "%s: chosen before %d", tc.name, i)
			slot := strings.ToLower(string(c))
			switch {
			case c == '.':
				now, _ = m.Deadline()
				assert.Equal(t, now.Sub(modelTime), DefaultTiming().Prefer)
				effects = m.Step(now, Tick{})
			case slot == string(c):
				st := w.nodes[slotIndex(slot)].status(slotIndex(slot))
				effects = m.Step(now, FenceGranted{Slot: slot, Term: 2, Status: st})
			default:
				effects = m.Step(now, Failed{Slot: slot, Term: 2})
			}
		}
		assert.DeepEqual(t, effects, []Effect{Promote{Slot: tc.want, Term: 2}})
	}
}

func TestCorrectionFor(t *testing.T) {
	members := []quorum.Member{{Slot: "a", Incarnation: "1"}, {Slot: "b", Incarnation: "1"}, {Slot: "c", Incarnation: "2", Since: 6}}
	current := Current{Term: 5, Primary: "a", Members: members}
	type st = endpoint.Status
	at := func(term uint64) logpos.Pos { return logpos.Pos{Term: term, Index: 9} }
	const primary = endpoint.RolePrimary
	for _, tc := range []struct {
		name string
		st   st
		want Correction
	}{
		{"primary in line", st{Slot: "a", Incarnation: "1", Role: primary, FencedTerm: 5, Synced: at(5)}, CorrectionNone},
		{"primary fenced by an abandoned attempt", st{Slot: "a", Incarnation: "1", Role: primary, FencedTerm: 6, Synced: at(5)}, CorrectionNewTerm},
		{"primary's disk lost", st{Slot: "a", Incarnation: "2"}, CorrectionNewTerm},
		{"primary became a replica", st{Slot: "a", Incarnation: "1", FencedTerm: 5, Synced: at(5)}, CorrectionNewTerm},
		{"primary without the record that starts the term", st{Slot: "a", Incarnation: "1", Role: primary, FencedTerm: 5, Synced: at(4)}, CorrectionNewTerm},
		{"replica in line", st{Slot: "b", Incarnation: "1", FencedTerm: 5, Synced: at(5)}, CorrectionNone},
		{"old primary came back", st{Slot: "b", Incarnation: "1", Role: primary, FencedTerm: 4, Synced: at(4)}, CorrectionFence},
		{"old primary fenced", st{Slot: "b", Incarnation: "1", Role: primary, FencedTerm: 5, Synced: at(4)}, CorrectionFollow},
		{"replica does not follow", st{Slot: "b", Incarnation: "1", FencedTerm: 5, Synced: at(4)}, CorrectionFollow},
		{"replica fenced higher", st{Slot: "b", Incarnation: "1", FencedTerm: 7, Synced: at(5)}, CorrectionNewTerm},
		{"replica's disk lost", st{Slot: "b", Incarnation: "2"}, CorrectionFence},
		{"replica's new disk caught up", st{Slot: "b", Incarnation: "2", FencedTerm: 5, Synced: at(5)}, CorrectionNewTerm},
		{"recorded incarnation counts from a later term", st{Slot: "c", Incarnation: "2", FencedTerm: 5, Synced: at(5)}, CorrectionNewTerm},
		{"unconfigured slot", st{Slot: "z", Role: primary, FencedTerm: 9}, CorrectionNone},
	} {
		assert.Equal(t, current.CorrectionFor(tc.st), tc.want, tc.name)
	}
}

// TestBackoff checks that the backoff grows, is bounded, and differs between
// promoters.
func TestBackoff(t *testing.T) {
	var delays []time.Duration
	for attempt := range 8 {
		m := &Machine{cfg: Config{Promoter: "x", Term: 7, FailedAttempts: attempt, Timing: DefaultTiming()}}
		delays = append(delays, m.backoff())
		other := &Machine{cfg: Config{Promoter: "y", Term: 7, FailedAttempts: attempt, Timing: DefaultTiming()}}
		assert.Assert(t, other.backoff() != m.backoff())
	}
	assert.Assert(t, slices.Max(delays) < 2*time.Second && delays[0] < 100*time.Millisecond && delays[4] > delays[0], "%v", delays)
}

func TestConfigErrors(t *testing.T) {
	good := newWorld().members[:]
	for _, tc := range []struct {
		field string
		cfg   Config
	}{
		{"promoter", Config{Term: 1, Members: good}},
		{"term", Config{Promoter: "x", Members: good}},
		{"members", Config{Promoter: "x", Term: 1}},
		{"members", Config{Promoter: "x", Term: 1, Members: append(good[:2:2], good[0])}},
		{"members", Config{Promoter: "x", Term: 1, Members: make([]quorum.Member, maxSlots+1)}},
	} {
		_, _, err := New(tc.cfg, modelTime)
		e, ok := err.(*ConfigError)
		assert.Assert(t, ok, "%v", err)
		assert.Equal(t, e.Field, tc.field)
	}
}
