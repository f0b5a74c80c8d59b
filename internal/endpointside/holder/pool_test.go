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

// fakeDialer makes connections to nothing and counts those that are open.
type fakeDialer struct {
	open, most atomic.Int64
	// refuse is the SQLSTATE of the next dials' refusal while refusals last.
	refuse   string
	refusals atomic.Int64
	delay    time.Duration
}

func (d *fakeDialer) Dial(ctx context.Context, _ string, key connKey) (*conn, error) {
	if d.refusals.Add(-1) >= 0 {
		return nil, &pgconn.PgError{Code: d.refuse}
	}
	select {
	case <-time.After(d.delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	n := d.open.Add(1)
	for most := d.most.Load(); n > most && !d.most.CompareAndSwap(most, n); most = d.most.Load() {
	}
	raw := &countedConn{Conn: client, onClose: func() { _ = server.Close(); d.open.Add(-1) }}
	return &conn{
		key: key, raw: raw, incarnation: "i1", prepared: map[string]uint64{},
		br: pgwire.NewReader(bufio.NewReader(raw), maxMessageBytes),
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

func asError(t *testing.T, err error) *outcome.Error {
	t.Helper()
	var failure *outcome.Error
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	return failure
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

var appKey = connKey{database: "db", user: "app"}

// TestPoolNeverExceedsItsLimit runs many exchanges with different logins, some
// of which give up or break their connection, while the limit changes.
func TestPoolNeverExceedsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		dialer := &fakeDialer{delay: 100 * time.Microsecond}
		p := newPool(dialer, "a", limit)
		keys := []connKey{appKey, {"db2", "app"}, {"db", "other"}}
		var wg sync.WaitGroup
		for range 20 {
			key := rapid.SampledFrom(keys).Draw(t, "key")
			patience := time.Duration(rapid.IntRange(1, 30).Draw(t, "patience ms")) * time.Millisecond
			breaks := rapid.Bool().Draw(t, "breaks")
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				defer cancel()
				c, err := p.acquire(ctx, request{key: key, service: key.user})
				if err != nil {
					return
				}
				if c.key != key {
					t.Errorf("a connection of %v went to %v", c.key, key)
				}
				time.Sleep(200 * time.Microsecond)
				if breaks {
					c.close()
				}
				p.release(c, key.user)
			})
		}
		wg.Wait()
		if most := dialer.most.Load(); most > int64(limit) {
			t.Fatalf("%d connections open with a limit of %d", most, limit)
		}
		for p.usage().Open != p.usage().Idle {
			time.Sleep(100 * time.Microsecond)
		}
		u := p.usage()
		if u.Waiting != 0 || u.Open != u.Idle || u.Open > limit {
			t.Fatalf("after all ended: %+v", u)
		}
		if len(p.services) != 0 {
			t.Fatalf("services still charged: %v", p.services)
		}
	})
}

func TestPool(t *testing.T) {
	hold := func(t *testing.T, p *pool, service string) *conn {
		c, err := p.acquire(within(t, time.Second), request{key: appKey, service: service})
		assert.NilError(t, err)
		return c
	}
	t.Run("a full pool refuses at the deadline as not run", func(t *testing.T) {
		p := newPool(&fakeDialer{}, "a", 1)
		hold(t, p, "s")
		_, err := p.acquire(within(t, 10*time.Millisecond), request{key: appKey})
		failure := asError(t, err)
		assert.Equal(t, failure.Outcome, outcome.NotRun)
		assert.Equal(t, failure.Reason, outcome.ReasonDeadline)
	})
	t.Run("a failed dial is not run and gives its place back", func(t *testing.T) {
		dialer := &fakeDialer{refuse: "57P03"}
		dialer.refusals.Store(1)
		p := newPool(dialer, "a", 1)
		_, err := p.acquire(within(t, time.Second), request{key: appKey})
		assert.Equal(t, asError(t, err).Reason, outcome.ReasonEndpointDown)
		hold(t, p, "s")
	})
	t.Run("too many connections at the endpoint is no caller's error", func(t *testing.T) {
		dialer := &fakeDialer{refuse: endpoint.CodeTooManyConnections}
		dialer.refusals.Store(3)
		hold(t, newPool(dialer, "a", 1), "s")
	})
	t.Run("a service keeps to its share", func(t *testing.T) {
		p := newPool(&fakeDialer{}, "a", 3)
		req := request{key: appKey, service: "greedy", share: 2}
		for range 2 {
			_, err := p.acquire(within(t, time.Second), req)
			assert.NilError(t, err)
		}
		_, err := p.acquire(within(t, 10*time.Millisecond), req)
		assert.Equal(t, asError(t, err).Outcome, outcome.NotRun)
		hold(t, p, "other")
	})
	t.Run("priority goes first", func(t *testing.T) {
		p := newPool(&fakeDialer{}, "a", 1)
		c := hold(t, p, "s")
		order := make(chan int32, 3)
		var wg sync.WaitGroup
		for i, priority := range []int32{1, 9, 5} {
			wg.Go(func() {
				got, err := p.acquire(within(t, time.Second), request{key: appKey, priority: priority})
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
		a, b := hold(t, p, "s"), hold(t, p, "s")
		p.setLimit(1)
		p.release(a, "s")
		p.release(b, "s")
		for p.usage().Open > 1 {
			time.Sleep(time.Millisecond)
		}
	})
	t.Run("connections to a former address are not used", func(t *testing.T) {
		p := newPool(&fakeDialer{}, "a", 2)
		used, idle := hold(t, p, "s"), hold(t, p, "s")
		p.release(idle, "s")
		p.setAddr("b")
		_, err := used.raw.Write([]byte{0})
		assert.Assert(t, err != nil)
		used.close()
		p.release(used, "s")
		assert.Assert(t, hold(t, p, "s") != idle)
	})
	t.Run("a closed pool refuses those who wait", func(t *testing.T) {
		p := newPool(&fakeDialer{}, "a", 1)
		hold(t, p, "s")
		done := make(chan error, 1)
		go func() {
			_, err := p.acquire(within(t, time.Second), request{key: appKey})
			done <- err
		}()
		for p.usage().Waiting == 0 {
			time.Sleep(time.Millisecond)
		}
		p.close()
		assert.Equal(t, asError(t, <-done).Outcome, outcome.NotRun)
	})
	t.Run("an interrupt ends uses, dials and waits", func(t *testing.T) {
		p := newPool(&fakeDialer{}, "a", 2)
		used := hold(t, p, "s")
		p.dialer = &fakeDialer{delay: time.Minute}
		done := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := p.acquire(within(t, time.Minute), request{key: appKey})
				done <- err
			}()
		}
		for p.usage().Waiting == 0 || p.usage().Open < 2 {
			time.Sleep(time.Millisecond)
		}
		p.interrupt()
		for range 2 {
			failure := asError(t, <-done)
			assert.Equal(t, failure.Outcome, outcome.NotRun)
			assert.Equal(t, failure.Reason, outcome.ReasonEndpointDown)
		}
		_, err := used.raw.Write([]byte{0})
		assert.Assert(t, err != nil)
	})
	t.Run("a silent idle connection is closed", func(t *testing.T) {
		p := newPool(&fakeDialer{}, "a", 1)
		c := hold(t, p, "s")
		p.release(c, "s")
		assert.Equal(t, p.checkIdle(time.Now()), 0)
		assert.Equal(t, p.checkIdle(time.Now().Add(pingAfter)), 1)
		for p.usage().Open > 0 {
			time.Sleep(time.Millisecond)
		}
	})
}

// fixedFloors says that every slot has applied every position.
type fixedFloors struct{ incarnation string }

func (f fixedFloors) AwaitApplied(context.Context, string, string, logpos.Pos, time.Duration) (string, bool) {
	return f.incarnation, f.incarnation != ""
}

// TestFloorIsCheckedAtTheConnectionItself refuses a read where the floor is not
// applied, and where the connection leads to another incarnation than the one
// that has applied it.
func TestFloorIsCheckedAtTheConnectionItself(t *testing.T) {
	for _, tc := range []struct{ name, incarnation string }{
		{"not applied", ""},
		{"applied by an earlier incarnation", "i0"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := New(Config{Dialer: &fakeDialer{}, Floors: fixedFloors{tc.incarnation}})
			h.Assign([]Assignment{{ID: SlotID{"g", "s"}, Addr: "a", Limit: 1}})
			ex, err := h.Open(within(t, time.Second))
			assert.NilError(t, err)
			seg := &link.Segment{Open: &link.Open{Group: "g", Slot: "s", FloorTerm: 1, FloorIndex: 1}}
			_, err = ex.Run(within(t, time.Second), seg, nil)
			failure := asError(t, err)
			assert.Equal(t, failure.Outcome, outcome.NotRun)
			assert.Equal(t, failure.Reason, outcome.ReasonStale)
			assert.Equal(t, h.Usage()[SlotID{"g", "s"}].Waiting, 0)
		})
	}
}
