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

// Guards against an entry without workers after a power loss of all VMs, which restart within some
// hundred milliseconds of each other. A guard that is up first dials an entry's VM that does not
// answer yet; if it waits for the full dial timeout, the entry refuses every request meanwhile.
func TestGuardsLinkSoonAfterEntryPowerReturns(t *testing.T) {
	const guards = 40
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		var linkableSince atomic.Int64 // when the entry started, in nanoseconds of the fleet's clock
		var totalDelay atomic.Int64
		dial := func(ctx context.Context, address string) (wire.Link, error) {
			if since := linkableSince.Load(); since > 0 {
				totalDelay.Add(int64(f.clock()) - since)
				return f.dial(ctx, address)
			}
			connectTimeout, bounded := wire.ConnectTimeout(ctx)
			if !bounded {
				connectTimeout = time.Hour
			}
			select { // a packet sent to a VM that is down is lost, even if the VM starts during the wait
			case <-time.After(connectTimeout):
			case <-ctx.Done():
			}
			return nil, errors.New("connect timeout")
		}
		for range guards {
			g := NewGuard(GuardOptions{
				Name: "guard", Entries: []string{"entry"}, Worker: newWorker(f, time.Second), Clock: f.clock,
				Metrics: telemetry.New(), Log: discardLogger(), Dial: dial,
				Lookup: func(context.Context) ([]string, error) { return nil, nil },
			})
			go g.Run(f.ctx)
			time.Sleep(7 * time.Millisecond) // the guards restart one after the other
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

// Guards against a guard that waits for its configured entries when these are the last to restart
// after a power loss of all VMs. The other entries are registered in the store and already
// receive requests, which they refuse while they have no worker.
func TestGuardLooksUpEntriesAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("other")
		w := newWorker(f, time.Second)
		f.guard(w, []string{"seed", "other"}, "seed").HandleReport(w.report())
		time.Sleep(20 * time.Millisecond)
		f.Assert(e.Workers(), qt.Equals, 1)
	})
}
