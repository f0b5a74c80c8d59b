package marker_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/fleet/marker"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
	"hemlockmast/platform"
	"hemlockmast/platform/standin"
)

// counted counts the connections that are opened and delays each statement.
type counted struct {
	stmt.Dialer
	dials, statements atomic.Int64
}

type slowConn struct {
	stmt.Conn
	of *counted
}

func (d *counted) Dial(ctx context.Context, e stmt.Endpoint) (stmt.Conn, error) {
	d.dials.Add(1)
	c, err := d.Dialer.Dial(ctx, e)
	return &slowConn{Conn: c, of: d}, err
}

func (c *slowConn) Do(deadline time.Time, text, id string, after logpos.Pos) (stmt.Reply, error) {
	c.of.statements.Add(1)
	time.Sleep(2 * time.Millisecond)
	return c.Conn.Do(deadline, text, id, after)
}

func start(t *testing.T) (*standin.Group, *counted, *marker.Marker) {
	group, err := standin.Start("svc", 3)
	assert.NilError(t, err)
	t.Cleanup(group.Close)
	d := &counted{Dialer: platform.Dialer{Name: "control"}}
	return group, d, marker.New(d, platform.Texts)
}

func endpoint(g *standin.Group, i int) stmt.Endpoint {
	n := g.Nodes()[i]
	return stmt.Endpoint{ID: n.ID, Service: "svc", Address: n.Address}
}

func write(t *testing.T, g *standin.Group, id string) logpos.Pos {
	conn, err := platform.Dialer{Name: "writer"}.Dial(t.Context(), endpoint(g, 0))
	assert.NilError(t, err)
	defer conn.Close()
	reply, err := conn.Do(time.Now().Add(time.Second), "STORE a v", id, logpos.Pos{})
	assert.NilError(t, err)
	assert.Assert(t, reply.Err == nil)
	return reply.Pos
}

// TestPositionCoversWhatWasAcknowledgedBefore asks while writes go on: no answer may
// be older than the last write acknowledged before its call.
func TestPositionCoversWhatWasAcknowledgedBefore(t *testing.T) {
	group, d, m := start(t)
	var mu sync.Mutex
	var acknowledged logpos.Pos
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			pos := write(t, group, "w")
			mu.Lock()
			acknowledged = pos
			mu.Unlock()
		}
	})
	const callers, calls = 60, 5
	var asking sync.WaitGroup
	for range callers {
		asking.Go(func() {
			for range calls {
				mu.Lock()
				before := acknowledged
				mu.Unlock()
				pos, err := m.Position(t.Context(), endpoint(group, 0))
				assert.Check(t, err)
				assert.Check(t, !pos.Less(before), "%s before %s", pos, before)
			}
		})
	}
	asking.Wait()
	close(stop)
	wg.Wait()
	assert.Equal(t, d.dials.Load(), int64(1))
	// Two statements a question, and a question for many callers.
	assert.Assert(t, d.statements.Load() < callers*calls, "%d statements", d.statements.Load())
}

// TestFormerPrimaryTellsNoPosition asks an endpoint that leads no more.
func TestFormerPrimaryTellsNoPosition(t *testing.T) {
	group, _, m := start(t)
	_, err := m.Position(t.Context(), endpoint(group, 0))
	assert.NilError(t, err)
	assert.Equal(t, group.Promote("svc-1", 1), 200)
	_, err = m.Position(t.Context(), endpoint(group, 0))
	var notLeading *marker.NotLeadingError
	assert.Assert(t, errors.As(err, &notLeading), "%v", err)
}

// TestSilentPrimaryIsAskedAnew has the answer of one question missing, then the
// connection opened again.
func TestSilentPrimaryIsAskedAnew(t *testing.T) {
	group, d, m := start(t)
	_, err := m.Position(t.Context(), endpoint(group, 0))
	assert.NilError(t, err)
	group.Nodes()[0].Set(standin.Faults{Silent: true})
	_, err = m.Position(t.Context(), endpoint(group, 0))
	assert.Assert(t, err != nil)
	group.Nodes()[0].Set(standin.Faults{})
	pos := write(t, group, "w")
	got, err := m.Position(t.Context(), endpoint(group, 0))
	assert.NilError(t, err)
	assert.Equal(t, got, pos)
	assert.Assert(t, d.dials.Load() > 1)
}
