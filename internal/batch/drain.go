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
		if g == nil || d.Has(g.worker.Domain) == previous.Has(g.worker.Domain) {
			continue
		}
		m.updateState(g)
		m.limitColdWorker(g)
	}
	m.dispatchWaiting(now)
}

// limitColdWorker limits a worker that reports itself cold to one task at first.
func (m *Machine) limitColdWorker(g *guard) {
	if g.worker.Cold && g.worker.Usable && !m.drains.Has(g.worker.Domain) {
		m.workers[g.position].Limit = 1
	}
}

// WorkersIn returns the number of known workers in a failure domain.
func (m *Machine) WorkersIn(domain string) int {
	n := 0
	for _, g := range m.guards {
		if g != nil && g.worker.ID != "" && g.worker.Domain == domain {
			n++
		}
	}
	return n
}
