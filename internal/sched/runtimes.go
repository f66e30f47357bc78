package sched

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of RunTimeStats.
const (
	runTimeWindows      = 4              // windows in the histogram; the oldest is dropped
	runTimeWindowSize   = 500            // observations per window
	runTimeRefreshCount = 50             // observations between two updates of the estimates
	minRunTimeCount     = 20             // observations before the first estimates
	maxRunTimeMs        = 10 * 60 * 1000 // upper end of the histogram
	runTimeDigits       = 2              // significant digits that the histogram keeps
	quantileP10         = 10
	quantileP90         = 90
	quantileP99         = 99
)

// RunTimeStats learns the run times of a service's tasks. Declared run times
// are off by an order of magnitude either way; a dispatcher that relied on them
// would refuse work that fits and accept work that cannot finish in time.
type RunTimeStats struct {
	histogram *hdrhistogram.WindowedHistogram
	count     int

	// Estimates as of the latest update; zero until HasEstimate reports true.
	P10, P90, P99, Mean time.Duration
}

// NewRunTimeStats returns a RunTimeStats without observations.
func NewRunTimeStats() *RunTimeStats {
	return &RunTimeStats{histogram: hdrhistogram.NewWindowed(runTimeWindows, 1, maxRunTimeMs, runTimeDigits)}
}

// HasEstimate reports whether enough runs have been observed.
func (r *RunTimeStats) HasEstimate() bool { return r.Mean > 0 }

// Observe records the run time of one task.
func (r *RunTimeStats) Observe(d time.Duration) {
	ms := min(max(d.Milliseconds(), 1), maxRunTimeMs)
	if err := r.histogram.Current.RecordValue(ms); err != nil {
		return // out of range, which the clamping above excludes
	}
	r.count++
	if r.count%runTimeRefreshCount == 0 || r.count == minRunTimeCount {
		r.refresh()
	}
	if r.count%runTimeWindowSize == 0 {
		r.histogram.Rotate()
	}
}

func (r *RunTimeStats) refresh() {
	merged := r.histogram.Merge()
	quantile := func(q float64) time.Duration { return time.Duration(merged.ValueAtQuantile(q)) * time.Millisecond }
	r.P10, r.P90, r.P99 = quantile(quantileP10), quantile(quantileP90), quantile(quantileP99)
	r.Mean = time.Duration(merged.Mean() * float64(time.Millisecond))
}

// EstimateLongest returns a conservative estimate of the longest of n run
// times.
func (r *RunTimeStats) EstimateLongest(n int) time.Duration {
	if n > 1 {
		return r.P99
	}
	return r.P90
}
