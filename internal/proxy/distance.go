package proxy

import (
	"context"
	"math/rand/v2"
	"time"

	"hemlockmast/internal/proxy/crossing"
	"hemlockmast/internal/shared/netopt"
	"hemlockmast/internal/shared/wait"
)

const (
	// distanceInterval is the time between two measurements of the distance to other failure
	// domains, firstDistanceInterval that until there are enough samples of each.
	distanceInterval      = 5 * time.Second
	firstDistanceInterval = 50 * time.Millisecond
	// distanceTimeout bounds one measurement.
	distanceTimeout = time.Second
)

// WatchDistance measures the round-trip time to the other failure domains until ctx ends. It
// opens a connection to an entry there, because that takes one round trip and no endpoint's slot.
func (s *Server) WatchDistance(ctx context.Context) {
	var estimator crossing.Estimator
	for ctx.Err() == nil {
		interval := distanceInterval
		for domain, entries := range s.cfg.View.Snapshot().Carriers {
			if domain == s.cfg.FailureDomain || len(entries) == 0 {
				continue
			}
			if d, ok := measureDistance(ctx, entries[rand.N(len(entries))]); ok {
				estimator.Add(domain, d)
			}
			if _, ok := estimator.To(domain); !ok {
				interval = firstDistanceInterval
			}
		}
		if usual, ok := estimator.Usual(); ok {
			s.recordDistance(usual)
		} else {
			// No other failure domain is known yet, or none answers.
			interval = min(interval, isolationCheckInterval)
		}
		wait.For(ctx, interval)
	}
}

// measureDistance returns how long it takes to open a connection to an address. It reports false
// if that fails.
func measureDistance(ctx context.Context, address string) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, distanceTimeout)
	defer cancel()
	started := time.Now()
	conn, err := netopt.Dialer().DialContext(ctx, "tcp", address)
	if err != nil {
		// An entry that is out of reach is no sample. Failures are noticed where statements
		// are sent.
		return 0, false
	}
	took := time.Since(started)
	_ = conn.Close()
	return took, true
}

// recordDistance records the usual round-trip time between failure domains, and assigns
// connections anew if that changes whether failure domains count as distant.
func (s *Server) recordDistance(d time.Duration) {
	previous := time.Duration(s.distance.Swap(int64(d)))
	if previous != 0 {
		return
	}
	s.log.Info("distance to other failure domains known", "roundTrip", d.String())
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.applyLocked(s.cfg.View.Snapshot())
}
