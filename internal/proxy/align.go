package proxy

import (
	"errors"
	"strconv"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/pool"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

// anyFit suits what depends on no session value.
func anyFit(*pool.Conn) int { return 0 }

// Fits of connections. One that has values which the session has not must be
// cleared first, which is quicker than a new connection and costs the endpoint
// no place.
const (
	fitSame     = 1 << 11
	fitPrepared = 1 << 10
	fitNoReset  = 1 << 9
)

// fit returns how well a connection suits this session and a shape.
func (ss *session) fit(shape *stmt.Shape) func(*pool.Conn) int {
	return func(c *pool.Conn) int {
		if ss.needsReset(c) {
			return 0
		}
		same := 0
		for name, value := range c.Values {
			if ss.values[name] == value {
				same++
			}
		}
		score := fitNoReset + same
		if same == len(ss.values) {
			score += fitSame
		}
		if shape != nil && c.Prepared[shape.Text] != "" {
			score += fitPrepared
		}
		return score
	}
}

// needsReset reports whether a connection has a value that the session has not.
func (ss *session) needsReset(c *pool.Conn) bool {
	for name := range c.Values {
		if _, ok := ss.values[name]; !ok {
			return true
		}
	}
	return false
}

// align puts the session's values and the prepared shape in force on a
// connection. Nothing of the caller's runs on it when it fails.
func (ss *session) align(c *pool.Conn, deadline time.Time, shape *stmt.Shape) error {
	texts := ss.server.cfg.Texts
	if ss.needsReset(c) {
		if err := ss.own(c, deadline, texts.Reset()); err != nil {
			return err
		}
		clear(c.Values)
		clear(c.Prepared)
	}
	for name, value := range ss.values {
		if held, ok := c.Values[name]; ok && held == value {
			continue
		}
		if err := ss.own(c, deadline, texts.Set(name, value)); err != nil {
			return err
		}
		c.Values[name] = value
	}
	if shape == nil || c.Prepared[shape.Text] != "" {
		return nil
	}
	name := "p" + strconv.Itoa(len(c.Prepared)+1)
	if err := ss.own(c, deadline, texts.Prepare(name, shape.Text)); err != nil {
		return err
	}
	c.Prepared[shape.Text] = name
	return nil
}

// borrow takes a connection to an endpoint, by holdEnd at the latest, with the session's
// values and the shape in force on it. Nothing of the caller's has run when it fails.
func (ss *session) borrow(l lead, route *fleetpb.Route, shape *stmt.Shape, holdEnd, deadline time.Time) (*pool.Conn, *stmt.Error) {
	asked := time.Now()
	c, err := l.pool.Get(holdEnd, route.Priority, ss.fit(shape))
	ss.server.cfg.Metrics.Queued(route.Name, time.Since(asked))
	if err != nil {
		ss.server.failed(l, err)
		return nil, notRun(err)
	}
	if err := ss.align(c, deadline, shape); err != nil {
		ss.dropUnaligned(l.pool, c, err)
		return nil, notRun(err)
	}
	return c, nil
}

// own runs a statement of the proxy's own.
func (ss *session) own(c *pool.Conn, deadline time.Time, text string) error {
	reply, err := c.Do(deadline, text, "", logpos.Pos{})
	if err != nil {
		return err
	}
	if reply.Err != nil {
		return &stmt.RefusedError{Reply: reply.Err}
	}
	return nil
}

// dropUnaligned gives a connection up that could not be aligned. After a clear
// refusal it is as it was before.
func (ss *session) dropUnaligned(p *pool.Pool, c *pool.Conn, err error) {
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
func (ss *session) giveBack(p *pool.Pool, c *pool.Conn, reply stmt.Reply) {
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
