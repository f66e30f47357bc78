package replay

import (
	"fmt"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/ledger"
	"wigeontray/internal/wire"
)

// failTime is how long a broken upstream takes to fail a task.
const failTime = time.Millisecond

// guard is a guard process with its upstream.
type guard struct {
	process
	w           *world
	def         Worker
	incarnation identity.Incarnation
	ledger      *ledger.Ledger
	links       []*link
	tick        time.Time // moment of the tick that is set

	failing bool
	factor  float64   // of run times
	since   time.Time // since when it fails
}

func (g *guard) boot() {
	g.start()
	g.incarnation = identity.Incarnation(fmt.Sprintf("%s-%d", g.def.Name, g.life))
	g.ledger = ledger.New(g.w.clock.now, ledger.Options{Slots: g.def.Slots})
	g.ledger.Health(g.w.clock.now, true)
	g.tick = time.Time{}
	for _, l := range g.links {
		l.dial()
	}
}

func (g *guard) hello() *wire.Hello {
	return &wire.Hello{
		Version: wire.Version, MinVersion: wire.MinVersion, Incarnation: g.incarnation,
		Service: g.w.trace.Service, Worker: g.def.Name, Rack: g.def.Rack, Domain: g.def.Domain,
		Slots: g.def.Slots, Accelerator: g.def.Accelerators, MemoryMB: g.def.MemoryMB, Load: g.ledger.Load(),
	}
}

func (g *guard) linkUp(e identity.Incarnation) {
	g.ledger.LinkUp(g.w.clock.now, e)
	g.flush()
}

func (g *guard) linkDown(e identity.Incarnation) {
	g.ledger.LinkDown(g.w.clock.now, e)
	g.flush()
}

func (g *guard) receive(from identity.Incarnation, f *wire.Frame) {
	now := g.w.clock.now
	switch {
	case f.Start != nil:
		g.ledger.Start(now, from, f.Start)
	case f.Cancel != nil:
		g.ledger.Cancel(now, from, f.Cancel)
	case f.Reserve != nil:
		g.ledger.Reserve(now, from, f.Reserve)
	case f.Fence != nil:
		g.ledger.Fence(now, from, f.Fence)
	case f.Collect != nil:
		g.ledger.Collect(from, f.Collect)
	}
	g.flush()
}

// flush carries out the ledger's actions and sets its next tick.
func (g *guard) flush() {
	for _, a := range g.ledger.Actions() {
		g.noteRefusal(a.Send)
		if a.Run != nil {
			g.run(a.Run)
			continue
		}
		for _, l := range g.links {
			if l.entry.incarnation == a.Send.To {
				l.toEntry(a.Send.Frame)
			}
		}
	}
	next := g.ledger.NextTick()
	if next.IsZero() || next.Equal(g.tick) {
		return
	}
	g.tick = next
	g.w.clock.at(next, g.later(func() {
		if g.tick.Equal(next) {
			g.tick = time.Time{}
			g.ledger.Tick(g.w.clock.now)
			g.flush()
		}
	}))
}

// run is the upstream.
func (g *guard) run(r *ledger.Run) {
	g.w.started(g, r.Ref)
	took := time.Duration(float64(g.w.runTime(r.Ref)) * g.factor)
	res := wire.Result{Ref: r.Ref, Status: 200, Body: echo(r.Ref)}
	if g.failing {
		took = failTime
		res = wire.Result{Ref: r.Ref, Kind: errkind.UpstreamFailed, Ran: errkind.RanYes, Detail: "status 500"}
	}
	res.RunMs = took.Milliseconds()
	g.w.tally.ran(g, g.w.clock.now, took)
	g.w.clock.after(took, g.later(func() {
		g.ledger.Finished(g.w.clock.now, res)
		g.flush()
	}))
}

func (g *guard) noteRefusal(s *ledger.Send) {
	if s != nil && s.Frame.Result != nil && s.Frame.Result.Ran == errkind.RanNo {
		g.w.check.refusedBy(g.incarnation, s.Frame.Result.Ref)
	}
}
