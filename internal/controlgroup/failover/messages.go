package failover

import (
	"time"

	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/endpoint"
)

// Event is something that a Machine is told.
type Event interface{ event() }

// Granted is an endpoint's answer to Fence: it granted Term. Status was read
// after the grant was durable.
type Granted struct {
	Slot   string
	Term   uint64
	Status endpoint.Status
}

// Refused is an endpoint's answer to a command of Term that came too late.
type Refused struct {
	Slot       string
	Term       uint64
	FencedTerm uint64
}

// Failed says that a command of Term got no answer; it may have been done.
type Failed struct {
	Slot string
	Term uint64
}

// Promoted is the chosen endpoint's answer to Promote.
type Promoted struct {
	Slot   string
	Term   uint64
	Status endpoint.Status
}

// Followed is an endpoint's answer to Follow.
type Followed struct {
	Slot   string
	Term   uint64
	Status endpoint.Status
}

// Seen is an endpoint's answer to AskStatus.
type Seen struct{ Status endpoint.Status }

// Tick says that time has passed.
type Tick struct{}

func (Granted) event()  {}
func (Refused) event()  {}
func (Failed) event()   {}
func (Promoted) event() {}
func (Followed) event() {}
func (Seen) event()     {}
func (Tick) event()     {}

// Effect is something that a Machine wants done.
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

// AskStatus reads the status of the endpoint of Slot.
type AskStatus struct{ Slot string }

// Tell announces the primary of Term to holders and entries, with the members
// that count in it.
type Tell struct {
	Term    uint64
	Primary string
	Members []quorum.Member
}

// Done ends the attempt. Missing names the slots that do not follow yet.
type Done struct {
	Term    uint64
	Primary string
	Missing []string
}

// Abort gives up Term.
type Abort struct {
	Term   uint64
	Reason Reason
}

// RetryAt asks for another attempt at At with a term of at least MinTerm,
// unless an Abort with ReasonOtherPrimary follows first.
type RetryAt struct {
	At      time.Time
	MinTerm uint64
	Attempt int
}

func (Fence) effect()     {}
func (Promote) effect()   {}
func (Follow) effect()    {}
func (AskStatus) effect() {}
func (Tell) effect()      {}
func (Done) effect()      {}
func (Abort) effect()     {}
func (RetryAt) effect()   {}

// Reason says why an attempt was given up.
type Reason uint8

// Reasons for giving up an attempt.
const (
	// ReasonNoMajority: too few slots answered in time.
	ReasonNoMajority Reason = iota
	// ReasonLostDuel: other promoters hold the term at too many slots.
	ReasonLostDuel
	// ReasonSuperseded: a later term was granted.
	ReasonSuperseded
	// ReasonNoAnswer: the chosen endpoint did not answer; it may be primary.
	ReasonNoAnswer
	// ReasonDisksLost: all slots answered, but the ones that still hold their
	// log are no majority. An operator has to decide.
	ReasonDisksLost
	// ReasonOtherPrimary: a primary of a later term is at work.
	ReasonOtherPrimary
)

// String returns the reason in plain words.
func (r Reason) String() string {
	switch r {
	case ReasonNoMajority:
		return "no majority of slots answered"
	case ReasonLostDuel:
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
