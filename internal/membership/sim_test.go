package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// packetDelay is the one-way delay of every packet.
const packetDelay = 2 * time.Millisecond

// node is one simulated daemon.
type node struct {
	*State
	stopped bool // a stopped node neither ticks nor receives
}

// sim runs daemons' states over a virtual clock and network. It is deterministic:
// the same calls with the same seed give the same run.
type sim struct {
	t      testing.TB
	now    time.Time
	rand   *rand.Rand
	nodes  map[string]*node // by heartbeat address
	names  []string         // heartbeat addresses, in order of start
	queue  []queuedPacket
	loss   float64 // probability that a packet is lost
	isCut  func(from, to Member) bool
	sent   int
	bytes  int
	starts uint64
}

type queuedPacket struct {
	at       time.Time
	from, to string
	packet   Packet
}

var slots = []SlotID{{"g", "s1"}, {"g", "s2"}}

func daemon(name, domain string) Member {
	return Member{Name: name, FailureDomain: domain, Heartbeat: name + ":1", Admin: name + ":2", Link: name + ":3"}
}

// newSim starts perDomain daemons in each of four failure domains.
func newSim(t testing.TB, perDomain int, seed uint64) *sim {
	return newSimOf(t, []string{"a", "b", "c", "d"}, perDomain, seed)
}

// newSimOf starts perDomain daemons in each of the failure domains. The seeds of
// each are the first daemons of the domains a and b.
func newSimOf(t testing.TB, domains []string, perDomain int, seed uint64) *sim {
	s := &sim{t: t, now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{},
		isCut: func(Member, Member) bool { return false }}
	for _, d := range domains {
		for i := range perDomain {
			s.start(daemon(fmt.Sprintf("%s%d", d, i), d))
		}
	}
	return s
}

func (s *sim) start(m Member) *node {
	s.starts++
	if m.Incarnation == 0 {
		m.Incarnation = s.starts
	}
	n := &node{State: New(Config{Self: m, Rand: rand.New(rand.NewPCG(s.starts, 2)),
		Seeds: []Member{daemon("a0", "a"), daemon("b0", "b")}})}
	n.SetSlots(slots)
	if s.nodes[m.Heartbeat] == nil {
		s.names = append(s.names, m.Heartbeat)
	}
	s.nodes[m.Heartbeat] = n
	return n
}

func (s *sim) node(name string) *node { return s.nodes[name+":1"] }

func (s *sim) apply(n *node, eff Effects) {
	for _, send := range eff.Outgoing {
		s.sent++
		s.bytes += send.Packet.bytes()
		if s.rand.Float64() >= s.loss {
			s.queue = append(s.queue, queuedPacket{s.now.Add(packetDelay), n.Self().Heartbeat, send.To, send.Packet})
		}
	}
	for _, admin := range eff.ExchangeWith {
		for _, addr := range s.names {
			o := s.nodes[addr]
			if o.Self().Admin == admin && !o.stopped && !s.isCut(n.Self(), o.Self()) && !s.isCut(o.Self(), n.Self()) {
				s.exchange(n, o)
			}
		}
	}
}

func (s *sim) exchange(n, o *node) {
	eff, differ := o.Merge(s.now, n.Digest())
	s.apply(o, eff)
	if !differ {
		return
	}
	eff, _ = n.Merge(s.now, o.Full(s.now))
	s.apply(n, eff)
	eff, _ = o.Merge(s.now, n.Full(s.now))
	s.apply(o, eff)
}

// step delivers the packets of one tick interval and then ticks every daemon.
func (s *sim) step() {
	end := s.now.Add(TickInterval)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		q := s.queue[0]
		s.queue = s.queue[1:]
		s.now = q.at
		n, from := s.nodes[q.to], s.nodes[q.from]
		if n == nil || n.stopped || s.isCut(from.Self(), n.Self()) {
			continue
		}
		s.apply(n, n.Receive(s.now, q.packet))
	}
	s.now = end
	for _, addr := range s.names {
		if n := s.nodes[addr]; !n.stopped {
			s.apply(n, n.Tick(s.now))
		}
	}
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// within steps until ok holds and returns the virtual time that it took. It fails
// the test after d of virtual time.
func (s *sim) within(d time.Duration, what string, ok func() bool) time.Duration {
	s.t.Helper()
	begin := s.now
	for !ok() {
		assert.Assert(s.t, s.now.Sub(begin) < d, "%s: not within %s", what, d)
		s.step()
	}
	return s.now.Sub(begin)
}

// allRunning reports whether ok holds for every running daemon.
func (s *sim) allRunning(ok func(*node) bool) bool {
	for _, addr := range s.names {
		if n := s.nodes[addr]; !n.stopped && !ok(n) {
			return false
		}
	}
	return true
}

func (n *node) member(name string) MemberView {
	for _, m := range n.Members() {
		if m.Name == name {
			return m
		}
	}
	return MemberView{}
}

func (n *node) usableCount() int {
	count := 0
	for _, m := range n.Members() {
		if m.Usable() {
			count++
		}
	}
	return count
}

func (n *node) endpoint(slot string) EndpointView {
	for _, e := range n.Endpoints() {
		if e.Slot == slot {
			return e
		}
	}
	return EndpointView{}
}

func (s *sim) converge() {
	s.t.Helper()
	s.within(20*time.Second, "every daemon knows every other", func() bool {
		return s.allRunning(func(n *node) bool { return n.usableCount() == len(s.names) })
	})
}

// simEndpoint is an endpoint that announces itself to daemons.
type simEndpoint struct {
	Claim
	to []string // names of the daemons
}

func (s *sim) announce(a *simEndpoint) (err error) {
	a.Sequence++
	for _, name := range a.to {
		n := s.node(name)
		if n.stopped {
			continue
		}
		var eff Effects
		eff, err = n.Announce(s.now, a.Claim)
		s.apply(n, eff)
	}
	return err
}

// announceFor runs the simulation for d, with each endpoint announcing itself once
// a second.
func (s *sim) announceFor(d time.Duration, as ...*simEndpoint) {
	for end := s.now.Add(d); s.now.Before(end); s.run(time.Second) {
		for _, a := range as {
			s.announce(a)
		}
	}
}

func newEndpoint(slot, addr, incarnation string, started uint64) *simEndpoint {
	return &simEndpoint{Claim: Claim{SlotID: SlotID{"g", slot}, Address: addr, Incarnation: incarnation, Started: started},
		to: []string{"a0", "c1"}}
}

// bytes estimates the packet's size on the wire.
func (p Packet) bytes() int {
	n := estimateMemberBytes(p.From)
	for _, m := range p.Members {
		n += estimateMemberBytes(m.Record)
	}
	for _, c := range p.Claims {
		n += estimateClaimBytes(c.Record)
	}
	for _, d := range p.Domains {
		n += len(d.FailureDomain) + 8
	}
	return n
}
