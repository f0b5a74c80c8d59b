package link

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"hemlockmast/api/link"
	"hemlockmast/internal/endpointside/watch"
)

// idlePeriod is how long the idle cost of the streams is measured.
const idlePeriod = 2 * time.Second

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// watchers are peers that watch the hub of one server.
type watchers struct {
	hub   *watch.Hub
	bytes atomic.Int64
	// round counts the statuses that the peers have not yet received.
	round sync.WaitGroup
}

func startWatchers(b *testing.B, peers int) *watchers {
	w := &watchers{hub: watch.NewHub()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	server := &Server{Watcher: w.hub, Log: logr.Discard()}
	running.Go(func() { _ = server.Serve(ctx, countingListener{listener, &w.bytes}) })
	for i := range peers {
		peer := NewPeer(fmt.Sprintf("vm-%04d", i), listener.Addr().String())
		running.Go(func() {
			_ = peer.Watch(ctx, func(watch.Observation) { w.round.Done() })
			peer.Close()
		})
	}
	b.Cleanup(func() { cancel(); running.Wait() })
	return w
}

// publish sends one status of each slot to all peers and waits for them.
func (w *watchers) publish(round, slots, peers int) {
	w.round.Add(slots * peers)
	for s := range slots {
		w.hub.Publish(watch.Observation{AskedAt: time.Now(), Status: &link.SlotStatus{
			Group: fmt.Sprintf("group-%04d", s), Slot: "s1", Incarnation: "0123456789abcdef",
			FencedTerm: 5, FencedBy: "vm-0001/0123456789abcdef", SyncedTerm: 5,
			SyncedIndex: uint64(round) + 1e6, AppliedTerm: 5, AppliedIndex: uint64(round) + 1e6,
			Reachable: true, Observer: "vm-0001/0123456789abcdef", Sequence: uint64(round*slots+s) + 1,
			ConnLimit: 45,
		}})
	}
	w.round.Wait()
}

// BenchmarkWatch measures the watch streams of one daemon by number of slots and
// peers. Server and peers run in one process over loopback. It reports the bytes
// and CPU time of one status at one peer, the memory per peer, and the bytes and
// CPU time of a stream without statuses. Bytes are counted above TCP in both
// directions. CPU time is that of both ends.
//
//	go test -run '^$' -bench Watch -benchtime 200x ./internal/wire/link
func BenchmarkWatch(b *testing.B) {
	for _, size := range []struct{ slots, peers int }{{1, 8}, {4, 8}, {16, 8}, {4, 32}, {4, 128}, {4, 256}} {
		b.Run(fmt.Sprintf("slots=%d/peers=%d", size.slots, size.peers), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			w := startWatchers(b, size.peers)
			w.publish(0, size.slots, size.peers)
			runtime.GC()
			runtime.ReadMemStats(&after)
			bytes, used := w.bytes.Load(), cpuTime()
			round := 1
			for ; b.Loop(); round++ {
				w.publish(round, size.slots, size.peers)
			}
			statuses := float64(b.N * size.slots * size.peers)
			b.ReportMetric(float64(w.bytes.Load()-bytes)/statuses, "B/status")
			b.ReportMetric(float64((cpuTime()-used).Nanoseconds())/1000/statuses, "cpu-us/status")
			inUse := after.HeapAlloc + after.StackInuse - before.HeapAlloc - before.StackInuse
			b.ReportMetric(float64(inUse)/float64(size.peers), "B-mem/peer")
			w.reportIdle(b, size.peers)
		})
	}
}

// reportIdle reports the cost of one stream during idlePeriod without statuses.
func (w *watchers) reportIdle(b *testing.B, peers int) {
	bytes, used, began := w.bytes.Load(), cpuTime(), time.Now()
	time.Sleep(idlePeriod)
	perPeer := time.Since(began).Seconds() * float64(peers)
	b.ReportMetric(float64(w.bytes.Load()-bytes)/perPeer, "B/s/quiet-peer")
	b.ReportMetric(float64((cpuTime()-used).Microseconds())/perPeer, "cpu-us/s/quiet-peer")
}
