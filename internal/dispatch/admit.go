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

// admit returns an error if the job cannot be served. The statements of the
// error remain true afterwards.
func (c *Dispatcher) admit(now time.Time, s *Spec) *errkind.Error {
	n := len(s.Tasks)
	stats := &c.pool.FleetStats
	switch {
	case n == 0:
		return errkind.New(errkind.BadRequest, "a job without tasks")
	case c.jobs[s.ID] != nil:
		return errkind.New(errkind.IdentityReused, "the job is running")
	case !s.Deadline.After(now):
		return errkind.New(errkind.DeadlineExpired, "the deadline had passed on arrival")
	case n > c.policy.MaxQueued:
		return errkind.New(errkind.NeverFits, "%d tasks exceed the queue of %d", n, c.policy.MaxQueued)
	case stats.Usable == 0 && !c.anyGuardInGrace():
		return errkind.New(errkind.NoWorkers, "no worker of %s is connected", c.service).WithAfter(noWorkersRetryDelay)
	case s.Need != (Need{}) && c.pool.CountFitting(s.Need, 1) == 0 && c.fitBefore(s.Need):
		return errkind.New(errkind.NoWorkers, "the workers of %s that fit are gone", c.service).WithAfter(noWorkersRetryDelay)
	case s.Need != (Need{}) && c.pool.CountFitting(s.Need, 1) == 0:
		return errkind.New(errkind.NeverFits, "no worker of %s has %d accelerators and %d MB of memory",
			c.service, s.Need.Accelerators, s.Need.MemoryMB)
	case s.Need != (Need{}) && !c.anyFittingStays(s.Need):
		return errkind.New(errkind.NoWorkers, "every worker of %s that fits is leaving", c.service).WithAfter(noWorkersRetryDelay)
	case c.waitingTasks()+n > c.policy.MaxQueued:
		return errkind.New(errkind.Overloaded, "%d tasks wait", c.waitingTasks()).
			WithRan(errkind.RanNo).WithAfter(overloadedRetryDelay)
	}
	if err := c.checkDeadline(now, s, stats); err != nil {
		return err
	}
	return c.checkQuota(now, s.Team, n)
}

// checkDeadline refuses a job that is not expected to finish before its
// deadline.
func (c *Dispatcher) checkDeadline(now time.Time, s *Spec, stats *sched.FleetStats) *errkind.Error {
	n, timeLeft := len(s.Tasks), s.Deadline.Sub(now)
	lastDue := now.Add(time.Duration(n-1) * sched.TaskSpacing(timeLeft, n))
	queued, share := c.queue.FlowStatus(s.Team, c.policy.Teams[s.Team].Weight)
	// A team below its share does not wait for the backlog of other teams.
	queued = min(c.queue.CountDueBy(lastDue.UnixNano()), int(float64(queued)/share))
	req := sched.AdmissionRequest{
		Tasks: n, TimeLeft: timeLeft,
		DeclaredRunTime: time.Duration(s.DeclaredMs) * time.Millisecond,
	}
	capacity := sched.EntryCapacity{FreeSlots: stats.FreeSlots, QueuedTasks: queued, StartRate: c.startRate.PerSecond, RunTimes: c.runTimes}
	if capacity.StartRate == 0 {
		capacity.StartRate = c.nominalRate(stats)
	}
	admitted, lateness := sched.Admit(&req, &capacity)
	if admitted {
		return nil
	}
	return errkind.New(errkind.CannotFinishInTime, "%d tasks wait; the job would end %v after its deadline",
		c.queue.Len(), lateness.Round(time.Millisecond)).WithAfter(max(minRetryDelay, lateness))
}

// nominalRate returns this entry's equal share of the tasks that the fleet can
// start per second; 0 if run times are unknown.
func (c *Dispatcher) nominalRate(stats *sched.FleetStats) float64 {
	if !c.runTimes.HasEstimate() {
		return 0
	}
	return float64(stats.Slots) / c.runTimes.Mean.Seconds() / float64(max(1, c.policy.Entries))
}

func (c *Dispatcher) checkQuota(now time.Time, team string, tasks int) *errkind.Error {
	quota := c.policy.Teams[team]
	if quota.StartsPerSecond <= 0 {
		return nil
	}
	bucket := c.quotaBuckets[team]
	if bucket == nil {
		bucket = new(sched.TokenBucket)
		c.quotaBuckets[team] = bucket
	}
	entries := float64(max(1, c.policy.Entries))
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
func (c *Dispatcher) anyGuardInGrace() bool {
	for _, g := range c.guards {
		if g != nil && !g.isConnected && !g.isDraining {
			return true
		}
	}
	return false
}
