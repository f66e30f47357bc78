package runs

import (
	"math"
	"time"

	"wigeontray/internal/policy"
)

// Workers differ in speed. The guard learns how long runs take on its worker relative to the time
// that entries expect of them, and announces it, so that entries can give the tasks that would end
// too late to faster workers.

const (
	// slownessMemory is the factor by which the weight of the earlier runs decays with each run.
	slownessMemory = 0.95
	// slownessPrior is the weight of the assumption that runs take the expected time. Callers'
	// estimates are off, so that a single run shows little.
	slownessPrior = 1.0
	// maxSlowness limits the learned value. A worker that is slower is sick, see detectSlowWorker.
	maxSlowness = 3.0
	// announcedSlownessRatio is the change from which on the learned value is announced again. Each
	// announcement is a frame to every entry.
	announcedSlownessRatio = 1.35
)

// slownessEstimate is the geometric mean of the relative run times of the newest jobs.
type slownessEstimate struct {
	logSum, weight float64
	lastJob        string
}

// observe records the relative run time of a job. The tasks of a job take similar times, so that only
// the first of consecutive runs of a job counts.
func (e *slownessEstimate) observe(job string, ratio float64) {
	if job == e.lastJob {
		return
	}
	e.lastJob = job
	e.logSum = slownessMemory*e.logSum + math.Log(min(max(ratio, 1/maxSlowness), maxSlowness))
	e.weight = slownessMemory*e.weight + 1
}

// value returns the relative run time; 1 before the first run.
func (e *slownessEstimate) value() float64 { return math.Exp(e.logSum / (e.weight + slownessPrior)) }

// recordSlowness records the relative run time of a run with an expected time that has taken runTime,
// and announces the worker's slowness if it has changed.
func (m *Machine) recordSlowness(now time.Duration, r *run, runTime time.Duration) {
	if m.disabled.Has(policy.WorkerSpeeds) {
		return
	}
	m.slowness.observe(r.key.Job, float64(runTime)/float64(r.expectedTime))
	ratio := m.slowness.value() / m.worker.Slowness()
	if max(ratio, 1/ratio) < announcedSlownessRatio {
		return
	}
	m.worker.SlownessPercent = int(math.Round(100 * m.slowness.value()))
	m.announceWorker(now)
}

// expectedTimeHere returns the expected run time on this worker. A worker that is faster than
// expected is not sick once it takes the expected time.
func (m *Machine) expectedTimeHere(r *run) time.Duration {
	return time.Duration(max(1, m.worker.Slowness()) * float64(r.expectedTime))
}
