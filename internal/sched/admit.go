package sched

import "time"

// AdmissionRequest describes a job that is to be admitted.
type AdmissionRequest struct {
	Tasks           int
	TimeLeft        time.Duration // time until its deadline
	DeclaredRunTime time.Duration // the caller's estimate of a task's run time; 0 for none
}

// EntryCapacity describes what one entry can offer a job.
type EntryCapacity struct {
	FreeSlots   int     // estimated free slots
	QueuedTasks int     // tasks queued ahead of the job
	StartRate   float64 // task starts per second for the job's queue; 0 if unknown
	RunTimes    *RunTimeStats
}

// declaredRunTimeDivisor is the factor by which a declared run time must exceed
// the time left to cause a refusal without any expected wait. Declared run times
// are off by a factor of 8.
const declaredRunTimeDivisor = 10

// Admit reports whether a job is expected to finish before its deadline.
// lateness is the estimated finish time minus the deadline; after a refusal, a
// caller that waits that long meets a shorter queue. While no run times have
// been observed, the estimate favours admission.
func Admit(req *AdmissionRequest, capacity *EntryCapacity) (admitted bool, lateness time.Duration) {
	wait := EstimateWait(capacity.QueuedTasks+req.Tasks-capacity.FreeSlots, capacity.StartRate)
	estimate := wait
	switch {
	case !capacity.RunTimes.HasEstimate():
		estimate += req.DeclaredRunTime / declaredRunTimeDivisor
	case wait == 0:
		estimate += capacity.RunTimes.P10 // the job starts at once; refuse it only if even a quick run is too long
	default:
		// The queue orders small jobs before the last tasks of a large one.
		estimate += capacity.RunTimes.EstimateLongest(req.Tasks) + time.Duration(req.Tasks-1)*TaskSpacing(req.TimeLeft, req.Tasks)
	}
	return estimate <= req.TimeLeft, estimate - req.TimeLeft
}

// waitSafetyFactor multiplies the estimated wait. Without it, half of the
// estimates are too short, and at twice the capacity a twentieth of the slot
// time is spent on jobs that miss their deadline with most of their tasks done.
const waitSafetyFactor = 1.2

// EstimateWait returns the expected time until the given number of queued tasks
// has been started.
func EstimateWait(tasks int, rate float64) time.Duration {
	if tasks <= 0 || rate <= 0 {
		return 0
	}
	return time.Duration(waitSafetyFactor * float64(tasks) / rate * float64(time.Second))
}

// rateTimeConstant is the time constant of the moving average in StartRate.
const rateTimeConstant = 500 * time.Millisecond

// StartRate estimates how many tasks per second an entry can start while it has
// a backlog. The estimate reflects the entry's current share of the fleet,
// whatever the other entries use.
type StartRate struct {
	PerSecond     float64
	intervalStart time.Time
	starts        int
	hadBacklog    bool // tasks were waiting at the end of the previous interval
}

// RecordStart counts one task start in the current interval.
func (r *StartRate) RecordStart() { r.starts++ }

// EndInterval closes the current interval and updates the estimate. hasBacklog
// reports whether tasks are waiting now; nominal is the initial estimate.
//
// An interval counts only if tasks were waiting when it began, because an idle
// entry starts fewer tasks than it could. Requiring a backlog at its end as
// well would discard exactly the starts that empty a short queue, and the
// estimate of a lightly loaded entry would drop to nearly zero.
func (r *StartRate) EndInterval(now time.Time, hasBacklog bool, nominal float64) {
	elapsed := now.Sub(r.intervalStart)
	if r.PerSecond == 0 {
		r.PerSecond = nominal
	}
	if r.hadBacklog && elapsed > 0 {
		weight := min(1, elapsed.Seconds()/rateTimeConstant.Seconds())
		r.PerSecond += weight * (float64(r.starts)/elapsed.Seconds() - r.PerSecond)
	}
	r.intervalStart, r.starts, r.hadBacklog = now, 0, hasBacklog
}
