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
	for _, s := range m.sites {
		if s == nil || d.Has(s.worker.Domain) == before.Has(s.worker.Domain) {
			continue
		}
		m.setState(s)
		m.tryCold(s)
	}
	m.pump(now)
}

// tryCold lets a worker that says it is cold begin with one task at a time.
func (m *Machine) tryCold(s *site) {
	if s.worker.Cold && s.worker.Usable && !m.drains.Has(s.worker.Domain) {
		m.view[s.place].Limit = 1
	}
}

// WorkersIn counts the workers that are known in a failure domain.
func (m *Machine) WorkersIn(domain string) int {
	n := 0
	for _, s := range m.sites {
		if s != nil && s.worker.ID != "" && s.worker.Domain == domain {
			n++
		}
	}
	return n
}
