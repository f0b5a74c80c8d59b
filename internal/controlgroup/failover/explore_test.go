package failover

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"hemlockmast/api/control"
	"hemlockmast/internal/controlgroup/groupstate"
	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/commitack"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
)

// next calls yield with every world that can follow w.
func (w *world) next(r *rules, yield func(*world)) {
	for p := range w.nodes {
		w.primarySteps(uint8(p), r, yield)
		if r.everyStatus {
			w.observeSteps(uint8(p), r, yield)
		}
		w.lossSteps(uint8(p), r, yield)
	}
	for i := range w.attempts {
		for s := range uint8(modelSlots) {
			w.commandSteps(uint8(i), s, r, yield)
		}
		if r.timeouts {
			w.timeoutStep(uint8(i), yield)
		}
	}
	w.attemptSteps(r, yield)
}

// primarySteps are a write at p and one record replicated from p.
func (w *world) primarySteps(p uint8, r *rules, yield func(*world)) {
	n := &w.nodes[p]
	if n.primaryOf == 0 || n.fenced != n.primaryOf {
		return
	}
	if g := w.group(n.primaryOf); g >= 0 && w.writes < r.maxWrites {
		c := w.clone(step{stepWrite, p, 0})
		c.writes++
		c.nodes[p].write(record{n.primaryOf, c.writes})
		c.groups[g] = c.groups[g].Clone()
		pos := logpos.Pos{Term: uint64(n.primaryOf), Index: uint64(c.nodes[p].len())}
		out, err := c.groups[g].Add(nil, commitack.ID(c.writes), pos, modelTime)
		if err != nil {
			panic(err)
		}
		c.record(out, n.primaryOf)
		yield(c)
	}
	for s := range uint8(modelSlots) {
		if s == p {
			continue
		}
		c := w.clone(step{stepPull, p, s})
		if c.nodes[s].pull(n, n.primaryOf, r) {
			yield(c)
		}
	}
}

// acknowledge gives each group the statuses that make it confirm a commit. A
// confirmation changes nothing but the set of what must survive, so a world
// that puts off one it could have had is no worse than the world that takes it.
func (w *world) acknowledge(r *rules) {
	for i, g := range w.groups {
		for s := range w.nodes {
			if g.Pending() == 0 {
				break
			}
			changed := g.Clone()
			out, err := changed.Observe(nil, w.observed(s, r))
			if err != nil {
				panic(err)
			}
			if len(out) > 0 && out[0].Outcome == commitack.Confirmed {
				w.groups[i], g = changed, changed
				w.record(out, uint8(g.Term()))
			}
		}
	}
}

// observeSteps give the status of s to the group of each term, where statuses
// that confirm nothing are to be explored too.
func (w *world) observeSteps(s uint8, r *rules, yield func(*world)) {
	for i, g := range w.groups {
		c := w.clone(step{stepObserve, s, uint8(g.Term())})
		c.groups[i] = g.Clone()
		out, err := c.groups[i].Observe(nil, w.observed(int(s), r))
		if err != nil {
			panic(err)
		}
		c.record(out, uint8(g.Term()))
		yield(c)
	}
}

func (w *world) observed(s int, r *rules) endpoint.Status {
	st := w.nodes[s].status(s)
	if r.ackIgnoresFence {
		st.FencedTerm = 0
	}
	if r.countEmptyDisk {
		st.Incarnation = w.members[s].Incarnation
	}
	return st
}

// lossSteps empty the disk of s, as long as a majority that counts is left.
func (w *world) lossSteps(s uint8, r *rules, yield func(*world)) {
	if w.losses == r.maxLosses {
		return
	}
	for i := range w.nodes {
		if i != int(s) && !w.members[i].CountsGrant(w.nodes[i].status(i)) {
			return
		}
	}
	c := w.clone(step{stepLoseDisk, s, 0})
	c.losses++
	c.nodes[s] = node{incarnation: w.nodes[s].incarnation + 1}
	yield(c)
}

// begin returns the first world. Without lost disks nothing depends on when an
// attempt begins, since its commands may be as late as may be: all begin at once.
func (r *rules) begin() *world {
	w := newWorld()
	if r.maxLosses == 0 {
		for _, term := range r.terms {
			w.start(term)
		}
	}
	return w
}

// attemptSteps begin the next attempt, whose promoter has seen every new
// incarnation or none.
func (w *world) attemptSteps(r *rules, yield func(*world)) {
	if r.maxLosses == 0 || len(w.attempts) == len(r.terms) {
		return
	}
	term := r.terms[len(w.attempts)]
	c := w.clone(step{stepAttempt, term, 0})
	c.start(term)
	yield(c)
	c = w.clone(step{stepAttempt, term, 1})
	for i, m := range w.allocate(term) {
		if m != w.members[i] {
			m.Since = r.since(term, m.Since)
		}
		c.members[i] = m
	}
	if c.members != w.members {
		c.start(term)
		yield(c)
	}
}

// allocate is control's answer to a promoter that has seen every incarnation.
func (w *world) allocate(term uint8) []quorum.Member {
	before := &control.GroupRecord{Group: "g"}
	cmd := &control.GroupCommand{Group: "g", Allocate: true, AtLeast: uint64(term)}
	for i, m := range w.members {
		before.Members = append(before.Members, &control.Member{Slot: m.Slot, Incarnation: m.Incarnation, Since: m.Since})
		cmd.Seen = append(cmd.Seen, &control.SeenSlot{Slot: m.Slot, Incarnation: incarnation(w.nodes[i].incarnation)})
	}
	state := groupstate.New()
	state.Restore([]*control.GroupRecord{before})
	record, err := groupstate.DecodeResult(state.Apply(1, cmd))
	if err != nil {
		panic(err)
	}
	return groupstate.Members(record)
}

// since returns the term from which a new incarnation counts.
func (r *rules) since(term uint8, recorded uint64) uint64 {
	switch {
	case r.countEmptyDisk:
		return 0
	case r.admitEarly:
		return uint64(term) - 1
	}
	return recorded
}

func (w *world) start(term uint8) {
	promoter := uint8(len(w.attempts) + 1)
	members := w.members
	m, effects, err := New(Config{Promoter: fmt.Sprint(promoter), Term: uint64(term), Members: members[:]}, modelTime)
	if err != nil {
		panic(err)
	}
	w.attempts = append(w.attempts, attempt{machine: m, promoter: promoter})
	w.carryOut(len(w.attempts)-1, effects)
}

// carryOut puts commands on the network. Pulls stand for Follow.
func (w *world) carryOut(i int, effects []Effect) {
	a := &w.attempts[i]
	for _, effect := range effects {
		switch e := effect.(type) {
		case Fence:
			a.fence |= 1 << slotIndex(e.Slot)
		case Promote:
			a.promote |= 1 << slotIndex(e.Slot)
		case Tell:
			w.tellMembers(e.Term, e.Primary, e.Members)
		}
	}
}

func slotIndex(name string) int { return int(name[0] - 'a') }

// commandSteps deliver the commands of attempt i to slot s. A command whose
// answer is lost stays, since it may come twice.
func (w *world) commandSteps(i, s uint8, r *rules, yield func(*world)) {
	if w.attempts[i].fence&(1<<s) != 0 {
		w.deliver(step{stepFence, i, s}, r, yield)
	}
	if w.attempts[i].promote&(1<<s) != 0 {
		w.deliver(step{stepPromote, i, s}, r, yield)
	}
}

func (w *world) deliver(s step, r *rules, yield func(*world)) {
	c := w.clone(s)
	event := c.execute(s, r)
	if r.lostReplies {
		lost := c.clone(step{})
		lost.path = append(slices.Clip(w.path), step{s.kind + 1, s.a, s.b})
		yield(lost)
	}
	a := &c.attempts[s.a]
	if s.kind == stepFence {
		a.fence &^= 1 << s.b
	} else {
		a.promote &^= 1 << s.b
	}
	a.machine = a.machine.Clone()
	c.carryOut(int(s.a), a.machine.Step(modelTime, event))
	yield(c)
}

// timeoutStep ends the phase of attempt i; its commands may still arrive.
func (w *world) timeoutStep(i uint8, yield func(*world)) {
	deadline, ok := w.attempts[i].machine.Deadline()
	if !ok {
		return
	}
	c := w.clone(step{stepTimeout, i, 0})
	a := &c.attempts[i]
	a.machine = a.machine.Clone()
	c.carryOut(int(i), a.machine.Step(deadline, Tick{}))
	yield(c)
}

func (w *world) execute(s step, r *rules) Event {
	n, a := &w.nodes[s.b], &w.attempts[s.a]
	name, term := slotNames[s.b], uint8(a.machine.cfg.Term)
	before := n.fenced
	if s.kind == stepFence && n.fence(term, a.promoter) {
		return Granted{Slot: name, Term: uint64(term), Status: w.granted(s.b, before, r)}
	}
	if s.kind == stepPromote && n.promote(term, a.promoter, r) {
		w.promoted[term] |= 1 << s.b
		return Promoted{Slot: name, Term: uint64(term), Status: n.status(int(s.b))}
	}
	return Refused{Slot: name, Term: uint64(term), FencedTerm: uint64(n.fenced)}
}

func (w *world) granted(s, before uint8, r *rules) endpoint.Status {
	st := w.nodes[s].status(int(s))
	if r.rankByFenced {
		st.Synced.Term = uint64(before)
	}
	if r.countEmptyDisk {
		st.Incarnation = w.members[s].Incarnation
	}
	return st
}

// explorer visits worlds level by level, so the first violation has the fewest
// steps and the number of states does not depend on the workers.
type explorer struct {
	rules   *rules
	limit   int
	workers int
	shards  [64]struct {
		sync.Mutex
		seen map[uint64]struct{}
	}
}

type finding struct {
	states, depth int
	exhausted     bool
	problem       string
	path          []step
}

func (x *explorer) visit(key []byte) bool {
	h := xxhash.Sum64(key)
	s := &x.shards[h%64]
	s.Lock()
	defer s.Unlock()
	if _, ok := s.seen[h]; ok {
		return false
	}
	s.seen[h] = struct{}{}
	return true
}

func (x *explorer) run() finding {
	// Most of the work is allocation, and little of it is kept.
	defer debug.SetGCPercent(debug.SetGCPercent(200))
	for i := range x.shards {
		x.shards[i].seen = map[uint64]struct{}{}
	}
	f := finding{states: 1}
	level := []*world{x.rules.begin()}
	x.visit(level[0].appendKey(nil))
	for len(level) > 0 && f.states < x.limit {
		f.depth++
		next, bad := x.expand(level)
		f.states += len(next)
		if bad != nil {
			f.problem, f.path = bad.violation(x.rules), bad.path
			return f
		}
		level = next
	}
	f.exhausted = len(level) == 0
	return f
}

func (x *explorer) expand(level []*world) ([]*world, *world) {
	next, bad := make([][]*world, x.workers), make([]*world, x.workers)
	var group sync.WaitGroup
	for k := range x.workers {
		group.Go(func() {
			key := make([]byte, 0, 512)
			for i := k; i < len(level) && bad[k] == nil; i += x.workers {
				level[i].next(x.rules, func(w *world) {
					if !x.rules.everyStatus {
						w.acknowledge(x.rules)
					}
					if key = w.appendKey(key[:0]); !x.visit(key) {
						return
					}
					next[k] = append(next[k], w)
					if bad[k] == nil && w.violation(x.rules) != "" {
						bad[k] = w
					}
				})
			}
		})
	}
	group.Wait()
	var all []*world
	var first *world
	for k := range next {
		all = append(all, next[k]...)
		if first == nil {
			first = bad[k]
		}
	}
	return all, first
}

// exploreStates names the environment variable with a larger bound on the
// states of each row of TestExplore.
const exploreStates = "HEMLOCKMAST_EXPLORE_STATES"

func explore(r rules, limit, workers int) finding {
	x := &explorer{rules: &r, limit: limit, workers: workers}
	return x.run()
}

func TestExplore(t *testing.T) {
	larger, _ := strconv.Atoi(os.Getenv(exploreStates))
	for _, tc := range []struct {
		name  string
		limit int
		rules rules
	}{
		{"two promotions, every status, lost answers", 150_000, rules{terms: []uint8{2, 3}, maxWrites: 1, everyStatus: true, lostReplies: true}},
		{"two promotions, lost answers, timeouts", 400_000, rules{terms: []uint8{2, 3}, maxWrites: 1, lostReplies: true, timeouts: true}},
		{"two writes, two promotions", 400_000, rules{terms: []uint8{2, 3}, maxWrites: 2}},
		{"three promotions", 1_100_000, rules{terms: []uint8{2, 3, 4}, maxWrites: 1}},
		{"equal terms", 150_000, rules{terms: []uint8{2, 2, 3}, maxWrites: 1, lostReplies: true}},
		{"one disk lost", 300_000, rules{terms: []uint8{2, 3}, maxWrites: 1, maxLosses: 1}},
		{"one disk lost, lost answers, timeouts", 100_000, rules{terms: []uint8{2, 3}, maxWrites: 1, maxLosses: 1, lostReplies: true, timeouts: true}},
		{"disks lost one after another", 200_000, rules{terms: []uint8{2, 3, 4}, maxWrites: 1, maxLosses: 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := explore(tc.rules, max(tc.limit, larger), runtime.GOMAXPROCS(0))
			t.Logf("%d states, depth %d, exhausted %v", f.states, f.depth, f.exhausted)
			assert.Equal(t, f.problem, "", pathString(f.path))
		})
	}
}

// TestExploreFindsEachTrap takes one rule out at a time.
func TestExploreFindsEachTrap(t *testing.T) {
	const lost, apart = "lacks acknowledged write", "needs correction"
	for _, tc := range []struct {
		name  string
		want  string
		rules rules
	}{
		{"choice by the fenced term", lost, rules{rankByFenced: true, terms: []uint8{2, 3}, maxWrites: 1}},
		{"confirmation by a fenced replica", lost, rules{ackIgnoresFence: true, terms: []uint8{2, 3, 4}, maxWrites: 1}},
		{"replication from lower terms", lost, rules{fenceLeaks: true, terms: []uint8{2, 3}, maxWrites: 1}},
		{"no record that starts the term", apart, rules{noStartRecord: true, terms: []uint8{2, 3, 4}, maxWrites: 1}},
		{"an empty disk counts", lost, rules{countEmptyDisk: true, terms: []uint8{2, 3}, maxWrites: 1, maxLosses: 1}},
		{"new incarnation counts from the term before", lost, rules{admitEarly: true, terms: []uint8{2, 3, 4}, maxWrites: 1, maxLosses: 1}},
		{"new incarnation recorded with a low term", lost, rules{terms: []uint8{3, 2}, maxWrites: 1, maxLosses: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := explore(tc.rules, 2_000_000, 1)
			t.Logf("%d states, %d steps: %s: %s", f.states, len(f.path), f.problem, pathString(f.path))
			assert.Assert(t, strings.Contains(f.problem, tc.want), "%q in %d states, exhausted %v", f.problem, f.states, f.exhausted)
		})
	}
}
