// Package recovery determines the outcome of jobs whose entry is gone. It never
// starts a task again: the answer is the complete result if guards hold it, "not
// run" if that is proved, and otherwise that the outcome is unknown.
//
// The proof of "not run" requires every guard that could have started the job. Each
// entry therefore announces each guard to its peers before it uses it (Announcer). A
// peer becomes its witness for identities born at or after a time that the entry
// itself specifies. Once a roster has declared the entry gone, a witness
// acknowledges no more guards, so its list of guards is final. It sends a Fence for
// the entry to each guard on the list. When all of them have reported and none
// started the job, the job can never be started (Machine).
//
// Both are deterministic state machines with an explicit clock; they have no
// goroutines, sockets or locks. Package peers drives them.
// docs/start-at-most-once.md contains the proof.
//
// The package may import errkind, identity and wire.
package recovery

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Default values of Options, and limits.
const (
	DefaultReportWindow = 30 * time.Second
	DefaultGracePeriod  = 2 * time.Second
	DefaultPollInterval = 250 * time.Millisecond
	DefaultRetention    = time.Hour
	maxReportedStarts   = 50_000 // reported starts stored for one gone entry
	maxRecoveries       = 10_000 // recoveries in progress
	// maxCollectsPerSecond limits the queries to guards that have not reported a
	// start.
	maxCollectsPerSecond = 1_000
)

// Options configures the timing of a Machine. Zero fields take their defaults.
type Options struct {
	// ReportWindow is how far before the last contact with an entry the fence reports
	// reach back. Only jobs born within it can be proved not run.
	ReportWindow time.Duration
	// GracePeriod is how long a recovery waits for a guard whose link is down, and
	// for an entry to be declared gone.
	GracePeriod time.Duration
	// PollInterval is the time between two queries for results of tasks that are
	// still running.
	PollInterval time.Duration
	// Retention is how long the state of a gone entry is kept.
	Retention time.Duration
}

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.ReportWindow, DefaultReportWindow}, {&o.GracePeriod, DefaultGracePeriod},
		{&o.PollInterval, DefaultPollInterval}, {&o.Retention, DefaultRetention},
	} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	return o
}

// Verdict is the outcome of a recovery.
type Verdict uint8

// Values of Verdict.
const (
	// Pending: no verdict yet.
	Pending Verdict = iota
	// Complete: guards hold the results of all tasks, and all tasks succeeded.
	Complete
	// NotRun: no task of the job ever ran or ever will.
	NotRun
	// Failed: some tasks ran, and the others failed or will never run.
	Failed
	// Unknown: the outcome cannot be determined, now or later.
	Unknown
	// RetryLater: the outcome cannot be determined yet; a later attempt may succeed.
	RetryLater
)

// String returns the verdict's name in metrics.
func (v Verdict) String() string {
	return [...]string{"wait", "whole", "not_run", "failed", "unknown", "later"}[v]
}

// Job identifies a job whose owner is gone.
type Job struct {
	Member  string
	Key     string
	BirthMs int64 // creation time in the UUIDv7 key, in Unix milliseconds
	Home    identity.Incarnation
}

// Finding is the result of a recovery. Results holds one result per task, in order,
// if the verdict is Complete, and is nil otherwise. Failure is the result of a failed
// task, if that is the reason for the verdict Failed.
type Finding struct {
	Job     Job
	Verdict Verdict
	Results []wire.Result
	Failure *wire.Result
}

// Err returns the error for the caller, or nil for Complete.
func (f Finding) Err() *errkind.Error {
	switch f.Verdict {
	case Complete:
		return nil
	case NotRun:
		return errkind.New(errkind.NotRun, "%s is gone; every guard that it used has reported", f.Job.Home)
	case Failed:
		if f.Failure != nil {
			return errkind.New(f.Failure.Kind, "task %d: %s", f.Failure.Ref.Task, f.Failure.Detail).WithRan(f.Failure.Ran)
		}
		return errkind.New(errkind.WorkerLost, "%s is gone; a part of the tasks ran, the others never will", f.Job.Home).
			WithRan(errkind.RanYes)
	case RetryLater:
		return errkind.New(errkind.HomeUnreachable, "%s does not answer and is not declared gone yet", f.Job.Home).
			WithAfter(retryDelay)
	default:
		return errkind.New(errkind.OutcomeUnknown, "%s is gone, and not every guard that it may have used has reported", f.Job.Home)
	}
}

// retryDelay is when a caller should retry if its recovery has no verdict yet.
const retryDelay = time.Second

// Action is one operation for the owner of a Machine to execute. Exactly one of
// Fence, Collect, Acknowledge and Finding is set.
type Action struct {
	Guard       identity.Incarnation // recipient of Fence and Collect
	Fence       *wire.Fence
	Collect     *wire.Collect
	Peer        identity.Incarnation // recipient of Acknowledge
	Acknowledge *wire.WitnessAck
	Finding     *Finding
}
