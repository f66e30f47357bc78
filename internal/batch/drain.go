package batch

import (
	"time"

	"wigeontray/internal/wire"
)

// SetDrains puts the failure domains that the operators drain in force. Workers there get no
// more tasks and no longer count as room, so that admission knows at once what is left; what
// runs there goes on.
func (m *Machine) SetDrains(now time.Duration, d *wire.Drains) {
	before := m.drains
	m.drains = *d
	for _, g := range m.guards {
		if g == nil || d.Has(g.worker.Domain) == before.Has(g.worker.Domain) {
			continue
		}
		m.updateState(g)
		m.limitColdWorker(g)
	}
	m.dispatchWaiting(now)
}

// limitColdWorker lets a worker that says it is cold begin with one task at a time.
func (m *Machine) limitColdWorker(g *guard) {
	if g.worker.Cold && g.worker.Usable && !m.drains.Has(g.worker.Domain) {
		m.workers[g.position].Limit = 1
	}
}

// WorkersIn counts the workers that are known in a failure domain.
func (m *Machine) WorkersIn(domain string) int {
	n := 0
	for _, g := range m.guards {
		if g != nil && g.worker.ID != "" && g.worker.Domain == domain {
			n++
		}
	}
	return n
}
