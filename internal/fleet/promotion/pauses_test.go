package promotion_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/fleet/promotion"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
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

// frozenDialer dials connections to one endpoint whose holder is frozen after the answer to the
// second status request, the one before the call.
type frozenDialer struct {
	stmt.Dialer
	id      string
	freeze  func()
	answers *atomic.Int32
}

func (d frozenDialer) Dial(ctx context.Context, e stmt.Endpoint) (stmt.Conn, error) {
	conn, err := d.Dialer.Dial(ctx, e)
	if err == nil && e.ID == d.id {
		return frozenConn{conn, d}, nil
	}
	return conn, err
}

type frozenConn struct {
	stmt.Conn
	dialer frozenDialer
}

func (c frozenConn) Status(deadline time.Time) (stmt.Status, error) {
	status, err := c.Conn.Status(deadline)
	if c.dialer.answers.Add(1) == 2 {
		c.dialer.freeze()
	}
	return status, err
}

// The pause of svc-2 ends during the freeze, as if it had started again, and the primary, which
// control does not reach, acknowledges through it.
func TestHolderThatWasFrozenBeforeItsCallDoesNotCall(t *testing.T) {
	f := newFixture(t)
	assert.Assert(t, f.write(0, "a"))
	dialer := f.runner.Dialer
	f.runner.Dialer = frozenDialer{cutDialer{dialer, "", "svc-0"}, "svc-1", func() {
		time.Sleep(3 * time.Second)
		conn, err := dialer.Dial(t.Context(), f.endpoint(2))
		assert.Check(t, err == nil)
		defer conn.Close()
		_, err = conn.Do(time.Now().Add(time.Second), "RESUME", "-", logpos.Pos{})
		assert.Check(t, err == nil)
		assert.Check(t, f.write(0, "b"))
	}, new(atomic.Int32)}
	_, err := f.runner.Run(t.Context(), f.plan(1, false))
	t.Log(err)
	f.assertNothingLost()
}

func TestOpenCallOfASilentEndpointIsFencedByTheServingPrimary(t *testing.T) {
	f := newFixture(t)
	assert.Assert(t, f.write(0, "a"))
	f.group.Nodes()[2].Set(standin.Faults{Silent: true})
	plan := f.plan(2, true)
	plan.OpenCalls = []promotion.Call{{Token: 1, EndpointID: "svc-2"}}
	result, err := f.runner.Run(t.Context(), plan)
	assert.NilError(t, err)
	assert.Equal(t, result.Primary, "svc-0")
	assert.Assert(t, result.PausesLeft)
	assert.Equal(t, f.group.Promote("svc-2", 1), 409, "the open call is refused from now on")
	result, err = f.runner.Run(t.Context(), f.plan(3, true))
	assert.NilError(t, err)
	f.assertNothingLost()
	assert.Assert(t, f.write(f.index(result.Primary), "b"))
}

// index returns the index of the node with the given id.
func (f *fixture) index(id string) int {
	return slices.IndexFunc(f.group.Nodes(), func(n *standin.Node) bool { return n.ID == id })
}

func TestOpenCallOfASilentEndpointIsFencedAfterAStepDown(t *testing.T) {
	f := newFixture(t)
	assert.Assert(t, f.write(0, "a"))
	assert.Equal(t, f.group.Promote("svc-0", 1), 200)
	f.stepDown(0)
	f.group.Nodes()[2].Set(standin.Faults{Silent: true})
	plan := f.plan(3, false)
	plan.StepDownOrdered = true
	plan.OpenCalls = []promotion.Call{{Token: 2, EndpointID: "svc-2"}}
	result, err := f.runner.Run(t.Context(), plan)
	assert.NilError(t, err)
	assert.Equal(t, result.Primary, "svc-0")
	assert.Assert(t, result.Promoted.IsZero(), "no floor from commits that no replica may receive")
	f.assertNothingLost()
}

func (f *fixture) stepDown(i int) {
	conn, err := f.runner.Dialer.Dial(f.t.Context(), f.endpoint(i))
	assert.NilError(f.t, err)
	defer conn.Close()
	_, err = conn.StepDown(time.Now().Add(time.Second), 9)
	assert.NilError(f.t, err)
}
