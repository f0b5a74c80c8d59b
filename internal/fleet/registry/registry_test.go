package registry

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
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

// newTable returns a table with the given services.
func newTable(services ...string) *Table {
	table := NewTable()
	define(table, services...)
	return table
}

func define(table *Table, services ...string) Changes {
	var list []*fleetpb.Service
	for _, name := range services {
		list = append(list, &fleetpb.Service{Name: name})
	}
	return table.SetServices(list)
}

// ofService returns e as an announcement of another service.
func ofService(service string, e *fleetpb.Endpoint) *fleetpb.Endpoint {
	e.Service = service
	return e
}

func TestLateAnnouncementsAreIgnored(t *testing.T) {
	table := newTable("s")
	assert.Equal(t, len(table.Merge(announcement("a", addressX, 1, 5, leaving)).Records), 1)
	assert.Equal(t, len(table.Merge(announcement("a", addressX, 1, 4, ready)).Records), 0)
	assert.Equal(t, table.Get("a").State, leaving)
	// The same content with a higher sequence number is not a change.
	assert.Equal(t, len(table.Merge(announcement("a", addressX, 1, 6, leaving)).Records), 0)
}

// TestEndpointRestartsWithSameID checks that a restarted endpoint's sequence numbers may
// start from 1 again.
func TestEndpointRestartsWithSameID(t *testing.T) {
	table := newTable("s")
	table.Merge(announcement("a", addressX, 1, 50, leaving))
	assert.Equal(t, len(table.Merge(announcement("a", addressX, 2, 1, ready)).Records), 1)
	assert.Equal(t, len(table.Merge(announcement("a", addressX, 1, 51, ready)).Records), 0)
	assert.Equal(t, table.Get("a").BornMs, int64(2))
	assert.Assert(t, table.MarkGone("a", 1).IsEmpty())
	assert.Equal(t, table.MarkGone("a", 2).Records[0].State, gone)
	assert.Equal(t, len(table.Merge(announcement("a", addressX, 2, 1, ready)).Records), 0)
}

// TestAddressBelongsToLastStarted has a crashed endpoint's announcement arrive after
// another endpoint has started at its address.
func TestAddressBelongsToLastStarted(t *testing.T) {
	table := newTable("s")
	table.Merge(announcement("a", addressX, 1, 1, ready))
	changes := table.Merge(announcement("b", addressX, 2, 1, ready))
	assert.Equal(t, len(changes.Records), 2)
	assert.Equal(t, table.Get("a").State, gone)
	table.Merge(announcement("a", addressX, 1, 2, ready))
	assert.Equal(t, table.Get("a").State, gone)
	assert.Equal(t, table.Get("b").State, ready)
}

// TestFormerAddressEndsNoEndpoint guards against the end of an endpoint that runs at another
// address by now, when its former address is used again.
func TestFormerAddressEndsNoEndpoint(t *testing.T) {
	table := newTable("s")
	table.Merge(announcement("a", addressX, 1, 1, ready))
	table.Merge(announcement("a", "10.0.0.1:2", 2, 1, ready))
	assert.Equal(t, len(table.Merge(announcement("b", addressX, 3, 1, ready)).Records), 1)
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
		table := newTable("s")
		table.Merge(announcement("a", addressX, 1, 5, ready))
		assert.Equal(t, len(table.Merge(odd).Records), 0)
		table.Merge(announcement("a", addressX, 1, 6, ready))
		assert.Equal(t, table.Get("a").Sequence, uint64(6))
		assert.Equal(t, table.Get("a").State, ready)
	}
	table := newTable("s")
	table.Merge(announcement("a", addressX, 1, maxSequence, ready))
	assert.NilError(t, Check(table.MarkGone("a", 0).Announced[0]))
	assert.Equal(t, len(table.Merge(announcement("a", addressX, 1, maxSequence, ready)).Records), 0)
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
		table := newTable("s")
		table.Merge(announcement("a", addressX, 1, 5, ready))
		valid := Check(odd) == nil
		changes := table.Merge(odd)
		assert.Assert(t, valid || changes.IsEmpty())
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

// TestUndefinedServiceEndsNoEndpoint guards against databases that are never used: announcements of
// a service that no configuration defines, with their ids or at their addresses, came before the
// first configuration and ended them for good.
func TestUndefinedServiceEndsNoEndpoint(t *testing.T) {
	for name, foreign := range map[string]*fleetpb.Endpoint{
		"at its address":             announcement("b", addressX, 2, 1, ready),
		"with its id":                announcement("a", "10.0.0.1:2", 2, 1, ready),
		"with its id and address":    announcement("a", addressX, 2, 1, leaving),
		"with its id, same process":  announcement("a", addressX, 1, 9, gone),
		"at its address, same start": announcement("b", addressX, 1, 9, ready),
	} {
		t.Run(name, func(t *testing.T) {
			ofService("other", foreign)
			for _, isDefinedFirst := range []bool{false, true} {
				table := NewTable()
				if isDefinedFirst {
					define(table, "s")
				}
				table.Merge(announcement("a", addressX, 1, 1, ready))
				table.Merge(foreign)
				define(table, "s")
				assert.Equal(t, len(table.All()), 1)
				assert.Equal(t, table.Get("a").Service, "s")
				assert.Equal(t, table.Get("a").State, ready)
				table.Merge(announcement("a", addressX, 1, 2, leaving))
				assert.Equal(t, table.Get("a").State, leaving)
				// The end of the process counts although the other announcement names a later one.
				assert.Assert(t, !table.MarkGone("a", 1).IsEmpty())
				assert.Equal(t, table.Get("a").State, gone)
				assert.Assert(t, table.IsEndAnnounced(table.Get("a")))
			}
		})
	}
}

// TestServiceIsDroppedAndDefinedAgain guards against endpoints that a configuration which defines
// another service for a while hides for good, or brings back as they were.
func TestServiceIsDroppedAndDefinedAgain(t *testing.T) {
	table := newTable("s", "other")
	table.Merge(announcement("a", addressX, 1, 1, ready))
	table.Merge(ofService("other", announcement("b", addressX, 2, 1, ready)))
	assert.Equal(t, table.Get("a").State, gone)
	ended := table.Get("a")
	assert.Assert(t, !table.IsEndAnnounced(ended))
	changes := define(table, "s")
	assert.Equal(t, len(changes.Records), 1)
	assert.Equal(t, table.Get("a").State, ready)
	assert.Assert(t, !table.IsEndAnnounced(ended), "a claimed end counts as announced once it is withdrawn")
	assert.Assert(t, table.Get("b") == nil)
	define(table, "other")
	table.Merge(announcement("a", addressX, 1, 2, leaving))
	assert.Assert(t, table.Get("a") == nil)
	define(table, "s")
	assert.Equal(t, table.Get("a").State, leaving)
}

// TestFullTableKeepsRoomForDefinedServices guards against announcements of another writer that
// leave no room for endpoints.
func TestFullTableKeepsRoomForDefinedServices(t *testing.T) {
	table := NewTable()
	for i := range maxAnnouncements {
		table.Merge(ofService("other", announcement(fmt.Sprint("x", i), addressX, 1, 1, ready)))
	}
	assert.Assert(t, table.Merge(announcement("a", addressX, 1, 1, ready)).IsEmpty())
	define(table, "s")
	assert.Equal(t, len(table.Merge(announcement("a", addressX, 1, 1, ready)).Records), 1)
	assert.Equal(t, len(table.AllAnnounced()), maxAnnouncements)
	assert.Assert(t, table.Merge(ofService("other", announcement("y", addressX, 1, 1, ready))).IsEmpty())
}

// TestOrderDoesNotMatter merges random announcements and sets services in two orders. A third table
// gets the announcements of the first one, as a daemon does that starts.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		randomAnnouncement := rapid.Custom(func(t *rapid.T) *fleetpb.Endpoint {
			e := announcement(
				rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
				rapid.SampledFrom([]string{"10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3"}).Draw(t, "address"),
				rapid.Int64Range(1, 3).Draw(t, "born"), rapid.Uint64Range(1, 3).Draw(t, "sequence"),
				rapid.SampledFrom([]fleetpb.EndpointState{ready, leaving, gone}).Draw(t, "state"),
			)
			e.Primary = rapid.Bool().Draw(t, "primary")
			return ofService(rapid.SampledFrom([]string{"s", "r", "undefined"}).Draw(t, "service"), e)
		})
		list := rapid.SliceOfN(randomAnnouncement, 1, 12).Draw(t, "announcements")
		first, second, third := newTable("s"), NewTable(), NewTable()
		for _, e := range list {
			first.Merge(e)
		}
		define(first, "s", "r")
		definedAt := rapid.IntRange(0, len(list)).Draw(t, "defined")
		for i, e := range rapid.Permutation(list).Draw(t, "order") {
			if i == definedAt {
				define(second, "s", "r")
			}
			second.Merge(e)
		}
		define(second, "s", "r")
		for _, e := range first.AllAnnounced() {
			third.Merge(e)
		}
		define(third, "s", "r")
		for _, other := range []*Table{second, third} {
			assert.Assert(t, slices.EqualFunc(first.All(), other.All(), isEqual))
			assert.Assert(t, slices.EqualFunc(first.AllAnnounced(), other.AllAnnounced(), isEqual))
		}
	})
}

func isEqual(a, b *fleetpb.Endpoint) bool { return proto.Equal(a, b) }

// TestEndAtAnotherDaemonCounts guards against an ended endpoint that counts as running at the daemon
// which received its last announcements: another one, which knows a lower number, took its end.
func TestEndAtAnotherDaemonCounts(t *testing.T) {
	receiving, other := newTable("s"), newTable("s")
	other.Merge(announcement("a", addressX, 1, 5, ready))
	receiving.Merge(announcement("a", addressX, 1, 9, ready))
	end := other.MarkGone("a", 0).Announced[0]
	assert.Equal(t, end.Sequence, uint64(6))
	changes := receiving.MergeFromPeer(end)
	assert.Equal(t, len(changes.Records), 1)
	assert.Equal(t, receiving.Get("a").State, gone)
	// The tables agree after each has what the other passes on, and nothing is passed on for ever.
	back := other.MergeFromPeer(changes.Announced[0])
	assert.Equal(t, len(back.Announced), 1)
	assert.Equal(t, len(receiving.MergeFromPeer(back.Announced[0]).Announced), 0)
	assert.DeepEqual(t, other.AllAnnounced(), receiving.AllAnnounced(), protocmp.Transform())
	// A process that runs after all is back with its further announcements.
	receiving.Merge(announcement("a", addressX, 1, 11, ready))
	assert.Equal(t, receiving.Get("a").State, ready)
	// The end of an earlier process ends no later one.
	receiving.Merge(announcement("a", addressX, 2, 1, ready))
	assert.Assert(t, receiving.MergeFromPeer(end).IsEmpty())
	assert.Equal(t, receiving.Get("a").State, ready)
}
