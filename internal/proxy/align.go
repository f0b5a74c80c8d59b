package proxy

import (
	"errors"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/hop"
	"hemlockmast/internal/proxy/pool"
	"hemlockmast/internal/proxy/turn"
	"hemlockmast/internal/shared/stmt"
)

// anyConnection is what statements need that do not depend on session state.
var anyConnection = pool.Needs{AnyState: true}

// needs returns the session state that the statement needs on a connection.
func (r resolvedStatement) needs() pool.Needs {
	return pool.Needs{Workspace: r.workspace, Values: r.values, Shape: r.shape}
}

// align gives a connection the session state that a statement needs. If it fails, no
// statement of the caller has run on the connection.
func (ss *session) align(c *pool.Conn, deadline time.Time, r resolvedStatement) error {
	return c.Align(deadline, ss.server.cfg.Texts, r.needs())
}

// getConn returns a connection to an endpoint with the session state that the statement
// needs. It waits until waitDeadline at most. After an error, no statement of the caller
// has run. isIdempotent is set if the statements on the connection may run twice.
func (ss *session) getConn(t target, route *fleetpb.Route, r resolvedStatement, isIdempotent bool, waitDeadline, deadline time.Time) (*pool.Conn, *stmt.Error) {
	waitStart := time.Now()
	c, err := t.pool.Get(hop.BorrowRequest{
		Priority: route.Priority, Needs: r.needs(), Idempotent: isIdempotent,
		TurnBy: turnBy(route, waitStart, waitDeadline), WaitDeadline: waitDeadline, Deadline: deadline,
		Target: targetLeft(route, waitStart, deadline),
	})
	ss.server.cfg.Metrics.Queued(route.Name, time.Since(waitStart))
	if err != nil {
		ss.server.failed(t, err)
		ss.server.observeQueueRefusal(route, err)
		return nil, notRunError(err)
	}
	if err := ss.align(c, deadline, r); err != nil {
		releaseUnaligned(t.pool, c, err)
		return nil, notRunError(err)
	}
	return c, nil
}

// turnRoute returns what the decision to wait for a turn depends on.
func turnRoute(route *fleetpb.Route) turn.Route {
	return turn.Route{
		Target: time.Duration(route.TargetMs) * time.Millisecond, Timeout: time.Duration(route.TimeoutMs) * time.Millisecond,
		Priority: route.Priority,
	}
}

// waitDeadline returns when a statement that has not reached an endpoint is refused.
func waitDeadline(route *fleetpb.Route, arrival time.Time) time.Time {
	return arrival.Add(turnRoute(route).MaxWait())
}

// turnBy returns the time by which the turn of a statement that starts to wait now must be
// expected to come.
func turnBy(route *fleetpb.Route, now, waitDeadline time.Time) time.Time {
	by := now.Add(turnRoute(route).MaxExpectedWait())
	if route.TargetMs == 0 || waitDeadline.Before(by) {
		return waitDeadline
	}
	return by
}

// targetLeft returns the time from now until the target of a statement with this deadline, as
// turn.Route.TargetLeft does.
func targetLeft(route *fleetpb.Route, now, deadline time.Time) time.Duration {
	return turnRoute(route).TargetLeft(time.Duration(route.TimeoutMs)*time.Millisecond - deadline.Sub(now))
}

// releaseUnaligned returns a connection after align has failed with err. After a refusal
// by the endpoint the connection is still usable; after any other error it is discarded.
func releaseUnaligned(src *source, c *pool.Conn, err error) {
	var refused *stmt.RefusedError
	if errors.As(err, &refused) {
		src.Put(c)
		return
	}
	src.Discard(c)
}

// textFor returns the statement's text for a connection. Names of prepared statements are
// those of the connection; everything else is as the caller wrote it.
func (ss *session) textFor(c *pool.Conn, r resolvedStatement) string {
	if r.shape == nil {
		return r.st.Text
	}
	return ss.server.cfg.Texts.Execute(c.Prepared[r.shape.Text], r.st.Args)
}

// putConn returns a connection after a statement outside a transaction. It discards a
// connection that is not idle.
func (ss *session) putConn(src *source, c *pool.Conn, reply stmt.Reply) {
	if reply.State != stmt.Idle {
		src.Discard(c)
		return
	}
	if reply.Err != nil && reply.Err.Code == stmt.CodeNoStatement {
		// The record of the connection's prepared statements is wrong.
		src.Discard(c)
		return
	}
	src.Put(c)
}
