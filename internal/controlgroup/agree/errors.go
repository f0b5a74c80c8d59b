package agree

import "fmt"

// NotLeaderError refuses a call that only the leader serves. The call had no
// effect.
type NotLeaderError struct {
	// Leader is the zero ID when no leader is known.
	Leader ID
	// Address is where Leader listens; empty when unknown.
	Address string
}

func (e *NotLeaderError) Error() string {
	if e.Leader == (ID{}) {
		return "not the leader; no leader is known"
	}
	return fmt.Sprintf("not the leader; the leader is %s at %s", e.Leader, e.Address)
}

// NotReadyError refuses a call because the leader has not yet committed an
// entry of its own term. The call had no effect.
type NotReadyError struct{ Term uint64 }

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("leader of term %d has committed no entry of its term yet", e.Term)
}

// TooLargeError refuses a command above MaxCommandBytes.
type TooLargeError struct{ Bytes int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("command of %d bytes exceeds the limit of %d", e.Bytes, MaxCommandBytes)
}

// BusyError refuses a command because too many bytes are uncommitted.
type BusyError struct{ UncommittedBytes int }

func (e *BusyError) Error() string {
	return fmt.Sprintf("%d bytes of commands are uncommitted; the limit is %d",
		e.UncommittedBytes, MaxUncommittedBytes)
}

// ChangeReason says why a membership change was refused.
type ChangeReason uint8

// Reasons to refuse a membership change.
const (
	ChangeInProgress ChangeReason = iota
	ChangeTooManyMembers
	ChangeNoSuchMember
	ChangeLastVoter
	ChangeLosesQuorum
	ChangeWasRemoved
)

// String returns the reason as a sentence part.
func (r ChangeReason) String() string {
	switch r {
	case ChangeTooManyMembers:
		return "the group has its greatest size"
	case ChangeNoSuchMember:
		return "no such member"
	case ChangeLastVoter:
		return "the last voter cannot be removed"
	case ChangeLosesQuorum:
		return "too few of the remaining voters answer"
	case ChangeWasRemoved:
		return "this incarnation was removed; format its data folder anew"
	}
	return "another change is not committed yet"
}

// ChangeError refuses a membership change. The call had no effect.
type ChangeError struct {
	Name   string
	Reason ChangeReason
}

func (e *ChangeError) Error() string {
	return fmt.Sprintf("membership change for %q refused: %s", e.Name, e.Reason)
}

// InvariantError reports that a member would have to undo a committed entry.
// The node must be stopped: some member has lost promised state.
type InvariantError struct {
	Self   ID
	Index  uint64
	Commit uint64
}

func (e *InvariantError) Error() string {
	return fmt.Sprintf("%s: entry %d conflicts with the committed log (commit %d)",
		e.Self, e.Index, e.Commit)
}

// StateError refuses durable state that does not fit together.
type StateError struct {
	Index uint64
	Want  uint64
}

func (e *StateError) Error() string {
	return fmt.Sprintf("stored entry has index %d where %d is due", e.Index, e.Want)
}
