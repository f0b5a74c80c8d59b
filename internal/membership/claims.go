package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lapseTimeout is how long an endpoint may go without an announcement to a
	// daemon that it announced itself to before its claim lapses.
	lapseTimeout = 3 * time.Second
	// claimCheckInterval is the time between checks for claims to lapse or remove.
	claimCheckInterval = 500 * time.Millisecond
	// refreshInterval is the time after which a claim of which only the sequence
	// has grown is sent again.
	refreshInterval = 5 * time.Minute
	// refreshSends is how often each daemon sends such a refresh.
	refreshSends = 3
	// claimExpiry is how long a claim is kept without a new sequence.
	claimExpiry = 15 * time.Minute
	// diskCopyGrace is how long after the later run of a disk was first heard the
	// earlier run may still announce itself. Beyond it the disk counts as copied.
	diskCopyGrace = 2 * time.Second
	// unknownSlotExpiry is how long an announcement of an unknown slot is reported
	// as a problem.
	unknownSlotExpiry = time.Minute
	// maxUnknownSlots bounds the unknown slots that are kept.
	maxUnknownSlots = 64
)

// claim is an endpoint's claim with this daemon's own notes on it.
type claim struct {
	Claim
	firstHeardAt time.Time // when it was first heard
	heardAt      time.Time // when any daemon last heard a new sequence of it
	// announcedAt is when the endpoint last announced itself to this daemon; zero
	// if it did not, or stopped doing so.
	announcedAt time.Time
	queuedAt    time.Time // when sendCount was last set back to spread a change or refresh
	sendCount   int
}

// unknownSlot is the last announcement of a slot that is not configured.
type unknownSlot struct {
	address    string
	reportedAt time.Time
}

// SetSlots replaces the list of configured slots.
func (s *State) SetSlots(slots []SlotID) Effects {
	s.slots = map[SlotID]bool{}
	for _, id := range slots {
		s.slots[id] = true
		delete(s.unknownSlots, id)
	}
	return Effects{Changed: true}
}

// Announce processes an announcement that an endpoint made to this daemon. With
// an *InvalidError or *UnknownSlotError the claim is discarded. With a
// *SlotConflictError it is kept, and takes over when the slot becomes free.
func (s *State) Announce(now time.Time, c Claim) (Effects, error) {
	if err := c.validate(); err != nil {
		return Effects{}, err
	}
	c.Lapsed = false
	if !s.slots[c.SlotID] {
		if len(s.unknownSlots) < maxUnknownSlots {
			s.unknownSlots[c.SlotID] = unknownSlot{c.Address, now}
		}
		return Effects{Changed: true}, &UnknownSlotError{SlotID: c.SlotID, Address: c.Address}
	}
	var eff Effects
	if s.mergeClaim(now, Aged[Claim]{Record: c}, &eff) {
		eff.add(s.push(now, true, true))
	}
	if cur := s.claims[c.key()]; cur != nil && cur.Sequence == c.Sequence {
		cur.announcedAt = now
	}
	if inUse, refused := s.chooseClaim(c.SlotID); slices.ContainsFunc(refused, func(r *claim) bool { return r.key() == c.key() }) {
		return eff, &SlotConflictError{SlotID: c.SlotID, InUse: inUse.Address, Refused: c.Address}
	}
	return eff, nil
}

// mergeClaim stores a claim if it is newer than the one that is known, and reports
// whether a claim must be pushed at once.
func (s *State) mergeClaim(now time.Time, a Aged[Claim], eff *Effects) (urgent bool) {
	c := a.Record
	if c.validate() != nil || a.Age > claimExpiry {
		return false
	}
	at := now.Add(-a.Age)
	old := s.claims[c.key()]
	switch {
	case old == nil:
		if len(s.claims) >= maxClaims {
			return false
		}
		s.claims[c.key()] = &claim{Claim: c, firstHeardAt: now, heardAt: at, queuedAt: now}
		eff.Changed = true
		return true
	case c.Sequence < old.Sequence:
		// The sender considers the claim lapsed, but this daemon has heard a later
		// sequence of it: send that again.
		if c.Lapsed && !old.Lapsed && now.Sub(old.heardAt) < lapseTimeout {
			old.sendCount, old.queuedAt = 0, now
			return true
		}
		return false
	case c.Sequence == old.Sequence && (old.Lapsed || !c.Lapsed):
		return false
	}
	urgent = old.Leaving != c.Leaving || old.Lapsed != c.Lapsed
	old.Claim = c
	if at.After(old.heardAt) {
		old.heardAt = at
	}
	switch {
	case urgent:
		old.sendCount, old.queuedAt = 0, now
	case now.Sub(old.queuedAt) >= refreshInterval:
		old.sendCount, old.queuedAt = s.sendLimit()-refreshSends, now
	}
	eff.Changed = eff.Changed || urgent
	return urgent
}

// expireClaims marks claims as lapsed when their endpoint has stopped announcing
// itself to this daemon and no other daemon has heard a new sequence either. It
// removes claims after claimExpiry and unknown slots after unknownSlotExpiry.
func (s *State) expireClaims(now time.Time) Effects {
	var eff Effects
	lapsed := false
	for key, c := range s.claims {
		switch {
		case now.Sub(c.heardAt) > claimExpiry:
			delete(s.claims, key)
			eff.Changed = true
		case !c.Lapsed && !c.announcedAt.IsZero() && now.Sub(c.announcedAt) > lapseTimeout:
			c.announcedAt = time.Time{}
			if now.Sub(c.heardAt) > lapseTimeout {
				c.Lapsed, c.sendCount, c.queuedAt = true, 0, now
				lapsed = true
			}
		}
	}
	for id, u := range s.unknownSlots {
		if now.Sub(u.reportedAt) > unknownSlotExpiry {
			delete(s.unknownSlots, id)
			eff.Changed = true
		}
	}
	if lapsed {
		eff.Changed = true
		eff.add(s.push(now, true, true))
	}
	return eff
}

// pendingClaims returns the claims that were not yet sent sendLimit times, least
// sent first.
func (s *State) pendingClaims() []*claim {
	limit := s.sendLimit()
	var out []*claim
	for _, c := range s.claims {
		if c.sendCount < limit {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *claim) int {
		return cmp.Or(a.sendCount-b.sendCount, compareClaims(a, b))
	})
	return out
}

// compareClaims orders claims by start, then by their other fields, so that all
// daemons use the same order.
func compareClaims(a, b *claim) int {
	return cmp.Or(
		cmp.Compare(a.Started, b.Started), cmp.Compare(a.Address, b.Address),
		cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Group, b.Group), cmp.Compare(a.Slot, b.Slot),
	)
}

// chooseClaim returns the claim in use for a slot, or nil, and the claims that are
// refused in its favor. All daemons with the same claims choose the same.
//
// Of claims with the same address or the same incarnation only the one with the
// latest start counts, because an address has one process and a disk has one
// owner. Between claims that share neither, the one with the earliest start is in
// use. A claim that is leaving is in use only if there is none that stays, and is
// never listed as refused.
func (s *State) chooseClaim(id SlotID) (inUse *claim, refused []*claim) {
	live := s.liveClaims(id)
	for _, c := range live {
		superseded := slices.ContainsFunc(live, func(o *claim) bool {
			return (o.Address == c.Address || o.Incarnation == c.Incarnation) && compareClaims(o, c) > 0
		})
		if superseded {
			continue
		}
		if inUse == nil || inUse.Leaving && !c.Leaving {
			inUse = c
			continue
		}
		if !c.Leaving {
			refused = append(refused, c)
		}
	}
	return inUse, refused
}

// liveClaims returns the claims of a slot that have not lapsed, in the order of
// compareClaims.
func (s *State) liveClaims(id SlotID) []*claim {
	var live []*claim
	for _, c := range s.claims {
		if c.SlotID == id && !c.Lapsed {
			live = append(live, c)
		}
	}
	slices.SortFunc(live, compareClaims)
	return live
}
