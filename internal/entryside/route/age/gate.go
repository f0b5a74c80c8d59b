package age

import "time"

// Bounds says when a replica stops taking reads because it is behind, and when
// it takes them again. Return must be below Leave.
type Bounds struct {
	Leave  time.Duration
	Return time.Duration
	// Hold is how long the age must stay at or below Return.
	Hold time.Duration
}

// Gate decides with hysteresis whether a replica is behind, so that one that
// swings around a bound does not come and go. The zero Gate is not behind.
type Gate struct {
	behind bool
	// good is since when the age has been at or below Return; zero if it is not.
	good time.Time
}

// Observe takes the replica's age at now; an unknown age counts as too old. It
// returns whether the replica is behind.
func (g *Gate) Observe(now time.Time, bounds Bounds, age time.Duration, known bool) bool {
	if !known || age > bounds.Leave {
		g.behind = true
	}
	if !known || age > bounds.Return {
		g.good = time.Time{}
		return g.behind
	}
	if g.good.IsZero() {
		g.good = now
	}
	if now.Sub(g.good) >= bounds.Hold {
		g.behind = false
	}
	return g.behind
}

// Behind returns the last decision.
func (g *Gate) Behind() bool { return g.behind }
