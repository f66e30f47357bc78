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

// resultBody is the result body of every task.
var resultBody = []byte(`{"ok":true}`)

// Memory of a lightweight guard. A real one remembers far more; here it would
// only take memory from the measurement.
const (
	maxRememberedStarts = 1000
	maxHeldBytes        = 16 << 10
)

// guard is one lightweight guard: a real ledger whose upstream answers in no
// time, so that slots are offered and refused as a real guard does.
type guard struct {
	link  wire.Link
	entry identity.Incarnation
	done  chan struct{}

	mu     sync.Mutex // guards what follows
	ledger *ledger.Ledger
	timer  *time.Timer // calls tick when the ledger is next due
}

func newGuard(link wire.Link) *guard {
	now := time.Now()
	g := &guard{link: link, done: make(chan struct{})}
	g.ledger = ledger.New(now, ledger.Options{Slots: slotsPerWorker, Remembered: maxRememberedStarts, HeldBytes: maxHeldBytes})
	g.ledger.Health(now, true)
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
		return errors.New("first frame is no welcome")
	}
	g.entry = f.Welcome.Incarnation
	return nil
}

// serve answers the entry until the link ends.
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

// handleFrame feeds one frame to the ledger.
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

// applyEvent feeds one event to the ledger and carries out its actions. A task that
// is to run has its result at once, which makes further actions.
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

func (g *guard) applyAction(now time.Time, a ledger.Action) {
	if a.Send != nil {
		g.send(a.Send.Frame)
		return
	}
	g.ledger.Finished(now, wire.Result{Ref: a.Run.Ref, Ran: errkind.RanYes, Status: http.StatusOK, Body: resultBody})
}

// send queues a frame. A failed one has ended the link, which its reader sees.
func (g *guard) send(f *wire.Frame) { _ = g.link.Send(f) }

// scheduleTick arranges for the ledger's next tick.
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

// close takes leave, so that the entry counts a planned stop and no loss. done
// is closed when the link has ended.
func (g *guard) close() {
	g.applyEvent(func(now time.Time) { g.ledger.Drain(now, "measurement ends") })
	g.link.Close("measurement ends")
}
