package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// settleTime is the virtual time after which all daemons know each other.
const settleTime = 2 * time.Minute

// BenchmarkMemory measures the heap that the membership of one daemon uses, by
// number of daemons, with 4/3 endpoints per daemon. Packets in flight are included.
//
//	go test -run '^$' -bench Memory -benchtime 1x ./internal/membership
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ domains, perDomain int }{{4, 2}, {4, 9}, {6, 10}, {12, 10}} {
		daemons := size.domains * size.perDomain
		endpoints := daemons * 4 / 3
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			var names []string
			for i := range size.domains {
				names = append(names, string(rune('a'+i)))
			}
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := newSimOf(b, names, size.perDomain, 7)
				s.announceFor(settleTime, s.addEndpoints(endpoints)...)
				runtime.GC()
				runtime.ReadMemStats(&after)
				first := s.nodes[s.names[0]]
				if first.usableCount() != daemons || len(first.Endpoints()) != endpoints {
					b.Fatalf("%d daemons, %d endpoints known", first.usableCount(), len(first.Endpoints()))
				}
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(daemons), "B-heap/daemon")
			}
		})
	}
}
