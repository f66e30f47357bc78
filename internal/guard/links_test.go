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

// Closes the link while a task is running. After the guard has reconnected and
// the entry has resent the Start, the result must arrive and the task must have
// run once.
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
		qt.Assert(t, env.upstream.StartCounts(), qt.DeepEquals, map[string]int{TaskName(start.Ref): 1})
	})
}

// Guards against repeated loss of a worker by an entry with two addresses, such as a load balancer's,
// each time with tasks of unknown outcome, if both are redialed at once. The newer link replaces
// the older; a Start read late from the older must not run, as it may have been cancelled since.
func TestDuplicateEntryAddressesKeepOneLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, func(o *Options) { o.Entries = []string{"entry-a:1", "balancer:1"} })
		defer env.close()
		time.Sleep(time.Minute)
		qt.Assert(t, env.guard.metrics.linksOpened.Count(), qt.Equals, int64(2))
		qt.Assert(t, env.guard.linkCount(), qt.Equals, 1)
		replaced := &session{entry: testEntryID}
		qt.Assert(t, env.guard.handleIfCurrent(replaced, &wire.Frame{Start: newStart(`{}`)}), qt.IsFalse)
		env.entry.newestLink().Close("cut")
		time.Sleep(time.Minute)
		qt.Assert(t, env.guard.linkCount(), qt.Equals, 1)
		qt.Assert(t, env.upstream.StartCounts(), qt.HasLen, 0)
		qt.Assert(t, env.guard.metrics.linksOpened.Count() <= 4, qt.IsTrue)
	})
}

// Announces new entries, in a Welcome of the handshake and in a later one. An
// entry that joins a running fleet is in no guard's settings and would get no
// workers if guards ignored the addresses that other entries send.
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

// Guards against a fleet of guards that floods entries with connections. The guard must back off from
// an unreachable entry and from one that closes each link after its Welcome, and must drop an
// unreachable address that it learned from an entry.
func TestUnreachableEntryDialsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var unreachable, closing, learned atomic.Int64
		env := newTestEnv(t, func(o *Options) {
			o.Entries = append(o.Entries, "rude:1")
			o.HealthInterval = time.Hour
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
		for _, n := range []int64{unreachable.Load(), closing.Load()} { // one dial every 2.5 to 5 s for 71 minutes
			qt.Assert(t, n > 800 && n < 1800, qt.IsTrue, qt.Commentf("%d dials", n))
		}
	})
}

// Guards against reverting a change that operators saw accepted. An entry whose store serves stale
// reads sends an older configuration; one that starts while the store is unavailable has none,
// and must get the newest from the guard.
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

// Makes the upstream refuse connections, hang, or fail its health check as it
// does before a shutdown. The guard must report this to its entries within
// seconds, or they would keep sending tasks to a worker that looks idle.
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

// Makes the upstream refuse connections between two health checks. The first
// task that fails to connect must mark it unhealthy at once. Otherwise all tasks
// until the next health check, about a second's worth, would fail as well.
func TestRefusedConnectionMarksUpstreamUnhealthy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, func(o *Options) { o.HealthInterval = time.Hour })
		defer env.close()
		_ = env.server.Close()
		env.entry.send(t, &wire.Frame{Start: newStart(`{}`)})
		synctest.Wait()
		env.entry.expectResults(t, "upstream_failed, ran no, 0")
		qt.Assert(t, env.entry.load().Healthy, qt.IsFalse)
	})
}

// Guards against a drain by the admin endpoint that is not announced to entries or leaves /readyz
// reporting ready. Any client of the admin endpoints can take the worker out of service, so they
// must be served on loopback only.
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

// Checks that New rejects invalid options. A guard that started with them would
// appear healthy, and refuse or lose tasks later.
func TestNewRejectsInvalidOptions(t *testing.T) {
	for want, change := range map[string]func(*Options){
		".*service.*":               func(o *Options) { o.Service = "reserva" },
		".*worker.*":                func(o *Options) { o.Worker = "Worker 1" },
		".*connections 1.*":         func(o *Options) { o.Connections = 1 },
		".*maximum response size.*": func(o *Options) { o.MaxResponseBytes = wire.MaxFrame },
		".*upstream.*":              func(o *Options) { o.Upstream = "https://127.0.0.1:1" },
	} {
		opt := testOptions()
		change(&opt)
		_, err := New(opt)
		qt.Check(t, err, qt.ErrorMatches, want)
	}
}
