package runs

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

const paceExpectedTime = 200 * time.Millisecond

// startJobs starts a task of each job, expected to take paceExpectedTime.
func (r *rig) startJobs(moved bool, jobs ...string) (keys []Key) {
	for _, job := range jobs {
		r.seq++
		r.m.Run(r.now, testEntry, &wire.RunTasks{
			Seq: r.seq, ClockMs: r.now.Milliseconds(), Job: job, LeftMs: 60_000,
			Tasks: []wire.RunTask{{Run: 1, Need: sched.Room{CPU: 500}, ExpectMs: paceExpectedTime.Milliseconds(), Moved: moved}},
		})
		k := Key{Job: job, Run: 1}
		r.answerStart(k, Done)
		keys = append(keys, k)
	}
	r.actions()
	return keys
}

// reportProgress lets the worker list runs after some time, each at the same percent.
func (r *rig) reportProgress(after time.Duration, percent int64, keys ...Key) {
	r.now += after
	r.m.Beat(r.now, testEntry, &wire.EntryBeat{ClockMs: r.now.Milliseconds()})
	var a HoldAnswer
	for _, k := range keys {
		a.Active = append(a.Active, Active{Key: k, Percent: percent})
	}
	r.answerHold(testWorker, a)
}

// stops gives the runs that are ordered to stop.
func (r *rig) stops() []Key { return groupActions(r.actions()).stops }

func jobNames(n int) (jobs []string) {
	for i := range n {
		jobs = append(jobs, fmt.Sprint("job", i))
	}
	return jobs
}

// A worker has turned five times slower. Its runs show it after a fifth of their usual
// time; waited for to their end, each of them made its caller wait five times as long,
// and new ones came all the while.
func TestRunsOnSlowWorkerAreMoved(t *testing.T) {
	r := newRig(t)
	keys := r.startJobs(false, jobNames(minSlowJobs)...)
	r.reportProgress(60*time.Millisecond, 6, keys...)
	r.Check(r.m.Worker().Slow, qt.IsTrue)
	stopped := r.stops()
	r.Check(stopped, qt.HasLen, minSlowJobs)
	// Their entry is told why.
	r.now += 20 * time.Millisecond
	var a HoldAnswer
	for i, k := range keys {
		a.Ended = append(a.Ended, Ended{Number: int64(i + 1), Key: k, How: EndStopped})
	}
	r.answerHold(testWorker, a)
	for _, e := range groupActions(r.actions()).ends {
		r.Check(e.Kind, qt.Equals, errkind.Stalled)
	}
}

// The tasks of one job take five times as long as its caller had guessed, on a worker
// that is sound. Taken for a sign of a slow worker, they made every such job cost the
// fleet a worker.
func TestOneWrongEstimateDoesNotMarkTheWorkerSlow(t *testing.T) {
	r := newRig(t)
	r.seq++
	tasks := &wire.RunTasks{Seq: r.seq, ClockMs: r.now.Milliseconds(), Job: "job", LeftMs: 60_000}
	var keys []Key
	for i := range 6 {
		tasks.Tasks = append(tasks.Tasks, wire.RunTask{Index: i, Run: 1, Need: sched.Room{CPU: 500}, ExpectMs: paceExpectedTime.Milliseconds()})
		keys = append(keys, key(i))
	}
	r.m.Run(r.now, testEntry, tasks)
	for _, k := range keys {
		r.answerStart(k, Done)
	}
	r.actions()
	for i := range int64(8) {
		r.reportProgress(30*time.Millisecond, 3*(i+1), keys...)
	}
	r.Check(r.m.Worker().Slow, qt.IsFalse)
	r.Check(r.stops(), qt.HasLen, 0)
}

// A task was given back by a slow worker and is slow at the next one as well. Moved again
// and again, it would never end.
func TestTaskIsMovedOnlyOnce(t *testing.T) {
	r := newRig(t)
	keys := r.startJobs(true, jobNames(paceWindowJobs)...)
	r.reportProgress(60*time.Millisecond, 6, keys...)
	r.Check(r.m.Worker().Slow, qt.IsTrue)
	r.Check(r.stops(), qt.HasLen, 0)
}

// A slow run is nearly done. Begun again elsewhere it would end later.
func TestNearlyFinishedSlowRunIsNotMoved(t *testing.T) {
	r := newRig(t)
	keys := r.startJobs(false, jobNames(paceWindowJobs)...)
	r.reportProgress(800*time.Millisecond, 80, keys...)
	r.Check(r.m.Worker().Slow, qt.IsTrue)
	r.Check(r.stops(), qt.HasLen, 0)
}

// The worker is sound again. What was slow before must not keep it out for ever.
func TestRecoveredWorkerIsNotMarkedSlow(t *testing.T) {
	r := newRig(t)
	keys := r.startJobs(true, jobNames(paceWindowJobs)...)
	r.reportProgress(60*time.Millisecond, 6, keys...)
	r.Assert(r.m.Worker().Slow, qt.IsTrue)
	var a HoldAnswer
	for i, k := range keys {
		a.Ended = append(a.Ended, Ended{Number: int64(i + 1), Key: k, How: EndDone})
	}
	r.answerHold(testWorker, a)
	r.Check(r.m.Worker().Slow, qt.IsFalse)
}
