package fleetctl

import (
	"context"
	"sync"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/promotion"
)

// reliefInterval is the minimum time between two checks of an overloaded primary's
// replicas. Within this time a promotion finishes and entries learn of it, so later
// reports describe the load after the promotion.
const reliefInterval = 2 * time.Second

// isOverloaded reports whether entries recently reported that the primary with the given id
// is at capacity while its replicas lag, and the service's replicas were not checked within
// reliefInterval. A late report about a former primary does not count.
func (w *watcher) isOverloaded(service, primaryID string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.overloadedAt[primaryID]
	return ok && now.Sub(at) < maxReportAge && now.Sub(w.reliefCheckedAt[service]) > reliefInterval
}

// relievePrimary promotes a replica that lags far behind, so that both it and the former
// primary can answer reads. It returns false if it must be retried.
func (w *watcher) relievePrimary(ctx context.Context, svc serviceState) bool {
	w.mu.Lock()
	w.reliefCheckedAt[svc.service] = time.Now()
	w.mu.Unlock()
	states := w.replicaStates(ctx, svc)
	if promotion.AnyPaused(states, promotion.NextTerm(states, svc.record.Term)) {
		// A late order paused a replica, which therefore lags.
		return w.promote(ctx, svc, replacement{reason: reasonUnfinished, primaryServes: true})
	}
	id, ok := promotion.ReliefCandidate(states)
	if !ok {
		return true
	}
	w.log.Info("primary overloaded while replicas lag", "service", svc.service, "endpoint", svc.primary.Id, "promoting", id)
	return w.promote(ctx, svc, replacement{reason: reasonOverloaded, primaryServes: true, preferred: id})
}

// replicaStates requests the status of the service's replicas.
func (w *watcher) replicaStates(ctx context.Context, svc serviceState) []promotion.ReplicaState {
	list := make([]promotion.ReplicaState, len(svc.others))
	var wait sync.WaitGroup
	for i, e := range svc.others {
		wait.Go(func() {
			status, err := w.status(ctx, e)
			list[i] = promotion.ReplicaState{
				ID: e.Id, Leaving: e.State == fleetpb.EndpointState_ENDPOINT_STATE_LEAVING,
				Reached: err == nil, Status: status,
				Dead: err != nil && promotion.ProvesDead(err) && w.isCovered(e),
			}
		})
	}
	wait.Wait()
	return list
}
