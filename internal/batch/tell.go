package batch

import (
	"slices"
	"time"

	"wigeontray/internal/policy"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// What waits here for room is told to tellGuards guards first, and after a pause to twice as
// many as before while it goes on waiting. Each telling costs a frame for each guard that is
// told, and small entries spend more on these than on their jobs if they tell all guards of
// a large fleet; room is free again at a dozen workers within milliseconds. The pause is
// tellEvery for each two times tellGuards that were told.
const (
	tellEvery  = 50 * time.Millisecond
	tellGuards = 12
)

// tellShare is the part of a thin link that this may take.
const tellShare = 0.1

func (m *Machine) tellPause() time.Duration {
	pause := tellEvery * time.Duration(max(1, m.toldGuards/(2*tellGuards)))
	passes := m.uplink.takes(float64(smallFrame * m.toldGuards))
	return max(pause, time.Duration(float64(passes)/tellShare))
}

// tellWant tells guards what waits here for room. A job that is more urgent than what they
// were told of is told at once: it would wait for the pause otherwise, while room goes to
// less urgent ones. That none waits any more is told to those who take it otherwise, as
// they would hold room in vain.
func (m *Machine) tellWant(now time.Duration) {
	want := m.want()
	switch {
	case want == m.told && (m.toldGuards >= len(m.places) || want.CPU == 0):
	case want.CPU == 0:
		m.tellNone(now)
	case m.told.CPU == 0 && m.opt.Off.Has(policy.NearTold):
		m.tell(now, want, len(m.places))
	case m.told.CPU == 0, want.Priority < m.told.Priority && !m.opt.Off.Has(policy.UrgentOffers):
		m.tell(now, want, max(tellGuards, m.toldGuards))
	case now-m.toldAt >= m.tellPause():
		m.tell(now, want, min(2*m.toldGuards, max(tellGuards, len(m.places))))
	}
}

// tell tells n guards what waits here.
func (m *Machine) tell(now time.Duration, want wire.RunWant, n int) {
	m.told, m.toldAt, m.toldGuards = want, now, n
	for _, s := range m.listeners(n) {
		m.beat(now, s)
	}
}

// listeners gives n sites to be told what waits here: those that were told before, others of
// the own failure domain, and then the rest, drawn at random: entries that told the same
// guards would wait for the same room.
func (m *Machine) listeners(n int) []*site {
	present := slices.DeleteFunc(slices.Clone(m.sites), func(s *site) bool { return s == nil })
	if n >= len(present) {
		return present
	}
	m.rng.Shuffle(len(present), func(i, j int) { present[i], present[j] = present[j], present[i] })
	slices.SortStableFunc(present, func(a, b *site) int { return m.distance(a) - m.distance(b) })
	return present[:n]
}

// distance orders sites for listeners.
func (m *Machine) distance(s *site) int {
	switch {
	case s.want.CPU > 0:
		return 0
	case s.worker.Domain == m.opt.Domain:
		return 1
	}
	return 2
}

// tellNone tells the guards that know of tasks here that none waits any more.
func (m *Machine) tellNone(now time.Duration) {
	m.told, m.toldAt, m.toldGuards = wire.RunWant{}, now, 0
	for _, s := range m.sites {
		if s != nil && s.want.CPU > 0 {
			m.beat(now, s)
		}
	}
}

// want sums up the tasks that wait for room.
func (m *Machine) want() wire.RunWant {
	var w wire.RunWant
	for _, j := range m.queue {
		if !j.tried {
			continue // it waits for the link; room that is held for it would stand empty
		}
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

// beat tells a guard that this entry lives, and what waits here.
func (m *Machine) beat(now time.Duration, s *site) {
	m.beatWith(now, s, m.told)
}

func (m *Machine) beatWith(now time.Duration, s *site, want wire.RunWant) {
	s.want = want
	m.frame(now, s, &wire.Frame{EntryBeat: &wire.EntryBeat{ClockMs: s.clockMs(now), Want: want}})
}
