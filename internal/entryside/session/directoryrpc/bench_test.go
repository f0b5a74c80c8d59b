package directoryrpc

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	directorypb "hemlockmast/api/directory"
	"hemlockmast/internal/entryside/session"
)

// BenchmarkBatchBytes reports the encoded size of a record operation with one
// floor for different batch sizes.
//
//	go test -run '^$' -bench BatchBytes -benchtime 100x ./internal/entryside/session/directoryrpc
func BenchmarkBatchBytes(b *testing.B) {
	for _, operations := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("operations=%d", operations), func(b *testing.B) {
			request := &directorypb.BatchRequest{}
			floor := session.FloorsToProto(writtenFloors(b, "group-0001", 1_000_000))
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

// BenchmarkRecordCost reports the CPU time of recording a floor at both copies,
// including the client's, for different numbers of concurrent Record calls.
//
//	go test -run '^$' -bench RecordCost -benchtime 5000x ./internal/entryside/session/directoryrpc
func BenchmarkRecordCost(b *testing.B) {
	for _, parallel := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("parallel=%d", parallel), func(b *testing.B) {
			fx := newFixture(b, 2)
			floors := writtenFloors(b, "group-0001", 1_000_000)
			ids := make(chan session.ID)
			var running sync.WaitGroup
			for range parallel {
				running.Go(func() {
					for id := range ids {
						if err := fx.client.Record(context.Background(), id, floors); err != nil {
							b.Error(err)
						}
					}
				})
			}
			before := cpuTime()
			for i := range b.N {
				ids <- session.ID(fmt.Sprint("session-", i))
			}
			close(ids)
			running.Wait()
			b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/record")
			for _, m := range fx.members {
				awaitEntries(b, m, b.N)
			}
		})
	}
}

// awaitEntries waits until the copy holds count entries. The copy that Record does
// not wait for may lag.
func awaitEntries(b *testing.B, m *fakeMember, count int) {
	deadline := time.Now().Add(time.Minute)
	for m.server.Load().Stats().Entries != count {
		if time.Now().After(deadline) {
			b.Fatalf("%d entries of %d", m.server.Load().Stats().Entries, count)
		}
		time.Sleep(time.Millisecond)
	}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
