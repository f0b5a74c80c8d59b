package sqltext

func (p *parser) insert() (Stmt, error) {
	s := Insert{}
	var err error
	if err = p.needWord("into"); err != nil {
		return nil, err
	}
	if s.Table, err = p.table(); err != nil {
		return nil, err
	}
	if p.op("(") {
		if s.Columns, err = p.names(); err != nil {
			return nil, err
		}
	}
	if err = p.needWord("values"); err != nil {
		return nil, err
	}
	for {
		row, err := p.exprList()
		if err != nil {
			return nil, err
		}
		s.Rows = append(s.Rows, row)
		if !p.op(",") {
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
	if !p.words("on", "conflict") {
		return nil
	}
	if p.op("(") {
		if _, err := p.names(); err != nil {
			return err
		}
	}
	if p.words("do", "nothing") {
		s.DoNothing = true
		return nil
	}
	if !p.words("do", "update", "set") {
		return p.bad()
	}
	var err error
	s.DoUpdate, err = p.assigns()
	return err
}

// names reads identifiers up to the closing parenthesis.
func (p *parser) names() ([]string, error) {
	var out []string
	for {
		n, err := p.ident()
		if err != nil {
			return nil, err
		}
		out = append(out, n)
		if p.op(")") {
			return out, nil
		}
		if err := p.needOp(","); err != nil {
			return nil, err
		}
	}
}

func (p *parser) assigns() ([]Assign, error) {
	var out []Assign
	for {
		name, err := p.ident()
		if err != nil {
			return nil, err
		}
		if err = p.needOp("="); err != nil {
			return nil, err
		}
		e, err := p.expr()
		if err != nil {
			return nil, err
		}
		out = append(out, Assign{Column: name, Value: e})
		if !p.op(",") {
			return out, nil
		}
	}
}

func (p *parser) returning() ([]Item, error) {
	if !p.word("returning") {
		return nil, nil
	}
	return p.items()
}

func (p *parser) update() (Stmt, error) {
	s := Update{}
	var err error
	if s.Table, err = p.table(); err != nil {
		return nil, err
	}
	if err = p.needWord("set"); err != nil {
		return nil, err
	}
	if s.Set, err = p.assigns(); err != nil {
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
	if err = p.needWord("from"); err != nil {
		return nil, err
	}
	if s.Table, err = p.table(); err != nil {
		return nil, err
	}
	if s.Where, err = p.where(); err != nil {
		return nil, err
	}
	s.Returning, err = p.returning()
	return s, err
}

func (p *parser) createTable() (Stmt, error) {
	if !p.word("table") {
		return nil, &Error{Code: CodeUnsupported, Message: "only CREATE TABLE is supported by the stand-in endpoint"}
	}
	s := CreateTable{IfNotExists: p.words("if", "not", "exists")}
	var err error
	if s.Table, err = p.table(); err != nil {
		return nil, err
	}
	if err = p.needOp("("); err != nil {
		return nil, err
	}
	for {
		if err = p.columnDef(&s); err != nil {
			return nil, err
		}
		if p.op(")") {
			return s, nil
		}
		if err = p.needOp(","); err != nil {
			return nil, err
		}
	}
}

func (p *parser) columnDef(s *CreateTable) error {
	if p.words("primary", "key") || p.word("unique") {
		if err := p.needOp("("); err != nil {
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
		case p.words("primary", "key"), p.word("unique"):
			c.Key = true
		case p.words("not", "null"), p.word("null"):
		case p.word("default"):
			return &Error{Code: CodeUnsupported, Message: "DEFAULT is not supported by the stand-in endpoint"}
		default:
			s.Columns = append(s.Columns, c)
			return nil
		}
	}
}

func (p *parser) dropTable() (Stmt, error) {
	if err := p.needWord("table"); err != nil {
		return nil, err
	}
	s := DropTable{IfExists: p.words("if", "exists")}
	var err error
	s.Table, err = p.table()
	return s, err
}
