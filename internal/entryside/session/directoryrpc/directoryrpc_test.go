package directoryrpc

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	directorypb "hemlockmast/api/directory"
	"hemlockmast/internal/entryside/session"
	"hemlockmast/internal/entryside/session/directory"
	"hemlockmast/internal/shared/logpos"
)

var limits = directory.Limits{MaxEntries: 1 << 16, TTL: time.Hour}

// fakeMember is a real server whose connections can be made to fail.
type fakeMember struct {
	http         *httptest.Server
	disconnected atomic.Bool
	calls        atomic.Int64
	server       atomic.Pointer[Server]
}

func startMember(t testing.TB, incarnation uint64) *fakeMember {
	f := &fakeMember{}
	f.server.Store(NewServer(incarnation, limits, time.Now))
	f.http = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.calls.Add(1)
		if f.disconnected.Load() {
			panic(http.ErrAbortHandler)
		}
		f.server.Load().Handler().ServeHTTP(w, r)
	}))
	t.Cleanup(f.http.Close)
	return f
}

type fixture struct {
	members []*fakeMember
	current bool
	client  *Client
	clock   atomic.Int64
}

func newFixture(t testing.TB, n int) *fixture {
	fx := &fixture{current: true}
	var view View
	for i := range n {
		m := startMember(t, uint64(i+1))
		fx.members = append(fx.members, m)
		view.Members = append(view.Members, Address{
			Member: directory.Member{Name: fmt.Sprint("vm", i), FailureDomain: fmt.Sprint("fd", i)},
			URL:    m.http.URL,
		})
	}
	fx.client = NewClient(func() View {
		return View{Members: view.Members, Current: fx.current}
	}, http.DefaultClient, func() time.Time { return time.Unix(0, fx.clock.Load()) })
	return fx
}

// reconnect makes all members reachable and waits until both copies answer a
// lookup.
func (fx *fixture) reconnect(t testing.TB) LookupResult {
	for _, m := range fx.members {
		m.disconnected.Store(false)
	}
	for range 10_000 {
		lookup := fx.client.Lookup(context.Background(), "s")
		if len(lookup.Failed) == 0 {
			return lookup
		}
		fx.clock.Add(int64(suspensionPeriod))
	}
	t.Fatal("a copy is still not reachable")
	return LookupResult{}
}

func writtenFloors(t testing.TB, group string, index uint64) session.Floors {
	f, err := session.NewFloors([]session.GroupFloor{{Group: group, Pos: logpos.Pos{Term: 1, Index: index}, Wrote: true}})
	assert.NilError(t, err)
	return f
}

// In each case a session writes at 5, then a fault occurs, then it writes at 6.
func TestRecordUnderFaults(t *testing.T) {
	ctx := context.Background()
	for _, tc := range []struct {
		name     string
		fault    func(fx *fixture)
		recorded bool
		known    bool
	}{
		{"no fault", func(fx *fixture) {}, true, true},
		{"one copy disconnected, then reconnected", func(fx *fixture) { fx.members[0].disconnected.Store(true) }, true, true},
		{"one copy restarted", func(fx *fixture) { fx.members[0].server.Store(NewServer(99, limits, time.Now)) }, true, false},
		{"one copy disconnected, view not confirmed", func(fx *fixture) {
			fx.members[0].disconnected.Store(true)
			fx.current = false
		}, false, true},
		{"both copies disconnected", func(fx *fixture) {
			fx.members[0].disconnected.Store(true)
			fx.members[1].disconnected.Store(true)
		}, false, true},
	} {
		fx := newFixture(t, 2)
		assert.Assert(t, fx.client.Create(ctx, "s").Complete, tc.name)
		assert.NilError(t, fx.client.Record(ctx, "s", writtenFloors(t, "g", 5)), tc.name)
		tc.fault(fx)
		err := fx.client.Record(ctx, "s", writtenFloors(t, "g", 6))
		assert.Equal(t, err == nil, tc.recorded, "%s: %v", tc.name, err)
		var unrecorded *UnrecordedError
		assert.Equal(t, errors.As(err, &unrecorded), !tc.recorded, tc.name)
		if !tc.recorded {
			var copyErr *CopyError
			assert.Assert(t, errors.As(error(unrecorded.Copies[0]), &copyErr))
		}
		got := fx.reconnect(t)
		assert.Equal(t, got.Complete, tc.known, tc.name)
		floor, _ := got.Floors.Get("g")
		assert.Assert(t, !tc.recorded || floor.Pos.Index == 6, tc.name)
	}
}

func TestDisconnectedCopyLeavesFloorsUnknownUntilSettled(t *testing.T) {
	ctx := context.Background()
	fx := newFixture(t, 2)
	fx.client.Create(ctx, "s")
	fx.members[1].disconnected.Store(true)
	lookup := fx.client.Lookup(ctx, "s")
	assert.Assert(t, !lookup.Complete)
	assert.Equal(t, len(lookup.Failed), 1)
	calls := fx.members[1].calls.Load()
	lookup = fx.client.Lookup(ctx, "s")
	assert.Equal(t, fx.members[1].calls.Load(), calls, "a suspended copy is not called")
	var suspended *SuspendedError
	assert.Assert(t, errors.As(lookup.Failed[0], &suspended))

	assert.NilError(t, fx.client.CanRecord("s"))
	fx.current = false
	var unrecorded *UnrecordedError
	assert.Assert(t, errors.As(fx.client.CanRecord("s"), &unrecorded))
	fx.current = true

	fx.members[1].server.Store(NewServer(99, limits, time.Now))
	lookup = fx.reconnect(t)
	floors := writtenFloors(t, "g", 9).List()
	floors[0].Settled = true
	settled, err := session.NewFloors(floors)
	assert.NilError(t, err)
	assert.Equal(t, len(fx.client.Settle(ctx, lookup, settled)), 0)
	floor, _ := fx.client.Lookup(ctx, "s").Floors.Get("g")
	assert.Assert(t, floor.Settled)
}

func TestServerRefusesOnlyInvalidOperations(t *testing.T) {
	s := NewServer(1, limits, time.Now)
	valid := &directorypb.Operation{Kind: directorypb.OperationKind_OPERATION_CREATE, SessionId: "s"}
	resp, err := s.Batch(context.Background(), &directorypb.BatchRequest{Operations: []*directorypb.Operation{
		{Kind: directorypb.OperationKind_OPERATION_CREATE, SessionId: "not an id"},
		{SessionId: "s"},
		valid,
	}})
	assert.NilError(t, err)
	assert.Assert(t, resp.Answers[0].Error != "" && resp.Answers[1].Error != "")
	assert.Assert(t, resp.Answers[2].Error == "" && resp.Answers[2].Complete)
	tooMany := make([]*directorypb.Operation, MaxBatch+1)
	_, err = s.Batch(context.Background(), &directorypb.BatchRequest{Operations: tooMany})
	assert.Assert(t, err != nil)
}

func TestConcurrentOperationsShareCalls(t *testing.T) {
	fx := newFixture(t, 2)
	const writers, writes = 64, 20
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() {
			for n := range writes {
				id := session.ID(fmt.Sprint("s", i))
				if err := fx.client.Record(context.Background(), id, writtenFloors(t, "g", uint64(n+1))); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
	assert.Assert(t, fx.members[0].calls.Load() < writers*writes, "every operation was sent in its own call")
	for i := range writers {
		// The copy that Record did not wait for may lag, but the combined answer of
		// both copies must be current.
		floor, _ := fx.client.Lookup(context.Background(), session.ID(fmt.Sprint("s", i))).Floors.Get("g")
		assert.Equal(t, floor.Pos.Index, uint64(writes))
	}
	assert.Equal(t, fx.members[0].server.Load().Stats().Entries, writers)
	assert.Equal(t, fx.members[1].server.Load().Stats().Entries, writers)
}

// BenchmarkRecord measures the time to record a floor at both copies over
// loopback.
func BenchmarkRecord(b *testing.B) {
	fx := newFixture(b, 2)
	floors := writtenFloors(b, "g", 5)
	var serial atomic.Int64
	b.SetParallelism(32)
	b.RunParallel(func(pb *testing.PB) {
		id := session.ID(fmt.Sprint("s", serial.Add(1)))
		for pb.Next() {
			if err := fx.client.Record(context.Background(), id, floors); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/float64(fx.members[0].calls.Load()), "records/call")
}
