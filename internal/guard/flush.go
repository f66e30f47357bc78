package guard

import (
	"context"
	"time"

	"wigeontray/internal/pause"
)

// flushPollInterval is how often a stop looks whether the links have sent everything.
const flushPollInterval = 5 * time.Millisecond

// unsentCounter is a link that knows how many frames still wait for its socket.
// Closing a link drops what waits; a stop that did not wait for it would lose
// results that the upstream has already computed, and callers would see "outcome
// unknown".
type unsentCounter interface{ Unsent() int }

// flushLinks waits until each link has nothing left to send or has ended.
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
