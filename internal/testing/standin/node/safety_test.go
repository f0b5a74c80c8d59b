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

// cluster is three nodes, promoters that follow the promotion rules, and the
// writes that were acknowledged by the acknowledgement rule. Each message is
// delivered when rapid draws its step, or never.
type cluster struct {
	t          *rapid.T
	disks      [nodes]*disk.Memory
	nodes      [nodes]*Node
	grants     map[uint64]map[int]logpos.Pos // by term and node: the synced position in the fence reply
	chosen     map[uint64]int                // by term: the node that its promoter chose
	acked      map[logpos.Pos]string
	written    map[logpos.Pos]string
	writeCount int // number of writes that were tried
}

func promoterOf(term uint64) string { return fmt.Sprintf("p%d", term) }

func (c *cluster) restart(i int) {
	n, err := Open("g", fmt.Sprint(i), c.disks[i])
	assert.NilError(c.t, err)
	c.nodes[i] = n
}

func (c *cluster) drawNode(label string) int { return rapid.IntRange(0, nodes-1).Draw(c.t, label) }

// drawTerm draws one of the newest terms or the one after them.
func (c *cluster) drawTerm() uint64 {
	newest := uint64(0)
	for term := range c.grants {
		newest = max(newest, term)
	}
	back := rapid.SampledFrom([]uint64{0, 1, 1, 1, 2, 3}).Draw(c.t, "back")
	return max(newest+1, back+1) - back
}

// runPromotion runs a whole promotion with two nodes and without the third.
func (c *cluster) runPromotion() {
	term := c.drawTerm()
	excluded := c.drawNode("excluded")
	for i := range nodes {
		if i != excluded {
			c.grant(i, term)
		}
	}
	c.promoteMostAdvanced(term)
	for i := range nodes {
		if leader, ok := c.chosen[term]; ok && i != leader && i != excluded && rapid.Bool().Draw(c.t, "follows") {
			c.nodes[i].Follow(term, fmt.Sprint(leader))
		}
	}
}

// write commits at a drawn node, which may reject it.
func (c *cluster) write() {
	c.writeCount++
	text := fmt.Sprint(c.writeCount)
	pos, err := c.nodes[c.drawNode("writer")].Commit([]store.Op{{Kind: store.OpPut, Key: text}})
	if err == nil {
		c.written[pos] = text
	}
}

// replicate delivers a few records from one node to another, by the endpoint's
// protocol.
func (c *cluster) replicate() {
	from, to := c.nodes[c.drawNode("from")], c.nodes[c.drawNode("to")]
	if from == to {
		return
	}
	term, addr, _ := to.Upstream()
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
	recs, _, err := from.Read(term, keep, rapid.IntRange(0, 3).Draw(c.t, "records"))
	if err == nil {
		assert.NilError(c.t, to.Receive(term, recs, time.Unix(0, 0)))
	}
}

// acknowledge acknowledges every write that a majority confirms in its term.
func (c *cluster) acknowledge() {
	for pos, text := range c.written {
		confirmations := 0
		for _, n := range c.nodes {
			st, _ := n.Status()
			if st.Synced.Term == pos.Term && !st.Synced.Less(pos) && st.FencedTerm <= pos.Term {
				confirmations++
			}
		}
		if confirmations >= majority {
			c.acked[pos] = text
		}
	}
}

func (c *cluster) fence() { c.grant(c.drawNode("fenced"), c.drawTerm()) }

func (c *cluster) grant(i int, term uint64) {
	if c.nodes[i].Fence(term, promoterOf(term)) != nil {
		return
	}
	if c.grants[term] == nil {
		c.grants[term] = map[int]logpos.Pos{}
	}
	if _, ok := c.grants[term][i]; !ok {
		st, _ := c.nodes[i].Status()
		c.grants[term][i] = st.Synced
	}
}

func (c *cluster) promote() { c.promoteMostAdvanced(c.drawTerm()) }

// promoteMostAdvanced promotes the most advanced node of a fenced majority. A
// repetition promotes the same node.
func (c *cluster) promoteMostAdvanced(term uint64) {
	if _, ok := c.chosen[term]; !ok {
		if len(c.grants[term]) < majority {
			return
		}
		best := -1
		for i := range nodes {
			if pos, ok := c.grants[term][i]; ok && (best < 0 || c.grants[term][best].Less(pos)) {
				best = i
			}
		}
		c.chosen[term] = best
	}
	c.nodes[c.chosen[term]].Promote(term, promoterOf(term))
}

func (c *cluster) follow() {
	term := c.drawTerm()
	if leader, ok := c.chosen[term]; ok {
		c.nodes[c.drawNode("follower")].Follow(term, fmt.Sprint(leader))
	}
}

func (c *cluster) checkInvariants() {
	for i, n := range c.nodes {
		st, _ := n.Status()
		if st.Role == endpoint.RolePrimary && n.Writable() {
			c.checkAcknowledgedWrites(i)
		}
		for j := range i {
			c.checkLogsAgree(n.log, c.nodes[j].log)
		}
	}
}

// checkAcknowledgedWrites checks that the log of a writable primary holds every
// write that was acknowledged in its term or an earlier one.
func (c *cluster) checkAcknowledgedWrites(i int) {
	n := c.nodes[i]
	for pos, text := range c.acked {
		if pos.Term > n.meta.Term {
			continue
		}
		held := pos.Index <= uint64(len(n.log)) && n.log[pos.Index-1].Pos == pos
		assert.Assert(c.t, held, "write %s at %s is lost at the primary of term %d", text, pos, n.meta.Term)
		assert.Equal(c.t, n.log[pos.Index-1].Ops[0].Key, text)
	}
}

// checkLogsAgree checks that two logs are equal up to the last position that they
// share.
func (c *cluster) checkLogsAgree(a, b []store.Record) {
	shared := false
	for i := min(len(a), len(b)) - 1; i >= 0; i-- {
		shared = shared || a[i].Pos == b[i].Pos
		assert.Assert(c.t, !shared || a[i].Pos == b[i].Pos, "logs share a later position but not %s", a[i].Pos)
	}
}

// action is one kind of step in a run.
type action struct {
	name string
	run  func(*cluster)
}

// String returns the name of the action for rapid's reports.
func (a action) String() string { return a.name }

const (
	// stepsPerRun is the number of steps in one run.
	stepsPerRun = 250
	// rapidRounds is the number of rapid.Check calls, each of which makes rapid's
	// default number of runs.
	rapidRounds = 8
)

// weightedActions holds each action as many times as its weight.
var weightedActions = func() []action {
	var out []action
	for _, kind := range []struct {
		action
		weight int
	}{
		{action{"replicate", (*cluster).replicate}, 12},
		{action{"write", (*cluster).write}, 6},
		{action{"acknowledge", (*cluster).acknowledge}, 6},
		{action{"fence", (*cluster).fence}, 1},
		{action{"elect", (*cluster).runPromotion}, 1},
		{action{"promote", (*cluster).promote}, 1},
		{action{"follow", (*cluster).follow}, 2},
		{action{"crash", func(c *cluster) { c.restart(c.drawNode("crashed")) }}, 1},
	} {
		for range kind.weight {
			out = append(out, kind.action)
		}
	}
	return out
}()

// TestNoAcknowledgedWriteIsLost runs random sequences of writes, partial
// replication, fences, promotions, crashes and acknowledgements. After each step
// it checks that no writable primary lacks an acknowledged write and that logs
// agree up to their last common position.
func TestNoAcknowledgedWriteIsLost(t *testing.T) {
	acked, promoted := 0, 0
	for range rapidRounds {
		rapid.Check(t, func(t *rapid.T) { c := runSteps(t); acked += len(c.acked); promoted += len(c.chosen) })
	}
	t.Logf("%d writes acknowledged over %d promotions", acked, promoted)
}

func runSteps(t *rapid.T) *cluster {
	c := &cluster{t: t, grants: map[uint64]map[int]logpos.Pos{}, chosen: map[uint64]int{},
		acked: map[logpos.Pos]string{}, written: map[logpos.Pos]string{}}
	for i := range nodes {
		c.disks[i] = &disk.Memory{}
		c.restart(i)
	}
	for _, step := range rapid.SliceOfN(rapid.SampledFrom(weightedActions), stepsPerRun, stepsPerRun).Draw(t, "steps") {
		step.run(c)
		c.checkInvariants()
	}
	return c
}
