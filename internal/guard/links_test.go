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
func TestResultIsResentAfterLinkLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, nil)
		defer env.close()
		start := newStart(`{"sleep_ms":1000}`)
		env.entry.send(t, &wire.Frame{Start: start})
		time.Sleep(990 * time.Millisecond)
		env.entry.newestLink().Close("cut")
		time.Sleep(2 * time.Second)
		qt.Assert(t, env.entry.results(), qt.HasLen, 0)
		env.entry.send(t, &wire.Frame{Start: start})
		synctest.Wait()
		env.entry.expectResults(t, okSummary)
		qt.Assert(t, env.upstream.Starts(), qt.DeepEquals, map[string]int{TaskName(start.Ref): 1})
	})
}

// Two addresses lead to the same entry, as when a balancer's address stands in
// the settings. The newer link replaces the older, and a Start that is read
// late from the older must not run: the entry may have cancelled it since. If
// both were redialed at once, the entry would lose this worker again and again,
// and each time leave tasks in doubt.
func TestDuplicateEntryAddressesKeepOneLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, func(o *Options) { o.Entries = []string{"entry-a:1", "balancer:1"} })
		defer env.close()
		time.Sleep(time.Minute)
		qt.Assert(t, env.guard.metrics.linksOpened.Count(), qt.Equals, int64(2))
		qt.Assert(t, env.guard.linkCount(), qt.Equals, 1)
		replaced := &session{entry: testEntry}
		qt.Assert(t, env.guard.handleIfCurrent(replaced, &wire.Frame{Start: newStart(`{}`)}), qt.IsFalse)
		env.entry.newestLink().Close("cut")
		time.Sleep(time.Minute)
		qt.Assert(t, env.guard.linkCount(), qt.Equals, 1)
		qt.Assert(t, env.upstream.Starts(), qt.HasLen, 0)
		qt.Assert(t, env.guard.metrics.linksOpened.Count() <= 4, qt.IsTrue)
	})
}

// A new entry joins a running fleet and stands in no guard's settings. It would
// get no workers if the other entries did not tell of it.
func TestGuardLinksToLearnedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		others := map[string]*fakeEntry{"entry-b:1": {incarnation: "entry-b-1"}, "entry-c:1": {incarnation: "entry-c-1"}}
		env := newTestEnv(t, func(o *Options) {
			dialDefault := o.Dial
			o.Dial = func(ctx context.Context, addr string) (wire.Link, error) {
				if e := others[addr]; e != nil {
					return e.dial(ctx, addr)
				}
				return dialDefault(ctx, addr)
			}
		}, wire.EntryAddr{Incarnation: "entry-b-1", Inner: "entry-b:1"})
		defer env.close()
		joined := []wire.EntryAddr{{Incarnation: "entry-c-1", Inner: "entry-c:1"}}
		env.entry.send(t, &wire.Frame{Welcome: &wire.Welcome{Entries: joined}})
		synctest.Wait()
		qt.Assert(t, env.guard.linkCount(), qt.Equals, 3)
		for _, e := range others {
			qt.Assert(t, e.load().Healthy, qt.IsTrue)
		}
	})
}

// An entry is gone for good, and another one ends each link after its Welcome.
// The guard keeps trying, but more and more rarely, as a fleet of guards would
// otherwise flood them; an address that only an entry told of is given up.
func TestUnreachableEntryDialsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var unreachable, closing, learned atomic.Int64
		env := newTestEnv(t, func(o *Options) {
			o.Entries = append(o.Entries, "rude:1")
			o.HealthEvery = time.Hour
			o.Dial = func(ctx context.Context, addr string) (wire.Link, error) {
				switch addr {
				case "rude:1":
					closing.Add(1)
					return (&fakeEntry{incarnation: "entry-x-1", closing: true}).dial(ctx, addr)
				case "entry-b:1":
					learned.Add(1)
				default:
					unreachable.Add(1)
				}
				return nil, errors.New("no route")
			}
		})
		defer env.close()
		env.guard.mu.Lock()
		env.guard.addLearnedEntries([]wire.EntryAddr{{Incarnation: "entry-b-1", Inner: "entry-b:1"}})
		env.guard.mu.Unlock()
		time.Sleep(learnedAddressTimeout + time.Minute)
		before := learned.Load()
		time.Sleep(time.Hour)
		qt.Assert(t, learned.Load(), qt.Equals, before)
		for _, n := range []int64{unreachable.Load(), closing.Load()} { // in 71 minutes, every 2.5 to 5 s
			qt.Assert(t, n > 800 && n < 1800, qt.IsTrue, qt.Commentf("%d dials", n))
		}
	})
}

// An entry comes back from a store that answers from the past, or starts while
// the store is out. Operators were told that their change is in force; the
// guard must neither go back nor leave the entry behind.
func TestOlderConfigIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, nil)
		defer env.close()
		for _, revision := range []int64{7, 5, 9} {
			env.entry.send(t, &wire.Frame{Config: &wire.Config{Revision: revision, Snapshot: []byte{byte(revision)}}})
		}
		synctest.Wait()
		var ackedRevisions []int64
		env.entry.visitFrames(func(f *wire.Frame) {
			if f.ConfigAck != nil {
				ackedRevisions = append(ackedRevisions, f.ConfigAck.Revision)
			}
		})
		qt.Assert(t, ackedRevisions, qt.DeepEquals, []int64{7, 7, 9})

		env.entry.newestLink().Close("the entry restarts and knows nothing")
		time.Sleep(time.Second)
		var sentConfig *wire.Config
		env.entry.visitFrames(func(f *wire.Frame) {
			if f.Config != nil {
				sentConfig = f.Config
			}
		})
		qt.Assert(t, sentConfig, qt.DeepEquals, &wire.Config{Revision: 9, Snapshot: []byte{9}})
		qt.Assert(t, env.entry.hello.Revision, qt.Equals, int64(9))
	})
}

// The upstream dies without a word, or answers its health check with an error
// because it is about to leave. Its entries must know within seconds, or they
// would keep feeding the worker that looks idle.
func TestUnhealthyUpstreamGetsNoTasks(t *testing.T) {
	for name, makeUnhealthy := range map[string]func(*testEnv){
		"dead":    func(env *testEnv) { _ = env.server.Close() },
		"frozen":  func(env *testEnv) { env.net.makeUnresponsive() },
		"leaving": func(env *testEnv) { env.upstream.SetHealthy(false) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, nil)
				defer env.close()
				qt.Assert(t, env.entry.load().Slots, qt.Equals, 2)
				makeUnhealthy(env)
				time.Sleep(4 * time.Second)
				load := env.entry.load()
				qt.Assert(t, []any{load.Slots, load.Healthy}, qt.DeepEquals, []any{0, false})
				env.entry.send(t, &wire.Frame{Start: newStart(`{}`)})
				synctest.Wait()
				env.entry.expectResults(t, "busy, ran no, 0")
			})
		})
	}
}

// The upstream's port refuses between two health checks. The first task that
// meets it must take the worker out at once, and not a second's worth of tasks
// after it.
func TestRefusedConnectionMarksUpstreamUnhealthy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, func(o *Options) { o.HealthEvery = time.Hour })
		defer env.close()
		_ = env.server.Close()
		env.entry.send(t, &wire.Frame{Start: newStart(`{}`)})
		synctest.Wait()
		env.entry.expectResults(t, "upstream_failed, ran no, 0")
		qt.Assert(t, env.entry.load().Healthy, qt.IsFalse)
	})
}

// Whoever reaches the admin HTTP can take the worker out of service, so it must
// not listen where others reach it. A drain there is announced to entries, and
// the platform reads from /readyz that the worker is not ready.
func TestAdminHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, nil)
		defer env.close()
		admin := env.guard.AdminHandler()
		call := func(method, path string) int {
			w := httptest.NewRecorder()
			admin.ServeHTTP(w, httptest.NewRequest(method, path, nil))
			return w.Code
		}
		qt.Assert(t, call("GET", "/readyz"), qt.Equals, http.StatusOK)
		qt.Assert(t, call("POST", "/drain"), qt.Equals, http.StatusAccepted)
		synctest.Wait()
		qt.Assert(t, env.entry.load().Draining, qt.IsTrue)
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
func TestNewRejectsInvalidOptions(t *testing.T) {
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
