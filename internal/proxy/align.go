package proxy

import (
	"errors"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/hop"
	"hemlockmast/internal/proxy/pool"
	"hemlockmast/internal/shared/stmt"
)

// anyConnection is enough for what depends on no session value.
var anyConnection = pool.Needs{AnyState: true}

// want is what a statement needs on a connection.
func (r resolved) want() pool.Needs { return pool.Needs{Values: r.values, Shape: r.shape} }

// align puts what a statement needs in force on a connection. Nothing of the caller's
// runs on it when it fails.
func (ss *session) align(c *pool.Conn, deadline time.Time, r resolved) error {
	return c.Align(deadline, ss.server.cfg.Texts, r.want())
}

// borrow takes a connection to an endpoint, by holdEnd at the latest, with the session's
// values and the shape in force on it. Nothing of the caller's has run when it fails.
// mayRepeat says that what runs on it may run twice.
func (ss *session) borrow(l lead, route *fleetpb.Route, r resolved, mayRepeat bool, holdEnd, deadline time.Time) (*pool.Conn, *stmt.Error) {
	asked := time.Now()
	c, err := l.pool.Get(hop.BorrowRequest{
		Priority: route.Priority, Needs: r.want(), WaitDeadline: holdEnd, Deadline: deadline, Idempotent: mayRepeat,
	})
	ss.server.cfg.Metrics.Queued(route.Name, time.Since(asked))
	if err != nil {
		ss.server.failed(l, err)
		return nil, notRun(err)
	}
	if err := ss.align(c, deadline, r); err != nil {
		dropUnaligned(l.pool, c, err)
		return nil, notRun(err)
	}
	return c, nil
}

// dropUnaligned gives a connection up that could not be aligned. After a clear
// refusal it is as it was before.
func dropUnaligned(p *source, c *pool.Conn, err error) {
	var refused *stmt.RefusedError
	if errors.As(err, &refused) {
		p.Put(c)
		return
	}
	p.Discard(c)
}

// textOn returns the statement as it is sent on a connection: prepared names are
// the connection's, all else is the caller's.
func (ss *session) textOn(c *pool.Conn, r resolved) string {
	if r.shape == nil {
		return r.st.Text
	}
	return ss.server.cfg.Texts.Execute(c.Prepared[r.shape.Text], r.st.Args)
}

// giveBack returns a connection after a single statement. One that is not idle
// is not used again.
func (ss *session) giveBack(p *source, c *pool.Conn, reply stmt.Reply) {
	if reply.State != stmt.Idle {
		p.Discard(c)
		return
	}
	if reply.Err != nil && reply.Err.Code == stmt.CodeNoStatement {
		// The connection does not hold what is noted of it.
		p.Discard(c)
		return
	}
	p.Put(c)
}
