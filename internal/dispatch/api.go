// Package dispatch owns one service's work at one entry: admission, the queue,
// placement, retries, quarantine, cancellation and the assembly of whole
// answers. It is a state machine under an explicit clock: it has no goroutine,
// no socket and no lock, and draws random numbers from a seeded source. An
// entry feeds it what happens and carries out the actions it returns; replay
// feeds it recorded traces.
//
// The package may import errkind, identity, sched and wire.
package dispatch

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// JobID names a job for good.
type JobID struct {
	Member string
	Key    string
}

// Spec is an accepted submission.
type Spec struct {
	ID       JobID
	Team     string // quota it counts against; empty for the member itself
	Deadline time.Time
	Tasks    [][]byte // one body a task
	// DeclaredMs is the caller's own estimate of a task's run time; 0 for none.
	// It is known to be far off and only used until run times are learned.
	DeclaredMs int64
	Need       Need // of each task
}

// TaskResult is the upstream's answer to one task.
type TaskResult struct {
	Status int
	Body   []byte
}

// TaskFailure tells why one task of a failed job has no result.
type TaskFailure struct {
	Task   int
	Kind   errkind.Kind
	Ran    errkind.Ran
	Detail string
}

// Outcome is the one final answer of a job: Results has every task's result in
// order when Err is nil, and is nil otherwise.
type Outcome struct {
	ID       JobID
	Results  []TaskResult
	Err      *errkind.Error
	Failures []TaskFailure
	// Slowest is the longest run time on an upstream among the tasks.
	Slowest time.Duration
}

// Action is one thing that the owner of a Core must do. Exactly one field is
// set. Actions are carried out in order.
type Action struct {
	Guard   identity.Incarnation // receiver of the message fields
	Start   *wire.Start
	Cancel  *wire.Cancel
	Reserve *wire.Reserve
	Finish  *Outcome
}

// Machine is what an entry and the replay engine drive. now never runs
// backwards. Every method may produce actions, which Actions hands over.
type Machine interface {
	// GuardUp adds a guard, or returns one whose link had been lost: tasks sent
	// to the same incarnation are sent again, which is safe as a guard starts a
	// Ref at most once.
	GuardUp(now time.Time, h *wire.Hello)
	// GuardDown notes a lost link. Tasks in flight stay in doubt for a grace
	// time, then fail as WorkerLost.
	GuardDown(now time.Time, g identity.Incarnation)
	// GuardLeaving notes a planned stop: nothing more is sent to it.
	GuardLeaving(now time.Time, g identity.Incarnation)
	// Submit admits a job, or refuses it with an error that is true for good.
	Submit(now time.Time, s *Spec) *errkind.Error
	// Cancel withdraws a job; what has not started never will. The outcome
	// comes as a Finish action, at once.
	Cancel(now time.Time, id JobID)
	// Result, Load and Offer take a guard's messages.
	Result(now time.Time, g identity.Incarnation, r *wire.Result)
	Load(now time.Time, g identity.Incarnation, l *wire.Load)
	Offer(now time.Time, g identity.Incarnation, o *wire.Offer)
	// Tick does what is due: deadlines, grace times, retries, probes.
	Tick(now time.Time)
	// NextTick tells when Tick is next due; zero for never.
	NextTick() time.Time
	// Configure puts new policy in force.
	Configure(now time.Time, p Policy)
	// Actions returns the actions since the last call. The slice is valid
	// until the next call of any method.
	Actions() []Action
	// Jobs tells how many jobs are unfinished.
	Jobs() int
}
