package batch

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// An entry loses its power and its log with it. What it had sent is known to the
// guards by the job's identity; without the caller's name for the request nobody
// can say which request that was.
func TestRunTasksCarriesTheCallersRequestName(t *testing.T) {
	m := newOneWorkerMachine()
	job := testJob("job", 2, 4000)
	job.Request = "request-1"
	qt.Assert(t, m.Submit(0, job) == nil, qt.IsTrue)
	sent := 0
	for _, a := range m.Actions(0) {
		if a.Frame != nil && a.Frame.RunTasks != nil {
			sent++
			qt.Check(t, a.Frame.RunTasks.Request, qt.Equals, "request-1")
		}
	}
	qt.Check(t, sent, qt.Equals, 1)
}

// A service is asked for jobs of one priority alone, beside a service with more urgent
// ones. Nothing overtakes its jobs: held back until there is room for all their tasks,
// they would wait while workers are free.
func TestUrgentJobsOfAnotherServiceDoNotDelayAJob(t *testing.T) {
	m := newOneWorkerMachine()
	urgent := *testQueue
	urgent.Service = "other"
	other := testJob("urgent", 1, 4000)
	other.Queue = &urgent
	m.Submit(0, other) // it has no worker
	lowPriority := *testQueue
	lowPriority.Priority, lowPriority.Stretch = 2, 100 // it may wait
	job := testJob("job", 11, 4000)                    // ten of its tasks find room
	job.Queue = &lowPriority
	qt.Assert(t, m.Submit(0, job) == nil, qt.IsTrue)
	qt.Check(t, countSentTasks(m.Actions(0)), qt.Equals, 10)
}

// Holds come as well. A booking of lower priority that finds room for ten of its eleven
// tasks would keep it while holds overtake the last; it begins when there is room for all.
func TestLowPriorityJobStartsOnlyAsAWhole(t *testing.T) {
	m := newOneWorkerMachine()
	qt.Assert(t, m.Submit(0, testJob("hold", 1, 4000)) == nil, qt.IsTrue)
	m.Actions(0)
	lowPriority := *testQueue
	lowPriority.Priority, lowPriority.Stretch = 2, 100 // it may wait
	job := testJob("booking", 10, 4000)
	job.Queue = &lowPriority
	qt.Assert(t, m.Submit(0, job) == nil, qt.IsTrue)
	qt.Check(t, countSentTasks(m.Actions(0)) > 0, qt.IsTrue) // a quarter of the room is enough
	small := testJob("small", 2, 3500)
	small.Queue = &lowPriority
	m.Cancel(0, "booking")
	m.Actions(0)
	free := sched.Room{CPU: 5000}
	m.Beat(0, "g0", &wire.GuardBeat{Load: wire.RunLoad{Free: free, Seen: 9}})
	qt.Assert(t, m.Submit(0, small) == nil, qt.IsTrue)
	qt.Check(t, countSentTasks(m.Actions(0)), qt.Equals, 0)
	m.Beat(0, "g0", &wire.GuardBeat{Load: wire.RunLoad{Free: sched.Room{CPU: 7000}, Seen: 9}})
	qt.Check(t, countSentTasks(m.Actions(0)), qt.Equals, 2)
}

func countSentTasks(actions []Action) int {
	n := 0
	for i := range actions {
		if f := actions[i].Frame; f != nil && f.RunTasks != nil {
			n += len(f.RunTasks.Tasks)
		}
	}
	return n
}
