package capacity

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/ledger"
	"wigeontray/internal/wire"
)

// resultBody is the body of all task results.
var resultBody = []byte(`{"ok":true}`)

// Limits of the stored starts and results of a simulated guard. Those of a real
// guard are much higher, and here would only add memory to the measurement.
const (
	maxRememberedStarts = 1000
	maxHeldBytes        = 16 << 10
)

// guard is a simulated guard: a real ledger with an upstream that answers
// immediately. It offers and refuses slots in the same way as a real guard.
type guard struct {
	link  wire.Link
	entry identity.Incarnation
	done  chan struct{}

	mu     sync.Mutex // protects the fields below
	ledger *ledger.Ledger
	timer  *time.Timer // calls tick when the next tick of the ledger is due
}

func newGuard(link wire.Link) *guard {
	now := time.Now()
	g := &guard{link: link, done: make(chan struct{})}
	g.ledger = ledger.New(now, ledger.Options{Slots: slotsPerWorker, Remembered: maxRememberedStarts, HeldBytes: maxHeldBytes})
	g.ledger.SetHealthy(now, true)
	return g
}

// handshake sends the Hello and waits for the Welcome.
func (g *guard) handshake(ctx context.Context, h *wire.Hello) error {
	h.Load = g.ledger.Load()
	if err := g.link.Send(&wire.Frame{Hello: h}); err != nil {
		return fmt.Errorf("send hello: %w", err)
	}
	f, err := g.link.Recv(ctx)
	if err != nil {
		return fmt.Errorf("await welcome: %w", err)
	}
	if f.Welcome == nil {
		return errors.New("first frame is not a welcome")
	}
	g.entry = f.Welcome.Incarnation
	return nil
}

// serve handles frames from the entry until the link is closed.
func (g *guard) serve() {
	defer close(g.done)
	g.applyEvent(func(now time.Time) { g.ledger.LinkUp(now, g.entry) })
	for {
		f, err := g.link.Recv(context.Background())
		if err != nil {
			return
		}
		g.applyEvent(func(now time.Time) { g.handleFrame(now, f) })
	}
}

// handleFrame passes one frame to the ledger.
func (g *guard) handleFrame(now time.Time, f *wire.Frame) {
	switch {
	case f.Start != nil:
		g.ledger.Start(now, g.entry, f.Start)
	case f.Cancel != nil:
		g.ledger.Cancel(now, g.entry, f.Cancel)
	case f.Reserve != nil:
		g.ledger.Reserve(now, g.entry, f.Reserve)
	case f.Fence != nil:
		g.ledger.Fence(now, g.entry, f.Fence)
	case f.Collect != nil:
		g.ledger.Collect(g.entry, f.Collect)
	case f.Config != nil:
		g.send(&wire.Frame{ConfigAck: &wire.ConfigAck{Revision: f.Config.Revision}})
	}
}

// applyEvent passes one event to the ledger and performs the resulting actions. As
// a task that is to run finishes immediately, its action leads to further ones.
func (g *guard) applyEvent(event func(now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	event(now)
	for actions := g.ledger.Actions(); len(actions) > 0; actions = g.ledger.Actions() {
		for _, a := range actions {
			g.applyAction(now, a)
		}
	}
	g.scheduleTick(now)
}

// applyAction sends a frame, or finishes a task that is to run.
func (g *guard) applyAction(now time.Time, a ledger.Action) {
	if a.Send != nil {
		g.send(a.Send.Frame)
		return
	}
	g.ledger.FinishTask(now, wire.Result{Ref: a.Run.Ref, Ran: errkind.RanYes, Status: http.StatusOK, Body: resultBody})
}

// send queues a frame. It ignores an error, as the link is then closed, which the
// receiving goroutine detects.
func (g *guard) send(f *wire.Frame) { _ = g.link.Send(f) }

// scheduleTick sets the timer for the next tick of the ledger.
func (g *guard) scheduleTick(now time.Time) {
	next := g.ledger.NextTick()
	switch {
	case next.IsZero():
	case g.timer == nil:
		g.timer = time.AfterFunc(next.Sub(now), g.tick)
	default:
		g.timer.Reset(next.Sub(now))
	}
}

func (g *guard) tick() { g.applyEvent(g.ledger.Tick) }

// close drains the guard and closes its link, so that the entry counts a planned
// stop and not a lost guard. The done channel is closed when serve returns.
func (g *guard) close() {
	g.applyEvent(func(now time.Time) { g.ledger.Drain(now, "measurement ends") })
	g.link.Close("measurement ends")
}
