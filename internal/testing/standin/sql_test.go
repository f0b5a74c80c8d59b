package standin_test

import (
	"context"
	"database/sql"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/jackc/pgx/v5/stdlib"
	"gotest.tools/v3/assert"

	"hemlockmast/internal/testing/standin"
)

// testDeadline limits the duration of a test. No result depends on it.
const testDeadline = 30 * time.Second

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	t.Cleanup(cancel)
	return ctx
}

func start(t *testing.T, cfg standin.Config) *standin.Endpoint {
	t.Helper()
	cfg.Group = "g"
	if cfg.Slot == "" {
		cfg.Slot = "s1"
	}
	e, err := standin.Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(func() { e.Close() })
	return e
}

func url(e *standin.Endpoint, params string) string {
	return "postgres://app@" + e.Addr() + "/db?sslmode=disable" + params
}

func connect(t *testing.T, e *standin.Endpoint, params string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(testContext(t), url(e, params))
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func exec(t *testing.T, c *pgx.Conn, text string, args ...any) string {
	t.Helper()
	tag, err := c.Exec(testContext(t), text, args...)
	assert.NilError(t, err, text)
	return tag.String()
}

func code(err error) string {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Code
	}
	return ""
}

// TestStatements runs each statement in each of pgx's query execution modes.
func TestStatements(t *testing.T) {
	modes := []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol}
	for _, mode := range modes {
		t.Run(mode.String(), func(t *testing.T) {
			e := start(t, standin.Config{Primary: true})
			c := connect(t, e, "")
			for _, row := range []struct {
				text string
				args []any
				tag  string
				code string
			}{
				{text: "CREATE TABLE t (k int PRIMARY KEY, v text, n bigint)", tag: "CREATE TABLE"},
				{text: "CREATE TABLE t (k int)", code: "42P07"},
				{text: "CREATE TABLE IF NOT EXISTS t (k int)", tag: "CREATE TABLE"},
				{text: "INSERT INTO t (k, v) VALUES ($1, $2)", args: []any{1, "it's"}, tag: "INSERT 0 1"},
				{text: "INSERT INTO t (k, v) VALUES (1, 'b')", code: "23505"},
				{text: "INSERT INTO t (k, v) VALUES (1, 'b') ON CONFLICT DO NOTHING", tag: "INSERT 0 0"},
				{text: "INSERT INTO t VALUES (1, 'c', -4) ON CONFLICT (k) DO UPDATE SET n = excluded.n", tag: "INSERT 0 1"},
				{text: "INSERT INTO t VALUES (2, 'b', 5), (3, 'c', 6)", tag: "INSERT 0 2"},
				{text: "INSERT INTO t VALUES (NULL, 'b', 5)", code: "23502"},
				{text: "INSERT INTO t (k) VALUES ('x')", code: "22P02"},
				{text: "UPDATE t SET n = n + $1 WHERE k = $2", args: []any{int64(10), 1}, tag: "UPDATE 1"},
				{text: "UPDATE t SET k = 3 WHERE k = 2", code: "23505"},
				{text: "UPDATE t SET k = 9 WHERE k = 3", tag: "UPDATE 1"},
				{text: "DELETE FROM t WHERE k > 5", tag: "DELETE 1"},
				{text: "SELECT * FROM t WHERE k IN ($1, $2)", args: []any{1, 2}, tag: "SELECT 2"},
				{text: "SELECT v FROM t ORDER BY v DESC LIMIT 1", tag: "SELECT 1"},
				{text: "SELECT x FROM t", code: "42703"},
				{text: "SELECT * FROM absent", code: "42P01"},
				{text: "SELECT generate_series(1, 5000), repeat('x', 100)", tag: "SELECT 5000"},
				{text: "SELEKT", code: "42601"},
				{text: "COPY t FROM STDIN", code: "0A000"},
				{text: "SELECT pg_sleep(0.001)", tag: "SELECT 1"},
				{text: "-- nothing", tag: ""},
				{text: "SET search_path = a, b", tag: "SET"},
				{text: "SET absent = 1", code: "42704"},
				{text: "DISCARD ALL", tag: "DISCARD ALL"},
			} {
				args := append([]any{mode}, row.args...)
				tag, err := c.Exec(testContext(t), row.text, args...)
				assert.Equal(t, code(err), row.code, "%s: %v", row.text, err)
				assert.Equal(t, tag.String(), row.tag, row.text)
				assert.Equal(t, c.PgConn().TxStatus(), byte('I'), row.text)
				if row.tag == "DISCARD ALL" {
					assert.NilError(t, c.DeallocateAll(testContext(t)))
				}
			}
			var n int64
			var v string
			assert.NilError(t, c.QueryRow(testContext(t), "SELECT n, v FROM t WHERE k = $1", mode, 1).Scan(&n, &v))
			assert.Equal(t, n, int64(6))
			assert.Equal(t, v, "it's")
		})
	}
}

func TestTransactions(t *testing.T) {
	e := start(t, standin.Config{Primary: true})
	a, b := connect(t, e, ""), connect(t, e, "")
	ctx := testContext(t)
	exec(t, a, "CREATE TABLE t (k int PRIMARY KEY, v int)")
	exec(t, a, "INSERT INTO t VALUES (1, 0), (2, 0)")

	t.Run("rolled back changes and settings vanish", func(t *testing.T) {
		tx, err := a.Begin(ctx)
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "UPDATE t SET v = 7")
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "SET application_name = 'x'")
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "SELECT 1 FROM absent")
		assert.Equal(t, code(err), "42P01")
		_, err = tx.Exec(ctx, "SELECT 1")
		assert.Equal(t, code(err), "25P02")
		assert.NilError(t, tx.Rollback(ctx))
		var v int
		assert.NilError(t, a.QueryRow(ctx, "SELECT sum(v) FROM t").Scan(&v))
		assert.Equal(t, v, 0)
		assert.Equal(t, a.PgConn().ParameterStatus("application_name"), "")
	})
	t.Run("a batch is one transaction", func(t *testing.T) {
		batch := &pgx.Batch{}
		batch.Queue("UPDATE t SET v = 9 WHERE k = 1")
		batch.Queue("INSERT INTO t VALUES ($1, $2)", 2, 2)
		batch.Queue("SELECT 1")
		assert.Equal(t, code(a.SendBatch(ctx, batch).Close()), "23505")
		var v int
		assert.NilError(t, a.QueryRow(ctx, "SELECT v FROM t WHERE k = 1").Scan(&v))
		assert.Equal(t, v, 0)
	})
	t.Run("read only refuses writes", func(t *testing.T) {
		tx, err := a.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "UPDATE t SET v = 7")
		assert.Equal(t, code(err), "25006")
		assert.NilError(t, tx.Rollback(ctx))
	})
	t.Run("a second writer waits and loses no update", func(t *testing.T) {
		exec(t, a, "BEGIN")
		exec(t, a, "UPDATE t SET v = v + 1 WHERE k = 1")
		done := make(chan error, 1)
		go func() {
			_, err := b.Exec(ctx, "UPDATE t SET v = v + 1 WHERE k = 1")
			done <- err
		}()
		exec(t, a, "UPDATE t SET v = v + 1 WHERE k = 1")
		exec(t, a, "COMMIT")
		assert.NilError(t, <-done)
		var v int
		assert.NilError(t, a.QueryRow(ctx, "SELECT v FROM t WHERE k = 1").Scan(&v))
		assert.Equal(t, v, 3)
	})
	t.Run("a deadlock ends one of two", func(t *testing.T) {
		exec(t, a, "BEGIN")
		exec(t, b, "BEGIN")
		exec(t, a, "UPDATE t SET v = 1 WHERE k = 1")
		exec(t, b, "UPDATE t SET v = 1 WHERE k = 2")
		done := make(chan error, 1)
		go func() {
			_, err := a.Exec(ctx, "UPDATE t SET v = 1 WHERE k = 2")
			if err != nil {
				_, _ = a.Exec(ctx, "ROLLBACK")
			}
			done <- err
		}()
		_, errB := b.Exec(ctx, "UPDATE t SET v = 1 WHERE k = 1")
		exec(t, b, "ROLLBACK")
		errA := <-done
		assert.Assert(t, (code(errA) == "40P01") != (code(errB) == "40P01"), "%v, %v", errA, errB)
		exec(t, a, "ROLLBACK")
	})
}

func TestCancelStopsTheStatementOnly(t *testing.T) {
	e := start(t, standin.Config{Primary: true})
	c := connect(t, e, "")
	ctx, cancel := context.WithCancel(testContext(t))
	rows, err := c.Query(ctx, "SELECT generate_series(1, 2000000000)")
	assert.NilError(t, err)
	assert.Assert(t, rows.Next())
	assert.NilError(t, c.PgConn().CancelRequest(testContext(t)))
	for rows.Next() {
	}
	assert.Equal(t, code(rows.Err()), "57014")
	cancel()
	exec(t, c, "SELECT 1")
}

func TestDatabaseSQL(t *testing.T) {
	e := start(t, standin.Config{Primary: true})
	db, err := sql.Open("pgx", url(e, ""))
	assert.NilError(t, err)
	defer db.Close()
	assert.NilError(t, db.Ping())
	var n int
	assert.NilError(t, db.QueryRow("SELECT $1::int4 + 1", 41).Scan(&n))
	assert.Equal(t, n, 42)
	_, err = db.Exec("CREATE TABLE t (k text PRIMARY KEY, v bool)")
	assert.NilError(t, err)
	_, err = db.Exec("INSERT INTO t VALUES ($1, $2)", "a", true)
	assert.NilError(t, err)
	var v bool
	assert.NilError(t, db.QueryRow("SELECT v FROM t WHERE k = $1", "a").Scan(&v))
	assert.Assert(t, v)
}

func TestConnectionLimitIsSharedByDatabases(t *testing.T) {
	e := start(t, standin.Config{Primary: true, ConnLimit: 2, Databases: []string{"db", "db2"}})
	a := connect(t, e, "&hemlock.holder=h1")
	_, err := pgx.Connect(testContext(t), "postgres://app@"+e.Addr()+"/absent?sslmode=disable")
	assert.Equal(t, code(err), "3D000")
	connect(t, e, "&hemlock.holder=h1")
	_, err = pgx.Connect(testContext(t), "postgres://app@"+e.Addr()+"/db2?sslmode=disable")
	assert.Equal(t, code(err), "53300")
	var holder, conns string
	assert.NilError(t, a.QueryRow(testContext(t), "HEMLOCK HOLDERS", pgx.QueryExecModeSimpleProtocol).Scan(&holder, &conns))
	assert.Equal(t, holder+" "+conns, "h1 2")
	assert.Equal(t, e.Status().ConnsInUse, 2)
}
