package sqltext

import (
	"strconv"
	"strings"
)

type parser struct {
	toks  []token
	pos   int
	depth int // of nested expressions
}

// Parse reads the statements of src, which are separated by semicolons. Empty
// statements are left out.
func Parse(src string) ([]Stmt, error) {
	toks, err := lex(src)
	if err != nil {
		return nil, err
	}
	p := &parser{toks: toks}
	var out []Stmt
	for {
		for p.op(";") {
		}
		if p.peek().kind == kEnd {
			return out, nil
		}
		s, err := p.statement()
		if err != nil {
			return nil, err
		}
		out = append(out, s)
		if p.peek().kind != kEnd && !p.op(";") {
			return nil, p.bad()
		}
	}
}

func (p *parser) peek() token { return p.toks[p.pos] }

func (p *parser) next() token {
	t := p.toks[p.pos]
	if t.kind != kEnd {
		p.pos++
	}
	return t
}

func (p *parser) isWord(w string) bool {
	t := p.peek()
	return t.kind == kIdent && !t.quoted && t.text == w
}

// word consumes the keyword w if it comes next.
func (p *parser) word(w string) bool {
	if !p.isWord(w) {
		return false
	}
	p.pos++
	return true
}

// words consumes the keywords ws if all of them come next.
func (p *parser) words(ws ...string) bool {
	start := p.pos
	for _, w := range ws {
		if !p.word(w) {
			p.pos = start
			return false
		}
	}
	return true
}

func (p *parser) op(o string) bool {
	t := p.peek()
	if t.kind != kOp || t.text != o {
		return false
	}
	p.pos++
	return true
}

func (p *parser) bad() error {
	t := p.peek()
	if t.kind == kEnd {
		return &Error{Code: CodeSyntax, Message: "syntax error at end of input"}
	}
	return &Error{Code: CodeSyntax, Message: "syntax error at or near " + strconv.Quote(t.text)}
}

func (p *parser) needOp(o string) error {
	if !p.op(o) {
		return p.bad()
	}
	return nil
}

func (p *parser) needWord(w string) error {
	if !p.word(w) {
		return p.bad()
	}
	return nil
}

func (p *parser) ident() (string, error) {
	if p.peek().kind != kIdent {
		return "", p.bad()
	}
	return p.next().text, nil
}

func (p *parser) table() (string, error) {
	name, err := p.ident()
	return strings.TrimPrefix(name, "public."), err
}

func (p *parser) statement() (Stmt, error) {
	t := p.next()
	if t.kind != kIdent || t.quoted {
		p.pos--
		return nil, p.bad()
	}
	switch t.text {
	case "select":
		return p.selectStmt()
	case "insert":
		return p.insert()
	case "update":
		return p.update()
	case "delete":
		return p.delete()
	case "create":
		return p.createTable()
	case "drop":
		return p.dropTable()
	case "hemlock":
		return p.hemlock()
	}
	return p.sessionStmt(t.text)
}

func (p *parser) sessionStmt(verb string) (Stmt, error) {
	switch verb {
	case "begin":
		_ = p.word("transaction") || p.word("work")
		a, err := p.access()
		return Begin{Access: a}, err
	case "start":
		if err := p.needWord("transaction"); err != nil {
			return nil, err
		}
		a, err := p.access()
		return Begin{Access: a}, err
	case "commit", "end":
		_ = p.word("transaction") || p.word("work")
		return Commit{}, nil
	case "rollback", "abort":
		_ = p.word("transaction") || p.word("work")
		return Rollback{}, nil
	case "set":
		return p.set()
	case "show":
		name, err := p.settingName()
		return Show{Name: name}, err
	case "reset":
		if p.word("all") {
			return Reset{}, nil
		}
		name, err := p.settingName()
		return Reset{Name: name}, err
	case "discard":
		return Discard{}, p.needWord("all")
	case "deallocate":
		_ = p.word("prepare")
		if p.word("all") {
			return Deallocate{}, nil
		}
		name, err := p.ident()
		return Deallocate{Name: name}, err
	case "listen", "unlisten":
		p.next()
		return Listen{Tag: strings.ToUpper(verb)}, nil
	case "copy", "savepoint", "release", "prepare", "execute", "declare", "fetch", "lock",
		"alter", "truncate", "explain", "with", "notify", "vacuum", "call", "do":
		return nil, &Error{Code: CodeUnsupported,
			Message: strings.ToUpper(verb) + " is not supported by the stand-in endpoint"}
	}
	p.pos--
	return nil, p.bad()
}

// access reads the transaction modes that follow BEGIN; isolation levels are
// accepted without effect.
func (p *parser) access() (Access, error) {
	a := AccessDefault
	for {
		switch {
		case p.words("read", "only"):
			a = AccessReadOnly
		case p.words("read", "write"):
			a = AccessReadWrite
		case p.words("isolation", "level"):
			if !p.words("read", "committed") && !p.words("read", "uncommitted") &&
				!p.words("repeatable", "read") && !p.word("serializable") {
				return a, p.bad()
			}
		case p.words("not", "deferrable"), p.word("deferrable"):
		default:
			return a, nil
		}
		p.op(",")
	}
}

func (p *parser) settingName() (string, error) {
	switch {
	case p.words("time", "zone"):
		return "timezone", nil
	case p.words("transaction", "isolation", "level"):
		return "transaction_isolation", nil
	}
	name, err := p.ident()
	return strings.ToLower(name), err
}

func (p *parser) set() (Stmt, error) {
	if p.words("session", "characteristics", "as", "transaction") {
		a, err := p.access()
		return SetTransaction{Access: a, Session: true}, err
	}
	if p.word("transaction") {
		a, err := p.access()
		return SetTransaction{Access: a}, err
	}
	local := p.word("local")
	_ = p.word("session")
	name, err := p.settingName()
	if err != nil {
		return nil, err
	}
	if !p.op("=") && !p.word("to") && name != "timezone" {
		return nil, p.bad()
	}
	var parts []string
	for {
		sign := ""
		if p.op("-") {
			sign = "-"
		}
		t := p.next()
		if t.kind == kEnd || t.kind == kOp {
			p.pos--
			return nil, p.bad()
		}
		parts = append(parts, sign+t.text)
		if !p.op(",") {
			break
		}
	}
	return Set{Name: name, Value: strings.Join(parts, ", "), Local: local}, nil
}

// hemlock collects the words of a contract command up to the semicolon.
// Positions such as 3/7 are three tokens and are joined again.
func (p *parser) hemlock() (Stmt, error) {
	var words []string
	for p.peek().kind != kEnd && !(p.peek().kind == kOp && p.peek().text == ";") {
		if p.op("/") {
			if len(words) == 0 || p.peek().kind != kNumber {
				return nil, p.bad()
			}
			words[len(words)-1] += "/" + p.next().text
			continue
		}
		t := p.next()
		if t.kind == kOp {
			p.pos--
			return nil, p.bad()
		}
		words = append(words, t.text)
	}
	if len(words) == 0 {
		return nil, p.bad()
	}
	words[0] = strings.ToUpper(words[0])
	return Hemlock{Words: words}, nil
}
