package batchnode

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/batch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/store"
	"wigeontray/internal/telemetry"
)

// newUnlistedFleet starts entries a and b and a guard whose worker takes a minute per task. The store
// has turned entry b away since its start, so that b has never read the list of entries.
func newUnlistedFleet(t *testing.T) (f *fleet, a, b *Entry, w *worker) {
	f = newFleet(t)
	a, b = f.entry("a"), f.entry("b")
	w = newWorker(f, time.Minute)
	f.guard(w, nil, "a", "b").HandleReport(w.report())
	time.Sleep(time.Second)
	a.SetEntries([]string{"a", "b"})
	return f, a, b, w
}

// Guards against an entry that takes itself for the only one because it could not read the list of
// entries: it answered a cancellation with "no such job" while the job ran at another entry.
func TestCancelAtEntryWithoutListReachesTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, a, b, w := newUnlistedFleet(t)
		defer f.stop()
		outs := make(chan *batch.Outcome, 1)
		go func() { outs <- a.Submit(f.ctx, testJob("1", 2), 9*time.Second) }()
		time.Sleep(100 * time.Millisecond)
		state, certain := b.Cancel(f.ctx, "1")
		f.Check(state, qt.Equals, batch.Cancelled)
		f.Check(certain, qt.IsFalse) // an entry that b has not heard of may not have been asked
		f.Check((<-outs).Err.Kind, qt.Equals, errkind.Cancelled)
		time.Sleep(20 * time.Millisecond)
		f.Check(w.running(), qt.Equals, 0)
		_, certain = b.Query(f.ctx, "2")
		f.Check(certain, qt.IsFalse)
	})
}

// Guards against an entry that refuses queries and cancellations for as long as the store turns it
// away: guards know the other entries.
func TestEntryWithoutListReceivesItFromGuards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, a, b, _ := newUnlistedFleet(t)
		defer f.stop()
		go a.Submit(f.ctx, testJob("1", 2), 9*time.Second)
		listing := &Listing{Store: unreadableStore{}, Log: discardLogger(), Metrics: telemetry.New(), Fallback: b.RequestEntries}
		go listing.Keep(f.ctx, b.SetEntries)
		time.Sleep(100 * time.Millisecond)
		state, certain := b.Query(f.ctx, "1")
		f.Check(state, qt.Equals, batch.Running)
		f.Check(certain, qt.IsTrue)
		_, certain = b.Query(f.ctx, "2")
		f.Check(certain, qt.IsTrue)
		state, certain = b.Cancel(f.ctx, "1")
		f.Check(state, qt.Equals, batch.Cancelled)
		f.Check(certain, qt.IsTrue)
	})
}

// unreadableStore is a store that rejects all reads.
type unreadableStore struct{ store.Store }

func (unreadableStore) Range(context.Context, string) ([]store.KV, int64, error) {
	return nil, 0, errors.New("503 Service Unavailable")
}

// Guards against an entry that never receives the list of entries because its only read of the store
// failed before the first guard was linked.
func TestEntryWithoutGuardAsksForTheListLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.entry("a")
		b := f.entry("b")
		b.RequestEntries()
		_, certain := b.Query(f.ctx, "1")
		f.Check(certain, qt.IsFalse)
		f.guard(newWorker(f, time.Minute), nil, "a", "b")
		time.Sleep(time.Second)
		_, certain = b.Query(f.ctx, "1")
		f.Check(certain, qt.IsTrue)
		f.kill("a") // listed by the guard, so it may still run the job
		_, certain = b.Query(f.ctx, "1")
		f.Check(certain, qt.IsFalse)
	})
}

// Guards against a job reported as nonexistent by an entry that the store lists alone, while an entry
// that the store turns away runs it.
func TestQueryReachesUnregisteredEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, a, b, _ := newUnlistedFleet(t)
		defer f.stop()
		go b.Submit(f.ctx, testJob("1", 2), 9*time.Second)
		time.Sleep(100 * time.Millisecond)
		a.SetEntries([]string{"a"})
		state, certain := a.Query(f.ctx, "1")
		f.Check(state, qt.Equals, batch.Running)
		f.Check(certain, qt.IsTrue)
		state, certain = a.Cancel(f.ctx, "1")
		f.Check(state, qt.Equals, batch.Cancelled)
		f.Check(certain, qt.IsTrue)
	})
}

// Guards against two concurrent runs of a job: a delayed request arrives at an entry that could not
// read the list of entries, while the job runs at another.
func TestDelayedRequestIsRefusedByEntryWithoutList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, a, b, w := newUnlistedFleet(t)
		defer f.stop()
		f.checkDelayedRequestIsRefused(a, b, w)
	})
}
