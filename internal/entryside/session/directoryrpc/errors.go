package directoryrpc

import (
	"fmt"
	"strings"
	"time"

	directorypb "hemlockmast/api/directory"
	"hemlockmast/internal/entryside/session"
)

// BatchSizeError reports a call with more than MaxBatch operations.
type BatchSizeError struct{ Size int }

func (e *BatchSizeError) Error() string {
	return fmt.Sprintf("batch of %d operations; allowed are %d", e.Size, MaxBatch)
}

// OperationError reports an operation of a kind that this daemon does not
// support.
type OperationError struct{ Kind directorypb.OperationKind }

func (e *OperationError) Error() string {
	return fmt.Sprintf("directory operation %d is not known", e.Kind)
}

// RefusedError reports an operation that the daemon of a copy refused.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return "directory refused the operation: " + e.Reason }

// SuspendedError reports a copy that is not called until the given time, because
// the last call to it failed.
type SuspendedError struct{ Until time.Time }

func (e *SuspendedError) Error() string {
	return "directory copy failed lately; not called until " + e.Until.Format(time.RFC3339Nano)
}

// AnswerCountError reports a batch with a different number of answers than
// operations.
type AnswerCountError struct{ Operations, Answers int }

func (e *AnswerCountError) Error() string {
	return fmt.Sprintf("%d answers to a batch of %d operations", e.Answers, e.Operations)
}

// CopyError reports a copy whose operation failed.
type CopyError struct {
	Member string
	Cause  error
}

func (e *CopyError) Error() string { return e.Member + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CopyError) Unwrap() error { return e.Cause }

// UnrecordedError reports floors that were recorded at too few copies, or could
// not be recorded at enough of them. The write that raised them must not be
// acknowledged on the basis of the directory.
type UnrecordedError struct {
	ID session.ID
	// Confirmed is the number of copies that confirmed or could confirm, Needed
	// the required number.
	Confirmed, Needed int
	// Copies holds the errors of the copies that failed.
	Copies []*CopyError
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
