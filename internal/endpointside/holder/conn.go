package holder

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"hemlockmast/api/link"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/sockpeek"
	"hemlockmast/internal/wire/pgwire"
)

const (
	// readBufferBytes is the read buffer of one endpoint connection.
	readBufferBytes = 8 << 10
	// maxMessageBytes bounds one message of an endpoint.
	maxMessageBytes = 256 << 20
	// maxPrepared bounds the prepared statements of one endpoint connection.
	maxPrepared = 512
)

// connKey names what a connection is logged in to.
type connKey struct {
	database string
	user     string
}

// conn is one connection to an endpoint. It belongs to one exchange at a time;
// the pool owns it while it is idle.
type conn struct {
	key    connKey
	raw    net.Conn
	br     *pgwire.Reader
	pid    uint32
	secret []byte
	// prepared holds the names of the statements prepared on the connection,
	// each with the number of its last use.
	prepared map[string]uint64
	uses     uint64
	// params are the session parameters set on the connection.
	params map[string]string
	// incarnation is the endpoint's when the connection was made.
	incarnation string
	// lastUsed is when the connection last became idle.
	lastUsed time.Time
	// skipping states that the endpoint skips messages until the next Sync.
	skipping bool
	// broken states that the connection must be closed, never reused.
	broken bool
}

// Dialer connects to an endpoint.
type Dialer interface {
	// Dial logs in at addr. The error may be a *pgconn.PgError.
	Dial(ctx context.Context, addr string, key connKey) (*conn, error)
}

// Credentials returns the password for a user at the endpoints.
type Credentials func(database, user string) (password string)

// PGDialer dials endpoints with the PostgreSQL protocol.
type PGDialer struct {
	// Holder names this daemon and its incarnation to the endpoints.
	Holder string
	// Password looks up credentials; nil means none.
	Password Credentials
	// Timeout bounds one dial.
	Timeout time.Duration
}

// Dial implements Dialer.
func (d *PGDialer) Dial(ctx context.Context, addr string, key connKey) (*conn, error) {
	cfg, err := d.config(addr, key)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	pg, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, err
	}
	hijacked, err := pg.Hijack()
	if err != nil {
		return nil, err
	}
	return &conn{
		key:    key,
		raw:    hijacked.Conn,
		br:     pgwire.NewReader(bufio.NewReaderSize(hijacked.Conn, readBufferBytes), maxMessageBytes),
		pid:    hijacked.PID,
		secret: hijacked.SecretKey,

		incarnation: hijacked.ParameterStatuses[endpoint.ParamIncarnation],
		prepared:    map[string]uint64{},
		lastUsed:    time.Now(),
	}, nil
}

// config returns the login settings for one endpoint.
func (d *PGDialer) config(addr string, key connKey) (*pgconn.Config, error) {
	cfg, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	host, port, err := splitHostPort(addr)
	if err != nil {
		return nil, err
	}
	cfg.Host = host
	cfg.Port = port
	cfg.Database = key.database
	cfg.User = key.user
	cfg.Fallbacks = nil
	cfg.RuntimeParams = map[string]string{endpoint.ParamHolder: d.Holder}
	if d.Password != nil {
		cfg.Password = d.Password(key.database, key.user)
	}
	return cfg, nil
}

// isClosedByPeer reports whether the endpoint has closed the connection, or sent
// something that nobody asked for; either way it must not be used.
func (c *conn) isClosedByPeer() bool {
	return c.br.Buffered() > 0 || sockpeek.HasInputOrEnd(c.raw)
}

// close closes the connection without a farewell; the endpoint rolls back what
// was open.
func (c *conn) close() {
	c.broken = true
	_ = c.raw.Close()
}

// terminate says farewell, unless the connection is broken, and closes.
func (c *conn) terminate() {
	if c.broken {
		_ = c.raw.Close()
		return
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(terminateTimeout))
	_, _ = c.raw.Write(pgwire.AppendEmpty(nil, pgwire.MsgTerminate))
	c.close()
}

// ping sends an empty query and waits for its end. A connection that is open
// but silent fails here although TCP reports no error.
func (c *conn) ping(timeout time.Duration) error {
	if err := c.raw.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	return c.roundTrip("")
}

// ownReply is the reply to a statement of the holder's own.
type ownReply struct {
	// code is the SQLSTATE of the first error, "" without one.
	code string
	// commit is the position of the commit; zero when nothing was written.
	commit logpos.Pos
	// value is the first column of the last row.
	value    string
	txStatus byte
}

// roundTrip runs sql and drops its reply. An ErrorResponse is *EndpointError.
func (c *conn) roundTrip(sql string) error {
	reply, err := c.query(sql)
	if err == nil && reply.code != "" {
		return &EndpointError{Code: reply.code}
	}
	return err
}

// query runs sql. The error is one of the connection; what the endpoint refused
// stands in the reply.
func (c *conn) query(sql string) (ownReply, error) {
	var reply ownReply
	if _, err := c.raw.Write(pgwire.AppendQuery(nil, sql)); err != nil {
		return reply, err
	}
	for {
		f, err := c.br.Next()
		if err != nil {
			return reply, err
		}
		if err := reply.take(f); err != nil {
			return reply, err
		}
		if f.Type() == pgwire.MsgReadyForQuery {
			return reply, nil
		}
	}
}

// take adds one message to the reply.
func (r *ownReply) take(f pgwire.Frame) error {
	switch f.Type() {
	case pgwire.MsgErrorResponse:
		if r.code == "" {
			r.code = pgwire.ErrorCode(f.Body())
		}
	case pgwire.MsgDataRow:
		row := pgproto3.DataRow{}
		if err := row.Decode(f.Body()); err != nil {
			return err
		}
		if len(row.Values) > 0 {
			r.value = string(row.Values[0])
		}
	case pgwire.MsgParameterStatus:
		pos, ok, err := commitPosition(f)
		if err != nil {
			return err
		}
		if ok {
			r.commit = logpos.Max(r.commit, pos)
		}
	case pgwire.MsgReadyForQuery:
		r.txStatus = f.Body()[0]
	}
	return nil
}

// commitPosition returns the position that a ParameterStatus reports; ok is
// false for other parameters.
func commitPosition(f pgwire.Frame) (pos logpos.Pos, ok bool, err error) {
	name, value := pgwire.ParameterStatus(f.Body())
	if name != endpoint.ParamCommit {
		return logpos.Pos{}, false, nil
	}
	pos, err = logpos.Parse(value)
	return pos, err == nil, err
}

// reset removes all session state from an idle connection.
func (c *conn) reset() error {
	if err := c.roundTrip("DISCARD ALL"); err != nil {
		return err
	}
	clear(c.prepared)
	c.params = nil
	return nil
}

// setParams brings the session parameters to those of the caller.
func (c *conn) setParams(params []*link.Param) error {
	want := make(map[string]string, len(params))
	for _, param := range params {
		want[param.Name] = param.Value
	}
	sql := paramsSQL(c.params, want)
	if sql == "" {
		return nil
	}
	c.params = want
	return c.roundTrip(sql)
}

// markPrepared records the use of a prepared statement.
func (c *conn) markPrepared(name string) {
	c.uses++
	c.prepared[name] = c.uses
}

// leastUsed returns the prepared statement whose last use is longest ago.
func (c *conn) leastUsed() string {
	var name string
	oldest := c.uses + 1
	for n, use := range c.prepared {
		if use < oldest {
			name, oldest = n, use
		}
	}
	return name
}
