package dispatch

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/wire"
)

// recordHealth updates a worker's health from a task's result and quarantines
// the worker if necessary.
func (d *Dispatcher) recordHealth(now time.Time, a *attempt, r *wire.Result) {
	g := a.guard
	switch {
	case r.Kind == errkind.None:
		d.recordRun(g, time.Duration(r.RunMs)*time.Millisecond)
	case mayBeWorkerFault(r.Kind):
		g.health.RecordFailure(a.ref.Key)
	default:
		return
	}
	if !g.isQuarantined && g.health.ShouldQuarantine() && d.pool.FleetStats.CanExclude() {
		d.quarantine(now, g)
	}
}

// mayBeWorkerFault reports whether a failure may be caused by the worker.
func mayBeWorkerFault(k errkind.Kind) bool {
	return k == errkind.UpstreamFailed || k == errkind.UpstreamPartial || k == errkind.TimedOut
}

func (d *Dispatcher) recordRun(g *guard, runTime time.Duration) {
	isSlow := d.runTimes.HasEstimate() && runTime > d.runTimes.P90
	g.health.RecordRun(isSlow)
	d.runTimes.Observe(runTime)
	if w := d.pool.Workers[g.workerIndex]; w.MaxOwnTasks > 0 && !g.isQuarantined {
		w.MaxOwnTasks = g.health.RecordProbe(w.MaxOwnTasks, w.Slots, isSlow)
		d.pool.Set(g.workerIndex, w)
	}
}

func (d *Dispatcher) quarantine(now time.Time, g *guard) {
	g.isQuarantined = true
	d.updateState(g)
	d.timers.add(g.health.Quarantine(now), timer{guard: g, startProbation: true})
}

// startProbation ends a quarantine. The worker gets one task at a time at
// first, and more as they succeed.
func (d *Dispatcher) startProbation(g *guard) {
	if !g.isQuarantined {
		return // restoreExcluded ended the quarantine early
	}
	g.isQuarantined = false
	w := d.pool.Workers[g.workerIndex]
	w.MaxOwnTasks = 1
	d.pool.Set(g.workerIndex, w)
	d.updateState(g)
}

// Parameters of checkResponsiveness.
const (
	responsivenessCheckInterval = 250 * time.Millisecond
	minUnresponsiveTimeout      = 2 * time.Second
	unresponsiveRunTimeFactor   = 4 // multiple of the 99th percentile of run times
	defaultUnresponsiveTimeout  = 10 * time.Second
)

// checkResponsiveness stops sending tasks to guards that have an overdue task
// and have sent nothing for too long. A frozen worker keeps its link until the
// link's own liveness check fails, much later, and meanwhile looks idle to
// other entries; every task sent to it in that time would be lost.
func (d *Dispatcher) checkResponsiveness(now time.Time) {
	d.isCheckScheduled = false
	if len(d.attempts) == 0 {
		return
	}
	d.isCheckScheduled = true
	d.timers.add(now.Add(responsivenessCheckInterval), timer{checkResponsiveness: true})
	cutoff := now.Add(-d.unresponsiveTimeout())
	for _, a := range d.attempts {
		a.guard.hasOverdueTask = a.guard.hasOverdueTask || a.sent.Before(cutoff)
	}
	for _, g := range d.guards {
		if g == nil {
			continue
		}
		hasOverdueTask := g.hasOverdueTask
		g.hasOverdueTask = false
		if hasOverdueTask && g.isConnected && !g.isUnresponsive && g.lastReport.Before(cutoff) && d.pool.FleetStats.CanExclude() {
			g.isUnresponsive = true
			d.updateState(g)
		}
	}
}

// unresponsiveTimeout returns how long a guard with an open task may send
// nothing.
func (d *Dispatcher) unresponsiveTimeout() time.Duration {
	if !d.runTimes.HasEstimate() {
		return defaultUnresponsiveTimeout
	}
	return max(minUnresponsiveTimeout, unresponsiveRunTimeFactor*d.runTimes.P99)
}
