package batch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// newFleet returns the machine of an entry with some idle workers.
func newFleet(workers int) *Machine {
	m := New(0, Options{Seed: 1})
	for i := range workers {
		m.AddGuard(0, &wire.RunHello{
			Incarnation: identity.Incarnation(fmt.Sprint("g", i)), Worker: testWorker(i, false),
			Load: wire.RunLoad{Free: sched.Resources{CPU: 40_000}},
		})
	}
	return m
}

func testWorker(i int, isSlow bool) wire.RunWorker {
	return wire.RunWorker{WorkerInstance: wire.WorkerInstance{ID: fmt.Sprint("w", i)}, Service: "s", Capacity: sched.Resources{CPU: 40_000}, Usable: true, Slow: isSlow}
}

// Guards against tasks sent to a worker that its guard reports as slow. The worker is
// quarantined, then limited to one task, and quarantined again if it is still slow.
func TestWorkerReportedSlowGetsNoTasks(t *testing.T) {
	m := newFleet(3)
	w := testWorker(0, true)
	m.HandleBeat(0, "g0", &wire.GuardHeartbeat{Worker: &w})
	qt.Check(t, m.Workers(), qt.Equals, 2)
	firstEnd := m.NextTick()
	qt.Assert(t, firstEnd > 0, qt.IsTrue)
	m.Tick(firstEnd)
	qt.Check(t, m.Workers(), qt.Equals, 2) // quarantined again, as it is still slow
	w.Slow = false
	m.HandleBeat(firstEnd, "g0", &wire.GuardHeartbeat{Worker: &w})
	secondEnd := m.NextTick()
	qt.Check(t, secondEnd > firstEnd+time.Second, qt.IsTrue, qt.Commentf("%v after %v", secondEnd, firstEnd))
	m.Tick(secondEnd)
	qt.Check(t, m.Workers(), qt.Equals, 3)
	qt.Check(t, m.workers[0].MaxOwnTasks, qt.Equals, 1)
}

// Guards against a worker that stays quarantined, or trusted with its earlier capacity, after it has
// restarted under its ID between two heartbeats of its guard.
func TestRestartedWorkerGetsANewHealthRecord(t *testing.T) {
	m := newFleet(3)
	w := testWorker(0, true)
	w.StartMs = 1000
	m.HandleBeat(0, "g0", &wire.GuardHeartbeat{Worker: &w})
	qt.Assert(t, m.Workers(), qt.Equals, 2)
	w.StartMs, w.Slow, w.Capacity.CPU = 2000, false, 10_000
	m.HandleBeat(0, "g0", &wire.GuardHeartbeat{Worker: &w})
	qt.Check(t, m.Workers(), qt.Equals, 3)
	qt.Check(t, m.guards[0].maxCapacity.CPU, qt.Equals, int64(10_000))
}

// Guards against a service without usable workers when all of them seem slow, because the
// callers' estimates have changed or the workers are overloaded.
func TestHalfOfTheWorkersStayUsableIfAllAreSlow(t *testing.T) {
	m := newFleet(6)
	for i := range 6 {
		w := testWorker(i, true)
		m.HandleBeat(0, identity.Incarnation(fmt.Sprint("g", i)), &wire.GuardHeartbeat{Worker: &w})
	}
	qt.Check(t, m.Workers(), qt.Equals, 3)
}
