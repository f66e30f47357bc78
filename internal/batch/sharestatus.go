package batch

import (
	"math"
	"slices"
	"time"

	"wigeontray/internal/sched"
)

// ShareStatus is an entry's part of a service's capacity and what it follows from, for operators and logs.
type ShareStatus struct {
	Service  string
	Part     float64 // part of the capacity with which waiting times are estimated
	ByDemand bool    // Part follows from the demand; else it is an equal part
	Entries  int     // entries that share a worker of the service
	// Own is what the entry's callers ask for, and Total what all entries are asked for: the mean of what was
	// stated to the guards and by them, weighted by capacity. TotalAge is the age of the oldest total.
	// IsTotalKnown is false if no recent one is known.
	Own          sched.AskedWork
	Total        sched.AskedWork
	TotalAge     time.Duration
	IsTotalKnown bool
	// Heaviest lists the callers that ask for most, the heaviest first.
	Heaviest []sched.CallerDemand
}

// maxHeaviestCallers limits ShareStatus.Heaviest.
const maxHeaviestCallers = 5

// ShareServices returns the services that the entry's callers have asked for since it started, or whose
// workers it knows, in order.
func (m *Machine) ShareServices() []string {
	var services []string
	for service := range m.demandShares.meters {
		services = append(services, service)
	}
	for service := range m.GuardsByService() {
		services = append(services, service)
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// Share returns the entry's part of a service's capacity, without Heaviest.
func (m *Machine) Share(now time.Duration, service string) ShareStatus {
	s := ShareStatus{Service: service, Part: m.capacityShare(now, service), Entries: m.sharingEntries(service)}
	s.ByDemand = s.Part != 1/float64(s.Entries)
	m.addStatedDemand(now, &s)
	return s
}

// ShareWithCallers returns the entry's part of a service's capacity, what its callers ask for as measured now,
// and the heaviest of them.
func (m *Machine) ShareWithCallers(now time.Duration, service string) ShareStatus {
	s := m.Share(now, service)
	if meter := m.demandShares.meters[service]; meter != nil {
		s.Own, s.Heaviest = meter.Snapshot(now, maxHeaviestCallers)
	}
	return s
}

// addStatedDemand sets what was stated to the guards of the service and by them.
func (m *Machine) addStatedDemand(now time.Duration, s *ShareStatus) {
	var capacity float64
	var own, total weightedDemand
	for i, g := range m.guards {
		w := &m.workers[i]
		if g == nil || w.State != sched.Usable || w.Service != s.Service {
			continue
		}
		if _, isKnown := g.asked.part(now); !isKnown {
			continue
		}
		weight := float64(w.Capacity.CPU)
		capacity += weight
		own.add(weight, &g.asked.stated)
		total.add(weight, &g.asked.total)
		s.TotalAge = max(s.TotalAge, now-g.asked.totalAt)
	}
	if s.IsTotalKnown = capacity > 0; s.IsTotalKnown {
		s.Own, s.Total = own.mean(capacity), total.mean(capacity)
	}
}

// weightedDemand is a weighted sum of demands.
type weightedDemand struct{ cpu, callers, requests float64 }

func (d *weightedDemand) add(weight float64, asked *sched.AskedWork) {
	d.cpu += weight * float64(asked.CPU)
	d.callers += weight * float64(asked.Callers)
	d.requests += weight * float64(asked.Requests)
}

func (d *weightedDemand) mean(weight float64) sched.AskedWork {
	return sched.AskedWork{
		CPU: int64(math.Round(d.cpu / weight)), Callers: int(math.Round(d.callers / weight)), Requests: int(math.Round(d.requests / weight)),
	}
}

// ExpectedWait returns how long a job within its caller's share is expected to wait if it is submitted now.
func (m *Machine) ExpectedWait(now time.Duration, spec *Job) time.Duration {
	return m.expectedWait(now, spec, new(callerShare))
}
