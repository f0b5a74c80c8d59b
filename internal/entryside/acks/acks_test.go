package acks

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/outcome"
)

// status returns the status of a slot whose log ends at index of term.
func status(slot string, term, index, fenced uint64, role endpoint.Role) endpoint.Status {
	return endpoint.Status{
		Group: "g", Slot: slot, Incarnation: slot + "-1", Role: role,
		FencedTerm: fenced, Synced: logpos.Pos{Term: term, Index: index},
	}
}

// fixture is a tracker to which the test supplies the members and the term
// whose primary is known.
type fixture struct {
	t       *Tracker
	members []quorum.Member
	term    uint64
}

func newFixture(term uint64, slots ...string) *fixture {
	f := &fixture{term: term}
	f.setKnownSlots(slots...)
	f.t = New(func(_ string, term uint64) ([]quorum.Member, string, bool) {
		return f.members, "s1", term == f.term
	}, nil)
	return f
}

// setKnownSlots makes the incarnations of only these slots known.
func (f *fixture) setKnownSlots(slots ...string) {
	members := []quorum.Member{{Slot: "s1"}, {Slot: "s2"}, {Slot: "s3"}}
	for i := range members {
		for _, slot := range slots {
			if members[i].Slot == slot {
				members[i].Incarnation = slot + "-1"
			}
		}
	}
	f.members = members
}

func TestAwait(t *testing.T) {
	pos := logpos.Pos{Term: 2, Index: 7}
	for _, tc := range []struct {
		name string
		// before and after are observed before and after the commit starts to
		// wait.
		before, after []endpoint.Status
		// learn, if set, makes the primary or a slot known after the commit
		// starts to wait.
		learn func(*fixture)
		want  outcome.Outcome
		slot  string
	}{
		{name: "a replica holds the commit", after: []endpoint.Status{status("s2", 2, 7, 2, 0)}, want: outcome.Done, slot: "s2"},
		{name: "a replica held the commit before the wait", before: []endpoint.Status{status("s3", 2, 9, 2, 0)}, want: outcome.Done, slot: "s3"},
		{name: "only an earlier position is held", after: []endpoint.Status{status("s2", 2, 6, 2, 0)}, want: outcome.Unknown},
		{name: "the same index in an earlier term", after: []endpoint.Status{status("s2", 1, 7, 2, 0)}, want: outcome.Unknown},
		{name: "held by a slot that is fenced above the term", after: []endpoint.Status{status("s2", 2, 7, 3, 0)}, want: outcome.Unknown},
		{name: "held by a new incarnation", after: []endpoint.Status{{Group: "g", Slot: "s2", Incarnation: "s2-2", Synced: pos, FencedTerm: 2}}, want: outcome.Unknown},
		{
			name: "the term's primary becomes known while it waits", learn: func(f *fixture) { f.term = 2 },
			after: []endpoint.Status{status("s2", 2, 7, 2, 0)}, want: outcome.Done, slot: "s2",
		},
		{
			name: "a slot becomes known while it waits", learn: func(f *fixture) { f.setKnownSlots("s1", "s2", "s3") },
			after: []endpoint.Status{status("s3", 2, 7, 2, 0)}, want: outcome.Done, slot: "s3",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(2, "s1", "s2", "s3")
			if tc.learn != nil {
				f = newFixture(1, "s1", "s2")
				if tc.name == "a slot becomes known while it waits" {
					f.term = 2
				}
			}
			for _, st := range tc.before {
				f.t.Observe(st)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			type verdict struct {
				slot string
				err  error
			}
			done := make(chan verdict, 1)
			go func() {
				slot, err := f.t.Await(ctx, "g", pos)
				done <- verdict{slot, err}
			}()
			for f.t.pendingCount("g") == 0 && len(done) == 0 {
				time.Sleep(time.Millisecond)
			}
			if tc.learn != nil {
				tc.learn(f)
			}
			for _, st := range tc.after {
				f.t.Observe(st)
			}
			got := <-done
			if tc.want == outcome.Done {
				assert.NilError(t, got.err)
				assert.Equal(t, got.slot, tc.slot)
				return
			}
			var failure *outcome.Error
			assert.Assert(t, got.err != nil)
			assert.Assert(t, asOutcome(got.err, &failure))
			assert.Equal(t, failure.Outcome, outcome.Unknown)
		})
	}
}

// pendingCount returns the number of pending commits of a group.
func (t *Tracker) pendingCount(name string) int {
	g := t.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.pending)
}

func asOutcome(err error, target **outcome.Error) bool {
	e, ok := err.(*outcome.Error)
	*target = e
	return ok
}
