package dispatch

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/sched"
)

// When to come back after a refusal whose end cannot be computed.
const (
	afterNoWorkers  = time.Second
	afterOverloaded = 500 * time.Millisecond
)

// leastAfter is the shortest time after which a caller is told to come back.
const leastAfter = 50 * time.Millisecond

// admit refuses what cannot be served, with a reason that is true for good.
func (c *Core) admit(now time.Time, s *Spec) *errkind.Error {
	n := len(s.Tasks)
	fleet := &c.pool.FleetStats
	switch {
	case n == 0:
		return errkind.New(errkind.BadRequest, "a job without tasks")
	case c.jobs[s.ID] != nil:
		return errkind.New(errkind.IdentityReused, "the job is running")
	case !s.Deadline.After(now):
		return errkind.New(errkind.DeadlineExpired, "the deadline had passed on arrival")
	case n > c.policy.MaxQueued:
		return errkind.New(errkind.NeverFits, "%d tasks exceed the queue of %d", n, c.policy.MaxQueued)
	case fleet.Usable == 0 && !c.anyInDoubt():
		return errkind.New(errkind.NoWorkers, "no worker of %s is connected", c.service).WithAfter(afterNoWorkers)
	case s.Need != (Need{}) && c.pool.CountFitting(s.Need, 1) == 0 && c.fittedOnce(s.Need):
		return errkind.New(errkind.NoWorkers, "the workers of %s that fit are gone", c.service).WithAfter(afterNoWorkers)
	case s.Need != (Need{}) && c.pool.CountFitting(s.Need, 1) == 0:
		return errkind.New(errkind.NeverFits, "no worker of %s has %d accelerators and %d MB of memory",
			c.service, s.Need.Accelerators, s.Need.MemoryMB)
	case s.Need != (Need{}) && !c.anyStays(s.Need):
		return errkind.New(errkind.NoWorkers, "every worker of %s that fits is leaving", c.service).WithAfter(afterNoWorkers)
	case c.waitingTasks()+n > c.policy.MaxQueued:
		return errkind.New(errkind.Overloaded, "%d tasks wait", c.waitingTasks()).
			WithRan(errkind.RanNo).WithAfter(afterOverloaded)
	}
	if err := c.inTime(now, s, fleet); err != nil {
		return err
	}
	return c.withinQuota(now, s.Team, n)
}

// inTime refuses a job that cannot finish before its deadline.
func (c *Core) inTime(now time.Time, s *Spec, fleet *sched.FleetStats) *errkind.Error {
	n, left := len(s.Tasks), s.Deadline.Sub(now)
	last := now.Add(time.Duration(n-1) * sched.Spacing(left, n))
	waiting, share := c.queue.FlowStatus(s.Team, c.policy.Teams[s.Team].Weight)
	// A team below its share does not wait for the others' backlog.
	waiting = min(c.queue.CountDueBy(last.UnixNano()), int(float64(waiting)/share))
	d := sched.AdmissionRequest{
		Tasks: n, TimeLeft: left,
		DeclaredRunTime: time.Duration(s.DeclaredMs) * time.Millisecond,
	}
	sup := sched.EntryCapacity{FreeSlots: fleet.FreeSlots, QueuedTasks: waiting, StartRate: c.rate.PerSecond, RunTimes: c.runs}
	if sup.StartRate == 0 {
		sup.StartRate = c.nominalRate(fleet)
	}
	ok, late := sched.Admit(&d, &sup)
	if ok {
		return nil
	}
	return errkind.New(errkind.CannotFinishInTime, "%d tasks wait; the job would end %v after its deadline",
		c.queue.Len(), late.Round(time.Millisecond)).WithAfter(max(leastAfter, late))
}

// nominalRate is this entry's even part of what the fleet can start a second.
func (c *Core) nominalRate(fleet *sched.FleetStats) float64 {
	if !c.runs.HasEstimate() {
		return 0
	}
	return float64(fleet.Slots) / c.runs.Mean.Seconds() / float64(max(1, c.policy.Entries))
}

func (c *Core) withinQuota(now time.Time, team string, tasks int) *errkind.Error {
	q := c.policy.Teams[team]
	if q.StartsPerSecond <= 0 {
		return nil
	}
	b := c.buckets[team]
	if b == nil {
		b = new(sched.TokenBucket)
		c.buckets[team] = b
	}
	part := float64(max(1, c.policy.Entries))
	ok, after := b.Take(now, float64(tasks), q.StartsPerSecond/part, q.Burst/part)
	if ok {
		return nil
	}
	return errkind.New(errkind.OverQuota, "team %q used up its %g starts a second", team, q.StartsPerSecond).
		WithAfter(max(leastAfter, after))
}

// anyInDoubt tells whether a guard's link may return within its grace time. To
// refuse for want of workers would turn each short break of the only worker's
// link into refusals.
func (c *Core) anyInDoubt() bool {
	for _, g := range c.guards {
		if g != nil && !g.up && !g.leaving {
			return true
		}
	}
	return false
}
