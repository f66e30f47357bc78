package runs

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/policy"
	"wigeontray/internal/wire"
)

// A single stalled run may be stalled by its own fault, and gets at least minStallTimeout to
// advance. If runs of several jobs are stalled at once and no run advances, the worker hangs.
// Its runs are then returned immediately, and the entries are notified before they send more:
// the worker would otherwise look idle and attract new tasks.
const (
	// minHangJobs is the number of jobs that must have stalled runs. A larger number would
	// delay the detection on a worker that is being retried with one or two tasks.
	minHangJobs = 2
	// minHangAge is the minimum time without progress. A guard sees the progress of the runs
	// every 15 to 60 ms.
	minHangAge = 50 * time.Millisecond
	// hangTimeFraction is the minimum time without progress as a fraction of the expected run
	// time. Workers report whole percents: a worker that is slow by a factor of eight advances
	// by one percent in that time.
	hangTimeFraction = 1.0 / 12
)

// stallState reports whether a run is stalled and whether it has advanced recently. Both are
// false for a run that has just started.
func (r *run) stallState(now time.Duration) (isStalled, isAdvancing bool) {
	if r.state != running || !r.isAccepted {
		return false, false
	}
	minStallAge := max(minHangAge, time.Duration(hangTimeFraction*float64(r.expectedTime)))
	if now-r.advancedAt >= minStallAge {
		return true, false
	}
	return false, r.advancedAt > r.acceptedAt
}

// detectHang stops the stalled runs of a worker that hangs, and announces the worker as slow.
func (m *Machine) detectHang(now time.Duration) {
	if m.disabled.Has(policy.HangWatch) {
		return
	}
	var stalled []*run
	jobs := make(map[string]bool)
	for _, r := range m.sortedRuns() {
		isStalled, isAdvancing := r.stallState(now)
		if isAdvancing {
			return
		}
		if isStalled {
			stalled = append(stalled, r)
			jobs[r.key.Job] = true
		}
	}
	if len(jobs) < minHangJobs {
		return
	}
	m.worker.Slow = true
	m.announceWorker(now)
	for _, r := range stalled {
		m.stopRun(now, r, wire.RunEnd{Kind: errkind.Stalled, Ran: errkind.RanYes})
	}
}
