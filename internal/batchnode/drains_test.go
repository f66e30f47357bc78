package batchnode

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/runs"
	"wigeontray/internal/store"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// orderRecorder is an OrderHandler that records its calls.
type orderRecorder struct {
	drains  wire.Drains
	version int64
	unknown []string
	calls   []string // kinds of the calls, in order
}

func (o *orderRecorder) OfferConfig(version int64, _ []byte) error {
	o.version = version
	o.calls = append(o.calls, "configuration")
	return nil
}

func (o *orderRecorder) OfferDrains(d *wire.Drains) {
	o.drains = *d
	o.calls = append(o.calls, "drains")
}

func (o *orderRecorder) NoteUnknownOrder(key string) { o.unknown = append(o.unknown, key) }

// orderStore is a store that holds operator orders; its watch delivers the given batches.
type orderStore struct {
	store.Store
	kvs     []store.KV
	batches chan store.Batch
}

func (s *orderStore) Range(context.Context, string) ([]store.KV, int64, error) {
	return slices.Clone(s.kvs), 10, nil
}

func (s *orderStore) Watch(ctx context.Context, _ string, _ int64, out chan<- store.Batch) error {
	defer close(out)
	for {
		select {
		case batch := <-s.batches:
			out <- batch
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// follow starts a Source on the store and waits for the first orders.
func (s *orderStore) follow(ctx context.Context) (*orderRecorder, *telemetry.Registry) {
	recorder, metrics := new(orderRecorder), telemetry.New()
	source := Source{
		Store: s, Prefix: "op/", Key: "op/config", Drains: "op/drain/", Log: discardLogger(), Metrics: metrics,
		Version: func([]byte) (int64, error) { return 7, nil },
	}
	go source.Follow(ctx, recorder)
	synctest.Wait()
	return recorder, metrics
}

// Guards against drains that are missed, or that stay active after they were removed.
func TestSourceDeliversDrainChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &orderStore{batches: make(chan store.Batch), kvs: []store.KV{{Key: "op/config"}, {Key: "op/drain/b"}}}
		recorder, _ := s.follow(ctx)
		qt.Check(t, recorder.calls, qt.DeepEquals, []string{"drains", "configuration"})
		qt.Check(t, recorder.drains, qt.DeepEquals, wire.Drains{Revision: 10, Domains: []string{"b"}})
		s.batches <- store.Batch{Revision: 12, Events: []store.Event{{KV: store.KV{Key: "op/drain/a"}}}}
		synctest.Wait()
		qt.Check(t, recorder.drains, qt.DeepEquals, wire.Drains{Revision: 12, Domains: []string{"a", "b"}})
		s.batches <- store.Batch{Revision: 15, Events: []store.Event{
			{KV: store.KV{Key: "op/drain/a"}, Deleted: true}, {KV: store.KV{Key: "op/drain/b"}, Deleted: true}, {KV: store.KV{Key: "op/drain/a"}},
		}}
		synctest.Wait()
		qt.Check(t, recorder.drains, qt.DeepEquals, wire.Drains{Revision: 15, Domains: []string{"a"}})
	})
}

// Guards against unsupported orders that are ignored without a log line, and against failure
// domain names that are not printable.
func TestUnknownAndMalformedOrdersAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &orderStore{batches: make(chan store.Batch), kvs: []store.KV{
			{Key: "op/config"}, {Key: "op/drain/"}, {Key: "op/drain/a/b"}, {Key: "op/drain/a\nb"}, {Key: "op/drain/b"}, {Key: "op/upgrade/1"},
		}}
		recorder, metrics := s.follow(ctx)
		qt.Check(t, recorder.drains.Domains, qt.DeepEquals, []string{"b"})
		qt.Check(t, recorder.unknown, qt.DeepEquals, []string{"op/upgrade/1"})
		qt.Check(t, metrics.Count(telemetry.MalformedItems), qt.Equals, int64(3))
		qt.Check(t, recorder.version, qt.Equals, int64(7))
	})
}

// reportIn returns a report of the worker with the given failure domain.
func (w *worker) reportIn(domain string) *runs.Report {
	rep := w.report()
	rep.Domain = domain
	return rep
}

// Guards against an entry activating a configuration before it has received the drains.
func TestConfigIsNotAppliedBeforeDrainsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entryWithoutStore("a")
		f.Assert(e.OfferConfig(5, []byte("five")), qt.IsNil)
		f.Assert(e.OfferConfig(4, []byte("four")), qt.IsNil)
		f.Check(f.configVersion("a"), qt.Equals, int64(0))
		e.OfferDrains(&wire.Drains{Revision: 3})
		f.Check(f.configVersion("a"), qt.Equals, int64(5))
	})
}

// Guards against tasks being started in a drained failure domain for an entry that cannot read the
// store, and against a domain that stays unused after its drain was removed.
func TestDrainReachesEntryWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		a, b := f.entry("a"), f.entryWithoutStore("b")
		workers := make(map[string]*worker)
		for _, domain := range []string{"z1", "z2"} {
			w := newWorker(f, 50*time.Millisecond)
			workers[domain] = w
			f.guard(w, nil, "a", "b").HandleReport(w.reportIn(domain))
		}
		time.Sleep(time.Second)
		f.Assert(b.OfferConfig(5, []byte("five")), qt.IsNil)
		f.Check(f.configVersion("b"), qt.Equals, int64(5)) // a guard has sent the drains
		for i, drained := range []string{"z1", "z2"} {
			a.OfferDrains(&wire.Drains{Revision: int64(2 + i), Domains: []string{drained}})
			time.Sleep(time.Second)
			before := workers[drained].starts
			for n := range 8 {
				f.assertComplete(b.Submit(f.ctx, testJob(fmt.Sprintf("%s-%d", drained, n), 2), time.Second))
			}
			f.Check(workers[drained].starts, qt.Equals, before, qt.Commentf("%s", drained))
		}
		// An entry that joins later receives the drains before it can send tasks.
		status := b.Status()
		f.Check(status.Drains.Revision, qt.Equals, int64(3))
		f.Assert(status.Drains.Domains, qt.HasLen, 1)
		f.Check(status.Drains.Domains[0].Domain, qt.Equals, "z2")
		f.Check(status.Drains.Domains[0].Workers, qt.Equals, 1)
		f.Check(status.Workers, qt.Equals, 1)
		f.Check(f.guards[1].Status().Drained, qt.IsTrue)
		c := f.entryWithoutStore("c")
		for _, g := range f.guards {
			g.AddEntries([]string{"c"})
		}
		time.Sleep(time.Second)
		f.Assert(c.OfferConfig(5, []byte("five")), qt.IsNil)
		f.Check(f.configVersion("c"), qt.Equals, int64(5))
		before := workers["z2"].starts
		f.assertComplete(c.Submit(f.ctx, testJob("c-1", 4), time.Second))
		f.Check(workers["z2"].starts, qt.Equals, before)
	})
}

// Guards against a task being started in a drained failure domain for an entry that has not
// received the drain.
func TestGuardRefusesTasksOfEntryUnawareOfDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		a := f.entry("a")
		w := newWorker(f, 50*time.Millisecond)
		f.guard(w, nil, "a").HandleReport(w.reportIn("z1"))
		time.Sleep(time.Second)
		// The guard receives the drain before the entry, as if from another entry.
		g := f.guards[0]
		g.step(func(now time.Duration, m *runs.Machine) {
			m.SetDrains(now, &wire.Drains{Revision: 9, Domains: []string{"z1"}})
		})
		out := a.Submit(f.ctx, testJob("1", 2), time.Second)
		f.Assert(out.Err, qt.IsNotNil)
		f.Check(out.Err.Ran, qt.Equals, errkind.RanNo)
		f.Check(w.starts, qt.Equals, 0)
		g.step(func(now time.Duration, m *runs.Machine) { m.SetDrains(now, &wire.Drains{Revision: 10}) })
		time.Sleep(100 * time.Millisecond)
		f.assertComplete(a.Submit(f.ctx, testJob("2", 2), time.Second))
	})
}

// Guards against tasks being started in a drained failure domain after all processes restarted
// while the store is unavailable. The restarted guards have no drains either, so no task may be
// started until the drains arrive.
func TestNoTaskStartsBeforeDrainsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		e := f.entryWithoutStore("a")
		w := newWorker(f, 50*time.Millisecond)
		f.guard(w, nil, "a").HandleReport(w.reportIn("z1"))
		time.Sleep(5 * time.Second)
		f.Assert(e.OfferConfig(5, []byte("five")), qt.IsNil)
		f.Check(f.configVersion("a"), qt.Equals, int64(0))
		e.OfferDrains(&wire.Drains{Revision: 3, Domains: []string{"z1"}})
		f.Check(f.configVersion("a"), qt.Equals, int64(5))
		out := e.Submit(f.ctx, testJob("1", 1), time.Second)
		f.Assert(out.Err, qt.IsNotNil)
		f.Check(out.Err.Kind, qt.Equals, errkind.NoWorkers)
		f.Check(w.starts, qt.Equals, 0)
	})
}
