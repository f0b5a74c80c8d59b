package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"hemlockmast/internal/endpointside/endpoint"
)

// MinWait is the shortest wait that Choose assumes for a replica that has not
// applied the floor. A holder cannot distinguish shorter waits.
const MinWait = time.Millisecond

// Choose returns the slot to which req goes, or what to do before it can be
// routed. The error is *RefusedError. Choose does not modify slots.
func Choose(req Request, policy Policy, slots []Slot, random *rand.Rand) (Decision, error) {
	if req.Remaining <= 0 {
		return refuse(ReasonDeadline)
	}
	if req.TxSlot != "" {
		return chooseTxSlot(req, slots)
	}
	primary := findPrimary(req, slots)
	if req.Class != ClassReadOnly {
		return chooseForWrite(req, primary)
	}
	if policy.Level == LevelPrimary {
		return chooseForPrimaryRead(req, primary)
	}
	if !req.Floor.Settled {
		return chooseForUnknownFloor(primary)
	}
	r := readChooser{req: req, policy: policy, slots: slots, primary: primary, random: random}
	return r.choose()
}

func refuse(reason Reason) (Decision, error) {
	return Decision{}, &RefusedError{Reason: reason}
}

// chooseTxSlot keeps a transaction on its slot, even while the slot is leaving.
func chooseTxSlot(req Request, slots []Slot) (Decision, error) {
	for _, s := range slots {
		if s.Name == req.TxSlot {
			return Decision{Action: ActionSend, Slot: s.Name}, nil
		}
	}
	return refuse(ReasonTransactionLost)
}

// findPrimary returns the primary of the highest term, or nil if there is none,
// or if that primary takes no work or is superseded. A primary whose term is
// below the floor's term is superseded. A primary of the floor's term or a later
// one has every record up to the floor.
func findPrimary(req Request, slots []Slot) *Slot {
	var found *Slot
	for i := range slots {
		s := &slots[i]
		if s.Role == endpoint.RolePrimary && (found == nil || s.Term > found.Term) {
			found = s
		}
	}
	if found == nil || !acceptsWork(req, found) || found.Term < req.Floor.Pos.Term {
		return nil
	}
	return found
}

// acceptsWork reports whether s may be chosen for new work of req.
func acceptsWork(req Request, s *Slot) bool {
	return !s.Leaving && !s.Suspect && !slices.Contains(req.Tried, s.Name)
}

// chooseForWrite sends a write to the primary. During a failover the write
// waits for a primary instead of failing.
func chooseForWrite(req Request, primary *Slot) (Decision, error) {
	if primary == nil {
		return Decision{Action: ActionAwaitPrimary, Wait: req.Remaining}, nil
	}
	return Decision{Action: ActionSend, Slot: primary.Name}, nil
}

// chooseForPrimaryRead sends a read of LevelPrimary to the primary, whose term
// must be confirmed. Without a primary the read waits.
func chooseForPrimaryRead(req Request, primary *Slot) (Decision, error) {
	if primary == nil {
		return Decision{Action: ActionAwaitPrimary, Wait: req.Remaining}, nil
	}
	return Decision{Action: ActionSend, Slot: primary.Name, Confirm: true}, nil
}

// chooseForUnknownFloor never sends the read to a replica: the session may have
// a write that this entry does not know of. This holds at LevelAge too,
// whatever age the service accepts.
func chooseForUnknownFloor(primary *Slot) (Decision, error) {
	if primary == nil {
		return refuse(ReasonFloorUnknown)
	}
	return Decision{Action: ActionAskFloor, Slot: primary.Name, Confirm: true}, nil
}
