package route

import (
	"math/rand/v2"
	"time"

	"hemlockmast/internal/endpointside/endpoint"
)

const (
	// confirmingLoadFactor and confirmingLoadSlack limit how many outstanding
	// statements the confirming replica may have and still be preferred. The
	// limit is confirmingLoadFactor times the lowest number that any ready
	// replica has, plus confirmingLoadSlack.
	confirmingLoadFactor = 2
	// With confirmingLoadSlack statements or fewer the confirming replica is
	// always preferred.
	confirmingLoadSlack = 4
)

// readChooser chooses the slot for one read whose floor is settled. The
// confirming replica is the one that confirmed the session's last write,
// Floor.Slot.
type readChooser struct {
	req     Request
	policy  Policy
	slots   []Slot
	primary *Slot
	random  *rand.Rand
}

// choose tries the following in order: a replica that meets the floor now; a
// replica that is expected to meet it within the wait limit; the primary. If
// there is no primary, it goes on with a replica that meets the floor but is
// excluded because it is behind, and then with a replica that is expected to
// meet the floor before the deadline.
func (r *readChooser) choose() (Decision, error) {
	if ready := r.ready(false); len(ready) > 0 {
		return r.send(r.pickReplica(ready)), nil
	}
	soonest, wait := r.soonestReplica()
	if waitLimit := r.waitLimit(soonest); soonest != nil && wait <= waitLimit {
		return r.wait(soonest, waitLimit), nil
	}
	if r.primary != nil {
		return r.sendToPrimary(), nil
	}
	if behindReplicas := r.ready(true); len(behindReplicas) > 0 {
		return r.send(r.pickReplica(behindReplicas)), nil
	}
	if soonest != nil && wait <= r.req.Remaining {
		return r.wait(soonest, r.req.Remaining), nil
	}
	return r.refuse()
}

func (r *readChooser) send(s *Slot) Decision {
	return Decision{Action: ActionSend, Slot: s.Name, Floor: r.req.Floor.Pos}
}

func (r *readChooser) wait(s *Slot, wait time.Duration) Decision {
	return Decision{Action: ActionSendAndWait, Slot: s.Name, Wait: wait, Floor: r.req.Floor.Pos}
}

// sendToPrimary asks for a confirmation of the term at LevelAge, because a
// superseded primary could return data older than the service accepts. The
// floor needs no confirmation: findPrimary returns only primaries that hold it.
func (r *readChooser) sendToPrimary() Decision {
	return Decision{
		Action:  ActionSend,
		Slot:    r.primary.Name,
		Floor:   r.req.Floor.Pos,
		Confirm: r.policy.Level == LevelAge,
	}
}

// ready returns the replicas that meet both the floor and the age limit now.
func (r *readChooser) ready(includeBehind bool) []*Slot {
	var out []*Slot
	for i := range r.slots {
		s := &r.slots[i]
		if r.eligible(s, includeBehind) && !s.Applied.Less(r.req.Floor.Pos) {
			out = append(out, s)
		}
	}
	return out
}

// eligible reports whether reads may go to s once it has applied the floor.
func (r *readChooser) eligible(s *Slot, includeBehind bool) bool {
	if s.Role != endpoint.RoleReplica || !acceptsWork(r.req, s) {
		return false
	}
	return r.withinMaxAge(s) && (includeBehind || !s.Behind)
}

// withinMaxAge reports whether the data of s meets the service's age limit, if
// it has one.
func (r *readChooser) withinMaxAge(s *Slot) bool {
	return r.policy.Level != LevelAge || s.AgeKnown && s.Age <= r.policy.MaxAge
}

// soonestReplica returns the replica that is expected to meet the floor first,
// and the expected wait. The confirming replica wins a tie, because it is
// certain to hold the floor.
func (r *readChooser) soonestReplica() (*Slot, time.Duration) {
	var found *Slot
	var shortest time.Duration
	for i := range r.slots {
		s := &r.slots[i]
		if !r.eligible(s, false) {
			continue
		}
		wait := r.expectedWait(s)
		winsTie := wait == shortest && s.Name == r.req.Floor.Slot
		if found == nil || wait < shortest || winsTie {
			found, shortest = s, wait
		}
	}
	return found, shortest
}

// expectedWait estimates how long s needs to apply the floor. The confirming
// replica, and any other that has synced the floor, only has to apply it.
func (r *readChooser) expectedWait(s *Slot) time.Duration {
	wait := s.ReplicationDelay - r.req.FloorAge
	if s.Name == r.req.Floor.Slot || !s.Synced.Less(r.req.Floor.Pos) {
		wait = min(wait, s.ApplyDelay)
	}
	return max(MinWait, wait)
}

// waitLimit returns how long the read may wait at s. While there is a primary
// the read waits at one replica only: if that replica did not meet the floor in
// time, the read does not wait at another. With PreferLatency it waits no longer
// than the time by which s is expected to be faster than the primary.
func (r *readChooser) waitLimit(s *Slot) time.Duration {
	if s == nil || len(r.req.Tried) > 0 && r.primary != nil {
		return 0
	}
	limit := min(r.policy.MaxWait, r.req.Remaining)
	if r.policy.Preference == PreferLatency && r.primary != nil {
		limit = min(limit, cost(r.primary)-cost(s))
	}
	return limit
}

// pickReplica distributes reads over the ready replicas. It prefers the
// confirming replica unless that is much busier than the others, and otherwise
// picks one of two random replicas.
func (r *readChooser) pickReplica(ready []*Slot) *Slot {
	leastOutstanding := ready[0].Outstanding
	var confirming *Slot
	for _, s := range ready {
		leastOutstanding = min(leastOutstanding, s.Outstanding)
		if s.Name == r.req.Floor.Slot {
			confirming = s
		}
	}
	if confirming != nil && confirming.Outstanding <= confirmingLoadSlack+confirmingLoadFactor*leastOutstanding {
		return confirming
	}
	return pickOfTwo(ready, r.random)
}

// pickOfTwo draws two replicas at random and picks one of them with a
// probability inversely proportional to its cost. Always picking the cheaper
// one would send the reads of all entries to the same replica while their
// estimates agree.
func pickOfTwo(ready []*Slot, random *rand.Rand) *Slot {
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

// cost estimates the time that one more statement takes at s.
func cost(s *Slot) time.Duration {
	// minLatency is assumed for a slot with a lower latency or none measured.
	const minLatency = 50 * time.Microsecond
	return max(minLatency, s.Latency) * time.Duration(s.Outstanding+1)
}

// refuse returns a refusal. Its reason is the first condition that no replica
// meets: that it takes work, that it has applied the floor, or that its data is
// within the age limit.
func (r *readChooser) refuse() (Decision, error) {
	anyAcceptsWork, anyMeetsFloor := false, false
	for i := range r.slots {
		s := &r.slots[i]
		if s.Role != endpoint.RoleReplica || !acceptsWork(r.req, s) {
			continue
		}
		anyAcceptsWork = true
		anyMeetsFloor = anyMeetsFloor || !s.Applied.Less(r.req.Floor.Pos)
	}
	if !anyAcceptsWork {
		return refuse(ReasonNoEndpoint)
	}
	if !anyMeetsFloor {
		return refuse(ReasonFloorNotMet)
	}
	return refuse(ReasonTooOld)
}
