// Package outcome defines what a caller may be told about its request: done,
// not run, or outcome unknown, and the error type that carries it.
package outcome

import "fmt"

// Outcome is what is known of a request.
type Outcome uint8

// Outcomes. Only NotRun may be retried by the system.
const (
	// Done: the endpoint answered and the answer holds.
	Done Outcome = iota
	// NotRun: no part of the request had or will have an effect.
	NotRun
	// Unknown: the request may or may not have had its effect.
	Unknown
)

// String returns the outcome in words.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotRun:
		return "not run"
	default:
		return "outcome unknown"
	}
}

// SQLSTATE codes that callers see.
const (
	CodeProtocolViolation     = "08P01"
	CodeResolutionUnknown     = "08007"
	CodeFeatureNotSupported   = "0A000"
	CodeUndefinedStatement    = "26000"
	CodeInvalidCatalogName    = "3D000"
	CodeDuplicateStatement    = "42P05"
	CodeInvalidParameter      = "22023"
	CodeInsufficientResources = "53000"
	CodeTooManyConnections    = "53300"
	CodeLimitExceeded         = "54000"
	CodeQueryCanceled         = "57014"
	CodeAdminShutdown         = "57P01"
	CodeCannotConnectNow      = "57P03"
	CodeReadOnlyTransaction   = "25006"
	CodeStaleRead             = "HM002"
	CodeDuplicateRequest      = "HM003"
	CodeInvalidSessionToken   = "HM004"
)

// Reason is the cause of a refusal, one of a bounded set fit for a metric label.
type Reason string

// Reasons of refusals and failures.
const (
	ReasonDeadline      Reason = "deadline"
	ReasonQueueFull     Reason = "queue_full"
	ReasonNoPrimary     Reason = "no_primary"
	ReasonNoReplica     Reason = "no_replica"
	ReasonNoHolder      Reason = "no_holder"
	ReasonEndpointDown  Reason = "endpoint_down"
	ReasonConnLost      Reason = "connection_lost"
	ReasonNotConfirmed  Reason = "commit_not_confirmed"
	ReasonCanceled      Reason = "canceled"
	ReasonDraining      Reason = "draining"
	ReasonUnknownTarget Reason = "unknown_target"
	ReasonSuperseded    Reason = "superseded"
	ReasonTooLarge      Reason = "too_large"
	ReasonProtocol      Reason = "protocol"
	ReasonStale         Reason = "stale"
	ReasonRepeated      Reason = "repeated"
	ReasonNoDirectory   Reason = "no_directory"
	// ReasonNoConfiguration: the daemon has not agreed on a configuration.
	ReasonNoConfiguration Reason = "no_configuration"
)

// Error is a failure of the system, as opposed to an answer of the endpoint.
type Error struct {
	Outcome Outcome
	// Code is the SQLSTATE that the caller sees.
	Code   string
	Reason Reason
	// Message is one sentence for the caller.
	Message string
	// Cause is the underlying error, nil if there is none.
	Cause error
}

func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s (%s, SQLSTATE %s)", e.Message, e.Outcome, e.Code)
	}
	return fmt.Sprintf("%s: %v (%s, SQLSTATE %s)", e.Message, e.Cause, e.Outcome, e.Code)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// NotRunError returns an error for a request of which no byte has left for an
// endpoint.
func NotRunError(code string, reason Reason, message string, cause error) *Error {
	return &Error{Outcome: NotRun, Code: code, Reason: reason, Message: message, Cause: cause}
}

// UnknownError returns an error for a request that may have run.
func UnknownError(reason Reason, message string, cause error) *Error {
	return &Error{
		Outcome: Unknown, Code: CodeResolutionUnknown,
		Reason: reason, Message: message, Cause: cause,
	}
}
