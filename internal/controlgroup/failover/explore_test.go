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

// next calls yield with each world that one step can lead to from w.
func (w *world) next(r *rules, yield func(*world)) {
	for p := range w.nodes {
		w.primarySteps(uint8(p), r, yield)
		if r.deliverEveryStatus {
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

// primarySteps yields a write at p and the replication of one record from p to
// each other slot.
func (w *world) primarySteps(p uint8, r *rules, yield func(*world)) {
	n := &w.nodes[p]
	if n.primaryOf == 0 || n.fenced != n.primaryOf {
		return
	}
	if g := w.groupIndex(n.primaryOf); g >= 0 && w.writes < r.maxWrites {
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

// confirmCommits passes each group the statuses that make it confirm a commit. A
// confirmation only adds to the records that must survive. A world that delays
// a possible confirmation can therefore violate nothing that the world with the
// confirmation does not violate, and it is not explored.
func (w *world) confirmCommits(r *rules) {
	for i, g := range w.groups {
		for s := range w.nodes {
			if g.Pending() == 0 {
				break
			}
			changed := g.Clone()
			out, err := changed.Observe(nil, w.reportedStatus(s, r))
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

// observeSteps yields the delivery of the status of s to the group of each term,
// for explorations that include statuses that confirm nothing.
func (w *world) observeSteps(s uint8, r *rules, yield func(*world)) {
	for i, g := range w.groups {
		c := w.clone(step{stepObserve, s, uint8(g.Term())})
		c.groups[i] = g.Clone()
		out, err := c.groups[i].Observe(nil, w.reportedStatus(int(s), r))
		if err != nil {
			panic(err)
		}
		c.record(out, uint8(g.Term()))
		yield(c)
	}
}

// reportedStatus returns the status of s as a confirming group sees it.
func (w *world) reportedStatus(s int, r *rules) endpoint.Status {
	st := w.nodes[s].status(s)
	if r.ackIgnoresFence {
		st.FencedTerm = 0
	}
	if r.countEmptyDisk {
		st.Incarnation = w.members[s].Incarnation
	}
	return st
}

// lossSteps yields the loss of the disk of s, provided that all other slots
// count, which leaves a majority.
func (w *world) lossSteps(s uint8, r *rules, yield func(*world)) {
	if w.lostDisks == r.maxLostDisks {
		return
	}
	for i := range w.nodes {
		if i != int(s) && !w.members[i].CountsGrant(w.nodes[i].status(i)) {
			return
		}
	}
	c := w.clone(step{stepLoseDisk, s, 0})
	c.lostDisks++
	c.nodes[s] = node{incarnation: w.nodes[s].incarnation + 1}
	yield(c)
}

// initialWorld returns the first world. Without lost disks the start time of an
// attempt does not matter, because its commands may arrive arbitrarily late: all
// attempts start at once.
func (r *rules) initialWorld() *world {
	w := newWorld()
	if r.maxLostDisks == 0 {
		for _, term := range r.terms {
			w.start(term)
		}
	}
	return w
}

// attemptSteps yields the start of the next attempt, once by a promoter that has
// seen no new incarnation and once by one that has seen all of them.
func (w *world) attemptSteps(r *rules, yield func(*world)) {
	if r.maxLostDisks == 0 || len(w.attempts) == len(r.terms) {
		return
	}
	term := r.terms[len(w.attempts)]
	c := w.clone(step{stepAttempt, term, 0})
	c.start(term)
	yield(c)
	c = w.clone(step{stepAttempt, term, 1})
	for i, m := range w.allocateMembers(term) {
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

// allocateMembers returns the members that the control group allocates with term
// to a promoter that has seen every incarnation.
func (w *world) allocateMembers(term uint8) []quorum.Member {
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

// since returns the term from which a new incarnation counts under r.
func (r *rules) since(term uint8, recorded uint64) uint64 {
	switch {
	case r.countEmptyDisk:
		return 0
	case r.countOneTermEarly:
		return uint64(term) - 1
	}
	return recorded
}

// start begins an attempt at term by a new promoter.
func (w *world) start(term uint8) {
	promoter := uint8(len(w.attempts) + 1)
	members := w.members
	m, effects, err := New(Config{Promoter: fmt.Sprint(promoter), Term: uint64(term), Members: members[:]}, modelTime)
	if err != nil {
		panic(err)
	}
	w.attempts = append(w.attempts, attempt{machine: m, promoter: promoter})
	w.applyEffects(len(w.attempts)-1, effects)
}

// applyEffects puts the commands of attempt i on the network and records an
// announced primary. It ignores Follow: stepPull models replication.
func (w *world) applyEffects(i int, effects []Effect) {
	a := &w.attempts[i]
	for _, effect := range effects {
		switch e := effect.(type) {
		case Fence:
			a.fence |= 1 << slotIndex(e.Slot)
		case Promote:
			a.promote |= 1 << slotIndex(e.Slot)
		case AnnouncePrimary:
			w.announceMembers(e.Term, e.Primary, e.Members)
		}
	}
}

func slotIndex(name string) int { return int(name[0] - 'a') }

// commandSteps yields the delivery of each command of attempt i to slot s. A
// command whose answer is lost stays on the network, because it may arrive twice.
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
	event := c.runCommand(s, r)
	if r.loseReplies {
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
	c.applyEffects(int(s.a), a.machine.Step(modelTime, event))
	yield(c)
}

// timeoutStep yields the end of the phase deadline of attempt i, whose commands
// may still arrive.
func (w *world) timeoutStep(i uint8, yield func(*world)) {
	deadline, ok := w.attempts[i].machine.Deadline()
	if !ok {
		return
	}
	c := w.clone(step{stepTimeout, i, 0})
	a := &c.attempts[i]
	a.machine = a.machine.Clone()
	c.applyEffects(int(i), a.machine.Step(deadline, Tick{}))
	yield(c)
}

// runCommand carries out a fence or promote command and returns its answer.
func (w *world) runCommand(s step, r *rules) Event {
	n, a := &w.nodes[s.b], &w.attempts[s.a]
	name, term := slotNames[s.b], uint8(a.machine.cfg.Term)
	before := n.fenced
	if s.kind == stepFence && n.fence(term, a.promoter) {
		return FenceGranted{Slot: name, Term: uint64(term), Status: w.grantStatus(s.b, before, r)}
	}
	if s.kind == stepPromote && n.promote(term, a.promoter, r) {
		w.promoted[term] |= 1 << s.b
		return PromoteSucceeded{Slot: name, Term: uint64(term), Status: n.status(int(s.b))}
	}
	return Refused{Slot: name, Term: uint64(term), FencedTerm: uint64(n.fenced)}
}

// grantStatus returns the status in the answer to a granted fence; before is the
// fenced term before the grant.
func (w *world) grantStatus(s, before uint8, r *rules) endpoint.Status {
	st := w.nodes[s].status(int(s))
	if r.rankByFencedTerm {
		st.Synced.Term = uint64(before)
	}
	if r.countEmptyDisk {
		st.Incarnation = w.members[s].Incarnation
	}
	return st
}

// explorer visits worlds breadth first, so that the first violation has the
// fewest steps and the number of states does not depend on the number of workers.
type explorer struct {
	rules   *rules
	limit   int
	workers int
	shards  [64]struct {
		sync.Mutex
		seen map[uint64]struct{}
	}
}

type explorationResult struct {
	states, depth int
	exhausted     bool
	problem       string
	path          []step
}

// visit reports whether key is new. It keeps hashes, not keys.
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

func (x *explorer) run() explorationResult {
	// Most of the time goes into allocation, and few of the objects stay live.
	defer debug.SetGCPercent(debug.SetGCPercent(200))
	for i := range x.shards {
		x.shards[i].seen = map[uint64]struct{}{}
	}
	result := explorationResult{states: 1}
	level := []*world{x.rules.initialWorld()}
	x.visit(level[0].appendKey(nil))
	for len(level) > 0 && result.states < x.limit {
		result.depth++
		next, bad := x.expand(level)
		result.states += len(next)
		if bad != nil {
			result.problem, result.path = bad.violation(x.rules), bad.path
			return result
		}
		level = next
	}
	result.exhausted = len(level) == 0
	return result
}

// expand returns the unvisited successors of level, and one of them that
// violates the invariants or nil.
func (x *explorer) expand(level []*world) ([]*world, *world) {
	next, bad := make([][]*world, x.workers), make([]*world, x.workers)
	var group sync.WaitGroup
	for k := range x.workers {
		group.Go(func() {
			key := make([]byte, 0, 512)
			for i := k; i < len(level) && bad[k] == nil; i += x.workers {
				level[i].next(x.rules, func(w *world) {
					if !x.rules.deliverEveryStatus {
						w.confirmCommits(x.rules)
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

// exploreStates is the environment variable that raises the limit on the states
// of each row of TestExplore.
const exploreStates = "HEMLOCKMAST_EXPLORE_STATES"

func explore(r rules, limit, workers int) explorationResult {
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
		{"two promotions, every status, lost answers", 150_000, rules{terms: []uint8{2, 3}, maxWrites: 1, deliverEveryStatus: true, loseReplies: true}},
		{"two promotions, lost answers, timeouts", 400_000, rules{terms: []uint8{2, 3}, maxWrites: 1, loseReplies: true, timeouts: true}},
		{"two writes, two promotions", 400_000, rules{terms: []uint8{2, 3}, maxWrites: 2}},
		{"three promotions", 1_100_000, rules{terms: []uint8{2, 3, 4}, maxWrites: 1}},
		{"equal terms", 150_000, rules{terms: []uint8{2, 2, 3}, maxWrites: 1, loseReplies: true}},
		{"one disk lost", 300_000, rules{terms: []uint8{2, 3}, maxWrites: 1, maxLostDisks: 1}},
		{"one disk lost, lost answers, timeouts", 100_000, rules{terms: []uint8{2, 3}, maxWrites: 1, maxLostDisks: 1, loseReplies: true, timeouts: true}},
		{"disks lost one after another", 200_000, rules{terms: []uint8{2, 3, 4}, maxWrites: 1, maxLostDisks: 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			result := explore(tc.rules, max(tc.limit, larger), runtime.GOMAXPROCS(0))
			t.Logf("%d states, depth %d, exhausted %v", result.states, result.depth, result.exhausted)
			assert.Equal(t, result.problem, "", pathString(result.path))
		})
	}
}

// TestExploreFindsEachTrap breaks one rule of the protocol at a time and checks
// that the exploration finds the violation that the rule prevents.
func TestExploreFindsEachTrap(t *testing.T) {
	const lacksWrite, needsCorrection = "lacks acknowledged write", "needs correction"
	for _, tc := range []struct {
		name  string
		want  string
		rules rules
	}{
		{"choice by the fenced term", lacksWrite, rules{rankByFencedTerm: true, terms: []uint8{2, 3}, maxWrites: 1}},
		{"confirmation by a fenced replica", lacksWrite, rules{ackIgnoresFence: true, terms: []uint8{2, 3, 4}, maxWrites: 1}},
		{"replication from lower terms", lacksWrite, rules{fencedReplicates: true, terms: []uint8{2, 3}, maxWrites: 1}},
		{"no record that starts the term", needsCorrection, rules{noStartRecord: true, terms: []uint8{2, 3, 4}, maxWrites: 1}},
		{"an empty disk counts", lacksWrite, rules{countEmptyDisk: true, terms: []uint8{2, 3}, maxWrites: 1, maxLostDisks: 1}},
		{"new incarnation counts from the term before", lacksWrite, rules{countOneTermEarly: true, terms: []uint8{2, 3, 4}, maxWrites: 1, maxLostDisks: 1}},
		{"new incarnation recorded with a low term", lacksWrite, rules{terms: []uint8{3, 2}, maxWrites: 1, maxLostDisks: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			result := explore(tc.rules, 2_000_000, 1)
			t.Logf("%d states, %d steps: %s: %s", result.states, len(result.path), result.problem, pathString(result.path))
			assert.Assert(t, strings.Contains(result.problem, tc.want), "%q in %d states, exhausted %v", result.problem, result.states, result.exhausted)
		})
	}
}
