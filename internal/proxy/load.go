package proxy

import (
	"math"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/place"
	"hemlockmast/internal/proxy/pool"
)

const (
	// loadValidity is how long a load counts as known after a carrier told it. Queues of
	// statements fill and empty within less.
	loadValidity = time.Second
	// maxLoads bounds the priorities for which a source remembers loads.
	maxLoads = 16
)

// toldLoad is a load with the time when a carrier told it.
type toldLoad struct {
	pool.Load
	at time.Time
}

// recordLoad records the load that a carrier told for a priority.
func (src *source) recordLoad(priority int32, load pool.Load) {
	src.mu.Lock()
	defer src.mu.Unlock()
	if src.loads == nil || len(src.loads) >= maxLoads {
		src.loads = make(map[int32]toldLoad)
	}
	src.loads[priority] = toldLoad{Load: load, at: time.Now()}
}

// Load returns the load for a new statement of a priority. It reports false if it is not
// known: no carrier told it within loadValidity, or connections are not carried.
func (src *source) Load(priority int32, now time.Time) (pool.Load, bool) {
	told, ok := src.toldLoad(priority, now)
	return told.Load, ok
}

// toldLoad returns what Load does, with the time when the load was told.
func (src *source) toldLoad(priority int32, now time.Time) (toldLoad, bool) {
	if src.isOwnCarrier() {
		return toldLoad{Load: src.local.Load(priority), at: now}, true
	}
	src.mu.Lock()
	defer src.mu.Unlock()
	told, ok := src.loads[priority]
	return told, ok && now.Sub(told.at) < loadValidity
}

// worstLoad returns the load for a statement of the least urgent priority that is known.
func (src *source) worstLoad(now time.Time) (load toldLoad, isKnown bool) {
	if src.isOwnCarrier() {
		return toldLoad{Load: src.local.Load(math.MaxInt32), at: now}, true
	}
	src.mu.Lock()
	defer src.mu.Unlock()
	for _, told := range src.loads {
		if now.Sub(told.at) < loadValidity && (!isKnown || told.Wait > load.Wait) {
			load, isKnown = told, true
		}
	}
	return load, isKnown
}

// roundTrip returns the time of a message to the endpoint's carrier and its answer; 0 when not
// known.
func (src *source) roundTrip() time.Duration {
	if names := src.lendingCarriers(); len(names) > 0 {
		return src.server.hop.RoundTrip(names[0])
	}
	return 0
}

// isOwnCarrier reports whether this daemon is the carrier that it asks first.
func (src *source) isOwnCarrier() bool {
	src.mu.Lock()
	defer src.mu.Unlock()
	return len(src.carriers) > 0 && src.carriers[0] == src.server.cfg.Carrier
}

// observeQueueRefusal counts a statement that was refused because of its expected wait.
func (s *Server) observeQueueRefusal(route *fleetpb.Route, err error) {
	var full *pool.FullError
	if asFull(err, &full) && full.Expected {
		s.cfg.Metrics.QueueRefused(route.Priority)
	}
}

// hedgeDelay returns how long to wait for the answer to a read before it is also sent to another
// endpoint. A read that waits for its turn as long as expected is not hedged: it would be run
// twice while endpoints are full.
func (r *request) hedgeDelay(t target) time.Duration {
	delay := place.HedgeDelay(t.pool.State().AvgTime)
	if load, ok := t.pool.Load(r.route.Priority, time.Now()); ok {
		delay += load.Wait
	}
	return delay
}
