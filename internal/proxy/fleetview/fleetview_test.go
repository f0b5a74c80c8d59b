package fleetview

import (
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	fleetpb "hemlockmast/api/fleet"
)

// TestOddEndpointsOfAControlDaemonAreSkipped guards against an answer of another version whose
// odd endpoints are used, or hide the good ones.
func TestOddEndpointsOfAControlDaemonAreSkipped(t *testing.T) {
	const ready = fleetpb.EndpointState_ENDPOINT_STATE_READY
	v := New(logr.Discard())
	v.Apply(&fleetpb.FollowResponse{
		Current: true,
		Configuration: &fleetpb.ConfigurationUpdate{Changed: &fleetpb.Configuration{
			Version: 1, Services: []*fleetpb.Service{{Name: "s", MaxConnections: 40}},
		}},
		Endpoints: []*fleetpb.Endpoint{
			{Id: "b", Service: "s", Address: "1.2.3.4:0", State: ready, BornMs: 1, Sequence: 1},
			{Id: "a", Service: "s", Address: "1.2.3.4:5", State: ready, BornMs: 1, Sequence: 1},
			{Id: "a", Service: "s", Address: "1.2.3.4:5", State: 77, BornMs: 1, Sequence: 2},
			{Id: "c", Service: "s", Address: "1.2.3.4:5", State: 77, BornMs: 2, Sequence: 1},
			{Id: "d", Service: "nosuch", Address: "1.2.3.4:6", State: ready, BornMs: 2, Sequence: 1},
			{},
		},
	})
	endpoints := v.Snapshot().Service("s").Endpoints
	assert.Equal(t, len(endpoints), 1)
	assert.Equal(t, endpoints[0].Id, "a")
	assert.Equal(t, endpoints[0].Sequence, uint64(1))
}
