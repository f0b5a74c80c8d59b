package fleetctl

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/promotion"
	"hemlockmast/internal/shared/stmt"
)

// maxRunningAge is how long an answer of an endpoint that counts as ended is relied on. Such
// endpoints are asked every checkInterval.
const maxRunningAge = 1500 * time.Millisecond

// answeredProcess is a process of an endpoint that answered although it counts as ended.
type answeredProcess struct {
	bornMs int64
	at     time.Time
}

// asRunning returns the record of an endpoint as the watcher uses it. An endpoint that counts as
// ended and lately answered runs, but entries send it nothing: it is one that leaves.
func (w *watcher) asRunning(e *fleetpb.Endpoint, now time.Time) *fleetpb.Endpoint {
	if e.State != fleetpb.EndpointState_ENDPOINT_STATE_GONE {
		return e
	}
	w.mu.Lock()
	answered, ok := w.answeredAsEnded[e.Id]
	w.mu.Unlock()
	if !ok || answered.bornMs != e.BornMs || now.Sub(answered.at) > maxRunningAge {
		return e
	}
	running := proto.CloneOf(e)
	running.State, running.Primary = fleetpb.EndpointState_ENDPOINT_STATE_LEAVING, e.Id == w.node.machine.Primary(e.Service).EndpointId
	return running
}

// noteRunning records that an endpoint answered that counts as ended.
func (w *watcher) noteRunning(e *fleetpb.Endpoint) {
	w.mu.Lock()
	_, isKnown := w.answeredAsEnded[e.Id]
	w.answeredAsEnded[e.Id] = answeredProcess{bornMs: e.BornMs, at: time.Now()}
	w.mu.Unlock()
	if !isKnown {
		w.log.Info("endpoint that counts as ended answers", "service", e.Service, "endpoint", e.Id, "born", e.BornMs)
	}
}

// noteLogFound records that an endpoint answered that counts as ended if the error of an attempt says
// so. The endpoint has no record any more if a configuration dropped its service meanwhile.
func (w *watcher) noteLogFound(err error) {
	var found *promotion.LogFoundError
	if !errors.As(err, &found) {
		return
	}
	if e := w.node.hub.Endpoint(found.Endpoint); e != nil {
		w.noteRunning(e)
	}
}

// askEnded asks endpoints that count as ended, all at once. dead are those whose end is proved. One
// that said so itself and does not answer has ended; of one whose address another endpoint
// announced, that one's answer there is the proof. unknown are those of which neither holds. The
// others run, and are noted as running.
func (w *watcher) askEnded(ctx context.Context, ended []*fleetpb.Endpoint) (dead, unknown []*fleetpb.Endpoint) {
	errs := make([]error, len(ended))
	var asked sync.WaitGroup
	for i, e := range ended {
		asked.Go(func() { _, errs[i] = w.status(ctx, e) })
	}
	asked.Wait()
	for i, e := range ended {
		switch {
		case errs[i] == nil || promotion.IsOverloaded(errs[i]):
			w.noteRunning(e)
		case promotion.ProvesDead(errs[i]) || w.node.hub.IsEndAnnounced(e):
			dead = append(dead, e)
		default:
			unknown = append(unknown, e)
		}
	}
	return dead, unknown
}

// promoteGone replaces a primary that counts as ended, unless it or a replica that counts as ended
// answers: their logs may hold commits that no other endpoint has. If the end of one of them is not
// proved, the primary is replaced like one that does not answer.
func (w *watcher) promoteGone(ctx context.Context, svc serviceState) bool {
	ended := append([]*fleetpb.Endpoint{svc.primary}, svc.ended...)
	dead, unknown := w.askEnded(ctx, ended)
	if len(dead)+len(unknown) < len(ended) {
		return true
	}
	if len(unknown) > 0 {
		w.log.Info("end of endpoints is not proved", "service", svc.service, "endpoints", ids(unknown))
	}
	return w.promote(ctx, svc, replacement{reason: reasonGone, logsGone: len(unknown) == 0})
}

// endedEndpoints returns the primary and the replicas of a service that count as ended and may run:
// those that are not covered, and the last one at each address whose end only another endpoint's
// announcement claims, as it may have received commits after it was covered.
func (w *watcher) endedEndpoints(svc serviceState) []stmt.Endpoint {
	list := []stmt.Endpoint{stmtEndpoint(svc.primary)}
	for _, e := range svc.ended {
		list = append(list, stmtEndpoint(e))
	}
	lastAt := make(map[string]*fleetpb.Endpoint)
	for _, e := range w.node.hub.Endpoints() {
		isClaimed := e.State == fleetpb.EndpointState_ENDPOINT_STATE_GONE && !w.node.hub.IsEndAnnounced(e)
		if e.Service != svc.service || e.Id == svc.primary.Id || !isClaimed || !w.isCovered(e) {
			continue
		}
		if last := lastAt[e.Address]; last == nil || last.BornMs < e.BornMs {
			lastAt[e.Address] = e
		}
	}
	for _, e := range lastAt {
		list = append(list, stmtEndpoint(e))
	}
	return list
}
