package driver

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/endpoint/pgcontrol"
	"hemlockmast/internal/endpointside/suspect"
	"hemlockmast/internal/testing/standin"
)

const (
	// writePeriod is how long the statuses of one rate of writes are counted.
	writePeriod = 3 * time.Second
	// writeTurn is the interval at which due writes are sent.
	writeTurn = time.Millisecond
)

// BenchmarkObserver counts the statuses of one observer of a primary by rate of
// writes, sent one at a time from one connection.
//
//	go test -run '^$' -bench Observer -benchtime 1x ./internal/controlgroup/failover/driver
func BenchmarkObserver(b *testing.B) {
	for _, rate := range []int{0, 10, 50, 100, 200, 400} {
		b.Run(fmt.Sprintf("writes=%d", rate), func(b *testing.B) {
			for b.Loop() {
				observeWrites(b, rate)
			}
		})
	}
}

func observeWrites(b *testing.B, rate int) {
	e, err := standin.Start(standin.Config{Group: "g", Slot: "a", Primary: true})
	assert.NilError(b, err)
	defer func() { _ = e.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conn, err := pgx.Connect(ctx, "postgres://caller@"+e.Addr()+"/d?sslmode=disable&default_query_exec_mode=simple_protocol")
	assert.NilError(b, err)
	defer func() { _ = conn.Close(context.Background()) }()
	_, err = conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS t (k int PRIMARY KEY)")
	assert.NilError(b, err)
	var statuses atomic.Int64
	observer := &Observer{
		Name: "vm-1", Domain: "d1", Group: "g", Slot: "a",
		Connect: func(ctx context.Context, _, _ string) (endpoint.Controller, error) {
			return pgcontrol.Dial(ctx, pgcontrol.Options{Addr: e.Addr(), Database: "d"})
		},
		Report: func(string, suspect.Report) {},
		Status: func(string, endpoint.Status, time.Time) { statuses.Add(1) },
	}
	var running sync.WaitGroup
	running.Go(func() { observer.Run(ctx) })
	for statuses.Load() == 0 {
		time.Sleep(writeTurn)
	}
	first, began := statuses.Load(), time.Now()
	written := 0
	for time.Since(began) < writePeriod {
		for due := int(time.Since(began).Seconds() * float64(rate)); written < due; written++ {
			_, err := conn.Exec(ctx, fmt.Sprintf("INSERT INTO t VALUES (%d)", written))
			assert.NilError(b, err)
		}
		time.Sleep(writeTurn)
	}
	period := time.Since(began).Seconds()
	b.ReportMetric(float64(written)/period, "writes/s")
	b.ReportMetric(float64(statuses.Load()-first)/period, "statuses/s")
	assert.Assert(b, statuses.Load() > first)
	cancel()
	running.Wait()
}
