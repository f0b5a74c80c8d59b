package proxy

import (
	"errors"
	"math/rand/v2"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/place"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/fault"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

const (
	// retryPause is the first pause before a statement that did not run is tried
	// again: a fraction of a usual statement, in which a place may become free.
	// It doubles up to maxRetryPause, so that a full endpoint is not asked by
	// every waiting statement all the time.
	retryPause    = 4 * time.Millisecond
	maxRetryPause = 24 * time.Millisecond
	// maxDoublings keeps the doubled pause from overflowing.
	maxDoublings = 8
	// unledHold is how long a statement waits for a primary that is not reached
	// and not being replaced. Most likely only this daemon does not reach it, and
	// the caller's retry goes to another.
	unledHold = 60 * time.Millisecond
	// holdShare is the part of a statement's time for which it may wait without
	// having reached an endpoint, as a divisor: the rest is left to a retry of
	// the caller's, which reaches another daemon.
	holdShare = 2
)

// single runs a statement outside a transaction.
func (ss *session) single(st stmt.Statement, arrival time.Time) stmt.Reply {
	arrived := boottime.Now()
	route := ss.server.cfg.View.Snapshot().Route(ss.database)
	if route == nil {
		return ss.fail(stmt.CodeNoDatabase, "no route has this name")
	}
	r, refusal := ss.resolve(st)
	if refusal != nil {
		return stmt.Reply{Err: refusal}
	}
	run := &run{
		ss: ss, route: route, r: r, arrived: arrived, started: arrival,
		deadline: ss.deadline(route, arrival),
		holdEnd:  arrival.Add(time.Duration(route.TimeoutMs) * time.Millisecond / holdShare),
		tried:    make(map[string]bool),
	}
	var reply stmt.Reply
	switch {
	case r.writes:
		reply = run.atPrimary(run.writeAt)
	case route.Level == fleetpb.Level_LEVEL_CURRENT:
		reply = run.atPrimary(run.guardedReadAt)
	default:
		reply = run.read()
	}
	if reply.Err != nil {
		run.logFailure(st, reply.Err)
	}
	return reply
}

// logFailure writes what decided over a statement that failed.
func (r *run) logFailure(st stmt.Statement, e *stmt.Error) {
	server := r.ss.server
	fields := []any{
		"id", st.ID, "database", r.ss.database, "service", r.route.Service, "level", r.route.Level.String(),
		"kind", st.Kind.String(), "code", e.Code.String(), "detail", e.Detail,
		"tries", r.tries, "endpoint", r.last, "elapsed", time.Since(r.started).String(),
		"cutOff", server.isolated(), "configuration", server.cfg.View.Snapshot().Config.GetVersion(),
	}
	if sv := server.cfg.View.Snapshot().Service(r.route.Service); sv != nil {
		fields = append(fields, "primary", sv.PrimaryID, "primaryNumber", sv.PrimaryNumber,
			"promoting", time.Now().Before(sv.PromotionDeadline))
	}
	if !r.floor.IsZero() {
		fields = append(fields, "floor", r.floor.String(), "stalenessLimitMs", r.route.StalenessLimitMs)
	}
	server.log.Info("statement failed", fields...)
}

// run is one statement on its way.
type run struct {
	ss    *session
	route *fleetpb.Route
	r     resolved
	// arrived is when the statement arrived, on the clock of package boottime.
	arrived time.Duration
	// started is when the statement arrived, on the steady clock.
	started  time.Time
	deadline time.Time
	// holdEnd is when a statement that has not reached an endpoint is refused.
	holdEnd time.Time
	tried   map[string]bool
	tries   int
	pauses  int
	// last is the endpoint tried last, floor what a read had to see there.
	last  string
	floor logpos.Pos
	// isOwnFloor is set when the floor is the session's own last write.
	isOwnFloor bool
}

// mayHold reports whether there is time for another try.
func (r *run) mayHold() bool {
	// A caller that tries again reaches another daemon, which a cut-off one does
	// not get nearer to by waiting.
	return time.Now().Before(r.holdEnd) && !r.ss.server.isolated()
}

func (r *run) failed(e *stmt.Error) stmt.Reply { return stmt.Reply{Err: e} }

// atPrimary tries a statement at the primary until it is done.
func (r *run) atPrimary(try func(lead) (stmt.Reply, bool)) stmt.Reply {
	server := r.ss.server
	last := &stmt.Error{Code: stmt.CodeBusy, Detail: "not tried in time"}
	for ; ; r.pause() {
		lead, err := server.primary(r.route.Service)
		if err != nil {
			last = notRun(err)
		} else {
			reply, done := try(lead)
			if done {
				return reply
			}
			last = reply.Err
		}
		if !r.mayHold() || !server.awaitsLead(r.route.Service, r.started) {
			return r.failed(last)
		}
	}
}

// awaitsLead reports whether a statement that arrived then should go on waiting
// for the service's primary.
func (s *Server) awaitsLead(service string, arrived time.Time) bool {
	now := time.Now()
	sv := s.cfg.View.Snapshot().Service(service)
	if sv == nil || now.Sub(arrived) < unledHold || now.Before(sv.PromotionDeadline) {
		return true
	}
	l, err := s.primary(service)
	return err == nil && !l.pool.IsDown()
}

// try notes a try at an endpoint.
func (r *run) try(l lead) {
	if r.tries > 0 {
		r.ss.server.cfg.Metrics.Retry(r.route.Name, true)
	}
	r.tries++
	r.last = l.endpoint.Id
}

// pause waits before the next try.
func (r *run) pause() {
	r.pauses++
	time.Sleep(backoff(r.pauses))
}

// backoff returns a random pause before try n+1, n from 1.
func backoff(n int) time.Duration {
	most := maxRetryPause
	if n < maxDoublings {
		most = min(retryPause<<(n-1), maxRetryPause)
	}
	return most/2 + rand.N(most/2)
}

// writeAt tries the write at one primary; done is false if it surely did not run.
func (r *run) writeAt(l lead) (reply stmt.Reply, done bool) {
	r.try(l)
	server := r.ss.server
	c, refusal := r.ss.borrow(l, r.route, r.r, false, r.holdEnd, r.deadline)
	if refusal != nil {
		return r.failed(refusal), false
	}
	asked := boottime.Now()
	sent := time.Now()
	ended := server.watchStall(l)
	reply, err := c.Do(r.deadline, r.ss.textOn(c, r.r), r.r.st.ID, logpos.Pos{})
	ended()
	if err != nil {
		l.pool.Discard(c)
		return r.broken(l, err)
	}
	if reply.Err != nil && reply.Err.Code == stmt.CodeTimeout {
		server.stalled(l, reply.Err)
	}
	r.ss.giveBack(l.pool, c, reply)
	if reply.Err != nil {
		server.answered(l, reply.Pos, 0)
		server.refused(l, reply.Err)
		return reply, !reply.Err.Code.NotRun()
	}
	r.ss.server.answered(l, reply.Pos, time.Since(sent))
	server.service(r.route.Service).learn(l.number, asked, reply.Pos)
	r.ss.raiseFloor(r.route.Service, reply.Pos)
	return reply, true
}

// guardedReadAt reads at the primary inside a transaction of the proxy's own: a
// primary that was superseded refuses it, so that the read sees every commit
// acknowledged before it arrived. done is false if it may be tried again.
func (r *run) guardedReadAt(l lead) (reply stmt.Reply, done bool) {
	r.try(l)
	server := r.ss.server
	c, refusal := r.ss.borrow(l, r.route, r.r, true, r.holdEnd, r.deadline)
	if refusal != nil {
		return r.failed(refusal), false
	}
	begun, _, err := server.guard(l, c, r.deadline)
	if err != nil {
		return r.failed(notRun(err)), false
	}
	if begun.Err != nil {
		r.ss.giveBack(l.pool, c, begun)
		return begun, !begun.Err.Code.NotRun()
	}
	sent := time.Now()
	reply, err = c.Do(r.deadline, r.ss.textOn(c, r.r), r.r.st.ID, logpos.Pos{})
	if err != nil {
		l.pool.Discard(c)
		server.failed(l, err)
		return r.readBroken()
	}
	server.endGuard(l, c, r.deadline)
	reply.State = stmt.Idle
	if reply.Err != nil {
		server.refused(l, reply.Err)
		return reply, !reply.Err.Code.NotRun()
	}
	server.answered(l, reply.Pos, time.Since(sent))
	server.observeRead(r.route.Name, l)
	return reply, true
}

// readBroken answers a read whose connection failed: it may run twice, so it is
// tried again while there is time.
func (r *run) readBroken() (reply stmt.Reply, done bool) {
	if !time.Now().Before(r.deadline) {
		return r.failed(&stmt.Error{Code: stmt.CodeTimeout, Detail: "no answer in time"}), true
	}
	return r.failed(&stmt.Error{Code: stmt.CodeFailed, Detail: "connection to the endpoint failed"}), false
}

// broken answers a write whose connection failed.
func (r *run) broken(l lead, err error) (stmt.Reply, bool) {
	r.ss.server.failed(l, err)
	var broken *stmt.BrokenError
	if errors.As(err, &broken) && !broken.Sent {
		return r.failed(&stmt.Error{Code: stmt.CodeBusy, Detail: "endpoint not reached"}), false
	}
	return r.failed(&stmt.Error{Code: stmt.CodeInDoubt, Detail: "connection to the endpoint failed"}), true
}

func (ss *session) raiseFloor(service string, pos logpos.Pos) {
	ss.floors[service] = logpos.Max(ss.floors[service], pos)
}

// floor returns the position that a read which arrived at that moment must see. isOwn is
// set when it is the session's own last write.
func (ss *session) floor(route *fleetpb.Route, arrived time.Duration, deadline time.Time) (pos logpos.Pos, isOwn bool, err error) {
	since := arrived
	if route.Level != fleetpb.Level_LEVEL_CURRENT {
		since -= time.Duration(route.StalenessLimitMs) * time.Millisecond
	}
	m, err := ss.server.markSince(route.Service, since, deadline, route.Priority, askNearest)
	if err != nil {
		return logpos.Pos{}, false, err
	}
	own := ss.floors[route.Service]
	if route.Level == fleetpb.Level_LEVEL_SESSION && m.Pos.Less(own) {
		return own, true, nil
	}
	return m.Pos, false, nil
}

// read runs a read at any endpoint that holds what it must see.
func (r *run) read() stmt.Reply {
	last := &stmt.Error{Code: stmt.CodeBusy, Detail: "not tried in time"}
	for ; ; r.pause() {
		floor, isOwn, err := r.ss.floor(r.route, r.arrived, r.holdEnd)
		if err != nil {
			last = notRun(err)
		} else {
			r.floor, r.isOwnFloor = floor, isOwn
			reply, done := r.readOnce(floor)
			if done {
				return reply
			}
			last = reply.Err
		}
		if !r.mayHold() {
			return r.failed(last)
		}
	}
}

// readOnce tries the endpoints, each once.
func (r *run) readOnce(floor logpos.Pos) (reply stmt.Reply, done bool) {
	clear(r.tried)
	reply = r.failed(&stmt.Error{Code: stmt.CodeBusy, Detail: "no endpoint can be asked"})
	for {
		l, ok := r.ss.server.choose(r.route.Service, floor, r.tried)
		if !ok {
			return reply, false
		}
		reply, done = r.readSoon(l, floor)
		if done || !r.mayHold() {
			return reply, done
		}
	}
}

// outcome is what came of a read at one endpoint; done is false if it may be tried
// elsewhere.
type outcome struct {
	reply stmt.Reply
	done  bool
}

// readSoon reads at an endpoint. If it takes unusually long another is asked too, and the
// first answer counts. The one that comes late returns its connection by itself.
func (r *run) readSoon(l lead, floor logpos.Pos) (reply stmt.Reply, done bool) {
	outcomes := make(chan outcome, 2)
	r.start(l, floor, outcomes)
	patience := time.NewTimer(place.HedgeDelay(l.pool.State().AvgTime))
	defer patience.Stop()
	for running := 1; ; {
		select {
		case o := <-outcomes:
			running--
			if o.done || running == 0 {
				return o.reply, o.done
			}
		case <-patience.C:
			if other, ok := r.another(floor); ok {
				running++
				r.start(other, floor, outcomes)
			}
		}
	}
}

// start begins a read at an endpoint.
func (r *run) start(l lead, floor logpos.Pos, outcomes chan<- outcome) {
	r.tried[l.endpoint.Id] = true
	r.try(l)
	isOwn := r.isOwnFloor
	go func() {
		o := outcome{reply: r.failed(&stmt.Error{Code: stmt.CodeFailed, Detail: "fault of the proxy"}), done: true}
		defer func() { outcomes <- o }()
		defer fault.Contain(r.ss.server.log, "read", r.ss.server.cfg.Metrics.Fault)
		o.reply, o.done = r.readAt(l, floor, isOwn)
	}()
}

// another returns an endpoint that may answer sooner than the one that is waited for.
func (r *run) another(floor logpos.Pos) (lead, bool) {
	l, ok := r.ss.server.choose(r.route.Service, floor, r.tried)
	if !ok {
		return lead{}, false
	}
	state := l.pool.State()
	return l, place.MayHedge(place.Candidate{
		Down: state.Down, Busy: state.Busy, KnownPos: state.KnownPos, RecentlyLagged: state.RecentlyLagged, StatementTime: state.AvgTime,
	}, floor)
}

// readAt reads at an endpoint. It uses only what does not change while the statement
// runs, since the session may go on before it ends.
func (r *run) readAt(l lead, floor logpos.Pos, isOwnFloor bool) (reply stmt.Reply, done bool) {
	c, refusal := r.ss.borrow(l, r.route, r.r, true, r.holdEnd, r.deadline)
	if refusal != nil {
		return r.failed(refusal), false
	}
	sent := time.Now()
	reply, err := c.Do(r.deadline, r.ss.textOn(c, r.r), r.r.st.ID, floor)
	if err != nil {
		l.pool.Discard(c)
		r.ss.server.failed(l, err)
		return r.readBroken()
	}
	r.ss.giveBack(l.pool, c, reply)
	if reply.Err == nil {
		r.ss.server.answered(l, reply.Pos, time.Since(sent))
		r.ss.server.observeRead(r.route.Name, l)
		return reply, true
	}
	r.ss.server.refused(l, reply.Err)
	if reply.Err.Code == stmt.CodeLagging {
		l.pool.local.RecordLagging(reply.Pos)
		r.ss.server.lagged(l.endpoint.Service, isOwnFloor)
	}
	return reply, !reply.Err.Code.NotRun()
}

// choose returns the endpoint that should answer a read first.
func (s *Server) choose(service string, floor logpos.Pos, tried map[string]bool) (lead, bool) {
	sv := s.cfg.View.Snapshot().Service(service)
	if sv == nil {
		return lead{}, false
	}
	var ready []*fleetpb.Endpoint
	var candidates []place.Candidate
	var pools []*source
	for _, e := range sv.Endpoints {
		if e.State != fleetpb.EndpointState_ENDPOINT_STATE_READY {
			continue
		}
		p := s.source(e)
		state := p.State()
		ready = append(ready, e)
		pools = append(pools, p)
		candidates = append(candidates, place.Candidate{
			ID: e.Id, Primary: e.Id == sv.PrimaryID, InSameDomain: e.FailureDomain == s.cfg.FailureDomain,
			Down: state.Down, Busy: state.Busy, HasConnection: state.HasIdle, KnownPos: state.KnownPos, RecentlyLagged: state.RecentlyLagged,
			InFlight: state.InFlight, Slots: int(e.Slots), StatementTime: state.AvgTime,
		})
	}
	i := place.Choose(candidates, floor, func(id string) bool { return tried[id] })
	if i < 0 {
		return lead{}, false
	}
	return lead{endpoint: ready[i], pool: pools[i], number: sv.PrimaryNumber}, true
}
