// Package stmt defines statements and answers as the proxy handles them,
// whatever the wire protocol that carries them.
package stmt

import (
	"context"
	"fmt"
	"time"

	"hemlockmast/internal/shared/logpos"
)

// Kind is what a statement does.
type Kind uint8

// Kinds of statements.
const (
	Unknown Kind = iota
	Begin
	// BeginRead starts a transaction that only reads.
	BeginRead
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Deallocate
)

var kindNames = [...]string{
	"unknown", "begin", "begin read", "commit", "rollback", "read", "write",
	"set", "prepare", "execute", "deallocate",
}

// String returns the kind's name for logs.
func (k Kind) String() string { return kindNames[k] }

// Shape is the statement behind a prepared name.
type Shape struct {
	// Text is the shape as the caller wrote it.
	Text   string
	Writes bool
}

// Statement is one request of a caller.
type Statement struct {
	// ID names the request; answers and logs carry it.
	ID   string
	Kind Kind
	// Text is the statement as the caller wrote it.
	Text string
	// Name is the session value of Set, or the prepared name.
	Name string
	// Value is the session value of Set.
	Value string
	// Shape is what Prepare defines.
	Shape Shape
	// Args is what stands behind the name of Execute.
	Args string
}

// Code says why a statement failed.
type Code uint8

// Codes. NotRun reports which of them prove that nothing is kept.
const (
	CodeOther Code = iota
	// CodeBusy: the endpoint, or the proxy, has no room.
	CodeBusy
	// CodeAborted: the transaction is rolled back.
	CodeAborted
	// CodeLagging: the log lacks the position that was asked for.
	CodeLagging
	// CodeReadOnly: the endpoint does not lead its service.
	CodeReadOnly
	// CodeMisrouted: the endpoint is not the one that was asked for.
	CodeMisrouted
	// CodeTooMany: no further connection is taken.
	CodeTooMany
	// CodeNoStatement: the prepared name is unknown.
	CodeNoStatement
	// CodeNoDatabase: no route has the name.
	CodeNoDatabase
	// CodeFailed: the statement ran and failed.
	CodeFailed
	// CodeTimeout: the time is over; the statement may have run.
	CodeTimeout
	// CodeInDoubt: the write may or may not be kept.
	CodeInDoubt
	// CodeMalformed: the request is not understood or not allowed now.
	CodeMalformed
)

var codeNames = [...]string{
	"other", "busy", "aborted", "lagging", "read only", "misrouted", "too many",
	"no statement", "no database", "failed", "timeout", "in doubt", "malformed",
}

// String returns the code's name for logs.
func (c Code) String() string { return codeNames[c] }

// NotRun reports whether an endpoint's answer with this code proves that the
// statement did not run.
func (c Code) NotRun() bool {
	switch c {
	case CodeBusy, CodeLagging, CodeReadOnly, CodeMisrouted, CodeTooMany, CodeNoStatement:
		return true
	}
	return false
}

// Error is a failed statement, as the caller is told.
type Error struct {
	Code   Code
	Detail string
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Detail) }

// State is the transaction state after an answer.
type State uint8

// States.
const (
	Idle State = iota
	InTransaction
	// Failed: the transaction failed and waits for its end.
	Failed
)

// Reply is a whole answer.
type Reply struct {
	// Rows are passed on as they are.
	Rows []string
	// Signature proves which endpoint ran the statement.
	Signature string
	// Err is nil for a success.
	Err   *Error
	State State
	// Pos is the position of the endpoint's log; zero when it was not told.
	Pos logpos.Pos
}

// Role is what an endpoint is in its service.
type Role uint8

// Roles.
const (
	Replica Role = iota
	Primary
)

// Status is what an endpoint says of itself.
type Status struct {
	Role Role
	// Term is the term of the endpoint's log.
	Term uint64
	// Received is the last position in the log.
	Received logpos.Pos
	// HeldTerm is the term of a pause in force; 0 without one.
	HeldTerm uint64
	Lag      time.Duration
}

// Endpoint says where to connect and whom to expect there.
type Endpoint struct {
	ID      string
	Service string
	Address string
}

// Conn is a connection to an endpoint. It is used by one goroutine at a time.
// After an error that is not in the reply, the connection must be closed.
type Conn interface {
	// Do sends a statement and reads the whole answer. after is zero or the
	// position that the log must hold for the statement to run. The error says
	// whether any byte may have left: *BrokenError.
	Do(deadline time.Time, text, id string, after logpos.Pos) (Reply, error)
	// Status asks the endpoint for its state.
	Status(deadline time.Time) (Status, error)
	// Pause stops a replica from receiving until Resume.
	Pause(deadline time.Time, term uint64) (Status, error)
	Resume(deadline time.Time) (Status, error)
	// StepDown makes a primary of a lower term a replica.
	StepDown(deadline time.Time, term uint64) (Status, error)
	Close()
}

// BrokenError reports a connection that failed during an exchange.
type BrokenError struct {
	// Sent is set when the endpoint may have received the statement.
	Sent  bool
	Cause error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("connection to the endpoint failed (sent: %t): %v", e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// RefusedError reports an endpoint that refused a connection or a command.
type RefusedError struct{ Reply *Error }

func (e *RefusedError) Error() string { return "endpoint refused: " + e.Reply.Error() }

// Unwrap returns the endpoint's answer.
func (e *RefusedError) Unwrap() error { return e.Reply }

// Dialer opens connections to endpoints. Errors: *RefusedError, *BrokenError.
type Dialer interface {
	Dial(ctx context.Context, endpoint Endpoint) (Conn, error)
}
