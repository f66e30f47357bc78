// Package roster decides which entry may start a job with a plain identity. It
// maintains the history of rosters stored under one key of the platform's store, the
// promises with which members extend the last roster in time, and the rules for
// appending to the history. docs/start-at-most-once.md contains the safety argument.
//
// Machine is deterministic: it receives the time as a parameter and has no
// goroutines, sockets or locks. Package peers feeds it events and executes the
// actions that it returns. Only the published View may be read from other goroutines.
//
// The Members of a roster are entries. A parameter named member is instead the
// consortium member that an identity belongs to.
//
// The rules compare births and the times stored in versions and promises. They never
// compare clocks:
//
//   - A birth belongs to the last version whose FromMs is not above it.
//   - In a closed version, which is one that has a successor, the owner of a birth may
//     start it.
//   - In the last version, the owner may start births below the horizon: the least of
//     the members' promises and the ceiling.
//   - A member's promise under a version states that a roster which this member appends
//     next does not begin below the promised time. While an append is unsettled, the
//     member promises nothing beyond that append's beginning.
//   - An entry outside the roster appends only versions that begin at the ceiling or
//     later.
//
// The package may import errkind, identity and wire.
package roster

import (
	"math"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Defaults of Options, and internal limits.
const (
	DefaultPromiseInterval = time.Second
	DefaultPromiseLead     = 5 * time.Second
	DefaultJoinLead        = 20 * time.Second
	DefaultCeilingLead     = time.Hour
	DefaultCeilingRenewAge = 5 * time.Minute
	DefaultStoreRetryDelay = time.Second
	DefaultTakeoverDelay   = 10 * time.Second
	DefaultRankDelay       = 500 * time.Millisecond
	DefaultRetention       = time.Hour
	maxVersions            = 256
	retryAfter             = time.Second
	maxEstimatedWait       = time.Minute
	resignedPromiseMs      = int64(math.MaxInt64) // a promise never to append again
	noPromiseLimit         = int64(math.MaxInt64) // of a swap that only raises the ceiling
	joinRetryMultiplier    = 3                    // in units of StoreRetryDelay: delay before another member is asked
)

// Options sets the timing of a Machine. Zero and negative fields take their defaults.
type Options struct {
	// PromiseInterval is the interval at which a member repeats its promise.
	PromiseInterval time.Duration
	// PromiseLead is how far ahead of its own clock a member promises. A plain
	// identity born further ahead, by a caller whose clock is fast, has to wait.
	// After a member fails, it takes up to PromiseLead until a roster without it
	// begins.
	PromiseLead time.Duration
	// JoinLead is how far ahead of now a roster begins that only adds members. If the
	// store fails before it answers the append, the appender can promise up to that
	// beginning and no further, so a long lead bridges a short store outage.
	JoinLead time.Duration
	// CeilingLead is how far ahead of now the ceiling is written. Plain identities
	// are served through a store outage of at least CeilingLead minus
	// CeilingRenewAge; after the loss of all entries at once, they are refused for
	// at most CeilingLead.
	CeilingLead time.Duration
	// CeilingRenewAge is the age at which a member raises the ceiling. It is limited
	// to CeilingLead/2.
	CeilingRenewAge time.Duration
	// StoreRetryDelay is the delay after a failed store call.
	StoreRetryDelay time.Duration
	// TakeoverDelay is how long all members must have been suspected before an entry
	// outside the roster appends a version.
	TakeoverDelay time.Duration
	// RankDelay is the delay per rank among the members, so that they do not all
	// write the same change at once.
	RankDelay time.Duration
	// Retention is how long a version is kept after its successor has begun.
	Retention time.Duration
}

func (o Options) withDefaults() Options {
	defaults := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.PromiseInterval, DefaultPromiseInterval}, {&o.PromiseLead, DefaultPromiseLead}, {&o.JoinLead, DefaultJoinLead},
		{&o.CeilingLead, DefaultCeilingLead}, {&o.CeilingRenewAge, DefaultCeilingRenewAge}, {&o.StoreRetryDelay, DefaultStoreRetryDelay},
		{&o.TakeoverDelay, DefaultTakeoverDelay}, {&o.RankDelay, DefaultRankDelay}, {&o.Retention, DefaultRetention},
	}
	for _, d := range defaults {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	o.CeilingRenewAge = min(o.CeilingRenewAge, o.CeilingLead/2) // a ceiling with a short lead would otherwise expire before it is raised
	return o
}

// Action is one operation that the owner of a Machine must execute. Exactly one field
// is set. Actions must be executed in order.
type Action struct {
	Broadcast *wire.Promise // sent to every linked entry
	Swap      *Swap
	Announce  *Announce
	Join      *Join
	Read      bool // read the store's value and pass it to HandleStoreValue
}

// Swap requests a compare-and-swap of the store's value. The outcome is passed to
// HandleSwapResult with the same ID.
type Swap struct {
	ID     uint64
	Expect int64 // ModRevision that the key must have; 0 if it must not exist
	Value  []byte
}

// Announce sends versions to peers, oldest first.
type Announce struct {
	To       identity.Incarnation // empty for all linked entries
	Versions []*wire.Roster
}

// Join asks the member To to add this entry to the roster.
type Join struct {
	To      identity.Incarnation
	Request *wire.Join
}

// Outcome is the result of a compare-and-swap as far as the caller can tell.
type Outcome uint8

// Outcomes of a Swap.
const (
	// OutcomeUnknown means that no answer arrived. The write may have taken effect,
	// or may still take effect later while its request is queued.
	OutcomeUnknown Outcome = iota
	OutcomeDone
	OutcomeConflict
)
