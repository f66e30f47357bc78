package batch

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/policy"
	"wigeontray/internal/runs"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// flight is one run that was sent to a guard and has not ended.
type flight struct {
	key  runs.Key
	job  *job
	step *step
	site *site
	lost time.Duration // when it has ended for sure, if its guard was lost; else 0
	// suspect tells that the task has run under a worker's crash.
	suspect bool
}

// flightsInOrder gives the flights in a fixed order, so that the same events lead
// to the same actions each time.
func (m *Machine) flightsInOrder() []*flight {
	return slices.SortedFunc(maps.Values(m.flights), func(a, b *flight) int {
		return cmp.Or(cmp.Compare(a.job.seq, b.job.seq), a.key.Step-b.key.Step, a.key.Index-b.key.Index)
	})
}

// Machine is the state of one entry's jobs.
type Machine struct {
	opt     Options
	rng     *rand.Rand
	began   time.Duration
	entries int // that share the workers

	sites  []*site // same places as view
	view   []sched.Site
	places map[identity.Incarnation]*site

	jobs    map[string]*job
	queue   []*job // with tasks that wait, in order
	flights map[runs.Key]*flight
	learned map[string]*sched.Ratio // by queue
	past    *past
	crashes *crashCounts
	seq     uint64
	urgent  map[string]urgency // by service
	anyLost bool               // a guard with flights was lost
	told    wire.RunWant       // what guards were told of tasks that wait
	toldAt  time.Duration      // and when
	// toldGuards is to how many guards that was told, at most.
	toldGuards int
	uplink     uplink
	drains     wire.Drains // failure domains in which nothing is started

	actions []Action
}

// New returns the machine of an entry that starts now.
func New(now time.Duration, opt Options) *Machine {
	opt.Timing = opt.Timing.OrDefault()
	return &Machine{
		opt:     opt,
		rng:     rand.New(rand.NewPCG(opt.Seed, 0)),
		began:   now,
		entries: 1,
		places:  make(map[identity.Incarnation]*site),
		jobs:    make(map[string]*job),
		flights: make(map[runs.Key]*flight),
		learned: make(map[string]*sched.Ratio),
		urgent:  make(map[string]urgency),
		past:    newPast(remembered),
		crashes: newCrashCounts(remembered),
	}
}

// Actions returns the actions since the last call, for the caller to keep.
func (m *Machine) Actions(now time.Duration) []Action {
	m.tellWant(now)
	out := m.actions
	m.actions = nil
	return out
}

// Beside notes a frame that is sent to a guard beside those of the machine.
func (m *Machine) Beside(now time.Duration, f *wire.Frame) { m.uplink.put(now, f) }

// SetEntries tells how many entries share the workers.
func (m *Machine) SetEntries(n int) { m.entries = max(1, n) }

// Jobs tells how many jobs are not answered, and how many of a queue no task has
// been sent of.
func (m *Machine) Jobs(queue string) (open, pending int) {
	for _, j := range m.jobs {
		if j.spec.Queue.Name == queue && !j.sent {
			pending++
		}
	}
	return len(m.jobs), pending
}

// Snapshot is what decides about new jobs, for logs.
type Snapshot struct {
	Waiting   int           // jobs with tasks that wait for room
	Running   int           // runs that were sent and have not ended
	Workers   int           // that may be given tasks
	Free      int64         // processor that is believed free there, thousandths of a core
	Entries   int           // that share the workers
	LinkRate  int64         // as Machine.LinkRate
	LinkAhead time.Duration // that what was sent takes to pass the link
}

// LinkRate is the bandwidth towards the guards, in bytes a second; 0 while it has not
// been found to be thin.
func (m *Machine) LinkRate() int64 { return int64(m.uplink.rate) }

// Snapshot reads the machine.
func (m *Machine) Snapshot(now time.Duration) Snapshot {
	s := Snapshot{
		Waiting: len(m.queue), Running: len(m.flights), Workers: m.Workers(), Entries: m.entries,
		LinkRate: m.LinkRate(), LinkAhead: max(0, m.uplink.free-now),
	}
	for i := range m.view {
		if v := &m.view[i]; v.State == sched.Usable {
			s.Free += max(0, v.Free.CPU)
		}
	}
	return s
}

// Workers tells how many workers may be given tasks.
func (m *Machine) Workers() int {
	n := 0
	for i := range m.view {
		if m.view[i].State == sched.Usable {
			n++
		}
	}
	return n
}

// State tells what is known of a job.
func (m *Machine) State(id string) State {
	j := m.jobs[id]
	switch {
	case j == nil:
		return m.past.state(id)
	case j.sent:
		return Running
	}
	return Queued
}

// Submit admits a job or refuses it for good. The outcome of an admitted job
// comes as a Finish action. A job that has been admitted and is not answered must
// not be submitted again.
func (m *Machine) Submit(now time.Duration, spec *Job) *errkind.Error {
	m.noteUrgency(now, spec.Queue)
	chain := m.chain(spec)
	wait := m.wait(spec)
	if err := m.givenUp(spec); err != nil {
		return err
	}
	if err := m.admit(now, spec, chain, wait); err != nil {
		return err
	}
	j := m.newJob(spec, now, chain, m.past.lastRun(spec.ID))
	_, free := m.room(spec.Queue.Service)
	j.note(Event{At: now, What: Admitted, Tasks: j.open, Free: free, Wait: wait, Goal: j.goal - now})
	m.jobs[spec.ID] = j
	m.enqueue(j)
	m.pump(now)
	return nil
}

// Cancel withdraws a job and tells whether it was there.
func (m *Machine) Cancel(now time.Duration, id string) bool {
	j := m.jobs[id]
	if j == nil {
		return false
	}
	m.fail(now, j, errkind.New(errkind.Cancelled, "the caller cancelled the job"))
	m.pump(now)
	return true
}

func (m *Machine) enqueue(j *job) {
	if j.waiting == 0 {
		return
	}
	at, found := slices.BinarySearchFunc(m.queue, j, compareJobs)
	if !found {
		m.queue = slices.Insert(m.queue, at, j)
	}
}

func (m *Machine) dequeue(j *job) {
	if at, found := slices.BinarySearchFunc(m.queue, j, compareJobs); found {
		m.queue = slices.Delete(m.queue, at, at+1)
	}
}

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
	if e.Crashed && !m.opt.Off.Has(policy.CrashLimit) {
		m.crashes.add(nameOf(f.key))
	}
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
	t.crashes = m.crashes.of(nameOf(f.key))
	switch {
	case t.crashes >= mostCrashes:
		m.fail(now, j, errCrashes(f.key.Step, f.key.Index, t.crashes))
		return
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

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
