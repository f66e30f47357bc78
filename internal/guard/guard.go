// Package guard owns the guard process: one beside each upstream. It announces
// the upstream to every entry it knows, takes tasks from them, runs each on the
// upstream over HTTP at most once, and drains before a planned stop.
//
// What is accepted, started and refused is decided by package ledger; this
// package owns the goroutines and connections around it.
//
// The package may import errkind, identity, ledger and wire.
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

// Guard is one guard process. Its methods may be called from many goroutines.
type Guard struct {
	opt         Options
	incarnation identity.Incarnation
	upstream    *upstream
	metrics     *guardMetrics

	mu        sync.Mutex // guards what follows; never held while waiting
	ledger    *ledger.Ledger
	timer     *time.Timer // calls tick when the ledger is next due
	config    *wire.Config
	links     map[identity.Incarnation]*session
	addresses map[string]*address
	rand      *rand.Rand
	ctx       context.Context // of the run; nil before Run
	closing   bool            // no goroutine of the run may begin any more
	drained   chan struct{}   // closed when draining and nothing runs or waits

	stopped  chan struct{} // closed when Stop has done its work
	stopOnce sync.Once
	wg       sync.WaitGroup // goroutines of the run
}

// New checks the options and returns a guard that does nothing before Run.
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

// Incarnation names this run of the guard.
func (g *Guard) Incarnation() identity.Incarnation { return g.incarnation }

// Stats reads the ledger.
func (g *Guard) Stats() ledger.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Stats()
}

// Run serves until Stop has done its work, then returns nil. When ctx ends
// first, it cuts off what is in flight and returns the cause.
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

func (g *Guard) startBackground(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ctx = ctx
	g.wg.Go(func() { g.watchHealth(ctx) })
	for _, addr := range g.opt.Entries {
		g.addAddress(addr, false)
	}
}

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

// apply feeds one event to the ledger and carries out its actions, in order.
func (g *Guard) apply(event func(now time.Time, l *ledger.Ledger)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyLocked(event)
}

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

// startTask runs a task beside the event loop.
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
		g.apply(func(now time.Time, l *ledger.Ledger) { l.Finished(now, res.Result) })
	})
}

func (g *Guard) sendFrame(s *ledger.Send) {
	if r := s.Frame.Result; r != nil {
		g.metrics.countResult(r)
	}
	if link := g.links[s.To]; link != nil {
		// A failed Send has ended the link; its reader cleans up, and the entry
		// asks again on the next one.
		_ = link.link.Send(s.Frame)
	}
}

// scheduleTick arranges for tick to be called when the ledger is next due.
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

func (g *Guard) closeDrainedIfIdle() {
	if !g.ledger.Stats().Draining || !g.ledger.Idle() {
		return
	}
	select {
	case <-g.drained:
	default:
		close(g.drained)
	}
}

// handleFrame feeds one frame from an entry to the ledger.
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
		case f.Welcome != nil: // tells of entries that joined since
			g.addLearnedEntries(f.Welcome.Entries)
		case f.Goodbye != nil: // the entry closes the link when it is done
		default:
			g.metrics.unknownFrames.Inc(1)
		}
	})
}

// isNotRun tells whether a result promises that the task never runs here.
func isNotRun(r *wire.Result) bool {
	return r.Ran == errkind.RanNo
}
