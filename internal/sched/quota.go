package sched

import "time"

// Bucket is a token bucket of one team at one entry. Each entry holds its even
// part of the quota, so that no request costs a message: together the entries
// never admit more than the quota, except that a job larger than a full bucket
// is admitted when the bucket is full and paid back after.
type Bucket struct {
	tokens float64
	last   time.Time
}

// Take takes n tokens at rate a second, up to burst. When it may not, after
// tells when it may. A rate of 0 is no limit.
func (b *Bucket) Take(now time.Time, n, rate, burst float64) (ok bool, after time.Duration) {
	if rate <= 0 {
		return true, 0
	}
	burst = max(burst, 1)
	if b.last.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	need := min(n, burst)
	if b.tokens < need {
		return false, time.Duration((need - b.tokens) / rate * float64(time.Second))
	}
	b.tokens -= n
	return true, 0
}
