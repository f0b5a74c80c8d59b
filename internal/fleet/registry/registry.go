// Package registry keeps the announcements of endpoints. They may arrive late, more than once, out
// of order, through several daemons, and before the configuration that defines their service.
//
// A table holds the last announcement of each id, service and address, whichever services are
// defined. The record of an endpoint is derived from those of the defined services: the newest one
// with its id, in the state gone if another endpoint started later at its address. So an
// announcement of a service that is not defined ends no endpoint, whenever it arrives.
//
// Tables that merged the same announcements and have the same services are equal. The package does
// no I/O and reads no clock.
package registry

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	fleetpb "hemlockmast/api/fleet"
)

// maxAnnouncements limits the size of a table, because anybody can send announcements.
const maxAnnouncements = 20_000

// Key identifies an announcement in a table.
type Key struct{ ID, Service, Address string }

// KeyOf returns the key of an announcement.
func KeyOf(e *fleetpb.Endpoint) Key { return Key{ID: e.Id, Service: e.Service, Address: e.Address} }

// compareKeys orders keys by id, service and address.
func compareKeys(a, b Key) int {
	return cmp.Or(strings.Compare(a.ID, b.ID), strings.Compare(a.Service, b.Service), strings.Compare(a.Address, b.Address))
}

// Changes are the effects of a call on a table.
type Changes struct {
	// Announced are the announcements whose content is new; other tables need them.
	Announced []*fleetpb.Endpoint
	// Records are the records whose content changed, sorted by id. One that is removed, because its
	// service is not defined any more, is not among them.
	Records []*fleetpb.Endpoint
}

// IsEmpty reports whether nothing changed.
func (c Changes) IsEmpty() bool { return len(c.Announced)+len(c.Records) == 0 }

// Table holds announcements and the records derived from them. It is not safe for concurrent use.
type Table struct {
	announced map[Key]*fleetpb.Endpoint
	// byID holds the keys of announced.
	byID map[string][]Key
	// services holds the names of the defined services.
	services map[string]bool
	// lastStarted holds, by address, the announcement of the endpoint of a defined service that
	// started there last.
	lastStarted map[string]*fleetpb.Endpoint
	// records holds the derived records by id.
	records map[string]*fleetpb.Endpoint
}

// NewTable returns an empty table without services.
func NewTable() *Table {
	return &Table{
		announced: make(map[Key]*fleetpb.Endpoint),
		byID:      make(map[string][]Key),
		services:  make(map[string]bool), lastStarted: make(map[string]*fleetpb.Endpoint),
		records: make(map[string]*fleetpb.Endpoint),
	}
}

// SetServices sets which services are defined.
func (t *Table) SetServices(services []*fleetpb.Service) Changes {
	next := make(map[string]bool, len(services))
	for _, s := range services {
		next[s.Name] = true
	}
	if maps.Equal(next, t.services) {
		return Changes{}
	}
	t.services = next
	clear(t.lastStarted)
	for _, e := range t.announced {
		t.noteStart(e)
	}
	return Changes{Records: t.derive(slices.Sorted(maps.Keys(t.byID)))}
}

// Merge adds an announcement to the table. It ignores outdated announcements, those that Check
// refuses, and new ones when the table is full. Another version of a daemon may have accepted
// what Check refuses here.
func (t *Table) Merge(e *fleetpb.Endpoint) Changes {
	key := KeyOf(e)
	held := t.announced[key]
	if held != nil && compareAnnouncements(e, held) <= 0 || Check(e) != nil {
		return Changes{}
	}
	if held == nil && !t.makeRoom(e.Service) {
		return Changes{}
	}
	return t.put(key, e)
}

// MergeFromPeer adds an announcement that another control daemon holds. Numbers alone are not passed
// on, so that the other daemon may have ended a process with a lower number than that of an
// announcement received here before. The process ends here, too; if it still runs, its further
// announcements are newer.
func (t *Table) MergeFromPeer(e *fleetpb.Endpoint) Changes {
	held := t.announced[KeyOf(e)]
	isEnd := e.State == fleetpb.EndpointState_ENDPOINT_STATE_GONE && held != nil && held.State != e.State
	if isEnd && held.BornMs == e.BornMs && held.Sequence >= e.Sequence {
		e = asEnded(held)
	}
	return t.Merge(e)
}

// put replaces the announcement with the given key.
func (t *Table) put(key Key, e *fleetpb.Endpoint) Changes {
	held := t.announced[key]
	if held == nil {
		t.byID[key.ID] = append(t.byID[key.ID], key)
	}
	t.announced[key] = e
	var changes Changes
	// A table with a higher number for the process takes only the highest end for newer.
	if held == nil || !sameContent(held, e) || e.State == fleetpb.EndpointState_ENDPOINT_STATE_GONE {
		changes.Announced = []*fleetpb.Endpoint{e}
	}
	affected := []string{e.Id}
	if former := t.noteStart(e); former != nil && former.Id != e.Id {
		affected = append(affected, former.Id)
		slices.Sort(affected)
	}
	changes.Records = t.derive(affected)
	return changes
}

// noteStart records that e started at its address, if it is of a defined service and no other
// endpoint started there later. It returns the announcement that it replaces, or nil. Those of all
// further endpoints at the address are superseded before and after.
func (t *Table) noteStart(e *fleetpb.Endpoint) (former *fleetpb.Endpoint) {
	last := t.lastStarted[e.Address]
	if !t.services[e.Service] || last != nil && compareStarts(e, last) < 0 {
		return nil
	}
	t.lastStarted[e.Address] = e
	return last
}

// compareStarts orders processes at one address. Two that start in the same millisecond have any
// order, but the same one in all tables.
func compareStarts(a, b *fleetpb.Endpoint) int {
	return cmp.Or(cmp.Compare(a.BornMs, b.BornMs), strings.Compare(a.Id, b.Id))
}

// makeRoom reports whether the table has room for a new announcement of the service. If it is full,
// an announcement of a service that is not defined gives way to one of a service that is.
func (t *Table) makeRoom(service string) bool {
	if len(t.announced) < maxAnnouncements {
		return true
	}
	if !t.services[service] {
		return false
	}
	var undefined []Key
	for key := range t.announced {
		if !t.services[key.Service] {
			undefined = append(undefined, key)
		}
	}
	if len(undefined) == 0 {
		return false
	}
	// The members of the control group must choose the same one.
	t.remove(slices.MinFunc(undefined, compareKeys))
	return true
}

// remove drops an announcement of a service that is not defined, on which no record depends.
func (t *Table) remove(key Key) {
	delete(t.announced, key)
	t.byID[key.ID] = slices.DeleteFunc(t.byID[key.ID], func(k Key) bool { return k == key })
	if len(t.byID[key.ID]) == 0 {
		delete(t.byID, key.ID)
	}
}

// derive computes the records with the given ids again and returns those whose content changed.
func (t *Table) derive(ids []string) []*fleetpb.Endpoint {
	var changed []*fleetpb.Endpoint
	for _, id := range ids {
		held, next := t.records[id], t.record(id)
		if next == nil {
			delete(t.records, id)
			continue
		}
		t.records[id] = next
		if held == nil || !sameContent(held, next) {
			changed = append(changed, next)
		}
	}
	return changed
}

// record derives the record with an id, or nil.
func (t *Table) record(id string) *fleetpb.Endpoint {
	newest := t.newest(id, func(service string) bool { return t.services[service] })
	if newest == nil || !t.isSuperseded(newest) {
		return newest
	}
	return asGone(newest)
}

// newest returns the newest announcement with an id among the services for which isWanted returns
// true, or nil.
func (t *Table) newest(id string, isWanted func(service string) bool) *fleetpb.Endpoint {
	var newest *fleetpb.Endpoint
	for _, key := range t.byID[id] {
		e := t.announced[key]
		if isWanted(key.Service) && (newest == nil || cmp.Or(compareAnnouncements(e, newest), compareKeys(key, KeyOf(newest))) > 0) {
			newest = e
		}
	}
	return newest
}

// isSuperseded reports whether another endpoint of a defined service started later at e's address.
func (t *Table) isSuperseded(e *fleetpb.Endpoint) bool {
	last := t.lastStarted[e.Address]
	return last.Id != e.Id && compareStarts(last, e) > 0
}

// IsEndAnnounced reports whether the end of e's process was announced under its own id. A record may
// also be in the state gone because another endpoint announced a later start at its address.
func (t *Table) IsEndAnnounced(e *fleetpb.Endpoint) bool {
	own := t.announced[KeyOf(e)]
	return own != nil && own.BornMs == e.BornMs && own.State == fleetpb.EndpointState_ENDPOINT_STATE_GONE
}

// MarkGone records that an endpoint has ended: it sets the state gone, not leaving. bornMs is
// the start time of the ended process in Unix milliseconds, or 0 for the last one; a message about
// an earlier process is ignored. The message names no service, so that it counts for each one under
// which the id is known.
func (t *Table) MarkGone(id string, bornMs int64) Changes {
	var changes Changes
	for _, service := range t.ServicesOf(id) {
		held := t.Newest(id, service)
		if bornMs != 0 && bornMs < held.BornMs || held.State == fleetpb.EndpointState_ENDPOINT_STATE_GONE {
			continue
		}
		c := t.put(KeyOf(held), asEnded(held))
		changes.Announced = append(changes.Announced, c.Announced...)
		changes.Records = append(changes.Records, c.Records...)
	}
	return changes
}

// asEnded returns an announcement that e's process has ended. A heartbeat sent before the end may
// still arrive. The higher sequence number makes it outdated; with the highest one, the state does.
func asEnded(e *fleetpb.Endpoint) *fleetpb.Endpoint {
	ended := asGone(e)
	ended.Sequence = min(e.Sequence+1, maxSequence)
	return ended
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
// counts as newer. The rest only makes the order of arrival irrelevant.
func compareAnnouncements(a, b *fleetpb.Endpoint) int {
	return cmp.Or(
		cmp.Compare(a.BornMs, b.BornMs),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.State, b.State),
		strings.Compare(strconv.FormatBool(a.Primary), strconv.FormatBool(b.Primary)),
		strings.Compare(a.FailureDomain, b.FailureDomain),
		cmp.Compare(a.Slots, b.Slots),
	)
}

// sameContent compares everything except the sequence number.
func sameContent(a, b *fleetpb.Endpoint) bool {
	return a.Service == b.Service && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.State == b.State && a.Primary == b.Primary && a.BornMs == b.BornMs && a.Slots == b.Slots
}

// Defines reports whether a service is defined.
func (t *Table) Defines(service string) bool { return t.services[service] }

// Announced returns the announcement with a key, or nil. The caller must not modify it.
func (t *Table) Announced(key Key) *fleetpb.Endpoint { return t.announced[key] }

// Newest returns the newest announcement of an endpoint of a service, defined or not, or nil. The
// caller must not modify it.
func (t *Table) Newest(id, service string) *fleetpb.Endpoint {
	return t.newest(id, func(s string) bool { return s == service })
}

// ServicesOf returns the services, defined or not, under which an id is known, sorted.
func (t *Table) ServicesOf(id string) []string {
	var services []string
	for _, key := range t.byID[id] {
		services = append(services, key.Service)
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// AllAnnounced returns all announcements, sorted by key. A table that merges them is equal to this
// one if it has the same services. The caller must not modify them.
func (t *Table) AllAnnounced() []*fleetpb.Endpoint {
	list := slices.Collect(maps.Values(t.announced))
	slices.SortFunc(list, func(a, b *fleetpb.Endpoint) int { return compareKeys(KeyOf(a), KeyOf(b)) })
	return list
}

// Get returns the record of an endpoint of a defined service, or nil. The caller must not modify it.
func (t *Table) Get(id string) *fleetpb.Endpoint { return t.records[id] }

// All returns the records of all endpoints of the defined services, sorted by id. The caller must
// not modify them.
func (t *Table) All() []*fleetpb.Endpoint {
	list := slices.Collect(maps.Values(t.records))
	slices.SortFunc(list, func(a, b *fleetpb.Endpoint) int { return cmp.Compare(a.Id, b.Id) })
	return list
}
