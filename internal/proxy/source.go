package proxy

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/hop"
	"hemlockmast/internal/proxy/pool"
)

const (
	// maxCarriersTried is how many carriers are asked for one loan before this daemon opens
	// a connection of its own.
	maxCarriersTried = 2
	// maxCarrierRank is how many entries at the head of the ranking may be asked. If none of
	// them lends, more has failed than a VM or two, and this daemon opens a connection of
	// its own.
	maxCarrierRank = 4
	// endpointDownTime is how long an endpoint that its carrier cannot reach counts as
	// down: about as long as the carrier itself waits before it dials again.
	endpointDownTime = 250 * time.Millisecond
	// carrierSkipTime is how long a carrier that cannot reach the endpoint is skipped in
	// favour of the next one. A network partition may separate one VM from an endpoint
	// that others of its failure domain reach.
	carrierSkipTime = time.Second
)

// source provides connections to one endpoint: the daemon's own, or loans from the
// endpoint's carriers.
type source struct {
	// local holds this daemon's own connections and what is known about the endpoint from
	// its answers.
	local    *pool.Pool
	endpoint *fleetpb.Endpoint
	server   *Server
	// activeLoans counts the connections that are borrowed now.
	activeLoans atomic.Int64

	// mu guards the fields below; only hop.Client's lock is taken while it is held.
	mu sync.Mutex
	// carriers are the entries that may lend, in the order in which this daemon asks them;
	// empty where connections are not carried. crossesDomains is set if they are in another
	// failure domain.
	carriers       []string
	crossesDomains bool
	// pinnable and limit are those of the assignment.
	pinnable []string
	limit    int
	// downUntil is when the endpoint stops counting as down because its carrier could not
	// reach it. skipUntil is, by carrier, when such a carrier is asked again.
	downUntil time.Time
	skipUntil map[string]time.Time
	// loads are the loads that carriers last told, by priority.
	loads map[int32]toldLoad
}

// apply updates the carriers and this daemon's share of the endpoint's connections.
func (src *source) apply(a assignment) {
	src.setCarriers(a)
	src.local.SetShare(a.share)
}

// isCarriedAtHome reports whether the endpoint's connections are carried in mode Home.
func (src *source) isCarriedAtHome() bool {
	src.mu.Lock()
	defer src.mu.Unlock()
	return len(src.pinnable) > 0
}

// setCarriers updates the carriers.
func (src *source) setCarriers(a assignment) {
	src.mu.Lock()
	defer src.mu.Unlock()
	if !slices.Equal(src.carriers, a.carriers) {
		src.skipUntil = nil
	}
	src.carriers, src.crossesDomains = a.carriers, a.crossesDomains
	src.pinnable, src.limit = a.pinnable, a.limit
}

// lendingCarriers returns the carriers to ask for a loan, in order. It returns none if this
// daemon should use its own connections.
func (src *source) lendingCarriers() []string {
	src.mu.Lock()
	carriers := src.carriers
	src.mu.Unlock()
	return src.usable(carriers)
}

// usable returns the first of some carriers, in order, that may be asked now: maxCarriersTried
// at most, and none from this daemon on.
func (src *source) usable(carriers []string) []string {
	now := time.Now()
	src.mu.Lock()
	defer src.mu.Unlock()
	var names []string
	for i, name := range carriers {
		if name == src.server.cfg.Carrier || len(names) == maxCarriersTried || i == maxCarrierRank {
			break
		}
		if !now.Before(src.skipUntil[name]) && !src.server.hop.IsDown(name) {
			names = append(names, name)
		}
	}
	return names
}

// Get returns a connection. Errors: those of pool.Pool.Get and *hop.UnreachableError.
// After any of them no statement has run.
func (src *source) Get(r hop.BorrowRequest) (*pool.Conn, error) {
	r.Endpoint = src.endpoint.Id
	r.OnLoad = func(load pool.Load) { src.recordLoad(r.Priority, load) }
	for _, name := range src.carriersFor(r.Needs.Workspace) {
		c, err := src.server.hop.Borrow(name, r)
		src.server.cfg.Metrics.Loan(loanOutcome(err))
		src.recordReach(name, err)
		var unreachable *hop.UnreachableError
		if errors.As(err, &unreachable) && time.Now().Before(r.WaitDeadline) {
			continue
		}
		if err == nil {
			src.activeLoans.Add(1)
		}
		src.recordLoan(name, err)
		return c, err
	}
	return src.local.GetInTime(r.Pool())
}

// loanOutcome returns the metric label for the outcome of a loan request.
func loanOutcome(err error) string {
	var unreachable *hop.UnreachableError
	var lost *hop.LostError
	var full *pool.FullError
	switch {
	case err == nil:
		return "lent"
	case errors.As(err, &unreachable), errors.As(err, &lost):
		return "carrier_lost"
	case errors.As(err, &full) && full.Expected:
		return "queue_too_long"
	case errors.As(err, &full):
		return "none_free"
	}
	return "endpoint_refused"
}

// recordLoan records what the result of Borrow shows about an endpoint: whether its carrier
// reached it. After a *pool.DownError the statement itself does not move on to the next
// carrier: if the endpoint is gone, it would wait there as well.
func (src *source) recordLoan(carrier string, err error) {
	var down *pool.DownError
	isDown := errors.As(err, &down)
	if err != nil && !isDown {
		return
	}
	now := time.Now()
	src.mu.Lock()
	defer src.mu.Unlock()
	src.downUntil = time.Time{}
	if !isDown {
		return
	}
	src.downUntil = now.Add(endpointDownTime)
	if src.skipUntil == nil {
		src.skipUntil = make(map[string]time.Time)
	}
	src.skipUntil[carrier] = now.Add(carrierSkipTime)
}

// recordReach records what the result of Borrow shows about the endpoint's failure domain. A
// carrier there either answers or not; a carrier in this failure domain may not reach the
// endpoint.
func (src *source) recordReach(carrier string, err error) {
	src.mu.Lock()
	crossesDomains := src.crossesDomains
	src.mu.Unlock()
	var down *pool.DownError
	var late *hop.LateError
	if errors.As(err, &late) {
		// The deadline passed before anything was heard.
		return
	}
	now := time.Now()
	switch {
	case !crossesDomains && errors.As(err, &down):
		src.server.reachability.failed(src.server.isInOtherDomain(src.endpoint), now)
	case crossesDomains && src.server.hop.IsDown(carrier):
		src.server.reachability.failed(true, now)
	case crossesDomains:
		src.server.reachability.answered(true, now)
	}
}

// Put returns a connection on which no statement and no transaction is in progress.
func (src *source) Put(c *pool.Conn) {
	if hop.Return(c) {
		src.activeLoans.Add(-1)
		return
	}
	src.local.Put(c)
}

// Discard returns a connection that must not be used again.
func (src *source) Discard(c *pool.Conn) {
	if hop.Discard(c) {
		src.activeLoans.Add(-1)
		return
	}
	src.local.Discard(c)
}

// IsDown reports whether the endpoint is unreachable.
func (src *source) IsDown() bool { return src.State().Down }

// State returns a snapshot of what is known about the endpoint. Where connections are
// borrowed, one always counts as available, and Down follows what carriers report.
func (src *source) State() pool.State {
	state := src.local.State()
	if len(src.lendingCarriers()) == 0 {
		return state
	}
	src.mu.Lock()
	defer src.mu.Unlock()
	state.Down = time.Now().Before(src.downUntil)
	state.HasIdle = true
	state.InFlight += int(src.activeLoans.Load())
	return state
}
