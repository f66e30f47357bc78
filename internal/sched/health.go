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
	mostPenalty  = 30 * time.Second
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
	until      time.Time // end of the quarantine; zero when not in one
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
	return h.failed >= failedJobs || h.seen >= slowSample && slow >= slowMost
}

// Quarantine shuts the worker out. Each time in a row it lasts twice as long.
func (h *Health) Quarantine(now time.Time) {
	h.penalty = min(mostPenalty, max(firstPenalty, 2*h.penalty))
	h.until = now.Add(h.penalty)
	h.failed, h.lastFailed, h.runs, h.seen = failedJobs-1, "", 0, 0
}

// Due tells whether a quarantined worker may be probed.
func (h *Health) Due(now time.Time) bool { return !h.until.IsZero() && !now.Before(h.until) }

// Until is the end of the quarantine.
func (h *Health) Until() time.Time { return h.until }

// Recover ends the quarantine after good probes.
func (h *Health) Recover() { h.until, h.failed, h.lastFailed = time.Time{}, 0, "" }

// Forgive forgets the length of earlier quarantines.
func (h *Health) Forgive() { h.penalty = 0 }

// MayQuarantine keeps a floor: at least half of the workers that are up stay in
// use. A fault of the whole fleet, such as a bad release of the upstream, looks
// like every worker being sick; without the floor the pool would be emptied, and
// the service would stay down after the fault had passed.
func MayQuarantine(ws []Worker) bool {
	usable, quarantined := 0, 0
	for i := range ws {
		switch ws[i].State {
		case Usable:
			usable++
		case Quarantined:
			quarantined++
		}
	}
	return usable-1 >= (usable+quarantined+1)/2
}
