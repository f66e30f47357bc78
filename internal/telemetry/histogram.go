package telemetry

import (
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// bounds are the upper edges of a latency's buckets. Tasks run for 50 ms to
// some seconds and the path adds about a millisecond, so both ends are covered.
var bounds = [...]time.Duration{
	250 * time.Microsecond, 500 * time.Microsecond,
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2500 * time.Millisecond, 5 * time.Second,
	10 * time.Second, 30 * time.Second,
}

// bucketSample is a go-metrics Sample that counts values, in nanoseconds, into
// fixed buckets. The reservoirs that go-metrics offers take a lock on each
// update and cannot be added up over several processes; buckets need neither.
type bucketSample struct {
	metrics.NilSample // the statistics that need single values
	buckets           [len(bounds) + 1]atomic.Int64
	sum               atomic.Int64
}

// Update implements metrics.Sample.
func (s *bucketSample) Update(ns int64) {
	i := 0
	for i < len(bounds) && ns > int64(bounds[i]) {
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

// Sum implements metrics.Sample, in nanoseconds.
func (s *bucketSample) Sum() int64 { return s.sum.Load() }

// cumulative gives the number of values at or below each bound, and in total.
func (s *bucketSample) cumulative() (below [len(bounds)]int64, total int64) {
	for i := range below {
		total += s.buckets[i].Load()
		below[i] = total
	}
	return below, total + s.buckets[len(bounds)].Load()
}
