package sched

import (
	"math/rand/v2"
	"time"
)

// maxRetryTokens is the largest number of retries that a RetryBudget
// accumulates.
const maxRetryTokens = 20

// RetryBudget limits retries to a fraction of first starts. During an outage in
// which every guard refuses, unlimited retries would multiply the messages by
// the number of guards; with the budget they add at most that fraction.
type RetryBudget struct{ tokens float64 }

// NewRetryBudget returns a full budget.
func NewRetryBudget() RetryBudget { return RetryBudget{tokens: maxRetryTokens} }

// AddFirstStart adds the fraction of a retry that one first start allows.
func (b *RetryBudget) AddFirstStart(ratio float64) { b.tokens = min(maxRetryTokens, b.tokens+ratio) }

// TryTake consumes one retry and reports whether the budget allowed it.
func (b *RetryBudget) TryTake() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Limits of BackoffDelay.
const (
	minBackoffDelay = 5 * time.Millisecond
	maxBackoffDelay = 320 * time.Millisecond
)

// BackoffDelay returns a random delay before the given retry, counted from 1.
// It is uniform between half of an exponentially growing limit and the limit.
// Without the jitter, tasks that were refused together would be retried
// together.
func BackoffDelay(attempt int, rng *rand.Rand) time.Duration {
	limit := maxBackoffDelay
	if attempt < 7 {
		limit = min(maxBackoffDelay, minBackoffDelay<<max(0, attempt-1))
	}
	return limit/2 + time.Duration(rng.Int64N(int64(limit/2)))
}
