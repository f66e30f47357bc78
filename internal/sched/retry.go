package sched

import (
	"math/rand/v2"
	"time"
)

// budgetBurst is how many retries a Budget saves up.
const budgetBurst = 20

// Budget bounds retries to a part of first starts. When every guard refuses,
// retries without a bound would multiply the messages of an outage by the
// number of guards; with it they add at most the ratio.
type Budget struct{ tokens float64 }

// NewBudget returns a full budget.
func NewBudget() Budget { return Budget{tokens: budgetBurst} }

// First notes a first start.
func (b *Budget) First(ratio float64) { b.tokens = min(budgetBurst, b.tokens+ratio) }

// Take tells whether one retry may be made, and counts it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Bounds of Backoff.
const (
	backoffBase = 5 * time.Millisecond
	backoffMost = 320 * time.Millisecond
)

// Backoff draws the wait before retry number n, counted from 1: evenly from
// half of an exponential bound to the bound. Without the jitter, tasks that
// were refused together would come back together.
func Backoff(n int, rng *rand.Rand) time.Duration {
	bound := backoffMost
	if n < 7 {
		bound = min(backoffMost, backoffBase<<max(0, n-1))
	}
	return bound/2 + time.Duration(rng.Int64N(int64(bound/2)))
}
