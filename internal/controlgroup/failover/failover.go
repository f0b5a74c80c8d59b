// Package failover decides the steps of one promotion: fence all slots of a
// group at a new term, choose the endpoint with the latest log among a majority
// that granted it, promote it, tell the holders, and make the others follow.
//
// A Machine is one attempt at one term. It is plain state: events and the time
// go in, effects come out, and the caller carries the effects out. Any effect
// may be lost, late or done twice. Its safety rests on the endpoint contract
// alone; the promoter that allocates terms only has to do so for the rule on
// lost disks, which package quorum states.
package failover

import (
	"time"

	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/endpoint"
)

// Timing holds the durations of an attempt.
type Timing struct {
	// Resend is the pause before a command that got no answer is repeated.
	Resend time.Duration
	// Fence bounds the wait for a majority of grants.
	Fence time.Duration
	// Prefer bounds the wait for Config.Prefer once a majority granted.
	Prefer time.Duration
	// Promote bounds the wait for the chosen endpoint.
	Promote time.Duration
	// Follow bounds the wait for the other endpoints.
	Follow time.Duration
	// BackoffBase and BackoffCap bound the pause before the next attempt.
	BackoffBase, BackoffCap time.Duration
}

// DefaultTiming returns the durations for failure domains of one region.
func DefaultTiming() Timing {
	return Timing{
		Resend:      50 * time.Millisecond,
		Fence:       time.Second,
		Prefer:      100 * time.Millisecond,
		Promote:     500 * time.Millisecond,
		Follow:      5 * time.Second,
		BackoffBase: 50 * time.Millisecond,
		BackoffCap:  time.Second,
	}
}

// Config describes one attempt.
type Config struct {
	Group string
	// Promoter must differ between incarnations of a daemon: an endpoint that
	// granted a term to a name grants it again.
	Promoter string
	// Term must be higher than any term that was allocated before.
	Term uint64
	// Members are all configured slots of the group.
	Members []quorum.Member
	// Avoid names a slot that is chosen only when its log is later than the
	// others'; usually the suspected primary. May be empty.
	Avoid string
	// Prefer names a slot that is chosen when its log is as late as the others',
	// and whose answer is waited for; the primary where it is in no doubt. May
	// be empty.
	Prefer string
	// Attempt counts the attempts in a row that failed before this one.
	Attempt int
	Timing  Timing
}

type phase uint8

const (
	phaseFencing phase = iota
	phasePromoting
	phaseFollowing
	phaseYielded
	phaseEnded
)

type slotState uint8

const (
	slotAsked slotState = iota // a fence was sent and not answered
	slotGranted
	slotRefused
	slotFollowing // told to follow, not answered
	slotFollowed
)

type slot struct {
	quorum.Member
	state  slotState
	status endpoint.Status
	// fencedTerm is the term with which the slot refused.
	fencedTerm uint64
	// resend is when the command in progress is repeated; zero while an answer
	// is awaited.
	resend time.Time
}

// Machine is the state of one attempt. It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	phase    phase
	slots    []slot
	chosen   int
	deadline time.Time
	// preferUntil is when a majority no longer waits for the preferred slot;
	// zero while there is none.
	preferUntil time.Time
	// highest is the highest fenced term heard of.
	highest uint64
}

// New begins an attempt at now. The error is *ConfigError.
func New(cfg Config, now time.Time) (*Machine, []Effect, error) {
	if err := cfg.check(); err != nil {
		return nil, nil, err
	}
	m := &Machine{cfg: cfg, chosen: -1, highest: cfg.Term, deadline: now.Add(cfg.Timing.Fence)}
	m.slots = make([]slot, len(cfg.Members))
	effects := make([]Effect, len(cfg.Members))
	for i, member := range cfg.Members {
		m.slots[i].Member = member
		effects[i] = Fence{Slot: member.Slot, Term: cfg.Term}
	}
	return m, effects, nil
}

// Ended reports whether the attempt has nothing more to do.
func (m *Machine) Ended() bool { return m.phase == phaseEnded }

// Deadline returns when the next Tick is due; false when none is.
func (m *Machine) Deadline() (time.Time, bool) {
	if m.phase == phaseEnded || m.phase == phaseYielded {
		return time.Time{}, false
	}
	next := m.deadline
	if m.phase == phaseFencing && !m.preferUntil.IsZero() && m.preferUntil.Before(next) {
		next = m.preferUntil
	}
	for i := range m.slots {
		if r := m.slots[i].resend; !r.IsZero() && r.Before(next) {
			next = r
		}
	}
	return next, true
}

// Step takes one event and returns the effects that it causes. Events of other
// terms and unknown slots, and answers that come twice, cause none.
func (m *Machine) Step(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Granted:
		return m.granted(now, e)
	case Refused:
		return m.refused(now, e)
	case Failed:
		return m.failed(now, e)
	case Promoted:
		return m.promoted(now, e)
	case Followed:
		return m.followed(e)
	case Seen:
		return m.seen(e)
	case Tick:
		return m.tick(now)
	}
	return nil
}

func (m *Machine) granted(now time.Time, e Granted) []Effect {
	s := m.find(e.Slot, e.Term)
	if s == nil || s.state != slotAsked {
		return nil
	}
	s.state, s.status, s.resend = slotGranted, e.Status, time.Time{}
	switch m.phase {
	case phaseFencing:
		return m.choose(now)
	case phaseFollowing:
		return []Effect{m.follow(s)}
	}
	return nil
}

func (m *Machine) refused(now time.Time, e Refused) []Effect {
	s := m.find(e.Slot, e.Term)
	if s == nil {
		return nil
	}
	s.resend = time.Time{}
	m.highest = max(m.highest, e.FencedTerm)
	switch m.phase {
	case phaseFencing:
		s.state, s.fencedTerm = slotRefused, e.FencedTerm
		if e.FencedTerm > m.cfg.Term {
			return m.yield(now, ReasonSuperseded)
		}
		return m.choose(now)
	case phasePromoting:
		if s == &m.slots[m.chosen] {
			return m.yield(now, ReasonSuperseded)
		}
		s.state, s.fencedTerm = slotRefused, e.FencedTerm
	case phaseFollowing:
		return m.refusedToFollow(s, e)
	}
	return nil
}

// refusedToFollow ends the attempt when a later term is in force; a slot that
// granted this very term to another promoter can still follow.
func (m *Machine) refusedToFollow(s *slot, e Refused) []Effect {
	if e.FencedTerm <= m.cfg.Term && s.state == slotAsked {
		return []Effect{m.follow(s)}
	}
	s.state, s.fencedTerm = slotRefused, e.FencedTerm
	return m.finish()
}

func (m *Machine) failed(now time.Time, e Failed) []Effect {
	s := m.find(e.Slot, e.Term)
	if s == nil || m.phase == phaseYielded || m.phase == phaseEnded {
		return nil
	}
	if s.state == slotAsked || s.state == slotFollowing || m.isChosen(s) {
		s.resend = now.Add(m.cfg.Timing.Resend)
	}
	if m.phase == phaseFencing {
		return m.choose(now)
	}
	return nil
}

func (m *Machine) isChosen(s *slot) bool {
	return m.phase == phasePromoting && s == &m.slots[m.chosen]
}

// choose promotes once a majority that counts has granted the term. The order
// is that of the logs: the fenced term says nothing about a log.
func (m *Machine) choose(now time.Time) []Effect {
	best, counted, open := -1, 0, 0
	for i := range m.slots {
		s := &m.slots[i]
		switch {
		case s.state == slotAsked:
			open++
		case s.state == slotGranted && s.CountsGrant(s.status):
			counted++
			if best < 0 || m.better(s, &m.slots[best]) {
				best = i
			}
		}
	}
	majority := quorum.Majority(len(m.slots))
	if counted >= majority && m.awaitsPreferred(now) {
		return nil
	}
	if counted >= majority {
		m.phase, m.chosen = phasePromoting, best
		m.deadline = now.Add(m.cfg.Timing.Promote)
		return []Effect{Promote{Slot: m.slots[best].Slot, Term: m.cfg.Term}}
	}
	if counted+open < majority {
		return m.yield(now, m.shortfall())
	}
	return nil
}

// awaitsPreferred reports whether a majority has to wait for the preferred slot,
// which has the term's command and neither answered nor failed yet.
func (m *Machine) awaitsPreferred(now time.Time) bool {
	for i := range m.slots {
		s := &m.slots[i]
		if s.Slot != m.cfg.Prefer || s.state != slotAsked || !s.resend.IsZero() {
			continue
		}
		if m.preferUntil.IsZero() {
			m.preferUntil = now.Add(m.cfg.Timing.Prefer)
		}
		return now.Before(m.preferUntil)
	}
	return false
}

func (m *Machine) better(s, than *slot) bool {
	if c := s.status.Synced.Compare(than.status.Synced); c != 0 {
		return c > 0
	}
	return than.Slot == m.cfg.Avoid || s.Slot == m.cfg.Prefer
}

// shortfall says why the slots that answered are no majority.
func (m *Machine) shortfall() Reason {
	for i := range m.slots {
		if m.slots[i].state == slotRefused {
			return ReasonLostDuel
		}
	}
	return ReasonDisksLost
}

func (m *Machine) promoted(now time.Time, e Promoted) []Effect {
	s := m.find(e.Slot, e.Term)
	if s == nil || !m.isChosen(s) {
		return nil
	}
	s.state, s.status, s.resend = slotFollowed, e.Status, time.Time{}
	m.phase, m.deadline = phaseFollowing, now.Add(m.cfg.Timing.Follow)
	effects := []Effect{Tell{Term: m.cfg.Term, Primary: s.Slot, Members: m.cfg.Members}}
	for i := range m.slots {
		if s := &m.slots[i]; s.state == slotGranted || s.state == slotRefused && s.fencedTerm <= m.cfg.Term {
			effects = append(effects, m.follow(s))
		}
	}
	return append(effects, m.finish()...)
}

func (m *Machine) follow(s *slot) Effect {
	s.state, s.resend = slotFollowing, time.Time{}
	return Follow{Slot: s.Slot, Term: m.cfg.Term, Primary: m.slots[m.chosen].Slot}
}

func (m *Machine) followed(e Followed) []Effect {
	s := m.find(e.Slot, e.Term)
	if s == nil || m.phase != phaseFollowing || s.state != slotFollowing {
		return nil
	}
	s.state, s.status, s.resend = slotFollowed, e.Status, time.Time{}
	return m.finish()
}

// finish ends the attempt once no slot is left to wait for.
func (m *Machine) finish() []Effect {
	for i := range m.slots {
		if st := m.slots[i].state; st == slotAsked || st == slotFollowing {
			return nil
		}
	}
	return m.done()
}

func (m *Machine) done() []Effect {
	m.phase = phaseEnded
	d := Done{Term: m.cfg.Term, Primary: m.slots[m.chosen].Slot}
	for i := range m.slots {
		if m.slots[i].state != slotFollowed {
			d.Missing = append(d.Missing, m.slots[i].Slot)
		}
	}
	return []Effect{d}
}

// yield gives the attempt up: another term follows after a pause, unless a
// primary of a later term shows up before.
func (m *Machine) yield(now time.Time, reason Reason) []Effect {
	m.phase = phaseYielded
	effects := []Effect{
		Abort{Term: m.cfg.Term, Reason: reason},
		RetryAt{At: now.Add(m.backoff()), MinTerm: m.highest + 1, Attempt: m.cfg.Attempt + 1},
	}
	for i := range m.slots {
		effects = append(effects, AskStatus{Slot: m.slots[i].Slot})
	}
	return effects
}

// seen cancels the next attempt when another promoter's primary is at work.
func (m *Machine) seen(e Seen) []Effect {
	st := e.Status
	working := st.Role == endpoint.RolePrimary && st.FencedTerm == st.Synced.Term
	if m.phase != phaseYielded || !working || st.Synced.Term < m.highest {
		return nil
	}
	if st.Synced.Term == m.cfg.Term && m.chosen >= 0 {
		// It is this attempt's own primary, which nobody was told of.
		return nil
	}
	m.phase = phaseEnded
	return []Effect{Abort{Term: m.cfg.Term, Reason: ReasonOtherPrimary}}
}

func (m *Machine) tick(now time.Time) []Effect {
	if m.phase == phaseYielded || m.phase == phaseEnded {
		return nil
	}
	if !now.Before(m.deadline) {
		return m.expire(now)
	}
	if m.phase == phaseFencing && !m.preferUntil.IsZero() && !now.Before(m.preferUntil) {
		return m.choose(now)
	}
	var effects []Effect
	for i := range m.slots {
		s := &m.slots[i]
		if s.resend.IsZero() || now.Before(s.resend) {
			continue
		}
		s.resend = time.Time{}
		effects = append(effects, m.command(s))
	}
	return effects
}

// command returns the command that s has not answered.
func (m *Machine) command(s *slot) Effect {
	switch {
	case m.isChosen(s):
		return Promote{Slot: s.Slot, Term: m.cfg.Term}
	case s.state == slotFollowing:
		return m.follow(s)
	}
	return Fence{Slot: s.Slot, Term: m.cfg.Term}
}

// expire ends the phase. A Promote without an answer may have been carried out,
// so no other endpoint can be promoted at the same term.
func (m *Machine) expire(now time.Time) []Effect {
	switch m.phase {
	case phaseFencing:
		return m.yield(now, ReasonNoMajority)
	case phasePromoting:
		return m.yield(now, ReasonNoAnswer)
	}
	return m.done()
}

func (m *Machine) find(name string, term uint64) *slot {
	if term != m.cfg.Term {
		return nil
	}
	for i := range m.slots {
		if m.slots[i].Slot == name {
			return &m.slots[i]
		}
	}
	return nil
}
