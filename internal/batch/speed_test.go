package batch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/batch"
	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// Guards against expected times that follow the fast workers to which the tasks are given, so that jobs
// that need a slow worker appear to miss their target time and wait or are refused.
func TestExpectedTimeIsThatOfAWorkerOfMeanSpeed(t *testing.T) {
	const estimate = 100 * time.Millisecond
	slownessPercent := map[identity.Incarnation]int{"fast": 50, "slow": 150}
	now := time.Hour
	m := batch.New(now, batch.Options{Domain: "d0"})
	for name, percent := range slownessPercent {
		hello := newHello(name, "d0")
		hello.Worker.SlownessPercent = percent
		m.AddGuard(now, hello)
	}
	var expected int64
	for i := range 60 {
		job := &batch.Job{ID: fmt.Sprintf("%016x", i), Queue: simQueue, Deadline: now + time.Second, Steps: []batch.Step{{
			Count: 1, Need: sched.Resources{CPU: 1000}, Estimate: estimate,
		}}}
		qt.Assert(t, m.Submit(now, job) == nil, qt.IsTrue)
		for _, a := range m.Actions(now) {
			if a.Frame == nil || a.Frame.RunTasks == nil {
				continue
			}
			expected = a.Frame.RunTasks.Tasks[0].ExpectMs
			m.HandleRunsEnded(now, a.Guard, &wire.RunsEnded{
				Load: wire.RunLoad{SeenSeq: a.Frame.RunTasks.Seq, Free: sched.Resources{CPU: 8000, MemoryMB: 1000}},
				Ends: []wire.RunEnd{{Job: job.ID, Run: 1, RunMs: estimate.Milliseconds() * int64(slownessPercent[a.Guard]) / 100}},
			})
		}
	}
	qt.Check(t, expected, qt.Equals, estimate.Milliseconds())
}
