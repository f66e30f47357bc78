package dispatch

import (
	"math/rand/v2"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// Dispatcher implements Machine for one service at one entry.
//
// It leaves the Home field of a wire.Start empty: the entry fills in its own
// incarnation when it carries out the action.
type Dispatcher struct {
	service string
	policy  Policy
	rng     *rand.Rand

	pool          sched.Pool // used by placement; parallel to guards
	guards        []*guard   // by worker index; nil if unused
	workerIndexes map[identity.Incarnation]int
	domainIDs     idTable
	rackIDs       idTable

	jobs                   map[JobID]*job
	attempts               map[wire.Ref]*attempt
	queue                  sched.Queue[*task]
	skipped                []*task        // dequeued tasks that no usable worker may take now
	workerSizes            []sched.Worker // distinct worker sizes seen so far
	parked                 []*parkedGroup // tasks that no worker has room for, grouped by need
	parkedCount            int            // number of tasks in parked
	timers                 timerHeap
	runTimes               *sched.RunTimeStats
	startRate              sched.StartRate
	retryBudget            sched.RetryBudget
	quotaBuckets           map[string]*sched.TokenBucket
	enqueueCount           uint64 // incremented whenever tasks start to wait
	totalPendingOffers     int    // sum of guard.pendingOffers
	isMaintenanceScheduled bool   // a maintainQueue timer is set
	isCheckScheduled       bool   // a checkResponsiveness timer is set

	actions, spareActions []Action
}

var _ Machine = (*Dispatcher)(nil)

// New returns the dispatcher of a service with the given policy. seed determines
// all random choices.
func New(service string, p Policy, seed uint64) *Dispatcher {
	return &Dispatcher{
		service:       service,
		policy:        p,
		rng:           rand.New(rand.NewPCG(seed, 0)),
		workerIndexes: make(map[identity.Incarnation]int),
		jobs:          make(map[JobID]*job),
		attempts:      make(map[wire.Ref]*attempt),
		runTimes:      sched.NewRunTimeStats(),
		retryBudget:   sched.NewRetryBudget(),
		quotaBuckets:  make(map[string]*sched.TokenBucket),
	}
}

// Actions implements Machine.
func (d *Dispatcher) Actions() []Action {
	out := d.actions
	d.actions, d.spareActions = d.spareActions[:0], out
	return out
}

// Jobs implements Machine.
func (d *Dispatcher) Jobs() int { return len(d.jobs) }

// Configure implements Machine.
func (d *Dispatcher) Configure(now time.Time, p Policy) {
	d.policy = p
	d.dispatchWaiting(now)
}

// Submit implements Machine.
func (d *Dispatcher) Submit(now time.Time, s *Spec) *errkind.Error {
	if err := d.admit(now, s); err != nil {
		return err
	}
	j := newJob(s, now)
	d.jobs[s.ID] = j
	j.deadlineTimer = d.timers.add(s.Deadline, timer{job: j})
	for i := range j.tasks {
		d.enqueue(&j.tasks[i])
	}
	d.enqueueCount++
	d.dispatchWaiting(now)
	return nil
}

// Cancel implements Machine.
func (d *Dispatcher) Cancel(now time.Time, id JobID) {
	if j := d.jobs[id]; j != nil {
		d.failJob(now, j, failure{kind: errkind.Cancelled, detail: "the caller cancelled the job"})
		d.dispatchWaiting(now)
	}
}

// Tick implements Machine.
func (d *Dispatcher) Tick(now time.Time) {
	for {
		t, ok := d.timers.popDue(now)
		if !ok {
			break
		}
		d.runTimer(now, t)
	}
	d.dispatchWaiting(now)
}

// NextTick implements Machine.
func (d *Dispatcher) NextTick() time.Time { return d.timers.nextDue() }

func (d *Dispatcher) runTimer(now time.Time, t *timer) {
	switch {
	case t.maintainQueue:
		d.maintainQueue(now)
	case t.job != nil:
		d.failJob(now, t.job, failure{kind: errkind.DeadlineExpired, detail: "the deadline passed"})
	case t.task != nil && t.task.job.tasks != nil:
		d.retryTask(now, t.task)
	case t.startProbation && d.guards[t.guard.workerIndex] == t.guard:
		d.startProbation(t.guard)
	case t.checkResponsiveness:
		d.checkResponsiveness(now)
	case t.guard != nil && !t.startProbation:
		d.expireGrace(now, t.guard, t.disconnects)
	}
}

// emit appends an action to those returned by Actions.
func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// enqueue adds a task that has provably not started to the fair queue.
func (d *Dispatcher) enqueue(t *task) {
	t.state = waiting
	s := t.job.spec
	d.queue.Push(s.Team, d.policy.Teams[s.Team].Weight, sched.Item[*task]{Value: t, Due: t.due})
}

// dispatchWaiting sends waiting tasks while workers are estimated to have free
// slots, and reserves slots for the remaining tasks.
func (d *Dispatcher) dispatchWaiting(now time.Time) {
	d.dispatchParked(now)
	for d.queue.Len() > 0 && d.canPlace() {
		t, ok := d.nextTask(now)
		if !ok {
			break
		}
		need := t.job.spec.Need
		if need != (Need{}) && d.findParked(need) != nil {
			d.park(t) // behind tasks with the same need, for which no worker had room
		} else if workerIndex := d.chooseWorker(t); workerIndex != sched.NoWorker {
			d.sendTask(now, t, workerIndex, 0)
		} else if need != (Need{}) {
			d.park(t)
		} else {
			d.skipped = append(d.skipped, t)
		}
	}
	for _, t := range d.skipped {
		d.enqueue(t)
	}
	d.skipped = d.skipped[:0]
	if d.waitingTasks() == 0 {
		return
	}
	d.reserveSlots(now)
	if !d.isMaintenanceScheduled {
		d.isMaintenanceScheduled = true
		d.timers.add(now.Add(maintenanceInterval), timer{maintainQueue: true})
	}
}

// nextTask removes the next runnable task from the queue.
func (d *Dispatcher) nextTask(now time.Time) (*task, bool) {
	for {
		t, ok := d.queue.Pop()
		if !ok {
			return nil, false
		}
		if d.checkRunnable(now, t) {
			return t, true
		}
	}
}

// checkRunnable reports whether a waiting task should still be run. If the time
// left is too short even for a quick run, it fails the job: starting the task
// would only use a slot that others need.
func (d *Dispatcher) checkRunnable(now time.Time, t *task) bool {
	if t.state != waiting || t.job.tasks == nil {
		return false // the job finished while the task was waiting
	}
	if d.runTimes.HasEstimate() && t.job.spec.Deadline.Sub(now) < d.runTimes.P10 {
		d.failJob(now, t.job, failure{kind: errkind.DeadlineExpired, detail: "no time is left to run the task"})
		return false
	}
	return true
}

// canPlace reports whether chooseWorker can succeed for a task without
// refusals.
func (d *Dispatcher) canPlace() bool {
	switch d.policy.Placement {
	case LateBinding:
		return false
	case DefaultPlacement, LeastKnownLoad:
		return d.pool.FleetStats.WithFreeSlot > 0
	}
	return d.pool.FleetStats.Usable > 0
}

// chooseWorker returns the index of a worker for t, or sched.NoWorker.
func (d *Dispatcher) chooseWorker(t *task) int {
	req := sched.PlacementRequest{Domain: d.domainIDs.id(d.policy.Domain), Excluded: t.refusedBy, JobLocations: t.job.locations, Need: t.job.spec.Need}
	switch d.policy.Placement {
	case Random:
		return sched.RandomUsable(d.pool.Workers, &req, d.rng)
	case TwoChoices:
		return sched.LeastLoadedOfTwo(d.pool.Workers, &req, d.rng, false)
	case TwoChoicesLoad:
		return sched.LeastLoadedOfTwo(d.pool.Workers, &req, d.rng, true)
	}
	if req.Need.Accelerators > 0 && d.pool.FleetStats.WithIdleAccelerator == 0 || d.needsOffer(t) {
		return sched.NoWorker
	}
	return sched.LeastLoaded(d.pool.Workers, &req, d.rng)
}

// Limits for sending a refused task to another guard based on load reports.
// Each refusal excludes one more guard for the task, which matters in a small
// fleet. In a large fleet with many free workers, another guard accepts it
// sooner than an offer arrives.
const (
	maxRefusalsBeforeOffer  = 4
	minFreeWorkersForResend = 64 // workers with an estimated free slot
)

// needsOffer reports whether t may only be sent in response to an offer. The
// last candidates for a task need none, because they are asked to queue it.
func (d *Dispatcher) needsOffer(t *task) bool {
	refusals := len(t.refusedBy)
	if refusals == 0 || !d.usesReservations() || d.countCandidates(t, refusals+lastCandidates+1)-refusals <= lastCandidates {
		return false
	}
	return refusals >= maxRefusalsBeforeOffer || d.pool.FleetStats.WithFreeSlot < minFreeWorkersForResend
}

// Interval of maintainQueue, and the age at which it lowers a load report.
const (
	maintenanceInterval = 10 * time.Millisecond
	maxLoadAge          = 30 * time.Millisecond
)

// maintainQueue runs periodically while tasks are waiting. It expires
// reservations, updates the start rate and lowers outdated load reports: each
// call removes one task of other entries from a worker that has not reported
// recently.
//
// A worker sends no reports to an entry that has no task on it. Without
// lowering old reports, a single report that all slots are in use would block
// the entry's queue forever.
func (d *Dispatcher) maintainQueue(now time.Time) {
	d.isMaintenanceScheduled = false
	d.expireReservations(now)
	d.startRate.EndInterval(now, d.queue.Len() > 0, d.nominalRate(&d.pool.FleetStats))
	for i, g := range d.guards {
		if w := d.pool.Workers[i]; g != nil && now.Sub(g.lastReport) > maxLoadAge && w.OtherTasks > 0 {
			w.OtherTasks--
			d.pool.Set(i, w)
		}
	}
}

// sendTask sends t to a worker. From then on the task counts as possibly
// started, until the guard's final result states that it was not.
func (d *Dispatcher) sendTask(now time.Time, t *task, workerIndex int, offerID uint64) {
	g := d.guards[workerIndex]
	t.state = sent
	startMessage := d.startMessage(now, t)
	startMessage.OfferID = offerID
	d.attempts[startMessage.Ref] = &attempt{ref: startMessage.Ref, task: t, guard: g, sent: now, canBeQueued: startMessage.WaitMs > 0, accelerators: t.job.spec.Need.Accelerators}
	d.addOwnTasks(workerIndex, 1, t.job.spec.Need.Accelerators)
	t.job.locations.Add(&d.pool.Workers[workerIndex])
	d.startRate.RecordStart()
	if len(t.refusedBy) == 0 {
		d.retryBudget.AddFirstStart(d.policy.RetryRatio)
	}
	if !d.isCheckScheduled {
		d.isCheckScheduled = true
		d.timers.add(now.Add(responsivenessCheckInterval), timer{checkResponsiveness: true})
	}
	d.emit(Action{Guard: g.incarnation, Start: startMessage})
}

// startMessage returns the message that asks a guard to start t.
func (d *Dispatcher) startMessage(now time.Time, t *task) *wire.Start {
	s := t.job.spec
	leftMs := max(1, s.Deadline.Sub(now).Milliseconds())
	return &wire.Start{Ref: t.ref(), Of: len(t.job.tasks), LeftMs: leftMs, WaitMs: d.maxWaitMs(t, leftMs), Body: s.Tasks[t.index]}
}

// maxWaitMs returns how long the guard may queue the task until a slot is free.
// A refusal is final for that guard, so the last candidates are asked to queue
// the task; otherwise a task that every guard refused as Busy could never run.
func (d *Dispatcher) maxWaitMs(t *task, leftMs int64) int64 {
	switch d.policy.Placement {
	case Random, TwoChoices, TwoChoicesLoad:
		return leftMs
	}
	refusals := len(t.refusedBy)
	if d.policy.Weighting == PreferFewMessages || d.countCandidates(t, refusals+lastCandidates+1)-refusals <= lastCandidates {
		return leftMs
	}
	return 0
}
