package sched

import (
	"math"
	"time"
)

// TokenBucket limits the task starts of one team at one entry. Each entry holds
// an equal part of the team's quota, so that no request needs a message to
// another entry. Together the entries never admit more than the quota, with one
// exception: a job larger than a full bucket is admitted when the bucket is
// full, and the negative balance is paid back by later refills.
type TokenBucket struct {
	tokens     float64
	lastRefill time.Time
}

// Take removes n tokens from a bucket that refills at rate tokens per second up
// to burst. If too few are left, it removes none and retryAfter is the time
// until they are available. A rate of 0 means no limit.
func (b *TokenBucket) Take(now time.Time, n, rate, burst float64) (allowed bool, retryAfter time.Duration) {
	if rate <= 0 {
		return true, 0
	}
	if retryAfter := b.Wait(now, n, rate, burst); retryAfter > 0 {
		return false, retryAfter
	}
	b.tokens -= n
	return true, 0
}

// Charge removes n tokens although fewer may be left. It leaves a debt of at most one burst, unless the
// bucket had a larger one.
func (b *TokenBucket) Charge(n, burst float64) {
	b.tokens = max(b.tokens-n, min(b.tokens, -burst))
}

// Wait returns the time until Take would allow n tokens; 0 if it would now.
func (b *TokenBucket) Wait(now time.Time, n, rate, burst float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	burst = max(burst, 1)
	if b.lastRefill.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.lastRefill).Seconds())
	}
	b.lastRefill = now
	required := min(n, burst)
	if b.tokens < required {
		return time.Duration(math.Ceil((required - b.tokens) / rate * float64(time.Second)))
	}
	return 0
}
