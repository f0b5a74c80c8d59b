package configstate

import (
	"fmt"

	"hemlockmast/api/configstate"
)

// ConflictError reports that another change was published first. The refused
// change leaves the configuration as it is. It has to be prepared again from
// CurrentRevision, with a new change id.
type ConflictError struct {
	BaseRevision    uint64
	CurrentRevision uint64
	Winner          *configstate.Change
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf(
		"change was prepared from revision %d, but revision %d is in force: change %s by %s made revision %d",
		e.BaseRevision, e.CurrentRevision,
		e.Winner.GetId(), e.Winner.GetAuthor(), e.Winner.GetRevision())
}

// ChangeIDReusedError reports a change id that belongs to another change, First.
type ChangeIDReusedError struct {
	First *configstate.Change
}

func (e *ChangeIDReusedError) Error() string {
	return fmt.Sprintf("change id %s belongs to another change, by %s",
		e.First.GetId(), e.First.GetAuthor())
}

// MalformedError reports a command that the machine cannot apply, or a result
// that cannot be decoded.
type MalformedError struct{ Detail string }

func (e *MalformedError) Error() string { return "malformed change: " + e.Detail }

// SnapshotError reports a snapshot that cannot be restored.
type SnapshotError struct{ Detail string }

func (e *SnapshotError) Error() string { return "configuration snapshot: " + e.Detail }

// GapError reports a delta that starts at revision From, which is later than
// the follower's Revision. The follower lacks the changes in between.
type GapError struct {
	Revision uint64
	From     uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("delta starts at revision %d, after revision %d", e.From, e.Revision)
}

// UpdateError reports an update of an unknown kind, or one that holds an entry
// without a name or a name twice.
type UpdateError struct{ Detail string }

func (e *UpdateError) Error() string { return "configuration update: " + e.Detail }

// UnmarshalResult decodes the bytes that Machine.Apply returns. Bytes that
// cannot be decoded give *MalformedError.
func UnmarshalResult(data []byte) (*configstate.Result, error) {
	result := &configstate.Result{}
	if err := unmarshal(data, result); err != nil {
		return nil, &MalformedError{Detail: "result: " + err.Error()}
	}
	return result, nil
}

// DecodeAccepted decodes the bytes that Machine.Apply returns for a change that
// was prepared from revision base. For a refused change it returns
// *ConflictError, *ChangeIDReusedError or *MalformedError.
func DecodeAccepted(data []byte, base uint64) (*configstate.Accepted, error) {
	result, err := UnmarshalResult(data)
	if err != nil {
		return nil, err
	}
	switch kind := result.Kind.(type) {
	case *configstate.Result_Accepted:
		return kind.Accepted, nil
	case *configstate.Result_Conflict:
		return nil, &ConflictError{
			BaseRevision:    base,
			CurrentRevision: kind.Conflict.GetCurrentRevision(),
			Winner:          kind.Conflict.GetWinner(),
		}
	case *configstate.Result_ChangeIdReused:
		return nil, &ChangeIDReusedError{First: kind.ChangeIdReused.GetFirst()}
	}
	return nil, &MalformedError{Detail: result.GetMalformed().GetDetail()}
}
