package agree

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	agreepb "hemlockmast/api/agree"
)

const simGroup = 7

// process is one member of a simulated group: a disk, and a node while it runs.
type process struct {
	id      ID
	disk    State
	node    *Node
	applied uint64
	chain   uint64 // hash over all commands applied
}

type simRead struct{ floor uint64 }

// sim runs a group over a network under the test's control and checks, at each
// step, one leader per term, that leaders hold every committed entry, that all
// processes apply the same commands in the same order, and that confirmed reads
// are current.
type sim struct {
	t       testing.TB
	rng     *rand.Rand
	procs   map[string]*process
	names   []string
	net     []*agreepb.Message
	cut     map[[2]string]bool // from, to
	leaders map[uint64]ID
	// terms and chains record the committed log by index.
	terms     map[uint64]uint64
	chains    map[uint64]uint64
	committed uint64
	nextCmd   uint64
	nextLife  uint64
	reads     map[uint64]simRead
	confirmed int
	refused   int
	failure   string
	reckless  bool
	lost      []process // with disks taken away
}

// String describes every process, for failure messages.
func (s *sim) String() string {
	text := fmt.Sprintf("committed %d", s.committed)
	for _, name := range s.names {
		p := s.procs[name]
		text += fmt.Sprintf("\n%s applied=%d", p.id, p.applied)
		if p.node != nil {
			text += fmt.Sprintf(" %+v", p.node.Status())
		}
	}
	return text
}

func newSim(t testing.TB, seed uint64, names ...string) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), names: names,
		procs: map[string]*process{}, cut: map[[2]string]bool{},
		leaders: map[uint64]ID{}, terms: map[uint64]uint64{},
		chains: map[uint64]uint64{}, reads: map[uint64]simRead{},
	}
	for i, name := range names {
		s.procs[name] = &process{}
		s.wipe(name)
		if p := s.procs[name]; i == 0 {
			p.disk = Founding(p.id, name)
		}
		s.start(name)
	}
	return s
}

// formed returns a sim whose processes are all voters.
func formed(t testing.TB, seed uint64, names ...string) *sim {
	s := newSim(t, seed, names...)
	s.settle(600, func() bool {
		l := s.leader()
		return l != nil && len(l.voters()) == len(names) && s.allApplied()
	})
	return s
}

func (s *sim) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
	}
}

// wipe takes the process's disk away and puts an empty one in.
func (s *sim) wipe(name string) {
	s.nextLife++
	if old := *s.procs[name]; old.id.Name != "" {
		old.node = nil
		s.lost = append(s.lost, old)
	}
	*s.procs[name] = process{id: ID{name, s.nextLife}}
}

func (s *sim) start(name string) {
	p := s.procs[name]
	disk := p.disk
	disk.Entries = append([]*agreepb.Entry(nil), disk.Entries...)
	node, err := New(Config{
		Self: p.id, Group: simGroup, ElectionTicks: 10, HeartbeatTicks: 2, Rand: s.rng.IntN,
	}, disk)
	assert.NilError(s.t, err)
	p.node, p.applied, p.chain = node, 0, 0
	if disk.Snapshot != nil {
		s.restore(p, disk.Snapshot)
	}
}

func (s *sim) crash(name string) { s.procs[name].node = nil }

func (s *sim) restore(p *process, snap *agreepb.Snapshot) {
	p.applied, p.chain = snap.Index, binary.BigEndian.Uint64(snap.State)
}

// save makes a Ready durable on p's simulated disk.
func (s *sim) save(p *process, rd Ready) {
	if rd.Snapshot != nil {
		p.disk.Snapshot, p.disk.Entries = rd.Snapshot, nil
	}
	if rd.HardState != nil {
		p.disk.HardState = rd.HardState
	}
	if len(rd.Entries) == 0 {
		return
	}
	keep := rd.Entries[0].Index - 1 - p.disk.Snapshot.GetIndex()
	p.disk.Entries = append(p.disk.Entries[:keep:keep], rd.Entries...)
}

// work handles Readys until there is none. crashAt, when 1 or 2, stops the
// process before the save or between the save and the sends.
func (s *sim) work(p *process, crashAt int) {
	for p != nil && p.node != nil && p.node.HasReady() {
		rd := p.node.Ready()
		if crashAt == 1 {
			p.node = nil
			return
		}
		s.save(p, rd)
		if crashAt == 2 {
			p.node = nil
			return
		}
		s.net = append(s.net, rd.Messages...)
		if rd.Snapshot != nil {
			s.restore(p, rd.Snapshot)
		}
		s.apply(p, rd.Committed)
		s.answer(rd.Reads)
		p.node.Advance()
		s.check(p)
	}
}

func (s *sim) apply(p *process, entries []*agreepb.Entry) {
	for _, e := range entries {
		if e.Index != p.applied+1 {
			s.fail("%s applies %d after %d", p.id, e.Index, p.applied)
		}
		h := fnv.New64a()
		_ = binary.Write(h, binary.BigEndian, []uint64{p.chain, e.Term})
		h.Write(e.Command)
		p.applied, p.chain = e.Index, h.Sum64()
		if chain, ok := s.chains[e.Index]; ok && chain != p.chain {
			s.fail("%s applies another entry at %d", p.id, e.Index)
		}
		s.chains[e.Index], s.terms[e.Index] = p.chain, e.Term
		s.committed = max(s.committed, e.Index)
	}
}

func (s *sim) answer(results []ReadResult) {
	for _, r := range results {
		if r.Refused {
			s.refused++
			continue
		}
		s.confirmed++
		if floor := s.reads[r.Token].floor; r.Index < floor {
			s.fail("read confirmed at %d, but %d was committed before", r.Index, floor)
		}
	}
}

// check looks at the invariants that concern a leader.
func (s *sim) check(p *process) {
	n := p.node
	if n.role != Leader {
		return
	}
	if other, ok := s.leaders[n.term]; ok && other != p.id {
		s.fail("term %d has leaders %s and %s", n.term, other, p.id)
	}
	if _, ok := s.leaders[n.term]; ok {
		return
	}
	s.leaders[n.term] = p.id
	for i := n.log.snapshot.Index + 1; i <= s.committed; i++ {
		if term, ok := n.log.term(i); !ok || term != s.terms[i] {
			s.fail("leader %s of term %d lacks committed entry %d", p.id, n.term, i)
			return
		}
	}
}

func (s *sim) deliver(m *agreepb.Message) {
	p := s.procs[m.To.Name]
	if p == nil || p.node == nil || s.cut[[2]string{m.From.Name, m.To.Name}] {
		return
	}
	if err := p.node.Step(m); err != nil {
		s.fail("%v", err)
	}
}

func (s *sim) tick(name string) {
	p := s.procs[name]
	if p.node == nil {
		return
	}
	p.node.Tick()
	s.join(p)
}

// join asks the leader, when one is reachable, to take an empty process in.
func (s *sim) join(p *process) {
	l := s.leader()
	if p.node.Status().Joined || l == nil || s.cut[[2]string{p.id.Name, l.cfg.Self.Name}] {
		return
	}
	_ = l.AddLearner(p.id, p.id.Name)
}

// leader returns the running leader of the highest term.
func (s *sim) leader() *Node {
	var found *Node
	for _, name := range s.names {
		n := s.procs[name].node
		if n != nil && n.role == Leader && (found == nil || n.term > found.term) {
			found = n
		}
	}
	return found
}

func (s *sim) propose(n *Node) bool {
	s.nextCmd++
	_, err := n.Propose(binary.BigEndian.AppendUint64(nil, s.nextCmd))
	return err == nil
}

func (s *sim) read(n *Node) error {
	token := uint64(len(s.reads))
	s.reads[token] = simRead{floor: s.committed}
	return n.ReadIndex(token)
}

func (s *sim) compact(p *process) {
	if p.node == nil || p.applied == 0 || p.node.HasReady() {
		return
	}
	p.node.Compact(p.applied, binary.BigEndian.AppendUint64(nil, p.chain))
	p.disk = p.node.Durable()
	p.disk.Entries = append([]*agreepb.Entry(nil), p.disk.Entries...)
}

// round ticks every process once and delivers all messages in order.
func (s *sim) round() {
	for _, name := range s.names {
		s.tick(name)
		s.work(s.procs[name], 0)
	}
	for len(s.net) > 0 {
		m := s.net[0]
		s.net = s.net[1:]
		s.deliver(m)
		s.work(s.procs[m.To.Name], 0)
	}
}

// settle runs rounds until done holds and reports whether it did.
func (s *sim) settle(rounds int, done func() bool) bool {
	for range rounds {
		if done() {
			return true
		}
		s.round()
	}
	return done()
}

func (s *sim) allApplied() bool {
	for _, name := range s.names {
		if p := s.procs[name]; p.node != nil && p.applied < s.committed {
			return false
		}
	}
	return s.committed > 0
}

func (s *sim) isolate(name string, cut bool) {
	for _, other := range s.names {
		s.cut[[2]string{name, other}] = cut
		s.cut[[2]string{other, name}] = cut
	}
}
