// Package route chooses the slot of a database group to which a statement goes.
//
// Choose is a pure function of the statement, the service's policy, the
// session's floor, a table of slots and a source of randomness. A floor is the
// log position that a replica must have applied before the session may read
// there. It is settled once it is known to cover all acknowledged writes of the
// session.
//
// The table may be out of date. Before a read runs at a replica, the holder, the
// daemon with the connections to that replica, therefore checks the floor in the
// Decision again.
package route

import (
	"fmt"
	"time"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/entryside/session"
	"hemlockmast/internal/shared/logpos"
)

// Class states whether a statement is declared read-only.
type Class uint8

// Classes of statements.
const (
	// ClassReadWrite is a statement that may write. It is the zero Class.
	ClassReadWrite Class = iota
	// ClassReadOnly is a statement that does not write.
	ClassReadOnly
)

// Level states how current the reads of a service must be.
type Level uint8

// Read levels. All of them guarantee read-your-writes.
const (
	// LevelSession requires only that a session sees its own writes.
	LevelSession Level = iota
	// LevelAge also bounds the age of the data by Policy.MaxAge.
	LevelAge
	// LevelPrimary reads at the primary after a majority has confirmed its
	// term.
	LevelPrimary
)

// Preference states whether routing a service's reads should reduce the load of
// the primary or the latency of the reads.
type Preference uint8

// Read preferences.
const (
	// PreferReplicas waits up to Policy.MaxWait for a replica to meet the
	// floor.
	PreferReplicas Preference = iota
	// PreferLatency waits for a replica only while that is expected to be
	// faster than reading at the primary.
	PreferLatency
)

// Policy is the part of a service's file that routing uses.
type Policy struct {
	Level      Level
	Preference Preference
	// MaxAge limits the age of the data at LevelAge.
	MaxAge time.Duration
	// MaxWait limits the wait for a replica while there is a primary.
	MaxWait time.Duration
}

// Slot is what an entry, the daemon that receives the statement from the caller,
// knows of one slot of the group.
type Slot struct {
	Name string
	Role endpoint.Role
	// Term is the term of a primary; unused for replicas.
	Term uint64
	// Synced and Applied are the positions up to which the slot's last report
	// had the log durable and visible to reads.
	Synced, Applied logpos.Pos
	// Age is an upper bound on the age of a replica's data as package age
	// defines it; valid if AgeKnown.
	Age      time.Duration
	AgeKnown bool
	// ReplicationDelay is the expected time from a commit at the primary until
	// the commit is visible at this slot.
	ReplicationDelay time.Duration
	// ApplyDelay is the expected time from when this slot has synced a record
	// until it has applied it.
	ApplyDelay time.Duration
	// Latency is the expected time of a short statement without queueing.
	Latency time.Duration
	// Outstanding is the number of this entry's statements in progress at the
	// slot.
	Outstanding int
	// Leaving slots get no new work. Suspect slots may be down. Behind slots
	// are replicas excluded from reads because their data was too old; a
	// hysteresis decides when they return.
	Leaving, Suspect, Behind bool
}

// Request is one statement to route.
type Request struct {
	Class Class
	// TxSlot is the slot of the transaction in progress; empty outside one.
	TxSlot string
	// Floor is the session's floor in the group.
	Floor session.GroupFloor
	// FloorAge estimates how long ago the primary reached the floor; 0 if that
	// is not known.
	FloorAge time.Duration
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// Tried lists slots that are known not to have run this statement.
	Tried []string
}

// Action is what the entry must do with a statement.
type Action uint8

// Actions of a Decision.
const (
	// ActionSend sends the statement to Slot.
	ActionSend Action = iota + 1
	// ActionSendAndWait sends the statement to Slot, which runs it once it has
	// applied the floor. If the slot has not applied it after Wait, the entry
	// adds the slot to Request.Tried and routes again.
	ActionSendAndWait
	// ActionAskFloor asks the primary in Slot for a position to use as the
	// floor, then routes again.
	ActionAskFloor
	// ActionAwaitPrimary holds the statement for at most Wait until there is a
	// primary, then routes again.
	ActionAwaitPrimary
)

// Decision is the result of Choose.
type Decision struct {
	Action Action
	// Slot is empty for ActionAwaitPrimary.
	Slot string
	// Wait limits the wait of ActionSendAndWait and ActionAwaitPrimary.
	Wait time.Duration
	// Floor is the position that Slot must have applied before it runs a read;
	// zero if there is no such condition.
	Floor logpos.Pos
	// Confirm states that a majority of the slots must confirm the term of the
	// primary in Slot before its reply is used.
	Confirm bool
}

// Reason is why a statement was refused. A refused statement was not run.
type Reason uint8

// Reasons for a refusal.
const (
	// ReasonDeadline means that the caller's deadline has passed.
	ReasonDeadline Reason = iota + 1
	// ReasonTransactionLost means that the slot of the transaction no longer
	// exists.
	ReasonTransactionLost
	// ReasonFloorUnknown means that the floor is not settled and that there is
	// no primary to ask for one.
	ReasonFloorUnknown
	// ReasonFloorNotMet means that no reachable replica applies the session's
	// last write in time.
	ReasonFloorNotMet
	// ReasonTooOld means that no reachable replica's data is known to be within
	// the age limit.
	ReasonTooOld
	// ReasonNoEndpoint means that no reachable endpoint takes work.
	ReasonNoEndpoint
)

// String describes the reason in words for the caller.
func (r Reason) String() string {
	switch r {
	case ReasonDeadline:
		return "the deadline has passed"
	case ReasonTransactionLost:
		return "the endpoint of the transaction is gone"
	case ReasonFloorUnknown:
		return "the session's last write is not known here, and no primary can be asked"
	case ReasonFloorNotMet:
		return "no endpoint in reach holds the session's last write in time"
	case ReasonTooOld:
		return "no endpoint in reach has data of the stated age"
	case ReasonNoEndpoint:
		return "no endpoint in reach takes work"
	}
	return "unknown reason"
}

// RefusedError reports a statement that was refused and not run.
type RefusedError struct{ Reason Reason }

func (e *RefusedError) Error() string { return fmt.Sprintf("not run: %s", e.Reason) }
