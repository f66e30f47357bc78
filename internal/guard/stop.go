package guard

import (
	"context"
	"time"

	"wigeontray/internal/ledger"
)

const (
	// drainSettle is the least time between the announcement of a stop and the
	// end of the links. A Start that crossed the announcement on its way is
	// refused with RanNo in that time; if the link had ended before, its entry
	// could not know whether it ran.
	drainSettle = 200 * time.Millisecond
	// closeLinger lets the links' close handshakes finish before the process
	// ends. A socket that is closed with unread bytes drops what it still has
	// to send, so that a result could be lost after it was written.
	closeLinger = 100 * time.Millisecond
)

// Drain announces a planned stop to all entries: no new work is taken, and what
// runs finishes. It cannot be undone.
func (g *Guard) Drain(reason string) {
	g.step(func(now time.Time, l *ledger.Ledger) {
		if !l.Stats().Draining {
			g.opt.Logger.Info("draining", "reason", reason)
		}
		l.Drain(now, reason)
	})
}

// Stop drains, waits for the tasks in flight, sends their results and then ends
// Run. When ctx ends first, what still runs is cut off, and the cause returned.
func (g *Guard) Stop(ctx context.Context) error {
	g.Drain("stop")
	sleep(ctx, drainSettle)
	select {
	case <-g.idle:
	case <-ctx.Done():
	}
	g.flush(ctx)
	g.closeLinks()
	sleep(ctx, closeLinger)
	g.once.Do(func() { close(g.stopped) })
	return context.Cause(ctx)
}

func (g *Guard) closeLinks() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	for _, s := range g.links {
		s.link.Close("stopped")
	}
}
