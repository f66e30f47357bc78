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

// activeRun is a run that was sent to a guard and has not ended.
type activeRun struct {
	key   runs.Key
	job   *job
	step  *step
	guard *guard
	// endedBy is the time after which the run has certainly ended if its guard was lost, else 0.
	endedBy time.Duration
	// isSuspect is set if a worker crashed while an earlier run of the task was, or may have
	// been, there.
	isSuspect bool
}

// activeRunsInOrder returns the active runs in a fixed order, so that the same events always lead
// to the same actions.
func (m *Machine) activeRunsInOrder() []*activeRun {
	return slices.SortedFunc(maps.Values(m.activeRuns), func(a, b *activeRun) int {
		return cmp.Or(cmp.Compare(a.job.seq, b.job.seq), a.key.Step-b.key.Step, a.key.Index-b.key.Index)
	})
}

// Machine is the scheduling state of one entry. It is not safe for concurrent use.
type Machine struct {
	options          Options
	rng              *rand.Rand
	startedAt        time.Duration
	totalEntries     int
	entriesPerWorker int // entries that share one worker, except those of sharedByAll
	// sharedByAll holds the services whose workers are shared by all entries.
	sharedByAll map[string]bool

	guards    []*guard           // by position, nil where free; parallel to workers
	workers   []sched.WorkerView // placement data of the guards' workers
	guardByID map[identity.Incarnation]*guard

	jobs              map[string]*job // unanswered jobs, by ID
	queue             []*job          // jobs with waiting tasks, ordered by compareJobs
	activeRuns        map[runs.Key]*activeRun
	runTimeEstimators map[string]*sched.RunTimeEstimator // by queue
	endedJobs         *endedJobs
	cancelledJobs     CancelledJobs // also of jobs that this entry has not received
	crashes           *crashCounts
	seq               uint64
	recentPriorities  map[string]recentPriority // by service
	hasLostRuns       bool                      // activeRuns may contain runs of lost guards
	advertised        wire.RunDemand            // last advertised demand
	advertisedAt      time.Duration             // time of the last advertisement
	// advertisedCount is the maximum number of guards addressed by the last advertisement.
	advertisedCount int
	uplink          uplink
	drains          wire.Drains // failure domains in which no task is started
	demandShares    demandShares
	callerShares    map[string]*sched.CallerShares // by service
	hasUnlikeSpeeds map[string]bool                // by service

	actions []Action
}

// New returns the machine of an entry that starts at now.
func New(now time.Duration, options Options) *Machine {
	options.Timing = options.Timing.OrDefault()
	return &Machine{
		options:           options,
		rng:               rand.New(rand.NewPCG(options.Seed, 0)),
		startedAt:         now,
		totalEntries:      1,
		entriesPerWorker:  1,
		guardByID:         make(map[identity.Incarnation]*guard),
		jobs:              make(map[string]*job),
		activeRuns:        make(map[runs.Key]*activeRun),
		runTimeEstimators: make(map[string]*sched.RunTimeEstimator),
		recentPriorities:  make(map[string]recentPriority),
		endedJobs:         newEndedJobs(historySize),
		crashes:           newCrashCounts(historySize),
		callerShares:      make(map[string]*sched.CallerShares),
		hasUnlikeSpeeds:   make(map[string]bool),
		demandShares:      demandShares{meters: make(map[string]*sched.DemandMeter), meanWork: make(map[string]meanWork), sums: make(map[string]askedSum)},
	}
}

// Actions returns the actions since the last call, which the caller may keep.
func (m *Machine) Actions(now time.Duration) []Action {
	m.advertise(now)
	pending := m.actions
	m.actions = nil
	return pending
}

// RecordExternalFrame accounts for a frame that the owner sends to a guard in addition to the
// machine's actions.
func (m *Machine) RecordExternalFrame(now time.Duration, f *wire.Frame) { m.uplink.recordSend(now, f) }

// SetEntries sets the number of all entries, and of those that share one worker.
func (m *Machine) SetEntries(all, sharing int) {
	m.totalEntries, m.entriesPerWorker = max(1, all), max(1, sharing)
}

// SetSharedByAll sets the services whose workers are shared by all entries.
func (m *Machine) SetSharedByAll(services map[string]bool) { m.sharedByAll = services }

// sharingEntries returns the number of entries that share one worker of a service.
func (m *Machine) sharingEntries(service string) int {
	if m.sharedByAll[service] {
		return m.totalEntries
	}
	return m.entriesPerWorker
}

// ServiceOf returns the service of a guard's worker; empty if it has none.
func (m *Machine) ServiceOf(guard identity.Incarnation) string {
	if g := m.guardByID[guard]; g != nil {
		return g.worker.Service
	}
	return ""
}

// GuardsByService returns the number of guards by the service of their workers.
func (m *Machine) GuardsByService() map[string]int {
	n := make(map[string]int)
	for _, g := range m.guardByID {
		if g.worker.Service != "" {
			n[g.worker.Service]++
		}
	}
	return n
}

// Jobs returns the number of unanswered jobs in all queues, and the number of those in the given
// queue of which no task has been sent.
func (m *Machine) Jobs(queue string) (open, pending int) {
	for _, j := range m.jobs {
		if j.spec.Queue.Name == queue && !j.hasSentTasks {
			pending++
		}
	}
	return len(m.jobs), pending
}

// Snapshot is the data that admission decisions are based on, for logs.
type Snapshot struct {
	Waiting     int           // jobs with waiting tasks
	Running     int           // runs that were sent and have not ended
	Workers     int           // usable workers
	Free        int64         // estimate of the free CPU of usable workers, in thousandths of a core
	Entries     int           // entries that share one worker
	LinkRate    int64         // see Machine.LinkRate
	LinkBacklog time.Duration // time that the sent frames still need to pass the link
}

// LinkRate returns the estimated bandwidth to the guards, in bytes a second; 0 if no
// bandwidth limit has been detected.
func (m *Machine) LinkRate() int64 { return int64(m.uplink.rate) }

// Snapshot returns the data that admission decisions are currently based on.
func (m *Machine) Snapshot(now time.Duration) Snapshot {
	s := Snapshot{
		Waiting: len(m.queue), Running: len(m.activeRuns), Workers: m.Workers(), Entries: m.entriesPerWorker,
		LinkRate: m.LinkRate(), LinkBacklog: max(0, m.uplink.idleAt-now),
	}
	for i := range m.workers {
		if w := &m.workers[i]; w.State == sched.Usable {
			s.Free += max(0, w.Free.CPU)
		}
	}
	return s
}

// Workers returns the number of usable workers.
func (m *Machine) Workers() int {
	n := 0
	for i := range m.workers {
		if m.workers[i].State == sched.Usable {
			n++
		}
	}
	return n
}

// State returns the state of a job, also of recently ended ones. It is Unknown if the entry does
// not have the job or the job ended without a final result.
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

// Submit admits a job or refuses it with a final error, which is Cancelled if the job was cancelled
// before. The outcome of an admitted job is returned as a Finish action. A job that has been admitted
// and not answered must not be submitted again.
func (m *Machine) Submit(now time.Duration, spec *Job) *errkind.Error {
	if m.wasCancelled(now, spec.ID) {
		m.endedJobs.add(spec.ID, Cancelled, m.endedJobs.maxRun(spec.ID))
		return errkind.New(errkind.Cancelled, "the job was cancelled before this request arrived").WithRan(errkind.RanUnknown)
	}
	m.recordPriority(now, spec.Queue)
	m.recordAsked(now, spec)
	criticalPath := m.criticalPath(spec)
	share := m.callerShareOf(now, spec)
	expectedWait := m.expectedWait(now, spec, &share)
	if err := m.checkCrashLimits(spec); err != nil {
		return err
	}
	if err := m.admit(now, spec, criticalPath, expectedWait, &share); err != nil {
		return err
	}
	share.charge(now, spec.Caller)
	j := m.newJob(spec, now, criticalPath, m.endedJobs.maxRun(spec.ID))
	j.isOverShare = share.isBeyond
	_, freeCPU := m.serviceCPU(spec.Queue.Service)
	j.addEvent(Event{At: now, Decision: EventAdmitted, Tasks: j.unfinished, Free: freeCPU, ExpectedWait: expectedWait, TargetDuration: j.targetEnd - now})
	m.jobs[spec.ID] = j
	m.enqueue(j)
	m.dispatchWaiting(now)
	return nil
}

// Cancel stops a job and records its ID, so that a request for it that arrives later starts nothing. It
// returns the state of the job, which is Unknown if this entry has not received it, and reports whether
// the ID was recorded.
func (m *Machine) Cancel(now time.Duration, id string) (s State, isRecorded bool) {
	isRecorded = m.cancelledJobs.Add(now, id)
	m.stopJob(now, id, errkind.New(errkind.Cancelled, "the caller cancelled the job"))
	return m.State(id), isRecorded
}

// Withdraw stops a job whose callers have left. They may submit it again, at any entry.
func (m *Machine) Withdraw(now time.Duration, id string) {
	if j := m.stopJob(now, id, errkind.New(errkind.Cancelled, "the caller has left")); j != nil {
		m.endedJobs.add(id, Unknown, j.maxRun())
	}
}

// stopJob answers an unanswered job with an error and returns it; nil if there is none.
func (m *Machine) stopJob(now time.Duration, id string, err *errkind.Error) *job {
	j := m.jobs[id]
	if j == nil {
		return nil
	}
	m.failJob(now, j, err)
	m.dispatchWaiting(now)
	return j
}

// wasCancelled reports whether a job was cancelled, at this entry or at another.
func (m *Machine) wasCancelled(now time.Duration, id string) bool {
	return m.endedJobs.state(id) == Cancelled || m.cancelledJobs.Has(now, id)
}

// enqueue adds a job with waiting tasks to the queue, unless it is there already.
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
