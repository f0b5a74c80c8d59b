package failover

import (
	"time"

	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/endpoint"
)

// Event is an input of a Machine: an endpoint's answer or the passage of time.
type Event interface{ event() }

// FenceGranted reports that the endpoint of Slot granted Term. Status was read
// after the grant was durable.
type FenceGranted struct {
	Slot   string
	Term   uint64
	Status endpoint.Status
}

// Refused reports that the endpoint of Slot refused a command of Term because it
// is already fenced at FencedTerm.
type Refused struct {
	Slot       string
	Term       uint64
	FencedTerm uint64
}

// Failed reports that a command of Term got no answer. The endpoint may have
// carried it out.
type Failed struct {
	Slot string
	Term uint64
}

// PromoteSucceeded reports that the chosen endpoint is the primary of Term.
type PromoteSucceeded struct {
	Slot   string
	Term   uint64
	Status endpoint.Status
}

// FollowSucceeded reports that the endpoint of Slot follows the primary of Term.
type FollowSucceeded struct {
	Slot   string
	Term   uint64
	Status endpoint.Status
}

// StatusReceived is the answer to QueryStatus.
type StatusReceived struct{ Status endpoint.Status }

// Tick reports that time has passed.
type Tick struct{}

func (FenceGranted) event()     {}
func (Refused) event()          {}
func (Failed) event()           {}
func (PromoteSucceeded) event() {}
func (FollowSucceeded) event()  {}
func (StatusReceived) event()   {}
func (Tick) event()             {}

// Effect is an output of a Machine, which its user carries out.
type Effect interface{ effect() }

// Fence asks the endpoint of Slot to grant Term to the promoter.
type Fence struct {
	Slot string
	Term uint64
}

// Promote makes the endpoint of Slot the primary of Term.
type Promote struct {
	Slot string
	Term uint64
}

// Follow makes the endpoint of Slot a replica of Primary in Term.
type Follow struct {
	Slot    string
	Term    uint64
	Primary string
}

// QueryStatus reads the status of the endpoint of Slot.
type QueryStatus struct{ Slot string }

// AnnouncePrimary announces the primary of Term to holders and entries, with all
// members of the group.
type AnnouncePrimary struct {
	Term    uint64
	Primary string
	Members []quorum.Member
}

// Done ends a successful attempt. Missing names the slots that don't follow yet.
type Done struct {
	Term    uint64
	Primary string
	Missing []string
}

// Abort gives up the attempt at Term.
type Abort struct {
	Term   uint64
	Reason Reason
}

// RetryAt schedules another attempt at time At with a term of at least MinTerm.
// An Abort with ReasonOtherPrimary before then cancels it. FailedAttempts is the
// Config.FailedAttempts of that attempt.
type RetryAt struct {
	At             time.Time
	MinTerm        uint64
	FailedAttempts int
}

func (Fence) effect()           {}
func (Promote) effect()         {}
func (Follow) effect()          {}
func (QueryStatus) effect()     {}
func (AnnouncePrimary) effect() {}
func (Done) effect()            {}
func (Abort) effect()           {}
func (RetryAt) effect()         {}

// Reason is the cause of an Abort.
type Reason uint8

// Reasons for giving up an attempt.
const (
	// ReasonNoMajority means that too few slots answered in time.
	ReasonNoMajority Reason = iota
	// ReasonTermHeldByOther means that too many slots granted the term to other
	// promoters.
	ReasonTermHeldByOther
	// ReasonSuperseded means that a slot granted a later term.
	ReasonSuperseded
	// ReasonNoAnswer means that the chosen endpoint did not answer. It may be
	// the primary.
	ReasonNoAnswer
	// ReasonDisksLost means that all slots answered, but those that still hold
	// their log are no majority. An operator has to decide.
	ReasonDisksLost
	// ReasonOtherPrimary means that another promoter's primary, of the same term
	// or a later one, works.
	ReasonOtherPrimary
)

// String returns the reason as operators see it in the time line.
func (r Reason) String() string {
	switch r {
	case ReasonNoMajority:
		return "no majority of slots answered"
	case ReasonTermHeldByOther:
		return "other promoter holds the term"
	case ReasonSuperseded:
		return "later term granted"
	case ReasonNoAnswer:
		return "chosen endpoint did not answer"
	case ReasonDisksLost:
		return "no majority of slots holds its log"
	case ReasonOtherPrimary:
		return "primary of a later term at work"
	}
	return "unknown reason"
}
