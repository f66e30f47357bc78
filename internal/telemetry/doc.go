// Package telemetry provides the metrics of a process and its logger: counters, gauges and
// latency histograms on go-metrics, their exposition in the Prometheus text format, and
// metrics of the process itself.
//
// The sets of counters, gauges, latencies and retry reasons are closed, so that the
// documentation can describe each of them and a test can compare the documentation with the
// code. Counting takes no lock and does not allocate.
//
// The package may import errkind, and nothing else of the project.
package telemetry

// Version is the version of both binaries. A build can set it with
// -ldflags "-X wigeontray/internal/telemetry.Version=...".
var Version = "0.1.0"
