package link

import (
	"bufio"
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"hemlockmast/api/link"
)

// FuzzFrame reads arbitrary bytes as messages between daemons. It checks that
// nothing panics and that a message that was read survives a write and a second
// read unchanged.
func FuzzFrame(f *testing.F) {
	var buf bytes.Buffer
	w := &frameWriter{w: &buf}
	assert.NilError(f, w.write(&link.Segment{Seq: 1, Ops: []*link.Op{{Data: []byte("Q")}}}))
	f.Add(buf.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte{3, 0x12, 0xff, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := &frameReader{br: bufio.NewReader(bytes.NewReader(data))}
		seg := &link.Segment{}
		if r.read(seg) != nil {
			return
		}
		var out bytes.Buffer
		assert.NilError(t, (&frameWriter{w: &out}).write(seg))
		again := &link.Segment{}
		assert.NilError(t, (&frameReader{br: bufio.NewReader(&out)}).read(again))
		assert.Assert(t, seg.EqualVT(again))
	})
}
