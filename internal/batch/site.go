package batch

import (
	"slices"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// guard is one guard with its worker, from its link's start to its end.
type guard struct {
	id               identity.Incarnation
	position         int
	worker           wire.RunWorker
	maxCapacity      sched.Room     // the largest capacity that the worker has told in this life
	seq              uint64         // of the last RunTasks
	pendingTasks     []pendingTasks // RunTasks that its load does not count in yet
	free             sched.Room     // by its last load
	clockOffset      time.Duration  // its clock less this entry's, at least
	readsPackedTexts bool           // it reads packed texts
	textsAddress     string         // where other guards fetch texts from it; empty for nowhere
	minTaskAge       time.Duration  // how old this entry's tasks are when they come, at least
	lastHeardAt      time.Duration
	lastSentAt       time.Duration  // when it was last sent a frame
	busySince        time.Duration  // when the first of the runs that it has was sent
	demand           wire.RunDemand // what the guard was last told of tasks that wait
	// suspects is how many of this entry's tasks there have run under a worker's crash.
	suspectRuns      int
	health           sched.Health
	isQuarantined    bool
	quarantinedUntil time.Duration // end of its quarantine
}

type pendingTasks struct {
	seq  uint64
	room sched.Room
	sent sendRecord
}

// estimatedClockMs is the guard's clock as far as it is known here: never ahead of it, so
// that a frame that is held up looks its age.
func (g *guard) estimatedClockMs(now time.Duration) int64 {
	return (now + g.clockOffset).Milliseconds()
}

// GuardUp adds a guard, with its worker, whose link is ready.
func (m *Machine) GuardUp(now time.Duration, hello *wire.RunHello) {
	if m.guardByID[hello.Incarnation] != nil {
		m.GuardDown(now, hello.Incarnation)
	}
	g := &guard{id: hello.Incarnation, position: slices.Index(m.guards, nil)}
	if g.position < 0 {
		g.position = len(m.guards)
		m.guards = append(m.guards, nil)
		m.workers = append(m.workers, sched.Site{})
	}
	m.guards[g.position] = g
	m.guardByID[g.id] = g
	g.readsPackedTexts, g.textsAddress = hello.Version >= wire.PackedSince, hello.Texts
	g.clockOffset, g.minTaskAge = milliseconds(hello.Load.ClockMs)-now, m.nearestTaskAge()+maxExtraLatency
	m.setWorker(g, &hello.Worker)
	m.updateLoad(now, g, &hello.Load)
	m.dispatchWaiting(now)
}

// GuardDown notes the loss of a guard's link. What runs there may go on for
// Timing.Loss; only then is it started elsewhere. A job that has no time for
// that is answered at once.
func (m *Machine) GuardDown(now time.Duration, id identity.Incarnation) {
	g := m.guardByID[id]
	if g == nil {
		return
	}
	delete(m.guardByID, id)
	m.guards[g.position] = nil
	m.workers[g.position] = sched.Site{}
	latestEnd := now + m.options.Timing.Loss()
	m.hasLostRuns = true
	for _, r := range m.activeRunsInOrder() {
		if r.guard == g && r.endedBy == 0 {
			r.job.addEvent(Event{At: now, What: EventGuardLost, Guard: id, Tasks: 1, Age: now - g.lastHeardAt})
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

// Beat takes a guard's word that it lives, and its state.
func (m *Machine) Beat(now time.Duration, id identity.Incarnation, beat *wire.GuardBeat) {
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

func (m *Machine) setWorker(g *guard, w *wire.RunWorker) {
	previous := g.worker
	if w.ID != previous.ID {
		g.health, g.isQuarantined = sched.Health{}, false
		m.workers[g.position].Limit = 0
		g.maxCapacity = sched.Room{}
	}
	g.worker = *w
	g.maxCapacity = g.maxCapacity.Most(w.Capacity)
	if w.ID != previous.ID || !previous.Usable || !previous.Cold {
		m.limitColdWorker(g)
	}
	view := &m.workers[g.position]
	view.Service, view.Domain, view.Rack, view.Labels, view.Capacity = w.Service, w.Domain, w.Rack, w.Labels, w.Capacity
	m.updateState(g)
}

func (m *Machine) updateState(g *guard) {
	w := &m.workers[g.position]
	switch {
	case g.worker.ID == "":
		w.State = sched.Absent
	case !g.worker.Usable, m.drains.Has(g.worker.Domain):
		w.State = sched.Leaving
	case g.isQuarantined:
		w.State = sched.Quarantined
	default:
		w.State = sched.Usable
	}
}

// updateLoad notes what is free at a guard, less what is on its way there.
func (m *Machine) updateLoad(now time.Duration, g *guard, load *wire.RunLoad) {
	g.lastHeardAt = now
	g.clockOffset = max(g.clockOffset, milliseconds(load.ClockMs)-now)
	m.recordTaskAge(now, g, load)
	g.free = load.Free
	g.pendingTasks = slices.DeleteFunc(g.pendingTasks, func(p pendingTasks) bool { return p.seq <= load.Seen })
	free := g.free
	for _, p := range g.pendingTasks {
		free = free.Minus(p.room)
	}
	m.workers[g.position].Free = free
}

// maxExtraLatency is by how much longer than to the nearest guard tasks may be on their way to
// another, over idle links: it may be in another region.
const maxExtraLatency = 30 * time.Millisecond

// nearestTaskAge is how old tasks are when they come at the nearest guard.
func (m *Machine) nearestTaskAge() time.Duration {
	minAge := maxExtraLatency
	for _, g := range m.guards {
		if g != nil {
			minAge = min(minAge, g.minTaskAge)
		}
	}
	return minAge
}

// recordTaskAge notes how old the newest tasks that a guard has seen were when they came.
func (m *Machine) recordTaskAge(now time.Duration, g *guard, load *wire.RunLoad) {
	for _, p := range g.pendingTasks {
		if p.seq == load.Seen {
			age := milliseconds(load.AgeMs)
			g.minTaskAge = min(g.minTaskAge, age)
			m.uplink.recordArrival(now, p.sent, age-g.minTaskAge)
		}
	}
}
