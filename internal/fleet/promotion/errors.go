package promotion

import (
	"fmt"
	"time"

	"hemlockmast/internal/shared/logpos"
)

// OutcomeUnknownError reports a promotion that may have been carried out or may still be
// carried out later.
type OutcomeUnknownError struct{ Cause error }

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the outcome of the promotion is unknown: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// ConflictError reports that the platform refused a promotion: a higher token was
// already used, or the endpoint is not running.
type ConflictError struct{ Detail string }

func (e *ConflictError) Error() string { return "promotion refused: " + e.Detail }

// UnsafeError reports that no endpoint can be promoted without the risk of
// losing an acknowledged commit.
type UnsafeError struct {
	Service string
	// NotPaused lists the replicas that are neither paused nor known to be dead. Any of
	// them may hold a commit that no other replica holds.
	NotPaused []string
}

func (e *UnsafeError) Error() string {
	return fmt.Sprintf("service %s: replicas %v cannot be paused and may hold acknowledged commits", e.Service, e.NotPaused)
}

// NoCandidateError reports that a service has no replica to promote.
type NoCandidateError struct{ Service string }

func (e *NoCandidateError) Error() string {
	return fmt.Sprintf("service %s has no replica to promote", e.Service)
}

// NotCaughtUpError reports that the candidate did not receive all acknowledged commits in
// time.
type NotCaughtUpError struct{ Endpoint string }

func (e *NotCaughtUpError) Error() string {
	return fmt.Sprintf("endpoint %s did not catch up in time", e.Endpoint)
}

// TakeoverTimeoutError reports that an endpoint did not become the primary in time after the
// platform promoted it.
type TakeoverTimeoutError struct{ Endpoint string }

func (e *TakeoverTimeoutError) Error() string {
	return fmt.Sprintf("endpoint %s did not become the primary in time after its promotion", e.Endpoint)
}

// OtherPrimaryError reports an outdated plan: another endpoint of the service is the
// primary by now.
type OtherPrimaryError struct {
	Endpoint string
	// Term is the term in which it leads, Position the end of its log.
	Term     uint64
	Position logpos.Pos
}

func (e *OtherPrimaryError) Error() string {
	return fmt.Sprintf("endpoint %s is already the primary of the service", e.Endpoint)
}

// NotPrimaryError reports that an endpoint cannot step down because it is not the
// primary. Its log may then lack acknowledged commits.
type NotPrimaryError struct{ Endpoint string }

func (e *NotPrimaryError) Error() string {
	return fmt.Sprintf("endpoint %s is not the primary and cannot step down", e.Endpoint)
}

// BelowFloorError reports that the most up-to-date log that can be promoted lacks commits
// which may have been acknowledged.
type BelowFloorError struct {
	Endpoint        string
	Position, Floor logpos.Pos
}

func (e *BelowFloorError) Error() string {
	return fmt.Sprintf("the log of endpoint %s ends at %s, before %s, up to which commits may have been acknowledged",
		e.Endpoint, e.Position, e.Floor)
}

// MissingCommitError reports that the log that would be promoted lacks a commit whose success
// was passed on to a caller.
type MissingCommitError struct {
	Endpoint               string
	Position, Acknowledged logpos.Pos
}

func (e *MissingCommitError) Error() string {
	return fmt.Sprintf("the log of endpoint %s ends at %s, before %s, which was acknowledged", e.Endpoint, e.Position, e.Acknowledged)
}

// LogFoundError reports that no replica holds a commit whose success was passed on to a caller,
// and that an endpoint that counts as ended answers and may hold it.
type LogFoundError struct {
	Endpoint     string
	Acknowledged logpos.Pos
}

func (e *LogFoundError) Error() string {
	return fmt.Sprintf("endpoint %s counts as ended and answers, and may hold commits up to %s, which was acknowledged", e.Endpoint, e.Acknowledged)
}

// NotConfirmedError reports that a primary that serves was not replaced because entries may pass
// on commits that its successor lacks: Silent ones did not confirm in time, and those that follow
// Unheard control daemons are not known.
type NotConfirmedError struct {
	Service         string
	Silent, Unheard int
}

func (e *NotConfirmedError) Error() string {
	return fmt.Sprintf("service %s: %d entries have not confirmed that its successor is waited for, %d control daemons are not heard",
		e.Service, e.Silent, e.Unheard)
}

// ThrottledError reports that the platform refused a call because of too many calls.
type ThrottledError struct{}

func (*ThrottledError) Error() string { return "the platform refuses calls because there are too many" }

// SupersededError reports that an attempt must not go on: a newer attempt has begun, or the
// service has another primary.
type SupersededError struct {
	Service string
	Token   uint64
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("the attempt for service %s with token %d is superseded", e.Service, e.Token)
}

// UnknownEndpointError reports that an attempt must not go on because a process of an endpoint
// that its plan lacks may have received acknowledged commits.
type UnknownEndpointError struct{ Endpoint string }

func (e *UnknownEndpointError) Error() string {
	return fmt.Sprintf("endpoint %s joined or started again after the attempt had begun", e.Endpoint)
}

// DelayedError reports that no call was made because too much time had passed since the
// replicas were looked at.
type DelayedError struct{ Age time.Duration }

func (e *DelayedError) Error() string {
	return fmt.Sprintf("the replicas were last looked at %s before the call", e.Age)
}

// StillPrimaryError reports that an endpoint answered the order to step down and still leads.
type StillPrimaryError struct{ Endpoint string }

func (e *StillPrimaryError) Error() string {
	return fmt.Sprintf("endpoint %s was ordered to step down and still leads", e.Endpoint)
}
