package proxy

import (
	"strings"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/explanation"
	"hemlockmast/internal/proxy/fleetview"
	"hemlockmast/internal/proxy/place"
	"hemlockmast/internal/proxy/pool"
	"hemlockmast/internal/proxy/spill"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

// ExplainRequest is a request to be explained.
type ExplainRequest struct {
	Database string
	// Workspace is the name of the caller's workspace.
	Workspace string
	Kind      explanation.Kind
}

// Explain says where a request would go now and why. It sends nothing and changes no state: it
// calls the code that decides with copies of what that code changes. Waits are those that were told,
// without the random part that chooseTarget adds.
func (s *Server) Explain(r ExplainRequest) explanation.Explanation {
	snapshot := s.cfg.View.Snapshot()
	e := explanation.Explanation{
		Entry: s.cfg.Name, FailureDomain: s.cfg.FailureDomain, Configuration: snapshot.Config.GetVersion(),
		CutOff: s.isIsolated(), Database: r.Database, Kind: r.Kind,
	}
	route := snapshot.Route(r.Database)
	if route == nil {
		e.Refusal = refusalText(stmt.CodeNoDatabase, "no route has this name")
		return e
	}
	t := turnRoute(route)
	e.MaxWaitMs, e.MaxExpectedWaitMs = explanation.Ms(t.MaxWait()), explanation.Ms(t.MaxExpectedWait())
	e.Route = &explanation.Route{
		Service: route.Service, Level: route.Level.String(), Priority: route.Priority,
		TargetMs: route.TargetMs, TimeoutMs: route.TimeoutMs, StalenessLimitMs: route.StalenessLimitMs,
		IdentifiesCallers: snapshot.IdentifiesCallers(route),
	}
	workspace, ok := s.explainWorkspace(&e, snapshot, route, r.Workspace)
	if !ok {
		return e
	}
	sv := snapshot.Service(route.Service)
	if sv == nil {
		e.Refusal = refusalText(stmt.CodeNoDatabase, "service is not configured")
		return e
	}
	x := explainer{server: s, snapshot: snapshot, service: sv, route: route, workspace: workspace, now: time.Now()}
	if isForPrimary(r.Kind, route.Level) {
		x.explainPrimary(&e)
	} else {
		x.explainRead(&e)
	}
	return e
}

// peekService returns the state of a service, or what a new one would be.
func (s *Server) peekService(name string) *serviceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.services[name]; st != nil {
		return st
	}
	return &serviceState{}
}

// peekSource returns the source of connections to an endpoint, or what a new one would be.
func (s *Server) peekSource(e *fleetpb.Endpoint) *source {
	s.mu.Lock()
	defer s.mu.Unlock()
	if src := s.sources[e.Id]; src != nil {
		return src
	}
	return s.newSource(e)
}

// isForPrimary reports whether only the primary serves a request.
func isForPrimary(kind explanation.Kind, level fleetpb.Level) bool {
	switch kind {
	case explanation.Write, explanation.Transaction:
		return true
	case explanation.Read:
		return level == fleetpb.Level_LEVEL_CURRENT
	}
	return false
}

func refusalText(code stmt.Code, detail string) string { return code.String() + ": " + detail }

// explainWorkspace explains what the entry does with an operation of a workspace, and returns the
// workspace for which connections are used. It reports false if the operation is refused. Only the
// name is read, never a key.
func (s *Server) explainWorkspace(e *explanation.Explanation, snapshot *fleetview.Snapshot, route *fleetpb.Route, name string) (workspace string, ok bool) {
	if !snapshot.IdentifiesCallers(route) {
		return "", true
	}
	e.Workspace = &explanation.Workspace{}
	for _, w := range snapshot.Config.GetWorkspaces() {
		if w.Name != name {
			continue
		}
		e.Workspace.Name, e.Workspace.IsKnown = w.Name, true
		if w.RatePerS <= 0 {
			return w.Name, true
		}
		e.Workspace.RatePerS, e.Workspace.Burst = w.RatePerS, w.Burst
		e.Workspace.Limit = s.limiter.explain(w, route)
		if e.Workspace.Limit.Outcome == limitRefused {
			e.Refusal = refusalText(stmt.CodeTooMany, e.Workspace.Limit.Detail)
		}
		return w.Name, true
	}
	e.Refusal = refusalText(stmt.CodeNoAuth, "no workspace has this name")
	return "", false
}

// explainer explains the choice of an endpoint.
type explainer struct {
	server    *Server
	snapshot  *fleetview.Snapshot
	service   *fleetview.Service
	route     *fleetpb.Route
	workspace string
	now       time.Time
}

// endpoint returns what the entry knows about an endpoint.
func (x explainer) endpoint(e *fleetpb.Endpoint, src *source) explanation.Endpoint {
	out := explanation.Endpoint{
		ID: e.Id, FailureDomain: e.FailureDomain, InSameDomain: !x.server.isInOtherDomain(e),
		IsPrimary: e.Id == x.service.PrimaryID, IsDown: src.IsDown(), Carriers: src.carriersFor(x.workspace),
	}
	if told, ok := src.toldLoad(x.route.Priority, x.now); ok {
		out.Load = &explanation.Load{
			WaitMs: explanation.Ms(told.Wait), StatementMs: explanation.Ms(told.StatementTime),
			AgeMs: explanation.Ms(x.now.Sub(told.at)), IsTooLong: !turnRoute(x.route).Waits(told.Wait),
		}
	}
	return out
}

// explainPrimary explains what becomes of a request that only the primary serves.
func (x explainer) explainPrimary(e *explanation.Explanation) {
	endpoint, err := endpointOfPrimary(x.service)
	if err != nil {
		x.refuse(e, err, x.primaryWait(false))
		return
	}
	leavingFor := x.snapshot.LeavingFor(endpoint.Id)
	p := &explanation.Primary{
		Endpoint: x.endpoint(endpoint, x.server.peekSource(endpoint)), Number: x.service.PrimaryNumber,
		IsLeaving: leavingFor > 0, HasLeft: x.server.hasLeft(leavingFor), LeavingForMs: leavingFor.Milliseconds(),
		IsClosed:    x.server.peekService(x.route.Service).isClosed(x.service.PrimaryNumber, x.now),
		IsPromoting: x.now.Before(x.service.PromotionDeadline),
	}
	e.Primary = p
	wait := x.primaryWait(!p.HasLeft && !p.IsDown)
	switch {
	case p.HasLeft:
		x.refuse(e, leftError(), wait)
	case p.IsClosed && e.Kind != explanation.Read:
		x.refuse(e, closedError(), wait)
	case p.IsDown:
		x.refuse(e, &pool.DownError{Endpoint: p.ID}, wait)
	case p.Load != nil && p.Load.IsTooLong:
		x.refuse(e, &pool.FullError{Endpoint: p.ID, Expected: true}, wait)
	}
}

// primaryWait returns how long a request waits for a primary that does not serve it now. canBeAsked
// is set if the primary is reached and does not leave.
func (x explainer) primaryWait(canBeAsked bool) time.Duration {
	if canBeAsked || awaitsLostPrimary(x.service, lostPrimaryWait, x.now) {
		return turnRoute(x.route).MaxWait()
	}
	return min(lostPrimaryWait, turnRoute(x.route).MaxWait())
}

// refuse records the answer to a request that meets err, unless something else refuses it, and that
// the request waits for the end of the cause.
func (x explainer) refuse(e *explanation.Explanation, err error, wait time.Duration) {
	if e.Refusal != "" {
		return
	}
	refusal := notRunError(err)
	e.Refusal = refusalText(refusal.Code, refusal.Detail)
	if !refusal.Overloaded && !e.CutOff {
		e.RetriesForMs = explanation.Ms(wait)
	}
}

// explainRead explains the choice of a read's endpoint.
func (x explainer) explainRead(e *explanation.Explanation) {
	st := x.server.peekService(x.route.Service)
	c := x.server.choiceOf(x.service, x.route, x.workspace, x.now, chooser{
		source: x.server.peekSource, behaviour: &st.behaviour, spread: func(d time.Duration) time.Duration { return d },
	})
	out := &explanation.Choice{}
	e.Choice = out
	var floor logpos.Pos
	if m, ok := st.since(floorSince(x.route, boottime.Now())); ok {
		floor, out.Floor = m.Pos, m.Pos.String()
	}
	side := x.chooseTargets(out, &st.behaviour, c, floor)
	out.Candidates = x.candidates(c, floor, side)
	switch {
	case out.Targets[0].Endpoint == "":
		x.refuse(e, noEndpointError(), turnRoute(x.route).MaxWait())
	case areTooLong(out.Candidates):
		x.refuse(e, &pool.FullError{Endpoint: out.Targets[0].Endpoint, Expected: true}, 0)
	}
}

// areTooLong reports whether the queues of all endpoints that can be asked are too long. A read that
// one refuses is tried at the others.
func areTooLong(candidates []explanation.Candidate) bool {
	count := 0
	for _, c := range candidates {
		if c.State != readyName || c.IsDown {
			continue
		}
		if c.Load == nil || !c.Load.IsTooLong {
			return false
		}
		count++
	}
	return count > 0
}

// stateName returns the name of an endpoint's state.
func stateName(s fleetpb.EndpointState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "ENDPOINT_STATE_"))
}

// readyName is the name of the state in which endpoints are chosen.
var readyName = stateName(fleetpb.EndpointState_ENDPOINT_STATE_READY)

// candidates returns all endpoints of the service with what the choice on a side compares.
func (x explainer) candidates(c choice, floor logpos.Pos, side place.Side) []explanation.Candidate {
	chosenFrom := make(map[string]place.Candidate)
	for _, candidate := range c.candidates {
		chosenFrom[candidate.ID] = candidate
	}
	var out []explanation.Candidate
	for _, e := range x.service.Endpoints {
		shown := explanation.Candidate{Endpoint: x.endpoint(e, x.server.peekSource(e)), State: stateName(e.State)}
		if candidate, ok := chosenFrom[e.Id]; ok {
			shown.Obstacle = place.Obstacle(candidate, floor)
			shown.Busy, shown.Lagging, shown.Avoided = candidate.Busy, candidate.RecentlyLagged, candidate.Avoided
			shown.HasConnection, shown.InFlight = candidate.HasConnection, candidate.InFlight
			shown.StatementMs = explanation.Ms(place.StatementTime(candidate.AvgStatementTime))
			shown.KnownPos, shown.CostMs = candidate.KnownPos.String(), explanation.Ms(place.Cost(candidate, side))
		}
		out = append(out, shown)
	}
	return out
}

// chooseTargets records the endpoints that chooseTarget would return, and whether reads leave the
// failure domain. It returns the side of the most probable target.
func (x explainer) chooseTargets(out *explanation.Choice, b *behaviour, c choice, floor logpos.Pos) place.Side {
	leaving, needsProbe := x.leaving(b, c)
	out.Leaving = leaving
	b.mu.Lock()
	probe := b.dueProbe(c.candidates, floor, x.now)
	b.mu.Unlock()
	side := place.AnySide
	if leaving.IsOn {
		side = sideOf(c.hasHome(), needsProbe, leaving.Share, 0.5)
	}
	if probe >= 0 {
		out.Targets = append(out.Targets, explanation.Target{Endpoint: c.candidates[probe].ID, Side: sideName(side), Share: 1, IsProbe: true})
		return side
	}
	add := func(side place.Side, share float64) {
		t := explanation.Target{Side: sideName(side), Share: share, IsProbe: needsProbe}
		if i := place.ChooseOn(side, c.candidates, floor, func(string) bool { return false }); i >= 0 {
			t.Endpoint = c.candidates[i].ID
		}
		out.Targets = append(out.Targets, t)
	}
	switch {
	case side == place.AnySide, needsProbe, leaving.Share == 0:
		add(side, 1)
	case side == place.Away:
		add(place.Away, leaving.Share)
		add(place.Home, 1-leaving.Share)
	default:
		add(place.Home, 1-leaving.Share)
		add(place.Away, leaving.Share)
	}
	return side
}

func sideName(side place.Side) string { return [...]string{"any", "home", "away"}[side] }

// leaving returns the decision about reads that leave the failure domain as the next read would find
// it, and whether that read would be sent away to ask for the load there.
func (x explainer) leaving(b *behaviour, c choice) (l explanation.Leaving, needsProbe bool) {
	cost := x.server.cfg.CrossDomainCost
	home, away := c.load(true, x.now), c.load(false, x.now)
	l = explanation.Leaving{
		IsOn: x.server.weighsCrossing(c), CrossDomainCostMs: explanation.Ms(cost), Home: sideLoad(home), Away: sideLoad(away),
		MarginMs: explanation.Ms(spill.Margin(home, away, cost)),
	}
	l.Reason = leavingReason(home, away, l, c.hasHome())
	if !l.IsOn || !c.hasHome() {
		return l, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l.Share, needsProbe = b.spill.Share(), b.needsProbe
	if b.isStepDue(x.now) {
		_, d := b.nextStep(home, away, cost, x.now)
		l.Share, needsProbe = d.Share, d.NeedsProbe
	}
	return l, needsProbe
}

// leavingReason says what decides about leaving.
func leavingReason(home, away spill.Side, l explanation.Leaving, hasHome bool) string {
	switch {
	case !l.IsOn:
		return "no cost of crossing is set or connections are not carried at home: a fixed penalty applies elsewhere"
	case !hasHome:
		return "the service has no ready replica in this failure domain"
	case !home.IsUsable:
		return "no endpoint of this failure domain can be used"
	case !away.IsUsable:
		return "no endpoint elsewhere can be used"
	case !home.IsKnown:
		return "the load in this failure domain is not known"
	case !away.IsKnown:
		return "the load elsewhere is not known"
	case l.MarginMs > 0:
		return "leaving pays"
	}
	return "leaving does not pay"
}

func sideLoad(s spill.Side) explanation.SideLoad {
	return explanation.SideLoad{
		IsUsable: s.IsUsable, IsKnown: s.IsKnown, WaitMs: explanation.Ms(s.Wait),
		StatementMs: explanation.Ms(s.StatementTime), RoundTripMs: explanation.Ms(s.RoundTrip),
	}
}
