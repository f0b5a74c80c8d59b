package standin

import (
	"slices"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"hemlockmast/internal/testing/standin/exec"
	"hemlockmast/internal/testing/standin/sqltext"
	"hemlockmast/internal/testing/standin/store"
)

func (s *session) parse(m *pgproto3.Parse) error {
	if m.Name != "" && s.statements[m.Name] != nil {
		return &sqltext.Error{Code: "42P05", Message: "prepared statement " + strconv.Quote(m.Name) + " already exists"}
	}
	stmts, err := sqltext.Parse(m.Query)
	if err != nil {
		return err
	}
	if len(stmts) > 1 {
		return &sqltext.Error{Code: sqltext.CodeSyntax, Message: "cannot insert multiple commands into a prepared statement"}
	}
	p := &prepared{text: m.Query}
	if len(stmts) == 1 {
		p.stmt = stmts[0]
		if err := s.analyze(p, m.ParameterOIDs); err != nil {
			return err
		}
	}
	s.statements[m.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// analyze determines the statement's parameter types and result columns.
func (s *session) analyze(p *prepared, oids []uint32) error {
	switch p.stmt.(type) {
	case sqltext.Commit, sqltext.Rollback:
		return nil
	case sqltext.Hemlock:
		return &sqltext.Error{Code: sqltext.CodeUnsupported, Message: "HEMLOCK commands are simple queries"}
	}
	if s.block == blockFailed {
		return failedBlockError()
	}
	s.ensureTransaction()
	env := &exec.Env{Conn: (*sessionConn)(s), Tx: s.tx, DB: s.db}
	var err error
	p.params, p.cols, err = exec.Describe(env, p.stmt, oids)
	return err
}

func (s *session) bind(m *pgproto3.Bind) error {
	p := s.statements[m.PreparedStatement]
	if p == nil {
		return unknownStatementError(m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.params) {
		return &sqltext.Error{Code: "08P01", Message: "bind message supplies " + strconv.Itoa(len(m.Parameters)) +
			" parameters, but prepared statement requires " + strconv.Itoa(len(p.params))}
	}
	values := make([]store.Value, len(m.Parameters))
	for i, raw := range m.Parameters {
		v, err := exec.Decode(raw, p.params[i], formatOf(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		values[i] = v
	}
	s.portals[m.DestinationPortal] = &portal{prepared: p, values: values, formats: slices.Clone(m.ResultFormatCodes)}
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		po := s.portals[m.Name]
		if po == nil {
			return unknownPortalError(m.Name)
		}
		s.sendColumns(po.cols, po.formats)
		return nil
	}
	p := s.statements[m.Name]
	if p == nil {
		return unknownStatementError(m.Name)
	}
	desc := &pgproto3.ParameterDescription{}
	for _, t := range p.params {
		desc.ParameterOIDs = append(desc.ParameterOIDs, exec.OID(t))
	}
	s.backend.Send(desc)
	s.sendColumns(p.cols, nil)
	return nil
}

func (s *session) sendColumns(cols []exec.Col, formats []int16) {
	if cols == nil {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	s.backend.Send(rowDescription(cols, formats))
}

func unknownPortalError(name string) error {
	return &sqltext.Error{Code: "34000", Message: "portal " + strconv.Quote(name) + " does not exist"}
}

func (s *session) execute(m *pgproto3.Execute) error {
	po := s.portals[m.Portal]
	if po == nil {
		return unknownPortalError(m.Portal)
	}
	if po.stmt == nil {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	ctx, done := s.statementContext()
	defer done()
	if po.result == nil {
		res, err := s.runStatement(ctx, po.stmt, po.params, po.values)
		if err != nil {
			return err
		}
		if len(res.Cols) != len(po.cols) {
			return &sqltext.Error{Code: sqltext.CodeUnsupported, Message: "cached plan must not change result type"}
		}
		po.result = res
	}
	end, err := s.sendRows(ctx, po.result, po.cols, po.formats, m.MaxRows)
	if err != nil {
		return err
	}
	if !end {
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(po.result.Tag())})
	return nil
}

func (s *session) closeObject(m *pgproto3.Close) {
	if m.ObjectType == 'P' {
		delete(s.portals, m.Name)
	} else {
		delete(s.statements, m.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
}
