package fleetctl

import (
	"context"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/promotion"
)

// reliefInterval is the least time between two looks at the replicas of a service
// whose primary is overloaded. A promotion and its spreading are over by then, and
// the reports that follow tell of the load after it.
const reliefInterval = 2 * time.Second

// isOverloaded reports whether entries said of late that the service's primary has
// no room while its replicas lag, and that was not looked into just now.
func (w *watch) isOverloaded(service string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.overloaded[service]
	return ok && now.Sub(at) < reportAge && now.Sub(w.relieved[service]) > reliefInterval
}

// relieve promotes a replica that lags far behind, so that it and the former
// primary can both answer reads.
func (w *watch) relieve(ctx context.Context, g group) bool {
	w.mu.Lock()
	w.relieved[g.service] = time.Now()
	w.mu.Unlock()
	id, ok := promotion.ReliefCandidate(w.members(ctx, g))
	if !ok {
		return true
	}
	w.log.Info("primary overloaded while replicas lag", "service", g.service, "endpoint", g.primary.Id, "promoting", id)
	return w.promote(ctx, g, replacement{reason: reasonOverloaded, primaryServes: true, preferred: id})
}

// members asks the service's replicas for their state.
func (w *watch) members(ctx context.Context, g group) []promotion.ReplicaState {
	var list []promotion.ReplicaState
	for _, e := range g.others {
		status, err := w.status(ctx, e)
		list = append(list, promotion.ReplicaState{
			ID: e.Id, Leaving: e.State == fleetpb.EndpointState_ENDPOINT_STATE_LEAVING,
			Reached: err == nil, Status: status,
		})
	}
	return list
}
