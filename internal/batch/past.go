package batch

import (
	"wigeontray/internal/errkind"
)

// endedJobs holds the outcomes of the most recently ended jobs, in a ring buffer.
type endedJobs struct {
	jobs map[string]endedJob // by job ID
	ring []string            // job IDs in order of insertion; empty for a free slot
	next int                 // next slot of ring
}

type endedJob struct {
	state     State
	runNumber int64 // highest run number of its tasks
	slot      int   // position in the ring
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

// maxRun returns the highest run number of an ended job's tasks. If the job is resubmitted, its
// runs get higher numbers. With equal numbers, a guard's delayed report on a run of the first
// submission would be attributed to the second, and the task would be started at another worker
// while it is still running.
func (e *endedJobs) maxRun(id string) int64 { return e.jobs[id].runNumber }

// stateOf returns the state reported for a job that ended with err. A job without a final outcome
// is Unknown: its caller may resubmit it.
func stateOf(err *errkind.Error) State {
	switch {
	case err == nil:
		return Complete
	case IsFinalFailure(err):
		return Failed
	case err.Kind == errkind.Cancelled:
		return Cancelled
	}
	return Unknown
}

// IsFinalFailure reports whether an error means that the job has failed permanently: it would
// fail again if it were resubmitted.
func IsFinalFailure(err *errkind.Error) bool {
	return err.Kind == errkind.UpstreamFailed || err.Kind == errkind.NeverFits
}
