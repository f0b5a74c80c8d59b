package timeline

import (
	"fmt"
	"time"
)

// StampError reports a text that is not a stamp.
type StampError struct{ Text string }

func (e *StampError) Error() string {
	return fmt.Sprintf("clock stamp %.40q is not of the form wall.counter", e.Text)
}

// AheadError reports a stamp that is more than MaxAhead ahead of this daemon's clock.
type AheadError struct{ Ahead time.Duration }

func (e *AheadError) Error() string {
	return fmt.Sprintf("clock stamp is %v ahead of this daemon's clock; allowed are %v", e.Ahead, MaxAhead)
}

// FileError reports an event file that could not be read or written.
type FileError struct {
	// Op is the failed operation, such as "open"; Name is the file name.
	Op, Name string
	Cause    error
}

func (e *FileError) Error() string { return e.Op + " " + e.Name + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }
