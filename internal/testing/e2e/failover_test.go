package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/timeline"
	"hemlockmast/internal/shared/timeline/timelinerpc"
	"hemlockmast/internal/testing/devcluster"
)

// primarySlot returns the slot of the primary with the latest term.
func primarySlot(c *devcluster.Cluster) string {
	best, slot := uint64(0), ""
	for name, e := range c.Endpoints["g"] {
		st := e.Status()
		if st.Role == endpoint.RolePrimary && st.FencedTerm <= st.Synced.Term && st.Synced.Term > best {
			best, slot = st.Synced.Term, name
		}
	}
	return slot
}

// writer inserts rows with ascending keys until it is stopped and remembers
// those whose insert was done.
type writer struct {
	conn *pgx.Conn
	url  string
	name string
	done []string
	// gap is the longest time between two inserts that were done.
	gap  time.Duration
	errs []string
}

func (w *writer) run(ctx context.Context, stop <-chan struct{}) {
	last := time.Now()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		k := fmt.Sprintf("%s-%d", w.name, i)
		err := w.insert(ctx, k)
		if err != nil {
			w.errs = append(w.errs, told(err)+": "+err.Error())
			continue
		}
		w.done = append(w.done, k)
		w.gap = max(w.gap, time.Since(last))
		last = time.Now()
	}
}

func (w *writer) insert(ctx context.Context, k string) error {
	if w.conn == nil || w.conn.IsClosed() {
		conn, err := pgx.Connect(ctx, w.url)
		if err != nil {
			return err
		}
		w.conn = conn
	}
	_, err := w.conn.Exec(ctx, marked(k, "INSERT INTO t (k, v) VALUES ('"+k+"', 1)"))
	return err
}

// TestFailoverLosesNoAcknowledgedWrite takes the primary away in different ways
// while callers on every daemon write requests with ids. Afterwards each write
// that was acknowledged is there once, and writes go on.
func TestFailoverLosesNoAcknowledgedWrite(t *testing.T) {
	for _, tc := range []struct {
		name string
		// fault takes the primary away; heal brings it back.
		fault, heal func(t *testing.T, c *devcluster.Cluster, slot string)
	}{
		{"primary killed, comes back", func(_ *testing.T, c *devcluster.Cluster, slot string) {
			c.Endpoints["g"][slot].Kill()
		}, func(t *testing.T, c *devcluster.Cluster, slot string) {
			assert.NilError(t, c.Endpoints["g"][slot].Restart())
		}},
		{"primary killed, comes back empty", func(_ *testing.T, c *devcluster.Cluster, slot string) {
			c.Endpoints["g"][slot].Kill()
		}, func(t *testing.T, c *devcluster.Cluster, slot string) {
			assert.NilError(t, c.Endpoints["g"][slot].RestartEmpty())
		}},
		{"primary freezes and wakes", func(_ *testing.T, c *devcluster.Cluster, slot string) {
			c.Endpoints["g"][slot].Freeze()
		}, func(_ *testing.T, c *devcluster.Cluster, slot string) {
			c.Endpoints["g"][slot].Thaw()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := startControlled(t)
			ctx := testContext(t)
			setup := connect(t, ctx, url(c.Daemons[0]))
			mustExec(t, ctx, setup, "CREATE TABLE t (k text PRIMARY KEY, v int)")
			mustExec(t, ctx, setup, marked("warm", "INSERT INTO t (k, v) VALUES ('warm', 1)"))
			old := primarySlot(c)
			writers := make([]*writer, 6)
			stop := make(chan struct{})
			var wg sync.WaitGroup
			for i := range writers {
				writers[i] = &writer{name: fmt.Sprintf("w%d", i), url: url(c.Daemons[i%3])}
				wg.Go(func() { writers[i].run(ctx, stop) })
			}
			time.Sleep(settle)
			tc.fault(t, c, old)
			for primarySlot(c) == old || primarySlot(c) == "" {
				assert.NilError(t, ctx.Err())
				time.Sleep(time.Millisecond)
			}
			time.Sleep(settle)
			tc.heal(t, c, old)
			time.Sleep(2 * settle)
			close(stop)
			wg.Wait()
			checkWriters(t, ctx, c, writers)
		})
	}
}

// checkWriters checks that every acknowledged row is there once.
func checkWriters(t *testing.T, ctx context.Context, c *devcluster.Cluster, writers []*writer) {
	t.Helper()
	reader := connect(t, ctx, url(c.Daemons[0]))
	rows, err := reader.Query(ctx, "SELECT k FROM t")
	assert.NilError(t, err)
	keys, err := pgx.CollectRows(rows, pgx.RowTo[string])
	assert.NilError(t, err)
	count := map[string]int{}
	for _, k := range keys {
		count[k]++
	}
	for _, w := range writers {
		t.Logf("%s: %d done, longest gap %s, errors %v", w.name, len(w.done), w.gap, w.errs)
		assert.Assert(t, len(w.done) > 0)
		for _, k := range w.done {
			assert.Equal(t, count[k], 1, "acknowledged row %s", k)
		}
	}
}

// TestFailoverReadsAsAStory kills the primary and reads the time line of all
// daemons: one failover from suspicion to the first acknowledged write, with its
// gap, and no daemon missing.
func TestFailoverReadsAsAStory(t *testing.T) {
	c := startControlled(t)
	ctx := testContext(t)
	conn := connect(t, ctx, url(c.Daemons[1]))
	mustExec(t, ctx, conn, "CREATE TABLE t (k text PRIMARY KEY, v int)")
	mustExec(t, ctx, conn, marked("warm", "INSERT INTO t (k, v) VALUES ('warm', 1)"))
	c.Endpoints["g"][primarySlot(c)].Kill()
	mustExec(t, ctx, conn, marked("after", "INSERT INTO t (k, v) VALUES ('after', 1)"))
	var urls []string
	for _, d := range c.Daemons {
		urls = append(urls, d.AdminURL())
	}
	collected := timelinerpc.Collect(ctx, http.DefaultClient, urls, nil)
	assert.Equal(t, len(collected.Unreached), 0)
	failovers := timeline.Failovers(collected.Events)
	assert.Equal(t, len(failovers), 1)
	f := failovers[0]
	assert.Equal(t, f.Group, "g")
	assert.Assert(t, f.Term >= 2 && f.NewSlot != "" && f.NewSlot != f.OldSlot)
	gap, known := f.Gap()
	assert.Assert(t, known)
	t.Logf("gap %s", gap)
}
