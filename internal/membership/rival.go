package membership

import "time"

const (
	// rivalTimeout is how long a record of this daemon's name at other addresses
	// stands before it counts as left over from an earlier run.
	rivalTimeout = 2 * time.Second
	// clashExpiry is how long another daemon of this name stays a problem after
	// it was last heard.
	clashExpiry = time.Minute
)

// rival is a record of this daemon's name, newer than this daemon, at other
// addresses: either another daemon, or an earlier run whose clock was ahead.
type rival struct {
	Member
	since time.Time
}

// contradict answers what others hold of this daemon.
func (s *State) contradict(now time.Time, r Member) Effects {
	switch {
	case s.leaving || r.Incarnation < s.self.Incarnation:
		return Effects{}
	case r.Incarnation > s.self.Incarnation && !r.sameProcess(s.self):
		return s.meetRival(now, r)
	case r.Incarnation > s.self.Incarnation:
		return s.outbid(now, r)
	case r.Version < s.self.Version || r.Version == s.self.Version && r.Status == Alive:
		return Effects{}
	}
	s.self.Version = r.Version + 1
	return s.push(now, true, true)
}

func (s *State) outbid(now time.Time, r Member) Effects {
	s.self.Incarnation, s.self.Version = r.Incarnation+1, 0
	return s.push(now, true, true)
}

// meetRival asks the rival whether it lives. To contradict it at once would
// make two living daemons of one name outbid each other for ever.
func (s *State) meetRival(now time.Time, r Member) Effects {
	if s.rival != nil && s.rival.sameProcess(r) {
		s.rival.Incarnation = max(s.rival.Incarnation, r.Incarnation)
		return Effects{}
	}
	s.rival = &rival{Member: r, since: now}
	return s.send(now, &member{Member: r}, Packet{Kind: Ping})
}

// receiveFromRival notes that another daemon with this name lives.
func (s *State) receiveFromRival(now time.Time, p Packet) Effects {
	if p.From.sameProcess(s.self) {
		return Effects{}
	}
	eff := Effects{Changed: s.clash == nil || s.clash.Other != p.From.Heartbeat}
	s.clash = &NameConflictError{Name: s.self.Name, Other: p.From.Heartbeat}
	s.clashHeard, s.rival = now, nil
	if p.Kind == Ping {
		eff.add(s.send(now, &member{Member: p.From}, Packet{Kind: News}))
	}
	return eff
}

// checkRival contradicts a rival that does not answer.
func (s *State) checkRival(now time.Time) Effects {
	if s.clash != nil && now.Sub(s.clashHeard) > clashExpiry {
		s.clash = nil
		return Effects{Changed: true}
	}
	if s.rival == nil || now.Sub(s.rival.since) < rivalTimeout {
		return Effects{}
	}
	r := s.rival.Member
	s.rival = nil
	return s.outbid(now, r)
}
