package failover

import (
	"encoding/binary"
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"time"

	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/commitack"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
)

const modelSlots = 3

var (
	slotNames = [modelSlots]string{"a", "b", "c"}
	modelTime = time.Unix(1000, 0)
)

// rules configures an exploration: which rules of the endpoint contract and of the
// promotion are broken, which faults occur, and the bounds.
type rules struct {
	rankByFencedTerm   bool // grants report the fenced term instead of the log term
	ackIgnoresFence    bool // confirmations ignore the replica's fenced term
	fencedReplicates   bool // a fenced endpoint still replicates from lower terms
	noStartRecord      bool // a promotion writes no record
	countEmptyDisk     bool // a new incarnation counts immediately
	countOneTermEarly  bool // a new incarnation counts one term early, from the current one
	loseReplies        bool // the answer to a command that was carried out may be lost
	timeouts           bool // the deadline of an attempt may pass at any moment
	deliverEveryStatus bool // statuses that confirm nothing are delivered too

	terms        []uint8 // terms of the attempts, each by its own promoter
	maxWrites    uint8
	maxLostDisks uint8
}

// record is a log record. ID 0 is the record that starts the term.
type record struct{ term, id uint8 }

// node is a model endpoint that keeps the contract. All its state is durable.
// grantedTo is the promoter that was granted the term fenced, or 0 if replication
// raised the term. primaryOf is the term of which the node is the primary, or 0.
type node struct {
	incarnation, fenced, grantedTo, primaryOf uint8
	log                                       string // records, two bytes each
}

func (n *node) len() int { return len(n.log) / 2 }

func (n *node) at(i int) record { return record{n.log[2*i], n.log[2*i+1]} }

func (n *node) write(r record) { n.log += string([]byte{r.term, r.id}) }

func (n *node) holds(r record) bool {
	for i := range n.len() {
		if n.at(i) == r {
			return true
		}
	}
	return false
}

func (n *node) status(slot int) endpoint.Status {
	st := endpoint.Status{Slot: slotNames[slot], Incarnation: incarnation(n.incarnation), FencedTerm: uint64(n.fenced)}
	if n.primaryOf > 0 {
		st.Role = endpoint.RolePrimary
	}
	if l := n.len(); l > 0 {
		st.Synced = logpos.Pos{Term: uint64(n.at(l - 1).term), Index: uint64(l)}
	}
	return st
}

func incarnation(n uint8) string { return string(rune('0' + n)) }

// fence grants term to promoter and reports whether it did. Promoters are
// numbered from 1.
func (n *node) fence(term, promoter uint8) bool {
	if term < n.fenced || term == n.fenced && n.grantedTo != promoter {
		return false
	}
	n.fenced, n.grantedTo = term, promoter
	return true
}

func (n *node) promote(term, promoter uint8, r *rules) bool {
	if n.fenced != term || n.grantedTo != promoter {
		return false
	}
	if n.primaryOf != term && !r.noStartRecord {
		n.write(record{term, 0})
	}
	n.primaryOf = term
	return true
}

// pull rewinds the divergent tail of n's log and copies one record from a primary
// of term. It reports whether the log changed.
func (n *node) pull(from *node, term uint8, r *rules) bool {
	if n.fenced > term && !r.fencedReplicates {
		return false
	}
	k := 0
	for k < len(n.log) && k < len(from.log) && n.log[k:k+2] == from.log[k:k+2] {
		k += 2
	}
	next := from.log
	if k < len(from.log) {
		next = from.log[:k+2]
	}
	if next == n.log {
		return false
	}
	n.log, n.primaryOf = next, 0
	if n.fenced < term {
		n.fenced, n.grantedTo = term, 0
	}
	return true
}

// attempt is a promoter's Machine and the commands that the network may still
// deliver, one bit for each slot.
type attempt struct {
	machine        *Machine
	promoter       uint8
	fence, promote uint8
}

// world is one state of the model. Machines and groups are shared between worlds
// and cloned before they handle an event.
type world struct {
	nodes        [modelSlots]node
	members      [modelSlots]quorum.Member
	attempts     []attempt
	groups       []*commitack.Group // one for each announced term
	promoted     [10]uint8          // by term: one bit for each slot that was promoted
	ackedRecords string             // acknowledged records, two bytes each
	writes       uint8
	lostDisks    uint8
	path         []step
}

type stepKind uint8

// A command with a lost answer directly follows the command: deliver adds 1.
const (
	stepWrite stepKind = iota
	stepPull
	stepObserve
	stepAttempt
	stepFence
	stepFenceLost
	stepPromote
	stepPromoteLost
	stepLoseDisk
	stepTimeout
)

var stepNames = []string{"write", "pull", "observe", "attempt", "fence", "fence-lost", "promote", "promote-lost", "lose-disk", "timeout"}

// step is one transition of the model. The meaning of a and b depends on kind:
// slots, an attempt and a slot, or a term.
type step struct {
	kind stepKind
	a, b uint8
}

func pathString(path []step) string {
	var words []string
	for _, s := range path {
		words = append(words, fmt.Sprintf("%s(%d,%d)", stepNames[s.kind], s.a, s.b))
	}
	return strings.Join(words, " ")
}

// newWorld returns a world with slot 0 as the primary of term 1 and equal logs.
func newWorld() *world {
	w := &world{}
	for i := range w.nodes {
		w.nodes[i] = node{incarnation: 1, fenced: 1}
		w.nodes[i].write(record{1, 0})
		w.members[i] = quorum.Member{Slot: slotNames[i], Incarnation: incarnation(1)}
	}
	w.nodes[0].primaryOf = 1
	w.promoted[1] = 1
	w.announce(1, 0)
	return w
}

func (w *world) announce(term uint64, primary int) {
	w.announceMembers(term, slotNames[primary], w.members[:])
}

func (w *world) announceMembers(term uint64, primary string, members []quorum.Member) {
	g, err := commitack.New(term, primary, members)
	if err != nil {
		panic(err)
	}
	w.groups = append(w.groups, g)
}

// clone copies everything that a step changes in place and appends s to the path.
// Slices that it shares are copied before they are written.
func (w *world) clone(s step) *world {
	c := *w
	c.attempts = slices.Clone(w.attempts)
	c.groups = slices.Clone(w.groups)
	c.path = append(slices.Clip(w.path), s)
	return &c
}

func (w *world) groupIndex(term uint8) int {
	return slices.IndexFunc(w.groups, func(g *commitack.Group) bool { return g.Term() == uint64(term) })
}

// record adds the confirmed commits of term to the acknowledged records.
func (w *world) record(out []commitack.Result, term uint8) {
	for _, r := range out {
		if r.Outcome == commitack.Confirmed {
			w.ackedRecords += string([]byte{term, uint8(r.ID)})
		}
	}
}

// violation describes a violated invariant, or returns "".
func (w *world) violation(r *rules) string {
	for term, slots := range w.promoted {
		if bits.OnesCount8(slots) > 1 {
			return fmt.Sprintf("two primaries of term %d", term)
		}
	}
	for i := range w.nodes {
		n := &w.nodes[i]
		if n.primaryOf == 0 {
			continue
		}
		for k := 0; k < len(w.ackedRecords); k += 2 {
			r := record{w.ackedRecords[k], w.ackedRecords[k+1]}
			if r.term <= n.primaryOf && !n.holds(r) {
				return fmt.Sprintf("primary %s of term %d lacks acknowledged write %d of term %d", slotNames[i], n.primaryOf, r.id, r.term)
			}
		}
	}
	return w.divergence(r)
}

// divergence describes what keeps the group from converging on the highest term
// once no more faults occur, or returns "". After every slot has copied the
// primary's log, each must be in line with the primary, and no commit of the term
// may be pending. Without a working primary it returns "".
func (w *world) divergence(r *rules) string {
	p := w.workingPrimary()
	if p < 0 {
		return ""
	}
	term := w.nodes[p].primaryOf
	g := w.groups[w.groupIndex(term)].Clone()
	current := Current{Term: uint64(term), Primary: slotNames[p], Members: w.members[:]}
	for s, n := range w.nodes {
		for s != p && n.pull(&w.nodes[p], term, r) {
		}
		if _, err := g.Observe(nil, n.status(s)); err != nil {
			panic(err)
		}
		if c := current.CorrectionFor(n.status(s)); c != CorrectionNone && w.members[s].Is(n.status(s)) && w.members[s].CountsIn(uint64(term)) {
			return fmt.Sprintf("slot %s needs correction %d after it copied the primary of term %d", slotNames[s], c, term)
		}
	}
	if g.Pending() > 0 {
		return fmt.Sprintf("%d writes of term %d stay pending", g.Pending(), term)
	}
	return ""
}

// workingPrimary returns the slot of the announced primary of the highest term if
// no slot is fenced at a higher term, or -1.
func (w *world) workingPrimary() int {
	best := -1
	for s := range w.nodes {
		if best < 0 || w.nodes[s].fenced > w.nodes[best].fenced || w.nodes[s].fenced == w.nodes[best].fenced && w.nodes[s].primaryOf > 0 {
			best = s
		}
	}
	n := &w.nodes[best]
	if n.primaryOf == 0 || n.primaryOf != n.fenced || w.groupIndex(n.primaryOf) < 0 {
		return -1
	}
	return best
}

// appendKey appends an encoding of w to b. Worlds with the same key have the same
// successors.
func (w *world) appendKey(b []byte) []byte {
	for i := range w.nodes {
		n, m := &w.nodes[i], &w.members[i]
		b = append(b, n.incarnation, n.fenced, n.grantedTo, n.primaryOf, uint8(len(n.log)), m.Incarnation[0], uint8(m.Since))
		b = append(b, n.log...)
	}
	b = append(b, w.writes, w.lostDisks, uint8(len(w.ackedRecords)))
	b = append(b, w.ackedRecords...)
	b = append(b, w.promoted[:]...)
	for _, a := range w.attempts {
		b = append(b, uint8(a.machine.cfg.Term), a.promoter, a.fence, a.promote)
		for _, m := range a.machine.cfg.Members {
			b = append(b, m.Incarnation[0], uint8(m.Since))
		}
		b = a.machine.AppendKey(b)
	}
	b = append(b, 0xff)
	for _, g := range w.groups {
		b = binary.AppendUvarint(b, g.Term())
		b = g.AppendKey(b)
	}
	return b
}

// Clone returns an independent copy of m.
func (m *Machine) Clone() *Machine {
	c := *m
	c.slots = slices.Clone(m.slots)
	return &c
}

// AppendKey appends an encoding of m to b, without times and the term of the next
// attempt. Machines of one Config with the same key react in the same way.
func (m *Machine) AppendKey(b []byte) []byte {
	b = append(b, byte(m.phase), byte(m.chosen+1))
	for i := range m.slots {
		s := &m.slots[i]
		if m.phase == phaseAborted || m.phase == phaseEnded {
			break
		}
		b = append(b, byte(s.state))
		if s.state == slotRefused && s.fencedTerm <= m.cfg.Term {
			b = append(b, 0xfe)
		}
		if s.state == slotGranted && m.phase == phaseFencing {
			b = append(b, s.status.Incarnation...)
			b = append(b, byte(s.status.Synced.Term), byte(s.status.Synced.Index))
		}
	}
	return b
}
