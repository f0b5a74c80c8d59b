package membership

import (
	"slices"
	"time"
)

// probeNext pings the next daemon of this failure domain. Each round asks every
// one once, in random order. Daemons that are down are asked too, so that two
// that hold each other for down meet again.
func (s *State) probeNext(now time.Time) Effects {
	for range 2 {
		for len(s.order) > 0 {
			name := s.order[0]
			s.order = s.order[1:]
			m := s.members[name]
			if m == nil || m.Status == Left || !s.local(m.Member) {
				continue
			}
			return s.ping(now, m, probe{target: name, sent: now})
		}
		s.order = s.localNames()
		s.rand.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
	}
	return Effects{}
}

func (s *State) localNames() []string {
	var out []string
	for _, m := range s.byDomain()[s.self.FailureDomain] {
		if m.Status != Left {
			out = append(out, m.Name)
		}
	}
	return out
}

func (s *State) ping(now time.Time, m *member, p probe) Effects {
	s.lastProbe++
	s.probes[s.lastProbe] = &p
	return s.send(now, m, Packet{Kind: Ping, Probe: s.lastProbe})
}

// checkProbes asks others to ping who does not answer, and then suspects.
func (s *State) checkProbes(now time.Time) Effects {
	var eff Effects
	for _, id := range s.probeIDs() {
		p := s.probes[id]
		waited := now.Sub(p.sent)
		switch {
		case p.relayFor != "":
			if waited >= probeTimeout {
				delete(s.probes, id)
			}
		case waited >= probeTimeout:
			delete(s.probes, id)
			eff.add(s.suspect(now, p.target))
		case waited >= ackTimeout && !p.asked:
			p.asked = true
			eff.add(s.askRelays(now, id, p.target))
		}
	}
	return eff
}

// probeIDs returns the numbers of the pings on their way, oldest first, so that
// equal events give equal effects.
func (s *State) probeIDs() []uint64 {
	var ids []uint64
	for id := range s.probes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *State) askRelays(now time.Time, id uint64, target string) Effects {
	var eff Effects
	others := s.up(s.self.FailureDomain)
	s.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	asked := 0
	for _, m := range others {
		if m.Name == target || asked == relays {
			continue
		}
		asked++
		eff.add(s.send(now, m, Packet{Kind: PingRequest, Probe: id, Target: target}))
	}
	return eff
}

func (s *State) suspect(now time.Time, name string) Effects {
	m := s.members[name]
	if m == nil || m.Status != Alive {
		return Effects{}
	}
	m.Status, m.changed, m.sends = Suspect, now, 0
	// Told at once, the suspect can contradict before it is given up.
	eff := s.send(now, m, Packet{Kind: News, Members: []Aged[Member]{{Record: m.Member}}})
	eff.Changed = true
	return eff
}

// checkSuspects gives up daemons of this domain that did not contradict.
func (s *State) checkSuspects(now time.Time) Effects {
	var eff Effects
	for _, m := range s.byDomain()[s.self.FailureDomain] {
		if m.Status == Suspect && now.Sub(m.changed) >= suspicionTimeout {
			m.Status, m.changed, m.sends = Down, now, 0
			eff.add(s.push(now, true, true))
			eff.Changed = true
		}
	}
	return eff
}

// Receive takes a packet that arrived at now.
func (s *State) Receive(now time.Time, p Packet) Effects {
	if p.From.check() != nil {
		return Effects{}
	}
	if p.From.Name == s.self.Name {
		return s.receiveFromRival(now, p)
	}
	eff := s.mergeRecords(now, p.From, p.Members, p.Claims)
	for _, d := range p.Domains {
		s.heardDomain(d.FailureDomain, now.Add(-d.Age))
	}
	eff.add(s.answer(now, p))
	eff.add(s.checkDomains(now))
	return eff
}

// mergeRecords takes what one daemon told and passes on at once what is urgent:
// to this domain what came from outside, and to everyone what a daemon of this
// domain says of itself. The rest of the domain was told by the same sender.
func (s *State) mergeRecords(now time.Time, from Member, members []Aged[Member], claims []Aged[Claim]) Effects {
	var eff Effects
	first := s.mergeMember(now, Aged[Member]{Record: from}, &eff)
	s.heard(now, from)
	news := 0
	for _, m := range members {
		if s.mergeMember(now, m, &eff) {
			news++
		}
	}
	for _, c := range claims {
		if s.mergeClaim(now, c, &eff) {
			news++
		}
	}
	local := s.local(from)
	// A long list is what a daemon learns when it joins: others know it.
	inside := first || !local && news > 0 && news <= maxPushedNews
	if inside || first && local {
		eff.add(s.push(now, inside, first && local))
	}
	return eff
}

// heard notes that a daemon sent something itself.
func (s *State) heard(now time.Time, from Member) {
	s.heardDomain(from.FailureDomain, now)
	if m := s.members[from.Name]; m != nil {
		m.heard = true
	}
}

func (s *State) heardDomain(domain string, at time.Time) {
	if at.After(s.heardFrom[domain]) {
		s.heardFrom[domain] = at
	}
}

// answer replies to the address that the sender names, not to the one that is
// known for its name: the sender may be an older run or another daemon, and is
// told what is held of that name.
func (s *State) answer(now time.Time, p Packet) Effects {
	known := s.members[p.From.Name]
	if known == nil {
		return Effects{}
	}
	sender := &member{Member: p.From}
	switch p.Kind {
	case Ping:
		return s.send(now, sender, s.tell(known, Packet{Kind: Ack, Probe: p.Probe}))
	case Ack:
		return s.acked(now, p)
	case PingRequest:
		target := s.members[p.Target]
		if target == nil {
			return Effects{}
		}
		return s.ping(now, target, probe{target: p.Target, sent: now, relayFor: p.From.Name, relayProbe: p.Probe})
	}
	if known.Status == Down || !known.sameProcess(p.From) {
		return s.send(now, sender, s.tell(known, Packet{Kind: News}))
	}
	return Effects{}
}

// tell adds what is held of a daemon, so that it can contradict.
func (s *State) tell(m *member, p Packet) Packet {
	p.Members = append(p.Members, Aged[Member]{Record: m.Member})
	return p
}

func (s *State) acked(now time.Time, p Packet) Effects {
	pr := s.probes[p.Probe]
	if pr == nil {
		return Effects{}
	}
	relay := s.members[pr.relayFor]
	if pr.relayFor != "" && p.From.Name == pr.target {
		delete(s.probes, p.Probe)
		if relay == nil {
			return Effects{}
		}
		return s.send(now, relay, Packet{Kind: Ack, Probe: pr.relayProbe, Target: pr.target})
	}
	if p.From.Name == pr.target || p.Target == pr.target {
		delete(s.probes, p.Probe)
	}
	return Effects{}
}

// mergeMember takes a record if it overrides the one that is known, and reports
// whether it is to be passed on at once.
func (s *State) mergeMember(now time.Time, a Aged[Member], eff *Effects) (urgent bool) {
	r := a.Record
	// Incarnation 0 stands for a daemon of which only the settings are known.
	if r.Incarnation == 0 || r.check() != nil {
		return false
	}
	if r.Name == s.self.Name {
		eff.add(s.contradict(now, r))
		return false
	}
	old := s.members[r.Name]
	if old == nil {
		if len(s.members) >= maxMembers || r.Status >= Down && a.Age > forgetInterval {
			return false
		}
		old = &member{Member: Member{Name: r.Name, FailureDomain: r.FailureDomain}}
		s.members[r.Name] = old
		if _, known := s.heardFrom[r.FailureDomain]; !known {
			s.heardFrom[r.FailureDomain] = now
		}
	} else if !r.newer(old.Member) {
		return false
	}
	// Suspicion alone waits for the usual packets: it is often contradicted.
	urgent = old.Incarnation != r.Incarnation || r.Status >= Down || old.Status >= Down
	if old.Incarnation != r.Incarnation {
		s.index = nil // the daemon may be new, or have moved
	}
	old.Member, old.sends, old.changed = r, 0, now
	if r.Status >= Down {
		old.changed = now.Add(-a.Age)
	}
	eff.Changed = true
	return urgent
}
