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

// activeRun is one run that was sent to a guard and has not ended.
type activeRun struct {
	key     runs.Key
	job     *job
	step    *step
	guard   *guard
	endedBy time.Duration // when it has ended for sure, if its guard was lost; else 0
	// suspect tells that the task has run under a worker's crash.
	isSuspect bool
}

// activeRunsInOrder gives the flights in a fixed order, so that the same events lead
// to the same actions each time.
func (m *Machine) activeRunsInOrder() []*activeRun {
	return slices.SortedFunc(maps.Values(m.activeRuns), func(a, b *activeRun) int {
		return cmp.Or(cmp.Compare(a.job.seq, b.job.seq), a.key.Step-b.key.Step, a.key.Index-b.key.Index)
	})
}

// Machine is the state of one entry's jobs.
type Machine struct {
	options    Options
	rng        *rand.Rand
	startedAt  time.Duration
	entryCount int // that share the workers

	guards    []*guard // same places as view
	workers   []sched.Site
	guardByID map[identity.Incarnation]*guard

	jobs             map[string]*job
	queue            []*job // with tasks that wait, in order
	activeRuns       map[runs.Key]*activeRun
	runTimeRatios    map[string]*sched.Ratio // by queue
	endedJobs        *endedJobs
	crashes          *crashCounts
	seq              uint64
	recentPriorities map[string]recentPriority // by service
	hasLostRuns      bool                      // a guard with flights was lost
	advertised       wire.RunDemand            // the demand that guards have heard of
	advertisedAt     time.Duration             // and when
	// advertisedCount is to how many guards at most.
	advertisedCount int
	uplink          uplink
	drains          wire.Drains // failure domains in which nothing is started

	actions []Action
}

// New returns the machine of an entry that starts now.
func New(now time.Duration, options Options) *Machine {
	options.Timing = options.Timing.OrDefault()
	return &Machine{
		options:          options,
		rng:              rand.New(rand.NewPCG(options.Seed, 0)),
		startedAt:        now,
		entryCount:       1,
		guardByID:        make(map[identity.Incarnation]*guard),
		jobs:             make(map[string]*job),
		activeRuns:       make(map[runs.Key]*activeRun),
		runTimeRatios:    make(map[string]*sched.Ratio),
		recentPriorities: make(map[string]recentPriority),
		endedJobs:        newEndedJobs(historySize),
		crashes:          newCrashCounts(historySize),
	}
}

// Actions returns the actions since the last call, for the caller to keep.
func (m *Machine) Actions(now time.Duration) []Action {
	m.advertise(now)
	pending := m.actions
	m.actions = nil
	return pending
}

// Beside notes a frame that is sent to a guard beside those of the machine.
func (m *Machine) Beside(now time.Duration, f *wire.Frame) { m.uplink.recordSend(now, f) }

// SetEntries tells how many entries share the workers.
func (m *Machine) SetEntries(n int) { m.entryCount = max(1, n) }

// Jobs tells how many jobs are not answered, and how many of a queue no task has
// been sent of.
func (m *Machine) Jobs(queue string) (open, pending int) {
	for _, j := range m.jobs {
		if j.spec.Queue.Name == queue && !j.hasSentTasks {
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
		Waiting: len(m.queue), Running: len(m.activeRuns), Workers: m.Workers(), Entries: m.entryCount,
		LinkRate: m.LinkRate(), LinkAhead: max(0, m.uplink.idleAt-now),
	}
	for i := range m.workers {
		if w := &m.workers[i]; w.State == sched.Usable {
			s.Free += max(0, w.Free.CPU)
		}
	}
	return s
}

// Workers tells how many workers may be given tasks.
func (m *Machine) Workers() int {
	n := 0
	for i := range m.workers {
		if m.workers[i].State == sched.Usable {
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
		return m.endedJobs.state(id)
	case j.hasSentTasks:
		return Running
	}
	return Queued
}

// Submit admits a job or refuses it for good. The outcome of an admitted job
// comes as a Finish action. A job that has been admitted and is not answered must
// not be submitted again.
func (m *Machine) Submit(now time.Duration, spec *Job) *errkind.Error {
	m.recordPriority(now, spec.Queue)
	criticalPath := m.criticalPath(spec)
	expectedWait := m.expectedWait(spec)
	if err := m.checkCrashLimits(spec); err != nil {
		return err
	}
	if err := m.admit(now, spec, criticalPath, expectedWait); err != nil {
		return err
	}
	j := m.newJob(spec, now, criticalPath, m.endedJobs.maxRun(spec.ID))
	_, freeCPU := m.serviceCPU(spec.Queue.Service)
	j.addEvent(Event{At: now, What: EventAdmitted, Tasks: j.unfinished, Free: freeCPU, Wait: expectedWait, Goal: j.targetEnd - now})
	m.jobs[spec.ID] = j
	m.enqueue(j)
	m.dispatchWaiting(now)
	return nil
}

// Cancel withdraws a job and tells whether it was there.
func (m *Machine) Cancel(now time.Duration, id string) bool {
	j := m.jobs[id]
	if j == nil {
		return false
	}
	m.failJob(now, j, errkind.New(errkind.Cancelled, "the caller cancelled the job"))
	m.dispatchWaiting(now)
	return true
}

func (m *Machine) enqueue(j *job) {
	if j.waiting == 0 {
		return
	}
	position, found := slices.BinarySearchFunc(m.queue, j, compareJobs)
	if !found {
		m.queue = slices.Insert(m.queue, position, j)
	}
}

func (m *Machine) dequeue(j *job) {
	if position, found := slices.BinarySearchFunc(m.queue, j, compareJobs); found {
		m.queue = slices.Delete(m.queue, position, position+1)
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
