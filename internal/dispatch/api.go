// Package dispatch schedules the jobs of one service at one entry: admission,
// the queue, placement, retries, quarantine, cancellation and assembling
// complete answers.
//
// It is a state machine with an explicit clock: it has no goroutine, socket or
// lock, and draws random numbers from a seeded source. An entry passes events
// to it and carries out the actions that it returns; package replay passes it
// recorded traces.
//
// The package may import errkind, identity, sched and wire.
package dispatch

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// JobID identifies a job. It is never reused for another job.
type JobID struct {
	Member string
	Key    string
}

// Spec describes a submitted job.
type Spec struct {
	ID       JobID
	Team     string // team whose quota the job counts against; empty for the member itself
	Deadline time.Time
	Tasks    [][]byte // request body of each task
	// DeclaredMs is the caller's estimate of a task's run time in milliseconds;
	// 0 for none. Such estimates are far off, so that they are only used until
	// run times have been observed.
	DeclaredMs int64
	Need       Need // resource requirement of each task
}

// TaskResult is the upstream's response to one task.
type TaskResult struct {
	Status int
	Body   []byte
}

// TaskFailure states why a task of a failed job has no result.
type TaskFailure struct {
	Task   int
	Kind   errkind.Kind
	Ran    errkind.Ran
	Detail string
}

// Outcome is the single, final result of a job. If Err is nil, Results holds
// the result of every task in order; otherwise Results is nil.
type Outcome struct {
	ID       JobID
	Results  []TaskResult
	Err      *errkind.Error
	Failures []TaskFailure
	// LongestRunTime is the longest run time of any completed task on its
	// upstream.
	LongestRunTime time.Duration
}

// Action is one operation that the caller of a Machine must carry out, in the
// order of Actions. Guard is set for every message; exactly one of the other
// fields is set.
type Action struct {
	Guard   identity.Incarnation // recipient of the message, if the action is one
	Start   *wire.Start
	Cancel  *wire.Cancel
	Reserve *wire.Reserve
	Finish  *Outcome
}

// Machine is driven by an entry or by package replay. The now parameters must
// never decrease. Every method may produce actions, which Actions returns.
type Machine interface {
	// GuardConnected adds a guard or reconnects one whose link was lost. Tasks
	// that were sent to the same incarnation are sent again, which is safe
	// because a guard starts a Ref at most once.
	GuardConnected(now time.Time, h *wire.Hello)
	// GuardDisconnected records a lost link. If the guard does not reconnect
	// within the grace period, its tasks in flight fail as WorkerLost.
	GuardDisconnected(now time.Time, g identity.Incarnation)
	// GuardDraining records a planned stop: the guard is sent no more tasks.
	GuardDraining(now time.Time, g identity.Incarnation)
	// Submit admits a job or returns the reason for refusing it. A refusal is
	// final: the submission is not kept and none of its tasks is started later.
	Submit(now time.Time, s *Spec) *errkind.Error
	// Cancel withdraws a job. Tasks that have not started never will. The
	// outcome follows immediately as a Finish action.
	Cancel(now time.Time, id JobID)
	// Result, Load and Offer process messages from a guard.
	Result(now time.Time, g identity.Incarnation, r *wire.Result)
	Load(now time.Time, g identity.Incarnation, l *wire.Load)
	Offer(now time.Time, g identity.Incarnation, o *wire.Offer)
	// Tick runs the timers that are due: deadlines, grace periods, retries, the
	// ends of quarantines and periodic checks.
	Tick(now time.Time)
	// NextTick returns when Tick is next due; zero for never.
	NextTick() time.Time
	// Configure applies a new policy.
	Configure(now time.Time, p Policy)
	// Actions returns the actions since the last call. The slice is valid until
	// the next call of any method.
	Actions() []Action
	// Jobs returns the number of unfinished jobs.
	Jobs() int
}
