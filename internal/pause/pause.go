// Package pause lets a goroutine wait for a time that a context may cut short. It
// imports nothing of the project.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends, and tells whether the whole time passed.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
