package guard

import (
	"context"
	"time"

	"wigeontray/internal/pause"
)

// flushPoll is how often a stop looks whether the links have sent everything.
const flushPoll = 5 * time.Millisecond

// unsentLink is a link that knows how many frames still wait for its socket.
// Closing a link drops what waits; a stop that did not wait for it would lose
// results that the upstream has already computed, and callers would see "outcome
// unknown".
type unsentLink interface{ Unsent() int }

// flush waits until each link has nothing left to send or has ended.
func (g *Guard) flush(ctx context.Context) {
	for g.unsent() && ctx.Err() == nil {
		pause.For(ctx, flushPoll)
	}
}

func (g *Guard) unsent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.links {
		if l, ok := s.link.(unsentLink); ok && l.Unsent() > 0 {
			return true
		}
	}
	return false
}
