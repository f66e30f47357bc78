package runs

import (
	"testing"

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
