package promotion_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"hemlockmast/internal/fleet/promotion"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/metrics"
	"hemlockmast/internal/shared/stmt"
	"hemlockmast/platform"
	"hemlockmast/platform/standin"
)

// maxReplacementTime is the time in which a primary must be replaced.
const maxReplacementTime = 10 * time.Second

// promoter carries out promotions at a stand-in group.
type promoter struct {
	group *standin.Group
	// unanswered is how many of the next calls return *OutcomeUnknownError. They are carried
	// out nevertheless unless dropUnanswered is set.
	unanswered     int
	dropUnanswered bool
	calls          []string
	// beforeEffect, if not nil, is called between a call and its effect.
	beforeEffect func()
}

func (p *promoter) Promote(_ context.Context, _, id string, token uint64) error {
	p.calls = append(p.calls, fmt.Sprintf("%s/%d", id, token))
	if p.beforeEffect != nil {
		p.beforeEffect()
	}
	if p.unanswered > 0 {
		p.unanswered--
		if !p.dropUnanswered {
			p.group.Promote(id, token)
		}
		return &promotion.OutcomeUnknownError{Cause: context.DeadlineExceeded}
	}
	if p.group.Promote(id, token) != 200 {
		return &promotion.ConflictError{Detail: "refused"}
	}
	return nil
}

// recorder keeps the records that attempts make, for the plans of later attempts.
type recorder struct {
	mu              sync.Mutex
	stepDownOrdered bool
	steppedDownAt   logpos.Pos
	calls           []promotion.Call
	// isClosed means that entries must not pass on successes of commits any more,
	// acknowledged is the highest position that they passed on.
	isClosed     bool
	acknowledged logpos.Pos
	// successor is the endpoint that has to hold a commit before its success is passed on.
	successor string
	// silent entries do not confirm; unheard control daemons are not heard.
	silent, unheard int
	// unknown is the error of RecordCall.
	unknown error
}

func (r *recorder) RecordStepDown(context.Context, string, uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stepDownOrdered = true
	return nil
}

func (r *recorder) RecordSteppedDown(_ context.Context, _ string, _ uint64, final logpos.Pos) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steppedDownAt = final
	return nil
}

func (r *recorder) RecordCall(_ context.Context, _ string, call promotion.Call, _ []promotion.Accounted, closes bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.calls, call) {
		r.calls = append(r.calls, call)
	}
	r.isClosed = r.isClosed || closes
	return r.unknown
}

func (r *recorder) RecordSuccessor(_ context.Context, _ string, _ uint64, id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.successor = id
	return nil
}

func (r *recorder) AwaitClosed(context.Context, string, uint64) promotion.Closing {
	r.mu.Lock()
	defer r.mu.Unlock()
	return promotion.Closing{Acknowledged: r.acknowledged, Entries: 1, Silent: r.silent, Unheard: r.unheard}
}

type fixture struct {
	t        *testing.T
	group    *standin.Group
	promoter *promoter
	recorder *recorder
	runner   *promotion.Runner
}

func newFixture(t *testing.T) *fixture {
	group, err := standin.Start("svc", 3)
	assert.NilError(t, err)
	t.Cleanup(group.Close)
	p := &promoter{group: group}
	r := &recorder{}
	return &fixture{t: t, group: group, promoter: p, recorder: r, runner: &promotion.Runner{
		Dialer: platform.Dialer{Name: "control"}, Promoter: p, Recorder: r, Metrics: metrics.NewControl(),
		Log: funcr.New(func(_, args string) { t.Log(args) }, funcr.Options{}),
	}}
}

func (f *fixture) endpoint(i int) stmt.Endpoint {
	n := f.group.Nodes()[i]
	return stmt.Endpoint{ID: n.ID, Service: "svc", Address: n.Address}
}

// plan returns a plan for the next attempt, which knows the records of the earlier ones.
func (f *fixture) plan(token uint64, serves bool) promotion.Plan {
	f.recorder.mu.Lock()
	defer f.recorder.mu.Unlock()
	return promotion.Plan{
		StepDownOrdered: f.recorder.stepDownOrdered, SteppedDownAt: f.recorder.steppedDownAt, OpenCalls: slices.Clone(f.recorder.calls),
		Service: "svc", Primary: f.endpoint(0), PrimaryServes: serves, Token: token,
		Replicas: []promotion.Replica{{Endpoint: f.endpoint(1)}, {Endpoint: f.endpoint(2)}},
	}
}

// runUntilDone runs plans with rising tokens until one succeeds, as control does, or the
// time in which a primary must be replaced is over. It repeats only attempts that found no
// replica that answers, which a pause of this process explains.
func (f *fixture) runUntilDone(serves bool) error {
	start := time.Now()
	for token := uint64(1); ; token++ {
		_, err := f.runner.Run(f.t.Context(), f.plan(token, serves))
		var none *promotion.NoCandidateError
		if !errors.As(err, &none) || time.Since(start) > maxReplacementTime {
			return err
		}
		f.t.Log("attempt failed:", err)
	}
}

// write commits an item at a node and reports whether the commit was acknowledged.
func (f *fixture) write(i int, item string) bool {
	conn, err := platform.Dialer{Name: "writer"}.Dial(f.t.Context(), f.endpoint(i))
	if err != nil {
		return false
	}
	defer conn.Close()
	reply, err := conn.Do(time.Now().Add(time.Second), "STORE "+item+" v", "id-"+item, logpos.Pos{})
	return err == nil && reply.Err == nil
}

// untilNoPrimary returns a context that ends once the primary has stepped down.
func (f *fixture) untilNoPrimary() context.Context {
	ctx, cancel := context.WithCancel(f.t.Context())
	go func() {
		standin.WaitFor(5*time.Second, func() bool { return f.group.Primary() == nil })
		cancel()
	}()
	return ctx
}

// assertNothingLost checks that the primary's log contains every acknowledged commit.
func (f *fixture) assertNothingLost() {
	f.t.Helper()
	assert.Equal(f.t, len(f.group.Primary().Lost()), 0)
}

func TestCrashedPrimaryIsReplacedByTheLatestLog(t *testing.T) {
	f := newFixture(t)
	f.group.Nodes()[1].Set(standin.Faults{Deaf: true})
	assert.Assert(t, f.write(0, "a"))
	f.group.Nodes()[0].Set(standin.Faults{Down: true})
	f.group.Nodes()[1].Set(standin.Faults{})
	result, err := f.runner.Run(t.Context(), f.plan(1, false))
	assert.NilError(t, err)
	assert.Equal(t, result.Primary, "svc-2")
	f.assertNothingLost()
	// A write is acknowledged only if the other replica was resumed.
	assert.Assert(t, f.write(2, "b"))
}

// TestReplicaOutOfReachForbidsPromotion has the primary crash together with the only
// replica that holds the last commit.
func TestReplicaOutOfReachForbidsPromotion(t *testing.T) {
	f := newFixture(t)
	f.group.Nodes()[1].Set(standin.Faults{Deaf: true})
	assert.Assert(t, f.write(0, "a"))
	f.group.Nodes()[0].Set(standin.Faults{Down: true})
	f.group.Nodes()[2].Set(standin.Faults{Down: true})
	_, err := f.runner.Run(t.Context(), f.plan(1, false))
	var unsafe *promotion.UnsafeError
	assert.Assert(t, errors.As(err, &unsafe), "%v", err)
	assert.DeepEqual(t, unsafe.NotPaused, []string{"svc-2"})
	assert.Equal(t, len(f.promoter.calls), 0)
}

// TestDeadReplicaDoesNotForbidPromotion stops a replica's process while the primary keeps
// running. Another endpoint answers at the replica's address.
func TestDeadReplicaDoesNotForbidPromotion(t *testing.T) {
	f := newFixture(t)
	assert.Assert(t, f.write(0, "a"))
	f.group.Nodes()[2].Set(standin.Faults{Down: true})
	assert.Assert(t, f.write(0, "b"))
	f.group.Nodes()[0].Set(standin.Faults{Down: true})
	plan := f.plan(1, false)
	plan.Replicas[1].Covered = true
	plan.Replicas[1].Address = f.group.Nodes()[1].Address
	result, err := f.runner.Run(t.Context(), plan)
	assert.NilError(t, err)
	assert.Equal(t, result.Primary, "svc-1")
	f.assertNothingLost()
}

// TestRefusedConnectionDoesNotProveThatAReplicaEnded guards against lost commits: the network
// refuses control's connections to a covered replica that runs and receives from the primary.
func TestRefusedConnectionDoesNotProveThatAReplicaEnded(t *testing.T) {
	f := newFixture(t)
	assert.Assert(t, f.write(0, "a"))
	plan := f.plan(1, false)
	plan.Primary.Address = refusingAddress
	plan.Replicas[1].Covered = true
	plan.Replicas[1].Address = refusingAddress
	f.promoter.beforeEffect = func() { t.Log("acknowledged during the call:", f.write(0, "b")) }
	_, err := f.runner.Run(t.Context(), plan)
	f.assertNothingLost()
	var unsafe *promotion.UnsafeError
	assert.Assert(t, errors.As(err, &unsafe), "%v", err)
	assert.DeepEqual(t, unsafe.NotPaused, []string{"svc-2"})
	assert.Equal(t, len(f.promoter.calls), 0)
}

// refusingAddress is an address at which nothing listens.
const refusingAddress = "127.0.0.1:1"

// TestPlannedReplacementGoesOnServing writes during a planned promotion: the new
// primary's log must contain every acknowledged write.
func TestPlannedReplacementGoesOnServing(t *testing.T) {
	f := newFixture(t)
	stop := make(chan struct{})
	done := make(chan int)
	go func() {
		acknowledged := 0
		for i := 0; ; i++ {
			select {
			case <-stop:
				done <- acknowledged
				return
			default:
			}
			if f.write(0, fmt.Sprint("w", i)) {
				acknowledged++
			}
		}
	}()
	assert.Assert(t, standin.WaitFor(5*time.Second, func() bool { return len(f.group.Acked()) > 0 }))
	servesDuringCall := false
	f.promoter.beforeEffect = func() { servesDuringCall = f.write(0, "during") }
	err := f.runUntilDone(true)
	close(stop)
	assert.Assert(t, <-done > 0)
	assert.Assert(t, servesDuringCall)
	assert.NilError(t, err)
	assert.Assert(t, f.group.Primary().ID != "svc-0")
	f.assertNothingLost()
}

// slowDialer opens each of its first connections only after a delay, as on a VM that is
// paused meanwhile.
type slowDialer struct {
	stmt.Dialer
	delay time.Duration
	slow  atomic.Int32
}

func (d *slowDialer) Dial(ctx context.Context, e stmt.Endpoint) (stmt.Conn, error) {
	if d.slow.Add(-1) >= 0 {
		time.Sleep(d.delay)
	}
	return d.Dialer.Dial(ctx, e)
}

// TestPausedDaemonRepeatsPlannedReplacement pauses the daemon while it connects to the
// replicas. The attempt fails without an effect, and the next one succeeds.
func TestPausedDaemonRepeatsPlannedReplacement(t *testing.T) {
	f := newFixture(t)
	assert.Assert(t, f.write(0, "a"))
	dialer := &slowDialer{Dialer: f.runner.Dialer, delay: 600 * time.Millisecond}
	dialer.slow.Store(2)
	f.runner.Dialer = dialer
	_, err := f.runner.Run(t.Context(), f.plan(1, true))
	var none *promotion.NoCandidateError
	assert.Assert(t, errors.As(err, &none), "%v", err)
	assert.Equal(t, len(f.promoter.calls), 0)
	assert.Assert(t, f.write(0, "b"))
	assert.NilError(t, f.runUntilDone(true))
	assert.Assert(t, f.group.Primary().ID != "svc-0")
	f.assertNothingLost()
}

// TestPlannedReplacementWithoutOneReplica has a replica that cannot be paused, so the
// primary must step down before the promotion.
func TestPlannedReplacementWithoutOneReplica(t *testing.T) {
	f := newFixture(t)
	assert.Assert(t, f.write(0, "a"))
	f.group.Nodes()[2].Set(standin.Faults{Silent: true})
	result, err := f.runner.Run(t.Context(), f.plan(1, true))
	assert.NilError(t, err)
	assert.Equal(t, result.Primary, "svc-1")
	f.assertNothingLost()
}

func TestLeavingReplicaIsNotChosen(t *testing.T) {
	f := newFixture(t)
	plan := f.plan(1, true)
	plan.Replicas[0].Leaving = true
	result, err := f.runner.Run(t.Context(), plan)
	assert.NilError(t, err)
	assert.Equal(t, result.Primary, "svc-2")
}

// TestUnansweredCallIsRepeatedWithANewToken repeats attempts as control does. Each calls for
// the same endpoint, once only, so that the platform can carry out no call late and twice.
func TestUnansweredCallIsRepeatedWithANewToken(t *testing.T) {
	for _, dropUnanswered := range []bool{false, true} {
		f := newFixture(t)
		f.promoter.unanswered, f.promoter.dropUnanswered = 2, dropUnanswered
		f.group.Nodes()[0].Set(standin.Faults{Down: true})
		var primary string
		for token := uint64(4); primary == "" && token < 8; token++ {
			result, err := f.runner.Run(t.Context(), f.plan(token, false))
			var other *promotion.OtherPrimaryError
			if errors.As(err, &other) {
				primary = other.Endpoint
			}
			primary += result.Primary
		}
		assert.Equal(t, f.group.Primary().ID, primary)
		for i, call := range f.promoter.calls {
			assert.Equal(t, call, fmt.Sprintf("%s/%d", primary, 4+i))
		}
	}
}

// TestSupersededTokenStops checks that a promotion is not retried after another holder
// used a higher token.
func TestSupersededTokenStops(t *testing.T) {
	f := newFixture(t)
	f.group.Promote("svc-0", 9)
	f.group.Nodes()[0].Set(standin.Faults{Down: true})
	_, err := f.runner.Run(t.Context(), f.plan(4, false))
	var conflict *promotion.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, len(f.promoter.calls), 1)
}

func TestNoReplica(t *testing.T) {
	f := newFixture(t)
	plan := f.plan(1, true)
	plan.Replicas = nil
	_, err := f.runner.Run(t.Context(), plan)
	var none *promotion.NoCandidateError
	assert.Assert(t, errors.As(err, &none), "%v", err)
}

func TestIsStalled(t *testing.T) {
	at := func(n uint64) logpos.Pos { return logpos.Pos{Term: 1, Index: n} }
	sample := func(primary, a, b uint64) promotion.Sample {
		return promotion.Sample{Primary: at(primary), Replicas: map[string]logpos.Pos{"a": at(a), "b": at(b)}}
	}
	for name, row := range map[string]struct {
		first, second promotion.Sample
		want          bool
	}{
		"both remain behind":    {sample(9, 5, 6), sample(9, 5, 6), true},
		"one receives":          {sample(9, 5, 6), sample(9, 5, 7), false},
		"one was up to date":    {sample(9, 5, 9), sample(12, 5, 9), false},
		"one stopped answering": {sample(9, 5, 6), promotion.Sample{Primary: at(9), Replicas: map[string]logpos.Pos{"a": at(5)}}, false},
		"none answered":         {promotion.Sample{Primary: at(9)}, promotion.Sample{Primary: at(9)}, false},
	} {
		assert.Equal(t, promotion.IsStalled(row.first, row.second), row.want, name)
	}
}

func TestRelief(t *testing.T) {
	replica := func(id string, lag time.Duration) promotion.ReplicaState {
		return promotion.ReplicaState{ID: id, Reached: true, Status: stmt.Status{Lag: lag}}
	}
	leaving := replica("leaving", time.Minute)
	leaving.Leaving = true
	unreached := replica("unreached", time.Minute)
	unreached.Reached = false
	for name, row := range map[string]struct {
		replicas []promotion.ReplicaState
		want     string
	}{
		"furthest behind":          {[]promotion.ReplicaState{replica("a", 3*time.Second), replica("b", 9*time.Second)}, "b"},
		"soon caught up by itself": {[]promotion.ReplicaState{replica("a", time.Second), replica("b", 0)}, ""},
		"not a leaving one":        {[]promotion.ReplicaState{leaving, replica("a", 0)}, ""},
		"not one without a status": {[]promotion.ReplicaState{unreached}, ""},
	} {
		got, ok := promotion.ReliefCandidate(row.replicas)
		assert.Equal(t, got, row.want, name)
		assert.Equal(t, ok, row.want != "", name)
	}
}

// TestPreferredReplicaIsPromoted has two replicas with equal logs.
func TestPreferredReplicaIsPromoted(t *testing.T) {
	f := newFixture(t)
	assert.Assert(t, f.write(0, "a"))
	plan := f.plan(1, true)
	plan.Preferred = "svc-2"
	result, err := f.runner.Run(t.Context(), plan)
	assert.NilError(t, err)
	assert.Equal(t, result.Primary, "svc-2")
	f.assertNothingLost()
}

// TestOutdatedPlanIsNotCarriedOut guards against the loss of a commit, found with the test
// scenario fresh-a94b on the enlarged sankofa deployment: the plan's primary is no longer
// the primary, and the current primary has acknowledged a commit that the plan's primary
// lacks.
func TestOutdatedPlanIsNotCarriedOut(t *testing.T) {
	for _, serves := range []bool{false, true} {
		f := newFixture(t)
		assert.Equal(t, f.group.Promote("svc-1", 1), 200)
		f.group.Nodes()[0].Set(standin.Faults{Deaf: true})
		assert.Assert(t, f.write(1, "a"))
		_, err := f.runner.Run(t.Context(), f.plan(2, serves))
		var other *promotion.OtherPrimaryError
		assert.Assert(t, errors.As(err, &other), "%v", err)
		assert.Equal(t, other.Endpoint, "svc-1")
		assert.Equal(t, other.Term, uint64(2))
		assert.Equal(t, other.Position, logpos.Pos{Term: 2, Index: 1})
		assert.Equal(t, len(f.promoter.calls), 0)
		f.assertNothingLost()
		assert.Assert(t, f.write(1, "b"))
	}
}

// TestReplicaCannotStepDown makes the actual primary unreachable. The plan's primary is a
// replica by now, and its position does not tell which commits were acknowledged.
func TestReplicaCannotStepDown(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, f.group.Promote("svc-1", 1), 200)
	f.group.Nodes()[0].Set(standin.Faults{Deaf: true})
	assert.Assert(t, f.write(1, "a"))
	f.group.Nodes()[1].Set(standin.Faults{Silent: true})
	_, err := f.runner.Run(t.Context(), f.plan(2, true))
	var unsafe *promotion.UnsafeError
	assert.Assert(t, errors.As(err, &unsafe), "%v", err)
	assert.Equal(t, len(f.promoter.calls), 0)
	f.assertNothingLost()
}

// TestRetryAfterStepDown ends a first attempt after the primary stepped down and before a
// replica caught up. The second attempt may continue although no endpoint is the primary.
func TestRetryAfterStepDown(t *testing.T) {
	f := newFixture(t)
	f.group.Nodes()[1].Set(standin.Faults{Deaf: true})
	assert.Assert(t, f.write(0, "a"))
	f.group.Nodes()[2].Set(standin.Faults{Silent: true})
	ctx := f.untilNoPrimary()
	_, err := f.runner.Run(ctx, f.plan(1, true))
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, len(f.promoter.calls), 0)
	f.group.Nodes()[2].Set(standin.Faults{})
	f.group.Nodes()[1].Set(standin.Faults{Silent: true})
	result, err := f.runner.Run(t.Context(), f.plan(2, true))
	assert.NilError(t, err)
	assert.Equal(t, result.Primary, "svc-2")
	f.assertNothingLost()
}

// TestPrimaryLeadsAgainIfNoReplicaCatchesUp has the only replica with the last commit end
// and the other one lack that commit. The primary, which stepped down, is the only endpoint
// that may lead.
func TestPrimaryLeadsAgainIfNoReplicaCatchesUp(t *testing.T) {
	for _, serves := range []bool{false, true} {
		f := newFixture(t)
		f.group.Nodes()[1].Set(standin.Faults{Deaf: true})
		assert.Assert(t, f.write(0, "a"))
		f.group.Nodes()[2].Set(standin.Faults{Down: true})
		plan := f.plan(1, serves)
		plan.Replicas[1].Leaving, plan.Replicas[1].Ended = true, true
		result, err := f.runner.Run(t.Context(), plan)
		assert.NilError(t, err)
		assert.Equal(t, result.Primary, "svc-0")
		assert.Equal(t, f.group.Primary().ID, "svc-0")
		f.assertNothingLost()
		f.group.Nodes()[1].Set(standin.Faults{})
		assert.Assert(t, f.write(0, "b"))
	}
}

// TestPauseHoldsAgainstLowerTerms plays the terms of pauses as seen on the users' bench.
func TestPauseHoldsAgainstLowerTerms(t *testing.T) {
	f := newFixture(t)
	conn, err := f.runner.Dialer.Dial(t.Context(), f.endpoint(2))
	assert.NilError(t, err)
	defer conn.Close()
	deadline := time.Now().Add(5 * time.Second)
	for _, row := range []struct{ term, held uint64 }{{2, 2}, {1, 2}, {3, 3}, {2, 2}, {3, 3}} {
		status, err := conn.Pause(deadline, row.term)
		assert.NilError(t, err)
		assert.Equal(t, status.PausedTerm, row.held)
	}
	assert.Equal(t, f.group.Promote("svc-1", 1), 200)
	status, err := conn.Status(deadline)
	assert.NilError(t, err)
	assert.Equal(t, status.Term, uint64(1), "a pause for term 3 holds against the primary of term 2")
	assert.Equal(t, f.group.Promote("svc-0", 2), 200)
	status, err = conn.Status(deadline)
	assert.NilError(t, err)
	assert.Equal(t, status.Term, uint64(3))
	assert.Equal(t, status.PausedTerm, uint64(0))
}
