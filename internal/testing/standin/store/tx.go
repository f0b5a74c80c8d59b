package store

import (
	"context"
	"slices"
	"strconv"

	"hemlockmast/internal/testing/standin/sqltext"
)

// SQLSTATE codes of this package.
const (
	codeUnique     = "23505"
	codeNoTable    = "42P01"
	codeTableThere = "42P07"
	codeDeadlock   = "40P01"
	codeCanceled   = "57014"
)

// Tx is one transaction at isolation level read committed: each statement sees
// what is committed when it runs, and its own changes. A Tx is used by one
// goroutine.
type Tx struct {
	s       *Store
	ops     []Op
	rows    map[rowID]Row // nil means deleted
	tables  map[tableID]*Table
	dropped map[tableID]bool
	locks   []rowID
	done    chan struct{}
	waits   *Tx // guarded by s.mu: the transaction whose end this one awaits
}

// Begin starts a transaction. End must be called.
func (s *Store) Begin() *Tx {
	return &Tx{s: s, done: make(chan struct{})}
}

// Ops returns the transaction's changes in order.
func (tx *Tx) Ops() []Op { return tx.ops }

// End releases the transaction's locks. It does not apply its changes.
func (tx *Tx) End() {
	if len(tx.locks) > 0 {
		tx.s.mu.Lock()
		for _, id := range tx.locks {
			delete(tx.s.locks, id)
		}
		tx.s.mu.Unlock()
	}
	close(tx.done)
}

// Table returns the shape of a table, or an *sqltext.Error.
func (tx *Tx) Table(db, name string) (*Table, error) {
	id := tableID{db, name}
	if t := tx.tables[id]; t != nil {
		return t, nil
	}
	tx.s.mu.RLock()
	t := tx.s.tables[id]
	tx.s.mu.RUnlock()
	if t == nil || tx.dropped[id] {
		return nil, &sqltext.Error{Code: codeNoTable, Message: "relation " + strconv.Quote(name) + " does not exist"}
	}
	return t, nil
}

// CreateTable adds a table. It reports false when the table was there and
// ifNotExists allows it.
func (tx *Tx) CreateTable(ctx context.Context, db string, c sqltext.CreateTable) (bool, error) {
	id := tableID{db, c.Table}
	if err := tx.lock(ctx, rowID{tableID: id}); err != nil {
		return false, err
	}
	if _, err := tx.Table(db, c.Table); err == nil {
		if c.IfNotExists {
			return false, nil
		}
		return false, &sqltext.Error{Code: codeTableThere, Message: "relation " + strconv.Quote(c.Table) + " already exists"}
	}
	if tx.tables == nil {
		tx.tables = map[tableID]*Table{}
	}
	tx.tables[id] = newTable(c.Table, c.Columns)
	delete(tx.dropped, id)
	tx.ops = append(tx.ops, Op{Kind: OpCreate, DB: db, Table: c.Table, Columns: c.Columns})
	return true, nil
}

// DropTable removes a table. It reports false when there was none and ifExists
// allows it.
func (tx *Tx) DropTable(ctx context.Context, db string, d sqltext.DropTable) (bool, error) {
	id := tableID{db, d.Table}
	if err := tx.lock(ctx, rowID{tableID: id}); err != nil {
		return false, err
	}
	if _, err := tx.Table(db, d.Table); err != nil {
		if d.IfExists {
			return false, nil
		}
		return false, err
	}
	delete(tx.tables, id)
	if tx.dropped == nil {
		tx.dropped = map[tableID]bool{}
	}
	tx.dropped[id] = true
	for r := range tx.rows {
		if r.tableID == id {
			delete(tx.rows, r)
		}
	}
	tx.ops = append(tx.ops, Op{Kind: OpDrop, DB: db, Table: d.Table})
	return true, nil
}

// Get returns the row with the given key, or nil.
func (tx *Tx) Get(db string, t *Table, key string) Row {
	id := rowID{tableID{db, t.Name}, key}
	if row, ok := tx.rows[id]; ok {
		return row
	}
	tx.s.mu.RLock()
	defer tx.s.mu.RUnlock()
	return tx.committed(id, t)
}

// committed is called with s.mu held. A table that this transaction created or
// dropped has no committed rows for it; a rebuilt store may have another
// *Table of the same name.
func (tx *Tx) committed(id rowID, t *Table) Row {
	if tx.tables[id.tableID] != nil || tx.dropped[id.tableID] {
		return nil
	}
	if now := tx.s.tables[id.tableID]; now != nil {
		return now.rows[id.key]
	}
	return nil
}

// Keys returns the keys of all rows that the transaction sees, in key order.
func (tx *Tx) Keys(db string, t *Table) []string {
	id := tableID{db, t.Name}
	var keys []string
	tx.s.mu.RLock()
	if now := tx.s.tables[id]; now != nil && tx.tables[id] == nil {
		keys = make([]string, 0, len(now.rows))
		for k := range now.rows {
			if _, mine := tx.rows[rowID{id, k}]; !mine {
				keys = append(keys, k)
			}
		}
	}
	tx.s.mu.RUnlock()
	for r, row := range tx.rows {
		if r.tableID == id && row != nil {
			keys = append(keys, r.key)
		}
	}
	slices.SortFunc(keys, t.compareKeys)
	return keys
}

// Lock takes the lock of one row. It waits for the transaction that holds it;
// a deadlock or a done ctx gives an *sqltext.Error.
func (tx *Tx) Lock(ctx context.Context, db string, t *Table, key string) error {
	return tx.lock(ctx, rowID{tableID{db, t.Name}, key})
}

// Insert adds a row and takes its lock. It reports false when the key is taken.
func (tx *Tx) Insert(ctx context.Context, db string, t *Table, row Row) (key string, ok bool, err error) {
	if t.KeyCol < 0 {
		tx.s.mu.Lock()
		t.hidden++
		key = strconv.FormatUint(t.hidden, 10)
		tx.s.mu.Unlock()
	} else {
		key = row[t.KeyCol].Text
	}
	if err := tx.Lock(ctx, db, t, key); err != nil {
		return key, false, err
	}
	if tx.Get(db, t, key) != nil {
		return key, false, nil
	}
	tx.Put(db, t, key, row)
	return key, true, nil
}

// UniqueError is the refusal of a key that is taken.
func UniqueError(t *Table, key string) error {
	return &sqltext.Error{
		Code:    codeUnique,
		Message: "duplicate key value violates unique constraint " + strconv.Quote(t.Name+"_pkey"),
		Detail:  "Key (" + t.Columns[t.KeyCol].Name + ")=(" + key + ") already exists.",
	}
}

// Put replaces a row whose lock the transaction holds.
func (tx *Tx) Put(db string, t *Table, key string, row Row) {
	tx.set(rowID{tableID{db, t.Name}, key}, row)
	tx.ops = append(tx.ops, Op{Kind: OpPut, DB: db, Table: t.Name, Key: key, Row: row})
}

// Delete removes a row whose lock the transaction holds.
func (tx *Tx) Delete(db string, t *Table, key string) {
	tx.set(rowID{tableID{db, t.Name}, key}, nil)
	tx.ops = append(tx.ops, Op{Kind: OpDelete, DB: db, Table: t.Name, Key: key})
}

func (tx *Tx) set(id rowID, row Row) {
	if tx.rows == nil {
		tx.rows = map[rowID]Row{}
	}
	tx.rows[id] = row
}

func (tx *Tx) lock(ctx context.Context, id rowID) error {
	for {
		owner, err := tx.tryLock(id)
		if owner == nil || err != nil {
			return err
		}
		select {
		case <-owner.done:
		case <-ctx.Done():
			tx.stopWaiting()
			return &sqltext.Error{Code: codeCanceled, Message: "canceling statement due to user request"}
		}
	}
}

// tryLock takes the lock, or returns the transaction that holds it.
func (tx *Tx) tryLock(id rowID) (*Tx, error) {
	tx.s.mu.Lock()
	defer tx.s.mu.Unlock()
	tx.waits = nil
	owner := tx.s.locks[id]
	switch owner {
	case tx:
		return nil, nil
	case nil:
		tx.s.locks[id] = tx
		tx.locks = append(tx.locks, id)
		return nil, nil
	}
	for other := owner; other != nil; other = other.waits {
		if other == tx {
			return nil, &sqltext.Error{Code: codeDeadlock, Message: "deadlock detected"}
		}
	}
	tx.waits = owner
	return owner, nil
}

func (tx *Tx) stopWaiting() {
	tx.s.mu.Lock()
	tx.waits = nil
	tx.s.mu.Unlock()
}
