package fleetview

import (
	"slices"
	"testing"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/registry"
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

// FuzzApply applies an arbitrary answer between two good ones.
func FuzzApply(f *testing.F) {
	for _, answer := range []*fleetpb.FollowResponse{
		{},
		{Current: true, Entries: 1<<32 - 1, EntryDomains: 1<<32 - 1, Carriers: []*fleetpb.DomainCarriers{{}, {FailureDomain: "a", Carriers: []string{""}}}},
		{Configuration: &fleetpb.ConfigurationUpdate{}},
		{Configuration: &fleetpb.ConfigurationUpdate{BaseVersion: 5, Changed: &fleetpb.Configuration{Version: 9}}},
		{Configuration: &fleetpb.ConfigurationUpdate{Changed: &fleetpb.Configuration{
			Version: 9, Routes: []*fleetpb.Route{{}, {Database: "db", Service: "nosuch", Level: 77}}, Services: []*fleetpb.Service{{}, {MaxConnections: 1<<32 - 1}},
		}}},
		{Endpoints: []*fleetpb.Endpoint{{}, {Id: "a\r\n", Service: "s", Address: "0.0.0.0:0", State: 77, BornMs: -1, Sequence: 1 << 63}}},
		{Primaries: []*fleetpb.Primary{{}, {Service: "s", EndpointId: "nosuch", Number: 1 << 63, Token: 1 << 63}}},
	} {
		data, err := proto.Marshal(answer)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		odd := &fleetpb.FollowResponse{}
		if proto.Unmarshal(data, odd) != nil {
			return
		}
		v := New(logr.Discard())
		good := &fleetpb.FollowResponse{
			Current: true, Entries: 2,
			Configuration: &fleetpb.ConfigurationUpdate{Changed: &fleetpb.Configuration{
				Version: 5, Services: []*fleetpb.Service{{Name: "s", MaxConnections: 40}}, Routes: []*fleetpb.Route{{Name: "r", Database: "db", Service: "s"}},
			}},
			Endpoints: []*fleetpb.Endpoint{{
				Id: "good", Service: "s", Address: "1.2.3.4:5", State: fleetpb.EndpointState_ENDPOINT_STATE_READY, BornMs: 1 << 41, Sequence: 1,
			}},
		}
		v.Apply(good)
		v.Apply(odd)
		snapshot := v.Snapshot()
		isSuperseded := slices.ContainsFunc(odd.Endpoints, func(e *fleetpb.Endpoint) bool {
			return registry.Check(e) == nil && (e.Id == "good" || e.Address == "1.2.3.4:5")
		})
		if odd.Configuration.GetChanged().GetVersion() <= 5 && !isSuperseded {
			assert.Assert(t, snapshot.Endpoint("good") != nil)
		}
		for _, service := range snapshot.Services() {
			for _, e := range service.Endpoints {
				assert.NilError(t, registry.Check(e))
				assert.Assert(t, snapshot.Endpoint(e.Id) == e)
			}
		}
		v.Apply(good)
		assert.Assert(t, v.ConfigurationVersion() == 0 || v.ConfigurationVersion() >= 5)
	})
}
