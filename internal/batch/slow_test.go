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

// fleetOf is an entry with some empty workers.
func fleetOf(workers int) *Machine {
	m := New(0, Options{Seed: 1})
	for i := range workers {
		m.GuardUp(0, &wire.RunHello{
			Incarnation: identity.Incarnation(fmt.Sprint("g", i)), Worker: slowWorker(i, false),
			Load: wire.RunLoad{Free: sched.Room{CPU: 40_000}},
		})
	}
	return m
}

func slowWorker(i int, slow bool) wire.RunWorker {
	return wire.RunWorker{ID: fmt.Sprint("w", i), Service: "s", Capacity: sched.Room{CPU: 40_000}, Usable: true, Slow: slow}
}

// A guard sees that its worker has turned slow. Its entries give the worker no task for a
// while, try it with one, and shut it out again if it is still slow.
func TestWorkerThatItsGuardFindsSlowGetsNothing(t *testing.T) {
	m := fleetOf(3)
	w := slowWorker(0, true)
	m.Beat(0, "g0", &wire.GuardBeat{Worker: &w})
	qt.Check(t, m.Workers(), qt.Equals, 2)
	back := m.NextTick()
	qt.Assert(t, back > 0, qt.IsTrue)
	m.Tick(back)
	qt.Check(t, m.Workers(), qt.Equals, 2) // still slow
	w.Slow = false
	m.Beat(back, "g0", &wire.GuardBeat{Worker: &w})
	again := m.NextTick()
	qt.Check(t, again > back+time.Second, qt.IsTrue, qt.Commentf("%v after %v", again, back))
	m.Tick(again)
	qt.Check(t, m.Workers(), qt.Equals, 3)
	qt.Check(t, m.workers[0].Limit, qt.Equals, 1)
}

// All workers look slow: the callers' estimates have changed, or the pool is overloaded.
// Shut out together they would serve nobody.
func TestHalfOfThePoolStaysInUseIfAllLookSlow(t *testing.T) {
	m := fleetOf(6)
	for i := range 6 {
		w := slowWorker(i, true)
		m.Beat(0, identity.Incarnation(fmt.Sprint("g", i)), &wire.GuardBeat{Worker: &w})
	}
	qt.Check(t, m.Workers(), qt.Equals, 3)
}
