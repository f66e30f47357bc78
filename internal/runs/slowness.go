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

// recordSlowness records the relative run time of a run that has taken runTime, and
// announces the worker's slowness if it has changed.
func (m *Machine) recordSlowness(now time.Duration, r *run, runTime time.Duration) {
	if r.expectedTime <= 0 || m.disabled.Has(policy.WorkerSpeeds) {
		return
	}
	m.slowness.observe(r.key.Job, float64(runTime)/float64(r.expectedTime))
	ratio := m.slowness.value() / m.announcedSlowness()
	if max(ratio, 1/ratio) < announcedSlownessRatio {
		return
	}
	m.worker.SlownessPercent = int(math.Round(100 * m.slowness.value()))
	m.announceWorker(now)
}

// announcedSlowness returns the announced relative run time.
func (m *Machine) announcedSlowness() float64 {
	if m.worker.SlownessPercent == 0 {
		return 1
	}
	return float64(m.worker.SlownessPercent) / 100
}
