// Package store holds the stand-in endpoint's tables: committed rows, open
// transactions with their row locks, and the log records from which a replica
// replays the primary's commits.
package store

import (
	"cmp"
	"slices"
	"strconv"
	"sync"

	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/testing/standin/sqltext"
)

// Value is one column's value in PostgreSQL text form.
type Value struct {
	Null bool   `json:"n,omitempty"`
	Text string `json:"t,omitempty"`
}

// Row is one row in the order of its table's columns.
type Row []Value

// OpKind says what an Op does.
type OpKind uint8

// Kinds of Op.
const (
	OpCreate OpKind = iota + 1
	OpDrop
	OpPut
	OpDelete
)

// Op is one change to a row or table. Key is set for OpPut and OpDelete, Row for
// OpPut, Columns for OpCreate.
type Op struct {
	Kind    OpKind              `json:"k"`
	DB      string              `json:"d"`
	Table   string              `json:"t"`
	Key     string              `json:"y,omitempty"`
	Row     Row                 `json:"r,omitempty"`
	Columns []sqltext.ColumnDef `json:"c,omitempty"`
}

// Record is one commit in the log. A record without operations marks the start
// of a term.
type Record struct {
	Pos logpos.Pos `json:"p"`
	Ops []Op       `json:"o,omitempty"`
}

// Table is a table's definition and, in a Store, its committed rows. KeyCol is
// the index of the key column, or -1 if the table has none; its rows then have a
// hidden sequence number as key.
type Table struct {
	Name          string
	Columns       []sqltext.ColumnDef
	KeyCol        int
	rows          map[string]Row
	lastHiddenKey uint64 // the last hidden key given to a row
}

// Column returns the index of the named column, or -1.
func (t *Table) Column(name string) int {
	return slices.IndexFunc(t.Columns, func(c sqltext.ColumnDef) bool { return c.Name == name })
}

func newTable(name string, cols []sqltext.ColumnDef) *Table {
	key := slices.IndexFunc(cols, func(c sqltext.ColumnDef) bool { return c.Key })
	return &Table{Name: name, Columns: cols, KeyCol: key, rows: map[string]Row{}}
}

func (t *Table) compareKeys(a, b string) int {
	if t.KeyCol >= 0 {
		return CompareText(t.Columns[t.KeyCol].Type, a, b)
	}
	return CompareText(sqltext.Int8, a, b)
}

// CompareText compares two values of type t in text form. It returns a negative
// number, zero or a positive number, as cmp.Compare does.
func CompareText(t sqltext.Type, a, b string) int {
	if t != sqltext.Int4 && t != sqltext.Int8 && t != sqltext.Float8 {
		return cmp.Compare(a, b)
	}
	x, errX := strconv.ParseInt(a, 10, 64)
	y, errY := strconv.ParseInt(b, 10, 64)
	if errX == nil && errY == nil {
		return cmp.Compare(x, y)
	}
	f, _ := strconv.ParseFloat(a, 64)
	g, _ := strconv.ParseFloat(b, 64)
	return cmp.Compare(f, g)
}

type tableID struct{ db, table string }

type rowID struct {
	tableID
	key string
}

// Store is the committed state of a slot's databases and the row locks of open
// transactions. All methods may be called concurrently. No other lock of this
// package is held when mu is acquired.
type Store struct {
	mu     sync.RWMutex
	tables map[tableID]*Table
	locks  map[rowID]*Tx
}

// New returns an empty store.
func New() *Store {
	return &Store{tables: map[tableID]*Table{}, locks: map[rowID]*Tx{}}
}

// Rebuild replaces the committed tables with the result of applying recs to an
// empty store. Readers see the change as one step. Open transactions keep their
// locks.
func (s *Store) Rebuild(recs []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tables = map[tableID]*Table{}
	for _, rec := range recs {
		for _, op := range rec.Ops {
			s.applyOp(op)
		}
	}
}

// Apply makes a record's changes visible to all transactions.
func (s *Store) Apply(rec Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range rec.Ops {
		s.applyOp(op)
	}
}

// applyOp is called with s.mu held.
func (s *Store) applyOp(op Op) {
	id := tableID{op.DB, op.Table}
	switch op.Kind {
	case OpCreate:
		s.tables[id] = newTable(op.Table, op.Columns)
	case OpDrop:
		delete(s.tables, id)
	case OpPut:
		if t := s.tables[id]; t != nil {
			t.rows[op.Key] = op.Row
			t.raiseHiddenKey(op.Key)
		}
	case OpDelete:
		if t := s.tables[id]; t != nil {
			delete(t.rows, op.Key)
		}
	}
}

// raiseHiddenKey keeps lastHiddenKey at or above every key in use, so that a
// promoted replica assigns no key twice.
func (t *Table) raiseHiddenKey(key string) {
	if t.KeyCol >= 0 {
		return
	}
	n, err := strconv.ParseUint(key, 10, 64)
	if err == nil && n > t.lastHiddenKey {
		t.lastHiddenKey = n
	}
}
