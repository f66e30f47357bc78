package runs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// Guards against a crash of the worker that is not told as one, and against innocent tasks that are blamed beside one that is suspected already.
func TestCrashIsBlamedOnSuspectsFirst(t *testing.T) {
	crashed := func(suspect bool) []bool {
		r := newRig(t)
		r.m.LinkUp(r.now, otherEntry)
		r.seq++
		tasks := []wire.RunTask{{Index: 1, Run: 1, Need: sched.Room{CPU: 1000}}, {Index: 2, Run: 1, Need: sched.Room{CPU: 1000}}}
		if suspect {
			tasks[1].Crashes = 1
		}
		r.m.Run(r.now, testEntry, &wire.RunTasks{Seq: r.seq, ClockMs: r.now.Milliseconds(), Job: "job", LeftMs: 5000, Tasks: tasks})
		r.started(key(1), Done)
		r.started(key(2), Done)
		r.send(r.now, 3) // its start may come after the crash
		r.actions()
		r.m.Heard(r.now, r.report("worker-2", 1)) // another life has begun
		r.held(testWorker, HoldAnswer{Verdict: OtherWorker})
		var out []bool
		told := 0
		for _, a := range r.actions() {
			switch {
			case a.Send == nil:
			case a.Send.Frame.RunsEnded != nil:
				for _, e := range a.Send.Frame.RunsEnded.Ends {
					out = append(out, e.Crashed)
				}
			case a.Send.Frame.WorkerCrash != nil:
				r.Check(a.Send.To, qt.Equals, otherEntry)
				told = len(a.Send.Frame.WorkerCrash.Tasks)
			}
		}
		r.Check(told > 0, qt.IsTrue)
		return out
	}
	qt.Check(t, crashed(false), qt.DeepEquals, []bool{true, true, false})
	qt.Check(t, crashed(true), qt.DeepEquals, []bool{false, true, false})
}

// Guards against two suspects at one worker, whose next crash would blame both.
func TestSuspectsAreKeptApart(t *testing.T) {
	r := newRig(t)
	r.seq++
	r.m.Run(r.now, testEntry, &wire.RunTasks{Seq: r.seq, ClockMs: r.now.Milliseconds(), Job: "job", LeftMs: 5000, Tasks: []wire.RunTask{
		{Index: 1, Run: 1, Need: sched.Room{CPU: 1000}, Crashes: 1}, {Index: 2, Run: 1, Need: sched.Room{CPU: 1000}, Crashes: 1}, {Index: 3, Run: 1, Need: sched.Room{CPU: 1000}},
	}})
	got := sortOut(r.actions())
	r.Check(got.starts, qt.DeepEquals, []Key{key(1), key(3)})
	r.Assert(got.ends, qt.HasLen, 1)
	r.Check(got.ends[0].Index, qt.Equals, 2)
	r.Check(got.ends[0].Kind, qt.Equals, errkind.Busy)
}

// crashRig has one task that may be suspected, and another beside it, at a worker that crashes.
func crashRig(t *testing.T, suspect int) *rig {
	r := newRig(t)
	r.seq++
	r.m.Run(r.now, testEntry, &wire.RunTasks{Seq: r.seq, ClockMs: r.now.Milliseconds(), Job: "job", LeftMs: 5000, Tasks: []wire.RunTask{
		{Index: 1, Run: 1, Need: sched.Room{CPU: 1000}, Crashes: suspect, ExpectMs: 100}, {Index: 2, Run: 1, Need: sched.Room{CPU: 1000}, ExpectMs: 100},
	}})
	r.actions()
	r.started(key(2), Done)
	return r
}

// crash lets another life of the worker answer, and gives the ends of the runs.
func (r *rig) crash() []wire.RunEnd {
	r.held(testWorker, HoldAnswer{Verdict: OtherWorker})
	return sortOut(r.actions()).ends
}

// Guards against a suspect whose start has no answer being passed over, and the task beside it blamed in its place.
func TestUnansweredStartIsSuspectedOfACrash(t *testing.T) {
	for suspect, other := range []bool{true, false} {
		ends := crashRig(t, suspect).crash()
		qt.Assert(t, ends, qt.HasLen, 2)
		qt.Check(t, ends[0].Suspected, qt.IsTrue)
		qt.Check(t, ends[0].Crashed, qt.IsFalse)
		qt.Check(t, ends[1].Suspected, qt.Equals, !other)
		qt.Check(t, ends[1].Crashed, qt.Equals, other)
	}
}

// Guards against a job that is told to have failed by a crash after the end of its run, which the worker did not answer.
func TestRunThatMayHaveEndedUnseenIsNotBlamedForCertain(t *testing.T) {
	r := crashRig(t, 0)
	r.started(key(1), Done)
	crashed := func(after time.Duration) []wire.RunEnd {
		r.m.Stopped(r.now, key(9), NoAnswer, 0) // answers are missing from now on
		r.now += after
		r.held(testWorker, HoldAnswer{Active: []Active{{Key: key(1)}, {Key: key(2)}}})
		r.now += 10 * time.Millisecond
		return r.crash()
	}
	for _, e := range crashed(80 * time.Millisecond) {
		r.Check(e.Crashed, qt.IsFalse)
		r.Check(e.Suspected, qt.IsTrue)
	}
	r = crashRig(t, 0)
	r.started(key(1), Done)
	for _, e := range crashed(20 * time.Millisecond) { // far from its end
		r.Check(e.Crashed, qt.IsTrue)
	}
}

// Guards against a crash during a Hold that the next life of the worker answers: its runs were given back as lost, with nobody to blame.
func TestCrashDuringAHoldIsBlamed(t *testing.T) {
	missed := func() *rig {
		r := newRig(t)
		r.send(r.now, 1)
		r.started(key(1), Done)
		r.now += time.Millisecond
		r.held(testWorker, HoldAnswer{Active: []Active{{Key: key(1)}}})
		r.now += time.Millisecond
		r.actions()
		r.held(testWorker, HoldAnswer{})
		got := sortOut(r.actions())
		r.Assert(got.ends, qt.HasLen, 0)
		r.Assert(got.holds, qt.HasLen, 1)
		r.Check(got.holds[0].Wait, qt.Equals, time.Duration(0))
		r.now += time.Millisecond
		return r
	}
	ends := missed().crash()
	qt.Assert(t, ends, qt.HasLen, 1)
	qt.Check(t, ends[0].Crashed, qt.IsTrue)

	r := missed()
	r.held(testWorker, HoldAnswer{}) // the same life, which does not have the run
	ends = sortOut(r.actions()).ends
	r.Assert(ends, qt.HasLen, 1)
	r.Check(ends[0].Crashed, qt.IsFalse)
	r.Check(ends[0].Kind, qt.Equals, errkind.WorkerLost)
}

// Guards against a crash that is taken for a silence, as the last of the unanswered orders was left out and not refused.
func TestCrashIsNotForgottenWhileTheWorkerIsSilent(t *testing.T) {
	r := newRig(t)
	r.send(r.now, 1)
	r.started(key(1), Done)
	r.held(testWorker, HoldAnswer{Active: []Active{{Key: key(1)}}})
	for i := range 2 * maxUnansweredHolds {
		r.actions()
		r.held(testWorker, HoldAnswer{Verdict: NoAnswer, Gone: i == 0})
		r.pass(orderRetryDelay)
	}
	r.pass(testTiming.Lease + clockSkewMargin)
	ends := sortOut(r.actions()).ends
	r.Assert(ends, qt.HasLen, 1)
	r.Check(ends[0].Crashed, qt.IsTrue)
}

// Guards against a crash that counts against a run which had been stopped before.
func TestRunThatWasBeingStoppedIsNotBlamedForCertain(t *testing.T) {
	r := crashRig(t, 0)
	r.started(key(1), Done)
	r.m.StopJob(r.now, testEntry, &wire.StopRuns{ClockMs: r.now.Milliseconds(), Job: "job"})
	r.m.Stopped(r.now, key(1), Done, r.clockMs())
	ends := r.crash()
	r.Assert(ends, qt.HasLen, 2)
	for _, e := range ends {
		r.Check(e.Crashed, qt.IsFalse)
		r.Check(e.Suspected, qt.IsTrue)
	}
}
