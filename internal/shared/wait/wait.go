// Package wait sleeps for as long as a context lasts.
package wait

import (
	"context"
	"time"
)

// For sleeps for d, or until ctx ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
