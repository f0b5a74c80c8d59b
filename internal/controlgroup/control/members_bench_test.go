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

// restPeriod is how long a group at rest is measured.
const restPeriod = 3 * time.Second

// counted counts the messages of a group's members and their encoded size.
type counted struct {
	Transport
	messages, bytes *atomic.Int64
}

func (c counted) Send(address string, request *agreepb.DeliverRequest) {
	c.messages.Add(1)
	c.bytes.Add(int64(proto.Size(request)))
	c.Transport.Send(address, request)
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkMembers measures one proposal after another of the given size in a
// group over loopback, each member with its folder on disk. Messages, bytes and
// processor time are those of all members, heartbeats between included. Reported
// besides: what the group at rest costs, all members together.
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
			g.wrap = func(t Transport) Transport { return counted{t, &messages, &bytes} }
			g.tick = DefaultTick
			g.startAll()
			g.until("a formed group", g.formed)
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
			time.Sleep(restPeriod)
			period := time.Since(began).Seconds()
			b.ReportMetric(float64(messages.Load()-m)/period, "messages/s-at-rest")
			b.ReportMetric(float64(bytes.Load()-n)/period, "B/s-at-rest")
			b.ReportMetric(float64((processorTime()-used).Microseconds())/period, "cpu-us/s-at-rest")
		})
	}
}
