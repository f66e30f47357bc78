package batchnode

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"wigeontray/internal/batch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/runs"
	"wigeontray/internal/sched"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
	"wigeontray/internal/wire/wiretest"
)

// fleet is entries and guards in one bubble of time, with links in memory.
type fleet struct {
	*qt.C
	ctx     context.Context
	end     context.CancelFunc
	began   time.Time
	frozen  time.Duration // added to every clock
	entries map[string]*Entry
	guards  []*Guard
	applied map[string]int64 // version in force by address of the entry
	mu      sync.Mutex
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{C: qt.New(t), began: time.Now(), entries: make(map[string]*Entry), applied: make(map[string]int64)}
	f.ctx, f.end = context.WithCancel(context.Background())
	return f
}

func (f *fleet) clock() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Hour + time.Since(f.began) + f.frozen
}

// freeze lets time pass that no process takes part in.
func (f *fleet) freeze(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen += d
}

func quiet() *log.Logger { return log.New(io.Discard) }

func (f *fleet) entry(address string) *Entry {
	e := NewEntry(EntryOptions{
		Name: "entry", Address: address, Clock: f.clock, Metrics: telemetry.New(), Log: quiet(),
		Apply: func(version int64, _ []byte) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.applied[address] = version
			return nil
		},
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[address] = e
	go e.KeepBeat(f.ctx)
	return e
}

func (f *fleet) dial(_ context.Context, address string) (wire.Link, error) {
	f.mu.Lock()
	e := f.entries[address]
	f.mu.Unlock()
	if e == nil {
		return nil, errors.New("nobody listens")
	}
	here, there := wiretest.Pipe()
	go e.Serve(f.ctx, there)
	return here, nil
}

func (f *fleet) guard(w Worker, lookup []string, entries ...string) *Guard {
	g := NewGuard(GuardOptions{
		Name: "guard", Entries: entries, Worker: w, Clock: f.clock, Metrics: telemetry.New(), Log: quiet(),
		Dial: f.dial, Lookup: func(context.Context) ([]string, error) { return lookup, nil },
	})
	f.guards = append(f.guards, g)
	go g.Run(f.ctx)
	return g
}

func (f *fleet) complete(out *batch.Outcome) {
	f.Helper()
	f.Assert(out.Err == nil, qt.IsTrue, qt.Commentf("%v", out.Err))
}

// kill ends an entry; nobody listens at its address any more.
func (f *fleet) kill(address string) {
	f.mu.Lock()
	e := f.entries[address]
	delete(f.entries, address)
	f.mu.Unlock()
	e.Close()
}

// inForce is the version of the configuration at an entry.
func (f *fleet) inForce(address string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied[address]
}

// stop ends all goroutines of the bubble.
func (f *fleet) stop() {
	f.end()
	for _, e := range f.entries {
		e.Close()
	}
	synctest.Wait()
}

// worker runs tasks for a fixed time.
type worker struct {
	f       *fleet
	takes   time.Duration
	mu      sync.Mutex
	active  map[runs.Key]*time.Timer
	began   map[runs.Key]time.Time
	ended   []runs.Ended
	number  int64
	changed chan struct{}
	starts  int
}

func newWorker(f *fleet, takes time.Duration) *worker {
	return &worker{f: f, takes: takes, active: make(map[runs.Key]*time.Timer), began: make(map[runs.Key]time.Time), changed: make(chan struct{}, 1)}
}

func (w *worker) clockMs() int64 { return w.f.clock().Milliseconds() }

func (w *worker) report() *runs.Report {
	return &runs.Report{ID: "worker-1", Seq: 1, ClockMs: w.clockMs(), Service: "svc", Capacity: sched.Room{CPU: 8000}}
}

func (w *worker) Start(_ context.Context, s *runs.Start) runs.StartAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	w.began[s.Key] = time.Now()
	w.active[s.Key] = time.AfterFunc(w.takes, func() { w.finish(s.Key, runs.EndDone) })
	return runs.StartAnswer{ClockMs: w.clockMs()}
}

func (w *worker) finish(k runs.Key, how runs.How) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active[k] == nil {
		return
	}
	delete(w.active, k)
	w.number++
	w.ended = append(w.ended, runs.Ended{Number: w.number, Key: k, How: how})
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (w *worker) Stop(_ context.Context, s *runs.Stop) (runs.Verdict, int64) {
	w.finish(s.Key, runs.EndStopped)
	return runs.Done, w.clockMs()
}

func (w *worker) Hold(ctx context.Context, h *runs.Hold) *runs.HoldAnswer {
	if a := w.lists(h.Ack); len(a.Ended) > 0 || h.Wait == 0 {
		return a
	}
	select {
	case <-w.changed:
	case <-time.After(h.Wait):
	case <-ctx.Done():
	}
	return w.lists(h.Ack)
}

func (w *worker) lists(ack int64) *runs.HoldAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := &runs.HoldAnswer{ClockMs: w.clockMs()}
	for _, e := range w.ended {
		if e.Number > ack {
			a.Ended = append(a.Ended, e)
		}
	}
	for k := range w.active {
		a.Active = append(a.Active, runs.Active{Key: k, Percent: int64(100 * time.Since(w.began[k]) / w.takes)})
	}
	return a
}

func (w *worker) running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.active)
}

var testQueue = &batch.Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 1.6, Slack: 60 * time.Millisecond}

func testJob(id string, tasks int) *batch.Job {
	return &batch.Job{ID: id, Queue: testQueue, Steps: []batch.Step{{
		Count: tasks, Need: sched.Room{CPU: 2000}, Estimate: 100 * time.Millisecond,
	}}}
}

// A job goes from its caller over an entry and a guard to a worker, and its answer
// comes back when its last task has ended.
func TestJobIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		w := newWorker(f, 100*time.Millisecond)
		f.guard(w, nil, "a").Heard(w.report())
		time.Sleep(time.Second)
		f.Assert(e.Workers(), qt.Equals, 1)
		began := time.Now()
		out := e.Submit(f.ctx, testJob("1", 3), time.Second)
		f.complete(out)
		f.Assert(time.Since(began) < 110*time.Millisecond, qt.IsTrue)
		f.Assert(e.State("1"), qt.Equals, batch.Complete)
	})
}

// A caller sends a job again while it runs, and once more after its answer. It
// remains one job: nothing is started a second time.
func TestJobThatIsSentAgainIsJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		w := newWorker(f, 100*time.Millisecond)
		f.guard(w, nil, "a").Heard(w.report())
		time.Sleep(time.Second)
		outs := make(chan *batch.Outcome, 2)
		for range 2 {
			go func() { outs <- e.Submit(f.ctx, testJob("1", 1), time.Second) }()
		}
		f.complete(<-outs)
		f.complete(<-outs)
		f.complete(e.Submit(f.ctx, testJob("1", 1), time.Second))
		f.Assert(w.starts, qt.Equals, 1)
	})
}

// A caller leaves. Its tasks are stopped at once and their room serves others.
func TestTasksOfACallerWhoLeftAreStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		w := newWorker(f, time.Minute)
		f.guard(w, nil, "a").Heard(w.report())
		time.Sleep(time.Second)
		ctx, leave := context.WithTimeout(f.ctx, 300*time.Millisecond)
		defer leave()
		f.Assert(e.Submit(ctx, testJob("1", 2), 5*time.Second), qt.IsNil)
		time.Sleep(20 * time.Millisecond)
		f.Assert(w.running(), qt.Equals, 0)
	})
}

// An entry is killed while a task runs for it. Its caller sends the job to another
// entry 1.3 s later; the first run must have ended by then.
func TestRunsOfAKilledEntryEndBeforeTheJobIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		a, b := f.entry("a"), f.entry("b")
		w := newWorker(f, time.Minute)
		f.guard(w, nil, "a", "b").Heard(w.report())
		time.Sleep(time.Second)
		go a.Submit(f.ctx, testJob("1", 1), 9*time.Second)
		time.Sleep(300 * time.Millisecond)
		f.Assert(w.running(), qt.Equals, 1)
		f.kill("a")
		time.Sleep(1300 * time.Millisecond)
		f.Assert(w.running(), qt.Equals, 0)
		go b.Submit(f.ctx, testJob("1", 1), time.Second)
		time.Sleep(100 * time.Millisecond)
		f.Assert(w.running(), qt.Equals, 1)
	})
}

// An entry freezes for seconds with a job that waits. Its caller has long sent the
// job elsewhere when it wakes; begun then, it would run beside itself.
func TestFrozenEntryAnswersItsJobsWhenItWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		w := newWorker(f, time.Minute)
		f.guard(w, nil, "a").Heard(w.report())
		time.Sleep(time.Second)
		outs := make(chan *batch.Outcome, 1)
		go func() { outs <- e.Submit(f.ctx, testJob("1", 1), 9*time.Second) }()
		time.Sleep(100 * time.Millisecond)
		f.freeze(3 * time.Second)
		out := <-outs
		f.Assert(out.Err.Kind, qt.Equals, errkind.WorkerLost)
		f.Assert(out.Err.Ran, qt.Equals, errkind.RanUnknown)
	})
}

// The store turns one entry away and serves the other. The configuration reaches
// the first through a guard; without that it would obey an old one for as long as
// the store likes, and its callers would be told that a new queue does not exist.
func TestConfigurationReachesAnEntryThatTheStoreTurnsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		a := f.entry("a")
		f.entry("b")
		f.guard(newWorker(f, time.Second), nil, "a", "b")
		time.Sleep(time.Second)
		f.Assert(a.Offer(5, []byte("five")), qt.IsNil)
		time.Sleep(time.Second)
		f.Assert(f.inForce("b"), qt.Equals, int64(5))
		// One that joins later gets it as well, before the store answers it.
		f.entry("c")
		f.guards[0].AddEntries([]string{"c"})
		time.Sleep(time.Second)
		f.Assert(f.inForce("c"), qt.Equals, int64(5))
	})
}

// An older configuration arrives after a newer one, by a stale read or a slow
// link. A process that went back would refuse what it has just served.
func TestConfigurationNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		f.Assert(e.Offer(7, []byte("seven")), qt.IsNil)
		f.Assert(e.Offer(6, []byte("six")), qt.IsNil)
		version, document := e.Config()
		f.Assert(version, qt.Equals, int64(7))
		f.Assert(string(document), qt.Equals, "seven")
	})
}

// Every address in a guard's settings is of an entry that has been replaced. The
// guard finds the others in the store; its worker would stand idle for good.
func TestGuardFindsEntriesInTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("new")
		w := newWorker(f, time.Second)
		f.guard(w, []string{"new"}, "old-1", "old-2").Heard(w.report())
		time.Sleep(4 * time.Second)
		f.Assert(e.Workers(), qt.Equals, 1)
	})
}

// A guard is stopped as planned while a task runs. The task ends, its caller gets
// the answer, and the worker is told that the end was noted.
func TestPlannedStopOfAGuardLetsTasksEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		w := newWorker(f, time.Second)
		g := f.guard(w, nil, "a")
		g.Heard(w.report())
		time.Sleep(time.Second)
		outs := make(chan *batch.Outcome, 1)
		go func() { outs <- e.Submit(f.ctx, testJob("1", 1), 5*time.Second) }()
		time.Sleep(100 * time.Millisecond)
		limit, cancel := context.WithTimeout(f.ctx, 5*time.Second)
		defer cancel()
		g.Drain(limit)
		f.Assert(limit.Err(), qt.IsNil)
		f.complete(<-outs)
		f.Assert(e.Submit(f.ctx, testJob("2", 1), time.Second).Err.Kind, qt.Equals, errkind.NoWorkers)
	})
}

// memory is a Memory that a test looks into.
type memory struct {
	mu  sync.Mutex
	rep *runs.Report
}

func (m *memory) Load(context.Context) (*runs.Report, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rep, nil
}

func (m *memory) Save(_ context.Context, rep *runs.Report) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rep = rep
	return nil
}

// All guards are killed at once. Their workers report only a second later; until
// then every request would be refused for want of a worker.
func TestGuardBeginsWithWhatItsPredecessorKnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		w, mem := newWorker(f, time.Second), new(memory)
		ctx, kill := context.WithCancel(f.ctx)
		first := NewGuard(GuardOptions{
			Name: "guard", Worker: w, Clock: f.clock, Metrics: telemetry.New(), Log: quiet(), Memory: mem,
			Dial: f.dial, Lookup: func(context.Context) ([]string, error) { return nil, nil },
		})
		go first.Run(ctx)
		first.Heard(w.report())
		synctest.Wait()
		kill()
		e := f.entry("a")
		second := NewGuard(GuardOptions{
			Name: "guard", Entries: []string{"a"}, Worker: w, Clock: f.clock, Metrics: telemetry.New(), Log: quiet(), Memory: mem,
			Dial: f.dial, Lookup: func(context.Context) ([]string, error) { return nil, nil },
		})
		go second.Run(f.ctx)
		time.Sleep(20 * time.Millisecond)
		f.Assert(e.Workers(), qt.Equals, 1)
	})
}

// A worker had announced that it leaves before its guard was killed. The successor
// must not begin with the report from before.
func TestGuardDoesNotBeginWithALeavingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		w := newWorker(f, time.Second)
		rep := w.report()
		rep.Draining = true
		e := f.entry("a")
		g := NewGuard(GuardOptions{
			Name: "guard", Entries: []string{"a"}, Worker: w, Clock: f.clock, Metrics: telemetry.New(), Log: quiet(),
			Memory: &memory{rep: rep}, Dial: f.dial, Lookup: func(context.Context) ([]string, error) { return nil, nil },
		})
		go g.Run(f.ctx)
		time.Sleep(time.Second)
		f.Assert(e.Workers(), qt.Equals, 0)
	})
}

// All entries lose their power and come back. Until their earlier registrations
// lapse, the list names each address twice. Counted so, each entry reckoned with half
// of its part of the workers, and refused jobs that had time for six seconds.
func TestEntryThatIsListedTwiceIsCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		e.SetEntries([]string{"a", "b", "b", "a"})
		f.Assert(e.machine.Snapshot().Entries, qt.Equals, 2)
	})
}
