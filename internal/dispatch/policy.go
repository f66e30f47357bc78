package dispatch

import "time"

// Weighting is what a policy puts first.
type Weighting uint8

// Weightings.
const (
	WeighResponse Weighting = iota // response time first (Ayni)
	WeighMessages                  // fewest messages first (Leeuwin)
)

// String gives the weighting's word.
func (w Weighting) String() string { return [...]string{"response", "messages"}[w] }

// Placement is a way of choosing workers. All but Chosen are there to be
// measured against.
type Placement uint8

// Placements.
const (
	Chosen         Placement = iota // what the product uses; see docs/decisions.md
	Random                          // any worker; its guard queues
	TwoChoices                      // of two, the one with fewer tasks of this entry; its guard queues
	TwoChoicesLoad                  // of two, the one with the lower load by replies; its guard queues
	LeastKnown                      // least load by replies; refused Busy when full
	LateBinding                     // only on an offered slot
)

// String gives the placement's word.
func (p Placement) String() string {
	return [...]string{"chosen", "random", "two-choices", "two-choices-load", "least-known", "late-binding"}[p]
}

// Policy is what operators set for one service, already resolved from records.
type Policy struct {
	Weighting Weighting
	Placement Placement
	// Entries is how many entries share the quotas; at least 1.
	Entries int
	// Domain is the failure domain of this entry.
	Domain string
	// MaxQueued bounds waiting tasks at this entry.
	MaxQueued int
	// Teams holds quotas by team; a team that is missing has none of its own.
	Teams map[string]Quota
	// RetryRatio is how many retries are allowed per first start (0.1 = 10%).
	RetryRatio float64
	// Grace is how long a task in doubt waits for its guard's link to return.
	Grace time.Duration
}

// Quota bounds one team over the whole fleet.
type Quota struct {
	StartsPerSecond float64
	Burst           float64
	// Weight is the team's share of a contended queue; 0 counts as 1.
	Weight float64
}

// DefaultPolicy is in force where no record says otherwise.
func DefaultPolicy() Policy {
	return Policy{Entries: 1, MaxQueued: 50_000, RetryRatio: 0.2, Grace: 2 * time.Second}
}
