package promotion

import (
	"slices"

	"hemlockmast/internal/shared/stmt"
)

// The attempts of the model in holders_model_test.go.

// look requests the status of endpoint i and reports whether it answers.
func (s *holdersState) look(a *modelAttempt, i int) bool {
	e := &s.e[i]
	lost := a.seen[i].lost
	a.seen[i] = modelSeen{}
	if !e.answers() || a.broken&(1<<i) != 0 {
		return false
	}
	a.seen[i] = modelSeen{
		reached: true, primary: e.primary, lost: lost, term: e.term, pause: e.pause, position: s.position(i),
	}
	return true
}

// replicas returns what attempt a knows, as the package's functions take it.
func (a *modelAttempt) replicas() []ReplicaState {
	list := make([]ReplicaState, 0, modelEndpoints)
	for i, v := range a.seen {
		if a.known&(1<<i) == 0 || i == int(a.primary) {
			continue
		}
		r := ReplicaState{
			ID: endpointNames[i], Reached: v.reached, Dead: a.dead&(1<<i) != 0, LostLog: v.lost,
			Status: stmt.Status{Term: uint64(v.term), PausedTerm: uint64(v.pause), Received: decodePosition(v.position)},
		}
		if v.primary {
			r.Status.Role = stmt.Primary
		}
		list = append(list, r)
	}
	return list
}

// open returns the open calls that count, as fleetstate.OpenCalls does.
func (a *modelAttempt) open() []Call {
	var list []Call
	for k, to := range a.calls {
		if to >= 0 && (len(list) > 0 || to != a.primary || a.stepDown) {
			list = append(list, Call{Token: uint64(k + 1), EndpointID: endpointNames[to]})
		}
	}
	return list
}

func (m *model) nextTerm(s *holdersState, replicas []ReplicaState) uint64 {
	if m.rules.old {
		var term uint64
		for _, r := range replicas {
			term = max(term, r.Status.PausedTerm, r.Status.Term)
		}
		return term + 1
	}
	if m.rules.seesAnswersOnly {
		return NextTerm(replicas, 0)
	}
	return NextTerm(replicas, uint64(s.recordTerm))
}

func (m *model) pauseTerm(s *holdersState, a *modelAttempt, id string) uint8 {
	next := m.nextTerm(s, a.replicas())
	if m.rules.pausesWithNextTerm {
		return uint8(next)
	}
	return uint8(PauseTerm(next, a.open(), id))
}

func (m *model) to(s holdersState, k int, step uint8, what string) {
	s.a[k].step = step
	m.add(what, k+1, int(s.a[k].chosen), s)
}

func (s holdersState) end(k int) holdersState {
	s.a[k] = modelAttempt{step: stepEnded}
	return s
}

// fail ends attempt k without a promotion.
func (m *model) fail(s holdersState, k int, why string) {
	a := &s.a[k]
	if s.last == uint8(k+1) && s.required >= 0 {
		s.openIfNoCall()
	}
	if (m.rules.resumes || m.rules.old) && a.mine != 0 && !a.unanswered {
		a.next = 0
		m.to(s, k, stepResume, why)
		return
	}
	m.add(why, k+1, 0, s.end(k))
}

func (m *model) attempt(s holdersState, k int) {
	switch a := &s.a[k]; a.step {
	case stepNone:
		m.begin(s, k)
	case stepStatus:
		m.requestStatus(s, k)
	case stepRequire:
		m.requireSuccessor(s, k)
	case stepPause:
		m.pause(s, k)
	case stepChoose:
		m.choose(s, k)
	case stepRecordStepDown:
		m.recordStepDown(s, k)
	case stepStepDown:
		m.orderStepDown(s, k)
	case stepChooseAfterStepDown:
		m.chooseAfterStepDown(s, k)
	case stepRecordCall:
		m.recordCall(s, k)
	case stepClose:
		m.closeAcknowledgements(s, k)
	case stepLook:
		m.lookAgain(s, k)
	case stepCall, stepRepeatCall:
		m.call(s, k)
	case stepAwait:
		m.await(s, k)
	case stepRecordClaim:
		m.setPrimary(&s, int(a.chosen), 0, a.number)
		m.add("claim recorded", k+1, int(a.chosen), s.end(k))
	case stepResume:
		m.resume(s, k)
	}
}

func (m *model) begin(s holdersState, k int) {
	if int(s.last) != k {
		return
	}
	s.last, s.unfinished, s.hasEnded = uint8(k+1), true, false
	a := modelAttempt{
		step: stepStatus, chosen: noEndpoint, known: s.known, calls: s.calls, floor: s.floor, number: s.number,
		covered: s.covered, restarted: s.restarted, primary: s.record, stepDown: s.stepDown,
	}
	if m.rules.ignoresOpenCalls {
		for i := range a.calls {
			a.calls[i] = noEndpoint
		}
	}
	p := s.primary()
	if m.planned && p == int(s.record) && s.e[p].answers() {
		a.planned = true
		s.a[k] = a
		m.add("attempt begins, planned", k+1, 0, s)
	}
	if m.unplanned {
		a.planned = false
		s.a[k] = a
		m.add("attempt begins", k+1, 0, s)
	}
}

func (m *model) requestStatus(s holdersState, k int) {
	a := &s.a[k]
	for i := range s.e {
		if a.known&(1<<i) == 0 || i == int(a.primary) {
			continue
		}
		if s.look(a, i) {
			isBehind := a.floor == 0 || a.seen[i].position < a.floor
			a.seen[i].lost = a.restarted&(1<<i) != 0 && isBehind && !m.rules.trustsLostLog
		} else if m.isTakenForEnded(&s.e[i]) && (a.covered&(1<<i) != 0 || m.rules.leavesOutDead || m.rules.old) {
			a.dead |= 1 << i
		}
	}
	replicas := a.replicas()
	if other, ok := CurrentPrimary(replicas); ok {
		a.chosen = indexOf(other.ID)
		m.to(s, k, stepRecordClaim, "sees another primary")
		return
	}
	if !m.rules.pausesSome && !m.rules.old && !AllAnswer(replicas) {
		m.toStepDown(s, k, "not all answer")
		return
	}
	candidate, ok := ReplicaState{}, false
	if a.planned {
		candidate, ok = Successor(replicas, a.open(), m.nextTerm(&s, replicas), "")
	}
	if ok && len(CalledReplicas(a.open(), candidate.ID)) > 0 && !m.rules.requiresDespiteCalls && !m.rules.old {
		ok = false
	}
	if a.planned = ok; ok {
		a.chosen = indexOf(candidate.ID)
		if !m.rules.old {
			m.to(s, k, stepRequire, "status requested, successor chosen")
			return
		}
	} else {
		candidate, _ = MostUpToDate(replicas, a.open())
	}
	a.term = m.pauseTerm(&s, a, candidate.ID)
	m.to(s, k, stepPause, "status requested")
}

// requireSuccessor has the entries pass on only what the successor holds, and say what they had
// passed on before.
func (m *model) requireSuccessor(s holdersState, k int) {
	a := &s.a[k]
	if s.last != uint8(k+1) || s.hasEnded {
		m.fail(s, k, "successor not recorded")
		return
	}
	s.closed, s.required = true, a.chosen
	if !m.entriesAnswer && !m.entriesUnknown && !m.rules.ignoresSilence {
		m.replaceUnconfirmed(s, k)
		return
	}
	if !m.rules.ignoresPassedOn {
		a.passedOn = s.acked
	}
	a.term = m.pauseTerm(&s, a, endpointNames[a.chosen])
	m.to(s, k, stepPause, "successor recorded and confirmed")
}

// replaceUnconfirmed goes on where entries are silent: the attempt is given up, or the primary
// steps down. If it does not answer, it is replaced as one that crashed.
func (m *model) replaceUnconfirmed(s holdersState, k int) {
	a := &s.a[k]
	if !s.e[a.primary].answers() {
		latest, _ := MostUpToDate(a.replicas(), a.open())
		a.planned, a.term = false, m.pauseTerm(&s, a, latest.ID)
		m.to(s, k, stepPause, "entries are silent, primary does not answer")
		return
	}
	m.fail(s, k, "entries are silent, given up")
	m.toStepDown(s, k, "entries are silent")
}

// pause pauses the next replica.
func (m *model) pause(s holdersState, k int) {
	a := &s.a[k]
	i := int(a.next)
	unpaused := a.unpaused()
	isOver := func(i int) bool {
		isOther := a.known&(1<<i) == 0 || i == int(a.primary) || a.planned && i == int(a.chosen) || endpointNames[i] == unpaused
		return isOther || !a.seen[i].reached || !m.rules.old && a.seen[i].pause >= a.term
	}
	for i < modelEndpoints && isOver(i) {
		i++
	}
	if i == modelEndpoints {
		a.step, a.next = stepChoose, 0
		m.choose(s, k)
		return
	}
	a.next = uint8(i + 1)
	o := modelOrder{latePause, int8(i), a.term}
	if !s.e[i].answers() || a.broken&(1<<i) != 0 {
		a.seen[i] = modelSeen{}
		m.add("PAUSE does not reach", k+1, i, s)
		return
	}
	t := s
	if m.mayFail(&t, faultOrder) && t.addLate(o) {
		t.a[k].seen[i] = modelSeen{}
		m.add("PAUSE not answered", k+1, i, t)
	}
	s.execute(o)
	s.look(a, i)
	if m.rules.resumes || m.rules.old {
		a.mine |= 1 << i
	}
	m.add("PAUSE answered", k+1, i, s)
}

// areAllPaused is AllPaused, except that in the old protocol an answer to PAUSE counts.
func (m *model) areAllPaused(a *modelAttempt) bool {
	except := ""
	if a.planned {
		except = endpointNames[a.chosen]
	}
	if !m.rules.old {
		return AllPaused(a.replicas(), uint64(a.term), except)
	}
	return !slices.ContainsFunc(a.replicas(), func(r ReplicaState) bool {
		return r.ID != except && (a.mine|a.dead)&(1<<indexOf(r.ID)) == 0
	})
}

func (m *model) choose(s holdersState, k int) {
	a := &s.a[k]
	if a.closes {
		m.close(s, k)
		return
	}
	if a.planned && !s.look(a, int(a.chosen)) {
		m.fail(s, k, "candidate does not answer")
		return
	}
	replicas := a.replicas()
	latest, ok := MostUpToDate(replicas, a.open())
	switch {
	case !m.areAllPaused(a):
		m.toStepDown(s, k, "not all paused")
		return
	case !ok:
		m.fail(s, k, "no candidate")
		return
	case a.planned && (a.seen[a.chosen].position < uint8(latest.position().Term<<3|latest.position().Index) ||
		!s.holds(int(a.chosen), a.passedOn)):
		// It may catch up later.
		m.to(s, k, stepChoose, "candidate is behind")
		if m.rules.old {
			m.fail(s, k, "candidate stays behind")
			return
		}
		a.planned, a.next = false, 0
		m.to(s, k, stepPause, "candidate stays behind, pauses all")
		return
	case !a.planned:
		a.chosen = indexOf(latest.ID)
		if term := m.pauseTerm(&s, a, latest.ID); term > a.term && !m.rules.old {
			a.term, a.next = term, 0
			m.to(s, k, stepPause, "pauses again")
			return
		}
	}
	a.final = a.seen[a.chosen].position
	m.checkFloor(s, k, "chooses")
}

func (m *model) checkFloor(s holdersState, k int, what string) {
	a := &s.a[k]
	if !m.rules.ignoresFloor && !m.rules.old && a.final < a.floor {
		m.fail(s, k, "candidate is below the floor")
		return
	}
	m.to(s, k, stepRecordCall, what)
}

// hasCallForReplica reports whether a call for another endpoint than the primary is open.
func (a *modelAttempt) hasCallForReplica() bool {
	return slices.ContainsFunc(a.calls[:], func(to int8) bool { return to >= 0 && to != a.primary })
}

// unpaused returns the id of the endpoint that need not be paused when older calls are closed.
func (a *modelAttempt) unpaused() string {
	if called := CalledReplicas(a.open(), endpointNames[a.primary]); a.closes && len(called) == 1 {
		return called[0]
	}
	return ""
}

// close chooses the primary, so that its call closes those for another endpoint. That one may
// lead meanwhile, but it can acknowledge commits only with the primary.
func (m *model) close(s holdersState, k int) {
	a := &s.a[k]
	if !AllPaused(a.replicas(), uint64(a.term), a.unpaused()) {
		m.fail(s, k, "not all paused")
		return
	}
	for i := range s.e {
		if a.seen[i].reached {
			s.look(a, i)
		}
	}
	p := &s.e[a.primary]
	a.final = s.position(int(a.primary))
	isComplete := p.primary || a.stepDown && a.restarted&(1<<a.primary) == 0 && !m.rules.closesServingOnly
	if !p.answers() || a.broken&(1<<a.primary) != 0 || !isComplete ||
		!HasAll(stmt.Status{Received: decodePosition(a.final)}, a.replicas()) {
		m.fail(s, k, "primary may not hold everything")
		return
	}
	m.to(s, k, stepRecordCall, "all paused, calls the primary")
}

func (m *model) toStepDown(s holdersState, k int, what string) {
	a := &s.a[k]
	a.planned, a.chosen, a.next = false, noEndpoint, 0
	p := &s.e[a.primary]
	switch {
	case !p.answers():
		m.fail(s, k, what+", primary does not answer")
	case a.hasCallForReplica() && !a.closes && m.closesCalls:
		a.closes, a.chosen = true, a.primary
		a.term = m.pauseTerm(&s, a, endpointNames[a.primary])
		m.to(s, k, stepPause, what+", closes older calls")
	case a.hasCallForReplica() && !m.rules.trustsDespiteCalls && !m.rules.ignoresOpenCalls && !m.rules.old:
		m.fail(s, k, what+", a call is open")
	case p.primary:
		a.term = p.term + 1
		m.to(s, k, stepRecordStepDown, what)
	case m.rules.old || a.restarted&(1<<a.primary) != 0 && !m.rules.trustsNewLog:
		m.fail(s, k, what+", not the primary")
	default:
		a.final = s.position(int(a.primary))
		m.to(s, k, stepChooseAfterStepDown, what+", primary is a replica")
	}
}

func (m *model) recordStepDown(s holdersState, k int) {
	if !m.rules.callsUnrecorded && !m.rules.old && (s.last != uint8(k+1) || s.hasEnded) {
		m.fail(s, k, "step-down not recorded")
		return
	}
	s.stepDown, s.a[k].stepDown = true, true
	m.to(s, k, stepStepDown, "step-down recorded")
}

func (m *model) orderStepDown(s holdersState, k int) {
	a := &s.a[k]
	p := int(a.primary)
	if !s.e[p].answers() {
		m.fail(s, k, "STEPDOWN does not reach")
		return
	}
	o := modelOrder{lateStepDown, a.primary, a.term}
	t := s
	if s.e[p].primary && m.mayFail(&t, faultOrder) && t.addLate(o) {
		m.fail(t, k, "STEPDOWN not answered")
	}
	s.execute(o)
	if a.final = s.position(p); s.e[p].primary {
		m.fail(s, k, "STEPDOWN has no effect")
		return
	}
	m.to(s, k, stepChooseAfterStepDown, "STEPDOWN answered")
}

// holdsAll reports whether the log of the recorded primary, a replica by now, has every
// acknowledged commit.
func (m *model) holdsAll(a *modelAttempt) bool {
	return m.rules.old || (a.stepDown || m.rules.trustsRole) && (!a.hasCallForReplica() || m.rules.trustsDespiteCalls) &&
		HasAll(stmt.Status{Received: decodePosition(a.final)}, a.replicas())
}

func (m *model) chooseAfterStepDown(s holdersState, k int) {
	a := &s.a[k]
	if !m.holdsAll(a) {
		m.fail(s, k, "primary may not hold everything")
		return
	}
	for i := range s.e {
		if m.rules.old && a.mine&(1<<i) != 0 && s.e[i].answers() {
			s.execute(modelOrder{lateResume, int8(i), 0})
		}
		if a.seen[i].reached {
			s.look(a, i)
		}
	}
	a.term, a.mine, a.chosen = 0, 0, a.primary
	isCalled := slices.Contains(a.calls[:], a.primary) && !m.rules.leavesCalledPrimary
	if latest, ok := MostUpToDate(a.replicas(), a.open()); ok && !isCalled && !latest.position().Less(decodePosition(a.final)) {
		a.chosen = indexOf(latest.ID)
	}
	m.checkFloor(s, k, "chooses after the step-down")
}

func (m *model) recordCall(s holdersState, k int) {
	a := &s.a[k]
	switch {
	case m.rules.old:
		m.to(s, k, stepCall, "calls")
		return
	case !m.rules.callsUnrecorded && (s.last != uint8(k+1) || s.hasEnded):
		m.fail(s, k, "call not recorded")
		return
	}
	s.calls[k] = a.chosen
	isUnknown := s.known&^a.known != 0 && !m.rules.ignoresUnknown
	isBack := a.dead&^s.covered != 0 && !m.rules.keepsCovered && !m.rules.leavesOutDead
	if isUnknown || isBack || a.reborn&^a.dead != 0 && !m.rules.ignoresReborn {
		m.refuse(s, k, "call recorded, but not made: unknown endpoint")
		return
	}
	if (m.entriesAnswer || m.entriesUnknown) && a.term > 0 && !a.planned && !a.closes && !m.rules.leavesOpen {
		m.to(s, k, stepClose, "call recorded")
		return
	}
	m.to(s, k, stepLook, "call recorded")
}

// closeAcknowledgements has the entries close the acknowledgements of the primary and say what
// they have passed on.
func (m *model) closeAcknowledgements(s holdersState, k int) {
	if !m.entriesUnknown {
		s.closed, s.required = true, noEndpoint
		if !s.holds(int(s.a[k].chosen), s.acked) && !m.rules.ignoresAcknowledged {
			m.refuse(s, k, "candidate lacks an acknowledged commit")
			return
		}
	}
	m.to(s, k, stepLook, "acknowledgements closed")
}

// holds reports whether endpoint i's log has every commit of a set.
func (s *holdersState) holds(i int, commits uint8) bool {
	for c := uint8(1); c <= modelCommits; c++ {
		if commits&(1<<c) != 0 && !slices.Contains(s.e[i].log[:], c) {
			return false
		}
	}
	return true
}

// openIfNoCall opens the acknowledgements of the recorded primary unless a call may replace it.
func (s *holdersState) openIfNoCall() {
	if !slices.ContainsFunc(s.calls[:], func(to int8) bool { return to >= 0 && to != s.record }) {
		s.closed, s.required = false, noEndpoint
	}
}

// lookAgain requests the status of the paused replicas and of the candidate.
func (m *model) lookAgain(s holdersState, k int) {
	a := &s.a[k]
	unpaused := a.unpaused()
	for i := range s.e {
		isReplica := a.known&(1<<i) != 0 && i != int(a.primary)
		isConnected := s.e[i].answers() && a.broken&(1<<i) == 0
		isSame := true
		switch {
		case i == int(a.chosen):
			isSame = isConnected && (!isReplica || !s.e[i].primary) && s.position(i) >= a.final || !isReplica && m.rules.trustsNewLog
		case !isReplica || a.term == 0:
		case a.dead&(1<<i) != 0:
			isSame = !s.e[i].runs() || m.isTakenForEnded(&s.e[i])
		case endpointNames[i] == unpaused:
		default:
			isSame = isConnected && s.e[i].pause >= a.term
		}
		if !isSame {
			m.refuse(s, k, "replicas have changed")
			return
		}
	}
	// The primary's log may hold commits that no replica will ever have: it is no floor.
	if a.chosen == a.primary && !m.rules.raisesFloorByPrimary {
		a.final = 0
	}
	// What the attempt knows does not matter any more.
	s.a[k] = modelAttempt{step: stepCall, chosen: a.chosen, number: a.number, mine: a.mine, final: a.final}
	m.add("replicas are as before", k+1, int(a.chosen), s)
}

func (m *model) call(s holdersState, k int) {
	a := &s.a[k]
	mayRepeat := m.rules.repeatsCalls || m.rules.forgetsUnanswered || m.rules.old
	if t := s; m.mayFail(&t, faultCall) {
		m.refuse(t, k, "call answered 429")
	}
	if uint8(k+1) < s.platformToken || !s.e[a.chosen].runs() {
		m.refuse(s, k, "call answered 409")
		return
	}
	if s.e[a.chosen].primary {
		// The answer says that nothing changes: the token is seen.
		t := s
		t.platformToken = uint8(k + 1)
		m.to(t, k, stepAwait, "call accepted, nothing changes")
		s.inFlight[k], s.inFlightTo[k] = s.inFlight[k]+1, a.chosen
	} else {
		s.inFlight[k], s.inFlightTo[k] = s.inFlight[k]+1, a.chosen
		m.to(s, k, stepAwait, "call accepted")
	}
	if a.step == stepCall || mayRepeat {
		t := s
		if t.a[k].step = stepCall; m.mayFail(&t, faultCall) {
			m.add("call not answered", k+1, int(a.chosen), t.end(k))
			if t.a[k].unanswered = !m.rules.forgetsUnanswered && !m.rules.old; mayRepeat && s.inFlight[k] == 1 {
				m.to(t, k, stepRepeatCall, "call not answered, repeated")
			}
		}
	}
}

// refuse ends attempt k whose call was refused or not made, with CloseAttempt of the agreed
// state, which is refused itself if a newer attempt has begun.
func (m *model) refuse(s holdersState, k int, what string) {
	if s.last == uint8(k+1) && !s.a[k].unanswered {
		s.calls[k], s.hasEnded = noEndpoint, true
		s.openIfNoCall()
	}
	m.fail(s, k, what)
}

func (m *model) await(s holdersState, k int) {
	a := &s.a[k]
	c := int(a.chosen)
	if t := s; m.mayFail(&t, faultCall) {
		m.fail(t, k, "promoted endpoint does not answer")
	}
	if s.e[c].primary && s.e[c].answers() {
		m.setPrimary(&s, c, uint8(k+1), a.number)
		m.add("promoted endpoint recorded", k+1, c, s.end(k))
	}
}

// setPrimary is SetPrimary of the agreed state.
func (m *model) setPrimary(s *holdersState, i int, token, ifNumber uint8) {
	if s.number != ifNumber {
		return
	}
	carriedOut, isAmbiguous := token, false
	for k, to := range s.calls {
		if to != int8(i) {
			continue
		}
		if carriedOut == 0 {
			carriedOut = uint8(k + 1)
		}
		isAmbiguous = isAmbiguous || uint8(k+1) < carriedOut
	}
	isOpen := false
	for k := range s.calls {
		isOver := uint8(k+1) < carriedOut || uint8(k+1) == carriedOut && (!isAmbiguous || m.rules.dropsOwnCall)
		if isOver || token == 0 && m.rules.dropsAllCalls {
			s.calls[k] = noEndpoint
		}
		isOpen = isOpen || s.calls[k] >= 0 && s.calls[k] != int8(i)
	}
	if token == s.last && !s.hasPauses() {
		s.unfinished = isOpen
	}
	if s.record != int8(i) || token == s.last {
		s.stepDown, s.hasEnded = false, true
	}
	if token != 0 {
		s.floor = max(s.floor, s.a[token-1].final)
	}
	s.recordTerm = max(s.recordTerm, s.e[i].term)
	if s.record != int8(i) {
		s.record, s.closed, s.required = int8(i), false, noEndpoint
		s.number++
	}
	s.openIfNoCall()
}

func (s *holdersState) hasPauses() bool {
	return slices.ContainsFunc(s.e[:], func(e modelEndpoint) bool { return e.runs() && e.pause != 0 })
}

// resume ends the next pause that attempt k made.
func (m *model) resume(s holdersState, k int) {
	a := &s.a[k]
	i := int(a.next)
	for i < modelEndpoints && a.mine&(1<<i) == 0 {
		i++
	}
	if i == modelEndpoints {
		m.add("attempt ends", k+1, 0, s.end(k))
		return
	}
	a.next = uint8(i + 1)
	if s.e[i].answers() {
		o := modelOrder{lateResume, int8(i), 0}
		t := s
		if m.mayFail(&t, faultOrder) && t.addLate(o) {
			m.add("RESUME not answered", k+1, i, t)
		}
		s.execute(o)
	}
	m.add("RESUME", k+1, i, s)
}
