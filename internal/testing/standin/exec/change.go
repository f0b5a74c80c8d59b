package exec

import (
	"slices"
	"strconv"

	"hemlockmast/internal/testing/standin/sqltext"
	"hemlockmast/internal/testing/standin/store"
)

// dataChange collects the number of changed rows and the RETURNING rows of one
// INSERT, UPDATE or DELETE.
type dataChange struct {
	verb  string
	items []sqltext.Item
	cols  []Col
	count int
	rows  []store.Row
}

// startChange checks that the statement may write, and selects its table.
func (sc *scope) startChange(table, verb string, returning []sqltext.Item) (*dataChange, error) {
	if err := sc.env.Conn.CheckWrite(verb); err != nil {
		return nil, err
	}
	if err := sc.useTable(table); err != nil {
		return nil, err
	}
	cols, err := sc.cols(returning)
	return &dataChange{verb: verb, items: returning, cols: cols}, err
}

// recordChange counts a changed row and computes its RETURNING row.
func (sc *scope) recordChange(ch *dataChange, row store.Row) error {
	ch.count++
	if len(ch.items) == 0 {
		return nil
	}
	sc.row = row
	out, err := sc.project(ch.items)
	ch.rows = append(ch.rows, out)
	return err
}

func (ch *dataChange) result() *Result {
	res := Rows(ch.cols, ch.rows, ch.verb)
	tag := ch.verb + " " + strconv.Itoa(ch.count)
	if ch.verb == "INSERT" {
		tag = "INSERT 0 " + strconv.Itoa(ch.count)
	}
	res.Tag = func() string { return tag }
	return res
}

func (sc *scope) runInsert(s sqltext.Insert) (*Result, error) {
	ch, err := sc.startChange(s.Table, "INSERT", s.Returning)
	if err != nil {
		return nil, err
	}
	idx, err := columnIndexes(sc.table, s.Columns)
	if err != nil {
		return nil, err
	}
	for _, exprs := range s.Rows {
		row, err := sc.newRow(idx, exprs)
		if err != nil {
			return nil, err
		}
		if err := sc.insertRow(ch, s, row); err != nil {
			return nil, err
		}
	}
	return ch.result(), nil
}

// newRow evaluates one row of VALUES. idx holds the column index of each
// expression.
func (sc *scope) newRow(idx []int, exprs []sqltext.Expr) (store.Row, error) {
	if len(exprs) > len(idx) {
		return nil, &sqltext.Error{Code: sqltext.CodeSyntax, Message: "INSERT has more expressions than target columns"}
	}
	row := make(store.Row, len(sc.table.Columns))
	for i := range row {
		row[i].Null = true
	}
	for i, e := range exprs {
		v, err := sc.eval(e)
		if err != nil {
			return nil, err
		}
		if row[idx[i]], err = Coerce(v, sc.table.Columns[idx[i]].Type); err != nil {
			return nil, err
		}
	}
	if k := sc.table.KeyCol; k >= 0 && row[k].Null {
		return nil, &sqltext.Error{Code: "23502",
			Message: "null value in column " + strconv.Quote(sc.table.Columns[k].Name) + " violates not-null constraint"}
	}
	return row, nil
}

// insertRow inserts a row. If its key exists, it does what ON CONFLICT says or
// returns the unique violation.
func (sc *scope) insertRow(ch *dataChange, s sqltext.Insert, row store.Row) error {
	key, ok, err := sc.env.Tx.Insert(sc.ctx, sc.env.DB, sc.table, row)
	switch {
	case err != nil:
		return err
	case ok:
		return sc.recordChange(ch, row)
	case s.DoNothing:
		return nil
	case s.DoUpdate == nil:
		return store.UniqueError(sc.table, key)
	}
	assigned, err := sc.assignments(s.DoUpdate)
	if err != nil {
		return err
	}
	sc.excluded = row
	return sc.changeRow(ch, key, assigned)
}

func (sc *scope) runUpdate(s sqltext.Update) (*Result, error) {
	ch, err := sc.startChange(s.Table, "UPDATE", s.Returning)
	if err != nil {
		return nil, err
	}
	assigned, err := sc.assignments(s.Set)
	if err != nil {
		return nil, err
	}
	keys, err := sc.matchingKeys(s.Where, true)
	if err != nil {
		return nil, err
	}
	for _, k := range keys {
		if err := sc.changeRow(ch, k, assigned); err != nil {
			return nil, err
		}
	}
	return ch.result(), nil
}

// changeRow assigns new values to a row. The transaction must hold the row's
// lock.
func (sc *scope) changeRow(ch *dataChange, key string, assigned []assignment) error {
	old := sc.env.Tx.Get(sc.env.DB, sc.table, key)
	row := slices.Clone(old)
	sc.row = old
	for _, a := range assigned {
		v, err := sc.eval(a.value)
		if err != nil {
			return err
		}
		if row[a.index], err = Coerce(v, sc.table.Columns[a.index].Type); err != nil {
			return err
		}
	}
	if k := sc.table.KeyCol; k >= 0 && row[k] != old[k] {
		sc.env.Tx.Delete(sc.env.DB, sc.table, key)
		taken, ok, err := sc.env.Tx.Insert(sc.ctx, sc.env.DB, sc.table, row)
		if err != nil {
			return err
		}
		if !ok {
			return store.UniqueError(sc.table, taken)
		}
		return sc.recordChange(ch, row)
	}
	sc.env.Tx.Put(sc.env.DB, sc.table, key, row)
	return sc.recordChange(ch, row)
}

func (sc *scope) runDelete(s sqltext.Delete) (*Result, error) {
	ch, err := sc.startChange(s.Table, "DELETE", s.Returning)
	if err != nil {
		return nil, err
	}
	keys, err := sc.matchingKeys(s.Where, true)
	if err != nil {
		return nil, err
	}
	for _, k := range keys {
		row := sc.env.Tx.Get(sc.env.DB, sc.table, k)
		sc.env.Tx.Delete(sc.env.DB, sc.table, k)
		if err := sc.recordChange(ch, row); err != nil {
			return nil, err
		}
	}
	return ch.result(), nil
}
