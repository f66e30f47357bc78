package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/record"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// helloTimeout limits how long a new link may take to send its Hello. Without it, a
// client that connects and sends nothing would hold a connection forever.
const helloTimeout = 5 * time.Second

// guardLink is the link to one guard.
type guardLink struct {
	link       wire.Link
	hello      *wire.Hello
	keyHash    [sha256.Size]byte          // hash of the key in the guard's Hello
	dispatcher atomic.Pointer[dispatcher] // nil until the key is verified

	// serviceRecord is the record of the guard's service in the guard's current
	// configuration. It is guarded by Server.configSendMu.
	serviceRecord []byte
	// sentRevision is the last revision sent to the guard, and ackedRevision the
	// newest one that it has acknowledged. They are guarded by linkTable.mu.
	sentRevision, ackedRevision int64
}

func newGuardLink(link wire.Link, h *wire.Hello) *guardLink {
	g := &guardLink{link: link, hello: h, keyHash: record.HashToken(h.Key)}
	h.Key = "" // the plain key is not kept in memory
	return g
}

// serveGuard upgrades the request of a guard to a link. The link is served by its
// own goroutine, so that the request, its buffers and its deep stack are not kept
// in memory for the lifetime of the link.
func (s *Server) serveGuard(w http.ResponseWriter, r *http.Request) {
	link, err := wire.Accept(w, r, s.traffic)
	if err != nil {
		s.metrics.Inc(telemetry.LinksRefused)
		return
	}
	go s.ServeGuardLink(s.ctx, link)
}

// ServeGuardLink serves an established link to a guard and returns when the link
// has closed.
func (s *Server) ServeGuardLink(ctx context.Context, link wire.Link) {
	defer link.Close("done")
	g, err := s.handshake(ctx, link)
	if err != nil {
		if errors.Is(err, context.Canceled) {
			return // the entry is shutting down; the guard was not refused
		}
		s.metrics.Inc(telemetry.LinksRefused)
		s.log.Warn("guard refused", "err", err)
		return
	}
	// The link is added before it is verified, so that a configuration applied in
	// the meantime verifies it as well.
	s.openLinks.add(g)
	defer context.AfterFunc(ctx, func() { s.closeUnverified(g) })()
	if s.verifyLink(g) {
		s.sendConfigOnLink(g)
	}
	err = s.receiveFrames(g)
	s.removeLink(g, err)
}

// activateLink makes a verified link available for dispatch. It returns false if
// the entry is closing or a guard of another service is linked under the same
// incarnation.
func (s *Server) activateLink(g *guardLink) bool {
	h := g.hello
	if old := s.links.get(h.Incarnation); old != nil && old.hello.Service != h.Service {
		// Fences and queries for results are addressed to guards by incarnation.
		// Under another guard's incarnation, this guard would receive queries about
		// that member's jobs.
		s.metrics.Inc(telemetry.LinksRefused)
		g.link.Close("the incarnation is another's")
		return false
	}
	d := s.dispatcher(h.Service)
	if !s.links.add(g) {
		g.link.Close("entry stops")
		return false
	}
	g.dispatcher.Store(d)
	s.log.Info("guard connected", "guard", h.Incarnation, "service", h.Service, "worker", h.Worker, "slots", h.Slots)
	s.metrics.Inc(telemetry.LinksOpened)
	s.announceGuard(g)
	return true
}

// closeUnverified closes a link that is still unverified when the context ends;
// Close itself only covers verified links.
func (s *Server) closeUnverified(g *guardLink) {
	if g.dispatcher.Load() == nil {
		g.link.Close("entry stops")
	}
}

// removeLink removes a link that has closed. If the guard does not reconnect within
// guardLossTimeout, it is treated as lost.
func (s *Server) removeLink(g *guardLink, err error) {
	s.openLinks.mu.Lock()
	defer s.openLinks.mu.Unlock()
	delete(s.openLinks.links, g)
	d := g.dispatcher.Load()
	if d == nil {
		return
	}
	d.linkDown(g)
	s.metrics.Inc(telemetry.LinksLost)
	if s.links.remove(g) {
		s.router.GuardDown(g.hello.Incarnation)
		s.sendConfigToNewReplicas()
		time.AfterFunc(guardLossTimeout, func() { s.expire(g.hello.Incarnation) })
	}
	s.log.Info("guard disconnected", "guard", g.hello.Incarnation, "err", err)
}

// guardLossTimeout is how long a guard's link may be down before the entry treats
// the guard as lost. It is longer than the time for which tasks with an unknown
// state are held.
const guardLossTimeout = 30 * time.Second

// announceGuard makes a linked guard available for dispatch: at once if it was
// available before its link broke, else as soon as the router calls GuardReady.
func (s *Server) announceGuard(g *guardLink) {
	s.announceMu.Lock()
	defer s.announceMu.Unlock()
	s.router.GuardUp(g.hello.Incarnation)
	if s.links.isReady(g.hello.Incarnation) {
		s.GuardReady(g.hello.Incarnation)
	}
}

// expire treats a guard as lost if it has not reconnected.
func (s *Server) expire(g identity.Incarnation) {
	s.announceMu.Lock()
	defer s.announceMu.Unlock()
	if s.ctx.Err() == nil && s.links.expire(g) {
		s.metrics.Inc(telemetry.GuardsLost)
		s.router.GuardLost(g)
	}
}

// GuardReady makes a linked guard available for dispatch. The router calls it once
// the entries that would recover this entry's jobs after a crash have recorded the
// guard.
func (s *Server) GuardReady(id identity.Incarnation) {
	g := s.links.setReady(id)
	if g == nil {
		return
	}
	d := s.dispatcher(g.hello.Service)
	d.linkUp(g)
	// The link may have closed in between, after removeLink called linkDown.
	if s.links.get(id) != g {
		d.linkDown(g)
	}
}

// handshake reads and checks the Hello and answers it with a Welcome. A guard whose
// key is rejected gets no Welcome, because it would treat that as success and
// reconnect at once.
func (s *Server) handshake(ctx context.Context, link wire.Link) (*guardLink, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	f, err := link.Recv(ctx)
	if err != nil {
		return nil, fmt.Errorf("receive hello: %w", err)
	}
	h := f.Hello
	if err := s.checkHello(h); err != nil {
		return nil, err
	}
	g := newGuardLink(link, h)
	if s.keyStatus(g) == keyRejected {
		return nil, fmt.Errorf("guard %s of %s: %w", h.Incarnation, h.Service, errWrongKey)
	}
	if err := link.Send(&wire.Frame{Welcome: s.newWelcome(min(wire.Version, h.Version))}); err != nil {
		return nil, fmt.Errorf("send welcome: %w", err)
	}
	return g, nil
}

// checkHello refuses guards with an incompatible protocol version or with an
// implausible number of slots: a guard that reported a million slots would attract
// all tasks.
func (s *Server) checkHello(h *wire.Hello) error {
	switch {
	case h == nil:
		return fmt.Errorf("first frame is not a hello")
	case h.MinVersion > wire.Version || h.Version < wire.MinVersion:
		return fmt.Errorf("protocol versions %d to %d do not overlap with %d to %d", h.MinVersion, h.Version, wire.MinVersion, wire.Version)
	case h.Incarnation == "" || h.Service == "":
		return fmt.Errorf("hello has no incarnation or service")
	case h.Slots < 1 || h.Slots > s.opts.MaxGuardSlots:
		return fmt.Errorf("hello has %d slots, want 1 to %d", h.Slots, s.opts.MaxGuardSlots)
	}
	return nil
}

// errFrameNotAllowed closes a link whose guard sent a frame that only entries may
// send, or a report on another member's job.
var errFrameNotAllowed = errors.New("frame is not allowed from this guard")

// mayReport reports whether f is a fence or recovery report that only concerns jobs
// of the guard's own member. If reports on other members' jobs were accepted, a
// guard could forge their results after an entry has crashed, or claim that they
// were started.
func (g *guardLink) mayReport(f *wire.Frame) bool {
	member := record.Owner(g.hello.Service)
	switch {
	case f.FenceReport != nil:
		return !slices.ContainsFunc(f.FenceReport.Started, func(s wire.Started) bool { return s.Ref.Member != member })
	case f.Collected != nil:
		c := f.Collected
		return c.Member == member && !slices.ContainsFunc(c.Results, func(r wire.Result) bool {
			return r.Ref.Member != member || r.Ref.Key != c.Key
		})
	}
	return false
}

// receiveFrames handles the frames of a link until it closes. It receives with a
// context that is never cancelled: with a cancellable one, each frame would be
// added to and removed from the context's list of children, under one lock shared
// by all links. Server.Close closes the links directly.
func (s *Server) receiveFrames(g *guardLink) error {
	for {
		f, err := g.link.Recv(context.Background())
		if err != nil {
			return err
		}
		d := g.dispatcher.Load()
		switch {
		case d == nil:
			s.handleUnverifiedFrame(g, f)
		case f.Result != nil, f.Load != nil, f.Offer != nil, f.StopNotice != nil:
			d.handleFrame(g, f)
		case f.Config != nil:
			s.config.ReceiveFromGuard(f.Config)
		case f.ConfigAck != nil:
			s.links.setAcked(g, f.ConfigAck.Revision)
		case g.mayReport(f):
			s.router.ReceiveFromGuard(g.hello.Incarnation, f)
		case *f == (wire.Frame{}):
			s.metrics.Inc(telemetry.FramesUnknown)
		default:
			s.metrics.Inc(telemetry.FramesRefused)
			return errFrameNotAllowed
		}
	}
}
