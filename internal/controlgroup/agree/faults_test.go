package agree

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	agreepb "hemlockmast/api/agree"
)

// others returns all names except the excluded ones.
func (s *sim) others(excluded ...string) []string {
	var list []string
	for _, name := range s.names {
		keep := true
		for _, n := range excluded {
			keep = keep && n != name
		}
		if keep {
			list = append(list, name)
		}
	}
	return list
}

// commit proposes count commands at the leader and waits until each is applied
// there.
func (s *sim) commit(t *testing.T, count int) {
	t.Helper()
	for range count {
		l := s.leader()
		assert.Assert(t, l != nil && s.propose(l))
		p, index := s.procs[l.cfg.Self.Name], l.log.last()
		assert.Assert(t, s.runUntil(100, func() bool { return p.applied >= index }))
	}
}

// assertRecovers ends all faults and asserts that the group makes progress.
func (s *sim) assertRecovers(t *testing.T) {
	t.Helper()
	assert.Assert(t, s.heal(), "%s", s)
}

// TestFaults injects each fault and then ends it. After every row the group must
// recover with every committed entry, and the invariants that sim checks at
// every step must have held.
func TestFaults(t *testing.T) {
	for _, row := range []struct {
		name  string
		procs []string
		fault func(t *testing.T, s *sim)
	}{
		{"leader cut off for long", []string{"a", "b", "c"}, cutOffLeader},
		{"repaired voter, second lost before it caught up", []string{"a", "b", "c"}, secondVoterLost},
		{"repaired voter a learner, second lost", []string{"a", "b", "c"}, learnerRepairSecondVoterLost},
		{"two elections at once", []string{"a", "b", "c", "d", "e"}, concurrentElections},
		{"all restarted after 500 changes", []string{"a", "b", "c"}, restartAll},
		{"old disk put back", []string{"a", "b", "c"}, oldDiskReinserted},
		{"cut-off voter returns", []string{"a", "b", "c"}, cutOffVoterReturns},
		{"one-way cut", []string{"a", "b", "c"}, oneWayCut},
		{"late snapshot", []string{"a", "b", "c"}, lateSnapshot},
		{"voter that does not hear the leader", []string{"a", "b", "c"}, voterNotHearingLeader},
		{"voter of a higher term", []string{"a", "b", "c"}, higherTerm},
		{"change that is overwritten", []string{"a", "b", "c"}, overwrittenChange},
		{"restart between two candidates of a term", []string{"a", "b", "c"}, oneVotePerTerm},
		{"entry of a former term on a majority", []string{"a", "b", "c"}, entryOfFormerTerm},
		{"removal of the leader", []string{"a", "b", "c", "d", "e"}, removedLeader},
		{"voter being removed has the newest log", []string{"a", "b"}, removedVoterHasNewestLog},
		{"changes that must be refused", []string{"a", "b", "c"}, refusedChanges},
		{"member lost its log under the same incarnation", []string{"a", "b", "c"}, lostLogSameIncarnation},
	} {
		t.Run(row.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 10; seed++ {
				s := newFormedSim(t, seed, row.procs...)
				row.fault(t, s)
				assert.Equal(t, s.failure, "", "seed %d", seed)
			}
		})
	}
}

func cutOffLeader(t *testing.T, s *sim) {
	old := s.leader()
	name, term := old.cfg.Self.Name, old.term
	s.isolate(name, true)
	assert.Assert(t, s.propose(old))
	lost := old.log.last()
	assert.NilError(t, s.read(old)) // accepted while it still believes it leads
	confirmed := s.confirmed
	elected := func() bool { l := s.leader(); return l != nil && l != old && l.log.commit >= l.termStart }
	assert.Assert(t, s.runUntil(100, elected))
	s.commit(t, 5)
	assert.Assert(t, s.runUntil(40, func() bool { return old.role != Leader }))
	var notLeader *NotLeaderError
	assert.Assert(t, errors.As(s.read(old), &notLeader))
	assert.Equal(t, s.confirmed, confirmed)
	assert.Equal(t, s.refused, 1)
	s.runUntil(200, func() bool { return false })
	assert.Equal(t, old.term, term, "an isolated member must not raise its term")
	s.assertRecovers(t)
	got, _ := old.log.term(lost)
	assert.Assert(t, got != term, "the uncommitted proposal must be gone")
}

// leaveOneBehind isolates c while the leader a and the voter b commit entries
// that c lacks.
func leaveOneBehind(t *testing.T, s *sim) (a, b, c string) {
	a = s.leader().cfg.Self.Name
	rest := s.others(a)
	b, c = rest[0], rest[1]
	s.isolate(c, true)
	s.commit(t, 3)
	return a, b, c
}

func secondVoterLost(t *testing.T, s *sim) {
	a, b, c := leaveOneBehind(t, s)
	s.replaceDisk(b)
	s.start(b)
	s.crash(a)
	s.isolate(c, false)
	assertNoLeader(t, s)
	s.start(a)
	s.assertRecovers(t)
}

func learnerRepairSecondVoterLost(t *testing.T, s *sim) {
	a, b, c := leaveOneBehind(t, s)
	s.replaceDisk(b)
	s.start(b)
	leader := s.procs[a].node
	assert.NilError(t, leader.AddLearner(s.procs[b].id, b))
	s.handleReady(s.procs[a], 0) // in a's log, in transit to b, never committed
	s.crash(a)
	s.isolate(c, false)
	assertNoLeader(t, s)
	s.start(a)
	s.assertRecovers(t)
}

// assertNoLeader asserts that no leader is elected and nothing is committed.
func assertNoLeader(t *testing.T, s *sim) {
	t.Helper()
	committed := s.committed
	assert.Assert(t, !s.runUntil(300, func() bool { return s.leader() != nil }), "%s", s)
	assert.Equal(t, s.committed, committed)
}

func concurrentElections(t *testing.T, s *sim) {
	s.crash(s.leader().cfg.Self.Name)
	for range 3 {
		for _, name := range s.names {
			if n := s.procs[name].node; n != nil {
				n.resetElectionTimeout()
				n.ticksSinceContact, n.electionTimeout = 20, 21
				n.leader = ID{}
			}
		}
		s.round() // all start an election in the same tick
	}
	s.assertRecovers(t)
}

func restartAll(t *testing.T, s *sim) {
	for i := range 500 {
		s.commit(t, 1)
		if i%120 == 50 {
			s.compact(s.procs[s.names[i%len(s.names)]])
		}
	}
	committed := s.committed
	for _, name := range s.names {
		s.crash(name)
	}
	for _, name := range s.names {
		s.start(name)
	}
	s.assertRecovers(t)
	for _, name := range s.names {
		assert.Assert(t, s.procs[name].applied > committed)
	}
}

func oldDiskReinserted(t *testing.T, s *sim) {
	name := s.others(s.leader().cfg.Self.Name)[0]
	old := *s.procs[name]
	s.replaceDisk(name)
	s.start(name)
	s.assertRecovers(t)
	replacement := *s.procs[name]
	*s.procs[name] = old
	s.start(name)
	s.runUntil(100, func() bool { return false })
	var change *ChangeError
	err := s.leader().AddLearner(old.id, name)
	assert.Assert(t, errors.As(err, &change) && change.Reason == ChangeWasRemoved, "%v", err)
	assert.Assert(t, Find(s.leader().Status().Membership, old.id) == nil)
	*s.procs[name] = replacement
	s.start(name)
	s.assertRecovers(t)
}

func cutOffVoterReturns(t *testing.T, s *sim) {
	l := s.leader()
	s.isolate(s.others(l.cfg.Self.Name)[0], true)
	s.runUntil(200, func() bool { return false })
	clear(s.cut)
	s.runUntil(50, func() bool { return false })
	assert.Assert(t, s.leader() == l, "a returning voter must not depose the leader")
	s.assertRecovers(t)
}

func oneWayCut(t *testing.T, s *sim) {
	old := s.leader()
	for _, other := range s.others(old.cfg.Self.Name) {
		s.cut[[2]string{other, old.cfg.Self.Name}] = true // it can send but not receive
	}
	assert.Assert(t, s.runUntil(100, func() bool { return s.leader() != nil && s.leader() != old }))
	s.commit(t, 2)
	s.assertRecovers(t)
}

func voterNotHearingLeader(t *testing.T, s *sim) {
	l := s.leader()
	voter := s.others(l.cfg.Self.Name)[0]
	s.cut[[2]string{l.cfg.Self.Name, voter}] = true
	s.runUntil(200, func() bool { return false })
	assert.Assert(t, s.leader() == l, "a voter outside the leader's quorum must not depose the leader")
	s.assertRecovers(t)
}

func higherTerm(t *testing.T, s *sim) {
	name := s.others(s.leader().cfg.Self.Name)[0]
	s.isolate(name, true)
	s.procs[name].node.campaign(Candidate) // as if it had just won its pre-vote
	s.handleReady(s.procs[name], 0)
	s.assertRecovers(t)
}

func overwrittenChange(t *testing.T, s *sim) {
	old := s.leader()
	name := old.cfg.Self.Name
	s.isolate(name, true)
	assert.NilError(t, old.Remove(s.others(name)[0]))
	assert.Equal(t, len(old.voters()), 2)
	assert.Assert(t, s.runUntil(100, func() bool { return s.leader() != nil && s.leader() != old }))
	s.assertRecovers(t)
	assert.Equal(t, len(old.voters()), 3)
}

func oneVotePerTerm(t *testing.T, s *sim) {
	l := s.leader()
	names := s.others(l.cfg.Self.Name)
	p, other := s.procs[names[0]], s.procs[names[1]]
	s.crash(l.cfg.Self.Name)
	for i, candidate := range []ID{other.id, l.cfg.Self} {
		s.crash(p.id.Name)
		s.start(p.id.Name) // it knows no leader, so only its stored vote can make it refuse
		s.inTransit = nil
		s.deliver(&agreepb.Message{
			Kind: agreepb.MessageKind_MESSAGE_KIND_VOTE, Group: simGroup, Term: 50,
			From: candidate.Proto(), To: p.id.Proto(), LogIndex: 99, LogTerm: 49,
		})
		s.handleReady(p, 0)
		assert.Equal(t, s.inTransit[0].Refused, i == 1)
	}
	s.inTransit = nil
	s.assertRecovers(t)
}

func entryOfFormerTerm(t *testing.T, s *sim) {
	old := s.leader()
	s.isolate(old.cfg.Self.Name, true)
	assert.Assert(t, s.propose(old))
	s.handleReady(s.procs[old.cfg.Self.Name], 0)
	s.inTransit = nil
	index := old.log.last()
	old.becomeFollower(old.term, ID{})
	old.campaign(Candidate)
	old.countVote(s.procs[s.others(old.cfg.Self.Name)[0]].id)
	for old.HasReady() { // bypasses sim, whose leader check would fail on this leader
		old.Ready()
		old.Advance()
	}
	for _, name := range s.others(old.cfg.Self.Name) {
		assert.NilError(t, old.Step(&agreepb.Message{
			Kind: agreepb.MessageKind_MESSAGE_KIND_APPEND_REPLY, Group: simGroup, Term: old.term,
			From: s.procs[name].id.Proto(), To: old.cfg.Self.Proto(), LogIndex: index,
		}))
	}
	assert.Assert(t, old.role == Leader && old.log.commit < index)
	s.crash(old.cfg.Self.Name) // the vote and the replies were fabricated
	s.assertRecovers(t)
}

func lateSnapshot(t *testing.T, s *sim) {
	l := s.leader()
	p, f := s.procs[l.cfg.Self.Name], s.procs[s.others(l.cfg.Self.Name)[0]]
	s.commit(t, 2)
	s.compact(p)
	late := &agreepb.Message{
		Kind: agreepb.MessageKind_MESSAGE_KIND_SNAPSHOT, Group: simGroup, Term: l.term,
		From: p.id.Proto(), To: f.id.Proto(), Snapshot: l.log.snapshot,
	}
	// f holds the snapshot's last entry and one more, and does not know that
	// either is committed.
	s.commit(t, 1)
	s.crash(f.id.Name)
	f.disk.HardState.Commit = 0
	s.start(f.id.Name)
	last := f.node.log.last()
	s.deliver(late)
	s.handleReady(f, 0)
	assert.Equal(t, f.node.log.last(), last, "an acknowledged entry was dropped")
	s.assertRecovers(t)
}

func removedLeader(t *testing.T, s *sim) {
	old := s.leader()
	assert.NilError(t, old.Remove(old.cfg.Self.Name))
	assert.Assert(t, s.runUntil(100, func() bool { l := s.leader(); return l != nil && l != old }))
	assert.Assert(t, !old.isVoter())
	assert.Equal(t, len(s.leader().voters()), 4)
	s.assertRecovers(t)
}

func removedVoterHasNewestLog(t *testing.T, s *sim) {
	old := s.leader()
	name := old.cfg.Self.Name
	assert.NilError(t, old.Remove(name))
	s.handleReady(s.procs[name], 0)
	s.inTransit = nil // the entry is saved, but its messages are lost
	s.crash(name)
	s.start(name)
	assert.Assert(t, s.runUntil(200, func() bool {
		l := s.leader()
		return l != nil && l.cfg.Self.Name != name && len(l.voters()) == 1
	}), "%s", s)
}

func refusedChanges(t *testing.T, s *sim) {
	l := s.leader()
	reason := func(err error) ChangeReason {
		var change *ChangeError
		assert.Assert(t, errors.As(err, &change), "%v", err)
		return change.Reason
	}
	assert.Equal(t, reason(l.Remove("nobody")), ChangeNoSuchMember)
	assert.NilError(t, l.AddLearner(ID{"x", 99}, "x:1"))
	assert.NilError(t, l.AddLearner(ID{"x", 99}, "x:1")) // repeated
	assert.Equal(t, reason(l.Remove("x")), ChangeInProgress)
	s.assertRecovers(t)
	l = s.leader()
	others := s.others(l.cfg.Self.Name)
	s.crash(others[0])
	for range l.cfg.ElectionTicks {
		s.round()
	}
	assert.Equal(t, reason(l.Remove(others[1])), ChangeLosesQuorum)
	l.termStart = l.log.commit + 1
	var notReady *NotReadyError
	assert.Assert(t, errors.As(l.Remove(others[0]), &notReady))
	assert.Assert(t, errors.As(l.ReadIndex(1), &notReady))
	l.termStart = 0
	var tooLarge *TooLargeError
	_, err := l.Propose(make([]byte, MaxCommandBytes+1))
	assert.Assert(t, errors.As(err, &tooLarge))
	var busy *BusyError
	for err = nil; err == nil; {
		_, err = l.Propose(make([]byte, MaxCommandBytes))
	}
	assert.Assert(t, errors.As(err, &busy))
}

// lostLogSameIncarnation breaks the rule that a member with a lost disk returns
// under a new incarnation. The loss must be reported by *InvariantError.
func lostLogSameIncarnation(t *testing.T, s *sim) {
	a, b, c := leaveOneBehind(t, s)
	id := s.procs[b].id
	s.replaceDisk(b)
	s.procs[b].id = id
	old := s.procs[c].disk
	s.procs[b].disk = State{HardState: old.HardState, Snapshot: old.Snapshot, Entries: old.Entries}
	s.start(b)
	s.crash(a)
	s.isolate(c, false)
	s.runUntil(300, func() bool { return s.leader() != nil })
	assert.Assert(t, s.failure != "", "sim must detect the lost entry")
	s.failure = ""
	s.start(a)
	s.runUntil(200, func() bool { return false })
	assert.Assert(t, s.failure != "", "the conflict must be reported")
	s.failure = ""
}

// TestGroupElectsSoonAfterAPowerLoss restarts all members one after the other,
// within about one ordinary election timeout. Callers wait until a leader is
// elected, so the election must not take long.
func TestGroupElectsSoonAfterAPowerLoss(t *testing.T) {
	const seeds = 200
	names := []string{"a", "b", "c", "d", "e"}
	total := 0
	for seed := range uint64(seeds) {
		s := newFormedSim(t, seed, names...)
		for _, name := range names {
			s.crash(name)
		}
		s.inTransit = nil
		// The third start completes a majority.
		starts := map[int]string{0: "a", 2: "b", 5: "c", 7: "d", 9: "e"}
		for now := 0; ; now++ {
			if name := starts[now]; name != "" {
				s.start(name)
			}
			if s.leader() != nil {
				total += now - 5
				break
			}
			assert.Assert(t, now < 100, "seed %d: %s", seed, s)
			s.round()
		}
		assert.Equal(t, s.failure, "")
	}
	// With ordinary timeouts alone, a member that campaigned before a majority was
	// up waits another 10 to 20 ticks, and the last members to start determine when
	// a leader is elected.
	t.Logf("%d.%02d ticks on average", total/seeds, total*100/seeds%100)
	assert.Assert(t, total <= 3*seeds, "%d ticks on average", total/seeds)
}

// TestRestartedMemberHearsOfItsLeaderAtOnce restarts a member while the others
// have a leader. The leader itself must answer the member's pre-vote with an
// append, so that the member does not wait for the next heartbeat.
func TestRestartedMemberHearsOfItsLeaderAtOnce(t *testing.T) {
	s := newFormedSim(t, 3, "a", "b", "c")
	leader := s.leader()
	name := s.others(leader.cfg.Self.Name)[0]
	s.crash(name)
	s.start(name)
	p := s.procs[name]
	for p.node.role == Follower {
		s.tick(name)
	}
	// No other member ticks, so no heartbeat is sent.
	s.handleReady(p, 0)
	for len(s.inTransit) > 0 {
		m := s.inTransit[0]
		s.inTransit = s.inTransit[1:]
		s.deliver(m)
		s.handleReady(s.procs[m.To.Name], 0)
	}
	assert.Equal(t, p.node.leader, leader.cfg.Self)
	assert.Equal(t, s.failure, "")
}
