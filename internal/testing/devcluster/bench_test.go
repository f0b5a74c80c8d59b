package devcluster

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

const (
	// settlePeriod is the time after the start that is not measured.
	settlePeriod = 3 * time.Second
	// idlePeriod is the time over which the idle daemons are measured.
	idlePeriod = 4 * time.Second
	// benchTimeout is the timeout of a whole measurement.
	benchTimeout = 60 * time.Second
	benchHost    = "127.77.7.1"
)

// BenchmarkIdle measures the processor time and memory of a daemon without
// callers, by the number of daemons and of groups with three slots. Daemons, a
// control group of three and stand-in endpoints run in one process, so the
// figures include the daemon's share of the endpoints.
//
//	go test -run '^$' -bench Idle -benchtime 1x ./internal/testing/devcluster
func BenchmarkIdle(b *testing.B) {
	for _, size := range []struct{ perDomain, groups int }{{1, 3}, {2, 3}, {4, 3}, {8, 3}, {2, 12}, {2, 24}, {2, 48}} {
		b.Run(fmt.Sprintf("daemons=%d/groups=%d", size.perDomain*4, size.groups), func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, size.perDomain, size.groups)
			}
		})
	}
}

func measureIdle(b *testing.B, perDomain, groups int) {
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
	defer cancel()
	c, err := Start(ctx, Config{
		Folders: []string{writeGroups(b, groups)}, DaemonsPerDomain: perDomain, Control: 3,
		DataFolder: b.TempDir(), DrainTimeout: time.Second, Log: logr.Discard(), Host: benchHost,
	})
	assert.NilError(b, err)
	defer func() { _ = c.Close() }()
	time.Sleep(settlePeriod)
	used, began := processorTime(), time.Now()
	time.Sleep(idlePeriod)
	perDaemon := time.Since(began).Seconds() * float64(len(c.Daemons))
	b.ReportMetric(100*(processorTime()-used).Seconds()/perDaemon, "%core/daemon")
	runtime.GC()
	runtime.ReadMemStats(&after)
	inUse := after.HeapAlloc + after.StackInuse - before.HeapAlloc - before.StackInuse
	b.ReportMetric(float64(inUse)/1024/float64(len(c.Daemons)), "KB/daemon")
}

// writeGroups writes a service file and the files of groups whose slots are
// spread over four failure domains. It returns their folder.
func writeGroups(b *testing.B, groups int) string {
	dir := b.TempDir()
	for g := range groups {
		var slots []string
		for s := range 3 {
			slots = append(slots, fmt.Sprintf(`{"name":"s%d","failure_domain":"fd%d","connection_limit":45}`, s, (g+s)%4))
		}
		text := fmt.Sprintf(`{"group":{"name":"g%d","databases":["db%d"],"slots":[%s]}}`, g, g, strings.Join(slots, ","))
		assert.NilError(b, os.WriteFile(filepath.Join(dir, fmt.Sprintf("g%d.hemlock.json", g)), []byte(text), 0o600))
	}
	service := `{"service":{"name":"svc","group":"g0","databases":["db0"],"users":["app"],"deadline":"5s",
		"concurrency":10,"queue_length":10,"repeatable":false,"connections":{"min":1,"max":20}}}`
	assert.NilError(b, os.WriteFile(filepath.Join(dir, "svc.hemlock.json"), []byte(service), 0o600))
	return dir
}

// processorTime returns the processor time of this process, user and system.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
