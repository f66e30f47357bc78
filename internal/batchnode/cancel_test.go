package batchnode

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/batch"
	"wigeontray/internal/errkind"
)

// newCancelFleet starts entries a, b and c, which have each other's address, and two guards whose
// workers take a minute per task.
func newCancelFleet(t *testing.T) (f *fleet, workers []*worker) {
	f = newFleet(t)
	for _, address := range []string{"a", "b", "c"} {
		f.entry(address)
	}
	for range 2 {
		w := newWorker(f, time.Minute)
		f.guard(w, nil, "a", "b", "c").HandleReport(w.report())
		workers = append(workers, w)
	}
	time.Sleep(time.Second)
	f.setEntries("a", "b", "c")
	return f, workers
}

// checkCopyIsNotRun checks that a copy of the request for a cancelled job is answered as cancelled and
// starts nothing.
func (f *fleet) checkCopyIsNotRun(address, id string, workers []*worker) {
	f.Helper()
	starts := startsAt(workers)
	out := f.entries[address].Submit(f.ctx, testJob(id, 2), 9*time.Second)
	f.Assert(out, qt.IsNotNil)
	f.Assert(out.Err, qt.IsNotNil, qt.Commentf("the copy was answered as complete"))
	f.Check(out.Err.Kind, qt.Equals, errkind.Cancelled)
	f.Check(startsAt(workers), qt.Equals, starts)
	f.Check(f.entries[address].State(id), qt.Equals, batch.Cancelled)
}

func startsAt(workers []*worker) (n int) {
	for _, w := range workers {
		w.mu.Lock()
		n += w.starts
		w.mu.Unlock()
	}
	return n
}

// Guards against a cancelled job that runs again: a copy of its request arrives seconds later, at the
// entry that had it, at the one that was told to cancel it, or at a third one.
func TestLateCopyOfCancelledJobIsNotRun(t *testing.T) {
	for _, cancelAt := range []string{"a", "b"} {
		for _, copyTo := range []string{"a", "b", "c"} {
			t.Run("cancelled at "+cancelAt+", copy to "+copyTo, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, workers := newCancelFleet(t)
					defer f.stop()
					outs := make(chan *batch.Outcome, 1)
					go func() { outs <- f.entries["a"].Submit(f.ctx, testJob("1", 2), 9*time.Second) }()
					time.Sleep(100 * time.Millisecond)
					f.Assert(startsAt(workers), qt.Equals, 2)
					state, certain := f.entries[cancelAt].Cancel(f.ctx, "1")
					f.Check(state, qt.Equals, batch.Cancelled)
					f.Check(certain, qt.IsTrue)
					f.Check((<-outs).Err.Kind, qt.Equals, errkind.Cancelled)
					time.Sleep(4 * time.Second)
					f.checkCopyIsNotRun(copyTo, "1", workers)
				})
			})
		}
	}
}

// Guards against a job that runs after its cancellation was acknowledged because its request is read
// later, as after a freeze of the entry, or arrives at another entry.
func TestRequestThatFollowsItsCancellationIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, workers := newCancelFleet(t)
		defer f.stop()
		for id, address := range map[string]string{"1": "a", "2": "b"} {
			state, certain := f.entries["a"].Cancel(f.ctx, id)
			f.Check(state, qt.Equals, batch.Unknown)
			f.Check(certain, qt.IsTrue)
			f.checkCopyIsNotRun(address, id, workers)
		}
	})
}

// Guards against a copy of a cancelled job's request that runs at an entry which was restarted, or which
// all guards had lost, when the job was cancelled.
func TestCancellationReachesEntryThatLinksLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, workers := newCancelFleet(t)
		defer f.stop()
		go f.entries["a"].Submit(f.ctx, testJob("1", 2), 9*time.Second)
		time.Sleep(100 * time.Millisecond)
		f.kill("c")
		time.Sleep(100 * time.Millisecond)
		_, certain := f.entries["a"].Cancel(f.ctx, "1")
		f.Check(certain, qt.IsTrue)
		f.entry("c")
		time.Sleep(4 * time.Second)
		f.checkCopyIsNotRun("c", "1", workers)
	})
}

// Guards against an acknowledged cancellation that other entries never learn: no guard has relayed it.
func TestCancellationWithoutRelayIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		a := f.entry("a")
		f.entry("b")
		f.setEntries("a", "b")
		go a.Submit(f.ctx, testJob("1", 1), 9*time.Second)
		synctest.Wait()
		state, certain := a.Cancel(f.ctx, "1")
		f.Check(state, qt.Equals, batch.Cancelled)
		f.Check(certain, qt.IsFalse)
	})
}

// Guards against a job that is taken for cancelled because its caller has lost the connection: the
// caller submits it again.
func TestJobOfDisconnectedCallerRunsAgain(t *testing.T) {
	for _, address := range []string{"a", "b"} {
		synctest.Test(t, func(t *testing.T) {
			f, workers := newCancelFleet(t)
			defer f.stop()
			ctx, leave := context.WithTimeout(f.ctx, 100*time.Millisecond)
			defer leave()
			f.Assert(f.entries["a"].Submit(ctx, testJob("1", 2), 9*time.Second), qt.IsNil)
			f.Check(f.entries["a"].State("1"), qt.Equals, batch.Unknown)
			time.Sleep(time.Second)
			starts := startsAt(workers)
			go f.entries[address].Submit(f.ctx, testJob("1", 2), 9*time.Second)
			time.Sleep(100 * time.Millisecond)
			f.Check(startsAt(workers), qt.Equals, starts+2)
		})
	}
}

// Guards against a cancelled job that runs again after all entries and guards that knew of the cancellation
// have been replaced.
func TestCancellationOutlivesAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newCancelFleet(t)
		defer f.stop()
		go f.entries["a"].Submit(f.ctx, testJob("1", 2), 9*time.Second)
		time.Sleep(100 * time.Millisecond)
		_, certain := f.entries["a"].Cancel(f.ctx, "1")
		f.Check(certain, qt.IsTrue)
		for _, address := range []string{"a", "b", "c"} {
			f.kill(address)
		}
		f.entry("d")
		w := newWorker(f, time.Minute)
		f.guard(w, nil, "d").HandleReport(w.report())
		f.setEntries("d")
		time.Sleep(4 * time.Second)
		ctx, leave := context.WithTimeout(f.ctx, 300*time.Millisecond)
		defer leave()
		f.entries["d"].Submit(ctx, testJob("1", 2), 9*time.Second)
		f.Check(startsAt([]*worker{w}), qt.Equals, 0)
	})
}
