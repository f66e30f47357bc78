package batch

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// Guards against requests that cannot be identified after an entry has lost power and its log.
// The guards then have the job's identity, but without the caller's request ID the request that
// it belongs to cannot be determined.
func TestRunTasksCarriesTheCallersRequestID(t *testing.T) {
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

// Guards against a job that waits for room for all its tasks while workers are free, although
// only jobs of another service are more urgent and none can overtake it.
func TestUrgentJobsOfAnotherServiceDoNotDelayAJob(t *testing.T) {
	m := newOneWorkerMachine()
	urgent := *testQueue
	urgent.Service = "other"
	other := testJob("urgent", 1, 4000)
	other.Queue = &urgent
	m.Submit(0, other) // no worker of this service exists
	lowPriority := *testQueue
	lowPriority.Priority, lowPriority.Stretch = 2, 100 // allows a long wait
	job := testJob("job", 11, 4000)                    // there is room for ten of its tasks
	job.Queue = &lowPriority
	qt.Assert(t, m.Submit(0, job) == nil, qt.IsTrue)
	qt.Check(t, countSentTasks(m.Actions(0)), qt.Equals, 10)
}

// Guards against a low-priority job that starts in part and holds its room while more urgent jobs
// overtake its remaining tasks. It starts when there is room for all of them, or for a quarter of
// the service's capacity.
func TestLowPriorityJobStartsOnlyAsAWhole(t *testing.T) {
	m := newOneWorkerMachine()
	qt.Assert(t, m.Submit(0, testJob("hold", 1, 4000)) == nil, qt.IsTrue)
	m.Actions(0)
	lowPriority := *testQueue
	lowPriority.Priority, lowPriority.Stretch = 2, 100 // allows a long wait
	job := testJob("booking", 10, 4000)
	job.Queue = &lowPriority
	qt.Assert(t, m.Submit(0, job) == nil, qt.IsTrue)
	qt.Check(t, countSentTasks(m.Actions(0)) > 0, qt.IsTrue) // room for a quarter of the capacity is enough
	small := testJob("small", 2, 3500)
	small.Queue = &lowPriority
	m.Cancel(0, "booking")
	m.Actions(0)
	free := sched.Resources{CPU: 5000}
	m.HandleBeat(0, "g0", &wire.GuardHeartbeat{Load: wire.RunLoad{Free: free, SeenSeq: 9}})
	qt.Assert(t, m.Submit(0, small) == nil, qt.IsTrue)
	qt.Check(t, countSentTasks(m.Actions(0)), qt.Equals, 0)
	m.HandleBeat(0, "g0", &wire.GuardHeartbeat{Load: wire.RunLoad{Free: sched.Resources{CPU: 7000}, SeenSeq: 9}})
	qt.Check(t, countSentTasks(m.Actions(0)), qt.Equals, 2)
}

// countSentTasks returns the number of tasks in the sent RunTasks frames.
func countSentTasks(actions []Action) int {
	n := 0
	for i := range actions {
		if f := actions[i].Frame; f != nil && f.RunTasks != nil {
			n += len(f.RunTasks.Tasks)
		}
	}
	return n
}
