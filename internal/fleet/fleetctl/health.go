package fleetctl

import (
	"context"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/promotion"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
	"hemlockmast/internal/shared/wait"
)

// coverEnded checks whether the ended replicas of a service are covered, and has the
// control group record it. They are covered, that is, no promotion needs their logs, once
// a running replica holds everything that the primary held at a time after their end.
// coverEnded returns false if it must be retried.
func (w *watcher) coverEnded(ctx context.Context, svc serviceState) bool {
	primaryStatus, err := w.status(ctx, svc.primary)
	if err != nil || primaryStatus.Role != stmt.Primary {
		return false
	}
	for range maxCoverAttempts {
		for _, e := range svc.others {
			status, err := w.status(ctx, e)
			if err == nil && e.State == fleetpb.EndpointState_ENDPOINT_STATE_READY && !status.Received.Less(primaryStatus.Received) {
				return w.recordCovered(ctx, svc, e.Id, primaryStatus.Received)
			}
		}
		wait.For(ctx, stallSampleInterval)
	}
	w.log.Info("ended replicas are not covered yet", "service", svc.service, "position", primaryStatus.Received.String())
	return false
}

// recordCovered has the control group record that the ended replicas of a service are
// covered. by is the id of the running replica that holds everything up to pos. It returns
// false if it must be retried.
func (w *watcher) recordCovered(ctx context.Context, svc serviceState, by string, pos logpos.Pos) bool {
	cover := &fleetpb.Cover{Service: svc.service, Position: positionProto(pos)}
	for _, e := range svc.ended {
		cover.EndpointIds = append(cover.EndpointIds, e.Id)
	}
	cmd := &fleetpb.Command{Kind: &fleetpb.Command_Cover{Cover: cover}}
	if _, err := w.node.propose(ctx, cmd); err != nil {
		w.log.Info("control group did not record that ended replicas are covered", "service", svc.service, "error", err.Error())
		return false
	}
	w.log.Info("ended replicas are covered", "service", svc.service, "endpoints", cover.EndpointIds,
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
