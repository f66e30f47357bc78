package batch

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/policy"
	"wigeontray/internal/sched"
)

// expect is the run time that is expected of a step's tasks.
func (m *Machine) expect(q *Queue, s *Step) time.Duration {
	if r := m.learned[q.Name]; r != nil && !m.opt.Off.Has(policy.LearnedTimes) {
		return r.Expect(s.Estimate)
	}
	return s.Estimate
}

func (m *Machine) learn(j *job, s *step, took time.Duration) {
	name := j.spec.Queue.Name
	r := m.learned[name]
	if r == nil {
		r = new(sched.Ratio)
		m.learned[name] = r
	}
	r.Observe(s.spec.Estimate, took)
}

// chain is the expected length of the longest chain of steps of a job.
func (m *Machine) chain(spec *Job) time.Duration {
	return m.longest(spec, func(int) bool { return true })
}

// chainLeft is the same for the steps that are not done.
func (m *Machine) chainLeft(j *job) time.Duration {
	return m.longest(j.spec, func(i int) bool { return j.steps[i].open > 0 })
}

func (m *Machine) longest(spec *Job, counts func(step int) bool) time.Duration {
	ends := make([]time.Duration, len(spec.Steps))
	var most time.Duration
	for i := range spec.Steps {
		s := &spec.Steps[i]
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		if counts(i) {
			ends[i] += m.expect(spec.Queue, s)
		}
		most = max(most, ends[i])
	}
	return most
}

// quickShare is the part of the expected time in which a job may still end: the
// callers' estimates are too long by up to two thirds. Refused at its expected
// time, many a job of a queue whose tasks take as long as its callers wait would be
// turned away while workers are idle, and most would have ended in time.
const quickShare = 0.6

// admit refuses what cannot be served. A refusal is true for good: nothing of the
// job was sent.
func (m *Machine) admit(now time.Duration, spec *Job, chain, wait time.Duration) *errkind.Error {
	if now >= spec.Deadline {
		return refusal(errkind.DeadlineExpired, 0, "the deadline had passed on arrival")
	}
	if err := m.fits(now, spec); err != nil {
		return err
	}
	least := time.Duration(quickShare * float64(chain))
	if m.opt.Off.Has(policy.QuickShare) {
		least = chain
	}
	if end := now + wait + least; end > spec.Deadline {
		return refusal(errkind.CannotFinishInTime, m.spread(max(afterOverloaded, wait)),
			"it would start in %v and end %v after its deadline", wait.Round(time.Millisecond), (end - spec.Deadline).Round(time.Millisecond))
	}
	if most := m.mostWait(spec.Queue, chain); wait > most {
		return refusal(errkind.Overloaded, m.spread(max(afterOverloaded, wait)),
			"it would start in %v, later than %v from now", wait.Round(time.Millisecond), most.Round(time.Millisecond))
	}
	return nil
}

// goalOf is the time from its arrival in which a job should end.
func goalOf(q *Queue, chain time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(chain)) + q.Slack
}

// waitShare is the part of the time to its goal for which a job may wait before anything
// of it was sent. Callers who are refused that soon can still ask elsewhere. Held for as
// long as it could still end in time, a job took its room at the last moment, and many of
// those served ended just too late.
const waitShare = 0.25

// mostWait is how long a job may wait before anything of it is sent.
func (m *Machine) mostWait(q *Queue, chain time.Duration) time.Duration {
	goal := goalOf(q, chain)
	most := max(0, goal-chain)
	if m.opt.Off.Has(policy.BoundedWait) {
		return most
	}
	return min(most, time.Duration(waitShare*float64(goal)))
}

// fits refuses a job if a step of it has no worker.
func (m *Machine) fits(now time.Duration, spec *Job) *errkind.Error {
	for i := range spec.Steps {
		s := &spec.Steps[i]
		ask := askFor(spec.Queue, s)
		usable, suited, there := m.count(&ask)
		switch {
		case usable > 0:
		case there == 0 && now-m.began < startTime && !m.opt.Off.Has(policy.StartGrace):
		case suited > 0 || there == 0 || now-m.began < settleTime:
			return refusal(errkind.NoWorkers, m.spread(afterNoWorkers), "no worker for step %d is ready; %d failure domains are drained", i, len(m.drains.Domains))
		default:
			return refusal(errkind.NeverFits, 0, "no worker could ever run step %d", i)
		}
	}
	return nil
}

// count counts the workers that could run a task now, ever, and those of its
// service. A worker whose capacity has shrunk may get it back.
func (m *Machine) count(ask *sched.Ask) (usable, suited, there int) {
	for i := range m.view {
		v := &m.view[i]
		if v.State == sched.Absent || v.Service != ask.Service {
			continue
		}
		there++
		whole := *v
		whole.Capacity = m.sites[i].most
		if !whole.Suits(ask) {
			continue
		}
		suited++
		if v.State == sched.Usable && v.Suits(ask) {
			usable++
		}
	}
	return usable, suited, there
}

// wait is how long a job is expected to wait for room: the work that goes before
// it, and what of its own finds no room, at this entry's part of the workers.
func (m *Machine) wait(spec *Job) time.Duration {
	var ahead float64 // thousandths of a core, times nanoseconds
	for _, j := range m.queue {
		if j.spec.Queue.Priority <= spec.Queue.Priority && j.spec.Queue.Service == spec.Queue.Service {
			ahead += m.workWaiting(j)
		}
	}
	capacity, free := m.room(spec.Queue.Service)
	own := 0.0
	first := true
	for i := range spec.Steps {
		s := &spec.Steps[i]
		if len(s.After) > 0 {
			continue
		}
		own += float64(int64(s.Count)*s.Need.CPU) * float64(m.expect(spec.Queue, s))
		if int64(s.Count)*s.Need.CPU > free {
			first = false
		}
	}
	if ahead == 0 && first || capacity == 0 {
		return 0
	}
	return time.Duration((ahead + own/2) * float64(m.entries) / float64(capacity))
}

func (m *Machine) workWaiting(j *job) float64 {
	sum := 0.0
	for i := range j.steps {
		s := &j.steps[i]
		sum += float64(int64(len(s.waiting))*s.spec.Need.CPU) * float64(m.expect(j.spec.Queue, s.spec))
	}
	return sum
}

// room sums up the usable workers of a service, in thousandths of a core.
func (m *Machine) room(service string) (capacity, free int64) {
	for i := range m.view {
		if v := &m.view[i]; v.State == sched.Usable && v.Service == service {
			capacity += v.Capacity.CPU
			free += max(0, v.Free.CPU)
		}
	}
	return capacity, free
}

// spread draws a time between d and twice d, so that callers who were refused
// together do not come back together.
func (m *Machine) spread(d time.Duration) time.Duration {
	if m.opt.Off.Has(policy.RetrySpread) {
		return d
	}
	return d + time.Duration(m.rng.Int64N(int64(d)+1))
}
