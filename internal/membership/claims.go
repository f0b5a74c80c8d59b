package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lapseInterval is how long an endpoint may go without announcing itself to
	// a daemon that it announced itself to.
	lapseInterval = 3 * time.Second
	// claimInterval is between looks for claims that lapsed.
	claimInterval = 500 * time.Millisecond
	// refreshInterval is between news of a claim that only went on.
	refreshInterval = 5 * time.Minute
	// refreshSends is how often such news is sent by each daemon.
	refreshSends = 3
	// claimExpiry is how long a claim counts without news of it.
	claimExpiry = 15 * time.Minute
	// cloneLimit is how long the earlier run of a disk may still be heard after
	// the later one before the disk counts as copied.
	cloneLimit = 2 * time.Second
	// unknownExpiry is how long an unknown slot stays among the problems.
	unknownExpiry = time.Minute
	// maxUnknown bounds the unknown slots that are kept.
	maxUnknown = 64
)

// claim is one record with what this daemon adds to it.
type claim struct {
	Claim
	first time.Time // when it was first heard
	heard time.Time // when its last sequence was heard anywhere
	// direct is when the endpoint last announced itself to this daemon.
	direct time.Time
	spread time.Time // when it last became news
	sends  int
}

type unknownSlot struct {
	address string
	at      time.Time
}

// SetSlots replaces the configured slots.
func (s *State) SetSlots(slots []SlotID) Effects {
	s.slots = map[SlotID]bool{}
	for _, id := range slots {
		s.slots[id] = true
		delete(s.unknown, id)
	}
	return Effects{Changed: true}
}

// Announce takes an announcement that an endpoint made to this daemon. An error
// is an *InvalidError or *UnknownSlotError, and nothing is kept; or a
// *SlotConflictError, and the claim is kept to take over when it can.
func (s *State) Announce(now time.Time, c Claim) (Effects, error) {
	if err := c.check(); err != nil {
		return Effects{}, err
	}
	c.Lapsed = false
	if !s.slots[c.SlotID] {
		if len(s.unknown) < maxUnknown {
			s.unknown[c.SlotID] = unknownSlot{c.Address, now}
		}
		return Effects{Changed: true}, &UnknownSlotError{SlotID: c.SlotID, Address: c.Address}
	}
	var eff Effects
	if s.mergeClaim(now, Aged[Claim]{Record: c}, &eff) {
		eff.add(s.push(now, true, true))
	}
	if cur := s.claims[c.key()]; cur != nil && cur.Sequence == c.Sequence {
		cur.direct = now
	}
	if use, refused := s.choose(c.SlotID); slices.ContainsFunc(refused, func(r *claim) bool { return r.key() == c.key() }) {
		return eff, &SlotConflictError{SlotID: c.SlotID, InUse: use.Address, Refused: c.Address}
	}
	return eff, nil
}

// mergeClaim takes a claim if it is newer than what is known, and reports
// whether it is to be passed on at once.
func (s *State) mergeClaim(now time.Time, a Aged[Claim], eff *Effects) (urgent bool) {
	c := a.Record
	if c.check() != nil || a.Age > claimExpiry {
		return false
	}
	at := now.Add(-a.Age)
	old := s.claims[c.key()]
	switch {
	case old == nil:
		if len(s.claims) >= maxClaims {
			return false
		}
		s.claims[c.key()] = &claim{Claim: c, first: now, heard: at, spread: now}
		eff.Changed = true
		return true
	case c.Sequence < old.Sequence:
		// Someone takes for lapsed what is known to go on.
		if c.Lapsed && !old.Lapsed && now.Sub(old.heard) < lapseInterval {
			old.sends, old.spread = 0, now
			return true
		}
		return false
	case c.Sequence == old.Sequence && (old.Lapsed || !c.Lapsed):
		return false
	}
	urgent = old.Leaving != c.Leaving || old.Lapsed != c.Lapsed
	old.Claim = c
	if at.After(old.heard) {
		old.heard = at
	}
	switch {
	case urgent:
		old.sends, old.spread = 0, now
	case now.Sub(old.spread) >= refreshInterval:
		old.sends, old.spread = s.sendLimit()-refreshSends, now
	}
	eff.Changed = eff.Changed || urgent
	return urgent
}

// checkClaims lapses what this daemon heard itself and hears no more, and drops
// what nobody has heard for long.
func (s *State) checkClaims(now time.Time) Effects {
	var eff Effects
	news := false
	for key, c := range s.claims {
		switch {
		case now.Sub(c.heard) > claimExpiry:
			delete(s.claims, key)
			eff.Changed = true
		case !c.Lapsed && !c.direct.IsZero() && now.Sub(c.direct) > lapseInterval:
			c.direct = time.Time{}
			if now.Sub(c.heard) > lapseInterval {
				c.Lapsed, c.sends, c.spread = true, 0, now
				news = true
			}
		}
	}
	for id, u := range s.unknown {
		if now.Sub(u.at) > unknownExpiry {
			delete(s.unknown, id)
			eff.Changed = true
		}
	}
	if news {
		eff.Changed = true
		eff.add(s.push(now, true, true))
	}
	return eff
}

func (s *State) newsOfClaims() []*claim {
	limit := s.sendLimit()
	var out []*claim
	for _, c := range s.claims {
		if c.sends < limit {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *claim) int {
		return cmp.Or(a.sends-b.sends, compareClaims(a, b))
	})
	return out
}

// compareClaims orders claims by start, then by texts, the same everywhere.
func compareClaims(a, b *claim) int {
	return cmp.Or(
		cmp.Compare(a.Started, b.Started), cmp.Compare(a.Address, b.Address),
		cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Group, b.Group), cmp.Compare(a.Slot, b.Slot),
	)
}

// choose returns the claim in use for a slot, or nil, and the other claims that
// stand against it. All daemons with the same claims choose the same.
//
// Of claims with one address, or one incarnation, the latest start counts: an
// address has one process, a disk has one owner. Between claims that have
// neither in common the earliest start stays in use; one that is leaving comes
// last.
func (s *State) choose(id SlotID) (use *claim, refused []*claim) {
	live := s.liveClaims(id)
	for _, c := range live {
		superseded := slices.ContainsFunc(live, func(o *claim) bool {
			return (o.Address == c.Address || o.Incarnation == c.Incarnation) && compareClaims(o, c) > 0
		})
		if superseded {
			continue
		}
		if use == nil || use.Leaving && !c.Leaving {
			use = c
			continue
		}
		if !c.Leaving {
			refused = append(refused, c)
		}
	}
	return use, refused
}

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
