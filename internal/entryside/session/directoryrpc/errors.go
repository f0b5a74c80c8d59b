package directoryrpc

import (
	"fmt"
	"strings"
	"time"

	directorypb "hemlockmast/api/directory"
	"hemlockmast/internal/entryside/session"
)

// BatchSizeError reports a call with too many operations.
type BatchSizeError struct{ Size int }

func (e *BatchSizeError) Error() string {
	return fmt.Sprintf("batch of %d operations; allowed are %d", e.Size, MaxBatch)
}

// OperationError reports an operation of a kind that this daemon does not know.
type OperationError struct{ Kind directorypb.OperationKind }

func (e *OperationError) Error() string {
	return fmt.Sprintf("directory operation %d is not known", e.Kind)
}

// RefusedError reports an operation that a copy's daemon refused.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return "directory refused the operation: " + e.Reason }

// SuspendedError reports a copy that is not called for a while, because the last
// call to it failed.
type SuspendedError struct{ Until time.Time }

func (e *SuspendedError) Error() string {
	return "directory copy failed lately; not called until " + e.Until.Format(time.RFC3339Nano)
}

// AnswerCountError reports a batch whose answers do not match its operations.
type AnswerCountError struct{ Operations, Answers int }

func (e *AnswerCountError) Error() string {
	return fmt.Sprintf("%d answers to a batch of %d operations", e.Answers, e.Operations)
}

// CopyError reports one copy that could not be reached.
type CopyError struct {
	Member string
	Cause  error
}

func (e *CopyError) Error() string { return e.Member + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CopyError) Unwrap() error { return e.Cause }

// UnrecordedError reports floors that too few copies hold. The write that raised
// them must not be acknowledged through the directory.
type UnrecordedError struct {
	ID session.ID
	// Confirmed and Needed count copies.
	Confirmed, Needed int
	Copies            []*CopyError
}

func (e *UnrecordedError) Error() string {
	var causes strings.Builder
	for _, c := range e.Copies {
		causes.WriteString("; ")
		causes.WriteString(c.Error())
	}
	return fmt.Sprintf("floors of session %q are held by %d copies, needed are %d%s",
		e.ID, e.Confirmed, e.Needed, causes.String())
}
