package batch

import (
	"slices"
	"time"

	"wigeontray/internal/policy"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// A guard offers freed capacity to the entry with the most urgent waiting task. With strict offers the entry
// uses what it is offered for its most urgent tasks for nothing less urgent. What these do not need it gives
// back, by stating its present demand, and the guard offers it to the entry that is most urgent then.
//
// Offers are strict for workers of unlike speed, where the most urgent tasks wait for the fast ones. On
// workers of equal speed strict offers take more from less urgent jobs than they give the most urgent ones.

// minSpeedRatio is the ratio between the run times of the slower and the faster quarter of a service's workers
// from which on they are of unlike speed. A few workers that have become slow do not count.
const minSpeedRatio = 1.5

// updateSpeeds records whether the usable workers of a service are of unlike speed.
func (m *Machine) updateSpeeds(service string) {
	var factors []float64
	for i := range m.workers {
		if w := &m.workers[i]; w.State == sched.Usable && w.Service == service {
			factors = append(factors, w.RunTimeFactor())
		}
	}
	slices.Sort(factors)
	n := len(factors)
	m.hasUnlikeSpeeds[service] = n > 1 && factors[n*3/4] >= minSpeedRatio*factors[n/4]
}

// hasStrictOffers reports whether offers of a service's workers are strict.
func (m *Machine) hasStrictOffers(service string) bool {
	return m.options.StrictOffers && m.hasUnlikeSpeeds[service] && !m.options.Disabled.Has(policy.StrictOffers)
}

// needsStrictOffers reports whether a frame to a guard with the demand states that offers are strict.
func (m *Machine) needsStrictOffers(g *guard, demand wire.RunDemand) bool {
	return demand.CPU > 0 && m.hasStrictOffers(g.worker.Service)
}

// recordStatedDemand records the demand that is stated to a guard. Without demand the guard offers nothing, and
// its free capacity may be used for any task.
func (m *Machine) recordStatedDemand(g *guard, demand wire.RunDemand) {
	g.demand = demand
	if demand.CPU == 0 {
		m.workers[g.position].HasMaxPriority = false
	}
}

// recordOffer records for which tasks the capacity in a guard's newest load may be used: it is an offer if
// waiting tasks were stated to the guard, and is limited to these if they are the most urgent ones of its
// service. Tasks of other services cannot use it and do not limit it.
func (m *Machine) recordOffer(g *guard) {
	w := &m.workers[g.position]
	w.HasMaxPriority, w.MaxPriority = false, g.demand.Priority
	if !m.hasStrictOffers(g.worker.Service) || g.demand.CPU == 0 || g.demand.Priority > m.recentPriorities[g.worker.Service].priority {
		return
	}
	w.HasMaxPriority = m.hasWaiting(g.worker.Service, g.demand.Priority) || m.isLessUrgentThan(g.demand)
}

// hasWaiting reports whether tasks of a service with at least the given urgency wait for capacity.
func (m *Machine) hasWaiting(service string, maxPriority int) bool {
	for _, j := range m.queue {
		if j.spec.Queue.Priority > maxPriority {
			break
		}
		if j.hasTriedPlacement && j.spec.Queue.Service == service {
			return true
		}
	}
	return false
}

// isLessUrgentThan reports whether tasks wait and none of them is as urgent as the stated demand.
func (m *Machine) isLessUrgentThan(stated wire.RunDemand) bool {
	demand := m.demand()
	return demand.CPU > 0 && demand.Priority > stated.Priority
}

// returnOffer gives back an offer that was made for more urgent tasks than those that wait now, and reports
// whether there was one.
func (m *Machine) returnOffer(now time.Duration, g *guard) bool {
	w := &m.workers[g.position]
	if m.guards[g.position] != g || w.State != sched.Usable || !w.HasMaxPriority {
		return false
	}
	if demand := m.demand(); m.isLessUrgentThan(g.demand) && w.Free.CPU >= demand.MinCPU {
		m.sendBeatWithDemand(now, g, demand)
		return true
	}
	return false
}
