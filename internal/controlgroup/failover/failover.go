// Package failover decides the steps of one promotion:
//
//  1. Fence all slots of a group at a new term. An endpoint that grants the term
//     refuses commands of lower terms from then on.
//  2. Among a majority of slots that granted the term, choose the endpoint with
//     the latest log, that is the highest synced log position.
//  3. Promote it and announce it to holders, which connect to endpoints, and to
//     entries, which serve callers.
//  4. Make the other endpoints follow it.
//
// A Machine is the state machine of one attempt at one term. It does no I/O and
// reads no clock: its user passes in events and the time and carries out the
// effects that it returns. An effect may be lost, delayed or carried out twice.
//
// Safety depends on the endpoint contract alone, with one exception: the rule on
// lost disks, which package quorum states, needs terms that the control group
// allocates by agreement.
package failover

import (
	"time"

	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/endpoint"
)

// Timing holds the durations of an attempt.
type Timing struct {
	// ResendDelay is the delay before a failed command is sent again.
	ResendDelay time.Duration
	// Fence limits the wait for a majority of grants.
	Fence time.Duration
	// Prefer limits the wait for Config.Prefer once a majority granted the term.
	Prefer time.Duration
	// Promote limits the wait for the chosen endpoint's answer to Promote.
	Promote time.Duration
	// Follow limits the wait for the other endpoints to follow.
	Follow time.Duration
	// BackoffBase and BackoffCap are the lowest and the highest delay before the
	// next attempt, before jitter is added.
	BackoffBase, BackoffCap time.Duration
}

// DefaultTiming returns durations for failure domains within one region.
func DefaultTiming() Timing {
	return Timing{
		ResendDelay: 50 * time.Millisecond,
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
	// Promoter names the promoter. It must differ between incarnations of a
	// daemon, because an endpoint that granted a term to a name grants that term
	// to the same name again.
	Promoter string
	// Term must be higher than every term allocated before.
	Term uint64
	// Members are all configured slots of the group.
	Members []quorum.Member
	// Avoid is a slot that is chosen only if its log is later than the others'.
	// It is usually the suspected primary. May be empty.
	Avoid string
	// Prefer is a slot that is chosen if no other log is later. The machine waits
	// up to Timing.Prefer for its answer. It is usually the current primary,
	// unless that is suspected. May be empty.
	Prefer string
	// FailedAttempts counts the consecutive failed attempts before this one.
	FailedAttempts int
	Timing         Timing
}

// phase is the step of the attempt that is in progress.
type phase uint8

const (
	phaseFencing   phase = iota // waits for a majority of grants
	phasePromoting              // waits for the chosen endpoint
	phaseFollowing              // waits for the other endpoints to follow
	phaseAborted                // gave up; watches for another promoter's primary
	phaseEnded                  // has nothing more to do
)

// slotState is the state of one slot within the attempt.
type slotState uint8

const (
	slotFencePending  slotState = iota // Fence was sent and not answered
	slotGranted                        // granted the term
	slotRefused                        // refused a command of the term
	slotFollowPending                  // Follow was sent and not answered
	slotDone                           // is the primary or follows it
)

type slot struct {
	quorum.Member
	state  slotState
	status endpoint.Status
	// fencedTerm is the fenced term that the slot reported when it refused.
	fencedTerm uint64
	// resendAt is when the failed command is sent again; zero unless the last
	// command to the slot failed.
	resendAt time.Time
}

// Machine is the state machine of one attempt. It is not safe for concurrent use.
type Machine struct {
	cfg   Config
	phase phase
	slots []slot
	// chosen is the index in slots of the slot to promote; -1 before the choice.
	chosen int
	// deadline is when the phase times out.
	deadline time.Time
	// preferredSlotDeadline ends the wait for the preferred slot; zero until a
	// majority granted the term without it.
	preferredSlotDeadline time.Time
	// highestFencedTerm is the highest fenced term that a slot reported; at
	// least the attempt's own term.
	highestFencedTerm uint64
}

// New begins an attempt at the time now and returns its first effects. The error
// is a *ConfigError.
func New(cfg Config, now time.Time) (*Machine, []Effect, error) {
	if err := cfg.check(); err != nil {
		return nil, nil, err
	}
	m := &Machine{cfg: cfg, chosen: -1, highestFencedTerm: cfg.Term, deadline: now.Add(cfg.Timing.Fence)}
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

// Deadline returns when the next Tick is due, or false if none is.
func (m *Machine) Deadline() (time.Time, bool) {
	if m.phase == phaseEnded || m.phase == phaseAborted {
		return time.Time{}, false
	}
	next := m.deadline
	if m.phase == phaseFencing && !m.preferredSlotDeadline.IsZero() && m.preferredSlotDeadline.Before(next) {
		next = m.preferredSlotDeadline
	}
	for i := range m.slots {
		if r := m.slots[i].resendAt; !r.IsZero() && r.Before(next) {
			next = r
		}
	}
	return next, true
}

// Step handles one event and returns the effects to carry out. It ignores events
// of other terms or unknown slots, and duplicate answers.
func (m *Machine) Step(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case FenceGranted:
		return m.handleFenceGranted(now, e)
	case Refused:
		return m.handleRefused(now, e)
	case Failed:
		return m.handleFailed(now, e)
	case PromoteSucceeded:
		return m.handlePromoteSucceeded(now, e)
	case FollowSucceeded:
		return m.handleFollowSucceeded(e)
	case StatusReceived:
		return m.handleStatusReceived(e)
	case Tick:
		return m.handleTick(now)
	}
	return nil
}

func (m *Machine) handleFenceGranted(now time.Time, e FenceGranted) []Effect {
	s := m.findSlot(e.Slot, e.Term)
	if s == nil || s.state != slotFencePending {
		return nil
	}
	s.state, s.status, s.resendAt = slotGranted, e.Status, time.Time{}
	switch m.phase {
	case phaseFencing:
		return m.promoteIfMajority(now)
	case phaseFollowing:
		return []Effect{m.startFollow(s)}
	}
	return nil
}

func (m *Machine) handleRefused(now time.Time, e Refused) []Effect {
	s := m.findSlot(e.Slot, e.Term)
	if s == nil {
		return nil
	}
	s.resendAt = time.Time{}
	m.highestFencedTerm = max(m.highestFencedTerm, e.FencedTerm)
	switch m.phase {
	case phaseFencing:
		s.state, s.fencedTerm = slotRefused, e.FencedTerm
		if e.FencedTerm > m.cfg.Term {
			return m.abort(now, ReasonSuperseded)
		}
		return m.promoteIfMajority(now)
	case phasePromoting:
		if s == &m.slots[m.chosen] {
			return m.abort(now, ReasonSuperseded)
		}
		s.state, s.fencedTerm = slotRefused, e.FencedTerm
	case phaseFollowing:
		return m.handleRefusalWhileFollowing(s, e)
	}
	return nil
}

// handleRefusalWhileFollowing handles a refusal after the promotion. A slot that
// refused Fence because it granted this same term to another promoter can still
// follow. Any other slot that refuses is no longer waited for.
func (m *Machine) handleRefusalWhileFollowing(s *slot, e Refused) []Effect {
	if e.FencedTerm <= m.cfg.Term && s.state == slotFencePending {
		return []Effect{m.startFollow(s)}
	}
	s.state, s.fencedTerm = slotRefused, e.FencedTerm
	return m.completeIfAllAnswered()
}

// handleFailed schedules the resend of a command that got no answer.
func (m *Machine) handleFailed(now time.Time, e Failed) []Effect {
	s := m.findSlot(e.Slot, e.Term)
	if s == nil || m.phase == phaseAborted || m.phase == phaseEnded {
		return nil
	}
	if s.state == slotFencePending || s.state == slotFollowPending || m.isChosen(s) {
		s.resendAt = now.Add(m.cfg.Timing.ResendDelay)
	}
	if m.phase == phaseFencing {
		return m.promoteIfMajority(now)
	}
	return nil
}

// isChosen reports whether s is the slot whose promotion is in progress.
func (m *Machine) isChosen(s *slot) bool {
	return m.phase == phasePromoting && s == &m.slots[m.chosen]
}

// promoteIfMajority promotes the slot with the latest log once the grants that
// count are a majority, and aborts once no majority can be reached. It compares log
// positions, not fenced terms, because a fenced term says nothing about a log.
func (m *Machine) promoteIfMajority(now time.Time) []Effect {
	best, grants, pending := -1, 0, 0
	for i := range m.slots {
		s := &m.slots[i]
		switch {
		case s.state == slotFencePending:
			pending++
		case s.state == slotGranted && s.CountsGrant(s.status):
			grants++
			if best < 0 || m.ranksAbove(s, &m.slots[best]) {
				best = i
			}
		}
	}
	majority := quorum.Majority(len(m.slots))
	if grants >= majority && m.waitsForPreferredSlot(now) {
		return nil
	}
	if grants >= majority {
		m.phase, m.chosen = phasePromoting, best
		m.deadline = now.Add(m.cfg.Timing.Promote)
		return []Effect{Promote{Slot: m.slots[best].Slot, Term: m.cfg.Term}}
	}
	if grants+pending < majority {
		return m.abort(now, m.noMajorityReason())
	}
	return nil
}

// waitsForPreferredSlot reports whether the choice has to wait for the preferred
// slot: its Fence has neither been answered nor failed, and the wait is not over.
func (m *Machine) waitsForPreferredSlot(now time.Time) bool {
	for i := range m.slots {
		s := &m.slots[i]
		if s.Slot != m.cfg.Prefer || s.state != slotFencePending || !s.resendAt.IsZero() {
			continue
		}
		if m.preferredSlotDeadline.IsZero() {
			m.preferredSlotDeadline = now.Add(m.cfg.Timing.Prefer)
		}
		return now.Before(m.preferredSlotDeadline)
	}
	return false
}

// ranksAbove reports whether s is a better choice than other: its log is later,
// or the logs are equal and s is preferred or other is to be avoided.
func (m *Machine) ranksAbove(s, other *slot) bool {
	if c := s.status.Synced.Compare(other.status.Synced); c != 0 {
		return c > 0
	}
	return other.Slot == m.cfg.Avoid || s.Slot == m.cfg.Prefer
}

// noMajorityReason returns why the grants cannot reach a majority.
func (m *Machine) noMajorityReason() Reason {
	for i := range m.slots {
		if m.slots[i].state == slotRefused {
			return ReasonTermHeldByOther
		}
	}
	return ReasonDisksLost
}

func (m *Machine) handlePromoteSucceeded(now time.Time, e PromoteSucceeded) []Effect {
	s := m.findSlot(e.Slot, e.Term)
	if s == nil || !m.isChosen(s) {
		return nil
	}
	s.state, s.status, s.resendAt = slotDone, e.Status, time.Time{}
	m.phase, m.deadline = phaseFollowing, now.Add(m.cfg.Timing.Follow)
	effects := []Effect{AnnouncePrimary{Term: m.cfg.Term, Primary: s.Slot, Members: m.cfg.Members}}
	for i := range m.slots {
		if s := &m.slots[i]; s.state == slotGranted || s.state == slotRefused && s.fencedTerm <= m.cfg.Term {
			effects = append(effects, m.startFollow(s))
		}
	}
	return append(effects, m.completeIfAllAnswered()...)
}

// startFollow marks s as told to follow and returns the command.
func (m *Machine) startFollow(s *slot) Effect {
	s.state, s.resendAt = slotFollowPending, time.Time{}
	return Follow{Slot: s.Slot, Term: m.cfg.Term, Primary: m.slots[m.chosen].Slot}
}

func (m *Machine) handleFollowSucceeded(e FollowSucceeded) []Effect {
	s := m.findSlot(e.Slot, e.Term)
	if s == nil || m.phase != phaseFollowing || s.state != slotFollowPending {
		return nil
	}
	s.state, s.status, s.resendAt = slotDone, e.Status, time.Time{}
	return m.completeIfAllAnswered()
}

// completeIfAllAnswered ends the attempt once no slot has an unanswered command.
func (m *Machine) completeIfAllAnswered() []Effect {
	for i := range m.slots {
		if st := m.slots[i].state; st == slotFencePending || st == slotFollowPending {
			return nil
		}
	}
	return m.complete()
}

// complete ends a successful attempt.
func (m *Machine) complete() []Effect {
	m.phase = phaseEnded
	d := Done{Term: m.cfg.Term, Primary: m.slots[m.chosen].Slot}
	for i := range m.slots {
		if m.slots[i].state != slotDone {
			d.Missing = append(d.Missing, m.slots[i].Slot)
		}
	}
	return []Effect{d}
}

// abort gives up the attempt and asks for another one at a later term after a
// backoff. It queries all slots, so that a working primary of another promoter
// can cancel that attempt.
func (m *Machine) abort(now time.Time, reason Reason) []Effect {
	m.phase = phaseAborted
	effects := []Effect{
		Abort{Term: m.cfg.Term, Reason: reason},
		RetryAt{At: now.Add(m.backoff()), MinTerm: m.highestFencedTerm + 1, FailedAttempts: m.cfg.FailedAttempts + 1},
	}
	for i := range m.slots {
		effects = append(effects, QueryStatus{Slot: m.slots[i].Slot})
	}
	return effects
}

// handleStatusReceived cancels the next attempt if another promoter's primary
// works, that is, if no later term fenced it since its promotion.
func (m *Machine) handleStatusReceived(e StatusReceived) []Effect {
	st := e.Status
	isWorkingPrimary := st.Role == endpoint.RolePrimary && st.FencedTerm == st.Synced.Term
	if m.phase != phaseAborted || !isWorkingPrimary || st.Synced.Term < m.highestFencedTerm {
		return nil
	}
	if st.Synced.Term == m.cfg.Term && m.chosen >= 0 {
		// This attempt promoted the primary itself but never announced it.
		return nil
	}
	m.phase = phaseEnded
	return []Effect{Abort{Term: m.cfg.Term, Reason: ReasonOtherPrimary}}
}

func (m *Machine) handleTick(now time.Time) []Effect {
	if m.phase == phaseAborted || m.phase == phaseEnded {
		return nil
	}
	if !now.Before(m.deadline) {
		return m.handlePhaseTimeout(now)
	}
	if m.phase == phaseFencing && !m.preferredSlotDeadline.IsZero() && !now.Before(m.preferredSlotDeadline) {
		return m.promoteIfMajority(now)
	}
	var effects []Effect
	for i := range m.slots {
		s := &m.slots[i]
		if s.resendAt.IsZero() || now.Before(s.resendAt) {
			continue
		}
		s.resendAt = time.Time{}
		effects = append(effects, m.pendingCommand(s))
	}
	return effects
}

// pendingCommand returns the command that s has not answered yet.
func (m *Machine) pendingCommand(s *slot) Effect {
	switch {
	case m.isChosen(s):
		return Promote{Slot: s.Slot, Term: m.cfg.Term}
	case s.state == slotFollowPending:
		return m.startFollow(s)
	}
	return Fence{Slot: s.Slot, Term: m.cfg.Term}
}

// handlePhaseTimeout handles the timeout of the phase. If Promote got no
// answer, the attempt is aborted: the command may have been carried out, so no
// other endpoint may be promoted at the same term.
func (m *Machine) handlePhaseTimeout(now time.Time) []Effect {
	switch m.phase {
	case phaseFencing:
		return m.abort(now, ReasonNoMajority)
	case phasePromoting:
		return m.abort(now, ReasonNoAnswer)
	}
	return m.complete()
}

// findSlot returns the named slot; nil if it is unknown or term is another
// attempt's.
func (m *Machine) findSlot(name string, term uint64) *slot {
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
