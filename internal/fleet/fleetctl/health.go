package fleetctl

import (
	"context"
	"slices"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/fleetstate"
	"hemlockmast/internal/fleet/promotion"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
	"hemlockmast/internal/shared/wait"
)

// startCheck starts a check of a service whose replicas may not run or may be paused, unless
// one is in progress or was done within checkInterval. Checks run beside actions, so that
// they delay none.
func (w *watcher) startCheck(ctx context.Context, svc serviceState) {
	silent, restarted := w.silentReplicas(svc, time.Now()), w.restartedReplicas(svc)
	isNeeded := len(svc.ended)+len(silent)+len(restarted) > 0 || svc.attempt.Unfinished
	if svc.primary == nil || !isNeeded || !w.tryMarkChecking(svc.service) {
		return
	}
	go func() {
		defer w.endCheck(svc.service)
		missing := slices.Concat(svc.ended, restarted, w.deadReplicas(ctx, silent))
		if len(missing) > 0 {
			w.cover(ctx, svc, missing)
		}
		if svc.attempt.Unfinished {
			w.checkPauses(ctx, svc)
		}
	}()
}

func (w *watcher) tryMarkChecking(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.checking[service] || time.Now().Before(w.checkAt[service]) {
		return false
	}
	w.checking[service] = true
	return true
}

func (w *watcher) endCheck(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checking[service] = false
	w.checkAt[service] = time.Now().Add(checkInterval)
}

// checkPauses finds out whether an unfinished attempt left a replica paused or a call open,
// while the primary serves. If so, the primary will be replaced, which ends the pauses. If
// not, the attempt is closed. Nothing follows while some replica does not answer.
func (w *watcher) checkPauses(ctx context.Context, svc serviceState) {
	status, err := w.status(ctx, svc.primary)
	states := w.replicaStates(ctx, svc)
	if err != nil || status.Role != stmt.Primary || !promotion.AllAnswer(states) {
		return
	}
	openCalls := fleetstate.OpenCalls(svc.attempt, svc.primary.Id)
	if len(openCalls) > 0 || promotion.AnyPaused(states, status.Term+1) {
		w.mu.Lock()
		w.leftPaused[svc.service] = svc.attempt.Token
		w.mu.Unlock()
		return
	}
	w.log.Info("no endpoint is paused", "service", svc.service, "token", svc.attempt.Token)
	w.closeAttempt(&fleetpb.CloseAttempt{Service: svc.service, Token: svc.attempt.Token, NonePaused: true})
}

// hasLeftPauses reports whether the last attempt for a service is unfinished and was found to
// have left a replica paused or a call open.
func (w *watcher) hasLeftPauses(a *fleetpb.Attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return a.Unfinished && w.leftPaused[a.Service] == a.Token
}

// silentReplicas returns the replicas that entries reported as unreachable or that no longer
// announce themselves to this daemon, and that are not covered.
func (w *watcher) silentReplicas(svc serviceState, now time.Time) []*fleetpb.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*fleetpb.Endpoint
	for _, e := range svc.others {
		lastSeen, ok := w.lastSeenAt[e.Id]
		isLate := ok && now.Sub(lastSeen) > w.node.cfg.Heartbeat+heartbeatMargin
		if (isLate || w.reportingDomains(e.Id, now) > 0) && !w.isCovered(e) {
			list = append(list, e)
		}
	}
	return list
}

// restartedReplicas returns the endpoints, with the primary, that were started again and are
// not covered since.
func (w *watcher) restartedReplicas(svc serviceState) []*fleetpb.Endpoint {
	var list []*fleetpb.Endpoint
	for _, e := range svc.others {
		if w.isRestarted(e) {
			list = append(list, e)
		}
	}
	if svc.primary != nil && w.isRestarted(svc.primary) {
		list = append(list, svc.primary)
	}
	return list
}

// deadReplicas returns the replicas whose processes are proved not to run. It forgets when an
// endpoint that answers was last seen, as it announces itself to another daemon.
func (w *watcher) deadReplicas(ctx context.Context, silent []*fleetpb.Endpoint) []*fleetpb.Endpoint {
	var dead []*fleetpb.Endpoint
	for _, e := range silent {
		_, err := w.status(ctx, e)
		if err == nil {
			w.mu.Lock()
			delete(w.lastSeenAt, e.Id)
			delete(w.unreachableAt, e.Id)
			w.mu.Unlock()
			continue
		}
		if promotion.ProvesDead(err) {
			dead = append(dead, e)
		}
	}
	return dead
}

// cover checks whether replicas that do not run are covered, and has the control group record
// it. They are covered, that is, no promotion needs their logs, once a running replica holds
// everything that the primary held at a time after their end. cover returns false if they
// are not.
func (w *watcher) cover(ctx context.Context, svc serviceState, missing []*fleetpb.Endpoint) bool {
	primaryStatus, err := w.status(ctx, svc.primary)
	if err != nil || primaryStatus.Role != stmt.Primary {
		return false
	}
	for range maxCoverAttempts {
		for _, e := range svc.others {
			if e.State != fleetpb.EndpointState_ENDPOINT_STATE_READY {
				continue
			}
			status, err := w.status(ctx, e)
			if err == nil && !status.Received.Less(primaryStatus.Received) {
				return w.recordCovered(ctx, svc, missing, e.Id, primaryStatus.Received)
			}
		}
		wait.For(ctx, stallSampleInterval)
	}
	w.log.Info("replicas that do not run are not covered yet", "service", svc.service, "position", primaryStatus.Received.String())
	return false
}

// recordCovered has the control group record that replicas which do not run are covered. by
// is the id of the running replica that holds everything up to pos. It returns false if it
// must be retried.
func (w *watcher) recordCovered(ctx context.Context, svc serviceState, missing []*fleetpb.Endpoint, by string, pos logpos.Pos) bool {
	cover := &fleetpb.Cover{Service: svc.service, Position: positionProto(pos)}
	for _, e := range missing {
		cover.EndpointIds = append(cover.EndpointIds, e.Id)
	}
	cmd := &fleetpb.Command{Kind: &fleetpb.Command_Cover{Cover: cover}}
	if _, err := w.node.propose(ctx, cmd); err != nil {
		w.log.Info("control group did not record that replicas are covered", "service", svc.service, "error", err.Error())
		return false
	}
	w.log.Info("replicas that do not run are covered", "service", svc.service, "endpoints", cover.EndpointIds,
		"by", by, "position", pos.String())
	return true
}

// isStalled reports whether an entry recently reported that writes at the endpoint do not
// complete.
func (w *watcher) isStalled(id string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.stalledAt[id]
	return ok && now.Sub(at) < maxReportAge
}

// confirmStall replaces a primary that is alive if its replicas are behind it and receive
// nothing. The commits that they lack are not acknowledged because no replica holds them.
// It returns false if it must be retried.
func (w *watcher) confirmStall(ctx context.Context, svc serviceState) bool {
	w.mu.Lock()
	delete(w.stalledAt, svc.primary.Id)
	w.mu.Unlock()
	first, ok := w.positions(ctx, svc)
	if !ok {
		return true
	}
	wait.For(ctx, stallSampleInterval)
	second, ok := w.positions(ctx, svc)
	if !ok || !promotion.IsStalled(first, second) {
		return true
	}
	w.log.Info("replicas receive nothing from the primary", "service", svc.service, "endpoint", svc.primary.Id)
	return w.promote(ctx, svc, replacement{reason: reasonStalled})
}

// positions requests the log positions of the primary and its replicas. ok is false if
// the primary does not answer, reports another role, or no replica answers.
func (w *watcher) positions(ctx context.Context, svc serviceState) (promotion.Sample, bool) {
	sample := promotion.Sample{Replicas: make(map[string]logpos.Pos)}
	status, err := w.status(ctx, svc.primary)
	if err != nil || status.Role != stmt.Primary {
		return sample, false
	}
	sample.Primary = status.Received
	for _, e := range svc.others {
		if status, err := w.status(ctx, e); err == nil {
			sample.Replicas[e.Id] = status.Received
		}
	}
	return sample, len(sample.Replicas) > 0
}
