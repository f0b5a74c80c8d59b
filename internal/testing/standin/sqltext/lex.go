package sqltext

import "strings"

// maxTokens is the maximum number of tokens in one text. It bounds the parser's
// memory.
const maxTokens = 1 << 20

type kind uint8

const (
	tokenEnd kind = iota
	tokenIdent
	tokenNumber
	tokenString
	tokenParam
	tokenOp
)

// token is one lexical element. Identifiers are in lower case unless they are
// quoted. Quoted tokens have quoted set, so that they match no keyword.
type token struct {
	kind   kind
	text   string
	quoted bool
}

// lex splits src into tokens. The last token has the kind tokenEnd.
func lex(src string) ([]token, error) {
	var out []token
	for i := 0; i < len(src); {
		next, err := skipSpaceAndComments(src, i)
		if err != nil {
			return nil, err
		}
		if next >= len(src) {
			break
		}
		tok, end, err := lexToken(src, next)
		if err != nil {
			return nil, err
		}
		if len(out) == maxTokens {
			return nil, &Error{Code: "54000", Message: "statement is too long"}
		}
		out = append(out, tok)
		i = end
	}
	return append(out, token{kind: tokenEnd}), nil
}

// skipSpaceAndComments returns the offset of the first byte at or after i that
// belongs to neither white space nor a comment.
func skipSpaceAndComments(src string, i int) (int, error) {
	for i < len(src) {
		switch {
		case strings.IndexByte(" \t\r\n", src[i]) >= 0:
			i++
		case strings.HasPrefix(src[i:], "--"):
			n := strings.IndexByte(src[i:], '\n')
			if n < 0 {
				return len(src), nil
			}
			i += n + 1
		case strings.HasPrefix(src[i:], "/*"):
			n := strings.Index(src[i+2:], "*/")
			if n < 0 {
				return 0, &Error{Code: CodeSyntax, Message: "unterminated /* comment"}
			}
			i += n + 4
		default:
			return i, nil
		}
	}
	return i, nil
}

// lexToken returns the token that starts at i and the offset after it.
func lexToken(src string, i int) (token, int, error) {
	c := src[i]
	switch {
	case c == '\'':
		return lexQuoted(src, i, '\'', tokenString)
	case c == '"':
		return lexQuoted(src, i, '"', tokenIdent)
	case c == '$' && i+1 < len(src) && isDigit(src[i+1]):
		end := scanWhile(src, i+1, isDigit)
		return token{kind: tokenParam, text: src[i+1 : end]}, end, nil
	case isDigit(c):
		end := scanWhile(src, i, func(b byte) bool { return isDigit(b) || b == '.' })
		return token{kind: tokenNumber, text: src[i:end]}, end, nil
	case isLetter(c):
		end := scanWhile(src, i, func(b byte) bool { return isLetter(b) || isDigit(b) || b == '.' })
		return token{kind: tokenIdent, text: strings.ToLower(src[i:end])}, end, nil
	}
	for _, op := range []string{"::", "||", "<>", "!=", "<=", ">="} {
		if strings.HasPrefix(src[i:], op) {
			return token{kind: tokenOp, text: op}, i + 2, nil
		}
	}
	return token{kind: tokenOp, text: string(c)}, i + 1, nil
}

func lexQuoted(src string, i int, quote byte, k kind) (token, int, error) {
	var b strings.Builder
	for j := i + 1; j < len(src); j++ {
		if src[j] != quote {
			b.WriteByte(src[j])
			continue
		}
		if j+1 < len(src) && src[j+1] == quote {
			b.WriteByte(quote)
			j++
			continue
		}
		return token{kind: k, text: b.String(), quoted: true}, j + 1, nil
	}
	return token{}, 0, &Error{Code: CodeSyntax, Message: "unterminated quoted text"}
}

// scanWhile returns the offset of the first byte at or after i for which ok is
// false.
func scanWhile(src string, i int, ok func(byte) bool) int {
	for i < len(src) && ok(src[i]) {
		i++
	}
	return i
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

func isLetter(b byte) bool {
	return b == '_' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= 0x80
}
