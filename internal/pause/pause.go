// Package pause provides a sleep that a context can interrupt, and random durations. It imports no
// other package of the project.
package pause

import (
	"context"
	"math/rand/v2"
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

// Jitter returns a random duration between d/2 and d, so that processes that wait for the same event
// do not all act at the same moment.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
