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
func TestStopCutsOffNothing(t *testing.T) {
	refused := "draining, ran no, 0"
	for _, want := range [][]string{{refused, refused, served, served}, {refused}} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t, nil)
			defer b.close()
			for range len(want) - 1 {
				s := task(`{"sleep_ms":900}`)
				s.WaitMs = 4000
				b.entry.send(t, &wire.Frame{Start: s})
			}
			synctest.Wait()
			stopped := make(chan error, 1)
			go func() { stopped <- b.guard.Stop(context.Background()) }()
			time.Sleep(10 * time.Millisecond)
			b.entry.send(t, &wire.Frame{Start: task(`{}`)})
			qt.Assert(t, <-stopped, qt.IsNil)
			b.entry.expect(t, want...)
			qt.Assert(t, len(b.upstream.Starts()), qt.Equals, len(want)/2)
		})
	}
}

// slowLink is a link to an entry that takes its time to read.
type slowLink struct {
	orderlyLink
	takes time.Duration
	shut  chan struct{}
	once  sync.Once
}

func (l *slowLink) Shut() <-chan struct{} { return l.shut }

func (l *slowLink) Close(reason string) {
	l.once.Do(func() {
		time.AfterFunc(l.takes, func() {
			l.orderlyLink.Close(reason)
			close(l.shut)
		})
	})
}

// A guard stops while its entry's machine is busy and reads slowly. The results
// are on the socket, but not read. If the guard's process ended before they are,
// they would be dropped, and callers would read "outcome unknown".
func TestStopWaitsUntilItsEntriesHaveRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const takes = 2 * time.Second
		b := newBench(t, func(o *Options) {
			dial := o.Dial
			o.Dial = func(ctx context.Context, addr string) (wire.Link, error) {
				l, err := dial(ctx, addr)
				if err != nil {
					return nil, err
				}
				return &slowLink{orderlyLink: l.(orderlyLink), takes: takes, shut: make(chan struct{})}, nil
			}
		})
		began := time.Now()
		qt.Assert(t, b.guard.Stop(context.Background()), qt.IsNil)
		qt.Assert(t, time.Since(began) >= takes, qt.IsTrue)
		b.close()
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
