package runs

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/wire"
)

// SetDrains puts the failure domains that the operators drain in force. While the worker's own
// is among them nothing is offered or started, whatever entries send that have not heard of it;
// tasks that are not at the worker yet are given back as not run, and what runs goes on.
func (m *Machine) SetDrains(now time.Duration, latest *wire.Drains) {
	wasDrained := m.Drained()
	m.drains = *latest
	switch isDrained := m.Drained(); {
	case isDrained == wasDrained:
	case isDrained:
		m.beginDrain(now)
	default:
		m.probeNow(now)
	}
}

// Drained tells whether the failure domain of the worker is drained.
func (m *Machine) Drained() bool { return m.worker.ID != "" && m.drains.Has(m.worker.Domain) }

func (m *Machine) beginDrain(now time.Duration) {
	m.setUsable(now, false)
	for _, ent := range m.entries {
		ent.offer = offer{}
	}
	for _, r := range m.sortedRuns() {
		if r.state == awaitingText {
			m.endRun(now, r, endNotRun(errkind.Draining))
		}
	}
}

// probeNow asks the worker at once whether it may be used.
func (m *Machine) probeNow(now time.Duration) {
	m.instance.needsProbe = true
	m.instance.nextHoldAt = min(m.instance.nextHoldAt, now)
	m.sendHoldIfDue(now)
}
