package e2e

import (
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

// TestWithoutMajority takes two of three endpoints away. Once the daemons know,
// writes are refused as not run and leave nothing behind, reads go on; when the
// endpoints come back, writes go on.
func TestWithoutMajority(t *testing.T) {
	c := startControlled(t)
	ctx := testContext(t)
	// The first commits also wait until the replicas are connected, so they have no short
	// deadline.
	setup := connect(t, ctx, url(c.Daemons[0]))
	mustExec(t, ctx, setup, "CREATE TABLE t (k text PRIMARY KEY, v int)")
	mustExec(t, ctx, setup, "INSERT INTO t (k, v) VALUES ('before', 1)")
	writer := connect(t, ctx, url(c.Daemons[0])+"?hemlock.deadline=500ms")
	awaitReplicas(t, ctx, c)
	primary := primarySlot(c)
	for slot, e := range c.Endpoints["g"] {
		if slot != primary {
			e.Kill()
		}
	}
	refused := ""
	for i := 0; refused == ""; i++ {
		assert.NilError(t, ctx.Err())
		k := fmt.Sprintf("k%d", i)
		_, err := writer.Exec(ctx, "INSERT INTO t (k, v) VALUES ('"+k+"', 1)")
		assert.Assert(t, err != nil, "acknowledged without a majority")
		if told(err) == toldNotRun {
			refused = k
		}
	}
	count := func(k string) (n int) {
		conn, err := pgx.Connect(ctx, readerURL(c.Daemons[1], ""))
		assert.NilError(t, err)
		defer func() { _ = conn.Close(ctx) }()
		n, err = countRow(ctx, conn, k)
		assert.NilError(t, err)
		return n
	}
	assert.Equal(t, count("before"), 1)
	assert.Equal(t, count(refused), 0)
	for slot, e := range c.Endpoints["g"] {
		if slot != primary {
			assert.NilError(t, e.Restart())
		}
	}
	for {
		_, err := writer.Exec(ctx, "INSERT INTO t (k, v) VALUES ('after', 1) ON CONFLICT DO NOTHING")
		if err == nil {
			break
		}
		assert.NilError(t, ctx.Err())
	}
	awaitReplicas(t, ctx, c)
	assert.Equal(t, count("after"), 1)
	assert.Equal(t, count(refused), 0)
}
