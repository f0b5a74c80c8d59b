package membership

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// packetBytes is the estimated size up to which records are added to a
	// packet, so that it fits a datagram of an ordinary network.
	packetBytes = 1100
	// recordBytes is the estimated size of a record without its texts.
	recordBytes = 40
	// maxSends is above every limit of repeated sending.
	maxSends = 1 << 20
	// minSends is how often a change is sent by each daemon at least; the
	// logarithm of the number of members comes on top. A daemon expects to hear a
	// change as often as each one sends it.
	minSends = 4
	// maxPush bounds the daemons of this domain that a change is pushed to.
	maxPush = 128
	// maxPushedNews bounds the records of one table that are pushed on.
	maxPushedNews = 8
)

// sendLimit is how often this daemon repeats a change.
func (s *State) sendLimit() int { return minSends + bits.Len(uint(len(s.members))) }

// send addresses a packet to a member and fills it with news.
func (s *State) send(now time.Time, to *member, p Packet) Effects {
	p.From = s.self
	s.fill(now, &p)
	return Effects{Send: []Send{{To: to.Heartbeat, Packet: p}}}
}

// fill adds the news that was sent least.
func (s *State) fill(now time.Time, p *Packet) {
	for _, d := range s.domains() {
		if at, ok := s.heardFrom[d]; ok {
			p.Domains = append(p.Domains, DomainAge{FailureDomain: d, Age: now.Sub(at)})
		}
	}
	p.Domains = append(p.Domains, DomainAge{FailureDomain: s.self.FailureDomain})
	left := packetBytes
	for _, m := range s.newsOfMembers() {
		if left -= memberBytes(m.Member); left < 0 {
			return
		}
		m.sends++
		p.Members = append(p.Members, Aged[Member]{Record: m.Member, Age: now.Sub(m.changed)})
	}
	for _, c := range s.newsOfClaims() {
		if left -= claimBytes(c.Claim); left < 0 {
			return
		}
		c.sends++
		p.Claims = append(p.Claims, Aged[Claim]{Record: c.Claim, Age: now.Sub(c.heard)})
	}
}

func memberBytes(m Member) int {
	n := recordBytes + len(m.Name) + len(m.FailureDomain) + len(m.Heartbeat) + len(m.Admin) + len(m.Link)
	for _, r := range m.Roles {
		n += len(r) + 2
	}
	return n
}

func claimBytes(c Claim) int {
	return recordBytes + len(c.Group) + len(c.Slot) + len(c.Address) + len(c.Incarnation)
}

func (s *State) newsOfMembers() []*member {
	limit := s.sendLimit()
	var out []*member
	for _, m := range s.members {
		if m.Incarnation > 0 && m.sends < limit {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *member) int {
		if a.sends != b.sends {
			return a.sends - b.sends
		}
		return compareText(a.Name, b.Name)
	})
	return out
}

// push sends news at once, the same to all: to this domain if inside is set, and
// to one daemon of each other domain if outside is set.
func (s *State) push(now time.Time, inside, outside bool) Effects {
	var to []*member
	if inside {
		to = s.up(s.self.FailureDomain)
		to = to[:min(len(to), maxPush)]
	}
	if outside {
		for _, d := range s.domains() {
			if m := s.pickIn(d); m != nil {
				to = append(to, m)
			}
		}
	}
	p := Packet{Kind: News, From: s.self}
	s.fill(now, &p)
	var eff Effects
	for _, m := range to {
		eff.Send = append(eff.Send, Send{To: m.Heartbeat, Packet: p})
	}
	return eff
}

// pickIn returns one daemon of a domain at random, one that is up if possible.
func (s *State) pickIn(domain string) *member {
	ms := s.up(domain)
	if len(ms) == 0 {
		return nil
	}
	return ms[s.rand.IntN(len(ms))]
}

// speaker reports whether this daemon talks to the other domains: it is one of
// the first of its domain by name that are up.
func (s *State) speaker() bool {
	before := 0
	for _, m := range s.up(s.self.FailureDomain) {
		if m.Status == Alive && m.Name < s.self.Name {
			before++
		}
	}
	return before < speakers
}

// summaries sends news to one daemon of each other domain. In a silent domain
// every daemon is tried in turn, also those that were down when it fell silent.
func (s *State) summaries(now time.Time) Effects {
	var eff Effects
	if !s.speaker() {
		return eff
	}
	for _, d := range s.domains() {
		m := s.pickIn(d)
		if s.silent[d] || m == nil {
			m = s.inTurn(d)
		}
		if m != nil {
			eff.add(s.send(now, m, s.tell(m, Packet{Kind: News})))
		}
	}
	return eff
}

func (s *State) inTurn(domain string) *member {
	ms := s.byDomain()[domain]
	for range ms {
		s.summaryTurn++
		if m := ms[s.summaryTurn%len(ms)]; m.Status != Left {
			return m
		}
	}
	return nil
}
