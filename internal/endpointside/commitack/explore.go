package commitack

import (
	"encoding/binary"
	"slices"
)

// Clone returns an independent copy of g, for exploring what may follow.
func (g *Group) Clone() *Group {
	c := *g
	c.members = slices.Clone(g.members)
	c.queue = slices.Clone(g.queue)
	return &c
}

// AppendKey appends an encoding of g to b. Two groups of one term and the same
// members that have the same key give the same verdicts, deadlines aside.
func (g *Group) AppendKey(b []byte) []byte {
	for i := range g.members {
		b = binary.AppendUvarint(b, g.members[i].held<<1|bit(g.members[i].closed))
	}
	b = binary.AppendUvarint(b, g.confirmed)
	for _, w := range g.queue[g.head:] {
		b = binary.AppendUvarint(b, w.index)
		b = binary.AppendUvarint(b, uint64(w.id))
	}
	return append(b, 0)
}

func bit(v bool) uint64 {
	if v {
		return 1
	}
	return 0
}
