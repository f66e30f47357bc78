package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// maxSlots limits the number of slots that a guard may announce. A larger
// number is a configuration error; if it were accepted, that worker would
// attract all tasks.
const maxSlots = 4096

// lastCandidates is the number of remaining candidate guards at which a task is
// sent with permission to queue it.
const lastCandidates = 2

// guard is the state of one incarnation of a guard, from its first Hello until
// it is removed.
type guard struct {
	incarnation    identity.Incarnation
	worker         string
	workerIndex    int
	isConnected    bool
	isDraining     bool
	disconnects    int    // number of link losses; identifies outdated grace timers
	loadSeq        uint64 // sequence number of the latest load report
	isUnhealthy    bool   // it reports that its upstream is down
	lastReport     time.Time
	health         sched.Health
	isQuarantined  bool
	isUnresponsive bool      // it holds an overdue task and has sent nothing for too long
	hasOverdueTask bool      // scratch field of checkResponsiveness
	pendingOffers  int       // reserved slots that it has not offered yet
	reservedAt     time.Time // time of the latest reservation or offer
	declinedAt     uint64    // value of enqueueCount when its latest offer was declined
}

// attempt is one task that was sent to a guard and has no result yet.
type attempt struct {
	ref         wire.Ref
	task        *task // nil once the job has finished
	guard       *guard
	sent        time.Time
	canBeQueued bool // the guard may hold the task in its own queue
	// accelerators that the task uses; stored here because the job may finish
	// before the attempt ends
	accelerators int
}

// GuardConnected implements Machine.
func (d *Dispatcher) GuardConnected(now time.Time, h *wire.Hello) {
	g := d.findGuard(h.Incarnation)
	isReconnect := g != nil
	if !isReconnect {
		d.removePredecessors(now, h)
		g = d.addGuard(h)
	}
	g.isConnected, g.isDraining = true, h.Load.Draining
	w := d.pool.Workers[g.workerIndex]
	w.Slots = int32(min(max(0, h.Slots), maxSlots))
	setResources(&w, h)
	d.recordWorkerSize(&w)
	d.pool.Set(g.workerIndex, w)
	g.loadSeq, g.isUnhealthy = 0, false
	d.applyLoad(now, g, &h.Load)
	d.updateState(g)
	if isReconnect {
		d.resendStarts(now, g)
	} else {
		d.failUnplaceableJobs(now) // only now, as the new incarnation may be the one that fits
	}
	d.dispatchWaiting(now)
}

func (d *Dispatcher) addGuard(h *wire.Hello) *guard {
	workerIndex := slices.Index(d.guards, nil)
	if workerIndex < 0 {
		workerIndex = d.pool.AddWorker()
		d.guards = append(d.guards, nil)
	}
	g := &guard{incarnation: h.Incarnation, worker: h.Worker, workerIndex: workerIndex}
	d.guards[workerIndex] = g
	d.pool.Set(workerIndex, sched.Worker{Domain: d.domainIDs.id(h.Domain), Rack: d.rackIDs.id(h.Rack)})
	d.workerIndexes[h.Incarnation] = workerIndex
	return g
}

// removePredecessors removes disconnected earlier incarnations of a restarted
// guard. Their state was lost with the process, so no result can arrive.
// Otherwise every job on a killed guard would wait for the whole grace period.
func (d *Dispatcher) removePredecessors(now time.Time, h *wire.Hello) {
	for _, g := range d.guards {
		if g != nil && g.worker == h.Worker && !g.isConnected {
			d.removeGuard(now, g)
		}
	}
}

// resendStarts repeats every start that the guard has not answered. Messages
// may have been lost with the link, and the jobs would wait for results that
// never arrive. The guard starts a Ref at most once, so a start that did arrive
// has no second effect. Withdrawn tasks are cancelled instead.
func (d *Dispatcher) resendStarts(now time.Time, g *guard) {
	for _, a := range d.attemptsAt(g) {
		if a.task == nil {
			d.emit(Action{Guard: g.incarnation, Cancel: &wire.Cancel{Ref: a.ref}})
			d.removeAttempt(a)
			continue
		}
		d.emit(Action{Guard: g.incarnation, Start: d.startMessage(now, a.task)})
	}
}

// attemptsAt returns a guard's attempts in a fixed order. Map iteration order
// would make replays nondeterministic.
func (d *Dispatcher) attemptsAt(g *guard) []*attempt {
	var out []*attempt
	for _, att := range d.attempts {
		if att.guard == g {
			out = append(out, att)
		}
	}
	slices.SortFunc(out, func(a, b *attempt) int {
		return cmp.Or(a.sent.Compare(b.sent), strings.Compare(a.ref.Key, b.ref.Key),
			strings.Compare(a.ref.Member, b.ref.Member), a.ref.Task-b.ref.Task)
	})
	return out
}

// GuardDisconnected implements Machine.
func (d *Dispatcher) GuardDisconnected(now time.Time, inc identity.Incarnation) {
	g := d.findGuard(inc)
	if g == nil || !g.isConnected {
		return
	}
	g.isConnected = false
	g.disconnects++
	d.updateState(g)
	d.timers.add(now.Add(d.policy.GracePeriod), timer{guard: g, disconnects: g.disconnects})
}

// expireGrace removes a guard that did not reconnect within its grace period.
func (d *Dispatcher) expireGrace(now time.Time, g *guard, disconnects int) {
	if !g.isConnected && g.disconnects == disconnects && d.guards[g.workerIndex] == g {
		d.removeGuard(now, g)
		d.failUnplaceableJobs(now)
	}
}

// removeGuard fails the jobs with a task at g and frees its worker index.
func (d *Dispatcher) removeGuard(now time.Time, g *guard) {
	for _, a := range d.attemptsAt(g) {
		t := a.task
		d.removeAttempt(a)
		if t != nil && t.job.tasks != nil {
			d.failJob(now, t.job, failure{hasTask: true, task: t.index, kind: errkind.WorkerLost,
				ran: errkind.RanUnknown, detail: "the guard " + string(g.incarnation) + " was lost"})
		}
	}
	delete(d.workerIndexes, g.incarnation)
	d.setPendingOffers(g, 0)
	d.guards[g.workerIndex] = nil
	d.pool.Set(g.workerIndex, sched.Worker{})
	d.clearRefusals(int32(g.workerIndex))
}

// failUnplaceableJobs fails every job for which no fitting worker is left.
// Otherwise such a job would wait until its deadline.
func (d *Dispatcher) failUnplaceableJobs(now time.Time) {
	ids := make([]JobID, 0, len(d.jobs))
	for id, j := range d.jobs {
		if d.noWorkerFits(j.spec.Need) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b JobID) int {
		return cmp.Or(strings.Compare(a.Key, b.Key), strings.Compare(a.Member, b.Member))
	})
	for _, id := range ids {
		d.failJob(now, d.jobs[id], failure{kind: errkind.NoWorkers, detail: "the last worker that fits was lost"})
	}
}

// noWorkerFits reports whether no remaining worker fits the need.
func (d *Dispatcher) noWorkerFits(need Need) bool {
	if need == (Need{}) {
		return len(d.workerIndexes) == 0
	}
	return d.pool.CountFitting(need, 1) == 0
}

// clearRefusals removes a worker index from all lists of refusals. Another
// guard may reuse the index and must not be skipped for these tasks.
func (d *Dispatcher) clearRefusals(workerIndex int32) {
	for _, j := range d.jobs {
		for i := range j.tasks {
			t := &j.tasks[i]
			t.refusedBy = slices.DeleteFunc(t.refusedBy, func(index int32) bool { return index == workerIndex })
		}
	}
}

// GuardDraining implements Machine.
func (d *Dispatcher) GuardDraining(_ time.Time, inc identity.Incarnation) {
	if g := d.findGuard(inc); g != nil {
		g.isDraining = true
		d.updateState(g)
	}
}

// Load implements Machine.
func (d *Dispatcher) Load(now time.Time, inc identity.Incarnation, l *wire.Load) {
	if g := d.findGuard(inc); g != nil {
		d.applyLoad(now, g, l)
		d.dispatchWaiting(now)
	}
}

// applyLoad records a guard's load report unless a newer one was received
// before: an outdated report would show slots as free that have since been
// taken. A guard that accepts no new tasks reports no slots.
func (d *Dispatcher) applyLoad(now time.Time, g *guard, l *wire.Load) {
	if l.Seq == 0 || l.Seq <= g.loadSeq {
		return
	}
	g.loadSeq, g.lastReport = l.Seq, now
	w := d.pool.Workers[g.workerIndex]
	w.Slots = int32(min(max(0, l.Slots), maxSlots))
	w.OtherTasks = max(0, int32(l.Running+l.Queued)-w.OwnTasks)
	d.pool.Set(g.workerIndex, w)
	if isUnhealthy := !l.Healthy; g.isUnresponsive || l.Draining || isUnhealthy != g.isUnhealthy {
		g.isUnresponsive, g.isUnhealthy = false, isUnhealthy
		g.isDraining = g.isDraining || l.Draining
		d.updateState(g)
	}
}

// updateState derives the state used by placement from the guard's flags.
func (d *Dispatcher) updateState(g *guard) {
	w := d.pool.Workers[g.workerIndex]
	switch {
	case g.isDraining || !g.isConnected || g.isUnhealthy:
		w.State = sched.Unavailable
	case g.isQuarantined:
		w.State = sched.Quarantined
	case g.isUnresponsive:
		w.State = sched.Unresponsive
	default:
		w.State = sched.Usable
	}
	d.pool.Set(g.workerIndex, w)
	if w.State != sched.Usable {
		d.setPendingOffers(g, 0)
	}
	if d.pool.FleetStats.Usable == 0 && d.pool.FleetStats.Excluded > 0 {
		d.restoreExcluded()
	}
}

// restoreExcluded puts all quarantined and unresponsive workers back into use.
// Workers are only excluded while enough others are left; when those leave, the
// excluded ones are all that remains, and a slow worker is better than none.
// Otherwise every job would be refused until the next probe, as if the service
// had no worker.
func (d *Dispatcher) restoreExcluded() {
	for _, g := range d.guards {
		if g != nil && (g.isQuarantined || g.isUnresponsive) {
			g.isQuarantined, g.isUnresponsive = false, false
			d.updateState(g)
		}
	}
}

// addOwnTasks adds n tasks, which may be negative, to a worker's load.
func (d *Dispatcher) addOwnTasks(workerIndex int, n int32, accelerators int) {
	w := d.pool.Workers[workerIndex]
	w.OwnTasks += n
	w.UsedAccelerators += int16(n) * int16(accelerators)
	d.pool.Set(workerIndex, w)
}

func (d *Dispatcher) findGuard(inc identity.Incarnation) *guard {
	if workerIndex, ok := d.workerIndexes[inc]; ok {
		return d.guards[workerIndex]
	}
	return nil
}

// removeAttempt deletes an attempt and releases its slot and accelerators.
func (d *Dispatcher) removeAttempt(a *attempt) {
	delete(d.attempts, a.ref)
	d.addOwnTasks(a.guard.workerIndex, -1, a.accelerators)
}

// idTable assigns numeric IDs to names, in order of appearance from 1.
type idTable struct{ ids map[string]uint16 }

func (t *idTable) id(name string) uint16 {
	if t.ids == nil {
		t.ids = make(map[string]uint16)
	}
	if _, ok := t.ids[name]; !ok {
		t.ids[name] = uint16(len(t.ids) + 1)
	}
	return t.ids[name]
}
