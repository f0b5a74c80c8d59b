// Package pgcontrol implements endpoint.Controller over a PostgreSQL connection.
// It sends the commands of the endpoint contract as simple queries.
package pgcontrol

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/endpoint/wire"
)

// controlUser is the user name of a contract connection: one that carries the
// commands of the endpoint contract.
const controlUser = "hemlock"

// Options specifies how to connect to an endpoint. Addr is required.
type Options struct {
	// Addr is the endpoint's address, host:port.
	Addr string
	// Database is the name of a database that exists at the endpoint.
	Database string
	// Holder names the holder and its incarnation; see endpoint.ParamHolder.
	Holder string
	// Dial opens the connection; nil means TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Controller implements endpoint.Controller and endpoint.ActivityReader over one
// connection, which counts towards the endpoint's connection limit. It closes
// the connection after any error other than an *endpoint.FencedError.
type Controller struct{ conn *pgconn.PgConn }

var (
	_ endpoint.Controller     = (*Controller)(nil)
	_ endpoint.ActivityReader = (*Controller)(nil)
)

// ConnectError reports that no contract connection could be opened. Code is the
// endpoint's SQLSTATE, empty if it sent none.
type ConnectError struct {
	Addr string
	Code string
	Err  error
}

func (e *ConnectError) Error() string {
	return "contract connection to " + e.Addr + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }

// CommandError reports a command that failed or got no valid answer. Code is the
// endpoint's SQLSTATE, empty if it sent none. If Code is set, the command had no
// effect; otherwise its outcome is unknown.
type CommandError struct {
	Command string
	Code    string
	Err     error
}

func (e *CommandError) Error() string { return e.Command + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CommandError) Unwrap() error { return e.Err }

// Dial opens a contract connection. The error is a *ConnectError.
func Dial(ctx context.Context, opts Options) (*Controller, error) {
	host, port, err := net.SplitHostPort(opts.Addr)
	if err != nil {
		return nil, &ConnectError{Addr: opts.Addr, Err: err}
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, &ConnectError{Addr: opts.Addr, Err: err}
	}
	cfg, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, &ConnectError{Addr: opts.Addr, Err: err}
	}
	cfg.Host, cfg.Port, cfg.User, cfg.Database = host, uint16(number), controlUser, opts.Database
	cfg.Password, cfg.Fallbacks = "", nil
	cfg.RuntimeParams = map[string]string{endpoint.ParamHolder: opts.Holder}
	if opts.Dial != nil {
		cfg.DialFunc = opts.Dial
	}
	conn, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, &ConnectError{Addr: opts.Addr, Code: sqlState(err), Err: err}
	}
	return &Controller{conn: conn}, nil
}

// sqlState returns the SQLSTATE of err, empty if it has none.
func sqlState(err error) string {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Code
	}
	return ""
}

// Status implements endpoint.Controller. The error of this and every other
// command is an *endpoint.FencedError, a *CommandError or a context error.
func (c *Controller) Status(ctx context.Context) (endpoint.Status, error) {
	return c.command(ctx, wire.StatusCommand())
}

// Wait implements endpoint.Controller.
func (c *Controller) Wait(ctx context.Context, seen endpoint.Status, timeout time.Duration) (endpoint.Status, error) {
	return c.command(ctx, wire.WaitCommand(seen, timeout))
}

// Fence implements endpoint.Controller.
func (c *Controller) Fence(ctx context.Context, term uint64, promoter string) (endpoint.Status, error) {
	return c.command(ctx, wire.FenceCommand(term, promoter))
}

// Promote implements endpoint.Controller.
func (c *Controller) Promote(ctx context.Context, term uint64, promoter string) (endpoint.Status, error) {
	return c.command(ctx, wire.PromoteCommand(term, promoter))
}

// Follow implements endpoint.Controller.
func (c *Controller) Follow(ctx context.Context, term uint64, addr string) (endpoint.Status, error) {
	return c.command(ctx, wire.FollowCommand(term, addr))
}

// Close implements endpoint.Controller. It closes the socket directly, because
// pgconn keeps it open for seconds after a timeout to wait for an endpoint that
// may never answer, and the endpoint would continue to count the connection.
func (c *Controller) Close() error { return c.conn.Conn().Close() }

// HolderConns is the number of connections of one holder at an endpoint.
type HolderConns struct {
	Holder string
	Conns  int
}

// Holders returns the number of connections of each holder, sorted by name.
// Holders without connections are omitted. The errors are those of Status.
func (c *Controller) Holders(ctx context.Context) ([]HolderConns, error) {
	command := wire.HoldersCommand()
	rows, err := c.rows(ctx, command)
	if err != nil {
		return nil, err
	}
	var out []HolderConns
	for _, row := range rows {
		if len(row) != len(wire.HolderColumns) {
			return nil, c.malformedAnswer(command, &wire.MalformedError{What: "number of columns", Text: strconv.Itoa(len(row))})
		}
		n, err := strconv.Atoi(row[1])
		if err != nil || n < 1 {
			return nil, c.malformedAnswer(command, &wire.MalformedError{What: "connections", Text: row[1]})
		}
		out = append(out, HolderConns{Holder: row[0], Conns: n})
	}
	return out, nil
}

// Active implements endpoint.ActivityReader.
func (c *Controller) Active(ctx context.Context, pid uint32) (bool, error) {
	command := wire.ActiveCommand(pid)
	rows, err := c.rows(ctx, command)
	if err != nil {
		return false, err
	}
	if len(rows) != 1 || len(rows[0]) != len(wire.ActiveColumns) {
		return false, c.malformedAnswer(command, &wire.MalformedError{What: "number of rows", Text: strconv.Itoa(len(rows))})
	}
	return rows[0][0] == "t", nil
}

// command runs a command that answers with one status row.
func (c *Controller) command(ctx context.Context, command string) (endpoint.Status, error) {
	rows, err := c.rows(ctx, command)
	if err != nil {
		return endpoint.Status{}, err
	}
	if len(rows) != 1 {
		return endpoint.Status{}, c.malformedAnswer(command, &wire.MalformedError{What: "number of rows", Text: strconv.Itoa(len(rows))})
	}
	st, err := wire.DecodeStatus(rows[0])
	if err != nil {
		return endpoint.Status{}, c.malformedAnswer(command, err)
	}
	return st, nil
}

// malformedAnswer returns the error for an invalid answer and closes the
// connection, because later messages on it cannot be trusted.
func (c *Controller) malformedAnswer(command string, err error) error {
	c.Close()
	return &CommandError{Command: command, Err: err}
}

// rows runs one command and returns the rows of its answer.
func (c *Controller) rows(ctx context.Context, command string) ([][]string, error) {
	results, err := c.conn.Exec(ctx, command).ReadAll()
	if err != nil {
		return nil, c.commandFailed(ctx, command, err)
	}
	if len(results) != 1 {
		return nil, c.malformedAnswer(command, &wire.MalformedError{What: "number of results", Text: strconv.Itoa(len(results))})
	}
	var out [][]string
	for _, raw := range results[0].Rows {
		row := make([]string, len(raw))
		for i, v := range raw {
			row[i] = string(v)
		}
		out = append(out, row)
	}
	return out, nil
}

// commandFailed converts an error of the PostgreSQL connection. It closes the
// connection unless the endpoint refused the command's term.
func (c *Controller) commandFailed(ctx context.Context, command string, err error) error {
	var pg *pgconn.PgError
	if errors.As(err, &pg) && pg.Code == endpoint.CodeFenced {
		fenced, err := wire.DecodeFenced(pg.Detail)
		if err != nil {
			return c.malformedAnswer(command, err)
		}
		return fenced
	}
	c.Close()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return &CommandError{Command: command, Code: sqlState(err), Err: err}
}
