// Package registry keeps the last announcement of each endpoint. It is pure:
// announcements arrive late, doubled, out of order and through several daemons,
// and all copies of the table end up the same.
package registry

import (
	"cmp"
	"slices"

	fleetpb "hemlockmast/api/fleet"
)

// maxEndpoints bounds the table against announcements from elsewhere.
const maxEndpoints = 20_000

// Table is the announcements by endpoint id. It is not safe for concurrent use.
type Table struct {
	byID map[string]*fleetpb.Endpoint
	// byAddress is the endpoint born last at an address.
	byAddress map[string]*fleetpb.Endpoint
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		byID:      make(map[string]*fleetpb.Endpoint),
		byAddress: make(map[string]*fleetpb.Endpoint),
	}
}

// Merge takes an announcement in. It returns the endpoints whose usable content
// changed; a newer announcement that says the same changes nothing for others.
func (t *Table) Merge(e *fleetpb.Endpoint) []*fleetpb.Endpoint {
	held := t.byID[e.Id]
	if held != nil && compare(e, held) <= 0 {
		return nil
	}
	if held == nil && len(t.byID) >= maxEndpoints {
		return nil
	}
	var changed []*fleetpb.Endpoint
	e, superseded := t.settleAddress(e)
	if superseded != nil {
		changed = append(changed, superseded)
	}
	t.byID[e.Id] = e
	if held == nil || !sameContent(held, e) {
		changed = append(changed, e)
	}
	return changed
}

// settleAddress decides between e and the endpoint known at its address: the one
// born earlier is gone, whatever a late announcement of its says.
func (t *Table) settleAddress(e *fleetpb.Endpoint) (settled, superseded *fleetpb.Endpoint) {
	other := t.byAddress[e.Address]
	if other != nil && other.Id != e.Id && other.BornMs > e.BornMs {
		return gone(e), nil
	}
	t.byAddress[e.Address] = e
	if other == nil || other.Id == e.Id || other.State == fleetpb.EndpointState_ENDPOINT_STATE_GONE {
		return e, nil
	}
	// The address now belongs to e.
	other = gone(other)
	t.byID[other.Id] = other
	return e, other
}

// Leave records that an endpoint has ended. bornMs 0 means the life that is
// known. It returns the changed record, or nil.
func (t *Table) Leave(id string, bornMs int64) *fleetpb.Endpoint {
	held := t.byID[id]
	if held == nil || bornMs != 0 && bornMs < held.BornMs {
		return nil
	}
	if held.State == fleetpb.EndpointState_ENDPOINT_STATE_GONE {
		return nil
	}
	left := gone(held)
	// A heartbeat sent before the end may still arrive; it is older than this.
	left.Sequence++
	t.byID[id] = left
	return left
}

func gone(e *fleetpb.Endpoint) *fleetpb.Endpoint {
	return &fleetpb.Endpoint{
		Id: e.Id, Service: e.Service, Address: e.Address, FailureDomain: e.FailureDomain,
		State: fleetpb.EndpointState_ENDPOINT_STATE_GONE, Primary: false,
		BornMs: e.BornMs, Sequence: e.Sequence, Slots: e.Slots,
	}
}

// compare orders announcements of one endpoint: by life, then by number; at
// equal numbers the later state of a life goes first.
func compare(a, b *fleetpb.Endpoint) int {
	return cmp.Or(
		cmp.Compare(a.BornMs, b.BornMs),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.State, b.State),
	)
}

func sameContent(a, b *fleetpb.Endpoint) bool {
	return a.Service == b.Service && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.State == b.State && a.Primary == b.Primary && a.BornMs == b.BornMs && a.Slots == b.Slots
}

// Get returns the record of an endpoint, or nil. It may not be changed.
func (t *Table) Get(id string) *fleetpb.Endpoint { return t.byID[id] }

// All returns every record, sorted by id. The records may not be changed.
func (t *Table) All() []*fleetpb.Endpoint {
	list := make([]*fleetpb.Endpoint, 0, len(t.byID))
	for _, e := range t.byID {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *fleetpb.Endpoint) int { return cmp.Compare(a.Id, b.Id) })
	return list
}
