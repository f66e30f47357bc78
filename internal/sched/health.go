package sched

import (
	"math/bits"
	"time"
)

// Rules of quarantine.
const (
	failedJobs   = 3  // jobs in a row that failed on the worker
	slowSample   = 12 // newest runs that are looked at for slowness
	slowMost     = 8  // of them, runs beyond the fleet's 90th percentile
	firstPenalty = time.Second
	mostPenalty  = 8 * time.Second
	slowProbes   = 3 // slow runs that end a probation
)

// Health is one entry's record of one worker.
//
// A worker that fails every task at once looks idle, so a placement by load
// sends it everything: one bad worker in eleven then fails most jobs. A slow
// one holds up every job that has a task on it.
type Health struct {
	lastFailed string // key of the newest job that failed on it
	failed     int    // different jobs failed in a row
	runs       uint16 // newest runs: 1 where beyond the fleet's 90th percentile
	seen       int    // runs in it
	penalty    time.Duration
	probing    bool // it comes back from a quarantine
}

// Failed notes a task that failed on the worker. Several tasks of one job count
// once, as the job itself may be what fails.
func (h *Health) Failed(key string) {
	if key != h.lastFailed {
		h.lastFailed = key
		h.failed++
	}
}

// Ran notes a task that ran to its end, and whether it was slow by the fleet's
// measure.
func (h *Health) Ran(slow bool) {
	h.failed, h.lastFailed = 0, ""
	h.runs <<= 1
	if slow {
		h.runs |= 1
	}
	h.seen = min(h.seen+1, slowSample)
}

// Sick tells whether the worker should get no more tasks for now.
func (h *Health) Sick() bool {
	slow := bits.OnesCount16(h.runs & (1<<slowSample - 1))
	if h.probing && slow >= slowProbes {
		return true
	}
	return h.failed >= failedJobs || h.seen >= slowSample && slow >= slowMost
}

// Quarantine shuts the worker out and tells until when. Each time in a row it
// lasts twice as long. The first failure after it counts like the last one
// before it, so that a probe of a worker that still fails costs one task.
func (h *Health) Quarantine(now time.Time) (until time.Time) {
	h.penalty = min(mostPenalty, max(firstPenalty, 2*h.penalty))
	h.failed, h.lastFailed, h.runs, h.seen = failedJobs-1, "", 0, 0
	h.probing = true
	return now.Add(h.penalty)
}

// Probed notes a good run on a worker that comes back and gives its new limit
// of tasks, which doubles up to its slots; 0 when it is wholly back. A slow run
// leaves the limit.
func (h *Health) Probed(limit, slots int32, slow bool) int32 {
	if slow {
		return limit
	}
	if limit *= 2; limit < slots {
		return limit
	}
	h.probing = false
	h.penalty /= 2
	return 0
}
