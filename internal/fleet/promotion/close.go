package promotion

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

// awaitClosed waits until entries pass on no success of a commit at the present primary any
// more, and checks that the candidate holds every commit whose success was passed on. An
// endpoint that the attempt does not know may have received the others. Errors:
// *MissingCommitError, *LogFoundError.
func (a *attempt) awaitClosed(ctx context.Context, candidate ReplicaState) error {
	closing := a.awaitEntries(ctx, candidate)
	if !candidate.position().Less(closing.Acknowledged) {
		return nil
	}
	err := &MissingCommitError{Endpoint: candidate.ID, Position: candidate.position(), Acknowledged: closing.Acknowledged}
	if a.plan.PrimaryGone {
		if holder, ok := a.findHolder(ctx, closing.Acknowledged); ok {
			return &LogFoundError{Endpoint: holder, Acknowledged: closing.Acknowledged}
		}
		// No log that is known holds the commit, so that waiting for it may never end.
		a.log.Info("promotion goes on without an acknowledged commit", "error", err.Error())
		return nil
	}
	return err
}

// awaitEntries waits until the entries have confirmed what the attempt recorded.
func (a *attempt) awaitEntries(ctx context.Context, candidate ReplicaState) Closing {
	started := time.Now()
	closing := a.Recorder.AwaitClosed(ctx, a.plan.Service, a.plan.Token)
	a.Metrics.AcknowledgementsClosed(closing.isComplete())
	a.log.Info("entries closed acknowledgements", "entries", closing.Entries, "silent", closing.Silent, "unheard", closing.Unheard,
		"acknowledged", closing.Acknowledged.String(), "position", candidate.position().String(), "took", time.Since(started).String())
	return closing
}

// replaceServing chooses the successor of a primary that serves until it is replaced. Before any
// replica is paused, the entries confirm that they pass on the success of a commit only once the
// successor holds it. The successor then receives what they had passed on before, for which the
// primary's log is looked at, too. From then on it holds every acknowledged commit, whichever
// endpoints receive from the primary. Errors:
// those of Recorder, *NotConfirmedError, and those of the ways taken instead.
func (a *attempt) replaceServing(ctx context.Context, successor ReplicaState) (ReplicaState, error) {
	if len(CalledReplicas(a.plan.OpenCalls, successor.ID)) > 0 {
		// An open call could promote an endpoint that lacks what the successor holds.
		return a.pauseAll(ctx)
	}
	if err := a.Recorder.RecordSuccessor(ctx, a.plan.Service, a.plan.Token, successor.ID); err != nil {
		return ReplicaState{}, err
	}
	closing := a.awaitEntries(ctx, successor)
	if !closing.isComplete() {
		return a.replaceUnconfirmed(ctx, closing)
	}
	return a.pauseOthers(ctx, successor.ID, logpos.Max(closing.Acknowledged, a.primaryPosition(ctx)))
}

// primaryPosition returns the end of the log of the plan's primary: it holds every commit whose
// success was passed on until now, also by an entry that has ended or started again since. It is
// zero if the primary does not tell.
func (a *attempt) primaryPosition(ctx context.Context) logpos.Pos {
	conn, status, err := a.connectPrimary(ctx)
	a.logAnswer(a.plan.Primary.ID, orderStatus, status, err)
	if err != nil {
		return logpos.Pos{}
	}
	conn.Close()
	return status.Received
}

// replaceUnconfirmed goes on where entries have not confirmed: they may pass on commits that the
// successor lacks. A primary that has stepped down acknowledges none, and nothing is won by a later
// attempt. One that does not answer is not replaced as planned.
func (a *attempt) replaceUnconfirmed(ctx context.Context, closing Closing) (ReplicaState, error) {
	isRunning, mayLead := a.askPrimary(ctx)
	if !isRunning {
		a.log.Info("the replacement is not planned any more", "reason", "primary does not answer")
		return a.pauseAll(ctx)
	}
	if mayLead && !a.plan.MayStepDown {
		return ReplicaState{}, &NotConfirmedError{Service: a.plan.Service, Silent: closing.Silent, Unheard: closing.Unheard}
	}
	a.log.Info("primary steps down before its planned replacement", "silent", closing.Silent, "unheard", closing.Unheard)
	return a.candidateWithoutPauses(ctx)
}

// askPrimary reports whether the plan's primary answers, if only with a refusal, and whether it may
// still lead.
func (a *attempt) askPrimary(ctx context.Context) (isRunning, mayLead bool) {
	conn, status, err := a.connectPrimary(ctx)
	if err == nil {
		conn.Close()
		return true, status.Role == stmt.Primary
	}
	var refused *stmt.RefusedError
	isRunning = errors.As(err, &refused) && !ProvesDead(err)
	return isRunning, isRunning
}

// isHolding reports whether the endpoint's log reaches a position.
func (s ReplicaState) isHolding(pos logpos.Pos) bool { return !s.position().Less(pos) }

// findHolder asks the endpoints that count as ended, all at once, whether one runs and may hold the
// log up to a position, and returns its id. That they have ended may rest on an announcement of
// another process at their address, or on a late deregistration.
func (a *attempt) findHolder(ctx context.Context, pos logpos.Pos) (id string, ok bool) {
	mayHold := make([]bool, len(a.plan.Ended))
	var asked sync.WaitGroup
	for i, e := range a.plan.Ended {
		asked.Go(func() {
			status, err := a.statusAt(ctx, e)
			a.logAnswer(e.ID, orderStatus, status, err)
			mayHold[i] = err == nil && !status.Received.Less(pos) || IsOverloaded(err)
		})
	}
	asked.Wait()
	if i := slices.Index(mayHold, true); i >= 0 {
		return a.plan.Ended[i].ID, true
	}
	return "", false
}
