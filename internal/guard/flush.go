package guard

import (
	"context"
	"time"

	"wigeontray/internal/pause"
)

// flushPollInterval is the interval at which flushLinks checks for unsent frames.
const flushPollInterval = 5 * time.Millisecond

// unsentCounter is implemented by links that report how many frames are not yet
// written to the socket. Closing a link drops those frames. Without waiting for
// them, Stop would lose results that the upstream has already computed, and
// callers would get "outcome unknown".
type unsentCounter interface{ Unsent() int }

// flushLinks waits until each link has either sent all its frames or been
// removed, or until ctx is canceled.
func (g *Guard) flushLinks(ctx context.Context) {
	for g.hasUnsentFrames() && ctx.Err() == nil {
		pause.For(ctx, flushPollInterval)
	}
}

func (g *Guard) hasUnsentFrames() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.links {
		if l, ok := s.link.(unsentCounter); ok && l.Unsent() > 0 {
			return true
		}
	}
	return false
}
