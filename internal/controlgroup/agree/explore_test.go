package agree

import (
	"flag"
	"testing"

	"gotest.tools/v3/assert"

	agreepb "hemlockmast/api/agree"
)

var (
	simSeeds = flag.Int("agree.seeds", 300, "seeds explored, from 1")
	simSteps = flag.Int("agree.steps", 3000, "steps per seed")
)

// chaos does one random step: mostly work and delivery, in any order, with
// loss, doubling, cuts, crashes and lost disks.
func (s *sim) chaos() {
	name := s.names[s.rng.IntN(len(s.names))]
	p := s.procs[name]
	switch k := s.rng.IntN(1000); {
	case k < 250:
		s.tick(name)
	case k < 700:
		s.deliverAny()
	case k < 800:
		if p.node != nil && p.node.role == Leader {
			s.propose(p.node)
		}
	case k < 850:
		if p.node != nil {
			_ = s.read(p.node)
		}
	case k < 860:
		s.work(p, 1+s.rng.IntN(2))
	case k < 866:
		s.crash(name)
	case k < 869:
		if s.survives(name) {
			s.wipe(name)
		}
	case k < 870:
		s.putBack()
	case k < 880:
		s.compact(p)
	case k < 886:
		other := s.names[s.rng.IntN(len(s.names))]
		s.cut[[2]string{name, other}] = true
	case k < 890:
		s.isolate(name, true)
	case k < 905:
		clear(s.cut)
	case k < 906:
		if p.node != nil {
			_ = p.node.Remove(s.names[s.rng.IntN(len(s.names))])
			// Removing a live voter while another one is dead may stop a group.
			s.reckless = s.reckless || !s.survives("")
		}
	case k < 940:
		if p.node == nil {
			s.start(name)
		}
	case k < 960:
		s.round()
	}
	if s.rng.IntN(4) > 0 {
		s.work(s.procs[name], 0)
	}
}

// survives reports whether the group can still elect a leader after the loss of
// name's disk. Every fourth seed loses disks without this limit: it may stop,
// but must not go wrong.
func (s *sim) survives(name string) bool {
	if s.reckless {
		return true
	}
	for _, p := range s.procs {
		l, err := newEntryLog(p.disk)
		assert.NilError(s.t, err)
		m := newMemberLog(l).current().membership
		if p.node != nil {
			m = p.node.Status().Membership
		}
		if !s.enoughAlive(Voters(m), name) {
			return false
		}
		// A learner may be about to displace a voter and to get its vote.
		for _, learner := range m.GetMembers() {
			if learner.Voter {
				continue
			}
			rest := Voters(without(m, func(v *agreepb.Member) bool { return v.Id.Name == learner.Id.Name }))
			if !s.enoughAlive(rest, name) || !s.enoughAlive(append(rest, IDOf(learner.Id)), name) {
				return false
			}
		}
	}
	return true
}

// putBack puts a disk that was taken away in place of the present one.
func (s *sim) putBack() {
	if len(s.lost) == 0 {
		return
	}
	i := s.rng.IntN(len(s.lost))
	old := s.lost[i]
	p := s.procs[old.id.Name]
	if !s.survives(old.id.Name) {
		return
	}
	s.lost[i] = *p
	s.lost[i].node = nil
	*p = old
}

// enoughAlive reports whether a majority of voters remains without name.
func (s *sim) enoughAlive(voters []ID, name string) bool {
	alive := 0
	for _, id := range voters {
		if other := s.procs[id.Name]; other.id == id && id.Name != name {
			alive++
		}
	}
	return len(voters) == 0 || alive >= quorum(len(voters))
}

// heal ends all faults and reports whether the group comes to rest with every
// live member up to date.
func (s *sim) heal() bool {
	clear(s.cut)
	for _, name := range s.names {
		if s.procs[name].node == nil {
			s.start(name)
		}
	}
	proposed := false
	return s.settle(2000, func() bool {
		l := s.leader()
		if l == nil || l.log.commit < l.termStart {
			return false
		}
		for _, name := range s.names {
			// Once a removal is committed, the operator formats the folder anew.
			if wasRemoved(l.members.at(l.log.commit), s.procs[name].id) {
				s.wipe(name)
				s.start(name)
			}
		}
		if !proposed {
			proposed = s.propose(l)
			return false
		}
		for _, id := range l.voters() {
			p := s.procs[id.Name]
			if p.id != id || p.applied < s.committed {
				return false
			}
		}
		return true
	})
}

func (s *sim) deliverAny() {
	if len(s.net) == 0 {
		return
	}
	i := s.rng.IntN(len(s.net))
	m := s.net[i]
	fate := s.rng.IntN(20)
	if fate > 1 { // 0: lost without delivery; 1: delivered and kept
		s.net = append(s.net[:i:i], s.net[i+1:]...)
	}
	if fate == 0 {
		s.net = append(s.net[:i:i], s.net[i+1:]...)
		return
	}
	s.deliver(m)
	crashAt := 0
	if s.rng.IntN(60) == 0 {
		crashAt = 1 + s.rng.IntN(2)
	}
	s.work(s.procs[m.To.Name], crashAt)
}

// TestExplore runs recorded seeds of random schedules over groups of 3 and 5.
func TestExplore(t *testing.T) {
	commands, elections, reads := uint64(0), 0, 0
	for seed := uint64(1); seed <= uint64(*simSeeds); seed++ {
		names := []string{"a", "b", "c"}
		if seed%3 == 0 {
			names = []string{"a", "b", "c", "d", "e"}
		}
		s := formed(t, seed, names...)
		s.reckless = seed%4 == 0
		for step := 0; step < *simSteps && s.failure == ""; step++ {
			s.chaos()
		}
		if s.failure == "" && !s.reckless && !s.heal() {
			s.fail("no progress after all faults ended: %s", s)
		}
		if s.failure != "" {
			t.Fatalf("seed %d: %s", seed, s.failure)
		}
		commands += s.committed
		elections += len(s.leaders)
		reads += s.confirmed
	}
	t.Logf("%d entries committed, %d leaders, %d reads confirmed", commands, elections, reads)
	if commands < 1000 || elections < 500 || reads < 1000 {
		t.Fatalf("too little happened for the check to mean anything")
	}
}
