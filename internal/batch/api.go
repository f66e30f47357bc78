// Package batch schedules the jobs of one entry whose tasks run on workers under
// leases. It covers admission, queueing, placement, retries of failed tasks,
// cancellation and the single answer to each job. Jobs are not persisted: a job is
// answered when it ends, and a caller that gets no answer may resubmit it to this
// or to another entry.
//
// The package is a state machine with an explicit clock and has no goroutines,
// sockets or locks. The entry passes events to a Machine and carries out the
// actions it returns. Times are durations on the entry's clock, which includes the
// time in which its VM was suspended.
//
// The package may import errkind, identity, policy, runs, sched and wire.
package batch

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/policy"
	"wigeontray/internal/runs"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// Queue is the operators' configuration of one queue.
type Queue struct {
	Name        string
	Service     string // service whose workers run the queue's tasks
	Priority    int    // 0 is the most urgent
	MaxAttempts int    // failed runs of one task after which its job fails
	// SelfLimiting is set if the service's workers refuse tasks that do not fit.
	SelfLimiting bool
	// Stretch and Slack define a job's target duration: Stretch times the expected
	// length of its critical path, plus Slack.
	Stretch float64
	Slack   time.Duration
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count     int
	Need      sched.Resources
	Estimate  time.Duration // the caller's estimate of a task's run time; 0 for none
	After     []int         // indexes of earlier steps that must be complete first
	Label     string        // label that the worker must have; empty for none
	Rack      string        // preferred rack, near the task's data; empty for none
	PerWorker int           // maximum number of the step's tasks at one worker; 0 for no limit
}

// Job is one submission of a job by a caller.
type Job struct {
	ID      string
	Request string // the caller's request ID, for logs; empty for none
	Caller  string // the caller that sent it; empty if unknown
	// HeldUp is set if a network partition may have delayed the job, so that its
	// caller may have resubmitted it to another entry.
	HeldUp   bool
	Queue    *Queue
	Text     string // description of the tasks, passed to the workers
	Steps    []Step
	Deadline time.Duration // time at which the caller stops waiting
}

// Memory of the parts of a job at an entry, in bytes, without texts.
const (
	stepMemory       = 256
	dependencyMemory = 8
	taskMemory       = 256
)

// Memory returns about how much memory an entry needs for the job until it has been answered, in bytes.
func (j *Job) Memory() int64 {
	size := 2 * len(j.Text) // also in compressed form
	for i := range j.Steps {
		s := &j.Steps[i]
		size += stepMemory + len(s.Label) + len(s.Rack) + dependencyMemory*len(s.After) + taskMemory*s.Count
	}
	return int64(size)
}

// Outcome is the single answer to a job, which is complete if Err is nil. An error
// with RanNo means that no task of the job was started.
type Outcome struct {
	ID     string
	Job    *Job
	Err    *errkind.Error
	Events []Event // decisions about the job, in order
}

// Event is one decision about a job, with the data that it was based on.
type Event struct {
	At       time.Duration
	Decision Decision
	Guard    identity.Incarnation // guard concerned; empty for none
	Tasks    int                  // number of tasks concerned
	Kind     errkind.Kind         // error kind of the ended run
	// Free is the estimate of the free CPU at the guard or, for an admission, in the
	// whole service, in thousandths of a core. Age is the age of the guard's last report.
	Free int64
	Age  time.Duration
	// ExpectedWait is the estimated wait of an admitted job. TargetDuration is the job's
	// target duration, counted from its arrival.
	ExpectedWait, TargetDuration time.Duration
}

// Decision is the type of an Event.
type Decision uint8

// Event types.
const (
	EventAdmitted  Decision = iota
	EventTasksSent          // tasks were sent to a guard
	EventRunEnded           // a run ended without success
	EventGuardLost          // the guard's link was lost; its runs may continue for Timing.MaxOrphanAge
	EventWithdrawn          // the job's active runs are stopped
)

// String returns the message that logs use for the event.
func (d Decision) String() string {
	return [...]string{"admitted", "tasks sent", "run ended", "guard lost", "withdrawn"}[d]
}

// maxEvents limits the events kept for a job; later ones are dropped.
const maxEvents = 64

// Action is one operation that the owner of a Machine must carry out. Exactly one of
// Frame, CloseLink and Finish is set.
type Action struct {
	Guard     identity.Incarnation // receiver of Frame, or guard whose link to close
	Frame     *wire.Frame
	CloseLink bool     // close the link: the guard has stopped sending
	Finish    *Outcome // answer to pass to the job's callers
}

// Options configures a Machine.
type Options struct {
	Domain   string      // failure domain of the entry
	Seed     uint64      // seed of all random choices
	Timing   runs.Timing // if zero, the timing for runs.DefaultResendDelay
	Disabled policy.Set  // disabled mechanisms
	// SharesByDemand divides scarce capacity among entries by what their callers ask for.
	SharesByDemand bool
	// SharesByCaller divides scarce capacity among callers in max-min shares.
	SharesByCaller bool
	// StrictOffers uses capacity that is offered for the most urgent tasks for nothing less urgent.
	StrictOffers bool
}

// State is the state of a job. The numeric values are part of the inner protocol.
type State uint8

// Job states. A job that ended without a final result is Unknown.
const (
	Unknown State = iota
	Queued
	Running
	Complete
	Failed
	Cancelled
)

// Limits and delays of a Machine.
const (
	// runNumberIncrement is added to a task's run number if the worker has already seen
	// that number or a later one: another entry may be numbering runs of the same task.
	runNumberIncrement = 16
	// maxRefusals limits how often a task is placed again after a run was lost, or
	// refused for a reason other than lack of room. Without it, a faulty guard could
	// keep a task in a retry loop until the caller leaves.
	maxRefusals = 32
	// historySize is the number of ended jobs kept for status requests and
	// resubmissions: about one minute at 70 jobs a second. Crash counts are kept for
	// as many tasks.
	historySize = 4096
	// neverFitsDelay is the time after the start within which workers are expected to
	// register. Only after it is a job rejected as NeverFits because no known worker
	// meets its requirements.
	neverFitsDelay = 5 * time.Second
	// startGracePeriod is the time after the start in which jobs wait for the first
	// workers instead of being refused. Guards link within a few hundred milliseconds,
	// and a job of one second can wait that long.
	startGracePeriod = 2 * time.Second
	// slowRunFactor times the expected run time is the limit above which a run counts
	// as slow. Run times of healthy workers deviate by about 0.4 from their mean.
	slowRunFactor = 2.5
)

// Timing after a process was suspended.
const (
	// ResumeDelay is how long an entry that resumed from a suspension waits before it
	// starts a job. The request may have been in the receive buffer for seconds, and
	// the entry sees that its caller has left only after it has read the connection to
	// its end.
	ResumeDelay = 50 * time.Millisecond
)

// Retry delays sent to refused callers; random jitter increases them to up to twice the value.
const (
	noWorkersRetryDelay  = time.Second
	overloadedRetryDelay = 500 * time.Millisecond
)
