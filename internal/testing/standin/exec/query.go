package exec

import (
	"cmp"
	"slices"
	"strconv"

	"hemlockmast/internal/testing/standin/sqltext"
	"hemlockmast/internal/testing/standin/store"
)

func (sc *scope) useTable(name string) error {
	t, err := sc.env.Tx.Table(sc.env.DB, name)
	sc.table = t
	return err
}

func (sc *scope) runSelect(s sqltext.Select) (*Result, error) {
	if s.From != "" {
		if err := sc.useTable(s.From); err != nil {
			return nil, err
		}
	}
	if s.ForUpdate {
		if err := sc.env.Conn.CheckWrite("SELECT FOR UPDATE"); err != nil {
			return nil, err
		}
	}
	cols, err := sc.cols(s.Items)
	if err != nil {
		return nil, err
	}
	limit, err := sc.limit(s.Limit)
	if err != nil {
		return nil, err
	}
	next, err := sc.selectRows(s)
	if err != nil {
		return nil, err
	}
	rows := 0
	return &Result{
		Cols: cols,
		Next: func() (store.Row, bool, error) {
			if rows >= limit {
				return nil, false, nil
			}
			row, ok, err := next()
			if ok {
				rows++
			}
			return row, ok, err
		},
		Tag: func() string { return "SELECT " + strconv.Itoa(rows) },
	}, nil
}

// limit evaluates the LIMIT clause. Without one, or with NULL, it returns the
// largest int.
func (sc *scope) limit(e sqltext.Expr) (int, error) {
	const noLimit = int(^uint(0) >> 1)
	if e == nil {
		return noLimit, nil
	}
	v, err := sc.eval(e)
	if err != nil || v.Null {
		return noLimit, err
	}
	n, err := strconv.Atoi(v.Text)
	if err != nil || n < 0 {
		return 0, &sqltext.Error{Code: "2201W", Message: "LIMIT must not be negative"}
	}
	return n, nil
}

// rowSource returns the next row of a query, or false after the last one.
type rowSource func() (store.Row, bool, error)

// selectRows returns the rows of a SELECT without regard to its LIMIT.
func (sc *scope) selectRows(s sqltext.Select) (rowSource, error) {
	if s.From == "" {
		return sc.constantRows(s)
	}
	keys, err := sc.matchingKeys(s.Where, s.ForUpdate)
	if err != nil {
		return nil, err
	}
	if isAggregate(s.Items) {
		return sc.aggregateRow(s.Items, keys)
	}
	if err := sc.sortKeys(keys, s.OrderBy); err != nil {
		return nil, err
	}
	i := 0
	return func() (store.Row, bool, error) {
		for i < len(keys) {
			if sc.ctx.Err() != nil {
				return nil, false, Canceled()
			}
			sc.row = sc.env.Tx.Get(sc.env.DB, sc.table, keys[i])
			i++
			if sc.row == nil {
				continue
			}
			row, err := sc.project(s.Items)
			return row, err == nil, err
		}
		return nil, false, nil
	}, nil
}

// constantRows returns the rows of a SELECT without a table: one row, or one for
// each number of a generate_series.
func (sc *scope) constantRows(s sqltext.Select) (rowSource, error) {
	series := slices.IndexFunc(s.Items, func(it sqltext.Item) bool {
		c, ok := it.Expr.(sqltext.Call)
		return ok && c.Name == "generate_series"
	})
	if series < 0 {
		done := false
		return func() (store.Row, bool, error) {
			if done {
				return nil, false, nil
			}
			done = true
			row, err := sc.project(s.Items)
			return row, err == nil, err
		}, nil
	}
	from, to, err := sc.seriesBounds(s.Items[series].Expr.(sqltext.Call))
	if err != nil {
		return nil, err
	}
	items := slices.Clone(s.Items)
	return func() (store.Row, bool, error) {
		if sc.ctx.Err() != nil {
			return nil, false, Canceled()
		}
		if from > to {
			return nil, false, nil
		}
		items[series].Expr = sqltext.Literal{Text: strconv.FormatInt(from, 10)}
		from++
		row, err := sc.project(items)
		return row, err == nil, err
	}, nil
}

func (sc *scope) seriesBounds(c sqltext.Call) (from, to int64, err error) {
	if len(c.Args) != 2 {
		return 0, 0, &sqltext.Error{Code: "42883", Message: "generate_series takes two arguments here"}
	}
	var bounds [2]int64
	for i, a := range c.Args {
		v, err := sc.eval(a)
		if err != nil {
			return 0, 0, err
		}
		bounds[i], err = strconv.ParseInt(v.Text, 10, 64)
		if err != nil {
			return 0, 0, invalidInput(v.Text, sqltext.Int8)
		}
	}
	return bounds[0], bounds[1], nil
}

// keyFromConds returns the key if the conditions set the key column equal to a
// value, and false otherwise. No row with another key can satisfy them.
func (sc *scope) keyFromConds(conds []sqltext.Cond) (string, bool, error) {
	if sc.table.KeyCol < 0 {
		return "", false, nil
	}
	keyCol := sc.table.Columns[sc.table.KeyCol]
	for _, c := range conds {
		col, ok := c.L.(sqltext.Column)
		if !ok || c.Op != "=" || col.Name != keyCol.Name {
			continue
		}
		switch c.R[0].(type) {
		case sqltext.Literal, sqltext.Param, sqltext.Cast:
		default:
			continue
		}
		v, err := sc.eval(c.R[0])
		if err != nil {
			return "", false, err
		}
		v, err = Coerce(v, keyCol.Type)
		return v.Text, !v.Null, err
	}
	return "", false, nil
}

// matchingKeys returns the keys of the rows that satisfy the conditions, in key
// order. With lock set it locks each of these rows and then evaluates the
// conditions again, because the row can have changed in the meantime.
func (sc *scope) matchingKeys(conds []sqltext.Cond, lock bool) ([]string, error) {
	key, one, err := sc.keyFromConds(conds)
	if err != nil {
		return nil, err
	}
	var keys []string
	if one {
		keys = []string{key}
	} else {
		keys = sc.env.Tx.Keys(sc.env.DB, sc.table)
	}
	out := keys[:0]
	for _, k := range keys {
		ok, err := sc.matchesKey(k, conds)
		if err == nil && ok && lock {
			if err = sc.env.Tx.Lock(sc.ctx, sc.env.DB, sc.table, k); err == nil {
				ok, err = sc.matchesKey(k, conds)
			}
		}
		if err != nil {
			return nil, err
		}
		if ok {
			out = append(out, k)
		}
	}
	return out, nil
}

func (sc *scope) matchesKey(key string, conds []sqltext.Cond) (bool, error) {
	if sc.ctx.Err() != nil {
		return false, Canceled()
	}
	sc.row = sc.env.Tx.Get(sc.env.DB, sc.table, key)
	if sc.row == nil {
		return false, nil
	}
	return sc.matches(conds)
}

// sortKeys sorts keys by the columns of ORDER BY. It sorts by the last column
// first, which gives the right order because the sort is stable.
func (sc *scope) sortKeys(keys []string, by []sqltext.Order) error {
	for _, o := range slices.Backward(by) {
		_, i, err := sc.column(o.Column)
		if err != nil {
			return err
		}
		t := sc.table.Columns[i].Type
		values := make(map[string]string, len(keys))
		for _, k := range keys {
			if row := sc.env.Tx.Get(sc.env.DB, sc.table, k); row != nil {
				values[k] = row[i].Text
			}
		}
		slices.SortStableFunc(keys, func(a, b string) int {
			n := store.CompareText(t, values[a], values[b])
			if o.Desc {
				return -n
			}
			return n
		})
	}
	return nil
}

func isAggregate(items []sqltext.Item) bool {
	return slices.ContainsFunc(items, func(it sqltext.Item) bool {
		c, ok := it.Expr.(sqltext.Call)
		return ok && (c.Name == "count" || c.Name == "sum" || c.Name == "min" || c.Name == "max")
	})
}

// aggregateRow returns the one row of a query whose items are all aggregates.
func (sc *scope) aggregateRow(items []sqltext.Item, keys []string) (rowSource, error) {
	out := make(store.Row, len(items))
	for i, it := range items {
		c, ok := it.Expr.(sqltext.Call)
		if !ok || len(c.Args) > 1 {
			return nil, &sqltext.Error{Code: "42803", Message: "only aggregates may stand beside an aggregate here"}
		}
		v, err := sc.evalAggregate(c, keys)
		if err != nil {
			return nil, err
		}
		out[i] = v
	}
	done := false
	return func() (store.Row, bool, error) {
		if done {
			return nil, false, nil
		}
		done = true
		return out, true, nil
	}, nil
}

func (sc *scope) evalAggregate(c sqltext.Call, keys []string) (store.Value, error) {
	count, sum := int64(0), int64(0)
	extremum := store.Value{Null: true}
	for _, k := range keys {
		sc.row = sc.env.Tx.Get(sc.env.DB, sc.table, k)
		if sc.row == nil {
			continue
		}
		if len(c.Args) == 0 {
			count++
			continue
		}
		v, err := sc.eval(c.Args[0])
		if err != nil {
			return v, err
		}
		if v.Null {
			continue
		}
		count++
		if c.Name == "sum" {
			n, err := strconv.ParseInt(v.Text, 10, 64)
			if err != nil {
				return v, invalidInput(v.Text, sqltext.Int8)
			}
			sum += n
		}
		n := store.CompareText(sc.typeOf(c.Args[0]), v.Text, extremum.Text)
		if extremum.Null || c.Name == "min" && n < 0 || c.Name == "max" && n > 0 {
			extremum = v
		}
	}
	switch {
	case c.Name == "count":
		return intValue(count), nil
	case c.Name == "sum" && count > 0:
		return intValue(sum), nil
	case c.Name == "sum":
		return store.Value{Null: true}, nil
	}
	return extremum, nil
}

// columnIndexes returns the indexes of the named columns, or of all columns if
// names is nil.
func columnIndexes(t *store.Table, names []string) ([]int, error) {
	var idx []int
	if names == nil {
		for i := range t.Columns {
			idx = append(idx, i)
		}
		return idx, nil
	}
	for _, n := range names {
		i := t.Column(n)
		if i < 0 {
			return nil, &sqltext.Error{Code: "42703",
				Message: "column " + strconv.Quote(n) + " of relation " + strconv.Quote(t.Name) + " does not exist"}
		}
		idx = append(idx, i)
	}
	return idx, nil
}

// assignment is a column's index and the expression for its new value.
type assignment struct {
	index int
	value sqltext.Expr
}

// assignments returns the assignments in column order.
func (sc *scope) assignments(as []sqltext.Assignment) ([]assignment, error) {
	var out []assignment
	for _, a := range as {
		idx, err := columnIndexes(sc.table, []string{a.Column})
		if err != nil {
			return nil, err
		}
		out = append(out, assignment{idx[0], a.Value})
	}
	slices.SortFunc(out, func(a, b assignment) int { return cmp.Compare(a.index, b.index) })
	return out, nil
}
