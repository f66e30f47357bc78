package guard

import (
	"context"
	"time"

	"wigeontray/internal/ledger"
	"wigeontray/internal/pause"
	"wigeontray/internal/wire"
)

const (
	// minDrainDelay is the minimum time between the announcement of a stop and the
	// closing of the links. A Start that was in transit when the stop was announced
	// is refused with RanNo in that time. If the link were closed earlier, the
	// entry could not determine whether the task ran.
	minDrainDelay = 200 * time.Millisecond
	// closeHandshakeTimeout limits the wait for the links' close handshakes before
	// the process exits. A connection closed without a handshake drops data that
	// the peer has not read: results of several megabytes were lost after they were
	// written, when the entry's machine was busy for more than 100 ms. The
	// WebSocket library itself abandons a handshake after 5 s.
	closeHandshakeTimeout = 6 * time.Second
)

// Drain announces a planned stop to all entries: new and waiting tasks are
// refused, and running tasks finish. It cannot be undone.
func (g *Guard) Drain(reason string) {
	g.apply(func(now time.Time, l *ledger.Ledger) {
		if !l.Stats().Draining {
			g.opt.Logger.Info("draining", "reason", reason)
		}
		l.Drain(now, reason)
	})
}

// Stop drains the guard, waits for the tasks in flight, sends their results and
// then makes Run return. If ctx is canceled first, the remaining tasks are
// aborted and the cause is returned.
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

// closeLinks starts closing all links and returns them.
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

// closeNotifier is implemented by links with a close handshake. The channel of
// Shut is closed when the handshake has completed, after which the peer has read
// all frames, or has been abandoned.
type closeNotifier interface{ Shut() <-chan struct{} }

// waitForCloseHandshakes waits until the close handshakes of all links have
// ended, for at most closeHandshakeTimeout.
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
