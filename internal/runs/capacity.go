package runs

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/sched"
)

// applyCapacity obeys a capacity that has changed while the worker runs. What runs there goes
// on. Offers were made against the old capacity, and tasks that are not at the worker yet may
// not fit any more.
func (m *Machine) applyCapacity(now time.Duration, previous sched.Room) {
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

// isOverCapacity tells whether more may be at the worker than it has room for.
func (m *Machine) isOverCapacity() bool { return !m.worker.Capacity.Holds(m.allocated) }
