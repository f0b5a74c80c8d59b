// Package admission decides which work of one daemon runs, waits or is refused.
// Controller is the pure decision with the clock passed in; Gate makes it safe
// for concurrent use.
package admission

import (
	"fmt"
	"time"
)

// Service is what admission needs of a service's file.
type Service struct {
	Name string
	// Priority orders services whose claims to a share are equal; higher first.
	Priority int
	// Weight is the service's part of the daemon's capacity, relative to the sum
	// of all weights. It is guaranteed while the service has work.
	Weight int
	// Concurrency bounds the service's running work on this daemon.
	Concurrency int
	// QueueLength bounds the service's waiting work on this daemon.
	QueueLength int
}

// WorkID names one piece of work; the caller of the package makes it unique.
type WorkID uint64

// Work is one statement that asks to run.
type Work struct {
	ID      WorkID
	Service string
	// Deadline is when the answer is of no more use.
	Deadline time.Time
	// InTransaction says that the statement goes on with a transaction that
	// holds an endpoint connection.
	InTransaction bool
}

// Reason is why work is refused. It was not run.
type Reason uint8

// Reasons for a refusal.
const (
	// ReasonUnknownService has a service that no file in force describes.
	ReasonUnknownService Reason = iota + 1
	// ReasonQueueFull has a queue at its limit, all of whose work can still make
	// its deadline.
	ReasonQueueFull
	// ReasonNoTime cannot make its deadline, judged by what is ahead of it and by
	// how long the service's work takes.
	ReasonNoTime
	// ReasonDisplaced gave its place in a full queue to a transaction in
	// progress.
	ReasonDisplaced
	// ReasonStopping has a daemon that takes no new work.
	ReasonStopping
)

// String describes the reason.
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

// RefusedError reports work that was not run.
type RefusedError struct {
	Service string
	Reason  Reason
	// Waited is how long the work was queued.
	Waited time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("service %q: not run after waiting %v: %s", e.Service, e.Waited, e.Reason)
}

// Effect is one outcome of an event: the work may run, or is refused.
type Effect struct {
	ID WorkID
	// Refused is nil for work that may run now.
	Refused *RefusedError
	// Waited is how long the work was queued.
	Waited time.Duration
}

// Stats counts one service's work since the controller was made.
type Stats struct {
	Admitted, Finished uint64
	// Late work finished after its deadline.
	Late uint64
	// AbandonedWaiting and AbandonedRunning count work whose caller went away.
	AbandonedWaiting, AbandonedRunning uint64
	// Refused counts refusals by Reason.
	Refused [ReasonStopping + 1]uint64
	// Running and Waiting are present numbers.
	Running, Waiting int
}
