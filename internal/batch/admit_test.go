package batch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// newOneWorkerMachine returns the machine of an entry with one worker of 40 cores.
func newOneWorkerMachine() *Machine {
	m := New(0, Options{Seed: 1})
	m.AddGuard(0, &wire.RunHello{
		Incarnation: "g0",
		Worker:      wire.RunWorker{WorkerInstance: wire.WorkerInstance{ID: "w"}, Service: "s", Capacity: sched.Resources{CPU: 40_000}, Usable: true},
		Load:        wire.RunLoad{Free: sched.Resources{CPU: 40_000}},
	})
	return m
}

var testQueue = &Queue{Name: "q", Service: "s", MaxAttempts: 1, Stretch: 1.6, Slack: 60 * time.Millisecond}

func testJob(id string, tasks int, cpu int64) *Job {
	return &Job{ID: id, Queue: testQueue, Deadline: time.Hour, Steps: []Step{{
		Count: tasks, Need: sched.Resources{CPU: cpu}, Estimate: 200 * time.Millisecond,
	}}}
}

// Guards against a job that is refused permanently because its worker is temporarily
// unavailable, and against one that is retried although no worker can ever run it.
func TestNeverFitsIsDistinguishedFromNoWorkers(t *testing.T) {
	m := newOneWorkerMachine()
	afterDelay := neverFitsDelay + time.Second
	err := m.Submit(afterDelay, testJob("huge", 1, 41_000))
	qt.Assert(t, IsFinalFailure(err), qt.IsTrue)
	m.HandleBeat(afterDelay, "g0", &wire.GuardHeartbeat{Worker: &wire.RunWorker{WorkerInstance: wire.WorkerInstance{ID: "w"}, Service: "s", Capacity: sched.Resources{CPU: 40_000}, Leaving: true}})
	err = m.Submit(afterDelay, testJob("fits", 1, 4000))
	qt.Assert(t, IsFinalFailure(err), qt.IsFalse)
	qt.Assert(t, err.After > 0, qt.IsTrue)
}

// Guards against a task started at a second worker while it runs. A job's caller leaves and
// resubmits it to the same entry; the guard's report that the first run was not started arrives
// only then, and must not be applied to the second run.
func TestLateRunEndOfAnEarlierSubmissionIsIgnored(t *testing.T) {
	m := newOneWorkerMachine()
	nextRun := func() int64 {
		for _, a := range m.Actions(0) {
			if a.Frame != nil && a.Frame.RunTasks != nil {
				return a.Frame.RunTasks.Tasks[0].Run
			}
		}
		return 0
	}
	qt.Assert(t, m.Submit(0, testJob("job", 1, 4000)) == nil, qt.IsTrue)
	first := nextRun()
	m.Withdraw(0, "job")
	qt.Assert(t, m.Submit(0, testJob("job", 1, 4000)) == nil, qt.IsTrue)
	second := nextRun()
	qt.Assert(t, second > first, qt.IsTrue)
	m.HandleRunsEnded(0, "g0", &wire.RunsEnded{
		Ends: []wire.RunEnd{{Job: "job", Run: first, Kind: errkind.Fenced, Ran: errkind.RanNo}},
		Load: wire.RunLoad{Free: sched.Resources{CPU: 36_000}, SeenSeq: 2},
	})
	qt.Assert(t, nextRun(), qt.Equals, int64(0))
}

// Guards against callers that are kept waiting for full workers: a job that has waited for a
// quarter of its target duration is refused as not run, with a retry delay, while its caller
// still has time to try another entry.
func TestJobIsRefusedAfterAQuarterOfItsTargetDuration(t *testing.T) {
	m := newOneWorkerMachine()
	qt.Assert(t, m.Submit(0, testJob("first", 10, 4000)) == nil, qt.IsTrue)
	qt.Assert(t, m.Submit(0, testJob("second", 1, 4000)) == nil, qt.IsTrue)
	m.Actions(0)
	limit := time.Duration(maxWaitShare * float64(380*time.Millisecond))
	qt.Assert(t, m.NextTick() <= limit, qt.IsTrue, qt.Commentf("%v", m.NextTick()))
	m.Tick(limit - time.Millisecond)
	qt.Assert(t, finishedOutcomes(m.Actions(limit)), qt.HasLen, 0)
	m.Tick(limit)
	outcomes := finishedOutcomes(m.Actions(limit))
	qt.Assert(t, outcomes, qt.HasLen, 1)
	qt.Check(t, outcomes[0].ID, qt.Equals, "second")
	qt.Check(t, outcomes[0].Err.Ran, qt.Equals, errkind.RanNo)
	qt.Check(t, outcomes[0].Err.After > 0, qt.IsTrue)
}

// finishedOutcomes returns the outcomes of the Finish actions.
func finishedOutcomes(actions []Action) []*Outcome {
	var out []*Outcome
	for i := range actions {
		if f := actions[i].Finish; f != nil {
			out = append(out, f)
		}
	}
	return out
}
