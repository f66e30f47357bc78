package guard

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/ledger"
	"wigeontray/internal/pause"
	"wigeontray/internal/wire"
)

// Timing and bounds of links.
const (
	dialTimeout    = 5 * time.Second
	welcomeTimeout = 5 * time.Second
	backoffMin     = 100 * time.Millisecond
	backoffMax     = 5 * time.Second
	// steadyAfter is how long a link must last before its loss counts as the
	// first failure. An entry that welcomes a guard and then ends the link, as
	// one with another fleet key may, would otherwise be dialed ten times a
	// second by every guard.
	steadyAfter = 10 * time.Second
	// forgetAfter is how long an address that an entry told is dialed without
	// success. Entries are replaced daily, and without a bound a guard would
	// dial every entry that ever was.
	forgetAfter  = 10 * time.Minute
	maxAddresses = 64 // entries that a guard links to
)

// address is one place where an entry is reached.
type address struct {
	addr    string
	learned bool // told by an entry, not by the settings
	reached time.Time
}

// session is one established link.
type session struct {
	entry    identity.Incarnation
	link     wire.Link
	revision int64         // configuration in force at the entry, as far as known
	replaced *session      // newer link of the same incarnation, if any
	ended    chan struct{} // closed when the link is no longer read
}

// addAddress begins to link to addr unless that is under way. g.mu is held.
func (g *Guard) addAddress(addr string, learned bool) {
	if g.addrs[addr] != nil || len(g.addrs) >= maxAddresses || g.ended {
		return
	}
	a := &address{addr: addr, learned: learned, reached: time.Now()}
	g.addrs[addr] = a
	ctx := g.ctx
	g.work.Go(func() { g.keepLinked(ctx, a) })
}

// keepLinked holds a link to one address until ctx ends or the address is
// given up.
func (g *Guard) keepLinked(ctx context.Context, a *address) {
	backoff := backoffMin
	for ctx.Err() == nil && !g.closing() {
		began := time.Now()
		if s, err := g.connect(ctx, a); err == nil {
			g.serve(ctx, s)
			g.waitReplaced(ctx, s)
		} else {
			g.count.linkFailures.Inc(1)
			if g.giveUp(a) {
				return
			}
		}
		if time.Since(began) > steadyAfter {
			backoff = backoffMin
		}
		pause.For(ctx, g.jitter(backoff))
		backoff = min(2*backoff, backoffMax)
	}
}

// waitReplaced waits until the newer link that replaced s has ended as well.
// When two addresses lead to one entry, each new link ends the other; if both
// sides redialed at once, the entry would lose and regain this guard for ever.
func (g *Guard) waitReplaced(ctx context.Context, s *session) {
	for s = g.replacement(s); s != nil; s = g.replacement(s) {
		select {
		case <-s.ended:
		case <-ctx.Done():
			return
		}
	}
}

func (g *Guard) replacement(s *session) *session {
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.replaced
}

func (g *Guard) closing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ended
}

// giveUp forgets a learned address that was not reached for a long time.
func (g *Guard) giveUp(a *address) bool {
	if !a.learned || time.Since(a.reached) < forgetAfter {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.addrs, a.addr)
	return true
}

// jitter draws a time between half of d and d, so that the guards of a fleet do
// not all redial a restarted entry at the same moment.
func (g *Guard) jitter(d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d/2 + time.Duration(g.rand.Int64N(int64(d/2)+1))
}

// connect dials an address and exchanges Hello and Welcome.
func (g *Guard) connect(ctx context.Context, a *address) (*session, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	link, err := g.opt.Dial(dialCtx, a.addr)
	if err != nil {
		return nil, fmt.Errorf("dial entry %s: %w", a.addr, err)
	}
	welcome, err := g.greet(ctx, link)
	if err != nil {
		link.Close("no welcome")
		return nil, fmt.Errorf("entry %s: %w", a.addr, err)
	}
	a.reached = time.Now()
	return g.adopt(link, welcome), nil
}

func (g *Guard) greet(ctx context.Context, link wire.Link) (*wire.Welcome, error) {
	if err := link.Send(&wire.Frame{Hello: g.hello()}); err != nil {
		return nil, fmt.Errorf("send hello: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, welcomeTimeout)
	defer cancel()
	f, err := link.Recv(ctx)
	if err != nil {
		return nil, fmt.Errorf("wait for welcome: %w", err)
	}
	if f.Welcome == nil || f.Welcome.Incarnation == "" {
		return nil, errors.New("first frame is no welcome")
	}
	if f.Welcome.Version < wire.MinVersion {
		return nil, fmt.Errorf("protocol version %d is older than %d", f.Welcome.Version, wire.MinVersion)
	}
	return f.Welcome, nil
}

func (g *Guard) hello() *wire.Hello {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &wire.Hello{
		Version: wire.Version, MinVersion: wire.MinVersion, Incarnation: g.incarnation,
		Service: g.opt.Service, Worker: g.opt.Worker, Rack: g.opt.Rack,
		Domain: g.opt.Domain, Region: g.opt.Region, Slots: g.opt.Slots,
		Accelerator: g.opt.Accelerator, MemoryMB: g.opt.MemoryMB, Revision: g.revision(), Load: g.ledger.Load(),
		Software: g.opt.Software, Key: g.opt.Key,
	}
}

// adopt makes a welcomed link the current one of its entry. An older link of
// the same incarnation is ended and no longer read: a frame that it still holds
// could be a Cancel or Reserve that the entry has since replaced.
func (g *Guard) adopt(link wire.Link, w *wire.Welcome) *session {
	s := &session{entry: w.Incarnation, link: link, revision: w.Revision, ended: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	if old := g.links[s.entry]; old != nil {
		old.replaced = s
		old.link.Close("superseded")
		g.count.superseded.Inc(1)
	}
	g.links[s.entry] = s
	g.count.linksOpened.Inc(1)
	g.opt.Logger.Info("linked", "entry", s.entry)
	g.stepLocked(func(now time.Time, l *ledger.Ledger) { l.LinkUp(now, s.entry) })
	g.learn(w.Entries)
	g.offerConfig(s)
	return s
}

// learn begins to link to entries that another entry told of.
func (g *Guard) learn(entries []wire.EntryAddr) {
	for _, e := range entries {
		if e.Inner != "" && g.links[e.Incarnation] == nil {
			g.addAddress(e.Inner, true)
		}
	}
}

// serve reads a link until it ends or is replaced.
func (g *Guard) serve(ctx context.Context, s *session) {
	defer close(s.ended)
	for {
		f, err := s.link.Recv(ctx)
		if err != nil || !g.receive(s, f) {
			break
		}
	}
	s.link.Close("done")
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.links[s.entry] != s {
		return
	}
	delete(g.links, s.entry)
	g.opt.Logger.Info("link lost", "entry", s.entry)
	g.stepLocked(func(now time.Time, l *ledger.Ledger) { l.LinkDown(now, s.entry) })
}

// receive handles a frame if its link is still the current one of its entry.
func (g *Guard) receive(s *session, f *wire.Frame) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.links[s.entry] != s {
		return false
	}
	g.handle(s.entry, f)
	return true
}

// socketDialer opens WebSocket links; tlsConfig nil means plain text.
func socketDialer(tlsConfig *tls.Config) func(context.Context, string) (wire.Link, error) {
	scheme := "ws"
	if tlsConfig != nil {
		scheme = "wss"
	}
	client := wire.NewClient(tlsConfig)
	return func(ctx context.Context, addr string) (wire.Link, error) {
		return wire.Dial(ctx, scheme+"://"+addr+wire.GuardPath, client, nil)
	}
}
