package fleetview

import (
	"slices"
	"testing"
	"time"

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

// TestKeysAreLookedUp guards against keys that identify the wrong workspace after an update,
// callers without a key that are taken for a workspace, and a map that is built again for each
// change of a route.
func TestKeysAreLookedUp(t *testing.T) {
	v := New(logr.Discard())
	apply := func(u *fleetpb.ConfigurationUpdate) *Snapshot {
		v.Apply(&fleetpb.FollowResponse{Current: true, Configuration: u})
		return v.Snapshot()
	}
	first := apply(&fleetpb.ConfigurationUpdate{Changed: &fleetpb.Configuration{
		Version: 1, IdentifiesCallers: true, Routes: []*fleetpb.Route{{Name: "r", Database: "db"}, {Name: "p", Database: "open", Public: true}},
		Workspaces: []*fleetpb.Workspace{{Name: "a", Keys: []string{"1", "2"}}, {Name: "b", Keys: []string{"3", ""}}},
	}})
	assert.Equal(t, first.WorkspaceOf("2").GetName(), "a")
	assert.Equal(t, first.WorkspaceOf("3").GetName(), "b")
	assert.Assert(t, first.WorkspaceOf("") == nil)
	assert.Assert(t, first.IdentifiesCallers(first.Route("db")))
	assert.Assert(t, !first.IdentifiesCallers(first.Route("open")))

	second := apply(&fleetpb.ConfigurationUpdate{BaseVersion: 1, Changed: &fleetpb.Configuration{
		Version: 2, IdentifiesCallers: true, Routes: []*fleetpb.Route{{Name: "q", Database: "other"}},
	}})
	assert.Assert(t, second.HasSameIdentities(first))
	assert.Equal(t, second.WorkspaceOf("2").GetName(), "a")

	third := apply(&fleetpb.ConfigurationUpdate{BaseVersion: 2, RemovedWorkspaces: []string{"b"}, Changed: &fleetpb.Configuration{
		Version: 3, IdentifiesCallers: true, Workspaces: []*fleetpb.Workspace{{Name: "a", Keys: []string{"1"}}, {Name: "c", Keys: []string{"2"}}},
	}})
	assert.Assert(t, !third.HasSameIdentities(second))
	assert.Equal(t, third.WorkspaceOf("2").GetName(), "c")
	assert.Assert(t, third.WorkspaceOf("3") == nil)
	assert.Equal(t, second.WorkspaceOf("3").GetName(), "b")

	fourth := apply(&fleetpb.ConfigurationUpdate{BaseVersion: 3, Changed: &fleetpb.Configuration{Version: 4}})
	assert.Assert(t, !fourth.IdentifiesCallers(fourth.Route("db")))
}

// Statements reached a primary that had been leaving for too long: what control knows of its age
// counts, also if it comes after the announcement. Earlier control daemons tell none.
func TestAgeOfALeavingEndpointIsTakenOn(t *testing.T) {
	v := New(logr.Discard())
	v.Apply(&fleetpb.FollowResponse{Configuration: &fleetpb.ConfigurationUpdate{Changed: &fleetpb.Configuration{
		Version: 1, Services: []*fleetpb.Service{{Name: "s"}},
	}}})
	changes := 0
	v.OnChange = func(*Snapshot) { changes++ }
	leaves := &fleetpb.Endpoint{
		Id: "a", Service: "s", Address: "1.2.3.4:5", State: fleetpb.EndpointState_ENDPOINT_STATE_LEAVING, BornMs: 1, Sequence: 1,
	}
	v.Apply(&fleetpb.FollowResponse{Endpoints: []*fleetpb.Endpoint{leaves}})
	age := v.Snapshot().LeavingFor("a")
	assert.Assert(t, age > 0 && age < time.Second)
	v.Apply(&fleetpb.FollowResponse{Leaving: []*fleetpb.LeavingAge{{EndpointId: "a", BornMs: 1, AgeMs: 4000}}})
	assert.Equal(t, changes, 2)
	age = v.Snapshot().LeavingFor("a")
	assert.Assert(t, age >= 4*time.Second && age < 5*time.Second)
	v.Apply(&fleetpb.FollowResponse{Leaving: []*fleetpb.LeavingAge{{EndpointId: "a", BornMs: 1, AgeMs: 300}}})
	assert.Equal(t, changes, 2, "never made younger")
	ages := v.LeavingAges()
	assert.Equal(t, len(ages), 1)
	assert.Assert(t, ages[0].AgeMs >= 4000)
}
