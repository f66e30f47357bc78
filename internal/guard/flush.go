package guard

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"wigeontray/internal/wire"
)

// flushPoll is how often a stop looks whether the links have sent everything.
const flushPoll = 5 * time.Millisecond

// countedLink knows how many frames still wait for its socket. Closing a link
// drops what waits; a stop that did not wait for it would lose results that the
// upstream has already computed, and callers would see "outcome unknown".
type countedLink struct {
	wire.Link
	traffic *wire.Traffic
	sent    atomic.Int64
}

func dialSocket(ctx context.Context, url string, client *http.Client) (wire.Link, error) {
	traffic := new(wire.Traffic)
	link, err := wire.Dial(ctx, url, client, traffic)
	if err != nil {
		return nil, err
	}
	return &countedLink{Link: link, traffic: traffic}, nil
}

// Send implements wire.Link.
func (l *countedLink) Send(f *wire.Frame) error {
	err := l.Link.Send(f)
	if err == nil {
		l.sent.Add(1)
	}
	return err
}

// pending counts frames that are not on the socket yet.
func (l *countedLink) pending() int64 { return l.sent.Load() - l.traffic.FramesOut.Load() }

// flush waits until each link has nothing left to send or has ended.
func (g *Guard) flush(ctx context.Context) {
	for g.unsent() && ctx.Err() == nil {
		sleep(ctx, flushPoll)
	}
}

func (g *Guard) unsent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.links {
		if l, ok := s.link.(*countedLink); ok && l.pending() > 0 {
			return true
		}
	}
	return false
}
