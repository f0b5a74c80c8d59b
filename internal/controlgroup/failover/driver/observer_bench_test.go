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
	// writePeriod is how long statuses are counted for each rate of writes.
	writePeriod = 3 * time.Second
	// writeInterval is the interval between checks for the first status and for
	// writes that are due.
	writeInterval = time.Millisecond
)

// BenchmarkObserver measures how many statuses one observer of a primary reads at
// different rates of writes, which one connection sends one at a time.
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
		time.Sleep(writeInterval)
	}
	first, began := statuses.Load(), time.Now()
	written := 0
	for time.Since(began) < writePeriod {
		for due := int(time.Since(began).Seconds() * float64(rate)); written < due; written++ {
			_, err := conn.Exec(ctx, fmt.Sprintf("INSERT INTO t VALUES (%d)", written))
			assert.NilError(b, err)
		}
		time.Sleep(writeInterval)
	}
	period := time.Since(began).Seconds()
	b.ReportMetric(float64(written)/period, "writes/s")
	b.ReportMetric(float64(statuses.Load()-first)/period, "statuses/s")
	assert.Assert(b, statuses.Load() > first)
	cancel()
	running.Wait()
}
