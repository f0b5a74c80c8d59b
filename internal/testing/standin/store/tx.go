package store

import (
	"context"
	"slices"
	"strconv"

	"hemlockmast/internal/testing/standin/sqltext"
)

// SQLSTATE codes of this package's errors.
const (
	codeUniqueViolation  = "23505"
	codeUndefinedTable   = "42P01"
	codeDuplicateTable   = "42P07"
	codeDeadlockDetected = "40P01"
	codeQueryCanceled    = "57014"
)

// Tx is one transaction at the isolation level read committed: a statement sees
// the rows that are committed when it runs, and the transaction's own changes.
// A Tx is used by one goroutine.
type Tx struct {
	s        *Store
	ops      []Op
	rows     map[rowID]Row // changed rows; nil means deleted
	tables   map[tableID]*Table
	dropped  map[tableID]bool
	locks    []rowID
	done     chan struct{}
	waitsFor *Tx // guarded by s.mu: the transaction whose lock this one waits for
}

// Begin starts a transaction. The caller must call End.
func (s *Store) Begin() *Tx {
	return &Tx{s: s, done: make(chan struct{})}
}

// Ops returns the transaction's changes in order.
func (tx *Tx) Ops() []Op { return tx.ops }

// End releases the transaction's locks. It does not apply the transaction's
// changes; see Store.Apply.
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

// Table returns a table as the transaction sees it. Errors: *sqltext.Error.
func (tx *Tx) Table(db, name string) (*Table, error) {
	id := tableID{db, name}
	if t := tx.tables[id]; t != nil {
		return t, nil
	}
	tx.s.mu.RLock()
	t := tx.s.tables[id]
	tx.s.mu.RUnlock()
	if t == nil || tx.dropped[id] {
		return nil, &sqltext.Error{Code: codeUndefinedTable, Message: "relation " + strconv.Quote(name) + " does not exist"}
	}
	return t, nil
}

// CreateTable adds a table. It reports false if the table exists and
// c.IfNotExists is set. Errors: *sqltext.Error.
func (tx *Tx) CreateTable(ctx context.Context, db string, c sqltext.CreateTable) (bool, error) {
	id := tableID{db, c.Table}
	if err := tx.lock(ctx, rowID{tableID: id}); err != nil {
		return false, err
	}
	if _, err := tx.Table(db, c.Table); err == nil {
		if c.IfNotExists {
			return false, nil
		}
		return false, &sqltext.Error{Code: codeDuplicateTable, Message: "relation " + strconv.Quote(c.Table) + " already exists"}
	}
	if tx.tables == nil {
		tx.tables = map[tableID]*Table{}
	}
	tx.tables[id] = newTable(c.Table, c.Columns)
	delete(tx.dropped, id)
	tx.ops = append(tx.ops, Op{Kind: OpCreate, DB: db, Table: c.Table, Columns: c.Columns})
	return true, nil
}

// DropTable removes a table. It reports false if the table does not exist and
// d.IfExists is set. Errors: *sqltext.Error.
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

// committed returns the committed row. It is called with s.mu held. A table that
// this transaction created or dropped has no committed rows in its view. The row
// is looked up by table name because Rebuild replaces the *Table.
func (tx *Tx) committed(id rowID, t *Table) Row {
	if tx.tables[id.tableID] != nil || tx.dropped[id.tableID] {
		return nil
	}
	if current := tx.s.tables[id.tableID]; current != nil {
		return current.rows[id.key]
	}
	return nil
}

// Keys returns the keys of all rows that the transaction sees, in key order.
func (tx *Tx) Keys(db string, t *Table) []string {
	id := tableID{db, t.Name}
	var keys []string
	tx.s.mu.RLock()
	if current := tx.s.tables[id]; current != nil && tx.tables[id] == nil {
		keys = make([]string, 0, len(current.rows))
		for k := range current.rows {
			if _, changed := tx.rows[rowID{id, k}]; !changed {
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

// Lock acquires the lock of one row and waits for a transaction that holds it.
// It returns an *sqltext.Error on a deadlock or when ctx is done.
func (tx *Tx) Lock(ctx context.Context, db string, t *Table, key string) error {
	return tx.lock(ctx, rowID{tableID{db, t.Name}, key})
}

// Insert adds a row and acquires its lock. It reports false if the key exists.
func (tx *Tx) Insert(ctx context.Context, db string, t *Table, row Row) (key string, ok bool, err error) {
	if t.KeyCol < 0 {
		tx.s.mu.Lock()
		t.lastHiddenKey++
		key = strconv.FormatUint(t.lastHiddenKey, 10)
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

// UniqueError returns the error for a key that exists already.
func UniqueError(t *Table, key string) error {
	return &sqltext.Error{
		Code:    codeUniqueViolation,
		Message: "duplicate key value violates unique constraint " + strconv.Quote(t.Name+"_pkey"),
		Detail:  "Key (" + t.Columns[t.KeyCol].Name + ")=(" + key + ") already exists.",
	}
}

// Put replaces a row. The transaction must hold the row's lock.
func (tx *Tx) Put(db string, t *Table, key string, row Row) {
	tx.setRow(rowID{tableID{db, t.Name}, key}, row)
	tx.ops = append(tx.ops, Op{Kind: OpPut, DB: db, Table: t.Name, Key: key, Row: row})
}

// Delete removes a row. The transaction must hold the row's lock.
func (tx *Tx) Delete(db string, t *Table, key string) {
	tx.setRow(rowID{tableID{db, t.Name}, key}, nil)
	tx.ops = append(tx.ops, Op{Kind: OpDelete, DB: db, Table: t.Name, Key: key})
}

func (tx *Tx) setRow(id rowID, row Row) {
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
			tx.clearWaitsFor()
			return &sqltext.Error{Code: codeQueryCanceled, Message: "canceling statement due to user request"}
		}
	}
}

// tryLock acquires the lock, or returns the transaction that holds it. A cycle of
// waiting transactions is a deadlock.
func (tx *Tx) tryLock(id rowID) (*Tx, error) {
	tx.s.mu.Lock()
	defer tx.s.mu.Unlock()
	tx.waitsFor = nil
	owner := tx.s.locks[id]
	switch owner {
	case tx:
		return nil, nil
	case nil:
		tx.s.locks[id] = tx
		tx.locks = append(tx.locks, id)
		return nil, nil
	}
	for other := owner; other != nil; other = other.waitsFor {
		if other == tx {
			return nil, &sqltext.Error{Code: codeDeadlockDetected, Message: "deadlock detected"}
		}
	}
	tx.waitsFor = owner
	return owner, nil
}

func (tx *Tx) clearWaitsFor() {
	tx.s.mu.Lock()
	tx.waitsFor = nil
	tx.s.mu.Unlock()
}
