// Package wire implements the text encoding of the endpoint contract: the
// commands, the rows that answer them and the error detail of a refusal.
// Endpoints and controllers share it.
package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
)

// Verbs of the contract, the second word of a command.
const (
	VerbStatus  = "STATUS"
	VerbWait    = "WAIT"
	VerbFence   = "FENCE"
	VerbPromote = "PROMOTE"
	VerbFollow  = "FOLLOW"
	VerbHolders = "HOLDERS"
	VerbActive  = "ACTIVE"
)

// StatusCommand returns the command that requests the status.
func StatusCommand() string { return "HEMLOCK " + VerbStatus }

// WaitCommand returns the command that requests the status once it differs from
// seen, or after timeout, in whole milliseconds.
func WaitCommand(seen endpoint.Status, timeout time.Duration) string {
	return fmt.Sprintf("HEMLOCK %s %s %s %s %d %d", VerbWait,
		seen.Synced, seen.Applied, seen.Role, seen.FencedTerm, timeout.Milliseconds())
}

// FenceCommand returns the command that grants term to promoter.
func FenceCommand(term uint64, promoter string) string {
	return fmt.Sprintf("HEMLOCK %s %d %s", VerbFence, term, Quote(promoter))
}

// PromoteCommand returns the command that makes the endpoint primary of term.
func PromoteCommand(term uint64, promoter string) string {
	return fmt.Sprintf("HEMLOCK %s %d %s", VerbPromote, term, Quote(promoter))
}

// FollowCommand returns the command that makes the endpoint a replica of the
// primary of term at addr.
func FollowCommand(term uint64, addr string) string {
	return fmt.Sprintf("HEMLOCK %s %d %s", VerbFollow, term, Quote(addr))
}

// HoldersCommand returns the command that requests the number of connections of
// each holder.
func HoldersCommand() string { return "HEMLOCK " + VerbHolders }

// ActiveCommand returns the command that asks whether the connection with
// process id pid runs a statement.
func ActiveCommand(pid uint32) string {
	return "HEMLOCK " + VerbActive + " " + strconv.FormatUint(uint64(pid), 10)
}

// Quote returns text as an SQL string constant.
func Quote(text string) string { return "'" + strings.ReplaceAll(text, "'", "''") + "'" }

// Columns are the columns of the row that answers every command but HOLDERS and
// ACTIVE. All are of type text.
var Columns = []string{"group", "slot", "incarnation", "role", "fenced_term", "fenced_by",
	"synced", "applied", "conn_limit", "conns_in_use"}

// ActiveColumns are the columns of the row that answers ACTIVE. The value is "t"
// or "f".
var ActiveColumns = []string{"active"}

// HolderColumns are the columns of the rows that answer HOLDERS.
var HolderColumns = []string{"holder", "connections"}

// EncodeStatus returns the values of Columns for s.
func EncodeStatus(s endpoint.Status) []string {
	return []string{s.Group, s.Slot, s.Incarnation, s.Role.String(),
		strconv.FormatUint(s.FencedTerm, 10), s.FencedBy, s.Synced.String(), s.Applied.String(),
		strconv.Itoa(s.ConnLimit), strconv.Itoa(s.ConnsInUse)}
}

// MalformedError reports text that does not conform to the contract. What names
// the part that is malformed, Text is its value.
type MalformedError struct{ What, Text string }

func (e *MalformedError) Error() string {
	return fmt.Sprintf("endpoint contract: %s %q is malformed", e.What, e.Text)
}

// DecodeStatus decodes the values of Columns. The error is a *MalformedError.
func DecodeStatus(values []string) (endpoint.Status, error) {
	if len(values) != len(Columns) {
		return endpoint.Status{}, &MalformedError{What: "number of columns", Text: strconv.Itoa(len(values))}
	}
	d := &decoder{}
	s := endpoint.Status{
		Group: values[0], Slot: values[1], Incarnation: values[2],
		Role:       d.role(values[3]),
		FencedTerm: d.number("fenced_term", values[4]),
		FencedBy:   values[5],
		Synced:     d.pos("synced", values[6]),
		Applied:    d.pos("applied", values[7]),
		ConnLimit:  d.count("conn_limit", values[8]),
		ConnsInUse: d.count("conns_in_use", values[9]),
	}
	if d.err != nil {
		return endpoint.Status{}, d.err
	}
	return s, nil
}

// DecodeWait decodes the words that follow WAIT. The error is a *MalformedError.
func DecodeWait(words []string) (seen endpoint.Status, timeout time.Duration, err error) {
	if len(words) != 5 {
		return seen, 0, &MalformedError{What: "number of words of WAIT", Text: strconv.Itoa(len(words))}
	}
	d := &decoder{}
	seen.Synced = d.pos("synced", words[0])
	seen.Applied = d.pos("applied", words[1])
	seen.Role = d.role(words[2])
	seen.FencedTerm = d.number("fenced_term", words[3])
	timeout = time.Duration(d.count("timeout", words[4])) * time.Millisecond
	return seen, timeout, d.err
}

// DecodeTerm decodes a term and returns the word that follows it as rest. The
// error is a *MalformedError.
func DecodeTerm(words []string) (term uint64, rest string, err error) {
	if len(words) != 2 {
		return 0, "", &MalformedError{What: "number of words", Text: strconv.Itoa(len(words))}
	}
	d := &decoder{}
	return d.number("term", words[0]), words[1], d.err
}

// EncodeFenced returns the error detail of a refusal.
func EncodeFenced(e *endpoint.FencedError) string {
	return fmt.Sprintf("%d %d %s", e.Term, e.FencedTerm, e.FencedBy)
}

// DecodeFenced decodes the error detail of a refusal. The error is a
// *MalformedError.
func DecodeFenced(detail string) (*endpoint.FencedError, error) {
	parts := strings.SplitN(detail, " ", 3)
	if len(parts) != 3 {
		return nil, &MalformedError{What: "detail of a refusal", Text: detail}
	}
	d := &decoder{}
	e := &endpoint.FencedError{Term: d.number("term", parts[0]), FencedTerm: d.number("fenced_term", parts[1]), FencedBy: parts[2]}
	return e, d.err
}

// decoder decodes single values and keeps the first error.
type decoder struct{ err error }

func (d *decoder) fail(field, text string) {
	if d.err == nil {
		d.err = &MalformedError{What: field, Text: text}
	}
}

func (d *decoder) number(field, text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		d.fail(field, text)
	}
	return n
}

// maxCount bounds counts and timeouts in milliseconds, so that no unit
// conversion overflows.
const maxCount = 1 << 31

func (d *decoder) count(field, text string) int {
	n := d.number(field, text)
	if n > maxCount {
		d.fail(field, text)
		return 0
	}
	return int(n)
}

func (d *decoder) pos(field, text string) logpos.Pos {
	p, err := logpos.Parse(text)
	if err != nil {
		d.fail(field, text)
	}
	return p
}

func (d *decoder) role(text string) endpoint.Role {
	switch text {
	case endpoint.RolePrimary.String():
		return endpoint.RolePrimary
	case endpoint.RoleReplica.String():
		return endpoint.RoleReplica
	}
	d.fail("role", text)
	return endpoint.RoleReplica
}
