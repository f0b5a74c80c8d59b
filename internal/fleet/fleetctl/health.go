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

// cover makes sure that replicas which have ended are needed no more: a replica that
// stays holds what the primary held after their end. It reports whether that is so.
func (w *watch) cover(ctx context.Context, g group) bool {
	held, err := w.status(ctx, g.primary)
	if err != nil || held.Role != stmt.Primary {
		return false
	}
	for range coverTries {
		for _, e := range g.others {
			status, err := w.status(ctx, e)
			if err == nil && e.State == fleetpb.EndpointState_ENDPOINT_STATE_READY && !status.Received.Less(held.Received) {
				return w.recordCover(ctx, g, e.Id, held.Received)
			}
		}
		wait.For(ctx, stallSample)
	}
	w.log.Info("ended replicas are not covered yet", "service", g.service, "position", held.Received.String())
	return false
}

func (w *watch) recordCover(ctx context.Context, g group, by string, pos logpos.Pos) bool {
	cover := &fleetpb.Cover{}
	for _, e := range g.ended {
		cover.EndpointIds = append(cover.EndpointIds, e.Id)
	}
	cmd := &fleetpb.Command{Kind: &fleetpb.Command_Cover{Cover: cover}}
	if _, err := w.node.propose(ctx, cmd); err != nil {
		w.log.Info("cover of ended replicas not recorded", "service", g.service, "error", err.Error())
		return false
	}
	w.log.Info("ended replicas are covered", "service", g.service, "endpoints", cover.EndpointIds,
		"by", by, "position", pos.String())
	return true
}

func (w *watch) isStalled(id string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.stalled[id]
	return ok && now.Sub(at) < reportAge
}

// confirmStall replaces a primary that is alive and whose replicas receive nothing:
// they are behind it, and stay where they are. Nothing that it committed since is
// acknowledged, as no replica holds it.
func (w *watch) confirmStall(ctx context.Context, g group) bool {
	w.mu.Lock()
	delete(w.stalled, g.primary.Id)
	w.mu.Unlock()
	first, ok := w.positions(ctx, g)
	if !ok {
		return true
	}
	wait.For(ctx, stallSample)
	second, ok := w.positions(ctx, g)
	if !ok || !promotion.IsStalled(first, second) {
		return true
	}
	w.log.Info("replicas receive nothing from the primary", "service", g.service, "endpoint", g.primary.Id)
	return w.promote(ctx, g, replacement{reason: reasonStalled})
}

// positions asks the primary and its replicas for their state; ok is false if the
// primary or all replicas do not answer.
func (w *watch) positions(ctx context.Context, g group) (promotion.Sample, bool) {
	sample := promotion.Sample{Replicas: make(map[string]logpos.Pos)}
	status, err := w.status(ctx, g.primary)
	if err != nil || status.Role != stmt.Primary {
		return sample, false
	}
	sample.Primary = status.Received
	for _, e := range g.others {
		if status, err := w.status(ctx, e); err == nil {
			sample.Replicas[e.Id] = status.Received
		}
	}
	return sample, len(sample.Replicas) > 0
}
