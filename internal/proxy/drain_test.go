package proxy_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/platform/standin"
)

// TestDrainCutsNoRequest drains a server under load: no caller may see its connection end
// before its first request is answered.
func TestDrainCutsNoRequest(t *testing.T) {
	f := newFixture(t)
	var wg sync.WaitGroup
	cutErrors := make(chan string, 100)
	for range 20 {
		c := f.session("session")
		wg.Go(func() {
			for i := 0; ; i++ {
				if _, err := fmt.Fprintf(c.conn, "QUERY %s FETCH item\r\n", newID()); err != nil {
					return
				}
				answered := false
				for {
					line, err := c.r.ReadString('\n')
					if err != nil {
						if !answered && i == 0 {
							cutErrors <- err.Error()
						}
						return
					}
					answered = true
					if strings.HasPrefix(line, "READY") {
						break
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	assert.Equal(t, f.server.Ready(), true)
	go func() {
		for range 3 {
			time.Sleep(50 * time.Millisecond)
			f.server.Ready()
		}
	}()
	f.server.Drain(ctx, 300*time.Millisecond, func() {})
	assert.Equal(t, f.server.Ready(), false)
	assert.NilError(t, ctx.Err())
	wg.Wait()
	assert.Equal(t, len(cutErrors), 0)
}

// Callers that keep coming to an entry that stops had requests cut: from some time on it refuses
// them, which is true, and then their connections.
func TestStoppingEntryRefusesNewWork(t *testing.T) {
	f := newFixture(t)
	idle, begun, started := f.session("session"), f.session("session"), f.session("session")
	begun.ok("BEGIN")
	started.ok("BEGIN")
	started.ok("STORE item v1")
	ctx, cancel := context.WithTimeout(t.Context(), 1200*time.Millisecond)
	defer cancel()
	refused := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.server.Drain(ctx, 100*time.Millisecond, func() { close(refused) })
	}()
	// A session that is not idle is not ended.
	isRefused := func() bool {
		result, _ := idle.query("FETCH item")
		return strings.HasPrefix(result, "ERROR BUSY")
	}
	assert.Assert(t, standin.WaitFor(900*time.Millisecond, isRefused))
	for _, text := range []string{"BEGIN", "STORE item v2", "FETCH item"} {
		id, result, state := idle.queryID(text)
		assert.Assert(t, strings.HasPrefix(result, "ERROR BUSY"), "%s: %s", text, result)
		assert.Equal(t, state, "I")
		assert.Equal(t, f.group.Ran(id), 0)
	}
	result, _ := begun.query("STORE item v3")
	assert.Assert(t, strings.HasPrefix(result, "ERROR BUSY"), result)
	assert.Assert(t, strings.HasPrefix(f.connect("session").line(), "ERROR BUSY"))
	started.ok("COMMIT")
	<-refused
	<-done
	assert.NilError(t, ctx.Err())
}

// A statement that is not done when its entry ends is answered before: it may have run.
func TestStatementInProgressIsAnsweredBeforeTheEnd(t *testing.T) {
	for name, tc := range map[string]struct {
		before []string
		text   string
		want   string
	}{
		"read":                 {nil, "FETCH item", "ERROR FAILED"},
		"write":                {nil, "STORE item v1", "ERROR INDOUBT"},
		"prepared read":        {[]string{"PREPARE s FETCH q1"}, "EXECUTE s item", "ERROR FAILED"},
		"write in transaction": {[]string{"BEGIN", "STORE item v1"}, "STORE item v2", "ERROR ABORTED"},
		"commit":               {[]string{"BEGIN", "STORE item v1"}, "COMMIT", "ERROR INDOUBT"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			c := f.session("session")
			for _, text := range tc.before {
				c.ok(text)
			}
			for _, n := range f.group.Nodes() {
				n.Set(standin.Faults{Slow: 500 * time.Millisecond})
			}
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			go func() {
				time.Sleep(20 * time.Millisecond)
				f.server.Drain(ctx, 100*time.Millisecond, func() {})
			}()
			started := time.Now()
			result, _ := c.query(tc.text)
			assert.Assert(t, strings.HasPrefix(result, tc.want), result)
			assert.Assert(t, time.Since(started) < 400*time.Millisecond)
		})
	}
}

// TestCutOffEntryIsNotReady makes control and the endpoints of other failure domains
// unreachable. The entry must stop being ready and refuse writes at once.
func TestCutOffEntryIsNotReady(t *testing.T) {
	f := newFixture(t)
	f.setPrimary(1)
	assert.Equal(t, f.group.Promote(f.group.Nodes()[1].ID, 5), 200)
	f.session("session").ok("STORE item v")
	assert.Equal(t, f.server.Ready(), true)
	f.group.Nodes()[1].Set(standin.Faults{Down: true})
	f.group.Nodes()[2].Set(standin.Faults{Down: true})
	f.mu.Lock()
	f.controlLostFor = time.Second
	f.mu.Unlock()
	c := f.session("session")
	isNotReady := func() bool {
		c.query("STORE item v")
		return !f.server.Ready()
	}
	assert.Assert(t, standin.WaitFor(3*time.Second, isNotReady))
	start := time.Now()
	result, _ := c.query("STORE item v")
	assert.Assert(t, strings.HasPrefix(result, "ERROR BUSY"), result)
	assert.Assert(t, time.Since(start) < 100*time.Millisecond)
	// The endpoint in this failure domain may still answer: its data is recent enough.
	f.session("bounded").query("FETCH item")
}
