package promotion

import (
	"fmt"
	"slices"

	"hemlockmast/internal/shared/logpos"
)

// The model below has several holders that replace the primary of one service, one after the
// other. A holder may be frozen between any two steps and go on after others have begun. Calls
// and orders may be carried out late. The databases and the platform behave as measured, see
// docs/incidents/lost-after-leader-change.md. Attempts choose with the package's functions.

const (
	modelEndpoints = 4
	modelCommits   = 3
	modelAttempts  = 4
	modelOrders    = 2
	noEndpoint     = int8(-1)
)

var endpointNames = [modelEndpoints]string{"0", "1", "2", "3"}

func indexOf(id string) int8 { return int8(slices.Index(endpointNames[:], id)) }

// modelRules are deviations from decisions 0088 and 0090. The zero value has all rules.
type modelRules struct {
	// old is the protocol before decision 0088: pauses end with RESUME after a failure, nothing
	// is recorded, dead replicas are left out, the last answer of the platform decides.
	old bool
	// 1: an attempt that fails ends its pauses.
	resumes bool
	// 2: replicas are paused although another one does not answer.
	pausesSome bool
	// 3: nobody makes another attempt after a failed one.
	forgetsAttempt bool
	// 3: nobody looks for pauses when the last attempt is closed.
	forgetsClosed bool
	// 4: a superseded holder calls; an endpoint that is not accounted for, or a replica that is
	// not covered any more, does not matter.
	callsUnrecorded, ignoresUnknown, keepsCovered bool
	// 5: open calls do not matter, or not for the term of a pause; the record of a claim drops
	// all of them; a call that was carried out is not open, even if another one was carried out
	// in its place.
	ignoresOpenCalls, pausesWithNextTerm, dropsAllCalls, dropsOwnCall bool
	// 5: older calls are closed by a primary that leads only; its position is taken for a floor.
	closesServingOnly, raisesFloorByPrimary bool
	// 6: any replica that is recorded as the primary is taken to have stepped down; open calls do
	// not matter then, or not that for the primary; its log may be new.
	trustsRole, trustsDespiteCalls, leavesCalledPrimary, trustsNewLog bool
	// 7: a replica that does not run is left out; the floor does not matter; replicas that run
	// are covered, too; a replica is covered after it has started again.
	leavesOutDead, ignoresFloor, coversRunning, coversLaterLife bool
	// 7: a refused connection is taken for proof that an endpoint does not run.
	trustsRefusals bool
	// 8: a replica that lost its log counts as any other, or if it was started since the attempt
	// began.
	trustsLostLog, ignoresReborn bool
	// 9: a call that is not answered is repeated with its token, and the last answer decides.
	repeatsCalls, forgetsUnanswered bool
	// 11: acknowledgements are not closed before a call, or what was acknowledged before that is
	// not compared with the candidate's log.
	leavesOpen, ignoresAcknowledged bool
	// 15: in a planned replacement, entries pass on what the successor does not hold; the call does
	// not wait for what they had passed on before; entries that do not confirm do not matter; open
	// calls for other endpoints do not.
	passesUnheld, ignoresPassedOn, ignoresSilence, requiresDespiteCalls bool
	// The last known term of a primary does not count for the term of a pause.
	seesAnswersOnly bool
}

// Kinds of faults.
const (
	faultCut = 1 << iota
	faultDeaf
	faultEnd
	faultRestart
	faultWipe
	faultJoin
	faultOrder
	faultCall
	faultRefuse
	allFaults = 1<<iota - 1
)

// States in which an exploration starts, other than the usual one.
const (
	// startTwoCalls: endpoint 1 leads by the first of two calls; the holder of the second waits.
	startTwoCalls = iota + 1
	// startPrimaryCalled: the primary stepped down, and a call for it is open.
	startPrimaryCalled
)

// modelConfig says what may happen.
type modelConfig struct {
	endpoints, commits, attempts int
	planned, unplanned           bool
	// faults are the kinds of faults, budget their number.
	faults, budget int
	// The cases that decision 0088 does not cover. Decision 0090 says which of them the closed
	// acknowledgements do.
	restartsWhileCounted, joinsWhileCounted, joinsUnannounced, lowersPauses, wipesLatest bool
	// entriesAnswer means that every entry hears of closed acknowledgements. Otherwise those
	// through which commits are acknowledged do not, and control knows that they are silent, or
	// does not know them at all.
	entriesAnswer, entriesUnknown bool
	// start is the state in which an exploration starts.
	start int
	// closesCalls lets an attempt call the primary to close older calls.
	closesCalls bool
	// coversLate lets time pass between the look at a replica that does not run and the record
	// that it is covered.
	coversLate bool
}

type modelEndpoint struct {
	term, pause uint8
	// log holds the numbers of the commits received; 0 ends it.
	log                              [modelCommits]uint8
	primary, down, deaf, cut, absent bool
	// refused means that the network refuses control's connections to an endpoint that is cut.
	refused bool
	// empty means that the endpoint lost its log and receives nothing before it is covered.
	empty bool
	// life counts the starts.
	life uint8
}

func (e *modelEndpoint) runs() bool    { return !e.down && !e.absent }
func (e *modelEndpoint) answers() bool { return e.runs() && !e.cut }

// Kinds of late orders.
const (
	noOrder = iota
	latePause
	lateResume
	lateStepDown
)

type modelOrder struct {
	kind uint8
	to   int8
	term uint8
}

// Steps of an attempt. In those from stepRequire to stepLook, it has connections to the replicas.
const (
	stepNone = iota
	stepStatus
	stepRequire
	stepPause
	stepChoose
	stepRecordStepDown
	stepStepDown
	stepChooseAfterStepDown
	stepRecordCall
	stepClose
	stepLook
	stepCall
	stepRepeatCall
	stepAwait
	stepRecordClaim
	stepResume
	stepEnded
)

type modelSeen struct {
	reached, primary, lost bool
	term, pause, position  uint8
}

type modelAttempt struct {
	step    uint8
	planned bool
	// next is the next endpoint that gets an order.
	next, term uint8
	chosen     int8
	// known, dead, mine and broken are sets of endpoints: known when the attempt began, left
	// out, paused by the attempt, and ended since it connected to them.
	known, dead, mine, broken uint8
	// reborn is the set of endpoints that were started since the attempt began.
	reborn uint8
	// calls and the fields after it are the agreed state when the attempt began.
	calls                             [modelAttempts]int8
	floor, number, covered, restarted uint8
	primary                           int8
	stepDown                          bool
	// unanswered means that a call was not answered, closes that the attempt calls the primary
	// to close older calls.
	unanswered, closes bool
	// final is the position of the candidate, or of the primary after it stepped down.
	final uint8
	// passedOn is the set of commits whose successes had been passed on when entries confirmed.
	passedOn uint8
	seen     [modelEndpoints]modelSeen
}

// holdersState is one state. Attempt k has token k+1.
type holdersState struct {
	e          [modelEndpoints]modelEndpoint
	commitTerm [modelCommits + 1]uint8
	// acked is the set of commits that were acknowledged to callers; lost means that a primary began without one.
	acked  uint8
	lost   bool
	term   uint8
	faults uint8
	a      [modelAttempts]modelAttempt

	// The platform: the highest token seen, and by token the calls and orders that may be
	// carried out.
	platformToken uint8
	inFlight      [modelAttempts]uint8
	inFlightTo    [modelAttempts]int8
	orders        [modelOrders]modelOrder

	// The agreed state. calls has the endpoint of each open call by token.
	last                           uint8
	unfinished, stepDown, hasEnded bool
	calls                          [modelAttempts]int8
	floor, number                  uint8
	record                         int8
	// closed means that no success of a commit at the recorded primary reaches a caller, or, if
	// required is an endpoint, only that of a commit which this endpoint holds.
	closed                    bool
	required                  int8
	recordTerm                uint8
	covered, restarted, known uint8

	// toCover is an endpoint that was found not to run, 0 for none, or its number and 1.
	toCover, toCoverLife, toCoverPosition uint8
	toCoverRuns                           bool
}

type modelEvent struct {
	what string
	a, b int
}

func (e modelEvent) String() string { return fmt.Sprintf("%s (%d, %d)", e.what, e.a, e.b) }

type modelStep struct {
	event modelEvent
	state holdersState
}

type model struct {
	rules modelRules
	modelConfig
	// wanted are events of the loss that is looked for.
	wanted []string
	out    []modelStep
}

func (m *model) first() holdersState {
	// Commit 1 is everywhere.
	s := holdersState{term: 1, recordTerm: 1, required: noEndpoint, acked: 1 << 1, commitTerm: [modelCommits + 1]uint8{1: 1}}
	for i := range s.e {
		s.e[i].term = 1
		if s.e[i].absent = i >= m.endpoints; !s.e[i].absent {
			s.e[i].log[0] = 1
		}
		if i < m.endpoints {
			s.known |= 1 << i
		}
	}
	s.e[0].primary = true
	for k := range s.calls {
		s.calls[k], s.inFlightTo[k] = noEndpoint, noEndpoint
	}
	switch m.start {
	case startTwoCalls:
		s.last, s.unfinished, s.calls[0], s.calls[1] = 2, true, 1, 1
		s.inFlight[1], s.inFlightTo[1] = 1, 1
		s.a[0], s.a[1] = modelAttempt{step: stepEnded}, modelAttempt{step: stepAwait, chosen: 1}
		s.promote(1, 1)
	case startPrimaryCalled:
		s.last, s.unfinished, s.calls[0], s.stepDown = 1, true, 0, true
		s.inFlight[0], s.inFlightTo[0] = 1, 0
		s.a[0], s.e[0].primary = modelAttempt{step: stepEnded}, false
	}
	return s
}

func (m *model) add(what string, a, b int, s holdersState) {
	m.out = append(m.out, modelStep{modelEvent{what, a, b}, s})
}

// next returns every state that one event can lead to. The slice is valid until the next call.
func (m *model) next(s holdersState) []modelStep {
	m.out = m.out[:0]
	m.replicate(s)
	for i := range s.e {
		m.disturb(s, i)
	}
	m.applyCover(s)
	m.carryOutLate(s)
	for k := range m.attempts {
		m.attempt(s, k)
	}
	return m.out
}

// mayFail counts a fault of the given kind and returns false if it may not happen.
func (m *model) mayFail(s *holdersState, kind int) bool {
	if m.faults&kind == 0 || int(s.faults) >= m.budget {
		return false
	}
	s.faults++
	return true
}

// The databases.

func logLen(log [modelCommits]uint8) int {
	n := 0
	for n < modelCommits && log[n] != 0 {
		n++
	}
	return n
}

// position returns the end of endpoint i's log: the term, then 3 bits for the index.
func (s *holdersState) position(i int) uint8 {
	n := logLen(s.e[i].log)
	if n == 0 {
		return 0
	}
	return s.commitTerm[s.e[i].log[n-1]]<<3 | uint8(n)
}

func decodePosition(p uint8) logpos.Pos {
	if p == 0 {
		return logpos.Pos{}
	}
	return logpos.Pos{Term: uint64(p >> 3), Index: uint64(p & 7)}
}

func (s *holdersState) primary() int {
	return slices.IndexFunc(s.e[:], func(e modelEndpoint) bool { return e.primary })
}

// follow makes endpoint i a replica of the primary if it hears it and no pause holds.
func (s *holdersState) follow(i int) {
	p := s.primary()
	if p < 0 || p == i {
		return
	}
	e := &s.e[i]
	if !e.runs() || e.deaf || s.e[p].down || e.pause > s.e[p].term || e.term >= s.e[p].term {
		return
	}
	e.pause, e.term = 0, s.e[p].term
	n := 0
	for n < modelCommits && e.log[n] == s.e[p].log[n] {
		n++
	}
	clear(e.log[n:])
}

// promote is what the platform does for a call. It returns false for a refusal.
func (s *holdersState) promote(to int, token uint8) bool {
	if token < s.platformToken || !s.e[to].runs() {
		return false
	}
	s.platformToken = token
	if s.e[to].primary {
		return true
	}
	for i := range s.e {
		s.e[i].primary = false
	}
	s.term++
	e := &s.e[to]
	e.primary, e.term, e.pause = true, s.term, 0
	for i := range s.e {
		s.follow(i)
	}
	for c := uint8(1); c <= modelCommits; c++ {
		s.lost = s.lost || s.acked&(1<<c) != 0 && !slices.Contains(e.log[:], c)
	}
	return true
}

func (s *holdersState) execute(o modelOrder) {
	e := &s.e[o.to]
	switch {
	case !e.runs():
	case o.kind == latePause && !e.primary && o.term > e.term:
		e.pause = o.term
	case o.kind == lateResume:
		e.pause = 0
		s.follow(int(o.to))
	case o.kind == lateStepDown && e.primary && o.term > e.term:
		e.primary = false
	}
}

// addLate keeps an order for later. It returns false if there are too many.
func (s *holdersState) addLate(o modelOrder) bool {
	i := slices.Index(s.orders[:], modelOrder{})
	if i < 0 {
		return false
	}
	s.orders[i] = o
	key := func(o modelOrder) int { return int(o.kind)<<16 | int(o.to)<<8 | int(o.term) }
	slices.SortFunc(s.orders[:], func(a, b modelOrder) int { return key(b) - key(a) })
	return true
}

// replicate has the commits and their way to the replicas.
func (m *model) replicate(s holdersState) {
	p := s.primary()
	if p < 0 || s.e[p].down {
		return
	}
	c := 1 + slices.Index(s.commitTerm[1:], 0)
	if n := logLen(s.e[p].log); c > 0 && c <= m.commits+1 && n < modelCommits {
		t := s
		t.commitTerm[c] = t.e[p].term
		t.e[p].log[n] = uint8(c)
		m.add("primary commits", p, c, t)
	}
	for i := range s.e {
		e := &s.e[i]
		if i == p || !e.runs() || e.deaf {
			continue
		}
		t := s
		t.follow(i)
		n := logLen(e.log)
		switch {
		case t != s:
			m.add("follows the primary", i, p, t)
		case e.pause == 0 && e.term == s.e[p].term && n < modelCommits && s.e[p].log[n] != 0:
			c := s.e[p].log[n]
			t.e[i].log[n] = c
			if t.commitTerm[c] == t.e[p].term && m.isPassedOn(&t, p, c) {
				t.acked |= 1 << c
			}
			m.add("receives and acknowledges", i, int(c), t)
		}
	}
}

// isPassedOn reports whether the success of a commit that primary p acknowledges reaches its caller.
func (m *model) isPassedOn(s *holdersState, p int, c uint8) bool {
	switch {
	case p != int(s.record):
		return true
	case s.required >= 0:
		isHeard := m.entriesAnswer && !m.rules.passesUnheld
		return !isHeard || slices.Contains(s.e[s.required].log[:], c)
	}
	return !s.closed
}

// isCountedOn reports whether a promotion may still take effect whose holder has looked at the
// replicas for the last time.
func (s *holdersState) isCountedOn() bool {
	for k := range s.a {
		isCalled := s.inFlight[k] > 0 && uint8(k+1) >= s.platformToken
		if isCalled || s.a[k].step == stepCall || s.a[k].step == stepRepeatCall {
			return true
		}
	}
	return false
}

// mayJoin reports whether an endpoint may begin to run: not after an attempt has looked at the
// known endpoints for the last time.
func (m *model) mayJoin(s *holdersState) bool {
	isLooking := slices.ContainsFunc(s.a[:], func(a modelAttempt) bool { return a.step == stepLook })
	return m.joinsWhileCounted || !isLooking && !s.isCountedOn()
}

// isOnlyCopy reports whether endpoint i alone holds an acknowledged commit.
func (s *holdersState) isOnlyCopy(i int) bool {
	for _, c := range s.e[i].log {
		isCopied := slices.ContainsFunc(endpointNames[:], func(id string) bool {
			j := int(indexOf(id))
			return j != i && slices.Contains(s.e[j].log[:], c)
		})
		if c != 0 && s.acked&(1<<c) != 0 && !isCopied {
			return true
		}
	}
	return false
}

// disturb has the faults of endpoint i and their ends.
func (m *model) disturb(s holdersState, i int) {
	e := &s.e[i]
	p := s.primary()
	change := func(kind int, what string, f func(t *holdersState, e *modelEndpoint)) {
		t := s
		if kind == 0 || m.mayFail(&t, kind) {
			f(&t, &t.e[i])
			m.add(what, i, 0, t)
		}
	}
	if e.absent {
		if m.mayJoin(&s) || m.joinsUnannounced {
			change(faultJoin, "joins", func(t *holdersState, e *modelEndpoint) {
				*e = modelEndpoint{}
				if !m.joinsUnannounced {
					t.known |= 1 << i
				}
				t.follow(i)
			})
		}
		return
	}
	m.cover(s, i)
	if e.deaf && !e.empty {
		change(0, "is no longer deaf", func(t *holdersState, e *modelEndpoint) { e.deaf = false; t.follow(i) })
	}
	if e.cut {
		change(0, "is reached by control again", func(_ *holdersState, e *modelEndpoint) { e.cut, e.refused = false, false })
	}
	if e.down {
		if e.primary || m.mayJoin(&s) {
			change(0, "is back with its log", func(t *holdersState, _ *modelEndpoint) { t.restart(i) })
		}
		return
	}
	change(faultEnd, "ends", func(t *holdersState, e *modelEndpoint) {
		e.down, e.deaf, e.pause = true, false, 0
		t.breakConns(i)
	})
	if !e.deaf {
		change(faultDeaf, "is deaf", func(_ *holdersState, e *modelEndpoint) { e.deaf = true })
	}
	if i == p && !e.cut {
		change(faultCut, "is cut off from control", func(_ *holdersState, e *modelEndpoint) { e.cut = true })
	}
	if i != p && !e.cut {
		change(faultRefuse, "is cut off from control, connections are refused", func(t *holdersState, e *modelEndpoint) {
			e.cut, e.refused = true, true
			t.breakConns(i)
		})
	}
	if i == p || s.isCountedOn() && !m.restartsWhileCounted {
		return
	}
	if e.pause != 0 {
		change(faultRestart, "starts again with its log", func(t *holdersState, _ *modelEndpoint) { t.restart(i) })
	}
	if !s.isOnlyCopy(i) {
		change(faultWipe, "starts again empty", func(t *holdersState, e *modelEndpoint) {
			e.log, e.term = [modelCommits]uint8{}, 0
			e.deaf, e.empty = !m.wipesLatest, !m.wipesLatest
			t.restart(i)
		})
	}
}

// restart starts endpoint i anew with its log. It announces itself at once.
func (s *holdersState) restart(i int) {
	e := &s.e[i]
	e.down, e.pause = false, 0
	e.life++
	s.covered &^= 1 << i
	s.restarted |= 1 << i
	s.breakConns(i)
	for k := range s.a {
		if a := &s.a[k]; a.step >= stepStatus && a.step <= stepRecordCall && a.known&(1<<i) != 0 {
			a.reborn |= 1 << i
		}
	}
	s.follow(i)
}

// breakConns ends the connections of the attempts to endpoint i.
func (s *holdersState) breakConns(i int) {
	for k := range s.a {
		if a := &s.a[k]; a.step >= stepRequire && a.step <= stepLook && a.known&(1<<i) != 0 {
			a.broken |= 1 << i
		}
	}
}

// isTakenForEnded reports whether control takes endpoint i for one that does not run. That it
// ended is known from itself or from the endpoint that answers at its address now.
func (m *model) isTakenForEnded(e *modelEndpoint) bool {
	return e.down || e.refused && m.rules.trustsRefusals
}

// cover has the look at an endpoint that does not run or has started again: another one holds
// what the primary holds now.
func (m *model) cover(s holdersState, i int) {
	p := s.primary()
	isEnded := m.isTakenForEnded(&s.e[i])
	isNeeded := isEnded && s.covered&(1<<i) == 0 || s.restarted&(1<<i) != 0
	if !isNeeded || s.toCover != 0 || p < 0 || p != int(s.record) || !s.e[p].answers() {
		return
	}
	for r := range s.e {
		isHolder := r != p && s.known&(1<<r) != 0 && s.e[r].answers() && s.position(r) >= s.position(p)
		if !isHolder {
			continue
		}
		s.toCover, s.toCoverLife, s.toCoverPosition, s.toCoverRuns = uint8(i+1), s.e[i].life, s.position(p), !isEnded
		if m.coversLate && m.attempts > 0 {
			m.add("is held by another endpoint", i, r, s)
			return
		}
		m.applyCover(s)
		return
	}
}

// applyCover is Cover of the agreed state.
func (m *model) applyCover(s holdersState) {
	if s.toCover == 0 {
		return
	}
	i, life, runs := int(s.toCover-1), s.toCoverLife, s.toCoverRuns
	s.floor = max(s.floor, s.toCoverPosition)
	s.toCover, s.toCoverLife, s.toCoverPosition, s.toCoverRuns = 0, 0, 0, false
	if s.e[i].life == life || m.rules.coversLaterLife {
		s.restarted &^= 1 << i
		s.e[i].empty = false
		if !runs || m.rules.coversRunning {
			s.covered |= 1 << i
		}
	}
	m.add("is covered", i, 0, s)
}

// carryOutLate has the calls and orders that are carried out.
func (m *model) carryOutLate(s holdersState) {
	for k := range s.inFlight {
		if s.inFlight[k] == 0 {
			continue
		}
		t := s
		to := int(t.inFlightTo[k])
		if t.inFlight[k]--; t.inFlight[k] == 0 {
			t.inFlightTo[k] = noEndpoint
		}
		what := "call is refused late"
		if t.promote(to, uint8(k+1)) {
			what = eventPromoted
		}
		m.add(what, k+1, to, t)
	}
	for i, o := range s.orders {
		if o.kind == noOrder || i > 0 && s.orders[i-1] == o {
			continue
		}
		if o.kind == latePause && o.term < s.e[o.to].pause && !m.lowersPauses {
			continue
		}
		t := s
		copy(t.orders[i:], t.orders[i+1:])
		t.orders[modelOrders-1] = modelOrder{}
		t.execute(o)
		m.add([]string{"", "late PAUSE", "late RESUME", "late STEPDOWN"}[o.kind], int(o.to), int(o.term), t)
	}
}

const eventPromoted = "call is carried out"
