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

// rules are the parts of the contract and of the decisions that a negative run
// takes out, and the bounds of the exploration.
type rules struct {
	rankByFenced    bool // grants report the fenced term in place of the log term
	ackIgnoresFence bool // confirmations ignore the replica's fenced term
	fenceLeaks      bool // a fenced endpoint still replicates from lower terms
	noStartRecord   bool // a promotion writes no record
	countEmptyDisk  bool // a new incarnation counts at once
	admitEarly      bool // a new incarnation counts from the term in force
	lostReplies     bool // an endpoint may carry out a command and its answer be lost
	timeouts        bool // an attempt may run out of time at any moment
	everyStatus     bool // statuses that confirm nothing are delivered too

	terms     []uint8 // of the attempts, all by different promoters
	maxWrites uint8
	maxLosses uint8
}

type record struct{ term, id uint8 } // id 0 starts the term

// node is a model endpoint that keeps the contract. All of it is durable.
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

// fence grants term to promoter, whose names count from 1.
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

// pull takes one record from a primary of term, after a rewind of what differs.
func (n *node) pull(from *node, term uint8, r *rules) bool {
	if n.fenced > term && !r.fenceLeaks {
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
// deliver, one bit a slot.
type attempt struct {
	machine        *Machine
	promoter       uint8
	fence, promote uint8
}

// world is one state. Machines and groups are shared between worlds and are
// cloned before they take an event.
type world struct {
	nodes    [modelSlots]node
	members  [modelSlots]quorum.Member
	attempts []attempt
	groups   []*commitack.Group // by term told
	promoted [10]uint8          // by term: one bit for each slot promoted
	acked    string             // records, two bytes each
	writes   uint8
	losses   uint8
	path     []step
}

type stepKind uint8

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

// newWorld begins with slot 0 as the primary of term 1 and the other logs equal.
func newWorld() *world {
	w := &world{}
	for i := range w.nodes {
		w.nodes[i] = node{incarnation: 1, fenced: 1}
		w.nodes[i].write(record{1, 0})
		w.members[i] = quorum.Member{Slot: slotNames[i], Incarnation: incarnation(1)}
	}
	w.nodes[0].primaryOf = 1
	w.promoted[1] = 1
	w.tell(1, 0)
	return w
}

func (w *world) tell(term uint64, primary int) {
	w.tellMembers(term, slotNames[primary], w.members[:])
}

func (w *world) tellMembers(term uint64, primary string, members []quorum.Member) {
	g, err := commitack.New(term, primary, members)
	if err != nil {
		panic(err)
	}
	w.groups = append(w.groups, g)
}

// clone copies what steps change in place; slices are copied when written.
func (w *world) clone(s step) *world {
	c := *w
	c.attempts = slices.Clone(w.attempts)
	c.groups = slices.Clone(w.groups)
	c.path = append(slices.Clip(w.path), s)
	return &c
}

func (w *world) group(term uint8) int {
	return slices.IndexFunc(w.groups, func(g *commitack.Group) bool { return g.Term() == uint64(term) })
}

func (w *world) record(out []commitack.Result, term uint8) {
	for _, r := range out {
		if r.Outcome == commitack.Confirmed {
			w.acked += string([]byte{term, uint8(r.ID)})
		}
	}
}

// violation returns what must never be, or "".
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
		for k := 0; k < len(w.acked); k += 2 {
			r := record{w.acked[k], w.acked[k+1]}
			if r.term <= n.primaryOf && !n.holds(r) {
				return fmt.Sprintf("primary %s of term %d lacks acknowledged write %d of term %d", slotNames[i], n.primaryOf, r.id, r.term)
			}
		}
	}
	return w.divergence(r)
}

// divergence says what keeps the slots from the top term once nothing fails any
// more: every slot copies what the primary has and is then in line with it, and
// what waits in the term is confirmed. It is "" while there is no such primary
// or a slot is fenced higher.
func (w *world) divergence(r *rules) string {
	p := w.workingPrimary()
	if p < 0 {
		return ""
	}
	term := w.nodes[p].primaryOf
	g := w.groups[w.group(term)].Clone()
	current := Current{Term: uint64(term), Primary: slotNames[p], Members: w.members[:]}
	for s, n := range w.nodes {
		for s != p && n.pull(&w.nodes[p], term, r) {
		}
		if _, err := g.Observe(nil, n.status(s)); err != nil {
			panic(err)
		}
		if c := current.Correct(n.status(s)); c != CorrectNothing && w.members[s].Is(n.status(s)) && w.members[s].CountsIn(uint64(term)) {
			return fmt.Sprintf("slot %s needs correction %d after it copied the primary of term %d", slotNames[s], c, term)
		}
	}
	if g.Pending() > 0 {
		return fmt.Sprintf("%d writes of term %d wait for ever", g.Pending(), term)
	}
	return ""
}

// workingPrimary returns the slot of the primary of the highest term, told and
// fenced no higher, where no slot is fenced higher either; -1 without one.
func (w *world) workingPrimary() int {
	best := -1
	for s := range w.nodes {
		if best < 0 || w.nodes[s].fenced > w.nodes[best].fenced || w.nodes[s].fenced == w.nodes[best].fenced && w.nodes[s].primaryOf > 0 {
			best = s
		}
	}
	n := &w.nodes[best]
	if n.primaryOf == 0 || n.primaryOf != n.fenced || w.group(n.primaryOf) < 0 {
		return -1
	}
	return best
}

func (w *world) appendKey(b []byte) []byte {
	for i := range w.nodes {
		n, m := &w.nodes[i], &w.members[i]
		b = append(b, n.incarnation, n.fenced, n.grantedTo, n.primaryOf, uint8(len(n.log)), m.Incarnation[0], uint8(m.Since))
		b = append(b, n.log...)
	}
	b = append(b, w.writes, w.losses, uint8(len(w.acked)))
	b = append(b, w.acked...)
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

// AppendKey appends an encoding of m to b, times and the term to try next
// aside. Machines of one Config with the same key react in the same way.
func (m *Machine) AppendKey(b []byte) []byte {
	b = append(b, byte(m.phase), byte(m.chosen+1))
	for i := range m.slots {
		s := &m.slots[i]
		if m.phase == phaseYielded || m.phase == phaseEnded {
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
