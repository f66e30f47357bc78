package capacity

import (
	"context"
	"errors"
	"fmt"

	"wigeontray/internal/wire"
)

// answer is the result body of every task.
var answer = []byte(`{"ok":true}`)

const okStatus = 200

// guard is one lightweight guard. One goroutine owns all but link and done.
type guard struct {
	link wire.Link
	done chan struct{}
	seq  uint64 // of load reports
	ids  uint64 // of offers
}

// greet sends the Hello and waits for the Welcome.
func (g *guard) greet(ctx context.Context, h *wire.Hello) error {
	g.seq = h.Load.Seq
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
	return nil
}

// serve answers the entry until the link ends.
func (g *guard) serve() {
	defer close(g.done)
	for {
		f, err := g.link.Recv(context.Background())
		if err != nil {
			return
		}
		if reply := g.reply(f); reply != nil && g.link.Send(reply) != nil {
			return
		}
	}
}

// reply plays a guard whose upstream answers in no time: it never has a task
// to cancel, a start to report or a slot that is taken.
func (g *guard) reply(f *wire.Frame) *wire.Frame {
	switch {
	case f.Start != nil:
		return &wire.Frame{Result: &wire.Result{Ref: f.Start.Ref, Status: okStatus, Body: answer, Load: g.load()}}
	case f.Reserve != nil && f.Reserve.Want > 0:
		g.ids++
		return &wire.Frame{Offer: &wire.Offer{ID: g.ids, HoldMs: 100, Load: g.load()}}
	case f.Config != nil:
		return &wire.Frame{ConfigAck: &wire.ConfigAck{Revision: f.Config.Revision}}
	case f.Fence != nil:
		return &wire.Frame{FenceReport: &wire.FenceReport{Gone: f.Fence.Gone}}
	case f.Collect != nil:
		return &wire.Frame{Collected: &wire.Collected{Member: f.Collect.Member, Key: f.Collect.Key}}
	}
	return nil
}

func (g *guard) load() wire.Load {
	g.seq++
	return wire.Load{Seq: g.seq, Slots: slots, Healthy: true}
}

// close takes leave, so that the entry counts a planned stop and no loss. done is
// closed when the link has ended.
func (g *guard) close() {
	_ = g.link.Send(&wire.Frame{Goodbye: &wire.Goodbye{Reason: "measurement ends"}})
	g.link.Close("measurement ends")
}
