// Package exec runs parsed statements of the stand-in endpoint in a transaction
// and returns their rows one at a time.
package exec

import (
	"context"
	"strconv"

	"hemlockmast/internal/testing/standin/sqltext"
	"hemlockmast/internal/testing/standin/store"
)

// Conn is the state of the connection on which a statement runs.
type Conn interface {
	// Setting returns a session setting and whether it exists.
	Setting(name string) (string, bool)
	// SetSetting changes a setting. If local is set, the change lasts until the
	// transaction ends.
	SetSetting(name, value string, local bool)
	// InRecovery is the result of pg_is_in_recovery: true on an endpoint that
	// accepts no writes, such as a replica.
	InRecovery() bool
	// PID returns the connection's process id, as pg_backend_pid does.
	PID() uint32
	// CheckWrite returns an error if the transaction or the endpoint is
	// read-only. command is the name of the command in the error's message.
	CheckWrite(command string) error
}

// Env is the environment in which one statement runs. DB is the database of the
// connection. Params holds the values of the statement's parameters.
type Env struct {
	Conn       Conn
	Tx         *store.Tx
	DB         string
	ParamTypes []sqltext.Type
	Params     []store.Value
}

// Col describes one column of a result.
type Col struct {
	Name string
	Type sqltext.Type
}

// Result is the result of a statement. Next returns the next row, or false after
// the last one. Tag returns the command tag and is valid after the last row. Cols
// is nil for a statement that returns no rows.
type Result struct {
	Cols []Col
	Next func() (store.Row, bool, error)
	Tag  func() string
}

// Run runs a query, a data change, CREATE TABLE or DROP TABLE. Changes are made
// before Run returns. Rows of a query are computed by Result.Next. Errors:
// *sqltext.Error.
func Run(ctx context.Context, env *Env, stmt sqltext.Stmt) (*Result, error) {
	sc := &scope{env: env, ctx: ctx}
	switch s := stmt.(type) {
	case sqltext.Select:
		return sc.runSelect(s)
	case sqltext.Insert:
		return sc.runInsert(s)
	case sqltext.Update:
		return sc.runUpdate(s)
	case sqltext.Delete:
		return sc.runDelete(s)
	case sqltext.CreateTable:
		if err := env.Conn.CheckWrite("CREATE TABLE"); err != nil {
			return nil, err
		}
		_, err := env.Tx.CreateTable(ctx, env.DB, s)
		return Command("CREATE TABLE"), err
	case sqltext.DropTable:
		if err := env.Conn.CheckWrite("DROP TABLE"); err != nil {
			return nil, err
		}
		_, err := env.Tx.DropTable(ctx, env.DB, s)
		return Command("DROP TABLE"), err
	}
	return nil, &sqltext.Error{Code: sqltext.CodeUnsupported, Message: "statement is not supported here"}
}

// Command returns the result of a statement without rows.
func Command(tag string) *Result {
	return &Result{
		Next: func() (store.Row, bool, error) { return nil, false, nil },
		Tag:  func() string { return tag },
	}
}

// Rows returns a result of the given rows. Its tag is verb and the number of
// rows.
func Rows(cols []Col, rows []store.Row, verb string) *Result {
	i := 0
	return &Result{
		Cols: cols,
		Next: func() (store.Row, bool, error) {
			if i >= len(rows) {
				return nil, false, nil
			}
			i++
			return rows[i-1], true, nil
		},
		Tag: func() string { return verb + " " + strconv.Itoa(len(rows)) },
	}
}

// Describe returns the types of a statement's parameters and its result columns.
// declared holds the OIDs of the parameter types that the client declared, 0 for
// an unknown type. A parameter whose type cannot be inferred is text.
func Describe(env *Env, stmt sqltext.Stmt, declared []uint32) ([]sqltext.Type, []Col, error) {
	inf := &inference{sc: scope{env: env, ctx: context.Background()}}
	for i, oid := range declared {
		t, err := typeOfOID(oid)
		if err != nil {
			return nil, nil, err
		}
		inf.setType(i+1, t)
	}
	if err := inf.statement(stmt); err != nil {
		return nil, nil, err
	}
	for i, t := range inf.types {
		if t == sqltext.Unknown {
			inf.types[i] = sqltext.Text
		}
	}
	sc := inf.sc
	sc.env = &Env{Conn: env.Conn, Tx: env.Tx, DB: env.DB, ParamTypes: inf.types}
	cols, err := sc.statementCols(stmt)
	return inf.types, cols, err
}

func (sc *scope) statementCols(stmt sqltext.Stmt) ([]Col, error) {
	switch s := stmt.(type) {
	case sqltext.Select:
		return sc.cols(s.Items)
	case sqltext.Insert:
		return sc.cols(s.Returning)
	case sqltext.Update:
		return sc.cols(s.Returning)
	case sqltext.Delete:
		return sc.cols(s.Returning)
	case sqltext.Show:
		return []Col{{Name: s.Name, Type: sqltext.Text}}, nil
	}
	return nil, nil
}

func (sc *scope) cols(items []sqltext.Item) ([]Col, error) {
	var out []Col
	for _, it := range items {
		if it.Star {
			if sc.table == nil {
				return nil, &sqltext.Error{Code: sqltext.CodeSyntax, Message: "SELECT * with no tables specified is not valid"}
			}
			for _, c := range sc.table.Columns {
				out = append(out, Col{Name: c.Name, Type: c.Type})
			}
			continue
		}
		if c, ok := it.Expr.(sqltext.Column); ok {
			if _, _, err := sc.column(c.Name); err != nil {
				return nil, err
			}
		}
		t := sc.typeOf(it.Expr)
		if t == sqltext.Unknown {
			t = sqltext.Text
		}
		out = append(out, Col{Name: it.Name, Type: t})
	}
	return out, nil
}

// project evaluates a select list for the current row.
func (sc *scope) project(items []sqltext.Item) (store.Row, error) {
	out := make(store.Row, 0, len(items))
	for _, it := range items {
		if it.Star {
			out = append(out, sc.row...)
			continue
		}
		v, err := sc.eval(it.Expr)
		if err != nil {
			return nil, err
		}
		out = append(out, v)
	}
	return out, nil
}

// inference infers the types of a statement's parameters from the expressions in
// which they occur.
type inference struct {
	sc    scope
	types []sqltext.Type
}

// setType records t as the type of parameter n, unless its type is known already.
func (inf *inference) setType(n int, t sqltext.Type) {
	for len(inf.types) < n {
		inf.types = append(inf.types, sqltext.Unknown)
	}
	if inf.types[n-1] == sqltext.Unknown {
		inf.types[n-1] = t
	}
}

func (inf *inference) useTable(name string) error {
	t, err := inf.sc.env.Tx.Table(inf.sc.env.DB, name)
	inf.sc.table = t
	return err
}

func (inf *inference) statement(stmt sqltext.Stmt) error {
	switch s := stmt.(type) {
	case sqltext.Select:
		if s.From != "" {
			if err := inf.useTable(s.From); err != nil {
				return err
			}
		}
		inf.items(s.Items)
		inf.conds(s.Where)
		inf.expr(s.Limit, sqltext.Int8)
	case sqltext.Insert:
		return inf.insert(s)
	case sqltext.Update:
		if err := inf.useTable(s.Table); err != nil {
			return err
		}
		inf.assigns(s.Set)
		inf.conds(s.Where)
		inf.items(s.Returning)
	case sqltext.Delete:
		if err := inf.useTable(s.Table); err != nil {
			return err
		}
		inf.conds(s.Where)
		inf.items(s.Returning)
	}
	return nil
}

func (inf *inference) insert(s sqltext.Insert) error {
	if err := inf.useTable(s.Table); err != nil {
		return err
	}
	idx, err := columnIndexes(inf.sc.table, s.Columns)
	if err != nil {
		return err
	}
	for _, row := range s.Rows {
		for i, e := range row {
			if i < len(idx) {
				inf.expr(e, inf.sc.table.Columns[idx[i]].Type)
			}
		}
	}
	inf.assigns(s.DoUpdate)
	inf.items(s.Returning)
	return nil
}

func (inf *inference) items(items []sqltext.Item) {
	for _, it := range items {
		inf.expr(it.Expr, sqltext.Unknown)
	}
}

func (inf *inference) conds(conds []sqltext.Cond) {
	for _, c := range conds {
		for _, r := range c.R {
			inf.expr(r, inf.sc.typeOf(c.L))
			inf.expr(c.L, inf.sc.typeOf(r))
		}
	}
}

func (inf *inference) assigns(as []sqltext.Assignment) {
	for _, a := range as {
		if i := inf.sc.table.Column(a.Column); i >= 0 {
			inf.expr(a.Value, inf.sc.table.Columns[i].Type)
		}
	}
}

// expr infers the types of the parameters in e. expected is the type of the
// place at which e stands, Unknown for any.
func (inf *inference) expr(e sqltext.Expr, expected sqltext.Type) {
	switch e := e.(type) {
	case sqltext.Param:
		inf.setType(e.N, expected)
	case sqltext.Cast:
		inf.expr(e.Arg, e.Type)
	case sqltext.Binary:
		if e.Op == "||" {
			expected = sqltext.Text
		} else if expected == sqltext.Unknown {
			expected = sqltext.Int4
		}
		inf.expr(e.L, expected)
		inf.expr(e.R, expected)
	case sqltext.Call:
		for i, a := range e.Args {
			inf.expr(a, argType(e.Name, i))
		}
	}
}

// argType returns the type of argument i, from 0, of a function.
func argType(name string, i int) sqltext.Type {
	switch {
	case name == "generate_series", name == "repeat" && i == 1:
		return sqltext.Int4
	case name == "pg_sleep":
		return sqltext.Float8
	case name == "set_config" && i == 2:
		return sqltext.Bool
	}
	return sqltext.Text
}
