package sched

import "time"

// RunTimeEstimator learns the ratio of actual to estimated run times. A
// caller's estimate is off by as much as half, but the estimates for one queue
// are off in the same way.
//
// It tracks medians. With means, a few seconds in which a fifth of a queue's
// tasks took twenty times as long made every job appear unable to meet its
// deadline: jobs were refused while workers were idle.
type RunTimeEstimator struct {
	medianRatio   float64 // median ratio of actual to estimated run time; 0 before the first run
	medianRunTime float64 // median actual run time in nanoseconds; 0 before the first run
}

// medianStep is the relative change of a median by one run: about 25 runs
// double it.
const medianStep = 0.03

// Observe records one run. An estimate of 0 means that there is none.
func (e *RunTimeEstimator) Observe(estimate, actual time.Duration) {
	e.medianRunTime = stepToward(e.medianRunTime, float64(actual))
	if estimate > 0 {
		e.medianRatio = stepToward(e.medianRatio, float64(actual)/float64(estimate))
	}
}

// stepToward moves a median by at most one step towards a value.
func stepToward(median, value float64) float64 {
	switch {
	case median == 0:
		return value
	case value > median:
		return min(value, median*(1+medianStep))
	}
	return max(value, median/(1+medianStep))
}

// ExpectedRunTime returns the expected run time for an estimate. If the
// estimate is 0, it returns the median run time, which is 0 before the first
// run.
func (e *RunTimeEstimator) ExpectedRunTime(estimate time.Duration) time.Duration {
	switch {
	case estimate <= 0:
		return time.Duration(e.medianRunTime)
	case e.medianRatio == 0:
		return estimate
	}
	return time.Duration(e.medianRatio * float64(estimate))
}
