// Package recovery finds out what became of the jobs of an entry that is gone.
// Nothing is ever started again here: the answer is the whole result if guards
// hold it, "not run" if that is proved, and else that the outcome is unknown.
//
// The proof of "not run" needs every guard that could have started the job. An
// entry therefore announces each guard to its peers before it uses it
// (Announcer), and a peer becomes its witness for identities born from a number
// on that the entry itself names. Once a roster has declared the entry gone, a
// witness acknowledges no more guards, so that its list is complete for good. It
// has the entry fenced at each guard on the list, and when all of them have
// reported and none started the job, nobody ever will (Machine).
//
// Both are state machines under an explicit clock: no goroutine, socket or lock.
// Package peers drives them. docs/start-at-most-once.md has the argument.
//
// The package may import errkind, identity and wire.
package recovery

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Default timing. See Options.
const (
	DefaultWindow    = 30 * time.Second
	DefaultGrace     = 2 * time.Second
	DefaultPoll      = 250 * time.Millisecond
	DefaultRetention = time.Hour
	maxStarted       = 50_000 // reported starts kept for one gone entry
	maxJobs          = 10_000 // recoveries under way
	// collectsPerSecond bounds questions to guards that have not reported a start.
	collectsPerSecond = 1_000
)

// Options are the timing of a machine; zero fields take the defaults.
type Options struct {
	// Window is how far before an entry's last sign of life reports reach. Only
	// jobs born within it can be proved not run.
	Window time.Duration
	// Grace is how long a recovery waits for a guard whose link is down, and for
	// an entry to be declared gone.
	Grace time.Duration
	// Poll is the pause between two questions for results still being worked on.
	Poll time.Duration
	// Retention is how long what is known of a gone entry is kept.
	Retention time.Duration
}

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.Window, DefaultWindow}, {&o.Grace, DefaultGrace},
		{&o.Poll, DefaultPoll}, {&o.Retention, DefaultRetention},
	} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	return o
}

// Verdict is what a recovery found out.
type Verdict uint8

// Verdicts.
const (
	// Wait: no verdict yet.
	Wait Verdict = iota
	// Whole: guards hold the results of all tasks, and all ran well.
	Whole
	// NotRun: no task of the job ever ran or ever will.
	NotRun
	// Failed: some tasks ran and the others failed or never will run.
	Failed
	// Unknown: it cannot be known, now or later.
	Unknown
	// Later: it cannot be told yet; asking again can help.
	Later
)

// String gives the word used in counters.
func (v Verdict) String() string {
	return [...]string{"wait", "whole", "not_run", "failed", "unknown", "later"}[v]
}

// Job names a job whose owner is gone.
type Job struct {
	Member  string
	Key     string
	BirthMs int64
	Home    identity.Incarnation
}

// Finding is the end of a recovery. Results has one result a task, in order,
// when the verdict is Whole, and is nil otherwise. Failure is the result of a
// task that ran badly, if that is why the verdict is Failed.
type Finding struct {
	Job     Job
	Verdict Verdict
	Results []wire.Result
	Failure *wire.Result
}

// Err gives the answer to the caller; nil for Whole.
func (f Finding) Err() *errkind.Error {
	switch f.Verdict {
	case Whole:
		return nil
	case NotRun:
		return errkind.New(errkind.NotRun, "%s is gone; every guard that it used has reported", f.Job.Home)
	case Failed:
		if f.Failure != nil {
			return errkind.New(f.Failure.Kind, "task %d: %s", f.Failure.Ref.Task, f.Failure.Detail).WithRan(f.Failure.Ran)
		}
		return errkind.New(errkind.WorkerLost, "%s is gone; a part of the tasks ran, the others never will", f.Job.Home).
			WithRan(errkind.RanYes)
	case Later:
		return errkind.New(errkind.HomeUnreachable, "%s does not answer and is not declared gone yet", f.Job.Home).
			WithAfter(retryAfter)
	default:
		return errkind.New(errkind.OutcomeUnknown, "%s is gone, and not every guard that it may have used has reported", f.Job.Home)
	}
}

// retryAfter is when a caller whose recovery had no verdict yet should come back.
const retryAfter = time.Second

// Action is one thing that the owner of a Machine must do. Exactly one of Fence,
// Collect, Acknowledge and Finding is set.
type Action struct {
	Guard       identity.Incarnation // receiver of Fence and Collect
	Fence       *wire.Fence
	Collect     *wire.Collect
	Peer        identity.Incarnation // receiver of Acknowledge
	Acknowledge *wire.Witnessed
	Finding     *Finding
}
