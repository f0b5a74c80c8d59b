// Package fleetview keeps an entry's view of the configuration, the endpoints and the
// primaries, as received from control: the daemons that agree on the configuration and
// promote endpoints to primaries.
package fleetview

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/catalog"
	"hemlockmast/internal/fleet/leaving"
	"hemlockmast/internal/fleet/registry"
	"hemlockmast/internal/shared/boottime"
)

// maxPromotionTime is how long a promotion is expected to take at most. The platform's
// promotion call takes up to about a second and may have to be repeated.
const maxPromotionTime = 3 * time.Second

// Service is a service with its endpoints.
type Service struct {
	// Config is the service's part of the configuration.
	Config *fleetpb.Service
	// PrimaryID is the endpoint id of the primary; empty while none is known.
	PrimaryID string
	// PrimaryNumber is the number of the primary record, in which control names the
	// primary. It grows with each change of the primary.
	PrimaryNumber uint64
	// Record is the primary record; nil while none is known. It must not be changed.
	Record *fleetpb.Primary
	// PromotionDeadline is when the promotion in progress should be over; zero without a
	// promotion.
	PromotionDeadline time.Time
	// Endpoints are all endpoints that are not gone.
	Endpoints []*fleetpb.Endpoint
}

// Snapshot is an immutable snapshot of the view.
type Snapshot struct {
	// Config is the configuration in force; nil before the first one.
	Config *fleetpb.Configuration
	// routes maps database names to routes.
	routes map[string]*fleetpb.Route
	// services maps service names to services.
	services map[string]*Service
	// EntryCount is the number of entries of all failure domains, which share the
	// endpoints' connections.
	EntryCount int
	// DomainCount is the number of failure domains that have entries.
	DomainCount int
	// Carriers are, by failure domain, the addresses where its entries lend connections. The
	// map and the lists must not be changed.
	Carriers map[string][]string

	// identity says which keys identify which workspaces. It is the same in successive
	// snapshots for as long as workspaces do not change.
	identity *identity
	// endpoints maps ids to endpoints that are not gone.
	endpoints map[string]*fleetpb.Endpoint
	// leaving is View.leaving.
	leaving leaving.Ages
}

// LeavingFor returns for how long an endpoint has been leaving, as far as any daemon has told, or 0
// if it does not.
func (s *Snapshot) LeavingFor(id string) time.Duration {
	e := s.endpoints[id]
	return s.leaving.Of(e.GetService(), id, boottime.Now())
}

// Route returns the route of a database, or nil.
func (s *Snapshot) Route(database string) *fleetpb.Route { return s.routes[database] }

// IdentifiesCallers reports whether callers of the route need a workspace's key.
func (s *Snapshot) IdentifiesCallers(r *fleetpb.Route) bool {
	return s.Config.GetIdentifiesCallers() && !r.GetPublic()
}

// WorkspaceOf returns the workspace that holds a key, or nil.
func (s *Snapshot) WorkspaceOf(key string) *fleetpb.Workspace {
	if s.identity == nil {
		return nil
	}
	return s.identity.byKey[key]
}

// HasSameIdentities reports whether the workspaces of s are those of the earlier snapshot o, or
// equal ones.
func (s *Snapshot) HasSameIdentities(o *Snapshot) bool { return s.identity == o.identity }

// Service returns a service, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Endpoint returns an endpoint that is not gone, or nil.
func (s *Snapshot) Endpoint(id string) *fleetpb.Endpoint { return s.endpoints[id] }

// Services returns all services by name. The map must not be changed.
func (s *Snapshot) Services() map[string]*Service { return s.services }

// View applies control's answers and publishes a snapshot after each change. It implements
// fleetrpc.Sink. Apply must be called from one goroutine; the other methods are safe for
// concurrent use.
type View struct {
	log     logr.Logger
	current atomic.Pointer[Snapshot]
	// OnChange is called after each change, from the goroutine that calls Apply. It must be
	// set before Apply is first called.
	OnChange func(*Snapshot)

	// mu guards the fields below; no other lock is taken while it is held.
	mu     sync.Mutex
	config *fleetpb.Configuration
	// identity belongs to config. It is replaced, never changed, since snapshots refer to it.
	identity *identity
	// needsFull is set when an update did not fit the configuration in force.
	needsFull bool
	table     *registry.Table
	// primaries maps service names to primary records.
	primaries map[string]*fleetpb.Primary
	// promotionDeadlines maps service names to when the promotion in progress should be
	// over; zero without a promotion.
	promotionDeadlines map[string]time.Time
	entryCount         int
	domainCount        int
	// leaving holds for how long endpoints have been leaving. It is replaced, never changed, since
	// snapshots refer to it.
	leaving leaving.Ages
	// carriers is replaced, never changed, since snapshots refer to it.
	carriers map[string][]string
	// changed is closed at the next change and then replaced.
	changed chan struct{}
}

// New returns an empty view whose OnChange does nothing.
func New(log logr.Logger) *View {
	v := &View{
		log: log, OnChange: func(*Snapshot) {},
		table: registry.NewTable(), primaries: make(map[string]*fleetpb.Primary),
		promotionDeadlines: make(map[string]time.Time),
		changed:            make(chan struct{}),
	}
	v.current.Store(&Snapshot{})
	return v
}

// Snapshot returns the latest snapshot.
func (v *View) Snapshot() *Snapshot { return v.current.Load() }

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// ConfigurationVersion implements fleetrpc.Sink. It returns the version in force, or 0 to
// request the full configuration.
func (v *View) ConfigurationVersion() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.needsFull {
		return 0
	}
	return v.config.GetVersion()
}

// Apply implements fleetrpc.Sink: it applies an answer from control. Configurations,
// announcements of endpoints and primary records are applied only if they are newer than
// those held, the entry count and the carriers only if the answering daemon is current.
func (v *View) Apply(answer *fleetpb.FollowResponse) {
	v.mu.Lock()
	changed := v.applyConfiguration(answer.Configuration)
	if changed {
		v.noteChanges(v.table.SetServices(v.config.GetServices()))
	}
	for _, e := range answer.Endpoints {
		if err := registry.Check(e); err != nil {
			// A control daemon of another version may accept more.
			v.log.Info("endpoint ignored", "error", err.Error())
			continue
		}
		changed = v.noteChanges(v.table.Merge(e)) || changed
	}
	changed = v.applyAges(answer.Leaving) || changed
	for _, p := range answer.Primaries {
		changed = v.applyPrimary(p) || changed
	}
	if n := int(answer.Entries); answer.Current && n != v.entryCount {
		v.entryCount = n
		changed = true
	}
	changed = v.applyCarriers(answer) || changed
	var snapshot *Snapshot
	if changed {
		snapshot = v.snapshot()
		v.current.Store(snapshot)
		close(v.changed)
		v.changed = make(chan struct{})
	}
	v.mu.Unlock()
	if changed {
		v.OnChange(snapshot)
	}
}

// applyAges records for how long endpoints have been leaving as control knows it, and reports
// whether that is longer than known.
func (v *View) applyAges(ages []*fleetpb.LeavingAge) bool {
	now := boottime.Now()
	next, isRaised := v.leaving.Clone(), false
	for _, age := range ages {
		if next.Raise(age, now) {
			isRaised = true
			v.log.Info("endpoint leaves", "endpoint", age.EndpointId, "for", next.Of(age.Service, age.EndpointId, now).String())
		}
	}
	if isRaised {
		v.leaving = next
	}
	return isRaised
}

// noteChanges logs changed endpoints, records whether they leave, from now on if it was not known,
// and reports whether there are any.
func (v *View) noteChanges(changes registry.Changes) bool {
	if changes.IsEmpty() {
		return false
	}
	next := v.leaving.Clone()
	next.NoteChanges(changes, v.table.Defines, boottime.Now())
	v.leaving = next
	for _, e := range changes.Records {
		v.log.Info("endpoint known", "endpoint", e.Id, "service", e.Service, "address", e.Address, "state", e.State.String())
	}
	return len(changes.Records) > 0
}

// LeavingAges implements fleetrpc.Sink.
func (v *View) LeavingAges() []*fleetpb.LeavingAge {
	return v.Snapshot().leaving.Messages(boottime.Now())
}

// applyCarriers applies the changed lists of carriers and the number of failure domains, and
// reports whether anything changed.
func (v *View) applyCarriers(answer *fleetpb.FollowResponse) bool {
	domainCount := int(answer.EntryDomains)
	if !answer.Current || len(answer.Carriers) == 0 && domainCount == v.domainCount {
		return false
	}
	v.domainCount = domainCount
	if len(answer.Carriers) == 0 {
		return true
	}
	carriers := maps.Clone(v.carriers)
	if carriers == nil {
		carriers = make(map[string][]string)
	}
	for _, d := range answer.Carriers {
		carriers[d.FailureDomain] = d.Carriers
		if len(d.Carriers) == 0 {
			delete(carriers, d.FailureDomain)
		}
		v.log.Info("carriers known", "failureDomain", d.FailureDomain, "carriers", len(d.Carriers))
	}
	v.carriers = carriers
	return true
}

// applyPrimary applies a primary record and reports whether it was newer. A higher number
// names a new primary. A higher token alone shows that a promotion has begun, because
// control allocates a fencing token for each. A higher revision closes or opens the
// acknowledgements of the primary.
func (v *View) applyPrimary(p *fleetpb.Primary) bool {
	held := v.primaries[p.Service]
	switch {
	case held == nil || held.Number < p.Number:
		v.promotionDeadlines[p.Service] = time.Time{}
		v.log.Info("primary known", "service", p.Service, "endpoint", p.EndpointId, "number", p.Number)
	case held.Token < p.Token:
		v.promotionDeadlines[p.Service] = time.Now().Add(maxPromotionTime)
		v.log.Info("promotion begun", "service", p.Service, "token", p.Token)
	case held.Revision < p.Revision:
		v.log.Info("acknowledgements of the primary changed", "service", p.Service, "number", p.Number, "closedToken", p.ClosedToken)
	default:
		return false
	}
	v.primaries[p.Service] = p
	return true
}

// applyConfiguration applies a configuration update and reports whether the configuration
// changed. u may be nil.
func (v *View) applyConfiguration(u *fleetpb.ConfigurationUpdate) bool {
	if u == nil {
		return false
	}
	next, err := catalog.Apply(v.config, u)
	if err != nil {
		v.needsFull = true
		v.log.Info("configuration update does not apply; requesting the full configuration", "error", err.Error())
		return false
	}
	v.needsFull = false
	if next == v.config {
		return false
	}
	v.identity = newIdentity(next, v.identity)
	v.config = next
	v.log.Info("configuration in force", "version", next.Version, "routes", len(next.Routes), "workspaces", len(next.Workspaces))
	return true
}

// snapshot builds a snapshot of the view. mu must be held.
func (v *View) snapshot() *Snapshot {
	snap := &Snapshot{
		Config: v.config, EntryCount: v.entryCount, DomainCount: v.domainCount, Carriers: v.carriers,
		identity:  v.identity,
		leaving:   v.leaving,
		endpoints: make(map[string]*fleetpb.Endpoint),
		routes:    make(map[string]*fleetpb.Route),
		services:  make(map[string]*Service),
	}
	for _, r := range v.config.GetRoutes() {
		snap.routes[r.Database] = r
	}
	for _, s := range v.config.GetServices() {
		primary := v.primaries[s.Name]
		snap.services[s.Name] = &Service{
			Config: s, PrimaryID: primary.GetEndpointId(), PrimaryNumber: primary.GetNumber(), Record: primary,
			PromotionDeadline: v.promotionDeadlines[s.Name],
		}
	}
	for _, e := range v.table.All() {
		s := snap.services[e.Service]
		if s != nil && e.State != fleetpb.EndpointState_ENDPOINT_STATE_GONE {
			s.Endpoints = append(s.Endpoints, e)
			snap.endpoints[e.Id] = e
		}
	}
	return snap
}
