// Package endpoint defines the interface between the proxy and the endpoints of
// a database group: status, fence, promote, follow and commit position.
// docs/endpoint-contract.md specifies what an endpoint must guarantee.
package endpoint

import (
	"context"
	"fmt"
	"time"

	"hemlockmast/internal/shared/logpos"
)

// Role is the role that an endpoint reports. A superseded primary may still
// report RolePrimary.
type Role uint8

// Roles of an endpoint.
const (
	RoleReplica Role = iota
	RolePrimary
)

// String returns the name of the role.
func (r Role) String() string {
	if r == RolePrimary {
		return "primary"
	}
	return "replica"
}

// Names of the contract's start-up parameters and ParameterStatus messages.
const (
	// ParamHolder is the start-up parameter by which a connection names the
	// holder and the holder's incarnation.
	ParamHolder = "hemlock.holder"
	// ParamIncarnation is the ParameterStatus by which an endpoint names its
	// incarnation at the start of each connection.
	ParamIncarnation = "hemlock.incarnation"
	// ParamCommit is the ParameterStatus that an endpoint sends before
	// ReadyForQuery after a transaction that wrote; its value is a logpos.Pos
	// in text form: the position of the commit record.
	ParamCommit = "hemlock.commit"
)

// SQLSTATE codes with a meaning in the contract.
const (
	// CodeReadOnly refuses a write at a replica or a fenced primary. The
	// statement had no effect.
	CodeReadOnly = "25006"
	// CodeTooManyConnections refuses a new connection.
	CodeTooManyConnections = "53300"
	// CodeFenced refuses a contract command because of its term or promoter.
	CodeFenced = "HM001"
)

// Status is the status that an endpoint reports. All fields are read at the same
// moment.
type Status struct {
	Group string
	Slot  string
	// Incarnation changes each time the endpoint starts with an empty disk.
	Incarnation string
	Role        Role
	// FencedTerm is the lowest term whose primary the endpoint accepts. It is
	// durable on the endpoint's disk.
	FencedTerm uint64
	// FencedBy names the promoter to which FencedTerm was granted. It is empty if
	// the endpoint learned the term from a primary.
	FencedBy string
	// Synced is the position of the last durable log record. Its Term is the log
	// term, never the fenced term. A commit is acknowledged by comparing its
	// position with Synced.
	Synced logpos.Pos
	// Applied is the position of the last record visible to reads.
	Applied logpos.Pos
	// ConnLimit is the maximum number of connections to this slot.
	ConnLimit int
	// ConnsInUse is the number of open connections to this slot.
	ConnsInUse int
}

// Controller issues the contract's commands to one endpoint. A refused term is
// reported as a *FencedError; other errors are those of the implementation or of
// the context. A Controller is not safe for concurrent use.
type Controller interface {
	// Status reads the endpoint's status.
	Status(ctx context.Context) (Status, error)
	// Wait returns the current status once its Synced, Applied, Role or
	// FencedTerm differs from that of seen, or after timeout.
	Wait(ctx context.Context, seen Status, timeout time.Duration) (Status, error)
	// Fence makes the endpoint refuse every lower term and grants term to
	// promoter. The grant is durable before the reply. The error is a
	// *FencedError if the term is granted to another promoter, or is at or below
	// the fenced term. Repeating a granted call is idempotent.
	Fence(ctx context.Context, term uint64, promoter string) (Status, error)
	// Promote makes the endpoint primary of term, which it must have granted to
	// promoter, and writes a log record that starts the term. Repeating the call
	// is idempotent.
	Promote(ctx context.Context, term uint64, promoter string) (Status, error)
	// Follow makes the endpoint a replica of the primary of term at addr. If the
	// tail of its log diverges from the primary's, the endpoint rewinds it first.
	// A term above the fenced term becomes the fenced term and is granted to no
	// promoter.
	Follow(ctx context.Context, term uint64, addr string) (Status, error)
	// Close releases the connection.
	Close() error
}

// ActivityReader is an optional interface of a Controller that reports whether a
// connection is active.
type ActivityReader interface {
	// Active reports whether a connection runs a statement. pid is the process id
	// that the endpoint sent at the start of the connection. An unknown
	// connection is not active.
	Active(ctx context.Context, pid uint32) (bool, error)
}

// FencedError reports a command that an endpoint refused because of its term or
// promoter.
type FencedError struct {
	// Term is the term of the refused command.
	Term uint64
	// FencedTerm and FencedBy are those of the endpoint's Status.
	FencedTerm uint64
	FencedBy   string
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("term %d refused: endpoint is fenced at term %d by %q",
		e.Term, e.FencedTerm, e.FencedBy)
}
