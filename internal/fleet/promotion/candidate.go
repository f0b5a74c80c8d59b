package promotion

import (
	"context"
	"errors"
	"slices"
	"time"

	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

// candidate chooses an endpoint whose log contains every acknowledged commit, now and
// until it is promoted. To ensure that, it pauses the replicas; if some replica cannot be
// paused, it makes the primary step down instead. It pauses none if some replica does not
// answer, because the pause of the others would be of no use.
func (a *attempt) candidate(ctx context.Context) (ReplicaState, error) {
	successor, ok := Successor(a.replicas, a.plan.OpenCalls, a.nextTerm(), a.plan.Preferred)
	switch {
	// The primary serves on, as nothing can replace it and no pause has to be ended.
	case a.plan.PrimaryServes && !ok && len(a.plan.OpenCalls) == 0 && !AnyPaused(a.replicas, a.nextTerm()):
		return ReplicaState{}, &NoCandidateError{Service: a.plan.Service}
	case !AllAnswer(a.replicas):
		return a.candidateWithoutPauses(ctx)
	case a.plan.PrimaryServes && ok:
		return a.replaceServing(ctx, successor)
	}
	return a.pauseAll(ctx)
}

// fencingCandidate returns the primary as the candidate, because the endpoint of an open call
// does not answer: the platform changes nothing for a primary that leads, and refuses the open
// calls from then on. The other replicas are paused first, so that this endpoint, if it is
// promoted before the call, acknowledges only what the primary receives. Errors: *UnsafeError.
func (a *attempt) fencingCandidate(ctx context.Context) (ReplicaState, error) {
	conn, status, err := a.connectPrimary(ctx)
	a.logAnswer(a.plan.Primary.ID, orderStatus, status, err)
	if err != nil {
		return ReplicaState{}, a.unsafeError()
	}
	a.primaryConn = conn
	if status.Role != stmt.Primary && !a.hasSteppedDown(status) {
		return ReplicaState{}, a.unsafeError()
	}
	if called := CalledReplicas(a.plan.OpenCalls, a.plan.Primary.ID); len(called) == 1 {
		a.unpaused = called[0]
	}
	if !a.pauseReplicas(a.plan.Primary.ID, a.unpaused) {
		return ReplicaState{}, a.unsafeError()
	}
	a.pollReplicas()
	a.primaryStatus, err = conn.Status(time.Now().Add(commandTimeout))
	if err != nil || a.primaryStatus.Role != status.Role || !HasAll(a.primaryStatus, a.replicas) {
		a.logAnswer(a.plan.Primary.ID, orderStatus, a.primaryStatus, err)
		return ReplicaState{}, a.unsafeError()
	}
	return a.primaryState(a.primaryStatus), nil
}

// pauseOthers pauses all replicas but the successor while the primary serves, and waits until
// the successor holds what the others hold and what callers were told. If it does not in time,
// all replicas are paused: the primary could acknowledge nothing, as the successor does not
// receive.
func (a *attempt) pauseOthers(ctx context.Context, successor string, acknowledged logpos.Pos) (ReplicaState, error) {
	if !a.pauseReplicas(successor, successor) {
		return a.candidateWithoutPauses(ctx)
	}
	candidate, err := a.awaitCaughtUp(ctx, successor, acknowledged)
	var behind *NotCaughtUpError
	if errors.As(err, &behind) && ctx.Err() == nil {
		a.log.Info("all replicas are paused", "reason", err.Error())
		return a.pauseAll(ctx)
	}
	return candidate, err
}

// pauseAll pauses all replicas and returns the most up-to-date one. As the primary can then
// acknowledge commits only with an endpoint that the attempt does not know, its
// acknowledgements are closed.
func (a *attempt) pauseAll(ctx context.Context) (ReplicaState, error) {
	expected, ok := MostUpToDate(a.replicas, a.plan.OpenCalls)
	if !ok {
		return ReplicaState{}, &NoCandidateError{Service: a.plan.Service}
	}
	for {
		if !a.pauseReplicas(expected.ID, "") {
			return a.candidateWithoutPauses(ctx)
		}
		latest, ok := MostUpToDate(a.replicas, a.plan.OpenCalls)
		if !ok {
			return ReplicaState{}, &NoCandidateError{Service: a.plan.Service}
		}
		if AllPaused(a.replicas, a.pauseTermFor(latest.ID), "") {
			a.closes = true
			return latest, nil
		}
		// Another replica than expected has the latest log, and an open call requires
		// pauses of a higher term for it.
		expected = latest
	}
}

func (a *attempt) nextTerm() uint64 { return NextTerm(a.replicas, a.plan.Term) }

func (a *attempt) pauseTermFor(id string) uint64 {
	return PauseTerm(a.nextTerm(), a.plan.OpenCalls, id)
}

// awaitCaughtUp waits until the candidate has received everything that the paused
// replicas hold, and everything up to acknowledged. Errors: *NotCaughtUpError.
func (a *attempt) awaitCaughtUp(ctx context.Context, id string, acknowledged logpos.Pos) (ReplicaState, error) {
	i := slices.IndexFunc(a.replicas, func(s ReplicaState) bool { return s.ID == id })
	deadline := time.Now().Add(catchUpTimeout)
	for {
		if IsCaughtUp(a.replicas[i], a.replicas) && a.replicas[i].isHolding(acknowledged) {
			return a.replicas[i], nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return ReplicaState{}, &NotCaughtUpError{Endpoint: id}
		}
		time.Sleep(statusPollInterval)
		a.runCommand(i, orderPoll, a.conns[i].Status)
	}
}

// candidateWithoutPauses chooses a candidate although some replica cannot be paused. Errors:
// those of fencingCandidate and candidateAfterStepDown.
func (a *attempt) candidateWithoutPauses(ctx context.Context) (ReplicaState, error) {
	if len(CalledReplicas(a.plan.OpenCalls, a.plan.Primary.ID)) > 0 {
		return a.fencingCandidate(ctx)
	}
	return a.candidateAfterStepDown(ctx)
}

// candidateAfterStepDown makes the primary step down because some replica cannot be
// paused. After that, only what the primary's log holds can be acknowledged, so a replica
// that has received all of it is a safe candidate. If none has in time, the primary itself
// is: it sends nothing while it does not lead, so waiting longer does not help. Errors:
// *UnsafeError if the primary does not step down, and the context's.
func (a *attempt) candidateAfterStepDown(ctx context.Context) (ReplicaState, error) {
	final, err := a.stepDown(ctx)
	if err != nil {
		a.log.Info("primary did not step down", "endpoint", a.plan.Primary.ID, "error", err.Error())
		return ReplicaState{}, a.unsafeError()
	}
	a.pauseTerm = 0
	if a.plan.PrimaryCalled {
		// The call may make the primary lead again at any time.
		return a.primaryState(final), nil
	}
	return a.awaitFinalPosition(ctx, final)
}

// primaryState returns the primary with its final status as a candidate.
func (a *attempt) primaryState(final stmt.Status) ReplicaState {
	return ReplicaState{ID: a.plan.Primary.ID, Reached: true, Status: final}
}

// awaitFinalPosition returns a replica that has received everything up to the final status of
// the primary, which stepped down, or the primary if none has in time. Errors: the context's.
func (a *attempt) awaitFinalPosition(ctx context.Context, final stmt.Status) (ReplicaState, error) {
	deadline := time.Now().Add(catchUpTimeout)
	for {
		latest, ok := MostUpToDate(a.replicas, a.plan.OpenCalls)
		if ok && !latest.position().Less(final.Received) {
			return latest, nil
		}
		if ctx.Err() != nil {
			return ReplicaState{}, ctx.Err()
		}
		if time.Now().After(deadline) {
			a.log.Info("no replica caught up after the primary stepped down", "position", final.Received.String())
			return a.primaryState(final), nil
		}
		time.Sleep(statusPollInterval)
		a.pollReplicas()
	}
}

// pollReplicas requests the status of the replicas that answer.
func (a *attempt) pollReplicas() {
	a.forEachReplica(func(i int, _ Replica) {
		if a.replicas[i].Reached {
			a.runCommand(i, orderPoll, a.conns[i].Status)
		}
	})
}

// stepDown makes the plan's primary step down and returns its final status, which holds
// every acknowledged commit. It also accepts a replica that was ordered to step down before
// and has its log. In both cases no other endpoint can have been promoted, as
// no call for one is open. Errors: *NotPrimaryError, those of stmt and of Recorder.
func (a *attempt) stepDown(ctx context.Context) (stmt.Status, error) {
	conn, status, err := a.connectPrimary(ctx)
	if err != nil {
		return stmt.Status{}, err
	}
	a.primaryConn = conn
	isComplete := a.hasSteppedDown(status)
	if status.Role == stmt.Primary {
		isComplete = true
		status, err = a.orderStepDown(ctx, conn, status.Term+1)
	}
	if err == nil && !(isComplete && HasAll(status, a.replicas)) {
		err = &NotPrimaryError{Endpoint: a.plan.Primary.ID}
	}
	a.primaryStatus = status
	return status, err
}

// hasSteppedDown reports whether the primary, a replica with the given status, was ordered to
// step down and has its log: it has not been started again since, or it reaches the position
// at which it stepped down.
func (a *attempt) hasSteppedDown(status stmt.Status) bool {
	hasLog := !a.plan.SteppedDownAt.IsZero() && !status.Received.Less(a.plan.SteppedDownAt)
	return a.isStepDownOrdered && (hasLog || !a.plan.PrimaryRestarted)
}

// orderStepDown records the order and sends it.
func (a *attempt) orderStepDown(ctx context.Context, conn stmt.Conn, term uint64) (stmt.Status, error) {
	if err := a.Recorder.RecordStepDown(ctx, a.plan.Service, a.plan.Token); err != nil {
		return stmt.Status{}, err
	}
	a.isStepDownOrdered, a.result.PausesLeft = true, true
	status, err := conn.StepDown(time.Now().Add(commandTimeout), term)
	a.logAnswer(a.plan.Primary.ID, orderStepDown, status, err)
	if err == nil && status.Role == stmt.Primary {
		err = &StillPrimaryError{Endpoint: a.plan.Primary.ID}
	}
	if err != nil {
		return status, err
	}
	if err := a.Recorder.RecordSteppedDown(ctx, a.plan.Service, a.plan.Token, status.Received); err != nil {
		// Only needed if the primary starts again before a promotion.
		a.log.Info("position after the step-down not recorded", "error", err.Error())
	}
	return status, nil
}
