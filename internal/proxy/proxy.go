// Package proxy serves callers. It keeps their sessions, chooses the endpoint of each
// statement and transaction, and returns the endpoint's answer or an error that states
// correctly whether the statement may have run. A daemon that does this is an entry.
// Control, the daemons that agree on the configuration and promote primaries, sends
// entries their view of the fleet (package fleetview).
//
// Reads outside read-write transactions go to any endpoint whose log holds the position
// that the route's level requires; the endpoint itself checks that. Writes and read-write
// transactions go to the primary. A statement that certainly did not run is retried. One
// that may have run is retried only if it is idempotent.
package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/carrier"
	"hemlockmast/internal/proxy/fleetview"
	"hemlockmast/internal/proxy/hop"
	"hemlockmast/internal/proxy/pool"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/metrics"
	"hemlockmast/internal/shared/netopt"
	"hemlockmast/internal/shared/stmt"
)

const (
	// reservedConnections is how many of an endpoint's connections are left for control's
	// probes and promotions, and for entries that are not counted yet.
	reservedConnections = 3
	// keepOpenPercent is the part of an endpoint's connections that may stay open. For some
	// seconds after a VM lost power or was cut off, the endpoint still counts its
	// connections. The rest is left for the daemons that start in its place or serve its
	// callers.
	keepOpenPercent = 50
	// extraPercent is how many connections an entry may open beyond its share, as a
	// percentage of the share.
	extraPercent = 100
	// minExtra is how many connections an entry may always open beyond its share.
	minExtra = 2
	// leavingMargin is how long before MaxLeavingWork a primary that leaves gets no new work. A
	// statement may wait that long between the choice of the primary and its arrival there.
	leavingMargin = time.Second
	// minEntries is the smallest number of entries that a share is computed for.
	minEntries = 4
)

// Texts builds the statements that the proxy itself issues.
type Texts interface {
	pool.Texts
	// Begin returns the statement that starts a transaction.
	Begin(readOnly bool) string
	// Rollback returns the statement that rolls a transaction back.
	Rollback() string
	// Execute returns the statement that runs a prepared statement by its name.
	Execute(name, args string) string
}

// Reporter sends reports about endpoints that do not serve.
type Reporter interface {
	// Report sends one report to control.
	Report(ctx context.Context, r *fleetpb.ReportRequest) error
	// ConfirmClosed tells control's leader that this entry passes on no success of a commit
	// at a primary any more.
	ConfirmClosed(ctx context.Context, r *fleetpb.ConfirmClosedRequest) error
}

// PositionSource asks control for log positions.
type PositionSource interface {
	// Position returns the position of a primary's log. It covers every commit acknowledged
	// before the call.
	Position(ctx context.Context, endpointID string) (logpos.Pos, error)
	// Received returns a position up to which a replica holds the log.
	Received(ctx context.Context, endpointID string) (logpos.Pos, error)
}

// Config configures a Server. All fields but Carrier, CrossDomainCost and QuotaWindow are required.
type Config struct {
	// Name is the daemon's name, and FailureDomain the failure domain that it runs in.
	Name          string
	FailureDomain string
	// View is the entry's view of the fleet. New sets its OnChange.
	View *fleetview.View
	// Dialer opens connections to endpoints.
	Dialer         stmt.Dialer
	Texts          Texts
	Reporter       Reporter
	PositionSource PositionSource
	// ControlLostFor returns for how long no current control daemon has answered; 0 while one
	// answers.
	ControlLostFor func() time.Duration
	// Carrier is the address where other entries of the failure domain borrow connections
	// from this daemon; "" if it neither lends nor borrows.
	Carrier string
	// MaxLeavingWork is how long an endpoint may get new work after it has announced that it
	// leaves. A primary gets none for the last leavingMargin of it.
	MaxLeavingWork time.Duration
	// QuotaWindow is the span in which workspaces' limits are checked; 0 means
	// quota.DefaultWindow.
	QuotaWindow time.Duration
	// CrossDomainCost is how much longer a statement may take in this failure domain before
	// another one is preferred; 0 for a fixed penalty, whatever the load.
	CrossDomainCost time.Duration
	Metrics         *metrics.Set
	Log             logr.Logger
}

// Server serves the callers of one entry. It is safe for concurrent use.
type Server struct {
	cfg Config
	log logr.Logger

	// isDraining is set from the start of Drain; stopPlan is nil before.
	isDraining atomic.Bool
	stopPlan   atomic.Pointer[stopPlan]
	// open is the number of callers' connections, with those that have not opened a session yet.
	open atomic.Int64

	// demands are those of the configuration in force.
	demands atomic.Pointer[carrier.Demands]
	// distance is the usual round-trip time between failure domains in nanoseconds; 0 while it
	// is not known.
	distance atomic.Int64

	// applyMu guards assigner and applied, the last snapshot applied. It is taken before mu and
	// before the locks of sources, pools and serviceStates.
	applyMu  sync.Mutex
	assigner assigner
	applied  *fleetview.Snapshot

	// mu guards the maps below. It is never held while the lock of a source, of a pool or of
	// a serviceState is taken. assigned, sources and lastReportAt are keyed by endpoint id,
	// services by name. assigned is replaced, never changed.
	mu           sync.Mutex
	assigned     map[string]assignment
	sources      map[string]*source
	services     map[string]*serviceState
	sessions     map[*session]struct{}
	lastReportAt map[string]time.Time

	// avoidedEndpoints counts the endpoints that are avoided.
	avoidedEndpoints atomic.Int64

	hop            *hop.Client
	limiter        *limiter
	reachability   reachability
	notReadyStreak notReadyStreak
}

// New returns a server that applies the changes of cfg.View. It sets the view's OnChange.
func New(cfg Config) *Server {
	s := &Server{
		cfg: cfg, log: cfg.Log,
		assigner:     assigner{self: cfg.Carrier, failureDomain: cfg.FailureDomain, dealt: make(map[string]dealtDomain)},
		applied:      &fleetview.Snapshot{},
		sources:      make(map[string]*source),
		services:     make(map[string]*serviceState),
		sessions:     make(map[*session]struct{}),
		lastReportAt: make(map[string]time.Time),
	}
	s.hop = hop.NewClient(netopt.Dialer().DialContext, cfg.Log)
	s.setDemands(nil)
	s.limiter = newLimiter(cfg, s.hop, s.cutOffFor)
	cfg.View.OnChange = s.apply
	return s
}

// apply applies a new snapshot of the view. It closes the pools of endpoints that are gone,
// recomputes who holds the connections to the others, removes the watermarks of former
// primaries, and ends idle sessions whose keys were revoked.
func (s *Server) apply(snapshot *fleetview.Snapshot) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.applyLocked(snapshot)
}

// applyLocked implements apply. applyMu must be held.
func (s *Server) applyLocked(snapshot *fleetview.Snapshot) {
	s.cfg.Metrics.Revision(snapshot.Config.GetVersion(), true)
	if !snapshot.HasSameIdentities(s.applied) {
		s.endRevoked(snapshot)
	}
	s.applied = snapshot
	s.hop.KeepOnly(snapshot.Carriers)
	s.setDemands(snapshot.Config)
	s.limiter.apply(snapshot)
	for name, service := range snapshot.Services() {
		st := s.service(name)
		st.apply(service.PrimaryNumber)
		s.applyClosed(service)
		s.forgetEndpoints(st, service)
		if missing, ok := st.applyRecord(service.Record); ok {
			s.reportMissing(name, missing)
		}
	}
	assigned := s.assigner.assign(snapshot, func(service *fleetpb.Service) carrier.Mode { return s.mode(snapshot, service) })
	s.mu.Lock()
	s.assigned = assigned
	var closed []*source
	remaining := make(map[*source]assignment)
	for id, src := range s.sources {
		if a, ok := assigned[id]; ok {
			remaining[src] = a
			continue
		}
		closed = append(closed, src)
		delete(s.sources, id)
	}
	s.mu.Unlock()
	for _, src := range closed {
		src.local.Close()
	}
	for src, a := range remaining {
		src.apply(a)
	}
}

// share returns this entry's share of an endpoint's connections where each entry opens its
// own. The platform spreads callers by a hash, so load is uneven: an entry may open extra
// connections beyond its share.
func share(maxConnections uint32, entries int) pool.Share {
	// After a restart of all entries, the others are not counted yet. The minimum keeps
	// the first shares small.
	entries = max(entries, minEntries)
	keep := max(0, (int(maxConnections)-reservedConnections)*keepOpenPercent/100/entries)
	return pool.Share{KeepOpen: keep, MaxOpen: keep + max(minExtra, keep*extraPercent/100)}
}

// service returns the state of a service and creates it if needed.
func (s *Server) service(name string) *serviceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.services[name]
	if st == nil {
		st = &serviceState{}
		s.services[name] = st
	}
	return st
}

// source returns the source of connections to an endpoint and creates it if needed.
func (s *Server) source(e *fleetpb.Endpoint) *source {
	s.mu.Lock()
	defer s.mu.Unlock()
	if src := s.sources[e.Id]; src != nil {
		return src
	}
	src := s.newSource(e)
	s.sources[e.Id] = src
	return src
}

// newSource returns a source without connections. mu must be held.
func (s *Server) newSource(e *fleetpb.Endpoint) *source {
	a, ok := s.assigned[e.Id]
	if !ok {
		// The snapshot that names the endpoint is not applied yet.
		a = assignment{share: pool.Share{MaxOpen: minExtra}}
	}
	endpoint := stmt.Endpoint{ID: e.Id, Service: e.Service, Address: e.Address}
	src := &source{endpoint: e, server: s}
	src.setCarriers(a)
	src.local = pool.New(endpoint, s.cfg.Dialer, a.share, func(err error) {
		s.reachability.failed(s.isInOtherDomain(e), time.Now())
		s.report(e, fleetpb.Suspicion_SUSPICION_UNREACHABLE, err)
	})
	src.local.Observe(&connObserver{server: s, endpoint: e.Id})
	return src
}

// target is an endpoint to which a statement can be sent.
type target struct {
	endpoint *fleetpb.Endpoint
	// pool is where connections to the endpoint come from.
	pool *source
	// primaryNumber is the number of the service's primary record when the target was
	// chosen.
	primaryNumber uint64
}

// primary returns the primary of a service, unless it will not take new work any more. Errors:
// *stmt.Error.
func (s *Server) primary(service string) (target, error) {
	t, err := s.recordedPrimary(service)
	if err == nil && s.hasLeft(s.cfg.View.Snapshot().LeavingFor(t.endpoint.Id)) {
		return target{}, leftError()
	}
	return t, err
}

func leftError() *stmt.Error {
	return &stmt.Error{Code: stmt.CodeBusy, Detail: "the primary leaves and has no successor yet"}
}

// recordedPrimary returns the primary of a service, also if it takes no new work any more.
// Errors: *stmt.Error.
func (s *Server) recordedPrimary(service string) (target, error) {
	sv := s.cfg.View.Snapshot().Service(service)
	if sv == nil {
		return target{}, &stmt.Error{Code: stmt.CodeNoDatabase, Detail: "service is not configured"}
	}
	e, err := endpointOfPrimary(sv)
	if err != nil {
		return target{}, err
	}
	return target{endpoint: e, pool: s.source(e), primaryNumber: sv.PrimaryNumber}, nil
}

// endpointOfPrimary returns the endpoint that is recorded as a service's primary. Errors:
// *stmt.Error.
func endpointOfPrimary(sv *fleetview.Service) (*fleetpb.Endpoint, error) {
	for _, e := range sv.Endpoints {
		if e.Id == sv.PrimaryID {
			return e, nil
		}
	}
	return nil, &stmt.Error{Code: stmt.CodeReadOnly, Detail: "no primary is known"}
}

// hasLeft reports whether an endpoint that has been leaving for d gets no new work any more, as
// the primary either.
func (s *Server) hasLeft(d time.Duration) bool {
	return d > 0 && d > s.cfg.MaxLeavingWork-leavingMargin
}

// Ready reports whether the platform should send new callers to this entry. The platform
// stops after a number of consecutive negative answers, which Ready counts for Drain and
// WatchIsolation.
func (s *Server) Ready() bool {
	ready := s.isReady()
	s.notReadyStreak.record(ready)
	return ready
}

// isReady reports whether this entry is ready, without counting the answer.
func (s *Server) isReady() bool {
	snapshot := s.cfg.View.Snapshot()
	if s.isDraining.Load() || snapshot.Config == nil || s.reachability.isLostFor(remoteLossThreshold) {
		return false
	}
	for _, service := range snapshot.Services() {
		if len(service.Endpoints) > 0 {
			return true
		}
	}
	return false
}
