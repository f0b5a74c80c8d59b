// Package suspect detects the failure of a group's primary.
//
// A Detector is one observer's failure detector for an endpoint. A Judge
// combines the reports of all observers of a group's primary, asks another
// failure domain for a confirmation, and decides when to promote a replica.
// Neither does I/O or reads a clock: the caller passes in events and the time
// and carries out the effects. A wrong suspicion causes an unnecessary failover,
// but never loses an acknowledged write.
package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Level is an observer's assessment of an endpoint, from best to worst.
type Level uint8

// Levels of an endpoint.
const (
	// Well means that the endpoint answers.
	Well Level = iota
	// Stalled means that the endpoint answers, but no replica confirms its writes.
	Stalled
	// Unreachable means that probes or established connections get no answer.
	Unreachable
	// Undialable means that the endpoint does not answer and a new connection
	// to it could not be established.
	Undialable
)

// String returns the name of the level.
func (l Level) String() string {
	return [...]string{"well", "stalled", "unreachable", "undialable"}[min(l, Undialable)]
}

// Timing holds the timeouts and intervals of a Judge.
type Timing struct {
	// ReportTTL is how long a report counts without being renewed.
	ReportTTL time.Duration
	// Confirm is the time to wait for a confirmation before asking again.
	Confirm time.Duration
	// UnconfirmedWait is how long a suspicion must last before it causes a
	// promotion without a confirmation. A confirmation may be impossible: in a
	// partition, the side with the majority may contain no other failure domain
	// that could answer.
	UnconfirmedWait time.Duration
	// DenialBackoff is the time until the next request for a confirmation after
	// another failure domain answered that the primary's level is Well.
	DenialBackoff time.Duration
	// MinPromotionGap is the minimum time between a promotion and the next
	// suspicion. The time doubles, up to MaxPromotionGap, with each promotion
	// that follows within MaxPromotionGap of the previous one.
	MinPromotionGap, MaxPromotionGap time.Duration
}

// DefaultTiming returns the timing for failure domains in one region.
func DefaultTiming() Timing {
	return Timing{
		ReportTTL:       time.Second,
		Confirm:         250 * time.Millisecond,
		UnconfirmedWait: 600 * time.Millisecond,
		DenialBackoff:   500 * time.Millisecond,
		MinPromotionGap: 200 * time.Millisecond,
		MaxPromotionGap: 10 * time.Second,
	}
}

// Event is an input of Judge.Step.
type Event interface{ event() }

// Report is an observer's level for the slot that it believes to be the
// primary. While the level is not Well, the observer renews the report within
// Timing.ReportTTL.
type Report struct {
	Observer string
	Domain   string
	Slot     string
	Level    Level
}

// Confirmation is the answer of a failure domain to AskConfirm. The level Well
// denies the suspicion, any other confirms it.
type Confirmation struct {
	Domain string
	Slot   string
	Level  Level
}

// PrimaryChanged reports that Slot is now the primary.
type PrimaryChanged struct{ Slot string }

// PromotionFailed reports that the requested promotion failed.
type PromotionFailed struct{}

// Tick reports that time has passed.
type Tick struct{}

func (Report) event()          {}
func (Confirmation) event()    {}
func (PrimaryChanged) event()  {}
func (PromotionFailed) event() {}
func (Tick) event()            {}

// Effect is an action that Judge.Step requests of its caller.
type Effect interface{ effect() }

// AskConfirm asks a failure domain that is not in Except to check Slot: whether
// it answers or, if Replication is set, whether its replicas confirm its writes.
type AskConfirm struct {
	Slot        string
	Except      []string
	Replication bool
}

// Promote asks for a promotion because Slot has failed.
type Promote struct {
	Slot string
	// Confirmed is false when no other failure domain answered.
	Confirmed bool
}

// Cleared reports that Slot is no longer suspected.
type Cleared struct{ Slot string }

func (AskConfirm) effect() {}
func (Promote) effect()    {}
func (Cleared) effect()    {}

type state uint8

const (
	stateHealthy state = iota
	stateAwaitingConfirmation
	stateDenied
	statePromoting
)

// receivedReport is a report and when it arrived.
type receivedReport struct {
	Report
	at time.Time
}

// Judge decides from the reports on one group's primary when to promote a
// replica. It is not safe for concurrent use.
type Judge struct {
	timing       Timing
	primary      string
	state        state
	reports      []receivedReport // ordered by observer
	suspectedAt  time.Time        // when the current suspicion began
	nextCheck    time.Time        // when the next Tick is due; zero if none is
	promotedAt   time.Time        // when the primary last changed
	promotionGap time.Duration    // current gap, see Timing.MinPromotionGap
}

// NewJudge returns a Judge of primary.
func NewJudge(primary string, timing Timing) *Judge {
	return &Judge{timing: timing, primary: primary}
}

// Primary returns the slot of the primary.
func (j *Judge) Primary() string { return j.primary }

// Suspected reports whether the primary is suspected, as of the last Step.
func (j *Judge) Suspected() bool { return j.state != stateHealthy }

// Deadline returns when the next Tick is due, or false if none is.
func (j *Judge) Deadline() (time.Time, bool) {
	return j.nextCheck, !j.nextCheck.IsZero()
}

// Step handles one event and returns the effects that it causes.
func (j *Judge) Step(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Report:
		if e.Slot != j.primary {
			return nil
		}
		j.recordReport(now, e)
	case Confirmation:
		if e.Slot != j.primary || j.state != stateAwaitingConfirmation {
			return nil
		}
		return j.handleConfirmation(now, e)
	case PrimaryChanged:
		j.changePrimary(now, e.Slot)
		return nil
	case PromotionFailed:
		if j.state == statePromoting {
			j.state = stateHealthy
		}
	}
	return j.evaluate(now)
}

// recordReport stores an observer's report in place of its previous one. A
// report of Well removes it.
func (j *Judge) recordReport(now time.Time, r Report) {
	i, found := slices.BinarySearchFunc(j.reports, r.Observer, func(held receivedReport, name string) int {
		return cmp.Compare(held.Observer, name)
	})
	switch {
	case r.Level == Well && found:
		j.reports = slices.Delete(j.reports, i, i+1)
	case r.Level == Well:
	case found:
		j.reports[i] = receivedReport{Report: r, at: now}
	default:
		j.reports = slices.Insert(j.reports, i, receivedReport{Report: r, at: now})
	}
}

// changePrimary resets the state for another primary. Promotions in quick
// succession increase the minimum time until the next suspicion.
func (j *Judge) changePrimary(now time.Time, slot string) {
	recentlyPromoted := !j.promotedAt.IsZero() && now.Sub(j.promotedAt) < j.timing.MaxPromotionGap
	if recentlyPromoted {
		j.promotionGap = min(2*j.promotionGap, j.timing.MaxPromotionGap)
	} else {
		j.promotionGap = j.timing.MinPromotionGap
	}
	j.primary, j.state, j.reports = slot, stateHealthy, nil
	j.promotedAt, j.nextCheck = now, time.Time{}
}

// evaluate advances the state according to the reports that still count.
func (j *Judge) evaluate(now time.Time) []Effect {
	j.dropExpired(now)
	if j.state == statePromoting {
		return nil
	}
	if !j.reportsSuffice() {
		return j.clear(now)
	}
	if until := j.promotedAt.Add(j.promotionGap); !j.promotedAt.IsZero() && now.Before(until) {
		j.nextCheck = until
		return nil
	}
	switch {
	case j.state == stateHealthy:
		j.suspectedAt = now
		return j.requestConfirmation(now)
	case j.state == stateAwaitingConfirmation && j.domainsAgree():
		return j.promote(true)
	case now.Before(j.nextCheck):
		return nil
	case j.state == stateDenied:
		return j.requestConfirmation(now)
	case now.Sub(j.suspectedAt) >= j.timing.UnconfirmedWait && !j.onlyStalled():
		return j.promote(false)
	}
	return j.requestConfirmation(now)
}

// dropExpired removes the reports that were not renewed in time.
func (j *Judge) dropExpired(now time.Time) {
	j.reports = slices.DeleteFunc(j.reports, func(r receivedReport) bool {
		return now.Sub(r.at) >= j.timing.ReportTTL
	})
}

// Suspicious reports whether the reports that still count at now suffice to
// suspect the primary.
func (j *Judge) Suspicious(now time.Time) bool {
	j.dropExpired(now)
	return j.reportsSuffice()
}

// reportsSuffice reports whether the primary is to be suspected: two observers
// report it, or one whose dial failed.
func (j *Judge) reportsSuffice() bool {
	return len(j.reports) >= 2 || len(j.reports) == 1 && j.reports[0].Level == Undialable
}

// onlyStalled reports whether every report has the level Stalled.
func (j *Judge) onlyStalled() bool {
	return !slices.ContainsFunc(j.reports, func(r receivedReport) bool { return r.Level != Stalled })
}

// clear ends a suspicion that the reports no longer support. The remaining
// reports, too few for a suspicion, are kept; the next Tick is due when the first
// of them expires.
func (j *Judge) clear(now time.Time) []Effect {
	previous := j.state
	j.state, j.nextCheck = stateHealthy, time.Time{}
	for _, r := range j.reports {
		if expiry := r.at.Add(j.timing.ReportTTL); j.nextCheck.IsZero() || expiry.Before(j.nextCheck) {
			j.nextCheck = expiry
		}
	}
	if previous == stateHealthy {
		return nil
	}
	return []Effect{Cleared{Slot: j.primary}}
}

// requestConfirmation asks for a confirmation. If the reports come from two
// failure domains and so confirm each other, it promotes at once.
func (j *Judge) requestConfirmation(now time.Time) []Effect {
	if j.domainsAgree() {
		return j.promote(true)
	}
	j.state, j.nextCheck = stateAwaitingConfirmation, now.Add(j.timing.Confirm)
	if unconfirmedAt := j.suspectedAt.Add(j.timing.UnconfirmedWait); unconfirmedAt.After(now) && unconfirmedAt.Before(j.nextCheck) {
		j.nextCheck = unconfirmedAt
	}
	return []Effect{AskConfirm{Slot: j.primary, Except: j.domains(), Replication: j.onlyStalled()}}
}

// domainsAgree reports whether reports from two failure domains confirm each
// other. Reports of Stalled alone do not.
func (j *Judge) domainsAgree() bool {
	return len(j.domains()) >= 2 && !j.onlyStalled()
}

// domains returns the failure domains of the observers that reported.
func (j *Judge) domains() []string {
	var names []string
	for _, r := range j.reports {
		if !slices.Contains(names, r.Domain) {
			names = append(names, r.Domain)
		}
	}
	return names
}

// handleConfirmation acts on the answer of a failure domain. It ignores a domain
// with an observer that reported the primary: only another one can confirm.
func (j *Judge) handleConfirmation(now time.Time, c Confirmation) []Effect {
	if slices.Contains(j.domains(), c.Domain) {
		return nil
	}
	if c.Level != Well {
		return j.promote(true)
	}
	j.state, j.nextCheck = stateDenied, now.Add(j.timing.DenialBackoff)
	return nil
}

func (j *Judge) promote(confirmed bool) []Effect {
	j.state, j.nextCheck = statePromoting, time.Time{}
	return []Effect{Promote{Slot: j.primary, Confirmed: confirmed}}
}
