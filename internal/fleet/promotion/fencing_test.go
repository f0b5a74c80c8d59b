package promotion_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/fleet/promotion"
	"hemlockmast/platform/standin"
)

// The primary is cut off from control only, and the endpoint of the open call does not run.
func TestAttemptThatCanFenceNothingPausesNothing(t *testing.T) {
	f := newFixture(t)
	f.group.Nodes()[1].Set(standin.Faults{Down: true})
	assert.Assert(t, f.write(0, "a"))
	f.runner.Dialer = cutDialer{f.runner.Dialer, "", "svc-0"}
	plan := f.plan(2, false)
	plan.OpenCalls = []promotion.Call{{Token: 1, EndpointID: "svc-1"}}
	_, err := f.runner.Run(t.Context(), plan)
	var unsafe *promotion.UnsafeError
	assert.Assert(t, errors.As(err, &unsafe), "%v", err)
	assert.Assert(t, f.write(0, "b"), "the primary cannot acknowledge any more, and nothing was gained")
}
