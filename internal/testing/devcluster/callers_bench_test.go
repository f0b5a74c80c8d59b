package devcluster

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// callerRetryInterval is the wait before a rejected caller connects again.
// Callers are rejected until a primary is known.
const callerRetryInterval = 50 * time.Millisecond

// BenchmarkIdleCallers measures the memory of an idle caller connection, by the
// number of callers at four daemons. Both ends of the connection are counted; the
// caller's end keeps no buffer.
//
//	go test -run '^$' -bench IdleCallers -benchtime 1x ./internal/testing/devcluster
func BenchmarkIdleCallers(b *testing.B) {
	for _, callers := range []int{400, 1000, 2000, 4000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			for b.Loop() {
				measureCallers(b, callers)
			}
		})
	}
}

func measureCallers(b *testing.B, callers int) {
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
	defer cancel()
	c, err := Start(ctx, Config{
		Folders: []string{writeGroups(b, 1)}, DaemonsPerDomain: 1, Control: 3,
		DataFolder: b.TempDir(), DrainTimeout: time.Second, Log: logr.Discard(), Host: benchHost,
	})
	assert.NilError(b, err)
	defer func() { _ = c.Close() }()
	time.Sleep(settlePeriod)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range callers {
		conn := openCaller(b, ctx, c.Daemons[i%len(c.Daemons)].CallerAddr())
		defer func() { _ = conn.Close() }()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	inUse := after.HeapAlloc + after.StackInuse - before.HeapAlloc - before.StackInuse
	b.ReportMetric(float64(inUse)/float64(callers), "B/caller")
}

// openCaller opens a caller connection and reads up to the first ReadyForQuery
// message.
func openCaller(b *testing.B, ctx context.Context, addr string) net.Conn {
	startup, err := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{"user": "app", "database": "db0"},
	}).Encode(nil)
	assert.NilError(b, err)
	for ctx.Err() == nil {
		conn, err := net.Dial("tcp", addr)
		assert.NilError(b, err)
		_, err = conn.Write(startup)
		assert.NilError(b, err)
		if readReady(conn) == nil {
			return conn
		}
		_ = conn.Close()
		time.Sleep(callerRetryInterval)
	}
	b.Fatal("no caller was served")
	return nil
}

func readReady(conn net.Conn) error {
	reader := bufio.NewReader(conn)
	for {
		kind, err := reader.ReadByte()
		if err != nil {
			return err
		}
		var length [4]byte
		if _, err := io.ReadFull(reader, length[:]); err != nil {
			return err
		}
		body := int64(length[0])<<24 | int64(length[1])<<16 | int64(length[2])<<8 | int64(length[3])
		if _, err := io.CopyN(io.Discard, reader, body-4); err != nil {
			return err
		}
		if kind == 'Z' {
			return nil
		}
	}
}
