package batch

import (
	"fmt"
	"testing"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// BenchmarkFullFleet measures an event at an entry of a full fleet: 72 workers without room for a
// task, 30 waiting jobs, and a guard's report that a run has ended, which leaves some free room.
func BenchmarkFullFleet(b *testing.B) {
	b.Run("of one priority", func(b *testing.B) { benchFullFleet(b, 0) })
	b.Run("that may be overtaken", func(b *testing.B) { benchFullFleet(b, 2) })
}

// benchFullFleet runs the benchmark with waiting jobs of the given priority, after a job of
// priority 0 has arrived.
func benchFullFleet(b *testing.B, priority int) {
	m := New(0, Options{Seed: 1})
	const guards = 72
	hello := func(i int) *wire.RunHello {
		return &wire.RunHello{
			Incarnation: identity.Incarnation(fmt.Sprint("g", i)),
			Worker:      wire.RunWorker{WorkerInstance: wire.WorkerInstance{ID: fmt.Sprint("w", i)}, Service: "s", Domain: fmt.Sprint(i % 5), Capacity: sched.Resources{CPU: 64_000}, Usable: true},
			Load:        wire.RunLoad{Free: sched.Resources{CPU: 2000}},
		}
	}
	for i := range guards {
		m.AddGuard(0, hello(i))
	}
	m.recordPriority(0, testQueue)
	q := *testQueue
	q.Priority, q.Stretch = priority, 1000
	for i := range 30 {
		j := testJob(fmt.Sprint("j", i), 4, 6000)
		j.Queue = &q
		if err := m.Submit(0, j); err != nil {
			b.Fatal(err)
		}
	}
	m.Actions(0)
	now := time.Millisecond
	for i := 0; b.Loop(); i++ {
		guard := identity.Incarnation(fmt.Sprint("g", i%guards))
		m.HandleRunsEnded(now, guard, &wire.RunsEnded{Load: wire.RunLoad{ClockMs: 1, Free: sched.Resources{CPU: 5000}}})
		m.Actions(now)
		m.NextTick()
	}
}
