package batchnode

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/wire"

	"wigeontray/internal/store"
	"wigeontray/internal/telemetry"
)

// listStore is a store that may be down, with the addresses of some entries.
type listStore struct {
	store.Store // calls that are not expected here fail
	mu          sync.Mutex
	down        bool
	entries     []string
}

func (s *listStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *listStore) Range(context.Context, string) ([]store.KV, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, errors.New("no answer")
	}
	var out []store.KV
	for _, address := range s.entries {
		out = append(out, store.KV{Key: "e/" + address, Value: []byte(address)})
	}
	return out, 1, nil
}

func (s *listStore) Watch(ctx context.Context, _ string, _ int64, out chan<- store.Batch) error {
	<-ctx.Done()
	close(out)
	return ctx.Err()
}

// keepList follows the configuration and the list of entries as an entry does, and gives
// when each number of entries was first known.
func keepList(ctx context.Context, s *listStore) (knownAt func(entries int) time.Duration) {
	began, known := time.Now(), make(map[int]time.Duration)
	returns := new(StoreReturns)
	source := Source{Store: s, Prefix: "op/", Key: "op/config", Drains: "op/drain/", Log: quiet(), Metrics: telemetry.New(), Returns: returns}
	go source.Follow(ctx, new(takenOrders))
	list := Listing{Store: s, Prefix: "e/", Log: quiet(), Metrics: telemetry.New(), Returns: returns}
	go list.Keep(ctx, func(addresses []string) {
		if _, ok := known[len(addresses)]; !ok {
			known[len(addresses)] = time.Since(began)
		}
	})
	return func(entries int) time.Duration { return known[entries] }
}

// All processes were killed while the store was away. When it returns, each entry has the
// configuration within a moment, but those whose addresses guards are not set up with have
// no guard until the list of entries is read: for seconds they refuse every request.
func TestEntriesAreListedSoonAfterTheStoreReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const back = 5 * time.Second
		ctx, end := context.WithCancel(t.Context())
		s := &listStore{down: true, entries: []string{"10.0.0.1:1", "10.0.0.2:1"}}
		knownAt := keepList(ctx, s)
		time.Sleep(back)
		s.set(func() { s.down = false })
		time.Sleep(10 * time.Second)
		end()
		synctest.Wait()
		took := knownAt(2) - back
		qt.Check(t, took > 0 && took <= storePause, qt.IsTrue, qt.Commentf("%v", took))
	})
}

// The registrations lapsed while the store was away, and are written again a moment after
// its return. A list that was read in that moment is empty.
func TestEntriesThatRegisterAfterTheStoreReturnsAreListedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const back = 5 * time.Second
		ctx, end := context.WithCancel(t.Context())
		s := &listStore{down: true}
		knownAt := keepList(ctx, s)
		time.Sleep(back)
		s.set(func() { s.down = false })
		time.Sleep(storePause + 50*time.Millisecond)
		s.set(func() { s.entries = []string{"10.0.0.1:1", "10.0.0.2:1"} })
		time.Sleep(10 * time.Second)
		end()
		synctest.Wait()
		took := knownAt(2) - back
		qt.Check(t, took > 0 && took <= 2*storePause+50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
	})
}

// Entries that start together register one after the other. One that was not in the first
// list is found with the next, a moment later.
func TestListThatHasJustChangedIsReadAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		s := &listStore{entries: []string{"10.0.0.1:1"}}
		knownAt := keepList(ctx, s)
		time.Sleep(100 * time.Millisecond)
		s.set(func() { s.entries = append(s.entries, "10.0.0.2:1") })
		time.Sleep(10 * time.Second)
		end()
		synctest.Wait()
		qt.Check(t, knownAt(2) > 0 && knownAt(2) <= storePause, qt.IsTrue, qt.Commentf("%v", knownAt(2)))
	})
}

// Guards against an entry without a worker after a cut that outlasts forgetAfter.
func TestGuardFindsAnEntryAgainThatItHadGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.entry("a")
		w := newWorker(f, time.Second)
		f.guard(w, []string{"a", "b"}, "a", "b").Heard(w.report())
		time.Sleep(forgetAfter + 10*time.Second) // nobody listens at "b"
		b := f.entry("b")
		time.Sleep(2 * lookupEvery)
		f.Assert(b.Workers(), qt.Equals, 1)
	})
}

// Guards against links filled with the whole list of entries at each change.
func TestGuardsAreToldOfNewEntriesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		guard := f.link(e, "g", wire.Version)
		next := func() *wire.Frame {
			frame, err := guard.Recv(f.ctx)
			f.Assert(err, qt.IsNil)
			return frame
		}
		f.Assert(next().RunWelcome.Entries, qt.DeepEquals, []string{"a"})
		f.Assert(next().Drains.Revision, qt.Equals, int64(1))
		e.SetEntries([]string{"a", "b"})
		f.Check(next().Entries.Addresses, qt.DeepEquals, []string{"b"})
		e.SetEntries([]string{"a"})
		e.SetEntries([]string{"a", "b", "c"})
		f.Check(next().Entries.Addresses, qt.DeepEquals, []string{"b", "c"})
	})
}
