package promotion

import (
	"context"
	"errors"
	"slices"
	"time"

	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/metrics"
	"hemlockmast/internal/shared/stmt"
	"hemlockmast/internal/shared/wait"
)

const (
	// promoteCallTimeout bounds one call to the platform.
	promoteCallTimeout = 1500 * time.Millisecond
	// maxPromoteCalls limits the calls to the platform of one attempt.
	maxPromoteCalls = 3
	// maxConfirmationAge bounds the time between the last look at the replicas and a call. A
	// daemon that was paused in between does not call.
	maxConfirmationAge = commandTimeout + 200*time.Millisecond
	// throttledDelay is the delay before a call is repeated that was refused because of too
	// many calls.
	throttledDelay = 100 * time.Millisecond
)

// Promoter asks the platform to promote an endpoint. Errors: *ConflictError,
// *ThrottledError and *OutcomeUnknownError; after any other error, nothing was changed and
// nothing will be.
type Promoter interface {
	Promote(ctx context.Context, service, endpointID string, token uint64) error
}

// callPromoter asks the platform to promote the candidate, again if the call is throttled. It
// looks at the replicas right before each call. An unanswered call is not repeated with its
// token, since the platform could then carry out both, one of them late: the next attempt's
// token fences it.
func (a *attempt) callPromoter(ctx context.Context, candidate ReplicaState) error {
	var err error
	for range maxPromoteCalls {
		err = a.confirmAndCall(ctx, candidate)
		var throttled *ThrottledError
		if !errors.As(err, &throttled) {
			break
		}
		wait.For(ctx, throttledDelay)
	}
	var unknown *OutcomeUnknownError
	a.result.CallRefused = err != nil && !errors.As(err, &unknown)
	return err
}

// confirmAndCall makes one call if the replicas are still as the choice of the candidate found
// them. Errors: *UnsafeError and *DelayedError, if no call was made, and those of Promoter.
func (a *attempt) confirmAndCall(ctx context.Context, candidate ReplicaState) error {
	asked := boottime.Now()
	if err := a.confirmReplicas(ctx, candidate); err != nil {
		return err
	}
	if age := boottime.Now() - asked; age > maxConfirmationAge {
		return &DelayedError{Age: age}
	}
	return a.callOnce(ctx, candidate.ID)
}

// callOnce makes one call unless the context has ended.
func (a *attempt) callOnce(ctx context.Context, id string) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, promoteCallTimeout)
	defer cancel()
	started := time.Now()
	err := a.Promoter.Promote(callCtx, a.plan.Service, id, a.plan.Token)
	a.Metrics.PlatformCalled(callOutcome(err))
	outcome := "accepted"
	if err != nil {
		outcome = err.Error()
	}
	a.log.Info("platform called", "endpoint", id, "took", time.Since(started).String(), "outcome", outcome)
	return err
}

func callOutcome(err error) metrics.CallOutcome {
	var unknown *OutcomeUnknownError
	switch {
	case err == nil:
		return metrics.CallAccepted
	case errors.As(err, &unknown):
		return metrics.CallUnanswered
	}
	return metrics.CallRefused
}

// awaitTakeover waits until the endpoint reports that it is the primary. Errors:
// *TakeoverTimeoutError.
func (a *attempt) awaitTakeover(ctx context.Context, id string) error {
	deadline := time.Now().Add(takeoverTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		status, ok := a.statusOf(ctx, id)
		if ok && status.Role == stmt.Primary {
			a.noteTakeover(id, status)
			return nil
		}
		time.Sleep(statusPollInterval)
	}
	return &TakeoverTimeoutError{Endpoint: id}
}

// statusOf requests the status of one of the plan's endpoints.
func (a *attempt) statusOf(ctx context.Context, id string) (stmt.Status, bool) {
	if id == a.plan.Primary.ID {
		conn, status, err := a.connectPrimary(ctx)
		if err != nil {
			return stmt.Status{}, false
		}
		conn.Close()
		return status, true
	}
	i := slices.IndexFunc(a.replicas, func(s ReplicaState) bool { return s.ID == id })
	ok := a.runCommand(i, orderPoll, a.conns[i].Status)
	return a.replicas[i].Status, ok
}

// noteTakeover records the new primary's first status. Pauses with its term or a lower one
// end by themselves.
func (a *attempt) noteTakeover(id string, status stmt.Status) {
	a.result.Primary, a.result.Term, a.result.Inherited = id, status.Term, status.Received
	mayBePaused := a.plan.Unfinished || len(a.plan.OpenCalls) > 0
	a.result.PausesLeft = slices.ContainsFunc(a.replicas, func(s ReplicaState) bool {
		return s.ID != id && (s.Status.PausedTerm > status.Term || mayBePaused && !s.Reached && !s.Dead)
	})
	a.log.Info("new primary answers", "endpoint", id, "term", status.Term, "position", status.Received.String(),
		"highest", a.result.Highest.String(), "pausesLeft", a.result.PausesLeft)
	if status.Received.Less(logpos.Max(a.result.Highest, a.plan.Floor)) {
		a.Metrics.PrimaryBehind()
	}
}
