package sqltext

import (
	"strconv"
	"strings"
)

type parser struct {
	tokens []token
	pos    int
	depth  int // of nested expressions at pos
}

// Parse parses the statements of src, which are separated by semicolons. Empty
// statements are omitted. Errors: *Error.
func Parse(src string) ([]Stmt, error) {
	tokens, err := lex(src)
	if err != nil {
		return nil, err
	}
	p := &parser{tokens: tokens}
	var out []Stmt
	for {
		for p.acceptOp(";") {
		}
		if p.peek().kind == tokenEnd {
			return out, nil
		}
		s, err := p.statement()
		if err != nil {
			return nil, err
		}
		out = append(out, s)
		if p.peek().kind != tokenEnd && !p.acceptOp(";") {
			return nil, p.syntaxError()
		}
	}
}

func (p *parser) peek() token { return p.tokens[p.pos] }

func (p *parser) next() token {
	t := p.tokens[p.pos]
	if t.kind != tokenEnd {
		p.pos++
	}
	return t
}

func (p *parser) isNextKeyword(w string) bool {
	t := p.peek()
	return t.kind == tokenIdent && !t.quoted && t.text == w
}

// acceptKeyword consumes the keyword w if it is next and reports whether it
// was.
func (p *parser) acceptKeyword(w string) bool {
	if !p.isNextKeyword(w) {
		return false
	}
	p.pos++
	return true
}

// acceptKeywords consumes the keywords ws if all of them are next, in this
// order, and reports whether they were.
func (p *parser) acceptKeywords(ws ...string) bool {
	start := p.pos
	for _, w := range ws {
		if !p.acceptKeyword(w) {
			p.pos = start
			return false
		}
	}
	return true
}

// acceptOp consumes the operator o if it is next and reports whether it was.
func (p *parser) acceptOp(o string) bool {
	t := p.peek()
	if t.kind != tokenOp || t.text != o {
		return false
	}
	p.pos++
	return true
}

// syntaxError returns the syntax error for the next token.
func (p *parser) syntaxError() error {
	t := p.peek()
	if t.kind == tokenEnd {
		return &Error{Code: CodeSyntax, Message: "syntax error at end of input"}
	}
	return &Error{Code: CodeSyntax, Message: "syntax error at or near " + strconv.Quote(t.text)}
}

func (p *parser) expectOp(o string) error {
	if !p.acceptOp(o) {
		return p.syntaxError()
	}
	return nil
}

func (p *parser) expectKeyword(w string) error {
	if !p.acceptKeyword(w) {
		return p.syntaxError()
	}
	return nil
}

func (p *parser) ident() (string, error) {
	if p.peek().kind != tokenIdent {
		return "", p.syntaxError()
	}
	return p.next().text, nil
}

// tableName parses a table name. The schema public is dropped from it.
func (p *parser) tableName() (string, error) {
	name, err := p.ident()
	return strings.TrimPrefix(name, "public."), err
}

func (p *parser) statement() (Stmt, error) {
	t := p.next()
	if t.kind != tokenIdent || t.quoted {
		p.pos--
		return nil, p.syntaxError()
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

// sessionStmt parses transaction and session commands, whose first word is
// verb. It rejects the commands that the stand-in endpoint does not support.
func (p *parser) sessionStmt(verb string) (Stmt, error) {
	switch verb {
	case "begin":
		_ = p.acceptKeyword("transaction") || p.acceptKeyword("work")
		a, err := p.accessMode()
		return Begin{Access: a}, err
	case "start":
		if err := p.expectKeyword("transaction"); err != nil {
			return nil, err
		}
		a, err := p.accessMode()
		return Begin{Access: a}, err
	case "commit", "end":
		_ = p.acceptKeyword("transaction") || p.acceptKeyword("work")
		return Commit{}, nil
	case "rollback", "abort":
		_ = p.acceptKeyword("transaction") || p.acceptKeyword("work")
		return Rollback{}, nil
	case "set":
		return p.set()
	case "show":
		name, err := p.settingName()
		return Show{Name: name}, err
	case "reset":
		if p.acceptKeyword("all") {
			return Reset{}, nil
		}
		name, err := p.settingName()
		return Reset{Name: name}, err
	case "discard":
		return Discard{}, p.expectKeyword("all")
	case "deallocate":
		_ = p.acceptKeyword("prepare")
		if p.acceptKeyword("all") {
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
	return nil, p.syntaxError()
}

// accessMode parses transaction modes. Isolation levels and DEFERRABLE are
// accepted without effect.
func (p *parser) accessMode() (Access, error) {
	a := AccessDefault
	for {
		switch {
		case p.acceptKeywords("read", "only"):
			a = AccessReadOnly
		case p.acceptKeywords("read", "write"):
			a = AccessReadWrite
		case p.acceptKeywords("isolation", "level"):
			if !p.acceptKeywords("read", "committed") && !p.acceptKeywords("read", "uncommitted") &&
				!p.acceptKeywords("repeatable", "read") && !p.acceptKeyword("serializable") {
				return a, p.syntaxError()
			}
		case p.acceptKeywords("not", "deferrable"), p.acceptKeyword("deferrable"):
		default:
			return a, nil
		}
		p.acceptOp(",")
	}
}

func (p *parser) settingName() (string, error) {
	switch {
	case p.acceptKeywords("time", "zone"):
		return "timezone", nil
	case p.acceptKeywords("transaction", "isolation", "level"):
		return "transaction_isolation", nil
	}
	name, err := p.ident()
	return strings.ToLower(name), err
}

func (p *parser) set() (Stmt, error) {
	if p.acceptKeywords("session", "characteristics", "as", "transaction") {
		a, err := p.accessMode()
		return SetTransaction{Access: a, Session: true}, err
	}
	if p.acceptKeyword("transaction") {
		a, err := p.accessMode()
		return SetTransaction{Access: a}, err
	}
	local := p.acceptKeyword("local")
	_ = p.acceptKeyword("session")
	name, err := p.settingName()
	if err != nil {
		return nil, err
	}
	if !p.acceptOp("=") && !p.acceptKeyword("to") && name != "timezone" {
		return nil, p.syntaxError()
	}
	var parts []string
	for {
		sign := ""
		if p.acceptOp("-") {
			sign = "-"
		}
		t := p.next()
		if t.kind == tokenEnd || t.kind == tokenOp {
			p.pos--
			return nil, p.syntaxError()
		}
		parts = append(parts, sign+t.text)
		if !p.acceptOp(",") {
			break
		}
	}
	return Set{Name: name, Value: strings.Join(parts, ", "), Local: local}, nil
}

// hemlock parses the words of a HEMLOCK command up to the semicolon. A log
// position such as 3/7 is three tokens, which are joined to one word.
func (p *parser) hemlock() (Stmt, error) {
	var words []string
	for p.peek().kind != tokenEnd && !(p.peek().kind == tokenOp && p.peek().text == ";") {
		if p.acceptOp("/") {
			if len(words) == 0 || p.peek().kind != tokenNumber {
				return nil, p.syntaxError()
			}
			words[len(words)-1] += "/" + p.next().text
			continue
		}
		t := p.next()
		if t.kind == tokenOp {
			p.pos--
			return nil, p.syntaxError()
		}
		words = append(words, t.text)
	}
	if len(words) == 0 {
		return nil, p.syntaxError()
	}
	words[0] = strings.ToUpper(words[0])
	return Hemlock{Words: words}, nil
}
