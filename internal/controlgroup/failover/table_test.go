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

// scene drives attempts over model endpoints, one command at a time.
type scene struct {
	*world
	t        *testing.T
	now      time.Time
	term     uint64         // the last one allocated
	down     map[uint8]bool // commands are not delivered
	mute     map[uint8]bool // commands are carried out, answers are lost
	unknown  int            // commits with the outcome unknown
	promoter uint8
}

func newScene(t *testing.T) *scene {
	return &scene{world: newWorld(), t: t, now: modelTime, term: 1, down: map[uint8]bool{}, mute: map[uint8]bool{}}
}

// write commits one record at the primary p and gives the group's verdicts.
func (s *scene) write(p uint8) {
	n := &s.nodes[p]
	assert.Equal(s.t, n.fenced, n.primaryOf, "a fenced primary refuses writes")
	s.writes++
	n.write(record{n.primaryOf, s.writes})
	pos := logpos.Pos{Term: uint64(n.primaryOf), Index: uint64(n.len())}
	out, err := s.groups[s.group(n.primaryOf)].Add(nil, commitack.ID(s.writes), pos, s.now.Add(time.Second))
	assert.NilError(s.t, err)
	s.verdicts(out, n.primaryOf)
}

func (s *scene) verdicts(out []commitack.Result, term uint8) {
	s.record(out, term)
	for _, r := range out {
		if r.Outcome == commitack.Unknown {
			s.unknown++
		}
	}
}

// pull copies everything that to takes from the primary p.
func (s *scene) pull(p, to uint8) {
	for s.nodes[to].pull(&s.nodes[p], s.nodes[p].primaryOf, &rules{}) {
	}
}

func (s *scene) observe(slots ...uint8) {
	for _, slot := range slots {
		for _, g := range s.groups {
			out, err := g.Observe(nil, s.nodes[slot].status(int(slot)))
			assert.NilError(s.t, err)
			s.verdicts(out, uint8(g.Term()))
		}
	}
}

func (s *scene) loseDisk(slot uint8) {
	s.nodes[slot] = node{incarnation: s.nodes[slot].incarnation + 1}
}

// run is one promoter at work.
type run struct {
	s        *scene
	machine  *Machine
	promoter uint8
	queue    []Effect
	retry    *RetryAt
	done     *Done
	reason   Reason
}

// begin starts an attempt at the next term, with the incarnations seen.
func (s *scene) begin() *run {
	s.term++
	for i := range s.members {
		seen := incarnation(s.nodes[i].incarnation)
		if !s.down[uint8(i)] && seen != s.members[i].Incarnation {
			s.members[i] = quorum.Member{Slot: slotNames[i], Incarnation: seen, Since: s.term}
		}
	}
	return s.beginAt(s.term)
}

func (s *scene) beginAt(term uint64) *run {
	s.promoter++
	members := s.members
	m, effects, err := New(Config{Promoter: fmt.Sprint(s.promoter), Term: term, Members: members[:], Timing: DefaultTiming()}, s.now)
	assert.NilError(s.t, err)
	return &run{s: s, machine: m, promoter: s.promoter, queue: effects}
}

// step carries out one effect, or lets time pass; false when nothing is left.
func (r *run) step() bool {
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
	if event := r.carryOut(effect); event != nil {
		r.queue = append(r.queue, r.machine.Step(r.s.now, event)...)
	}
	return true
}

func (r *run) carryOut(effect Effect) Event {
	s := r.s
	switch e := effect.(type) {
	case Fence:
		n := &s.nodes[slotIndex(e.Slot)]
		return r.command(e.Slot, e.Term, func() (Event, bool) {
			ok := n.fence(uint8(e.Term), r.promoter)
			return Granted{Slot: e.Slot, Term: e.Term, Status: n.status(slotIndex(e.Slot))}, ok
		})
	case Promote:
		n := &s.nodes[slotIndex(e.Slot)]
		return r.command(e.Slot, e.Term, func() (Event, bool) {
			ok := n.promote(uint8(e.Term), r.promoter, &rules{})
			return Promoted{Slot: e.Slot, Term: e.Term, Status: n.status(slotIndex(e.Slot))}, ok
		})
	case Follow:
		return r.command(e.Slot, e.Term, func() (Event, bool) { return s.follow(e) })
	case Tell:
		s.tellMembers(e.Term, e.Primary, e.Members)
	case RetryAt:
		r.retry = &e
	case Done:
		r.done = &e
	case Abort:
		r.reason = e.Reason
		if e.Reason == ReasonOtherPrimary {
			r.retry = nil
		}
	case AskStatus:
		if i := uint8(slotIndex(e.Slot)); !s.down[i] && !s.mute[i] {
			return Seen{Status: s.nodes[i].status(int(i))}
		}
	}
	return nil
}

func (s *scene) follow(e Follow) (Event, bool) {
	p, to := uint8(slotIndex(e.Primary)), uint8(slotIndex(e.Slot))
	ok := s.nodes[to].fenced <= uint8(e.Term)
	s.pull(p, to)
	return Followed{Slot: e.Slot, Term: e.Term, Status: s.nodes[to].status(int(to))}, ok
}

func (r *run) command(name string, term uint64, do func() (Event, bool)) Event {
	slot := uint8(slotIndex(name))
	if r.s.down[slot] {
		return Failed{Slot: name, Term: term}
	}
	event, ok := do()
	switch {
	case r.s.mute[slot]:
		return Failed{Slot: name, Term: term}
	case !ok:
		return Refused{Slot: name, Term: term, FencedTerm: uint64(r.s.nodes[slot].fenced)}
	}
	return event
}

func (r *run) steps(n int) {
	for range n {
		r.step()
	}
}

// finish runs to the end, with further attempts where the machine asks for
// them, and returns the last one.
func (r *run) finish() *run {
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

// mend brings every slot that answers in line with the newest primary.
func (s *scene) mend() {
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
			switch current.Correct(s.nodes[i].status(int(i))) {
			case CorrectFence, CorrectFollow:
				s.pull(uint8(p), i)
			case CorrectTerm:
				s.begin().finish()
			}
		}
	}
}

// check states what must hold after every row: one working primary where a
// majority is up, every acknowledged write at every slot that answers, all in
// line, and nothing waiting in an old term.
func (s *scene) check() {
	s.t.Helper()
	s.mend()
	p := s.workingPrimary()
	assert.Assert(s.t, p >= 0, "no working primary")
	for i := range s.nodes {
		if !s.down[uint8(i)] {
			s.pull(uint8(p), uint8(i)) // ordinary replication goes on
			assert.Equal(s.t, s.nodes[i].log, s.nodes[p].log, "slot %s", slotNames[i])
		}
	}
	assert.Equal(s.t, s.violation(&rules{}), "")
	s.observe(0, 1, 2)
	for _, g := range s.groups {
		assert.Equal(s.t, g.Pending(), 0, "term %d", g.Term())
	}
}

func (s *scene) acknowledged(want int) { assert.Equal(s.t, len(s.acked)/2, want) }

// acknowledge commits a write at p that slot confirms.
func (s *scene) acknowledge(p, slot uint8) {
	s.write(p)
	s.pull(p, slot)
	s.observe(slot)
}

// TestFaultTable is the table of faults of a promotion. Slot 0 is the primary
// of term 1 and has one acknowledged write, held by slot 1 and not by slot 2.
func TestFaultTable(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(s *scene)
	}{
		{"primary killed", func(s *scene) {
			s.down[0] = true
			r := s.begin().finish()
			assert.Equal(s.t, r.done.Primary, "b")
			assert.DeepEqual(s.t, r.done.Missing, []string{"a"})
		}},
		{"two promoters at once, one term after the other", func(s *scene) {
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
		{"a slot is fenced far higher: the next term is higher still", func(s *scene) {
			s.nodes[1].fence(9, 99)
			s.term = 1
			r := s.begin()
			for r.step() && r.retry == nil {
			}
			assert.Equal(s.t, r.reason, ReasonSuperseded)
			assert.Equal(s.t, r.retry.MinTerm, uint64(10))
			assert.Equal(s.t, r.finish().done.Term, uint64(10))
		}},
		{"equal terms: the majority wins, the other sees it and stops", func(s *scene) {
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
		{"equal terms, split: nobody wins, a later term does", func(s *scene) {
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
		{"a fence reaches one endpoint, the promoter dies", func(s *scene) {
			s.begin().steps(1)
			s.observe(0)
			s.begin().finish()
		}},
		{"a fence reaches the confirming replica only", func(s *scene) {
			r := s.begin()
			r.queue = r.queue[1:2]
			r.step()
			s.write(0)
			s.observe(1)
			s.acknowledged(1)
			s.pull(0, 2)
			s.observe(2)
			s.acknowledged(2)
		}},
		{"old primary returns with an unacknowledged tail", func(s *scene) {
			s.write(0)
			s.write(0)
			s.down[0] = true
			s.begin().finish()
			s.observe(1, 2)
			assert.Equal(s.t, s.unknown, 2)
			s.down[0] = false
			assert.Equal(s.t, s.nodes[0].len(), 4)
			s.acknowledge(1, 2)
		}},
		{"replica back with an empty disk counts only in a later term", func(s *scene) {
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
			s.acknowledged(1)
			s.begin().finish()
			s.acknowledge(0, 1)
			s.acknowledged(2)
		}},
		{"primary back with an empty disk, lagging replica not chosen", func(s *scene) {
			s.loseDisk(0)
			r := s.begin().finish()
			assert.Equal(s.t, r.done.Primary, "b")
		}},
		{"two disks lost: refused until an operator decides", func(s *scene) {
			s.loseDisk(0)
			s.loseDisk(1)
			r := s.begin()
			for r.step() && r.retry == nil {
			}
			assert.Equal(s.t, r.reason, ReasonDisksLost)
			// The operator names the loss: the slots as they are now count.
			for i := range s.members {
				s.members[i] = quorum.Member{Slot: slotNames[i], Incarnation: incarnation(s.nodes[i].incarnation)}
			}
			s.acked = ""
		}},
		{"primary freezes during the promotion and wakes", func(s *scene) {
			s.write(0)
			s.down[0] = true
			s.begin().finish()
			s.down[0] = false
			assert.Equal(s.t, s.nodes[0].primaryOf, uint8(1))
			s.write(0) // it still believes
			s.observe(0, 1, 2)
			s.acknowledged(1)
			assert.Equal(s.t, s.unknown, 2)
		}},
		{"primary freezes and wakes before the choice: it is chosen again", func(s *scene) {
			s.write(0)
			r := s.begin().finish()
			assert.Equal(s.t, r.done.Primary, "a")
			s.acknowledge(0, 2)
		}},
		{"one direction: commands arrive, answers do not", func(s *scene) {
			s.mute[1], s.down[0] = true, true
			r := s.begin()
			for r.step() && r.retry == nil {
			}
			assert.Equal(s.t, r.reason, ReasonNoMajority)
			assert.Equal(s.t, s.nodes[1].fenced, uint8(2))
			delete(s.mute, 1)
			assert.Equal(s.t, r.finish().done.Primary, "b")
		}},
		{"one direction: the promotion is done, its answer lost", func(s *scene) {
			s.down[0] = true
			r := s.begin()
			for r.machine.phase == phaseFencing {
				r.step()
			}
			s.mute[1] = true
			for r.step() && r.retry == nil {
			}
			assert.Equal(s.t, r.reason, ReasonNoAnswer)
			assert.Equal(s.t, s.nodes[1].primaryOf, uint8(2))
			delete(s.mute, 1)
			assert.Equal(s.t, r.finish().done.Term, uint64(3))
		}},
		{"a slot is back within the wait for a majority", func(s *scene) {
			s.down[0], s.down[1] = true, true
			r := s.begin()
			r.steps(4)
			s.down[1] = false
			assert.Equal(s.t, r.finish().done.Term, uint64(2))
		}},
		{"second loss during the promotion, then back", func(s *scene) {
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
		{"one slot of three: no promotion", func(s *scene) {
			s.down[0], s.down[1] = true, true
			r := s.begin().finish()
			assert.Assert(s.t, r.done == nil)
			assert.Equal(s.t, r.reason, ReasonNoMajority)
			s.down[0], s.down[1] = false, false
		}},
		{"cut-off side holds a majority and goes on, the other converges", func(s *scene) {
			s.down[0] = true
			s.begin().finish()
			s.acknowledge(1, 2)
			s.write(0)
			s.observe(0)
			s.down[0] = false
			s.acknowledged(2)
		}},
		{"cut-off side with one slot fenced it: a later term heals", func(s *scene) {
			s.down[0], s.down[1] = true, true
			s.begin().steps(3)
			s.down[0], s.down[1] = false, false
			s.acknowledge(0, 1)
			s.acknowledged(2)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newScene(t)
			s.acknowledge(0, 1)
			s.acknowledged(1)
			tc.run(s)
			s.check()
		})
	}
}

// TestPromoterDiesAtEachStep stops the first promoter after every number of
// steps, with each slot as the lost one, and lets another take over.
func TestPromoterDiesAtEachStep(t *testing.T) {
	for lost := range uint8(modelSlots) {
		for n := range 12 {
			s := newScene(t)
			s.acknowledge(0, 1)
			s.write(0)
			s.down[lost] = true
			s.begin().steps(n)
			last := s.begin().finish()
			assert.Assert(t, last.done != nil, "lost %d, died after %d", lost, n)
			delete(s.down, lost)
			s.check()
		}
	}
}
