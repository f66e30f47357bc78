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

// many is a number of guards well above holders.
const many = 3 * holders

// reconfigure puts a configuration in force at the entry and lets it go out.
func (b *bench) reconfigure(c fixedConfig) {
	*b.config = c
	b.s.configChanged()
	synctest.Wait()
}

// fleet links many guards and reads what they are sent on linking.
func (b *bench) fleet() []*wiretest.End {
	out := make([]*wiretest.End, many)
	for i := range out {
		out[i] = b.guard(fmt.Sprintf("guard-%d", i), 8)
		b.Assert(b.received(out[i]), qt.Equals, int64(7))
	}
	return out
}

// received reads the next frame and acknowledges the configuration in it; 0 if
// nothing waits.
func (b *bench) received(l *wiretest.End) int64 {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	f, err := l.Recv(ctx)
	if err != nil {
		return 0
	}
	b.Assert(f.Config, qt.IsNotNil)
	b.Assert(l.Send(&wire.Frame{ConfigAck: &wire.ConfigAck{Revision: f.Config.Revision}}), qt.IsNil)
	synctest.Wait()
	return f.Config.Revision
}

// holding lists the guards that were sent a revision.
func (b *bench) holding(guards []*wiretest.End, revision int64) []int {
	b.t.Helper()
	var out []int
	for i, g := range guards {
		if r := b.received(g); r != 0 {
			b.Assert(r, qt.Equals, revision)
			out = append(out, i)
		}
	}
	return out
}

// A change that concerns no guard goes to the few that keep the configuration.
// Were it sent to all, most of what an entry sends would be copies of it.
func TestChangeGoesToAFewGuards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		guards := b.fleet()
		b.Assert(b.s.status().Behind, qt.Equals, 0)
		b.reconfigure(fixedConfig{revision: 8})
		b.Assert(b.s.status().Behind, qt.Equals, holders)
		first := b.holding(guards, 8)
		b.Assert(first, qt.HasLen, holders)
		b.Assert(b.s.status().Behind, qt.Equals, 0)
		b.reconfigure(fixedConfig{revision: 9})
		b.Assert(b.holding(guards, 9), qt.DeepEquals, first)
	})
}

func TestChangeOfAServiceGoesToItsGuards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		guards := b.fleet()
		b.reconfigure(fixedConfig{revision: 8, own: "path"})
		b.Assert(b.s.status().Behind, qt.Equals, many)
		b.Assert(b.holding(guards, 8), qt.HasLen, many)
		b.Assert(b.s.status().Behind, qt.Equals, 0)
		b.reconfigure(fixedConfig{revision: 9, own: "path"})
		b.Assert(b.holding(guards, 9), qt.HasLen, holders)
	})
}

// The guards that keep the configuration are replaced one after the other, as
// workers are every day. If their places were not taken, the last copy of an
// accepted change would go with them, and an entry that starts in an outage of
// the store would revert it.
func TestPlacesOfLostHoldersAreTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		guards := b.fleet()
		b.reconfigure(fixedConfig{revision: 8})
		first := b.holding(guards, 8)
		for _, i := range first {
			guards[i].Close("replaced")
			synctest.Wait()
			b.Assert(b.holding(guards, 8), qt.HasLen, 1)
		}
	})
}

// The store is down and every entry has gone. A new entry comes up and only
// guards can tell it what was accepted; most of them have not been sent the last
// change. If the entry stayed at what those hold, members would see an accepted
// amendment reverted.
func TestEntryStartedInAnOutageFindsTheLastChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := standin.New()
		defer platform.Close()
		before := newSyncedBench(t, platform)
		before.amend("first")
		guards := make([]*wiretest.End, many)
		for i := range guards {
			guards[i] = before.guard(fmt.Sprintf("guard-%d", i), 8)
		}
		held := make([]*wire.Config, many)
		before.collect(guards, held)
		last := before.amend("second")
		before.collect(guards, held)
		platform.SetDown(true)
		before.s.Close()

		after := newSyncedBench(t, platform)
		after.Assert(after.s.config.Revision(), qt.Equals, int64(0))
		newest := 0
		for i, c := range held {
			if c.Revision == last {
				newest++
			}
			g := after.guard(fmt.Sprintf("guard-%d", i), 8)
			after.Assert(g.Send(&wire.Frame{Config: c}), qt.IsNil)
		}
		synctest.Wait()
		after.Assert(newest, qt.Equals, holders)
		after.Assert(after.s.config.Revision(), qt.Equals, last)
		m, ok := after.sync.Current().Member("ayni")
		after.Assert(ok, qt.IsTrue)
		after.Assert(m.HomeRegion, qt.Equals, "second")
		after.s.Close()
	})
}

// syncedBench is an entry whose configuration comes from a stand-in of the store.
type syncedBench struct {
	bench
	store    store.Store
	sync     *confsync.Sync
	revision int64 // of the member's record
}

func newSyncedBench(t *testing.T, platform *standin.Server) *syncedBench {
	kv := store.NewEtcd(store.Options{
		Endpoints: []string{"http://store"}, Timeout: time.Second, Transport: &standin.Transport{Handler: platform},
	})
	sealer, err := record.NewSealer("the key of all entries")
	qt.Assert(t, err, qt.IsNil)
	b := &syncedBench{store: kv, sync: confsync.New(confsync.Options{Store: kv, Sealer: sealer})}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = b.sync.Run(ctx) }()
	router := &soleRouter{id: "entry-a-000001", known: make(map[identity.Incarnation]bool)}
	s := New(Options{
		ID: router.id, Config: NewSyncedConfig(b.sync, "lima"), Router: router,
		Metrics: telemetry.New(), Log: log.New(io.Discard), FleetKey: "fleet",
	})
	router.ready = s.GuardReady
	t.Cleanup(s.Close)
	b.bench = bench{C: qt.New(t), t: t, s: s, router: router, handler: s.Handler()}
	synctest.Wait()
	return b
}

// amend writes the member's record and gives the revision that is then in force.
func (b *syncedBench) amend(region string) int64 {
	value := fmt.Appendf(nil, `{"kind":"member","name":"ayni","schema":1,"home_region":%q}`, region)
	revision, err := b.store.Put(b.t.Context(), record.Key(record.KindMember, "ayni"), value, b.revision, 0)
	b.Assert(err, qt.IsNil)
	b.revision = revision
	synctest.Wait()
	b.Assert(b.s.config.Revision(), qt.Equals, revision)
	return revision
}

// collect reads what each guard has been sent.
func (b *syncedBench) collect(guards []*wiretest.End, held []*wire.Config) {
	for i, g := range guards {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		for f, err := g.Recv(ctx); err == nil; f, err = g.Recv(ctx) {
			held[i] = f.Config
		}
		cancel()
	}
}
