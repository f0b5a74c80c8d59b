package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/entryside/session"
	"hemlockmast/internal/shared/logpos"
)

// BenchmarkChoose measures how long Choose takes for a read whose floor all
// replicas meet, by the number of slots in the group.
//
//	go test -run '^$' -bench Choose ./internal/entryside/route
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{3, 5, 9, 27} {
		b.Run(fmt.Sprintf("slots=%d", count), func(b *testing.B) {
			pos := logpos.Pos{Term: 5, Index: 100}
			var slots []Slot
			for i := range count {
				slots = append(slots, Slot{
					Name: fmt.Sprint("s", i), Role: endpoint.RoleReplica, Synced: pos, Applied: pos,
					AgeKnown: true, Age: time.Millisecond, Latency: time.Millisecond, Outstanding: i,
				})
			}
			slots[0].Role, slots[0].Term = endpoint.RolePrimary, 5
			request := Request{Class: ClassReadOnly, Remaining: time.Second,
				Floor: session.GroupFloor{Pos: logpos.Pos{Term: 5, Index: 99}, Settled: true}}
			random := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for b.Loop() {
				decision, err := Choose(request, Policy{MaxWait: time.Millisecond}, slots, random)
				if err != nil || decision.Action != ActionSend || decision.Slot == "s0" {
					b.Fatal(decision, err)
				}
			}
			assert.Equal(b, len(slots), count)
		})
	}
}
