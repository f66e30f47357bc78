package batch

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
)

// A caller that spreads its requests over entries gets no more than one share. During a shortage each entry
// states some of its callers to its guards with what all its callers ask for, and learns from the sums how
// far these callers spread. Names of callers do not leave the entry.

// stateCallers returns the callers to state to a guard.
func (m *Machine) stateCallers(g *guard) []sched.CallerWork {
	g.asked.known = nil
	shares := m.callerShares[g.worker.Service]
	if shares == nil || !m.hasSharesByCaller() {
		return nil
	}
	var stated []sched.CallerWork
	g.asked.known = shares.Known()
	for _, c := range g.asked.known {
		stated = append(stated, sched.CallerWork{Hash: callerHash(g.id, c.Name), CPU: int64(c.Amount)})
	}
	return stated
}

// callerHash identifies a caller on the links of one guard.
func callerHash(seed identity.Incarnation, caller string) uint64 {
	sum := sha256.Sum256([]byte(string(seed) + "\x00" + caller))
	return binary.BigEndian.Uint64(sum[:])
}

// spreadSum adds up the spread of a caller over guards.
type spreadSum struct {
	ratios, weight float64 // weights are capacities
	isSampled      bool
}

// callerSpread returns how far the callers of a service spread over entries, as the mean of what the guards
// have summed up.
func (m *Machine) callerSpread(now time.Duration, service string) sched.Spread {
	sums := make(map[string]*spreadSum)
	for i, g := range m.guards {
		w := &m.workers[i]
		if g == nil || w.State != sched.Usable || w.Service != service || !g.asked.isTotalRecent(now) {
			continue
		}
		g.asked.addSpread(sums, float64(w.Capacity.CPU), float64(m.sharingEntries(service)))
	}
	spread := sched.Spread{Ratios: make(map[string]float64)}
	var sampled []float64
	for caller, sum := range sums {
		spread.Ratios[caller] = sum.ratios / sum.weight
		if sum.isSampled {
			sampled = append(sampled, spread.Ratios[caller])
		}
	}
	if slices.Sort(sampled); len(sampled) > 0 {
		spread.Typical = sampled[(len(sampled)-1)/2]
	}
	return spread
}

// addSpread adds the spread of the callers stated to a guard, of which there are at most maxSpread entries.
func (d *guardDemand) addSpread(sums map[string]*spreadSum, capacity, maxSpread float64) {
	for i, c := range d.known {
		total := d.totalOf(d.stated.Known[i].Hash)
		if total == 0 || c.Amount < 1 || capacity <= 0 {
			continue
		}
		sum := sums[c.Name]
		if sum == nil {
			sum = new(spreadSum)
			sums[c.Name] = sum
		}
		sum.ratios += capacity * min(max(1, float64(total)/c.Amount), maxSpread)
		sum.weight += capacity
		sum.isSampled = sum.isSampled || c.IsSampled
	}
}

// totalOf returns what a caller asks all entries of the guard for; 0 if unknown.
func (d *guardDemand) totalOf(hash uint64) int64 {
	for _, c := range d.total.Known[:min(len(d.total.Known), sched.MaxStatedCallers)] {
		if c.Hash == hash {
			return c.CPU
		}
	}
	return 0
}

func (d *guardDemand) isTotalRecent(now time.Duration) bool {
	return d.totalAt != 0 && now-d.totalAt < totalAskedTimeout
}
