package membership

import "time"

const (
	// namesakeTimeout is how long a namesake has to answer a ping before its record
	// counts as left over from an earlier run of this daemon.
	namesakeTimeout = 2 * time.Second
	// nameConflictExpiry is how long another daemon of this name is reported as a
	// problem after it was last heard.
	nameConflictExpiry = time.Minute
)

// namesake is a record with this daemon's name but other addresses and a higher
// incarnation. It is either another daemon that was given the same name, or an
// earlier run of this daemon whose clock was ahead.
type namesake struct {
	Member
	since time.Time // when the ping was sent
}

// refute responds to a record that others hold of this daemon. If the record would
// override the daemon's own, it makes its own record newer and pushes it; a record
// with other addresses is checked with pingNamesake first.
func (s *State) refute(now time.Time, r Member) Effects {
	switch {
	case s.leaving || r.Incarnation < s.self.Incarnation:
		return Effects{}
	case r.Incarnation > s.self.Incarnation && !r.hasSameAddresses(s.self):
		return s.pingNamesake(now, r)
	case r.Incarnation > s.self.Incarnation:
		return s.raiseIncarnation(now, r)
	case r.Version < s.self.Version || r.Version == s.self.Version && r.Status == Alive:
		return Effects{}
	}
	s.self.Version = r.Version + 1
	return s.push(now, true, true)
}

// raiseIncarnation makes this daemon's record newer than r, which has a higher
// incarnation, and pushes it.
func (s *State) raiseIncarnation(now time.Time, r Member) Effects {
	s.self.Incarnation, s.self.Version = r.Incarnation+1, 0
	return s.push(now, true, true)
}

// pingNamesake pings the namesake to find out whether it is running. The daemon
// must not raise its incarnation at once: two running daemons of one name would
// go on overriding each other's record forever.
func (s *State) pingNamesake(now time.Time, r Member) Effects {
	if s.namesake != nil && s.namesake.hasSameAddresses(r) {
		s.namesake.Incarnation = max(s.namesake.Incarnation, r.Incarnation)
		return Effects{}
	}
	s.namesake = &namesake{Member: r, since: now}
	return s.send(now, &member{Member: r}, Packet{Kind: Ping})
}

// receiveFromNamesake processes a packet from another running daemon with this
// name: it records the name conflict and answers a ping. Packets with this
// daemon's own addresses are ignored.
func (s *State) receiveFromNamesake(now time.Time, p Packet) Effects {
	if p.From.hasSameAddresses(s.self) {
		return Effects{}
	}
	eff := Effects{Changed: s.nameConflict == nil || s.nameConflict.Other != p.From.Heartbeat}
	s.nameConflict = &NameConflictError{Name: s.self.Name, Other: p.From.Heartbeat}
	s.nameConflictHeardAt, s.namesake = now, nil
	if p.Kind == Ping {
		eff.add(s.send(now, &member{Member: p.From}, Packet{Kind: Gossip}))
	}
	return eff
}

// checkNamesake overrides the record of a namesake that did not answer within
// namesakeTimeout, and removes an expired name conflict.
func (s *State) checkNamesake(now time.Time) Effects {
	if s.nameConflict != nil && now.Sub(s.nameConflictHeardAt) > nameConflictExpiry {
		s.nameConflict = nil
		return Effects{Changed: true}
	}
	if s.namesake == nil || now.Sub(s.namesake.since) < namesakeTimeout {
		return Effects{}
	}
	r := s.namesake.Member
	s.namesake = nil
	return s.raiseIncarnation(now, r)
}
