package standin

import (
	"context"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"hemlockmast/internal/testing/standin/exec"
	"hemlockmast/internal/testing/standin/node"
	"hemlockmast/internal/testing/standin/sqltext"
	"hemlockmast/internal/testing/standin/store"
)

// simpleQuery runs the statements of one Query message. They are one transaction
// unless transaction commands are among them.
func (s *session) simpleQuery(text string) {
	stmts, err := sqltext.Parse(text)
	if err != nil {
		s.failTransaction()
		s.sendError(err)
		return
	}
	if len(stmts) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	delete(s.statements, "")
	delete(s.portals, "")
	for i, stmt := range stmts {
		if err := s.simpleStatement(stmt, i == len(stmts)-1); err != nil {
			s.failTransaction()
			s.sendError(err)
			return
		}
	}
}

func (s *session) simpleStatement(stmt sqltext.Stmt, last bool) error {
	if h, ok := stmt.(sqltext.Hemlock); ok && h.Words[0] == replicateCommand {
		s.replicate(h.Words)
		return nil
	}
	ctx, done := s.statementContext()
	defer done()
	res, err := s.runStatement(ctx, stmt, nil, nil)
	if err != nil {
		return err
	}
	if res.Cols != nil {
		s.backend.Send(rowDescription(res.Cols, nil))
	}
	if _, err := s.sendRows(ctx, res, res.Cols, nil, 0); err != nil {
		return err
	}
	if last && s.block == blockImplicit {
		if err := s.commit(); err != nil {
			return err
		}
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.Tag())})
	return nil
}

// runStatement runs a statement and opens a transaction if the statement needs
// one. types and params are those of the statement's parameters.
func (s *session) runStatement(ctx context.Context, stmt sqltext.Stmt, types []sqltext.Type, params []store.Value) (*exec.Result, error) {
	if s.block == blockFailed {
		switch stmt.(type) {
		case sqltext.Commit, sqltext.Rollback:
		default:
			return nil, failedBlockError()
		}
	}
	if h, ok := stmt.(sqltext.Hemlock); ok {
		return s.runHemlock(ctx, h.Words)
	}
	if res, err, ok := s.sessionStatement(stmt); ok {
		return res, err
	}
	if !s.e.currentNode().Readable() {
		return nil, &sqltext.Error{Code: "57P03", Message: "the endpoint has not yet been compared with its new primary"}
	}
	s.ensureTransaction()
	env := &exec.Env{Conn: (*sessionConn)(s), Tx: s.tx, DB: s.db, ParamTypes: types, Params: params}
	return exec.Run(ctx, env, stmt)
}

func failedBlockError() error {
	return &sqltext.Error{Code: "25P02",
		Message: "current transaction is aborted, commands ignored until end of transaction block"}
}

// sessionStatement runs a transaction or session command. ok is false for any
// other statement.
func (s *session) sessionStatement(stmt sqltext.Stmt) (res *exec.Result, err error, ok bool) {
	switch t := stmt.(type) {
	case sqltext.Begin:
		if s.block == blockNone {
			s.block = blockImplicit
		}
		s.block = blockExplicit
		s.access = t.Access
		return exec.Command("BEGIN"), nil, true
	case sqltext.Commit:
		if s.block == blockFailed {
			s.resetTransaction(blockNone)
			return exec.Command("ROLLBACK"), nil, true
		}
		return exec.Command("COMMIT"), s.commit(), true
	case sqltext.Rollback:
		s.resetTransaction(blockNone)
		return exec.Command("ROLLBACK"), nil, true
	case sqltext.SetTransaction:
		s.setAccessMode(t)
		return exec.Command("SET"), nil, true
	case sqltext.Set:
		if !s.settings.canSet(t.Name) {
			return nil, unknownSettingError(t.Name), true
		}
		s.ensureBlock()
		s.settings.set(t.Name, t.Value, t.Local)
		return exec.Command("SET"), nil, true
	case sqltext.Show:
		res, err := s.show(t.Name)
		return res, err, true
	case sqltext.Reset:
		s.ensureBlock()
		s.settings.reset(t.Name)
		return exec.Command("RESET"), nil, true
	case sqltext.Discard:
		return s.discard()
	case sqltext.Deallocate:
		return s.deallocate(t)
	case sqltext.Listen:
		return exec.Command(t.Tag), nil, true
	}
	return nil, nil, false
}

// ensureBlock opens an implicit transaction block if none is open, because a
// change of settings is part of a transaction.
func (s *session) ensureBlock() {
	if s.block == blockNone {
		s.block = blockImplicit
	}
}

func (s *session) setAccessMode(t sqltext.SetTransaction) {
	if !t.Session {
		s.access = t.Access
		return
	}
	value := "off"
	if t.Access == sqltext.AccessReadOnly {
		value = "on"
	}
	s.ensureBlock()
	s.settings.set("default_transaction_read_only", value, false)
}

func unknownSettingError(name string) error {
	return &sqltext.Error{Code: sqltext.CodeUndefinedObject,
		Message: "unrecognized configuration parameter " + strconv.Quote(name)}
}

// show runs SHOW.
func (s *session) show(name string) (*exec.Result, error) {
	value, ok := s.settings.get(name)
	switch name {
	case "transaction_read_only":
		value, ok = onOff(s.isReadOnly() || !s.e.currentNode().Writable()), true
	case "in_hot_standby":
		value, ok = onOff(!s.e.currentNode().Writable()), true
	}
	if !ok {
		return nil, unknownSettingError(name)
	}
	res := exec.Rows([]exec.Col{{Name: name, Type: sqltext.Text}}, []store.Row{{{Text: value}}}, "SHOW")
	res.Tag = func() string { return "SHOW" }
	return res, nil
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

func (s *session) discard() (*exec.Result, error, bool) {
	if s.block == blockExplicit {
		err := &sqltext.Error{Code: "25001", Message: "DISCARD ALL cannot run inside a transaction block"}
		return nil, err, true
	}
	s.ensureBlock()
	s.settings.reset("")
	clear(s.statements)
	return exec.Command("DISCARD ALL"), nil, true
}

func (s *session) deallocate(t sqltext.Deallocate) (*exec.Result, error, bool) {
	if t.Name == "" {
		clear(s.statements)
		return exec.Command("DEALLOCATE ALL"), nil, true
	}
	if s.statements[t.Name] == nil {
		return nil, unknownStatementError(t.Name), true
	}
	delete(s.statements, t.Name)
	return exec.Command("DEALLOCATE"), nil, true
}

func unknownStatementError(name string) error {
	return &sqltext.Error{Code: "26000", Message: "prepared statement " + strconv.Quote(name) + " does not exist"}
}

// isReadOnly reports whether the transaction's access mode is read-only.
func (s *session) isReadOnly() bool {
	if s.access == sqltext.AccessDefault {
		v, _ := s.settings.get("default_transaction_read_only")
		return v == "on" || v == "true" || v == "1"
	}
	return s.access == sqltext.AccessReadOnly
}

// sessionConn implements exec.Conn.
type sessionConn session

func (c *sessionConn) Setting(name string) (string, bool) {
	return c.settings.get(name)
}

func (c *sessionConn) SetSetting(name, value string, local bool) {
	c.settings.set(name, value, local)
}

func (c *sessionConn) InRecovery() bool { return !c.e.currentNode().Writable() }

func (c *sessionConn) PID() uint32 { return c.pid }

func (c *sessionConn) CheckWrite(command string) error {
	if (*session)(c).isReadOnly() || !c.e.currentNode().Writable() {
		return node.ReadOnlyError(command)
	}
	return nil
}

// sendRows sends at most limit rows of a result, or all if limit is 0, and
// reports whether the result is at its end. Rows are computed no faster than the
// client reads them.
func (s *session) sendRows(ctx context.Context, res *exec.Result, cols []exec.Col, formats []int16, limit uint32) (bool, error) {
	var buf pgproto3.DataRow
	for sent := uint32(0); limit == 0 || sent < limit; sent++ {
		row, ok, err := res.Next()
		if err != nil {
			return false, err
		}
		if !ok {
			return true, nil
		}
		buf.Values = buf.Values[:0]
		for i, v := range row {
			raw := exec.Encode(v, cols[i].Type, formatOf(formats, i))
			buf.Values = append(buf.Values, raw)
			s.pendingBytes += len(raw)
		}
		s.backend.Send(&buf)
		if s.pendingBytes += len(row); s.pendingBytes > flushThreshold {
			if err := s.flush(); err != nil {
				s.closed = true
				return false, err
			}
		}
		if ctx.Err() != nil {
			return false, exec.Canceled()
		}
	}
	return false, nil
}

// formatOf returns the format code of value i. A single format code applies to
// all values. Without format codes all values are text.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return 0
}

func rowDescription(cols []exec.Col, formats []int16) *pgproto3.RowDescription {
	out := &pgproto3.RowDescription{}
	for i, c := range cols {
		out.Fields = append(out.Fields, pgproto3.FieldDescription{
			Name:         []byte(strings.Clone(c.Name)),
			DataTypeOID:  exec.OID(c.Type),
			DataTypeSize: exec.Size(c.Type),
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		})
	}
	return out
}
