package batch

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/policy"
	"wigeontray/internal/sched"
)

// expectedRunTime returns the run time expected of a step's tasks: the caller's estimate,
// corrected by the observed run times of the queue.
func (m *Machine) expectedRunTime(q *Queue, s *Step) time.Duration {
	if estimator := m.runTimeEstimators[q.Name]; estimator != nil && !m.options.Disabled.Has(policy.LearnedTimes) {
		return estimator.ExpectedRunTime(s.Estimate)
	}
	return s.Estimate
}

// recordRunTime updates the run time estimator of the job's queue with the time that the run would
// have taken at the mean speed of its service's workers. Otherwise the expected times would follow the
// workers that happen to run the tasks, while placement and admission apply the speeds once more.
func (m *Machine) recordRunTime(r *activeRun, runTime time.Duration) {
	queue := r.job.spec.Queue.Name
	estimator := m.runTimeEstimators[queue]
	if estimator == nil {
		estimator = new(sched.RunTimeEstimator)
		m.runTimeEstimators[queue] = estimator
	}
	estimator.Observe(r.step.spec.Estimate, time.Duration(float64(runTime)/m.relativeSlowness(r.guard)))
}

// relativeSlowness returns how long runs take on a guard's worker relative to the mean of its service's
// usable workers.
func (m *Machine) relativeSlowness(g *guard) float64 {
	if m.guards[g.position] != g {
		return 1 // the guard has left
	}
	w := &m.workers[g.position]
	sum, count := 0.0, 0
	for i := range m.workers {
		if other := &m.workers[i]; other.State == sched.Usable && other.Service == w.Service {
			sum += other.RunTimeFactor()
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return w.RunTimeFactor() * float64(count) / sum
}

// criticalPath returns the expected length of the longest chain of steps of a job.
func (m *Machine) criticalPath(spec *Job) time.Duration {
	return m.longestPath(spec, func(int) bool { return true })
}

// remainingCriticalPath returns the expected length of the longest chain of unfinished steps of a
// job.
func (m *Machine) remainingCriticalPath(j *job) time.Duration {
	return m.longestPath(j.spec, func(i int) bool { return j.steps[i].unfinished > 0 })
}

// longestPath returns the expected length of the longest chain of steps, in which only the
// included steps take time.
func (m *Machine) longestPath(spec *Job, isIncluded func(step int) bool) time.Duration {
	ends := make([]time.Duration, len(spec.Steps))
	var longest time.Duration
	for i := range spec.Steps {
		s := &spec.Steps[i]
		for _, dependency := range s.After {
			ends[i] = max(ends[i], ends[dependency])
		}
		if isIncluded(i) {
			ends[i] += m.expectedRunTime(spec.Queue, s)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// minRunTimeShare is the share of the expected time in which a job may still complete: the
// callers' estimates are too long by up to two thirds. If jobs were refused on their full
// expected time, a queue whose tasks take about as long as its callers wait would refuse many
// jobs while workers are idle, although most of them would complete in time.
const minRunTimeShare = 0.6

// admit refuses jobs that cannot be served. A refusal is final: no task of the job was sent.
func (m *Machine) admit(now time.Duration, spec *Job, criticalPath, expectedWait time.Duration, share *callerShare) *errkind.Error {
	if now >= spec.Deadline {
		return newRefusal(errkind.DeadlineExpired, 0, "the deadline had passed on arrival")
	}
	if err := m.checkWorkers(now, spec); err != nil {
		return err
	}
	if err := m.checkCallerShare(now, spec, share, expectedWait); err != nil {
		return err
	}
	minRunTime := time.Duration(minRunTimeShare * float64(criticalPath))
	if m.options.Disabled.Has(policy.QuickShare) {
		minRunTime = criticalPath
	}
	if end := now + expectedWait + minRunTime; end > spec.Deadline {
		return newRefusal(errkind.CannotFinishInTime, m.addJitter(max(overloadedRetryDelay, expectedWait)),
			"it would start in %v and end %v after its deadline", expectedWait.Round(time.Millisecond), (end - spec.Deadline).Round(time.Millisecond))
	}
	if limit := m.maxWait(spec.Queue, criticalPath); expectedWait > limit {
		return newRefusal(errkind.Overloaded, m.addJitter(max(overloadedRetryDelay, expectedWait)),
			"it would start in %v, later than %v from now", expectedWait.Round(time.Millisecond), limit.Round(time.Millisecond))
	}
	return nil
}

// targetDuration returns the time, counted from its arrival, in which a job should end.
func targetDuration(q *Queue, criticalPath time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(criticalPath)) + q.Slack
}

// maxWaitShare is the share of its target duration for which a job may wait before its first task
// is sent. A caller that is refused this early can still try another entry. When jobs were kept
// as long as they could still complete in time, they took room at the last moment, and many of
// those that were served ended just too late.
const maxWaitShare = 0.25

// maxWait returns how long a job may wait before its first task is sent.
func (m *Machine) maxWait(q *Queue, criticalPath time.Duration) time.Duration {
	target := targetDuration(q, criticalPath)
	slack := max(0, target-criticalPath)
	if m.options.Disabled.Has(policy.BoundedWait) {
		return slack
	}
	return min(slack, time.Duration(maxWaitShare*float64(target)))
}

// checkWorkers refuses a job if no worker can run one of its steps.
func (m *Machine) checkWorkers(now time.Duration, spec *Job) *errkind.Error {
	for i := range spec.Steps {
		s := &spec.Steps[i]
		req := taskRequirements(spec.Queue, s)
		usable, suitable, present := m.countWorkers(&req)
		switch {
		case usable > 0:
		case present == 0 && now-m.startedAt < startGracePeriod && !m.options.Disabled.Has(policy.StartGrace):
		case suitable > 0 || present == 0 || now-m.startedAt < neverFitsDelay:
			return newRefusal(errkind.NoWorkers, m.addJitter(noWorkersRetryDelay), "no worker for step %d is ready; %d failure domains are drained", i, len(m.drains.Domains))
		default:
			return newRefusal(errkind.NeverFits, 0, "no worker could ever run step %d", i)
		}
	}
	return nil
}

// countWorkers counts a service's workers: those that could run the task now, those that could
// run it at the largest capacity they have reported, as a reduced capacity may be restored, and
// all that are present.
func (m *Machine) countWorkers(req *sched.TaskRequest) (usable, suitable, present int) {
	for i := range m.workers {
		w := &m.workers[i]
		if w.State == sched.Absent || w.Service != req.Service {
			continue
		}
		present++
		atMaxCapacity := *w
		atMaxCapacity.Capacity = m.guards[i].maxCapacity
		if !atMaxCapacity.CanRun(req) {
			continue
		}
		suitable++
		if w.State == sched.Usable && w.CanRun(req) {
			usable++
		}
	}
	return usable, suitable, present
}

// expectedWait returns how long a job is expected to wait for room: the work queued ahead of it
// plus half of its own, divided by this entry's share of the service's capacity. It is 0 if no
// work is queued ahead and each of the job's first steps fits into the free room. Jobs that wait only for
// faster workers do not count: they leave the free room to others.
func (m *Machine) expectedWait(now time.Duration, spec *Job, share *callerShare) time.Duration {
	var workAhead float64 // thousandths of a core, times nanoseconds
	for _, j := range m.queue {
		if !j.isHeld && j.spec.Queue.Service == spec.Queue.Service && j.goesBefore(spec.Queue.Priority, share) {
			workAhead += m.waitingWork(j)
		}
	}
	capacity, free := m.serviceCPU(spec.Queue.Service)
	ownWork := 0.0
	hasRoom := true
	for i := range spec.Steps {
		s := &spec.Steps[i]
		if len(s.After) > 0 {
			continue
		}
		ownWork += float64(int64(s.Count)*s.Need.CPU) * float64(m.expectedRunTime(spec.Queue, s))
		if int64(s.Count)*s.Need.CPU > free {
			hasRoom = false
		}
	}
	if workAhead == 0 && hasRoom || capacity == 0 {
		return 0
	}
	return time.Duration(workAhead/(m.capacityShare(now, spec.Queue.Service)*float64(capacity)) + ownWork/2*float64(m.sharingEntries(spec.Queue.Service))/float64(capacity))
}

// waitingWork returns the expected work of a job's waiting tasks, in thousandths of a core times
// nanoseconds.
func (m *Machine) waitingWork(j *job) float64 {
	sum := 0.0
	for i := range j.steps {
		s := &j.steps[i]
		sum += float64(int64(len(s.waiting))*s.spec.Need.CPU) * float64(m.expectedRunTime(j.spec.Queue, s.spec))
	}
	return sum
}

// serviceCPU returns the total and the free CPU of a service's usable workers, in thousandths of
// a core.
func (m *Machine) serviceCPU(service string) (capacity, free int64) {
	for i := range m.workers {
		if w := &m.workers[i]; w.State == sched.Usable && w.Service == service {
			capacity += w.Capacity.CPU
			free += max(0, w.Free.CPU)
		}
	}
	return capacity, free
}

// addJitter returns a random duration between d and twice d, so that callers refused at the same
// time do not retry at the same time.
func (m *Machine) addJitter(d time.Duration) time.Duration {
	if m.options.Disabled.Has(policy.RetrySpread) {
		return d
	}
	return d + time.Duration(m.rng.Int64N(int64(d)+1))
}
