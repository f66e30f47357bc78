// Package telemetry owns what a process tells about itself: counters, gauges
// and latencies on go-metrics, their exposition in the Prometheus text format,
// figures of the process, and the logger.
//
// The lists of counters, gauges, latencies and retry reasons are closed, so
// that a page can give the meaning of each and a test can compare page and
// code. Counting takes no lock and allocates nothing.
//
// The package may import errkind, and nothing else of the project.
package telemetry

// Version is the version of both binaries. A build may set it with
// -ldflags "-X wigeontray/internal/telemetry.Version=...".
var Version = "0.1.0"
