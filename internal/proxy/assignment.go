package proxy

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/carrier"
	"hemlockmast/internal/proxy/fleetview"
	"hemlockmast/internal/proxy/pool"
)

// assignment is who holds the connections to one endpoint.
type assignment struct {
	// carriers are the entries that this daemon asks for a loan, in order; empty if each
	// entry opens its own connections.
	carriers []string
	// pinnable are all carriers in mode Home, over which small workspaces are spread; empty in
	// other modes. limit is the endpoint's connection limit.
	pinnable []string
	limit    int
	// crossesDomains is set if the carriers are in another failure domain.
	crossesDomains bool
	// share is this daemon's share of the endpoint's connections.
	share pool.Share
}

// assigner computes assignments from snapshots. It keeps what package carrier dealt out in
// each failure domain until the entries or endpoints there change. It is not safe for
// concurrent use.
type assigner struct {
	// self is this daemon's address as a carrier; "" if it neither lends nor borrows.
	self          string
	failureDomain string
	dealt         map[string]dealtDomain
}

// dealtDomain is the result of carrier.Deal in a failure domain; digest identifies its
// arguments.
type dealtDomain struct {
	digest   uint64
	carriers map[string][]string
}

// assign returns the assignment of each endpoint by id. mode returns the mode of a service.
func (a *assigner) assign(snapshot *fleetview.Snapshot, mode func(*fleetpb.Service) carrier.Mode) map[string]assignment {
	assigned := make(map[string]assignment)
	atHome := make(map[string][]carrier.Endpoint)
	for _, service := range snapshot.Services() {
		m := mode(service.Config)
		for _, e := range service.Endpoints {
			limit := int(service.Config.MaxConnections)
			switch {
			case m == carrier.Near:
				assigned[e.Id] = a.assignNear(snapshot, e, limit)
			case m == carrier.Home && len(snapshot.Carriers[e.FailureDomain]) > 0:
				atHome[e.FailureDomain] = append(atHome[e.FailureDomain], carrier.Endpoint{ID: e.Id, Limit: limit})
			default:
				assigned[e.Id] = assignment{share: share(service.Config.MaxConnections, snapshot.EntryCount)}
			}
		}
	}
	for domain, endpoints := range atHome {
		dealt := a.deal(domain, endpoints, snapshot.Carriers[domain])
		for _, e := range endpoints {
			assigned[e.ID] = a.assignHome(dealt[e.ID], e.Limit, snapshot.Endpoint(e.ID))
		}
	}
	return assigned
}

// assignNear returns the assignment of an endpoint whose connections are lent within each
// failure domain.
func (a *assigner) assignNear(snapshot *fleetview.Snapshot, e *fleetpb.Endpoint, limit int) assignment {
	ranked := carrier.Rank(e.Id, snapshot.Carriers[a.failureDomain])
	if !carrier.HasShare(ranked, a.self) {
		return assignment{carriers: ranked, share: pool.Share{MaxOpen: minExtra, IsCarried: true}}
	}
	keep := carrier.Share(limit, snapshot.DomainCount)
	return assignment{carriers: ranked, share: pool.Share{KeepOpen: keep, MaxOpen: 2 * keep, IsCarried: true, Slots: int(e.Slots)}}
}

// assignHome returns the assignment of an endpoint whose connections are lent by the given
// entries of its own failure domain.
func (a *assigner) assignHome(carriers []string, limit int, e *fleetpb.Endpoint) assignment {
	as := assignment{
		carriers: carrier.Order(carriers, a.self), crossesDomains: e.FailureDomain != a.failureDomain,
		pinnable: carriers, limit: limit,
		share: pool.Share{MaxOpen: minExtra, IsCarried: true},
	}
	if slices.Contains(carriers, a.self) {
		as.share.MaxOpen = carrier.HomeShare(limit, len(carriers)) * keepOpenPercent / 100
		as.share.KeepOpen = as.share.MaxOpen
		as.share.Slots = int(e.Slots)
	}
	return as
}

// deal returns the carriers of the endpoints of a failure domain by id.
func (a *assigner) deal(domain string, endpoints []carrier.Endpoint, entries []string) map[string][]string {
	slices.SortFunc(endpoints, func(a, b carrier.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	digest := xxhash.New()
	for _, e := range endpoints {
		_, _ = digest.WriteString(e.ID + "\x00" + strconv.Itoa(e.Limit) + "\x00")
	}
	for _, name := range entries {
		_, _ = digest.WriteString(name + "\x00")
	}
	held := a.dealt[domain]
	if held.carriers == nil || held.digest != digest.Sum64() {
		held = dealtDomain{digest: digest.Sum64(), carriers: carrier.Deal(endpoints, entries)}
		a.dealt[domain] = held
	}
	return held.carriers
}

// mode chooses who holds the connections to the endpoints of a service, and remembers the
// choice for the hysteresis of carrier.ChooseMode.
func (s *Server) mode(snapshot *fleetview.Snapshot, service *fleetpb.Service) carrier.Mode {
	if s.cfg.Carrier == "" || len(snapshot.Carriers) == 0 || snapshot.DomainCount == 0 {
		return carrier.Direct
	}
	st := s.service(service.Name)
	st.mu.Lock()
	defer st.mu.Unlock()
	previous := st.mode
	st.mode = carrier.ChooseMode(int(service.MaxConnections), snapshot.EntryCount, snapshot.DomainCount, time.Duration(s.distance.Load()), previous)
	if st.mode != previous {
		s.log.V(1).Info("connection mode of a service changed", "service", service.Name, "mode", st.mode.String(),
			"limit", service.MaxConnections, "roundTrip", time.Duration(s.distance.Load()).String(), "entries", snapshot.EntryCount, "failureDomains", snapshot.DomainCount)
	}
	return st.mode
}
