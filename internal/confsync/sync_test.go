package confsync

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"wigeontray/internal/record"
	"wigeontray/internal/store"
	"wigeontray/internal/store/standin"
)

// maxPropagationDelay is the required limit for a change to be applied everywhere.
const maxPropagationDelay = 5 * time.Second

// fixture is one entry's Sync and the fake store server that it uses.
type fixture struct {
	*qt.C
	t      *testing.T
	server *standin.Server
	sync   *Sync
	// writer sends writes but does not watch the store, so that a fault only
	// shows during a call.
	writer  *Sync
	cancels []context.CancelFunc
}

// runWithStore runs test with a running Sync, in fake time.
func runWithStore(t *testing.T, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{C: qt.New(t), t: t, server: standin.New()}
		defer f.server.Close()
		f.sync, f.writer = f.startEntry(), New(Options{Store: f.newStoreClient()})
		test(f)
		for _, cancel := range f.cancels {
			cancel()
		}
	})
}

func (f *fixture) newStoreClient() *store.Etcd {
	return store.NewEtcd(store.Options{
		Endpoints: []string{"http://store"}, Timeout: time.Second, Transport: &standin.Transport{Handler: f.server},
	})
}

// startEntry runs one more entry's Sync on the store until the test ends.
func (f *fixture) startEntry() *Sync {
	s := New(Options{Store: f.newStoreClient()})
	ctx, cancel := context.WithCancel(f.t.Context())
	f.cancels = append(f.cancels, cancel)
	go func() { _ = s.Run(ctx) }()
	synctest.Wait()
	return s
}

func memberJSON(region string) []byte {
	return fmt.Appendf(nil, `{"kind":"member","name":"ayni","schema":1,"home_region":%q}`, region)
}

// writeMember writes the member ayni as another process would, with a client of its
// own, and returns the new revision.
func (f *fixture) writeMember(region string, expectedRevision int64) int64 {
	revision, err := f.newStoreClient().Put(f.t.Context(), record.Key(record.KindMember, "ayni"), memberJSON(region), expectedRevision, 0)
	f.Assert(err, qt.IsNil)
	synctest.Wait() // until the watch delivers the change
	return revision
}

// region returns ayni's region in the current snapshot of s; "" if there is none.
func region(s *Sync) string {
	if m, ok := s.Current().Member("ayni"); ok {
		return m.HomeRegion
	}
	return ""
}

func (f *fixture) counter(name string) int64 { return counter(f.sync, name) }

func counter(s *Sync, name string) int64 {
	return metrics.GetOrRegisterCounter("config."+name, s.opts.Registry).Count()
}

func TestChangesApplyImmediately(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		f.Assert(f.sync.Ready(), qt.IsTrue)
		changed, stop := f.sync.Subscribe()
		defer stop()
		revision := f.writeMember("lima", 0)
		synctest.Wait()
		f.Assert(region(f.sync), qt.Equals, "lima")
		f.Assert(f.sync.Revision(), qt.Equals, revision)
		<-changed
	})
}

// The store is down for an hour. The entry must keep its current configuration and
// apply later changes as soon as the store answers again.
func TestStoreOutageKeepsTheCurrentConfiguration(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		revision := f.writeMember("lima", 0)
		f.server.SetDown(true)
		time.Sleep(time.Hour)
		f.Assert(region(f.sync), qt.Equals, "lima")
		f.Assert(f.sync.IsStoreUp(), qt.IsFalse)
		f.server.SetDown(false)
		f.writeMember("cusco", revision)
		time.Sleep(maxPropagationDelay)
		f.Assert(region(f.sync), qt.Equals, "cusco")
		f.Assert(f.sync.IsStoreUp(), qt.IsTrue)
	})
}

// The store is alternately up and down for a second each, for ten minutes. Every
// change must still be applied within the limit, and with few calls: otherwise all
// entries together could keep the store from recovering.
func TestFlappingStore(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		revision := f.writeMember("lima", 0)
		for i := range 300 {
			f.server.SetDown(true)
			time.Sleep(time.Second)
			f.server.SetDown(false)
			name := fmt.Sprintf("region-%d", i)
			revision = f.writeMember(name, revision)
			time.Sleep(time.Second)
		}
		time.Sleep(maxPropagationDelay)
		f.Assert(region(f.sync), qt.Equals, "region-299")
		calls := f.server.Calls("/v3/kv/range") + f.server.Calls("/v3/watch")
		f.Assert(calls < 5*600, qt.IsTrue, qt.Commentf("%d calls in 600 s", calls))
	})
}

// An entry starts while the store is down. With an empty configuration it would
// reject every caller as unknown, and with an old one it would fall behind its
// peers. It must not be ready until it gets a snapshot from a peer.
func TestEntryStartedDuringAnOutage(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		first := f.writeMember("lima", 0)
		synctest.Wait()
		old, err := f.sync.Current().Encode()
		f.Assert(err, qt.IsNil)
		second := f.writeMember("cusco", first)
		synctest.Wait()
		f.server.SetDown(true)
		late := f.startEntry()
		time.Sleep(time.Minute)
		f.Assert(late.Ready(), qt.IsFalse)
		f.Assert(late.Current(), qt.IsNil)

		b, err := f.sync.Current().Encode()
		f.Assert(err, qt.IsNil)
		taken, err := late.Offer(b)
		f.Assert(err, qt.IsNil)
		f.Assert(taken, qt.IsTrue)
		<-late.ReadyC()
		f.Assert(late.Revision(), qt.Equals, second)
		f.Assert(region(late), qt.Equals, "cusco")
		taken, err = late.Offer(old)
		f.Assert(err, qt.IsNil)
		f.Assert(taken, qt.IsFalse)
		f.Assert(region(late), qt.Equals, "cusco")
	})
}

// A watch stays open but delivers nothing, as after the failure of the server
// behind a load balancer. Unless the entry checks for missed changes, it keeps
// using the old configuration indefinitely.
func TestStaleWatchIsDetected(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		first := f.writeMember("lima", 0)
		synctest.Wait()
		f.server.StallWatches(true)
		second := f.writeMember("cusco", first)
		time.Sleep(maxPropagationDelay)
		f.Assert(region(f.sync), qt.Equals, "cusco")
		f.Assert(f.counter("watch.stale"), qt.Equals, int64(1))
		_, err := f.newStoreClient().Delete(f.t.Context(), record.Key(record.KindMember, "ayni"), second)
		f.Assert(err, qt.IsNil)
		time.Sleep(maxPropagationDelay)
		f.Assert(region(f.sync), qt.Equals, "")
	})
}

// The store compacts its history while the entry is disconnected, so the watch
// cannot be resumed. The entry must read all records again; otherwise it would miss
// a deletion made in the meantime.
func TestCompactedWatchTriggersAFullRead(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		revision := f.writeMember("lima", 0)
		synctest.Wait()
		f.server.StallWatches(true)
		_, err := f.newStoreClient().Delete(f.t.Context(), record.Key(record.KindMember, "ayni"), revision)
		f.Assert(err, qt.IsNil)
		f.server.Compact()
		f.server.StallWatches(false)
		time.Sleep(time.Second)
		f.Assert(region(f.sync), qt.Equals, "")
		f.Assert(f.counter("watch.compacted"), qt.Equals, int64(1))
	})
}

// A lagging replica of the store answers with an old revision when the entry reads
// all records again. Applying it would revert changes that operators have made.
func TestOlderStoreRevisionIsRejected(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		first := f.writeMember("lima", 0)
		second := f.writeMember("cusco", first)
		synctest.Wait()
		f.server.ServeStaleReads(first)
		f.server.StallWatches(true)
		f.server.CloseWatches()
		time.Sleep(time.Minute)
		f.Assert(region(f.sync), qt.Equals, "cusco")
		f.Assert(f.counter("store.past") > 0, qt.IsTrue)
		f.server.ServeStaleReads(0)
		f.server.StallWatches(false)
		f.writeMember("tacna", second)
		time.Sleep(maxPropagationDelay)
		f.Assert(region(f.sync), qt.Equals, "tacna")
	})
}

// A peer sends a newer snapshot while this entry's watch lags. The watch then
// delivers changes that the snapshot already contains; the older value must not
// become current again, not even briefly.
func TestLaggingWatchDoesNotRevertAPeerSnapshot(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		first := f.writeMember("lima", 0)
		synctest.Wait()
		f.server.StallWatches(true)
		second := f.writeMember("cusco", first)
		third := f.writeMember("tacna", second)
		kvs, revision, err := f.newStoreClient().Range(f.t.Context(), store.RecordPrefix)
		f.Assert(err, qt.IsNil)
		f.Assert(revision, qt.Equals, third)
		peer := record.Build(nil, []record.Raw{{Key: kvs[0].Key, Value: kvs[0].Value, ModRevision: third}}, third)
		b, err := peer.Encode()
		f.Assert(err, qt.IsNil)
		_, err = f.sync.Offer(b)
		f.Assert(err, qt.IsNil)
		f.sync.applyBatch(store.Batch{Revision: second, Events: []store.Event{{KV: store.KV{
			Key: kvs[0].Key, Value: memberJSON("cusco"), ModRevision: second,
		}}}})
		f.Assert(region(f.sync), qt.Equals, "tacna")
		f.server.StallWatches(false)
		synctest.Wait()
		f.Assert(region(f.sync), qt.Equals, "tacna")
		f.Assert(f.sync.Revision(), qt.Equals, third)
	})
}

// The store holds a record whose schema only a newer version of the software can
// read. The version accepted before must stay in use. An entry that starts later
// and has never read that version must take it from a peer.
func TestRecordOfANewerSchemaKeepsTheLastAcceptedOne(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		first := f.writeMember("lima", 0)
		synctest.Wait()
		_, err := f.newStoreClient().Put(f.t.Context(), record.Key(record.KindMember, "ayni"),
			[]byte(`{"kind":"member","name":"ayni","schema":7,"shape":"round"}`), first, 0)
		f.Assert(err, qt.IsNil)
		synctest.Wait()
		f.Assert(region(f.sync), qt.Equals, "lima")
		rejected := f.sync.Current().Rejected()
		f.Assert(rejected, qt.HasLen, 1)
		f.Assert(rejected[0].TooNew, qt.IsTrue)
		f.Assert(rejected[0].FallbackRevision, qt.Equals, first)
		f.Assert(metrics.GetOrRegisterGauge("config.records_too_new", f.sync.opts.Registry).Value(), qt.Equals, int64(1))

		late := f.startEntry()
		f.Assert(region(late), qt.Equals, "")
		b, err := f.sync.Current().Encode()
		f.Assert(err, qt.IsNil)
		taken, err := late.Offer(b)
		f.Assert(err, qt.IsNil)
		f.Assert(taken, qt.IsTrue)
		f.Assert(region(late), qt.Equals, "lima")
		taken, _ = late.Offer(b)
		f.Assert(taken, qt.IsFalse)
	})
}

// Watches break every second although no record changes. Reading the same records
// again must not count as a new configuration: it would be sent to every guard.
func TestRereadingUnchangedRecordsDoesNotNotify(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		f.writeMember("lima", 0)
		synctest.Wait()
		changed, stop := f.sync.Subscribe()
		defer stop()
		for i := range 5 {
			_, err := f.newStoreClient().Put(f.t.Context(), store.EntryPrefix+fmt.Sprint(i), nil, 0, 0)
			f.Assert(err, qt.IsNil)
			f.server.CloseWatches()
			time.Sleep(time.Second)
		}
		f.Assert(changed, qt.HasLen, 0)
	})
}

// Every call to the store times out, but open watches still deliver. Changes must
// be applied, and the entry must not close the open watch.
func TestSlowStoreKeepsTheOpenWatch(t *testing.T) {
	runWithStore(t, func(f *fixture) {
		revision := f.writeMember("lima", 0)
		f.server.SetDelay(time.Minute)
		time.Sleep(10 * time.Minute)
		f.Assert(f.sync.IsStoreUp(), qt.IsFalse)
		f.server.SetDelay(0)
		f.writeMember("cusco", revision)
		f.Assert(region(f.sync), qt.Equals, "cusco")
		f.Assert(f.server.Calls("/v3/watch"), qt.Equals, 1)
	})
}

// One of two store endpoints lags for hours. An entry that kept using it would not
// apply any change in that time.
func TestLaggingEndpointIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		lagging, fresh := standin.New(), standin.New()
		defer lagging.Close()
		defer fresh.Close()
		hosts := http.NewServeMux()
		hosts.Handle("lagging/", lagging)
		hosts.Handle("fresh/", fresh)
		s := New(Options{Store: store.NewEtcd(store.Options{
			Endpoints: []string{"http://lagging", "http://fresh"}, Transport: &standin.Transport{Handler: hosts},
		})})
		writeRegion := func(server *standin.Server, region string) {
			e := store.NewEtcd(store.Options{Endpoints: []string{"http://x"}, Transport: &standin.Transport{Handler: server}})
			_, err := e.Put(t.Context(), record.Key(record.KindMember, "ayni"), memberJSON(region), server.Revision()/2*2, 0)
			c.Assert(err, qt.IsNil)
		}
		writeRegion(fresh, "lima")
		writeRegion(fresh, "cusco")
		peer := record.Build(nil, []record.Raw{{Key: record.Key(record.KindMember, "ayni"), Value: memberJSON("lima"), ModRevision: 2}}, 2)
		b, err := peer.Encode()
		c.Assert(err, qt.IsNil)
		_, err = s.Offer(b)
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = s.Run(ctx) }()
		time.Sleep(maxPropagationDelay)
		c.Assert(region(s), qt.Equals, "cusco")
	})
}
