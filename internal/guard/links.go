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

// Timeouts and limits of links.
const (
	dialTimeout    = 5 * time.Second
	welcomeTimeout = 5 * time.Second
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// backoffResetAge is how long a link must last for its loss to reset the
	// backoff. An entry that sends a Welcome and then closes the link, as one with
	// another fleet key may, would otherwise be dialed ten times a second by every
	// guard.
	backoffResetAge = 10 * time.Second
	// learnedAddressTimeout is how long an address received from an entry is dialed
	// without success before it is dropped. Entries are replaced daily, and without
	// a limit a guard would keep dialing every entry that ever existed.
	learnedAddressTimeout = 10 * time.Minute
	maxAddresses          = 64 // entry addresses that a guard dials
)

// address is a network address of an entry.
type address struct {
	addr        string
	isLearned   bool // received from an entry, not set in Options
	lastReached time.Time
}

// session is one established link.
type session struct {
	entry          identity.Incarnation
	link           wire.Link
	configRevision int64         // newest revision that the entry reported or was sent
	replacedBy     *session      // newer session with the same entry, if any
	readDone       chan struct{} // closed when the link is no longer read
}

// addAddress starts linking to addr unless it is in g.addresses already. g.mu
// is held.
func (g *Guard) addAddress(addr string, isLearned bool) {
	if g.addresses[addr] != nil || len(g.addresses) >= maxAddresses || g.closing {
		return
	}
	a := &address{addr: addr, isLearned: isLearned, lastReached: time.Now()}
	g.addresses[addr] = a
	ctx := g.ctx
	g.wg.Go(func() { g.maintainLink(ctx, a) })
}

// maintainLink keeps a link to one address until ctx is canceled, the guard
// closes its links, or the address is dropped.
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
		pause.For(ctx, g.jitteredDelay(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// waitForReplacements waits until the session that replaced s, if any, and all
// that replaced it in turn have ended. When two addresses lead to one entry, each
// new link closes the other. If both were redialed at once, the entry would lose
// and regain this guard endlessly.
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

// dropIfUnreachable removes a learned address that was not reached for
// learnedAddressTimeout, and reports whether it did.
func (g *Guard) dropIfUnreachable(a *address) bool {
	if !a.isLearned || time.Since(a.lastReached) < learnedAddressTimeout {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.addresses, a.addr)
	return true
}

// jitteredDelay returns a random duration between d/2 and d, so that the guards of a
// fleet do not all redial a restarted entry at the same moment.
func (g *Guard) jitteredDelay(d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d/2 + time.Duration(g.rand.Int64N(int64(d/2)+1))
}

// openSession dials an address, exchanges Hello and Welcome, and registers the
// session.
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

// handshake sends a Hello and waits for the entry's Welcome.
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
		return nil, errors.New("first frame is not a valid welcome")
	}
	if f.Welcome.Version < wire.MinVersion {
		return nil, fmt.Errorf("protocol version %d is older than the minimum %d", f.Welcome.Version, wire.MinVersion)
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

// registerSession makes a link that completed the handshake the current one of
// its entry. An older link of the same incarnation is closed and no longer read:
// a frame still unread on it could be a Cancel or Reserve that the entry has
// since superseded.
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

// addLearnedEntries starts linking to entries that another entry announced. g.mu
// is held.
func (g *Guard) addLearnedEntries(entries []wire.EntryAddr) {
	for _, e := range entries {
		if e.Inner != "" && g.links[e.Incarnation] == nil {
			g.addAddress(e.Inner, true)
		}
	}
}

// serveSession reads frames from a link until it closes or is replaced.
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

// handleIfCurrent processes a frame if s is still the current session of its
// entry, and reports whether it is.
func (g *Guard) handleIfCurrent(s *session, f *wire.Frame) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.links[s.entry] != s {
		return false
	}
	g.handleFrame(s.entry, f)
	return true
}

// webSocketDialer returns a function that opens WebSocket links. Without a
// tlsConfig the links are not encrypted.
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
