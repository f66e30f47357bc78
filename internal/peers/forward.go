package peers

import (
	"context"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Forward sends a request to the entry that owns its identity and waits for the
// answer. It sends a copy of f with a new ID. The error is an errkind error:
// HomeUnreachable if there is no link or the link breaks, TimedOut if ctx ends first.
// In both cases the owner may have started the request.
func (p *Peers) Forward(ctx context.Context, to identity.Incarnation, f *wire.Forward) (*wire.Forwarded, error) {
	l := (*p.links.Load())[to]
	if l == nil {
		p.opt.count("forward.not_linked")
		return nil, errkind.New(errkind.HomeUnreachable, "%s: %w", to, errNotLinked).WithAfter(time.Second)
	}
	answer, sent := l.registerForward(f)
	defer l.unregisterForward(sent.ID)
	if err := l.link.Send(&wire.Frame{Forward: sent}); err != nil {
		p.opt.count("forward.send_failed")
		return nil, errkind.New(errkind.HomeUnreachable, "forward to %s: %w", to, err).WithAfter(time.Second)
	}
	p.opt.count("forward.sent")
	select {
	case r := <-answer:
		if r == nil {
			p.opt.count("forward.link_lost")
			return nil, errkind.New(errkind.HomeUnreachable, "link to %s lost", to).WithAfter(time.Second)
		}
		return r, nil
	case <-ctx.Done():
		p.opt.count("forward.timed_out")
		return nil, errkind.New(errkind.TimedOut, "forward to %s: %w", to, ctx.Err())
	}
}

// registerForward registers a copy of f under a new ID. It returns the channel that
// receives the answer, or nil if the link is lost.
func (l *peerLink) registerForward(f *wire.Forward) (<-chan *wire.Forwarded, *wire.Forward) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastForwardID++
	sent := *f
	sent.ID = l.lastForwardID
	answer := make(chan *wire.Forwarded, 1)
	if l.pending == nil {
		answer <- nil // the link has ended in the meantime
	} else {
		l.pending[sent.ID] = answer
	}
	return answer, &sent
}

// unregisterForward removes a request whose caller no longer waits.
func (l *peerLink) unregisterForward(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// deliverAnswer passes an answer to the waiting request. A late or repeated answer
// has no waiting request and is dropped.
func (l *peerLink) deliverAnswer(r *wire.Forwarded) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer := l.pending[r.ID]; answer != nil {
		delete(l.pending, r.ID)
		answer <- r
	}
}

// failPendingForwards fails all waiting requests after the link was lost.
func (l *peerLink) failPendingForwards() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, answer := range l.pending {
		answer <- nil
	}
	l.pending = nil
}

// serveForward serves a peer's request in a new goroutine. The work continues if the
// link breaks: this entry, as the owner, keeps the answer for a resubmission.
func (p *Peers) serveForward(ctx context.Context, l *peerLink, f *wire.Forward) {
	if p.activeForwards.Add(1) > maxConcurrentForwards {
		p.activeForwards.Add(-1)
		p.opt.count("forward.overloaded")
		kind := errkind.Overloaded
		_ = l.link.Send(&wire.Frame{Forwarded: &wire.Forwarded{ID: f.ID, Kind: kind, Status: kind.Answer().Status}})
		return
	}
	go func() {
		defer p.activeForwards.Add(-1)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(f.LeftMs)*time.Millisecond)
		defer cancel()
		r := *p.opt.OnForward(ctx, l.addr.Incarnation, f)
		r.ID = f.ID
		_ = l.link.Send(&wire.Frame{Forwarded: &r})
	}()
}
