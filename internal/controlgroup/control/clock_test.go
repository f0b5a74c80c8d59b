package control

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// groupClock ticks for all members of a group in lockstep: no member receives a
// tick before all have received the previous one. A member that is stalled by its
// disk or processor also stops the clock of the others, so that a busy machine
// causes no elections.
type groupClock struct {
	// mu guards the fields below.
	mu      sync.Mutex
	members map[chan time.Time]chan struct{}
	running bool
}

// join adds a member. leave must be called once, even if the member has stopped
// receiving ticks.
func (c *groupClock) join(tick time.Duration) (ticks <-chan time.Time, leave func()) {
	own, left := make(chan time.Time), make(chan struct{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members == nil {
		c.members = make(map[chan time.Time]chan struct{})
	}
	c.members[own] = left
	if !c.running {
		c.running = true
		go c.run(tick)
	}
	return own, func() {
		close(left)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.members, own)
	}
}

// run ticks until there are no members.
func (c *groupClock) run(tick time.Duration) {
	for {
		time.Sleep(tick)
		c.mu.Lock()
		members := make(map[chan time.Time]chan struct{}, len(c.members))
		for own, left := range c.members {
			members[own] = left
		}
		c.running = len(members) > 0
		c.mu.Unlock()
		if len(members) == 0 {
			return
		}
		for own, left := range members {
			select {
			case own <- time.Now():
			case <-left:
			}
		}
	}
}

// TestStalledMemberStopsTheClock checks that a member receives no further ticks
// while another one has not received its own.
func TestStalledMemberStopsTheClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c groupClock
		quick, leaveQuick := c.join(testTick)
		slow, leaveSlow := c.join(testTick)
		taken := 0
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range quick {
				taken++
				if taken == 3 {
					return
				}
			}
		}()
		time.Sleep(100 * testTick)
		synctest.Wait()
		assert.Assert(t, taken <= 1)
		<-slow
		<-slow
		leaveSlow()
		<-done
		leaveQuick()
		time.Sleep(2 * testTick) // the clock's goroutine ends

	})
}
