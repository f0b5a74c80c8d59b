package sqltext

import (
	"strconv"
	"strings"
)

const (
	// maxParamNumber is the largest parameter number, the limit of the PostgreSQL
	// protocol.
	maxParamNumber = 65535
	// maxExprDepth is the maximum nesting depth of expressions. It bounds the
	// parser's stack.
	maxExprDepth = 200
)

func (p *parser) selectStmt() (Stmt, error) {
	s := Select{}
	var err error
	if s.Items, err = p.items(); err != nil {
		return nil, err
	}
	if p.acceptKeyword("from") {
		if s.From, err = p.tableName(); err != nil {
			return nil, err
		}
		if s.Where, err = p.where(); err != nil {
			return nil, err
		}
	}
	if p.acceptKeywords("order", "by") {
		if s.OrderBy, err = p.orderBy(); err != nil {
			return nil, err
		}
	}
	if p.acceptKeyword("limit") {
		if s.Limit, err = p.expr(); err != nil {
			return nil, err
		}
	}
	s.ForUpdate = p.acceptKeywords("for", "update")
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
		if p.acceptKeyword("desc") {
			o.Desc = true
		} else {
			_ = p.acceptKeyword("asc")
		}
		out = append(out, o)
		if !p.acceptOp(",") {
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
		if !p.acceptOp(",") {
			return out, nil
		}
	}
}

func (p *parser) item() (Item, error) {
	if p.acceptOp("*") {
		return Item{Star: true}, nil
	}
	e, err := p.expr()
	if err != nil {
		return Item{}, err
	}
	it := Item{Expr: e, Name: exprName(e)}
	if p.acceptKeyword("as") {
		it.Name, err = p.ident()
	}
	return it, err
}

// exprName returns the column name that PostgreSQL gives to an item without AS.
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
	if !p.acceptKeyword("where") {
		return nil, nil
	}
	var out []Cond
	for {
		c, err := p.cond()
		if err != nil {
			return nil, err
		}
		out = append(out, c)
		if !p.acceptKeyword("and") {
			return out, nil
		}
	}
}

func (p *parser) cond() (Cond, error) {
	l, err := p.expr()
	if err != nil {
		return Cond{}, err
	}
	if p.acceptKeyword("in") {
		r, err := p.exprList()
		return Cond{L: l, Op: "in", R: r}, err
	}
	t := p.next()
	switch {
	case t.kind == tokenOp && t.text == "!=":
		t.text = "<>"
	case t.kind == tokenOp && strings.Contains(" = <> < > <= >= ", " "+t.text+" "):
	default:
		p.pos--
		return Cond{}, p.syntaxError()
	}
	r, err := p.expr()
	return Cond{L: l, Op: t.text, R: []Expr{r}}, err
}

// exprList parses a list of expressions in parentheses.
func (p *parser) exprList() ([]Expr, error) {
	if err := p.expectOp("("); err != nil {
		return nil, err
	}
	var out []Expr
	if p.acceptOp(")") {
		return out, nil
	}
	for {
		e, err := p.expr()
		if err != nil {
			return nil, err
		}
		out = append(out, e)
		if p.acceptOp(")") {
			return out, nil
		}
		if err := p.expectOp(","); err != nil {
			return nil, err
		}
	}
}

// expr parses operands joined by binary operators. All operators have the same
// precedence and associate to the left.
func (p *parser) expr() (Expr, error) {
	l, err := p.operand()
	if err != nil {
		return nil, err
	}
	for {
		t := p.peek()
		if t.kind != tokenOp || !strings.Contains(" + - * || ", " "+t.text+" ") {
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

// operand parses a primary expression and the casts after it.
func (p *parser) operand() (Expr, error) {
	e, err := p.primary()
	for err == nil && p.acceptOp("::") {
		var t Type
		t, err = p.typeName()
		e = Cast{Arg: e, Type: t}
	}
	return e, err
}

func (p *parser) primary() (Expr, error) {
	p.depth++
	defer func() { p.depth-- }()
	if p.depth > maxExprDepth {
		return nil, &Error{Code: "54001", Message: "expression is nested too deep"}
	}
	t := p.next()
	switch t.kind {
	case tokenNumber:
		return numberLiteral(t.text), nil
	case tokenString:
		return Literal{Text: t.text, Type: Unknown}, nil
	case tokenParam:
		n, err := strconv.Atoi(t.text)
		if err != nil || n < 1 || n > maxParamNumber {
			return nil, &Error{Code: "42P02", Message: "there is no parameter $" + t.text}
		}
		return Param{N: n}, nil
	case tokenIdent:
		return p.identExpr(t)
	case tokenOp:
		switch t.text {
		case "(":
			e, err := p.expr()
			if err != nil {
				return nil, err
			}
			return e, p.expectOp(")")
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
	return nil, p.syntaxError()
}

// identExpr parses the expression that starts with the identifier t: a keyword
// constant, a column or a function call.
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
			return nil, p.syntaxError()
		}
	}
	if p.peek().kind != tokenOp || p.peek().text != "(" {
		return Column{Name: t.text}, nil
	}
	if t.text == "count" && p.tokens[p.pos+1].text == "*" {
		p.pos += 2
		return Call{Name: "count"}, p.expectOp(")")
	}
	args, err := p.exprList()
	return Call{Name: strings.TrimPrefix(t.text, "pg_catalog."), Args: args}, err
}

func numberLiteral(text string) Literal {
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
		if p.acceptOp("(") {
			p.next()
			return Text, p.expectOp(")")
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
		return Float8, p.expectKeyword("precision")
	}
	return Unknown, &Error{Code: CodeUndefinedObject, Message: "type " + strconv.Quote(name) + " does not exist"}
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
