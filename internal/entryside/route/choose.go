package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"hemlockmast/internal/endpointside/endpoint"
)

// MinWait is the shortest wait that is asked for; shorter expectations are below
// what a holder can tell apart.
const MinWait = time.Millisecond

// Choose returns where req goes, or *RefusedError. The slots are not changed.
func Choose(req Request, policy Policy, slots []Slot, random *rand.Rand) (Decision, error) {
	if req.Remaining <= 0 {
		return refuse(ReasonDeadline)
	}
	if req.Bound != "" {
		return bound(req, slots)
	}
	primary := findPrimary(req, slots)
	if req.Class != ClassReadOnly {
		return write(req, primary)
	}
	if policy.Level == LevelPrimary {
		return current(req, primary)
	}
	if !req.Floor.Settled {
		return unknownFloor(primary)
	}
	r := reader{req: req, policy: policy, slots: slots, primary: primary, random: random}
	return r.choose()
}

func refuse(reason Reason) (Decision, error) {
	return Decision{}, &RefusedError{Reason: reason}
}

// bound keeps a transaction on its slot, also while the slot is leaving.
func bound(req Request, slots []Slot) (Decision, error) {
	for _, s := range slots {
		if s.Name == req.Bound {
			return Decision{Action: ActionSend, Slot: s.Name}, nil
		}
	}
	return refuse(ReasonTransactionLost)
}

// findPrimary returns the primary of the highest term that takes work. A
// primary of a term below the floor's is superseded; one of the floor's term or
// above holds the floor.
func findPrimary(req Request, slots []Slot) *Slot {
	var found *Slot
	for i := range slots {
		s := &slots[i]
		if s.Role == endpoint.RolePrimary && (found == nil || s.Term > found.Term) {
			found = s
		}
	}
	if found == nil || !takesWork(req, found) || found.Term < req.Floor.Pos.Term {
		return nil
	}
	return found
}

func takesWork(req Request, s *Slot) bool {
	return !s.Leaving && !s.Suspect && !slices.Contains(req.Tried, s.Name)
}

// write holds a statement through a failover instead of failing it.
func write(req Request, primary *Slot) (Decision, error) {
	if primary == nil {
		return Decision{Action: ActionAwaitPrimary, Wait: req.Remaining}, nil
	}
	return Decision{Action: ActionSend, Slot: primary.Name}, nil
}

func current(req Request, primary *Slot) (Decision, error) {
	if primary == nil {
		return Decision{Action: ActionAwaitPrimary, Wait: req.Remaining}, nil
	}
	return Decision{Action: ActionSend, Slot: primary.Name, Confirm: true}, nil
}

// unknownFloor never reads at a replica: the session may have a write that is
// not known here, whatever age the service accepts.
func unknownFloor(primary *Slot) (Decision, error) {
	if primary == nil {
		return refuse(ReasonFloorUnknown)
	}
	return Decision{Action: ActionAskFloor, Slot: primary.Name, Confirm: true}, nil
}
