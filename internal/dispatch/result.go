package dispatch

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// Result implements Machine.
func (c *Core) Result(now time.Time, inc identity.Incarnation, r *wire.Result) {
	g := c.guardAt(inc)
	if g == nil {
		return // given up on; its jobs have been answered
	}
	f := c.flights[r.Ref]
	if f != nil && f.guard == g {
		c.land(f)
		c.takeLoad(now, g, &r.Load)
		c.settle(now, f, r)
	} else {
		// A repeated answer, or a late one of another guard: the task's own
		// flight must not be touched by it.
		c.takeLoad(now, g, &r.Load)
	}
	c.pump(now)
}

// settle applies a guard's word to the task of a landed flight.
func (c *Core) settle(now time.Time, f *flight, r *wire.Result) {
	c.noteHealth(now, f, r)
	t := f.task
	if t == nil || t.job.tasks == nil {
		return // the job was answered meanwhile
	}
	switch {
	case r.Kind == errkind.None:
		c.complete(t, r)
	case r.Ran == errkind.RanNo && retryable(r.Kind):
		c.refused(now, t, f.guard, r)
	default:
		c.fail(now, t.job, failure{known: true, task: t.index, kind: r.Kind, ran: r.Ran, detail: r.Detail})
	}
}

func (c *Core) complete(t *task, r *wire.Result) {
	j := t.job
	t.state = done
	t.result = TaskResult{Status: r.Status, Body: r.Body}
	j.slowest = max(j.slowest, time.Duration(r.RunMs)*time.Millisecond)
	if j.open--; j.open == 0 {
		c.succeed(j)
	}
}

// refused puts a task back that its guard has finally refused to start. With no
// guard left that may still take it, the job is answered at once: waiting for
// the deadline would hold back an answer that is known.
func (c *Core) refused(now time.Time, t *task, g *guard, r *wire.Result) {
	t.state = waiting
	t.refused = append(t.refused, int32(g.place))
	if w := c.pool.Workers[g.place]; r.Kind == errkind.Busy {
		// Its free slots, if it reports any, are held for offers.
		w.OtherTasks = max(w.OtherTasks, w.Slots-w.OwnTasks)
		c.pool.Set(g.place, w)
	}
	if n := len(t.refused); n >= c.candidates(t, n+1) {
		c.fail(now, t.job, failure{known: true, task: t.index, kind: errkind.NotRun,
			ran: errkind.RanNo, detail: "every guard refused the task, the last one with " + r.Kind.String()})
		return
	}
	if r.Kind == errkind.Busy && (c.reserves() || c.policy.Placement != Chosen) {
		// It goes out on an offer, which is not refused again. The ways that are
		// there to be measured against have no budget.
		c.arrivals++
		c.enqueue(t)
		return
	}
	c.retry(now, t)
}

// retry sends a refused task again if the budget allows it, or sets a moment to
// ask again.
func (c *Core) retry(now time.Time, t *task) {
	if c.budget.TryTake() {
		c.arrivals++
		c.enqueue(t)
		return
	}
	t.backoffs++
	c.timers.add(now.Add(sched.BackoffDelay(t.backoffs, c.rng)), timer{task: t})
}

// retryable tells whether another guard may answer otherwise. The kinds left
// out concern the request or this entry, and are the same everywhere.
func retryable(k errkind.Kind) bool {
	switch k {
	case errkind.Fenced, errkind.Cancelled, errkind.DeadlineExpired, errkind.NeverFits,
		errkind.TooLarge, errkind.BadRequest:
		return false
	}
	return true
}
