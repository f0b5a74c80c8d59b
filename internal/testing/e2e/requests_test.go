package e2e

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

// marked returns sql with a request id in the form that any client can send.
func marked(id, sql string) string { return "/*hemlock request_id=" + id + "*/ " + sql }

// TestRequestWithIDRunsAtMostOnce sends requests again, one after the other and
// at the same time, through the same and through other daemons.
func TestRequestWithIDRunsAtMostOnce(t *testing.T) {
	c := startCluster(t)
	ctx := testContext(t)
	conns := make([]*pgx.Conn, 6)
	for i := range conns {
		conns[i] = connect(t, ctx, url(c.Daemons[i%3]))
	}
	mustExec(t, ctx, conns[0], "CREATE TABLE t (k text PRIMARY KEY, v int)")
	mustExec(t, ctx, conns[0], "INSERT INTO t (k, v) VALUES ('sent', 0)")
	total := func(k string) (v int) {
		assert.NilError(t, conns[0].QueryRow(ctx, "SELECT v FROM t WHERE k = $1", k).Scan(&v))
		return v
	}

	t.Run("resent through another daemon", func(t *testing.T) {
		for _, conn := range conns {
			tag, err := conn.Exec(ctx, marked("r1", "UPDATE t SET v = v + 1 WHERE k = 'sent'"))
			assert.NilError(t, err)
			assert.Equal(t, tag.String(), "UPDATE 1")
		}
		assert.Equal(t, total("sent"), 1)
	})
	t.Run("extended protocol", func(t *testing.T) {
		for _, conn := range conns {
			_, err := conn.Exec(ctx, marked("r2", "UPDATE t SET v = v + $1 WHERE k = $2"), 10, "sent")
			assert.NilError(t, err)
		}
		assert.Equal(t, total("sent"), 11)
	})
	t.Run("all at once", func(t *testing.T) {
		var wg sync.WaitGroup
		errs := make([]error, len(conns))
		for i, conn := range conns {
			wg.Go(func() { _, errs[i] = conn.Exec(ctx, marked("r3", "UPDATE t SET v = v + 100 WHERE k = 'sent'")) })
		}
		wg.Wait()
		for _, err := range errs {
			assert.NilError(t, err)
		}
		assert.Equal(t, total("sent"), 111)
	})
	t.Run("transaction", func(t *testing.T) {
		done := 0
		for _, conn := range conns {
			mustExec(t, ctx, conn, "SET hemlock.request_id = 'tx1'")
			tx, err := conn.Begin(ctx)
			if err != nil {
				assert.Equal(t, sqlState(err), "HM003")
				continue
			}
			_, err = tx.Exec(ctx, "UPDATE t SET v = v + 1000 WHERE k = 'sent'")
			assert.NilError(t, err)
			assert.NilError(t, tx.Commit(ctx))
			done++
		}
		assert.Equal(t, done, 1)
		assert.Equal(t, total("sent"), 1111)
	})
	t.Run("a failed request may run again", func(t *testing.T) {
		_, err := conns[0].Exec(ctx, marked("r4", "INSERT INTO t (k, v) VALUES ('sent', 1)"))
		assert.Equal(t, sqlState(err), "23505")
		mustExec(t, ctx, conns[1], marked("r4", "INSERT INTO t (k, v) VALUES ('other', 1)"))
		mustExec(t, ctx, conns[2], marked("r4", "INSERT INTO t (k, v) VALUES ('other', 1)"))
	})
	t.Run("an id counts once", func(t *testing.T) {
		mustExec(t, ctx, conns[0], "SET hemlock.request_id = 'r5'")
		for range 2 {
			mustExec(t, ctx, conns[0], "UPDATE t SET v = v + 1 WHERE k = 'other'")
		}
		assert.Equal(t, total("other"), 3)
	})
	t.Run("several statements are refused", func(t *testing.T) {
		_, err := conns[0].Exec(ctx, marked("r6", "UPDATE t SET v = 0; UPDATE t SET v = 1"))
		assert.Equal(t, sqlState(err), "0A000")
	})
}

// TestTransactionsNeverMix runs transactions of many callers over few endpoint
// connections; each checks that it sees only its own uncommitted rows.
func TestTransactionsNeverMix(t *testing.T) {
	c := startCluster(t)
	ctx := testContext(t)
	setup := connect(t, ctx, url(c.Daemons[0]))
	mustExec(t, ctx, setup, "CREATE TABLE t (k text PRIMARY KEY, v int)")
	var wg sync.WaitGroup
	errs := make([]error, 40)
	for i := range errs {
		conn := connect(t, ctx, url(c.Daemons[i%3]))
		wg.Go(func() { errs[i] = runTransactions(ctx, conn, i) })
	}
	wg.Wait()
	for _, err := range errs {
		assert.NilError(t, err)
	}
	var n int
	assert.NilError(t, setup.QueryRow(ctx, "SELECT count(*) FROM t").Scan(&n))
	assert.Equal(t, n, 40*5*2)
}

func runTransactions(ctx context.Context, conn *pgx.Conn, id int) error {
	for round := range 10 {
		tx, err := conn.Begin(ctx)
		if err != nil {
			return err
		}
		for part := range 2 {
			k := fmt.Sprintf("%d-%d-%d", id, round, part)
			if _, err := tx.Exec(ctx, "INSERT INTO t (k, v) VALUES ($1, $2)", k, id); err != nil {
				return err
			}
			var v int
			if err := tx.QueryRow(ctx, "SELECT v FROM t WHERE k = $1", k).Scan(&v); err != nil {
				return err
			}
		}
		if round%2 == 0 {
			err = tx.Commit(ctx)
		} else {
			err = tx.Rollback(ctx)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
