package registry

import (
	"math"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	fleetpb "hemlockmast/api/fleet"
)

const (
	ready   = fleetpb.EndpointState_ENDPOINT_STATE_READY
	leaving = fleetpb.EndpointState_ENDPOINT_STATE_LEAVING
	gone    = fleetpb.EndpointState_ENDPOINT_STATE_GONE

	addressX = "10.0.0.1:1"
)

func announcement(id, address string, born int64, sequence uint64, state fleetpb.EndpointState) *fleetpb.Endpoint {
	return &fleetpb.Endpoint{Id: id, Service: "s", Address: address, BornMs: born, Sequence: sequence, State: state}
}

func TestLateAnnouncementsAreIgnored(t *testing.T) {
	table := NewTable()
	assert.Equal(t, len(table.Merge(announcement("a", addressX, 1, 5, leaving))), 1)
	assert.Equal(t, len(table.Merge(announcement("a", addressX, 1, 4, ready))), 0)
	assert.Equal(t, table.Get("a").State, leaving)
	// The same content with a higher sequence number is not a change.
	assert.Equal(t, len(table.Merge(announcement("a", addressX, 1, 6, leaving))), 0)
}

// TestEndpointRestartsWithSameID checks that a restarted endpoint's sequence numbers may
// start from 1 again.
func TestEndpointRestartsWithSameID(t *testing.T) {
	table := NewTable()
	table.Merge(announcement("a", addressX, 1, 50, leaving))
	assert.Equal(t, len(table.Merge(announcement("a", addressX, 2, 1, ready))), 1)
	assert.Equal(t, len(table.Merge(announcement("a", addressX, 1, 51, ready))), 0)
	assert.Equal(t, table.Get("a").BornMs, int64(2))
	assert.Assert(t, table.MarkGone("a", 1) == nil)
	assert.Equal(t, table.MarkGone("a", 2).State, gone)
	assert.Equal(t, len(table.Merge(announcement("a", addressX, 2, 1, ready))), 0)
}

// TestAddressBelongsToLastStarted has a crashed endpoint's announcement arrive after
// another endpoint has started at its address.
func TestAddressBelongsToLastStarted(t *testing.T) {
	table := NewTable()
	table.Merge(announcement("a", addressX, 1, 1, ready))
	changed := table.Merge(announcement("b", addressX, 2, 1, ready))
	assert.Equal(t, len(changed), 2)
	assert.Equal(t, table.Get("a").State, gone)
	table.Merge(announcement("a", addressX, 1, 2, ready))
	assert.Equal(t, table.Get("a").State, gone)
	assert.Equal(t, table.Get("b").State, ready)
}

// TestFormerAddressEndsNoEndpoint guards against the end of an endpoint that runs at another
// address by now, when its former address is used again.
func TestFormerAddressEndsNoEndpoint(t *testing.T) {
	table := NewTable()
	table.Merge(announcement("a", addressX, 1, 1, ready))
	table.Merge(announcement("a", "10.0.0.1:2", 2, 1, ready))
	assert.Equal(t, len(table.Merge(announcement("b", addressX, 3, 1, ready))), 1)
	assert.Equal(t, table.Get("a").State, ready)
	assert.Equal(t, table.Get("a").BornMs, int64(2))
	assert.Equal(t, table.Get("b").State, ready)
}

// TestNumberOutOfRangeHidesNoEndpoint guards against a record that no later announcement of the
// endpoint can replace.
func TestNumberOutOfRangeHidesNoEndpoint(t *testing.T) {
	for _, odd := range []*fleetpb.Endpoint{
		announcement("a", addressX, math.MaxInt64, 1, leaving), announcement("a", addressX, 1, math.MaxUint64, leaving),
		announcement("b", addressX, math.MaxInt64, 1, ready),
	} {
		table := NewTable()
		table.Merge(announcement("a", addressX, 1, 5, ready))
		assert.Equal(t, len(table.Merge(odd)), 0)
		table.Merge(announcement("a", addressX, 1, 6, ready))
		assert.Equal(t, table.Get("a").Sequence, uint64(6))
		assert.Equal(t, table.Get("a").State, ready)
	}
	table := NewTable()
	table.Merge(announcement("a", addressX, 1, maxSequence, ready))
	assert.NilError(t, Check(table.MarkGone("a", 0)))
	assert.Equal(t, len(table.Merge(announcement("a", addressX, 1, maxSequence, ready))), 0)
}

// FuzzMerge merges an arbitrary record, and one that was accepted, into a table with another
// endpoint.
func FuzzMerge(f *testing.F) {
	for _, e := range []*fleetpb.Endpoint{
		announcement("a", addressX, 1, 6, leaving), announcement("a", addressX, math.MaxInt64, math.MaxUint64, ready),
		announcement("b\r\n", addressX, 2, 1, ready), announcement("b", "[::1%x]:0", 2, 1, 99), {},
	} {
		data, err := proto.Marshal(e)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		odd := &fleetpb.Endpoint{}
		if proto.Unmarshal(data, odd) != nil {
			return
		}
		table := NewTable()
		table.Merge(announcement("a", addressX, 1, 5, ready))
		valid := Check(odd) == nil
		changed := table.Merge(odd)
		assert.Assert(t, valid || len(changed) == 0)
		table.MarkGone(odd.Id, odd.BornMs)
		for _, e := range table.All() {
			assert.NilError(t, Check(e))
		}
		// The next process at the address is used whatever the record said, if it is newer.
		table.Merge(announcement("a", addressX, maxBornMs, maxSequence, ready))
		isNewest := odd.BornMs < maxBornMs || !valid
		assert.Assert(t, !isNewest || table.Get("a").State == ready, "%v", odd)
	})
}

// TestOrderDoesNotMatter merges random announcements in two orders.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		randomAnnouncement := rapid.Custom(func(t *rapid.T) *fleetpb.Endpoint {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			// Each endpoint has its own address, and each run of its process has its own start
			// time.
			born := rapid.Int64Range(1, 2).Draw(t, "born")
			state := rapid.SampledFrom([]fleetpb.EndpointState{ready, leaving}).Draw(t, "state")
			address := map[string]string{"a": "10.0.0.1:1", "b": "10.0.0.1:2", "c": "10.0.0.1:3"}[id]
			return announcement(id, address, born, rapid.Uint64Range(1, 3).Draw(t, "sequence"), state)
		})
		list := rapid.SliceOfN(randomAnnouncement, 1, 12).Draw(t, "announcements")
		first, second := NewTable(), NewTable()
		for _, e := range list {
			first.Merge(e)
		}
		for _, e := range rapid.Permutation(list).Draw(t, "order") {
			second.Merge(e)
		}
		assert.Assert(t, len(first.All()) > 0)
		for i, e := range first.All() {
			other := second.All()[i]
			assert.Equal(t, e.Id, other.Id)
			assert.Equal(t, e.State, other.State)
			assert.Equal(t, e.BornMs, other.BornMs)
			assert.Equal(t, e.Sequence, other.Sequence)
		}
	})
}
