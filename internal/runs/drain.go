package runs

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/wire"
)

// SetDrains replaces the list of failure domains that the operators drain. While the worker's
// own domain is listed, no capacity is offered and no task is started, even if an entry that has
// not received the list yet sends one. Tasks that are not at the worker yet are returned as not
// run; active runs continue.
func (m *Machine) SetDrains(now time.Duration, latest *wire.Drains) {
	wasDrained := m.IsDomainDrained()
	m.drains = *latest
	switch isDrained := m.IsDomainDrained(); {
	case isDrained == wasDrained:
	case isDrained:
		m.beginDrain(now)
	default:
		m.probeNow(now)
	}
}

// IsDomainDrained reports whether the failure domain of the worker is being drained.
func (m *Machine) IsDomainDrained() bool {
	return m.worker.ID != "" && m.drains.Contains(m.worker.Domain)
}

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

// probeNow sends the worker a Hold as soon as possible, whose answer shows whether it is usable.
func (m *Machine) probeNow(now time.Duration) {
	m.instance.needsProbe = true
	m.instance.nextHoldAt = min(m.instance.nextHoldAt, now)
	m.sendHoldIfDue(now)
}
