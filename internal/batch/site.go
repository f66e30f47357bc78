package batch

import (
	"slices"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// guard is the state of one guard and its worker while their link exists.
type guard struct {
	id               identity.Incarnation
	position         int // index into Machine.guards and Machine.workers
	worker           wire.RunWorker
	maxCapacity      sched.Resources // largest capacity reported by this incarnation of the worker
	seq              uint64          // sequence number of the last RunTasks
	pendingTasks     []pendingTasks  // RunTasks that the guard's latest load does not include
	free             sched.Resources // free room in the guard's latest load
	clockOffset      time.Duration   // lower bound of the guard's clock minus this entry's clock
	readsPackedTexts bool            // its protocol version supports compressed texts
	textsAddress     string          // address from which other guards fetch texts; empty for none
	minTaskAge       time.Duration   // smallest age of this entry's tasks on arrival, an estimate of the idle latency
	lastHeardAt      time.Duration   // time of its latest load
	lastSentAt       time.Duration   // time of the last frame sent to it
	busySince        time.Duration   // time at which the first of its current runs was sent
	demand           wire.RunDemand  // last demand sent to it
	asked            guardDemand
	// suspectRuns is the number of this entry's runs there with isSuspect set.
	suspectRuns      int
	health           sched.Health
	isQuarantined    bool
	quarantinedUntil time.Duration // end of its quarantine
}

// pendingTasks is a sent RunTasks frame that the guard's load does not include yet.
type pendingTasks struct {
	seq  uint64
	need sched.Resources // total need of its tasks
	sent sendRecord
}

// estimatedClockMs returns the estimated time on the guard's clock. It is never ahead of that
// clock, so that the age of a delayed frame is not underestimated.
func (g *guard) estimatedClockMs(now time.Duration) int64 {
	return (now + g.clockOffset).Milliseconds()
}

// AddGuard adds a guard and its worker once the link is established.
func (m *Machine) AddGuard(now time.Duration, hello *wire.RunHello) {
	if m.guardByID[hello.Incarnation] != nil {
		m.RemoveGuard(now, hello.Incarnation)
	}
	g := &guard{id: hello.Incarnation, position: slices.Index(m.guards, nil)}
	if g.position < 0 {
		g.position = len(m.guards)
		m.guards = append(m.guards, nil)
		m.workers = append(m.workers, sched.WorkerView{})
	}
	m.guards[g.position] = g
	m.guardByID[g.id] = g
	g.readsPackedTexts, g.textsAddress = hello.Version >= wire.PackedTextVersion, hello.Texts
	g.clockOffset, g.minTaskAge = milliseconds(hello.Load.ClockMs)-now, m.nearestTaskAge()+maxExtraLatency
	m.setWorker(g, &hello.Worker)
	m.updateLoad(now, g, &hello.Load)
	m.dispatchWaiting(now)
}

// RemoveGuard handles the loss of a guard's link. Its runs may continue for
// Timing.MaxOrphanAge, and their tasks are started elsewhere only after that. A job whose deadline
// does not allow for this delay is answered at once.
func (m *Machine) RemoveGuard(now time.Duration, id identity.Incarnation) {
	g := m.guardByID[id]
	if g == nil {
		return
	}
	delete(m.guardByID, id)
	m.guards[g.position] = nil
	m.workers[g.position] = sched.WorkerView{}
	m.updateSpeeds(g.worker.Service)
	latestEnd := now + m.options.Timing.MaxOrphanAge()
	m.hasLostRuns = true
	for _, r := range m.activeRunsInOrder() {
		if r.guard == g && r.endedBy == 0 {
			r.job.addEvent(Event{At: now, Decision: EventGuardLost, Guard: id, Tasks: 1, Age: now - g.lastHeardAt})
		}
		switch {
		case r.guard != g || r.endedBy > 0:
		case r.job.isAnswered:
			m.deleteRun(r)
		case latestEnd+m.remainingCriticalPath(r.job) > r.job.spec.Deadline:
			r.endedBy = latestEnd
			m.failJob(now, r.job, errkind.New(errkind.WorkerLost, "the guard %s was lost", id))
		default:
			r.endedBy = latestEnd
		}
	}
	m.dispatchWaiting(now)
}

// HandleBeat handles a guard's heartbeat, which contains its load and, after a change, the state of
// its worker.
func (m *Machine) HandleBeat(now time.Duration, id identity.Incarnation, beat *wire.GuardHeartbeat) {
	g := m.guardByID[id]
	if g == nil {
		return
	}
	if beat.Worker != nil {
		m.setWorker(g, beat.Worker)
		m.quarantineIfSlow(now, g)
	}
	m.updateLoad(now, g, &beat.Load)
	m.dispatchWaiting(now)
	m.declineOffer(now, g)
}

// setWorker applies a worker's description. The health record is reset if the worker is a new
// incarnation.
func (m *Machine) setWorker(g *guard, w *wire.RunWorker) {
	previous := g.worker
	isNew := w.WorkerInstance != previous.WorkerInstance
	if isNew {
		g.health, g.isQuarantined = sched.Health{}, false
		m.workers[g.position].MaxOwnTasks = 0
		g.maxCapacity = sched.Resources{}
	}
	g.worker = *w
	g.maxCapacity = g.maxCapacity.Max(w.Capacity)
	if isNew || !previous.Usable || !previous.Cold {
		m.limitColdWorker(g)
	}
	view := &m.workers[g.position]
	view.Slowness = w.Slowness()
	view.Service, view.Domain, view.Rack, view.Labels, view.Capacity = w.Service, w.Domain, w.Rack, w.Labels, w.Capacity
	m.updateState(g)
}

// updateState derives the worker's placement state from its description, the drains and its
// quarantine.
func (m *Machine) updateState(g *guard) {
	w := &m.workers[g.position]
	switch {
	case g.worker.ID == "":
		w.State = sched.Absent
	case !g.worker.Usable, m.drains.Contains(g.worker.Domain):
		w.State = sched.Unavailable
	case g.isQuarantined:
		w.State = sched.Quarantined
	default:
		w.State = sched.Usable
	}
	m.updateSpeeds(g.worker.Service)
}

// updateLoad records the free room that a guard reports, less the room for tasks that are still
// on their way to it.
func (m *Machine) updateLoad(now time.Duration, g *guard, load *wire.RunLoad) {
	g.lastHeardAt = now
	g.clockOffset = max(g.clockOffset, milliseconds(load.ClockMs)-now)
	m.recordTaskAge(now, g, load)
	g.asked.recordTotal(now, load.Asked)
	g.free = load.Free
	g.pendingTasks = slices.DeleteFunc(g.pendingTasks, func(p pendingTasks) bool { return p.seq <= load.SeenSeq })
	free := g.free
	for _, p := range g.pendingTasks {
		free = free.Minus(p.need)
	}
	m.workers[g.position].Free = free
	m.recordOffer(g)
}

// maxExtraLatency is by how much the latency of an idle link to a guard, which may be in another
// region, can exceed the latency to the nearest guard.
const maxExtraLatency = 30 * time.Millisecond

// nearestTaskAge returns the smallest minTaskAge of any guard, at most maxExtraLatency.
func (m *Machine) nearestTaskAge() time.Duration {
	minAge := maxExtraLatency
	for _, g := range m.guards {
		if g != nil {
			minAge = min(minAge, g.minTaskAge)
		}
	}
	return minAge
}

// recordTaskAge records the age on arrival of the latest tasks that a guard has received.
func (m *Machine) recordTaskAge(now time.Duration, g *guard, load *wire.RunLoad) {
	for _, p := range g.pendingTasks {
		if p.seq == load.SeenSeq {
			age := milliseconds(load.AgeMs)
			g.minTaskAge = min(g.minTaskAge, age)
			m.uplink.recordArrival(now, p.sent, age-g.minTaskAge)
		}
	}
}
