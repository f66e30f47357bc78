package telemetry

import (
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// bucketBounds are the upper bounds of the latency buckets. Tasks run for 50 ms to several
// seconds and the dispatch path adds about a millisecond, so the buckets cover both ranges.
var bucketBounds = [...]time.Duration{
	250 * time.Microsecond, 500 * time.Microsecond,
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2500 * time.Millisecond, 5 * time.Second,
	10 * time.Second, 30 * time.Second,
}

// bucketSample is a go-metrics Sample that counts values, in nanoseconds, in fixed buckets.
// The reservoir samples of go-metrics take a lock on each update and cannot be aggregated
// over several processes; buckets avoid both.
type bucketSample struct {
	metrics.NilSample // for the statistics that need individual values
	buckets           [len(bucketBounds) + 1]atomic.Int64
	sum               atomic.Int64
}

// Update implements metrics.Sample.
func (s *bucketSample) Update(ns int64) {
	i := 0
	for i < len(bucketBounds) && ns > int64(bucketBounds[i]) {
		i++
	}
	s.buckets[i].Add(1)
	s.sum.Add(ns)
}

// Count implements metrics.Sample.
func (s *bucketSample) Count() int64 {
	var n int64
	for i := range s.buckets {
		n += s.buckets[i].Load()
	}
	return n
}

// Sum implements metrics.Sample. The unit is nanoseconds.
func (s *bucketSample) Sum() int64 { return s.sum.Load() }

// cumulative returns the number of values at or below each bound, and the total.
func (s *bucketSample) cumulative() (counts [len(bucketBounds)]int64, total int64) {
	for i := range counts {
		total += s.buckets[i].Load()
		counts[i] = total
	}
	return counts, total + s.buckets[len(bucketBounds)].Load()
}
