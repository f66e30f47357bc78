package guard

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/sample"
	"wigeontray/internal/wire"
)

// Stops a guard while large results are being sent over real sockets, with and
// without TLS. Frames that are unsent when a link closes are lost, and their
// callers would get "outcome unknown" although the upstream finished the task.
func TestStopFlushesLargeResults(t *testing.T) {
	for _, useTLS := range []bool{false, true} {
		entry := &fakeEntry{incarnation: testEntryID}
		opt := socketOptions(t, entry, useTLS)
		g, err := New(opt)
		qt.Assert(t, err, qt.IsNil)
		runErr := make(chan error, 1)
		go func() { runErr <- g.Run(context.Background()) }()
		waitUntil(t, func() bool { return entry.load().Healthy })
		for range opt.Slots {
			entry.send(t, &wire.Frame{Start: newStart(`{"sleep_ms":2000,"echo":"` + strings.Repeat("x", 1<<20) + `"}`)})
		}
		waitUntil(t, func() bool { return g.Stats().Running == opt.Slots })
		qt.Assert(t, g.Stop(context.Background()), qt.IsNil)
		qt.Assert(t, <-runErr, qt.IsNil)
		waitUntil(t, func() bool { return len(entry.results()) == opt.Slots })
		for _, r := range entry.results() {
			qt.Check(t, summaries(r), qt.DeepEquals, []string{okSummary})
			qt.Check(t, len(r.Body) > 1<<20, qt.IsTrue)
		}
		qt.Assert(t, entry.load().Draining, qt.IsTrue)
	}
}

// socketOptions serves an entry and a sample upstream on loopback, and returns
// the options of a guard for them.
func socketOptions(t testing.TB, entry *fakeEntry, useTLS bool) Options {
	inner := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		link, err := wire.Accept(w, r, nil)
		if qt.Check(t, err, qt.IsNil) {
			entry.serve(link)
		}
	}))
	opt := testOptions()
	if useTLS {
		inner.StartTLS()
		opt.TLS = inner.Client().Transport.(*http.Transport).TLSClientConfig
	} else {
		inner.Start()
	}
	upstream := httptest.NewServer(sample.New("w1", 1))
	t.Cleanup(inner.Close)
	t.Cleanup(upstream.Close)
	opt.Entries, opt.Upstream, opt.Slots = []string{inner.Listener.Addr().String()}, upstream.URL, 8
	return opt
}

// waitUntil polls condition on the real clock for up to 10 s; synctest does not
// support sockets.
func waitUntil(t testing.TB, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("condition not met within 10 s"))
	}
}

// Runs a task with each fault of the sample upstream. The result must state
// whether the task ran, and the slot must be free afterwards.
func TestUpstreamFaultsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, nil)
		defer env.close()
		for _, fault := range []sample.Fault{sample.FaultFail, sample.FaultHalf, sample.FaultClose, sample.FaultHang} {
			env.entry.send(t, &wire.Frame{Start: newStart(`{"fault":"` + string(fault) + `"}`)})
			time.Sleep(6 * time.Second)
		}
		env.entry.expectResults(t, "upstream_failed, ran yes, 500", "upstream_partial, ran yes, 0",
			"upstream_failed, ran unknown, 0", "timed_out, ran unknown, 0")
		qt.Assert(t, env.guard.Stats().Running, qt.Equals, 0)
	})
}

// Closes the link repeatedly during a burst of tasks, while the entry keeps
// resending every Start without a result. Once the link stays open, every task
// must get a result, and no task may run twice.
func TestRepeatedResendsRunEachTaskOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, nil)
		defer env.close()
		unanswered := map[wire.Ref]*wire.Start{}
		for range 100 {
			start := newStart(`{"exp_ms":20}`)
			start.WaitMs = 4000
			unanswered[start.Ref] = start
		}
		for round := range 40 {
			for _, start := range unanswered {
				env.entry.send(t, &wire.Frame{Start: start})
				env.entry.send(t, &wire.Frame{Start: start})
			}
			time.Sleep(100 * time.Millisecond)
			if round < 20 {
				old := env.entry.newestLink()
				for old.Close("cut"); env.entry.newestLink() == old; {
					time.Sleep(10 * time.Millisecond)
				}
			}
			for _, r := range env.entry.results() {
				delete(unanswered, r.Ref)
			}
		}
		qt.Assert(t, unanswered, qt.HasLen, 0)
		qt.Assert(t, env.upstream.RepeatedTasks(), qt.HasLen, 0)
		qt.Assert(t, len(env.upstream.StartCounts()) > 50 && env.upstream.MaxConcurrency() == 2, qt.IsTrue)
	})
}
