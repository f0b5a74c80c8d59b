package node

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/testing/standin/disk"
	"hemlockmast/internal/testing/standin/store"
)

const (
	nodes    = 3
	majority = 2
)

// world is three nodes, promoters that keep the rules of promotion, and the
// writes that were acknowledged by the rules of acknowledging. Messages are
// delivered when rapid draws them, or never.
type world struct {
	t       *rapid.T
	disks   [nodes]*disk.Memory
	nodes   [nodes]*Node
	grants  map[uint64]map[int]logpos.Pos // by term: fence replies
	leaders map[uint64]int                // by term: whom its promoter chose
	acked   map[logpos.Pos]string
	written map[logpos.Pos]string
	next    int
}

func promoterOf(term uint64) string { return fmt.Sprintf("p%d", term) }

func (w *world) restart(i int) {
	n, err := Open("g", fmt.Sprint(i), w.disks[i])
	assert.NilError(w.t, err)
	w.nodes[i] = n
}

func (w *world) drawNode(label string) int { return rapid.IntRange(0, nodes-1).Draw(w.t, label) }

// drawTerm favours the newest terms.
func (w *world) drawTerm() uint64 {
	top := uint64(0)
	for term := range w.grants {
		top = max(top, term)
	}
	back := rapid.SampledFrom([]uint64{0, 1, 1, 1, 2, 3}).Draw(w.t, "back")
	return max(top+1, back+1) - back
}

// elect runs a promotion through with two nodes, and leaves the third out.
func (w *world) elect() {
	term := w.drawTerm()
	out := w.drawNode("out")
	for i := range nodes {
		if i != out {
			w.grant(i, term)
		}
	}
	w.choose(term)
	for i := range nodes {
		if leader, ok := w.leaders[term]; ok && i != leader && i != out && rapid.Bool().Draw(w.t, "hears") {
			w.nodes[i].Follow(term, fmt.Sprint(leader))
		}
	}
}

// write commits at whoever takes it.
func (w *world) write() {
	w.next++
	text := fmt.Sprint(w.next)
	pos, err := w.nodes[w.drawNode("writer")].Commit([]store.Op{{Kind: store.OpPut, Key: text}})
	if err == nil {
		w.written[pos] = text
	}
}

// replicate delivers part of one stream, as the endpoint does.
func (w *world) replicate() {
	from, to := w.nodes[w.drawNode("from")], w.nodes[w.drawNode("to")]
	if from == to {
		return
	}
	term, addr, _ := to.Target()
	if addr == "" {
		return
	}
	if _, _, err := from.Read(term, 0, 0); err != nil {
		return
	}
	keep := from.CommonLength(to.History())
	if to.Rewind(term, keep) != nil {
		return
	}
	recs, _, err := from.Read(term, keep, rapid.IntRange(0, 3).Draw(w.t, "records"))
	if err == nil {
		assert.NilError(w.t, to.Receive(term, recs, time.Unix(0, 0)))
	}
}

// acknowledge says done for a write that a majority confirms in its term.
func (w *world) acknowledge() {
	for pos, text := range w.written {
		confirms := 0
		for _, n := range w.nodes {
			st, _ := n.Status()
			if st.Synced.Term == pos.Term && !st.Synced.Less(pos) && st.FencedTerm <= pos.Term {
				confirms++
			}
		}
		if confirms >= majority {
			w.acked[pos] = text
		}
	}
}

func (w *world) fence() { w.grant(w.drawNode("fenced"), w.drawTerm()) }

func (w *world) grant(i int, term uint64) {
	if w.nodes[i].Fence(term, promoterOf(term)) != nil {
		return
	}
	if w.grants[term] == nil {
		w.grants[term] = map[int]logpos.Pos{}
	}
	if _, ok := w.grants[term][i]; !ok {
		st, _ := w.nodes[i].Status()
		w.grants[term][i] = st.Synced
	}
}

func (w *world) promote() { w.choose(w.drawTerm()) }

// choose promotes the furthest of a majority that was fenced, the same one
// whenever it is repeated.
func (w *world) choose(term uint64) {
	if _, ok := w.leaders[term]; !ok {
		if len(w.grants[term]) < majority {
			return
		}
		best := -1
		for i := range nodes {
			if pos, ok := w.grants[term][i]; ok && (best < 0 || w.grants[term][best].Less(pos)) {
				best = i
			}
		}
		w.leaders[term] = best
	}
	w.nodes[w.leaders[term]].Promote(term, promoterOf(term))
}

func (w *world) follow() {
	term := w.drawTerm()
	if leader, ok := w.leaders[term]; ok {
		w.nodes[w.drawNode("follower")].Follow(term, fmt.Sprint(leader))
	}
}

func (w *world) check() {
	for i, n := range w.nodes {
		st, _ := n.Status()
		if st.Role == endpoint.RolePrimary && n.Writable() {
			w.checkHolds(i)
		}
		for j := range i {
			w.checkMatch(n.log, w.nodes[j].log)
		}
	}
}

// checkHolds looks for every write that was acknowledged in an earlier term in
// the log of a primary that takes writes.
func (w *world) checkHolds(i int) {
	n := w.nodes[i]
	for pos, text := range w.acked {
		if pos.Term > n.meta.Term {
			continue
		}
		held := pos.Index <= uint64(len(n.log)) && n.log[pos.Index-1].Pos == pos
		assert.Assert(w.t, held, "write %s at %s is lost at the primary of term %d", text, pos, n.meta.Term)
		assert.Equal(w.t, n.log[pos.Index-1].Ops[0].Key, text)
	}
}

// checkMatch looks at the last position that two logs share: all before it must
// be equal.
func (w *world) checkMatch(a, b []store.Record) {
	same := false
	for i := min(len(a), len(b)) - 1; i >= 0; i-- {
		same = same || a[i].Pos == b[i].Pos
		assert.Assert(w.t, !same || a[i].Pos == b[i].Pos, "logs share a later position but not %s", a[i].Pos)
	}
}

// action is one kind of step.
type action struct {
	name string
	do   func(*world)
}

// String names the action in rapid's reports.
func (a action) String() string { return a.name }

const (
	// steps is the length of one run.
	steps = 250
	// rounds is how often rapid's number of runs is repeated.
	rounds = 8
)

// mix holds each kind of step as often as its weight.
var mix = func() []action {
	var out []action
	for _, kind := range []struct {
		action
		weight int
	}{
		{action{"replicate", (*world).replicate}, 12},
		{action{"write", (*world).write}, 6},
		{action{"acknowledge", (*world).acknowledge}, 6},
		{action{"fence", (*world).fence}, 1},
		{action{"elect", (*world).elect}, 1},
		{action{"promote", (*world).promote}, 1},
		{action{"follow", (*world).follow}, 2},
		{action{"crash", func(w *world) { w.restart(w.drawNode("crashed")) }}, 1},
	} {
		for range kind.weight {
			out = append(out, kind.action)
		}
	}
	return out
}()

// TestNoAcknowledgedWriteIsLost runs random orders of writes, partial
// replication, fences, promotions, crashes and acknowledgements.
func TestNoAcknowledgedWriteIsLost(t *testing.T) {
	acked, promoted := 0, 0
	for range rounds {
		rapid.Check(t, func(t *rapid.T) { w := runWorld(t); acked += len(w.acked); promoted += len(w.leaders) })
	}
	t.Logf("%d writes acknowledged over %d promotions", acked, promoted)
}

func runWorld(t *rapid.T) *world {
	w := &world{t: t, grants: map[uint64]map[int]logpos.Pos{}, leaders: map[uint64]int{},
		acked: map[logpos.Pos]string{}, written: map[logpos.Pos]string{}}
	for i := range nodes {
		w.disks[i] = &disk.Memory{}
		w.restart(i)
	}
	for _, step := range rapid.SliceOfN(rapid.SampledFrom(mix), steps, steps).Draw(t, "steps") {
		step.do(w)
		w.check()
	}
	return w
}
