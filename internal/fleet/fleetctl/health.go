package fleetctl

import (
	"context"
	"slices"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/fleetrpc"
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
	silent, restarted := w.silentReplicas(svc, time.Now()), w.restartedEndpoints(svc)
	isNeeded := len(svc.ended)+len(svc.answering)+len(silent)+len(restarted) > 0 || svc.attempt.Unfinished
	if svc.primary == nil || !isNeeded || !w.tryMarkChecking(svc.service) {
		return
	}
	actions, hasAction := w.actionsOf(svc.service)
	go func() {
		interval := checkInterval
		if len(svc.ended)+len(svc.answering)+len(silent)+len(restarted) == 0 {
			interval = pauseCheckInterval
		}
		defer w.endCheck(svc.service, interval)
		w.askEnded(ctx, svc.answering)
		dead, _ := w.askEnded(ctx, svc.ended)
		ended := slices.Concat(dead, w.deadReplicas(ctx, silent))
		if len(ended)+len(restarted) > 0 {
			w.cover(ctx, svc, ended, restarted)
		}
		if svc.attempt.Unfinished && !hasAction {
			w.checkPauses(ctx, svc, actions)
		}
	}()
}

func (w *watcher) tryMarkChecking(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.checking[service] || len(w.checking) >= maxChecks || time.Now().Before(w.checkAt[service]) {
		return false
	}
	w.checking[service] = true
	return true
}

func (w *watcher) endCheck(service string, interval time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.checking, service)
	w.checkAt[service] = time.Now().Add(interval)
}

// actionsOf returns the number of actions started for a service, and whether one is in
// progress.
func (w *watcher) actionsOf(service string) (actions uint64, hasAction bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.actions[service], w.busy[service]
}

// checkPauses finds out whether an unfinished attempt left a replica paused or a call open,
// while the primary serves. If so, the primary will be replaced, which ends the pauses. If
// not, the attempt is closed once no order of it can be carried out late. Nothing follows
// while some replica does not answer, or if an action has started since there were the given
// number of them, as its pauses are in use.
func (w *watcher) checkPauses(ctx context.Context, svc serviceState, actions uint64) {
	status, err := w.status(ctx, svc.primary)
	states := w.replicaStates(ctx, svc)
	if err != nil || status.Role != stmt.Primary || !promotion.AllAnswer(states) {
		return
	}
	if started, _ := w.actionsOf(svc.service); started != actions {
		return
	}
	if status.Term > svc.record.Term && svc.record.Term != 0 {
		// A call for the primary was carried out late, after it had stepped down.
		w.record(svc, &fleetpb.SetPrimary{EndpointId: svc.primary.Id, Term: status.Term, IfToken: svc.attempt.Token})
		return
	}
	openCalls := fleetstate.OpenCalls(svc.attempt, svc.primary.Id)
	if len(openCalls) > 0 || promotion.AnyPaused(states, status.Term+1) {
		w.noteLeftPauses(svc.attempt)
		return
	}
	if !w.isAttemptOld(svc.attempt) {
		return
	}
	w.log.Info("no endpoint is paused", "service", svc.service, "token", svc.attempt.Token)
	w.closeAttempt(&fleetpb.CloseAttempt{Service: svc.service, Token: svc.attempt.Token, NonePaused: true})
}

// isAttemptOld reports whether this daemon has known an attempt as the last one for longer than
// maxOrderDelay.
func (w *watcher) isAttemptOld(a *fleetpb.Attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.knownAttempts[a.Service]
	if known.token != a.Token {
		w.knownAttempts[a.Service] = knownAttempt{token: a.Token, since: time.Now()}
		return false
	}
	return time.Since(known.since) > maxOrderDelay
}

// hasLeftPauses reports whether the last attempt for a service is unfinished and was found to
// have left a replica paused or a call open.
func (w *watcher) hasLeftPauses(a *fleetpb.Attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return a.Unfinished && w.leftPaused[a.Service] == a.Token
}

// noteLeftPauses records that an attempt has left a replica paused or a call open.
func (w *watcher) noteLeftPauses(a *fleetpb.Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leftPaused[a.Service] = a.Token
}

// silentReplicas returns the replicas that entries reported as unreachable, that no longer
// announce themselves to this daemon, or that this daemon has not heard of since it leads,
// and that are not covered.
func (w *watcher) silentReplicas(svc serviceState, now time.Time) []*fleetpb.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*fleetpb.Endpoint
	for _, e := range svc.others {
		lastSeen, ok := w.lastSeenAt[e.Id]
		isUnheard := now.Sub(w.answeredAt[e.Id]) > maxAnswerAge && now.Sub(w.leadsSince) > w.maxSilence()
		isLate := ok && now.Sub(lastSeen) > w.maxSilence()
		isReported := w.reportingDomains(e.Id, now) > 0 || now.Sub(w.silentAt[e.Id]) < maxReportAge
		if (!ok && isUnheard || isLate || isReported) && !w.isCovered(e) {
			list = append(list, e)
		}
	}
	return list
}

// maxSilence is the time without an announcement after which an endpoint is probed.
func (w *watcher) maxSilence() time.Duration { return w.node.cfg.Heartbeat + heartbeatMargin }

// reportSilent tells the leader once of each endpoint that no longer announces itself to this
// daemon. An endpoint that moved to another daemon costs a probe.
func (w *watcher) reportSilent(ctx context.Context) {
	leader := w.node.Leader()
	if leader == "" {
		return
	}
	for _, id := range w.newlySilent(time.Now()) {
		e := w.node.hub.Endpoint(id)
		if e == nil || e.State == fleetpb.EndpointState_ENDPOINT_STATE_GONE {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
			defer cancel()
			_, err := fleetrpc.NewClient(w.node.http, leader).Report(ctx, &fleetpb.ReportRequest{
				Daemon: w.node.cfg.Name, FailureDomain: w.node.cfg.FailureDomain, Service: e.Service, EndpointId: id,
				Suspicion: fleetpb.Suspicion_SUSPICION_SILENT,
			})
			if err != nil {
				w.log.Info("silent endpoint not reported", "endpoint", id, "error", err.Error())
				w.forgetSilenceReport(id)
			}
		}()
	}
}

// newlySilent returns the endpoints that no longer announce themselves to this daemon and that
// it has not returned since their last announcement.
func (w *watcher) newlySilent(now time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var silent []string
	for id, lastSeen := range w.lastSeenAt {
		maxSilence := w.maxSilence()
		if e := w.node.hub.Endpoint(id); e != nil && e.Primary {
			maxSilence = maxMissedHeartbeats * w.node.cfg.Heartbeat
		}
		if now.Sub(lastSeen) > maxSilence && !w.silenceReported[id].Equal(lastSeen) {
			silent = append(silent, id)
			w.silenceReported[id] = lastSeen
		}
	}
	return silent
}

// forgetSilenceReport makes this daemon report an endpoint's silence again.
func (w *watcher) forgetSilenceReport(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.silenceReported, id)
}

// forgetAnswers makes this daemon probe the endpoints again that it has not heard of itself.
// It is called when a control daemon no longer answers, as endpoints may have ended with it.
func (w *watcher) forgetAnswers() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.answeredAt)
}

// restartedEndpoints returns the endpoints, with the primary, that were started again and are
// not covered since.
func (w *watcher) restartedEndpoints(svc serviceState) []*fleetpb.Endpoint {
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
			w.noteAnswer(e)
		} else if promotion.ProvesDead(err) {
			dead = append(dead, e)
		}
	}
	return dead
}

// noteAnswer records that a silent endpoint answered.
func (w *watcher) noteAnswer(e *fleetpb.Endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.lastSeenAt, e.Id)
	delete(w.unreachableAt, e.Id)
	delete(w.silentAt, e.Id)
	w.answeredAt[e.Id] = time.Now()
}

// cover checks whether processes of endpoints are covered, those that ended and those before
// the ones that were started again, and has the control group record it. They are covered,
// that is, no promotion needs their logs, once a running replica holds everything that the
// primary held at a time after their end. cover returns false if they are not.
func (w *watcher) cover(ctx context.Context, svc serviceState, ended, restarted []*fleetpb.Endpoint) bool {
	primaryStatus, err := w.status(ctx, svc.primary)
	if err != nil || primaryStatus.Role != stmt.Primary {
		return false
	}
	for range maxCoverAttempts {
		for _, e := range svc.others {
			if slices.Contains(ended, e) || e.State != fleetpb.EndpointState_ENDPOINT_STATE_READY {
				continue
			}
			status, err := w.status(ctx, e)
			if err == nil && !status.Received.Less(primaryStatus.Received) {
				return w.recordCovered(ctx, svc.service, e.Id, primaryStatus.Received, ended, restarted)
			}
		}
		wait.For(ctx, stallSampleInterval)
	}
	w.log.Info("endpoints are not covered yet", "service", svc.service, "position", primaryStatus.Received.String(),
		"ended", ids(ended), "startedAgain", ids(restarted))
	return false
}

// recordCovered has the control group record that processes of endpoints are covered. by is
// the id of the running replica that holds everything up to pos. It returns false if it must
// be retried.
func (w *watcher) recordCovered(ctx context.Context, service, by string, pos logpos.Pos, ended, restarted []*fleetpb.Endpoint) bool {
	cover := &fleetpb.Cover{
		Service: service, Position: positionProto(pos), EndedBornMs: bornMs(ended), RunningBornMs: bornMs(restarted),
	}
	cmd := &fleetpb.Command{Kind: &fleetpb.Command_Cover{Cover: cover}}
	if _, err := w.node.propose(ctx, cmd); err != nil {
		w.log.Info("control group did not record that endpoints are covered", "service", service, "error", err.Error())
		return false
	}
	w.log.Info("endpoints are covered", "service", service, "ended", ids(ended), "startedAgain", ids(restarted),
		"by", by, "position", pos.String())
	return true
}

func ids(endpoints []*fleetpb.Endpoint) []string {
	list := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		list = append(list, e.Id)
	}
	return list
}

// bornMs returns the start of each endpoint's process by endpoint id, in Unix milliseconds.
func bornMs(endpoints []*fleetpb.Endpoint) map[string]int64 {
	born := make(map[string]int64, len(endpoints))
	for _, e := range endpoints {
		born[e.Id] = e.BornMs
	}
	return born
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
