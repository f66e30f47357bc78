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

// listStore is a store that may be unavailable and that lists the addresses of entries.
type listStore struct {
	store.Store // nil; calls that the tests do not expect panic
	mu          sync.Mutex
	down        bool
	entries     []string
	calls       int
}

// set changes the store under its lock.
func (s *listStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *listStore) Range(context.Context, string) ([]store.KV, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, errors.New("store unavailable")
	}
	var out []store.KV
	for _, address := range s.entries {
		out = append(out, store.KV{Key: "e/" + address, Value: []byte(address)})
	}
	return out, 1, nil
}

// Grant fails and counts as a call: the tests grant leases only while the store is down.
func (s *listStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return 0, errors.New("store unavailable")
}

func (s *listStore) Watch(ctx context.Context, _ string, _ int64, out chan<- store.Batch) error {
	<-ctx.Done()
	close(out)
	return ctx.Err()
}

// followEntryList follows the orders and the list of entries as an entry does. knownAt returns when
// a list of the given length was first received, relative to the start.
func followEntryList(ctx context.Context, s *listStore) (knownAt func(entries int) time.Duration) {
	began, knownTimes := time.Now(), make(map[int]time.Duration)
	recovery := new(StoreRecovery)
	source := Source{Store: s, Prefix: "op/", Key: "op/config", Drains: "op/drain/", Log: discardLogger(), Metrics: telemetry.New(), Recovery: recovery}
	go source.Follow(ctx, new(orderRecorder))
	list := Listing{Store: s, Prefix: "e/", Log: discardLogger(), Metrics: telemetry.New(), Recovery: recovery}
	go list.Keep(ctx, func(addresses []string) {
		if _, ok := knownTimes[len(addresses)]; !ok {
			knownTimes[len(addresses)] = time.Since(began)
		}
	})
	return func(entries int) time.Duration { return knownTimes[entries] }
}

// Guards against entries that refuse every request for seconds after a store outage in which all
// processes were killed. An entry whose address is not configured at the guards has no guard
// until they read the list of entries, although it soon has the configuration.
func TestEntriesAreListedSoonAfterStoreRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const recoveryAt = 5 * time.Second
		ctx, cancel := context.WithCancel(t.Context())
		s := &listStore{down: true, entries: []string{"10.0.0.1:1", "10.0.0.2:1"}}
		knownAt := followEntryList(ctx, s)
		time.Sleep(recoveryAt)
		s.set(func() { s.down = false })
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		delay := knownAt(2) - recoveryAt
		qt.Check(t, delay > 0 && delay <= storeRetryDelay, qt.IsTrue, qt.Commentf("%v", delay))
	})
}

// Guards against a late second read of the list of entries. The registrations expired while the
// store was unavailable and are written again shortly after it is back; a list read before that is
// empty.
func TestEntriesRegisteredAfterStoreRecoveryAreListedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const recoveryAt = 5 * time.Second
		ctx, cancel := context.WithCancel(t.Context())
		s := &listStore{down: true}
		knownAt := followEntryList(ctx, s)
		time.Sleep(recoveryAt)
		s.set(func() { s.down = false })
		time.Sleep(storeRetryDelay + 50*time.Millisecond)
		s.set(func() { s.entries = []string{"10.0.0.1:1", "10.0.0.2:1"} })
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		delay := knownAt(2) - recoveryAt
		qt.Check(t, delay > 0 && delay <= 2*storeRetryDelay+50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", delay))
	})
}

// Guards against load on a store that turns entries away: each of them repeated three calls all the time,
// of which one is enough to notice that the store is reachable again.
func TestCallsToAnUnreachableStoreBecomeRare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage = 10 * time.Second
		ctx, cancel := context.WithCancel(t.Context())
		s := &listStore{down: true}
		followEntryList(ctx, s)
		go (&Registration{Store: s, Key: "e/1", Address: "10.0.0.1:1", Log: discardLogger(), Recovery: new(StoreRecovery)}).Keep(ctx)
		time.Sleep(outage)
		cancel()
		synctest.Wait()
		followed := int(outage / (storeRetryDelay / 2)) // at most, by Source.Follow
		qt.Check(t, s.calls < followed+followed/2, qt.IsTrue, qt.Commentf("%d calls", s.calls))
	})
}

// Guards against an entry that is found late because it registered after the first read of the
// list: entries that start together register one after the other.
func TestChangedEntryListIsReadAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &listStore{entries: []string{"10.0.0.1:1"}}
		knownAt := followEntryList(ctx, s)
		time.Sleep(100 * time.Millisecond)
		s.set(func() { s.entries = append(s.entries, "10.0.0.2:1") })
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		qt.Check(t, knownAt(2) > 0 && knownAt(2) <= storeRetryDelay, qt.IsTrue, qt.Commentf("%v", knownAt(2)))
	})
}

// Guards against an entry without workers after a network partition longer than
// dialGiveUpTimeout.
func TestGuardRediscoversEntryAfterGivingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.entry("a")
		w := newWorker(f, time.Second)
		f.guard(w, []string{"a", "b"}, "a", "b").HandleReport(w.report())
		time.Sleep(dialGiveUpTimeout + 10*time.Second) // no entry at "b" yet
		b := f.entry("b")
		time.Sleep(2 * lookupInterval)
		f.Assert(b.Workers(), qt.Equals, 1)
	})
}

// Guards against links saturated by the whole list of entries being sent at each change.
func TestGuardsReceiveOnlyNewEntryAddresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entry("a")
		guard := f.linkAsGuard(e, "g", wire.Version)
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

// Guards against store calls that grow with the number of entries: each entry's watch call counts.
func TestWatchCallsGrowMoreSlowlyThanEntries(t *testing.T) {
	callsPerSecond := func(entries int) float64 { return float64(entries) / watchWaitFor(entries).Seconds() }
	qt.Check(t, callsPerSecond(16) <= callsPerSecond(4), qt.IsTrue)
	qt.Check(t, callsPerSecond(400) <= 400/(4*MinWatchWait.Seconds()), qt.IsTrue)
	qt.Check(t, watchWaitFor(1), qt.Equals, MinWatchWait)
}
