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

// Guards against an entry reporting a job as unknown while another entry runs it. A caller whose
// second connection leads to the first entry would abandon a booking that is in progress.
func TestQueryFindsJobAtAnotherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, a, b, _ := newTwoEntryFleet(t)
		defer f.stop()
		go a.Submit(f.ctx, testJob("1", 1), 9*time.Second)
		time.Sleep(100 * time.Millisecond)
		state, certain := b.Query(f.ctx, "1")
		f.Check(state, qt.Equals, batch.Running)
		f.Check(certain, qt.IsTrue)
		state, certain = b.Query(f.ctx, "2")
		f.Check(state, qt.Equals, batch.Unknown)
		f.Check(certain, qt.IsTrue)
	})
}

// Guards against a cancellation that reaches another entry than the one that runs the job and has
// no effect. The caller would assume that the job has stopped, while its task continues and
// occupies its worker.
func TestCancelReachesJobAtAnotherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, a, b, w := newTwoEntryFleet(t)
		defer f.stop()
		outs := make(chan *batch.Outcome, 1)
		go func() { outs <- a.Submit(f.ctx, testJob("1", 2), 9*time.Second) }()
		time.Sleep(100 * time.Millisecond)
		state, certain := b.Cancel(f.ctx, "1")
		f.Check(state, qt.Equals, batch.Cancelled)
		f.Check(certain, qt.IsTrue)
		f.Check((<-outs).Err.Kind, qt.Equals, errkind.Cancelled)
		time.Sleep(20 * time.Millisecond)
		f.Check(w.running(), qt.Equals, 0)
	})
}

// Guards against a job reported as nonexistent while an unreachable entry may run it: the result
// must be marked as uncertain.
func TestQueryIsUncertainWhileEntryIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, b, _ := newTwoEntryFleet(t)
		defer f.stop()
		f.kill("a")
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		_, certain := b.Query(f.ctx, "1")
		f.Check(certain, qt.IsFalse)
		f.Check(time.Since(began) <= maxQueryAttempts*queryTimeout, qt.IsTrue)
		// Once its registration has expired, the entry and its jobs are known to have ended.
		f.setEntries("b")
		_, certain = b.Query(f.ctx, "1")
		f.Check(certain, qt.IsTrue)
	})
}

// newTwoEntryFleet starts entries a and b, which have each other's address, and a guard whose
// worker takes a minute per task.
func newTwoEntryFleet(t *testing.T) (f *fleet, a, b *Entry, w *worker) {
	f, a, b, w = newUnlistedFleet(t)
	f.setEntries("a", "b")
	return f, a, b, w
}

// setEntries passes a list of addresses to all entries, as Listing.Keep does.
func (f *fleet) setEntries(addresses ...string) {
	for _, e := range f.entries {
		e.SetEntries(append([]string(nil), addresses...))
	}
	synctest.Wait()
}

// Guards against two concurrent runs of a job: a network partition ends, and a request that it
// delayed arrives while the job runs at the entry to which the caller has resubmitted it.
func TestDelayedRequestIsRefusedWhileJobRunsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, a, b, w := newTwoEntryFleet(t)
		defer f.stop()
		f.checkDelayedRequestIsRefused(a, b, w)
	})
}

// checkDelayedRequestIsRefused runs a job at entry a, and checks that entry b soon refuses a delayed
// request for it.
func (f *fleet) checkDelayedRequestIsRefused(a, b *Entry, w *worker) {
	f.Helper()
	go a.Submit(f.ctx, testJob("1", 1), 9*time.Second)
	time.Sleep(100 * time.Millisecond)
	delayedJob := testJob("1", 1)
	delayedJob.HeldUp = true
	began := time.Now()
	ctx, leave := context.WithTimeout(f.ctx, time.Second)
	defer leave()
	out := b.Submit(ctx, delayedJob, 9*time.Second)
	f.Assert(out, qt.IsNotNil)
	f.Check(out.Err.Kind, qt.Equals, errkind.OutcomeUnknown)
	f.Check(out.Err.Ran, qt.Equals, errkind.RanUnknown)
	f.Check(time.Since(began) < 20*time.Millisecond, qt.IsTrue)
	f.Check(w.running(), qt.Equals, 1)
}

// Guards against a long delay for the first requests after a silence of all callers when another
// entry is unreachable.
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
