package batch

import (
	"wigeontray/internal/errkind"
)

// endedJobs remembers how the newest jobs ended, in a ring.
type endedJobs struct {
	jobs map[string]endedJob
	ring []string
	next int
}

type endedJob struct {
	state     State
	runNumber int64 // greatest number of a run of its tasks
	slot      int   // in the ring
}

func newEndedJobs(size int) *endedJobs {
	return &endedJobs{jobs: make(map[string]endedJob), ring: make([]string, size)}
}

func (e *endedJobs) add(id string, s State, runNumber int64) {
	if previous, exists := e.jobs[id]; exists {
		e.ring[previous.slot] = ""
	}
	delete(e.jobs, e.ring[e.next])
	e.ring[e.next] = id
	e.jobs[id] = endedJob{state: s, runNumber: runNumber, slot: e.next}
	e.next = (e.next + 1) % len(e.ring)
}

func (e *endedJobs) state(id string) State { return e.jobs[id].state }

// runNumber is the greatest number that a run of a job had here. When the job comes
// again, its runs get greater ones: with the same numbers, a guard's late word on a
// run of the first time would be taken for one on the second, and the task be
// started at another worker while it runs.
func (e *endedJobs) maxRun(id string) int64 { return e.jobs[id].runNumber }

// stateOf tells how a job that ended with err is shown. A job without a final
// end counts as unknown: its caller may send it again.
func stateOf(err *errkind.Error) State {
	switch {
	case err == nil:
		return Complete
	case HasFailed(err):
		return Failed
	case err.Kind == errkind.Cancelled:
		return Cancelled
	}
	return Unknown
}

// HasFailed tells whether an error means that the job has ended as failed: it
// would fail again.
func HasFailed(err *errkind.Error) bool {
	return err.Kind == errkind.UpstreamFailed || err.Kind == errkind.NeverFits
}
