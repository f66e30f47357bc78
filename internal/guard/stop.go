package guard

import (
	"context"
	"time"

	"wigeontray/internal/ledger"
	"wigeontray/internal/pause"
	"wigeontray/internal/wire"
)

const (
	// minDrainDelay is the least time between the announcement of a stop and the
	// end of the links. A Start that crossed the announcement on its way is
	// refused with RanNo in that time; if the link had ended before, its entry
	// could not know whether it ran.
	minDrainDelay = 200 * time.Millisecond
	// closeHandshakeTimeout bounds the wait for the links' close handshakes before the process
	// ends. A connection that ends without one drops what the peer has not read, so
	// that results of several megabytes were lost after they were written, where
	// the entry's machine was busy for longer than a tenth of a second. The library
	// gives up on a handshake by itself after five seconds.
	closeHandshakeTimeout = 6 * time.Second
)

// Drain announces a planned stop to all entries: no new work is taken, and what
// runs finishes. It cannot be undone.
func (g *Guard) Drain(reason string) {
	g.apply(func(now time.Time, l *ledger.Ledger) {
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
	pause.For(ctx, minDrainDelay)
	select {
	case <-g.drained:
	case <-ctx.Done():
	}
	g.flushLinks(ctx)
	g.waitForCloseHandshakes(ctx, g.closeLinks())
	g.stopOnce.Do(func() { close(g.stopped) })
	return context.Cause(ctx)
}

// closeLinks begins to end all links and gives them.
func (g *Guard) closeLinks() []wire.Link {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closing = true
	var links []wire.Link
	for _, s := range g.links {
		s.link.Close("stopped")
		links = append(links, s.link)
	}
	return links
}

// closeNotifier is a link that tells when its peer has read everything.
type closeNotifier interface{ Shut() <-chan struct{} }

// waitForCloseHandshakes waits until the peers have read what was sent to them.
func (g *Guard) waitForCloseHandshakes(ctx context.Context, links []wire.Link) {
	ctx, cancel := context.WithTimeout(ctx, closeHandshakeTimeout)
	defer cancel()
	for _, l := range links {
		notifier, ok := l.(closeNotifier)
		if !ok {
			continue
		}
		select {
		case <-notifier.Shut():
		case <-ctx.Done():
			return
		}
	}
}
