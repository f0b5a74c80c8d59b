// Package spreadstate holds the decision logic of configuration distribution,
// without I/O. Follower tracks the configuration of one daemon and whether it is
// confirmed to be current. UpstreamSelector selects the process that a daemon
// polls. RevisionTracker records which daemon runs which revision. Callers pass
// in the current time. No type is safe for concurrent use.
package spreadstate

import (
	"time"

	configpb "hemlockmast/api/configstate"
	"hemlockmast/api/confspread"
	"hemlockmast/api/service"
	"hemlockmast/internal/configuration/configstate"
)

const (
	// ConfirmationMaxAge is the age of the last confirmation above which the
	// follower is unconfirmed.
	ConfirmationMaxAge = 10 * time.Second
	// StartupConfirmTimeout is how long after its start a follower with a stored
	// configuration waits for a confirmation before it serves without one.
	StartupConfirmTimeout = 3 * time.Second
)

// Follower is the configuration of one daemon. Its revision never decreases.
//
// A confirmation states that at a certain time control had accepted no later
// revision than the follower's. The follower computes a lower bound of that time
// on its own clock, so it never compares the clocks of two processes.
//
// Only a confirmation for a time after the daemon's start counts. Any revision
// that the daemon ran before the start was accepted before it, so the confirmed
// revision is not an earlier one.
type Follower struct {
	startedAt time.Time
	versions  *configstate.Versions
	// stored is set when the daemon started with a stored configuration.
	stored bool
	// confirmedAt is the latest time for which the configuration is confirmed;
	// zero without a confirmation.
	confirmedAt time.Time
}

// NewFollower returns the follower of a daemon that started at startedAt.
// stored is the last configuration that was synced to disk before the start, or
// nil. If it cannot be applied, NewFollower returns *configstate.UpdateError.
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

// Versions returns the versioned configuration, which must not be modified.
func (f *Follower) Versions() *configstate.Versions { return f.versions }

// ConfirmedAt returns the latest time for which the configuration is confirmed
// to be current, or the zero time without a confirmation.
func (f *Follower) ConfirmedAt() time.Time { return f.confirmedAt }

// ApplyResponse applies the response to a poll that was sent at sentAt. It
// reports whether the revision changed. It returns *ResponseError for a response
// that contradicts itself, and the error of configstate.Versions.Apply for an
// update that cannot be applied.
func (f *Follower) ApplyResponse(sentAt time.Time, response *confspread.PollResponse) (bool, error) {
	if response.GetHeldUs() < 0 || response.GetConfirmedAgeUs() < 0 {
		return false, &ResponseError{Detail: "negative hold time or confirmation age"}
	}
	changed := false
	if response.GetUpdate() != nil {
		var err error
		changed, err = f.versions.Apply(response.GetUpdate())
		if err != nil {
			return false, err
		}
	}
	if response.GetRevision() > f.versions.Revision() {
		return changed, &ResponseError{Detail: "names a later revision without an update to it"}
	}
	if response.GetConfirmed() {
		f.confirm(sentAt, response)
	}
	return changed, nil
}

// confirm raises confirmedAt to the time that the response confirms. The
// responder received the poll at sentAt or later, so counting its hold time and
// confirmation age from sentAt gives a lower bound.
func (f *Follower) confirm(sentAt time.Time, response *confspread.PollResponse) {
	held := time.Duration(response.GetHeldUs()) * time.Microsecond
	age := time.Duration(response.GetConfirmedAgeUs()) * time.Microsecond
	lowerBound := sentAt.Add(held - age)
	if lowerBound.After(f.confirmedAt) {
		f.confirmedAt = lowerBound
	}
}

// Mode returns how far the configuration is confirmed at now. It is
// MODE_STARTING until the daemon may serve callers, then MODE_CONFIRMED while the
// last confirmation is at most ConfirmationMaxAge old, else MODE_UNCONFIRMED.
func (f *Follower) Mode(now time.Time) confspread.Mode {
	if f.IsConfirmedSinceStart() {
		if now.Sub(f.confirmedAt) <= ConfirmationMaxAge {
			return confspread.Mode_MODE_CONFIRMED
		}
		return confspread.Mode_MODE_UNCONFIRMED
	}
	if f.stored && now.Sub(f.startedAt) >= StartupConfirmTimeout {
		return confspread.Mode_MODE_UNCONFIRMED
	}
	return confspread.Mode_MODE_STARTING
}

// IsConfirmedSinceStart reports whether the configuration was confirmed for a
// time at or after the daemon's start.
func (f *Follower) IsConfirmedSinceStart() bool {
	return !f.confirmedAt.IsZero() && !f.confirmedAt.Before(f.startedAt)
}

// ResponseError reports a poll response that contradicts itself.
type ResponseError struct{ Detail string }

func (e *ResponseError) Error() string { return "poll response: " + e.Detail }

func snapshotUpdate(cfg *service.Configuration) *configpb.Update {
	return &configpb.Update{Kind: &configpb.Update_Snapshot{Snapshot: cfg}}
}
