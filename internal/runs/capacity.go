package runs

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/sched"
)

// applyCapacity handles a change of the capacity of a running worker. Its runs continue.
// Offers are withdrawn, because they were based on the previous capacity. Runs that are not
// at the worker yet are refused as long as the allocated capacity exceeds the new one.
func (m *Machine) applyCapacity(now time.Duration, previous sched.Resources) {
	if m.worker.Capacity == previous {
		return
	}
	for _, ent := range m.entries {
		ent.offer = offer{}
	}
	for _, r := range m.sortedRuns() {
		if r.state == awaitingText && m.isOverCapacity() {
			m.endRun(now, r, endNotRun(errkind.Busy))
		}
	}
}

// isOverCapacity reports whether the allocated capacity exceeds that of the worker.
func (m *Machine) isOverCapacity() bool { return !m.worker.Capacity.CanFit(m.allocated) }
