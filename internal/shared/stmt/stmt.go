// Package stmt defines statements, answers and endpoint connections independently of
// the wire protocol that carries them.
package stmt

import (
	"context"
	"fmt"
	"time"

	"hemlockmast/internal/shared/logpos"
)

// Kind is the kind of a statement.
type Kind uint8

// Kinds of statements.
const (
	// Unknown is a statement that is not understood.
	Unknown Kind = iota
	Begin
	// BeginRead starts a read-only transaction.
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

// Shape is a prepared statement without its arguments.
type Shape struct {
	// Text is the statement as the caller wrote it.
	Text string
	// Writes means that the statement is a write.
	Writes bool
}

// Statement is one request of a caller.
type Statement struct {
	// ID identifies the request. Answers and logs contain it.
	ID   string
	Kind Kind
	// Text is the statement as the caller wrote it.
	Text string
	// Name is the name of the session variable of Set, or the name of the prepared
	// statement of Prepare, Execute and Deallocate.
	Name string
	// Value is the value of the session variable of Set.
	Value string
	// Shape is the statement that Prepare prepares.
	Shape Shape
	// Args holds the arguments of Execute.
	Args string
}

// Code is the reason why a statement failed.
type Code uint8

// Error codes. Code.NotRun reports which of them prove that the statement did not run.
const (
	// CodeOther: the endpoint's error code is not known.
	CodeOther Code = iota
	// CodeBusy: the endpoint or the proxy has no capacity left for the statement.
	CodeBusy
	// CodeAborted: the transaction is rolled back.
	CodeAborted
	// CodeLagging: the endpoint's log has not reached the requested position.
	CodeLagging
	// CodeReadOnly: the endpoint is not the primary of its service.
	CodeReadOnly
	// CodeMisrouted: the endpoint is not the one that the connection was meant for.
	CodeMisrouted
	// CodeTooMany: the connection limit is reached.
	CodeTooMany
	// CodeNoStatement: no prepared statement has the name.
	CodeNoStatement
	// CodeNoDatabase: no route has the database name.
	CodeNoDatabase
	// CodeFailed: the statement ran and failed.
	CodeFailed
	// CodeTimeout: the deadline passed; the statement may have run.
	CodeTimeout
	// CodeInDoubt: the outcome of the write is unknown.
	CodeInDoubt
	// CodeMalformed: the request is not understood or not allowed in the current state.
	CodeMalformed
	// CodeNoAuth: no workspace holds the caller's key.
	CodeNoAuth
)

var codeNames = [...]string{
	"other", "busy", "aborted", "lagging", "read only", "misrouted", "too many",
	"no statement", "no database", "failed", "timeout", "in doubt", "malformed", "no auth",
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

// Error is the error of a failed statement that the caller receives.
type Error struct {
	Code Code
	// Detail is an explanation in one line.
	Detail string
	// Overloaded is set on a refusal because of a long queue. An early retry would be refused
	// as well. It does not travel over a wire.
	Overloaded bool
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Detail) }

// State is the transaction state of a session after an answer.
type State uint8

// Transaction states.
const (
	// Idle: no transaction is open.
	Idle State = iota
	// InTransaction: a transaction is open.
	InTransaction
	// Failed: a statement of the open transaction failed; it can only be ended.
	Failed
)

// Reply is the complete answer to a statement.
type Reply struct {
	// Rows holds the result rows, which are forwarded unchanged.
	Rows []string
	// Signature proves which endpoint ran the statement; empty when the proxy itself
	// produced the answer.
	Signature string
	// Err is nil if the statement succeeded.
	Err   *Error
	State State
	// Pos is the position of the endpoint's log; zero if the endpoint did not report it.
	Pos logpos.Pos
}

// Role is the replication role of an endpoint in its service.
type Role uint8

// Replication roles.
const (
	Replica Role = iota
	Primary
)

// Status is the state that an endpoint reports.
type Status struct {
	Role Role
	// Term is the term of the endpoint's log.
	Term uint64
	// Received is the last position that the endpoint's log has received.
	Received logpos.Pos
	// PausedTerm is the term of a pause in force; 0 without one.
	PausedTerm uint64
	// Lag is the replication lag.
	Lag time.Duration
}

// Endpoint is an address to connect to, and the identity of the endpoint that is expected
// there.
type Endpoint struct {
	ID      string
	Service string
	// Address has the form "ip:port".
	Address string
	// Workspace is the workspace that the connection is opened for; "" where callers are not
	// identified.
	Workspace string
}

// Conn is a connection to an endpoint. It is not safe for concurrent use. After any error
// that a method returns, the connection must be closed. Errors: *BrokenError, and
// *RefusedError from Status, Pause, Resume and StepDown.
type Conn interface {
	// Do sends a statement and reads the complete answer. An error of the statement
	// itself is in the reply. If after is not zero, the statement only runs if the
	// endpoint's log has reached that position. BrokenError.Sent tells whether any byte
	// may have been sent.
	Do(deadline time.Time, text, id string, after logpos.Pos) (Reply, error)
	// Status asks the endpoint for its state.
	Status(deadline time.Time) (Status, error)
	// Pause makes a replica stop receiving from the primary until Resume, in preparation
	// of a promotion to the given term.
	Pause(deadline time.Time, term uint64) (Status, error)
	// Resume ends a pause.
	Resume(deadline time.Time) (Status, error)
	// StepDown makes a primary whose term is lower than term a replica.
	StepDown(deadline time.Time, term uint64) (Status, error)
	Close()
}

// BrokenError reports a connection that failed during an exchange.
type BrokenError struct {
	// Sent means that the endpoint may have received the statement.
	Sent  bool
	Cause error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("connection to the endpoint failed (sent: %t): %v", e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// RefusedError reports that an endpoint refused a connection or a command.
type RefusedError struct{ Reply *Error }

func (e *RefusedError) Error() string { return "endpoint refused: " + e.Reply.Error() }

// Unwrap returns the endpoint's answer.
func (e *RefusedError) Unwrap() error { return e.Reply }

// Dialer opens connections to endpoints. Errors: *RefusedError, *BrokenError.
type Dialer interface {
	// Dial opens a connection to endpoint before the deadline of ctx.
	Dial(ctx context.Context, endpoint Endpoint) (Conn, error)
}
