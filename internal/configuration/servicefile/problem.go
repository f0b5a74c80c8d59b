// Package servicefile reads service files and group files, checks each file and
// the references between files, and builds a configuration from them. Every
// problem names its file, line and field, and how to fix it.
package servicefile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Kind is the kind of a Problem.
type Kind string

// Kinds of problems.
const (
	KindUnreadable       Kind = "unreadable"
	KindTooLarge         Kind = "too_large"
	KindSyntax           Kind = "syntax"
	KindUnknownField     Kind = "unknown_field"
	KindMissingField     Kind = "missing_field"
	KindDuplicateField   Kind = "duplicate_field"
	KindWrongType        Kind = "wrong_type"
	KindWrongUnit        Kind = "wrong_unit"
	KindBadValue         Kind = "bad_value"
	KindOutOfRange       Kind = "out_of_range"
	KindDuplicateName    Kind = "duplicate_name"
	KindUnknownReference Kind = "unknown_reference"
	KindOverCommitted    Kind = "over_committed"
	KindAmbiguous        Kind = "ambiguous"
)

// Problem is one mistake in the files or in a configuration.
type Problem struct {
	Kind Kind `json:"kind"`
	// File is empty when the configuration did not come from files.
	File string `json:"file,omitempty"`
	// Line counts from 1; it is 0 when the line is unknown.
	Line int `json:"line,omitempty"`
	// Field is a path such as "service.connections.max".
	Field string `json:"field,omitempty"`
	// Detail describes what is wrong.
	Detail string `json:"detail"`
	// Fix describes how to correct it.
	Fix string `json:"fix"`
}

// Error returns "file:line: field: detail; fix: fix". File and line, and the
// field, are omitted when they are empty.
func (p *Problem) Error() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	}
	if p.Field != "" {
		fmt.Fprintf(&b, "%s: ", p.Field)
	}
	fmt.Fprintf(&b, "%s; fix: %s", p.Detail, p.Fix)
	return b.String()
}

// Problems is a list of problems. An empty list is no error; use Err to convert
// the list to an error.
type Problems []*Problem

// Error returns one problem per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil when ps is empty.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// sort orders ps by file, line and field.
func (ps Problems) sort() {
	slices.SortStableFunc(ps, func(a, b *Problem) int {
		return cmp.Or(
			strings.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			strings.Compare(a.Field, b.Field),
		)
	})
}
