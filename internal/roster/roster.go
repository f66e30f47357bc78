// Package roster decides which entry may start a plain identity. It owns the
// history of rosters that lies under one key of the platform's store, the
// promises between entries that extend the last roster in time, and the rules
// for appending to the history. docs/start-at-most-once.md has the argument.
//
// It is a state machine under an explicit clock: no goroutine, socket or lock.
// Package peers feeds it what happens and carries out the actions it returns.
// Only the published View may be read from other goroutines.
//
// The Members of a roster are entries; an argument called member is the member
// of the consortium that an identity belongs to.
//
// The rules, each between numbers and none between clocks:
//
//   - A birth belongs to the last version whose FromMs is not above it.
//   - In a closed version (one that has a successor) its owner may start it.
//   - In the last version its owner may start it below the least of the members'
//     promises and the ceiling.
//   - A member's promise under a version says that no roster which this member
//     appends next begins below it. While an append is unsettled, the member
//     promises nothing beyond that append's beginning.
//   - An entry outside the roster appends only from the ceiling on.
//
// The package may import errkind, identity and wire.
package roster

import (
	"math"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Default timing. See Options.
const (
	DefaultPeriod       = time.Second
	DefaultHorizon      = 5 * time.Second
	DefaultJoinLead     = 20 * time.Second
	DefaultLead         = time.Hour
	DefaultRenew        = 5 * time.Minute
	DefaultRetry        = time.Second
	DefaultTakeover     = 10 * time.Second
	DefaultRankDelay    = 500 * time.Millisecond
	DefaultRetention    = time.Hour
	maxVersions         = 256
	retryAfter          = time.Second
	maxEstimatedWait    = time.Minute
	resignedPromiseMs   = int64(math.MaxInt64)
	noPromiseLimit      = int64(math.MaxInt64)
	joinRetryMultiplier = 3 // retries of the store before another member is asked
)

// Options are the timing of a machine; zero fields take the defaults.
type Options struct {
	// Period is how often a member repeats its promise.
	Period time.Duration
	// Horizon is how far ahead of its clock a member promises. A plain identity
	// born by a caller's clock that runs further ahead has to wait. After the
	// death of a member it takes up to Horizon until a roster without it begins.
	Horizon time.Duration
	// JoinLead is how far ahead a roster begins that only adds members. If the
	// store goes down before it answered, the appender can promise up to that
	// beginning and no further, so a long lead bridges a short outage.
	JoinLead time.Duration
	// Lead is how far ahead the ceiling is written. Plain identities are served
	// through a store outage of Lead minus Renew at least; after the loss of all
	// entries at once, they are refused for Lead at most.
	Lead time.Duration
	// Renew is how old a ceiling may get before a member raises it.
	Renew time.Duration
	// Retry is the pause after a store call that failed.
	Retry time.Duration
	// Takeover is how long all members must be suspected before an entry that is
	// not one of them appends a roster.
	Takeover time.Duration
	// RankDelay keeps the members from all writing the same change at once.
	RankDelay time.Duration
	// Retention is how long versions are kept after their end.
	Retention time.Duration
}

func (o Options) withDefaults() Options {
	defaults := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.Period, DefaultPeriod}, {&o.Horizon, DefaultHorizon}, {&o.JoinLead, DefaultJoinLead},
		{&o.Lead, DefaultLead}, {&o.Renew, DefaultRenew}, {&o.Retry, DefaultRetry},
		{&o.Takeover, DefaultTakeover}, {&o.RankDelay, DefaultRankDelay}, {&o.Retention, DefaultRetention},
	}
	for _, d := range defaults {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	o.Renew = min(o.Renew, o.Lead/2) // or a short ceiling would run out before it is raised
	return o
}

// Action is one thing that the owner of a Machine must do. Exactly one field is
// set. Actions are carried out in order.
type Action struct {
	Broadcast *wire.Promise // to every entry that is linked
	Swap      *Swap
	Announce  *Announce
	Join      *Join
	Read      bool // read the store's value and hand it to Stored
}

// Swap asks for a compare-and-swap of the store's value. Its outcome goes to
// Swapped, under the same ID.
type Swap struct {
	ID     uint64
	Expect int64 // the key's ModRevision, 0 for no key
	Value  []byte
}

// Announce sends versions, oldest first.
type Announce struct {
	To       identity.Incarnation // empty for all
	Versions []*wire.Roster
}

// Join asks the member To to add this entry.
type Join struct {
	To  identity.Incarnation
	Ask *wire.Join
}

// Outcome is what is known of a compare-and-swap.
type Outcome uint8

// Outcomes of a Swap.
const (
	// OutcomeUnknown: no answer came. The write may have taken effect, or may
	// yet take effect while its request lies in some queue.
	OutcomeUnknown Outcome = iota
	OutcomeDone
	OutcomeConflict
)
