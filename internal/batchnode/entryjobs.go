package batchnode

import (
	"context"
	"time"

	"wigeontray/internal/batch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/telemetry"
)

func (e *Entry) finishJob(now time.Duration, out *batch.Outcome) {
	waiting := e.waiters[out.ID]
	delete(e.waiters, out.ID)
	e.countOutcome(out)
	for _, w := range waiting {
		e.opt.Metrics.Observe(telemetry.JobLatency, now-w.startedAt)
		w.outcome <- out
	}
	e.logOutcome(now, out)
}

// logOutcome logs the outcome of a job: one line if it is complete, and otherwise also one
// line per decision about it. The decisions are buffered until the job ends, because only
// then is it known whether it failed, and logging them for every job would cost more than
// running the jobs.
func (e *Entry) logOutcome(now time.Duration, out *batch.Outcome) {
	if out.Err == nil {
		e.opt.RoutineLog.Info("job ended", "job", out.ID, "request", out.Job.Request, "outcome", "complete", "took", now-out.Events[0].At, "events", len(out.Events))
		return
	}
	for i := range out.Events {
		event := &out.Events[i]
		e.opt.Log.Info(event.Decision.String(), "job", out.ID, "ago", now-event.At, "guard", event.Guard, "tasks", event.Tasks,
			"outcome", event.Kind, "free", event.Free, "age", event.Age, "wait", event.ExpectedWait, "goal", event.TargetDuration)
	}
	e.opt.Log.Info("job ended", "job", out.ID, "request", out.Job.Request, "queue", out.Job.Queue.Name, "outcome", out.Err.Kind, "ran", out.Err.Ran, "cause", out.Err.Detail, "took", now-out.Events[0].At)
}

func (e *Entry) countOutcome(out *batch.Outcome) {
	switch {
	case out.Err == nil:
		e.opt.Metrics.Inc(telemetry.JobsAnswered)
	case out.Err.Kind == errkind.Cancelled:
		e.opt.Metrics.Inc(telemetry.JobsCancelled)
	default:
		e.opt.Metrics.Inc(telemetry.JobsFailed)
	}
}

// Submit runs a job and returns its outcome. timeout is how long the caller waits. If the
// job is already queued or running, the request joins it; if it is complete, has failed
// permanently or was cancelled, the same outcome is returned again. A job whose request may have been delayed
// (HeldUp) is refused if another entry runs it. If ctx ends first, Submit returns nil and
// the job is cancelled, unless another request waits for it.
func (e *Entry) Submit(ctx context.Context, job *batch.Job, timeout time.Duration) *batch.Outcome {
	if !e.waitAfterResume(ctx) {
		return nil
	}
	if job.HeldUp && e.runsElsewhere(ctx, job.ID) {
		e.logNotStarted(job, "another entry runs it")
		return &batch.Outcome{ID: job.ID, Err: errkind.New(errkind.OutcomeUnknown, "another entry runs the job")}
	}
	if ctx.Err() != nil {
		return nil
	}
	w, out := e.submitOrJoin(job, timeout)
	if out != nil {
		return out
	}
	select {
	case out := <-w.outcome:
		return out
	case <-ctx.Done():
		e.abandon(job.ID, w)
		return nil
	}
}

// HandleCallerDisconnect logs and counts a request that is not started because its caller disconnected
// before the request was read.
func (e *Entry) HandleCallerDisconnect(job *batch.Job) {
	e.opt.Metrics.Inc(telemetry.CallersDisconnected)
	e.logNotStarted(job, "its caller has left")
}

func (e *Entry) logNotStarted(job *batch.Job, cause string) {
	e.opt.Log.Info("request not begun", "job", job.ID, "request", job.Request, "cause", cause)
}

func (e *Entry) submitOrJoin(job *batch.Job, timeout time.Duration) (*waiter, *batch.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := &waiter{outcome: make(chan *batch.Outcome, 1), startedAt: e.opt.Clock()}
	switch e.machine.State(job.ID) {
	case batch.Queued, batch.Running:
		e.opt.Metrics.Inc(telemetry.JobsResubmitted)
		e.waiters[job.ID] = append(e.waiters[job.ID], w)
		return w, nil
	case batch.Complete:
		e.opt.Metrics.Inc(telemetry.JobsResubmitted)
		return nil, &batch.Outcome{ID: job.ID}
	case batch.Failed:
		e.opt.Metrics.Inc(telemetry.JobsResubmitted)
		return nil, &batch.Outcome{ID: job.ID, Err: errkind.New(errkind.UpstreamFailed, "the job has failed before")}
	}
	var refused *errkind.Error
	var inputs refusalInputs
	e.waiters[job.ID] = append(e.waiters[job.ID], w)
	e.stepLocked(func(now time.Duration, m *batch.Machine) {
		job.Deadline = now + timeout
		if refused = m.Submit(now, job); refused != nil {
			inputs = refusalInputs{snapshot: m.Snapshot(now), share: m.Share(now, job.Queue.Service), wait: m.ExpectedWait(now, job)}
		}
	})
	if refused != nil {
		delete(e.waiters, job.ID)
		if refused.Kind == errkind.Cancelled {
			e.opt.Metrics.Inc(telemetry.JobsResubmitted)
			e.logNotStarted(job, refused.Detail)
		} else {
			e.recordRefusal(w.startedAt, job, refused, &inputs)
		}
		return nil, &batch.Outcome{ID: job.ID, Err: refused}
	}
	e.opt.Metrics.Inc(telemetry.JobsAccepted)
	return w, nil
}

// abandon removes a waiter from a job, and withdraws the job if it was the last one.
func (e *Entry) abandon(id string, w *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var remaining []*waiter
	for _, other := range e.waiters[id] {
		if other != w {
			remaining = append(remaining, other)
		}
	}
	if len(remaining) > 0 {
		e.waiters[id] = remaining
		return
	}
	delete(e.waiters, id)
	e.stepLocked(func(now time.Duration, m *batch.Machine) { m.Withdraw(now, id) })
}

// State returns the state of a job at this entry.
func (e *Entry) State(id string) batch.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.State(id)
}

// Pending returns the number of jobs in a queue of which no task was sent to a worker yet.
func (e *Entry) Pending(queue string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, pending := e.machine.Jobs(queue)
	return pending
}

// OpenJobs returns the number of jobs without an outcome.
func (e *Entry) OpenJobs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	open, _ := e.machine.Jobs("")
	return open
}

// AnswerAll fails every open job: its outcome is unknown unless nothing of it ran. If the
// process exited without it, the connections of the callers would break, and the callers
// could not determine whether their jobs had been read.
func (e *Entry) AnswerAll(reason string) {
	e.step(func(now time.Duration, m *batch.Machine) { m.AnswerAll(now, reason) })
}
