package standin_test

import (
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"hemlockmast/internal/testing/standin"
)

// silence is how long a test listens for an answer that must not come.
const silence = 200 * time.Millisecond

// patience is how long to wait for what must or must not come: an answer that is
// expected has as long as the test, so that a busy machine changes no verdict.
func patience(t *testing.T, expected bool) (context.Context, context.CancelFunc) {
	if expected {
		return testContext(t), func() {}
	}
	return context.WithTimeout(testContext(t), silence)
}

// ask sends a write and reports whether it was answered; the connection is
// useless afterwards if it was not.
func ask(t *testing.T, c *pgx.Conn, text string, expected bool) bool {
	ctx, cancel := patience(t, expected)
	defer cancel()
	_, err := c.Exec(ctx, text)
	return err == nil
}

func tryNew(t *testing.T, e *standin.Endpoint, params string, expected bool) bool {
	ctx, cancel := patience(t, expected)
	defer cancel()
	c, err := pgx.Connect(ctx, url(e, params))
	if err != nil {
		return false
	}
	return c.Close(ctx) == nil
}

func TestFaults(t *testing.T) {
	const insert = "INSERT INTO t VALUES (1)"
	for _, row := range []struct {
		name     string
		strike   func(*standin.Endpoint)
		answered bool // on the connection from before
		fresh    bool // a new connection works
		other    bool // a new connection of another peer works
		executed bool // the statement took effect, seen after mend
		mend     func(*standin.Endpoint)
	}{
		{name: "none", strike: func(*standin.Endpoint) {}, answered: true, fresh: true, other: true, executed: true},
		{name: "kill", strike: (*standin.Endpoint).Kill, mend: func(e *standin.Endpoint) { e.Restart() }},
		{name: "freeze", strike: (*standin.Endpoint).Freeze, mend: (*standin.Endpoint).Thaw, executed: true},
		{name: "silent connections", strike: (*standin.Endpoint).SilenceConnections, fresh: true, other: true},
		{name: "cut", strike: func(e *standin.Endpoint) { e.Cut("h1", standin.Both) }, other: true, mend: (*standin.Endpoint).Heal},
		{name: "cut all", strike: func(e *standin.Endpoint) { e.Cut(standin.AnyPeer, standin.Both) }, mend: (*standin.Endpoint).Heal},
		{name: "requests lost", strike: func(e *standin.Endpoint) { e.Cut("h1", standin.In) }, other: true},
		{name: "answers lost", strike: func(e *standin.Endpoint) { e.Cut("h1", standin.Out) }, other: true, executed: true, mend: (*standin.Endpoint).Heal},
		{name: "late", strike: func(e *standin.Endpoint) { e.Late(2 * silence) }, fresh: true, other: true, executed: true,
			mend: func(e *standin.Endpoint) { e.Late(0) }},
	} {
		t.Run(row.name, func(t *testing.T) {
			e := start(t, standin.Config{Primary: true})
			c := connect(t, e, "&hemlock.holder=h1")
			exec(t, c, "CREATE TABLE t (k int PRIMARY KEY)")
			row.strike(e)
			assert.Equal(t, ask(t, c, insert, row.answered), row.answered)
			assert.Equal(t, tryNew(t, e, "&hemlock.holder=h1", row.fresh), row.fresh)
			assert.Equal(t, tryNew(t, e, "&hemlock.holder=h2", row.other), row.other)
			if row.mend != nil {
				row.mend(e)
			}
			want := 0
			if row.executed {
				want = 1
			}
			after := connect(t, e, "&hemlock.holder=h2")
			n := -1
			for n != want {
				assert.NilError(t, after.QueryRow(testContext(t), "SELECT count(*) FROM t").Scan(&n))
				assert.Assert(t, n <= want)
			}
		})
	}
}

func TestCrossedAnswerReachesTheNextRequest(t *testing.T) {
	e := start(t, standin.Config{Primary: true})
	c := connect(t, e, "&default_query_exec_mode=simple_protocol")
	e.Cross(1)
	var got string
	assert.NilError(t, c.QueryRow(testContext(t), "SELECT 'first'").Scan(&got))
	assert.NilError(t, c.QueryRow(testContext(t), "SELECT 'second'").Scan(&got))
	assert.Equal(t, got, "first")
}

func TestSilentConnectionLeavesItsPlaceWhenClosed(t *testing.T) {
	e := start(t, standin.Config{Primary: true, ConnLimit: 1})
	c := connect(t, e, "")
	e.SilenceConnections()
	assert.Assert(t, !ask(t, c, "SELECT 1", false))
	assert.NilError(t, c.PgConn().Conn().Close())
	for e.Status().ConnsInUse > 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, tryNew(t, e, "", true))
}

// TestDeadClientLeavesItsPlace cuts a client while its statement waits.
func TestDeadClientLeavesItsPlace(t *testing.T) {
	for _, text := range []string{"SELECT pg_sleep(3600)", "UPDATE t SET k = 2", "HEMLOCK WAIT 1/3 1/3 primary 1 3600000"} {
		e := start(t, standin.Config{Primary: true})
		c := connect(t, e, "")
		exec(t, c, "CREATE TABLE t (k int PRIMARY KEY)")
		exec(t, c, "INSERT INTO t VALUES (1)")
		exec(t, c, "BEGIN")
		exec(t, c, "UPDATE t SET k = 1")
		dead := connect(t, e, "")
		dead.PgConn().Frontend().SendQuery(&pgproto3.Query{String: text})
		assert.NilError(t, dead.PgConn().Frontend().Flush())
		assert.NilError(t, dead.PgConn().Conn().Close())
		for e.Status().ConnsInUse > 1 {
			time.Sleep(time.Millisecond)
		}
		exec(t, c, "COMMIT")
	}
}

func TestFaultsByStatement(t *testing.T) {
	e := start(t, standin.Config{Primary: true})
	for _, row := range []struct {
		text string
		code string
	}{
		{"HEMLOCK FAULT LAG 20 30", ""},
		{"HEMLOCK FAULT LATE 0", ""},
		{"HEMLOCK FAULT PAUSE on off", ""},
		{"HEMLOCK FAULT CUT h9 in", ""},
		{"HEMLOCK FAULT CUT h9 up", "42601"},
		{"HEMLOCK FAULT HEAL", ""},
		{"HEMLOCK FAULT QUAKE", "42601"},
		{"HEMLOCK FAULT", "42601"},
		{"HEMLOCK DANCE", "42601"},
		{"HEMLOCK WAIT 1/1 1/1 king 0 5", "42601"},
		{"HEMLOCK WAIT 1/1 1/1 primary 0 99999999999999999999", "42601"},
		{"HEMLOCK FENCE x 'p'", "42601"},
		{"HEMLOCK FENCE 1", "42601"},
		{"HEMLOCK REPLICATE", "42601"},
		{"HEMLOCK REPLICATE 1 x", "42601"},
		{"HEMLOCK REPLICATE 7 1/1", "HM001"},
	} {
		c := connect(t, e, "")
		_, err := c.Exec(testContext(t), row.text, pgx.QueryExecModeSimpleProtocol)
		assert.Equal(t, code(err), row.code, "%s: %v", row.text, err)
	}
	before := e.Status()
	c := connect(t, e, "")
	exec(t, c, "HEMLOCK FAULT EMPTY", pgx.QueryExecModeSimpleProtocol)
	for e.Status().Incarnation == before.Incarnation {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, e.Status().Synced.IsZero())
}

// TestDamagedStartIsRefused sends what is no start of the protocol.
func TestDamagedStartIsRefused(t *testing.T) {
	e := start(t, standin.Config{Primary: true})
	for _, raw := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x04", "\x7f\xff\xff\xff\x00\x03\x00\x00"} {
		c, err := net.Dial("tcp", e.Addr())
		assert.NilError(t, err)
		_, err = c.Write([]byte(raw))
		assert.NilError(t, err)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(testDeadline)))
		_, err = c.Read(make([]byte, 1))
		assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%q", raw)
		c.Close()
	}
	assert.Assert(t, tryNew(t, e, "", true))
}
