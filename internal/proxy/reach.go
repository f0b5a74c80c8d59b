package proxy

import (
	"context"
	"sync"
	"time"

	fleetpb "hemlockmast/api/fleet"
)

const (
	// controlSilence is how long no current control daemon has answered in a
	// failure domain that is cut off; a change of the leader takes longer.
	controlSilence = 300 * time.Millisecond
	// farLost is how long no endpoint of another failure domain has answered,
	// while attempts failed, before new callers are led elsewhere. The platform
	// waits for two such answers a second apart, which filters short losses.
	farLost = 300 * time.Millisecond
	// missesToLeave is the number of negative answers in a row after which the
	// platform sends no more callers.
	missesToLeave = 2
	// isolationCheck is how often a change is looked for.
	isolationCheck = 200 * time.Millisecond
)

// reach notes whether endpoints of other failure domains answer.
type reach struct {
	mu sync.Mutex
	// farOK and farFailed are when one answered and failed last.
	farOK, farFailed time.Time
}

func (r *reach) answered(isFar bool, now time.Time) {
	if !isFar {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.farOK = now
}

func (r *reach) failed(isFar bool, now time.Time) {
	if !isFar {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.farFailed = now
}

// isLostFor reports whether the last that was seen of other failure domains is a
// failure, and no answer came for d. A shorter time would make entries flap that
// reach only some endpoints.
func (r *reach) isLostFor(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.farFailed.After(r.farOK) && time.Since(r.farOK) > d
}

func (s *Server) isFar(e *fleetpb.Endpoint) bool { return e.FailureDomain != s.cfg.FailureDomain }

// isolated reports whether this daemon is most likely cut off from the other
// failure domains: neither control nor an endpoint there answers. Callers are
// served better by a daemon elsewhere, which they still reach; those that come
// nevertheless get what the endpoints here can answer.
func (s *Server) isolated() bool {
	return s.cfg.ControlLost() > controlSilence && s.reach.isLostFor(farLost)
}

// misses counts negative answers about readiness in a row.
type misses struct {
	mu sync.Mutex
	n  int
}

func (m *misses) count(ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ready {
		m.n = 0
		return
	}
	m.n++
}

// hasLeft reports whether the platform sends callers elsewhere by now.
func (m *misses) hasLeft() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.n >= missesToLeave
}

// WatchIsolation logs changes, and ends idle sessions of an isolated daemon once
// new ones are led elsewhere, until ctx ends.
func (s *Server) WatchIsolation(ctx context.Context) {
	ticker := time.NewTicker(isolationCheck)
	defer ticker.Stop()
	var since time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		switch isolated := s.isolated(); {
		case !isolated && !since.IsZero():
			s.log.Info("no longer cut off", "after", time.Since(since).String())
			since = time.Time{}
		case isolated && since.IsZero():
			since = time.Now()
			s.log.Info("cut off from other failure domains", "controlLost", s.cfg.ControlLost().String())
		case isolated && s.misses.hasLeft():
			s.endIdle(false, drainQuiet)
		}
	}
}
