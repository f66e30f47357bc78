package batchnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/policy"
	"wigeontray/internal/runs"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// Worker is how a guard speaks to its worker. The calls end with ctx; their
// verdict is NoAnswer if no answer came.
type Worker interface {
	Start(ctx context.Context, s *runs.Start) runs.StartAnswer
	Stop(ctx context.Context, s *runs.Stop) (v runs.Verdict, clockMs int64)
	Hold(ctx context.Context, h *runs.Hold) *runs.HoldAnswer
}

// GuardOptions configures a Guard.
type GuardOptions struct {
	Name    string   // of the process, for its incarnation
	Entries []string // addresses of entries, to begin with
	Worker  Worker
	Timing  runs.Timing // that for the default if left out
	Clock   Clock
	Metrics *telemetry.Registry
	Log     *log.Logger
	Routine *log.Logger // for lines that tell of nothing unusual; Log if nil
	// Dial opens a link to an entry's address. Its context has a bound for the TCP
	// connection, see wire.ConnectWithin.
	Dial func(ctx context.Context, address string) (wire.Link, error)
	// Lookup lists the addresses of entries that have registered. It is asked only
	// while the guard has no link.
	Lookup func(ctx context.Context) ([]string, error)
	// Texts has texts of jobs ready for other guards, which reach it at TextsAddress; nil if
	// this guard serves none. FetchText gets one from another guard.
	Texts        *Texts
	TextsAddress string
	FetchText    func(ctx context.Context, f *runs.Fetch) (string, error)
	// Memory keeps the worker's last report for the guard's successor; nil for none.
	Memory Memory
}

// Memory outlasts the guard's process.
type Memory interface {
	// Load gives the report that was saved last, nil if there is none.
	Load(ctx context.Context) (*runs.Report, error)
	Save(ctx context.Context, rep *runs.Report) error
}

// Guard runs the tasks of one worker. Its methods may be called from many
// goroutines.
type Guard struct {
	opt GuardOptions
	id  identity.Incarnation
	ctx context.Context

	mu       sync.Mutex
	machine  *runs.Machine
	links    map[identity.Incarnation]*guardLink
	dialing  map[string]bool
	alarm    *alarm
	version  int64 // newest configuration that was seen
	document []byte
	drains   wire.Drains              // Revision is 0 before an entry has told of them
	drained  map[string]time.Duration // since when each of them has been known
	newest   int64                    // configuration that some entry has told of
	asking   bool                     // one of them is, or will be, asked for it
	changed  chan struct{}            // signalled after each step, for Drain
	reported bool                     // the worker has reported to this process
	unsaved  chan *runs.Report
	kept     *runs.Report // last one that was, or is to be, saved
	emptied  bool         // the last run of a drained worker has ended
	work     sync.WaitGroup
}

// NewGuard returns a guard whose worker has not reported yet.
func NewGuard(opt GuardOptions) *Guard {
	if opt.Routine == nil {
		opt.Routine = opt.Log
	}
	g := &Guard{
		opt:     opt,
		id:      identity.NewIncarnation(opt.Name),
		machine: runs.New(runs.Options{Timing: opt.Timing, Off: policy.Linked()}),
		links:   make(map[identity.Incarnation]*guardLink),
		dialing: make(map[string]bool),
		changed: make(chan struct{}, 1),
		unsaved: make(chan *runs.Report, 1),
	}
	g.alarm = newAlarm(opt.Clock, func() {
		g.step(func(now time.Duration, m *runs.Machine) { m.Tick(now) })
	})
	return g
}

// Run links to entries until ctx ends, and returns when all work has ended.
func (g *Guard) Run(ctx context.Context) {
	g.mu.Lock()
	g.ctx = ctx
	g.mu.Unlock()
	g.AddEntries(g.opt.Entries)
	if g.opt.Memory != nil {
		g.work.Go(func() { g.remember(ctx) })
	}
	g.lookup(ctx)
	g.mu.Lock()
	for _, l := range g.links {
		l.link.Close("guard stops")
	}
	g.alarm.stop()
	g.mu.Unlock()
	g.work.Wait()
}

func (g *Guard) step(event func(now time.Duration, m *runs.Machine)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stepLocked(event)
}

func (g *Guard) stepLocked(event func(now time.Duration, m *runs.Machine)) {
	now := g.opt.Clock()
	before := g.machine.Worker()
	event(now, g.machine)
	for _, a := range g.machine.Actions(now) {
		g.carryOut(&a)
	}
	g.noteDrained()
	if w := g.machine.Worker(); w.ID != before.ID || w.Usable != before.Usable || w.Leaving != before.Leaving {
		g.opt.Log.Info("worker changed", "worker", w.ID, "usable", w.Usable, "leaving", w.Leaving, "cpu", w.Capacity.CPU)
	}
	g.alarm.set(g.machine.NextTick())
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

func (g *Guard) carryOut(a *runs.Action) {
	switch {
	case a.Fetch != nil:
		go g.fetch(a.Fetch)
	case a.Start != nil:
		g.opt.Metrics.Inc(telemetry.TasksStarted)
		go g.start(a.Start)
	case a.Stop != nil:
		go g.stop(a.Stop)
	case a.Hold != nil:
		go g.hold(a.Hold)
	case a.Send != nil:
		if ends := a.Send.Frame.RunsEnded; ends != nil {
			g.tellEnds(a.Send.To, ends)
		}
		if l := g.links[a.Send.To]; l != nil {
			_ = l.link.Send(a.Send.Frame) // the reader of a lost link tells the machine
		}
	}
}

// tellEnds writes a line for each run that ended without success. A refusal for
// want of room is routine: its task goes elsewhere.
func (g *Guard) tellEnds(entry identity.Incarnation, r *wire.RunsEnded) {
	for i := range r.Ends {
		end := &r.Ends[i]
		if end.Kind == errkind.None {
			continue
		}
		to := g.opt.Log
		if end.Kind == errkind.Busy {
			to = g.opt.Routine
		}
		to.Info("run ended", "job", end.Job, "step", end.Step, "task", end.Index, "run", end.Run, "entry", entry,
			"outcome", end.Kind, "ran", end.Ran, "took", time.Duration(end.RunMs)*time.Millisecond, "free", r.Load.Free.CPU)
	}
}

// fetch gets the text of a job from another guard.
func (g *Guard) fetch(f *runs.Fetch) {
	ctx, cancel := context.WithTimeout(context.Background(), f.AnswerIn)
	defer cancel()
	text, err := g.opt.FetchText(ctx, f)
	if err != nil {
		g.opt.Metrics.Inc(telemetry.TextsMissed)
		g.opt.Log.Info("text not fetched", "job", f.Job, "entry", f.From, "source", f.Source, "err", err)
	} else {
		g.opt.Metrics.Inc(telemetry.TextsFetched)
	}
	g.step(func(now time.Duration, m *runs.Machine) { m.Fetched(now, f.From, f.Job, text, err == nil) })
}

func (g *Guard) start(s *runs.Start) {
	ctx, cancel := context.WithTimeout(context.Background(), s.AnswerIn)
	defer cancel()
	answer := g.opt.Worker.Start(ctx, s)
	if answer.Verdict != runs.Done {
		g.opt.Log.Info("start not taken", "job", s.Key.Job, "step", s.Key.Step, "task", s.Key.Index, "run", s.Key.Run, "verdict", answer.Verdict)
	}
	g.step(func(now time.Duration, m *runs.Machine) { m.Started(now, s.Key, answer) })
}

func (g *Guard) stop(s *runs.Stop) {
	ctx, cancel := context.WithTimeout(context.Background(), s.AnswerIn)
	defer cancel()
	v, clockMs := g.opt.Worker.Stop(ctx, s)
	g.step(func(now time.Duration, m *runs.Machine) { m.Stopped(now, s.Key, v, clockMs) })
}

func (g *Guard) hold(h *runs.Hold) {
	ctx, cancel := context.WithTimeout(context.Background(), h.Wait+h.AnswerIn)
	defer cancel()
	answer := g.opt.Worker.Hold(ctx, h)
	if answer.Verdict != runs.Done {
		g.opt.Log.Info("worker did not renew", "worker", h.Worker, "verdict", answer.Verdict)
	}
	g.step(func(now time.Duration, m *runs.Machine) { m.Held(now, h.Worker, answer) })
}

// Heard takes a report of the worker.
func (g *Guard) Heard(rep *runs.Report) {
	g.step(func(now time.Duration, m *runs.Machine) {
		g.reported = true
		m.Heard(now, rep)
	})
	g.keep(rep)
}

// Left notes that a worker has ended as it had announced.
func (g *Guard) Left(id string) {
	g.step(func(now time.Duration, m *runs.Machine) { m.Left(now, id) })
}

// Drain begins a planned stop and waits until nothing runs and the worker knows
// that each end was noted, or until ctx ends.
func (g *Guard) Drain(ctx context.Context) {
	g.step(func(now time.Duration, m *runs.Machine) { m.Drain(now) })
	for !g.settled() {
		select {
		case <-g.changed:
		case <-ctx.Done():
			return
		}
	}
}

func (g *Guard) settled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Settled()
}

// spread draws a time between half of d and d, so that guards do not act at the
// same moment.
func spread(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}
