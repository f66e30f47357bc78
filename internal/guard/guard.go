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
	count       *counters

	mu     sync.Mutex // guards what follows; never held while waiting
	ledger *ledger.Ledger
	timer  *time.Timer // calls tick when the ledger is next due
	config *wire.Config
	links  map[identity.Incarnation]*session
	addrs  map[string]*address
	rand   *rand.Rand
	ctx    context.Context // of the run; nil before Run
	ended  bool            // no goroutine of the run may begin any more
	idle   chan struct{}   // closed when draining and nothing runs or waits

	stopped chan struct{} // closed when Stop has done its work
	once    sync.Once
	work    sync.WaitGroup // goroutines of the run
}

// New checks the options and returns a guard that does nothing before Run.
func New(opt Options) (*Guard, error) {
	opt = opt.withDefaults()
	if err := opt.check(); err != nil {
		return nil, fmt.Errorf("guard options: %w", err)
	}
	g := &Guard{
		opt:         opt,
		incarnation: identity.NewIncarnation(opt.Worker),
		upstream:    newUpstream(opt),
		ledger:      ledger.New(time.Now(), opt.Ledger),
		links:       make(map[identity.Incarnation]*session),
		addrs:       make(map[string]*address),
		rand:        rand.New(rand.NewPCG(opt.Seed, 0)),
		idle:        make(chan struct{}),
		stopped:     make(chan struct{}),
	}
	g.count = newCounters(opt.Registry, g.Stats)
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
	g.begin(ctx)
	g.serveAdmin(ctx, admin)
	select {
	case <-g.stopped:
		err = nil
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	cancel()
	g.end()
	return err
}

func (g *Guard) begin(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ctx = ctx
	g.work.Go(func() { g.watchHealth(ctx) })
	for _, addr := range g.opt.Entries {
		g.addAddress(addr, false)
	}
}

func (g *Guard) end() {
	g.mu.Lock()
	g.ended = true
	for _, s := range g.links {
		s.link.Close("guard ended")
	}
	if g.timer != nil {
		g.timer.Stop()
	}
	g.mu.Unlock()
	g.work.Wait()
	g.upstream.close()
}

// step feeds one event to the ledger and carries out its actions, in order.
func (g *Guard) step(event func(now time.Time, l *ledger.Ledger)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stepLocked(event)
}

func (g *Guard) stepLocked(event func(now time.Time, l *ledger.Ledger)) {
	now := time.Now()
	event(now, g.ledger)
	for _, a := range g.ledger.Actions() {
		switch {
		case a.Run != nil:
			g.start(*a.Run)
		case a.Send != nil:
			g.send(a.Send)
		}
	}
	g.schedule(now)
	g.noteIdle()
}

// start runs a task beside the event loop.
func (g *Guard) start(run ledger.Run) {
	if g.ended {
		return
	}
	g.count.started.Inc(1)
	ctx := g.ctx
	g.work.Go(func() {
		res := g.upstream.run(ctx, run)
		if res.unreachable {
			g.setHealthy(false, res.Detail)
		}
		g.step(func(now time.Time, l *ledger.Ledger) { l.Finished(now, res.Result) })
	})
}

func (g *Guard) send(s *ledger.Send) {
	if r := s.Frame.Result; r != nil {
		g.count.result(r)
	}
	if link := g.links[s.To]; link != nil {
		// A failed Send has ended the link; its reader cleans up, and the entry
		// asks again on the next one.
		_ = link.link.Send(s.Frame)
	}
}

// schedule arranges for tick to be called when the ledger is next due.
func (g *Guard) schedule(now time.Time) {
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
	g.step(func(now time.Time, l *ledger.Ledger) { l.Tick(now) })
}

func (g *Guard) noteIdle() {
	if !g.ledger.Stats().Draining || !g.ledger.Idle() {
		return
	}
	select {
	case <-g.idle:
	default:
		close(g.idle)
	}
}

// handle feeds one frame from an entry to the ledger.
func (g *Guard) handle(from identity.Incarnation, f *wire.Frame) {
	g.stepLocked(func(now time.Time, l *ledger.Ledger) {
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
			g.takeConfig(from, f.Config)
		case f.ConfigAck != nil:
			g.noteRevision(from, f.ConfigAck.Revision)
		case f.Welcome != nil: // tells of entries that joined since
			g.learn(f.Welcome.Entries)
		case f.Goodbye != nil: // the entry closes the link when it is done
		default:
			g.count.unknownFrames.Inc(1)
		}
	})
}

// finalRefusal tells whether a result promises that the task never runs here.
func finalRefusal(r *wire.Result) bool {
	return r.Ran == errkind.RanNo
}
