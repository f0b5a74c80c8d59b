// Package registry keeps the last announcement of each endpoint. Announcements may arrive
// late, more than once, out of order and through several daemons: tables that merged the
// same announcements are equal. The package does no I/O and reads no clock.
package registry

import (
	"cmp"
	"slices"

	fleetpb "hemlockmast/api/fleet"
)

// maxEndpoints limits the size of the table, because anybody can send announcements.
const maxEndpoints = 20_000

// Table holds the last announcement of each endpoint. It is not safe for concurrent use.
type Table struct {
	byID map[string]*fleetpb.Endpoint
	// byAddress holds, for each address, the endpoint that started there last.
	byAddress map[string]*fleetpb.Endpoint
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		byID:      make(map[string]*fleetpb.Endpoint),
		byAddress: make(map[string]*fleetpb.Endpoint),
	}
}

// Merge adds an announcement to the table and returns the records whose content changed.
// An announcement that is newer but has the same content is not returned. Merge ignores
// outdated announcements, those that Check refuses, and new endpoints when the table is
// full. Another version of a daemon may have accepted what Check refuses here.
func (t *Table) Merge(e *fleetpb.Endpoint) []*fleetpb.Endpoint {
	held := t.byID[e.Id]
	if held != nil && compareAnnouncements(e, held) <= 0 {
		return nil
	}
	if Check(e) != nil || held == nil && len(t.byID) >= maxEndpoints {
		return nil
	}
	var changed []*fleetpb.Endpoint
	e, superseded := t.resolveAddress(e)
	if superseded != nil {
		changed = append(changed, superseded)
	}
	t.byID[e.Id] = e
	if held == nil || !sameContent(held, e) {
		changed = append(changed, e)
	}
	return changed
}

// resolveAddress resolves a conflict between e and another endpoint known at its address:
// the one that started earlier is gone, even if a late announcement says otherwise. It
// returns e's record and, if it changed, the record of the other endpoint.
func (t *Table) resolveAddress(e *fleetpb.Endpoint) (resolved, superseded *fleetpb.Endpoint) {
	other := t.byAddress[e.Address]
	if other != nil && other.Id != e.Id && other.BornMs > e.BornMs {
		return asGone(e), nil
	}
	t.byAddress[e.Address] = e
	if other == nil || other.Id == e.Id {
		return e, nil
	}
	// The other endpoint may have ended or started again at another address since.
	other = t.byID[other.Id]
	if other.State == fleetpb.EndpointState_ENDPOINT_STATE_GONE || other.Address != e.Address {
		return e, nil
	}
	// The other endpoint did not start later than e, so it is gone.
	other = asGone(other)
	t.byID[other.Id] = other
	return e, other
}

// MarkGone records that an endpoint has ended: it sets the state gone, not leaving. bornMs is
// the start time of the ended process in Unix milliseconds, or 0 for the one in the table; a
// message about an earlier process is ignored. MarkGone returns the changed record, or nil if
// nothing changed.
func (t *Table) MarkGone(id string, bornMs int64) *fleetpb.Endpoint {
	held := t.byID[id]
	if held == nil || bornMs != 0 && bornMs < held.BornMs {
		return nil
	}
	if held.State == fleetpb.EndpointState_ENDPOINT_STATE_GONE {
		return nil
	}
	gone := asGone(held)
	// A heartbeat sent before the end may still arrive. The higher sequence number makes
	// it outdated; with the highest one, the state does.
	gone.Sequence = min(gone.Sequence+1, maxSequence)
	t.byID[id] = gone
	return gone
}

// asGone returns a copy of e in the state gone.
func asGone(e *fleetpb.Endpoint) *fleetpb.Endpoint {
	return &fleetpb.Endpoint{
		Id: e.Id, Service: e.Service, Address: e.Address, FailureDomain: e.FailureDomain,
		State: fleetpb.EndpointState_ENDPOINT_STATE_GONE, Primary: false,
		BornMs: e.BornMs, Sequence: e.Sequence, Slots: e.Slots,
	}
}

// compareAnnouncements orders announcements of one endpoint by start time, then by
// sequence number. With equal sequence numbers, the state that a process reaches later
// counts as newer.
func compareAnnouncements(a, b *fleetpb.Endpoint) int {
	return cmp.Or(
		cmp.Compare(a.BornMs, b.BornMs),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.State, b.State),
	)
}

// sameContent compares everything except the sequence number.
func sameContent(a, b *fleetpb.Endpoint) bool {
	return a.Service == b.Service && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.State == b.State && a.Primary == b.Primary && a.BornMs == b.BornMs && a.Slots == b.Slots
}

// Get returns the record of an endpoint, or nil. The caller must not modify it.
func (t *Table) Get(id string) *fleetpb.Endpoint { return t.byID[id] }

// All returns all records, sorted by id. The caller must not modify them.
func (t *Table) All() []*fleetpb.Endpoint {
	list := make([]*fleetpb.Endpoint, 0, len(t.byID))
	for _, e := range t.byID {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *fleetpb.Endpoint) int { return cmp.Compare(a.Id, b.Id) })
	return list
}
