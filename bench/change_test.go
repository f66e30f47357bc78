package bench

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/record"
	"wigeontray/internal/store"
	"wigeontray/internal/wire"
)

// guardsPerRegion is the number of guards in one region of the fleet in letter 1.
const guardsPerRegion = 410

// BenchmarkChange reports the frames and bytes that an entry sends to all guards of a region for
// one configuration change: of a member record, which affects no guard, and of the record
// of the guards' service.
func BenchmarkChange(b *testing.B) {
	tb := newTestbed(b)
	kv := store.NewEtcd(store.Options{Endpoints: []string{tb.store}, Timeout: time.Second})
	put := func(key, value string, expect int64) int64 {
		revision, err := kv.Put(context.Background(), key, []byte(value), expect, 0)
		if err != nil {
			b.Fatal(err)
		}
		waitForMetric(b, tb.admin, "wigeontray_config_revision", float64(revision))
		return revision
	}
	for _, r := range snapshotRecords() {
		put(r.Key, string(r.Value), 0)
	}
	var traffic wire.Traffic
	for i := range guardsPerRegion {
		tb.linkGuard(b, i, &traffic)
	}
	waitForMetric(b, tb.admin, "wigeontray_guards", guardsPerRegion)
	memberKey, serviceKey := record.Key(record.KindMember, "fresh"), record.Key(record.KindService, benchMember+"/"+benchService)
	revisions := map[string]int64{serviceKey: tb.serviceRevision}
	change := func(key, format string) (frames, bytes float64) {
		time.Sleep(settleDelay)
		frames0, bytes0 := traffic.FramesIn.Load(), traffic.BytesIn.Load()
		revisions[key] = put(key, fmt.Sprintf(format, revisions[key]), revisions[key])
		time.Sleep(settleDelay)
		return float64(traffic.FramesIn.Load() - frames0), float64(traffic.BytesIn.Load() - bytes0)
	}
	for b.Loop() {
		frames, bytes := change(memberKey, `{"kind":"member","name":"fresh","schema":1,"home_region":"region-%d"}`)
		b.ReportMetric(frames, "member-frames")
		b.ReportMetric(bytes, "member-B")
		frames, bytes = change(serviceKey, `{"kind":"service","name":"`+benchMember+"/"+benchService+`","schema":2,"path":"/at-%d"}`)
		b.ReportMetric(frames, "service-frames")
		b.ReportMetric(bytes, "service-B")
	}
}

// settleDelay is the time allowed for a change to reach all guards.
const settleDelay = 2 * time.Second

// linkGuard connects a simulated guard with number i, which only receives frames and acknowledges
// configurations.
func (tb *testbed) linkGuard(b *testing.B, i int, traffic *wire.Traffic) {
	b.Helper()
	l, err := wire.Dial(context.Background(), "ws://"+tb.inner+wire.GuardPath, http.DefaultClient, traffic)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close("benchmark ends") })
	worker := fmt.Sprintf("worker-%d", i)
	hello := &wire.Hello{
		Version: wire.Version, MinVersion: wire.MinVersion, Incarnation: identity.NewIncarnation(worker),
		Service: benchMember + "/" + benchService, Worker: worker, Slots: 8, Load: wire.Load{Seq: 1, Slots: 8, Healthy: true},
	}
	if err := l.Send(&wire.Frame{Hello: hello}); err != nil {
		b.Fatal(err)
	}
	go acknowledgeConfigs(l)
}

// acknowledgeConfigs acknowledges every configuration until the link ends.
func acknowledgeConfigs(l wire.Link) {
	for {
		f, err := l.Recv(context.Background())
		if err != nil {
			return
		}
		if f.Config != nil {
			_ = l.Send(&wire.Frame{ConfigAck: &wire.ConfigAck{Revision: f.Config.Revision}})
		}
	}
}
