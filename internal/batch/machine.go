package batch

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
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

	jobs         map[string]*job
	queue        []*job // with tasks that wait, in order
	flights      map[runs.Key]*flight
	learned      map[string]*sched.Ratio // by queue
	past         *past
	crashes      *crashCounts
	seq          uint64
	urgent       map[string]urgency // by service
	anyLost      bool               // a guard with flights was lost
	advertised   wire.RunDemand     // the demand that guards have heard of
	advertisedAt time.Duration      // and when
	// advertisedTo is to how many guards at most.
	advertisedTo int
	uplink       uplink
	drains       wire.Drains // failure domains in which nothing is started

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
	m.advertise(now)
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

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
