package batch

import (
	"slices"
	"time"

	"wigeontray/internal/policy"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// An entry advertises its demand, the tasks that wait for room, to initialAdvertiseCount guards
// at first. While tasks go on waiting, it advertises to twice as many guards after each interval.
// Each advertisement is one frame per guard. Sent to all guards of a large fleet, these frames
// would cost a small entry more than its jobs, and some of a dozen workers usually have free room
// again within milliseconds. The interval is minAdvertiseInterval for each
// 2*initialAdvertiseCount guards.
const (
	minAdvertiseInterval  = 50 * time.Millisecond
	initialAdvertiseCount = 12
)

// maxAdvertiseShare is the maximum share of a low-bandwidth link's capacity that is spent on
// advertisements.
const maxAdvertiseShare = 0.1

// advertiseInterval returns the minimum delay between two advertisements, which grows with the
// number of guards addressed and with the time that their frames take on the link.
func (m *Machine) advertiseInterval() time.Duration {
	interval := minAdvertiseInterval * time.Duration(max(1, m.advertisedCount/(2*initialAdvertiseCount)))
	linkTime := m.uplink.transferTime(float64(smallFrameBytes * m.advertisedCount))
	return max(interval, time.Duration(float64(linkTime)/maxAdvertiseShare))
}

// advertise sends the demand to guards when it is due. Demand that is more urgent than the
// advertised demand is sent at once: otherwise room would go to less urgent tasks during the
// interval. The end of the demand is sent to all guards that have received the demand, as they
// would otherwise hold room for tasks that no longer wait.
func (m *Machine) advertise(now time.Duration) {
	demand := m.demand()
	switch {
	case demand == m.advertised && (m.advertisedCount >= len(m.guardByID) || demand.CPU == 0):
	case demand.CPU == 0:
		m.withdrawDemand(now)
	case m.advertised.CPU == 0 && m.options.Disabled.Has(policy.NearFirst):
		m.advertiseTo(now, demand, len(m.guardByID))
	case m.advertised.CPU == 0, demand.IsMoreUrgent(&m.advertised) && !m.options.Disabled.Has(policy.UrgentOffers):
		m.advertiseTo(now, demand, max(initialAdvertiseCount, m.advertisedCount))
	case now-m.advertisedAt >= m.advertiseInterval():
		m.advertiseTo(now, demand, min(2*m.advertisedCount, max(initialAdvertiseCount, len(m.guardByID))))
	}
}

// advertiseTo sends the demand to n guards.
func (m *Machine) advertiseTo(now time.Duration, demand wire.RunDemand, n int) {
	m.advertised, m.advertisedAt, m.advertisedCount = demand, now, n
	for _, g := range m.advertiseTargets(n) {
		m.sendBeat(now, g)
	}
}

// advertiseTargets returns n guards to send the demand to: first those that have already received
// it, then others in the entry's failure domain, then the rest. The order within each group is
// random, because entries that advertised to the same guards would wait for the same room.
func (m *Machine) advertiseTargets(n int) []*guard {
	present := slices.DeleteFunc(slices.Clone(m.guards), func(g *guard) bool { return g == nil })
	if n >= len(present) {
		return present
	}
	m.rng.Shuffle(len(present), func(i, j int) { present[i], present[j] = present[j], present[i] })
	slices.SortStableFunc(present, func(a, b *guard) int { return m.advertiseRank(a) - m.advertiseRank(b) })
	return present[:n]
}

// advertiseRank returns a guard's rank in the order of advertiseTargets, lowest first.
func (m *Machine) advertiseRank(g *guard) int {
	switch {
	case g.demand.CPU > 0:
		return 0
	case g.worker.Domain == m.options.Domain:
		return 1
	}
	return 2
}

// withdrawDemand informs the guards that received a demand that no task waits any more.
func (m *Machine) withdrawDemand(now time.Duration) {
	m.advertised, m.advertisedAt, m.advertisedCount = wire.RunDemand{}, now, 0
	for _, g := range m.guards {
		if g != nil && g.demand.CPU > 0 {
			m.sendBeat(now, g)
		}
	}
}

// demand returns the total demand of the tasks that wait for room.
func (m *Machine) demand() wire.RunDemand {
	var total wire.RunDemand
	for _, j := range m.queue {
		if !j.hasTriedPlacement {
			continue // it waits for the link, so room held for it would stay unused
		}
		if total.CPU == 0 {
			total.Priority, total.OverShare = j.spec.Queue.Priority, j.isOverShare
		}
		isMostUrgent := j.spec.Queue.Priority == total.Priority && j.isOverShare == total.OverShare
		for i := range j.steps {
			s := &j.steps[i]
			if len(s.waiting) == 0 {
				continue
			}
			cpu := max(1, s.spec.Need.CPU)
			total.CPU += int64(len(s.waiting)) * cpu
			if total.MinCPU == 0 || cpu < total.MinCPU {
				total.MinCPU = cpu
			}
			if isMostUrgent && (total.MinUrgentCPU == 0 || cpu < total.MinUrgentCPU) {
				total.MinUrgentCPU = cpu
			}
		}
	}
	return total
}

// declineOffer sends the current demand to a guard that holds room for a task that no longer
// waits. Otherwise the guard would hold the room until its offer expires, while tasks of other
// entries wait.
func (m *Machine) declineOffer(now time.Duration, g *guard) {
	w := &m.workers[g.position]
	if m.guards[g.position] != g || w.State != sched.Usable || g.demand.CPU == 0 || w.Free.CPU < g.demand.MinCPU || m.options.Disabled.Has(policy.UrgentOffers) {
		return
	}
	if m.returnOffer(now, g) {
		return
	}
	if demand := m.demand(); demand != g.demand {
		m.sendBeatWithDemand(now, g, demand)
	}
}

// sendBeat sends a guard a heartbeat with the advertised demand.
func (m *Machine) sendBeat(now time.Duration, g *guard) {
	m.sendBeatWithDemand(now, g, m.advertised)
}

// sendBeatWithDemand sends a guard a heartbeat with the given demand.
func (m *Machine) sendBeatWithDemand(now time.Duration, g *guard, demand wire.RunDemand) {
	m.recordStatedDemand(g, demand)
	m.sendFrame(now, g, &wire.Frame{EntryHeartbeat: &wire.EntryHeartbeat{
		ClockMs: g.estimatedClockMs(now), Demand: demand, Asked: m.askedFor(now, g), WaitedMs: m.waitedMs(now),
		StrictOffers: m.needsStrictOffers(g, demand),
	}})
}
