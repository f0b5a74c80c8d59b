// Package outcome defines the possible outcomes of a caller's request (done, not run,
// and outcome unknown) and the error type that carries them.
package outcome

import "fmt"

// Outcome is the known outcome of a request.
type Outcome uint8

// Outcomes. The proxy may retry a request only if its outcome is NotRun.
const (
	// Done: the endpoint answered and the answer is final.
	Done Outcome = iota
	// NotRun: no part of the request has taken or will take effect.
	NotRun
	// Unknown: the request may or may not have taken effect.
	Unknown
)

// String returns the outcome as text for messages.
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

// SQLSTATE codes in errors to callers. Codes that begin with HM are hemlockmast's own.
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

// Reason is the reason of a refusal or failure. The set of reasons is fixed, so that a
// reason can be a metric label.
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

// Error is a failure of the proxy, as opposed to an error that the endpoint answered.
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

// NotRunError returns an error with the outcome NotRun, for a request of which no byte
// was sent to an endpoint.
func NotRunError(code string, reason Reason, message string, cause error) *Error {
	return &Error{Outcome: NotRun, Code: code, Reason: reason, Message: message, Cause: cause}
}

// UnknownError returns an error with the outcome Unknown, for a request that may have
// run.
func UnknownError(reason Reason, message string, cause error) *Error {
	return &Error{
		Outcome: Unknown, Code: CodeResolutionUnknown,
		Reason: reason, Message: message, Cause: cause,
	}
}
