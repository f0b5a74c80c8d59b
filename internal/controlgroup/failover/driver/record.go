package driver

import (
	"time"

	"hemlockmast/internal/controlgroup/failover"
	"hemlockmast/internal/endpointside/suspect"
)

// Kind says what happened.
type Kind uint8

// Kinds of events, in the order in which a failover goes.
const (
	// Reported: an observer's Level for Slot changed.
	Reported Kind = iota
	// ConfirmationAsked: another failure domain is asked about Slot.
	ConfirmationAsked
	// ConfirmationGiven: Domain answered Level for Slot.
	ConfirmationGiven
	// SuspicionCleared: Slot is well again.
	SuspicionCleared
	// PromotionBegun: an attempt at Term began; Slot is the suspected primary.
	PromotionBegun
	// NoTerm: no term could be allocated; it is tried again.
	NoTerm
	// Fenced: Slot granted Term.
	Fenced
	// Refused: Slot refused a command of Term.
	Refused
	// Unanswered: Slot did not answer a command of Term, for the first time in
	// the attempt.
	Unanswered
	// Chosen: Slot is to be promoted.
	Chosen
	// Promoted: Slot is the primary of Term and is announced.
	Promoted
	// Follows: Slot follows the primary of Term.
	Follows
	// PromotionDone: nothing is left to do in Term.
	PromotionDone
	// PromotionAborted: Term was given up for Reason.
	PromotionAborted
	// Corrected: Slot was out of line with Term and was fenced or told to follow.
	Corrected
	// Noticed: Slot is the primary of Term, which another promoter made.
	Noticed
)

var kindNames = [...]string{
	"reported", "confirmation asked", "confirmation given", "suspicion cleared", "promotion begun",
	"no term", "fenced", "refused", "unanswered", "chosen", "promoted", "follows",
	"promotion done", "promotion aborted", "corrected", "noticed",
}

// String returns the kind in plain words.
func (k Kind) String() string { return kindNames[min(int(k), len(kindNames)-1)] }

// Event is an entry of the time line. Fields that a kind does not name are zero.
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

// Recorder takes events. It must not block, and is called by many goroutines.
type Recorder interface{ Record(Event) }

type discard struct{}

func (discard) Record(Event) {}
