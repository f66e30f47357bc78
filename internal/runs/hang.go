package runs

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/policy"
	"wigeontray/internal/wire"
)

// One run that stands still may be its own fault, and is given minStallTimeout or more. A worker
// on which runs of several jobs stand still at once, and none advances, hangs: what it has
// is given back at once, and entries are told, before more is sent there. It looked idle
// otherwise, and would draw what comes.
const (
	// minHangJobs is of how many jobs runs have to stand still. A worker that is tried again
	// with a task or two is found out late with more.
	minHangJobs = 2
	// minHangAge is for how long at least. A guard sees the runs every 15 to 60 ms.
	minHangAge = 50 * time.Millisecond
	// hangTimeFraction is for how long of a run's expected time at least. A worker shows whole
	// percents: one that is slow by a factor of eight advances by one in that time.
	hangTimeFraction = 1.0 / 12
)

// stallState tells whether a run stands still, and whether it has advanced of late. A run that
// has just begun does neither.
func (r *run) stallState(now time.Duration) (isStalled, isAdvancing bool) {
	if r.state != running || !r.isAnswered {
		return false, false
	}
	minStallAge := max(minHangAge, time.Duration(hangTimeFraction*float64(r.expectedTime)))
	if now-r.advancedAt >= minStallAge {
		return true, false
	}
	return false, r.advancedAt > r.answeredAt
}

// detectHang gives back what stands still on a worker that hangs, and announces it as slow.
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
