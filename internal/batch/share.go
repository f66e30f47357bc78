package batch

import (
	"math"
	"time"

	"wigeontray/internal/policy"
	"wigeontray/internal/runs"
	"wigeontray/internal/sched"
)

// Scarce capacity goes to entries by what their callers ask for. Each entry measures that, states it to
// its guards, and learns from them what all entries are asked for together. Its part of that sum is the
// part of the capacity with which it estimates waiting times.

const (
	// totalAskedTimeout is how long a guard's sum counts.
	totalAskedTimeout = 3 * time.Second
	// minUnevenDeviation is the deviation of an entry's part from an equal one from which on it counts,
	// unless it may be due to chance.
	minUnevenDeviation = 0.25
	// meanWorkWeight is the weight of one request in the mean work of a queue's requests. With the work of
	// each request itself, a few large ones would make the measured demand jump.
	meanWorkWeight = 1.0 / 32
	// maxStatedFreeShare is the free share of a worker's capacity up to which demand is stated to its guard.
	// Where there is more room, nobody needs to know the demand.
	maxStatedFreeShare = 0.5
	// askedSumInterval is the interval at which the demands of an entry's callers are summed up.
	askedSumInterval = 50 * time.Millisecond
)

// demandShares is what an entry knows of the demand for capacity.
type demandShares struct {
	meters   map[string]*sched.DemandMeter // by service
	meanWork map[string]meanWork           // by queue
	sums     map[string]askedSum           // by service
}

// askedSum is what the entry's callers asked for at one time.
type askedSum struct {
	asked sched.AskedWork
	at    time.Duration
}

// guardDemand is what is known of the demand at one guard.
type guardDemand struct {
	statedAt time.Duration   // when the entry last stated its demand to the guard
	stated   sched.AskedWork // what it stated
	total    sched.AskedWork // what all entries that are linked to the guard are asked for
	totalAt  time.Duration   // 0 if unknown
	// known are the callers of the latest statement, in the order of stated.Known.
	known []sched.KnownCaller
}

func (d *guardDemand) recordTotal(now time.Duration, total *sched.AskedWork) {
	if total != nil {
		d.total, d.totalAt = *total, now
	}
}

// part returns the entry's part of the demand at the guard.
func (d *guardDemand) part(now time.Duration) (part float64, isKnown bool) {
	total := max(d.total.CPU, d.stated.CPU)
	if !d.isTotalRecent(now) || total == 0 {
		return 0, false
	}
	return float64(d.stated.CPU) / float64(total), true
}

func (m *Machine) hasSharesByDemand() bool {
	return m.options.SharesByDemand && !m.options.Disabled.Has(policy.DemandShares)
}

// recordAsked measures the work that a caller asks for.
func (m *Machine) recordAsked(now time.Duration, spec *Job) {
	if !m.hasSharesByDemand() {
		return
	}
	work := m.work(spec)
	mean := m.demandShares.meanWork[spec.Queue.Name]
	mean.add(work)
	m.demandShares.meanWork[spec.Queue.Name] = mean
	meter := m.demandShares.meters[spec.Queue.Service]
	if meter == nil {
		meter = new(sched.DemandMeter)
		m.demandShares.meters[spec.Queue.Service] = meter
	}
	meter.Observe(now, spec.Caller, mean.value)
}

// meanWork is the mean work of a queue's requests, in thousandths of a core times seconds.
type meanWork struct {
	value    float64
	requests int
}

// add adds a request. The first ones weigh equally: otherwise the measured demand of an entry that has started
// with a large or small request would be wrong until many others have come.
func (w *meanWork) add(work float64) {
	w.requests++
	w.value += max(meanWorkWeight, 1/float64(w.requests)) * (work - w.value)
}

// askedFor returns what the entry's callers ask for of the service of a guard's worker, or nil if the
// statement is not due.
func (m *Machine) askedFor(now time.Duration, g *guard) *sched.AskedWork {
	meter := m.demandShares.meters[g.worker.Service]
	if meter == nil || now-g.asked.statedAt < runs.AskedInterval || !m.isShort(g) {
		return nil
	}
	sum, exists := m.demandShares.sums[g.worker.Service]
	if !exists || now-sum.at >= askedSumInterval {
		sum = askedSum{asked: meter.Asked(now), at: now}
		m.demandShares.sums[g.worker.Service] = sum
	}
	asked := sum.asked
	asked.Known = m.stateCallers(g)
	g.asked.statedAt, g.asked.stated = now, asked
	return &asked
}

// isShort reports whether a guard's worker has little room left, or tasks of the entry wait.
func (m *Machine) isShort(g *guard) bool {
	w := &m.workers[g.position]
	return m.advertised.CPU > 0 || float64(w.Free.CPU) <= maxStatedFreeShare*float64(w.Capacity.CPU)
}

// waitedMs returns the age in milliseconds of the oldest of the most urgent jobs that wait for capacity.
func (m *Machine) waitedMs(now time.Duration) int64 {
	if !m.hasSharesByDemand() && !m.options.StrictOffers {
		return 0
	}
	for _, j := range m.queue {
		if j.hasTriedPlacement {
			return (now - j.arrivedAt).Milliseconds()
		}
	}
	return 0
}

// capacityShare returns the part of a service's capacity that the entry may expect: its part of the demand
// at the guards that have stated a sum, weighted by capacity. It is an equal part if that is not known or
// differs so little that it may be by chance.
func (m *Machine) capacityShare(now time.Duration, service string) float64 {
	equal := 1 / float64(m.sharingEntries(service))
	capacity, share, byChance := 0.0, 0.0, 0.0
	for i, g := range m.guards {
		w := &m.workers[i]
		if g == nil || w.State != sched.Usable || w.Service != service {
			continue
		}
		if part, isKnown := g.asked.part(now); isKnown {
			capacity += float64(w.Capacity.CPU)
			share += float64(w.Capacity.CPU) * part
			byChance = max(byChance, sched.ChanceDeviation(equal*float64(g.asked.total.Requests)))
		}
	}
	if share == 0 {
		return equal
	}
	share /= capacity
	if math.Abs(share/equal-1) < max(minUnevenDeviation, byChance) {
		return equal
	}
	return share
}
