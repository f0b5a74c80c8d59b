package proxy

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hemlockmast/internal/proxy/fleetview"
	"hemlockmast/internal/proxy/health"
	"hemlockmast/internal/proxy/place"
	"hemlockmast/internal/proxy/spill"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

const (
	// maxStepGap is the time without reads of a service after which the share of reads that
	// leave the failure domain starts from 0.
	maxStepGap = 2 * time.Second
	// minLogInterval is the minimum time between two log lines about one service, except for
	// the first after a change of the other kind.
	minLogInterval = time.Second
)

// behaviour is how the endpoints of a service behave as this daemon sees it, and which share of
// the reads leaves the failure domain for that.
type behaviour struct {
	// mu guards the fields below; no other lock is taken while it is held.
	mu     sync.Mutex
	health health.Service
	spill  spill.Controller
	// steppedAt is when spill was last updated. needsProbe is set until the next read is sent
	// away to ask for the load there.
	steppedAt  time.Time
	needsProbe bool
	// loggedAt is when the beginning of leaving was last logged, isLogged whether it was for
	// the present time of leaving.
	loggedAt time.Time
	isLogged bool
}

func (b *behaviour) isAvoided(endpoint string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.health.IsAvoided(endpoint)
}

// probe returns the index of an avoided candidate to which a read should be sent as a probe, or
// -1 for none.
func (b *behaviour) probe(candidates []place.Candidate, floor logpos.Pos, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.dueProbe(candidates, floor, now)
	if i >= 0 {
		b.health.TakeProbe(candidates[i].ID, now)
	}
	return i
}

// dueProbe returns what probe does, without counting the probe as sent. mu must be held.
func (b *behaviour) dueProbe(candidates []place.Candidate, floor logpos.Pos, now time.Time) int {
	for i, c := range candidates {
		lags := c.RecentlyLagged && c.KnownPos.Less(floor)
		if c.Avoided && !c.Down && !lags && b.health.IsProbeDue(c.ID, now) {
			return i
		}
	}
	return -1
}

// behaved records the outcome of a statement at an endpoint.
func (s *Server) behaved(t target, isFailure bool) {
	b := &s.service(t.endpoint.Service).behaviour
	b.mu.Lock()
	before := b.health.AvoidedCount()
	change := b.health.Record(t.endpoint.Id, isFailure, time.Now())
	share := b.health.Share(t.endpoint.Id)
	changed := b.health.AvoidedCount() - before
	b.mu.Unlock()
	if changed != 0 {
		s.cfg.Metrics.EndpointsAvoided(int(s.avoidedEndpoints.Add(int64(changed))))
	}
	switch change {
	case health.Avoided:
		s.log.Info("endpoint avoided for reads", "endpoint", t.endpoint.Id, "service", t.endpoint.Service, "failedShare", share)
	case health.Released:
		s.log.Info("avoided endpoints used for reads again, others fail as well", "service", t.endpoint.Service, "endpoints", -changed)
	case health.UsedAgain:
		s.log.Info("endpoint used for reads again", "endpoint", t.endpoint.Id, "service", t.endpoint.Service)
	}
}

// forgetEndpoints forgets how endpoints behaved that are gone.
func (s *Server) forgetEndpoints(st *serviceState, sv *fleetview.Service) {
	known := make(map[string]bool, len(sv.Endpoints))
	for _, e := range sv.Endpoints {
		known[e.Id] = true
	}
	b := &st.behaviour
	b.mu.Lock()
	before := b.health.AvoidedCount()
	b.health.SetEndpoints(known)
	forgotten := before - b.health.AvoidedCount()
	b.mu.Unlock()
	if forgotten > 0 {
		s.cfg.Metrics.EndpointsAvoided(int(s.avoidedEndpoints.Add(int64(-forgotten))))
	}
}

// mayReadElsewhere reports whether a read that an endpoint failed may be tried at another one:
// the endpoint is avoided because it fails statements that others do not.
func (r *request) mayReadElsewhere(t target, e *stmt.Error) bool {
	return e.Code == stmt.CodeFailed && r.ss.server.service(t.endpoint.Service).behaviour.isAvoided(t.endpoint.Id)
}

// side returns where a read of a service should go.
func (s *Server) side(service string, b *behaviour, c choice, now time.Time) place.Side {
	b.mu.Lock()
	isDue := b.isStepDue(now)
	b.mu.Unlock()
	if isDue {
		s.stepSpill(service, b, c, now)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	hasHome := c.hasHome()
	side := sideOf(hasHome, b.needsProbe, b.spill.Share(), rand.Float64())
	if hasHome {
		b.needsProbe = false
	}
	return side
}

// sideOf returns where a read should go. draw is a random number in [0, 1).
func sideOf(hasHome, needsProbe bool, share, draw float64) place.Side {
	switch {
	case !hasHome:
		return place.AnySide
	case needsProbe, draw < share:
		return place.Away
	}
	return place.Home
}

// hasHome reports whether a replica is in this failure domain. The primary alone is no place to keep
// reads: they would delay the statements that only it can run.
func (c choice) hasHome() bool {
	return slices.ContainsFunc(c.candidates, func(candidate place.Candidate) bool { return candidate.InSameDomain && !candidate.Primary })
}

// isStepDue reports whether the share of the reads that leave has to be updated. mu must be held.
func (b *behaviour) isStepDue(now time.Time) bool { return now.Sub(b.steppedAt) >= spill.StepInterval }

// nextStep returns the share's next step without taking it. mu must be held.
func (b *behaviour) nextStep(home, away spill.Side, cost time.Duration, now time.Time) (spill.Controller, spill.Decision) {
	next := b.spill
	if now.Sub(b.steppedAt) > maxStepGap {
		next.Reset()
	}
	d := next.Step(home, away, cost, now)
	return next, d
}

// stepSpill updates the share of the reads that leave the failure domain.
func (s *Server) stepSpill(service string, b *behaviour, c choice, now time.Time) {
	home, away := c.load(true, now), c.load(false, now)
	b.mu.Lock()
	if !b.isStepDue(now) {
		b.mu.Unlock()
		return
	}
	var d spill.Decision
	b.spill, d = b.nextStep(home, away, s.cfg.CrossDomainCost, now)
	b.steppedAt = now
	b.needsProbe = d.NeedsProbe
	isLogged := d.Ended && b.isLogged
	if d.Began && now.Sub(b.loggedAt) >= minLogInterval {
		isLogged, b.isLogged, b.loggedAt = true, true, now
	}
	if d.Ended {
		b.isLogged = false
	}
	b.mu.Unlock()
	s.cfg.Metrics.AwayShare(service, d.Share)
	if !isLogged {
		return
	}
	message := "reads leave the failure domain"
	if d.Ended {
		message = "reads no longer leave the failure domain"
	}
	s.log.Info(message, "service", service, "share", d.Share, "homeKnown", home.IsKnown, "homeWait", home.Wait.String(),
		"homeStatement", home.StatementTime.String(), "awayKnown", away.IsKnown, "awayWait", away.Wait.String(),
		"awayStatement", away.StatementTime.String(), "roundTrip", (away.RoundTrip - home.RoundTrip).String(),
		"cost", s.cfg.CrossDomainCost.String())
}

// load returns the load of the least loaded endpoint in this failure domain, or in others. The
// primary counts as loaded twice, as for package place.
func (c choice) load(isHome bool, now time.Time) spill.Side {
	var best spill.Side
	for i, candidate := range c.candidates {
		if candidate.InSameDomain != isHome || candidate.Down || candidate.Avoided {
			continue
		}
		best.IsUsable = true
		src := c.targets[i].pool
		load, ok := src.worstLoad(now)
		if !ok {
			continue
		}
		side := spill.Side{
			Wait: load.Wait, StatementTime: place.StatementTime(load.StatementTime), RoundTrip: src.roundTrip(),
			ToldAt: load.at, IsUsable: true, IsKnown: true,
		}
		if candidate.Primary {
			side.Wait *= place.PrimaryCostFactor
			side.StatementTime *= place.PrimaryCostFactor
		}
		if !best.IsKnown || side.Wait+side.StatementTime < best.Wait+best.StatementTime {
			best = side
		}
	}
	return best
}
