// Package proxy serves callers: it keeps their sessions, chooses the endpoint of
// each statement and transaction, and answers with what the endpoint said or
// with an error that is true.
//
// Reads outside transactions that write go to any endpoint whose log holds the
// position that the route's level asks for; the endpoint itself checks it. Writes
// and other transactions go to the primary. A statement that surely did not run
// is tried again, one that may have run and may not be repeated is not.
package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/fleetview"
	"hemlockmast/internal/proxy/hop"
	"hemlockmast/internal/proxy/pool"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/metrics"
	"hemlockmast/internal/shared/netopt"
	"hemlockmast/internal/shared/stmt"
)

const (
	// reservedConnections of an endpoint are left to control's probes and
	// promotions, and to entries that were not counted yet.
	reservedConnections = 3
	// keptPercent of an endpoint's connections may stay open. Those of a VM that lost
	// power or was cut off count at the endpoint for seconds; the rest is left for the
	// daemons that start in its place or serve its callers.
	keptPercent = 50
	// borrowedPercent of its share may an entry borrow.
	borrowedPercent = 100
	// leastBorrowed connections may it borrow in any case.
	leastBorrowed = 2
	// leastEntries is the number of entries that a part is computed for at least.
	leastEntries = 4
)

// Texts writes the statements that the proxy issues itself.
type Texts interface {
	pool.Texts
	Begin(readOnly bool) string
	Rollback() string
	Execute(name, args string) string
}

// Reporter tells control about an endpoint that does not serve.
type Reporter interface {
	Report(ctx context.Context, r *fleetpb.ReportRequest) error
}

// Positions asks control for the position of a primary's log. It covers every commit
// acknowledged before the call.
type Positions interface {
	Position(ctx context.Context, endpointID string) (logpos.Pos, error)
}

// Config is what a Server needs.
type Config struct {
	Name          string
	FailureDomain string
	View          *fleetview.View
	Dialer        stmt.Dialer
	Texts         Texts
	Reporter      Reporter
	Positions     Positions
	// ControlLost returns for how long no current control daemon has answered.
	ControlLost func() time.Duration
	// Carrier is where other entries of the failure domain borrow connections; "" if
	// this daemon neither lends nor borrows.
	Carrier string
	Metrics *metrics.Set
	Log     logr.Logger
}

// Server serves the callers of one entry.
type Server struct {
	cfg Config
	log logr.Logger

	// draining is set once the daemon is asked to stop.
	draining atomic.Bool

	// mu guards the maps; it is never held while a pool's or service's lock is
	// asked for.
	mu       sync.Mutex
	sources  map[string]*source
	services map[string]*serviceState
	sessions map[*session]struct{}
	reported map[string]time.Time

	hop    *hop.Client
	reach  reach
	misses misses
}

// New returns a server that follows its view.
func New(cfg Config) *Server {
	s := &Server{
		cfg: cfg, log: cfg.Log,
		sources:  make(map[string]*source),
		services: make(map[string]*serviceState),
		sessions: make(map[*session]struct{}),
		reported: make(map[string]time.Time),
	}
	s.hop = hop.NewClient(netopt.Dialer().DialContext, cfg.Log)
	cfg.View.OnChange = s.follow
	return s
}

// follow takes over a change of the picture: pools of endpoints that are gone
// are closed, limits follow the number of entries, and watermarks of a former
// primary are forgotten.
func (s *Server) follow(p *fleetview.Snapshot) {
	s.cfg.Metrics.Revision(p.Config.GetVersion(), true)
	s.hop.KeepOnly(p.Carriers)
	type held struct {
		limit     uint32
		isCarried bool
	}
	wanted := make(map[string]held)
	for name, service := range p.Services() {
		s.service(name).follow(service.PrimaryNumber)
		isCarried := s.isCarried(p, service.Config)
		for _, e := range service.Endpoints {
			wanted[e.Id] = held{limit: service.Config.MaxConnections, isCarried: isCarried}
		}
	}
	s.mu.Lock()
	var closed []*source
	kept := make(map[*source]held)
	for id, src := range s.sources {
		if how, ok := wanted[id]; ok {
			kept[src] = how
			continue
		}
		closed = append(closed, src)
		delete(s.sources, id)
	}
	s.mu.Unlock()
	for _, src := range closed {
		src.local.Close()
	}
	for src, how := range kept {
		src.follow(p, how.limit, how.isCarried)
	}
}

// share is this entry's part of an endpoint's connections. Load is uneven, since
// the platform leads callers by a hash, so that as many again may be borrowed.
func share(maxConnections uint32, entries int) pool.Share {
	// Before the others are counted, as after a restart of all, a part is small.
	entries = max(entries, leastEntries)
	keep := max(0, (int(maxConnections)-reservedConnections)*keptPercent/100/entries)
	return pool.Share{KeepOpen: keep, MaxOpen: keep + max(leastBorrowed, keep*borrowedPercent/100)}
}

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

// source returns where connections to an endpoint come from.
func (s *Server) source(e *fleetpb.Endpoint) *source {
	s.mu.Lock()
	src := s.sources[e.Id]
	s.mu.Unlock()
	if src != nil {
		return src
	}
	picture := s.cfg.View.Snapshot()
	config := picture.Service(e.Service).Config
	src = &source{endpoint: e, server: s}
	endpoint := stmt.Endpoint{ID: e.Id, Service: e.Service, Address: e.Address}
	part := src.rank(picture, config.MaxConnections, s.isCarried(picture, config))
	src.local = pool.New(endpoint, s.cfg.Dialer, part, func(err error) {
		s.reach.failed(s.isFar(e), time.Now())
		s.report(e, fleetpb.Suspicion_SUSPICION_UNREACHABLE, err)
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if made := s.sources[e.Id]; made != nil {
		return made
	}
	s.sources[e.Id] = src
	return src
}

// lead is a service's primary as this entry knows it.
type lead struct {
	endpoint *fleetpb.Endpoint
	pool     *source
	number   uint64
}

// primary returns the primary of a service. Errors: *stmt.Error.
func (s *Server) primary(service string) (lead, error) {
	sv := s.cfg.View.Snapshot().Service(service)
	if sv == nil {
		return lead{}, &stmt.Error{Code: stmt.CodeNoDatabase, Detail: "service is not configured"}
	}
	for _, e := range sv.Endpoints {
		if e.Id == sv.PrimaryID {
			return lead{endpoint: e, pool: s.source(e), number: sv.PrimaryNumber}, nil
		}
	}
	return lead{}, &stmt.Error{Code: stmt.CodeReadOnly, Detail: "no primary is known"}
}

// Ready answers whether new callers should be sent here, and counts the answers.
func (s *Server) Ready() bool {
	ready := s.isReady()
	s.misses.count(ready)
	return ready
}

func (s *Server) isReady() bool {
	p := s.cfg.View.Snapshot()
	if s.draining.Load() || p.Config == nil || s.reach.isLostFor(farLost) {
		return false
	}
	for _, service := range p.Services() {
		if len(service.Endpoints) > 0 {
			return true
		}
	}
	return false
}
