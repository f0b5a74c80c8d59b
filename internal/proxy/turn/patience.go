package turn

import "time"

const (
	// impatientDivisor sets the expected wait up to which a statement is queued: the target
	// divided by impatientDivisor. The rest is left for the statement itself and for earlier
	// attempts of the caller, of which this daemon does not know.
	impatientDivisor = 8
	// patientRatio is the ratio of time-out to target from which a route is patient. Below
	// it, so little time is left after the target that a statement which waits beyond it is
	// mostly held in vain.
	patientRatio = 3
	// urgentPriority is the priority whose statements are never patient: they are served
	// before all others, so that a queue of them means that the endpoint is overloaded by
	// them alone, and a retry elsewhere is better.
	urgentPriority = 0
	// impatientWaitPercent is the part of the time-out for which a statement that has not
	// reached an endpoint waits. The rest is left for a retry by the caller, which reaches
	// another daemon.
	impatientWaitPercent = 50
	// patientWaitPercent replaces impatientWaitPercent for patient routes. The rest is left
	// for the statement and the answer's way.
	patientWaitPercent = 75
	// minTargetLeft is the shortest time that messages between entries express.
	minTargetLeft = time.Millisecond
	// patientExpectedPercent is the part of the time-out up to which a patient statement may
	// be expected to wait. It is much less than patientWaitPercent, because statements that
	// arrive later and go first make the wait longer than expected: in pool.TestPeak, 25
	// percent served 58 of 1,003 more and held 307 more in vain.
	patientExpectedPercent = 15
)

// Route is what the decision to wait depends on.
type Route struct {
	// Target is the latency that callers expect; 0 if not known.
	Target time.Duration
	// Timeout bounds a statement.
	Timeout time.Duration
	// Priority is the route's.
	Priority int32
}

// IsPatient reports whether statements of the route may wait beyond their target for a peak
// to pass.
func (r Route) IsPatient() bool {
	return r.Target > 0 && r.Priority > urgentPriority && r.Timeout >= patientRatio*r.Target
}

// MaxWait returns how long a statement may wait without having reached an endpoint.
func (r Route) MaxWait() time.Duration {
	if r.IsPatient() {
		return r.Timeout * patientWaitPercent / 100
	}
	return r.Timeout * impatientWaitPercent / 100
}

// MaxExpectedWait returns the expected wait above which a statement is refused at once.
func (r Route) MaxExpectedWait() time.Duration {
	switch {
	case r.Target <= 0:
		return r.MaxWait()
	case r.IsPatient():
		return r.Timeout * patientExpectedPercent / 100
	}
	return min(r.Target/impatientDivisor, r.MaxWait())
}

// TargetLeft returns the time until the target of a statement that arrived age ago: at least
// minTargetLeft, so that a late statement is not taken for one without a target.
func (r Route) TargetLeft(age time.Duration) time.Duration {
	if r.Target <= 0 {
		return 0
	}
	return max(r.Target-age, minTargetLeft)
}

// Waits reports whether a statement with this expected wait is queued instead of refused.
func (r Route) Waits(expected time.Duration) bool { return expected <= r.MaxExpectedWait() }
