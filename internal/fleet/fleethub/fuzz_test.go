package fleethub

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/registry"
)

// FuzzFollow answers an arbitrary poll after an arbitrary announcement: the answer can be encoded
// and has every endpoint in use.
func FuzzFollow(f *testing.F) {
	for _, e := range []*fleetpb.Endpoint{
		{}, {Id: "i-\n", Service: "s", Address: "1.1.1.1:70000", State: 77},
		{Id: "x", Service: "s", Address: "1.1.1.1:1", State: 1, BornMs: 1 << 62, Sequence: 1 << 63},
	} {
		data, err := proto.Marshal(e)
		assert.NilError(f, err)
		f.Add("i-\xff", data, []byte{})
		f.Add("", data, []byte{8, 1, 16, 255, 255, 255, 255, 15})
	}
	f.Fuzz(func(t *testing.T, id string, announcement, poll []byte) {
		odd, request := &fleetpb.Endpoint{}, &fleetpb.FollowRequest{}
		if proto.Unmarshal(announcement, odd) != nil || proto.Unmarshal(poll, request) != nil {
			return
		}
		if id != "" {
			odd.Id = id
		}
		h, state, _ := newHub()
		state.config = &fleetpb.Configuration{Version: 1, Services: []*fleetpb.Service{{Name: "s"}, {Name: odd.Service}}}
		h.Refresh()
		h.Merge(leavingEndpoint("x", "1.1.1.1:1"))
		h.Merge(odd)
		h.MarkGone(odd.Id, odd.BornMs)
		request.WaitMs = 0
		_, err := proto.Marshal(h.Follow(t.Context(), request))
		assert.NilError(t, err)
		answer := h.Follow(t.Context(), &fleetpb.FollowRequest{IsEntry: true})
		_, err = proto.Marshal(answer)
		assert.NilError(t, err)
		assert.Equal(t, len(answer.Endpoints), len(h.table.AllAnnounced()))
		told := make(map[registry.Key]bool)
		for _, e := range answer.Endpoints {
			told[registry.KeyOf(e)] = true
		}
		assert.Assert(t, len(h.Endpoints()) > 0)
		for _, e := range h.Endpoints() {
			assert.Assert(t, told[registry.KeyOf(e)], "%v", e)
		}
	})
}
