package standin_test

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"hemlockmast/internal/testing/standin"
)

// BenchmarkStatements runs statements over parallel pgx connections without a
// proxy. It is the baseline for the overhead of the proxy.
func BenchmarkStatements(b *testing.B) {
	e, err := standin.Start(standin.Config{Group: "g", Slot: "s", Primary: true})
	assert.NilError(b, err)
	defer e.Close()
	ctx := context.Background()
	c, err := pgx.Connect(ctx, url(e, ""))
	assert.NilError(b, err)
	defer c.Close(ctx)
	_, err = c.Exec(ctx, "CREATE TABLE t (k bigint PRIMARY KEY, v text)")
	assert.NilError(b, err)
	var next atomic.Int64
	for _, bm := range []struct{ name, text string }{
		{"read", "SELECT v FROM t WHERE k = $1"},
		{"write", "INSERT INTO t VALUES ($1, 'v')"},
	} {
		b.Run(bm.name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				c, err := pgx.Connect(ctx, url(e, ""))
				assert.NilError(b, err)
				defer c.Close(ctx)
				for pb.Next() {
					if _, err := c.Exec(ctx, bm.text, next.Add(1)); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}
