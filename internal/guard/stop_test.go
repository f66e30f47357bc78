package guard

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/wire"
)

// Guards against "outcome unknown" because of a planned stop. Running tasks must finish; a task that
// waits for a slot or is in transit must be refused. The guard is stopped with two tasks
// running, one waiting and one in transit, and idle with one in transit.
func TestStopFinishesOrRefusesEveryTask(t *testing.T) {
	refused := "draining, ran no, 0"
	for _, want := range [][]string{{refused, refused, okSummary, okSummary}, {refused}} {
		synctest.Test(t, func(t *testing.T) {
			env := newTestEnv(t, nil)
			defer env.close()
			for range len(want) - 1 {
				start := newStart(`{"sleep_ms":900}`)
				start.WaitMs = 4000
				env.entry.send(t, &wire.Frame{Start: start})
			}
			synctest.Wait()
			stopped := make(chan error, 1)
			go func() { stopped <- env.guard.Stop(context.Background()) }()
			time.Sleep(10 * time.Millisecond)
			env.entry.send(t, &wire.Frame{Start: newStart(`{}`)})
			qt.Assert(t, <-stopped, qt.IsNil)
			env.entry.expectResults(t, want...)
			qt.Assert(t, len(env.upstream.StartCounts()), qt.Equals, len(want)/2)
		})
	}
}

// slowClosingLink is a link whose close handshake takes closeDelay, as that of an
// entry that reads slowly.
type slowClosingLink struct {
	delayedCloseLink
	closeDelay time.Duration
	shut       chan struct{}
	once       sync.Once
}

func (l *slowClosingLink) Shut() <-chan struct{} { return l.shut }

func (l *slowClosingLink) Close(reason string) {
	l.once.Do(func() {
		time.AfterFunc(l.closeDelay, func() {
			l.delayedCloseLink.Close(reason)
			close(l.shut)
		})
	})
}

// Stops a guard while its entry reads slowly, because its machine is busy. If the
// guard's process exited before the entry had read the results written to the
// socket, they would be lost and callers would get "outcome unknown".
func TestStopWaitsForCloseHandshakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const closeDelay = 2 * time.Second
		env := newTestEnv(t, func(o *Options) {
			dial := o.Dial
			o.Dial = func(ctx context.Context, addr string) (wire.Link, error) {
				l, err := dial(ctx, addr)
				if err != nil {
					return nil, err
				}
				return &slowClosingLink{delayedCloseLink: l.(delayedCloseLink), closeDelay: closeDelay, shut: make(chan struct{})}, nil
			}
		})
		startedAt := time.Now()
		qt.Assert(t, env.guard.Stop(context.Background()), qt.IsNil)
		qt.Assert(t, time.Since(startedAt) >= closeDelay, qt.IsTrue)
		env.close()
	})
}

// Stops a guard whose upstream hangs. Without a time limit the guard's process
// would run until it is killed. The error shows the operator that the stop was
// cut short.
func TestStopReturnsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, nil)
		defer env.close()
		start := newStart(`{"fault":"hang"}`)
		start.LeftMs = 60_000
		env.entry.send(t, &wire.Frame{Start: start})
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		qt.Assert(t, env.guard.Stop(ctx), qt.ErrorIs, context.DeadlineExceeded)
	})
}
