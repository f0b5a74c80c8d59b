package e2e

import (
	"context"
	"database/sql"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/jackc/pgx/v5/stdlib"
	"gotest.tools/v3/assert"

	"hemlockmast/internal/testing/devcluster"
	"hemlockmast/internal/testing/ports"
)

// clusterPorts is how many ports a cluster may take.
const clusterPorts = 40

// startCluster runs one daemon in each of three failure domains and one group
// with three endpoints.
func startCluster(t *testing.T) *devcluster.Cluster {
	t.Helper()
	return startClusterWith(t, devcluster.Config{})
}

// startControlled runs the same with a control group of three.
func startControlled(t *testing.T) *devcluster.Cluster {
	t.Helper()
	return startClusterWith(t, devcluster.Config{Control: 3, DataFolder: t.TempDir()})
}

func startClusterWith(t *testing.T, cfg devcluster.Config) *devcluster.Cluster {
	t.Helper()
	host, port := ports.OwnRange(clusterPorts)
	cfg.Folders, cfg.DaemonsPerDomain = []string{writeFolder(t)}, 1
	cfg.DrainTimeout, cfg.Log = 5*time.Second, logr.Discard()
	cfg.Host, cfg.FirstPort = host, port
	c, err := devcluster.Start(context.Background(), cfg)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func url(d *devcluster.Daemon) string { return "postgres://app@" + d.CallerAddr() + "/db" }

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	t.Cleanup(cancel)
	return ctx
}

func connect(t *testing.T, ctx context.Context, url string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(ctx, url)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func mustExec(t *testing.T, ctx context.Context, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	_, err := conn.Exec(ctx, sql, args...)
	assert.NilError(t, err, sql)
}

// sqlState returns the SQLSTATE of an error, "" without one.
func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

func TestClientsNoticeNothing(t *testing.T) {
	c := startCluster(t)
	ctx := testContext(t)
	first := connect(t, ctx, url(c.Daemons[0]))
	mustExec(t, ctx, first, "CREATE TABLE t (k text PRIMARY KEY, v int)")

	t.Run("prepared statements survive pooling", func(t *testing.T) {
		mustExec(t, ctx, first, "INSERT INTO t (k, v) VALUES ('prepared', 1)")
		conns := make([]*pgx.Conn, 30)
		for i := range conns {
			conns[i] = connect(t, ctx, url(c.Daemons[i%3]))
			_, err := conns[i].Prepare(ctx, "get", "SELECT v FROM t WHERE k = $1")
			assert.NilError(t, err)
		}
		for range 3 {
			for _, conn := range conns {
				var v int
				assert.NilError(t, conn.QueryRow(ctx, "get", "prepared").Scan(&v))
				assert.Equal(t, v, 1)
			}
		}
	})
	t.Run("statement name is free again after a failed Parse", func(t *testing.T) {
		conn := connect(t, ctx, url(c.Daemons[0]))
		_, err := conn.Prepare(ctx, "p", "SELECT v FROM missing")
		assert.Assert(t, err != nil)
		_, err = conn.Prepare(ctx, "p", "SELECT v FROM t")
		assert.NilError(t, err)
	})
	t.Run("transaction", func(t *testing.T) {
		tx, err := first.Begin(ctx)
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "INSERT INTO t (k, v) VALUES ($1, $2)", "tx", 7)
		assert.NilError(t, err)
		var v int
		assert.NilError(t, tx.QueryRow(ctx, "SELECT v FROM t WHERE k = $1", "tx").Scan(&v))
		assert.Equal(t, v, 7)
		assert.NilError(t, tx.Rollback(ctx))
		err = first.QueryRow(ctx, "SELECT v FROM t WHERE k = $1", "tx").Scan(&v)
		assert.ErrorIs(t, err, pgx.ErrNoRows)
	})
	t.Run("read-only transaction", func(t *testing.T) {
		tx, err := first.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "INSERT INTO t (k, v) VALUES ('ro', 1)")
		assert.Equal(t, sqlState(err), "25006")
		assert.NilError(t, tx.Rollback(ctx))
	})
	t.Run("batch in a pipeline", func(t *testing.T) {
		b := &pgx.Batch{}
		for i := range 50 {
			b.Queue("INSERT INTO t (k, v) VALUES ($1, $2)", fmt.Sprintf("b%d", i), i)
		}
		b.Queue("SELECT v FROM t WHERE k = $1", "b49")
		results := first.SendBatch(ctx, b)
		for range 50 {
			_, err := results.Exec()
			assert.NilError(t, err)
		}
		var v int
		assert.NilError(t, results.QueryRow().Scan(&v))
		assert.Equal(t, v, 49)
		assert.NilError(t, results.Close())
	})
	t.Run("pool", func(t *testing.T) {
		pool, err := pgxpool.New(ctx, url(c.Daemons[1]))
		assert.NilError(t, err)
		defer pool.Close()
		var wg sync.WaitGroup
		errs := make([]error, 40)
		for i := range errs {
			wg.Go(func() {
				_, errs[i] = pool.Exec(ctx, "INSERT INTO t (k, v) VALUES ($1, $2)", fmt.Sprintf("pool%d", i), i)
			})
		}
		wg.Wait()
		assert.NilError(t, errors.Join(errs...))
	})
	t.Run("database/sql", func(t *testing.T) {
		db, err := sql.Open("pgx", url(c.Daemons[2]))
		assert.NilError(t, err)
		defer func() { _ = db.Close() }()
		tx, err := db.BeginTx(ctx, &sql.TxOptions{})
		assert.NilError(t, err)
		_, err = tx.ExecContext(ctx, "INSERT INTO t (k, v) VALUES ($1, $2)", "sql", 3)
		assert.NilError(t, err)
		assert.NilError(t, tx.Commit())
		stmt, err := db.PrepareContext(ctx, "SELECT v FROM t WHERE k = $1")
		assert.NilError(t, err)
		var v int
		assert.NilError(t, stmt.QueryRowContext(ctx, "sql").Scan(&v))
		assert.Equal(t, v, 3)
	})
	t.Run("standard error codes", func(t *testing.T) {
		for _, tc := range []struct{ sql, code string }{
			{"INSERT INTO t (k, v) VALUES ('prepared', 1)", "23505"},
			{"SELECT v FROM missing", "42P01"},
			{"SELEC", "42601"},
			{"COPY t FROM STDIN", "0A000"},
		} {
			_, err := first.Exec(ctx, tc.sql)
			assert.Equal(t, sqlState(err), tc.code, tc.sql)
		}
		_, err := pgx.Connect(ctx, "postgres://app@"+c.Daemons[0].CallerAddr()+"/other")
		assert.Equal(t, sqlState(err), "3D000")
	})
	t.Run("large result", func(t *testing.T) {
		rows, err := first.Query(ctx, "SELECT generate_series(1, 200000)")
		assert.NilError(t, err)
		n := 0
		for rows.Next() {
			n++
		}
		assert.NilError(t, rows.Err())
		assert.Equal(t, n, 200000)
	})
	t.Run("cancel request reaches the statement", func(t *testing.T) {
		conn := connect(t, ctx, url(c.Daemons[0]))
		done := make(chan error, 1)
		go func() {
			_, err := conn.Exec(ctx, "SELECT pg_sleep(4)")
			done <- err
		}()
		var err error
		for err == nil {
			assert.NilError(t, conn.PgConn().CancelRequest(ctx))
			select {
			case err = <-done:
				assert.Equal(t, sqlState(err), "57014")
			case <-time.After(20 * time.Millisecond):
			}
		}
		mustExec(t, ctx, conn, "SELECT 1")
	})
	t.Run("cancel request through another daemon", func(t *testing.T) {
		conn := connect(t, ctx, url(c.Daemons[0]))
		other := connect(t, ctx, url(c.Daemons[1]))
		done := make(chan error, 1)
		go func() {
			_, err := conn.Exec(ctx, "SELECT pg_sleep(4)")
			done <- err
		}()
		request := pgproto3.CancelRequest{ProcessID: conn.PgConn().PID(), SecretKey: conn.PgConn().SecretKey()}
		out, err := request.Encode(nil)
		assert.NilError(t, err)
		for err == nil {
			raw, dialErr := net.Dial("tcp", c.Daemons[1].CallerAddr())
			assert.NilError(t, dialErr)
			_, dialErr = raw.Write(out)
			assert.NilError(t, dialErr)
			select {
			case err = <-done:
				assert.Equal(t, sqlState(err), "57014")
				assert.Assert(t, strings.Contains(err.Error(), "caller's request"), err.Error())
			case <-time.After(50 * time.Millisecond):
			}
			_ = raw.Close()
		}
		mustExec(t, ctx, other, "SELECT 1")
	})
	t.Run("session state stays with its session", func(t *testing.T) {
		conn := connect(t, ctx, url(c.Daemons[0]))
		mustExec(t, ctx, conn, "SET search_path = 'mine'")
		for range 5 {
			var path, other string
			assert.NilError(t, conn.QueryRow(ctx, "SHOW search_path").Scan(&path))
			assert.Equal(t, path, "mine")
			assert.NilError(t, first.QueryRow(ctx, "SHOW search_path").Scan(&other))
			assert.Assert(t, !strings.Contains(other, "mine"))
		}
		assert.NilError(t, conn.Close(ctx))
	})
	t.Run("start-up parameters", func(t *testing.T) {
		conn := connect(t, ctx, url(c.Daemons[0])+"?search_path=param")
		var path string
		assert.NilError(t, conn.QueryRow(ctx, "SHOW search_path").Scan(&path))
		assert.Equal(t, path, "param")
		assert.NilError(t, first.QueryRow(ctx, "SHOW search_path").Scan(&path))
		assert.Assert(t, path != "param")
	})
}
