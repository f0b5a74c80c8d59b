package promotion

import "fmt"

// UnknownError reports a promotion that may have been carried out, or may be
// later.
type UnknownError struct{ Cause error }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("promotion's outcome is unknown: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// ConflictError reports a promotion that was refused: a higher token was used,
// or the endpoint does not run.
type ConflictError struct{ Detail string }

func (e *ConflictError) Error() string { return "promotion refused: " + e.Detail }

// UnsafeError reports that no endpoint can be promoted without the risk of
// losing an acknowledged commit.
type UnsafeError struct {
	Service string
	// Unreached are the replicas that may hold a commit that no other holds.
	Unreached []string
}

func (e *UnsafeError) Error() string {
	return fmt.Sprintf("service %s: replicas %v are not reached and may hold acknowledged commits", e.Service, e.Unreached)
}

// NoCandidateError reports a service without a replica to promote.
type NoCandidateError struct{ Service string }

func (e *NoCandidateError) Error() string {
	return fmt.Sprintf("service %s has no replica to promote", e.Service)
}

// BehindError reports a candidate that did not catch up in time.
type BehindError struct{ Endpoint string }

func (e *BehindError) Error() string {
	return fmt.Sprintf("endpoint %s did not catch up in time", e.Endpoint)
}

// NotLeadingError reports an endpoint that did not take the lead in time after
// the call to promote it.
type NotLeadingError struct{ Endpoint string }

func (e *NotLeadingError) Error() string {
	return fmt.Sprintf("endpoint %s does not lead after its promotion", e.Endpoint)
}

// OtherLeadsError reports a plan whose primary leads no more: another endpoint of the
// service does.
type OtherLeadsError struct{ Endpoint string }

func (e *OtherLeadsError) Error() string {
	return fmt.Sprintf("endpoint %s leads the service", e.Endpoint)
}

// NotPrimaryError reports an endpoint that was to step down and does not lead, so that
// its log says nothing of what was acknowledged.
type NotPrimaryError struct{ Endpoint string }

func (e *NotPrimaryError) Error() string {
	return fmt.Sprintf("endpoint %s does not lead and cannot step down", e.Endpoint)
}
