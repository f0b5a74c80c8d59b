package pool

import "time"

// workspaceIdleTimeout is the idle timeout of a workspace's connection within the daemon's
// share. Its room is given to another workspace when that needs it, and reopening takes a slot at
// the endpoint. Endpoints close connections that have been idle for about 60 s; a statement on
// one of those would be in doubt.
const workspaceIdleTimeout = 45 * time.Second

// closeExpired closes connections whose idle timeout has passed. It keeps the last open
// connection of no workspace, unless the share is 0. mu must be held.
func (p *Pool) closeExpired() {
	for i := 0; i < len(p.idle); {
		c := p.idle[i]
		isKept := c.Workspace == "" && p.open == 1 && p.share > 0
		if isKept || time.Since(c.idleSince) < p.idleTimeoutOf(c) {
			i++
			continue
		}
		p.closeIdle(i)
	}
}

// idleTimeoutOf returns the idle timeout that applies to a connection. mu must be held.
func (p *Pool) idleTimeoutOf(c *Conn) time.Duration {
	if c.Workspace != "" && p.share > 0 && p.open <= p.share {
		return workspaceIdleTimeout
	}
	return p.currentIdleTimeout()
}

// currentIdleTimeout returns the idle timeout of connections of no workspace. mu must be held.
func (p *Pool) currentIdleTimeout() time.Duration {
	switch {
	case p.share == 0 && time.Since(p.lastFullAt) < refusalWindow:
		return scarceIdleTimeout
	case p.share == 0:
		return onDemandIdleTimeout
	case p.open > p.share:
		return extraIdleTimeout
	}
	return idleTimeout
}

// sweepAfter closes connections whose idle timeout has passed, after timeout. If the timeout has
// become longer meanwhile, it does so again after that.
func (p *Pool) sweepAfter(timeout time.Duration) {
	time.AfterFunc(timeout+timerMargin, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closeExpired()
		if next := p.currentIdleTimeout(); next > timeout && p.open > p.share && len(p.idle) > 0 {
			p.sweepAfter(next)
		}
	})
}
