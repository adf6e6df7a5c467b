// Package wait holds pauses that end with a context.
package wait

import (
	"context"
	"time"
)

// For waits for d and returns false when ctx ends first.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Until waits until t and returns false when ctx ends first.
func Until(ctx context.Context, t time.Time) bool { return For(ctx, time.Until(t)) }
