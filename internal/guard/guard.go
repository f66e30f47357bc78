// Package guard implements the guard process, which runs next to each upstream.
// A guard advertises its upstream to all entries in its address list, accepts
// tasks from them, runs each task on the upstream over HTTP at most once, and
// drains before a planned stop.
//
// Package ledger decides which tasks are accepted, started and refused. This
// package provides the goroutines and connections around that state machine.
//
// The package may import errkind, identity, ledger, record and wire.
package guard

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/ledger"
	"wigeontray/internal/wire"
)

// Guard is one guard process. Its methods are safe for concurrent use.
type Guard struct {
	opt         Options
	incarnation identity.Incarnation
	upstream    *upstream
	metrics     *guardMetrics

	mu        sync.Mutex // protects the fields below; never held during a blocking call
	ledger    *ledger.Ledger
	timer     *time.Timer // calls tick at the ledger's next deadline
	config    *wire.Config
	links     map[identity.Incarnation]*session // current link of each entry
	addresses map[string]*address               // entry addresses being dialed or linked
	rand      *rand.Rand
	ctx       context.Context // context of Run; nil before Run
	closing   bool            // links are being closed; no further link or task goroutine may start
	drained   chan struct{}   // closed when the guard is draining and no task runs or waits

	stopped  chan struct{} // closed when Stop has finished
	stopOnce sync.Once
	wg       sync.WaitGroup // goroutines started by Run
}

// New validates the options and returns a guard that is inactive until Run.
func New(opt Options) (*Guard, error) {
	opt = opt.withDefaults()
	if err := opt.validate(); err != nil {
		return nil, fmt.Errorf("guard options: %w", err)
	}
	g := &Guard{
		opt:         opt,
		incarnation: identity.NewIncarnation(opt.Worker),
		upstream:    newUpstream(opt),
		ledger:      ledger.New(time.Now(), opt.Ledger),
		links:       make(map[identity.Incarnation]*session),
		addresses:   make(map[string]*address),
		rand:        rand.New(rand.NewPCG(opt.Seed, 0)),
		drained:     make(chan struct{}),
		stopped:     make(chan struct{}),
	}
	g.metrics = newGuardMetrics(opt.Registry, g.Stats)
	return g, nil
}

// Incarnation returns the identifier of this run of the guard.
func (g *Guard) Incarnation() identity.Incarnation { return g.incarnation }

// Stats returns the current statistics of the ledger.
func (g *Guard) Stats() ledger.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Stats()
}

// Run serves tasks until Stop has finished, then returns nil. If ctx is
// canceled first, Run aborts the tasks in flight and returns the cause.
func (g *Guard) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	admin, err := g.listenAdmin()
	if err != nil {
		return err
	}
	g.startBackground(ctx)
	g.serveAdmin(ctx, admin)
	select {
	case <-g.stopped:
		err = nil
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	cancel()
	g.shutdown()
	return err
}

// startBackground starts the health checks and a link to each configured entry.
func (g *Guard) startBackground(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ctx = ctx
	g.wg.Go(func() { g.watchHealth(ctx) })
	for _, addr := range g.opt.Entries {
		g.addAddress(addr, false)
	}
}

// shutdown closes all links and waits for the goroutines of Run to finish.
func (g *Guard) shutdown() {
	g.mu.Lock()
	g.closing = true
	for _, s := range g.links {
		s.link.Close("guard ended")
	}
	if g.timer != nil {
		g.timer.Stop()
	}
	g.mu.Unlock()
	g.wg.Wait()
	g.upstream.close()
}

// apply passes one event to the ledger and performs the resulting actions in
// order.
func (g *Guard) apply(event func(now time.Time, l *ledger.Ledger)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyLocked(event)
}

// applyLocked is apply for callers that hold g.mu.
func (g *Guard) applyLocked(event func(now time.Time, l *ledger.Ledger)) {
	now := time.Now()
	event(now, g.ledger)
	for _, action := range g.ledger.Actions() {
		switch {
		case action.Run != nil:
			g.startTask(*action.Run)
		case action.Send != nil:
			g.sendFrame(action.Send)
		}
	}
	g.scheduleTick(now)
	g.closeDrainedIfIdle()
}

// startTask runs a task on the upstream in a new goroutine and passes its
// result to the ledger. g.mu is held.
func (g *Guard) startTask(run ledger.Run) {
	if g.closing {
		return
	}
	g.metrics.tasksStarted.Inc(1)
	ctx := g.ctx
	g.wg.Go(func() {
		res := g.upstream.run(ctx, run)
		if res.isUnreachable {
			g.setHealthy(false, res.Detail)
		}
		g.apply(func(now time.Time, l *ledger.Ledger) { l.FinishTask(now, res.Result) })
	})
}

// sendFrame sends a frame on the current link of an entry; without one, the
// frame is dropped. g.mu is held.
func (g *Guard) sendFrame(s *ledger.Send) {
	if r := s.Frame.Result; r != nil {
		g.metrics.countResult(r)
	}
	if link := g.links[s.To]; link != nil {
		// A failed Send closes the link. serveSession then removes the session,
		// and the entry repeats its request on the next link.
		_ = link.link.Send(s.Frame)
	}
}

// scheduleTick sets the timer to call tick at the ledger's next deadline.
func (g *Guard) scheduleTick(now time.Time) {
	next := g.ledger.NextTick()
	switch {
	case next.IsZero() && g.timer != nil:
		g.timer.Stop()
	case !next.IsZero() && g.timer == nil:
		g.timer = time.AfterFunc(next.Sub(now), g.tick)
	case !next.IsZero():
		g.timer.Reset(next.Sub(now))
	}
}

func (g *Guard) tick() {
	g.apply(func(now time.Time, l *ledger.Ledger) { l.Tick(now) })
}

// closeDrainedIfIdle closes g.drained once the guard is draining and idle.
func (g *Guard) closeDrainedIfIdle() {
	if !g.ledger.Stats().Draining || !g.ledger.IsIdle() {
		return
	}
	select {
	case <-g.drained:
	default:
		close(g.drained)
	}
}

// handleFrame processes one frame from an entry. g.mu is held.
func (g *Guard) handleFrame(from identity.Incarnation, f *wire.Frame) {
	g.applyLocked(func(now time.Time, l *ledger.Ledger) {
		switch {
		case f.Start != nil:
			l.Start(now, from, f.Start)
		case f.Cancel != nil:
			l.Cancel(now, from, f.Cancel)
		case f.Reserve != nil:
			l.Reserve(now, from, f.Reserve)
		case f.Fence != nil:
			l.Fence(now, from, f.Fence)
		case f.Collect != nil:
			l.Collect(from, f.Collect)
		case f.Config != nil:
			g.applyConfig(from, f.Config)
		case f.ConfigAck != nil:
			g.updateEntryRevision(from, f.ConfigAck.Revision)
		case f.Welcome != nil: // lists entries that joined since the handshake
			g.addLearnedEntries(f.Welcome.Entries)
		case f.StopNotice != nil: // no action: the entry closes the link itself when it has finished
		default:
			g.metrics.unknownFrames.Inc(1)
		}
	})
}

// isNotRun reports whether a result guarantees that the task has not run and
// will never run on this guard's upstream.
func isNotRun(r *wire.Result) bool {
	return r.Ran == errkind.RanNo
}
