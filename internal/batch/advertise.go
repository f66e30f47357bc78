package batch

import (
	"slices"
	"time"

	"wigeontray/internal/policy"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// An entry advertises its demand, the tasks that wait for room, to firstGuards guards at first,
// and after a pause to twice as many as before while they go on waiting. Each advertisement is a
// frame: with one to all guards of a large fleet, a small entry spends more on these than on its
// jobs, and a dozen workers have free room again within milliseconds. The pause is advertiseEvery
// for each two times firstGuards.
const (
	advertiseEvery = 50 * time.Millisecond
	firstGuards    = 12
)

// advertiseShare is the part of a thin link that this may take.
const advertiseShare = 0.1

func (m *Machine) advertisePause() time.Duration {
	pause := advertiseEvery * time.Duration(max(1, m.advertisedTo/(2*firstGuards)))
	passes := m.uplink.takes(float64(smallFrame * m.advertisedTo))
	return max(pause, time.Duration(float64(passes)/advertiseShare))
}

// advertise sends the demand to guards when it is due. A job that is more urgent than the
// advertised ones is due at once: it would wait for the pause otherwise, while room goes to
// less urgent ones. The end of the demand goes to all who have heard of it, as they would hold
// room in vain.
func (m *Machine) advertise(now time.Duration) {
	demand := m.demand()
	switch {
	case demand == m.advertised && (m.advertisedTo >= len(m.places) || demand.CPU == 0):
	case demand.CPU == 0:
		m.withdrawDemand(now)
	case m.advertised.CPU == 0 && m.opt.Off.Has(policy.NearFirst):
		m.advertiseTo(now, demand, len(m.places))
	case m.advertised.CPU == 0, demand.Priority < m.advertised.Priority && !m.opt.Off.Has(policy.UrgentOffers):
		m.advertiseTo(now, demand, max(firstGuards, m.advertisedTo))
	case now-m.advertisedAt >= m.advertisePause():
		m.advertiseTo(now, demand, min(2*m.advertisedTo, max(firstGuards, len(m.places))))
	}
}

// advertiseTo advertises the demand to n guards.
func (m *Machine) advertiseTo(now time.Duration, demand wire.RunDemand, n int) {
	m.advertised, m.advertisedAt, m.advertisedTo = demand, now, n
	for _, s := range m.listeners(n) {
		m.beat(now, s)
	}
}

// listeners gives n sites to advertise to: those that have heard of the demand, others of the own
// failure domain, and then the rest, drawn at random: entries that advertised to the same guards
// would wait for the same room.
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
	case s.demand.CPU > 0:
		return 0
	case s.worker.Domain == m.opt.Domain:
		return 1
	}
	return 2
}

// withdrawDemand tells the guards that know of tasks here that none waits any more.
func (m *Machine) withdrawDemand(now time.Duration) {
	m.advertised, m.advertisedAt, m.advertisedTo = wire.RunDemand{}, now, 0
	for _, s := range m.sites {
		if s != nil && s.demand.CPU > 0 {
			m.beat(now, s)
		}
	}
}

// demand sums up the tasks that wait for room.
func (m *Machine) demand() wire.RunDemand {
	var w wire.RunDemand
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
	if m.sites[s.place] != s || v.State != sched.Usable || s.demand.CPU == 0 || v.Free.CPU < s.demand.LeastCPU || m.opt.Off.Has(policy.UrgentOffers) {
		return
	}
	if demand := m.demand(); demand != s.demand {
		m.beatWith(now, s, demand)
	}
}

// beat tells a guard that this entry lives, and what waits here.
func (m *Machine) beat(now time.Duration, s *site) {
	m.beatWith(now, s, m.advertised)
}

func (m *Machine) beatWith(now time.Duration, s *site, demand wire.RunDemand) {
	s.demand = demand
	m.frame(now, s, &wire.Frame{EntryBeat: &wire.EntryBeat{ClockMs: s.clockMs(now), Demand: demand}})
}
