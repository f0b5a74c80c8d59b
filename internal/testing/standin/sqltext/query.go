package sqltext

import (
	"strconv"
	"strings"
)

const (
	// maxParam bounds the number of a parameter, as the protocol does.
	maxParam = 65535
	// maxDepth bounds how deep expressions nest, and so the parser's stack.
	maxDepth = 200
)

func (p *parser) selectStmt() (Stmt, error) {
	s := Select{}
	var err error
	if s.Items, err = p.items(); err != nil {
		return nil, err
	}
	if p.word("from") {
		if s.From, err = p.table(); err != nil {
			return nil, err
		}
		if s.Where, err = p.where(); err != nil {
			return nil, err
		}
	}
	if p.words("order", "by") {
		if s.OrderBy, err = p.orderBy(); err != nil {
			return nil, err
		}
	}
	if p.word("limit") {
		if s.Limit, err = p.expr(); err != nil {
			return nil, err
		}
	}
	s.ForUpdate = p.words("for", "update")
	return s, nil
}

func (p *parser) orderBy() ([]Order, error) {
	var out []Order
	for {
		name, err := p.ident()
		if err != nil {
			return nil, err
		}
		o := Order{Column: name}
		if p.word("desc") {
			o.Desc = true
		} else {
			_ = p.word("asc")
		}
		out = append(out, o)
		if !p.op(",") {
			return out, nil
		}
	}
}

func (p *parser) items() ([]Item, error) {
	var out []Item
	for {
		it, err := p.item()
		if err != nil {
			return nil, err
		}
		out = append(out, it)
		if !p.op(",") {
			return out, nil
		}
	}
}

func (p *parser) item() (Item, error) {
	if p.op("*") {
		return Item{Star: true}, nil
	}
	e, err := p.expr()
	if err != nil {
		return Item{}, err
	}
	it := Item{Expr: e, Name: exprName(e)}
	if p.word("as") {
		it.Name, err = p.ident()
	}
	return it, err
}

func exprName(e Expr) string {
	switch e := e.(type) {
	case Column:
		return e.Name[strings.LastIndexByte(e.Name, '.')+1:]
	case Call:
		return e.Name
	case Cast:
		if n := exprName(e.Arg); n != "?column?" {
			return n
		}
		return e.Type.String()
	}
	return "?column?"
}

func (p *parser) where() ([]Cond, error) {
	if !p.word("where") {
		return nil, nil
	}
	var out []Cond
	for {
		c, err := p.cond()
		if err != nil {
			return nil, err
		}
		out = append(out, c)
		if !p.word("and") {
			return out, nil
		}
	}
}

func (p *parser) cond() (Cond, error) {
	l, err := p.expr()
	if err != nil {
		return Cond{}, err
	}
	if p.word("in") {
		r, err := p.exprList()
		return Cond{L: l, Op: "in", R: r}, err
	}
	t := p.next()
	switch {
	case t.kind == kOp && t.text == "!=":
		t.text = "<>"
	case t.kind == kOp && strings.Contains(" = <> < > <= >= ", " "+t.text+" "):
	default:
		p.pos--
		return Cond{}, p.bad()
	}
	r, err := p.expr()
	return Cond{L: l, Op: t.text, R: []Expr{r}}, err
}

func (p *parser) exprList() ([]Expr, error) {
	if err := p.needOp("("); err != nil {
		return nil, err
	}
	var out []Expr
	if p.op(")") {
		return out, nil
	}
	for {
		e, err := p.expr()
		if err != nil {
			return nil, err
		}
		out = append(out, e)
		if p.op(")") {
			return out, nil
		}
		if err := p.needOp(","); err != nil {
			return nil, err
		}
	}
}

func (p *parser) expr() (Expr, error) {
	l, err := p.operand()
	if err != nil {
		return nil, err
	}
	for {
		t := p.peek()
		if t.kind != kOp || !strings.Contains(" + - * || ", " "+t.text+" ") {
			return l, nil
		}
		p.next()
		r, err := p.operand()
		if err != nil {
			return nil, err
		}
		l = Binary{Op: t.text, L: l, R: r}
	}
}

func (p *parser) operand() (Expr, error) {
	e, err := p.primary()
	for err == nil && p.op("::") {
		var t Type
		t, err = p.typeName()
		e = Cast{Arg: e, Type: t}
	}
	return e, err
}

func (p *parser) primary() (Expr, error) {
	p.depth++
	defer func() { p.depth-- }()
	if p.depth > maxDepth {
		return nil, &Error{Code: "54001", Message: "expression is nested too deep"}
	}
	t := p.next()
	switch t.kind {
	case kNumber:
		return number(t.text), nil
	case kString:
		return Literal{Text: t.text, Type: Unknown}, nil
	case kParam:
		n, err := strconv.Atoi(t.text)
		if err != nil || n < 1 || n > maxParam {
			return nil, &Error{Code: "42P02", Message: "there is no parameter $" + t.text}
		}
		return Param{N: n}, nil
	case kIdent:
		return p.identExpr(t)
	case kOp:
		switch t.text {
		case "(":
			e, err := p.expr()
			if err != nil {
				return nil, err
			}
			return e, p.needOp(")")
		case "-":
			e, err := p.primary()
			if l, ok := e.(Literal); ok {
				l.Text = "-" + l.Text
				return l, err
			}
			return Binary{Op: "-", L: Literal{Text: "0", Type: Int4}, R: e}, err
		}
	}
	p.pos--
	return nil, p.bad()
}

func (p *parser) identExpr(t token) (Expr, error) {
	if !t.quoted {
		switch t.text {
		case "null":
			return Literal{Null: true}, nil
		case "true":
			return Literal{Text: "t", Type: Bool}, nil
		case "false":
			return Literal{Text: "f", Type: Bool}, nil
		case "current_user", "session_user", "current_catalog":
			return Call{Name: t.text}, nil
		case "from", "where", "order", "limit", "select", "values":
			p.pos--
			return nil, p.bad()
		}
	}
	if p.peek().kind != kOp || p.peek().text != "(" {
		return Column{Name: t.text}, nil
	}
	if t.text == "count" && p.toks[p.pos+1].text == "*" {
		p.pos += 2
		return Call{Name: "count"}, p.needOp(")")
	}
	args, err := p.exprList()
	return Call{Name: strings.TrimPrefix(t.text, "pg_catalog."), Args: args}, err
}

func number(text string) Literal {
	if strings.Contains(text, ".") {
		return Literal{Text: text, Type: Float8}
	}
	if _, err := strconv.ParseInt(text, 10, 32); err == nil {
		return Literal{Text: text, Type: Int4}
	}
	return Literal{Text: text, Type: Int8}
}

func (p *parser) typeName() (Type, error) {
	name, err := p.ident()
	if err != nil {
		return Unknown, err
	}
	switch name {
	case "text", "varchar", "name", "uuid", "timestamptz":
		if p.op("(") {
			p.next()
			return Text, p.needOp(")")
		}
		return Text, nil
	case "int", "integer", "int4", "serial":
		return Int4, nil
	case "bigint", "int8", "bigserial":
		return Int8, nil
	case "bool", "boolean":
		return Bool, nil
	case "float8":
		return Float8, nil
	case "double":
		return Float8, p.needWord("precision")
	}
	return Unknown, &Error{Code: CodeNoType, Message: "type " + strconv.Quote(name) + " does not exist"}
}

// String returns the type's SQL name.
func (t Type) String() string {
	switch t {
	case Int4:
		return "int4"
	case Int8:
		return "int8"
	case Bool:
		return "bool"
	case Float8:
		return "float8"
	case Void:
		return "void"
	}
	return "text"
}
