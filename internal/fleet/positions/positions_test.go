package positions_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/fleet/positions"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
	"hemlockmast/platform"
	"hemlockmast/platform/standin"
)

// countingDialer counts the connections and statements and delays each statement.
type countingDialer struct {
	stmt.Dialer
	dials, statements atomic.Int64
}

type slowConn struct {
	stmt.Conn
	dialer *countingDialer
}

func (d *countingDialer) Dial(ctx context.Context, e stmt.Endpoint) (stmt.Conn, error) {
	d.dials.Add(1)
	c, err := d.Dialer.Dial(ctx, e)
	return &slowConn{Conn: c, dialer: d}, err
}

func (c *slowConn) Do(deadline time.Time, text, id string, after logpos.Pos) (stmt.Reply, error) {
	c.dialer.statements.Add(1)
	time.Sleep(2 * time.Millisecond)
	return c.Conn.Do(deadline, text, id, after)
}

func start(t *testing.T) (*standin.Group, *countingDialer, *positions.Reader) {
	group, err := standin.Start("svc", 3)
	assert.NilError(t, err)
	t.Cleanup(group.Close)
	d := &countingDialer{Dialer: platform.Dialer{Name: "control"}}
	return group, d, positions.New(d, platform.Texts)
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

// A success must not be passed on because of a position of an endpoint that leads by now.
func TestReceivedIsToldByReplicasOnly(t *testing.T) {
	group, _, r := start(t)
	pos := write(t, group, "w1")
	received, err := r.Received(t.Context(), endpoint(group, 1))
	assert.NilError(t, err)
	assert.Equal(t, received, pos)
	group.Nodes()[1].Set(standin.Faults{Deaf: true})
	write(t, group, "w2")
	received, err = r.Received(t.Context(), endpoint(group, 1))
	assert.NilError(t, err)
	assert.Equal(t, received, pos)
	var refused *positions.QueryRefusedError
	_, err = r.Received(t.Context(), endpoint(group, 0))
	assert.Assert(t, errors.As(err, &refused), "%v", err)
}

// TestPositionCoversWhatWasAcknowledgedBefore reads positions while writes go on: no
// position may be lower than that of the last write acknowledged before the call.
func TestPositionCoversWhatWasAcknowledgedBefore(t *testing.T) {
	group, d, r := start(t)
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
	var readers sync.WaitGroup
	for range callers {
		readers.Go(func() {
			for range calls {
				mu.Lock()
				before := acknowledged
				mu.Unlock()
				pos, err := r.Position(t.Context(), endpoint(group, 0))
				assert.Check(t, err)
				assert.Check(t, !pos.Less(before), "%s before %s", pos, before)
			}
		})
	}
	readers.Wait()
	close(stop)
	wg.Wait()
	assert.Equal(t, d.dials.Load(), int64(1))
	// Each query takes two statements and answers many calls.
	assert.Assert(t, d.statements.Load() < callers*calls, "%d statements", d.statements.Load())
}

// TestFormerPrimaryReturnsNoPosition queries an endpoint that is no longer the primary.
func TestFormerPrimaryReturnsNoPosition(t *testing.T) {
	group, _, r := start(t)
	_, err := r.Position(t.Context(), endpoint(group, 0))
	assert.NilError(t, err)
	assert.Equal(t, group.Promote("svc-1", 1), 200)
	_, err = r.Position(t.Context(), endpoint(group, 0))
	var refused *positions.QueryRefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
}

// TestReconnectsAfterUnansweredQuery checks that a query works over a new connection after
// the primary did not answer the former one.
func TestReconnectsAfterUnansweredQuery(t *testing.T) {
	group, d, r := start(t)
	_, err := r.Position(t.Context(), endpoint(group, 0))
	assert.NilError(t, err)
	group.Nodes()[0].Set(standin.Faults{Silent: true})
	_, err = r.Position(t.Context(), endpoint(group, 0))
	assert.Assert(t, err != nil)
	group.Nodes()[0].Set(standin.Faults{})
	pos := write(t, group, "w")
	got, err := r.Position(t.Context(), endpoint(group, 0))
	assert.NilError(t, err)
	assert.Equal(t, got, pos)
	assert.Assert(t, d.dials.Load() > 1)
}
