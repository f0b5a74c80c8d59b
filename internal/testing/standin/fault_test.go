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

// noAnswerTimeout is the time for which a test waits for an answer that must not
// come.
const noAnswerTimeout = 200 * time.Millisecond

// answerContext returns the context in which to wait for an answer. The timeout
// of an expected answer is that of the whole test, so that the result does not
// depend on the load of the machine.
func answerContext(t *testing.T, expected bool) (context.Context, context.CancelFunc) {
	if expected {
		return testContext(t), func() {}
	}
	return context.WithTimeout(testContext(t), noAnswerTimeout)
}

// tryExec sends a statement and reports whether it was answered. If it was not,
// the connection cannot be used any more.
func tryExec(t *testing.T, c *pgx.Conn, text string, expected bool) bool {
	ctx, cancel := answerContext(t, expected)
	defer cancel()
	_, err := c.Exec(ctx, text)
	return err == nil
}

// tryConnect reports whether a new connection works.
func tryConnect(t *testing.T, e *standin.Endpoint, params string, expected bool) bool {
	ctx, cancel := answerContext(t, expected)
	defer cancel()
	c, err := pgx.Connect(ctx, url(e, params))
	if err != nil {
		return false
	}
	return c.Close(ctx) == nil
}

// TestFaults injects one fault at a time and checks which connections are
// answered and whether the statement is executed.
func TestFaults(t *testing.T) {
	const insert = "INSERT INTO t VALUES (1)"
	for _, row := range []struct {
		name      string
		inject    func(*standin.Endpoint)
		answered  bool // the statement is answered on a connection opened before the fault
		newConn   bool // a new connection of the same peer works
		otherPeer bool // a new connection of another peer works
		executed  bool // the statement takes effect, as seen after repair
		repair    func(*standin.Endpoint)
	}{
		{name: "none", inject: func(*standin.Endpoint) {}, answered: true, newConn: true, otherPeer: true, executed: true},
		{name: "kill", inject: (*standin.Endpoint).Kill, repair: func(e *standin.Endpoint) { e.Restart() }},
		{name: "freeze", inject: (*standin.Endpoint).Freeze, repair: (*standin.Endpoint).Thaw, executed: true},
		{name: "silent connections", inject: (*standin.Endpoint).SilenceConnections, newConn: true, otherPeer: true},
		{name: "cut", inject: func(e *standin.Endpoint) { e.Cut("h1", standin.Both) }, otherPeer: true, repair: (*standin.Endpoint).Heal},
		{name: "cut all", inject: func(e *standin.Endpoint) { e.Cut(standin.AnyPeer, standin.Both) }, repair: (*standin.Endpoint).Heal},
		{name: "requests lost", inject: func(e *standin.Endpoint) { e.Cut("h1", standin.In) }, otherPeer: true},
		{name: "answers lost", inject: func(e *standin.Endpoint) { e.Cut("h1", standin.Out) }, otherPeer: true, executed: true, repair: (*standin.Endpoint).Heal},
		{name: "late", inject: func(e *standin.Endpoint) { e.DelayAnswers(2 * noAnswerTimeout) }, newConn: true, otherPeer: true, executed: true,
			repair: func(e *standin.Endpoint) { e.DelayAnswers(0) }},
	} {
		t.Run(row.name, func(t *testing.T) {
			e := start(t, standin.Config{Primary: true})
			c := connect(t, e, "&hemlock.holder=h1")
			exec(t, c, "CREATE TABLE t (k int PRIMARY KEY)")
			row.inject(e)
			assert.Equal(t, tryExec(t, c, insert, row.answered), row.answered)
			assert.Equal(t, tryConnect(t, e, "&hemlock.holder=h1", row.newConn), row.newConn)
			assert.Equal(t, tryConnect(t, e, "&hemlock.holder=h2", row.otherPeer), row.otherPeer)
			if row.repair != nil {
				row.repair(e)
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
	e.DuplicateAnswers(1)
	var got string
	assert.NilError(t, c.QueryRow(testContext(t), "SELECT 'first'").Scan(&got))
	assert.NilError(t, c.QueryRow(testContext(t), "SELECT 'second'").Scan(&got))
	assert.Equal(t, got, "first")
}

func TestSilentConnectionLeavesItsPlaceWhenClosed(t *testing.T) {
	e := start(t, standin.Config{Primary: true, ConnLimit: 1})
	c := connect(t, e, "")
	e.SilenceConnections()
	assert.Assert(t, !tryExec(t, c, "SELECT 1", false))
	assert.NilError(t, c.PgConn().Conn().Close())
	for e.Status().ConnsInUse > 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, tryConnect(t, e, "", true))
}

// TestDeadClientLeavesItsPlace closes a client's connection while its statement
// waits. The connection must no longer count towards the limit.
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

func TestFaultCommands(t *testing.T) {
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

// TestInvalidStartupIsRejected sends bytes that are no start-up message.
func TestInvalidStartupIsRejected(t *testing.T) {
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
	assert.Assert(t, tryConnect(t, e, "", true))
}
