package fleetctl

import (
	"context"
	"errors"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/shared/stmt"
	"hemlockmast/internal/shared/wait"
)

// isSuspected reports whether an endpoint was recently reported as unreachable or silent, or
// has missed more than maxMissedHeartbeats announcements.
func (w *watcher) isSuspected(id string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reportingDomains(id, now) > 0 || now.Sub(w.silentAt[id]) < maxReportAge {
		return true
	}
	lastSeen, ok := w.lastSeenAt[id]
	return ok && now.Sub(lastSeen) > maxMissedHeartbeats*w.node.cfg.Heartbeat
}

// reportingDomains returns the number of failure domains with a recent report against an
// endpoint. mu must be held.
func (w *watcher) reportingDomains(id string, now time.Time) int {
	count := 0
	for _, at := range w.unreachableAt[id] {
		if now.Sub(at) < maxReportAge {
			count++
		}
	}
	return count
}

// probesNeeded returns the number of failed probes in a row that confirm a suspicion. One
// is enough if several failure domains reported the endpoint.
func (w *watcher) probesNeeded(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reportingDomains(id, time.Now()) > 1 {
		return 1
	}
	return probesToConfirm
}

// confirmUnreachable probes a suspected primary and replaces it if it does not answer. It
// returns false if it must be retried.
func (w *watcher) confirmUnreachable(ctx context.Context, svc serviceState) bool {
	for range w.probesNeeded(svc.primary.Id) {
		if w.probe(ctx, svc) {
			w.mu.Lock()
			delete(w.unreachableAt, svc.primary.Id)
			delete(w.silentAt, svc.primary.Id)
			w.lastSeenAt[svc.primary.Id] = time.Now()
			w.mu.Unlock()
			return true
		}
		wait.For(ctx, probeInterval)
	}
	w.log.Info("primary does not answer", "service", svc.service, "endpoint", svc.primary.Id)
	return w.promote(ctx, svc, replacement{reason: reasonUnreached})
}

// probe reports whether the primary is alive: it answers as the primary, or refuses the
// connection because it is at capacity.
func (w *watcher) probe(ctx context.Context, svc serviceState) bool {
	status, err := w.status(ctx, svc.primary)
	var refused *stmt.RefusedError
	if errors.As(err, &refused) {
		return refused.Reply.Code == stmt.CodeTooMany || refused.Reply.Code == stmt.CodeBusy
	}
	return err == nil && status.Role == stmt.Primary
}

// isDemoted reports whether the recorded primary announces that it is a replica, and the
// announcement is not ignored at the moment.
func (w *watcher) isDemoted(primary *fleetpb.Endpoint, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !primary.Primary && now.After(w.roleIgnoredUntil[primary.Id])
}

// confirmDemoted replaces the recorded primary if its status confirms that it is a replica.
// Right after a promotion, the new primary's announcements may be outdated. confirmDemoted
// returns false if it must be retried.
func (w *watcher) confirmDemoted(ctx context.Context, svc serviceState) bool {
	status, err := w.status(ctx, svc.primary)
	switch {
	case err != nil:
		w.log.Info("recorded primary announced itself as a replica and did not answer a status request", "service", svc.service,
			"endpoint", svc.primary.Id, "error", err.Error())
		w.ignoreRole(svc.primary.Id, ignoreUnansweredRoleFor)
		return true
	case status.Role == stmt.Primary:
		w.ignoreRole(svc.primary.Id, ignoreDeniedRoleFor)
		return true
	}
	w.log.Info("recorded primary is a replica and no endpoint leads", "service", svc.service, "endpoint", svc.primary.Id)
	return w.promote(ctx, svc, replacement{reason: reasonDemoted})
}

// claimedPrimary returns the first of the given endpoints that announced itself as the
// primary and whose claim is not ignored at the moment, or nil.
func (w *watcher) claimedPrimary(others []*fleetpb.Endpoint, now time.Time) *fleetpb.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range others {
		if e.Primary && now.After(w.roleIgnoredUntil[e.Id]) {
			return e
		}
	}
	return nil
}

// recordClaim records an endpoint that announced itself as the primary if its status
// confirms the claim. For a while after a promotion, the announcements of the former and
// the new primary may be outdated. A claim that is not confirmed is ignored for some
// time, so that it does not block other actions for the service. recordClaim returns false
// if it must be retried.
func (w *watcher) recordClaim(ctx context.Context, svc serviceState, e *fleetpb.Endpoint) bool {
	status, err := w.status(ctx, e)
	if err != nil {
		w.log.Info("endpoint announced itself as the primary and did not answer a status request", "service", svc.service, "endpoint", e.Id,
			"error", err.Error())
		w.ignoreRole(e.Id, ignoreUnansweredRoleFor)
		return true
	}
	if status.Role != stmt.Primary {
		w.log.Info("endpoint announced that it leads and does not", "service", svc.service, "endpoint", e.Id)
		w.ignoreRole(e.Id, ignoreDeniedRoleFor)
		return true
	}
	return w.record(svc, &fleetpb.SetPrimary{EndpointId: e.Id, Term: status.Term, Inherited: positionProto(status.Received)})
}

// ignoreRole ignores the role that an endpoint announces for d.
func (w *watcher) ignoreRole(id string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.roleIgnoredUntil[id] = time.Now().Add(d)
}
