package proxy_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/proxy"
	"hemlockmast/internal/shared/stmt"
	"hemlockmast/platform"
	"hemlockmast/platform/standin"
)

// TestSlowReadIsHedged delays the answers of one endpoint. A read sent there must be
// answered in time by another endpoint, and the session must continue with other values
// while the late answer is still outstanding.
func TestSlowReadIsHedged(t *testing.T) {
	for slow := range 3 {
		t.Run(fmt.Sprint("endpoint ", slow), func(t *testing.T) {
			f := newFixture(t)
			c := f.session("bounded")
			c.ok("STORE item v")
			const late = 550 * time.Millisecond
			f.group.Nodes()[slow].Set(standin.Faults{Slow: late})
			// Any endpoint may be asked first. The watermark of the write is still within the
			// staleness limit.
			started := time.Now()
			assert.Assert(t, strings.HasPrefix(c.ok("FETCH item"), "ROW v|"))
			assert.Assert(t, time.Since(started) < late, "%s", time.Since(started))
			c.ok("SET tone other")
		})
	}
}

// TestUnansweredReadIsHedged has replicas that accept statements but never answer.
func TestUnansweredReadIsHedged(t *testing.T) {
	f := newFixture(t)
	c := f.session("bounded")
	c.ok("STORE item v")
	c.ok("FETCH item")
	for _, n := range f.group.Nodes()[1:] {
		n.Set(standin.Faults{Silent: true})
	}
	started := time.Now()
	assert.Assert(t, strings.HasPrefix(c.ok("FETCH item"), "ROW v|"))
	assert.Assert(t, time.Since(started) < 550*time.Millisecond)
}

// panickingCaller panics on the first statement.
type panickingCaller struct{ proxy.Caller }

func (panickingCaller) Next() (stmt.Statement, error) { panic("fault") }

// TestPanicEndsOneSession has one session panic. Other sessions must continue.
func TestPanicEndsOneSession(t *testing.T) {
	f := newFixture(t)
	c := f.session("bounded")
	near, far := net.Pipe()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.server.Serve(panickingCaller{platform.NewCaller(far)})
	}()
	_, err := near.Write([]byte("CONNECT bounded me\r\n"))
	assert.NilError(t, err)
	buf := make([]byte, 64)
	_, err = near.Read(buf)
	assert.NilError(t, err)
	go func() { _, _ = near.Write([]byte("QUERY x FETCH a\r\n")) }()
	<-ended
	c.ok("STORE item v")
}
