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

// startJobs starts one task of each job with an expected run time of paceExpectedTime.
func (r *rig) startJobs(moved bool, jobs ...string) (keys []Key) {
	for _, job := range jobs {
		r.seq++
		r.m.Run(r.now, testEntry, &wire.RunTasks{
			Seq: r.seq, ClockMs: r.now.Milliseconds(), Job: job, LeftMs: 60_000,
			Tasks: []wire.RunTask{{Run: 1, Need: sched.Resources{CPU: 500}, ExpectMs: paceExpectedTime.Milliseconds(), Relocated: moved}},
		})
		k := Key{Job: job, Run: 1}
		r.answerStart(k, Done)
		keys = append(keys, k)
	}
	r.actions()
	return keys
}

// reportProgress advances the clock and lists the runs as active, all at the same percent.
func (r *rig) reportProgress(after time.Duration, percent int64, keys ...Key) {
	r.now += after
	r.m.HandleBeat(r.now, testEntry, &wire.EntryHeartbeat{ClockMs: r.now.Milliseconds()})
	var a HoldAnswer
	for _, k := range keys {
		a.Active = append(a.Active, Active{Key: k, Percent: percent})
	}
	r.answerHold(testWorker, a)
}

// stops takes the actions and returns the runs that are to be stopped.
func (r *rig) stops() []Key { return groupActions(r.actions()).stops }

func jobNames(n int) (jobs []string) {
	for i := range n {
		jobs = append(jobs, fmt.Sprint("job", i))
	}
	return jobs
}

// Guards against detecting only by finished runs that a worker has become five times slower. The
// progress of its runs shows it after a fifth of their usual time. Each run that was left to
// finish made its caller wait five times as long, and new tasks arrived meanwhile.
func TestRunsOnSlowWorkerAreMoved(t *testing.T) {
	r := newRig(t)
	keys := r.startJobs(false, jobNames(minSlowJobs)...)
	r.reportProgress(60*time.Millisecond, 6, keys...)
	r.Check(r.m.Worker().Slow, qt.IsTrue)
	stopped := r.stops()
	r.Check(stopped, qt.HasLen, minSlowJobs)
	// The reason is reported to their entry.
	r.now += 20 * time.Millisecond
	var a HoldAnswer
	for i, k := range keys {
		a.Ended = append(a.Ended, Ended{Number: int64(i + 1), Key: k, Outcome: EndStopped})
	}
	r.answerHold(testWorker, a)
	for _, e := range groupActions(r.actions()).ends {
		r.Check(e.Kind, qt.Equals, errkind.Stalled)
	}
}

// Guards against marking a healthy worker as slow because the tasks of one job take five times
// as long as its caller had estimated. Every such job cost the fleet a worker.
func TestOneWrongEstimateDoesNotMarkTheWorkerSlow(t *testing.T) {
	r := newRig(t)
	r.seq++
	tasks := &wire.RunTasks{Seq: r.seq, ClockMs: r.now.Milliseconds(), Job: "job", LeftMs: 60_000}
	var keys []Key
	for i := range 6 {
		tasks.Tasks = append(tasks.Tasks, wire.RunTask{Index: i, Run: 1, Need: sched.Resources{CPU: 500}, ExpectMs: paceExpectedTime.Milliseconds()})
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

// Guards against moving a task repeatedly that is slow on every worker. It would never finish.
func TestTaskIsMovedOnlyOnce(t *testing.T) {
	r := newRig(t)
	keys := r.startJobs(true, jobNames(paceWindowJobs)...)
	r.reportProgress(60*time.Millisecond, 6, keys...)
	r.Check(r.m.Worker().Slow, qt.IsTrue)
	r.Check(r.stops(), qt.HasLen, 0)
}

// Guards against moving a slow run that is nearly done and would finish later elsewhere.
func TestNearlyFinishedSlowRunIsNotMoved(t *testing.T) {
	r := newRig(t)
	keys := r.startJobs(false, jobNames(paceWindowJobs)...)
	r.reportProgress(800*time.Millisecond, 80, keys...)
	r.Check(r.m.Worker().Slow, qt.IsTrue)
	r.Check(r.stops(), qt.HasLen, 0)
}

// Guards against excluding a worker forever because it was slow before.
func TestRecoveredWorkerIsNotMarkedSlow(t *testing.T) {
	r := newRig(t)
	keys := r.startJobs(true, jobNames(paceWindowJobs)...)
	r.reportProgress(60*time.Millisecond, 6, keys...)
	r.Assert(r.m.Worker().Slow, qt.IsTrue)
	var a HoldAnswer
	for i, k := range keys {
		a.Ended = append(a.Ended, Ended{Number: int64(i + 1), Key: k, Outcome: EndDone})
	}
	r.answerHold(testWorker, a)
	r.Check(r.m.Worker().Slow, qt.IsFalse)
}
