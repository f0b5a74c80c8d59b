package pool

import (
	"strconv"
	"time"

	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

// Texts builds the statements that change the session state of a connection.
type Texts interface {
	// Set returns the statement that sets a session value.
	Set(name, value string) string
	// Reset returns the statement that clears all session values and prepared statements.
	Reset() string
	// Prepare returns the statement that prepares the text shape under a name.
	Prepare(name, shape string) string
}

// Needs is the session state that a statement requires of its connection.
type Needs struct {
	// Workspace is the workspace that the connection must belong to; "" where callers are not
	// identified. With AnyState, a connection of any workspace will do.
	Workspace string
	// Values are the session values; no others may be set.
	Values map[string]string
	// Shape is the prepared statement; nil for none.
	Shape *stmt.Shape
	// AnyState is set when the statement does not depend on session state. The connection's
	// state is then left as it is.
	AnyState bool
}

// accepts reports whether a statement may run on a connection of c's workspace.
func (n Needs) accepts(c *Conn) bool { return n.AnyState || n.Workspace == c.Workspace }

// dialWorkspace returns the workspace for which a connection is opened.
func (n Needs) dialWorkspace() string {
	if n.AnyState {
		return ""
	}
	return n.Workspace
}

// Scores of idle connections. A connection that has other values set must be reset
// first and scores lowest. It is still used rather than a new connection: a reset is
// quicker and takes no slot at the endpoint.
const (
	scoreSameValues = 1 << 11
	scorePrepared   = 1 << 10
	scoreNoReset    = 1 << 9
)

// matchScore returns how well a connection matches; higher is better.
func (n Needs) matchScore(c *Conn) int {
	if n.AnyState || n.needsReset(c) {
		return 0
	}
	matching := 0
	for name, value := range c.Values {
		if n.Values[name] == value {
			matching++
		}
	}
	score := scoreNoReset + matching
	if matching == len(n.Values) {
		score += scoreSameValues
	}
	if n.Shape != nil && c.Prepared[n.Shape.Text] != "" {
		score += scorePrepared
	}
	return score
}

// needsReset reports whether a connection has a session value that n does not include.
func (n Needs) needsReset(c *Conn) bool {
	for name := range c.Values {
		if _, ok := n.Values[name]; !ok {
			return true
		}
	}
	return false
}

// Align sets the session values and prepares the statement that needs asks for. When it
// fails, none of the caller's statements may run on the connection. Errors:
// *stmt.BrokenError, *stmt.RefusedError.
func (c *Conn) Align(deadline time.Time, texts Texts, needs Needs) error {
	if needs.AnyState {
		return nil
	}
	if needs.needsReset(c) {
		if err := c.runInternal(deadline, texts.Reset()); err != nil {
			return err
		}
		clear(c.Values)
		clear(c.Prepared)
	}
	for name, value := range needs.Values {
		if current, ok := c.Values[name]; ok && current == value {
			continue
		}
		if err := c.runInternal(deadline, texts.Set(name, value)); err != nil {
			return err
		}
		c.Values[name] = value
	}
	if needs.Shape == nil || c.Prepared[needs.Shape.Text] != "" {
		return nil
	}
	// A name is never reused on a connection, even if preparing under it failed.
	c.Names++
	name := "p" + strconv.Itoa(c.Names)
	if err := c.runInternal(deadline, texts.Prepare(name, needs.Shape.Text)); err != nil {
		return err
	}
	c.Prepared[needs.Shape.Text] = name
	return nil
}

// runInternal runs a statement that the proxy itself issues.
func (c *Conn) runInternal(deadline time.Time, text string) error {
	reply, err := c.Do(deadline, text, "", logpos.Pos{})
	if err != nil {
		return err
	}
	if reply.Err != nil {
		return &stmt.RefusedError{Reply: reply.Err}
	}
	return nil
}
