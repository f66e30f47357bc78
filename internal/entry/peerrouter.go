package entry

import (
	"context"
	"net/http"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/peers"
	"wigeontray/internal/record"
	"wigeontray/internal/recovery"
	"wigeontray/internal/wire"
)

// PeerRouter is the Router over the entries of a region.
type PeerRouter struct {
	*peers.Peers
}

// NewPeerRouter ties a group of peers to a server that is made after it. The
// hooks that need the server wait until Bind.
func NewPeerRouter(o peers.Options) (*PeerRouter, func(*Server)) {
	var s *Server
	bound := make(chan struct{})
	o.OnForward = func(ctx context.Context, _ identity.Incarnation, f *wire.Forward) *wire.Forwarded {
		<-bound
		return s.ServeForward(ctx, f)
	}
	r := new(PeerRouter)
	o.ToGuard = func(g identity.Incarnation, f *wire.Frame) {
		<-bound
		r.toGuard(s, g, f)
	}
	o.OnGuardReady = func(g identity.Incarnation) {
		<-bound
		s.GuardReady(g)
	}
	o.Revision = func() int64 { <-bound; return s.config.Revision() }
	o.Config = func() *wire.Config { <-bound; return s.config.ForPeers() }
	o.OnConfig = func(c *wire.Config) { <-bound; s.config.FromPeer(c) }
	r.Peers = peers.New(o)
	return r, func(server *Server) {
		s = server
		close(bound)
	}
}

// toGuard sends a frame, but asks no guard about another member's job: a rival's
// VM would learn its identity, and the guard was never sent any of its tasks. Its
// answer is known without asking.
func (r *PeerRouter) toGuard(s *Server, id identity.Incarnation, f *wire.Frame) {
	g := s.links.get(id)
	if c := f.Collect; c != nil && g != nil && record.Owner(g.hello.Service) != c.Member {
		// Aside, as this is called under the lock that the answer takes.
		go r.GuardCollected(id, &wire.Collected{Member: c.Member, Key: c.Key})
		return
	}
	s.links.send(id, f)
}

// Owner implements Router.
func (r *PeerRouter) Owner(member string, key identity.Key) (identity.Incarnation, *errkind.Error) {
	owner, _, ok := r.View().Owner(member, key)
	if ok {
		return owner, nil
	}
	// Nobody owns the birth; asking for permission says why.
	if err := r.MayStart(member, key); err != nil {
		return "", err
	}
	return "", errkind.New(errkind.HomeUnreachable, "the roster is changing")
}

// Roster implements Router.
func (r *PeerRouter) Roster() RosterStatus {
	v := r.View()
	out := RosterStatus{HorizonMs: v.HorizonMs(), Members: []identity.Incarnation{}, Linked: []identity.Incarnation{}}
	if last, ok := v.Last(); ok {
		out.Version = last.Version
		for _, m := range last.Members {
			out.Members = append(out.Members, m.Incarnation)
		}
	}
	for _, p := range r.Peers.Peers() {
		out.Linked = append(out.Linked, p.Addr.Incarnation)
	}
	return out
}

// Recover implements Router. The home that was tried may not be the key's final
// owner, so the roster is asked again.
func (r *PeerRouter) Recover(ctx context.Context, _ identity.Incarnation, member string, key identity.Key) *Recovered {
	f := r.Peers.Recover(ctx, member, key)
	if f.Verdict != recovery.Whole {
		return &Recovered{Err: f.Err()}
	}
	out := &Recovered{Results: make([]dispatch.TaskResult, len(f.Results))}
	for i, res := range f.Results {
		out.Results[i] = dispatch.TaskResult{Status: res.Status, Body: res.Body}
	}
	return out
}

// FromGuard implements Router.
func (r *PeerRouter) FromGuard(g identity.Incarnation, f *wire.Frame) {
	switch {
	case f.FenceReport != nil:
		r.GuardReport(g, f.FenceReport)
	case f.Collected != nil:
		r.GuardCollected(g, f.Collected)
	}
}

// Handler accepts links from peers.
func (r *PeerRouter) Handler() http.Handler { return r.Peers.Handler() }
