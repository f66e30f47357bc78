package batch

import (
	"slices"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// site is one guard with its worker, from its link's start to its end.
type site struct {
	guard    identity.Incarnation
	place    int
	worker   wire.RunWorker
	most     sched.Room    // the largest capacity that the worker has told in this life
	seq      uint64        // of the last RunTasks
	unseen   []unseen      // RunTasks that its load does not count in yet
	free     sched.Room    // by its last load
	ahead    time.Duration // its clock less this entry's, at least
	packs    bool          // it reads packed texts
	texts    string        // where other guards fetch texts from it; empty for nowhere
	aged     time.Duration // how old this entry's tasks are when they come, at least
	heard    time.Duration
	lastSent time.Duration  // when it was last sent a frame
	since    time.Duration  // when the first of the runs that it has was sent
	demand   wire.RunDemand // what the guard was last told of tasks that wait
	// suspects is how many of this entry's tasks there have run under a worker's crash.
	suspects int
	health   sched.Health
	sick     bool
	until    time.Duration // end of its quarantine
}

type unseen struct {
	seq  uint64
	room sched.Room
	sent mark
}

// clockMs is the guard's clock as far as it is known here: never ahead of it, so
// that a frame that is held up looks its age.
func (s *site) clockMs(now time.Duration) int64 { return (now + s.ahead).Milliseconds() }

// GuardUp adds a guard, with its worker, whose link is ready.
func (m *Machine) GuardUp(now time.Duration, h *wire.RunHello) {
	if m.places[h.Incarnation] != nil {
		m.GuardDown(now, h.Incarnation)
	}
	s := &site{guard: h.Incarnation, place: slices.Index(m.sites, nil)}
	if s.place < 0 {
		s.place = len(m.sites)
		m.sites = append(m.sites, nil)
		m.view = append(m.view, sched.Site{})
	}
	m.sites[s.place] = s
	m.places[s.guard] = s
	s.packs, s.texts = h.Version >= wire.PackedSince, h.Texts
	s.ahead, s.aged = milliseconds(h.Load.ClockMs)-now, m.leastAge()+farthest
	m.describe(s, &h.Worker)
	m.takeLoad(now, s, &h.Load)
	m.pump(now)
}

// GuardDown notes the loss of a guard's link. What runs there may go on for
// Timing.Loss; only then is it started elsewhere. A job that has no time for
// that is answered at once.
func (m *Machine) GuardDown(now time.Duration, guard identity.Incarnation) {
	s := m.places[guard]
	if s == nil {
		return
	}
	delete(m.places, guard)
	m.sites[s.place] = nil
	m.view[s.place] = sched.Site{}
	free := now + m.opt.Timing.Loss()
	m.anyLost = true
	for _, f := range m.flightsInOrder() {
		if f.site == s && f.lost == 0 {
			f.job.note(Event{At: now, What: GuardLost, Guard: guard, Tasks: 1, Age: now - s.heard})
		}
		switch {
		case f.site != s || f.lost > 0:
		case f.job.done:
			m.forget(f)
		case free+m.chainLeft(f.job) > f.job.spec.Deadline:
			f.lost = free
			m.fail(now, f.job, errkind.New(errkind.WorkerLost, "the guard %s was lost", guard))
		default:
			f.lost = free
		}
	}
	m.pump(now)
}

// Beat takes a guard's word that it lives, and its state.
func (m *Machine) Beat(now time.Duration, guard identity.Incarnation, b *wire.GuardBeat) {
	s := m.places[guard]
	if s == nil {
		return
	}
	if b.Worker != nil {
		m.describe(s, b.Worker)
		m.noteSlow(now, s)
	}
	m.takeLoad(now, s, &b.Load)
	m.pump(now)
	m.decline(now, s)
}

func (m *Machine) describe(s *site, w *wire.RunWorker) {
	before := s.worker
	if w.ID != before.ID {
		s.health, s.sick = sched.Health{}, false
		m.view[s.place].Limit = 0
		s.most = sched.Room{}
	}
	s.worker = *w
	s.most = s.most.Most(w.Capacity)
	if w.ID != before.ID || !before.Usable || !before.Cold {
		m.tryCold(s)
	}
	v := &m.view[s.place]
	v.Service, v.Domain, v.Rack, v.Labels, v.Capacity = w.Service, w.Domain, w.Rack, w.Labels, w.Capacity
	m.setState(s)
}

func (m *Machine) setState(s *site) {
	v := &m.view[s.place]
	switch {
	case s.worker.ID == "":
		v.State = sched.Absent
	case !s.worker.Usable, m.drains.Has(s.worker.Domain):
		v.State = sched.Leaving
	case s.sick:
		v.State = sched.Quarantined
	default:
		v.State = sched.Usable
	}
}

// takeLoad notes what is free at a guard, less what is on its way there.
func (m *Machine) takeLoad(now time.Duration, s *site, l *wire.RunLoad) {
	s.heard = now
	s.ahead = max(s.ahead, milliseconds(l.ClockMs)-now)
	m.takeAge(now, s, l)
	s.free = l.Free
	s.unseen = slices.DeleteFunc(s.unseen, func(u unseen) bool { return u.seq <= l.Seen })
	free := s.free
	for _, u := range s.unseen {
		free = free.Minus(u.room)
	}
	m.view[s.place].Free = free
}

// farthest is by how much longer than to the nearest guard tasks may be on their way to
// another, over idle links: it may be in another region.
const farthest = 30 * time.Millisecond

// leastAge is how old tasks are when they come at the nearest guard.
func (m *Machine) leastAge() time.Duration {
	least := farthest
	for _, s := range m.sites {
		if s != nil {
			least = min(least, s.aged)
		}
	}
	return least
}

// takeAge notes how old the newest tasks that a guard has seen were when they came.
func (m *Machine) takeAge(now time.Duration, s *site, l *wire.RunLoad) {
	for _, u := range s.unseen {
		if u.seq == l.Seen {
			age := milliseconds(l.AgeMs)
			s.aged = min(s.aged, age)
			m.uplink.arrived(now, u.sent, age-s.aged)
		}
	}
}
