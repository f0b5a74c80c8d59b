package entry

import (
	"context"

	"github.com/go-faster/errors"

	"hemlockmast/internal/shared/outcome"
)

// mayRetry reports whether the segment may be sent again. It may if no part of a
// reply was sent to the caller, the segment does not continue a transaction, a
// second run does no harm and the service's retry budget allows it. The budget
// is charged for the retry.
func (e *execution) mayRetry(ctx context.Context, err error) bool {
	var failure *outcome.Error
	if !errors.As(err, &failure) || ctx.Err() != nil || e.inTx || e.sink.started {
		return false
	}
	if failure.Outcome != outcome.NotRun && !e.isIdempotent() || !isTransient(failure.Reason) {
		return false
	}
	if failure != errReadOnly && !isExemptFromRetryBudget(failure.Reason) && !e.sess.srv.cfg.Admit.Retry(e.sess.service.Name) {
		return false
	}
	e.sink.discard()
	if failure != errReadOnly {
		e.avoidReplica(e.sess.slot, e.atPrimary)
	}
	return true
}

// isExemptFromRetryBudget reports whether a retry for the given reason is not
// charged to the retry budget. That is so if no endpoint was contacted, or if the
// cause is a change of the group or its holders, such as a failover. Such a change
// affects all callers at the same time, but only once.
func isExemptFromRetryBudget(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonNoPrimary, outcome.ReasonNoHolder, outcome.ReasonEndpointDown,
		outcome.ReasonSuperseded, outcome.ReasonDraining, outcome.ReasonConnLost, outcome.ReasonStale:
		return true
	}
	return false
}

// avoidReplica excludes a replica that failed from further attempts. A primary is
// not excluded, because there is no other one until a promotion.
func (e *execution) avoidReplica(slot string, primary bool) {
	if !primary && slot != "" {
		e.avoidSlots = append(e.avoidSlots, slot)
	}
}

// isIdempotent reports whether the segment may be sent again although it may have
// run. That holds for a read at a replica, which has no effect, for a request
// with an id, whose marker at the endpoint prevents a second run, and for a
// service whose file declares its statements repeatable.
func (e *execution) isIdempotent() bool {
	if e.requestID != "" || e.sess.service.Repeatable {
		return true
	}
	return e.access != accessWrite && !e.atPrimary
}

// isTransient reports whether another attempt may succeed.
func isTransient(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonDeadline, outcome.ReasonQueueFull, outcome.ReasonCanceled,
		outcome.ReasonTooLarge, outcome.ReasonProtocol, outcome.ReasonRepeated:
		return false
	}
	return true
}
