package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/testing/devcluster"
)

// TestLeavingEndpointGetsNoNewWork stops a replica from showing records, so that
// reads there are old. Reads that see old data show that it gets work; after it
// said that it leaves, none may.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	c := startCluster(t)
	ctx := testContext(t)
	writer := connect(t, ctx, url(c.Daemons[0]))
	mustExec(t, ctx, writer, "CREATE TABLE t (k text PRIMARY KEY, v int)")
	awaitReplicas(t, ctx, c)
	leaving := c.Endpoints["g"]["s3"]
	for i := 0; !isRead(t, ctx, c, "s3", i); i++ {
		assert.NilError(t, ctx.Err())
	}
	leaving.Leave(ctx)
	time.Sleep(2 * time.Second)
	for i := range 10 {
		assert.Assert(t, !isRead(t, ctx, c, "s3", 1000+i), "read %d went to the leaving endpoint", i)
	}
}

// isRead reports whether one of some reads goes to a slot: it writes a row, lets
// only that slot not show it, and reads as strangers do.
func isRead(t *testing.T, ctx context.Context, c *devcluster.Cluster, slot string, i int) bool {
	t.Helper()
	c.Endpoints["g"][slot].PauseApply(true)
	defer c.Endpoints["g"][slot].PauseApply(false)
	writer := connect(t, ctx, url(c.Daemons[0]))
	k := fmt.Sprintf("k%d", i)
	mustExec(t, ctx, writer, "INSERT INTO t (k, v) VALUES ($1, 1)", k)
	assert.NilError(t, writer.Close(ctx))
	awaitReplicas(t, ctx, c, slot)
	for range 8 {
		reader := connect(t, ctx, readerURL(c.Daemons[1], ""))
		n, err := countRow(ctx, reader, k)
		assert.NilError(t, err)
		assert.NilError(t, reader.Close(ctx))
		if n == 0 {
			return true
		}
	}
	return false
}
