package pool

import (
	"time"

	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

// Do runs a statement as stmt.Conn.Do does. Between the statements of a transaction, the
// connection does not count as running, so that the endpoint's slots are used by others
// while the caller pauses. A transaction that has begun never waits for its next turn: it
// holds locks and a connection.
func (c *Conn) Do(deadline time.Time, text, id string, after logpos.Pos) (stmt.Reply, error) {
	if c.pool == nil {
		return c.Conn.Do(deadline, text, id, after)
	}
	c.pool.resumeRunning(c)
	reply, err := c.Conn.Do(deadline, text, id, after)
	if err == nil && reply.State != stmt.Idle {
		c.pool.pauseRunning(c)
	}
	return reply, err
}

// resumeRunning counts the connection as running again.
func (p *Pool) resumeRunning(c *Conn) {
	if c.isRunning {
		return
	}
	c.isRunning, c.runningSince = true, time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
}

// pauseRunning no longer counts the connection as running and wakes the next statement.
func (p *Pool) pauseRunning(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRunning(c)
	if p.maxRunning > 0 {
		p.wakeNext()
	}
}

// stopRunning no longer counts the connection as running. mu must be held.
func (p *Pool) stopRunning(c *Conn) {
	if !c.isRunning {
		return
	}
	c.isRunning = false
	c.ranFor += time.Since(c.runningSince)
	p.running--
}
