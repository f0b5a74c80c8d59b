package membership

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// statusOf waits until every running daemon of the given domain, or of all,
// sees the status.
func (s *sim) awaitStatus(d time.Duration, name string, want Status, domain string) {
	s.t.Helper()
	s.within(d, name+" "+want.String(), func() bool {
		return s.all(func(n *node) bool {
			return domain != "" && n.Self().FailureDomain != domain || n.Self().Name == name || n.member(name).Status == want
		})
	})
}

// TestDaemonFaults strikes daemons and the network between them; limits are
// virtual time.
func TestDaemonFaults(t *testing.T) {
	for _, row := range []struct {
		name string
		run  func(s *sim)
	}{
		{"a daemon dies", func(s *sim) {
			s.node("c1").stopped = true
			s.awaitStatus(4*time.Second, "c1", Down, "")
		}},
		{"a frozen daemon is given up, and holds nobody for down when it wakes", func(s *sim) {
			n := s.node("c1")
			n.stopped = true
			s.awaitStatus(4*time.Second, "c1", Down, "")
			s.run(time.Minute)
			n.stopped = false
			s.step()
			assert.Equal(s.t, n.usable(), len(s.names))
			s.awaitStatus(3*time.Second, "c1", Alive, "")
			assert.Equal(s.t, n.usable(), len(s.names))
		}},
		{"a daemon restarts at another address", func(s *sim) {
			s.node("c1").stopped = true
			m := daemon("c1", "c")
			m.Heartbeat, m.Admin, m.Link = "new:1", "new:2", "new:3"
			s.boot(m)
			s.within(3*time.Second, "the new address", func() bool {
				return s.all(func(n *node) bool { return n.member("c1").Link == "new:3" })
			})
			s.run(5 * time.Second)
			s.awaitStatus(time.Second, "c1", Alive, "")
		}},
		{"a daemon restarts with its clock set back", func(s *sim) {
			m := daemon("c1", "c")
			m.Heartbeat, m.Admin, m.Link = "new:1", "new:2", "new:3"
			s.node("c1").stopped = true
			old := s.node("c1").Self().Incarnation
			n := s.boot(m)
			n.self.Incarnation = 1
			s.within(8*time.Second, "the new address", func() bool {
				return s.all(func(n *node) bool { return n.member("c1").Link == "new:3" })
			})
			assert.Equal(s.t, n.Self().Incarnation, old+1)
			assert.Equal(s.t, len(n.Problems()), 0)
		}},
		{"two daemons have one name", func(s *sim) {
			m := daemon("c1", "d")
			m.Heartbeat, m.Admin, m.Link = "new:1", "new:2", "new:3"
			s.boot(m)
			s.within(8*time.Second, "both report it", func() bool {
				return len(s.node("c1").Problems()) == 1 && len(s.nodes["new:1"].Problems()) == 1
			})
			inc := s.nodes["new:1"].Self().Incarnation
			s.run(20 * time.Second)
			assert.Assert(s.t, s.nodes["new:1"].Self().Incarnation <= inc+1)
		}},
		{"a daemon stops on purpose", func(s *sim) {
			n := s.node("c1")
			s.do(n, n.Leave(s.now))
			s.step()
			n.stopped = true
			s.awaitStatus(time.Second, "c1", Left, "")
			s.run(10 * time.Second)
			s.awaitStatus(time.Second, "c1", Left, "")
		}},
		{"a failure domain is cut off and heals", func(s *sim) {
			s.cut = func(from, to Member) bool { return (from.FailureDomain == "c") != (to.FailureDomain == "c") }
			s.within(8*time.Second, "both sides see it", func() bool {
				return s.all(func(n *node) bool {
					if n.Self().FailureDomain == "c" {
						return n.usable() == 3
					}
					return n.usable() == 9
				})
			})
			s.node("a1").stopped = true
			s.awaitStatus(4*time.Second, "a1", Down, "a")
			assert.Equal(s.t, s.node("c0").member("a1").Status, Alive)
			s.cut = func(Member, Member) bool { return false }
			s.within(5*time.Second, "healed", func() bool {
				return s.all(func(n *node) bool { return n.usable() == 11 })
			})
		}},
		{"one direction between two daemons is cut", func(s *sim) {
			s.cut = func(from, to Member) bool { return from.Name == "c0" && to.Name == "c1" }
			for range 300 {
				s.step()
				assert.Equal(s.t, s.node("c0").member("c1").Status, Alive)
				assert.Equal(s.t, s.node("c1").member("c0").Status, Alive)
			}
		}},
		{"a whole failure domain dies", func(s *sim) {
			for _, name := range []string{"c0", "c1", "c2"} {
				s.node(name).stopped = true
			}
			s.within(8*time.Second, "not usable", func() bool {
				return s.all(func(n *node) bool { return n.usable() == 9 })
			})
		}},
		{"three packets of ten are lost", func(s *sim) {
			s.loss = 0.3
			s.node("c1").stopped = true
			s.awaitStatus(8*time.Second, "c1", Down, "")
			s.run(30 * time.Second)
			down := 0
			for _, m := range s.node("a0").Members() {
				if m.Status == Down {
					down++
				}
			}
			assert.Equal(s.t, down, 1)
		}},
		{"both seeds die, a newcomer waits for one", func(s *sim) {
			s.node("a0").stopped, s.node("b0").stopped = true, true
			n := s.boot(daemon("d9", "d"))
			s.run(10 * time.Second)
			assert.Equal(s.t, n.usable(), 1)
			s.node("b0").stopped = false
			s.within(5*time.Second, "joined", func() bool { return n.usable() >= 11 })
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newSim(t, 3, 7)
			s.converge()
			row.run(s)
		})
	}
}

// TestEndpointFaults strikes announcements; the daemons a0 and c1 hear them.
func TestEndpointFaults(t *testing.T) {
	old := func() *announcer { return endpointAt("s1", "e1:1", "i1", 100) }
	for _, row := range []struct {
		name string
		run  func(s *sim, e *announcer)
	}{
		{"leaving reaches all within 2 s", func(s *sim, e *announcer) {
			e.Leaving = true
			s.announce(e)
			s.within(2*time.Second, "leaving", func() bool {
				return s.all(func(n *node) bool { return n.endpoint("s1").Leaving })
			})
		}},
		{"leaving reaches all within 2 s though half the packets are lost", func(s *sim, e *announcer) {
			s.loss = 0.5
			e.Leaving = true
			s.announce(e)
			s.within(2*time.Second, "leaving", func() bool {
				return s.all(func(n *node) bool { return n.endpoint("s1").Leaving })
			})
		}},
		{"two announcements in a row are lost", func(s *sim, e *announcer) {
			s.keep(30*time.Second, e)
			s.run(1900 * time.Millisecond)
			assert.Assert(s.t, s.all(func(n *node) bool { return n.endpoint("s1").Address == "e1:1" }))
		}},
		{"announcements stop", func(s *sim, e *announcer) {
			s.within(5*time.Second, "lapsed", func() bool {
				return s.all(func(n *node) bool { return n.endpoint("s1").Address == "" })
			})
			s.keep(2*time.Second, e)
			s.within(time.Second, "back", func() bool {
				return s.all(func(n *node) bool { return n.endpoint("s1").Address == "e1:1" })
			})
		}},
		{"one of the daemons that hear it is cut off from it", func(s *sim, e *announcer) {
			s.keep(30*time.Second, e)
			e.to = []string{"c1"}
			s.keep(10*time.Second, e)
			assert.Assert(s.t, s.all(func(n *node) bool { return n.endpoint("s1").Address == "e1:1" }))
		}},
		{"the daemons that hear it die", func(s *sim, e *announcer) {
			s.node("a0").stopped, s.node("c1").stopped = true, true
			s.run(20 * time.Second)
			assert.Assert(s.t, s.all(func(n *node) bool { return n.endpoint("s1").Address == "e1:1" }))
		}},
		{"the endpoint comes back at a new address", func(s *sim, e *announcer) {
			moved := endpointAt("s1", "e9:1", "i1", 200)
			s.announce(moved)
			s.within(time.Second, "moved", func() bool {
				return s.all(func(n *node) bool { return n.endpoint("s1").Address == "e9:1" })
			})
			s.keep(10*time.Second, moved)
			assert.Equal(s.t, len(s.node("a0").Problems()), 0)
		}},
		{"the endpoint comes back with an empty disk", func(s *sim, e *announcer) {
			empty := endpointAt("s1", "e1:1", "i2", 200)
			s.announce(empty)
			s.within(time.Second, "new incarnation", func() bool {
				return s.all(func(n *node) bool { return n.endpoint("s1").Incarnation == "i2" })
			})
		}},
		{"a late announcement of the run before changes nothing", func(s *sim, e *announcer) {
			s.announce(endpointAt("s1", "e9:1", "i1", 200))
			s.announce(e)
			s.run(time.Second)
			assert.Assert(s.t, s.all(func(n *node) bool { return n.endpoint("s1").Address == "e9:1" }))
		}},
		{"an older announcement arrives after the one that leaves", func(s *sim, e *announcer) {
			late := *e
			e.Leaving = true
			s.announce(e)
			late.Sequence--
			s.announce(&late)
			s.run(time.Second)
			assert.Assert(s.t, s.all(func(n *node) bool { return n.endpoint("s1").Leaving }))
		}},
		{"a second endpoint claims the slot", func(s *sim, e *announcer) {
			other := endpointAt("s1", "e2:1", "i2", 200)
			var conflict *SlotConflictError
			assert.Assert(s.t, errors.As(s.announce(other), &conflict))
			s.keep(10*time.Second, e, other)
			assert.Assert(s.t, s.all(func(n *node) bool {
				return n.endpoint("s1").Address == "e1:1" && n.endpoint("s1").Contested && len(n.Problems()) == 1
			}))
			s.keep(6*time.Second, other)
			assert.Assert(s.t, s.all(func(n *node) bool {
				return n.endpoint("s1").Address == "e2:1" && len(n.Problems()) == 0
			}))
		}},
		{"two claims on two sides of a cut end as one", func(s *sim, e *announcer) {
			s.cut = func(from, to Member) bool { return (from.FailureDomain == "c") != (to.FailureDomain == "c") }
			e.to = []string{"a0"}
			other := endpointAt("s1", "e2:1", "i2", 200)
			other.to = []string{"c1"}
			s.keep(10*time.Second, e, other)
			assert.Equal(s.t, s.node("c0").endpoint("s1").Address, "e2:1")
			s.cut = func(Member, Member) bool { return false }
			s.keep(40*time.Second, e, other)
			assert.Assert(s.t, s.all(func(n *node) bool { return n.endpoint("s1").Address == "e1:1" }))
		}},
		{"a disk was copied", func(s *sim, e *announcer) {
			clone := endpointAt("s1", "e9:1", "i1", 200)
			s.keep(5*time.Second, e, clone)
			var conflict *DiskConflictError
			assert.Assert(s.t, errors.As(s.node("a0").Problems()[0], &conflict))
			assert.Equal(s.t, conflict.InUse, "e9:1")
		}},
		{"a slot that nobody configured", func(s *sim, e *announcer) {
			stray := endpointAt("s9", "e2:1", "i2", 200)
			var unknown *UnknownSlotError
			assert.Assert(s.t, errors.As(s.announce(stray), &unknown))
			assert.Equal(s.t, len(s.node("a0").Problems()), 1)
			for _, addr := range s.names {
				s.nodes[addr].SetSlots(append([]SlotID{{"g", "s9"}}, slots...))
			}
			assert.NilError(s.t, s.announce(stray))
			s.run(time.Second)
			assert.Assert(s.t, s.all(func(n *node) bool { return n.endpoint("s9").Address == "e2:1" && len(n.Problems()) == 0 }))
		}},
		{"content that is no claim", func(s *sim, e *announcer) {
			for _, bad := range []Claim{{}, {SlotID: SlotID{"g", "s1"}}, {SlotID: SlotID{"g", "s1"}, Address: string(make([]byte, 300)), Incarnation: "i"}} {
				var invalid *InvalidError
				_, err := s.node("a0").Announce(s.now, bad)
				assert.Assert(s.t, errors.As(err, &invalid))
			}
			assert.Equal(s.t, s.node("a0").endpoint("s1").Address, "e1:1")
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newSim(t, 3, 7)
			s.converge()
			e := old()
			s.announce(e)
			s.within(time.Second, "known", func() bool {
				return s.all(func(n *node) bool { return n.endpoint("s1").Address == "e1:1" })
			})
			row.run(s, e)
		})
	}
}
