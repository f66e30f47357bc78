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

// regionGuards are the guards of one region of letter 1.
const regionGuards = 410

// BenchmarkChange reports what an entry with the guards of a region sends them
// for one change of the configuration: of a member's record, which concerns no
// guard, and of the record of the guards' service.
func BenchmarkChange(b *testing.B) {
	s := newSite(b)
	kv := store.NewEtcd(store.Options{Endpoints: []string{s.store}, Timeout: time.Second})
	put := func(key, value string, expect int64) int64 {
		revision, err := kv.Put(context.Background(), key, []byte(value), expect, 0)
		if err != nil {
			b.Fatal(err)
		}
		awaitFigure(b, s.admin, "wigeontray_config_revision", float64(revision))
		return revision
	}
	for _, r := range snapshotRecords() {
		put(r.Key, string(r.Value), 0)
	}
	var traffic wire.Traffic
	for i := range regionGuards {
		s.link(b, i, &traffic)
	}
	awaitFigure(b, s.admin, "wigeontray_guards", regionGuards)
	fresh, own := record.Key(record.KindMember, "fresh"), record.Key(record.KindService, member+"/"+service)
	revisions := map[string]int64{own: s.serviceRevision}
	change := func(key, format string) (frames, bytes float64) {
		time.Sleep(settle)
		frames0, bytes0 := traffic.FramesIn.Load(), traffic.BytesIn.Load()
		revisions[key] = put(key, fmt.Sprintf(format, revisions[key]), revisions[key])
		time.Sleep(settle)
		return float64(traffic.FramesIn.Load() - frames0), float64(traffic.BytesIn.Load() - bytes0)
	}
	for b.Loop() {
		frames, bytes := change(fresh, `{"kind":"member","name":"fresh","schema":1,"home_region":"region-%d"}`)
		b.ReportMetric(frames, "member-frames")
		b.ReportMetric(bytes, "member-B")
		frames, bytes = change(own, `{"kind":"service","name":"`+member+"/"+service+`","schema":2,"path":"/at-%d"}`)
		b.ReportMetric(frames, "service-frames")
		b.ReportMetric(bytes, "service-B")
	}
}

// settle lets a change reach all guards.
const settle = 2 * time.Second

// link links guard number i, which reads and acknowledges and does nothing else.
func (s *site) link(b *testing.B, i int, traffic *wire.Traffic) {
	b.Helper()
	l, err := wire.Dial(context.Background(), "ws://"+s.inner+wire.GuardPath, http.DefaultClient, traffic)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close("benchmark ends") })
	worker := fmt.Sprintf("worker-%d", i)
	hello := &wire.Hello{
		Version: wire.Version, MinVersion: wire.MinVersion, Incarnation: identity.NewIncarnation(worker),
		Service: member + "/" + service, Worker: worker, Slots: 8, Load: wire.Load{Seq: 1, Slots: 8, Healthy: true},
	}
	if err := l.Send(&wire.Frame{Hello: hello}); err != nil {
		b.Fatal(err)
	}
	go acknowledge(l)
}

func acknowledge(l wire.Link) {
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
