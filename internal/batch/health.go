package batch

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/policy"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// recordHealth updates the health record of a run's worker from the end of the run.
func (m *Machine) recordHealth(now time.Duration, r *activeRun, e *wire.RunEnd) {
	g := r.guard
	w := &m.workers[g.position]
	switch {
	case e.Kind == errkind.None:
		isSlow := milliseconds(e.RunMs) > time.Duration(slowRunFactor*max(1, w.Slowness)*float64(m.expectedRunTime(r.job.spec.Queue, r.step.spec)))
		g.health.RecordRun(isSlow)
		if w.MaxOwnTasks > 0 && !g.isQuarantined {
			w.MaxOwnTasks = int(g.health.RecordProbe(int32(w.MaxOwnTasks), probationTaskLimit, isSlow))
		}
	case e.Kind == errkind.UpstreamFailed || e.Kind == errkind.TimedOut || e.Kind == errkind.Stalled:
		g.health.RecordFailure(r.key.Job)
	default:
		return
	}
	if g.health.ShouldQuarantine() {
		m.quarantine(now, g)
	}
}

// quarantine excludes a worker from placement for a while, unless too few workers would be left.
func (m *Machine) quarantine(now time.Duration, g *guard) {
	if g.isQuarantined || !m.canQuarantine() || m.options.Disabled.Has(policy.Quarantine) {
		return
	}
	g.isQuarantined = true
	g.quarantinedUntil = g.health.Quarantine(time.Time{}.Add(now)).Sub(time.Time{})
	m.updateState(g)
}

// quarantineIfSlow quarantines a worker that its guard reports as slow.
func (m *Machine) quarantineIfSlow(now time.Duration, g *guard) {
	if g.worker.Slow {
		m.quarantine(now, g)
	}
}

// probationTaskLimit is the number of this entry's tasks at which the limit on a worker after its
// quarantine is lifted.
const probationTaskLimit = 8

// canQuarantine reports whether at least half of the workers stay usable with one more in
// quarantine, so that a fault common to all workers does not empty the pool.
func (m *Machine) canQuarantine() bool {
	usable, quarantined := 0, 0
	for i := range m.workers {
		switch m.workers[i].State {
		case sched.Usable:
			usable++
		case sched.Quarantined:
			quarantined++
		}
	}
	return usable-1 >= (usable+quarantined+1)/2
}

// endQuarantine makes a worker usable again, limited to one task at first. A worker that its
// guard still reports as slow is quarantined again.
func (m *Machine) endQuarantine(now time.Duration, g *guard) {
	g.isQuarantined = false
	if !m.options.Disabled.Has(policy.Probation) {
		m.workers[g.position].MaxOwnTasks = 1
	}
	m.updateState(g)
	m.quarantineIfSlow(now, g)
}
