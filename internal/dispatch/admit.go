package dispatch

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/sched"
)

// Retry delays for refusals whose duration cannot be computed.
const (
	noWorkersRetryDelay  = time.Second
	overloadedRetryDelay = 500 * time.Millisecond
)

// minRetryDelay is the shortest retry delay that a refusal suggests.
const minRetryDelay = 50 * time.Millisecond

// admit returns nil if the job can be served, and otherwise the reason for
// refusing it. A refusal is final: a refused job is not kept and never runs.
func (d *Dispatcher) admit(now time.Time, s *Spec) *errkind.Error {
	n := len(s.Tasks)
	stats := &d.pool.FleetStats
	switch {
	case n == 0:
		return errkind.New(errkind.BadRequest, "a job without tasks")
	case d.jobs[s.ID] != nil:
		return errkind.New(errkind.IdentityReused, "the job is running")
	case !s.Deadline.After(now):
		return errkind.New(errkind.DeadlineExpired, "the deadline had passed on arrival")
	case n > d.policy.MaxQueued:
		return errkind.New(errkind.NeverFits, "%d tasks exceed the queue of %d", n, d.policy.MaxQueued)
	case stats.Usable == 0 && !d.anyGuardInGrace():
		return errkind.New(errkind.NoWorkers, "no worker of %s is connected", d.service).WithAfter(noWorkersRetryDelay)
	case s.Need != (Need{}) && d.pool.CountFitting(s.Need, 1) == 0 && d.fittedBefore(s.Need):
		return errkind.New(errkind.NoWorkers, "the workers of %s that fit are gone", d.service).WithAfter(noWorkersRetryDelay)
	case s.Need != (Need{}) && d.pool.CountFitting(s.Need, 1) == 0:
		return errkind.New(errkind.NeverFits, "no worker of %s has %d accelerators and %d MB of memory",
			d.service, s.Need.Accelerators, s.Need.MemoryMB)
	case s.Need != (Need{}) && !d.anyFittingStays(s.Need):
		return errkind.New(errkind.NoWorkers, "every worker of %s that fits is leaving", d.service).WithAfter(noWorkersRetryDelay)
	case d.waitingTasks()+n > d.policy.MaxQueued:
		return errkind.New(errkind.Overloaded, "%d tasks wait", d.waitingTasks()).
			WithRan(errkind.RanNo).WithAfter(overloadedRetryDelay)
	}
	if err := d.checkDeadline(now, s, stats); err != nil {
		return err
	}
	return d.checkQuota(now, s.Team, n)
}

// checkDeadline refuses a job that is not expected to finish before its
// deadline.
func (d *Dispatcher) checkDeadline(now time.Time, s *Spec, stats *sched.FleetStats) *errkind.Error {
	n, timeLeft := len(s.Tasks), s.Deadline.Sub(now)
	lastDue := now.Add(time.Duration(n-1) * sched.TaskSpacing(timeLeft, n))
	queued, share := d.queue.FlowStatus(s.Team, d.policy.Teams[s.Team].Weight)
	// A team below its share does not wait for the backlog of other teams.
	queued = min(d.queue.CountDueBy(lastDue.UnixNano()), int(float64(queued)/share))
	req := sched.AdmissionRequest{
		Tasks: n, TimeLeft: timeLeft,
		DeclaredRunTime: time.Duration(s.DeclaredMs) * time.Millisecond,
	}
	capacity := sched.EntryCapacity{FreeSlots: stats.FreeSlots, QueuedTasks: queued, StartRate: d.startRate.PerSecond, RunTimes: d.runTimes}
	if capacity.StartRate == 0 {
		capacity.StartRate = d.nominalRate(stats)
	}
	admitted, lateness := sched.Admit(&req, &capacity)
	if admitted {
		return nil
	}
	return errkind.New(errkind.CannotFinishInTime, "%d tasks wait; the job would end %v after its deadline",
		d.queue.Len(), lateness.Round(time.Millisecond)).WithAfter(max(minRetryDelay, lateness))
}

// nominalRate returns this entry's equal share of the tasks that the fleet can
// start per second; 0 if run times are unknown.
func (d *Dispatcher) nominalRate(stats *sched.FleetStats) float64 {
	if !d.runTimes.HasEstimate() {
		return 0
	}
	return float64(stats.Slots) / d.runTimes.Mean.Seconds() / float64(max(1, d.policy.Entries))
}

func (d *Dispatcher) checkQuota(now time.Time, team string, tasks int) *errkind.Error {
	quota := d.policy.Teams[team]
	if quota.StartsPerSecond <= 0 {
		return nil
	}
	bucket := d.quotaBuckets[team]
	if bucket == nil {
		bucket = new(sched.TokenBucket)
		d.quotaBuckets[team] = bucket
	}
	entries := float64(max(1, d.policy.Entries))
	allowed, retryAfter := bucket.Take(now, float64(tasks), quota.StartsPerSecond/entries, quota.Burst/entries)
	if allowed {
		return nil
	}
	return errkind.New(errkind.OverQuota, "team %q used up its %g starts a second", team, quota.StartsPerSecond).
		WithAfter(max(minRetryDelay, retryAfter))
}

// anyGuardInGrace reports whether a guard is disconnected but may still
// reconnect within its grace period. If jobs were refused meanwhile, every
// short interruption of the only worker's link would cause refusals.
func (d *Dispatcher) anyGuardInGrace() bool {
	for _, g := range d.guards {
		if g != nil && !g.isConnected && !g.isDraining {
			return true
		}
	}
	return false
}
