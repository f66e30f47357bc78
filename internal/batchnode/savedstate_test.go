package batchnode

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an entry that has no worker, and refuses all its callers, until the store accepts its
// registration: after a restart of all processes no guard knew its address.
func TestUnregisteredEntryIsLinkedAfterARestartOfAllGuards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.entry("10.0.0.1:1")
		unregistered := f.entry("10.0.0.2:1")
		w, saved := newWorker(f, time.Second), new(memoryStateStore)
		start := func() (kill context.CancelFunc) {
			ctx, kill := context.WithCancel(f.ctx)
			g := NewGuard(GuardOptions{
				Name: "guard", Entries: []string{"10.0.0.1:1"}, Worker: w, Clock: f.clock, Metrics: unregistered.opt.Metrics, Log: discardLogger(),
				StateStore: saved, Dial: f.dial, Lookup: func(context.Context) ([]string, error) { return nil, nil },
			})
			go g.Run(ctx)
			g.HandleReport(w.report())
			return kill
		}
		kill := start()
		f.setEntries("10.0.0.1:1", "10.0.0.2:1")
		time.Sleep(firstSaveEntriesInterval)
		qt.Assert(t, unregistered.Workers(), qt.Equals, 1)
		kill()
		time.Sleep(time.Second)
		f.setEntries("10.0.0.1:1") // the registration has expired
		start()
		time.Sleep(time.Second)
		qt.Check(t, unregistered.Workers(), qt.Equals, 1)
	})
}

// Guards against a write to the store for each entry that restarts: it comes back at its address.
func TestGuardSavesItsEntriesOnlyAfterAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.entry("10.0.0.1:1")
		w, saved := newWorker(f, time.Second), new(countingStateStore)
		g := f.guardWith(GuardOptions{Name: "guard", Entries: []string{"10.0.0.1:1"}, Worker: w, StateStore: saved, Dial: f.dial})
		g.HandleReport(w.report())
		time.Sleep(3 * saveEntriesInterval)
		qt.Check(t, saved.saves.Load(), qt.Equals, int64(1))
		f.kill("10.0.0.1:1")
		time.Sleep(time.Second)
		f.entry("10.0.0.1:1")
		time.Sleep(3 * saveEntriesInterval)
		qt.Check(t, saved.saves.Load(), qt.Equals, int64(1))
		f.entry("10.0.0.2:1")
		f.setEntries("10.0.0.1:1", "10.0.0.2:1")
		time.Sleep(3 * saveEntriesInterval)
		qt.Check(t, saved.saves.Load(), qt.Equals, int64(2))
	})
}

// countingStateStore counts the states that are saved.
type countingStateStore struct {
	memoryStateStore
	saves atomic.Int64
}

func (c *countingStateStore) Save(ctx context.Context, state *SavedState) error {
	c.saves.Add(1)
	return c.memoryStateStore.Save(ctx, state)
}
