package failover

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/commitack"
	"hemlockmast/internal/shared/logpos"
)

// scenario runs attempts over model endpoints, one command at a time.
type scenario struct {
	*world
	t               *testing.T
	now             time.Time
	term            uint64         // last allocated term
	down            map[uint8]bool // slots to which commands are not delivered
	answersLost     map[uint8]bool // slots that carry out commands but whose answers are lost
	unknownOutcomes int            // number of commits with the outcome unknown
	promoter        uint8
}

func newScenario(t *testing.T) *scenario {
	return &scenario{world: newWorld(), t: t, now: modelTime, term: 1, down: map[uint8]bool{}, answersLost: map[uint8]bool{}}
}

// write commits one record at the primary p and records the group's outcomes.
func (s *scenario) write(p uint8) {
	n := &s.nodes[p]
	assert.Equal(s.t, n.fenced, n.primaryOf, "a fenced primary refuses writes")
	s.writes++
	n.write(record{n.primaryOf, s.writes})
	pos := logpos.Pos{Term: uint64(n.primaryOf), Index: uint64(n.len())}
	out, err := s.groups[s.groupIndex(n.primaryOf)].Add(nil, commitack.ID(s.writes), pos, s.now.Add(time.Second))
	assert.NilError(s.t, err)
	s.recordOutcomes(out, n.primaryOf)
}

func (s *scenario) recordOutcomes(out []commitack.Result, term uint8) {
	s.record(out, term)
	for _, r := range out {
		if r.Outcome == commitack.Unknown {
			s.unknownOutcomes++
		}
	}
}

// pull copies the log of primary p to slot to, unless that is fenced at a higher
// term.
func (s *scenario) pull(p, to uint8) {
	for s.nodes[to].pull(&s.nodes[p], s.nodes[p].primaryOf, &rules{}) {
	}
}

// observe passes the statuses of slots to the groups of all terms.
func (s *scenario) observe(slots ...uint8) {
	for _, slot := range slots {
		for _, g := range s.groups {
			out, err := g.Observe(nil, s.nodes[slot].status(int(slot)))
			assert.NilError(s.t, err)
			s.recordOutcomes(out, uint8(g.Term()))
		}
	}
}

func (s *scenario) loseDisk(slot uint8) {
	s.nodes[slot] = node{incarnation: s.nodes[slot].incarnation + 1}
}

// promoterRun is one attempt of one promoter and the effects that it has yet to
// carry out.
type promoterRun struct {
	s        *scenario
	machine  *Machine
	promoter uint8
	queue    []Effect
	retry    *RetryAt
	done     *Done
	reason   Reason
}

// begin allocates the next term with the incarnations of all reachable slots and
// starts an attempt at it.
func (s *scenario) begin() *promoterRun {
	s.term++
	for i := range s.members {
		seen := incarnation(s.nodes[i].incarnation)
		if !s.down[uint8(i)] && seen != s.members[i].Incarnation {
			s.members[i] = quorum.Member{Slot: slotNames[i], Incarnation: seen, Since: s.term}
		}
	}
	return s.beginAt(s.term)
}

func (s *scenario) beginAt(term uint64) *promoterRun {
	s.promoter++
	members := s.members
	m, effects, err := New(Config{Promoter: fmt.Sprint(s.promoter), Term: term, Members: members[:], Timing: DefaultTiming()}, s.now)
	assert.NilError(s.t, err)
	return &promoterRun{s: s, machine: m, promoter: s.promoter, queue: effects}
}

// step carries out one effect, or advances the time to the deadline if no effect
// is queued. It returns false if nothing is left to do.
func (r *promoterRun) step() bool {
	if len(r.queue) == 0 {
		deadline, ok := r.machine.Deadline()
		if !ok {
			return false
		}
		if deadline.After(r.s.now) {
			r.s.now = deadline
		}
		r.queue = r.machine.Step(r.s.now, Tick{})
		return true
	}
	effect := r.queue[0]
	r.queue = r.queue[1:]
	if event := r.applyEffect(effect); event != nil {
		r.queue = append(r.queue, r.machine.Step(r.s.now, event)...)
	}
	return true
}

func (r *promoterRun) applyEffect(effect Effect) Event {
	s := r.s
	switch e := effect.(type) {
	case Fence:
		n := &s.nodes[slotIndex(e.Slot)]
		return r.command(e.Slot, e.Term, func() (Event, bool) {
			ok := n.fence(uint8(e.Term), r.promoter)
			return FenceGranted{Slot: e.Slot, Term: e.Term, Status: n.status(slotIndex(e.Slot))}, ok
		})
	case Promote:
		n := &s.nodes[slotIndex(e.Slot)]
		return r.command(e.Slot, e.Term, func() (Event, bool) {
			ok := n.promote(uint8(e.Term), r.promoter, &rules{})
			return PromoteSucceeded{Slot: e.Slot, Term: e.Term, Status: n.status(slotIndex(e.Slot))}, ok
		})
	case Follow:
		return r.command(e.Slot, e.Term, func() (Event, bool) { return s.follow(e) })
	case AnnouncePrimary:
		s.announceMembers(e.Term, e.Primary, e.Members)
	case RetryAt:
		r.retry = &e
	case Done:
		r.done = &e
	case Abort:
		r.reason = e.Reason
		if e.Reason == ReasonOtherPrimary {
			r.retry = nil
		}
	case QueryStatus:
		if i := uint8(slotIndex(e.Slot)); !s.down[i] && !s.answersLost[i] {
			return StatusReceived{Status: s.nodes[i].status(int(i))}
		}
	}
	return nil
}

func (s *scenario) follow(e Follow) (Event, bool) {
	p, to := uint8(slotIndex(e.Primary)), uint8(slotIndex(e.Slot))
	ok := s.nodes[to].fenced <= uint8(e.Term)
	s.pull(p, to)
	return FollowSucceeded{Slot: e.Slot, Term: e.Term, Status: s.nodes[to].status(int(to))}, ok
}

func (r *promoterRun) command(name string, term uint64, do func() (Event, bool)) Event {
	slot := uint8(slotIndex(name))
	if r.s.down[slot] {
		return Failed{Slot: name, Term: term}
	}
	event, ok := do()
	switch {
	case r.s.answersLost[slot]:
		return Failed{Slot: name, Term: term}
	case !ok:
		return Refused{Slot: name, Term: term, FencedTerm: uint64(r.s.nodes[slot].fenced)}
	}
	return event
}

func (r *promoterRun) steps(n int) {
	for range n {
		r.step()
	}
}

// finish runs the attempt to its end, then up to four further attempts if the
// machine schedules them, and returns the last one.
func (r *promoterRun) finish() *promoterRun {
	for range 5 {
		for r.step() {
		}
		if r.retry == nil {
			return r
		}
		r.s.now = r.retry.At
		r.s.term = max(r.s.term, r.retry.MinTerm-1)
		r = r.s.begin()
	}
	return r
}

// repair brings every reachable slot in line with the latest primary.
func (s *scenario) repair() {
	for range 4 {
		p := s.workingPrimary()
		if p < 0 {
			s.begin().finish()
			continue
		}
		members := s.members
		current := Current{Term: uint64(s.nodes[p].primaryOf), Primary: slotNames[p], Members: members[:]}
		for i := range uint8(modelSlots) {
			if s.down[i] {
				continue
			}
			switch current.CorrectionFor(s.nodes[i].status(int(i))) {
			case CorrectionFence, CorrectionFollow:
				s.pull(uint8(p), i)
			case CorrectionNewTerm:
				s.begin().finish()
			}
		}
	}
}

// checkInvariants checks what must hold after every row: there is one working
// primary, every reachable slot is in line with it and holds every acknowledged
// write, and no commit is pending.
func (s *scenario) checkInvariants() {
	s.t.Helper()
	s.repair()
	p := s.workingPrimary()
	assert.Assert(s.t, p >= 0, "no working primary")
	for i := range s.nodes {
		if !s.down[uint8(i)] {
			s.pull(uint8(p), uint8(i)) // regular replication continues
			assert.Equal(s.t, s.nodes[i].log, s.nodes[p].log, "slot %s", slotNames[i])
		}
	}
	assert.Equal(s.t, s.violation(&rules{}), "")
	s.observe(0, 1, 2)
	for _, g := range s.groups {
		assert.Equal(s.t, g.Pending(), 0, "term %d", g.Term())
	}
}

func (s *scenario) assertAcknowledged(want int) { assert.Equal(s.t, len(s.ackedRecords)/2, want) }

// writeAcknowledged commits a write at p and lets slot confirm it.
func (s *scenario) writeAcknowledged(p, slot uint8) {
	s.write(p)
	s.pull(p, slot)
	s.observe(slot)
}

// TestFaultTable covers the faults around a promotion. Slot 0 is the primary of
// term 1 and has one acknowledged write, which slot 1 holds and slot 2 lacks.
func TestFaultTable(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(s *scenario)
	}{
		{"primary killed", func(s *scenario) {
			s.down[0] = true
			r := s.begin().finish()
			assert.Equal(s.t, r.done.Primary, "b")
			assert.DeepEqual(s.t, r.done.Missing, []string{"a"})
		}},
		{"two promoters at once, one term after the other", func(s *scenario) {
			s.down[0] = true
			x, y := s.begin(), s.begin()
			for x.step() || y.step() {
				y.step()
			}
			assert.Assert(s.t, x.done == nil)
			assert.Equal(s.t, x.reason, ReasonOtherPrimary)
			assert.Assert(s.t, x.retry == nil)
			assert.Equal(s.t, y.done.Primary, "b")
		}},
		{"a slot is fenced far higher: the next term is higher still", func(s *scenario) {
			s.nodes[1].fence(9, 99)
			s.term = 1
			r := s.begin()
			for r.step() && r.retry == nil {
			}
			assert.Equal(s.t, r.reason, ReasonSuperseded)
			assert.Equal(s.t, r.retry.MinTerm, uint64(10))
			assert.Equal(s.t, r.finish().done.Term, uint64(10))
		}},
		{"equal terms: the promoter with a majority succeeds, the other one stops", func(s *scenario) {
			x, y := s.beginAt(2), s.beginAt(2)
			x.steps(1)
			y.steps(2)
			x.steps(1)
			y.finish()
			x.finish()
			assert.Equal(s.t, y.done.Primary, "b")
			assert.Equal(s.t, x.reason, ReasonOtherPrimary)
			assert.Assert(s.t, x.done == nil && x.retry == nil)
		}},
		{"equal terms, split grants: both attempts fail, a later term succeeds", func(s *scenario) {
			s.down[2] = true
			x, y := s.beginAt(2), s.beginAt(2)
			x.steps(1)
			y.queue = y.queue[1:]
			y.steps(1)
			x.step()
			assert.Equal(s.t, y.machine.phase, phaseFencing)
			s.term = 2
			assert.Equal(s.t, x.finish().done.Primary, "a")
		}},
		{"the promoter dies after its fence reached one endpoint", func(s *scenario) {
			s.begin().steps(1)
			s.observe(0)
			s.begin().finish()
		}},
		{"a fence reaches the confirming replica only", func(s *scenario) {
			r := s.begin()
			r.queue = r.queue[1:2]
			r.step()
			s.write(0)
			s.observe(1)
			s.assertAcknowledged(1)
			s.pull(0, 2)
			s.observe(2)
			s.assertAcknowledged(2)
		}},
		{"old primary returns with an unacknowledged tail", func(s *scenario) {
			s.write(0)
			s.write(0)
			s.down[0] = true
			s.begin().finish()
			s.observe(1, 2)
			assert.Equal(s.t, s.unknownOutcomes, 2)
			s.down[0] = false
			assert.Equal(s.t, s.nodes[0].len(), 4)
			s.writeAcknowledged(1, 2)
		}},
		{"replica back with an empty disk counts only in a later term", func(s *scenario) {
			s.loseDisk(1)
			s.down[0] = true
			r := s.begin()
			for r.step() && r.retry == nil {
			}
			assert.Equal(s.t, r.reason, ReasonNoMajority)
			s.write(0)
			s.down[0] = false
			s.pull(0, 1)
			s.observe(1)
			s.assertAcknowledged(1)
			s.begin().finish()
			s.writeAcknowledged(0, 1)
			s.assertAcknowledged(2)
		}},
		{"primary back with an empty disk, lagging replica not chosen", func(s *scenario) {
			s.loseDisk(0)
			r := s.begin().finish()
			assert.Equal(s.t, r.done.Primary, "b")
		}},
		{"two disks lost: no promotion until an operator decides", func(s *scenario) {
			s.loseDisk(0)
			s.loseDisk(1)
			r := s.begin()
			for r.step() && r.retry == nil {
			}
			assert.Equal(s.t, r.reason, ReasonDisksLost)
			// The operator accepts the loss: the current incarnations count.
			for i := range s.members {
				s.members[i] = quorum.Member{Slot: slotNames[i], Incarnation: incarnation(s.nodes[i].incarnation)}
			}
			s.ackedRecords = ""
		}},
		{"primary freezes during the promotion and resumes", func(s *scenario) {
			s.write(0)
			s.down[0] = true
			s.begin().finish()
			s.down[0] = false
			assert.Equal(s.t, s.nodes[0].primaryOf, uint8(1))
			s.write(0) // slot 0 still acts as the primary
			s.observe(0, 1, 2)
			s.assertAcknowledged(1)
			assert.Equal(s.t, s.unknownOutcomes, 2)
		}},
		{"primary freezes and resumes before the choice: it is chosen again", func(s *scenario) {
			s.write(0)
			r := s.begin().finish()
			assert.Equal(s.t, r.done.Primary, "a")
			s.writeAcknowledged(0, 2)
		}},
		{"one-way partition: commands arrive, answers are lost", func(s *scenario) {
			s.answersLost[1], s.down[0] = true, true
			r := s.begin()
			for r.step() && r.retry == nil {
			}
			assert.Equal(s.t, r.reason, ReasonNoMajority)
			assert.Equal(s.t, s.nodes[1].fenced, uint8(2))
			delete(s.answersLost, 1)
			assert.Equal(s.t, r.finish().done.Primary, "b")
		}},
		{"one-way partition: the promotion succeeds, its answer is lost", func(s *scenario) {
			s.down[0] = true
			r := s.begin()
			for r.machine.phase == phaseFencing {
				r.step()
			}
			s.answersLost[1] = true
			for r.step() && r.retry == nil {
			}
			assert.Equal(s.t, r.reason, ReasonNoAnswer)
			assert.Equal(s.t, s.nodes[1].primaryOf, uint8(2))
			delete(s.answersLost, 1)
			assert.Equal(s.t, r.finish().done.Term, uint64(3))
		}},
		{"a slot is back within the wait for a majority", func(s *scenario) {
			s.down[0], s.down[1] = true, true
			r := s.begin()
			r.steps(4)
			s.down[1] = false
			assert.Equal(s.t, r.finish().done.Term, uint64(2))
		}},
		{"second loss during the promotion, then back", func(s *scenario) {
			s.down[0] = true
			r := s.begin()
			for r.machine.phase == phaseFencing {
				r.step()
			}
			s.down[1] = true
			for r.step() && r.retry == nil {
			}
			assert.Equal(s.t, r.reason, ReasonNoAnswer)
			s.down[0] = false
			assert.Equal(s.t, r.finish().done.Primary, "a")
		}},
		{"one slot of three: no promotion", func(s *scenario) {
			s.down[0], s.down[1] = true, true
			r := s.begin().finish()
			assert.Assert(s.t, r.done == nil)
			assert.Equal(s.t, r.reason, ReasonNoMajority)
			s.down[0], s.down[1] = false, false
		}},
		{"partition: the majority side continues, the other side converges later", func(s *scenario) {
			s.down[0] = true
			s.begin().finish()
			s.writeAcknowledged(1, 2)
			s.write(0)
			s.observe(0)
			s.down[0] = false
			s.assertAcknowledged(2)
		}},
		{"partition: the minority side fenced its slot, a later term repairs it", func(s *scenario) {
			s.down[0], s.down[1] = true, true
			s.begin().steps(3)
			s.down[0], s.down[1] = false, false
			s.writeAcknowledged(0, 1)
			s.assertAcknowledged(2)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newScenario(t)
			s.writeAcknowledged(0, 1)
			s.assertAcknowledged(1)
			tc.run(s)
			s.checkInvariants()
		})
	}
}

// TestPromoterDiesAtEachStep stops the first promoter after each number of steps,
// with each slot down in turn, and checks that another promoter completes.
func TestPromoterDiesAtEachStep(t *testing.T) {
	for downSlot := range uint8(modelSlots) {
		for n := range 12 {
			s := newScenario(t)
			s.writeAcknowledged(0, 1)
			s.write(0)
			s.down[downSlot] = true
			s.begin().steps(n)
			last := s.begin().finish()
			assert.Assert(t, last.done != nil, "slot %d down, died after %d steps", downSlot, n)
			delete(s.down, downSlot)
			s.checkInvariants()
		}
	}
}
