package fleetrpc

import (
	"errors"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/shared/packed"
)

// TestReportGoesToTwo tells the daemon that is followed and the leader, and everybody
// while nobody is followed.
func TestReportGoesToTwo(t *testing.T) {
	f := &Follower{FailureDomain: "a"}
	f.AddAddresses([]string{"a", "b", "c", "d"})
	all := f.reportTo()
	slices.Sort(all)
	assert.DeepEqual(t, all, []string{"a", "b", "c", "d"})
	f.current, f.leader = "a", "c"
	assert.DeepEqual(t, f.reportTo(), []string{"a", "c"})
	f.leader = "a"
	assert.DeepEqual(t, f.reportTo(), []string{"a"})
	f.leader = ""
	assert.Equal(t, len(f.reportTo()), 4)
}

// TestNearerIsTriedSoonThenSeldom has a control daemon in this failure domain that does not
// become current.
func TestNearerIsTriedSoonThenSeldom(t *testing.T) {
	assert.Equal(t, nearerPause(0), nearerFirst)
	assert.Equal(t, nearerPause(1), 2*nearerFirst)
	assert.Equal(t, nearerPause(1000), nearerAfter)
	f := &Follower{FailureDomain: "a", domains: map[string]string{"near": "a", "far": "b"}}
	since := time.Now().Add(-nearerFirst)
	assert.Assert(t, f.hasNearer("far", since))
	assert.Assert(t, !f.hasNearer("far", since), "not again after the same time")
	assert.Assert(t, !f.hasNearer("near", since.Add(-time.Hour)))
	assert.Assert(t, f.hasNearer("far", since), "at once after a nearer one was followed")
}

// TestHeldStateOutlivesAMove polls one control daemon, then another, then the first again:
// it asks only for what it lacks of each.
func TestHeldStateOutlivesAMove(t *testing.T) {
	f := &Follower{}
	f.hold("x", &fleetpb.FollowResponse{Source: 1, Version: 5, Current: true, CarriersDigest: 9})
	f.hold("y", &fleetpb.FollowResponse{Source: 2, Version: 7})
	x, y := f.request("x"), f.request("y")
	assert.Equal(t, x.Source, uint64(1))
	assert.Equal(t, x.Version, uint64(5))
	assert.Assert(t, !x.AwaitCurrent)
	assert.Equal(t, y.Version, uint64(7))
	assert.Assert(t, y.AwaitCurrent && y.WaitMs > 0)
	assert.Equal(t, y.CarriersDigest, uint64(9))
	f.hold("x", &fleetpb.FollowResponse{Source: 1, Version: 6, Current: true})
	assert.Assert(t, !f.request("y").AwaitCurrent)
}

func TestPackedConfiguration(t *testing.T) {
	update := &fleetpb.ConfigurationUpdate{Changed: &fleetpb.Configuration{Version: 3}}
	data, err := packed.Marshal(update)
	assert.NilError(t, err)
	answer := &fleetpb.FollowResponse{PackedConfiguration: data}
	assert.NilError(t, unpack(answer))
	assert.Equal(t, answer.Configuration.Changed.Version, uint64(3))
	var damaged *packed.Error
	assert.Assert(t, errors.As(unpack(&fleetpb.FollowResponse{PackedConfiguration: data[:1]}), &damaged))
}
