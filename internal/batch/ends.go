package batch

import (
	"slices"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/runs"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// HandleRunsEnded handles a guard's report on runs that have ended.
func (m *Machine) HandleRunsEnded(now time.Duration, id identity.Incarnation, e *wire.RunsEnded) {
	g := m.guardByID[id]
	if g == nil {
		return
	}
	m.updateLoad(now, g, &e.Load)
	for i := range e.Ends {
		m.handleRunEnd(now, g, &e.Ends[i])
	}
	m.dispatchWaiting(now)
	m.declineOffer(now, g)
}

// handleRunEnd handles the end of one run. It ignores runs that are not active at this guard.
func (m *Machine) handleRunEnd(now time.Duration, g *guard, e *wire.RunEnd) {
	r := m.activeRuns[runs.Key{Job: e.Job, Step: e.Step, Index: e.Index, Run: e.Run}]
	if r == nil || r.guard != g {
		return
	}
	m.releaseRun(r)
	m.recordHealth(now, r, e)
	if e.Ran != errkind.RanNo {
		r.job.mayHaveRun = true
	}
	m.recordCrash(r.key, e)
	if r.job.isAnswered {
		return
	}
	if e.Kind == errkind.None {
		m.completeTask(now, r, e)
		return
	}
	m.retryOrFail(now, r, e)
}

// releaseRun removes a run that has ended and frees its place at the guard.
func (m *Machine) releaseRun(r *activeRun) {
	m.deleteRun(r)
	r.step.at[r.guard]--
	if m.guards[r.guard.position] == r.guard {
		m.workers[r.guard.position].OwnTasks--
	}
}

// deleteRun removes a run from the machine's and its job's records.
func (m *Machine) deleteRun(r *activeRun) {
	delete(m.activeRuns, r.key)
	if r.isSuspect {
		r.guard.suspectRuns--
	}
	r.job.activeRuns = slices.DeleteFunc(r.job.activeRuns, func(other *activeRun) bool { return other == r })
}

// completeTask records a successful run and finishes its step and job if it was their last task.
func (m *Machine) completeTask(now time.Duration, r *activeRun, e *wire.RunEnd) {
	j, s := r.job, r.step
	m.recordRunTime(r, milliseconds(e.RunMs))
	j.unfinished--
	if s.unfinished--; s.unfinished == 0 {
		j.releaseDependents(s.stepIndex)
		m.enqueue(j)
	}
	if j.unfinished == 0 {
		m.finishJob(now, j, nil)
	}
}

// retryOrFail requeues a task whose run ended without success, or fails its job.
func (m *Machine) retryOrFail(now time.Duration, r *activeRun, e *wire.RunEnd) {
	j, t := r.job, &r.step.tasks[r.key.Index]
	j.addEvent(Event{At: now, Decision: EventRunEnded, Guard: r.guard.id, Tasks: 1, Kind: e.Kind, Free: r.guard.free.CPU})
	name := taskNameOf(r.key)
	count := m.crashes.get(name)
	t.crashes = count.total()
	if err := count.checkLimit(name); err != nil {
		m.failJob(now, j, err)
		return
	}
	switch {
	case e.Renumber:
		t.runNumber += runNumberIncrement
	case e.Kind == errkind.TimedOut:
		m.expireJob(now, j)
		return
	case e.Kind == errkind.BadRequest:
		m.failJob(now, j, errkind.New(errkind.NeverFits, "the worker does not understand the task"))
		return
	case e.Kind == errkind.UpstreamFailed && e.Ran == errkind.RanYes:
		t.failedRuns++
		if t.failedRuns >= j.spec.Queue.MaxAttempts {
			m.failJob(now, j, errkind.New(errkind.UpstreamFailed, "task %d of step %d failed %d times", r.key.Index, r.key.Step, t.failedRuns))
			return
		}
		m.avoid(r, t)
	case e.Kind == errkind.Stalled:
		t.wasRelocated = true
		m.avoid(r, t)
	case e.TextUnavailable:
		j.textSource = nil
		j.requeueTask(r.step, r.key.Index)
		m.enqueue(j)
		return
	case e.Kind == errkind.Busy && t.crashes > 0:
		m.avoid(r, t) // the worker may have room but run another suspect
		j.requeueTask(r.step, r.key.Index)
		m.enqueue(j)
		return
	case e.Kind == errkind.Busy:
		// The guard's load has updated its free room; the task waits or is placed elsewhere.
		j.requeueTask(r.step, r.key.Index)
		m.enqueue(j)
		return
	default:
		m.avoid(r, t)
	}
	if t.refusals++; t.refusals > maxRefusals {
		m.failJob(now, j, errkind.New(errkind.Overloaded, "task %d of step %d found no worker in %d tries", r.key.Index, r.key.Step, t.refusals))
		return
	}
	j.requeueTask(r.step, r.key.Index)
	m.enqueue(j)
}

// avoid excludes the run's guard from the placement of its task, unless no other usable guard
// could run the task; then it clears the list.
func (m *Machine) avoid(r *activeRun, t *task) {
	if !slices.Contains(t.avoid, r.guard) {
		t.avoid = append(t.avoid, r.guard)
	}
	req := taskRequirements(r.job.spec.Queue, r.step.spec)
	for i := range m.workers {
		w := &m.workers[i]
		if w.State == sched.Usable && w.CanRun(&req) && !slices.Contains(t.avoid, m.guards[i]) {
			return
		}
	}
	t.avoid = nil
}

// failJob answers a job with an error and stops its active runs.
func (m *Machine) failJob(now time.Duration, j *job, err *errkind.Error) {
	if len(j.activeRuns) > 0 {
		j.addEvent(Event{At: now, Decision: EventWithdrawn, Tasks: len(j.activeRuns)})
	}
	stopped := make(map[*guard]bool)
	for _, r := range slices.Clone(j.activeRuns) {
		j.mayHaveRun = true // the run has not ended, so a start cannot be ruled out
		if r.endedBy > 0 {
			m.deleteRun(r)
		} else if !stopped[r.guard] {
			stopped[r.guard] = true
			m.sendFrame(now, r.guard, &wire.Frame{StopRuns: &wire.StopRuns{ClockMs: r.guard.estimatedClockMs(now), Job: j.spec.ID}})
		}
	}
	m.finishJob(now, j, err)
}

// finishJob answers a job. An error says that the job has not run only if each of its runs was
// refused before it started.
func (m *Machine) finishJob(_ time.Duration, j *job, err *errkind.Error) {
	j.isAnswered = true
	delete(m.jobs, j.spec.ID)
	m.dequeue(j)
	switch {
	case err == nil:
	case !j.mayHaveRun:
		err = err.WithRan(errkind.RanNo)
	case err.Ran == errkind.RanNo:
		err = err.WithRan(errkind.RanUnknown)
	}
	m.endedJobs.add(j.spec.ID, stateOf(err), j.maxRun())
	m.actions = append(m.actions, Action{Finish: &Outcome{ID: j.spec.ID, Job: j.spec, Err: err, Events: j.events}})
}

// expireJob answers a job whose deadline has passed.
func (m *Machine) expireJob(now time.Duration, j *job) {
	m.failJob(now, j, errkind.New(errkind.TimedOut, "the deadline passed"))
}
