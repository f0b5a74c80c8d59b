package exec

import (
	"context"
	"strconv"
	"strings"
	"time"

	"hemlockmast/internal/testing/standin/sqltext"
	"hemlockmast/internal/testing/standin/store"
)

// maxRepeat is the maximum length of repeat()'s result in bytes.
const maxRepeat = 64 << 20

// scope holds what the expressions of one statement refer to: its environment,
// its table, the current row, and the row that an INSERT with ON CONFLICT
// proposes.
type scope struct {
	env      *Env
	ctx      context.Context
	table    *store.Table
	row      store.Row
	excluded store.Row
}

// typeOf returns the type of an expression, Unknown if it cannot be told, as for
// a quoted literal.
func (sc *scope) typeOf(e sqltext.Expr) sqltext.Type {
	switch e := e.(type) {
	case sqltext.Literal:
		return e.Type
	case sqltext.Cast:
		return e.Type
	case sqltext.Param:
		if e.N <= len(sc.env.ParamTypes) {
			return sc.env.ParamTypes[e.N-1]
		}
	case sqltext.Column:
		if _, i, err := sc.column(e.Name); err == nil {
			return sc.table.Columns[i].Type
		}
	case sqltext.Binary:
		return sc.typeOfBinary(e)
	case sqltext.Call:
		return sc.typeOfCall(e)
	}
	return sqltext.Unknown
}

func (sc *scope) typeOfBinary(e sqltext.Binary) sqltext.Type {
	if e.Op == "||" {
		return sqltext.Text
	}
	l, r := sc.typeOf(e.L), sc.typeOf(e.R)
	switch {
	case l == sqltext.Float8 || r == sqltext.Float8:
		return sqltext.Float8
	case l == sqltext.Int8 || r == sqltext.Int8:
		return sqltext.Int8
	}
	return sqltext.Int4
}

func (sc *scope) typeOfCall(e sqltext.Call) sqltext.Type {
	switch e.Name {
	case "count", "sum":
		return sqltext.Int8
	case "min", "max", "coalesce":
		if len(e.Args) > 0 {
			return sc.typeOf(e.Args[0])
		}
	case "generate_series":
		for _, a := range e.Args {
			if sc.typeOf(a) == sqltext.Int8 {
				return sqltext.Int8
			}
		}
		return sqltext.Int4
	case "pg_backend_pid", "length":
		return sqltext.Int4
	case "pg_is_in_recovery":
		return sqltext.Bool
	case "pg_sleep":
		return sqltext.Void
	}
	return sqltext.Text
}

// column returns the row to which a column name refers, the current or the
// proposed one, and the column's index.
func (sc *scope) column(name string) (store.Row, int, error) {
	row := sc.row
	base := name
	if rest, ok := strings.CutPrefix(name, "excluded."); ok {
		row, base = sc.excluded, rest
	} else if sc.table != nil {
		base = strings.TrimPrefix(name, sc.table.Name+".")
	}
	if sc.table != nil {
		if i := sc.table.Column(base); i >= 0 {
			return row, i, nil
		}
	}
	return nil, 0, &sqltext.Error{Code: "42703", Message: "column " + strconv.Quote(name) + " does not exist"}
}

func (sc *scope) eval(e sqltext.Expr) (store.Value, error) {
	switch e := e.(type) {
	case sqltext.Literal:
		return store.Value{Null: e.Null, Text: e.Text}, nil
	case sqltext.Param:
		if e.N > len(sc.env.Params) {
			return store.Value{}, &sqltext.Error{Code: "42P02", Message: "there is no parameter $" + strconv.Itoa(e.N)}
		}
		return sc.env.Params[e.N-1], nil
	case sqltext.Column:
		row, i, err := sc.column(e.Name)
		if err != nil {
			return store.Value{}, err
		}
		if i >= len(row) {
			return store.Value{Null: true}, nil
		}
		return row[i], nil
	case sqltext.Cast:
		v, err := sc.eval(e.Arg)
		if err != nil {
			return v, err
		}
		return Coerce(v, e.Type)
	case sqltext.Binary:
		return sc.evalBinary(e)
	case sqltext.Call:
		return sc.evalCall(e)
	}
	return store.Value{}, &sqltext.Error{Code: sqltext.CodeUnsupported, Message: "expression is not supported"}
}

func (sc *scope) evalBinary(e sqltext.Binary) (store.Value, error) {
	l, err := sc.eval(e.L)
	if err != nil {
		return l, err
	}
	r, err := sc.eval(e.R)
	if err != nil || l.Null || r.Null {
		return store.Value{Null: true}, err
	}
	if e.Op == "||" {
		return store.Value{Text: l.Text + r.Text}, nil
	}
	t := sc.typeOfBinary(e)
	if t == sqltext.Float8 {
		return floatOp(e.Op, l.Text, r.Text)
	}
	x, errX := strconv.ParseInt(l.Text, 10, 64)
	y, errY := strconv.ParseInt(r.Text, 10, 64)
	if errX != nil || errY != nil {
		return store.Value{}, invalidInput(l.Text+" "+e.Op+" "+r.Text, t)
	}
	switch e.Op {
	case "+":
		x += y
	case "-":
		x -= y
	default:
		x *= y
	}
	return Coerce(intValue(x), t)
}

func floatOp(op, l, r string) (store.Value, error) {
	x, errX := strconv.ParseFloat(l, 64)
	y, errY := strconv.ParseFloat(r, 64)
	if errX != nil || errY != nil {
		return store.Value{}, invalidInput(l+" "+op+" "+r, sqltext.Float8)
	}
	switch op {
	case "+":
		return floatValue(x + y), nil
	case "-":
		return floatValue(x - y), nil
	}
	return floatValue(x * y), nil
}

func (sc *scope) evalCall(e sqltext.Call) (store.Value, error) {
	args := make([]store.Value, len(e.Args))
	for i, a := range e.Args {
		v, err := sc.eval(a)
		if err != nil {
			return v, err
		}
		args[i] = v
	}
	conn := sc.env.Conn
	switch {
	case e.Name == "version" && len(args) == 0:
		return store.Value{Text: "PostgreSQL 16.0 (hemlockmast stand-in endpoint)"}, nil
	case e.Name == "current_database" && len(args) == 0, e.Name == "current_catalog":
		return store.Value{Text: sc.env.DB}, nil
	case e.Name == "current_schema" && len(args) == 0:
		return store.Value{Text: "public"}, nil
	case e.Name == "current_user", e.Name == "session_user":
		return settingValue(conn, "session_authorization")
	case e.Name == "pg_backend_pid" && len(args) == 0:
		return intValue(int64(conn.PID())), nil
	case e.Name == "pg_is_in_recovery" && len(args) == 0:
		return boolValue(conn.InRecovery()), nil
	case e.Name == "current_setting" && len(args) == 2:
		v, _ := conn.Setting(args[0].Text)
		return store.Value{Text: v}, nil
	case e.Name == "current_setting" && len(args) == 1:
		return settingValue(conn, args[0].Text)
	case e.Name == "set_config" && len(args) == 3:
		conn.SetSetting(args[0].Text, args[1].Text, args[2].Text == "t" || args[2].Text == "true")
		return args[1], nil
	case e.Name == "pg_sleep" && len(args) == 1:
		return store.Value{}, sc.sleep(args[0])
	case e.Name == "repeat" && len(args) == 2:
		return repeat(args)
	case e.Name == "length" && len(args) == 1:
		return intValue(int64(len([]rune(args[0].Text)))), nil
	case e.Name == "coalesce" && len(args) > 0:
		for _, a := range args {
			if !a.Null {
				return a, nil
			}
		}
		return store.Value{Null: true}, nil
	}
	return store.Value{}, &sqltext.Error{Code: "42883",
		Message: "function " + e.Name + " with " + strconv.Itoa(len(args)) + " arguments does not exist"}
}

func settingValue(conn Conn, name string) (store.Value, error) {
	v, ok := conn.Setting(name)
	if !ok {
		return store.Value{}, &sqltext.Error{Code: sqltext.CodeUndefinedObject,
			Message: "unrecognized configuration parameter " + strconv.Quote(name)}
	}
	return store.Value{Text: v}, nil
}

func repeat(args []store.Value) (store.Value, error) {
	n, err := strconv.Atoi(args[1].Text)
	if err != nil {
		return store.Value{}, invalidInput(args[1].Text, sqltext.Int4)
	}
	n = max(n, 0)
	if len(args[0].Text) > 0 && n > maxRepeat/len(args[0].Text) {
		return store.Value{}, &sqltext.Error{Code: "54000", Message: "requested length too large"}
	}
	return store.Value{Text: strings.Repeat(args[0].Text, n)}, nil
}

func (sc *scope) sleep(v store.Value) error {
	seconds, err := strconv.ParseFloat(v.Text, 64)
	if err != nil {
		return invalidInput(v.Text, sqltext.Float8)
	}
	t := time.NewTimer(time.Duration(seconds * float64(time.Second)))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-sc.ctx.Done():
		return Canceled()
	}
}

// Canceled returns the error of a canceled statement.
func Canceled() error {
	return &sqltext.Error{Code: "57014", Message: "canceling statement due to user request"}
}

// matches reports whether the current row satisfies all conditions.
func (sc *scope) matches(conds []sqltext.Cond) (bool, error) {
	for _, c := range conds {
		ok, err := sc.matchesCond(c)
		if err != nil || !ok {
			return false, err
		}
	}
	return true, nil
}

func (sc *scope) matchesCond(c sqltext.Cond) (bool, error) {
	l, err := sc.eval(c.L)
	if err != nil {
		return false, err
	}
	for _, e := range c.R {
		r, err := sc.eval(e)
		if err != nil {
			return false, err
		}
		if l.Null || r.Null {
			continue
		}
		t := sc.typeOf(c.L)
		if t == sqltext.Unknown {
			t = sc.typeOf(e)
		}
		if r, err = Coerce(r, t); err != nil {
			return false, err
		}
		if compareOp(c.Op, store.CompareText(t, l.Text, r.Text)) {
			return true, nil
		}
	}
	return false, nil
}

// compareOp reports whether a comparison holds for operands whose order is that
// of cmp.Compare.
func compareOp(op string, order int) bool {
	switch op {
	case "=", "in":
		return order == 0
	case "<>":
		return order != 0
	case "<":
		return order < 0
	case ">":
		return order > 0
	case "<=":
		return order <= 0
	}
	return order >= 0
}
