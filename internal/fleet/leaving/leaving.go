// Package leaving keeps for how long endpoints have been leaving. A daemon that starts later than an
// endpoint's announcement must count from the announcement, not from its own start, and daemons
// have no common clock: they tell each other ages, which are durations. An age that is passed on
// arrives younger by its way, so that of all ages known for a process the highest counts. The
// package does no I/O and reads no clock: times are those of package boottime, which goes on while
// a VM is suspended.
package leaving

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	fleetpb "hemlockmast/api/fleet"
)

// minRise is the least difference by which a higher age replaces the one held. Smaller ones are the
// way of a message, and would be passed on for nothing.
const minRise = 20 * time.Millisecond

// Ages holds since when endpoints leave. The zero value is empty. It is not safe for concurrent
// use.
type Ages struct {
	// byID holds the endpoints that leave, by id.
	byID map[string]process
}

// process is a process of an endpoint that leaves.
type process struct {
	bornMs int64
	since  time.Duration
}

// Clone returns a copy.
func (a *Ages) Clone() Ages { return Ages{byID: maps.Clone(a.byID)} }

// Note records an endpoint's announcement, received at now. Announcements of a process that is
// known to leave make it no younger.
func (a *Ages) Note(e *fleetpb.Endpoint, now time.Duration) {
	held, isHeld := a.byID[e.Id]
	switch {
	case isHeld && e.BornMs < held.bornMs:
		return
	case e.State != fleetpb.EndpointState_ENDPOINT_STATE_LEAVING:
		delete(a.byID, e.Id)
		return
	case isHeld && e.BornMs == held.bornMs:
		return
	}
	if a.byID == nil {
		a.byID = make(map[string]process)
	}
	a.byID[e.Id] = process{bornMs: e.BornMs, since: now}
}

// Raise records the age of an endpoint, received at now, and reports whether it is higher than the
// one held. Ages of endpoints that are not known to leave, and of other processes, are ignored.
func (a *Ages) Raise(age *fleetpb.LeavingAge, now time.Duration) bool {
	held, ok := a.byID[age.EndpointId]
	since := now - time.Duration(age.AgeMs)*time.Millisecond
	if !ok || held.bornMs != age.BornMs || held.since-since < minRise {
		return false
	}
	a.byID[age.EndpointId] = process{bornMs: held.bornMs, since: since}
	return true
}

// Of returns for how long an endpoint has been leaving at now; 0 if it does not.
func (a *Ages) Of(id string, now time.Duration) time.Duration {
	held, ok := a.byID[id]
	if !ok {
		return 0
	}
	return max(now-held.since, 1)
}

// Message returns the age of an endpoint at now to pass on; nil if it does not leave.
func (a *Ages) Message(id string, now time.Duration) *fleetpb.LeavingAge {
	held, ok := a.byID[id]
	if !ok {
		return nil
	}
	return &fleetpb.LeavingAge{EndpointId: id, BornMs: held.bornMs, AgeMs: milliseconds(now - held.since)}
}

// Messages returns the ages of all endpoints that leave at now, sorted by id.
func (a *Ages) Messages(now time.Duration) []*fleetpb.LeavingAge {
	var list []*fleetpb.LeavingAge
	for id := range a.byID {
		list = append(list, a.Message(id, now))
	}
	slices.SortFunc(list, func(x, y *fleetpb.LeavingAge) int { return strings.Compare(x.EndpointId, y.EndpointId) })
	return list
}

// AddTransit raises ages by the time that they may have been on their way. answer came back at now
// for a poll that was sent at sentAt: it was made held_ms after the poll arrived, so no earlier
// than held_ms after sentAt. That covers a daemon that is suspended before it reads the answer.
func AddTransit(answer *fleetpb.FollowResponse, sentAt, now time.Duration) {
	transit := now - sentAt - time.Duration(answer.HeldMs)*time.Millisecond
	for _, age := range answer.Leaving {
		age.AgeMs = milliseconds(time.Duration(age.AgeMs)*time.Millisecond + max(transit, 0))
	}
}

// milliseconds converts an age, within the range of a message.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}
