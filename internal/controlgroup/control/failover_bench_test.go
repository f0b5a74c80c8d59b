package control

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkFailover measures the time from the end of the leader's process to the next
// acknowledged change, with four members: all of them voters, as without ReplaceSilentTicks,
// or three voters and a learner.
func BenchmarkFailover(b *testing.B) {
	for _, silentTicks := range []int{0, 60} {
		b.Run(fmt.Sprintf("replaceSilentTicks=%d", silentTicks), func(b *testing.B) {
			g := newGroup(b, "a", "b", "c", "d")
			g.tick, g.replaceSilentTicks = 10*time.Millisecond, silentTicks
			g.startAll()
			isFormed := g.allVoters
			if silentTicks > 0 {
				isFormed = g.bearsMostLosses
			}
			total := time.Duration(0)
			for i := range b.N {
				g.waitUntil("a formed group", isFormed)
				lost := g.leader()
				g.lose(lost)
				start := time.Now()
				g.propose(fmt.Sprint("c", i))
				total += time.Since(start)
				lost.isolated.Store(false)
				g.start(lost)
			}
			b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms/failover")
		})
	}
}
