package directoryrpc

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	directorypb "hemlockmast/api/directory"
	"hemlockmast/internal/session"
)

// BenchmarkBatchBytes reports the encoded bytes of a record's operation with one
// floor, by operations of a batch.
//
//	go test -run '^$' -bench BatchBytes -benchtime 100x ./internal/session/directoryrpc
func BenchmarkBatchBytes(b *testing.B) {
	for _, operations := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("operations=%d", operations), func(b *testing.B) {
			request := &directorypb.BatchRequest{}
			floor := session.FloorsToProto(written(b, "group-0001", 1_000_000))
			for i := range operations {
				request.Operations = append(request.Operations, &directorypb.Operation{
					Kind: directorypb.OperationKind_OPERATION_RECORD, SessionId: fmt.Sprintf("session-%08d", i), Floors: floor,
				})
			}
			size := 0
			for b.Loop() {
				size = proto.Size(request)
			}
			assert.Assert(b, size > 0)
			b.ReportMetric(float64(size)/float64(operations), "B/operation")
		})
	}
}
