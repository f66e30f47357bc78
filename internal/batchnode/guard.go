package batchnode

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"wigeontray/internal/batch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/policy"
	"wigeontray/internal/runs"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// Worker is the client for the worker of a guard. A call returns when ctx ends, with the
// verdict NoAnswer if no response was received.
type Worker interface {
	Start(ctx context.Context, s *runs.Start) runs.StartAnswer
	Stop(ctx context.Context, s *runs.Stop) (v runs.Verdict, clockMs int64)
	Hold(ctx context.Context, h *runs.Hold) *runs.HoldAnswer
}

// GuardOptions configures a Guard.
type GuardOptions struct {
	Name       string   // process name, part of the incarnation
	Entries    []string // initial addresses of entries
	Worker     Worker
	Timing     runs.Timing   // the default if zero
	MaxLease   time.Duration // longest lease that the worker accepts; the default if zero
	Clock      Clock
	Metrics    *telemetry.Registry
	Log        *log.Logger
	RoutineLog *log.Logger // for lines about normal operation; Log if nil
	// Dial opens a link to the address of an entry. Its context carries the timeout for the
	// TCP connection, see wire.WithConnectTimeout.
	Dial func(ctx context.Context, address string) (wire.Link, error)
	// Lookup lists the addresses of registered entries. It is called while the guard has no
	// link, and after the guard stopped dialing an address.
	Lookup func(ctx context.Context) ([]string, error)
	// Texts caches job texts for other guards, which fetch them at TextsAddress; nil if this
	// guard serves none. FetchText fetches a text from another guard.
	Texts        *Texts
	TextsAddress string
	FetchText    func(ctx context.Context, f *runs.Fetch) (string, error)
	// StateStore keeps state for the next process of this guard; nil for none.
	StateStore StateStore
}

// Guard runs the tasks of linked entries on one worker. All methods are safe for concurrent use.
type Guard struct {
	opt GuardOptions
	id  identity.Incarnation
	ctx context.Context

	mu                  sync.Mutex
	machine             *runs.Machine
	links               map[identity.Incarnation]*guardLink
	known               addressList        // addresses of entries, of which the guard links to a subset
	targets             map[string]*target // by address: the entries that the guard links to
	dialSlots           chan struct{}      // one element for each dial in progress
	deadlineTimer       *deadlineTimer
	configVersion       int64 // newest configuration received; 0 before the first
	configDocument      []byte
	drains              wire.Drains              // Revision is 0 until an entry has sent drains
	drainedSince        map[string]time.Duration // by failure domain: when its drain was first received
	newestConfigVersion int64                    // newest version announced by an entry
	isFetchingConfig    bool                     // a fetch is scheduled or in progress
	changed             chan struct{}            // signalled after each step; Drain waits on it
	hasReport           bool                     // the worker has sent a report to this process
	unsavedReport       chan *runs.Report        // holds at most one
	lastQueuedReport    *runs.Report             // last report that was saved or is in unsavedReport
	cancelledJobs       batch.CancelledJobs      // whose cancellations were relayed
	crashSeq            uint64                   // crashes of the worker that were relayed
	lastRejected        wire.WorkerInstance      // of the last report that was passed over
	isDrainComplete     bool                     // the worker is drained and its last run has ended
	offerLog            offerLog
	workerCalls         callQueue // starts and stops
	goroutines          sync.WaitGroup
}

// NewGuard returns a guard whose worker has not sent a report yet.
func NewGuard(opt GuardOptions) *Guard {
	if opt.RoutineLog == nil {
		opt.RoutineLog = opt.Log
	}
	g := &Guard{
		opt:           opt,
		id:            identity.NewIncarnation(opt.Name),
		machine:       runs.New(runs.Options{Timing: opt.Timing, MaxLease: opt.MaxLease, Disabled: policy.Linked()}),
		links:         make(map[identity.Incarnation]*guardLink),
		targets:       make(map[string]*target),
		dialSlots:     make(chan struct{}, maxConcurrentDials),
		changed:       make(chan struct{}, 1),
		unsavedReport: make(chan *runs.Report, 1),
		offerLog:      offerLog{order: runs.InTurn},
	}
	g.deadlineTimer = newDeadlineTimer(opt.Clock, func() {
		g.step(func(now time.Duration, m *runs.Machine) { m.Tick(now) })
	})
	return g
}

// Run maintains links to entries until ctx ends, and returns when its goroutines have ended.
func (g *Guard) Run(ctx context.Context) {
	g.mu.Lock()
	g.ctx = ctx
	g.mu.Unlock()
	g.AddEntries(g.opt.Entries)
	if g.opt.StateStore != nil {
		g.goroutines.Go(func() { g.persistState(ctx) })
	}
	g.discoverEntries(ctx)
	g.mu.Lock()
	for _, l := range g.links {
		l.link.Close("guard stops")
	}
	g.deadlineTimer.stop()
	g.mu.Unlock()
	g.goroutines.Wait()
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
	for _, action := range g.machine.Actions(now) {
		g.execute(&action)
	}
	g.recordOffers(now)
	g.updateDrainComplete()
	if w := g.machine.Worker(); w.WorkerInstance != before.WorkerInstance || w.Usable != before.Usable || w.Leaving != before.Leaving {
		g.opt.Log.Info("worker changed", "worker", w.WorkerInstance, "usable", w.Usable, "leaving", w.Leaving, "cpu", w.Capacity.CPU)
	}
	g.deadlineTimer.set(g.machine.NextTick())
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

func (g *Guard) execute(action *runs.Action) {
	switch {
	case action.RejectedReport != nil:
		g.noteRejectedReport(action.RejectedReport)
	case action.CrashReport != nil:
		g.relayOwnCrash(action.CrashReport)
	case action.Fetch != nil:
		go g.fetchText(action.Fetch)
	case action.Start != nil:
		g.opt.Metrics.Inc(telemetry.TasksStarted)
		g.startRun(action.Start)
	case action.Stop != nil:
		g.stopRun(action.Stop)
	case action.Hold != nil:
		go g.renewLease(action.Hold)
	case action.Send != nil:
		if ends := action.Send.Frame.RunsEnded; ends != nil {
			g.logFailedRuns(action.Send.To, ends)
		}
		if l := g.links[action.Send.To]; l != nil {
			_ = l.link.Send(action.Send.Frame) // the reader of a lost link notifies the machine
		}
	}
}

// noteRejectedReport counts a report whose instance is not at the worker's address, and logs it once
// for each instance.
func (g *Guard) noteRejectedReport(rep *runs.Report) {
	g.opt.Metrics.Inc(telemetry.MalformedItems)
	if g.lastRejected == rep.WorkerInstance {
		return
	}
	g.lastRejected = rep.WorkerInstance
	g.opt.Log.Warn("report of another worker instance passed over", "reported", rep.WorkerInstance, "worker", g.machine.Worker().WorkerInstance)
}

// logFailedRuns logs one line for each run that ended without success. A refusal for lack of
// capacity is normal operation: the entry places the task on another worker.
func (g *Guard) logFailedRuns(entry identity.Incarnation, r *wire.RunsEnded) {
	for i := range r.Ends {
		end := &r.Ends[i]
		if end.Kind == errkind.None {
			continue
		}
		logger := g.opt.Log
		if end.Kind == errkind.Busy {
			logger = g.opt.RoutineLog
		}
		logger.Info("run ended", "job", end.Job, "step", end.Step, "task", end.Index, "run", end.Run, "entry", entry,
			"outcome", end.Kind, "ran", end.Ran, "took", time.Duration(end.RunMs)*time.Millisecond, "free", r.Load.Free.CPU)
	}
}

// fetchText fetches the text of a job from another guard.
func (g *Guard) fetchText(f *runs.Fetch) {
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	text, err := g.opt.FetchText(ctx, f)
	if err != nil {
		g.opt.Metrics.Inc(telemetry.TextFetchesFailed)
		g.opt.Log.Info("text not fetched", "job", f.Job, "entry", f.From, "source", f.Source, "err", err)
	} else {
		g.opt.Metrics.Inc(telemetry.TextsFetched)
	}
	g.step(func(now time.Duration, m *runs.Machine) { m.HandleFetchAnswer(now, f.From, f.Job, text, err == nil) })
}

func (g *Guard) startRun(s *runs.Start) {
	deadline := time.Now().Add(s.Timeout)
	g.workerCalls.add(func() {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		answer := g.opt.Worker.Start(ctx, s)
		if answer.Verdict != runs.Done {
			g.opt.Log.Info("start not taken", "job", s.Key.Job, "step", s.Key.Step, "task", s.Key.Index, "run", s.Key.Run, "verdict", answer.Verdict)
		}
		g.step(func(now time.Duration, m *runs.Machine) { m.HandleStartAnswer(now, s.Key, answer) })
	})
}

func (g *Guard) stopRun(s *runs.Stop) {
	deadline := time.Now().Add(s.Timeout)
	g.workerCalls.add(func() {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		v, clockMs := g.opt.Worker.Stop(ctx, s)
		g.step(func(now time.Duration, m *runs.Machine) { m.HandleStopAnswer(now, s.Key, v, clockMs) })
	})
}

func (g *Guard) renewLease(h *runs.Hold) {
	ctx, cancel := context.WithTimeout(context.Background(), h.Wait+h.Timeout)
	defer cancel()
	answer := g.opt.Worker.Hold(ctx, h)
	if answer.Verdict != runs.Done {
		g.opt.Log.Info("worker lease not renewed", "worker", h.Worker, "verdict", answer.Verdict)
	}
	g.step(func(now time.Duration, m *runs.Machine) { m.HandleHoldAnswer(now, h.Worker, answer) })
}

// HandleReport handles a report of the worker, and queues it for saving if its content has
// changed.
func (g *Guard) HandleReport(rep *runs.Report) {
	g.step(func(now time.Duration, m *runs.Machine) {
		g.hasReport = true
		m.HandleReport(now, rep)
	})
	g.queueReport(rep)
}

// HandleTermination handles the announcement of a worker that it is terminating. id identifies
// the worker instance.
func (g *Guard) HandleTermination(id string) {
	g.step(func(now time.Duration, m *runs.Machine) { m.HandleTermination(now, id) })
}

// Drain begins a planned stop. It waits until nothing runs and every run end was acknowledged
// to the worker, or until ctx ends.
func (g *Guard) Drain(ctx context.Context) {
	g.step(func(now time.Duration, m *runs.Machine) { m.Drain(now) })
	for !g.isSettled() {
		select {
		case <-g.changed:
		case <-ctx.Done():
			return
		}
	}
}

func (g *Guard) isSettled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.IsSettled()
}
