package entry

import (
	"bufio"
	"bytes"
	"testing"

	"hemlockmast/api/link"
	"hemlockmast/internal/wire/pgwire"
)

// FuzzSegment parses arbitrary bytes from a caller. Parsing must not panic, and
// every operation must have the content that a holder requires.
func FuzzSegment(f *testing.F) {
	f.Add(pgwire.AppendQuery(nil, "/*hemlock request_id=1*/ SELECT 1"))
	f.Add(pgwire.AppendEmptyMessage(pgwire.AppendParse(nil, "a", "SELECT $1", []uint32{25}), pgwire.MsgSync))
	f.Add([]byte{pgwire.MsgBind, 0, 0, 0, 6, 0, 0})
	f.Add([]byte{pgwire.MsgDescribe, 0, 0, 0, 4})
	f.Fuzz(func(t *testing.T, data []byte) {
		sess := &callerConn{}
		r := pgwire.NewReader(bufio.NewReader(bytes.NewReader(data)), maxSegmentBytes)
		for {
			seg, err := sess.readSegment(r)
			if err != nil {
				return
			}
			for _, op := range seg.ops {
				if op.Kind == link.OpKind_OP_PARSE && op.Statement == nil ||
					op.Kind != link.OpKind_OP_PARSE && len(op.Data) < 5 {
					t.Fatalf("operation %v lacks its content", op.Kind)
				}
			}
			for _, q := range seg.queries {
				_, _ = parseBegin(q)
				_, _, _ = parseEntrySet(q)
				_ = parseHints(q)
			}
		}
	})
}
