package proxy

import (
	"errors"
	"math/rand/v2"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/fleetview"
	"hemlockmast/internal/proxy/place"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/fault"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

const (
	// minRetryBackoff is the initial backoff before a statement that did not run is
	// retried: a fraction of a usual statement's time, in which a slot may become free.
	// The backoff doubles up to maxRetryBackoff, so that waiting statements do not
	// constantly ask a full endpoint.
	minRetryBackoff = 4 * time.Millisecond
	maxRetryBackoff = 24 * time.Millisecond
	// maxBackoffDoublings keeps the doubled backoff from overflowing.
	maxBackoffDoublings = 8
	// lostPrimaryWait is how long a statement waits for a primary that is unreachable and
	// not being replaced. Most likely only this daemon cannot reach it, and the caller's
	// retry goes to another daemon.
	lostPrimaryWait = 60 * time.Millisecond
)

// runSingle runs a statement outside a transaction.
func (ss *session) runSingle(st stmt.Statement, arrival time.Time) stmt.Reply {
	bootArrival := boottime.Now()
	route := ss.server.cfg.View.Snapshot().Route(ss.database)
	if route == nil {
		return ss.fail(stmt.CodeNoDatabase, "no route has this name")
	}
	r, refusal := ss.resolve(st)
	if refusal != nil {
		return stmt.Reply{Err: refusal}
	}
	w, refusal := ss.workspaceFor(route)
	if refusal == nil && ss.server.refusesNew(route) {
		refusal = stoppingError()
	}
	if refusal == nil {
		refusal = ss.server.takeToken(w, route, arrival)
	}
	if refusal != nil {
		ss.logRefused(st, w, refusal)
		return stmt.Reply{Err: refusal}
	}
	r.workspace = w.GetName()
	request := &request{
		ss: ss, route: route, statement: r, bootArrival: bootArrival, arrivedAt: arrival,
		deadline:     ss.deadline(route, arrival),
		waitDeadline: ss.server.waitUntil(route, arrival),
		tried:        make(map[string]bool),
	}
	var reply stmt.Reply
	switch {
	case r.writes:
		reply = request.runAtPrimary(request.writeAt)
	case route.Level == fleetpb.Level_LEVEL_CURRENT:
		reply = request.runAtPrimary(request.guardedReadAt)
	default:
		reply = request.runRead()
	}
	if reply.Err != nil {
		request.logFailure(st, reply.Err)
	}
	return reply
}

// logFailure logs what explains why a statement failed.
func (r *request) logFailure(st stmt.Statement, e *stmt.Error) {
	server := r.ss.server
	fields := []any{
		"id", st.ID, "database", r.ss.database, "service", r.route.Service, "level", r.route.Level.String(),
		"kind", st.Kind.String(), "code", e.Code.String(), "detail", e.Detail,
		"tries", r.attempts, "endpoint", r.lastEndpoint, "elapsed", time.Since(r.arrivedAt).String(),
		"cutOff", server.isIsolated(), "configuration", server.cfg.View.Snapshot().Config.GetVersion(),
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

// request is a statement outside a transaction while it is being served.
type request struct {
	ss    *session
	route *fleetpb.Route
	// statement is the statement to run, with its session state.
	statement resolvedStatement
	// bootArrival is when the statement arrived, on the clock of package boottime.
	bootArrival time.Duration
	// arrivedAt is when the statement arrived, on the monotonic clock.
	arrivedAt time.Time
	deadline  time.Time
	// waitDeadline is when a statement that has not reached an endpoint is refused.
	waitDeadline time.Time
	// tried holds the ids of the endpoints tried since the last backoff.
	tried    map[string]bool
	attempts int
	backoffs int
	// lastEndpoint is the id of the endpoint tried last. floor is the log position that the
	// read has to see.
	lastEndpoint string
	floor        logpos.Pos
	// isOwnWrite is set when the floor is the session's own last write.
	isOwnWrite bool
}

// mayRetry reports whether the statement may be retried on this daemon.
func (r *request) mayRetry() bool {
	// On an isolated daemon a retry does not help. The caller's own retry reaches another
	// daemon.
	return time.Now().Before(r.waitDeadline) && !r.ss.server.isIsolated() && !r.ss.server.refusesNew(r.route)
}

// failed returns the reply for an error.
func (r *request) failed(e *stmt.Error) stmt.Reply { return stmt.Reply{Err: e} }

// runAtPrimary calls try with the primary until it reports that the statement is done or
// the statement may not be retried.
func (r *request) runAtPrimary(try func(target) (stmt.Reply, bool)) stmt.Reply {
	server := r.ss.server
	last := &stmt.Error{Code: stmt.CodeBusy, Detail: "not tried in time"}
	for ; ; r.backOff() {
		target, err := server.primary(r.route.Service)
		if err != nil {
			last = notRunError(err)
		} else {
			reply, done := try(target)
			if done {
				return reply
			}
			last = reply.Err
		}
		if last.Overloaded || !r.mayRetry() || !server.shouldAwaitPrimary(r.route.Service, r.arrivedAt) {
			return r.failed(last)
		}
	}
}

// shouldAwaitPrimary reports whether a statement that arrived at arrival should keep
// waiting for the service's primary: during the first lostPrimaryWait, during a promotion,
// and while the primary is not down.
func (s *Server) shouldAwaitPrimary(service string, arrival time.Time) bool {
	now := time.Now()
	sv := s.cfg.View.Snapshot().Service(service)
	if sv == nil || awaitsLostPrimary(sv, now.Sub(arrival), now) {
		return true
	}
	t, err := s.primary(service)
	return err == nil && !t.pool.IsDown()
}

// awaitsLostPrimary reports whether a statement that arrived age ago waits also for a primary that
// cannot be asked.
func awaitsLostPrimary(sv *fleetview.Service, age time.Duration, now time.Time) bool {
	return age < lostPrimaryWait || now.Before(sv.PromotionDeadline)
}

// recordAttempt records an attempt at an endpoint.
func (r *request) recordAttempt(t target) {
	if r.attempts > 0 {
		r.ss.server.cfg.Metrics.Retry(r.route.Name, true)
	}
	r.attempts++
	r.lastEndpoint = t.endpoint.Id
}

// backOff waits before the next attempt.
func (r *request) backOff() {
	r.backoffs++
	time.Sleep(retryBackoff(r.backoffs))
}

// retryBackoff returns the backoff with jitter before attempt n+1; n counts from 1.
func retryBackoff(n int) time.Duration {
	maximum := maxRetryBackoff
	if n < maxBackoffDoublings {
		maximum = min(minRetryBackoff<<(n-1), maxRetryBackoff)
	}
	return maximum/2 + rand.N(maximum/2)
}

// writeAt attempts the write at a primary. done is false if it certainly did not run.
func (r *request) writeAt(t target) (reply stmt.Reply, done bool) {
	server := r.ss.server
	if server.isClosed(r.route.Service, t) {
		return r.failed(closedError()), false
	}
	r.recordAttempt(t)
	c, refusal := r.ss.getConn(t, r.route, r.statement, false, r.waitDeadline, r.deadline)
	if refusal != nil {
		return r.failed(refusal), false
	}
	requestedAt := boottime.Now()
	sentAt := time.Now()
	stopWatch := server.watchStall(t)
	reply, err := c.Do(r.deadline, r.ss.textFor(c, r.statement), r.statement.st.ID, logpos.Pos{})
	stopWatch()
	if err != nil {
		t.pool.Discard(c)
		return r.broken(t, err)
	}
	if reply.Err != nil && reply.Err.Code == stmt.CodeTimeout {
		server.reportStall(t, reply.Err)
	}
	r.ss.putConn(t.pool, c, reply)
	if reply.Err != nil {
		server.answered(t, reply.Pos, 0)
		server.refused(t, reply.Err)
		return reply, !reply.Err.Code.NotRun()
	}
	r.ss.server.answered(t, reply.Pos, time.Since(sentAt))
	if !server.acknowledge(r.route.Service, t, reply.Pos, r.deadline) {
		return r.failed(unconfirmedError()), true
	}
	server.service(r.route.Service).recordPosition(t.primaryNumber, requestedAt, reply.Pos)
	r.ss.raiseFloor(r.route.Service, reply.Pos)
	return reply, true
}

// guardedReadAt reads at the primary inside a transaction that the proxy itself opens. A
// superseded primary refuses that transaction, so the read sees every commit acknowledged
// before the read arrived. done is false if the read may be retried.
func (r *request) guardedReadAt(t target) (reply stmt.Reply, done bool) {
	r.recordAttempt(t)
	if reply, done, isCarried := r.guardedReadAtCarrier(t); isCarried {
		return reply, done
	}
	server := r.ss.server
	c, refusal := r.ss.getConn(t, r.route, r.statement, true, r.waitDeadline, r.deadline)
	if refusal != nil {
		return r.failed(refusal), false
	}
	begun, _, err := server.beginGuard(t, c, r.deadline)
	if err != nil {
		return r.failed(notRunError(err)), false
	}
	if begun.Err != nil {
		r.ss.putConn(t.pool, c, begun)
		return begun, !begun.Err.Code.NotRun()
	}
	sentAt := time.Now()
	reply, err = c.Do(r.deadline, r.ss.textFor(c, r.statement), r.statement.st.ID, logpos.Pos{})
	if err != nil {
		t.pool.Discard(c)
		server.failed(t, err)
		return r.readBroken()
	}
	server.endGuard(t, c, r.deadline)
	reply.State = stmt.Idle
	if reply.Err != nil {
		server.refused(t, reply.Err)
		return reply, !reply.Err.Code.NotRun()
	}
	server.answered(t, reply.Pos, time.Since(sentAt))
	server.observeRead(r.route.Name, t)
	return reply, true
}

// readBroken returns the reply to a read whose connection failed. Reads are idempotent, so
// done is false while there is time for a retry.
func (r *request) readBroken() (reply stmt.Reply, done bool) {
	if !time.Now().Before(r.deadline) {
		return r.failed(&stmt.Error{Code: stmt.CodeTimeout, Detail: "no answer in time"}), true
	}
	return r.failed(&stmt.Error{Code: stmt.CodeFailed, Detail: "connection to the endpoint failed"}), false
}

// broken returns the reply to a write whose connection failed. done is false if the write
// was not sent.
func (r *request) broken(t target, err error) (stmt.Reply, bool) {
	r.ss.server.failed(t, err)
	var broken *stmt.BrokenError
	if errors.As(err, &broken) && !broken.Sent {
		return r.failed(&stmt.Error{Code: stmt.CodeBusy, Detail: "endpoint not reached"}), false
	}
	return r.failed(&stmt.Error{Code: stmt.CodeInDoubt, Detail: "connection to the endpoint failed"}), true
}

// raiseFloor records that the session wrote to a service; pos is the write's position.
func (ss *session) raiseFloor(service string, pos logpos.Pos) {
	ss.floors[service] = logpos.Max(ss.floors[service], pos)
}

// floor returns the log position that a read must see; bootArrival is when the read
// arrived. At the level current, the position covers every commit acknowledged before the
// read arrived; at other levels, those that are older than the route's staleness limit by
// then. At the level session it also covers the session's own last write; isOwnWrite is set
// when that write is the position. Errors: those of Server.markSince.
func (ss *session) floor(route *fleetpb.Route, bootArrival time.Duration, deadline time.Time) (pos logpos.Pos, isOwnWrite bool, err error) {
	m, err := ss.server.markSince(route.Service, floorSince(route, bootArrival), deadline, route.Priority, askAnySource)
	if err != nil {
		return logpos.Pos{}, false, err
	}
	lastWrite := ss.floors[route.Service]
	if route.Level == fleetpb.Level_LEVEL_SESSION && m.Pos.Less(lastWrite) {
		return lastWrite, true, nil
	}
	return m.Pos, false, nil
}

// floorSince returns from when on commits may be missing in what a read that arrived at bootArrival
// sees.
func floorSince(route *fleetpb.Route, bootArrival time.Duration) time.Duration {
	if route.Level == fleetpb.Level_LEVEL_CURRENT {
		return bootArrival
	}
	return bootArrival - time.Duration(route.StalenessLimitMs)*time.Millisecond
}

// runRead runs a read at any endpoint whose log holds the position that the read must see.
func (r *request) runRead() stmt.Reply {
	last := &stmt.Error{Code: stmt.CodeBusy, Detail: "not tried in time"}
	for ; ; r.backOff() {
		floor, isOwn, err := r.ss.floor(r.route, r.bootArrival, r.waitDeadline)
		if err != nil {
			last = notRunError(err)
		} else {
			r.floor, r.isOwnWrite = floor, isOwn
			reply, done := r.readOnce(floor)
			if done {
				return reply
			}
			last = reply.Err
		}
		if !r.mayRetry() {
			return r.failed(last)
		}
	}
}

// readOnce tries each endpoint at most once. done is false if the read may be retried. If an
// endpoint's queue is too long and no other can answer, the read is refused.
func (r *request) readOnce(floor logpos.Pos) (reply stmt.Reply, done bool) {
	clear(r.tried)
	reply = r.failed(noEndpointError())
	var overloaded *stmt.Error
	for {
		t, ok := r.ss.server.chooseTarget(r.route, r.statement.workspace, floor, r.tried)
		switch {
		case !ok && overloaded != nil:
			return r.failed(overloaded), true
		case !ok:
			return reply, false
		}
		reply, done = r.hedgedRead(t, floor)
		if done || !r.mayRetry() {
			return reply, done
		}
		if reply.Err.Overloaded {
			overloaded = reply.Err
		}
	}
}

func noEndpointError() *stmt.Error {
	return &stmt.Error{Code: stmt.CodeBusy, Detail: "no endpoint can be asked"}
}

// readResult is the result of a read at one endpoint. done is false if the read may be
// tried at another.
type readResult struct {
	reply stmt.Reply
	done  bool
}

// hedgedRead reads at an endpoint. If no answer arrives within the hedge delay, it sends the
// read to a second endpoint as well and takes the first final answer. The slower read
// returns its connection when it ends.
func (r *request) hedgedRead(t target, floor logpos.Pos) (reply stmt.Reply, done bool) {
	results := make(chan readResult, 2)
	r.startRead(t, floor, results)
	hedgeTimer := time.NewTimer(r.hedgeDelay(t))
	defer hedgeTimer.Stop()
	for inFlight := 1; ; {
		select {
		case result := <-results:
			inFlight--
			if result.done || inFlight == 0 {
				return result.reply, result.done
			}
		case <-hedgeTimer.C:
			if second, ok := r.hedgeTarget(floor); ok {
				inFlight++
				r.startRead(second, floor, results)
			}
		}
	}
}

// startRead starts a read at an endpoint. Its result goes to results.
func (r *request) startRead(t target, floor logpos.Pos, results chan<- readResult) {
	r.tried[t.endpoint.Id] = true
	r.recordAttempt(t)
	isOwn := r.isOwnWrite
	go func() {
		result := readResult{reply: r.failed(&stmt.Error{Code: stmt.CodeFailed, Detail: "fault of the proxy"}), done: true}
		defer func() { results <- result }()
		defer fault.Recover(r.ss.server.log, "read", r.ss.server.cfg.Metrics.Fault)
		result.reply, result.done = r.readAt(t, floor, isOwn)
	}()
}

// hedgeTarget returns an endpoint for a hedged read. It reports false if none is suitable.
func (r *request) hedgeTarget(floor logpos.Pos) (target, bool) {
	t, ok := r.ss.server.chooseTarget(r.route, r.statement.workspace, floor, r.tried)
	if !ok {
		return target{}, false
	}
	state := t.pool.State()
	return t, place.MayHedge(place.Candidate{
		Down: state.Down, Busy: state.Busy, KnownPos: state.KnownPos, RecentlyLagged: state.RecentlyLagged, AvgStatementTime: state.AvgTime,
	}, floor)
}

// readAt reads at an endpoint. It uses only fields that do not change while the statement
// runs, because the session may continue before a hedged read ends.
func (r *request) readAt(t target, floor logpos.Pos, isOwnWrite bool) (reply stmt.Reply, done bool) {
	if reply, done, isCarried := r.readAtCarrier(t, floor, isOwnWrite); isCarried {
		return reply, done
	}
	c, refusal := r.ss.getConn(t, r.route, r.statement, true, r.waitDeadline, r.deadline)
	if refusal != nil {
		return r.failed(refusal), false
	}
	sentAt := time.Now()
	reply, err := c.Do(r.deadline, r.ss.textFor(c, r.statement), r.statement.st.ID, floor)
	if err != nil {
		t.pool.Discard(c)
		r.ss.server.failed(t, err)
		return r.readBroken()
	}
	r.ss.putConn(t.pool, c, reply)
	return r.recordRead(t, reply, time.Since(sentAt), isOwnWrite)
}

// recordRead records what the reply to a read shows about the endpoint. done is false if the
// read may be retried.
func (r *request) recordRead(t target, reply stmt.Reply, took time.Duration, isOwnWrite bool) (_ stmt.Reply, done bool) {
	if reply.Err == nil {
		r.ss.server.answered(t, reply.Pos, took)
		r.ss.server.observeRead(r.route.Name, t)
		return reply, true
	}
	r.ss.server.refused(t, reply.Err)
	if reply.Err.Code == stmt.CodeLagging {
		t.pool.local.RecordLagging(reply.Pos)
		r.ss.server.lagged(t.endpoint.Service, isOwnWrite)
	}
	return reply, !reply.Err.Code.NotRun() && !r.mayReadElsewhere(t, reply.Err)
}
