package entry

import (
	"context"

	"github.com/go-faster/errors"

	"hemlockmast/internal/shared/outcome"
)

// mayRetry reports whether the segment may be sent again: nothing of a reply
// reached the caller, it does not continue a transaction, and a second run does
// no harm.
func (a *attempt) mayRetry(ctx context.Context, err error) bool {
	var failure *outcome.Error
	if !errors.As(err, &failure) || ctx.Err() != nil || a.inTx || a.sink.started {
		return false
	}
	if failure.Outcome != outcome.NotRun && !a.isHarmlessTwice() || !isTransient(failure.Reason) {
		return false
	}
	if failure != errReadOnly && !needsNoBudget(failure.Reason) && !a.sess.srv.cfg.Admit.Retry(a.sess.service.Name) {
		return false
	}
	a.sink.discard()
	if failure != errReadOnly {
		a.avoidReplica(a.sess.slot, a.primary)
	}
	return true
}

// needsNoBudget reports whether a further try needs no budget: its cause is a
// change of the group or its holders, as in a failover, which comes once for all
// callers at the same moment; or the endpoint was not asked at all.
func needsNoBudget(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonNoPrimary, outcome.ReasonNoHolder, outcome.ReasonEndpointDown,
		outcome.ReasonSuperseded, outcome.ReasonDraining, outcome.ReasonConnLost, outcome.ReasonStale:
		return true
	}
	return false
}

// avoidReplica keeps further tries away from a replica that failed. A primary is
// tried again: there is no other until a promotion.
func (a *attempt) avoidReplica(slot string, primary bool) {
	if !primary && slot != "" {
		a.avoid = append(a.avoid, slot)
	}
}

// isHarmlessTwice reports whether the segment may run again although it may have
// run: a read at a replica, which cannot have had an effect; a request whose
// marker lets it run once; or a service whose file says so.
func (a *attempt) isHarmlessTwice() bool {
	if a.request != "" || a.sess.service.Repeatable {
		return true
	}
	return a.access != accessWrite && !a.primary
}

// isTransient reports whether another try may end otherwise.
func isTransient(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonDeadline, outcome.ReasonQueueFull, outcome.ReasonCanceled,
		outcome.ReasonTooLarge, outcome.ReasonProtocol, outcome.ReasonRepeated:
		return false
	}
	return true
}
