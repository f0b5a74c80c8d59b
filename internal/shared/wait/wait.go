// Package wait provides a sleep that a context can interrupt.
package wait

import (
	"context"
	"time"
)

// For sleeps until d has passed or ctx ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
