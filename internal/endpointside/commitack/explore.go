package commitack

import (
	"encoding/binary"
	"slices"
)

// Clone returns an independent copy of g, for tests that explore the states
// that may follow.
func (g *Group) Clone() *Group {
	c := *g
	c.members = slices.Clone(g.members)
	c.queue = slices.Clone(g.queue)
	return &c
}

// AppendKey appends an encoding of g to b. Two groups with the same term,
// primary, members and key produce the same results, apart from deadlines.
func (g *Group) AppendKey(b []byte) []byte {
	for i := range g.members {
		b = binary.AppendUvarint(b, g.members[i].heldIndex<<1|boolBit(g.members[i].closed))
	}
	b = binary.AppendUvarint(b, g.confirmedIndex)
	for _, p := range g.queue[g.head:] {
		b = binary.AppendUvarint(b, p.index)
		b = binary.AppendUvarint(b, uint64(p.id))
	}
	return append(b, 0)
}

// boolBit returns 1 for true and 0 for false.
func boolBit(v bool) uint64 {
	if v {
		return 1
	}
	return 0
}
