package fleetctl

import (
	"context"
	"errors"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/shared/stmt"
	"hemlockmast/internal/shared/wait"
)

func (w *watch) isSuspected(id string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reporters(id, now) > 0 {
		return true
	}
	heard, ok := w.heardAt[id]
	return ok && now.Sub(heard) > silentBeats*w.node.cfg.Heartbeat
}

// reporters counts the failure domains that reported an endpoint of late. mu must
// be held.
func (w *watch) reporters(id string, now time.Time) int {
	count := 0
	for _, at := range w.reported[id] {
		if now.Sub(at) < reportAge {
			count++
		}
	}
	return count
}

// probesNeeded is the number of failed probes that confirm a suspicion: fewer
// where several failure domains share it.
func (w *watch) probesNeeded(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reporters(id, time.Now()) > 1 {
		return 1
	}
	return probeFailures
}

// confirm probes a suspected primary and replaces it if it does not answer.
func (w *watch) confirm(ctx context.Context, g group) bool {
	for range w.probesNeeded(g.primary.Id) {
		if w.probe(ctx, g) {
			w.mu.Lock()
			delete(w.reported, g.primary.Id)
			w.heardAt[g.primary.Id] = time.Now()
			w.mu.Unlock()
			return true
		}
		wait.For(ctx, probePause)
	}
	w.log.Info("primary does not answer", "service", g.service, "endpoint", g.primary.Id)
	return w.promote(ctx, g, replacement{reason: reasonUnreached})
}

// probe reports whether the primary answers as one, or says that it is full.
func (w *watch) probe(ctx context.Context, g group) bool {
	status, err := w.status(ctx, g.primary)
	var refused *stmt.RefusedError
	if errors.As(err, &refused) {
		return refused.Reply.Code == stmt.CodeTooMany || refused.Reply.Code == stmt.CodeBusy
	}
	return err == nil && status.Role == stmt.Primary
}

// claimant returns an endpoint that announced that it leads, unless it is passed over.
func (w *watch) claimant(others []*fleetpb.Endpoint, now time.Time) *fleetpb.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range others {
		if e.Primary && now.After(w.passedUntil[e.Id]) {
			return e
		}
	}
	return nil
}

// recordClaim records an endpoint that announced itself as the primary, if it says so
// when asked: after a promotion the announcements of the former primary and of the new
// one may be old for a while. Otherwise the claim is passed over, so that it does not
// keep the service from what else it needs.
func (w *watch) recordClaim(ctx context.Context, g group, e *fleetpb.Endpoint) bool {
	status, err := w.status(ctx, e)
	if err != nil {
		w.log.Info("endpoint announced that it leads and was not asked", "service", g.service, "endpoint", e.Id,
			"error", err.Error())
		w.passOver(e.Id, claimRetry)
		return true
	}
	if status.Role != stmt.Primary {
		w.log.Info("endpoint announced that it leads and does not", "service", g.service, "endpoint", e.Id)
		w.passOver(e.Id, claimPause)
		return true
	}
	return w.record(ctx, g, e.Id)
}

func (w *watch) passOver(id string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.passedUntil[id] = time.Now().Add(d)
}
