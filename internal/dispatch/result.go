package dispatch

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// Result implements Machine.
func (d *Dispatcher) Result(now time.Time, inc identity.Incarnation, r *wire.Result) {
	g := d.findGuard(inc)
	if g == nil {
		return // removed; its jobs have been failed
	}
	a := d.attempts[r.Ref]
	if a != nil && a.guard == g {
		d.removeAttempt(a)
		d.applyLoad(now, g, &r.Load)
		d.applyResult(now, a, r)
	} else {
		// A duplicate result, or a late one from another guard, must not affect
		// the task's current attempt.
		d.applyLoad(now, g, &r.Load)
	}
	d.dispatchWaiting(now)
}

// applyResult applies a guard's result to the task of a removed attempt.
func (d *Dispatcher) applyResult(now time.Time, a *attempt, r *wire.Result) {
	d.recordHealth(now, a, r)
	t := a.task
	if t == nil || t.job.tasks == nil {
		return // the job has finished
	}
	switch {
	case r.Kind == errkind.None:
		d.completeTask(t, r)
	case r.Ran == errkind.RanNo && isRetryable(r.Kind):
		d.refusedBy(now, t, a.guard, r)
	default:
		d.failJob(now, t.job, failure{hasTask: true, task: t.index, kind: r.Kind, ran: r.Ran, detail: r.Detail})
	}
}

func (d *Dispatcher) completeTask(t *task, r *wire.Result) {
	j := t.job
	t.state = done
	t.result = TaskResult{Status: r.Status, Body: r.Body}
	j.longestRunTime = max(j.longestRunTime, time.Duration(r.RunMs)*time.Millisecond)
	if j.unfinished--; j.unfinished == 0 {
		d.succeedJob(j)
	}
}

// refusedBy requeues a task after a guard's refusal, which is final for that
// guard. If no candidate is left, it fails the job immediately: waiting for the
// deadline would only delay an answer that is already known.
func (d *Dispatcher) refusedBy(now time.Time, t *task, g *guard, r *wire.Result) {
	t.state = waiting
	t.refusedBy = append(t.refusedBy, int32(g.workerIndex))
	if w := d.pool.Workers[g.workerIndex]; r.Kind == errkind.Busy {
		// Any free slots that it reports are reserved for offers.
		w.OtherTasks = max(w.OtherTasks, w.Slots-w.OwnTasks)
		d.pool.Set(g.workerIndex, w)
	}
	if n := len(t.refusedBy); n >= d.countCandidates(t, n+1) {
		d.failJob(now, t.job, failure{hasTask: true, task: t.index, kind: errkind.NotRun,
			ran: errkind.RanNo, detail: "every guard refused the task, the last one with " + r.Kind.String()})
		return
	}
	if r.Kind == errkind.Busy && (d.usesReservations() || d.policy.Placement != DefaultPlacement) {
		// The task is sent in response to an offer next, which is not refused
		// as Busy. The comparison methods have no retry budget.
		d.enqueueCount++
		d.enqueue(t)
		return
	}
	d.retryTask(now, t)
}

// retryTask requeues a refused task if the retry budget allows it, or sets a
// timer to try again later.
func (d *Dispatcher) retryTask(now time.Time, t *task) {
	if d.retryBudget.TryTake() {
		d.enqueueCount++
		d.enqueue(t)
		return
	}
	t.backoffCount++
	d.timers.add(now.Add(sched.BackoffDelay(t.backoffCount, d.rng)), timer{task: t})
}

// isRetryable reports whether another guard may respond differently. The
// excluded kinds concern the request or this entry and are the same at every
// guard.
func isRetryable(k errkind.Kind) bool {
	switch k {
	case errkind.Fenced, errkind.Cancelled, errkind.DeadlineExpired, errkind.NeverFits,
		errkind.TooLarge, errkind.BadRequest:
		return false
	}
	return true
}
