package batch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/batch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/policy"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// crashTotals sums up what crashing jobs did in some plays of a load.
type crashTotals struct {
	crashes, wronged, convicted int
	answeredAfter               time.Duration // on average
	served                      float64
}

const (
	crashSeeds = 6
	crashJobs  = 3 // of each play
)

func playCrashes(t *testing.T, off ...policy.Mechanism) crashTotals {
	var sum crashTotals
	list := load{ofRoom: 0.4, crash: crashJobs}.resultsOf(t, crashSeeds, off...)
	for _, r := range list {
		sum.crashes += r.crashes
		sum.wronged += r.wronged
		sum.convicted += r.convicted
		sum.answeredAfter += r.answeredAfter / crashSeeds
	}
	sum.served = mean(list, (*loadResult).served)
	t.Logf("%+v", sum)
	return sum
}

// Guards against a task that crashes worker after worker, and against jobs that are told to have failed as they were beside it.
func TestLoadWithCrashingJobsLosesFewWorkersAndNoInnocentJob(t *testing.T) {
	with, together, unlimited := playCrashes(t), playCrashes(t, policy.SuspectsApart), playCrashes(t, policy.CrashLimit)
	qt.Check(t, with.convicted >= crashSeeds*crashJobs-1, qt.IsTrue)
	qt.Check(t, with.wronged*4 <= together.wronged, qt.IsTrue)
	qt.Check(t, with.crashes*3 < unlimited.crashes*2, qt.IsTrue)
	qt.Check(t, with.served > unlimited.served+0.1, qt.IsTrue)
}

// Guards against jobs that are told to have failed as their workers crash by themselves.
func TestLoadWithFlappingWorkersFailsNoJob(t *testing.T) {
	for _, r := range (load{ofRoom: 0.5, flap: 2}).resultsOf(t, crashSeeds) {
		qt.Check(t, r.wronged, qt.Equals, 0)
	}
}

// Guards against counts that are lost when a caller sends its job to another entry.
func TestCrashesAreCountedAcrossEntries(t *testing.T) {
	now := time.Hour
	m := batch.New(now, batch.Options{})
	g := guardOf("g0", "d0")
	m.GuardUp(now, g)
	submit := func(id string) *errkind.Error {
		return m.Submit(now, &batch.Job{ID: id, Queue: simQueue, Deadline: now + time.Second, Steps: []batch.Step{{
			Count: 2, Need: sched.Room{CPU: 1000}, Estimate: 100 * time.Millisecond,
		}}})
	}
	crash := &wire.WorkerCrash{Tasks: []wire.TaskName{{Job: "a", Index: 1}, {Job: "b"}}}
	m.NoteCrash(crash)
	qt.Check(t, submit("a") == nil, qt.IsTrue)
	for _, action := range m.Actions(now) {
		if f := action.Frame; f != nil && f.RunTasks != nil {
			qt.Check(t, f.RunTasks.Tasks[0].Crashes, qt.Equals, 0)
			qt.Check(t, f.RunTasks.Tasks[1].Crashes, qt.Equals, 1)
		}
	}
	// The second crash, here: the job has failed, and stays so wherever it is sent.
	m.Ended(now, "g0", &wire.RunsEnded{Load: g.Load, Ends: []wire.RunEnd{
		{Job: "a", Index: 1, Run: 1, Kind: errkind.WorkerLost, Ran: errkind.RanYes, Crashed: true},
	}})
	qt.Check(t, m.State("a"), qt.Equals, batch.Failed)
	m.NoteCrash(crash)
	err := submit("b")
	qt.Assert(t, err != nil, qt.IsTrue)
	qt.Check(t, batch.HasFailed(err), qt.IsTrue)
}

// Guards against a task that goes on crashing workers, and against others that are blamed for it, as its starts have no answer.
func TestLoadWithCrashingJobsAndUnansweredOrdersLosesFewWorkers(t *testing.T) {
	for _, r := range (load{ofRoom: 0.4, crash: 3 * crashJobs, unanswered: 0.6}).resultsOf(t, 2*crashSeeds) {
		qt.Check(t, r.wronged <= 1, qt.IsTrue, qt.Commentf("%d jobs", r.wronged))
	}
}

// Guards against a task that crashes one worker after another, none of them for certain.
func TestTaskUnderPossibleCrashesIsNotStartedForEver(t *testing.T) {
	now := time.Hour
	m := batch.New(now, batch.Options{})
	job := func() *batch.Job {
		return &batch.Job{ID: "a", Queue: simQueue, Deadline: now + time.Second, Steps: []batch.Step{{
			Count: 1, Need: sched.Room{CPU: 1000}, Estimate: 100 * time.Millisecond,
		}}}
	}
	for i := range 3 {
		m.GuardUp(now, guardOf(identity.Incarnation(fmt.Sprintf("g%d", i)), "d0"))
	}
	qt.Assert(t, m.Submit(now, job()) == nil, qt.IsTrue)
	var ended *batch.Outcome
	starts := int64(0)
	for ended == nil {
		qt.Assert(t, starts <= 3, qt.IsTrue)
		for _, a := range m.Actions(now) {
			switch {
			case a.Finish != nil:
				ended = a.Finish
			case a.Frame != nil && a.Frame.RunTasks != nil:
				starts++
				m.Ended(now, a.Guard, &wire.RunsEnded{Load: wire.RunLoad{Free: sched.Room{CPU: 10_000, MemoryMB: 1000}}, Ends: []wire.RunEnd{
					{Job: "a", Run: starts, Kind: errkind.NotRun, Suspected: true},
				}})
			}
		}
	}
	qt.Check(t, batch.HasFailed(ended.Err), qt.IsFalse)
	qt.Check(t, ended.Err.Ran, qt.Equals, errkind.RanUnknown)
	again := m.Submit(now, job())
	qt.Assert(t, again != nil, qt.IsTrue)
	qt.Check(t, batch.HasFailed(again), qt.IsFalse)
	qt.Check(t, again.Ran, qt.Equals, errkind.RanUnknown)
}
