// Package directory keeps the floors of sessions by session id: a bounded,
// expiring table, the choice of the two daemons that keep an entry, and the rule
// that combines what the two copies say.
//
// A floor is only known when every copy vouches for it. A write may therefore be
// acknowledged when at least one copy holds its floor, and losing a copy makes
// floors unknown, never too low. The package has no clock, goroutine or input
// and output.
package directory

import (
	"container/list"
	"time"

	"hemlockmast/internal/entryside/session"
)

// Limits bounds a table.
type Limits struct {
	// MaxEntries is the number of sessions; one more drops the entry that was
	// unused for longest.
	MaxEntries int
	// TTL is how long an unused entry is kept.
	TTL time.Duration
}

// Stamp names one life of one entry in one table. The zero Stamp names none.
type Stamp struct {
	// Incarnation differs for each start of each daemon.
	Incarnation uint64
	// Serial differs for each entry opened in one incarnation.
	Serial uint64
}

// Answer is what one copy knows of a session.
type Answer struct {
	Stamp Stamp
	// Complete says that the entry has existed since its session began.
	Complete bool
	Floors   session.Floors
}

// vouches reports whether no acknowledged write of the session in group that
// this copy recorded, or that precedes the entry, lies above its floor.
func (a Answer) vouches(group string) bool {
	floor, _ := a.Floors.Get(group)
	return a.Complete || floor.Settled
}

// Stats counts a table's entries and the entries it dropped.
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
	used     time.Time
}

// Table is one daemon's part of the directory. It is not safe for concurrent
// use.
//
// Invariant: an entry is complete only if it was opened by Create, and a floor
// is settled only by a claim that was asked for under the entry's stamp. An
// entry opened anew after a loss therefore vouches for nothing until it is
// settled.
type Table struct {
	limits      Limits
	incarnation uint64
	serial      uint64
	entries     map[session.ID]*list.Element
	// order holds *entry, most recently used first.
	order   *list.List
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
		order:       list.New(),
	}
}

// Lookup returns what the table knows of id. An absent entry is opened empty and
// incomplete, so that a floor settled afterwards has a stamp to refer to.
func (t *Table) Lookup(now time.Time, id session.ID) Answer {
	return t.open(now, id, false).answer()
}

// Create opens a complete entry for a session id that the caller of Create made
// itself and has not used yet. An entry that exists already stays as it is.
// Create must not be repeated once a write of the session was sent.
func (t *Table) Create(now time.Time, id session.ID) Answer {
	return t.open(now, id, true).answer()
}

// Record raises floors after writes. It settles nothing, since the table may
// have lost an earlier, higher floor.
func (t *Table) Record(now time.Time, id session.ID, floors session.Floors) Answer {
	e := t.open(now, id, false)
	e.merge(floors, false)
	return e.answer()
}

// Settle stores floors that a primary gave for a question sent after stamp was
// learnt from this table. Under another stamp the floors are lower bounds only.
func (t *Table) Settle(now time.Time, id session.ID, stamp Stamp, floors session.Floors) Answer {
	e := t.open(now, id, false)
	e.merge(floors, e.stamp == stamp)
	return e.answer()
}

// Expire drops the entries that were unused for the table's TTL.
func (t *Table) Expire(now time.Time) {
	for back := t.order.Back(); back != nil; back = t.order.Back() {
		if now.Sub(back.Value.(*entry).used) < t.limits.TTL {
			return
		}
		t.drop(back)
		t.expired++
	}
}

// Stats returns the table's counts.
func (t *Table) Stats() Stats {
	return Stats{Entries: len(t.entries), Evicted: t.evicted, Expired: t.expired}
}

func (t *Table) open(now time.Time, id session.ID, created bool) *entry {
	t.Expire(now)
	if at, ok := t.entries[id]; ok {
		e := at.Value.(*entry)
		e.used = now
		t.order.MoveToFront(at)
		return e
	}
	if len(t.entries) >= t.limits.MaxEntries {
		t.drop(t.order.Back())
		t.evicted++
	}
	t.serial++
	e := &entry{
		id:       id,
		stamp:    Stamp{Incarnation: t.incarnation, Serial: t.serial},
		complete: created,
		used:     now,
	}
	t.entries[id] = t.order.PushFront(e)
	return e
}

func (t *Table) drop(at *list.Element) {
	if at == nil {
		return
	}
	t.order.Remove(at)
	delete(t.entries, at.Value.(*entry).id)
}

// merge raises the entry's floors. A group beyond the bound stays out, so that
// the entry can no longer be complete: the group is unknown from then on.
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
