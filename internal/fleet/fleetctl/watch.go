package fleetctl

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/promotion"
	"hemlockmast/internal/shared/stmt"
)

const (
	// watchInterval is the time between two looks at the primaries.
	watchInterval = 100 * time.Millisecond
	// reportAge is how long a report against an endpoint counts.
	reportAge = 1500 * time.Millisecond
	// silentBeats is the number of announcements that an endpoint may miss before
	// it is suspected without a report.
	silentBeats = 3
	// probeTimeout bounds one probe of a suspected primary.
	probeTimeout = 300 * time.Millisecond
	// probePause is the time between two probes; probeFailures failed ones in a
	// row confirm a suspicion.
	probePause    = 50 * time.Millisecond
	probeFailures = 2
	// coverTries is how often the replicas are asked, stallSample apart, whether one
	// holds what the primary held.
	coverTries = 4
	// stallSample is the time between two looks at the replicas of a primary at
	// which writes do not end. Replicas receive within milliseconds.
	stallSample = 150 * time.Millisecond
	// claimPause is how long an endpoint that announced that it leads, and did not when
	// it was asked, is not asked again: a few announcements, which tell of a change.
	claimPause = 3 * time.Second
	// claimRetry is the same where it did not answer, as while it is full: a few times
	// what a question takes.
	claimRetry = 400 * time.Millisecond
	// firstRetry and maxRetry bound the pause after a failed promotion.
	firstRetry = 200 * time.Millisecond
	maxRetry   = 1500 * time.Millisecond
	// outlived is how much later than a replica's last announcement the primary
	// must have announced itself for the replica to hold nothing that it lacks.
	outlived = 1500 * time.Millisecond
)

// watch looks after the primaries while its member leads the control group.
type watch struct {
	node   *Node
	log    logr.Logger
	runner *promotion.Runner

	// mu guards the fields below; nothing else is locked under it.
	mu sync.Mutex
	// heardAt is when an endpoint announced itself here last.
	heardAt map[string]time.Time
	// reported holds, by endpoint and failure domain, when an entry there last
	// said that the endpoint does not serve.
	reported map[string]map[string]time.Time
	// stalled is when an entry last said that writes do not end at an endpoint.
	stalled map[string]time.Time
	// passedUntil is until when an endpoint's claim that it leads is passed over.
	passedUntil map[string]time.Time
	// overloaded is when an entry last said that a service's primary has no room
	// since replicas lag, relieved when that was looked into last.
	overloaded map[string]time.Time
	relieved   map[string]time.Time

	busy    map[string]bool
	retryAt map[string]time.Time
	retry   map[string]time.Duration
}

func newWatch(n *Node) *watch {
	return &watch{
		node: n, log: n.log.WithName("watch"),
		runner:      &promotion.Runner{Dialer: n.cfg.Dialer, Promoter: n.cfg.Promoter, Log: n.log.WithName("promotion")},
		heardAt:     make(map[string]time.Time),
		reported:    make(map[string]map[string]time.Time),
		stalled:     make(map[string]time.Time),
		passedUntil: make(map[string]time.Time),
		overloaded:  make(map[string]time.Time), relieved: make(map[string]time.Time),
		busy:    make(map[string]bool),
		retryAt: make(map[string]time.Time),
		retry:   make(map[string]time.Duration),
	}
}

func (w *watch) heard(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heardAt[id] = time.Now()
}

func (w *watch) report(r *fleetpb.ReportRequest) {
	w.log.Info("endpoint reported", "endpoint", r.EndpointId, "service", r.Service,
		"by", r.Daemon, "suspicion", r.Suspicion.String())
	w.node.cfg.Metrics.Reported(r.Suspicion.String())
	w.mu.Lock()
	defer w.mu.Unlock()
	switch r.Suspicion {
	case fleetpb.Suspicion_SUSPICION_STALLED:
		w.stalled[r.EndpointId] = time.Now()
		return
	case fleetpb.Suspicion_SUSPICION_OVERLOADED:
		w.overloaded[r.Service] = time.Now()
		return
	}
	if w.reported[r.EndpointId] == nil {
		w.reported[r.EndpointId] = make(map[string]time.Time)
	}
	w.reported[r.EndpointId][r.FailureDomain] = time.Now()
}

func (w *watch) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !w.node.leads() {
			continue
		}
		for _, g := range w.groups() {
			w.consider(ctx, g)
		}
	}
}

// group is a service with its endpoints as this member knows them.
type group struct {
	service string
	record  *fleetpb.Primary
	// primary is the endpoint of the record; nil when it is unknown.
	primary *fleetpb.Endpoint
	// others are the endpoints that run, as far as known.
	others []*fleetpb.Endpoint
	// ended are replicas that have ended and are not covered: an acknowledged commit
	// may have been at one of them and the primary alone.
	ended []*fleetpb.Endpoint
}

func (w *watch) groups() []group {
	config, _ := w.node.machine.Configuration()
	byService := make(map[string][]*fleetpb.Endpoint)
	for _, e := range w.node.hub.Endpoints() {
		byService[e.Service] = append(byService[e.Service], e)
	}
	var list []group
	for _, s := range config.GetServices() {
		g := group{service: s.Name, record: w.node.machine.Primary(s.Name)}
		for _, e := range byService[s.Name] {
			switch {
			case e.Id == g.record.EndpointId:
				g.primary = e
			case e.State != fleetpb.EndpointState_ENDPOINT_STATE_GONE:
				g.others = append(g.others, e)
			case !w.node.machine.IsCovered(e.Id):
				g.ended = append(g.ended, e)
			}
		}
		list = append(list, g)
	}
	return list
}

// consider starts what a service needs, if nothing is in progress for it.
func (w *watch) consider(ctx context.Context, g group) {
	action := w.decide(g, time.Now())
	if action == nil || !w.begin(g.service) {
		return
	}
	go func() {
		ok := action(ctx)
		w.end(g.service, ok)
	}()
}

func (w *watch) begin(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy[service] || time.Now().Before(w.retryAt[service]) {
		return false
	}
	w.busy[service] = true
	return true
}

func (w *watch) end(service string, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy[service] = false
	if ok {
		w.retry[service] = 0
		return
	}
	w.retry[service] = min(max(2*w.retry[service], firstRetry), maxRetry)
	w.retryAt[service] = time.Now().Add(w.retry[service])
}

// decide returns what to do for a service, or nil.
func (w *watch) decide(g group, now time.Time) func(context.Context) bool {
	other := w.claimant(g.others, now)
	switch {
	case other != nil && (g.primary == nil || !g.primary.Primary):
		// The record names no primary, or one that says itself that it leads no
		// more, while another says that it does.
		return func(ctx context.Context) bool { return w.recordClaim(ctx, g, other) }
	case g.primary == nil:
		return nil
	case g.primary.State == fleetpb.EndpointState_ENDPOINT_STATE_GONE:
		return func(ctx context.Context) bool { return w.promote(ctx, g, replacement{reason: reasonGone}) }
	case g.primary.State == fleetpb.EndpointState_ENDPOINT_STATE_LEAVING && hasReady(g.others):
		return func(ctx context.Context) bool {
			return w.promote(ctx, g, replacement{reason: reasonLeaving, primaryServes: true})
		}
	case w.isSuspected(g.primary.Id, now):
		return func(ctx context.Context) bool { return w.confirm(ctx, g) }
	case w.isStalled(g.primary.Id, now):
		return func(ctx context.Context) bool { return w.confirmStall(ctx, g) }
	case len(g.ended) > 0:
		return func(ctx context.Context) bool { return w.cover(ctx, g) }
	case w.isOverloaded(g.service, now):
		return func(ctx context.Context) bool { return w.relieve(ctx, g) }
	}
	return nil
}

// status asks an endpoint over a connection of its own.
func (w *watch) status(ctx context.Context, e *fleetpb.Endpoint) (stmt.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := w.node.cfg.Dialer.Dial(ctx, address(e))
	if err != nil {
		return stmt.Status{}, err
	}
	defer conn.Close()
	return conn.Status(time.Now().Add(probeTimeout))
}

func hasReady(others []*fleetpb.Endpoint) bool {
	for _, e := range others {
		if e.State == fleetpb.EndpointState_ENDPOINT_STATE_READY {
			return true
		}
	}
	return false
}

func address(e *fleetpb.Endpoint) stmt.Endpoint {
	return stmt.Endpoint{ID: e.Id, Service: e.Service, Address: e.Address}
}

// Reasons of promotions, for metrics and logs.
const (
	reasonGone       = "gone"
	reasonLeaving    = "leaving"
	reasonUnreached  = "unreached"
	reasonStalled    = "stalled"
	reasonOverloaded = "overloaded"
)

// replacement says why and how a primary is to be replaced.
type replacement struct {
	reason string
	// primaryServes is set when the primary is alive and serves until it is replaced.
	primaryServes bool
	// preferred, if not empty, is the replica to promote.
	preferred string
}

// promote replaces the primary of g.
func (w *watch) promote(ctx context.Context, g group, how replacement) bool {
	if how.primaryServes && len(g.ended) > 0 && w.cover(ctx, g) {
		g.ended = nil
	}
	allocate := &fleetpb.Command{Kind: &fleetpb.Command_AllocateToken{
		AllocateToken: &fleetpb.AllocateToken{Service: g.service, Holder: w.node.cfg.Name},
	}}
	result, err := w.node.propose(ctx, allocate)
	if err != nil {
		w.log.Info("no token for a promotion", "service", g.service, "error", err.Error())
		return false
	}
	plan := promotion.Plan{
		Service: g.service, Primary: address(g.primary), PrimaryServes: how.primaryServes,
		Preferred: how.preferred, Replicas: w.replicas(g), Token: result.Token,
	}
	started := time.Now()
	leader, err := w.runner.Run(ctx, plan)
	w.node.cfg.Metrics.Promoted(how.reason, time.Since(started), err)
	var other *promotion.OtherLeadsError
	if errors.As(err, &other) {
		w.log.Info("another endpoint leads already", "service", g.service, "token", plan.Token, "endpoint", other.Endpoint)
		return w.record(ctx, g, other.Endpoint)
	}
	if err != nil {
		w.log.Info("promotion failed", "service", g.service, "reason", how.reason, "token", plan.Token, "error", err.Error())
		return false
	}
	w.log.Info("promotion done", "service", g.service, "reason", how.reason, "token", plan.Token, "from", g.primary.Id, "to", leader)
	return w.record(ctx, g, leader)
}

func (w *watch) replicas(g group) []promotion.Replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []promotion.Replica
	for _, e := range g.others {
		heard, ok := w.heardAt[e.Id]
		list = append(list, promotion.Replica{
			Endpoint:              address(e),
			Leaving:               e.State == fleetpb.EndpointState_ENDPOINT_STATE_LEAVING,
			PrimaryAnnouncedLater: ok && w.heardAt[g.primary.Id].Sub(heard) > outlived,
		})
	}
	if g.primary.State == fleetpb.EndpointState_ENDPOINT_STATE_GONE {
		// No log is left to wait for.
		return list
	}
	for _, e := range g.ended {
		list = append(list, promotion.Replica{Endpoint: address(e), Leaving: true, Ended: true})
	}
	return list
}

// record has the control group agree on a service's primary.
func (w *watch) record(ctx context.Context, g group, id string) bool {
	cmd := &fleetpb.Command{Kind: &fleetpb.Command_SetPrimary{SetPrimary: &fleetpb.SetPrimary{
		Service: g.service, EndpointId: id, IfNumber: g.record.Number,
	}}}
	result, err := w.node.propose(ctx, cmd)
	if err != nil {
		w.log.Info("primary not recorded", "service", g.service, "endpoint", id, "error", err.Error())
		return false
	}
	w.log.Info("primary recorded", "service", g.service, "endpoint", id, "taken", result.Taken)
	return true
}
