package agree

import "fmt"

// NotLeaderError reports that a call that only the leader serves was made at
// another node. The call had no effect.
type NotLeaderError struct {
	// Leader is the zero ID when no leader is known.
	Leader ID
	// Address is the leader's listening address, or empty if unknown.
	Address string
}

func (e *NotLeaderError) Error() string {
	if e.Leader == (ID{}) {
		return "not the leader; no leader is known"
	}
	return fmt.Sprintf("not the leader; the leader is %s at %s", e.Leader, e.Address)
}

// NotReadyError reports that the leader has not yet committed an entry of its
// own term. The call had no effect.
type NotReadyError struct{ Term uint64 }

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("leader of term %d has committed no entry of its term yet", e.Term)
}

// TooLargeError reports a command larger than MaxCommandBytes. The command was
// not proposed.
type TooLargeError struct{ Bytes int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("command of %d bytes exceeds the limit of %d", e.Bytes, MaxCommandBytes)
}

// BusyError reports that a command would exceed MaxUncommittedBytes. The
// command was not proposed and can be retried.
type BusyError struct{ UncommittedBytes int }

func (e *BusyError) Error() string {
	return fmt.Sprintf("%d bytes of commands are uncommitted; the limit is %d",
		e.UncommittedBytes, MaxUncommittedBytes)
}

// ChangeReason is the reason for refusing a membership change.
type ChangeReason uint8

// Reasons for refusing a membership change.
const (
	ChangeInProgress ChangeReason = iota
	ChangeTooManyMembers
	ChangeNoSuchMember
	ChangeLastVoter
	ChangeLosesQuorum
	ChangeWasRemoved
	// ChangeMayRejoin is ChangeWasRemoved for a member whose name no other incarnation
	// has. It may discard its log and join under a new incarnation.
	ChangeMayRejoin
)

// String returns the reason as a phrase for an error message.
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
	case ChangeMayRejoin:
		return "this incarnation was removed; join under a new one"
	}
	return "another change is not committed yet"
}

// ChangeError reports a refused membership change. The call had no effect.
type ChangeError struct {
	Name   string
	Reason ChangeReason
}

func (e *ChangeError) Error() string {
	return fmt.Sprintf("membership change for %q refused: %s", e.Name, e.Reason)
}

// InvariantError reports that a member would have to overwrite a committed
// entry, because some member lost durable state that it had acknowledged. The
// node must be stopped.
type InvariantError struct {
	Self   ID
	Index  uint64
	Commit uint64
}

func (e *InvariantError) Error() string {
	return fmt.Sprintf("%s: entry %d conflicts with the committed log (commit %d)",
		e.Self, e.Index, e.Commit)
}

// StateError reports stored entries whose indexes are not contiguous.
type StateError struct {
	Index    uint64
	Expected uint64
}

func (e *StateError) Error() string {
	return fmt.Sprintf("stored entry has index %d, expected %d", e.Index, e.Expected)
}
