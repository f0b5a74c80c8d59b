package driver

import (
	"time"

	"hemlockmast/internal/controlgroup/failover"
	"hemlockmast/internal/endpointside/suspect"
)

// Kind is the kind of an Event.
type Kind uint8

// Kinds of events, in the order in which they occur in a failover.
const (
	// Reported means that Observer, in Domain, changed its Level for Slot.
	Reported Kind = iota
	// ConfirmationAsked means that another failure domain is asked about Slot.
	ConfirmationAsked
	// ConfirmationGiven means that Domain answered with Level for Slot.
	ConfirmationGiven
	// SuspicionCleared means that Slot is no longer suspected.
	SuspicionCleared
	// PromotionBegun means that an attempt at Term began; Slot is the suspected
	// primary.
	PromotionBegun
	// NoTerm means that no term could be allocated, or that the allocated Term
	// could not be used. The allocation is retried.
	NoTerm
	// Fenced means that Slot granted Term.
	Fenced
	// Refused means that Slot refused a command of Term.
	Refused
	// Unanswered means that Slot did not answer a command of Term, for the first
	// time in the attempt.
	Unanswered
	// Chosen means that Slot was chosen for promotion.
	Chosen
	// Promoted means that Slot is the primary of Term and is announced.
	Promoted
	// Follows means that Slot follows the primary of Term.
	Follows
	// PromotionDone means that the promotion of Slot at Term is complete.
	PromotionDone
	// PromotionAborted means that the attempt at Term was given up for Reason.
	PromotionAborted
	// Corrected means that Slot was out of line with Term and was fenced or told
	// to follow.
	Corrected
	// Noticed means that Slot was found to be the primary of Term, promoted by
	// another promoter.
	Noticed
)

var kindNames = [...]string{
	"reported", "confirmation asked", "confirmation given", "suspicion cleared", "promotion begun",
	"no term", "fenced", "refused", "unanswered", "chosen", "promoted", "follows",
	"promotion done", "promotion aborted", "corrected", "noticed",
}

// String returns the kind as operators see it in the time line.
func (k Kind) String() string { return kindNames[min(int(k), len(kindNames)-1)] }

// Event is an entry of the time line. At, Kind and Group are always set; other
// fields that the kind's comment does not mention are zero.
type Event struct {
	At       time.Time
	Kind     Kind
	Group    string
	Slot     string
	Term     uint64
	Observer string
	Domain   string
	Level    suspect.Level
	Reason   failover.Reason
}

// Recorder receives events. Record must not block and is called concurrently.
type Recorder interface{ Record(Event) }

// discardRecorder is a Recorder that discards events.
type discardRecorder struct{}

func (discardRecorder) Record(Event) {}
