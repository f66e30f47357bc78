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

// Ended takes a guard's word on runs.
func (m *Machine) Ended(now time.Duration, guard identity.Incarnation, e *wire.RunsEnded) {
	at := m.places[guard]
	if at == nil {
		return
	}
	m.takeLoad(now, at, &e.Load)
	for i := range e.Ends {
		m.ended(now, at, &e.Ends[i])
	}
	m.pump(now)
	m.decline(now, at)
}

func (m *Machine) ended(now time.Duration, at *site, e *wire.RunEnd) {
	f := m.flights[runs.Key{Job: e.Job, Step: e.Step, Index: e.Index, Run: e.Run}]
	if f == nil || f.site != at {
		return
	}
	m.land(f)
	m.noteHealth(now, f, e)
	if e.Ran != errkind.RanNo {
		f.job.ran = true
	}
	m.noteCrash(f.key, e)
	if f.job.done {
		return
	}
	if e.Kind == errkind.None {
		m.taskDone(now, f, e)
		return
	}
	m.taskEnded(now, f, e)
}

// land takes a flight off the books.
func (m *Machine) land(f *flight) {
	m.forget(f)
	f.step.at[f.site]--
	if m.sites[f.site.place] == f.site {
		m.view[f.site.place].Own--
	}
}

func (m *Machine) forget(f *flight) {
	delete(m.flights, f.key)
	if f.suspect {
		f.site.suspects--
	}
	f.job.flights = slices.DeleteFunc(f.job.flights, func(o *flight) bool { return o == f })
}

func (m *Machine) taskDone(now time.Duration, f *flight, e *wire.RunEnd) {
	j, s := f.job, f.step
	m.learn(j, s, milliseconds(e.RunMs))
	j.open--
	if s.open--; s.open == 0 {
		j.stepDone(s.number)
		m.enqueue(j)
	}
	if j.open == 0 {
		m.finish(now, j, nil)
	}
}

// taskEnded decides what becomes of a task whose run ended without success.
func (m *Machine) taskEnded(now time.Duration, f *flight, e *wire.RunEnd) {
	j, t := f.job, &f.step.tasks[f.key.Index]
	j.note(Event{At: now, What: RunEnded, Guard: f.site.guard, Tasks: 1, Kind: e.Kind, Free: f.site.free.CPU})
	name := nameOf(f.key)
	count := m.crashes.of(name)
	t.crashes = count.all()
	if err := count.limit(name); err != nil {
		m.fail(now, j, err)
		return
	}
	switch {
	case e.Renumber:
		t.run += renumberBy
	case e.Kind == errkind.TimedOut:
		m.expire(now, j)
		return
	case e.Kind == errkind.BadRequest:
		m.fail(now, j, errkind.New(errkind.NeverFits, "the worker does not understand the task"))
		return
	case e.Kind == errkind.UpstreamFailed && e.Ran == errkind.RanYes:
		t.failed++
		if t.failed >= j.spec.Queue.MaxAttempts {
			m.fail(now, j, errkind.New(errkind.UpstreamFailed, "task %d of step %d failed %d times", f.key.Index, f.key.Step, t.failed))
			return
		}
		m.avoid(f, t)
	case e.Kind == errkind.Stalled:
		t.moved = true
		m.avoid(f, t)
	case e.NoText:
		j.source = nil
		j.again(f.step, f.key.Index)
		m.enqueue(j)
		return
	case e.Kind == errkind.Busy && t.crashes > 0:
		m.avoid(f, t) // there may be room, and another suspect
		j.again(f.step, f.key.Index)
		m.enqueue(j)
		return
	case e.Kind == errkind.Busy:
		// The guard has told what is free there; the task waits or goes elsewhere.
		j.again(f.step, f.key.Index)
		m.enqueue(j)
		return
	default:
		m.avoid(f, t)
	}
	if t.refusals++; t.refusals > mostRefusals {
		m.fail(now, j, errkind.New(errkind.Overloaded, "task %d of step %d found no worker in %d tries", f.key.Index, f.key.Step, t.refusals))
		return
	}
	j.again(f.step, f.key.Index)
	m.enqueue(j)
}

// avoid keeps a task from a site where it did not succeed, while another site
// could take it.
func (m *Machine) avoid(f *flight, t *task) {
	if !slices.Contains(t.avoid, f.site) {
		t.avoid = append(t.avoid, f.site)
	}
	ask := askFor(f.job.spec.Queue, f.step.spec)
	for i := range m.view {
		v := &m.view[i]
		if v.State == sched.Usable && v.Suits(&ask) && !slices.Contains(t.avoid, m.sites[i]) {
			return
		}
	}
	t.avoid = nil
}

// fail answers a job and withdraws what runs of it.
func (m *Machine) fail(now time.Duration, j *job, err *errkind.Error) {
	if len(j.flights) > 0 {
		j.note(Event{At: now, What: Withdrawn, Tasks: len(j.flights)})
	}
	stopped := make(map[*site]bool)
	for _, f := range slices.Clone(j.flights) {
		j.ran = true // as far as is known
		if f.lost > 0 {
			m.forget(f)
		} else if !stopped[f.site] {
			stopped[f.site] = true
			m.frame(now, f.site, &wire.Frame{StopRuns: &wire.StopRuns{ClockMs: f.site.clockMs(now), Job: j.spec.ID}})
		}
	}
	m.finish(now, j, err)
}

// finish answers a job. What an error says of a start is what is known: "not run"
// only if each run of the job was refused before it began.
func (m *Machine) finish(_ time.Duration, j *job, err *errkind.Error) {
	j.done = true
	delete(m.jobs, j.spec.ID)
	m.dequeue(j)
	switch {
	case err == nil:
	case !j.ran:
		err = err.WithRan(errkind.RanNo)
	case err.Ran == errkind.RanNo:
		err = err.WithRan(errkind.RanUnknown)
	}
	m.past.add(j.spec.ID, stateOf(err), j.lastRun())
	m.actions = append(m.actions, Action{Finish: &Outcome{ID: j.spec.ID, Job: j.spec, Err: err, Story: j.story}})
}

// expire answers a job whose caller has stopped waiting.
func (m *Machine) expire(now time.Duration, j *job) {
	m.fail(now, j, errkind.New(errkind.TimedOut, "the deadline passed"))
}
