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

// admit refuses what cannot be served, with a reason that is true for good.
func (c *Core) admit(now time.Time, s *Spec) *errkind.Error {
	n := len(s.Tasks)
	switch {
	case n == 0:
		return errkind.New(errkind.BadRequest, "a job without tasks")
	case c.jobs[s.ID] != nil:
		return errkind.New(errkind.IdentityReused, "the job is running")
	case !s.Deadline.After(now):
		return errkind.New(errkind.DeadlineExpired, "the deadline had passed on arrival")
	case n > c.policy.MaxQueued:
		return errkind.New(errkind.NeverFits, "%d tasks exceed the queue of %d", n, c.policy.MaxQueued)
	case !c.anyUsable():
		return errkind.New(errkind.NoWorkers, "no worker of %s is connected", c.service).WithAfter(afterNoWorkers)
	case c.queue.Len()+n > c.policy.MaxQueued:
		return errkind.New(errkind.Overloaded, "%d tasks wait", c.queue.Len()).WithAfter(afterOverloaded)
	}
	return nil
}

func (c *Core) anyUsable() bool {
	for i := range c.workers {
		if c.workers[i].State == sched.Usable {
			return true
		}
	}
	return false
}
