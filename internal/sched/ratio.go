package sched

import "time"

// Ratio learns how run times compare with their callers' estimates. An estimate
// is off by as much as half, but the callers of one queue are off alike.
type Ratio struct {
	ratio float64       // actual by estimated; 0 before the first run
	mean  time.Duration // of actual run times
}

// ratioWeight is the weight of a new run: about 50 runs are remembered.
const ratioWeight = 0.02

// Observe notes a run.
func (r *Ratio) Observe(estimate, actual time.Duration) {
	if r.mean == 0 {
		r.mean = actual
	}
	r.mean += time.Duration(ratioWeight * float64(actual-r.mean))
	if estimate <= 0 {
		return
	}
	q := float64(actual) / float64(estimate)
	if r.ratio == 0 {
		r.ratio = q
	}
	r.ratio += ratioWeight * (q - r.ratio)
}

// Expect gives the run time that an estimate stands for; without an estimate,
// the mean of the runs.
func (r *Ratio) Expect(estimate time.Duration) time.Duration {
	switch {
	case estimate <= 0:
		return r.mean
	case r.ratio == 0:
		return estimate
	}
	return time.Duration(r.ratio * float64(estimate))
}
