// Package health decides which endpoints of a service to avoid for reads because they fail a
// part of their statements, although they can be reached and their health checks pass. An
// endpoint is compared with the others of its service: a statement that fails everywhere says
// nothing about an endpoint. An avoided endpoint gets a probe now and then, and is used again
// when several probes in a row were answered. The package does no I/O and has no clock.
package health

import (
	"math"
	"time"
)

const (
	// halfLife is how long a statement counts until its weight is halved.
	// An entry may send an endpoint only two or three statements a second.
	halfLife = 5 * time.Second
	// minWeight and minFailures are the weights of statements and of failures below which a
	// share of failures says little.
	minWeight   = 8
	minFailures = 2.5
	// avoidShare is the share of failures from which an endpoint is avoided, if it is also
	// avoidFactor times the share of the others of its service.
	avoidShare  = 0.15
	avoidFactor = 3
	// probeInterval is the time between two probes of an avoided endpoint. Up to all of them
	// fail, at the cost of one read a second and entry.
	probeInterval = time.Second
	// minProbes is how many probes in a row must be answered before the endpoint is used
	// again. If it is avoided again within relapseTime, that number doubles up to maxProbes: an
	// endpoint that fails 40 % of its statements answers five in a row once in 13 tries.
	minProbes   = 5
	maxProbes   = 20
	relapseTime = 30 * time.Second
)

// Service holds what is known about the endpoints of one service. It is not safe for
// concurrent use.
type Service struct {
	endpoints map[string]*record
	// known is the number of the service's endpoints.
	known int
}

// record is what is known about one endpoint.
type record struct {
	// failures and total are the weights of failed and of all statements at the time at. While
	// the endpoint is avoided they are those that decided it.
	failures, total float64
	at              time.Time
	isAvoided       bool
	lastProbe       time.Time
	// answered counts the probes answered in a row, needed how many are needed.
	answered, needed int
	// usedAgainAt is when the endpoint was last used again.
	usedAgainAt time.Time
}

// Change is a decision about an endpoint.
type Change int

// Changes.
const (
	Unchanged Change = iota
	// Avoided: the endpoint is avoided from now on.
	Avoided
	// UsedAgain: the endpoint is used again from now on.
	UsedAgain
	// Released: avoided endpoints are used again, because others fail as well.
	Released
)

// decay weights down what was recorded before now.
func (r *record) decay(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
		r.failures *= factor
		r.total *= factor
		r.at = now
	}
}

// share returns the share of failures.
func (r *record) share() float64 {
	if r.total == 0 {
		return 0
	}
	return r.failures / r.total
}

// Record records the outcome of a statement at an endpoint.
func (s *Service) Record(endpoint string, isFailure bool, now time.Time) Change {
	r := s.endpoints[endpoint]
	if r == nil {
		if s.endpoints == nil {
			s.endpoints = make(map[string]*record)
		}
		r = &record{at: now}
		s.endpoints[endpoint] = r
	}
	if r.isAvoided {
		return r.probed(isFailure, now)
	}
	r.decay(now)
	r.total++
	if isFailure {
		r.failures++
	}
	if !isFailure || !r.isBad() {
		return Unchanged
	}
	if !s.isOutlier(endpoint, r, now) {
		return s.release(r, now)
	}
	r.avoid(now)
	return Avoided
}

func (r *record) avoid(now time.Time) {
	if !r.usedAgainAt.IsZero() && now.Sub(r.usedAgainAt) < relapseTime {
		r.needed = min(2*r.needed, maxProbes)
	} else {
		r.needed = minProbes
	}
	r.isAvoided, r.answered, r.lastProbe = true, 0, now
}

// probed records the outcome of a statement at an avoided endpoint.
func (r *record) probed(isFailure bool, now time.Time) Change {
	if isFailure {
		r.answered = 0
		return Unchanged
	}
	r.answered++
	if r.answered < r.needed {
		return Unchanged
	}
	r.isAvoided, r.usedAgainAt = false, now
	r.failures, r.total, r.at = 0, 0, now
	return UsedAgain
}

// isBad reports whether an endpoint fails a large part of its statements.
func (r *record) isBad() bool {
	return r.total >= minWeight && r.failures >= minFailures && r.share() >= avoidShare
}

// isOutlier reports whether an endpoint fails statements while others do not. The last endpoint
// in use is none. Where little is known of the others in use, because nearly all reads go to
// this one, those that are avoided count as well.
func (s *Service) isOutlier(endpoint string, r *record, now time.Time) bool {
	if s.known-s.AvoidedCount() < 2 {
		return false
	}
	var failures, total, avoidedFailures, avoidedTotal float64
	for id, o := range s.endpoints {
		switch {
		case id == endpoint:
		case o.isAvoided:
			avoidedFailures += o.failures
			avoidedTotal += o.total
		default:
			o.decay(now)
			failures += o.failures
			total += o.total
		}
	}
	if total < minWeight {
		failures, total = failures+avoidedFailures, total+avoidedTotal
	}
	return total == 0 || r.share() >= avoidFactor*failures/total
}

// release uses avoided endpoints again that are not worse than one in use, which is bad: the
// statements are then at fault, or all endpoints.
func (s *Service) release(inUse *record, now time.Time) Change {
	change := Unchanged
	for _, o := range s.endpoints {
		if o.isAvoided && o.share() < avoidFactor*inUse.share() {
			o.isAvoided, o.usedAgainAt = false, now
			change = Released
		}
	}
	return change
}

// IsAvoided reports whether an endpoint is avoided.
func (s *Service) IsAvoided(endpoint string) bool {
	r := s.endpoints[endpoint]
	return r != nil && r.isAvoided
}

// AvoidedCount returns how many endpoints are avoided.
func (s *Service) AvoidedCount() int {
	n := 0
	for _, r := range s.endpoints {
		if r.isAvoided {
			n++
		}
	}
	return n
}

// Share returns the share of failures of an endpoint.
func (s *Service) Share(endpoint string) float64 {
	if r := s.endpoints[endpoint]; r != nil {
		return r.share()
	}
	return 0
}

// IsProbeDue reports whether a read should be sent to an avoided endpoint as a probe.
func (s *Service) IsProbeDue(endpoint string, now time.Time) bool {
	r := s.endpoints[endpoint]
	return r != nil && r.isAvoided && now.Sub(r.lastProbe) >= probeInterval
}

// TakeProbe does the same as IsProbeDue, and counts the probe as sent.
func (s *Service) TakeProbe(endpoint string, now time.Time) bool {
	if !s.IsProbeDue(endpoint, now) {
		return false
	}
	s.endpoints[endpoint].lastProbe = now
	return true
}

// SetEndpoints sets the service's endpoints and forgets all others.
func (s *Service) SetEndpoints(known map[string]bool) {
	s.known = len(known)
	for id := range s.endpoints {
		if !known[id] {
			delete(s.endpoints, id)
		}
	}
}
