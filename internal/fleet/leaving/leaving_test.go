package leaving

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fleetpb "hemlockmast/api/fleet"
)

const (
	ready   = fleetpb.EndpointState_ENDPOINT_STATE_READY
	leaves  = fleetpb.EndpointState_ENDPOINT_STATE_LEAVING
	gone    = fleetpb.EndpointState_ENDPOINT_STATE_GONE
	seconds = time.Second
)

func announcement(state fleetpb.EndpointState, bornMs int64) *fleetpb.Endpoint {
	return &fleetpb.Endpoint{Id: "a", Service: "s", State: state, BornMs: bornMs}
}

func age(bornMs int64, d time.Duration) *fleetpb.LeavingAge {
	return &fleetpb.LeavingAge{Service: "s", EndpointId: "a", BornMs: bornMs, AgeMs: uint32(d.Milliseconds())}
}

// Statements reached a primary that had been leaving for too long: an entry that started meanwhile
// counted from its own start.
func TestHighestAgeCounts(t *testing.T) {
	var ages Ages
	ages.Note(announcement(leaves, 5), 100*seconds)
	assert.Equal(t, ages.Of("s", "a", 101*seconds), 1*seconds)
	assert.Assert(t, ages.Raise(age(5, 4*seconds), 101*seconds))
	assert.Equal(t, ages.Of("s", "a", 102*seconds), 5*seconds)
	assert.Assert(t, !ages.Raise(age(5, 2*seconds), 102*seconds), "a younger one")
	assert.Assert(t, !ages.Raise(age(5, 5*seconds+minRise/2), 102*seconds), "the way of a message")
	ages.Note(announcement(leaves, 5), 103*seconds)
	assert.Equal(t, ages.Of("s", "a", 103*seconds), 6*seconds, "announced again")
	assert.Equal(t, ages.Messages(103 * seconds)[0].AgeMs, uint32(6000))
}

func TestAgesBelongToAProcess(t *testing.T) {
	var ages Ages
	assert.Assert(t, !ages.Raise(age(5, seconds), 100*seconds), "not known")
	ages.Note(announcement(ready, 5), 100*seconds)
	assert.Assert(t, !ages.Raise(age(5, seconds), 100*seconds), "does not leave")
	ages.Note(announcement(leaves, 5), 100*seconds)
	assert.Assert(t, !ages.Raise(age(4, seconds), 100*seconds), "of an earlier process")
	ages.Note(announcement(leaves, 6), 101*seconds)
	assert.Equal(t, ages.Of("s", "a", 102*seconds), 1*seconds, "the next process counts anew")
	ages.Note(announcement(gone, 5), 102*seconds)
	assert.Equal(t, ages.Of("s", "a", 102*seconds), 1*seconds, "late word of an earlier process")
	ages.Note(announcement(gone, 6), 102*seconds)
	assert.Equal(t, ages.Of("s", "a", 103*seconds), time.Duration(0))
}

func TestCloneIsIndependent(t *testing.T) {
	var ages Ages
	ages.Note(announcement(leaves, 5), 100*seconds)
	before := ages.Clone()
	assert.Assert(t, ages.Raise(age(5, 4*seconds), 100*seconds))
	assert.Equal(t, before.Of("s", "a", 101*seconds), 1*seconds)
}

// A daemon that was suspended with the answer on its way must not take the age for that of now.
func TestTransitIsAdded(t *testing.T) {
	answer := &fleetpb.FollowResponse{HeldMs: 900, Leaving: []*fleetpb.LeavingAge{age(5, 2*seconds)}}
	AddTransit(answer, 100*seconds, 105*seconds)
	assert.Equal(t, answer.Leaving[0].AgeMs, uint32(2000+5000-900))
	answer = &fleetpb.FollowResponse{HeldMs: 6000, Leaving: []*fleetpb.LeavingAge{age(5, 2*seconds)}}
	AddTransit(answer, 100*seconds, 105*seconds)
	assert.Equal(t, answer.Leaving[0].AgeMs, uint32(2000), "clocks that differ a little")
}

// TestAgesAreKeptByService guards against the age of an endpoint that an announcement of another
// service with its id replaces.
func TestAgesAreKeptByService(t *testing.T) {
	var ages Ages
	ages.Note(announcement(leaves, 5), 100*seconds)
	foreign := announcement(ready, 9)
	foreign.Service = "other"
	ages.Note(foreign, 101*seconds)
	foreign.State = leaves
	ages.Note(foreign, 101*seconds)
	assert.Equal(t, ages.Of("s", "a", 102*seconds), 2*seconds)
	assert.Equal(t, ages.Of("other", "a", 102*seconds), 1*seconds)
	assert.Equal(t, len(ages.Messages(102*seconds)), 2)
	assert.Assert(t, ages.Raise(age(5, 7*seconds), 102*seconds))
	assert.Equal(t, ages.Of("other", "a", 102*seconds), 1*seconds)
	// A daemon of an earlier version names no service.
	assert.Assert(t, ages.Raise(&fleetpb.LeavingAge{EndpointId: "a", BornMs: 5, AgeMs: 9000}, 102*seconds))
	assert.Equal(t, ages.Of("s", "a", 102*seconds), 9*seconds)
}
