package membership

import (
	"slices"
	"time"
)

// probeNext pings the next daemon of this failure domain. Each round pings every
// daemon once, in random order. Daemons that are Down are pinged too: otherwise two
// daemons that consider each other Down would never recover.
func (s *State) probeNext(now time.Time) Effects {
	for range 2 {
		for len(s.probeOrder) > 0 {
			name := s.probeOrder[0]
			s.probeOrder = s.probeOrder[1:]
			m := s.members[name]
			if m == nil || m.Status == Left || !s.isLocal(m.Member) {
				continue
			}
			return s.ping(now, m, probe{target: name, sentAt: now})
		}
		s.probeOrder = s.localNames()
		s.rand.Shuffle(len(s.probeOrder), func(i, j int) { s.probeOrder[i], s.probeOrder[j] = s.probeOrder[j], s.probeOrder[i] })
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

// checkProbes handles unanswered pings: after ackTimeout it asks other daemons to
// ping the target, after probeTimeout it marks the target as a suspect.
func (s *State) checkProbes(now time.Time) Effects {
	var eff Effects
	for _, id := range s.probeIDs() {
		p := s.probes[id]
		waited := now.Sub(p.sentAt)
		switch {
		case p.requester != "":
			if waited >= probeTimeout {
				delete(s.probes, id)
			}
		case waited >= probeTimeout:
			delete(s.probes, id)
			eff.add(s.markSuspect(now, p.target))
		case waited >= ackTimeout && !p.relaysAsked:
			p.relaysAsked = true
			eff.add(s.requestIndirectPings(now, id, p.target))
		}
	}
	return eff
}

// probeIDs returns the numbers of the unanswered pings, oldest first. The fixed
// order makes effects deterministic.
func (s *State) probeIDs() []uint64 {
	var ids []uint64
	for id := range s.probes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *State) requestIndirectPings(now time.Time, id uint64, target string) Effects {
	var eff Effects
	candidates := s.upMembers(s.self.FailureDomain)
	s.rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	relaysAsked := 0
	for _, m := range candidates {
		if m.Name == target || relaysAsked == relaysPerProbe {
			continue
		}
		relaysAsked++
		eff.add(s.send(now, m, Packet{Kind: PingRequest, Probe: id, Target: target}))
	}
	return eff
}

func (s *State) markSuspect(now time.Time, name string) Effects {
	m := s.members[name]
	if m == nil || m.Status != Alive {
		return Effects{}
	}
	m.Status, m.changedAt, m.sendCount = Suspect, now, 0
	// The suspect is told at once, so that it can refute the suspicion before
	// suspicionTimeout.
	eff := s.send(now, m, Packet{Kind: Gossip, Members: []Aged[Member]{{Record: m.Member}}})
	eff.Changed = true
	return eff
}

// expireSuspects marks suspects of this domain as Down when they did not refute
// the suspicion within suspicionTimeout.
func (s *State) expireSuspects(now time.Time) Effects {
	var eff Effects
	for _, m := range s.byDomain()[s.self.FailureDomain] {
		if m.Status == Suspect && now.Sub(m.changedAt) >= suspicionTimeout {
			m.Status, m.changedAt, m.sendCount = Down, now, 0
			eff.add(s.push(now, true, true))
			eff.Changed = true
		}
	}
	return eff
}

// Receive processes a packet that arrived at now. Packets with an invalid sender
// are dropped.
func (s *State) Receive(now time.Time, p Packet) Effects {
	if p.From.validate() != nil {
		return Effects{}
	}
	if p.From.Name == s.self.Name {
		return s.receiveFromNamesake(now, p)
	}
	eff := s.mergeRecords(now, p.From, p.Members, p.Claims)
	for _, d := range p.Domains {
		s.heardDomain(d.FailureDomain, now.Add(-d.Age))
	}
	eff.add(s.reply(now, p))
	eff.add(s.updateSilentDomains(now))
	return eff
}

// mergeRecords merges the records that one daemon sent, and pushes on what is
// urgent: records from another domain to this domain, and the changed record of a
// sender of this domain to every domain. Other records from a sender of this
// domain are not pushed on, because it pushes them to the whole domain itself.
func (s *State) mergeRecords(now time.Time, from Member, members []Aged[Member], claims []Aged[Claim]) Effects {
	var eff Effects
	senderUrgent := s.mergeMember(now, Aged[Member]{Record: from}, &eff)
	s.heard(now, from)
	urgentRecords := 0
	for _, m := range members {
		if s.mergeMember(now, m, &eff) {
			urgentRecords++
		}
	}
	for _, c := range claims {
		if s.mergeClaim(now, c, &eff) {
			urgentRecords++
		}
	}
	isLocal := s.isLocal(from)
	// A long list is the table that a daemon receives when it joins; the other
	// daemons know these records already.
	pushLocal := senderUrgent || !isLocal && urgentRecords > 0 && urgentRecords <= maxForwardedRecords
	if pushLocal || senderUrgent && isLocal {
		eff.add(s.push(now, pushLocal, senderUrgent && isLocal))
	}
	return eff
}

// heard records that a daemon itself sent a packet or a table.
func (s *State) heard(now time.Time, from Member) {
	s.heardDomain(from.FailureDomain, now)
	if m := s.members[from.Name]; m != nil {
		m.heard = true
	}
}

// heardDomain records that a failure domain was heard at a time, unless a later
// time is known.
func (s *State) heardDomain(domain string, at time.Time) {
	if at.After(s.domainHeardAt[domain]) {
		s.domainHeardAt[domain] = at
	}
}

// reply answers a packet. The answer goes to the address in the packet, not to the
// known address of the sender's name: the sender may be an earlier run or another
// daemon with that name, and must receive the record that is held of the name.
func (s *State) reply(now time.Time, p Packet) Effects {
	known := s.members[p.From.Name]
	if known == nil {
		return Effects{}
	}
	sender := &member{Member: p.From}
	switch p.Kind {
	case Ping:
		return s.send(now, sender, s.withRecord(known, Packet{Kind: Ack, Probe: p.Probe}))
	case Ack:
		return s.handleAck(now, p)
	case PingRequest:
		target := s.members[p.Target]
		if target == nil {
			return Effects{}
		}
		return s.ping(now, target, probe{target: p.Target, sentAt: now, requester: p.From.Name, requesterProbe: p.Probe})
	}
	if known.Status == Down || !known.hasSameAddresses(p.From) {
		return s.send(now, sender, s.withRecord(known, Packet{Kind: Gossip}))
	}
	return Effects{}
}

// withRecord adds the record that is held of a daemon to a packet to it, so that
// the daemon can refute the record.
func (s *State) withRecord(m *member, p Packet) Packet {
	p.Members = append(p.Members, Aged[Member]{Record: m.Member})
	return p
}

// handleAck ends the probe that an ack answers, and forwards the ack if the probe
// was made for another daemon.
func (s *State) handleAck(now time.Time, p Packet) Effects {
	pr := s.probes[p.Probe]
	if pr == nil {
		return Effects{}
	}
	requestingDaemon := s.members[pr.requester]
	if pr.requester != "" && p.From.Name == pr.target {
		delete(s.probes, p.Probe)
		if requestingDaemon == nil {
			return Effects{}
		}
		return s.send(now, requestingDaemon, Packet{Kind: Ack, Probe: pr.requesterProbe, Target: pr.target})
	}
	if p.From.Name == pr.target || p.Target == pr.target {
		delete(s.probes, p.Probe)
	}
	return Effects{}
}

// mergeMember stores a record if it overrides the one that is known, and reports
// whether the change must be pushed at once.
func (s *State) mergeMember(now time.Time, a Aged[Member], eff *Effects) (urgent bool) {
	r := a.Record
	// Incarnation 0 marks a seed that is known from the settings only.
	if r.Incarnation == 0 || r.validate() != nil {
		return false
	}
	if r.Name == s.self.Name {
		eff.add(s.refute(now, r))
		return false
	}
	old := s.members[r.Name]
	if old == nil {
		if len(s.members) >= maxMembers || r.Status >= Down && a.Age > tombstoneRetention {
			return false
		}
		old = &member{Member: Member{Name: r.Name, FailureDomain: r.FailureDomain}}
		s.members[r.Name] = old
		if _, known := s.domainHeardAt[r.FailureDomain]; !known {
			s.domainHeardAt[r.FailureDomain] = now
		}
	} else if !r.overrides(old.Member) {
		return false
	}
	// A suspicion is often refuted, so it is not urgent and travels on regular
	// packets.
	urgent = old.Incarnation != r.Incarnation || r.Status >= Down || old.Status >= Down
	if old.Incarnation != r.Incarnation {
		s.domainIndex = nil // the daemon may be new, or have moved
	}
	old.Member, old.sendCount, old.changedAt = r, 0, now
	if r.Status >= Down {
		old.changedAt = now.Add(-a.Age)
	}
	eff.Changed = true
	return urgent
}
