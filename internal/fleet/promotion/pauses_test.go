package promotion_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/fleet/promotion"
	"hemlockmast/platform/standin"
)

func (f *fixture) pause(i int, term uint64) {
	conn, err := f.runner.Dialer.Dial(f.t.Context(), f.endpoint(i))
	assert.NilError(f.t, err)
	defer conn.Close()
	_, err = conn.Pause(time.Now().Add(time.Second), term)
	assert.NilError(f.t, err)
}

// An earlier attempt paused svc-2 with term 3, as a call was open. svc-2 does not answer now.
func TestPauseOfASilentReplicaIsNotForgottenAfterTheTakeover(t *testing.T) {
	f := newFixture(t)
	assert.Assert(t, f.write(0, "a"))
	f.pause(2, 3)
	f.group.Nodes()[2].Set(standin.Faults{Silent: true})
	plan := f.plan(2, false)
	plan.StepDownOrdered, plan.PrimaryCalled = true, true
	plan.OpenCalls = []promotion.Call{{Token: 1, EndpointID: "svc-0"}}
	result, err := f.runner.Run(t.Context(), plan)
	assert.NilError(t, err)
	f.group.Nodes()[2].Set(standin.Faults{})
	f.group.Nodes()[1].Set(standin.Faults{Silent: true, Deaf: true})
	t.Log("promoted:", result.Primary, "term", result.Term, "acknowledged through svc-2:", f.write(0, "b"))
	assert.Assert(t, result.PausesLeft, "svc-2 is still paused and nothing is unfinished")
}

// The primary stepped down for attempt 1, whose unanswered call for it was carried out late.
func TestOpenCallForTheServingPrimaryDoesNotBlockPlannedReplacement(t *testing.T) {
	f := newFixture(t)
	assert.Assert(t, f.write(0, "a"))
	plan := f.plan(2, true)
	plan.StepDownOrdered, plan.PrimaryCalled = true, true
	plan.OpenCalls = []promotion.Call{{Token: 1, EndpointID: "svc-0"}}
	result, err := f.runner.Run(t.Context(), plan)
	assert.NilError(t, err)
	assert.Assert(t, result.Primary != "")
	f.assertNothingLost()
}
