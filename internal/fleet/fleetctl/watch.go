package fleetctl

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/promotion"
	"hemlockmast/internal/shared/stmt"
)

const (
	// watchInterval is the interval at which the primaries are checked.
	watchInterval = 100 * time.Millisecond
	// maxReportAge is the age up to which a report against an endpoint counts.
	maxReportAge = 1500 * time.Millisecond
	// maxMissedHeartbeats is the number of announcements that an endpoint may miss before it
	// is suspected without a report.
	maxMissedHeartbeats = 3
	// probeTimeout bounds one probe of a suspected primary.
	probeTimeout = 300 * time.Millisecond
	// probeInterval is the time between two probes. probesToConfirm failed probes in a row
	// confirm a suspicion.
	probeInterval   = 50 * time.Millisecond
	probesToConfirm = 2
	// maxCoverAttempts is how often the replicas' status is requested, stallSampleInterval
	// apart, to find one that holds what the primary held.
	maxCoverAttempts = 4
	// stallSampleInterval is the time between two samples of the replicas' positions when
	// writes at their primary do not complete. Replicas receive a commit within
	// milliseconds.
	stallSampleInterval = 150 * time.Millisecond
	// ignoreDeniedRoleFor is how long the role that an endpoint announces is ignored after its
	// status denied it. It covers a few announcements, which would show a change.
	ignoreDeniedRoleFor = 3 * time.Second
	// ignoreUnansweredRoleFor is how long such a role is ignored if the endpoint did not
	// answer the status request, for example because it is at capacity. It is a few times
	// as long as a status request.
	ignoreUnansweredRoleFor = 400 * time.Millisecond
	// minRetryBackoff and maxRetryBackoff bound the exponential backoff after a failed
	// action for a service, such as a promotion.
	minRetryBackoff = 200 * time.Millisecond
	maxRetryBackoff = 1500 * time.Millisecond
	// checkInterval is the time between two checks of a service with replicas that do not run
	// or may be paused.
	checkInterval = 300 * time.Millisecond
	// maxChecks limits the checks in progress, of all services.
	maxChecks = 32
	// pauseCheckInterval is the same where replicas may only be paused.
	pauseCheckInterval = time.Second
	// maxAnswerAge is how long an answer to a probe counts for an endpoint that announces
	// itself to another daemon.
	maxAnswerAge = time.Minute
	// maxOrderDelay is how late an order to an endpoint may be carried out. A later one could
	// only leave a replica paused, which costs reads there.
	maxOrderDelay = 15 * time.Second
	// maxConfirmPatience is how long a planned replacement is tried again while entries do not
	// confirm. Those that have ended are no longer counted by then.
	maxConfirmPatience = 4 * time.Second
	// heartbeatMargin is how late a replica's announcement may be before the replica is
	// probed.
	heartbeatMargin = 200 * time.Millisecond
)

// knownAttempt is an unfinished attempt with the time at which a daemon first saw it.
type knownAttempt struct {
	token uint64
	since time.Time
}

// dueReplacement is when the planned replacement of the primary in the record with the given
// number was first tried.
type dueReplacement struct {
	number uint64
	since  time.Time
}

// watcher detects failed, leaving, stalled and overloaded primaries and replaces them
// while its member leads the control group.
type watcher struct {
	node   *Node
	log    logr.Logger
	runner *promotion.Runner
	// closings holds the confirmations that attempts of this daemon await.
	closings closings

	// mu guards the fields below. The locks of the node's state machine and hub may be taken
	// while it is held.
	mu sync.Mutex
	// lastSeenAt holds, by endpoint id, when the endpoint last announced itself to this
	// daemon or answered a probe.
	lastSeenAt map[string]time.Time
	// unreachableAt holds, by endpoint id and then by the reporting entry's failure domain,
	// when an entry last reported that the endpoint does not serve.
	unreachableAt map[string]map[string]time.Time
	// stalledAt holds, by endpoint id, when an entry last reported that writes at the
	// endpoint do not complete.
	stalledAt map[string]time.Time
	// roleIgnoredUntil holds, by endpoint id, until when the role that the endpoint announces
	// is ignored, because its status showed another one or could not be requested.
	roleIgnoredUntil map[string]time.Time
	// overloadedAt holds, by endpoint id, when an entry last reported that the endpoint is at
	// capacity as the primary while its replicas lag. reliefCheckedAt holds, by service, when
	// the replicas were last checked for that reason.
	overloadedAt    map[string]time.Time
	reliefCheckedAt map[string]time.Time

	// busy holds the services with an action in progress, actions how many were started. No
	// action starts for a service before retryAt; retryBackoff is the current backoff.
	actions      map[string]uint64
	busy         map[string]bool
	retryAt      map[string]time.Time
	retryBackoff map[string]time.Duration

	// plannedSince holds, by service, since when its primary is to be replaced as planned.
	plannedSince map[string]dueReplacement

	// checking holds the services that are being checked, checkAt when the next check may
	// start. leftPaused holds, by service, the token of an attempt that was found to have left
	// a replica paused or a call open.
	checking   map[string]bool
	checkAt    map[string]time.Time
	leftPaused map[string]uint64
	// knownAttempts holds, by service, the last attempt that this daemon saw unfinished.
	knownAttempts map[string]knownAttempt
	// silentAt holds, by endpoint id, when another control daemon last reported that the
	// endpoint does not announce itself any more, silenceReported the last announcement after
	// which this daemon reported that. answeredAt holds when a silent endpoint last answered a
	// probe since leadsSince, when this daemon began to lead.
	silentAt        map[string]time.Time
	silenceReported map[string]time.Time
	answeredAt      map[string]time.Time
	leadsSince      time.Time
	// answeredAsEnded holds, by endpoint id, when an endpoint that counts as ended last answered.
	answeredAsEnded map[string]answeredProcess
}

func newWatcher(n *Node) *watcher {
	return &watcher{
		node: n, log: n.log.WithName("watch"), closings: closings{byService: make(map[string]*closing)},
		runner: &promotion.Runner{
			Dialer: n.cfg.Dialer, Promoter: n.cfg.Promoter, Recorder: recorder{n},
			Metrics: n.cfg.Metrics, Log: n.log.WithName("promotion"),
		},
		lastSeenAt:       make(map[string]time.Time),
		unreachableAt:    make(map[string]map[string]time.Time),
		stalledAt:        make(map[string]time.Time),
		roleIgnoredUntil: make(map[string]time.Time),
		overloadedAt:     make(map[string]time.Time), reliefCheckedAt: make(map[string]time.Time),
		actions: make(map[string]uint64), busy: make(map[string]bool),
		retryAt:      make(map[string]time.Time),
		retryBackoff: make(map[string]time.Duration),
		plannedSince: make(map[string]dueReplacement),
		checking:     make(map[string]bool),
		checkAt:      make(map[string]time.Time),
		leftPaused:   make(map[string]uint64), knownAttempts: make(map[string]knownAttempt),
		silentAt: make(map[string]time.Time), silenceReported: make(map[string]time.Time),
		answeredAt: make(map[string]time.Time), answeredAsEnded: make(map[string]answeredProcess),
	}
}

// noteAnnouncement records that an endpoint announced itself now.
func (w *watcher) noteAnnouncement(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastSeenAt[id] = time.Now()
}

// handleReport processes an entry's report against an endpoint.
func (w *watcher) handleReport(r *fleetpb.ReportRequest) {
	w.log.Info("endpoint reported", "endpoint", r.EndpointId, "service", r.Service,
		"by", r.Daemon, "suspicion", r.Suspicion.String())
	w.node.cfg.Metrics.Reported(r.Suspicion.String())
	w.mu.Lock()
	defer w.mu.Unlock()
	switch r.Suspicion {
	case fleetpb.Suspicion_SUSPICION_STALLED:
		w.stalledAt[r.EndpointId] = time.Now()
		return
	case fleetpb.Suspicion_SUSPICION_SILENT:
		w.silentAt[r.EndpointId] = time.Now()
		return
	case fleetpb.Suspicion_SUSPICION_OVERLOADED:
		w.overloadedAt[r.EndpointId] = time.Now()
		return
	}
	if w.unreachableAt[r.EndpointId] == nil {
		w.unreachableAt[r.EndpointId] = make(map[string]time.Time)
	}
	w.unreachableAt[r.EndpointId][r.FailureDomain] = time.Now()
}

// run checks all services periodically until ctx ends. Actions end when this member loses the
// lead of the control group.
func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	leadCtx, endLead := ctx, context.CancelFunc(func() {})
	isLeader := false
	for {
		select {
		case <-ctx.Done():
			endLead()
			return
		case <-ticker.C:
		}
		wasLeader := isLeader
		isLeader = w.node.isLeader()
		switch {
		case isLeader && !wasLeader:
			leadCtx, endLead = context.WithCancel(ctx)
			w.noteLead()
		case !isLeader && wasLeader:
			endLead()
		}
		if !isLeader {
			w.reportSilent(ctx)
			continue
		}
		for _, svc := range w.services() {
			w.startCheck(leadCtx, svc)
			w.startAction(leadCtx, svc)
		}
	}
}

// noteLead records that this daemon leads the control group from now on.
func (w *watcher) noteLead() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leadsSince = time.Now()
	clear(w.answeredAt)
}

// serviceState is a service with its endpoints as this member knows them.
type serviceState struct {
	service string
	// record is the service's primary record in the replicated state.
	record *fleetpb.Primary
	// primary is the endpoint that record names, or nil if that endpoint is unknown.
	primary *fleetpb.Endpoint
	// others are the other endpoints that are not known to have ended.
	others []*fleetpb.Endpoint
	// ended are the replicas that have ended and are not covered: one of them and the
	// primary may have been the only endpoints with some acknowledged commit.
	ended []*fleetpb.Endpoint
	// answering are the endpoints in the state gone that answer nevertheless. They are also
	// the primary or among others, as ones that leave.
	answering []*fleetpb.Endpoint
	// attempt is what is agreed on about attempts to replace the primary.
	attempt *fleetpb.Attempt
}

// services returns the configured services.
func (w *watcher) services() []serviceState {
	config, _ := w.node.machine.Configuration()
	now := time.Now()
	byService := make(map[string][]*fleetpb.Endpoint)
	for _, e := range w.node.hub.Endpoints() {
		byService[e.Service] = append(byService[e.Service], e)
	}
	var list []serviceState
	for _, s := range config.GetServices() {
		svc := serviceState{service: s.Name, record: w.node.machine.Primary(s.Name), attempt: w.node.machine.Attempt(s.Name)}
		for _, e := range byService[s.Name] {
			if running := w.asRunning(e, now); running != e {
				svc.answering = append(svc.answering, e)
				e = running
			}
			switch {
			case e.Id == svc.record.EndpointId:
				svc.primary = e
			case e.State != fleetpb.EndpointState_ENDPOINT_STATE_GONE:
				svc.others = append(svc.others, e)
			case !w.isCovered(e):
				svc.ended = append(svc.ended, e)
			}
		}
		list = append(list, svc)
	}
	return list
}

// startAction starts the action that a service needs unless one is in progress or the
// backoff after a failure is not over.
func (w *watcher) startAction(ctx context.Context, svc serviceState) {
	action := w.nextAction(svc, time.Now())
	if action == nil || !w.tryMarkBusy(svc.service) {
		return
	}
	go func() {
		ok := action(ctx)
		w.endAction(svc.service, ok)
	}()
}

// tryMarkBusy marks a service as busy with an action. It returns false if no action may
// start for the service now.
func (w *watcher) tryMarkBusy(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy[service] || time.Now().Before(w.retryAt[service]) {
		return false
	}
	w.busy[service] = true
	w.actions[service]++
	return true
}

// endAction marks the end of a service's action and starts a backoff unless ok is set.
func (w *watcher) endAction(service string, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy[service] = false
	if ok {
		w.retryBackoff[service] = 0
		return
	}
	w.retryBackoff[service] = min(max(2*w.retryBackoff[service], minRetryBackoff), maxRetryBackoff)
	w.retryAt[service] = time.Now().Add(w.retryBackoff[service])
}

// nextAction returns the action that a service needs, or nil. An action returns false if it
// must be retried.
func (w *watcher) nextAction(svc serviceState, now time.Time) func(context.Context) bool {
	other := w.claimedPrimary(svc.others, now)
	switch {
	case other != nil && (svc.primary == nil || !svc.primary.Primary):
		// The recorded primary is unknown or announces that it is a replica, while
		// another endpoint announces that it is the primary.
		return func(ctx context.Context) bool { return w.recordClaim(ctx, svc, other) }
	case svc.primary == nil:
		return nil
	case svc.primary.State == fleetpb.EndpointState_ENDPOINT_STATE_GONE:
		return func(ctx context.Context) bool { return w.promoteGone(ctx, svc) }
	case svc.primary.State == fleetpb.EndpointState_ENDPOINT_STATE_LEAVING && hasReady(svc.others):
		return func(ctx context.Context) bool {
			return w.promote(ctx, svc, replacement{reason: reasonLeaving, primaryServes: true})
		}
	case w.isSuspected(svc.primary.Id, now):
		return func(ctx context.Context) bool { return w.confirmUnreachable(ctx, svc) }
	case w.isDemoted(svc.primary, now):
		// No endpoint announces that it is the primary. A promotion may have failed, or its
		// leader may have been lost, after the primary had stepped down.
		return func(ctx context.Context) bool { return w.confirmDemoted(ctx, svc) }
	case w.isStalled(svc.primary.Id, now):
		return func(ctx context.Context) bool { return w.confirmStall(ctx, svc) }
	case w.hasLeftPauses(svc.attempt):
		return func(ctx context.Context) bool {
			return w.promote(ctx, svc, replacement{reason: reasonUnfinished, primaryServes: true})
		}
	case w.isOverloaded(svc.service, svc.primary.Id, now):
		return func(ctx context.Context) bool { return w.relievePrimary(ctx, svc) }
	}
	return nil
}

// status requests an endpoint's status over a new connection.
func (w *watcher) status(ctx context.Context, e *fleetpb.Endpoint) (stmt.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := w.node.cfg.Dialer.Dial(ctx, stmtEndpoint(e))
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

func stmtEndpoint(e *fleetpb.Endpoint) stmt.Endpoint {
	return stmt.Endpoint{ID: e.Id, Service: e.Service, Address: e.Address}
}

// Reasons of promotions, for metrics and logs.
const (
	reasonGone       = "gone"
	reasonLeaving    = "leaving"
	reasonUnreached  = "unreached"
	reasonDemoted    = "demoted"
	reasonStalled    = "stalled"
	reasonOverloaded = "overloaded"
	reasonUnfinished = "unfinished"
)

// replacement is why and how a primary is replaced.
type replacement struct {
	reason string
	// primaryServes means that the primary is alive and serves until it is replaced.
	primaryServes bool
	// logsGone means that the primary and the replicas that count as ended have ended, so that
	// nothing is won by waiting for their logs.
	logsGone bool
	// preferred, if not empty, is the id of the replica to promote.
	preferred string
}
