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
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// backoffResetAge is how long a link must last before its loss counts as the
	// first failure. An entry that welcomes a guard and then ends the link, as
	// one with another fleet key may, would otherwise be dialed ten times a
	// second by every guard.
	backoffResetAge = 10 * time.Second
	// learnedAddressTimeout is how long an address that an entry told is dialed without
	// success. Entries are replaced daily, and without a bound a guard would
	// dial every entry that ever was.
	learnedAddressTimeout = 10 * time.Minute
	maxAddresses          = 64 // entries that a guard links to
)

// address is one place where an entry is reached.
type address struct {
	addr        string
	isLearned   bool // told by an entry, not by the settings
	lastReached time.Time
}

// session is one established link.
type session struct {
	entry          identity.Incarnation
	link           wire.Link
	configRevision int64         // configuration in force at the entry, as far as known
	replacedBy     *session      // newer link of the same incarnation, if any
	readDone       chan struct{} // closed when the link is no longer read
}

// addAddress begins to link to addr unless that is under way. g.mu is held.
func (g *Guard) addAddress(addr string, isLearned bool) {
	if g.addresses[addr] != nil || len(g.addresses) >= maxAddresses || g.closing {
		return
	}
	a := &address{addr: addr, isLearned: isLearned, lastReached: time.Now()}
	g.addresses[addr] = a
	ctx := g.ctx
	g.wg.Go(func() { g.maintainLink(ctx, a) })
}

// maintainLink holds a link to one address until ctx ends or the address is
// given up.
func (g *Guard) maintainLink(ctx context.Context, a *address) {
	backoff := minBackoff
	for ctx.Err() == nil && !g.isClosing() {
		startedAt := time.Now()
		if s, err := g.openSession(ctx, a); err == nil {
			g.serveSession(ctx, s)
			g.waitForReplacements(ctx, s)
		} else {
			g.metrics.linkFailures.Inc(1)
			if g.dropIfUnreachable(a) {
				return
			}
		}
		if time.Since(startedAt) > backoffResetAge {
			backoff = minBackoff
		}
		pause.For(ctx, g.jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// waitForReplacements waits until the newer link that replaced s has ended as well.
// When two addresses lead to one entry, each new link ends the other; if both
// sides redialed at once, the entry would lose and regain this guard for ever.
func (g *Guard) waitForReplacements(ctx context.Context, s *session) {
	for s = g.replacement(s); s != nil; s = g.replacement(s) {
		select {
		case <-s.readDone:
		case <-ctx.Done():
			return
		}
	}
}

func (g *Guard) replacement(s *session) *session {
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.replacedBy
}

func (g *Guard) isClosing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closing
}

// dropIfUnreachable forgets a learned address that was not reached for a long time.
func (g *Guard) dropIfUnreachable(a *address) bool {
	if !a.isLearned || time.Since(a.lastReached) < learnedAddressTimeout {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.addresses, a.addr)
	return true
}

// jitter draws a time between half of d and d, so that the guards of a fleet do
// not all redial a restarted entry at the same moment.
func (g *Guard) jitter(d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d/2 + time.Duration(g.rand.Int64N(int64(d/2)+1))
}

// openSession dials an address and exchanges Hello and Welcome.
func (g *Guard) openSession(ctx context.Context, a *address) (*session, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	link, err := g.opt.Dial(dialCtx, a.addr)
	if err != nil {
		return nil, fmt.Errorf("dial entry %s: %w", a.addr, err)
	}
	welcome, err := g.handshake(ctx, link)
	if err != nil {
		link.Close("no welcome")
		return nil, fmt.Errorf("entry %s: %w", a.addr, err)
	}
	a.lastReached = time.Now()
	return g.registerSession(link, welcome), nil
}

func (g *Guard) handshake(ctx context.Context, link wire.Link) (*wire.Welcome, error) {
	if err := link.Send(&wire.Frame{Hello: g.newHello()}); err != nil {
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

func (g *Guard) newHello() *wire.Hello {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &wire.Hello{
		Version: wire.Version, MinVersion: wire.MinVersion, Incarnation: g.incarnation,
		Service: g.opt.Service, Worker: g.opt.Worker, Rack: g.opt.Rack,
		Domain: g.opt.Domain, Region: g.opt.Region, Slots: g.opt.Slots,
		Accelerator: g.opt.Accelerator, MemoryMB: g.opt.MemoryMB, Revision: g.configRevision(), Load: g.ledger.Load(),
		Software: g.opt.Software, Key: g.opt.Key,
	}
}

// registerSession makes a welcomed link the current one of its entry. An older link of
// the same incarnation is ended and no longer read: a frame that it still holds
// could be a Cancel or Reserve that the entry has since replaced.
func (g *Guard) registerSession(link wire.Link, w *wire.Welcome) *session {
	s := &session{entry: w.Incarnation, link: link, configRevision: w.Revision, readDone: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	if old := g.links[s.entry]; old != nil {
		old.replacedBy = s
		old.link.Close("superseded")
		g.metrics.linksSuperseded.Inc(1)
	}
	g.links[s.entry] = s
	g.metrics.linksOpened.Inc(1)
	g.opt.Logger.Info("linked", "entry", s.entry)
	g.applyLocked(func(now time.Time, l *ledger.Ledger) { l.LinkUp(now, s.entry) })
	g.addLearnedEntries(w.Entries)
	g.scheduleConfigSend(s)
	return s
}

// addLearnedEntries begins to link to entries that another entry told of.
func (g *Guard) addLearnedEntries(entries []wire.EntryAddr) {
	for _, e := range entries {
		if e.Inner != "" && g.links[e.Incarnation] == nil {
			g.addAddress(e.Inner, true)
		}
	}
}

// serveSession reads a link until it ends or is replaced.
func (g *Guard) serveSession(ctx context.Context, s *session) {
	defer close(s.readDone)
	for {
		f, err := s.link.Recv(ctx)
		if err != nil || !g.handleIfCurrent(s, f) {
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
	g.applyLocked(func(now time.Time, l *ledger.Ledger) { l.LinkDown(now, s.entry) })
}

// handleIfCurrent handles a frame if its link is still the current one of its entry.
func (g *Guard) handleIfCurrent(s *session, f *wire.Frame) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.links[s.entry] != s {
		return false
	}
	g.handleFrame(s.entry, f)
	return true
}

// webSocketDialer opens WebSocket links; tlsConfig nil means plain text.
func webSocketDialer(tlsConfig *tls.Config) func(context.Context, string) (wire.Link, error) {
	scheme := "ws"
	if tlsConfig != nil {
		scheme = "wss"
	}
	client := wire.NewClient(tlsConfig)
	return func(ctx context.Context, addr string) (wire.Link, error) {
		return wire.Dial(ctx, scheme+"://"+addr+wire.GuardPath, client, nil)
	}
}
