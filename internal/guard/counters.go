package guard

import (
	"github.com/rcrowley/go-metrics"

	"wigeontray/internal/ledger"
	"wigeontray/internal/wire"
)

// guardMetrics holds the guard's counters. The counters of results, one for each
// error kind, are registered on first use by countResult.
type guardMetrics struct {
	registry        metrics.Registry
	tasksStarted    metrics.Counter
	linksOpened     metrics.Counter
	linkFailures    metrics.Counter
	linksSuperseded metrics.Counter
	unknownFrames   metrics.Counter
}

// newGuardMetrics registers the counters, and gauges that read stats.
func newGuardMetrics(r metrics.Registry, stats func() ledger.Stats) *guardMetrics {
	gauge := func(name string, read func(ledger.Stats) int64) {
		_ = r.Register(name, metrics.NewFunctionalGauge(func() int64 { return read(stats()) }))
	}
	gauge("guard.running", func(s ledger.Stats) int64 { return int64(s.Running) })
	gauge("guard.queued", func(s ledger.Stats) int64 { return int64(s.Queued) })
	gauge("guard.remembered", func(s ledger.Stats) int64 { return int64(s.Remembered) })
	gauge("guard.held_bytes", func(s ledger.Stats) int64 { return int64(s.HeldBytes) })
	gauge("guard.floor_ms", func(s ledger.Stats) int64 { return s.FloorMs })
	return &guardMetrics{
		registry:        r,
		tasksStarted:    metrics.GetOrRegisterCounter("guard.started", r),
		linksOpened:     metrics.GetOrRegisterCounter("guard.links_opened", r),
		linkFailures:    metrics.GetOrRegisterCounter("guard.link_failures", r),
		linksSuperseded: metrics.GetOrRegisterCounter("guard.links_superseded", r),
		unknownFrames:   metrics.GetOrRegisterCounter("guard.unknown_frames", r),
	}
}

// countResult counts a result when it is sent: in guard.refused.KIND if the task
// never runs on this upstream, in guard.result.KIND otherwise.
func (m *guardMetrics) countResult(r *wire.Result) {
	prefix := "guard.result."
	if isNotRun(r) {
		prefix = "guard.refused."
	}
	metrics.GetOrRegisterCounter(prefix+r.Kind.String(), m.registry).Inc(1)
}
