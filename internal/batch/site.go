package batch

import (
	"slices"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/policy"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// site is one guard with its worker, from its link's start to its end.
type site struct {
	guard  identity.Incarnation
	place  int
	worker wire.RunWorker
	seq    uint64        // of the last RunTasks
	unseen []unseen      // RunTasks that its load does not count in yet
	free   sched.Room    // by its last load
	ahead  time.Duration // its clock less this entry's, at least
	heard  time.Duration
	told   time.Duration
	since  time.Duration // when the first of the runs that it has was sent
	want   wire.RunWant  // what the guard was last told of tasks that wait
	health sched.Health
	sick   bool
	until  time.Duration // end of its quarantine
}

type unseen struct {
	seq  uint64
	room sched.Room
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
	s.ahead = milliseconds(h.Load.ClockMs) - now
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
	if w.ID != s.worker.ID {
		s.health, s.sick = sched.Health{}, false
		m.view[s.place].Limit = 0
	}
	s.worker = *w
	v := &m.view[s.place]
	v.Service, v.Domain, v.Rack, v.Labels, v.Capacity = w.Service, w.Domain, w.Rack, w.Labels, w.Capacity
	m.setState(s)
}

func (m *Machine) setState(s *site) {
	v := &m.view[s.place]
	switch {
	case s.worker.ID == "":
		v.State = sched.Absent
	case !s.worker.Usable:
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
	s.free = l.Free
	s.unseen = slices.DeleteFunc(s.unseen, func(u unseen) bool { return u.seq <= l.Seen })
	free := s.free
	for _, u := range s.unseen {
		free = free.Minus(u.room)
	}
	m.view[s.place].Free = free
}

// tellEvery is how often guards are told anew what waits here while that changes, for
// each tellGuards of them: each time costs a frame for each guard. Told every 50 ms, and
// at each first and last task that waited, 72 guards cost an entry up to 14,400 frames a
// second; with a fifth of a core it served three quarters of its callers, and nine
// tenths of them with these bounds (a simulated day of heavy load).
const (
	tellEvery  = 50 * time.Millisecond
	tellGuards = 12
)

func (m *Machine) tellPause() time.Duration {
	return tellEvery * time.Duration(1+len(m.places)/tellGuards)
}

// tellWant tells guards what waits here for room. The first task that waits is told to
// the guards of the entry's own failure domain, where room is free again within
// milliseconds, and to all if tasks still wait after a pause; so is one that is more
// urgent than what they were told of, which would wait for that pause otherwise while room
// goes to less urgent ones. That none waits any more is told to those who take it
// otherwise, as they would hold room in vain.
func (m *Machine) tellWant(now time.Duration) {
	want := m.want()
	switch {
	case want == m.told && (m.toldAll || want.CPU == 0):
	case want.CPU == 0:
		m.tell(now, want, func(s *site) bool { return s.want.CPU > 0 })
	case m.told.CPU == 0, want.Priority < m.told.Priority && !m.opt.Off.Has(policy.UrgentOffers):
		m.tellFirst(now, want)
	case now-m.toldAt >= m.tellPause():
		m.tell(now, want, func(*site) bool { return true })
		m.toldAll = true
	}
}

// tellFirst tells the guards of the own failure domain, or all if these are few.
func (m *Machine) tellFirst(now time.Duration, want wire.RunWant) {
	near := func(s *site) bool { return s.worker.Domain == m.opt.Domain }
	n := 0
	for _, s := range m.places {
		if near(s) {
			n++
		}
	}
	if n >= tellGuards && !m.opt.Off.Has(policy.NearTold) {
		m.tell(now, want, near)
		return
	}
	m.tell(now, want, func(*site) bool { return true })
	m.toldAll = true
}

// tell tells some guards what waits here.
func (m *Machine) tell(now time.Duration, want wire.RunWant, to func(*site) bool) {
	m.told, m.toldAt, m.toldAll = want, now, false
	for _, s := range m.sites {
		if s != nil && to(s) {
			m.beat(now, s)
		}
	}
}

// want sums up the tasks that wait for room.
func (m *Machine) want() wire.RunWant {
	var w wire.RunWant
	for _, j := range m.queue {
		if w.CPU == 0 {
			w.Priority = j.spec.Queue.Priority
		}
		urgent := j.spec.Queue.Priority == w.Priority
		for i := range j.steps {
			s := &j.steps[i]
			if len(s.waiting) == 0 {
				continue
			}
			cpu := max(1, s.spec.Need.CPU)
			w.CPU += int64(len(s.waiting)) * cpu
			if w.LeastCPU == 0 || cpu < w.LeastCPU {
				w.LeastCPU = cpu
			}
			if urgent && (w.UrgentCPU == 0 || cpu < w.UrgentCPU) {
				w.UrgentCPU = cpu
			}
		}
	}
	return w
}

// decline tells a guard what waits now if it holds room for a task that does not wait any
// more. It would hold it for offerTime in vain otherwise, while another entry's task waits.
func (m *Machine) decline(now time.Duration, s *site) {
	v := &m.view[s.place]
	if m.sites[s.place] != s || v.State != sched.Usable || s.want.CPU == 0 || v.Free.CPU < s.want.LeastCPU || m.opt.Off.Has(policy.UrgentOffers) {
		return
	}
	if want := m.want(); want != s.want {
		m.beatWith(now, s, want)
	}
}

func (m *Machine) beat(now time.Duration, s *site) {
	m.beatWith(now, s, m.told)
}

func (m *Machine) beatWith(now time.Duration, s *site, want wire.RunWant) {
	s.want = want
	m.frame(now, s, &wire.Frame{EntryBeat: &wire.EntryBeat{ClockMs: s.clockMs(now), Want: want}})
}

// noteHealth learns from an end how the worker does.
func (m *Machine) noteHealth(now time.Duration, f *flight, e *wire.RunEnd) {
	s := f.site
	v := &m.view[s.place]
	switch {
	case e.Kind == errkind.None:
		slow := milliseconds(e.RunMs) > time.Duration(slowFactor*float64(m.expect(f.job.spec.Queue, f.step.spec)))
		s.health.Ran(slow)
		if v.Limit > 0 && !s.sick {
			v.Limit = int(s.health.Probed(int32(v.Limit), probeLimit, slow))
		}
	case e.Kind == errkind.UpstreamFailed || e.Kind == errkind.TimedOut || e.Kind == errkind.Stalled:
		s.health.Failed(f.key.Job)
	default:
		return
	}
	if s.health.Sick() {
		m.bar(now, s)
	}
}

// bar keeps a worker from new tasks for a while, unless too few would be left.
func (m *Machine) bar(now time.Duration, s *site) {
	if s.sick || !m.mayBar() || m.opt.Off.Has(policy.Quarantine) {
		return
	}
	s.sick = true
	s.until = s.health.Quarantine(time.Time{}.Add(now)).Sub(time.Time{})
	m.setState(s)
}

// noteSlow bars a worker whose guard sees that its runs hardly advance.
func (m *Machine) noteSlow(now time.Duration, s *site) {
	if s.worker.Slow {
		m.bar(now, s)
	}
}

// probeLimit is the number of this entry's tasks at which a worker that comes
// back is trusted again.
const probeLimit = 8

// mayBar keeps at least half of the workers in use: a fault of all of them must
// not empty the pool.
func (m *Machine) mayBar() bool {
	usable, barred := 0, 0
	for i := range m.view {
		switch m.view[i].State {
		case sched.Usable:
			usable++
		case sched.Quarantined:
			barred++
		}
	}
	return usable-1 >= (usable+barred+1)/2
}
