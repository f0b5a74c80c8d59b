// Package admission decides which work of one daemon runs, waits or is refused.
// Controller makes the decisions as a deterministic state machine that is given
// the time; Gate makes it safe for concurrent use.
package admission

import (
	"fmt"
	"time"
)

// Service is the part of a service's file that admission uses.
type Service struct {
	Name string
	// Priority orders services for free capacity, the higher first. Two other
	// criteria come before it: a service below its share precedes one that is
	// not, and a service with waiting work of a transaction in progress precedes
	// one without.
	Priority int
	// Weight, divided by the sum of all weights, is the service's share of the
	// daemon's capacity. The share is guaranteed while the service has work.
	Weight int
	// Concurrency limits the service's running work on this daemon.
	Concurrency int
	// QueueLength limits the service's waiting work on this daemon.
	QueueLength int
}

// WorkID identifies one work item. It must be unique within a Controller.
type WorkID uint64

// Work is one work item: a statement that a caller wants to run.
type Work struct {
	ID      WorkID
	Service string
	// Deadline is the time after which the caller no longer uses the answer.
	Deadline time.Time
	// InTransaction states that the statement continues a transaction that
	// holds an endpoint connection.
	InTransaction bool
}

// Reason is why work was refused. Refused work was not run.
type Reason uint8

// Reasons for a refusal.
const (
	// ReasonUnknownService means that the configuration in force has no such
	// service.
	ReasonUnknownService Reason = iota + 1
	// ReasonQueueFull means that the service's queue is full of work that can
	// still meet its deadline.
	ReasonQueueFull
	// ReasonNoTime means that the work cannot meet its deadline, given the work
	// ahead of it and how long the service's work takes.
	ReasonNoTime
	// ReasonDisplaced means that the work was removed from a full queue in
	// favor of a transaction in progress.
	ReasonDisplaced
	// ReasonStopping means that the daemon is stopping and takes no new work.
	ReasonStopping
)

// String describes the reason in words for the caller.
func (r Reason) String() string {
	switch r {
	case ReasonUnknownService:
		return "the service is not configured"
	case ReasonQueueFull:
		return "the service's queue is full"
	case ReasonNoTime:
		return "the deadline cannot be met"
	case ReasonDisplaced:
		return "the service's queue is full and transactions in progress go first"
	case ReasonStopping:
		return "the daemon is stopping"
	}
	return "unknown reason"
}

// RefusedError reports work that was refused and not run.
type RefusedError struct {
	Service string
	Reason  Reason
	// Waited is how long the work was queued.
	Waited time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("service %q: not run after waiting %v: %s", e.Service, e.Waited, e.Reason)
}

// Decision is the outcome for one work item: it may run, or it is refused.
type Decision struct {
	ID WorkID
	// Refused is nil for work that may run now.
	Refused *RefusedError
	// Waited is how long the work was queued.
	Waited time.Duration
}

// Stats counts the work of one service since the controller was created.
type Stats struct {
	Admitted, Finished uint64
	// Late counts finished work that missed its deadline.
	Late uint64
	// AbandonedWaiting and AbandonedRunning count work whose caller went away.
	AbandonedWaiting, AbandonedRunning uint64
	// Refused counts refusals by Reason.
	Refused [ReasonStopping + 1]uint64
	// Running and Waiting are the current numbers of work items, not totals.
	Running, Waiting int
}
