package control

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	agreepb "hemlockmast/api/agree"
)

// idlePeriod is how long an idle group is measured.
const idlePeriod = 3 * time.Second

// countingTransport counts the requests of a group's members and their encoded
// size in bytes.
type countingTransport struct {
	Transport
	messageCount, byteCount *atomic.Int64
}

func (c countingTransport) Send(address string, request *agreepb.DeliverRequest) {
	c.messageCount.Add(1)
	c.byteCount.Add(int64(proto.Size(request)))
	c.Transport.Send(address, request)
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkMembers measures sequential proposals of the given size in a group over
// loopback, each member with its folder on disk. Messages, bytes and processor
// time are totals of all members and include heartbeats. The same totals are
// reported for the idle group.
//
//	go test -run '^$' -bench Members -benchtime 200x ./internal/controlgroup/control
func BenchmarkMembers(b *testing.B) {
	for _, size := range []struct{ members, bytes int }{{3, 200}, {5, 200}, {7, 200}, {7, 2000}} {
		b.Run(fmt.Sprintf("members=%d/bytes=%d", size.members, size.bytes), func(b *testing.B) {
			var names []string
			for i := range size.members {
				names = append(names, fmt.Sprint("c", i))
			}
			g := newGroup(b, names...)
			var messages, bytes atomic.Int64
			g.wrapTransport = func(t Transport) Transport { return countingTransport{t, &messages, &bytes} }
			g.tick = DefaultTick
			g.startAll()
			g.waitUntil("a formed group", g.allVoters)
			leader := g.leader().control
			command := make([]byte, size.bytes)
			m, n, used := messages.Load(), bytes.Load(), processorTime()
			for b.Loop() {
				_, err := leader.Propose(context.Background(), command)
				assert.NilError(b, err)
			}
			proposals := float64(b.N)
			b.ReportMetric(float64(messages.Load()-m)/proposals, "messages/proposal")
			b.ReportMetric(float64(bytes.Load()-n)/proposals, "B/proposal")
			b.ReportMetric(float64((processorTime()-used).Microseconds())/proposals, "cpu-us/proposal")
			m, n, used = messages.Load(), bytes.Load(), processorTime()
			began := time.Now()
			time.Sleep(idlePeriod)
			period := time.Since(began).Seconds()
			b.ReportMetric(float64(messages.Load()-m)/period, "messages/s-at-rest")
			b.ReportMetric(float64(bytes.Load()-n)/period, "B/s-at-rest")
			b.ReportMetric(float64((processorTime()-used).Microseconds())/period, "cpu-us/s-at-rest")
		})
	}
}
