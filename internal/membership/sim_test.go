package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// hop is how long a packet travels.
const hop = 2 * time.Millisecond

// node is one daemon in a sim.
type node struct {
	*State
	stopped bool // neither runs nor receives
}

// sim runs states over a virtual clock and network. Equal calls give equal
// runs.
type sim struct {
	t     testing.TB
	now   time.Time
	rand  *rand.Rand
	nodes map[string]*node // by heartbeat address
	names []string
	queue []packetAt
	loss  float64
	cut   func(from, to Member) bool
	sent  int
	bytes int
	boots uint64
}

type packetAt struct {
	at       time.Time
	from, to string
	p        Packet
}

var slots = []SlotID{{"g", "s1"}, {"g", "s2"}}

func daemon(name, domain string) Member {
	return Member{Name: name, FailureDomain: domain, Heartbeat: name + ":1", Admin: name + ":2", Link: name + ":3"}
}

// newSim starts perDomain daemons in each of four failure domains.
func newSim(t testing.TB, perDomain int, seed uint64) *sim {
	return newSimOf(t, []string{"a", "b", "c", "d"}, perDomain, seed)
}

// newSimOf starts daemons that each know the first ones of the domains a and b
// from their settings.
func newSimOf(t testing.TB, domains []string, perDomain int, seed uint64) *sim {
	s := &sim{t: t, now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{},
		cut: func(Member, Member) bool { return false }}
	for _, d := range domains {
		for i := range perDomain {
			s.boot(daemon(fmt.Sprintf("%s%d", d, i), d))
		}
	}
	return s
}

func (s *sim) boot(m Member) *node {
	s.boots++
	if m.Incarnation == 0 {
		m.Incarnation = s.boots
	}
	n := &node{State: New(Config{Self: m, Rand: rand.New(rand.NewPCG(s.boots, 2)),
		Seeds: []Member{daemon("a0", "a"), daemon("b0", "b")}})}
	n.SetSlots(slots)
	if s.nodes[m.Heartbeat] == nil {
		s.names = append(s.names, m.Heartbeat)
	}
	s.nodes[m.Heartbeat] = n
	return n
}

func (s *sim) node(name string) *node { return s.nodes[name+":1"] }

func (s *sim) do(n *node, eff Effects) {
	for _, send := range eff.Send {
		s.sent++
		s.bytes += send.Packet.bytes()
		if s.rand.Float64() >= s.loss {
			s.queue = append(s.queue, packetAt{s.now.Add(hop), n.Self().Heartbeat, send.To, send.Packet})
		}
	}
	for _, admin := range eff.Exchange {
		for _, addr := range s.names {
			o := s.nodes[addr]
			if o.Self().Admin == admin && !o.stopped && !s.cut(n.Self(), o.Self()) && !s.cut(o.Self(), n.Self()) {
				s.exchange(n, o)
			}
		}
	}
}

func (s *sim) exchange(n, o *node) {
	eff, differ := o.Merge(s.now, n.Digest())
	s.do(o, eff)
	if !differ {
		return
	}
	eff, _ = n.Merge(s.now, o.Full(s.now))
	s.do(n, eff)
	eff, _ = o.Merge(s.now, n.Full(s.now))
	s.do(o, eff)
}

// step moves the clock by one tick.
func (s *sim) step() {
	end := s.now.Add(TickInterval)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		q := s.queue[0]
		s.queue = s.queue[1:]
		s.now = q.at
		n, from := s.nodes[q.to], s.nodes[q.from]
		if n == nil || n.stopped || s.cut(from.Self(), n.Self()) {
			continue
		}
		s.do(n, n.Receive(s.now, q.p))
	}
	s.now = end
	for _, addr := range s.names {
		if n := s.nodes[addr]; !n.stopped {
			s.do(n, n.Tick(s.now))
		}
	}
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// within steps until ok holds, and fails after d of virtual time.
func (s *sim) within(d time.Duration, what string, ok func() bool) time.Duration {
	s.t.Helper()
	begin := s.now
	for !ok() {
		assert.Assert(s.t, s.now.Sub(begin) < d, "%s: not within %s", what, d)
		s.step()
	}
	return s.now.Sub(begin)
}

// all reports whether every running daemon agrees.
func (s *sim) all(ok func(*node) bool) bool {
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

func (n *node) usable() int {
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
	s.within(20*time.Second, "all know all", func() bool {
		return s.all(func(n *node) bool { return n.usable() == len(s.names) })
	})
}

// announcer is an endpoint that announces itself once a second.
type announcer struct {
	Claim
	to []string
}

func (s *sim) announce(a *announcer) (err error) {
	a.Sequence++
	for _, name := range a.to {
		n := s.node(name)
		if n.stopped {
			continue
		}
		var eff Effects
		eff, err = n.Announce(s.now, a.Claim)
		s.do(n, eff)
	}
	return err
}

// keep lets endpoints announce themselves for d.
func (s *sim) keep(d time.Duration, as ...*announcer) {
	for end := s.now.Add(d); s.now.Before(end); s.run(time.Second) {
		for _, a := range as {
			s.announce(a)
		}
	}
}

func endpointAt(slot, addr, incarnation string, started uint64) *announcer {
	return &announcer{Claim: Claim{SlotID: SlotID{"g", slot}, Address: addr, Incarnation: incarnation, Started: started},
		to: []string{"a0", "c1"}}
}

// bytes estimates the packet's size on the wire.
func (p Packet) bytes() int {
	n := memberBytes(p.From)
	for _, m := range p.Members {
		n += memberBytes(m.Record)
	}
	for _, c := range p.Claims {
		n += claimBytes(c.Record)
	}
	for _, d := range p.Domains {
		n += len(d.FailureDomain) + 8
	}
	return n
}
