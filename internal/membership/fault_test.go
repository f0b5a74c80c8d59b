package membership

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// awaitStatus runs the simulation until every running daemon of the given domain,
// or of all domains if it is empty, sees the wanted status of the named daemon. It
// fails after d of virtual time.
func (s *sim) awaitStatus(d time.Duration, name string, want Status, domain string) {
	s.t.Helper()
	s.within(d, name+" "+want.String(), func() bool {
		return s.allRunning(func(n *node) bool {
			return domain != "" && n.Self().FailureDomain != domain || n.Self().Name == name || n.member(name).Status == want
		})
	})
}

// TestDaemonFaults injects faults into daemons and the network between them, and
// checks that the other daemons detect them and recover. Limits are virtual time.
func TestDaemonFaults(t *testing.T) {
	for _, row := range []struct {
		name string
		run  func(s *sim)
	}{
		{"a daemon dies", func(s *sim) {
			s.node("c1").stopped = true
			s.awaitStatus(4*time.Second, "c1", Down, "")
		}},
		{"a frozen daemon is marked down, and marks no other daemon down when it resumes", func(s *sim) {
			n := s.node("c1")
			n.stopped = true
			s.awaitStatus(4*time.Second, "c1", Down, "")
			s.run(time.Minute)
			n.stopped = false
			s.step()
			assert.Equal(s.t, n.usableCount(), len(s.names))
			s.awaitStatus(3*time.Second, "c1", Alive, "")
			assert.Equal(s.t, n.usableCount(), len(s.names))
		}},
		{"a daemon restarts at another address", func(s *sim) {
			s.node("c1").stopped = true
			m := daemon("c1", "c")
			m.Heartbeat, m.Admin, m.Link = "new:1", "new:2", "new:3"
			s.start(m)
			s.within(3*time.Second, "the new address", func() bool {
				return s.allRunning(func(n *node) bool { return n.member("c1").Link == "new:3" })
			})
			s.run(5 * time.Second)
			s.awaitStatus(time.Second, "c1", Alive, "")
		}},
		{"a daemon restarts with its clock set back", func(s *sim) {
			m := daemon("c1", "c")
			m.Heartbeat, m.Admin, m.Link = "new:1", "new:2", "new:3"
			s.node("c1").stopped = true
			old := s.node("c1").Self().Incarnation
			n := s.start(m)
			n.self.Incarnation = 1
			s.within(8*time.Second, "the new address", func() bool {
				return s.allRunning(func(n *node) bool { return n.member("c1").Link == "new:3" })
			})
			assert.Equal(s.t, n.Self().Incarnation, old+1)
			assert.Equal(s.t, len(n.Problems()), 0)
		}},
		{"two daemons have one name", func(s *sim) {
			m := daemon("c1", "d")
			m.Heartbeat, m.Admin, m.Link = "new:1", "new:2", "new:3"
			s.start(m)
			s.within(8*time.Second, "both daemons report the name conflict", func() bool {
				return len(s.node("c1").Problems()) == 1 && len(s.nodes["new:1"].Problems()) == 1
			})
			inc := s.nodes["new:1"].Self().Incarnation
			s.run(20 * time.Second)
			assert.Assert(s.t, s.nodes["new:1"].Self().Incarnation <= inc+1)
		}},
		{"a daemon leaves", func(s *sim) {
			n := s.node("c1")
			s.apply(n, n.Leave(s.now))
			s.step()
			n.stopped = true
			s.awaitStatus(time.Second, "c1", Left, "")
			s.run(10 * time.Second)
			s.awaitStatus(time.Second, "c1", Left, "")
		}},
		{"a failure domain is cut off and heals", func(s *sim) {
			s.isCut = func(from, to Member) bool { return (from.FailureDomain == "c") != (to.FailureDomain == "c") }
			s.within(8*time.Second, "both sides detect the partition", func() bool {
				return s.allRunning(func(n *node) bool {
					if n.Self().FailureDomain == "c" {
						return n.usableCount() == 3
					}
					return n.usableCount() == 9
				})
			})
			s.node("a1").stopped = true
			s.awaitStatus(4*time.Second, "a1", Down, "a")
			assert.Equal(s.t, s.node("c0").member("a1").Status, Alive)
			s.isCut = func(Member, Member) bool { return false }
			s.within(5*time.Second, "healed", func() bool {
				return s.allRunning(func(n *node) bool { return n.usableCount() == 11 })
			})
		}},
		{"one direction between two daemons is cut", func(s *sim) {
			s.isCut = func(from, to Member) bool { return from.Name == "c0" && to.Name == "c1" }
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
				return s.allRunning(func(n *node) bool { return n.usableCount() == 9 })
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
		{"both seeds die, and a new daemon joins when one is back", func(s *sim) {
			s.node("a0").stopped, s.node("b0").stopped = true, true
			n := s.start(daemon("d9", "d"))
			s.run(10 * time.Second)
			assert.Equal(s.t, n.usableCount(), 1)
			s.node("b0").stopped = false
			s.within(5*time.Second, "joined", func() bool { return n.usableCount() >= 11 })
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newSim(t, 3, 7)
			s.converge()
			row.run(s)
		})
	}
}

// TestEndpointFaults injects faults into endpoints and their announcements, and
// checks which endpoint the daemons use. Endpoints announce themselves to the
// daemons a0 and c1.
func TestEndpointFaults(t *testing.T) {
	newOriginal := func() *simEndpoint { return newEndpoint("s1", "e1:1", "i1", 100) }
	for _, row := range []struct {
		name string
		run  func(s *sim, e *simEndpoint)
	}{
		{"leaving reaches all within 2 s", func(s *sim, e *simEndpoint) {
			e.Leaving = true
			s.announce(e)
			s.within(2*time.Second, "leaving", func() bool {
				return s.allRunning(func(n *node) bool { return n.endpoint("s1").Leaving })
			})
		}},
		{"leaving reaches all within 2 s though half the packets are lost", func(s *sim, e *simEndpoint) {
			s.loss = 0.5
			e.Leaving = true
			s.announce(e)
			s.within(2*time.Second, "leaving", func() bool {
				return s.allRunning(func(n *node) bool { return n.endpoint("s1").Leaving })
			})
		}},
		{"two announcements in a row are lost", func(s *sim, e *simEndpoint) {
			s.announceFor(30*time.Second, e)
			s.run(1900 * time.Millisecond)
			assert.Assert(s.t, s.allRunning(func(n *node) bool { return n.endpoint("s1").Address == "e1:1" }))
		}},
		{"announcements stop", func(s *sim, e *simEndpoint) {
			s.within(5*time.Second, "lapsed", func() bool {
				return s.allRunning(func(n *node) bool { return n.endpoint("s1").Address == "" })
			})
			s.announceFor(2*time.Second, e)
			s.within(time.Second, "claim is live again", func() bool {
				return s.allRunning(func(n *node) bool { return n.endpoint("s1").Address == "e1:1" })
			})
		}},
		{"the endpoint can no longer reach one of its daemons", func(s *sim, e *simEndpoint) {
			s.announceFor(30*time.Second, e)
			e.to = []string{"c1"}
			s.announceFor(10*time.Second, e)
			assert.Assert(s.t, s.allRunning(func(n *node) bool { return n.endpoint("s1").Address == "e1:1" }))
		}},
		{"the daemons that receive the announcements die", func(s *sim, e *simEndpoint) {
			s.node("a0").stopped, s.node("c1").stopped = true, true
			s.run(20 * time.Second)
			assert.Assert(s.t, s.allRunning(func(n *node) bool { return n.endpoint("s1").Address == "e1:1" }))
		}},
		{"the endpoint comes back at a new address", func(s *sim, e *simEndpoint) {
			moved := newEndpoint("s1", "e9:1", "i1", 200)
			s.announce(moved)
			s.within(time.Second, "moved", func() bool {
				return s.allRunning(func(n *node) bool { return n.endpoint("s1").Address == "e9:1" })
			})
			s.announceFor(10*time.Second, moved)
			assert.Equal(s.t, len(s.node("a0").Problems()), 0)
		}},
		{"the endpoint comes back with an empty disk", func(s *sim, e *simEndpoint) {
			empty := newEndpoint("s1", "e1:1", "i2", 200)
			s.announce(empty)
			s.within(time.Second, "new incarnation", func() bool {
				return s.allRunning(func(n *node) bool { return n.endpoint("s1").Incarnation == "i2" })
			})
		}},
		{"a late announcement of an earlier run changes nothing", func(s *sim, e *simEndpoint) {
			s.announce(newEndpoint("s1", "e9:1", "i1", 200))
			s.announce(e)
			s.run(time.Second)
			assert.Assert(s.t, s.allRunning(func(n *node) bool { return n.endpoint("s1").Address == "e9:1" }))
		}},
		{"an older announcement arrives after the leaving one", func(s *sim, e *simEndpoint) {
			late := *e
			e.Leaving = true
			s.announce(e)
			late.Sequence--
			s.announce(&late)
			s.run(time.Second)
			assert.Assert(s.t, s.allRunning(func(n *node) bool { return n.endpoint("s1").Leaving }))
		}},
		{"a second endpoint claims the slot", func(s *sim, e *simEndpoint) {
			other := newEndpoint("s1", "e2:1", "i2", 200)
			var conflict *SlotConflictError
			assert.Assert(s.t, errors.As(s.announce(other), &conflict))
			s.announceFor(10*time.Second, e, other)
			assert.Assert(s.t, s.allRunning(func(n *node) bool {
				return n.endpoint("s1").Address == "e1:1" && n.endpoint("s1").Contested && len(n.Problems()) == 1
			}))
			s.announceFor(6*time.Second, other)
			assert.Assert(s.t, s.allRunning(func(n *node) bool {
				return n.endpoint("s1").Address == "e2:1" && len(n.Problems()) == 0
			}))
		}},
		{"two claims from two sides of a partition are resolved after it heals", func(s *sim, e *simEndpoint) {
			s.isCut = func(from, to Member) bool { return (from.FailureDomain == "c") != (to.FailureDomain == "c") }
			e.to = []string{"a0"}
			other := newEndpoint("s1", "e2:1", "i2", 200)
			other.to = []string{"c1"}
			s.announceFor(10*time.Second, e, other)
			assert.Equal(s.t, s.node("c0").endpoint("s1").Address, "e2:1")
			s.isCut = func(Member, Member) bool { return false }
			s.announceFor(40*time.Second, e, other)
			assert.Assert(s.t, s.allRunning(func(n *node) bool { return n.endpoint("s1").Address == "e1:1" }))
		}},
		{"a disk was copied", func(s *sim, e *simEndpoint) {
			clone := newEndpoint("s1", "e9:1", "i1", 200)
			s.announceFor(5*time.Second, e, clone)
			var conflict *DiskConflictError
			assert.Assert(s.t, errors.As(s.node("a0").Problems()[0], &conflict))
			assert.Equal(s.t, conflict.InUse, "e9:1")
		}},
		{"a slot that is not configured", func(s *sim, e *simEndpoint) {
			stray := newEndpoint("s9", "e2:1", "i2", 200)
			var unknown *UnknownSlotError
			assert.Assert(s.t, errors.As(s.announce(stray), &unknown))
			assert.Equal(s.t, len(s.node("a0").Problems()), 1)
			for _, addr := range s.names {
				s.nodes[addr].SetSlots(append([]SlotID{{"g", "s9"}}, slots...))
			}
			assert.NilError(s.t, s.announce(stray))
			s.run(time.Second)
			assert.Assert(s.t, s.allRunning(func(n *node) bool { return n.endpoint("s9").Address == "e2:1" && len(n.Problems()) == 0 }))
		}},
		{"an invalid claim is refused", func(s *sim, e *simEndpoint) {
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
			e := newOriginal()
			s.announce(e)
			s.within(time.Second, "known", func() bool {
				return s.allRunning(func(n *node) bool { return n.endpoint("s1").Address == "e1:1" })
			})
			row.run(s, e)
		})
	}
}
