package replay

import (
	"fmt"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/ledger"
	"wigeontray/internal/wire"
)

// failedTaskRunTime is the run time of a task on a failing upstream.
const failedTaskRunTime = time.Millisecond

// guard simulates a guard process and its upstream.
type guard struct {
	process
	sim         *simulation
	config      Worker
	incarnation identity.Incarnation
	ledger      *ledger.Ledger
	links       []*link
	nextTick    time.Time // scheduled tick of the ledger; zero if none

	isFailing     bool
	runTimeFactor float64   // multiplies run times; above 1 on a slow upstream
	failingSince  time.Time // start of the latest failure
}

// boot starts a new incarnation of the guard with an empty ledger and dials all
// entries.
func (g *guard) boot() {
	g.start()
	g.incarnation = identity.Incarnation(fmt.Sprintf("%s-%d", g.config.Name, g.generation))
	g.ledger = ledger.New(g.sim.clock.now, ledger.Options{Slots: g.config.Slots})
	g.ledger.SetHealthy(g.sim.clock.now, true)
	g.nextTick = time.Time{}
	for _, l := range g.links {
		l.dial()
	}
}

func (g *guard) hello() *wire.Hello {
	return &wire.Hello{
		Version: wire.Version, MinVersion: wire.MinVersion, Incarnation: g.incarnation,
		Service: g.sim.trace.Service, Worker: g.config.Name, Rack: g.config.Rack, Domain: g.config.Domain,
		Slots: g.config.Slots, Accelerator: g.config.Accelerators, MemoryMB: g.config.MemoryMB, Load: g.ledger.Load(),
	}
}

func (g *guard) linkUp(e identity.Incarnation) {
	g.ledger.LinkUp(g.sim.clock.now, e)
	g.applyActions()
}

func (g *guard) linkDown(e identity.Incarnation) {
	g.ledger.LinkDown(g.sim.clock.now, e)
	g.applyActions()
}

func (g *guard) receive(from identity.Incarnation, f *wire.Frame) {
	now := g.sim.clock.now
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
	g.applyActions()
}

// applyActions performs the pending actions of the ledger and schedules its next tick.
func (g *guard) applyActions() {
	for _, a := range g.ledger.Actions() {
		g.checkRefusal(a.Send)
		if a.Run != nil {
			g.runTask(a.Run)
			continue
		}
		for _, l := range g.links {
			if l.entry.incarnation == a.Send.To {
				l.sendToEntry(a.Send.Frame)
			}
		}
	}
	next := g.ledger.NextTick()
	if next.IsZero() || next.Equal(g.nextTick) {
		return
	}
	g.nextTick = next
	g.sim.clock.at(next, g.inGeneration(func() {
		if g.nextTick.Equal(next) {
			g.nextTick = time.Time{}
			g.ledger.Tick(g.sim.clock.now)
			g.applyActions()
		}
	}))
}

// runTask simulates the upstream: it reports the result of a task after its run time.
func (g *guard) runTask(r *ledger.Run) {
	g.sim.recordStart(g, r.Ref)
	runDuration := time.Duration(float64(g.sim.runTime(r.Ref)) * g.runTimeFactor)
	result := wire.Result{Ref: r.Ref, Status: 200, Body: echoBody(r.Ref)}
	if g.isFailing {
		runDuration = failedTaskRunTime
		result = wire.Result{Ref: r.Ref, Kind: errkind.UpstreamFailed, Ran: errkind.RanYes, Detail: "status 500"}
	}
	result.RunMs = runDuration.Milliseconds()
	g.sim.counters.recordRun(g, g.sim.clock.now, runDuration)
	g.sim.clock.after(runDuration, g.inGeneration(func() {
		g.ledger.FinishTask(g.sim.clock.now, result)
		g.applyActions()
	}))
}

// checkRefusal passes a result that reports a task as not run to the checker.
func (g *guard) checkRefusal(s *ledger.Send) {
	if s != nil && s.Frame.Result != nil && s.Frame.Result.Ran == errkind.RanNo {
		g.sim.checker.recordRefusal(g.incarnation, s.Frame.Result.Ref)
	}
}
