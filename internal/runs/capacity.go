package runs

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/sched"
)

// noteCapacity obeys a capacity that has changed while the worker runs. What runs there goes
// on. Offers were made against the old capacity, and tasks that are not at the worker yet may
// not fit any more.
func (m *Machine) noteCapacity(now time.Duration, before sched.Room) {
	if m.worker.Capacity == before {
		return
	}
	for _, p := range m.entries {
		p.offer = offer{}
	}
	for _, r := range m.inOrder() {
		if r.state == awaiting && m.overfull() {
			m.end(now, r, notRun(errkind.Busy))
		}
	}
}

// overfull tells whether more may be at the worker than it has room for.
func (m *Machine) overfull() bool { return !m.worker.Capacity.Holds(m.taken) }
