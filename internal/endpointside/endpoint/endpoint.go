// Package endpoint defines the narrow interface between the system and the
// endpoints of a database group: status, fence, promote, follow and position.
// docs/endpoint-contract.md states what an endpoint must keep.
package endpoint

import (
	"context"
	"fmt"
	"time"

	"hemlockmast/internal/shared/logpos"
)

// Role is what an endpoint believes it is. A superseded primary may still
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

// Names of the start-up parameters and reported parameters of the contract.
const (
	// ParamHolder names the holder and its incarnation on each connection.
	ParamHolder = "hemlock.holder"
	// ParamIncarnation is the ParameterStatus by which an endpoint names its
	// incarnation at the start of each connection.
	ParamIncarnation = "hemlock.incarnation"
	// ParamCommit is the ParameterStatus that an endpoint sends before
	// ReadyForQuery after a transaction that wrote; its value is a logpos.Pos
	// in text form: the position of the commit record.
	ParamCommit = "hemlock.commit"
)

// SQLSTATE codes that the contract gives a meaning.
const (
	// CodeReadOnly refuses a write at a replica or a fenced primary; the
	// statement had no effect.
	CodeReadOnly = "25006"
	// CodeTooManyConnections refuses a new connection.
	CodeTooManyConnections = "53300"
	// CodeFenced refuses a contract command whose term is too low.
	CodeFenced = "HM001"
)

// Status is what an endpoint says of itself. All of it is read at one moment.
type Status struct {
	Group string
	Slot  string
	// Incarnation changes each time the endpoint starts with an empty disk.
	Incarnation string
	Role        Role
	// FencedTerm is the lowest term from which the endpoint accepts a primary,
	// durable on the endpoint's disk.
	FencedTerm uint64
	// FencedBy names the promoter to which FencedTerm was granted; empty when
	// the term was learnt from a primary.
	FencedBy string
	// Synced is the position of the last log record that is durable; its Term
	// is the log term, never the fenced term. It counts for acknowledging.
	Synced logpos.Pos
	// Applied is the position of the last record visible to reads.
	Applied logpos.Pos
	// ConnLimit and ConnsInUse count connections on this slot.
	ConnLimit  int
	ConnsInUse int
}

// Controller issues the contract's commands to one endpoint. Errors are of the
// types in this package, or context errors. A Controller may be used by one
// goroutine at a time.
type Controller interface {
	// Status reads the endpoint's status.
	Status(ctx context.Context) (Status, error)
	// Wait returns once Synced, Applied, Role or FencedTerm differs from what
	// seen reports, or after timeout; either way with the present status.
	Wait(ctx context.Context, seen Status, timeout time.Duration) (Status, error)
	// Fence makes the endpoint refuse every term below term and grants term to
	// promoter. The grant is synced before the reply. A term already granted to
	// another promoter, or at or below the fenced term, gives *FencedError.
	// Repeating a granted call gives the same reply.
	Fence(ctx context.Context, term uint64, promoter string) (Status, error)
	// Promote makes the endpoint primary of term, which it must have granted to
	// promoter, and writes a record that starts the term. Repeating the call
	// gives the same reply.
	Promote(ctx context.Context, term uint64, promoter string) (Status, error)
	// Follow makes the endpoint a replica of the primary of term at addr; a
	// divergent tail of its log is rewound first.
	Follow(ctx context.Context, term uint64, addr string) (Status, error)
	// Close releases the connection.
	Close() error
}

// ActivityReader is a Controller that can look at one connection.
type ActivityReader interface {
	// Active reports whether the connection of pid, the process id that the
	// endpoint gave at its start, runs a statement. A connection that the
	// endpoint does not know is not active.
	Active(ctx context.Context, pid uint32) (bool, error)
}

// FencedError reports a command that an endpoint refused because of its term.
type FencedError struct {
	Term       uint64
	FencedTerm uint64
	FencedBy   string
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("term %d refused: endpoint is fenced at term %d by %q",
		e.Term, e.FencedTerm, e.FencedBy)
}
