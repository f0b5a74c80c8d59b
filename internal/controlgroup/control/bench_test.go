package control

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// constantState is a state machine whose state does not grow.
type constantState struct{}

func (constantState) Apply(uint64, []byte) []byte { return nil }
func (constantState) Snapshot() ([]byte, error)   { return []byte("s"), nil }
func (constantState) Restore([]byte) error        { return nil }

// BenchmarkPropose measures the throughput of 1 KiB commands through twirp on
// loopback and synced files, sequentially and concurrently, and the bytes that one
// command writes and sends.
func BenchmarkPropose(b *testing.B) {
	for _, size := range []int{3, 5} {
		for _, parallel := range []int{1, 16} {
			b.Run(fmt.Sprintf("members=%d/callers=%d", size, parallel), func(b *testing.B) {
				benchmarkPropose(b, size, parallel)
			})
		}
	}
}

func benchmarkPropose(b *testing.B, size, parallel int) {
	names := []string{"a", "b", "c", "d", "e"}[:size]
	g := newGroup(b, names...)
	g.tick, g.machineOverride = DefaultTick, constantState{}
	g.startAll()
	g.waitUntil("a formed group", g.allVoters)
	leader := g.leader()
	written, sent := leader.fs.written.Load(), g.sent.Load()
	command := make([]byte, 1<<10)
	var left atomic.Int64
	left.Store(int64(b.N))
	done := make(chan error, parallel)
	b.ResetTimer()
	for range parallel {
		go func() {
			var err error
			for left.Add(-1) >= 0 && err == nil {
				_, err = leader.control.Propose(context.Background(), command)
			}
			done <- err
		}()
	}
	for range parallel {
		assert.NilError(b, <-done)
	}
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(leader.fs.written.Load()-written)/float64(b.N), "disk-B/commit")
	b.ReportMetric(float64(g.sent.Load()-sent)/float64(b.N), "net-B/commit")
}
