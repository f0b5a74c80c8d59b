package proxy

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/carrier"
	"hemlockmast/internal/proxy/fleetview"
	"hemlockmast/internal/proxy/hop"
	"hemlockmast/internal/proxy/pool"
)

const (
	// carriersTried is how many carriers are asked for one loan before a connection of
	// this daemon's own is opened: the carrier and its successor.
	carriersTried = 2
	// carriersRanked is how many of the first in the order are asked at all: where none of
	// them lends, something is wrong with more than a VM or two.
	carriersRanked = 4
	// carrierDownPause is how long an endpoint that its carrier does not reach is passed
	// over: the carrier itself tries again about as often.
	carrierDownPause = 250 * time.Millisecond
	// notReachedTime is how long a carrier that does not reach the endpoint is passed over
	// for its successor. A cut may keep one VM from an endpoint that others of its failure
	// domain reach.
	notReachedTime = time.Second
)

// source gives connections to one endpoint: the daemon's own, or loans of the carrier of
// the failure domain.
type source struct {
	// local holds this daemon's own connections, and what answers told of the endpoint.
	local    *pool.Pool
	endpoint *fleetpb.Endpoint
	server   *Server
	// borrowed counts the loans under way.
	borrowed atomic.Int64

	// mu guards the fields below; only hop.Client's lock is taken under it.
	mu sync.Mutex
	// carriers are the entries that may lend, by their claim; empty where connections
	// are not carried.
	carriers []string
	digest   uint64
	// downUntil is until when the endpoint counts as not reached, notReached until when
	// each carrier does not reach it.
	downUntil  time.Time
	notReached map[string]time.Time
}

// follow takes over who carries, and sets the share of this daemon.
func (src *source) follow(p *fleetview.Snapshot, limit uint32, isCarried bool) {
	src.local.SetShare(src.rank(p, limit, isCarried))
}

func (src *source) rank(p *fleetview.Snapshot, limit uint32, isCarried bool) pool.Share {
	src.mu.Lock()
	defer src.mu.Unlock()
	if !isCarried {
		src.carriers, src.digest = nil, 0
		return share(limit, p.EntryCount)
	}
	if src.carriers == nil || src.digest != p.CarriersDigest {
		src.carriers, src.digest = carrier.Rank(src.endpoint.Id, p.Carriers), p.CarriersDigest
		src.notReached = nil
	}
	if !carrier.HasShare(src.carriers, src.server.cfg.Carrier) {
		return pool.Share{MaxOpen: leastBorrowed, IsCarried: true}
	}
	keep := carrier.Share(int(limit), p.DomainCount)
	return pool.Share{KeepOpen: keep, MaxOpen: 2 * keep, IsCarried: true}
}

// lenders returns the carriers to ask, in their order; none when this daemon itself
// should serve.
func (src *source) lenders() []string {
	now := time.Now()
	src.mu.Lock()
	defer src.mu.Unlock()
	var list []string
	for i, name := range src.carriers {
		if name == src.server.cfg.Carrier || len(list) == carriersTried || i == carriersRanked {
			break
		}
		if !now.Before(src.notReached[name]) && !src.server.hop.IsDown(name) {
			list = append(list, name)
		}
	}
	return list
}

// Get returns a connection. Errors: those of pool.Pool.Get. Nothing has run after any.
func (src *source) Get(o hop.BorrowRequest) (*pool.Conn, error) {
	o.Endpoint = src.endpoint.Id
	for _, name := range src.lenders() {
		c, err := src.server.hop.Borrow(name, o)
		src.server.cfg.Metrics.Loan(loanOutcome(err))
		var unreachable *hop.UnreachableError
		if errors.As(err, &unreachable) && time.Now().Before(o.WaitDeadline) {
			continue
		}
		if err == nil {
			src.borrowed.Add(1)
		}
		src.note(name, err)
		return c, err
	}
	return src.local.Get(o.WaitDeadline, o.Priority, o.Needs)
}

// loanOutcome is the label of what came of a loan.
func loanOutcome(err error) string {
	var unreachable *hop.UnreachableError
	var full *pool.FullError
	switch {
	case err == nil:
		return "lent"
	case errors.As(err, &unreachable):
		return "carrier_lost"
	case errors.As(err, &full):
		return "none_free"
	}
	return "endpoint_refused"
}

// note takes over whether a carrier reaches the endpoint. The statement does not go on to
// its successor by itself: where the endpoint is gone, it would wait there as well.
func (src *source) note(carrier string, err error) {
	var down *pool.DownError
	isDown := errors.As(err, &down)
	if err != nil && !isDown {
		return
	}
	now := time.Now()
	if isDown {
		src.server.reach.failed(src.server.isFar(src.endpoint), now)
	}
	src.mu.Lock()
	defer src.mu.Unlock()
	src.downUntil = time.Time{}
	if !isDown {
		return
	}
	src.downUntil = now.Add(carrierDownPause)
	if src.notReached == nil {
		src.notReached = make(map[string]time.Time)
	}
	src.notReached[carrier] = now.Add(notReachedTime)
}

// Put returns a connection on which nothing is in progress.
func (src *source) Put(c *pool.Conn) {
	if hop.Return(c) {
		src.borrowed.Add(-1)
		return
	}
	src.local.Put(c)
}

// Discard gives a connection up.
func (src *source) Discard(c *pool.Conn) {
	if hop.Discard(c) {
		src.borrowed.Add(-1)
		return
	}
	src.local.Discard(c)
}

// IsDown reports whether the endpoint is not reached.
func (src *source) IsDown() bool { return src.State().Down }

// State returns what is known of the endpoint.
func (src *source) State() pool.State {
	state := src.local.State()
	if len(src.lenders()) == 0 {
		return state
	}
	src.mu.Lock()
	defer src.mu.Unlock()
	state.Down = time.Now().Before(src.downUntil)
	state.HasIdle = true
	state.InFlight += int(src.borrowed.Load())
	return state
}

// isCarried decides whether the connections of a service are carried.
func (s *Server) isCarried(p *fleetview.Snapshot, service *fleetpb.Service) bool {
	if s.cfg.Carrier == "" || len(p.Carriers) == 0 || p.DomainCount == 0 {
		return false
	}
	st := s.service(service.Name)
	st.mu.Lock()
	defer st.mu.Unlock()
	was := st.isCarried
	st.isCarried = carrier.IsCarried(int(service.MaxConnections), p.EntryCount, p.DomainCount, was)
	if st.isCarried != was {
		s.log.V(1).Info("connections to a service held otherwise", "service", service.Name, "carried", st.isCarried,
			"limit", service.MaxConnections, "entries", p.EntryCount, "carriers", len(p.Carriers))
	}
	return st.isCarried
}
