package bench

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"wigeontray/internal/capacity"
	"wigeontray/internal/wire"
)

// BenchmarkIdle reports what an entry with one guard, and that guard, cost
// while nothing is asked of them.
func BenchmarkIdle(b *testing.B) {
	s := newSite(b)
	upstream := httptest.NewServer(http.HandlerFunc(echo))
	defer upstream.Close()
	guard, _ := s.guard(b, upstream.URL)
	const window = wire.PingEvery
	for b.Loop() {
		time.Sleep(time.Second) // what starting took is over
		entry0, guard0, calls0 := s.entry.cpu(b), guard.cpu(b), s.storeCalls.Load()
		time.Sleep(window)
		share := func(d time.Duration) float64 { return 100 * d.Seconds() / window.Seconds() }
		b.ReportMetric(share(s.entry.cpu(b)-entry0), "entry-core-%")
		b.ReportMetric(share(guard.cpu(b)-guard0), "guard-core-%")
		b.ReportMetric(float64(s.storeCalls.Load()-calls0)/window.Seconds(), "store-calls/s")
		b.ReportMetric(s.entry.resident(b)/1e6, "entry-RSS-MB")
		b.ReportMetric(guard.resident(b)/1e6, "guard-RSS-MB")
	}
}

// Requests of BenchmarkOverhead. They go one after the other: the difference is
// what the path adds, not what queues add.
const (
	warmUp   = 300
	requests = 3000
)

const task = `{"kind":"escort","flight":"LA2047"}`

// BenchmarkOverhead reports the time of a direct call to the upstream, of the
// same call through entry and guard, and the difference of each quantile.
func BenchmarkOverhead(b *testing.B) {
	s := newSite(b)
	upstream := httptest.NewServer(http.HandlerFunc(echo))
	defer upstream.Close()
	guard, _ := s.guard(b, upstream.URL)
	client := &http.Client{}
	for b.Loop() {
		direct := times(b, client, func() *http.Request { return directCall(b, upstream.URL) })
		entry0, guard0 := s.entry.cpu(b), guard.cpu(b)
		path := times(b, client, func() *http.Request { return s.job(b, task) })
		each := func(d time.Duration) float64 { return micros(d) / (warmUp + requests) }
		b.ReportMetric(each(s.entry.cpu(b)-entry0), "entry-cpu-us/task")
		b.ReportMetric(each(guard.cpu(b)-guard0), "guard-cpu-us/task")
		for name, at := range map[string]int{"p50": requests / 2, "p99": requests * 99 / 100} {
			b.ReportMetric(micros(direct[at]), "direct-"+name+"-us")
			b.ReportMetric(micros(path[at]), "path-"+name+"-us")
			b.ReportMetric(micros(path[at]-direct[at]), "added-"+name+"-us")
		}
	}
}

func directCall(b *testing.B, url string) *http.Request {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(task))
	if err != nil {
		b.Fatal(err)
	}
	return req
}

// times sends requests one after the other and gives their times, sorted.
func times(b *testing.B, client *http.Client, request func() *http.Request) []time.Duration {
	b.Helper()
	out := make([]time.Duration, 0, requests)
	for i := range warmUp + requests {
		req := request()
		began := time.Now()
		if err := post(client, req); err != nil {
			b.Fatal(err)
		}
		if i >= warmUp {
			out = append(out, time.Since(began))
		}
	}
	slices.Sort(out)
	return out
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// Jobs of BenchmarkGuardFull: enough tasks to fill what a guard remembers.
const (
	fullJobs  = 200
	fullTasks = 100
)

// BenchmarkGuardFull reports the resident memory of a guard that remembers as
// many starts and holds as many results as it may, and what a task costs it.
func BenchmarkGuardFull(b *testing.B) {
	s := newSite(b)
	upstream := httptest.NewServer(http.HandlerFunc(echo))
	defer upstream.Close()
	guard, _ := s.guard(b, upstream.URL)
	client := &http.Client{}
	tasks := strings.Repeat(task+",", fullTasks-1) + task
	for b.Loop() {
		entry0, guard0 := s.entry.cpu(b), guard.cpu(b)
		for range fullJobs {
			if err := post(client, s.job(b, tasks)); err != nil {
				b.Fatal(err)
			}
		}
		each := func(d time.Duration) float64 { return micros(d) / (fullJobs * fullTasks) }
		b.ReportMetric(each(s.entry.cpu(b)-entry0), "entry-cpu-us/task")
		b.ReportMetric(each(guard.cpu(b)-guard0), "guard-cpu-us/task")
		b.ReportMetric(guard.resident(b)/1e6, "guard-RSS-MB")
	}
}

// BenchmarkCapacity prints the report of package capacity for an entry in a
// process of its own, so that its figures are the entry's alone.
func BenchmarkCapacity(b *testing.B) {
	s := newSite(b)
	for b.Loop() {
		o := capacity.Options{Target: s.target(), Progress: os.Stderr}
		if err := capacity.Run(context.Background(), o, os.Stdout); err != nil {
			b.Fatal(err)
		}
	}
}
