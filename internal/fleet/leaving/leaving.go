// Package leaving keeps for how long endpoints have been leaving. A daemon that starts later than an
// endpoint's announcement must count from the announcement, not from its own start, and daemons
// have no common clock: they tell each other ages, which are durations. An age that is passed on
// arrives younger by its way, so that of all ages known for a process the highest counts. The
// package does no I/O and reads no clock: times are those of package boottime, which goes on while
// a VM is suspended.
package leaving

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/registry"
)

// minRise is the least difference by which a higher age replaces the one held. Smaller ones are the
// way of a message, and would be passed on for nothing.
const minRise = 20 * time.Millisecond

// Ages holds since when endpoints leave. The zero value is empty. It is not safe for concurrent
// use.
type Ages struct {
	// held holds the endpoints that leave.
	held map[endpoint]process
}

// endpoint identifies an endpoint. An id may be announced for several services.
type endpoint struct{ service, id string }

// process is a process of an endpoint that leaves.
type process struct {
	bornMs int64
	since  time.Duration
}

// Clone returns a copy.
func (a *Ages) Clone() Ages { return Ages{held: maps.Clone(a.held)} }

// Note records an endpoint's announcement, received at now. Announcements of a process that is
// known to leave make it no younger.
func (a *Ages) Note(e *fleetpb.Endpoint, now time.Duration) {
	key := endpoint{service: e.Service, id: e.Id}
	held, isHeld := a.held[key]
	switch {
	case isHeld && e.BornMs < held.bornMs:
		return
	case e.State != fleetpb.EndpointState_ENDPOINT_STATE_LEAVING:
		delete(a.held, key)
		return
	case isHeld && e.BornMs == held.bornMs:
		return
	}
	if a.held == nil {
		a.held = make(map[endpoint]process)
	}
	a.held[key] = process{bornMs: e.BornMs, since: now}
}

// NoteChanges records the changes of a table of announcements, received at now. Announcements of
// services that are not defined have no record; their ages count once they are.
func (a *Ages) NoteChanges(changes registry.Changes, isDefined func(service string) bool, now time.Duration) {
	for _, e := range changes.Announced {
		if !isDefined(e.Service) {
			a.Note(e, now)
		}
	}
	for _, e := range changes.Records {
		a.Note(e, now)
	}
}

// Raise records the age of an endpoint, received at now, and reports whether it is higher than the
// one held. Ages of endpoints that are not known to leave, and of other processes, are ignored.
func (a *Ages) Raise(age *fleetpb.LeavingAge, now time.Duration) bool {
	isRaised := false
	for _, key := range a.named(age) {
		held := a.held[key]
		since := now - time.Duration(age.AgeMs)*time.Millisecond
		if held.bornMs == age.BornMs && held.since-since >= minRise {
			a.held[key] = process{bornMs: held.bornMs, since: since}
			isRaised = true
		}
	}
	return isRaised
}

// named returns the endpoints known to leave that an age is of. One of an earlier version names no
// service.
func (a *Ages) named(age *fleetpb.LeavingAge) []endpoint {
	var list []endpoint
	if age.Service != "" {
		key := endpoint{service: age.Service, id: age.EndpointId}
		if _, ok := a.held[key]; ok {
			list = append(list, key)
		}
		return list
	}
	for key := range a.held {
		if key.id == age.EndpointId {
			list = append(list, key)
		}
	}
	return list
}

// Of returns for how long an endpoint of a service has been leaving at now; 0 if it does not.
func (a *Ages) Of(service, id string, now time.Duration) time.Duration {
	held, ok := a.held[endpoint{service: service, id: id}]
	if !ok {
		return 0
	}
	return max(now-held.since, 1)
}

// Message returns the age of an endpoint at now to pass on; nil if it does not leave.
func (a *Ages) Message(service, id string, now time.Duration) *fleetpb.LeavingAge {
	held, ok := a.held[endpoint{service: service, id: id}]
	if !ok {
		return nil
	}
	return &fleetpb.LeavingAge{Service: service, EndpointId: id, BornMs: held.bornMs, AgeMs: milliseconds(now - held.since)}
}

// Messages returns the ages of all endpoints that leave at now, sorted by id and service.
func (a *Ages) Messages(now time.Duration) []*fleetpb.LeavingAge {
	var list []*fleetpb.LeavingAge
	for key := range a.held {
		list = append(list, a.Message(key.service, key.id, now))
	}
	slices.SortFunc(list, func(x, y *fleetpb.LeavingAge) int {
		return cmp.Or(strings.Compare(x.EndpointId, y.EndpointId), strings.Compare(x.Service, y.Service))
	})
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
