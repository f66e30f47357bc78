// Package pause provides a sleep that a context can interrupt. It imports no other
// package of the project.
package pause

import (
	"context"
	"time"
)

// For sleeps for d or until ctx is done, and reports whether all of d elapsed.
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
