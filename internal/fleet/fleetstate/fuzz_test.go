package fleetstate

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	fleetpb "hemlockmast/api/fleet"
)

// checkState checks that the state survives a snapshot.
func checkState(t *testing.T, m *Machine) {
	data, err := m.Snapshot()
	assert.NilError(t, err)
	restored := New(nil)
	assert.NilError(t, restored.Restore(data))
	again, err := restored.Snapshot()
	assert.NilError(t, err)
	before, after := &fleetpb.AgreedState{}, &fleetpb.AgreedState{}
	assert.NilError(t, proto.Unmarshal(data, before))
	assert.NilError(t, proto.Unmarshal(again, after))
	assert.Assert(t, proto.Equal(before, after))
}

// oddEndpoint is a record that this version refuses.
func oddEndpoint() *fleetpb.Endpoint {
	return &fleetpb.Endpoint{Id: "a b\r\n", Service: "s", Address: "[::%x]:0", State: 77, BornMs: -1, Sequence: 1 << 63, Slots: 1 << 31}
}

// FuzzApply applies an arbitrary command between two that a member proposed.
func FuzzApply(f *testing.F) {
	for _, cmd := range []*fleetpb.Command{
		{}, putConfiguration(1<<63, "\xff"), allocateToken("s"), setPrimary("a", 0),
		{Kind: &fleetpb.Command_Announce{Announce: oddEndpoint()}},
		{Kind: &fleetpb.Command_PutConfiguration{}},
		{Kind: &fleetpb.Command_Announce{Announce: &fleetpb.Endpoint{}}},
		{Kind: &fleetpb.Command_Cover{Cover: &fleetpb.Cover{EndpointIds: []string{"", "a"}}}},
		{Kind: &fleetpb.Command_RecordStepDown{RecordStepDown: &fleetpb.RecordStepDown{Service: "s", Token: 1}}},
		{Kind: &fleetpb.Command_RecordCall{RecordCall: &fleetpb.RecordCall{Service: "s", Token: 1}}},
		{Kind: &fleetpb.Command_CloseAttempt{CloseAttempt: &fleetpb.CloseAttempt{Service: "s", Token: 1}}},
		{Kind: &fleetpb.Command_Packed{Packed: []byte{0xff, 0xff, 0xff, 0xff, 0x0f}}},
	} {
		data, err := proto.Marshal(cmd)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New(nil)
		apply(t, m, allocateToken("s"))
		m.Apply(2, data)
		good := &fleetpb.Endpoint{
			Id: "good", Service: "s", Address: "1.2.3.4:5", State: fleetpb.EndpointState_ENDPOINT_STATE_READY, BornMs: 1 << 41, Sequence: 1,
		}
		apply(t, m, &fleetpb.Command{Kind: &fleetpb.Command_Announce{Announce: good}})
		checkState(t, m)
	})
}

// FuzzRestore restores an arbitrary snapshot.
func FuzzRestore(f *testing.F) {
	data, err := proto.Marshal(&fleetpb.AgreedState{
		Endpoints: []*fleetpb.Endpoint{oddEndpoint(), {}}, Primaries: []*fleetpb.Primary{{}, {Service: "s"}, {Service: "s"}},
		Covered: []string{"", "a", "a"}, Attempts: []*fleetpb.Attempt{{}, {Service: "s", Calls: []*fleetpb.PromoteCall{{}}}},
	})
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New(nil)
		if m.Restore(data) == nil {
			checkState(t, m)
		}
	})
}
