package peers

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// peerLink is an open link to a peer.
type peerLink struct {
	addr                wire.EntryAddr
	link                wire.Link
	lastReceivedMs      atomic.Int64 // Unix milliseconds at which the last frame arrived
	configRevision      atomic.Int64 // last known configuration revision in force at the peer
	configBehindSinceMs int64        // 0 unless the peer's configuration is newer; guarded by Peers.mu

	mu            sync.Mutex // guards the fields below
	lastForwardID uint64
	pending       map[uint64]chan *wire.Forwarded // by Forward.ID; nil once the link is lost
}

// Handler returns the handler that accepts links from peers. It is mounted at
// wire.PeerPath.
func (p *Peers) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		link, err := wire.Accept(w, r, p.opt.Traffic)
		if err != nil {
			p.opt.count("accept_failed")
			return
		}
		p.Accept(context.WithoutCancel(r.Context()), link)
	})
}

// Accept performs the hello exchange on a link that a peer opened, and serves the
// link until it ends.
func (p *Peers) Accept(ctx context.Context, link wire.Link) {
	hello, err := p.receiveHello(ctx, link)
	if err == nil {
		err = link.Send(&wire.Frame{PeerHello: p.hello()})
	}
	if err != nil {
		p.refuseLink(link, err)
		return
	}
	p.serveLink(ctx, link, hello)
}

// dial opens a link to a peer and serves it until it ends. The incarnation of an
// address from the settings is empty.
func (p *Peers) dial(ctx context.Context, to wire.EntryAddr) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	link, err := p.opt.Dial(dialCtx, to)
	if err != nil {
		p.opt.count("dial_failed")
		return
	}
	if err := link.Send(&wire.Frame{PeerHello: p.hello()}); err != nil {
		p.refuseLink(link, err)
		return
	}
	hello, err := p.receiveHello(ctx, link)
	if err == nil && to.Incarnation != "" && hello.Incarnation != to.Incarnation {
		err = fmt.Errorf("entry %s answered at the address of entry %s", hello.Incarnation, to.Incarnation)
	}
	if err != nil {
		p.refuseLink(link, err)
		return
	}
	p.serveLink(ctx, link, hello)
}

// refuseLink closes a link on which the hello exchange failed with err.
func (p *Peers) refuseLink(link wire.Link, err error) {
	p.opt.count("hello_refused")
	p.opt.Log.Warn("peer link refused", "err", err)
	link.Close("refused")
}

// hello returns this entry's hello.
func (p *Peers) hello() *wire.PeerHello {
	return &wire.PeerHello{
		Version: wire.Version, MinVersion: wire.MinVersion,
		Incarnation: p.opt.Self.Incarnation, Inner: p.opt.Self.Inner, Domain: p.opt.Self.Domain,
		Region: p.opt.Region, Revision: p.opt.Revision(), Key: p.opt.Key,
	}
}

// Errors for which a hello is refused.
var (
	errNoHello         = errors.New("first frame is not a hello")
	errWrongKey        = errors.New("wrong fleet key")
	errVersionMismatch = errors.New("no common protocol version")
	errWrongRegion     = errors.New("peer belongs to another region")
	errOwnIncarnation  = errors.New("peer uses this entry's incarnation")
)

// receiveHello receives the first frame and validates it.
func (p *Peers) receiveHello(ctx context.Context, link wire.Link) (*wire.PeerHello, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	f, err := link.Recv(ctx)
	if err != nil {
		return nil, fmt.Errorf("receive hello: %w", err)
	}
	h := f.PeerHello
	switch {
	case h == nil:
		return nil, errNoHello
	case subtle.ConstantTimeCompare([]byte(h.Key), []byte(p.opt.Key)) == 0:
		return nil, errWrongKey
	case h.Version < wire.MinVersion || h.MinVersion > wire.Version:
		return nil, errVersionMismatch
	case h.Region != p.opt.Region:
		return nil, errWrongRegion
	case h.Incarnation == p.opt.Self.Incarnation:
		return nil, errOwnIncarnation
	}
	return h, nil
}

// serveLink makes a link the only one to its peer after the hello exchange, and
// handles its frames until it ends.
func (p *Peers) serveLink(ctx context.Context, link wire.Link, h *wire.PeerHello) {
	l := &peerLink{
		addr:    wire.EntryAddr{Incarnation: h.Incarnation, Inner: h.Inner, Domain: h.Domain},
		link:    link,
		pending: make(map[uint64]chan *wire.Forwarded),
	}
	l.configRevision.Store(h.Revision)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { // Recv would otherwise wait for the closing handshake, which delays the next dial
		select {
		case <-link.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	p.addLink(l)
	for {
		f, err := link.Recv(ctx)
		if err != nil {
			break
		}
		l.lastReceivedMs.Store(time.Now().UnixMilli())
		p.handleFrame(ctx, l, f)
	}
	p.removeLink(l)
}

// addLink makes l the link to its peer and closes a previous one.
func (p *Peers) addLink(l *peerLink) {
	inc := l.addr.Incarnation
	l.lastReceivedMs.Store(time.Now().UnixMilli())
	p.update(func(now time.Time) {
		if p.isStopped {
			l.link.Close("stopping") // stop has already run and would not close it
			return
		}
		if old := p.replaceLink(inc, l); old != nil {
			old.link.Close("replaced")
		}
		state := p.ensurePeerState(now, l.addr)
		state.unlinkedSince = time.Time{}
		p.opt.Log.Info("peer linked", "peer", inc)
		p.recovery.RecordContact(now, inc)
		p.machine.ClearSuspicion(now, inc)
		p.machine.HandleLinkUp(now, inc)
		p.announcer.PeerUp(inc)
	})
	p.sendConfigIfNewer(l)
}

// removeLink closes and removes l unless a newer link has replaced it.
func (p *Peers) removeLink(l *peerLink) {
	p.update(func(now time.Time) { p.dropLink(now, l) })
}

// dropLink closes l and removes it at once. It does not wait until the link reports
// its end: the closing handshake with a frozen peer takes seconds, during which
// requests would still be forwarded to it. The caller holds mu.
func (p *Peers) dropLink(now time.Time, l *peerLink) {
	l.link.Close("ended")
	l.failPendingForwards()
	inc := l.addr.Incarnation
	if (*p.links.Load())[inc] != l {
		return
	}
	p.replaceLink(inc, nil)
	p.ensurePeerState(now, l.addr).unlinkedSince = now
	p.opt.Log.Info("peer link lost", "peer", inc)
	p.announcer.PeerDown(inc)
}

// replaceLink publishes a new link table with l for inc, or without inc if l is nil,
// and returns the previous link. The caller holds mu.
func (p *Peers) replaceLink(inc identity.Incarnation, l *peerLink) *peerLink {
	links := maps.Clone(*p.links.Load())
	old := links[inc]
	if l == nil {
		delete(links, inc)
	} else {
		links[inc] = l
	}
	p.links.Store(&links)
	return old
}

// handleFrame handles one frame. Roster and recovery frames of a link that was
// replaced are dropped: a guard announcement that arrives after a later one would
// corrupt the list of guards.
func (p *Peers) handleFrame(ctx context.Context, l *peerLink, f *wire.Frame) {
	switch {
	case f.Forward != nil:
		p.serveForward(ctx, l, f.Forward)
	case f.Forwarded != nil:
		l.deliverAnswer(f.Forwarded)
	case f.Config != nil:
		l.configRevision.Store(max(l.configRevision.Load(), f.Config.Revision))
		p.hooks.add(func() { p.opt.OnConfig(f.Config) })
	case f.ConfigAck != nil:
		l.configRevision.Store(f.ConfigAck.Revision)
		p.sendConfigIfNewer(l)
	default:
		p.update(func(now time.Time) {
			if (*p.links.Load())[l.addr.Incarnation] == l {
				p.handleFrameLocked(now, l, f)
			}
		})
	}
}

// handleFrameLocked handles a frame for the roster or recovery machine. The caller
// holds mu.
func (p *Peers) handleFrameLocked(now time.Time, l *peerLink, f *wire.Frame) {
	from := l.addr.Incarnation
	p.recovery.RecordContact(now, from)
	switch {
	case f.Promise != nil:
		p.machine.Promise(now, from, *f.Promise)
	case f.Roster != nil:
		p.machine.HandleRoster(now, f.Roster)
	case f.Join != nil && f.Join.Entry.Incarnation == from:
		p.machine.HandleJoin(now, f.Join)
	case f.Witness != nil:
		p.recovery.Witness(now, from, f.Witness)
	case f.WitnessAck != nil:
		p.announcer.Acknowledged(from, f.WitnessAck.Seq)
	case *f == (wire.Frame{}):
		p.opt.count("unknown_frame")
	default:
		// A frame that only guards send, or a Join in another entry's name. It is
		// ignored: a process that sends it is not an entry, even if it has the fleet
		// key.
		p.opt.count("refused_frame")
		l.link.Close("a frame that no entry sends")
	}
}
