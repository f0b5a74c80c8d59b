package e2e

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"hemlockmast/internal/endpointside/holder"
	"hemlockmast/internal/wire/pgwire"
)

// TestSilentConnectionsAreReplaced makes every open connection of one hop go
// silent while new ones work. Statements must work again, and none that was
// answered may be missing or doubled.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	for _, tc := range []struct {
		name string
		hop  func(*path) *proxy
	}{
		{"endpoint", func(p *path) *proxy { return p.endpoint }},
		{"link", func(p *path) *proxy { return p.link }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			p := startPath(t)
			ctx := testContext(t)
			conn := connect(t, ctx, p.url(500*time.Millisecond))
			mustExec(t, ctx, conn, "CREATE TABLE t (k text PRIMARY KEY, v int)")
			tc.hop(p).silenceAll()
			var done []string
			for i := 0; len(done) < 20; i++ {
				assert.NilError(t, ctx.Err())
				k := fmt.Sprintf("k%d", i)
				_, err := conn.Exec(ctx, "INSERT INTO t (k, v) VALUES ('"+k+"', 1)")
				if err == nil {
					done = append(done, k)
					continue
				}
				assert.Assert(t, told(err) != toldDone && told(err) != toldLost, err.Error())
			}
			for _, k := range done {
				assert.Equal(t, p.rows(t, k), 1)
			}
		})
	}
}

// TestCallerThatDoesNotReadHoldsNoConnection asks for a large result and reads
// none of it: after the deadline the endpoint connection is free again.
func TestCallerThatDoesNotReadHoldsNoConnection(t *testing.T) {
	p := startPath(t)
	ctx := testContext(t)
	for range 12 {
		conn, err := pgconn.Connect(ctx, p.url(300*time.Millisecond))
		assert.NilError(t, err)
		hijacked, err := conn.Hijack()
		assert.NilError(t, err)
		t.Cleanup(func() { _ = hijacked.Conn.Close() })
		assert.NilError(t, hijacked.Conn.(*net.TCPConn).SetReadBuffer(4096))
		_, err = hijacked.Conn.Write(pgwire.AppendQuery(nil, "SELECT generate_series(1, 5000000)"))
		assert.NilError(t, err)
	}
	for p.usage().Open-p.usage().Idle > 0 {
		assert.NilError(t, ctx.Err())
		time.Sleep(20 * time.Millisecond)
	}
	mustExec(t, ctx, connect(t, ctx, p.url(5*time.Second)), "SELECT 1")
}

// usage returns the holder's use of the primary's connections.
func (p *path) usage() holder.Usage {
	return p.holder.HolderUsage()[holder.SlotID{Group: "g", Slot: "s1"}]
}

// TestAbandonedStatementIsCanceled closes the caller's connection while its
// statement runs: the endpoint's connection is free long before the statement
// would have ended.
func TestAbandonedStatementIsCanceled(t *testing.T) {
	p := startPath(t)
	ctx := testContext(t)
	conn, err := pgx.Connect(ctx, p.url(5*time.Second))
	assert.NilError(t, err)
	_, err = conn.PgConn().Conn().Write(pgwire.AppendQuery(nil, "SELECT pg_sleep(600)"))
	assert.NilError(t, err)
	for p.usage().Open-p.usage().Idle == 0 {
		assert.NilError(t, ctx.Err())
		time.Sleep(time.Millisecond)
	}
	before := time.Now()
	assert.NilError(t, conn.PgConn().Conn().Close())
	for p.usage().Open-p.usage().Idle > 0 {
		assert.NilError(t, ctx.Err())
		time.Sleep(time.Millisecond)
	}
	t.Logf("connection free after %s", time.Since(before))
}

// TestGracefulStopCutsNothing stops the entry and the holder while a transaction
// and a statement are in progress: both end as if nothing had happened, and the
// sessions are told to connect again.
func TestGracefulStopCutsNothing(t *testing.T) {
	for _, tc := range []struct {
		name string
		stop func(*path)
	}{
		{"entry", func(p *path) { p.stopEntry() }},
		{"holder", func(p *path) { p.stopHolder() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := startPath(t)
			ctx := testContext(t)
			inTx := connect(t, ctx, p.url(5*time.Second))
			mustExec(t, ctx, inTx, "CREATE TABLE t (k text PRIMARY KEY, v int)")
			idle := connect(t, ctx, p.url(5*time.Second))
			running := connect(t, ctx, p.url(5*time.Second))
			tx, err := inTx.Begin(ctx)
			assert.NilError(t, err)
			_, err = tx.Exec(ctx, "INSERT INTO t (k, v) VALUES ('a', 1)")
			assert.NilError(t, err)
			statement := make(chan error, 1)
			go func() {
				_, err := running.Exec(ctx, "SELECT pg_sleep(0.5)")
				statement <- err
			}()
			for p.usage().Open-p.usage().Idle < 2 {
				assert.NilError(t, ctx.Err())
				time.Sleep(time.Millisecond)
			}
			tc.stop(p)
			time.Sleep(settle)
			_, err = tx.Exec(ctx, "INSERT INTO t (k, v) VALUES ('b', 1)")
			assert.NilError(t, err)
			assert.NilError(t, tx.Commit(ctx))
			assert.NilError(t, <-statement)
			assert.Equal(t, p.rows(t, "a")+p.rows(t, "b"), 2)
			if tc.name == "entry" {
				expectFarewell(t, idle)
			}
		})
	}
}

// expectFarewell reads the message that tells an idle caller to connect again.
func expectFarewell(t *testing.T, conn *pgx.Conn) {
	t.Helper()
	_, err := conn.Exec(context.Background(), "SELECT 1")
	assert.Assert(t, sqlState(err) == "57P01" || err == io.ErrUnexpectedEOF || conn.IsClosed(), fmt.Sprint(err))
}

// TestSilenceInStatementIsFoundBeforeTheDeadline tells a connection that went
// silent in mid-statement from a slow statement. The reason in the answer shows
// which of the two ended the wait.
func TestSilenceInStatementIsFoundBeforeTheDeadline(t *testing.T) {
	for _, tc := range []struct {
		name string
		rule rule
	}{
		{"request lost", rule{toServer: true, pattern: "INSERT", action: silence}},
		{"answer lost", rule{toServer: false, pattern: "INSERT 0 1", action: silence}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			p := startPath(t)
			ctx := testContext(t)
			conn := connect(t, ctx, p.url(5*time.Second))
			mustExec(t, ctx, conn, "CREATE TABLE t (k text PRIMARY KEY, v int)")
			p.endpoint.arm(tc.rule)
			_, err := conn.Exec(ctx, "INSERT INTO t (k, v) VALUES ('a', 1)")
			assert.Equal(t, told(err), toldUnknown)
			assert.ErrorContains(t, err, "connection to the endpoint was lost")
		})
	}
	t.Run("slow statement", func(t *testing.T) {
		t.Parallel()
		p := startPath(t)
		ctx := testContext(t)
		mustExec(t, ctx, connect(t, ctx, p.url(5*time.Second)), "SELECT pg_sleep(2.5)")
	})
}

// TestEndpointThatCameBackEmptyServesNoFloor replaces the disk of the replica
// that a session's reads go to: the session must not see the empty data.
func TestEndpointThatCameBackEmptyServesNoFloor(t *testing.T) {
	c := startCluster(t)
	ctx := testContext(t)
	writer := connect(t, ctx, url(c.Daemons[0])+"?hemlock.session_id=s1")
	mustExec(t, ctx, writer, "CREATE TABLE t (k text PRIMARY KEY, v int)")
	mustExec(t, ctx, writer, "INSERT INTO t (k, v) VALUES ('a', 1)")
	reader := connect(t, ctx, readerURL(c.Daemons[1], "hemlock.session_id=s1"))
	for i := range 40 {
		if i == 5 {
			for _, slot := range []string{"s2", "s3"} {
				e := c.Endpoints["g"][slot]
				e.Kill()
				assert.NilError(t, e.RestartEmpty())
			}
		}
		n, err := countRow(ctx, reader, "a")
		assert.NilError(t, err)
		assert.Equal(t, n, 1, "read %d", i)
	}
}

// TestPinnedConnectionsAreCounted keeps a connection by session state and ends
// the session: the count goes up and down, and the connection is clean after.
func TestPinnedConnectionsAreCounted(t *testing.T) {
	p := startPath(t)
	ctx := testContext(t)
	conn := connect(t, ctx, p.url(5*time.Second))
	mustExec(t, ctx, conn, "SELECT 1")
	assert.Equal(t, p.usage().Pinned, 0)
	mustExec(t, ctx, conn, "SET search_path = 'mine'")
	mustExec(t, ctx, conn, "SET search_path = 'yours'")
	assert.Equal(t, p.usage().Pinned, 1)
	assert.NilError(t, conn.Close(ctx))
	for p.usage().Pinned > 0 {
		assert.NilError(t, ctx.Err())
		time.Sleep(time.Millisecond)
	}
	var path string
	other := connect(t, ctx, p.url(5*time.Second))
	assert.NilError(t, other.QueryRow(ctx, "SHOW search_path").Scan(&path))
	assert.Assert(t, path != "yours", path)
}

// TestNoCallerWithoutConfiguration starts an entry whose control group does not
// answer: callers are told so, and not that their service is unknown.
func TestNoCallerWithoutConfiguration(t *testing.T) {
	s := pathSettings(t, "e1", "a", "", "entry")
	s.ConfigurationFolders = nil
	control := pathSettings(t, "c1", "b", "", "control")
	s.Peers = append(s.Peers, peerOf(control))
	d, _ := runDaemon(t, s)
	_, err := pgx.Connect(testContext(t), "postgres://app@"+d.CallerAddr()+"/db")
	assert.Equal(t, sqlState(err), "57P03")
	assert.Assert(t, !d.Ready())
}
