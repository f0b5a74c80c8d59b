package pool

import (
	"time"

	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

// maxRunningFactor bounds the connections that run at once, as a multiple of the endpoint's
// slots.
const maxRunningFactor = 4

// Do runs a statement as stmt.Conn.Do does. Between the statements of a transaction, the
// connection does not count as running, so that the endpoint's slots are used by others
// while the caller pauses. A transaction that has begun never waits for its next turn: it
// holds locks and a connection.
func (c *Conn) Do(deadline time.Time, text, id string, after logpos.Pos) (stmt.Reply, error) {
	if c.pool == nil {
		return c.Conn.Do(deadline, text, id, after)
	}
	c.pool.resumeRunning(c)
	sentAt := time.Now()
	reply, err := c.Conn.Do(deadline, text, id, after)
	c.atEndpoint += time.Since(sentAt)
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
	if p.slots > 0 {
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

// mayRun reports whether another connection may start to run. mu must be held.
func (p *Pool) mayRun() bool { return p.slots == 0 || p.running < p.maxRunning() }

// maxRunning returns how many connections may run at once so that, on average, as many
// statements as there are slots are at the endpoint. A connection runs for longer than its
// statements: its user may be in another failure domain and needs a round trip before and
// after each. mu must be held.
func (p *Pool) maxRunning() int {
	if p.avgAtEndpoint <= 0 {
		return p.slots
	}
	n := (time.Duration(p.slots)*p.avgHoldTime + p.avgAtEndpoint - 1) / p.avgAtEndpoint
	return min(max(int(n), p.slots), maxRunningFactor*p.slots)
}
