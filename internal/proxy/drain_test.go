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
	f.server.Drain(ctx, 300*time.Millisecond)
	assert.Equal(t, f.server.Ready(), false)
	assert.NilError(t, ctx.Err())
	wg.Wait()
	assert.Equal(t, len(cutErrors), 0)
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
