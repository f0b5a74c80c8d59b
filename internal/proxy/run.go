package proxy

import (
	"errors"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/hop"
	"hemlockmast/internal/proxy/pool"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

// Run runs a statement at a carrier that lends it a connection, in one round trip. isCarried is
// false if no carrier answered; the statement then needs a connection from Get, and err is not nil
// if it may have run at a carrier that was lost. Errors: those of hop.Client.Run.
func (src *source) Run(r hop.RunRequest) (result hop.RunResult, isCarried bool, err error) {
	r.Endpoint = src.endpoint.Id
	r.OnLoad = func(load pool.Load) { src.recordLoad(r.Priority, load) }
	src.activeLoans.Add(1)
	defer func() {
		if result.Conn == nil {
			src.activeLoans.Add(-1)
		}
	}()
	var lastLost error
	for _, name := range src.carriersFor(r.Needs.Workspace) {
		result, err = src.server.hop.Run(name, r)
		var unknown *hop.RunUnknownError
		if errors.As(err, &unknown) {
			return hop.RunResult{}, false, err
		}
		src.server.cfg.Metrics.Loan(loanOutcome(err))
		src.recordRun(name, err)
		if mayHaveRun(err) {
			lastLost = err
		}
		if isLostCarrier(err) && time.Now().Before(r.WaitDeadline) {
			continue
		}
		result.MayHaveRun = result.MayHaveRun || lastLost != nil
		return result, true, err
	}
	return hop.RunResult{}, false, lastLost
}

// mayHaveRun reports whether a statement may have run although its carrier did not answer.
func mayHaveRun(err error) bool {
	var lost *hop.LostError
	return errors.As(err, &lost)
}

// isLostCarrier reports whether a carrier did not answer, or served nothing for a reason of its
// own.
func isLostCarrier(err error) bool {
	var unreachable *hop.UnreachableError
	return errors.As(err, &unreachable) || mayHaveRun(err)
}

// recordRun records what the result of a Run shows about the endpoint and its failure domain. A
// carrier that closed the stream during the statement shows neither.
func (src *source) recordRun(carrier string, err error) {
	if mayHaveRun(err) && !src.server.hop.IsDown(carrier) {
		return
	}
	src.recordReach(carrier, err)
	src.recordLoan(carrier, err)
}

// runAtCarrier runs a request at the target's carrier, if there is one, as source.Run does. It
// records how long the request waited and why it failed.
func (ss *session) runAtCarrier(t target, route *fleetpb.Route, r hop.RunRequest) (hop.RunResult, bool, error) {
	start := time.Now()
	result, isCarried, err := t.pool.Run(r)
	if !isCarried {
		return result, false, err
	}
	waited := result.Waited
	if err != nil {
		waited = time.Since(start)
		ss.server.failed(t, err)
		ss.server.observeQueueRefusal(route, err)
	}
	ss.server.cfg.Metrics.Queued(route.Name, waited)
	return result, true, err
}

// newRun returns the request to run the statement in one round trip.
func (r *request) newRun(end hop.End) hop.RunRequest {
	now := time.Now()
	return hop.RunRequest{
		BorrowRequest: hop.BorrowRequest{
			Priority: r.route.Priority, Needs: r.statement.needs(), Idempotent: true,
			TurnBy: turnBy(r.route, now, r.waitDeadline), WaitDeadline: r.waitDeadline, Deadline: r.deadline,
			Target: targetLeft(r.route, now, r.deadline),
		},
		Text: r.statement.st.Text, ID: r.statement.st.ID, Args: r.statement.st.Args, End: end,
	}
}

// readAtCarrier reads at an endpoint as readAt does, in one round trip. isCarried is false if no
// carrier took the request.
func (r *request) readAtCarrier(t target, floor logpos.Pos, isOwnWrite bool) (reply stmt.Reply, done, isCarried bool) {
	run := r.newRun(hop.ReturnConn)
	run.After = floor
	result, isCarried, err := r.ss.runAtCarrier(t, r.route, run)
	switch {
	case !isCarried:
		return stmt.Reply{}, false, false
	case err != nil:
		reply, done = r.runFailed(err)
	case result.Err != nil:
		r.ss.server.failed(t, result.Err)
		reply, done = r.readBroken()
	default:
		reply, done = r.recordRead(t, result.Reply, result.Took, isOwnWrite)
	}
	return reply, done, true
}

// runFailed returns the reply to a read that was not served by a carrier.
func (r *request) runFailed(err error) (reply stmt.Reply, done bool) {
	if mayHaveRun(err) {
		return r.readBroken()
	}
	return r.failed(notRunError(err)), false
}

// guardedReadAtCarrier reads at the primary as guardedReadAt does, in one round trip. isCarried
// is false if no carrier took the request.
func (r *request) guardedReadAtCarrier(t target) (reply stmt.Reply, done, isCarried bool) {
	run := r.newRun(hop.RollBackGuard)
	run.Begin = r.ss.server.cfg.Texts.Begin(false)
	requestedAt := boottime.Now()
	result, isCarried, err := r.ss.runAtCarrier(t, r.route, run)
	switch {
	case !isCarried:
		return stmt.Reply{}, false, false
	case err != nil:
		reply, done = r.runFailed(err)
	default:
		reply, done = r.recordGuarded(t, result, requestedAt)
	}
	return reply, done, true
}

// recordGuarded records what the steps of a guarded read show about the primary. requestedAt is
// when the request was sent.
func (r *request) recordGuarded(t target, result hop.RunResult, requestedAt time.Duration) (reply stmt.Reply, done bool) {
	server := r.ss.server
	if result.BeginErr != nil {
		server.failed(t, result.BeginErr)
		return r.failed(notRunError(result.BeginErr)), false
	}
	if begun := result.Begun; begun.Err != nil {
		return begun, !begun.Err.Code.NotRun()
	}
	server.service(t.endpoint.Service).recordPosition(t.primaryNumber, requestedAt, result.Begun.Pos)
	server.answered(t, result.Begun.Pos, 0)
	if result.Err != nil {
		server.failed(t, result.Err)
		return r.readBroken()
	}
	reply = result.Reply
	reply.State = stmt.Idle
	if reply.Err != nil {
		server.refused(t, reply.Err)
		return reply, !reply.Err.Code.NotRun()
	}
	server.answered(t, reply.Pos, result.Took)
	server.observeRead(r.route.Name, t)
	return reply, true
}

// firstStatement is the outcome of a transaction's first statement.
type firstStatement struct {
	reply stmt.Reply
	err   error
	// requestedAt is when the request was sent, on the clock of package boottime.
	requestedAt time.Duration
}

// startTimes bounds the start of a transaction: the wait for a connection, and the whole.
type startTimes struct{ waitDeadline, deadline time.Time }

// startAtCarrier begins the transaction and runs its first statement in one round trip. isCarried
// is false if no carrier took the request. If the stream to the carrier fails, the start may be
// tried again: nothing was committed, and the carrier rolls back when the stream ends.
func (ss *session) startAtCarrier(t target, r resolvedStatement, times startTimes, floor logpos.Pos, isOwnWrite bool) (refusal *stmt.Error, isCarried bool) {
	tx := ss.tx
	requestedAt, now := boottime.Now(), time.Now()
	result, isCarried, err := ss.runAtCarrier(t, tx.route, hop.RunRequest{
		BorrowRequest: hop.BorrowRequest{
			Priority: tx.route.Priority, Needs: r.needs(), Idempotent: tx.isReadOnly(),
			TurnBy: turnBy(tx.route, now, times.waitDeadline), WaitDeadline: times.waitDeadline, Deadline: times.deadline,
			Target: targetLeft(tx.route, now, times.deadline),
		},
		Begin: tx.begin.Text, BeginID: tx.begin.ID, Text: r.st.Text, ID: r.st.ID, Args: r.st.Args,
		After: floor, End: hop.KeepLoan,
	})
	tx.mayHaveRun = tx.mayHaveRun || result.MayHaveRun || mayHaveRun(err) || (!isCarried && err != nil)
	switch {
	case !isCarried:
		return nil, false
	case mayHaveRun(err):
		return &stmt.Error{Code: stmt.CodeAborted, Detail: "connection to the carrier failed"}, true
	case err != nil:
		return notRunError(err), true
	case result.BeginErr != nil:
		ss.server.failed(t, result.BeginErr)
		return notRunError(result.BeginErr), true
	}
	if refusal := ss.recordBegin(t, result.Begun, requestedAt, isOwnWrite); refusal != nil {
		return refusal, true
	}
	tx.target, tx.conn = t, result.Conn
	tx.first = &firstStatement{reply: result.Reply, err: result.Err, requestedAt: requestedAt}
	return nil, true
}
