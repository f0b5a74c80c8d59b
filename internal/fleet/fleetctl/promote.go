package fleetctl

import (
	"context"
	"errors"
	"slices"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/fleetstate"
	"hemlockmast/internal/fleet/promotion"
	"hemlockmast/internal/shared/logpos"
)

// promote replaces a service's primary and records the new one. It returns false if it must
// be retried.
func (w *watcher) promote(ctx context.Context, svc serviceState, r replacement) bool {
	if r.primaryServes && len(svc.ended) > 0 {
		dead, unknown := w.askEnded(ctx, svc.ended)
		if len(dead)+len(unknown) < len(svc.ended) {
			// The next attempt counts with those that run.
			return true
		}
		if len(dead) > 0 && w.cover(ctx, svc, dead, nil) {
			svc.ended = unknown
		}
	}
	token, ok := w.beginAttempt(ctx, &svc)
	if !ok {
		return false
	}
	started := time.Now()
	defer w.closings.end(svc.service, token)
	plan := w.plan(svc, r, token)
	plan.MayStepDown = r.primaryServes && r.reason != reasonOverloaded && w.isOverdue(svc, started)
	result, err := w.runner.Run(ctx, plan)
	w.node.cfg.Metrics.Promoted(r.reason, time.Since(started), err)
	var other *promotion.OtherPrimaryError
	if errors.As(err, &other) {
		w.log.Info("another endpoint leads already", "service", svc.service, "token", token, "endpoint", other.Endpoint)
		return w.record(svc, &fleetpb.SetPrimary{
			EndpointId: other.Endpoint, Term: other.Term, Inherited: positionProto(other.Position),
		})
	}
	if err != nil {
		w.log.Info("promotion failed", "service", svc.service, "reason", r.reason, "token", token, "error", err.Error())
		w.closeAttempt(&fleetpb.CloseAttempt{
			Service: svc.service, Token: token, CallRefused: result.CallRefused, PausesLeft: result.PausesLeft,
		})
		w.noteLogFound(err)
		// An unanswered call is repeated at once, with a token that fences it.
		var unknown *promotion.OutcomeUnknownError
		return errors.As(err, &unknown)
	}
	w.log.Info("promotion done", "service", svc.service, "reason", r.reason, "token", token, "from", svc.primary.Id, "to", result.Primary)
	return w.record(svc, &fleetpb.SetPrimary{
		EndpointId: result.Primary, Token: token, Term: result.Term, Inherited: positionProto(result.Inherited),
		Floor: positionProto(result.Promoted), PausesLeft: result.PausesLeft,
	})
}

// isOverdue reports whether a service's present primary has been due for a planned replacement for
// maxConfirmPatience. The first call starts that time.
func (w *watcher) isOverdue(svc serviceState, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	due := w.plannedSince[svc.service]
	if due.number != svc.record.Number {
		due = dueReplacement{number: svc.record.Number, since: now}
		w.plannedSince[svc.service] = due
	}
	return now.Sub(due.since) > maxConfirmPatience
}

// beginAttempt allocates a token and updates what svc holds of the replicated state. ok is false
// if the control group does not answer, or if the service has another primary by now.
func (w *watcher) beginAttempt(ctx context.Context, svc *serviceState) (token uint64, ok bool) {
	allocate := &fleetpb.Command{Kind: &fleetpb.Command_AllocateToken{
		AllocateToken: &fleetpb.AllocateToken{Service: svc.service, Holder: w.node.cfg.Name},
	}}
	result, err := w.node.proposeAsLeader(ctx, allocate)
	if err != nil {
		w.log.Info("control group did not allocate a token for a promotion", "service", svc.service, "error", err.Error())
		return 0, false
	}
	number := svc.record.Number
	svc.attempt, svc.record = w.node.machine.Attempt(svc.service), w.node.machine.Primary(svc.service)
	if svc.record.Number != number || svc.attempt.Token != result.Token {
		w.log.Info("promotion is out of date before it started", "service", svc.service, "token", result.Token)
		return 0, false
	}
	return result.Token, true
}

// plan returns the plan of an attempt. The floor is read after the replicas, so that it is not
// older than what they are covered by.
func (w *watcher) plan(svc serviceState, r replacement, token uint64) promotion.Plan {
	replicas := w.planReplicas(svc, r)
	floor := w.node.machine.Attempt(svc.service).Floor
	plan := promotion.Plan{
		Service: svc.service, Primary: stmtEndpoint(svc.primary), PrimaryServes: r.primaryServes,
		PrimaryGone:      r.logsGone,
		PrimaryRestarted: w.isRestarted(svc.primary), Preferred: r.preferred, Replicas: replicas, Token: token,
		Term: svc.record.Term, Unfinished: svc.attempt.WasUnfinished, StepDownOrdered: svc.attempt.StepDownOrdered,
		SteppedDownAt: fleetstate.Position(svc.attempt.SteppedDownAt),
		Floor:         fleetstate.Position(floor), LeadTerm: w.node.control.Status().Term,
	}
	if plan.PrimaryGone {
		plan.Ended = w.endedEndpoints(svc)
	}
	for _, c := range fleetstate.OpenCalls(svc.attempt, svc.primary.Id) {
		plan.OpenCalls = append(plan.OpenCalls, promotion.Call{Token: c.Token, EndpointID: c.EndpointId})
	}
	plan.PrimaryCalled = slices.ContainsFunc(svc.attempt.Calls, func(c *fleetpb.PromoteCall) bool { return c.EndpointId == svc.primary.Id })
	return plan
}

// planReplicas returns the replicas of a service for a promotion plan.
func (w *watcher) planReplicas(svc serviceState, r replacement) []promotion.Replica {
	var list []promotion.Replica
	for _, e := range svc.others {
		list = append(list, promotion.Replica{
			Endpoint:  stmtEndpoint(e),
			BornMs:    e.BornMs,
			Leaving:   e.State == fleetpb.EndpointState_ENDPOINT_STATE_LEAVING,
			Covered:   w.isCovered(e),
			Restarted: w.isRestarted(e),
		})
	}
	if r.logsGone {
		// No missing commit can come back.
		return list
	}
	for _, e := range svc.ended {
		list = append(list, promotion.Replica{Endpoint: stmtEndpoint(e), BornMs: e.BornMs, Leaving: true, Ended: true})
	}
	return list
}

func (w *watcher) isCovered(e *fleetpb.Endpoint) bool {
	return w.node.machine.IsCovered(e.Service, e.Id, e.BornMs)
}

func (w *watcher) isRestarted(e *fleetpb.Endpoint) bool {
	return w.node.machine.IsRestarted(e.Service, e.Id, e.BornMs)
}

// record has the control group record a service's primary, also if the lead was lost
// meanwhile. It returns false if it must be retried.
func (w *watcher) record(svc serviceState, set *fleetpb.SetPrimary) bool {
	set.Service, set.IfNumber = svc.service, svc.record.Number
	result, err := w.node.propose(context.Background(), &fleetpb.Command{Kind: &fleetpb.Command_SetPrimary{SetPrimary: set}})
	if err != nil {
		w.log.Info("control group did not record the primary", "service", svc.service, "endpoint", set.EndpointId, "error", err.Error())
		return false
	}
	w.log.Info("primary recorded", "service", svc.service, "endpoint", set.EndpointId, "taken", result.Taken)
	return true
}

// closeAttempt has the control group record how an attempt ended without a new primary, also
// if the lead was lost meanwhile. If that fails, the attempt counts as unfinished and its
// call as open, which is safe.
func (w *watcher) closeAttempt(c *fleetpb.CloseAttempt) {
	cmd := &fleetpb.Command{Kind: &fleetpb.Command_CloseAttempt{CloseAttempt: c}}
	if _, err := w.node.propose(context.Background(), cmd); err != nil {
		w.log.Info("control group did not record the end of an attempt", "service", c.Service, "token", c.Token, "error", err.Error())
	}
}

func positionProto(pos logpos.Pos) *fleetpb.LogPosition {
	return &fleetpb.LogPosition{Term: pos.Term, Index: pos.Index}
}

// recorder records what attempts are about to do in the replicated state. It implements
// promotion.Recorder.
type recorder struct{ node *Node }

// RecordStepDown implements promotion.Recorder.
func (r recorder) RecordStepDown(ctx context.Context, service string, token uint64) error {
	return r.propose(ctx, service, token, &fleetpb.Command{Kind: &fleetpb.Command_RecordStepDown{
		RecordStepDown: &fleetpb.RecordStepDown{Service: service, Token: token},
	}})
}

// RecordSteppedDown implements promotion.Recorder.
func (r recorder) RecordSteppedDown(ctx context.Context, service string, token uint64, final logpos.Pos) error {
	return r.propose(ctx, service, token, &fleetpb.Command{Kind: &fleetpb.Command_RecordStepDown{
		RecordStepDown: &fleetpb.RecordStepDown{Service: service, Token: token, SteppedDownAt: positionProto(final)},
	}})
}

// RecordCall implements promotion.Recorder. This daemon leads the control group, so once the
// record is applied it knows every announcement that was recorded before.
func (r recorder) RecordCall(ctx context.Context, service string, call promotion.Call, accounted []promotion.Accounted, closes bool) error {
	if closes {
		r.node.watcher.closings.begin(service, call.Token)
	}
	err := r.propose(ctx, service, call.Token, &fleetpb.Command{Kind: &fleetpb.Command_RecordCall{
		RecordCall: &fleetpb.RecordCall{Service: service, Token: call.Token, EndpointId: call.EndpointID, CloseAcknowledgements: closes},
	}})
	if err != nil {
		return err
	}
	return r.findUnknown(service, accounted)
}

// AwaitClosed implements promotion.Recorder.
func (r recorder) AwaitClosed(ctx context.Context, service string, token uint64) promotion.Closing {
	state := r.node.watcher.closings.await(ctx, service, token, r.node.hub.EntryIDs())
	state.Unheard = r.node.unheardPeers()
	return state
}

// RecordSuccessor implements promotion.Recorder.
func (r recorder) RecordSuccessor(ctx context.Context, service string, token uint64, endpointID string) error {
	r.node.watcher.closings.begin(service, token)
	return r.propose(ctx, service, token, &fleetpb.Command{Kind: &fleetpb.Command_RecordSuccessor{
		RecordSuccessor: &fleetpb.RecordSuccessor{Service: service, Token: token, EndpointId: endpointID},
	}})
}

// findUnknown returns *promotion.UnknownEndpointError if the service has an endpoint that is not
// accounted for, if one was started again, or if one that was left out is not covered any more.
func (r recorder) findUnknown(service string, accounted []promotion.Accounted) error {
	byID := make(map[string]promotion.Accounted)
	for _, a := range accounted {
		byID[a.ID] = a
	}
	primary := r.node.machine.Primary(service).EndpointId
	for _, e := range r.node.hub.Endpoints() {
		if e.Service != service || e.Id == primary {
			continue
		}
		a, ok := byID[e.Id]
		isNew := ok && a.BornMs != e.BornMs || !ok && e.State != fleetpb.EndpointState_ENDPOINT_STATE_GONE
		if isNew || a.Dead && !r.node.machine.IsCovered(e.Service, e.Id, e.BornMs) {
			return &promotion.UnknownEndpointError{Endpoint: e.Id}
		}
	}
	return nil
}

func (r recorder) propose(ctx context.Context, service string, token uint64, cmd *fleetpb.Command) error {
	result, err := r.node.proposeAsLeader(ctx, cmd)
	if err != nil {
		return err
	}
	if !result.Taken {
		return &promotion.SupersededError{Service: service, Token: token}
	}
	return nil
}
