package sqltext

func (p *parser) insert() (Stmt, error) {
	s := Insert{}
	var err error
	if err = p.expectKeyword("into"); err != nil {
		return nil, err
	}
	if s.Table, err = p.tableName(); err != nil {
		return nil, err
	}
	if p.acceptOp("(") {
		if s.Columns, err = p.names(); err != nil {
			return nil, err
		}
	}
	if err = p.expectKeyword("values"); err != nil {
		return nil, err
	}
	for {
		row, err := p.exprList()
		if err != nil {
			return nil, err
		}
		s.Rows = append(s.Rows, row)
		if !p.acceptOp(",") {
			break
		}
	}
	if err = p.onConflict(&s); err != nil {
		return nil, err
	}
	s.Returning, err = p.returning()
	return s, err
}

func (p *parser) onConflict(s *Insert) error {
	if !p.acceptKeywords("on", "conflict") {
		return nil
	}
	if p.acceptOp("(") {
		if _, err := p.names(); err != nil {
			return err
		}
	}
	if p.acceptKeywords("do", "nothing") {
		s.DoNothing = true
		return nil
	}
	if !p.acceptKeywords("do", "update", "set") {
		return p.syntaxError()
	}
	var err error
	s.DoUpdate, err = p.assignments()
	return err
}

// names parses comma-separated identifiers and the closing parenthesis.
func (p *parser) names() ([]string, error) {
	var out []string
	for {
		n, err := p.ident()
		if err != nil {
			return nil, err
		}
		out = append(out, n)
		if p.acceptOp(")") {
			return out, nil
		}
		if err := p.expectOp(","); err != nil {
			return nil, err
		}
	}
}

func (p *parser) assignments() ([]Assignment, error) {
	var out []Assignment
	for {
		name, err := p.ident()
		if err != nil {
			return nil, err
		}
		if err = p.expectOp("="); err != nil {
			return nil, err
		}
		e, err := p.expr()
		if err != nil {
			return nil, err
		}
		out = append(out, Assignment{Column: name, Value: e})
		if !p.acceptOp(",") {
			return out, nil
		}
	}
}

func (p *parser) returning() ([]Item, error) {
	if !p.acceptKeyword("returning") {
		return nil, nil
	}
	return p.items()
}

func (p *parser) update() (Stmt, error) {
	s := Update{}
	var err error
	if s.Table, err = p.tableName(); err != nil {
		return nil, err
	}
	if err = p.expectKeyword("set"); err != nil {
		return nil, err
	}
	if s.Set, err = p.assignments(); err != nil {
		return nil, err
	}
	if s.Where, err = p.where(); err != nil {
		return nil, err
	}
	s.Returning, err = p.returning()
	return s, err
}

func (p *parser) delete() (Stmt, error) {
	s := Delete{}
	var err error
	if err = p.expectKeyword("from"); err != nil {
		return nil, err
	}
	if s.Table, err = p.tableName(); err != nil {
		return nil, err
	}
	if s.Where, err = p.where(); err != nil {
		return nil, err
	}
	s.Returning, err = p.returning()
	return s, err
}

func (p *parser) createTable() (Stmt, error) {
	if !p.acceptKeyword("table") {
		return nil, &Error{Code: CodeUnsupported, Message: "only CREATE TABLE is supported by the stand-in endpoint"}
	}
	s := CreateTable{IfNotExists: p.acceptKeywords("if", "not", "exists")}
	var err error
	if s.Table, err = p.tableName(); err != nil {
		return nil, err
	}
	if err = p.expectOp("("); err != nil {
		return nil, err
	}
	for {
		if err = p.columnDef(&s); err != nil {
			return nil, err
		}
		if p.acceptOp(")") {
			return s, nil
		}
		if err = p.expectOp(","); err != nil {
			return nil, err
		}
	}
}

// columnDef parses one column or one table constraint of CREATE TABLE.
func (p *parser) columnDef(s *CreateTable) error {
	if p.acceptKeywords("primary", "key") || p.acceptKeyword("unique") {
		if err := p.expectOp("("); err != nil {
			return err
		}
		names, err := p.names()
		if err != nil {
			return err
		}
		if len(names) > 1 {
			return &Error{Code: CodeUnsupported, Message: "a key of several columns is not supported by the stand-in endpoint"}
		}
		for i := range s.Columns {
			s.Columns[i].Key = s.Columns[i].Key || s.Columns[i].Name == names[0]
		}
		return nil
	}
	name, err := p.ident()
	if err != nil {
		return err
	}
	c := ColumnDef{Name: name}
	if c.Type, err = p.typeName(); err != nil {
		return err
	}
	for {
		switch {
		case p.acceptKeywords("primary", "key"), p.acceptKeyword("unique"):
			c.Key = true
		case p.acceptKeywords("not", "null"), p.acceptKeyword("null"):
		case p.acceptKeyword("default"):
			return &Error{Code: CodeUnsupported, Message: "DEFAULT is not supported by the stand-in endpoint"}
		default:
			s.Columns = append(s.Columns, c)
			return nil
		}
	}
}

func (p *parser) dropTable() (Stmt, error) {
	if err := p.expectKeyword("table"); err != nil {
		return nil, err
	}
	s := DropTable{IfExists: p.acceptKeywords("if", "exists")}
	var err error
	s.Table, err = p.tableName()
	return s, err
}
