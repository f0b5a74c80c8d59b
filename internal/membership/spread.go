package membership

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// gossipBudgetBytes is the estimated size up to which records are added to a
	// packet, so that it fits one datagram on an ordinary network.
	gossipBudgetBytes = 1100
	// recordOverheadBytes is the estimated size of a record without its strings.
	recordOverheadBytes = 40
	// sendsExhausted is a sendCount above every send limit: the record is not sent
	// until it changes.
	sendsExhausted = 1 << 20
	// baseSendLimit is the least number of times that each daemon sends a change;
	// sendLimit adds the logarithm of the number of members. On average a daemon
	// receives a change as many times as each daemon sends it.
	baseSendLimit = 4
	// maxPushTargets bounds the daemons of its own domain that a daemon pushes a
	// change to.
	maxPushTargets = 128
	// maxForwardedRecords is the largest number of urgent records in a packet or
	// table from another domain with which it is pushed on.
	maxForwardedRecords = 8
)

// sendLimit is the number of times that this daemon sends a change.
func (s *State) sendLimit() int { return baseSendLimit + bits.Len(uint(len(s.members))) }

// send returns a packet to a member, with pending updates added.
func (s *State) send(now time.Time, to *member, p Packet) Effects {
	p.From = s.self
	s.addUpdates(now, &p)
	return Effects{Outgoing: []Outgoing{{To: to.Heartbeat, Packet: p}}}
}

// addUpdates adds the ages of the failure domains and, up to gossipBudgetBytes,
// the pending records that were sent least often.
func (s *State) addUpdates(now time.Time, p *Packet) {
	for _, d := range s.otherDomains() {
		if at, ok := s.domainHeardAt[d]; ok {
			p.Domains = append(p.Domains, DomainAge{FailureDomain: d, Age: now.Sub(at)})
		}
	}
	p.Domains = append(p.Domains, DomainAge{FailureDomain: s.self.FailureDomain})
	remaining := gossipBudgetBytes
	for _, m := range s.pendingMembers() {
		if remaining -= estimateMemberBytes(m.Member); remaining < 0 {
			return
		}
		m.sendCount++
		p.Members = append(p.Members, Aged[Member]{Record: m.Member, Age: now.Sub(m.changedAt)})
	}
	for _, c := range s.pendingClaims() {
		if remaining -= estimateClaimBytes(c.Claim); remaining < 0 {
			return
		}
		c.sendCount++
		p.Claims = append(p.Claims, Aged[Claim]{Record: c.Claim, Age: now.Sub(c.heardAt)})
	}
}

func estimateMemberBytes(m Member) int {
	n := recordOverheadBytes + len(m.Name) + len(m.FailureDomain) + len(m.Heartbeat) + len(m.Admin) + len(m.Link)
	for _, r := range m.Roles {
		n += len(r) + 2
	}
	return n
}

func estimateClaimBytes(c Claim) int {
	return recordOverheadBytes + len(c.Group) + len(c.Slot) + len(c.Address) + len(c.Incarnation)
}

// pendingMembers returns the members whose change was not yet sent sendLimit times,
// least sent first.
func (s *State) pendingMembers() []*member {
	limit := s.sendLimit()
	var out []*member
	for _, m := range s.members {
		if m.Incarnation > 0 && m.sendCount < limit {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *member) int {
		if a.sendCount != b.sendCount {
			return a.sendCount - b.sendCount
		}
		return compareText(a.Name, b.Name)
	})
	return out
}

// push sends the pending updates at once in the same packet to several daemons: up
// to maxPushTargets of this domain if toOwnDomain is set, and one daemon of each
// other domain if toOtherDomains is set.
func (s *State) push(now time.Time, toOwnDomain, toOtherDomains bool) Effects {
	var to []*member
	if toOwnDomain {
		to = s.upMembers(s.self.FailureDomain)
		to = to[:min(len(to), maxPushTargets)]
	}
	if toOtherDomains {
		for _, d := range s.otherDomains() {
			if m := s.pickUpMember(d); m != nil {
				to = append(to, m)
			}
		}
	}
	p := Packet{Kind: Gossip, From: s.self}
	s.addUpdates(now, &p)
	var eff Effects
	for _, m := range to {
		eff.Outgoing = append(eff.Outgoing, Outgoing{To: m.Heartbeat, Packet: p})
	}
	return eff
}

// pickUpMember returns a random daemon of a domain that is up, or nil if none is.
func (s *State) pickUpMember(domain string) *member {
	ms := s.upMembers(domain)
	if len(ms) == 0 {
		return nil
	}
	return ms[s.rand.IntN(len(ms))]
}

// isGateway reports whether this daemon gossips with the other domains. The
// gateways are the first gatewaysPerDomain daemons of a domain by name that are
// Alive.
func (s *State) isGateway() bool {
	precedingDaemons := 0
	for _, m := range s.upMembers(s.self.FailureDomain) {
		if m.Status == Alive && m.Name < s.self.Name {
			precedingDaemons++
		}
	}
	return precedingDaemons < gatewaysPerDomain
}

// gossipAcrossDomains sends updates to one daemon of each other domain. In a silent
// domain it tries every daemon in turn, including those that were Down when the
// domain became silent.
func (s *State) gossipAcrossDomains(now time.Time) Effects {
	var eff Effects
	if !s.isGateway() {
		return eff
	}
	for _, d := range s.otherDomains() {
		m := s.pickUpMember(d)
		if s.silent[d] || m == nil {
			m = s.nextInRotation(d)
		}
		if m != nil {
			eff.add(s.send(now, m, s.withRecord(m, Packet{Kind: Gossip})))
		}
	}
	return eff
}

// nextInRotation returns the domain's next daemon that has not Left, or nil.
func (s *State) nextInRotation(domain string) *member {
	ms := s.byDomain()[domain]
	for range ms {
		s.rotationIndex++
		if m := ms[s.rotationIndex%len(ms)]; m.Status != Left {
			return m
		}
	}
	return nil
}
