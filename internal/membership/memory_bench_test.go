package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// settle is the virtual time after which all daemons know each other.
const settle = 2 * time.Minute

// BenchmarkMemory measures the memory of one daemon's membership by number of
// daemons, with one and a third endpoints to a daemon. The packets under way are
// counted too.
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
				s.keep(settle, s.announcers(endpoints)...)
				runtime.GC()
				runtime.ReadMemStats(&after)
				first := s.nodes[s.names[0]]
				if first.usable() != daemons || len(first.Endpoints()) != endpoints {
					b.Fatalf("%d daemons, %d endpoints known", first.usable(), len(first.Endpoints()))
				}
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(daemons), "B-heap/daemon")
			}
		})
	}
}
