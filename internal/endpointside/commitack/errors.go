package commitack

import (
	"fmt"

	"hemlockmast/internal/shared/logpos"
)

// SlotError reports a slot that is not configured in the group.
type SlotError struct{ Slot string }

func (e *SlotError) Error() string {
	return fmt.Sprintf("slot %q is not configured in this group", e.Slot)
}

// TermError reports a commit whose position is of another term than the group.
type TermError struct {
	Pos logpos.Pos
	// Term is the term of the group.
	Term uint64
}

func (e *TermError) Error() string {
	return fmt.Sprintf("commit at %s is not of term %d", e.Pos, e.Term)
}
