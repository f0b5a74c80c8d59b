package directory

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"hemlockmast/internal/entryside/session"
)

// BenchmarkTable measures the time of a Record call in a full table and reports
// the memory of an entry with one floor.
func BenchmarkTable(b *testing.B) {
	for _, entries := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table := NewTable(1, Limits{MaxEntries: entries, TTL: time.Hour})
			floors := floorsOf(b, "north", 7, false)
			for i := range entries {
				table.Record(start, session.ID(fmt.Sprintf("keeper-%010d", i)), floors)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			id := session.ID("keeper-0000000007")
			for b.Loop() {
				table.Record(start, id, floors)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(entries), "B/entry")
			runtime.KeepAlive(table)
		})
	}
}
