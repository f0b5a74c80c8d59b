// Package spreadstate holds the decisions of how configurations reach daemons:
// what a follower may put in force and how sure it is of it, which process it
// polls, and what is known of who runs which revision. It is pure: the clock
// is passed in, and nothing here is safe for concurrent use.
package spreadstate

import (
	"time"

	configpb "hemlockmast/api/configstate"
	"hemlockmast/api/confspread"
	"hemlockmast/api/service"
	"hemlockmast/internal/configuration/configstate"
)

const (
	// ConfirmTimeout is how old a confirmation may be before the follower is
	// unconfirmed.
	ConfirmTimeout = 10 * time.Second
	// StartupWait is how long a follower with a stored configuration waits for
	// a confirmation before it serves without one.
	StartupWait = 3 * time.Second
)

// Follower is the configuration of one daemon. Its revision never decreases.
//
// A confirmation states that at some moment control had accepted no later
// revision than the follower's. The moment is bounded from below on the
// follower's own clock, so that no clocks are compared.
//
// After a start only a confirmation of a moment after the start counts: what
// the daemon ran before the start was accepted before it, so that the
// confirmed revision is not an earlier one.
type Follower struct {
	startedAt time.Time
	versions  *configstate.Versions
	stored    bool
	// confirmedAt is the latest moment of a confirmation; zero without one.
	confirmedAt time.Time
}

// NewFollower returns the follower of a daemon that started at startedAt.
// stored is the last configuration that was synced before the start, or nil.
func NewFollower(startedAt time.Time, stored *service.Configuration) (*Follower, error) {
	f := &Follower{startedAt: startedAt, versions: configstate.NewVersions()}
	if stored.GetRevision() == 0 {
		return f, nil
	}
	if err := f.restore(stored); err != nil {
		return nil, err
	}
	f.stored = true
	return f, nil
}

func (f *Follower) restore(stored *service.Configuration) error {
	_, err := f.versions.Apply(snapshotUpdate(stored))
	return err
}

// Versions returns the configuration. The caller must not change it.
func (f *Follower) Versions() *configstate.Versions { return f.versions }

// ConfirmedAt returns the latest moment of a confirmation; zero without one.
func (f *Follower) ConfirmedAt() time.Time { return f.confirmedAt }

// Answer takes the answer to a poll that was sent at sentAt. It returns whether
// the revision changed. An answer that cannot be used changes nothing.
func (f *Follower) Answer(sentAt time.Time, answer *confspread.PollResponse) (bool, error) {
	if answer.GetHeldUs() < 0 || answer.GetConfirmedAgeUs() < 0 {
		return false, &AnswerError{Detail: "negative time"}
	}
	changed := false
	if answer.GetUpdate() != nil {
		var err error
		changed, err = f.versions.Apply(answer.GetUpdate())
		if err != nil {
			return false, err
		}
	}
	if answer.GetRevision() > f.versions.Revision() {
		return changed, &AnswerError{Detail: "a later revision is named but not given"}
	}
	if answer.GetConfirmed() {
		f.confirm(sentAt, answer)
	}
	return changed, nil
}

func (f *Follower) confirm(sentAt time.Time, answer *confspread.PollResponse) {
	held := time.Duration(answer.GetHeldUs()) * time.Microsecond
	age := time.Duration(answer.GetConfirmedAgeUs()) * time.Microsecond
	moment := sentAt.Add(held - age)
	if moment.After(f.confirmedAt) {
		f.confirmedAt = moment
	}
}

// Mode says how sure the follower is of its configuration at now.
func (f *Follower) Mode(now time.Time) confspread.Mode {
	if f.IsConfirmedSinceStart() {
		if now.Sub(f.confirmedAt) <= ConfirmTimeout {
			return confspread.Mode_MODE_CONFIRMED
		}
		return confspread.Mode_MODE_UNCONFIRMED
	}
	if f.stored && now.Sub(f.startedAt) >= StartupWait {
		return confspread.Mode_MODE_UNCONFIRMED
	}
	return confspread.Mode_MODE_STARTING
}

// IsConfirmedSinceStart reports whether a confirmation of a moment after the
// start was had.
func (f *Follower) IsConfirmedSinceStart() bool {
	return !f.confirmedAt.IsZero() && !f.confirmedAt.Before(f.startedAt)
}

// AnswerError reports an answer to a poll that contradicts itself.
type AnswerError struct{ Detail string }

func (e *AnswerError) Error() string { return "answer to a poll: " + e.Detail }

func snapshotUpdate(cfg *service.Configuration) *configpb.Update {
	return &configpb.Update{Kind: &configpb.Update_Snapshot{Snapshot: cfg}}
}
