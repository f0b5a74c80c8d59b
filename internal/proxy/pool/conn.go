package pool

import (
	"time"

	"hemlockmast/internal/shared/stmt"
)

// Conn is a connection with the session state in force on it.
type Conn struct {
	stmt.Conn
	// Workspace is the workspace that the connection was opened for.
	Workspace string
	// Values are the session values that were set on the connection.
	Values map[string]string
	// Prepared maps the text of a prepared statement to its name on the connection.
	Prepared map[string]string
	// Names counts the names used for prepared statements, those that failed included.
	Names int
	// idleSince is when the connection was last returned, acquiredAt when Get last returned
	// it.
	idleSince  time.Time
	acquiredAt time.Time
	// isAnyState is set while the connection is used by a statement with Needs.AnyState.
	isAnyState bool
	// pool is the pool that the connection belongs to; nil for a borrowed one.
	pool *Pool
	// isRunning is set while the connection counts as running a statement: from Get to Put,
	// except between the statements of a transaction. runningSince is when that began, and
	// ranFor the time spent so since Get. Only the connection's user reads and writes them.
	isRunning    bool
	runningSince time.Time
	ranFor       time.Duration
	// atEndpoint is the time since Get in which the endpoint had a statement.
	atEndpoint time.Duration
}

// NewConn returns a Conn without session values or prepared statements.
func NewConn(raw stmt.Conn) *Conn {
	return &Conn{Conn: raw, Values: make(map[string]string), Prepared: make(map[string]string), idleSince: time.Now()}
}
