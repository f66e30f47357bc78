package batchnode

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// All VMs lose their power and come back within some hundred milliseconds of each other. A
// guard that came first dials its entry's VM, which answers nothing. It waited for that
// answer while the entry was back, and every request there was refused meanwhile.
func TestGuardsLinkSoonAfterEntryPowerReturns(t *testing.T) {
	const guards = 40
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		var linkableSince atomic.Int64 // when the entry came, in nanoseconds of the clock
		var totalDelay atomic.Int64
		dial := func(ctx context.Context, address string) (wire.Link, error) {
			if since := linkableSince.Load(); since > 0 {
				totalDelay.Add(int64(f.clock()) - since)
				return f.dial(ctx, address)
			}
			connectTimeout, bounded := wire.ConnectTime(ctx)
			if !bounded {
				connectTimeout = time.Hour
			}
			select { // what was sent to a dark VM is lost, also if it comes back meanwhile
			case <-time.After(connectTimeout):
			case <-ctx.Done():
			}
			return nil, errors.New("no answer")
		}
		for range guards {
			g := NewGuard(GuardOptions{
				Name: "guard", Entries: []string{"entry"}, Worker: newWorker(f, time.Second), Clock: f.clock,
				Metrics: telemetry.New(), Log: discardLogger(), Dial: dial,
				Lookup: func(context.Context) ([]string, error) { return nil, nil },
			})
			go g.Run(f.ctx)
			time.Sleep(7 * time.Millisecond) // they come back one after the other
		}
		time.Sleep(1300 * time.Millisecond)
		f.entry("entry")
		linkableSince.Store(int64(f.clock()))
		time.Sleep(2 * time.Second)
		mean := time.Duration(totalDelay.Load()) / guards
		f.stop()
		qt.Check(t, mean < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v", mean))
	})
}

// All VMs lost their power, and the entries that a guard is set up with come back last. The
// others are listed in the store and have callers already: without a worker each of their
// requests is refused.
func TestGuardLooksUpEntriesAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("other")
		w := newWorker(f, time.Second)
		f.guard(w, []string{"seed", "other"}, "seed").Heard(w.report())
		time.Sleep(20 * time.Millisecond)
		f.Assert(e.Workers(), qt.Equals, 1)
	})
}
