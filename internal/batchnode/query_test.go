package batchnode

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/batch"
	"wigeontray/internal/errkind"
)

// A caller's second connection leads to another entry than the one that runs its
// job. Asked there, the job was said not to exist, and the caller would give up an
// escort that is being booked.
func TestQueryFindsJobAtAnotherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, a, b, _ := newTwoEntryFleet(t)
		defer f.stop()
		go a.Submit(f.ctx, testJob("1", 1), 9*time.Second)
		time.Sleep(100 * time.Millisecond)
		state, certain := b.Query(f.ctx, "1", false)
		f.Check(state, qt.Equals, batch.Running)
		f.Check(certain, qt.IsTrue)
		state, certain = b.Query(f.ctx, "2", false)
		f.Check(state, qt.Equals, batch.Unknown)
		f.Check(certain, qt.IsTrue)
	})
}

// A caller cancels over a connection to another entry than the one that runs its
// job. Told that there is no such job, it believes the work has stopped, while the
// task goes on and keeps its room from others.
func TestCancelReachesJobAtAnotherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, a, b, w := newTwoEntryFleet(t)
		defer f.stop()
		outs := make(chan *batch.Outcome, 1)
		go func() { outs <- a.Submit(f.ctx, testJob("1", 2), 9*time.Second) }()
		time.Sleep(100 * time.Millisecond)
		state, certain := b.Query(f.ctx, "1", true)
		f.Check(state, qt.Equals, batch.Cancelled)
		f.Check(certain, qt.IsTrue)
		f.Check((<-outs).Err.Kind, qt.Equals, errkind.Cancelled)
		time.Sleep(20 * time.Millisecond)
		f.Check(w.running(), qt.Equals, 0)
	})
}

// An entry is dark and may run the job that another one is asked for. "No such job"
// would be a guess; the caller has to be told that it is not known.
func TestQueryIsUncertainWhileEntryIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, b, _ := newTwoEntryFleet(t)
		defer f.stop()
		f.kill("a")
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		_, certain := b.Query(f.ctx, "1", false)
		f.Check(certain, qt.IsFalse)
		f.Check(time.Since(began) <= maxQueryAttempts*queryTimeout, qt.IsTrue)
		// Once its registration has ended it is known to be gone, and its jobs are.
		f.setEntries("b")
		_, certain = b.Query(f.ctx, "1", false)
		f.Check(certain, qt.IsTrue)
	})
}

// newTwoEntryFleet is a fleet of entries a and b, which know of each other, and a guard whose
// worker takes a minute for a task.
func newTwoEntryFleet(t *testing.T) (f *fleet, a, b *Entry, w *worker) {
	f = newFleet(t)
	a, b = f.entry("a"), f.entry("b")
	w = newWorker(f, time.Minute)
	f.guard(w, nil, "a", "b").Heard(w.report())
	time.Sleep(time.Second)
	f.setEntries("a", "b")
	return f, a, b, w
}

// setEntries does what the list of entries in the store does.
func (f *fleet) setEntries(addresses ...string) {
	for _, e := range f.entries {
		e.SetEntries(append([]string(nil), addresses...))
	}
	synctest.Wait()
}

// Guards against two runs of a job at once: a cut heals, and a request that it held up is begun while the job runs at the entry to which its caller has sent it again.
func TestDelayedRequestIsRefusedWhileJobRunsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, a, b, w := newTwoEntryFleet(t)
		defer f.stop()
		go a.Submit(f.ctx, testJob("1", 1), 9*time.Second)
		time.Sleep(100 * time.Millisecond)
		held := testJob("1", 1)
		held.HeldUp = true
		began := time.Now()
		out := b.Submit(f.ctx, held, 9*time.Second)
		f.Assert(out, qt.IsNotNil)
		f.Check(out.Err.Kind, qt.Equals, errkind.OutcomeUnknown)
		f.Check(out.Err.Ran, qt.Equals, errkind.RanUnknown)
		f.Check(time.Since(began) < 20*time.Millisecond, qt.IsTrue)
		f.Check(w.running(), qt.Equals, 1)
	})
}

// Guards against callers who wait long for an entry that is dark, after a pause of all of them.
func TestDelayedRequestStartsSoonWhileEntryIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, b, w := newTwoEntryFleet(t)
		defer f.stop()
		f.kill("a")
		time.Sleep(100 * time.Millisecond)
		job := testJob("1", 1)
		job.HeldUp = true
		go b.Submit(f.ctx, job, 9*time.Second)
		time.Sleep(heldUpQueryTimeout + 10*time.Millisecond)
		f.Check(w.running(), qt.Equals, 1)
	})
}
