// Package contracttest checks that an endpoint implements
// docs/endpoint-contract.md. The tests of an implementation call Run.
package contracttest

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/endpoint/pgcontrol"
	"hemlockmast/internal/shared/logpos"
)

const (
	// caseDeadline bounds the duration of one case. No check depends on it.
	caseDeadline = 30 * time.Second
	// waitTimeout is the timeout of each Wait command.
	waitTimeout = 100 * time.Millisecond
	// database is the name of a database that every endpoint under test must
	// accept.
	database = "db"
	// connLimit is the connection limit that every endpoint must have.
	connLimit = 8
)

// Endpoint is one endpoint under test.
type Endpoint interface {
	// Addr returns the address of the endpoint. Restarts do not change it.
	Addr() string
	// Kill stops the endpoint as a crash would.
	Kill()
	// Restart starts a killed endpoint with its previous disk.
	Restart() error
	// RestartEmpty starts a killed endpoint with an empty disk.
	RestartEmpty() error
	// PauseReplication stops the receipt of log records if on is set, and resumes
	// it otherwise.
	PauseReplication(on bool)
	// PauseApply stops the application of synced records, which makes them visible
	// to reads, if on is set, and resumes it otherwise.
	PauseApply(on bool)
}

// Factory starts an endpoint of the group "g" with an empty disk and a limit of
// 8 connections. The endpoint must be stopped at the end of the test.
type Factory func(t *testing.T, slot string) Endpoint

// group is a group of three endpoints under test.
type group struct {
	t         *testing.T
	ctx       context.Context
	endpoints []Endpoint
}

func newGroup(t *testing.T, factory Factory) *group {
	ctx, cancel := context.WithTimeout(context.Background(), caseDeadline)
	t.Cleanup(cancel)
	g := &group{t: t, ctx: ctx}
	for i := range 3 {
		g.endpoints = append(g.endpoints, factory(t, fmt.Sprintf("s%d", i)))
	}
	return g
}

// control opens a contract connection to an endpoint until the end of the test.
func (g *group) control(i int) *pgcontrol.Controller {
	g.t.Helper()
	c, err := pgcontrol.Dial(g.ctx, pgcontrol.Options{Addr: g.endpoints[i].Addr(), Database: database, Holder: "test"})
	assert.NilError(g.t, err)
	g.t.Cleanup(func() { c.Close() })
	return c
}

func (g *group) status(i int) endpoint.Status {
	g.t.Helper()
	c := g.control(i)
	defer c.Close()
	st, err := c.Status(g.ctx)
	assert.NilError(g.t, err)
	return st
}

func (g *group) fence(i int, term uint64, promoter string) error {
	c := g.control(i)
	defer c.Close()
	_, err := c.Fence(g.ctx, term, promoter)
	return err
}

func (g *group) promote(i int, term uint64, promoter string) error {
	c := g.control(i)
	defer c.Close()
	_, err := c.Promote(g.ctx, term, promoter)
	return err
}

func (g *group) follow(i int, term uint64, primary int) error {
	c := g.control(i)
	defer c.Close()
	_, err := c.Follow(g.ctx, term, g.endpoints[primary].Addr())
	return err
}

// elect makes one endpoint the primary of term: it fences all given endpoints,
// promotes primary and makes the others follow it.
func (g *group) elect(term uint64, primary int, others ...int) {
	g.t.Helper()
	for _, i := range append([]int{primary}, others...) {
		assert.NilError(g.t, g.fence(i, term, "p"))
	}
	assert.NilError(g.t, g.promote(primary, term, "p"))
	for _, i := range others {
		assert.NilError(g.t, g.follow(i, term, primary))
	}
}

// await waits until ok is true for the endpoint's status. condition describes ok
// in the failure message.
func (g *group) await(i int, condition string, ok func(endpoint.Status) bool) endpoint.Status {
	g.t.Helper()
	c := g.control(i)
	defer c.Close()
	st, err := c.Status(g.ctx)
	for err == nil && !ok(st) {
		st, err = c.Wait(g.ctx, st, waitTimeout)
	}
	assert.NilError(g.t, err, "%s of endpoint %d: %+v", condition, i, st)
	return st
}

// awaitApplied waits until the endpoint has applied exactly position p.
func (g *group) awaitApplied(i int, p logpos.Pos) {
	g.t.Helper()
	g.await(i, "applied "+p.String(), func(s endpoint.Status) bool { return s.Applied == p })
}

func (g *group) connect(i int) *pgx.Conn {
	g.t.Helper()
	c, err := g.tryConnect(i)
	assert.NilError(g.t, err)
	g.t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func (g *group) tryConnect(i int) (*pgx.Conn, error) {
	url := "postgres://app@" + g.endpoints[i].Addr() + "/" + database + "?sslmode=disable&" + endpoint.ParamHolder + "=h" + fmt.Sprint(i)
	return pgx.Connect(g.ctx, url)
}

// exec runs one statement on a new connection. It returns the SQLSTATE of the
// error, empty on success, and the commit position that the endpoint reported.
func (g *group) exec(i int, text string) (code string, pos logpos.Pos) {
	g.t.Helper()
	c := g.connect(i)
	defer c.Close(g.ctx)
	_, err := c.Exec(g.ctx, text)
	if err != nil {
		return sqlState(err), pos
	}
	if v := c.PgConn().ParameterStatus(endpoint.ParamCommit); v != "" {
		pos, err = logpos.Parse(v)
		assert.NilError(g.t, err)
	}
	return "", pos
}

// write runs a statement that must succeed and report a commit position.
func (g *group) write(i int, text string) logpos.Pos {
	g.t.Helper()
	code, pos := g.exec(i, text)
	assert.Equal(g.t, code, "", text)
	assert.Assert(g.t, !pos.IsZero(), text)
	return pos
}

// count returns the number of rows of table t at the endpoint.
func (g *group) count(i int) int {
	g.t.Helper()
	c := g.connect(i)
	defer c.Close(g.ctx)
	var n int
	assert.NilError(g.t, c.QueryRow(g.ctx, "SELECT count(*) FROM t").Scan(&n))
	return n
}

// sqlState returns the SQLSTATE of err, empty for nil, or the text of an err
// without one.
func sqlState(err error) string {
	var pg *pgconn.PgError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &pg):
		return pg.Code
	}
	return err.Error()
}

// requireFencedError fails the test unless err is an *endpoint.FencedError.
func (g *group) requireFencedError(err error) *endpoint.FencedError {
	g.t.Helper()
	var f *endpoint.FencedError
	assert.Assert(g.t, errors.As(err, &f), "%v", err)
	return f
}

// Run runs every case of the contract with new endpoints from factory.
func Run(t *testing.T, factory Factory) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(newGroup(t, factory)) })
	}
}
