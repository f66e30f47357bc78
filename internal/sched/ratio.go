package sched

import "time"

// RunTimeEstimator learns the ratio of actual to estimated run times. A caller's estimate
// is off by as much as half, but the estimates for one queue are off in the
// same way.
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
func (r *RunTimeEstimator) Observe(estimate, actual time.Duration) {
	r.medianRunTime = stepToward(r.medianRunTime, float64(actual))
	if estimate > 0 {
		r.medianRatio = stepToward(r.medianRatio, float64(actual)/float64(estimate))
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

// ExpectedRunTime returns the expected run time for an estimate, or the median run time
// if there is no estimate.
func (r *RunTimeEstimator) ExpectedRunTime(estimate time.Duration) time.Duration {
	switch {
	case estimate <= 0:
		return time.Duration(r.medianRunTime)
	case r.medianRatio == 0:
		return estimate
	}
	return time.Duration(r.medianRatio * float64(estimate))
}
