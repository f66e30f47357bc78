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

// An operator stops a guard while its upstream works on two tasks, a third
// waits for a slot and a fourth is already on the wire; or while it is idle and
// one task is on the wire. If the stop cut any of them off, its caller would
// read "outcome unknown" for a planned stop.
func TestStopFinishesAcceptedTasks(t *testing.T) {
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
			qt.Assert(t, len(env.upstream.Starts()), qt.Equals, len(want)/2)
		})
	}
}

// slowClosingLink is a link to an entry that takes its time to read.
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

// A guard stops while its entry's machine is busy and reads slowly. The results
// are on the socket, but not read. If the guard's process ended before they are,
// they would be dropped, and callers would read "outcome unknown".
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

// An upstream hangs during a planned stop. Without a bound the guard's process
// would stay until somebody kills it; the operator sees which stop was cut off.
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
