package pool

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestQueueWaitExceeds(t *testing.T) {
	for _, row := range []struct {
		queue    Queue
		timeLeft time.Duration
		want     bool
	}{
		{Queue{Ahead: 0, Conns: 1, AvgHoldTime: time.Second}, 100 * time.Millisecond, false},
		{Queue{Ahead: 40, Conns: 4, AvgHoldTime: 50 * time.Millisecond}, 500 * time.Millisecond, false},
		{Queue{Ahead: 40, Conns: 4, AvgHoldTime: 50 * time.Millisecond}, 400 * time.Millisecond, true},
		{Queue{Ahead: 40, Conns: 0, AvgHoldTime: 50 * time.Millisecond}, time.Millisecond, false},
		{Queue{Ahead: 40, Conns: 4}, time.Millisecond, false},
	} {
		assert.Equal(t, row.queue.WaitExceeds(row.timeLeft), row.want, "%+v", row)
	}
}

// TestOverloadRefusesEarly sends three times as many statements as the connections can
// serve, each with 400 ms to wait. The connections must stay fully used, and most of the
// other statements must be refused at once rather than at their deadline.
func TestOverloadRefusesEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			connections   = 5
			statementTime = 50 * time.Millisecond
			testTime      = 4 * time.Second
			maxWait       = 400 * time.Millisecond
		)
		p := newPool(&endpoint{limit: 20}, Share{KeepOpen: connections, MaxOpen: connections, IsCarried: true})
		var mu sync.Mutex
		served, atOnce, late := 0, 0, 0
		var wg sync.WaitGroup
		// 100 a second are served by 5 connections.
		for range int(testTime / time.Second * 300) {
			time.Sleep(time.Second / 300)
			wg.Go(func() {
				started := time.Now()
				c, err := p.Get(started.Add(maxWait), 0, anyState)
				if err == nil {
					time.Sleep(statementTime)
					p.Put(c)
				}
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					served++
				case time.Since(started) < maxWait/4:
					atOnce++
				default:
					late++
				}
			})
		}
		wg.Wait()
		capacity := int(testTime/statementTime) * connections
		assert.Assert(t, served >= capacity*95/100, "%d of %d served", served, capacity)
		assert.Assert(t, atOnce >= 2*late, "%d refused at once, %d late", atOnce, late)
	})
}
