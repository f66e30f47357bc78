package runs

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/wire"
)

// SetDrains puts the failure domains that the operators drain in force. While the worker's own
// is among them nothing is offered or started, whatever entries send that have not heard of it;
// tasks that are not at the worker yet are given back as not run, and what runs goes on.
func (m *Machine) SetDrains(now time.Duration, d *wire.Drains) {
	was := m.Drained()
	m.drains = *d
	switch drained := m.Drained(); {
	case drained == was:
	case drained:
		m.beginDrain(now)
	default:
		m.askAgain(now)
	}
}

// Drained tells whether the failure domain of the worker is drained.
func (m *Machine) Drained() bool { return m.worker.ID != "" && m.drains.Has(m.worker.Domain) }

func (m *Machine) beginDrain(now time.Duration) {
	m.setUsable(now, false)
	for _, p := range m.entries {
		p.offer = offer{}
	}
	for _, r := range m.inOrder() {
		if r.state == awaiting {
			m.end(now, r, notRun(errkind.Draining))
		}
	}
}

// askAgain asks the worker at once whether it may be used.
func (m *Machine) askAgain(now time.Duration) {
	m.life.probe = true
	m.life.holdAt = min(m.life.holdAt, now)
	m.pumpHold(now)
}
