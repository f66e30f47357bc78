package dispatch

import "time"

// Weighting is the optimization goal of a policy.
type Weighting uint8

// Optimization goals, with the member that uses each.
const (
	PreferResponseTime Weighting = iota // shortest response time (Ayni)
	PreferFewMessages                   // fewest messages (Leeuwin)
)

// String returns the name of the weighting.
func (w Weighting) String() string { return [...]string{"response", "messages"}[w] }

// Placement is a method of choosing workers. All methods but DefaultPlacement
// exist only for comparison.
type Placement uint8

// Placement methods.
const (
	DefaultPlacement Placement = iota // used in production; see docs/decisions.md
	Random                            // any worker; its guard queues the task
	TwoChoices                        // of two random workers, the one with fewer tasks of this entry; its guard queues the task
	TwoChoicesLoad                    // of two random workers, the one with the lower reported load; its guard queues the task
	LeastKnownLoad                    // least reported load; the guard refuses the task as Busy if no slot is free
	LateBinding                       // only in response to offers
)

// String returns the name of the placement method.
func (p Placement) String() string {
	return [...]string{"chosen", "random", "two-choices", "two-choices-load", "least-known", "late-binding"}[p]
}

// Policy is the configuration of one service, resolved from the operators'
// records.
type Policy struct {
	Weighting Weighting
	Placement Placement
	// Entries is the number of entries that share the quotas; at least 1.
	Entries int
	// Domain is the failure domain of this entry.
	Domain string
	// MaxQueued limits the tasks waiting at this entry.
	MaxQueued int
	// Teams holds the quota of each team. A team that is not in the map has
	// no quota of its own.
	Teams map[string]Quota
	// RetryRatio is the number of retries allowed per first start (0.1 = 10%).
	RetryRatio float64
	// GracePeriod is how long tasks sent to a disconnected guard wait for it to
	// reconnect.
	GracePeriod time.Duration
}

// Quota limits one team over all entries.
type Quota struct {
	StartsPerSecond float64
	Burst           float64
	// Weight is the team's share of a contended queue; 0 counts as 1.
	Weight float64
}

// DefaultPolicy returns the policy used where no record sets another value.
func DefaultPolicy() Policy {
	return Policy{Entries: 1, MaxQueued: 50_000, RetryRatio: 0.2, GracePeriod: 2 * time.Second}
}
