package sched

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Shape of the learned run times.
const (
	runWindows  = 4   // windows that count; the oldest is dropped
	runWindow   = 500 // observations in a window
	runRefresh  = 50  // observations between two looks at the quantiles
	runKnown    = 20  // observations from which on they are trusted
	runMaxMs    = 10 * 60 * 1000
	runDigits   = 2
	quantileP10 = 10
	quantileP90 = 90
	quantileP99 = 99
)

// RunTimes learns how long the tasks of a service run. Declared run times are
// off by an order of magnitude either way; a dispatcher that believed them
// would refuse work that fits and accept work that cannot finish.
type RunTimes struct {
	hist  *hdrhistogram.WindowedHistogram
	count int

	// What was learned by the last refresh; zero before Known.
	P10, P90, P99, Mean time.Duration
}

// NewRunTimes returns a RunTimes that has learned nothing.
func NewRunTimes() *RunTimes {
	return &RunTimes{hist: hdrhistogram.NewWindowed(runWindows, 1, runMaxMs, runDigits)}
}

// Known tells whether enough runs were seen.
func (r *RunTimes) Known() bool { return r.Mean > 0 }

// Observe notes one run.
func (r *RunTimes) Observe(d time.Duration) {
	ms := min(max(d.Milliseconds(), 1), runMaxMs)
	if err := r.hist.Current.RecordValue(ms); err != nil {
		return // out of range, which min and max above exclude
	}
	r.count++
	if r.count%runRefresh == 0 || r.count == runKnown {
		r.refresh()
	}
	if r.count%runWindow == 0 {
		r.hist.Rotate()
	}
}

func (r *RunTimes) refresh() {
	m := r.hist.Merge()
	at := func(q float64) time.Duration { return time.Duration(m.ValueAtQuantile(q)) * time.Millisecond }
	r.P10, r.P90, r.P99 = at(quantileP10), at(quantileP90), at(quantileP99)
	r.Mean = time.Duration(m.Mean() * float64(time.Millisecond))
}

// Longest estimates the longest of n runs, with margin.
func (r *RunTimes) Longest(n int) time.Duration {
	if n > 1 {
		return r.P99
	}
	return r.P90
}
