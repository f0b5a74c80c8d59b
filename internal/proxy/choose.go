package proxy

import (
	"math/rand/v2"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/fleetview"
	"hemlockmast/internal/proxy/place"
	"hemlockmast/internal/shared/logpos"
)

// choice is what a read's endpoint is chosen from: the targets, and for each its candidate.
type choice struct {
	targets    []target
	candidates []place.Candidate
}

// chooseTarget returns the endpoint that a read of a route and a workspace should try next. tried
// holds the ids of those already tried. It reports false if no endpoint is left.
func (s *Server) chooseTarget(route *fleetpb.Route, workspace string, floor logpos.Pos, tried map[string]bool) (target, bool) {
	sv := s.cfg.View.Snapshot().Service(route.Service)
	if sv == nil {
		return target{}, false
	}
	now := time.Now()
	b := &s.service(route.Service).behaviour
	c := s.choiceOf(sv, route, workspace, now, chooser{source: s.source, behaviour: b, spread: jitter})
	if len(tried) == 0 {
		if i := b.probe(c.candidates, floor, now); i >= 0 {
			return c.targets[i], true
		}
	}
	side := place.AnySide
	if s.weighsCrossing(c) {
		side = s.side(route.Service, b, c, now)
	}
	i := place.ChooseOn(side, c.candidates, floor, func(id string) bool { return tried[id] })
	if i < 0 {
		return target{}, false
	}
	return c.targets[i], true
}

// chooser is what choiceOf depends on: the sources of connections, the service's behaviour, and
// how a wait that was told is spread.
type chooser struct {
	source    func(*fleetpb.Endpoint) *source
	behaviour *behaviour
	spread    func(time.Duration) time.Duration
}

// weighsCrossing reports whether package spill decides which reads leave the failure domain. It
// needs carriers next to the endpoints, which see their whole load and tell it.
func (s *Server) weighsCrossing(c choice) bool {
	return s.cfg.CrossDomainCost > 0 && len(c.targets) > 0 && c.targets[0].pool.isCarriedAtHome()
}

// choiceOf returns the endpoints of a service that may serve a read of a route and a workspace.
func (s *Server) choiceOf(sv *fleetview.Service, route *fleetpb.Route, workspace string, now time.Time, by chooser) choice {
	var c choice
	for _, e := range sv.Endpoints {
		if e.State != fleetpb.EndpointState_ENDPOINT_STATE_READY {
			continue
		}
		src := by.source(e)
		candidate := src.candidate(now)
		candidate.Primary = e.Id == sv.PrimaryID
		candidate.Avoided = by.behaviour.isAvoided(e.Id)
		if s.cfg.CrossDomainCost > 0 && src.isCarriedAtHome() {
			candidate.CrossingCost = time.Duration(s.distance.Load()) + s.cfg.CrossDomainCost
		}
		if load, ok := src.Load(route.Priority, now); ok && s.cfg.CrossDomainCost > 0 && src.isCarriedAtHome() {
			// Entries learn the same load at about the same time. The random part keeps them
			// from all choosing the same endpoint.
			candidate.HasLoad, candidate.Wait = true, by.spread(load.Wait)
			if load.StatementTime > 0 {
				candidate.AvgStatementTime = load.StatementTime
			}
		}
		c.targets = append(c.targets, target{endpoint: e, pool: src, primaryNumber: sv.PrimaryNumber})
		c.candidates = append(c.candidates, candidate)
	}
	preferred := s.preferred(route.Service, workspace, c.targets)
	for i, t := range c.targets {
		c.candidates[i].HasConnection = t.pool.hasConnection(workspace, preferred, c.candidates[i].HasConnection)
	}
	return c
}

// jitter returns half of d to one and a half times d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d+1) }

// candidate returns the endpoint as this daemon sees it.
func (src *source) candidate(now time.Time) place.Candidate {
	state := src.State()
	return place.Candidate{
		ID: src.endpoint.Id, InSameDomain: !src.server.isInOtherDomain(src.endpoint),
		Down: state.Down, Busy: state.Busy, HasConnection: state.HasIdle, KnownPos: state.KnownPos, RecentlyLagged: state.RecentlyLagged,
		InFlight: state.InFlight, Slots: int(src.endpoint.Slots), AvgStatementTime: place.AgedTime(state.AvgTime, now.Sub(state.LastTimed)),
	}
}
