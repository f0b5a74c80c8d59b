package pgwire

import (
	"bufio"
	"bytes"
	"testing"
)

// FuzzReader reads arbitrary bytes. It checks that nothing panics, that no
// message exceeds the limit and that the messages are not longer than the input.
func FuzzReader(f *testing.F) {
	f.Add(AppendQuery(AppendReadyForQuery(nil, 'I'), "SELECT 1"))
	f.Add([]byte{MsgReadyForQuery, 0, 0, 0, 4})
	f.Add([]byte{MsgDataRow, 0x7f, 0xff, 0xff, 0xff, 0})
	f.Add([]byte{MsgErrorResponse, 0, 0, 0, 7, 'C', '4', '2'})
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 1 << 10
		r := NewReader(bufio.NewReaderSize(bytes.NewReader(data), 64), limit)
		total := 0
		for {
			frame, err := r.Next()
			if err != nil {
				break
			}
			total += len(frame)
			if len(frame) > limit+1 {
				t.Fatalf("message of %d bytes with a limit of %d", len(frame), limit)
			}
			_ = ErrorCode(frame.Body())
			_ = CommandTag(frame.Body())
			_, _ = ParameterStatus(frame.Body())
			if frame.Type() == MsgReadyForQuery && len(frame.Body()) != 1 {
				t.Fatal("ReadyForQuery without its status")
			}
		}
		if total > len(data) {
			t.Fatalf("%d bytes returned of %d", total, len(data))
		}
		_, _ = ReadStartup(bytes.NewReader(data), limit)
	})
}
