package batch

import (
	"slices"
	"time"

	"wigeontray/internal/policy"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// An entry advertises its demand, the tasks that wait for room, to initialAdvertiseCount guards at first,
// and after a pause to twice as many as before while they go on waiting. Each advertisement is a
// frame: with one to all guards of a large fleet, a small entry spends more on these than on its
// jobs, and a dozen workers have free room again within milliseconds. The pause is minAdvertiseInterval
// for each two times initialAdvertiseCount.
const (
	minAdvertiseInterval  = 50 * time.Millisecond
	initialAdvertiseCount = 12
)

// maxAdvertiseShare is the part of a thin link that this may take.
const maxAdvertiseShare = 0.1

func (m *Machine) advertiseInterval() time.Duration {
	interval := minAdvertiseInterval * time.Duration(max(1, m.advertisedCount/(2*initialAdvertiseCount)))
	linkTime := m.uplink.transferTime(float64(smallFrameBytes * m.advertisedCount))
	return max(interval, time.Duration(float64(linkTime)/maxAdvertiseShare))
}

// advertise sends the demand to guards when it is due. A job that is more urgent than the
// advertised ones is due at once: it would wait for the pause otherwise, while room goes to
// less urgent ones. The end of the demand goes to all who have heard of it, as they would hold
// room in vain.
func (m *Machine) advertise(now time.Duration) {
	demand := m.demand()
	switch {
	case demand == m.advertised && (m.advertisedCount >= len(m.guardByID) || demand.CPU == 0):
	case demand.CPU == 0:
		m.withdrawDemand(now)
	case m.advertised.CPU == 0 && m.options.Off.Has(policy.NearFirst):
		m.advertiseTo(now, demand, len(m.guardByID))
	case m.advertised.CPU == 0, demand.Priority < m.advertised.Priority && !m.options.Off.Has(policy.UrgentOffers):
		m.advertiseTo(now, demand, max(initialAdvertiseCount, m.advertisedCount))
	case now-m.advertisedAt >= m.advertiseInterval():
		m.advertiseTo(now, demand, min(2*m.advertisedCount, max(initialAdvertiseCount, len(m.guardByID))))
	}
}

// advertiseTo advertises the demand to n guards.
func (m *Machine) advertiseTo(now time.Duration, demand wire.RunDemand, n int) {
	m.advertised, m.advertisedAt, m.advertisedCount = demand, now, n
	for _, g := range m.advertiseTargets(n) {
		m.sendBeat(now, g)
	}
}

// advertiseTargets gives n sites to advertise to: those that have heard of the demand, others of the own
// failure domain, and then the rest, drawn at random: entries that advertised to the same guards
// would wait for the same room.
func (m *Machine) advertiseTargets(n int) []*guard {
	present := slices.DeleteFunc(slices.Clone(m.guards), func(g *guard) bool { return g == nil })
	if n >= len(present) {
		return present
	}
	m.rng.Shuffle(len(present), func(i, j int) { present[i], present[j] = present[j], present[i] })
	slices.SortStableFunc(present, func(a, b *guard) int { return m.advertiseRank(a) - m.advertiseRank(b) })
	return present[:n]
}

// advertiseRank orders sites for listeners.
func (m *Machine) advertiseRank(g *guard) int {
	switch {
	case g.demand.CPU > 0:
		return 0
	case g.worker.Domain == m.options.Domain:
		return 1
	}
	return 2
}

// withdrawDemand tells the guards that know of tasks here that none waits any more.
func (m *Machine) withdrawDemand(now time.Duration) {
	m.advertised, m.advertisedAt, m.advertisedCount = wire.RunDemand{}, now, 0
	for _, g := range m.guards {
		if g != nil && g.demand.CPU > 0 {
			m.sendBeat(now, g)
		}
	}
}

// demand sums up the tasks that wait for room.
func (m *Machine) demand() wire.RunDemand {
	var total wire.RunDemand
	for _, j := range m.queue {
		if !j.hasTriedPlacement {
			continue // it waits for the link; room that is held for it would stand empty
		}
		if total.CPU == 0 {
			total.Priority = j.spec.Queue.Priority
		}
		isMostUrgent := j.spec.Queue.Priority == total.Priority
		for i := range j.steps {
			s := &j.steps[i]
			if len(s.waiting) == 0 {
				continue
			}
			cpu := max(1, s.spec.Need.CPU)
			total.CPU += int64(len(s.waiting)) * cpu
			if total.LeastCPU == 0 || cpu < total.LeastCPU {
				total.LeastCPU = cpu
			}
			if isMostUrgent && (total.UrgentCPU == 0 || cpu < total.UrgentCPU) {
				total.UrgentCPU = cpu
			}
		}
	}
	return total
}

// declineOffer tells a guard what waits now if it holds room for a task that does not wait any
// more. It would hold it for offerTime in vain otherwise, while another entry's task waits.
func (m *Machine) declineOffer(now time.Duration, g *guard) {
	w := &m.workers[g.position]
	if m.guards[g.position] != g || w.State != sched.Usable || g.demand.CPU == 0 || w.Free.CPU < g.demand.LeastCPU || m.options.Off.Has(policy.UrgentOffers) {
		return
	}
	if demand := m.demand(); demand != g.demand {
		m.sendBeatWithDemand(now, g, demand)
	}
}

// sendBeat tells a guard that this entry lives, and what waits here.
func (m *Machine) sendBeat(now time.Duration, g *guard) {
	m.sendBeatWithDemand(now, g, m.advertised)
}

func (m *Machine) sendBeatWithDemand(now time.Duration, g *guard, demand wire.RunDemand) {
	g.demand = demand
	m.sendFrame(now, g, &wire.Frame{EntryBeat: &wire.EntryBeat{ClockMs: g.estimatedClockMs(now), Demand: demand}})
}
