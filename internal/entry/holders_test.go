package entry

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"wigeontray/internal/confsync"
	"wigeontray/internal/identity"
	"wigeontray/internal/record"
	"wigeontray/internal/store"
	"wigeontray/internal/store/standin"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
	"wigeontray/internal/wire/wiretest"
)

// fleetSize is a number of guards well above configReplicas.
const fleetSize = 3 * configReplicas

// applyConfig changes the configuration of the entry and waits until it has been
// sent.
func (e *testEntry) applyConfig(c fakeConfig) {
	*e.config = c
	e.server.configChanged()
	synctest.Wait()
}

// linkFleet links fleetSize guards and reads the configuration that each receives.
func (e *testEntry) linkFleet() []*wiretest.End {
	out := make([]*wiretest.End, fleetSize)
	for i := range out {
		out[i] = e.linkGuard(fmt.Sprintf("guard-%d", i), 8)
		e.Assert(e.ackNextConfig(out[i]), qt.Equals, int64(7))
	}
	return out
}

// ackNextConfig reads and acknowledges the next configuration, and returns its
// revision, or 0 if no frame is waiting.
func (e *testEntry) ackNextConfig(l *wiretest.End) int64 {
	e.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	f, err := l.Recv(ctx)
	if err != nil {
		return 0
	}
	e.Assert(f.Config, qt.IsNotNil)
	e.Assert(l.Send(&wire.Frame{ConfigAck: &wire.ConfigAck{Revision: f.Config.Revision}}), qt.IsNil)
	synctest.Wait()
	return f.Config.Revision
}

// guardsThatReceived returns the indexes of the guards that were sent a revision.
func (e *testEntry) guardsThatReceived(guards []*wiretest.End, revision int64) []int {
	e.t.Helper()
	var out []int
	for i, g := range guards {
		if r := e.ackNextConfig(g); r != 0 {
			e.Assert(r, qt.Equals, revision)
			out = append(out, i)
		}
	}
	return out
}

// Protects against sending a change that concerns no guard to all of them: it must
// go to the replicas only, or most of an entry's traffic would be copies of the
// configuration.
func TestConfigChangeGoesToReplicasOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		guards := e.linkFleet()
		e.Assert(e.server.status().GuardsBehind, qt.Equals, 0)
		e.applyConfig(fakeConfig{revision: 8})
		e.Assert(e.server.status().GuardsBehind, qt.Equals, configReplicas)
		replicas := e.guardsThatReceived(guards, 8)
		e.Assert(replicas, qt.HasLen, configReplicas)
		e.Assert(e.server.status().GuardsBehind, qt.Equals, 0)
		e.applyConfig(fakeConfig{revision: 9})
		e.Assert(e.guardsThatReceived(guards, 9), qt.DeepEquals, replicas)
	})
}

func TestServiceChangeGoesToItsGuards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		guards := e.linkFleet()
		e.applyConfig(fakeConfig{revision: 8, serviceRecord: "path"})
		e.Assert(e.server.status().GuardsBehind, qt.Equals, fleetSize)
		e.Assert(e.guardsThatReceived(guards, 8), qt.HasLen, fleetSize)
		e.Assert(e.server.status().GuardsBehind, qt.Equals, 0)
		e.applyConfig(fakeConfig{revision: 9, serviceRecord: "path"})
		e.Assert(e.guardsThatReceived(guards, 9), qt.HasLen, configReplicas)
	})
}

// Protects against losing the last copy of an accepted change: the replicas are
// replaced one after the other, as workers are every day. Without new replicas, an
// entry that starts while the store is down would revert the change.
func TestLostConfigReplicasAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		guards := e.linkFleet()
		e.applyConfig(fakeConfig{revision: 8})
		replicas := e.guardsThatReceived(guards, 8)
		for _, i := range replicas {
			guards[i].Close("replaced")
			synctest.Wait()
			e.Assert(e.guardsThatReceived(guards, 8), qt.HasLen, 1)
		}
	})
}

// Protects against reverting an accepted change when all entries are replaced while
// the store is down: a new entry gets its configuration only from guards, and most
// of them were not sent the last change.
func TestEntryStartedDuringStoreOutageRecoversLatestConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		storeServer := standin.New()
		defer storeServer.Close()
		before := newSyncedTestEntry(t, storeServer)
		before.putMember("first")
		guards := make([]*wiretest.End, fleetSize)
		for i := range guards {
			guards[i] = before.linkGuard(fmt.Sprintf("guard-%d", i), 8)
		}
		configs := make([]*wire.Config, fleetSize)
		before.readConfigs(guards, configs)
		latestRevision := before.putMember("second")
		before.readConfigs(guards, configs)
		storeServer.SetDown(true)
		before.server.Close()

		after := newSyncedTestEntry(t, storeServer)
		after.Assert(after.server.config.Revision(), qt.Equals, int64(0))
		upToDate := 0
		for i, c := range configs {
			if c.Revision == latestRevision {
				upToDate++
			}
			g := after.linkGuard(fmt.Sprintf("guard-%d", i), 8)
			after.Assert(g.Send(&wire.Frame{Config: c}), qt.IsNil)
		}
		synctest.Wait()
		after.Assert(upToDate, qt.Equals, configReplicas)
		after.Assert(after.server.config.Revision(), qt.Equals, latestRevision)
		m, ok := after.sync.Current().Member("ayni")
		after.Assert(ok, qt.IsTrue)
		after.Assert(m.HomeRegion, qt.Equals, "second")
		after.server.Close()
	})
}

// syncedTestEntry is a test entry with a configuration from a simulated store.
type syncedTestEntry struct {
	testEntry
	store    store.Store
	sync     *confsync.Sync
	revision int64 // revision of the member's record
}

func newSyncedTestEntry(t *testing.T, storeServer *standin.Server) *syncedTestEntry {
	kv := store.NewEtcd(store.Options{
		Endpoints: []string{"http://store"}, Timeout: time.Second, Transport: &standin.Transport{Handler: storeServer},
	})
	sealer, err := record.NewSealer("the key of all entries")
	qt.Assert(t, err, qt.IsNil)
	e := &syncedTestEntry{store: kv, sync: confsync.New(confsync.Options{Store: kv, Sealer: sealer})}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = e.sync.Run(ctx) }()
	router := &fakeRouter{id: "entry-a-000001", announced: make(map[identity.Incarnation]bool)}
	server := New(Options{
		ID: router.id, Config: NewSyncedConfig(e.sync, "lima"), Router: router,
		Metrics: telemetry.New(), Log: log.New(io.Discard), FleetKey: "fleet",
	})
	router.onReady = server.GuardReady
	t.Cleanup(server.Close)
	e.testEntry = testEntry{C: qt.New(t), t: t, server: server, router: router, handler: server.Handler()}
	synctest.Wait()
	return e
}

// putMember writes the member's record and returns the revision that is then in
// force.
func (e *syncedTestEntry) putMember(region string) int64 {
	value := fmt.Appendf(nil, `{"kind":"member","name":"ayni","schema":1,"home_region":%q}`, region)
	revision, err := e.store.Put(e.t.Context(), record.Key(record.KindMember, "ayni"), value, e.revision, 0)
	e.Assert(err, qt.IsNil)
	e.revision = revision
	synctest.Wait()
	e.Assert(e.server.config.Revision(), qt.Equals, revision)
	return revision
}

// readConfigs stores the latest configuration sent to each guard in latest.
func (e *syncedTestEntry) readConfigs(guards []*wiretest.End, latest []*wire.Config) {
	for i, g := range guards {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		for f, err := g.Recv(ctx); err == nil; f, err = g.Recv(ctx) {
			latest[i] = f.Config
		}
		cancel()
	}
}
