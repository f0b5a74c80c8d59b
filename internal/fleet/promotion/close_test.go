package promotion_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/fleet/promotion"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
	"hemlockmast/platform/standin"
)

// Callers lost commits that a newcomer had received during the call: the acknowledgements of the
// old primary must be closed before it.
func TestAcknowledgementsAreClosedBeforeTheCall(t *testing.T) {
	f := newFixture(t)
	assert.Assert(t, f.write(0, "a"))
	isClosed := false
	f.promoter.beforeEffect = func() { isClosed = f.recorder.isClosed }
	_, err := f.runner.Run(t.Context(), f.plan(1, false))
	assert.NilError(t, err)
	assert.Assert(t, isClosed)
}

// A commit reached a caller that none of the known replicas holds.
func TestLogThatLacksAnAcknowledgedCommitIsNotPromoted(t *testing.T) {
	for _, isGone := range []bool{false, true} {
		f := newFixture(t)
		assert.Assert(t, f.write(0, "a"))
		f.group.Nodes()[0].Set(standin.Faults{Down: true})
		f.recorder.acknowledged = logpos.Pos{Term: 1, Index: 2}
		plan := f.plan(1, false)
		plan.PrimaryGone = isGone
		result, err := f.runner.Run(t.Context(), plan)
		var missing *promotion.MissingCommitError
		assert.Equal(t, errors.As(err, &missing), !isGone, "%v", err)
		assert.Equal(t, result.CallRefused, !isGone)
		assert.Equal(t, len(f.promoter.calls) > 0, isGone)
	}
}

// Control gave up commits that a primary and a replica held, which had both been taken for ended
// because of another writer's announcements, and answered all the while.
func TestLogOfAnEndpointThatCountsAsEndedIsAskedFor(t *testing.T) {
	for name, c := range map[string]struct {
		faults    standin.Faults
		isGivenUp bool
	}{
		"answers":            {},
		"at its limit":       {faults: standin.Faults{MaxConnections: 1}},
		"lacks the commit":   {faults: standin.Faults{Deaf: true}, isGivenUp: true},
		"closes connections": {faults: standin.Faults{Down: true}, isGivenUp: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			assert.Assert(t, f.write(0, "a"))
			f.group.Nodes()[1].Set(standin.Faults{Deaf: true})
			ended := f.group.Nodes()[2]
			ended.Set(c.faults)
			assert.Equal(t, f.write(0, "b"), !c.isGivenUp)
			if c.faults.MaxConnections > 0 {
				conn, err := f.runner.Dialer.Dial(t.Context(), f.endpoint(2))
				assert.NilError(t, err)
				defer conn.Close()
			}
			f.group.Nodes()[0].Set(standin.Faults{Down: true})
			f.recorder.acknowledged = logpos.Pos{Term: 1, Index: 2}
			plan := f.plan(1, false)
			plan.PrimaryGone, plan.Ended = true, []stmt.Endpoint{f.endpoint(0), f.endpoint(2)}
			plan.Replicas = plan.Replicas[:1]
			result, err := f.runner.Run(t.Context(), plan)
			var found *promotion.LogFoundError
			assert.Equal(t, errors.As(err, &found), !c.isGivenUp, "%v", err)
			assert.Equal(t, result.CallRefused, !c.isGivenUp)
			assert.Equal(t, len(f.promoter.calls) > 0, c.isGivenUp)
			if found != nil {
				assert.Equal(t, found.Endpoint, ended.ID)
			}
		})
	}
}

// Callers lost commits that only a newcomer had received during a planned replacement: before the
// call, entries must know which endpoint has to hold what they pass on. Acknowledgements stay open
// beside that.
func TestSuccessorIsRequiredBeforeAPlannedCall(t *testing.T) {
	f := newFixture(t)
	assert.Assert(t, f.write(0, "a"))
	isChecked := false
	f.promoter.beforeEffect = func() {
		f.recorder.mu.Lock()
		defer f.recorder.mu.Unlock()
		assert.Check(t, !f.recorder.isClosed)
		assert.Check(t, strings.HasPrefix(f.promoter.calls[0], f.recorder.successor+"/"), "%v", f.promoter.calls)
		isChecked = true
	}
	_, err := f.runner.Run(t.Context(), f.plan(1, true))
	assert.NilError(t, err)
	assert.Assert(t, isChecked)
	assert.Equal(t, f.recorder.successor, f.group.Primary().ID)
}

// A commit reached a caller before entries knew the successor, which has not received it.
func TestSuccessorThatLacksAnAcknowledgedCommitIsNotPromoted(t *testing.T) {
	f := newFixture(t)
	assert.Assert(t, f.write(0, "a"))
	f.recorder.acknowledged = logpos.Pos{Term: 1, Index: 2}
	_, err := f.runner.Run(t.Context(), f.plan(1, true))
	var missing *promotion.MissingCommitError
	assert.Assert(t, errors.As(err, &missing), "%v", err)
	assert.Equal(t, len(f.promoter.calls), 0)
}

// An entry that has started again does not know what it had passed on: the call waits for what the
// primary holds. Here an endpoint that control does not know has received it.
func TestSuccessorReceivesWhatThePrimaryHeld(t *testing.T) {
	f := newFixture(t)
	assert.Assert(t, f.write(0, "a"))
	successor := f.group.Nodes()[1]
	successor.Set(standin.Faults{Deaf: true})
	assert.Assert(t, f.write(0, "b"))
	time.AfterFunc(200*time.Millisecond, func() { successor.Set(standin.Faults{}) })
	plan := f.plan(1, true)
	plan.Replicas = plan.Replicas[:1]
	_, err := f.runner.Run(t.Context(), plan)
	assert.NilError(t, err)
	assert.Equal(t, f.group.Primary(), successor)
	assert.Equal(t, len(successor.Lost()), 0)
}

// While entries may pass on what the successor lacks, a primary that serves is not replaced, and
// no replica is paused. Once that has taken too long, it steps down before the call. A primary
// that does not answer is replaced as one that crashed.
func TestPlannedReplacementWithoutConfirmation(t *testing.T) {
	for name, silent := range map[string]struct{ entries, daemons int }{"silent entry": {1, 0}, "control daemon not heard": {0, 1}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			assert.Assert(t, f.write(0, "a"))
			f.recorder.silent, f.recorder.unheard = silent.entries, silent.daemons
			result, err := f.runner.Run(t.Context(), f.plan(1, true))
			var unconfirmed *promotion.NotConfirmedError
			assert.Assert(t, errors.As(err, &unconfirmed), "%v", err)
			assert.Equal(t, len(f.promoter.calls), 0)
			assert.Assert(t, !result.PausesLeft)
			assert.Assert(t, f.write(0, "b"))

			plan := f.plan(2, true)
			plan.MayStepDown = true
			f.promoter.beforeEffect = func() { assert.Check(t, f.group.Primary() == nil) }
			_, err = f.runner.Run(t.Context(), plan)
			assert.NilError(t, err)
			assert.Assert(t, f.recorder.stepDownOrdered)
			assert.Equal(t, len(f.group.Primary().Lost()), 0)
		})
	}
	t.Run("primary stepped down before", func(t *testing.T) {
		f := newFixture(t)
		assert.Assert(t, f.write(0, "a"))
		conn, err := f.runner.Dialer.Dial(t.Context(), f.endpoint(0))
		assert.NilError(t, err)
		defer conn.Close()
		_, err = conn.StepDown(time.Now().Add(time.Second), 2)
		assert.NilError(t, err)
		f.recorder.silent, f.recorder.stepDownOrdered = 1, true
		_, err = f.runner.Run(t.Context(), f.plan(1, true))
		assert.NilError(t, err)
		assert.Equal(t, len(f.group.Primary().Lost()), 0)
	})
	t.Run("primary does not answer", func(t *testing.T) {
		f := newFixture(t)
		assert.Assert(t, f.write(0, "a"))
		f.group.Nodes()[0].Set(standin.Faults{Down: true})
		f.recorder.silent = 1
		_, err := f.runner.Run(t.Context(), f.plan(1, true))
		assert.NilError(t, err)
		assert.Assert(t, f.recorder.isClosed)
	})
}
