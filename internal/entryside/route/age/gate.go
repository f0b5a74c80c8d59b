package age

import "time"

// Thresholds are the ages at which a replica stops and resumes taking reads.
// Readmit must be below Exclude.
type Thresholds struct {
	// Exclude is the age above which a replica is behind.
	Exclude time.Duration
	// Readmit is the age at or below which a replica that was behind may take
	// reads again.
	Readmit time.Duration
	// Hold is how long the age must stay at or below Readmit.
	Hold time.Duration
}

// Gate decides with hysteresis whether a replica is behind. A replica whose age
// fluctuates around a threshold is thus not excluded and readmitted repeatedly.
// The zero Gate is not behind.
type Gate struct {
	behind bool
	// freshSince is the time since which the age has been at or below Readmit.
	// It is zero while the age is above Readmit or unknown.
	freshSince time.Time
}

// Observe updates the gate with the replica's age at now and reports whether the
// replica is behind. An unknown age counts as too old.
func (g *Gate) Observe(now time.Time, thresholds Thresholds, age time.Duration, known bool) bool {
	if !known || age > thresholds.Exclude {
		g.behind = true
	}
	if !known || age > thresholds.Readmit {
		g.freshSince = time.Time{}
		return g.behind
	}
	if g.freshSince.IsZero() {
		g.freshSince = now
	}
	if now.Sub(g.freshSince) >= thresholds.Hold {
		g.behind = false
	}
	return g.behind
}

// Behind reports the result of the last Observe.
func (g *Gate) Behind() bool { return g.behind }
