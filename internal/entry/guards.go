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

// helloTimeout bounds how long a new link may stay silent. A stranger that
// connects and says nothing would otherwise hold a connection for good.
const helloTimeout = 5 * time.Second

// guardLink is one guard's link as the lane sees it.
type guardLink struct {
	link  wire.Link
	hello *wire.Hello
	key   [sha256.Size]byte    // hash of the key with which the link was opened
	lane  atomic.Pointer[lane] // nil until the key is verified

	own         []byte // record of its service, as the guard has it; under Server.shareMu
	owed, acked int64  // revisions sent and confirmed; under linkTable.mu
}

func newGuardLink(link wire.Link, h *wire.Hello) *guardLink {
	g := &guardLink{link: link, hello: h, key: record.HashToken(h.Key)}
	h.Key = "" // not to be kept in memory
	return g
}

// serveGuard upgrades a guard's request. The link is served by a goroutine of
// its own, so that the request, its buffers and its deep stack are not held for
// as long as the guard lives.
func (s *Server) serveGuard(w http.ResponseWriter, r *http.Request) {
	link, err := wire.Accept(w, r, s.traffic)
	if err != nil {
		s.metrics.Inc(telemetry.LinksRefused)
		return
	}
	go s.ServeGuardLink(s.ctx, link)
}

// ServeGuardLink handles an established link to a guard and returns when it
// has ended.
func (s *Server) ServeGuardLink(ctx context.Context, link wire.Link) {
	defer link.Close("done")
	g, err := s.greet(ctx, link)
	if err != nil {
		if errors.Is(err, context.Canceled) {
			return // this process stops, and no guard was refused
		}
		s.metrics.Inc(telemetry.LinksRefused)
		s.log.Warn("guard refused", "err", err)
		return
	}
	// The link is listed before it is judged, so that a configuration that comes
	// into force meanwhile judges it too.
	s.greeted.add(g)
	defer context.AfterFunc(ctx, func() { s.endUnverified(g) })()
	if s.verify(g) {
		s.shareOnLink(g)
	}
	err = s.pump(g)
	s.delist(g, err)
}

// enlist puts a verified link to use; false if the entry is closing or the guard
// goes by another one's name.
func (s *Server) enlist(g *guardLink) bool {
	h := g.hello
	if old := s.links.get(h.Incarnation); old != nil && old.hello.Service != h.Service {
		// Fences and questions about results go to guards by incarnation: in
		// another's name it would be asked about that member's jobs.
		s.metrics.Inc(telemetry.LinksRefused)
		g.link.Close("the incarnation is another's")
		return false
	}
	l := s.lane(h.Service)
	if !s.links.add(g) {
		g.link.Close("entry stops")
		return false
	}
	g.lane.Store(l)
	s.log.Info("guard up", "guard", h.Incarnation, "service", h.Service, "worker", h.Worker, "slots", h.Slots)
	s.metrics.Inc(telemetry.LinksOpened)
	s.announce(g)
	return true
}

// endUnverified ends a link that Close, which looks at verified ones, leaves.
func (s *Server) endUnverified(g *guardLink) {
	if g.lane.Load() == nil {
		g.link.Close("entry stops")
	}
}

// delist forgets a link that has ended.
func (s *Server) delist(g *guardLink, err error) {
	s.greeted.mu.Lock()
	defer s.greeted.mu.Unlock()
	delete(s.greeted.links, g)
	l := g.lane.Load()
	if l == nil {
		return
	}
	l.down(g)
	s.metrics.Inc(telemetry.LinksLost)
	if s.links.remove(g) {
		s.router.GuardDown(g.hello.Incarnation)
		s.shareOnLoss()
		time.AfterFunc(forgetAfter, func() { s.forget(g.hello.Incarnation) })
	}
	s.log.Info("guard down", "guard", g.hello.Incarnation, "err", err)
}

// forgetAfter is how long a guard's link may be down before the entry gives up
// on the guard. It exceeds the time for which tasks in doubt are held.
const forgetAfter = 30 * time.Second

// announce makes a linked guard usable: at once if it was before its link broke,
// else when the router says so.
func (s *Server) announce(g *guardLink) {
	s.announceMu.Lock()
	defer s.announceMu.Unlock()
	s.router.GuardUp(g.hello.Incarnation)
	if s.links.ready(g.hello.Incarnation) {
		s.GuardReady(g.hello.Incarnation)
	}
}

// forget gives up on a guard that has not come back.
func (s *Server) forget(g identity.Incarnation) {
	s.announceMu.Lock()
	defer s.announceMu.Unlock()
	if s.ctx.Err() == nil && s.links.forget(g) {
		s.metrics.Inc(telemetry.GuardsLost)
		s.router.GuardLost(g)
	}
}

// GuardReady lets the lane use a linked guard. The router calls it once those
// that would have to answer for this entry after its death know of the guard.
func (s *Server) GuardReady(id identity.Incarnation) {
	g := s.links.setReady(id)
	if g == nil {
		return
	}
	l := s.lane(g.hello.Service)
	l.up(g)
	// The link may have ended between the two, after its own l.down.
	if s.links.get(id) != g {
		l.down(g)
	}
}

// greet reads and checks the Hello and answers it. A key that is known to be
// wrong gets no Welcome: the guard would take it for success and dial again at
// once.
func (s *Server) greet(ctx context.Context, link wire.Link) (*guardLink, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	f, err := link.Recv(ctx)
	if err != nil {
		return nil, fmt.Errorf("await hello: %w", err)
	}
	h := f.Hello
	if err := s.checkHello(h); err != nil {
		return nil, err
	}
	g := newGuardLink(link, h)
	if s.verdict(g) == rejected {
		return nil, fmt.Errorf("guard %s of %s: %w", h.Incarnation, h.Service, errWrongKey)
	}
	if err := link.Send(&wire.Frame{Welcome: s.welcome(min(wire.Version, h.Version))}); err != nil {
		return nil, fmt.Errorf("send welcome: %w", err)
	}
	return g, nil
}

// checkHello refuses guards of a version too far away, or with claims that no
// worker can meet: one that announces a million slots would draw all work to
// itself.
func (s *Server) checkHello(h *wire.Hello) error {
	switch {
	case h == nil:
		return fmt.Errorf("first frame is no hello")
	case h.MinVersion > wire.Version || h.Version < wire.MinVersion:
		return fmt.Errorf("protocol versions %d to %d, here %d to %d", h.MinVersion, h.Version, wire.MinVersion, wire.Version)
	case h.Incarnation == "" || h.Service == "":
		return fmt.Errorf("no incarnation or service")
	case h.Slots < 1 || h.Slots > s.opts.MaxSlots:
		return fmt.Errorf("%d slots, want 1 to %d", h.Slots, s.opts.MaxSlots)
	}
	return nil
}

// errForeignFrame ends a link whose guard sent what only entries send, or spoke
// of another member's job.
var errForeignFrame = errors.New("a frame that this guard may not send")

// speaksFor tells whether f is a guard's word on jobs of its own member. Believed
// on those of others, a rival's guard could make up their results when an entry
// is gone, or pass them off as started.
func (g *guardLink) speaksFor(f *wire.Frame) bool {
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

// pump reads the link until it ends. It waits under no context that can end:
// each frame would enter and leave the list of what hangs on it, under one lock
// for all links. Server.Close ends the links themselves.
func (s *Server) pump(g *guardLink) error {
	for {
		f, err := g.link.Recv(context.Background())
		if err != nil {
			return err
		}
		l := g.lane.Load()
		switch {
		case l == nil:
			s.fromUnverified(g, f)
		case f.Result != nil, f.Load != nil, f.Offer != nil, f.Goodbye != nil:
			l.receive(g, f)
		case f.Config != nil:
			s.config.FromGuard(f.Config)
		case f.ConfigAck != nil:
			s.links.acknowledged(g, f.ConfigAck.Revision)
		case g.speaksFor(f):
			s.router.FromGuard(g.hello.Incarnation, f)
		case *f == (wire.Frame{}):
			s.metrics.Inc(telemetry.FramesUnknown)
		default:
			s.metrics.Inc(telemetry.FramesRefused)
			return errForeignFrame
		}
	}
}
