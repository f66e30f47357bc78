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

// BenchmarkIdle reports the CPU use, memory and store requests of an entry with one guard, and the
// CPU use and memory of that guard, while there are no jobs.
func BenchmarkIdle(b *testing.B) {
	tb := newTestbed(b)
	upstream := httptest.NewServer(http.HandlerFunc(echo))
	defer upstream.Close()
	guard, _ := tb.guard(b, upstream.URL)
	const window = wire.PingInterval
	for b.Loop() {
		time.Sleep(time.Second) // excludes the cost of the startup
		entry0, guard0, calls0 := tb.entry.cpuTime(b), guard.cpuTime(b), tb.storeCalls.Load()
		time.Sleep(window)
		corePercent := func(d time.Duration) float64 { return 100 * d.Seconds() / window.Seconds() }
		b.ReportMetric(corePercent(tb.entry.cpuTime(b)-entry0), "entry-core-%")
		b.ReportMetric(corePercent(guard.cpuTime(b)-guard0), "guard-core-%")
		b.ReportMetric(float64(tb.storeCalls.Load()-calls0)/window.Seconds(), "store-calls/s")
		b.ReportMetric(tb.entry.residentBytes(b)/1e6, "entry-RSS-MB")
		b.ReportMetric(guard.residentBytes(b)/1e6, "guard-RSS-MB")
	}
}

// Numbers of requests in BenchmarkOverhead. Requests are sent one at a time, so that the difference
// is the overhead of the path without queueing delay.
const (
	warmupRequests   = 300
	measuredRequests = 3000
)

const taskBody = `{"kind":"escort","flight":"LA2047"}`

// BenchmarkOverhead reports the latency of a direct call to the upstream, the latency of the same
// call through entry and guard, and the difference at each quantile.
func BenchmarkOverhead(b *testing.B) {
	tb := newTestbed(b)
	upstream := httptest.NewServer(http.HandlerFunc(echo))
	defer upstream.Close()
	guard, _ := tb.guard(b, upstream.URL)
	client := &http.Client{}
	for b.Loop() {
		direct := measureLatencies(b, client, func() *http.Request { return newDirectRequest(b, upstream.URL) })
		entry0, guard0 := tb.entry.cpuTime(b), guard.cpuTime(b)
		path := measureLatencies(b, client, func() *http.Request { return tb.newJobRequest(b, taskBody) })
		perTask := func(d time.Duration) float64 { return microseconds(d) / (warmupRequests + measuredRequests) }
		b.ReportMetric(perTask(tb.entry.cpuTime(b)-entry0), "entry-cpu-us/task")
		b.ReportMetric(perTask(guard.cpuTime(b)-guard0), "guard-cpu-us/task")
		for name, at := range map[string]int{"p50": measuredRequests / 2, "p99": measuredRequests * 99 / 100} {
			b.ReportMetric(microseconds(direct[at]), "direct-"+name+"-us")
			b.ReportMetric(microseconds(path[at]), "path-"+name+"-us")
			b.ReportMetric(microseconds(path[at]-direct[at]), "added-"+name+"-us")
		}
	}
}

// newDirectRequest returns a request that sends the task directly to the upstream.
func newDirectRequest(b *testing.B, url string) *http.Request {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(taskBody))
	if err != nil {
		b.Fatal(err)
	}
	return req
}

// measureLatencies sends requests one at a time and returns their latencies in ascending order,
// without those of the warm-up.
func measureLatencies(b *testing.B, client *http.Client, request func() *http.Request) []time.Duration {
	b.Helper()
	out := make([]time.Duration, 0, measuredRequests)
	for i := range warmupRequests + measuredRequests {
		req := request()
		began := time.Now()
		if err := sendRequest(client, req); err != nil {
			b.Fatal(err)
		}
		if i >= warmupRequests {
			out = append(out, time.Since(began))
		}
	}
	slices.Sort(out)
	return out
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// Numbers of jobs and of tasks per job in BenchmarkGuardFull: enough to fill the guard's record of
// task starts.
const (
	fillJobs        = 200
	fillTasksPerJob = 100
)

// BenchmarkGuardFull reports the resident memory of a guard whose stored task starts and results
// have reached their limits, and the CPU time per task.
func BenchmarkGuardFull(b *testing.B) {
	tb := newTestbed(b)
	upstream := httptest.NewServer(http.HandlerFunc(echo))
	defer upstream.Close()
	guard, _ := tb.guard(b, upstream.URL)
	client := &http.Client{}
	tasks := strings.Repeat(taskBody+",", fillTasksPerJob-1) + taskBody
	for b.Loop() {
		entry0, guard0 := tb.entry.cpuTime(b), guard.cpuTime(b)
		for range fillJobs {
			if err := sendRequest(client, tb.newJobRequest(b, tasks)); err != nil {
				b.Fatal(err)
			}
		}
		perTask := func(d time.Duration) float64 { return microseconds(d) / (fillJobs * fillTasksPerJob) }
		b.ReportMetric(perTask(tb.entry.cpuTime(b)-entry0), "entry-cpu-us/task")
		b.ReportMetric(perTask(guard.cpuTime(b)-guard0), "guard-cpu-us/task")
		b.ReportMetric(guard.residentBytes(b)/1e6, "guard-RSS-MB")
	}
}

// BenchmarkCapacity prints the report of package capacity for an entry in a separate
// process, so that the measured values include only the entry.
func BenchmarkCapacity(b *testing.B) {
	tb := newTestbed(b)
	for b.Loop() {
		o := capacity.Options{Target: tb.target(), Progress: os.Stderr}
		if err := capacity.Run(context.Background(), o, os.Stdout); err != nil {
			b.Fatal(err)
		}
	}
}
