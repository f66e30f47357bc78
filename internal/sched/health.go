package sched

import (
	"math/bits"
	"time"
)

// Quarantine thresholds and limits.
const (
	failedJobThreshold    = 3  // consecutive failed jobs that cause a quarantine
	slowWindow            = 12 // number of latest runs that are checked for slowness
	slowRunThreshold      = 8  // slow runs among them that cause a quarantine
	minQuarantineInterval = time.Second
	maxQuarantineInterval = 8 * time.Second
	slowProbeThreshold    = 3 // slow runs during probation that cause another quarantine
)

// Health tracks the failures and slow runs of one worker, as seen by one entry,
// and decides when to quarantine it.
//
// A worker that fails every task at once looks idle, so that placement by load
// sends it everything: one such worker out of eleven makes most jobs fail. A
// slow worker delays every job that has a task on it.
type Health struct {
	lastFailedJob      string // key of the latest job that failed on the worker
	failedJobs         int    // consecutive distinct jobs that failed
	slowBits           uint16 // latest runs, newest in bit 0; 1 for a run above the fleet's 90th percentile
	observedRuns       int    // number of valid bits in slowBits
	quarantineInterval time.Duration
	isOnProbation      bool // a quarantine was started and full use is not restored yet
}

// RecordFailure records a failed task. Several failed tasks of one job count
// once, because the job itself may be the cause.
func (h *Health) RecordFailure(jobKey string) {
	if jobKey != h.lastFailedJob {
		h.lastFailedJob = jobKey
		h.failedJobs++
	}
}

// RecordRun records a completed task and resets the count of failed jobs.
// isSlow reports whether its run time exceeded the fleet's 90th percentile.
func (h *Health) RecordRun(isSlow bool) {
	h.failedJobs, h.lastFailedJob = 0, ""
	h.slowBits <<= 1
	if isSlow {
		h.slowBits |= 1
	}
	h.observedRuns = min(h.observedRuns+1, slowWindow)
}

// ShouldQuarantine reports whether the worker should be quarantined.
func (h *Health) ShouldQuarantine() bool {
	slowRuns := bits.OnesCount16(h.slowBits & (1<<slowWindow - 1))
	if h.isOnProbation && slowRuns >= slowProbeThreshold {
		return true
	}
	return h.failedJobs >= failedJobThreshold || h.observedRuns >= slowWindow && slowRuns >= slowRunThreshold
}

// Quarantine starts a quarantine and returns its end. Each consecutive one
// lasts twice as long, up to maxQuarantineInterval. The failure count is left
// one below the threshold, so that probing a worker that still fails costs a
// single task.
func (h *Health) Quarantine(now time.Time) (until time.Time) {
	h.quarantineInterval = min(maxQuarantineInterval, max(minQuarantineInterval, 2*h.quarantineInterval))
	h.failedJobs, h.lastFailedJob, h.slowBits, h.observedRuns = failedJobThreshold-1, "", 0, 0
	h.isOnProbation = true
	return now.Add(h.quarantineInterval)
}

// RecordProbe records a completed run during probation and returns the new
// limit on concurrent tasks. The limit doubles up to the number of slots and is
// 0 when probation is over. A slow run leaves it unchanged.
func (h *Health) RecordProbe(limit, slots int32, isSlow bool) int32 {
	if isSlow {
		return limit
	}
	if limit *= 2; limit < slots {
		return limit
	}
	h.isOnProbation = false
	h.quarantineInterval /= 2
	return 0
}
