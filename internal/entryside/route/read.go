package route

import (
	"math/rand/v2"
	"time"

	"hemlockmast/internal/endpointside/endpoint"
)

const (
	// confirmedShare is how many times the outstanding work of the least used
	// eligible replica the confirming replica may have and still be preferred.
	confirmedShare = 2
	// confirmedSlack is outstanding work below which it is always preferred.
	confirmedSlack = 4
)

// reader chooses for one read with a settled floor.
type reader struct {
	req     Request
	policy  Policy
	slots   []Slot
	primary *Slot
	random  *rand.Rand
}

// choose tries, in this order: a replica that meets the floor now, a replica
// that meets it in time, the primary, a replica that left because it was behind,
// and a longer wait for want of a primary.
func (r *reader) choose() (Decision, error) {
	if ready := r.ready(false); len(ready) > 0 {
		return r.send(r.pick(ready)), nil
	}
	waiter, wait := r.soonest()
	if patience := r.patience(waiter); waiter != nil && wait <= patience {
		return r.wait(waiter, patience), nil
	}
	if r.primary != nil {
		return r.atPrimary(), nil
	}
	if behind := r.ready(true); len(behind) > 0 {
		return r.send(r.pick(behind)), nil
	}
	if waiter != nil && wait <= r.req.Remaining {
		return r.wait(waiter, r.req.Remaining), nil
	}
	return r.refuse()
}

func (r *reader) send(s *Slot) Decision {
	return Decision{Action: ActionSend, Slot: s.Name, Floor: r.req.Floor.Pos}
}

func (r *reader) wait(s *Slot, wait time.Duration) Decision {
	return Decision{Action: ActionWait, Slot: s.Name, Wait: wait, Floor: r.req.Floor.Pos}
}

// atPrimary asks for a confirmation where a superseded primary could otherwise
// give data older than stated; floors of its own term it holds in any case.
func (r *reader) atPrimary() Decision {
	return Decision{
		Action:  ActionSend,
		Slot:    r.primary.Name,
		Floor:   r.req.Floor.Pos,
		Confirm: r.policy.Level == LevelAge,
	}
}

// ready returns the replicas that meet the floor and the age now.
func (r *reader) ready(behind bool) []*Slot {
	var out []*Slot
	for i := range r.slots {
		s := &r.slots[i]
		if r.eligible(s, behind) && !s.Applied.Less(r.req.Floor.Pos) {
			out = append(out, s)
		}
	}
	return out
}

// eligible reports whether reads may go to s once it has the floor.
func (r *reader) eligible(s *Slot, behind bool) bool {
	if s.Role != endpoint.RoleReplica || !takesWork(r.req, s) {
		return false
	}
	return r.freshEnough(s) && (behind || !s.Behind)
}

// freshEnough checks the age that the service states.
func (r *reader) freshEnough(s *Slot) bool {
	return r.policy.Level != LevelAge || s.AgeKnown && s.Age <= r.policy.MaxAge
}

// soonest returns the replica that is expected to meet the floor first, and
// when. Of equals the confirming replica is the surest.
func (r *reader) soonest() (*Slot, time.Duration) {
	var found *Slot
	var least time.Duration
	for i := range r.slots {
		s := &r.slots[i]
		if !r.eligible(s, false) {
			continue
		}
		wait := r.expectedWait(s)
		surer := wait == least && s.Name == r.req.Floor.Slot
		if found == nil || wait < least || surer {
			found, least = s, wait
		}
	}
	return found, least
}

// expectedWait is how long s needs to apply the floor. The replica that
// confirmed the write holds it already and has only to apply it.
func (r *reader) expectedWait(s *Slot) time.Duration {
	wait := s.Delay - r.req.FloorAge
	if s.Name == r.req.Floor.Slot || !s.Synced.Less(r.req.Floor.Pos) {
		wait = min(wait, s.ApplyDelay)
	}
	return max(MinWait, wait)
}

// patience is how long a read may wait at s while there is a primary. It waits
// once: an expectation that failed is no reason for another.
func (r *reader) patience(s *Slot) time.Duration {
	if s == nil || len(r.req.Tried) > 0 && r.primary != nil {
		return 0
	}
	limit := min(r.policy.MaxWait, r.req.Remaining)
	if r.policy.Preference == PreferLatency && r.primary != nil {
		limit = min(limit, cost(r.primary)-cost(s))
	}
	return limit
}

// pick spreads reads: the confirming replica first, unless it is busier than the
// rest, else one of two random choices.
func (r *reader) pick(ready []*Slot) *Slot {
	least := ready[0].Outstanding
	var confirmed *Slot
	for _, s := range ready {
		least = min(least, s.Outstanding)
		if s.Name == r.req.Floor.Slot {
			confirmed = s
		}
	}
	if confirmed != nil && confirmed.Outstanding <= confirmedSlack+confirmedShare*least {
		return confirmed
	}
	return twoChoices(ready, r.random)
}

// twoChoices draws two replicas and takes one of them with a chance in inverse
// proportion to its cost. Taking the cheaper one always would send the reads of
// all entries to the same replica while their estimates agree.
func twoChoices(ready []*Slot, random *rand.Rand) *Slot {
	if len(ready) == 1 {
		return ready[0]
	}
	i := random.IntN(len(ready))
	j := random.IntN(len(ready) - 1)
	if j >= i {
		j++
	}
	a, b := ready[i], ready[j]
	costA, costB := float64(cost(a)), float64(cost(b))
	if random.Float64()*(costA+costB) < costB {
		return a
	}
	return b
}

// cost estimates the time of one more statement at s.
func cost(s *Slot) time.Duration {
	const leastLatency = 50 * time.Microsecond
	return max(leastLatency, s.Latency) * time.Duration(s.Outstanding+1)
}

// refuse names what is missing.
func (r *reader) refuse() (Decision, error) {
	working, met := false, false
	for i := range r.slots {
		s := &r.slots[i]
		if s.Role != endpoint.RoleReplica || !takesWork(r.req, s) {
			continue
		}
		working = true
		met = met || !s.Applied.Less(r.req.Floor.Pos)
	}
	if !working {
		return refuse(ReasonNoEndpoint)
	}
	if !met {
		return refuse(ReasonFloorNotMet)
	}
	return refuse(ReasonTooOld)
}
