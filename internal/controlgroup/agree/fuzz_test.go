package agree

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	agreepb "hemlockmast/api/agree"
)

// FuzzStep sends a leader and its followers messages that no member would send.
// A node may drop them or return an error; its log must stay contiguous.
func FuzzStep(f *testing.F) {
	for kind := range agreepb.MessageKind_name {
		seed, err := proto.Marshal(&agreepb.Message{
			Kind: agreepb.MessageKind(kind), Term: 9, LogIndex: 4, LogTerm: 2, Hint: 1 << 63, Commit: 1 << 63,
			Entries:  []*agreepb.Entry{{Index: 7, Term: 3}, {Index: 2, Kind: agreepb.EntryKind_ENTRY_KIND_MEMBERSHIP}},
			Snapshot: &agreepb.Snapshot{Index: 1 << 63},
		})
		assert.NilError(f, err)
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := newFormedSim(t, 1, "a", "b", "c")
		for _, name := range s.names {
			m := &agreepb.Message{}
			if proto.Unmarshal(data, m) != nil {
				return
			}
			n := s.procs[name].node
			m.Group, m.To = simGroup, n.cfg.Self.Proto()
			if m.From == nil {
				m.From = s.procs[s.others(name)[0]].id.Proto()
			}
			if n.Step(m) != nil {
				continue
			}
			for range 30 {
				n.Tick()
				for i := 0; n.HasReady() && i < 100; i++ {
					n.Ready()
					n.Advance()
				}
			}
			_, err := newEntryLog(n.Durable())
			assert.NilError(t, err)
		}
	})
}
