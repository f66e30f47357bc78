package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// paretoShape is the shape of the bounded Pareto distribution of run times. With
// bounds of 50 ms and 1 s, the mean is 147 ms and the median 90 ms.
const paretoShape = 1.1

// Usual mix of job sizes.
const (
	singleTaskShare  = 0.5 // share of jobs with one task
	smallJobShare    = 0.4 // share of jobs with 2 to maxSmallJobTasks tasks; the others are large
	maxSmallJobTasks = 8
	maxLargeJobTasks = 40
)

// meanTasksPerJob is the mean job size of the usual mix.
const meanTasksPerJob = singleTaskShare + smallJobShare*(2+maxSmallJobTasks)/2 + (1-singleTaskShare-smallJobShare)*(maxSmallJobTasks+1+maxLargeJobTasks)/2

// sampleRunTime returns a random run time from the bounded Pareto distribution.
func sampleRunTime(rng *rand.Rand, lo, hi time.Duration) time.Duration {
	if lo >= hi {
		return lo
	}
	r := math.Pow(float64(lo)/float64(hi), paretoShape)
	u := rng.Float64()
	return time.Duration(float64(lo) * math.Pow(1-u*(1-r), -1/paretoShape)).Round(time.Microsecond)
}

// meanRunTime returns the mean of sampleRunTime, in seconds.
func meanRunTime(lo, hi time.Duration) float64 {
	l, h := lo.Seconds(), hi.Seconds()
	if l >= h {
		return l
	}
	a := paretoShape
	la := math.Pow(l, a)
	return la / (1 - math.Pow(l/h, a)) * a / (a - 1) * (math.Pow(l, 1-a) - math.Pow(h, 1-a))
}

// sampleJobSize returns a random number of tasks, at most maxTasks if that is
// positive.
func sampleJobSize(rng *rand.Rand, maxTasks int) int {
	tasks, u := 1, rng.Float64()
	switch {
	case u < singleTaskShare:
	case u < singleTaskShare+smallJobShare:
		tasks = 2 + rng.IntN(maxSmallJobTasks-1)
	default:
		tasks = maxSmallJobTasks + 1 + rng.IntN(maxLargeJobTasks-maxSmallJobTasks)
	}
	if maxTasks > 0 {
		tasks = min(tasks, maxTasks)
	}
	return tasks
}

// maxDeclaredError is the maximum factor by which declared run times are too high or
// too low.
const maxDeclaredError = 8

// events returns the submissions of a load, with Poisson arrivals, entries chosen
// uniformly as by a load balancer, and inaccurate declared run times.
func (l *Load) events(index int, t *Trace) []Event {
	rng := rand.New(rand.NewPCG(l.Seed, uint64(index)))
	var slots int
	for _, w := range t.Workers {
		slots += w.Slots
	}
	meanTasks := meanTasksPerJob
	if l.MaxTasksPerJob == 1 {
		meanTasks = 1
	}
	jobsPerSecond := l.OfferedShare * float64(slots) / (meanTasks * meanRunTime(l.MinRunTime, l.MaxRunTime))
	var out []Event
	for at := l.Start; ; {
		at += time.Duration(rng.ExpFloat64() / jobsPerSecond * float64(time.Second))
		if at >= l.Start+l.Duration {
			return out
		}
		out = append(out, l.jobEvents(rng, t, at, fmt.Sprintf("load%d-%d", index, len(out)))...)
	}
}

// jobEvents returns the submission of a random job and its cancellation, if any.
func (l *Load) jobEvents(rng *rand.Rand, t *Trace, at time.Duration, name string) []Event {
	r := &Request{Job: name, Deadline: l.Deadline}
	if len(l.Teams) > 0 {
		r.Team = l.Teams[rng.IntN(len(l.Teams))]
	}
	for range sampleJobSize(rng, l.MaxTasksPerJob) {
		r.Tasks = append(r.Tasks, sampleRunTime(rng, l.MinRunTime, l.MaxRunTime))
	}
	r.Declared = time.Duration(float64(r.Tasks[0]) * math.Pow(maxDeclaredError, 2*rng.Float64()-1))
	entry := t.Entries[rng.IntN(len(t.Entries))].Name
	out := []Event{{At: at, Op: OpSubmit, Target: name, Other: entry, Request: r}}
	if rng.Float64() < l.CancelShare {
		out = append(out, Event{At: l.sampleCancelTime(at, rng), Op: OpCancel, Target: name, Other: entry})
	}
	return out
}

// sampleCancelTime returns the time at which a job is cancelled. With a
// CancelInterval, it is the end of the interval in which the job arrives, so that
// all its cancellations coincide; otherwise, it is random.
func (l *Load) sampleCancelTime(at time.Duration, rng *rand.Rand) time.Duration {
	if l.CancelInterval > 0 {
		return (at/l.CancelInterval + 1) * l.CancelInterval
	}
	return at + time.Duration(rng.Int64N(int64(l.MaxRunTime)))
}
