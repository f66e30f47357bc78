package runs

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/policy"
	"wigeontray/internal/wire"
)

// One run that stands still may be its own fault, and is given stallLeast or more. A worker
// on which runs of several jobs stand still at once, and none advances, hangs: what it has
// is given back at once, and entries are told, before more is sent there. It looked idle
// otherwise, and would draw what comes.
const (
	// hangJobs is of how many jobs runs have to stand still. A worker that is tried again
	// with a task or two is found out late with more.
	hangJobs = 2
	// hangLeast is for how long at least. A guard sees the runs every 15 to 60 ms.
	hangLeast = 50 * time.Millisecond
	// hangPart is for how long of a run's expected time at least. A worker shows whole
	// percents: one that is slow by a factor of eight advances by one in that time.
	hangPart = 1.0 / 12
)

// still tells whether a run stands still, and whether it has advanced of late. A run that
// has just begun does neither.
func (r *run) still(now time.Duration) (stands, advances bool) {
	if r.state != running || !r.answered {
		return false, false
	}
	limit := max(hangLeast, time.Duration(hangPart*float64(r.expect)))
	if now-r.advanced >= limit {
		return true, false
	}
	return false, r.advanced > r.present
}

// watchHang gives back what stands still on a worker that hangs, and announces it as slow.
func (m *Machine) watchHang(now time.Duration) {
	if m.off.Has(policy.HangWatch) {
		return
	}
	var standing []*run
	jobs := make(map[string]bool)
	for _, r := range m.inOrder() {
		stands, advances := r.still(now)
		if advances {
			return
		}
		if stands {
			standing = append(standing, r)
			jobs[r.key.Job] = true
		}
	}
	if len(jobs) < hangJobs {
		return
	}
	m.worker.Slow = true
	m.announce(now)
	for _, r := range standing {
		m.stop(now, r, wire.RunEnd{Kind: errkind.Stalled, Ran: errkind.RanYes})
	}
}
