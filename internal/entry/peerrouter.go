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

// PeerRouter implements Router for the entries of one region.
type PeerRouter struct {
	*peers.Peers
}

// NewPeerRouter connects a group of peers to a Server that is created later. The
// hooks that need the server wait until the returned function has been called.
func NewPeerRouter(o peers.Options) (*PeerRouter, func(*Server)) {
	var s *Server
	bound := make(chan struct{})
	o.OnForward = func(ctx context.Context, _ identity.Incarnation, f *wire.Forward) *wire.Forwarded {
		<-bound
		return s.ServeForward(ctx, f)
	}
	r := new(PeerRouter)
	o.SendToGuard = func(g identity.Incarnation, f *wire.Frame) {
		<-bound
		r.sendToGuard(s, g, f)
	}
	o.OnGuardReady = func(g identity.Incarnation) {
		<-bound
		s.GuardReady(g)
	}
	o.Revision = func() int64 { <-bound; return s.config.Revision() }
	o.Config = func() *wire.Config { <-bound; return s.config.SnapshotForPeers() }
	o.OnConfig = func(c *wire.Config) { <-bound; s.config.ReceiveFromPeer(c) }
	r.Peers = peers.New(o)
	return r, func(server *Server) {
		s = server
		close(bound)
	}
}

// sendToGuard sends a frame to a guard, except for a query about another member's
// job: the guard's VM would learn the job's key. Such a guard was never sent any of
// the job's tasks, so the query is answered here with an empty result.
func (r *PeerRouter) sendToGuard(s *Server, id identity.Incarnation, f *wire.Frame) {
	g := s.links.get(id)
	if c := f.Collect; c != nil && g != nil && record.Owner(g.hello.Service) != c.Member {
		// In a goroutine, because the caller holds the lock that HandleCollected
		// takes.
		go r.HandleCollected(id, &wire.Collected{Member: c.Member, Key: c.Key})
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
	// No entry owns keys of this creation time; MayStart returns the reason.
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

// Recover implements Router. It ignores the home that was tried, which may not be
// the key's final owner, and looks the owner up again.
func (r *PeerRouter) Recover(ctx context.Context, _ identity.Incarnation, member string, key identity.Key) *RecoveryResult {
	finding := r.Peers.Recover(ctx, member, key)
	if finding.Verdict != recovery.Complete {
		return &RecoveryResult{Err: finding.Err()}
	}
	out := &RecoveryResult{Results: make([]dispatch.TaskResult, len(finding.Results))}
	for i, res := range finding.Results {
		out.Results[i] = dispatch.TaskResult{Status: res.Status, Body: res.Body}
	}
	return out
}

// ReceiveFromGuard implements Router.
func (r *PeerRouter) ReceiveFromGuard(g identity.Incarnation, f *wire.Frame) {
	switch {
	case f.FenceReport != nil:
		r.HandleFenceReport(g, f.FenceReport)
	case f.Collected != nil:
		r.HandleCollected(g, f.Collected)
	}
}

// Handler accepts links from peers.
func (r *PeerRouter) Handler() http.Handler { return r.Peers.Handler() }
