package telemetry

import (
	"os"
	"runtime"
	runtimemetrics "runtime/metrics"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
)

var startTime = time.Now()

// registerProcessMetrics adds the metrics of the process, which are read at each scrape.
func registerProcessMetrics(r metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("go_goroutines", r, func() int64 { return int64(runtime.NumGoroutine()) })
	metrics.NewRegisteredFunctionalGauge("go_heap_bytes", r, runtimeMetric("/memory/classes/heap/objects:bytes"))
	metrics.NewRegisteredFunctionalGauge("go_heap_live_bytes", r, runtimeMetric("/gc/heap/live:bytes"))
	metrics.NewRegisteredFunctionalGauge("go_stack_bytes", r, runtimeMetric("/memory/classes/heap/stacks:bytes"))
	metrics.NewRegisteredFunctionalGauge("process_resident_memory_bytes", r, ResidentBytes)
	metrics.NewRegisteredFunctionalGaugeFloat64("process_cpu_seconds_total", r, func() float64 { return CPUTime().Seconds() })
	metrics.NewRegisteredFunctionalGauge("process_start_time_seconds", r, startTime.Unix)
}

// runtimeMetric returns a function that reads one metric of the Go runtime. Unlike
// runtime.ReadMemStats it does not stop the world.
func runtimeMetric(name string) func() int64 {
	return func() int64 {
		samples := []runtimemetrics.Sample{{Name: name}}
		runtimemetrics.Read(samples)
		if samples[0].Value.Kind() != runtimemetrics.KindUint64 {
			return 0
		}
		return int64(samples[0].Value.Uint64())
	}
}

// CPUTime returns the user and system CPU time of this process.
func CPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// ResidentBytes returns the resident memory of this process, or 0 if the system does not
// provide it.
func ResidentBytes() int64 {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b)) // total, resident, ... in pages
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
