package holder

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hemlockmast/api/link"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/outcome"
	"hemlockmast/internal/wire/pgwire"
)

// fakeDialer returns connections that are not served by any endpoint, and counts
// the open ones.
type fakeDialer struct {
	open, maxOpen atomic.Int64
	// refusalCode is the SQLSTATE with which the next dials fail, as many as
	// refusals counts.
	refusalCode string
	refusals    atomic.Int64
	delay       time.Duration
}

func (d *fakeDialer) Dial(ctx context.Context, _ string, key connKey) (*conn, error) {
	if d.refusals.Add(-1) >= 0 {
		return nil, &pgconn.PgError{Code: d.refusalCode}
	}
	select {
	case <-time.After(d.delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	n := d.open.Add(1)
	for maxOpen := d.maxOpen.Load(); n > maxOpen && !d.maxOpen.CompareAndSwap(maxOpen, n); maxOpen = d.maxOpen.Load() {
	}
	raw := &countedConn{Conn: client, onClose: func() { _ = server.Close(); d.open.Add(-1) }}
	return &conn{
		key: key, raw: raw, incarnation: "i1", prepared: map[string]uint64{},
		reader: pgwire.NewReader(bufio.NewReader(raw), maxMessageBytes),
	}, nil
}

type countedConn struct {
	net.Conn
	once    sync.Once
	onClose func()
}

func (c *countedConn) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}

// requireOutcomeError fails the test unless err is an *outcome.Error.
func requireOutcomeError(t *testing.T, err error) *outcome.Error {
	t.Helper()
	var failure *outcome.Error
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	return failure
}

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

var appKey = connKey{database: "db", user: "app"}

// TestPoolNeverExceedsItsLimit runs many concurrent exchanges with different
// logins, some of which time out or break their connection.
func TestPoolNeverExceedsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		dialer := &fakeDialer{delay: 100 * time.Microsecond}
		p := newPool(dialer, "a", limit)
		keys := []connKey{appKey, {"db2", "app"}, {"db", "other"}}
		var wg sync.WaitGroup
		for range 20 {
			key := rapid.SampledFrom(keys).Draw(t, "key")
			timeout := time.Duration(rapid.IntRange(1, 30).Draw(t, "timeout ms")) * time.Millisecond
			breaksConn := rapid.Bool().Draw(t, "breaks")
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				c, err := p.acquire(ctx, connRequest{key: key, service: key.user})
				if err != nil {
					return
				}
				if c.key != key {
					t.Errorf("acquired a connection with login %v for %v", c.key, key)
				}
				time.Sleep(200 * time.Microsecond)
				if breaksConn {
					c.close()
				}
				p.release(c, key.user)
			})
		}
		wg.Wait()
		if maxOpen := dialer.maxOpen.Load(); maxOpen > int64(limit) {
			t.Fatalf("%d connections open with a limit of %d", maxOpen, limit)
		}
		for p.usage().Open != p.usage().Idle {
			time.Sleep(100 * time.Microsecond)
		}
		u := p.usage()
		if u.Waiting != 0 || u.Open != u.Idle || u.Open > limit {
			t.Fatalf("usage after all exchanges ended: %+v", u)
		}
		if len(p.connsByService) != 0 {
			t.Fatalf("connections still counted for services: %v", p.connsByService)
		}
	})
}

func TestPool(t *testing.T) {
	mustAcquire := func(t *testing.T, p *pool, service string) *conn {
		c, err := p.acquire(contextWithTimeout(t, time.Second), connRequest{key: appKey, service: service})
		assert.NilError(t, err)
		return c
	}
	t.Run("a full pool fails at the deadline with outcome not run", func(t *testing.T) {
		p := newPool(&fakeDialer{}, "a", 1)
		mustAcquire(t, p, "s")
		_, err := p.acquire(contextWithTimeout(t, 10*time.Millisecond), connRequest{key: appKey})
		failure := requireOutcomeError(t, err)
		assert.Equal(t, failure.Outcome, outcome.NotRun)
		assert.Equal(t, failure.Reason, outcome.ReasonDeadline)
	})
	t.Run("a failed dial has outcome not run and frees its place", func(t *testing.T) {
		dialer := &fakeDialer{refusalCode: "57P03"}
		dialer.refusals.Store(1)
		p := newPool(dialer, "a", 1)
		_, err := p.acquire(contextWithTimeout(t, time.Second), connRequest{key: appKey})
		assert.Equal(t, requireOutcomeError(t, err).Reason, outcome.ReasonEndpointDown)
		mustAcquire(t, p, "s")
	})
	t.Run("too many connections at the endpoint is not reported to the caller", func(t *testing.T) {
		dialer := &fakeDialer{refusalCode: endpoint.CodeTooManyConnections}
		dialer.refusals.Store(3)
		mustAcquire(t, newPool(dialer, "a", 1), "s")
	})
	t.Run("a service cannot exceed its share", func(t *testing.T) {
		p := newPool(&fakeDialer{}, "a", 3)
		req := connRequest{key: appKey, service: "greedy", share: 2}
		for range 2 {
			_, err := p.acquire(contextWithTimeout(t, time.Second), req)
			assert.NilError(t, err)
		}
		_, err := p.acquire(contextWithTimeout(t, 10*time.Millisecond), req)
		assert.Equal(t, requireOutcomeError(t, err).Outcome, outcome.NotRun)
		mustAcquire(t, p, "other")
	})
	t.Run("a higher priority is served first", func(t *testing.T) {
		p := newPool(&fakeDialer{}, "a", 1)
		c := mustAcquire(t, p, "s")
		order := make(chan int32, 3)
		var wg sync.WaitGroup
		for i, priority := range []int32{1, 9, 5} {
			wg.Go(func() {
				got, err := p.acquire(contextWithTimeout(t, time.Second), connRequest{key: appKey, priority: priority})
				assert.Check(t, err)
				order <- priority
				p.release(got, "")
			})
			for p.usage().Waiting <= i {
				time.Sleep(time.Millisecond)
			}
		}
		p.release(c, "s")
		wg.Wait()
		assert.DeepEqual(t, []int32{<-order, <-order, <-order}, []int32{9, 5, 1})
	})
	t.Run("a lower limit takes effect as connections are returned", func(t *testing.T) {
		p := newPool(&fakeDialer{}, "a", 2)
		a, b := mustAcquire(t, p, "s"), mustAcquire(t, p, "s")
		p.setLimit(1)
		p.release(a, "s")
		p.release(b, "s")
		for p.usage().Open > 1 {
			time.Sleep(time.Millisecond)
		}
	})
	t.Run("connections to a former address are not used", func(t *testing.T) {
		p := newPool(&fakeDialer{}, "a", 2)
		used, idle := mustAcquire(t, p, "s"), mustAcquire(t, p, "s")
		p.release(idle, "s")
		p.setAddr("b")
		_, err := used.raw.Write([]byte{0})
		assert.Assert(t, err != nil)
		used.close()
		p.release(used, "s")
		assert.Assert(t, mustAcquire(t, p, "s") != idle)
	})
	t.Run("closing the pool refuses waiters", func(t *testing.T) {
		p := newPool(&fakeDialer{}, "a", 1)
		mustAcquire(t, p, "s")
		done := make(chan error, 1)
		go func() {
			_, err := p.acquire(contextWithTimeout(t, time.Second), connRequest{key: appKey})
			done <- err
		}()
		for p.usage().Waiting == 0 {
			time.Sleep(time.Millisecond)
		}
		p.close()
		assert.Equal(t, requireOutcomeError(t, <-done).Outcome, outcome.NotRun)
	})
	t.Run("an interrupt ends uses, dials and waiting", func(t *testing.T) {
		p := newPool(&fakeDialer{}, "a", 2)
		used := mustAcquire(t, p, "s")
		p.dialer = &fakeDialer{delay: time.Minute}
		done := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := p.acquire(contextWithTimeout(t, time.Minute), connRequest{key: appKey})
				done <- err
			}()
		}
		for p.usage().Waiting == 0 || p.usage().Open < 2 {
			time.Sleep(time.Millisecond)
		}
		p.interrupt()
		for range 2 {
			failure := requireOutcomeError(t, <-done)
			assert.Equal(t, failure.Outcome, outcome.NotRun)
			assert.Equal(t, failure.Reason, outcome.ReasonEndpointDown)
		}
		_, err := used.raw.Write([]byte{0})
		assert.Assert(t, err != nil)
	})
	t.Run("an idle connection that does not answer a ping is closed", func(t *testing.T) {
		p := newPool(&fakeDialer{}, "a", 1)
		c := mustAcquire(t, p, "s")
		p.release(c, "s")
		assert.Equal(t, p.checkIdle(time.Now()), 0)
		assert.Equal(t, p.checkIdle(time.Now().Add(pingIdleAfter)), 1)
		for p.usage().Open > 0 {
			time.Sleep(time.Millisecond)
		}
	})
}

// fixedFloors is a Floors for which the endpoint with the given incarnation has
// applied every position. If the incarnation is empty, none has.
type fixedFloors struct{ incarnation string }

func (f fixedFloors) AwaitApplied(context.Context, string, string, logpos.Pos, time.Duration) (string, bool) {
	return f.incarnation, f.incarnation != ""
}

// TestHolderChecksFloorOfConnection checks that a read is refused if its floor
// is not applied, or if the connection leads to another incarnation than the one
// that has applied the floor.
func TestHolderChecksFloorOfConnection(t *testing.T) {
	for _, tc := range []struct{ name, incarnation string }{
		{"not applied", ""},
		{"applied by an earlier incarnation", "i0"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := New(Config{Dialer: &fakeDialer{}, Floors: fixedFloors{tc.incarnation}})
			h.Assign([]Assignment{{ID: SlotID{"g", "s"}, Addr: "a", Limit: 1}})
			ex, err := h.Open(contextWithTimeout(t, time.Second))
			assert.NilError(t, err)
			seg := &link.Segment{Open: &link.Open{Group: "g", Slot: "s", FloorTerm: 1, FloorIndex: 1}}
			_, err = ex.Run(contextWithTimeout(t, time.Second), seg, nil)
			failure := requireOutcomeError(t, err)
			assert.Equal(t, failure.Outcome, outcome.NotRun)
			assert.Equal(t, failure.Reason, outcome.ReasonStale)
			assert.Equal(t, h.Usage()[SlotID{"g", "s"}].Waiting, 0)
		})
	}
}
