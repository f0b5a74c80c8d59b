package fleetstate

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/shared/logpos"
)

// Attempt returns what is agreed on about attempts to replace a service's primary. The
// caller must not modify it.
func (m *Machine) Attempt(service string) *fleetpb.Attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.attempts[service]; a != nil {
		return a
	}
	return &fleetpb.Attempt{Service: service}
}

// CountAttempts returns the number of services whose last attempt is unfinished, and the number
// of calls that may still change a primary.
func (m *Machine) CountAttempts() (unfinished, openCalls int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.attempts {
		if a.Unfinished {
			unfinished++
		}
		openCalls += len(OpenCalls(a, m.primaries[a.Service].GetEndpointId()))
	}
	return unfinished, openCalls
}

// copyAttempt returns a copy of a service's attempt for modification, or an empty one.
// Attempts in the map are shared with readers and never modified.
func (m *Machine) copyAttempt(service string) *fleetpb.Attempt {
	if a := m.attempts[service]; a != nil {
		return proto.CloneOf(a)
	}
	return &fleetpb.Attempt{Service: service}
}

func (m *Machine) sortedAttempts() []*fleetpb.Attempt {
	list := make([]*fleetpb.Attempt, 0, len(m.attempts))
	for _, a := range m.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *fleetpb.Attempt) int { return strings.Compare(a.Service, b.Service) })
	return list
}

// allocateToken begins an attempt. It returns a token of at least a.Least that was never
// allocated for the service before, so that no two attempts use the same one, even if the
// same holder requests them. The attempt is unfinished from now on, as its holder may send
// an order without a further record.
func (m *Machine) allocateToken(a *fleetpb.AllocateToken) uint64 {
	p := m.copyPrimary(a.Service)
	p.Token = max(p.Token+1, a.Least)
	m.primaries[a.Service] = p
	attempt := m.copyAttempt(a.Service)
	attempt.Token, attempt.Holder = p.Token, a.Holder
	attempt.WasUnfinished, attempt.Unfinished, attempt.Ended = attempt.Unfinished, true, false
	m.attempts[a.Service] = attempt
	return p.Token
}

// recordStepDown records that the primary will be ordered to step down, unless the attempt
// has ended or a newer one has begun.
func (m *Machine) recordStepDown(r *fleetpb.RecordStepDown) bool {
	attempt := m.copyAttempt(r.Service)
	if attempt.Token != r.Token || attempt.Ended {
		return false
	}
	attempt.StepDownOrdered, attempt.SteppedDownAt = true, r.SteppedDownAt
	m.attempts[r.Service] = attempt
	return true
}

// recordCall records a call to the platform before it is made, unless the attempt has ended or
// a newer one has begun. It may be repeated, to close the acknowledgements later.
func (m *Machine) recordCall(r *fleetpb.RecordCall) bool {
	attempt := m.copyAttempt(r.Service)
	if attempt.Token != r.Token || attempt.Ended {
		return false
	}
	call := &fleetpb.PromoteCall{Token: r.Token, EndpointId: r.EndpointId}
	if !slices.ContainsFunc(attempt.Calls, func(c *fleetpb.PromoteCall) bool { return proto.Equal(c, call) }) {
		attempt.Calls = append(attempt.Calls, call)
	}
	m.attempts[r.Service] = attempt
	if r.CloseAcknowledgements {
		m.setClosed(r.Service, r.Token, "")
	}
	return true
}

// recordSuccessor records which endpoint is to replace the primary as planned, unless the attempt
// has ended or a newer one has begun. An open call for another endpoint could promote one that
// lacks what the successor holds; the acknowledgements then stay as they are.
func (m *Machine) recordSuccessor(r *fleetpb.RecordSuccessor) bool {
	attempt := m.copyAttempt(r.Service)
	if attempt.Token != r.Token || attempt.Ended {
		return false
	}
	for _, c := range OpenCalls(attempt, m.copyPrimary(r.Service).EndpointId) {
		if c.EndpointId != r.EndpointId {
			return false
		}
	}
	m.setClosed(r.Service, r.Token, r.EndpointId)
	return true
}

// setClosed sets the token of the attempt that closed the acknowledgements of a service's
// primary; with 0 they are open. If successor is not empty, they are closed only for commits that
// this endpoint does not hold.
func (m *Machine) setClosed(service string, token uint64, successor string) {
	p := m.copyPrimary(service)
	if p.ClosedToken != token || p.SuccessorId != successor {
		p.ClosedToken, p.SuccessorId = token, successor
		p.Revision++
		m.primaries[service] = p
	}
}

// openIfNoCall opens the acknowledgements of a service's primary unless a call may still
// replace it.
func (m *Machine) openIfNoCall(service string) {
	if len(OpenCalls(m.copyAttempt(service), m.copyPrimary(service).EndpointId)) == 0 {
		m.setClosed(service, 0, "")
	}
}

// closeAttempt records how an attempt ended without a new primary, unless a newer one has
// begun.
func (m *Machine) closeAttempt(c *fleetpb.CloseAttempt) bool {
	attempt := m.copyAttempt(c.Service)
	if attempt.Token != c.Token {
		return false
	}
	if c.CallRefused {
		attempt.Calls = slices.DeleteFunc(attempt.Calls, func(call *fleetpb.PromoteCall) bool { return call.Token == c.Token })
	}
	attempt.Ended = true
	mayBePaused := !c.NonePaused && (c.PausesLeft || attempt.WasUnfinished)
	attempt.Unfinished = mayBePaused || len(OpenCalls(attempt, m.copyPrimary(c.Service).EndpointId)) > 0
	m.attempts[c.Service] = attempt
	m.openIfNoCall(c.Service)
	return true
}

// setPrimary replaces the primary of a service if its record still has the expected number
// and names another endpoint. It also ends the calls that the platform can no longer carry
// out. It reports whether the record names another endpoint now.
func (m *Machine) setPrimary(s *fleetpb.SetPrimary) bool {
	p := m.copyPrimary(s.Service)
	if p.Number != s.IfNumber || s.IfToken != 0 && s.IfToken != m.copyAttempt(s.Service).Token {
		return false
	}
	isChanged := p.EndpointId != s.EndpointId
	m.endAttempt(s, isChanged)
	m.raiseFloor(s.Service, s.Floor)
	p.EndpointId = s.EndpointId
	if isChanged || s.Term > p.Term {
		p.Inherited = s.Inherited
	}
	if isChanged {
		p.Number++
	}
	p.Term = max(p.Term, s.Term)
	m.primaries[s.Service] = p
	if isChanged {
		m.setClosed(s.Service, 0, "")
	} else {
		m.openIfNoCall(s.Service)
	}
	return isChanged
}

// endAttempt ends the attempt of a service that has a new primary. Calls with a token below
// that of the call that was carried out are over, and this call too unless an earlier one for
// the same endpoint may have been carried out in its place. Without the token, it is at least
// the lowest one of a call for the endpoint. The service needs another attempt if a call is
// left, or unless no replica is known to be paused. A late record of the same
// primary leaves a newer attempt as it is.
func (m *Machine) endAttempt(s *fleetpb.SetPrimary, isChanged bool) {
	attempt := m.copyAttempt(s.Service)
	attempt.Calls = remainingCalls(attempt.Calls, s)
	if isChanged || s.Token == attempt.Token {
		attempt.StepDownOrdered, attempt.SteppedDownAt, attempt.Ended = false, nil, true
	}
	if s.Token == attempt.Token && !s.PausesLeft {
		attempt.Unfinished = len(OpenCalls(attempt, s.EndpointId)) > 0
	}
	m.attempts[s.Service] = attempt
}

func remainingCalls(calls []*fleetpb.PromoteCall, s *fleetpb.SetPrimary) []*fleetpb.PromoteCall {
	carriedOut, isAmbiguous := s.Token, false
	for _, c := range calls {
		if c.EndpointId != s.EndpointId {
			continue
		}
		if carriedOut == 0 {
			carriedOut = c.Token
		}
		isAmbiguous = isAmbiguous || c.Token < carriedOut
	}
	return slices.DeleteFunc(slices.Clone(calls), func(c *fleetpb.PromoteCall) bool {
		return c.Token < carriedOut || c.Token == carriedOut && !isAmbiguous
	})
}

// OpenCalls returns the calls of earlier attempts that may still change the primary. The
// platform changes nothing for the present primary, so its calls before those for other
// endpoints do not count, unless it may have been ordered to step down.
func OpenCalls(a *fleetpb.Attempt, primary string) []*fleetpb.PromoteCall {
	calls := a.Calls
	for len(calls) > 0 && calls[0].EndpointId == primary && !a.StepDownOrdered {
		calls = calls[1:]
	}
	return calls
}

// cover records that processes of endpoints held no acknowledged commit that another endpoint
// of the service lacks, and up to which position this one holds the log.
func (m *Machine) cover(c *fleetpb.Cover) {
	for _, id := range c.EndpointIds {
		m.coverUntil(endpoint{service: c.Service, id: id}, m.newestBornMs(c.Service, id))
	}
	for id, bornMs := range c.EndedBornMs {
		m.coverUntil(endpoint{service: c.Service, id: id}, bornMs)
		m.endRestart(c.Service, id, bornMs)
	}
	for id, bornMs := range c.RunningBornMs {
		m.endRestart(c.Service, id, bornMs)
	}
	m.raiseFloor(c.Service, c.Position)
}

// coverUntil records that the processes of an endpoint that started at bornMs or before are covered.
func (m *Machine) coverUntil(e endpoint, bornMs int64) { m.covered[e] = max(m.covered[e], bornMs) }

// endRestart removes the mark of an endpoint that was started again, unless it has been started
// once more after bornMs.
func (m *Machine) endRestart(service, id string, bornMs int64) {
	for _, e := range []endpoint{{service: service, id: id}, {id: id}} {
		if m.restarted[e] <= bornMs {
			delete(m.restarted, e)
		}
	}
}

// raiseFloor raises the position that the log of every later primary must reach.
func (m *Machine) raiseFloor(service string, pos *fleetpb.LogPosition) {
	attempt := m.copyAttempt(service)
	if Position(attempt.Floor).Less(Position(pos)) {
		attempt.Floor = pos
		m.attempts[service] = attempt
	}
}

// Position returns p as a position, or the empty one for nil.
func Position(p *fleetpb.LogPosition) logpos.Pos {
	return logpos.Pos{Term: p.GetTerm(), Index: p.GetIndex()}
}
