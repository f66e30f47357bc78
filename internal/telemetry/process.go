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

// registerProcess adds the figures of the process, read at each scrape.
func registerProcess(r metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("go_goroutines", r, func() int64 { return int64(runtime.NumGoroutine()) })
	metrics.NewRegisteredFunctionalGauge("go_heap_bytes", r, reader("/memory/classes/heap/objects:bytes"))
	metrics.NewRegisteredFunctionalGauge("go_heap_live_bytes", r, reader("/gc/heap/live:bytes"))
	metrics.NewRegisteredFunctionalGauge("go_stack_bytes", r, reader("/memory/classes/heap/stacks:bytes"))
	metrics.NewRegisteredFunctionalGauge("process_resident_memory_bytes", r, ResidentBytes)
	metrics.NewRegisteredFunctionalGaugeFloat64("process_cpu_seconds_total", r, func() float64 { return CPUTime().Seconds() })
	metrics.NewRegisteredFunctionalGauge("process_start_time_seconds", r, startTime.Unix)
}

// reader gives a function that reads one figure of the Go runtime. Unlike
// runtime.ReadMemStats it does not stop the process.
func reader(name string) func() int64 {
	return func() int64 {
		s := []runtimemetrics.Sample{{Name: name}}
		runtimemetrics.Read(s)
		if s[0].Value.Kind() != runtimemetrics.KindUint64 {
			return 0
		}
		return int64(s[0].Value.Uint64())
	}
}

// CPUTime gives the user and system processor time of this process.
func CPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// ResidentBytes gives the resident memory of this process, or 0 where the
// system does not tell it.
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
