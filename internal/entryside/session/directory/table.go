// Package directory stores the floors of sessions by session id. It has a table
// with a limited size and expiring entries, the choice of the two daemons that
// keep copies of an entry, and the rule that combines the answers of the two
// copies.
//
// A floor counts as known only if every copy knows its floor. A write may
// therefore be acknowledged as soon as one copy holds its floor, and the loss of a
// copy makes floors unknown but never too low. The package uses no clock and no
// goroutines and does no I/O.
package directory

import (
	"container/list"
	"time"

	"hemlockmast/internal/entryside/session"
)

// Limits limits the size of a table and the age of its entries.
type Limits struct {
	// MaxEntries is the maximum number of sessions. Adding another one evicts
	// the least recently used entry.
	MaxEntries int
	// TTL is how long an unused entry is kept.
	TTL time.Duration
}

// Stamp identifies an entry from its creation to its removal from one table. An
// entry that is created again for the same session has another stamp. The zero
// Stamp identifies no entry.
type Stamp struct {
	// Incarnation differs for each start of each daemon.
	Incarnation uint64
	// Serial differs for each entry created in one incarnation.
	Serial uint64
}

// Answer is the state of a session's entry at one copy.
type Answer struct {
	Stamp Stamp
	// Complete states that the entry has existed since its session began and
	// holds all its groups.
	Complete bool
	Floors   session.Floors
}

// isFloorKnown reports whether the copy knows its floor in group: no acknowledged
// write of the session in group that this copy recorded, or that is older than the
// entry, is above the floor.
func (a Answer) isFloorKnown(group string) bool {
	floor, _ := a.Floors.Get(group)
	return a.Complete || floor.Settled
}

// Stats holds the current number of a table's entries and the numbers of entries
// removed since its creation.
type Stats struct {
	Entries int
	Evicted uint64
	Expired uint64
}

type entry struct {
	id       session.ID
	stamp    Stamp
	complete bool
	floors   session.Floors
	lastUsed time.Time
}

// Table is one daemon's part of the directory. It is not safe for concurrent
// use.
//
// Invariant: an entry is complete only if it was created by Create, and a floor is
// settled only by a position that was queried under the entry's stamp. The floors
// of an entry that is created again after a loss are therefore unknown until they
// are settled.
type Table struct {
	limits      Limits
	incarnation uint64
	serial      uint64
	entries     map[session.ID]*list.Element
	// lru holds *entry, most recently used first.
	lru     *list.List
	evicted uint64
	expired uint64
}

// NewTable returns an empty table. Incarnation must differ for each start of
// each daemon.
func NewTable(incarnation uint64, limits Limits) *Table {
	return &Table{
		limits:      limits,
		incarnation: incarnation,
		entries:     make(map[session.ID]*list.Element),
		lru:         list.New(),
	}
}

// Lookup returns the state of id's entry. If there is none, it creates an empty,
// incomplete entry, whose stamp is needed to settle a floor later.
func (t *Table) Lookup(now time.Time, id session.ID) Answer {
	return t.getOrCreate(now, id, false).answer()
}

// Create creates a complete entry for a session id that was just generated and is
// not used yet. An existing entry is not changed. Create must not be called again
// after a write of the session was sent.
func (t *Table) Create(now time.Time, id session.ID) Answer {
	return t.getOrCreate(now, id, true).answer()
}

// Record raises floors after writes. It does not settle them, because the table
// may have lost an earlier, higher floor.
func (t *Table) Record(now time.Time, id session.ID, floors session.Floors) Answer {
	e := t.getOrCreate(now, id, false)
	e.merge(floors, false)
	return e.answer()
}

// Settle stores floors that a primary reported in answer to a query sent after
// stamp was returned by this table. If the entry now has another stamp, the floors
// are only lower bounds.
func (t *Table) Settle(now time.Time, id session.ID, stamp Stamp, floors session.Floors) Answer {
	e := t.getOrCreate(now, id, false)
	e.merge(floors, e.stamp == stamp)
	return e.answer()
}

// Expire removes the entries that were not used for the table's TTL.
func (t *Table) Expire(now time.Time) {
	for oldest := t.lru.Back(); oldest != nil; oldest = t.lru.Back() {
		if now.Sub(oldest.Value.(*entry).lastUsed) < t.limits.TTL {
			return
		}
		t.remove(oldest)
		t.expired++
	}
}

// Stats returns the table's statistics.
func (t *Table) Stats() Stats {
	return Stats{Entries: len(t.entries), Evicted: t.evicted, Expired: t.expired}
}

// getOrCreate returns id's entry and marks it as used. created states that the
// session is new, so that an entry created for it is complete.
func (t *Table) getOrCreate(now time.Time, id session.ID, created bool) *entry {
	t.Expire(now)
	if element, ok := t.entries[id]; ok {
		e := element.Value.(*entry)
		e.lastUsed = now
		t.lru.MoveToFront(element)
		return e
	}
	if len(t.entries) >= t.limits.MaxEntries {
		t.remove(t.lru.Back())
		t.evicted++
	}
	t.serial++
	e := &entry{
		id:       id,
		stamp:    Stamp{Incarnation: t.incarnation, Serial: t.serial},
		complete: created,
		lastUsed: now,
	}
	t.entries[id] = t.lru.PushFront(e)
	return e
}

func (t *Table) remove(element *list.Element) {
	if element == nil {
		return
	}
	t.lru.Remove(element)
	delete(t.entries, element.Value.(*entry).id)
}

// merge raises the entry's floors. A group above the limit is not kept and its
// floor is unknown, so the entry is then no longer complete.
func (e *entry) merge(floors session.Floors, settles bool) {
	for _, g := range floors.List() {
		g.Settled = g.Settled && settles
		if err := e.floors.Merge(g); err != nil {
			e.complete = false
		}
	}
}

func (e *entry) answer() Answer {
	return Answer{Stamp: e.stamp, Complete: e.complete, Floors: e.floors.Clone()}
}
