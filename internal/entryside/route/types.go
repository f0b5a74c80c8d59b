// Package route chooses the endpoint for a statement. It is a pure function of
// the statement, the service's policy, the session's floor and a table of slots;
// randomness is passed in. The table may be old: a holder checks the floor that
// a Decision carries again before it sends a read to a replica.
package route

import (
	"fmt"
	"time"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/entryside/session"
	"hemlockmast/internal/shared/logpos"
)

// Class is what is declared of a statement.
type Class uint8

// Classes of statements. The zero Class is a statement that may write.
const (
	ClassUnknown Class = iota
	ClassReadOnly
)

// Level is how current a service's reads have to be.
type Level uint8

// Read levels. All of them keep read-your-writes.
const (
	// LevelSession sees the session's own writes.
	LevelSession Level = iota
	// LevelAge also bounds the age of the data by Policy.MaxAge.
	LevelAge
	// LevelPrimary reads at the primary, whose term a majority confirms.
	LevelPrimary
)

// Preference is what a service wants of its reads.
type Preference uint8

// Preferences.
const (
	// PreferReplicas waits at a replica that is about to meet the floor.
	PreferReplicas Preference = iota
	// PreferLatency waits only while that is quicker than the primary.
	PreferLatency
)

// Policy is the part of a service's file that routing needs.
type Policy struct {
	Level      Level
	Preference Preference
	// MaxAge bounds the age of data at LevelAge.
	MaxAge time.Duration
	// MaxWait bounds the wait at a replica while there is a primary.
	MaxWait time.Duration
}

// Slot is what the entry knows of one slot of the group.
type Slot struct {
	Name string
	Role endpoint.Role
	// Term is the term that a primary is primary of; unused for replicas.
	Term uint64
	// Synced and Applied are the positions last reported.
	Synced, Applied logpos.Pos
	// Age bounds the age of a replica's data when AgeKnown.
	Age      time.Duration
	AgeKnown bool
	// Delay is the expected time from a commit at the primary to its being
	// visible here.
	Delay time.Duration
	// ApplyDelay is the expected time from synced to applied.
	ApplyDelay time.Duration
	// Latency is the expected time for a short statement without a queue.
	Latency time.Duration
	// Outstanding counts this entry's statements at the slot.
	Outstanding int
	// Leaving slots get no new work; Suspect slots may be dead; Behind slots
	// left because they were too old, with hysteresis.
	Leaving, Suspect, Behind bool
}

// Request is one statement to be routed.
type Request struct {
	Class Class
	// Bound is the slot of the transaction in progress; empty outside one.
	Bound string
	// Floor is the session's floor in the group.
	Floor session.GroupFloor
	// FloorAge is how long ago the primary is known to have been at the floor;
	// 0 when that is not known.
	FloorAge time.Duration
	// Remaining is the time to the caller's deadline.
	Remaining time.Duration
	// Tried lists slots that proved not to have run this statement.
	Tried []string
}

// Action is what the entry does with a statement.
type Action uint8

// Actions.
const (
	// ActionSend sends the statement to Slot.
	ActionSend Action = iota + 1
	// ActionWait sends it to Slot, to run once the slot has applied the floor. A
	// slot that has not after Wait is to be put into Request.Tried.
	ActionWait
	// ActionAskFloor asks the primary Slot for a safe floor, then routes again.
	ActionAskFloor
	// ActionAwaitPrimary holds the statement for a primary, within Wait, then
	// routes again.
	ActionAwaitPrimary
)

// Decision is the outcome of Choose.
type Decision struct {
	Action Action
	Slot   string
	Wait   time.Duration
	// Floor is what the slot must have applied before a read runs there.
	Floor logpos.Pos
	// Confirm asks for a majority's confirmation that the primary's term stands.
	Confirm bool
}

// Reason is why a statement is refused. It was not run.
type Reason uint8

// Reasons for a refusal.
const (
	// ReasonDeadline has no time left.
	ReasonDeadline Reason = iota + 1
	// ReasonTransactionLost has a transaction whose slot is gone.
	ReasonTransactionLost
	// ReasonFloorUnknown has neither a floor nor a primary to ask for one.
	ReasonFloorUnknown
	// ReasonFloorNotMet has no endpoint that can show the session's writes in
	// time.
	ReasonFloorNotMet
	// ReasonTooOld has no endpoint whose data is of the stated age.
	ReasonTooOld
	// ReasonNoEndpoint has no endpoint that takes work.
	ReasonNoEndpoint
)

// String describes the reason.
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

// RefusedError reports a statement that was not run.
type RefusedError struct{ Reason Reason }

func (e *RefusedError) Error() string { return fmt.Sprintf("not run: %s", e.Reason) }
