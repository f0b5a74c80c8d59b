package agreelog

import (
	"errors"
	"fmt"
	"syscall"
)

// DamageError reports durable bytes that differ from what was written. The file
// is left unchanged.
type DamageError struct {
	File string
	// Offset is the byte offset at which the damaged record starts.
	Offset int64
	Reason DamageReason
}

func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// DamageReason is the kind of damage to a record.
type DamageReason uint8

// Kinds of damage.
const (
	DamageHeader DamageReason = iota
	DamageChecksum
	DamageTruncated
	DamageSequence
	DamageContent
)

// String returns the reason as a phrase for an error message.
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

// VersionError reports a file whose format version this program cannot read.
type VersionError struct {
	File      string
	Found     uint32
	Supported uint32
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("%s: format version %d; this program reads version %d",
		e.File, e.Found, e.Supported)
}

// LockedError reports a data folder that another process has locked.
type LockedError struct{ Path string }

func (e *LockedError) Error() string {
	return fmt.Sprintf("%s is locked by another process", e.Path)
}

// NotFormattedError reports a data folder that holds no log.
type NotFormattedError struct{ Dir string }

func (e *NotFormattedError) Error() string {
	return fmt.Sprintf("%s holds no agreement log", e.Dir)
}

// NotEmptyError reports that a file exists already. It is not overwritten.
type NotEmptyError struct{ Path string }

func (e *NotEmptyError) Error() string {
	return fmt.Sprintf("%s is there already and is left as it is", e.Path)
}

// FullError reports a full disk or an exceeded quota. The call saved nothing and
// can be retried; everything saved before it is intact.
type FullError struct {
	File  string
	Bytes int
}

func (e *FullError) Error() string {
	return fmt.Sprintf("%s: no room on the disk for %d bytes", e.File, e.Bytes)
}

// SizeError reports a record that exceeds MaxFrameBytes or cannot be encoded.
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

// FailedError reports that the log accepts no saves, because after a failed
// operation the content of the file is unknown. The process must open the folder
// again.
type FailedError struct {
	File string
	// Cause is the error of the failed operation.
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

// wrapError converts an operating system error to *FullError, *LockedError or
// *IOError; nil stays nil.
func wrapError(op Op, path string, size int, err error) error {
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
