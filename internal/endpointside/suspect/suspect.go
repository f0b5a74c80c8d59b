// Package suspect decides when a group's primary is taken for lost.
//
// A Detector is one observer's view of an endpoint; a Judge weighs the reports
// of all observers of a group's primary, asks for a confirmation from another
// failure domain, and says when to promote. Both are plain state: events and
// the time go in, effects come out. A wrong suspicion costs a change of the
// primary, never an acknowledged write.
package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Level is what an observer makes of an endpoint, from best to worst.
type Level uint8

// Levels of an endpoint.
const (
	// Well: the endpoint answers.
	Well Level = iota
	// Stalled: it answers, but no replica confirms what it wrote.
	Stalled
	// Unreachable: probes or established connections go unanswered.
	Unreachable
	// Undialable: unanswered, and a new connection could not be set up.
	Undialable
)

// String returns the name of the level.
func (l Level) String() string {
	return [...]string{"well", "stalled", "unreachable", "undialable"}[min(l, Undialable)]
}

// Timing holds a Judge's durations.
type Timing struct {
	// ReportLife is how long a report counts unless it is renewed.
	ReportLife time.Duration
	// Confirm is how long to wait for a confirmation before asking again.
	Confirm time.Duration
	// Alone is how long a suspicion stands before it is acted on when no other
	// failure domain answers: this side may be cut off with a majority.
	Alone time.Duration
	// Denied is the pause after another failure domain found the primary well.
	Denied time.Duration
	// Settle is the least time between a promotion and the next suspicion. It
	// doubles, up to SettleCap, with each promotion that follows within
	// SettleCap of the last one.
	Settle, SettleCap time.Duration
}

// DefaultTiming returns the durations for failure domains of one region.
func DefaultTiming() Timing {
	return Timing{
		ReportLife: time.Second,
		Confirm:    250 * time.Millisecond,
		Alone:      600 * time.Millisecond,
		Denied:     500 * time.Millisecond,
		Settle:     200 * time.Millisecond,
		SettleCap:  10 * time.Second,
	}
}

// Event is something that a Judge is told.
type Event interface{ event() }

// Report is an observer's level for the slot that it takes for the primary. It
// is repeated within Timing.ReportLife while the level is not Well.
type Report struct {
	Observer string
	Domain   string
	Slot     string
	Level    Level
}

// Confirmation answers AskConfirm from a failure domain.
type Confirmation struct {
	Domain string
	Slot   string
	Level  Level
}

// PrimaryChanged says that Slot is the primary now.
type PrimaryChanged struct{ Slot string }

// PromotionFailed says that the promotion that was asked for came to nothing.
type PromotionFailed struct{}

// Tick says that time has passed.
type Tick struct{}

func (Report) event()          {}
func (Confirmation) event()    {}
func (PrimaryChanged) event()  {}
func (PromotionFailed) event() {}
func (Tick) event()            {}

// Effect is something that a Judge wants done.
type Effect interface{ effect() }

// AskConfirm asks for a check of Slot from a failure domain that is not among
// Except: whether it answers or, when Replication is set, whether its replicas
// confirm what it wrote.
type AskConfirm struct {
	Slot        string
	Except      []string
	Replication bool
}

// Promote asks for a promotion because Slot is lost.
type Promote struct {
	Slot string
	// Confirmed is false when no other failure domain answered.
	Confirmed bool
}

// Cleared says that a suspicion of Slot came to nothing.
type Cleared struct{ Slot string }

func (AskConfirm) effect() {}
func (Promote) effect()    {}
func (Cleared) effect()    {}

type state uint8

const (
	stateWell state = iota
	stateAsked
	stateDenied
	statePromoting
)

type opinion struct {
	Report
	at time.Time
}

// Judge weighs the reports on one group's primary. It is not safe for
// concurrent use.
type Judge struct {
	timing   Timing
	primary  string
	state    state
	opinions []opinion // ordered by observer
	since    time.Time // of the suspicion
	next     time.Time // when the state is looked at again
	promoted time.Time // the last promotion
	settle   time.Duration
}

// NewJudge returns a Judge of primary.
func NewJudge(primary string, timing Timing) *Judge {
	return &Judge{timing: timing, primary: primary}
}

// Primary returns the slot that is judged.
func (j *Judge) Primary() string { return j.primary }

// Suspected reports whether a suspicion stands.
func (j *Judge) Suspected() bool { return j.state != stateWell }

// Deadline returns when the next Tick is due; false when none is.
func (j *Judge) Deadline() (time.Time, bool) {
	return j.next, !j.next.IsZero()
}

// Step takes one event and returns the effects that it causes.
func (j *Judge) Step(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Report:
		if e.Slot != j.primary {
			return nil
		}
		j.hear(now, e)
	case Confirmation:
		if e.Slot != j.primary || j.state != stateAsked {
			return nil
		}
		return j.confirmed(now, e)
	case PrimaryChanged:
		j.change(now, e.Slot)
		return nil
	case PromotionFailed:
		if j.state == statePromoting {
			j.state = stateWell
		}
	}
	return j.weigh(now)
}

func (j *Judge) hear(now time.Time, r Report) {
	i, found := slices.BinarySearchFunc(j.opinions, r.Observer, func(o opinion, name string) int {
		return cmp.Compare(o.Observer, name)
	})
	switch {
	case r.Level == Well && found:
		j.opinions = slices.Delete(j.opinions, i, i+1)
	case r.Level == Well:
	case found:
		j.opinions[i] = opinion{Report: r, at: now}
	default:
		j.opinions = slices.Insert(j.opinions, i, opinion{Report: r, at: now})
	}
}

// change begins anew with another primary. Promotions in quick succession make
// the next suspicion wait longer.
func (j *Judge) change(now time.Time, slot string) {
	quick := !j.promoted.IsZero() && now.Sub(j.promoted) < j.timing.SettleCap
	if quick {
		j.settle = min(2*j.settle, j.timing.SettleCap)
	} else {
		j.settle = j.timing.Settle
	}
	j.primary, j.state, j.opinions = slot, stateWell, nil
	j.promoted, j.next = now, time.Time{}
}

// weigh moves on from the reports that still count.
func (j *Judge) weigh(now time.Time) []Effect {
	j.forget(now)
	if j.state == statePromoting {
		return nil
	}
	if !j.suspicious() {
		return j.clear(now)
	}
	if until := j.promoted.Add(j.settle); !j.promoted.IsZero() && now.Before(until) {
		j.next = until
		return nil
	}
	switch {
	case j.state == stateWell:
		j.since = now
		return j.ask(now)
	case j.state == stateAsked && j.agree():
		return j.promote(true)
	case now.Before(j.next):
		return nil
	case j.state == stateDenied:
		return j.ask(now)
	case now.Sub(j.since) >= j.timing.Alone && !j.onlyStalled():
		return j.promote(false)
	}
	return j.ask(now)
}

// forget drops reports that were not renewed.
func (j *Judge) forget(now time.Time) {
	j.opinions = slices.DeleteFunc(j.opinions, func(o opinion) bool {
		return now.Sub(o.at) >= j.timing.ReportLife
	})
}

// Suspicious reports whether the reports that count at now make a suspicion.
func (j *Judge) Suspicious(now time.Time) bool {
	j.forget(now)
	return j.suspicious()
}

// suspicious holds for two observers, or for one with a failed dial.
func (j *Judge) suspicious() bool {
	return len(j.opinions) >= 2 || len(j.opinions) == 1 && j.opinions[0].Level == Undialable
}

func (j *Judge) onlyStalled() bool {
	return !slices.ContainsFunc(j.opinions, func(o opinion) bool { return o.Level != Stalled })
}

// clear ends a suspicion that no longer stands; single reports stay until they
// lapse.
func (j *Judge) clear(now time.Time) []Effect {
	was := j.state
	j.state, j.next = stateWell, time.Time{}
	for _, o := range j.opinions {
		if lapse := o.at.Add(j.timing.ReportLife); j.next.IsZero() || lapse.Before(j.next) {
			j.next = lapse
		}
	}
	if was == stateWell {
		return nil
	}
	return []Effect{Cleared{Slot: j.primary}}
}

// ask asks for a confirmation, unless the reports come from two failure domains
// and so confirm each other.
func (j *Judge) ask(now time.Time) []Effect {
	if j.agree() {
		return j.promote(true)
	}
	j.state, j.next = stateAsked, now.Add(j.timing.Confirm)
	if alone := j.since.Add(j.timing.Alone); alone.After(now) && alone.Before(j.next) {
		j.next = alone
	}
	return []Effect{AskConfirm{Slot: j.primary, Except: j.domains(), Replication: j.onlyStalled()}}
}

func (j *Judge) agree() bool {
	return len(j.domains()) >= 2 && !j.onlyStalled()
}

func (j *Judge) domains() []string {
	var names []string
	for _, o := range j.opinions {
		if !slices.Contains(names, o.Domain) {
			names = append(names, o.Domain)
		}
	}
	return names
}

func (j *Judge) confirmed(now time.Time, c Confirmation) []Effect {
	if slices.Contains(j.domains(), c.Domain) {
		return nil
	}
	if c.Level != Well {
		return j.promote(true)
	}
	j.state, j.next = stateDenied, now.Add(j.timing.Denied)
	return nil
}

func (j *Judge) promote(confirmed bool) []Effect {
	j.state, j.next = statePromoting, time.Time{}
	return []Effect{Promote{Slot: j.primary, Confirmed: confirmed}}
}
