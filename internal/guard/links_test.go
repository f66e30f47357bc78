package guard

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/wire"
)

// The link breaks while the upstream works on a booking. The guard links again
// by itself, and the entry sends the Start once more; the escort is booked once
// and the agent still gets the answer.
func TestAnswerSurvivesALostLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		s := task(`{"sleep_ms":1000}`)
		b.entry.send(t, &wire.Frame{Start: s})
		time.Sleep(990 * time.Millisecond)
		b.entry.newest().Close("cut")
		time.Sleep(2 * time.Second)
		qt.Assert(t, b.entry.results(), qt.HasLen, 0)
		b.entry.send(t, &wire.Frame{Start: s})
		synctest.Wait()
		b.entry.expect(t, served)
		qt.Assert(t, b.upstream.Starts(), qt.DeepEquals, map[string]int{TaskName(s.Ref): 1})
	})
}

// Two addresses lead to the same entry, as when a balancer's address stands in
// the settings. The newer link replaces the older, and a Start that is read
// late from the older must not run: the entry may have cancelled it since. If
// both were redialed at once, the entry would lose this worker again and again,
// and each time leave tasks in doubt.
func TestTwoAddressesOfOneEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, func(o *Options) { o.Entries = []string{"entry-a:1", "balancer:1"} })
		defer b.close()
		time.Sleep(time.Minute)
		qt.Assert(t, b.guard.count.linksOpened.Count(), qt.Equals, int64(2))
		qt.Assert(t, b.guard.linkCount(), qt.Equals, 1)
		older := &session{entry: home}
		qt.Assert(t, b.guard.receive(older, &wire.Frame{Start: task(`{}`)}), qt.IsFalse)
		b.entry.newest().Close("cut")
		time.Sleep(time.Minute)
		qt.Assert(t, b.guard.linkCount(), qt.Equals, 1)
		qt.Assert(t, b.upstream.Starts(), qt.HasLen, 0)
		qt.Assert(t, b.guard.count.linksOpened.Count() <= 4, qt.IsTrue)
	})
}

// A new entry joins a running fleet and stands in no guard's settings. It would
// get no workers if the other entries did not tell of it.
func TestLearnsOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		others := map[string]*fakeEntry{"entry-b:1": {name: "entry-b-1"}, "entry-c:1": {name: "entry-c-1"}}
		b := newBench(t, func(o *Options) {
			first := o.Dial
			o.Dial = func(ctx context.Context, addr string) (wire.Link, error) {
				if e := others[addr]; e != nil {
					return e.dial(ctx, addr)
				}
				return first(ctx, addr)
			}
		}, wire.EntryAddr{Incarnation: "entry-b-1", Inner: "entry-b:1"})
		defer b.close()
		joined := []wire.EntryAddr{{Incarnation: "entry-c-1", Inner: "entry-c:1"}}
		b.entry.send(t, &wire.Frame{Welcome: &wire.Welcome{Entries: joined}})
		synctest.Wait()
		qt.Assert(t, b.guard.linkCount(), qt.Equals, 3)
		for _, e := range others {
			qt.Assert(t, e.load().Healthy, qt.IsTrue)
		}
	})
}

// An entry is gone for good, and another one ends each link after its Welcome.
// The guard keeps trying, but more and more rarely, as a fleet of guards would
// otherwise flood them; an address that only an entry told of is given up.
func TestUnreachableEntryIsDialedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var gone, rude, learned atomic.Int64
		b := newBench(t, func(o *Options) {
			o.Entries = append(o.Entries, "rude:1")
			o.HealthEvery = time.Hour
			o.Dial = func(ctx context.Context, addr string) (wire.Link, error) {
				switch addr {
				case "rude:1":
					rude.Add(1)
					return (&fakeEntry{name: "entry-x-1", rude: true}).dial(ctx, addr)
				case "entry-b:1":
					learned.Add(1)
				default:
					gone.Add(1)
				}
				return nil, errors.New("no route")
			}
		})
		defer b.close()
		b.guard.mu.Lock()
		b.guard.learn([]wire.EntryAddr{{Incarnation: "entry-b-1", Inner: "entry-b:1"}})
		b.guard.mu.Unlock()
		time.Sleep(forgetAfter + time.Minute)
		before := learned.Load()
		time.Sleep(time.Hour)
		qt.Assert(t, learned.Load(), qt.Equals, before)
		for _, n := range []int64{gone.Load(), rude.Load()} { // in 71 minutes, every 2.5 to 5 s
			qt.Assert(t, n > 800 && n < 1800, qt.IsTrue, qt.Commentf("%d dials", n))
		}
	})
}

// An entry comes back from a store that answers from the past, or starts while
// the store is out. Operators were told that their change is in force; the
// guard must neither go back nor leave the entry behind.
func TestConfigurationNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		for _, revision := range []int64{7, 5, 9} {
			b.entry.send(t, &wire.Frame{Config: &wire.Config{Revision: revision, Snapshot: []byte{byte(revision)}}})
		}
		synctest.Wait()
		var acked []int64
		b.entry.each(func(f *wire.Frame) {
			if f.ConfigAck != nil {
				acked = append(acked, f.ConfigAck.Revision)
			}
		})
		qt.Assert(t, acked, qt.DeepEquals, []int64{7, 7, 9})

		b.entry.newest().Close("the entry restarts and knows nothing")
		time.Sleep(time.Second)
		var offered *wire.Config
		b.entry.each(func(f *wire.Frame) {
			if f.Config != nil {
				offered = f.Config
			}
		})
		qt.Assert(t, offered, qt.DeepEquals, &wire.Config{Revision: 9, Snapshot: []byte{9}})
		qt.Assert(t, b.entry.hello.Revision, qt.Equals, int64(9))
	})
}

// The upstream dies without a word, or answers its health check with an error
// because it is about to leave. Its entries must know within seconds, or they
// would keep feeding the worker that looks idle.
func TestSickUpstreamGetsNoWork(t *testing.T) {
	for name, fail := range map[string]func(*bench){
		"dead":    func(b *bench) { _ = b.server.Close() },
		"frozen":  func(b *bench) { b.net.freeze() },
		"leaving": func(b *bench) { b.upstream.SetHealthy(false) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, nil)
				defer b.close()
				qt.Assert(t, b.entry.load().Slots, qt.Equals, 2)
				fail(b)
				time.Sleep(4 * time.Second)
				load := b.entry.load()
				qt.Assert(t, []any{load.Slots, load.Healthy}, qt.DeepEquals, []any{0, false})
				b.entry.send(t, &wire.Frame{Start: task(`{}`)})
				synctest.Wait()
				b.entry.expect(t, "busy, ran no, 0")
			})
		})
	}
}

// The upstream's port refuses between two health checks. The first task that
// meets it must take the worker out at once, and not a second's worth of tasks
// after it.
func TestRefusedTaskTakesTheWorkerOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, func(o *Options) { o.HealthEvery = time.Hour })
		defer b.close()
		_ = b.server.Close()
		b.entry.send(t, &wire.Frame{Start: task(`{}`)})
		synctest.Wait()
		b.entry.expect(t, "upstream_failed, ran no, 0")
		qt.Assert(t, b.entry.load().Healthy, qt.IsFalse)
	})
}

// Whoever reaches the admin HTTP can take the worker out of service, so it must
// not listen where others reach it. A drain there is announced to entries, and
// the platform reads from /readyz that the worker is not ready.
func TestAdmin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		admin := b.guard.AdminHandler()
		call := func(method, path string) int {
			w := httptest.NewRecorder()
			admin.ServeHTTP(w, httptest.NewRequest(method, path, nil))
			return w.Code
		}
		qt.Assert(t, call("GET", "/readyz"), qt.Equals, http.StatusOK)
		qt.Assert(t, call("POST", "/drain"), qt.Equals, http.StatusAccepted)
		synctest.Wait()
		qt.Assert(t, b.entry.load().Draining, qt.IsTrue)
		qt.Assert(t, call("GET", "/readyz"), qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, call("GET", "/healthz"), qt.Equals, http.StatusOK)
	})
	opt := testOptions()
	opt.Admin = "0.0.0.0:0"
	g, err := New(opt)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, g.Run(t.Context()), qt.ErrorMatches, "admin address .*loopback.*")
}

// A wrong setting must be told at the start. A guard that came up with it would
// look fine and refuse or lose tasks later.
func TestOptionsAreChecked(t *testing.T) {
	for want, change := range map[string]func(*Options){
		".*service.*":        func(o *Options) { o.Service = "reserva" },
		".*worker.*":         func(o *Options) { o.Worker = "Worker 1" },
		".*connections 1.*":  func(o *Options) { o.Connections = 1 },
		".*largest answer.*": func(o *Options) { o.MaxAnswer = wire.MaxFrame },
		".*upstream.*":       func(o *Options) { o.Upstream = "https://127.0.0.1:1" },
	} {
		opt := testOptions()
		change(&opt)
		_, err := New(opt)
		qt.Check(t, err, qt.ErrorMatches, want)
	}
}
