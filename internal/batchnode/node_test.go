package batchnode

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/batch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/telemetry"
)

// A job passes from the caller through an entry and a guard to a worker, and the outcome is
// returned when its last task has ended.
func TestJobIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		w := newWorker(f, 100*time.Millisecond)
		f.guard(w, nil, "a").HandleReport(w.report())
		time.Sleep(time.Second)
		f.Assert(e.Workers(), qt.Equals, 1)
		began := time.Now()
		out := e.Submit(f.ctx, testJob("1", 3), time.Second)
		f.assertComplete(out)
		f.Assert(time.Since(began) < 110*time.Millisecond, qt.IsTrue)
		f.Assert(e.State("1"), qt.Equals, batch.Complete)
	})
}

// Guards against a job being started twice when its caller submits it again, while it runs and
// after it is complete.
func TestResubmittedJobIsJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		w := newWorker(f, 100*time.Millisecond)
		f.guard(w, nil, "a").HandleReport(w.report())
		time.Sleep(time.Second)
		outs := make(chan *batch.Outcome, 2)
		for range 2 {
			go func() { outs <- e.Submit(f.ctx, testJob("1", 1), time.Second) }()
		}
		f.assertComplete(<-outs)
		f.assertComplete(<-outs)
		f.assertComplete(e.Submit(f.ctx, testJob("1", 1), time.Second))
		f.Assert(w.starts, qt.Equals, 1)
	})
}

// Guards against tasks that keep occupying their worker after their caller has disconnected.
func TestTasksStopWhenCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		w := newWorker(f, time.Minute)
		f.guard(w, nil, "a").HandleReport(w.report())
		time.Sleep(time.Second)
		ctx, leave := context.WithTimeout(f.ctx, 300*time.Millisecond)
		defer leave()
		f.Assert(e.Submit(ctx, testJob("1", 2), 5*time.Second), qt.IsNil)
		time.Sleep(20 * time.Millisecond)
		f.Assert(w.running(), qt.Equals, 0)
	})
}

// Guards against two concurrent runs of a task after its entry was killed. The caller submits the
// job to another entry 1.3 s later; the first run must have ended by then.
func TestRunsOfKilledEntryEndBeforeResubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		a, b := f.entry("a"), f.entry("b")
		w := newWorker(f, time.Minute)
		f.guard(w, nil, "a", "b").HandleReport(w.report())
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

// Guards against two concurrent runs of a job after its entry was frozen for seconds. The caller
// has submitted the job to another entry by the time the first one resumes, so the first one must
// not continue it.
func TestEntryAnswersJobsAsUnknownAfterFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		w := newWorker(f, time.Minute)
		f.guard(w, nil, "a").HandleReport(w.report())
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

// Guards against an entry that cannot read the store staying on an old configuration, while another
// entry has the new one. It must receive the new one through a guard; otherwise it would answer
// its callers that a new queue does not exist.
func TestConfigReachesEntryWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		a := f.entry("a")
		f.entry("b")
		f.guard(newWorker(f, time.Second), nil, "a", "b")
		time.Sleep(time.Second)
		f.Assert(a.OfferConfig(5, []byte("five")), qt.IsNil)
		time.Sleep(time.Second)
		f.Assert(f.configVersion("b"), qt.Equals, int64(5))
		// An entry that joins later also receives it, without the store.
		f.entry("c")
		f.guards[0].AddEntries([]string{"c"})
		time.Sleep(time.Second)
		f.Assert(f.configVersion("c"), qt.Equals, int64(5))
	})
}

// Guards against an older configuration, from a stale read or a slow link, replacing a newer one.
// The entry would then refuse requests of a kind that it has just served.
func TestOlderConfigIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		f.Assert(e.OfferConfig(7, []byte("seven")), qt.IsNil)
		f.Assert(e.OfferConfig(6, []byte("six")), qt.IsNil)
		version, document := e.Config()
		f.Assert(version, qt.Equals, int64(7))
		f.Assert(string(document), qt.Equals, "seven")
	})
}

// Guards against a worker that stays idle because all entries in the settings of its guard have
// been replaced. The guard must look up the current ones in the store.
func TestGuardFindsEntriesInStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("new")
		w := newWorker(f, time.Second)
		f.guard(w, []string{"new"}, "old-1", "old-2").HandleReport(w.report())
		time.Sleep(4 * time.Second)
		f.Assert(e.Workers(), qt.Equals, 1)
	})
}

// Guards against a planned stop of a guard that interrupts a running task. The task must end, its
// caller must receive the outcome, and the end must be acknowledged to the worker.
func TestGuardDrainWaitsForRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		w := newWorker(f, time.Second)
		g := f.guard(w, nil, "a")
		g.HandleReport(w.report())
		time.Sleep(time.Second)
		outs := make(chan *batch.Outcome, 1)
		go func() { outs <- e.Submit(f.ctx, testJob("1", 1), 5*time.Second) }()
		time.Sleep(100 * time.Millisecond)
		drainCtx, cancel := context.WithTimeout(f.ctx, 5*time.Second)
		defer cancel()
		g.Drain(drainCtx)
		f.Assert(drainCtx.Err(), qt.IsNil)
		f.assertComplete(<-outs)
		f.Assert(e.Submit(f.ctx, testJob("2", 1), time.Second).Err.Kind, qt.Equals, errkind.NoWorkers)
	})
}

// memoryStateStore is a StateStore that holds the state in a variable.
type memoryStateStore struct {
	mu    sync.Mutex
	state *SavedState
}

func (m *memoryStateStore) Load(context.Context) (*SavedState, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state, nil
}

func (m *memoryStateStore) Save(_ context.Context, state *SavedState) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
	return nil
}

// Guards against every request being refused for lack of workers after all guards were killed at
// once: the next reports of their workers arrive only a second later.
func TestGuardStartsFromStoredReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		w, saved := newWorker(f, time.Second), new(memoryStateStore)
		ctx, kill := context.WithCancel(f.ctx)
		first := NewGuard(GuardOptions{
			Name: "guard", Worker: w, Clock: f.clock, Metrics: telemetry.New(), Log: discardLogger(), StateStore: saved,
			Dial: f.dial, Lookup: func(context.Context) ([]string, error) { return nil, nil },
		})
		go first.Run(ctx)
		first.HandleReport(w.report())
		synctest.Wait()
		kill()
		e := f.entry("a")
		second := NewGuard(GuardOptions{
			Name: "guard", Entries: []string{"a"}, Worker: w, Clock: f.clock, Metrics: telemetry.New(), Log: discardLogger(), StateStore: saved,
			Dial: f.dial, Lookup: func(context.Context) ([]string, error) { return nil, nil },
		})
		go second.Run(f.ctx)
		time.Sleep(20 * time.Millisecond)
		f.Assert(e.Workers(), qt.Equals, 1)
	})
}

// Guards against a restarted guard using a worker that had announced its termination before the
// guard was killed.
func TestGuardIgnoresStoredReportOfDrainingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		w := newWorker(f, time.Second)
		rep := w.report()
		rep.Draining = true
		e := f.entry("a")
		g := NewGuard(GuardOptions{
			Name: "guard", Entries: []string{"a"}, Worker: w, Clock: f.clock, Metrics: telemetry.New(), Log: discardLogger(),
			StateStore: &memoryStateStore{state: &SavedState{Report: *rep}}, Dial: f.dial, Lookup: func(context.Context) ([]string, error) { return nil, nil },
		})
		go g.Run(f.ctx)
		time.Sleep(time.Second)
		f.Assert(e.Workers(), qt.Equals, 0)
	})
}

// Guards against entries counted twice after a power loss of all of them: until the earlier
// registrations expire, the list contains each address twice. Each entry then assumed half of its
// share of the workers, and for six seconds refused jobs that it could have completed in time.
func TestDuplicateEntryAddressesAreCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		e.SetEntries([]string{"a", "b", "b", "a"})
		f.Assert(e.machine.Snapshot(0).Entries, qt.Equals, 2)
	})
}
