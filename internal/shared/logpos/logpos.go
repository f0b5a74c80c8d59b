// Package logpos defines positions in the log of a database group. Positions are
// ordered by term first, then by index.
package logpos

import (
	"cmp"
	"fmt"
)

// Pos is a position in a group's log: the term of the primary that wrote the
// record and the record's index. The zero Pos precedes every record.
type Pos struct {
	// Term is the term of the primary that wrote the record at Index.
	Term uint64
	// Index is the number of the record in the log, starting at 1.
	Index uint64
}

// Compare returns -1, 0 or +1 as p is before, equal to or after q.
func (p Pos) Compare(q Pos) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Index, q.Index)
}

// Less reports whether p is before q.
func (p Pos) Less(q Pos) bool { return p.Compare(q) < 0 }

// IsZero reports whether p precedes every record.
func (p Pos) IsZero() bool { return p == Pos{} }

// Max returns the later of p and q.
func Max(p, q Pos) Pos {
	if p.Less(q) {
		return q
	}
	return p
}

// String returns p in the form "term/index".
func (p Pos) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Index) }

// Parse parses the form that String returns. Errors: *ParseError.
func Parse(text string) (Pos, error) {
	var p Pos
	var rest string
	n, _ := fmt.Sscanf(text, "%d/%d%s", &p.Term, &p.Index, &rest)
	if n != 2 {
		return Pos{}, &ParseError{Text: text}
	}
	return p, nil
}

// ParseError reports a text that is not a log position.
type ParseError struct{ Text string }

func (e *ParseError) Error() string {
	return fmt.Sprintf("log position %q is not of the form term/index", e.Text)
}
