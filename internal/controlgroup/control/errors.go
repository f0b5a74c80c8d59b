package control

import (
	"errors"
	"fmt"

	"hemlockmast/internal/controlgroup/agree"
)

// NotLeaderError reports that a call that only the leader serves was made at
// another member. The call had no effect.
type NotLeaderError struct {
	// Leader is the zero ID if no leader is known.
	Leader agree.ID
	// Address is where the leader serves the call, or empty if unknown.
	Address string
}

func (e *NotLeaderError) Error() string {
	if e.Address == "" {
		return "control: not the leader, and no leader is known"
	}
	return fmt.Sprintf("control: not the leader; ask %s at %s", e.Leader.Name, e.Address)
}

// NotProposedError reports a command or membership change that is not in the log
// and never will be. Cause is the reason.
type NotProposedError struct{ Cause error }

func (e *NotProposedError) Error() string {
	return fmt.Sprintf("control: command not taken: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotProposedError) Unwrap() error { return e.Cause }

// NotCommittedError reports a command whose log entry was overwritten by another
// leader's entry. The command has no effect and never will.
type NotCommittedError struct {
	Term  uint64
	Index uint64
}

func (e *NotCommittedError) Error() string {
	return fmt.Sprintf("control: command at entry %d of term %d was superseded and has no effect",
		e.Index, e.Term)
}

// OutcomeUnknownError reports a command that may or may not take effect, now or
// later. Cause is the reason why the wait ended.
type OutcomeUnknownError struct{ Cause error }

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("control: outcome unknown: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// NotCurrentError reports a refused read: the member could not confirm in time
// that its state is current.
type NotCurrentError struct{ Cause error }

func (e *NotCurrentError) Error() string {
	return fmt.Sprintf("control: cannot prove to be current: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotCurrentError) Unwrap() error { return e.Cause }

// StoppedError reports that the process is stopping.
type StoppedError struct{}

func (e *StoppedError) Error() string { return "control: stopping" }

// LeadershipLostError is the cause of an OutcomeUnknownError after the leader
// stepped down.
type LeadershipLostError struct{ Term uint64 }

func (e *LeadershipLostError) Error() string {
	return fmt.Sprintf("leadership of term %d ended", e.Term)
}

// SnapshotError reports that the state machine failed to create or restore a
// snapshot.
type SnapshotError struct {
	Index uint64
	Cause error
}

func (e *SnapshotError) Error() string {
	return fmt.Sprintf("control: snapshot at entry %d: %v", e.Index, e.Cause)
}

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Cause }

// NoGroupError reports that this process has not joined a group yet.
type NoGroupError struct{ Name string }

func (e *NoGroupError) Error() string {
	return fmt.Sprintf("control: %s has not joined a group yet", e.Name)
}

// LeaderAddressFrom returns the leader's address if err contains a *NotLeaderError
// with a known address.
func LeaderAddressFrom(err error) (address string, ok bool) {
	var notLeader *NotLeaderError
	if !errors.As(err, &notLeader) || notLeader.Address == "" {
		return "", false
	}
	return notLeader.Address, true
}
