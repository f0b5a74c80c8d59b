package agreelog

import (
	"errors"
	"fmt"
	"syscall"
)

// DamageError reports stored bytes that were durable and are not as written.
// Nothing is changed or dropped.
type DamageError struct {
	File string
	// Offset is where the damaged record starts, in bytes.
	Offset int64
	Reason DamageReason
}

func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// DamageReason says what is wrong with a record.
type DamageReason uint8

// Kinds of damage.
const (
	DamageHeader DamageReason = iota
	DamageChecksum
	DamageTruncated
	DamageSequence
	DamageContent
)

// String returns the reason as a sentence part.
func (r DamageReason) String() string {
	switch r {
	case DamageChecksum:
		return "the record does not match its checksum"
	case DamageTruncated:
		return "the record ends too early"
	case DamageSequence:
		return "a record is missing"
	case DamageContent:
		return "the record matches its checksum and cannot be decoded"
	}
	return "this is not the start of a record"
}

// VersionError refuses a file of a format that this program does not know.
type VersionError struct {
	File string
	Have uint32
	Want uint32
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("%s: format version %d; this program reads version %d",
		e.File, e.Have, e.Want)
}

// LockedError reports a data folder that another process uses.
type LockedError struct{ Path string }

func (e *LockedError) Error() string {
	return fmt.Sprintf("%s is locked by another process", e.Path)
}

// NotFormattedError reports a data folder that holds no log.
type NotFormattedError struct{ Dir string }

func (e *NotFormattedError) Error() string {
	return fmt.Sprintf("%s holds no agreement log", e.Dir)
}

// NotEmptyError refuses to write over what is there.
type NotEmptyError struct{ Path string }

func (e *NotEmptyError) Error() string {
	return fmt.Sprintf("%s is there already and is left as it is", e.Path)
}

// FullError reports that the disk has no room. What was to be saved is not
// saved; everything saved before is, and the call can be repeated.
type FullError struct {
	File  string
	Bytes int
}

func (e *FullError) Error() string {
	return fmt.Sprintf("%s: no room on the disk for %d bytes", e.File, e.Bytes)
}

// SizeError refuses a record that exceeds MaxFrameBytes.
type SizeError struct {
	File  string
	Bytes int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("%s: a record of %d bytes exceeds the limit of %d",
		e.File, e.Bytes, MaxFrameBytes)
}

// IOError reports a failed operation on a file or folder.
type IOError struct {
	Op   Op
	Path string
	Err  error
}

func (e *IOError) Error() string { return fmt.Sprintf("%s %s: %v", e.Op, e.Path, e.Err) }

// Unwrap returns the operating system's error.
func (e *IOError) Unwrap() error { return e.Err }

// FailedError refuses a save because an earlier one left the file in doubt.
// The process must open the folder anew.
type FailedError struct {
	File string
	// Cause is the error that put the file in doubt.
	Cause error
}

func (e *FailedError) Error() string {
	return fmt.Sprintf("%s: closed for writing after: %v", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Cause }

// Op names an operation on a file or folder.
type Op string

// Operations.
const (
	OpMkdir    Op = "create folder"
	OpLock     Op = "lock"
	OpList     Op = "list"
	OpRead     Op = "read"
	OpCreate   Op = "create"
	OpOpen     Op = "open"
	OpWrite    Op = "write"
	OpSync     Op = "sync"
	OpTruncate Op = "truncate"
	OpRename   Op = "rename"
	OpSyncDir  Op = "sync folder"
)

// wrap types an operating system's error: *FullError, *LockedError or *IOError.
func wrap(op Op, path string, size int, err error) error {
	if err == nil {
		return nil
	}
	var locked *LockedError
	if errors.As(err, &locked) {
		return err
	}
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return &FullError{File: path, Bytes: size}
	}
	return &IOError{Op: op, Path: path, Err: err}
}
