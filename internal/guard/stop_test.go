package guard

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/wire"
)

// An operator stops a guard while its upstream works on two tasks, a third
// waits for a slot and a fourth is already on the wire. If the stop cut any of
// them off, its caller would read "outcome unknown" for a planned stop.
func TestStopCutsOffNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		for range 2 {
			b.entry.send(t, &wire.Frame{Start: task(`{"sleep_ms":900}`)})
		}
		waiting := task(`{}`)
		waiting.WaitMs = 4000
		b.entry.send(t, &wire.Frame{Start: waiting})
		synctest.Wait()

		stopped := make(chan error, 1)
		go func() { stopped <- b.guard.Stop(context.Background()) }()
		synctest.Wait()
		b.entry.send(t, &wire.Frame{Start: task(`{}`)})
		qt.Assert(t, <-stopped, qt.IsNil)

		want := []verdict{
			{errkind.Draining, errkind.RanNo, 0}, {errkind.Draining, errkind.RanNo, 0},
			{errkind.None, errkind.RanYes, 200}, {errkind.None, errkind.RanYes, 200},
		}
		qt.Assert(t, verdicts(b.entry.results()), qt.DeepEquals, want)
		qt.Assert(t, len(b.upstream.Starts()), qt.Equals, 2)
	})
}

// An upstream hangs during a planned stop. Without a bound the guard's process
// would stay until somebody kills it; the operator sees which stop was cut off.
func TestStopEndsWhenItsTimeIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		long := task(`{"fault":"hang"}`)
		long.LeftMs = 60_000
		b.entry.send(t, &wire.Frame{Start: long})
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		qt.Assert(t, b.guard.Stop(ctx), qt.ErrorIs, context.DeadlineExceeded)
	})
}
