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
	"wigeontray/internal/runs"
	"wigeontray/internal/telemetry"
)

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
		f.assertComplete(out)
		f.Assert(time.Since(began) < 110*time.Millisecond, qt.IsTrue)
		f.Assert(e.State("1"), qt.Equals, batch.Complete)
	})
}

// A caller sends a job again while it runs, and once more after its answer. It
// remains one job: nothing is started a second time.
func TestResubmittedJobIsJoined(t *testing.T) {
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
		f.assertComplete(<-outs)
		f.assertComplete(<-outs)
		f.assertComplete(e.Submit(f.ctx, testJob("1", 1), time.Second))
		f.Assert(w.starts, qt.Equals, 1)
	})
}

// A caller leaves. Its tasks are stopped at once and their room serves others.
func TestTasksStopWhenCallerDisconnects(t *testing.T) {
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
func TestRunsOfKilledEntryEndBeforeResubmission(t *testing.T) {
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
func TestEntryAnswersJobsAsUnknownAfterFreeze(t *testing.T) {
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
		// One that joins later gets it as well, before the store answers it.
		f.entry("c")
		f.guards[0].AddEntries([]string{"c"})
		time.Sleep(time.Second)
		f.Assert(f.configVersion("c"), qt.Equals, int64(5))
	})
}

// An older configuration arrives after a newer one, by a stale read or a slow
// link. A process that went back would refuse what it has just served.
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

// Every address in a guard's settings is of an entry that has been replaced. The
// guard finds the others in the store; its worker would stand idle for good.
func TestGuardFindsEntriesInStore(t *testing.T) {
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
func TestGuardDrainWaitsForRunningTasks(t *testing.T) {
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
		drainCtx, cancel := context.WithTimeout(f.ctx, 5*time.Second)
		defer cancel()
		g.Drain(drainCtx)
		f.Assert(drainCtx.Err(), qt.IsNil)
		f.assertComplete(<-outs)
		f.Assert(e.Submit(f.ctx, testJob("2", 1), time.Second).Err.Kind, qt.Equals, errkind.NoWorkers)
	})
}

// memoryReportStore is a Memory that a test looks into.
type memoryReportStore struct {
	mu  sync.Mutex
	rep *runs.Report
}

func (m *memoryReportStore) Load(context.Context) (*runs.Report, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rep, nil
}

func (m *memoryReportStore) Save(_ context.Context, rep *runs.Report) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rep = rep
	return nil
}

// All guards are killed at once. Their workers report only a second later; until
// then every request would be refused for want of a worker.
func TestGuardStartsFromStoredReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		w, reports := newWorker(f, time.Second), new(memoryReportStore)
		ctx, kill := context.WithCancel(f.ctx)
		first := NewGuard(GuardOptions{
			Name: "guard", Worker: w, Clock: f.clock, Metrics: telemetry.New(), Log: discardLogger(), Memory: reports,
			Dial: f.dial, Lookup: func(context.Context) ([]string, error) { return nil, nil },
		})
		go first.Run(ctx)
		first.Heard(w.report())
		synctest.Wait()
		kill()
		e := f.entry("a")
		second := NewGuard(GuardOptions{
			Name: "guard", Entries: []string{"a"}, Worker: w, Clock: f.clock, Metrics: telemetry.New(), Log: discardLogger(), Memory: reports,
			Dial: f.dial, Lookup: func(context.Context) ([]string, error) { return nil, nil },
		})
		go second.Run(f.ctx)
		time.Sleep(20 * time.Millisecond)
		f.Assert(e.Workers(), qt.Equals, 1)
	})
}

// A worker had announced that it leaves before its guard was killed. The successor
// must not begin with the report from before.
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
			Memory: &memoryReportStore{rep: rep}, Dial: f.dial, Lookup: func(context.Context) ([]string, error) { return nil, nil },
		})
		go g.Run(f.ctx)
		time.Sleep(time.Second)
		f.Assert(e.Workers(), qt.Equals, 0)
	})
}

// All entries lose their power and come back. Until their earlier registrations
// lapse, the list names each address twice. Counted so, each entry counted on half
// of its part of the workers, and refused jobs that had time for six seconds.
func TestDuplicateEntryAddressesAreCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		e.SetEntries([]string{"a", "b", "b", "a"})
		f.Assert(e.machine.Snapshot(0).Entries, qt.Equals, 2)
	})
}
