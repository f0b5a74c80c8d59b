package entry

import (
	"regexp"
	"strings"
)

// access is the declared access mode of a segment.
type access uint8

const (
	// accessUndeclared means that nothing declares whether the segment writes.
	accessUndeclared access = iota
	accessRead
	accessWrite
)

// hints are the values of a comment of the form /*hemlock name=value,...*/ at
// the start of a statement, by name.
type hints map[string]string

var hintPattern = regexp.MustCompile(`^\s*/\*\s*hemlock\s+([^*]*)\*/`)

// parseHints parses the hint comment at the start of a statement. It returns nil
// if there is none.
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

// parseBegin returns the access mode that a BEGIN declares. isBegin is true if
// the query consists of a single BEGIN or START TRANSACTION.
func parseBegin(query string) (mode access, isBegin bool) {
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

// parseEntrySet parses a query that consists of a single SET of an entry
// parameter. ok is false for any other query.
func parseEntrySet(query string) (name, value string, ok bool) {
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

// endsTransaction reports whether the query is a single statement that ends a
// transaction.
func endsTransaction(query string) bool {
	return endPattern.MatchString(stripComments(query))
}

// isSingleStatement reports whether the query has no semicolon except at its
// end. A semicolon inside a literal also counts, so the result may be false for
// a single statement, but it is never true for several.
func isSingleStatement(query string) bool {
	trimmed := strings.TrimRight(query, " \t\r\n;")
	return !strings.Contains(trimmed, ";")
}

// segmentAccess returns the access mode of a segment. It uses declarations only
// and does not interpret the statements. Without a declaration the session's
// default applies. A service's file may let undeclared segments be tried at a
// replica; a replica that refuses the write has run nothing.
func (sess *callerConn) segmentAccess(seg *segment) access {
	fallback := sess.defaultAccess()
	if len(seg.queries) == 0 {
		return fallback
	}
	result := accessRead
	for _, q := range seg.queries {
		switch sess.queryAccess(q, fallback) {
		case accessWrite:
			return accessWrite
		case accessUndeclared:
			result = accessUndeclared
		}
	}
	return result
}

func (sess *callerConn) queryAccess(query string, fallback access) access {
	switch parseHints(query)[hintAccess] {
	case "read":
		return accessRead
	case "write":
		return accessWrite
	}
	mode, isBegin := parseBegin(query)
	if isBegin {
		if mode == accessUndeclared && sess.entryParams[paramReadOnly] == "" {
			return accessWrite
		}
		if mode == accessUndeclared {
			return fallback
		}
		return mode
	}
	if !isSingleStatement(query) || sess.srv.learned.contains(sess.service.Name, query) {
		return accessWrite
	}
	return fallback
}

// defaultAccess returns the access mode of statements that declare none.
func (sess *callerConn) defaultAccess() access {
	if on, ok := parseBool(sess.entryParams[paramReadOnly]); ok {
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
