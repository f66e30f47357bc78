package batch

import (
	"time"

	"wigeontray/internal/wire"
)

// SetDrains applies the operators' list of drained failure domains. Workers in them get no more
// tasks and are not counted as room, so that admission uses the remaining capacity at once. Runs
// that are active there continue.
func (m *Machine) SetDrains(now time.Duration, d *wire.Drains) {
	previous := m.drains
	m.drains = *d
	for _, g := range m.guards {
		if g == nil || d.Contains(g.worker.Domain) == previous.Contains(g.worker.Domain) {
			continue
		}
		m.updateState(g)
		m.limitColdWorker(g)
	}
	m.dispatchWaiting(now)
}

// limitColdWorker limits a worker that reports itself cold to one task at first.
func (m *Machine) limitColdWorker(g *guard) {
	if g.worker.Cold && g.worker.Usable && !m.drains.Contains(g.worker.Domain) {
		m.workers[g.position].MaxOwnTasks = 1
	}
}

// WorkersInDomain returns the number of known workers in a failure domain.
func (m *Machine) WorkersInDomain(domain string) int {
	n := 0
	for _, g := range m.guards {
		if g != nil && g.worker.ID != "" && g.worker.Domain == domain {
			n++
		}
	}
	return n
}
