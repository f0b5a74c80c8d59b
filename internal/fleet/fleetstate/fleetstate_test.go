package fleetstate

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	fleetpb "hemlockmast/api/fleet"
)

func apply(t *testing.T, m *Machine, cmd *fleetpb.Command) *fleetpb.CommandResult {
	data, err := proto.Marshal(cmd)
	assert.NilError(t, err)
	var result fleetpb.CommandResult
	assert.NilError(t, proto.Unmarshal(m.Apply(1, data), &result))
	return &result
}

func putConfiguration(version uint64, body string) *fleetpb.Command {
	return &fleetpb.Command{Kind: &fleetpb.Command_PutConfiguration{PutConfiguration: &fleetpb.PutConfiguration{
		Configuration: &fleetpb.Configuration{Version: version}, Body: []byte(body),
	}}}
}

func allocateToken(service string) *fleetpb.Command {
	return &fleetpb.Command{Kind: &fleetpb.Command_AllocateToken{AllocateToken: &fleetpb.AllocateToken{Service: service}}}
}

func setPrimary(id string, number uint64) *fleetpb.Command {
	return &fleetpb.Command{Kind: &fleetpb.Command_SetPrimary{SetPrimary: &fleetpb.SetPrimary{
		Service: "s", EndpointId: id, IfNumber: number,
	}}}
}

// TestOnlyHigherVersionsAreAccepted publishes versions out of order, twice, and with other
// content under the current version.
func TestOnlyHigherVersionsAreAccepted(t *testing.T) {
	m := New(nil)
	for _, step := range []struct {
		version uint64
		body    string
		taken   bool
		holds   string
	}{
		{5, "five", true, "five"},
		{5, "other", false, "five"},
		{3, "three", false, "five"},
		{9, "nine", true, "nine"},
		{5, "five", false, "nine"},
	} {
		assert.Equal(t, apply(t, m, putConfiguration(step.version, step.body)).Taken, step.taken)
		_, body := m.Configuration()
		assert.Equal(t, string(body), step.holds)
	}
}

func TestTokensAreNeverAllocatedTwice(t *testing.T) {
	m := New(nil)
	last := uint64(0)
	for range 10 {
		next := apply(t, m, allocateToken("s")).Token
		assert.Assert(t, next > last)
		last = next
		data, err := m.Snapshot()
		assert.NilError(t, err)
		m = New(nil)
		assert.NilError(t, m.Restore(data))
	}
	assert.Equal(t, apply(t, m, allocateToken("other")).Token, uint64(1))
}

// TestPrimaryIsSetOnce has two leaders set a primary with the same expected number.
func TestPrimaryIsSetOnce(t *testing.T) {
	m := New(nil)
	assert.Assert(t, apply(t, m, setPrimary("a", 0)).Taken)
	assert.Assert(t, !apply(t, m, setPrimary("b", 0)).Taken)
	assert.Equal(t, m.Primary("s").EndpointId, "a")
	assert.Assert(t, apply(t, m, setPrimary("b", 1)).Taken)
	assert.Equal(t, m.Primary("s").Number, uint64(2))
}

func TestSnapshotHoldsEverything(t *testing.T) {
	m := New(nil)
	apply(t, m, putConfiguration(4, "body"))
	apply(t, m, setPrimary("a", 0))
	apply(t, m, &fleetpb.Command{Kind: &fleetpb.Command_Announce{Announce: &fleetpb.Endpoint{
		Id: "a", Service: "s", Address: "1.2.3.4:5", State: fleetpb.EndpointState_ENDPOINT_STATE_READY, BornMs: 7, Sequence: 3,
	}}})
	data, err := m.Snapshot()
	assert.NilError(t, err)
	changes := 0
	restored := New(func() { changes++ })
	assert.NilError(t, restored.Restore(data))
	assert.Equal(t, changes, 1)
	again, err := restored.Snapshot()
	assert.NilError(t, err)
	assert.DeepEqual(t, again, data)
	assert.Equal(t, restored.Announcements()[0].Sequence, uint64(3))
}

// TestRecordsOfAnotherVersionAreSkipped guards against a log or a snapshot with an endpoint that
// this version refuses.
func TestRecordsOfAnotherVersionAreSkipped(t *testing.T) {
	const ready = fleetpb.EndpointState_ENDPOINT_STATE_READY
	good := &fleetpb.Endpoint{Id: "a", Service: "s", Address: "1.2.3.4:5", State: ready, BornMs: 7, Sequence: 3}
	announce := func(e *fleetpb.Endpoint) *fleetpb.Command {
		return &fleetpb.Command{Kind: &fleetpb.Command_Announce{Announce: e}}
	}
	for _, odd := range []*fleetpb.Endpoint{
		{Id: "a", Service: "s", Address: "1.2.3.4:5", BornMs: 7, Sequence: 4},
		{Id: "a", Service: "s", Address: "1.2.3.4:5", State: 77, BornMs: 7, Sequence: 4},
		{Id: "a", Service: "s", Address: "1.2.3.4:0", State: ready, BornMs: 8, Sequence: 4},
		{Id: "a\r\nb", Service: "s", Address: "1.2.3.4:5", State: ready, BornMs: 8, Sequence: 4},
		{Id: "a", Service: "s", Address: "1.2.3.4:5", State: ready, BornMs: -8, Sequence: 1 << 63},
		{},
	} {
		ignored := 0
		m := New(nil)
		m.OnIgnored = func(error) { ignored++ }
		apply(t, m, announce(good))
		apply(t, m, &fleetpb.Command{Kind: &fleetpb.Command_Cover{Cover: &fleetpb.Cover{EndpointIds: []string{odd.Id}}}})
		assert.Check(t, !apply(t, m, announce(odd)).Taken, "%v", odd)
		assert.Check(t, m.IsCovered("s", odd.Id, 0), "%v", odd)
		data, err := proto.Marshal(&fleetpb.AgreedState{Endpoints: []*fleetpb.Endpoint{odd, good, odd}, Covered: []string{odd.Id}})
		assert.NilError(t, err)
		restored := New(nil)
		restored.OnIgnored = m.OnIgnored
		assert.NilError(t, restored.Restore(data))
		for _, machine := range []*Machine{m, restored} {
			assert.Check(t, len(machine.Announcements()) == 1 && proto.Equal(machine.Announcements()[0], good), "%v: %v", odd, machine.Announcements())
		}
		assert.Check(t, ignored == 3, "%v: %d ignored", odd, ignored)
	}
}

func TestUnreadableCommandChangesNothing(t *testing.T) {
	m := New(nil)
	before, err := m.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, m.Apply(1, []byte{0xff, 0x01}) == nil)
	after, err := m.Snapshot()
	assert.NilError(t, err)
	assert.DeepEqual(t, before, after)
}

// TestLargeCommandIsPacked publishes a configuration with many routes: its command is
// compressed and applies like an uncompressed one.
func TestLargeCommandIsPacked(t *testing.T) {
	c := &fleetpb.Configuration{Version: 4}
	for i := range 500 {
		c.Routes = append(c.Routes, &fleetpb.Route{Name: fmt.Sprintf("r%d", i), Database: fmt.Sprintf("d%d", i), Service: "svc", TimeoutMs: 800})
	}
	cmd := &fleetpb.Command{Kind: &fleetpb.Command_PutConfiguration{PutConfiguration: &fleetpb.PutConfiguration{Configuration: c, Body: []byte("body")}}}
	data, err := Encode(cmd)
	assert.NilError(t, err)
	assert.Assert(t, 2*len(data) < proto.Size(cmd))
	m := New(nil)
	m.Apply(1, data)
	held, body := m.Configuration()
	assert.Assert(t, proto.Equal(held, c))
	assert.Equal(t, string(body), "body")
	// A damaged command changes nothing.
	damaged, err := proto.Marshal(&fleetpb.Command{Kind: &fleetpb.Command_Packed{Packed: data[:20]}})
	assert.NilError(t, err)
	assert.Assert(t, m.Apply(2, damaged) == nil)
}
