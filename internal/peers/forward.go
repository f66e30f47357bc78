package peers

import (
	"context"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Forward passes a request to the entry that owns its identity and waits for the
// answer. It sets f.ID. The error is of the closed list: HomeUnreachable when
// the link is missing or breaks, TimedOut when ctx ends first. The owner may have
// started the request in both cases.
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

// registerForward registers a copy of f under a new id.
func (l *peerLink) registerForward(f *wire.Forward) (<-chan *wire.Forwarded, *wire.Forward) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastForwardID++
	sent := *f
	sent.ID = l.lastForwardID
	answer := make(chan *wire.Forwarded, 1)
	if l.pending == nil {
		answer <- nil // the link ended meanwhile
	} else {
		l.pending[sent.ID] = answer
	}
	return answer, &sent
}

func (l *peerLink) unregisterForward(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// deliverAnswer hands an answer to its request. One that is late or repeated finds no
// request and is dropped.
func (l *peerLink) deliverAnswer(r *wire.Forwarded) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer := l.pending[r.ID]; answer != nil {
		delete(l.pending, r.ID)
		answer <- r
	}
}

// failPendingForwards ends all waiting requests after the link was lost.
func (l *peerLink) failPendingForwards() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, answer := range l.pending {
		answer <- nil
	}
	l.pending = nil
}

// serveForward serves a peer's request in a goroutine of its own. The work goes
// on if the link breaks: the owner keeps the answer for a resubmission.
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
