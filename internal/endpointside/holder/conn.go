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
	// readBufferBytes is the size of the read buffer of an endpoint connection.
	readBufferBytes = 8 << 10
	// maxMessageBytes is the size limit of one message from an endpoint.
	maxMessageBytes = 256 << 20
	// maxPrepared is the limit of prepared statements on one endpoint connection.
	maxPrepared = 512
)

// connKey is the login of a connection. Connections with the same key are
// interchangeable.
type connKey struct {
	database string
	user     string
}

// conn is one connection to an endpoint. The pool owns it while it is idle, and
// one exchange at a time while it is in use.
type conn struct {
	key    connKey
	raw    net.Conn
	reader *pgwire.Reader
	pid    uint32
	secret []byte
	// prepared holds the names of the statements prepared on the connection,
	// each with the value of useCount at its last use.
	prepared map[string]uint64
	// useCount counts the uses of prepared statements.
	useCount uint64
	// params are the session parameters set on the connection.
	params map[string]string
	// incarnation is the endpoint's incarnation when the connection was opened.
	incarnation string
	// lastUsed is when the connection last became idle.
	lastUsed time.Time
	// skipsUntilSync states that the endpoint skips messages until the next Sync.
	skipsUntilSync bool
	// broken states that the connection must be closed and never reused.
	broken bool
}

// Dialer connects to an endpoint.
type Dialer interface {
	// Dial logs in at addr. The error may be a *pgconn.PgError.
	Dial(ctx context.Context, addr string, key connKey) (*conn, error)
}

// Credentials returns the password with which a user logs in at the endpoints.
type Credentials func(database, user string) (password string)

// PGDialer is a Dialer for the PostgreSQL protocol.
type PGDialer struct {
	// Holder names this daemon and its incarnation; see endpoint.ParamHolder.
	Holder string
	// Password looks up passwords; nil means that logins use none.
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
		reader: pgwire.NewReader(bufio.NewReaderSize(hijacked.Conn, readBufferBytes), maxMessageBytes),
		pid:    hijacked.PID,
		secret: hijacked.SecretKey,

		incarnation: hijacked.ParameterStatuses[endpoint.ParamIncarnation],
		prepared:    map[string]uint64{},
		lastUsed:    time.Now(),
	}, nil
}

// config returns the connection settings for one endpoint.
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

// isUnusable reports whether the endpoint has closed the idle connection or
// sent an unsolicited message. In either case the connection must not be used.
func (c *conn) isUnusable() bool {
	return c.reader.Buffered() > 0 || sockpeek.HasInputOrEnd(c.raw)
}

// close closes the connection without a Terminate message. The endpoint rolls
// back an open transaction.
func (c *conn) close() {
	c.broken = true
	_ = c.raw.Close()
}

// terminate sends Terminate, unless the connection is broken, and closes it.
func (c *conn) terminate() {
	if c.broken {
		_ = c.raw.Close()
		return
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(terminateTimeout))
	_, _ = c.raw.Write(pgwire.AppendEmptyMessage(nil, pgwire.MsgTerminate))
	c.close()
}

// ping sends an empty query and waits for the complete reply. It fails on a
// connection that no longer answers even if TCP reports no error.
func (c *conn) ping(timeout time.Duration) error {
	if err := c.raw.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	return c.roundTrip("")
}

// internalReply is the reply to a statement that the holder sent on its own
// behalf.
type internalReply struct {
	// code is the SQLSTATE of the first error, "" if there was none.
	code string
	// commit is the position of the commit, zero if nothing was written.
	commit logpos.Pos
	// value is the first column of the last row.
	value    string
	txStatus byte
}

// roundTrip runs sql and discards the reply. An ErrorResponse is returned as an
// *EndpointError.
func (c *conn) roundTrip(sql string) error {
	reply, err := c.query(sql)
	if err == nil && reply.code != "" {
		return &EndpointError{Code: reply.code}
	}
	return err
}

// query runs sql. The error reports a failure of the connection; an error from
// the endpoint is in the reply.
func (c *conn) query(sql string) (internalReply, error) {
	var reply internalReply
	if _, err := c.raw.Write(pgwire.AppendQuery(nil, sql)); err != nil {
		return reply, err
	}
	for {
		f, err := c.reader.Next()
		if err != nil {
			return reply, err
		}
		if err := reply.add(f); err != nil {
			return reply, err
		}
		if f.Type() == pgwire.MsgReadyForQuery {
			return reply, nil
		}
	}
}

// add adds one message to the reply.
func (r *internalReply) add(f pgwire.Frame) error {
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

// commitPosition returns the commit position that a ParameterStatus reports; ok
// is false for other parameters.
func commitPosition(f pgwire.Frame) (pos logpos.Pos, ok bool, err error) {
	name, value := pgwire.ParameterStatus(f.Body())
	if name != endpoint.ParamCommit {
		return logpos.Pos{}, false, nil
	}
	pos, err = logpos.Parse(value)
	return pos, err == nil, err
}

// reset discards all session state of a connection outside a transaction.
func (c *conn) reset() error {
	if err := c.roundTrip("DISCARD ALL"); err != nil {
		return err
	}
	clear(c.prepared)
	c.params = nil
	return nil
}

// setParams sets the session parameters of the connection to those of the
// caller.
func (c *conn) setParams(params []*link.Param) error {
	wanted := make(map[string]string, len(params))
	for _, param := range params {
		wanted[param.Name] = param.Value
	}
	sql := paramsSQL(c.params, wanted)
	if sql == "" {
		return nil
	}
	c.params = wanted
	return c.roundTrip(sql)
}

// markPrepared records that the statement is prepared and was just used.
func (c *conn) markPrepared(name string) {
	c.useCount++
	c.prepared[name] = c.useCount
}

// leastRecentlyUsed returns the name of the prepared statement that was not
// used for the longest time.
func (c *conn) leastRecentlyUsed() string {
	var name string
	oldest := c.useCount + 1
	for n, use := range c.prepared {
		if use < oldest {
			name, oldest = n, use
		}
	}
	return name
}
