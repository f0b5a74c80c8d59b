package e2e

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"hemlockmast/internal/testing/devcluster"
)

// awaitReplicas waits until every endpoint but those of the slots in except shows
// what the primary holds. A session without writes may read old data before, or
// miss a table that is new.
func awaitReplicas(t *testing.T, ctx context.Context, c *devcluster.Cluster, except ...string) {
	t.Helper()
	end := c.Endpoints["g"][primarySlot(c)].Status().Synced
	for slot, e := range c.Endpoints["g"] {
		for !slices.Contains(except, slot) && e.Status().Applied.Less(end) {
			assert.NilError(t, ctx.Err())
			time.Sleep(time.Millisecond)
		}
	}
}

// setApplyLag makes every endpoint show records only after lag.
func setApplyLag(c *devcluster.Cluster, lag time.Duration) {
	for _, e := range c.Endpoints["g"] {
		e.SetLag(0, lag)
	}
}

// readerURL returns a connection string for reads at replicas.
func readerURL(d *devcluster.Daemon, params string) string {
	return "postgres://reader@" + d.CallerAddr() + "/db?" + params
}

// countRow returns the number of rows with key k.
func countRow(ctx context.Context, conn *pgx.Conn, k string) (n int, err error) {
	err = conn.QueryRow(ctx, "SELECT count(*) FROM t WHERE k = $1", k).Scan(&n)
	return n, err
}

// awaitStaleRead waits until a session that wrote nothing reads old data: reads
// go to replicas and replicas are late. Without this the tests would prove
// nothing.
func awaitStaleRead(t *testing.T, ctx context.Context, c *devcluster.Cluster, writer *pgx.Conn) {
	t.Helper()
	for i := 0; ; i++ {
		k := fmt.Sprintf("stranger-%d", i)
		mustExec(t, ctx, writer, "INSERT INTO t (k, v) VALUES ($1, 1)", k)
		reader := connect(t, ctx, readerURL(c.Daemons[1], ""))
		n, err := countRow(ctx, reader, k)
		assert.NilError(t, err)
		if n == 0 {
			return
		}
	}
}

// TestReadYourWritesAcrossDaemons writes through one daemon and reads through
// another while replicas show records late. Each way in which a caller can carry
// its session must see the write.
func TestReadYourWritesAcrossDaemons(t *testing.T) {
	c := startCluster(t)
	ctx := testContext(t)
	setup := connect(t, ctx, url(c.Daemons[0]))
	mustExec(t, ctx, setup, "CREATE TABLE t (k text PRIMARY KEY, v int)")
	awaitReplicas(t, ctx, c)
	setApplyLag(c, 300*time.Millisecond)

	awaitStaleRead(t, ctx, c, setup)

	t.Run("session id", func(t *testing.T) {
		writer := connect(t, ctx, url(c.Daemons[0])+"?hemlock.session_id=bridge-7")
		reader := connect(t, ctx, readerURL(c.Daemons[1], "hemlock.session_id=bridge-7"))
		for i := range 10 {
			k := fmt.Sprintf("id-%d", i)
			mustExec(t, ctx, writer, "INSERT INTO t (k, v) VALUES ($1, 1)", k)
			n, err := countRow(ctx, reader, k)
			assert.NilError(t, err)
			assert.Equal(t, n, 1, k)
		}
	})
	t.Run("token", func(t *testing.T) {
		writer := connect(t, ctx, url(c.Daemons[0]))
		for i := range 5 {
			k := fmt.Sprintf("token-%d", i)
			mustExec(t, ctx, writer, "INSERT INTO t (k, v) VALUES ($1, 1)", k)
			token := writer.PgConn().ParameterStatus("hemlock.session_token")
			reader := connect(t, ctx, readerURL(c.Daemons[2], "hemlock.session_token="+token))
			n, err := countRow(ctx, reader, k)
			assert.NilError(t, err)
			assert.Equal(t, n, 1, k)
		}
	})
	t.Run("an undeclared write moves to the primary", func(t *testing.T) {
		conn := connect(t, ctx, readerURL(c.Daemons[1], ""))
		for _, k := range []string{"moved-1", "moved-2"} {
			mustExec(t, ctx, conn, "INSERT INTO t (k, v) VALUES ('"+k+"', 1)")
			n, err := countRow(ctx, conn, k)
			assert.NilError(t, err)
			assert.Equal(t, n, 1)
		}
	})
	t.Run("read level primary sees every acknowledged write", func(t *testing.T) {
		reader := connect(t, ctx, readerURL(c.Daemons[2], "hemlock.read_level=primary"))
		for i := range 5 {
			k := fmt.Sprintf("primary-%d", i)
			mustExec(t, ctx, setup, "INSERT INTO t (k, v) VALUES ($1, 1)", k)
			n, err := countRow(ctx, reader, k)
			assert.NilError(t, err)
			assert.Equal(t, n, 1)
		}
	})
	t.Run("tokens that are not of this system", func(t *testing.T) {
		token := setup.PgConn().ParameterStatus("hemlock.session_token")
		flipped := token[:20] + "A" + token[21:]
		if flipped == token {
			flipped = token[:20] + "B" + token[21:]
		}
		for _, bad := range []string{"invented", flipped, token + token, token[:len(token)/2]} {
			_, err := pgx.Connect(ctx, readerURL(c.Daemons[0], "hemlock.session_token="+bad))
			assert.Equal(t, sqlState(err), "HM004", bad)
		}
		_, err := pgx.Connect(ctx, readerURL(c.Daemons[0], "hemlock.session_id=a%20b"))
		assert.Equal(t, sqlState(err), "22023")
	})
	t.Run("unknown parameter", func(t *testing.T) {
		_, err := pgx.Connect(ctx, readerURL(c.Daemons[0], "hemlock.sesion_id=x"))
		assert.Equal(t, sqlState(err), "22023")
		for _, sql := range []string{"SET hemlock.session_id = 'x'", "SET hemlock.read_level = 'newest'", "SET hemlock.deadline = '5'"} {
			_, err := setup.Exec(ctx, sql)
			assert.Equal(t, sqlState(err), "22023", sql)
		}
	})
}

// TestSessionOutlivesItsDaemons stops the daemon that served a session's write,
// which also kept a copy of its floor or held connections, then each other one
// in turn but the reader's: the next read still sees the write, or is refused.
func TestSessionOutlivesItsDaemons(t *testing.T) {
	for _, stopped := range []int{0, 1} {
		t.Run(fmt.Sprintf("daemon %d stops", stopped), func(t *testing.T) {
			c := startControlled(t)
			ctx := testContext(t)
			writer := connect(t, ctx, url(c.Daemons[0])+"?hemlock.session_id=s7")
			mustExec(t, ctx, writer, "CREATE TABLE t (k text PRIMARY KEY, v int)")
			setApplyLag(c, 300*time.Millisecond)
			for i := range 5 {
				mustExec(t, ctx, writer, fmt.Sprintf("INSERT INTO t (k, v) VALUES ('k%d', 1)", i))
			}
			mustExec(t, ctx, writer, "INSERT INTO t (k, v) VALUES ('last', 1)")
			c.Daemons[stopped].Stop()
			seen := 0
			for seen < 5 {
				assert.NilError(t, ctx.Err())
				reader, err := pgx.Connect(ctx, readerURL(c.Daemons[2], "hemlock.session_id=s7"))
				if err != nil {
					continue
				}
				n, err := countRow(ctx, reader, "last")
				_ = reader.Close(ctx)
				if err != nil {
					assert.Equal(t, told(err), toldNotRun, err.Error())
					continue
				}
				assert.Equal(t, n, 1)
				seen++
			}
		})
	}
}
