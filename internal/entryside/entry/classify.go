package entry

import (
	"regexp"
	"strings"
)

// access is the declared access of a segment.
type access uint8

const (
	// accessUndeclared: nothing says whether the segment writes.
	accessUndeclared access = iota
	accessRead
	accessWrite
)

// hints are what a statement comment of the form /*hemlock name=value,...*/
// says of the statement.
type hints map[string]string

var hintPattern = regexp.MustCompile(`^\s*/\*\s*hemlock\s+([^*]*)\*/`)

// parseHints reads the hint comment at the start of a statement.
func parseHints(query string) hints {
	if !strings.Contains(query, "hemlock") {
		return nil
	}
	m := hintPattern.FindStringSubmatch(query)
	if m == nil {
		return nil
	}
	h := hints{}
	for _, pair := range strings.Split(m[1], ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		h[strings.TrimSpace(name)] = strings.TrimSpace(value)
	}
	return h
}

// Hint names.
const (
	hintAccess    = "access"
	hintLevel     = "read_level"
	hintRequestID = "request_id"
)

var (
	commentPattern = regexp.MustCompile(`^(?:\s*/\*[^*]*\*/)*\s*`)
	beginPattern   = regexp.MustCompile(`(?i)^(?:BEGIN|START\s+TRANSACTION)\b([^;]*);?\s*$`)
	readOnlyMode   = regexp.MustCompile(`(?i)\bREAD\s+ONLY\b`)
	readWriteMode  = regexp.MustCompile(`(?i)\bREAD\s+WRITE\b`)
	setPattern     = regexp.MustCompile(`(?i)^SET\s+(?:SESSION\s+)?(hemlock\.\w+|default_transaction_read_only)\s*(?:=|\s+TO\s+)\s*(?:'([^']*)'|(\w+))\s*;?\s*$`)
	sessionMode    = regexp.MustCompile(`(?i)^SET\s+SESSION\s+CHARACTERISTICS\s+AS\s+TRANSACTION\s+READ\s+(ONLY|WRITE)\s*;?\s*$`)
	endPattern     = regexp.MustCompile(`(?i)^(?:ROLLBACK|ABORT|COMMIT|END)\b[^;]*;?\s*$`)
)

// stripComments removes the comments before a statement.
func stripComments(query string) string {
	return query[len(commentPattern.FindString(query)):]
}

// declaredMode returns the access mode that a BEGIN states. It reports whether
// the query is a lone BEGIN.
func declaredMode(query string) (mode access, isBegin bool) {
	m := beginPattern.FindStringSubmatch(stripComments(query))
	if m == nil {
		return accessUndeclared, false
	}
	switch {
	case readOnlyMode.MatchString(m[1]):
		return accessRead, true
	case readWriteMode.MatchString(m[1]):
		return accessWrite, true
	}
	return accessUndeclared, true
}

// ownSetting recognizes a lone SET of one of the parameters that the entry
// itself keeps.
func ownSetting(query string) (name, value string, ok bool) {
	q := stripComments(query)
	if m := setPattern.FindStringSubmatch(q); m != nil {
		return strings.ToLower(m[1]), m[2] + m[3], true
	}
	if m := sessionMode.FindStringSubmatch(q); m != nil {
		if strings.EqualFold(m[1], "only") {
			return paramReadOnly, "on", true
		}
		return paramReadOnly, "off", true
	}
	return "", "", false
}

// endsTransaction recognizes a lone statement that ends a transaction.
func endsTransaction(query string) bool {
	return endPattern.MatchString(stripComments(query))
}

// isSingle reports whether the query holds no semicolon but at its end. A
// semicolon inside a literal counts as well: doubt means several statements.
func isSingle(query string) bool {
	trimmed := strings.TrimRight(query, " \t\r\n;")
	return !strings.Contains(trimmed, ";")
}

// accessOf decides from declarations alone whether a segment may run at a
// replica. Undeclared segments follow the session's default; a service's file
// may ask for them to be tried at a replica, where an endpoint that refuses to
// write proves that nothing ran.
func (sess *callerConn) accessOf(seg *segment) access {
	def := sess.defaultAccess()
	if len(seg.queries) == 0 {
		return def
	}
	result := accessRead
	for _, q := range seg.queries {
		switch sess.queryAccess(q, def) {
		case accessWrite:
			return accessWrite
		case accessUndeclared:
			result = accessUndeclared
		}
	}
	return result
}

func (sess *callerConn) queryAccess(query string, def access) access {
	switch parseHints(query)[hintAccess] {
	case "read":
		return accessRead
	case "write":
		return accessWrite
	}
	mode, isBegin := declaredMode(query)
	if isBegin {
		if mode == accessUndeclared && sess.own[paramReadOnly] == "" {
			return accessWrite
		}
		if mode == accessUndeclared {
			return def
		}
		return mode
	}
	if !isSingle(query) || sess.srv.learned.contains(sess.service.Name, query) {
		return accessWrite
	}
	return def
}

// defaultAccess is the access of statements that declare none.
func (sess *callerConn) defaultAccess() access {
	if on, ok := parseBool(sess.own[paramReadOnly]); ok {
		if on {
			return accessRead
		}
		return accessWrite
	}
	if sess.service.ReadOnlyDefault {
		return accessUndeclared
	}
	return accessWrite
}
