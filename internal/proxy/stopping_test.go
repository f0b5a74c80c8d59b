package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A request was taken that could not end before its daemon did.
func TestLastStartLeavesTimeForTheStatement(t *testing.T) {
	now := time.Now()
	plan := newStopPlan(now, now.Add(5500*time.Millisecond), 3*time.Second)
	for timeout, want := range map[time.Duration]time.Duration{
		0:                       4 * time.Second,
		800 * time.Millisecond:  4 * time.Second,
		2 * time.Second:         3500 * time.Millisecond,
		2500 * time.Millisecond: 3 * time.Second,
		8 * time.Second:         3 * time.Second,
	} {
		assert.Equal(t, plan.lastStart(timeout).Sub(now), want, "timeout %s", timeout)
	}
	assert.Equal(t, newStopPlan(now, time.Time{}, 3*time.Second).lastStart(8*time.Second).Sub(now), 4*time.Second, "no end known")
}
