// Package batch owns the jobs of one entry whose tasks run on workers under
// leases: admission, order, placement, repetition of failed tasks, cancellation
// and the one answer of each job. Such a job is not kept: it is answered when it
// has ended, and a caller without an answer may send it again, here or elsewhere.
//
// It is a state machine under an explicit clock, without goroutine, socket or
// lock. An entry feeds it what happens and carries out the actions it returns.
// Times are durations on the entry's clock, which counts the time in which its
// VM was suspended.
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

// Queue is what the operators' configuration says of one queue.
type Queue struct {
	Name        string
	Service     string // whose workers run its tasks
	Priority    int    // 0 goes first
	MaxAttempts int    // runs of a task that may fail before its job has failed
	// SelfLimiting tells that the service's workers refuse by themselves what does not fit.
	SelfLimiting bool
	// Stretch and Slack give the time in which a job should end: Stretch times
	// its longest chain of tasks, and Slack more.
	Stretch float64
	Slack   time.Duration
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count     int
	Need      sched.Room
	Estimate  time.Duration // the caller's guess of a task's run time; 0 for none
	After     []int         // earlier steps whose tasks must all be done first
	Label     string        // that the worker must have; empty for none
	Rack      string        // where the data lie; empty for nowhere
	PerWorker int           // most tasks of the step at one worker; 0 for no limit
}

// Job is a submission.
type Job struct {
	ID       string
	Request  string // the caller's name for this submission, for logs; empty for none
	HeldUp   bool   // a cut may have held it up, and its caller sent it to another entry
	Queue    *Queue
	Text     string // what the tasks are, for the worker
	Steps    []Step
	Deadline time.Duration // when its caller stops waiting
}

// Outcome is the one answer of a job, which is complete if Err is nil. An error
// with RanNo means that no task of the job was started.
type Outcome struct {
	ID    string
	Job   *Job
	Err   *errkind.Error
	Story []Event // what was decided about the job, in order
}

// Event is one decision about a job, with what decided it.
type Event struct {
	At    time.Duration
	What  What
	Guard identity.Incarnation // that the event is about; empty for none
	Tasks int                  // that the event is about
	Kind  errkind.Kind         // of the end of a run
	// Free is the processor that was believed free at the guard, or in the whole
	// service, in thousandths of a core; Age is how old that belief was.
	Free int64
	Age  time.Duration
	// Wait and Goal are what an admitted job was expected to wait, and the time
	// from its arrival in which it should end.
	Wait, Goal time.Duration
}

// What names a kind of Event.
type What uint8

// Kinds of Event.
const (
	EventAdmitted  What = iota
	EventTasksSent      // tasks went to a guard
	EventRunEnded       // a run ended without success
	EventGuardLost      // runs are in doubt until they have ended for sure
	EventWithdrawn      // what runs of the job is stopped
)

// String gives the word that logs have.
func (w What) String() string {
	return [...]string{"admitted", "tasks sent", "run ended", "guard lost", "withdrawn"}[w]
}

// maxEvents bounds the story of a job; the newest are left out.
const maxEvents = 64

// Action is one thing that the owner of a Machine must do. Exactly one of Frame,
// Drop and Finish is set.
type Action struct {
	Guard  identity.Incarnation // receiver of Frame, or whose link to Drop
	Frame  *wire.Frame
	Drop   bool // end the link: the guard is silent
	Finish *Outcome
}

// Options of a Machine.
type Options struct {
	Domain string      // failure domain of the entry
	Seed   uint64      // of every random choice
	Timing runs.Timing // that for the default if left out
	Off    policy.Set  // mechanisms that are switched off
}

// State is what is known of a job. The numbers are part of the inner protocol.
type State uint8

// States of a job. One that ended without a final result is Unknown again.
const (
	Unknown State = iota
	Queued
	Running
	Complete
	Failed
	Cancelled
)

// Figures of the machine.
const (
	// runNumberIncrement is by how much a run's number grows when the worker has seen it
	// or a later one. Another entry may be counting the same task.
	runNumberIncrement = 16
	// maxRefusals is how often a task is placed again after a run of it was lost
	// or refused for another reason than room. It ends a loop that a faulty guard
	// could keep up until the caller leaves.
	maxRefusals = 32
	// historySize is how many ended jobs are kept for callers who ask for their
	// state or send them again: about a minute's worth at 70 jobs a second.
	historySize = 4096
	// neverFitsDelay is how long after the start workers are expected to appear. A
	// need that no known worker meets is called hopeless only after it.
	neverFitsDelay = 5 * time.Second
	// startGracePeriod is how long after the start jobs wait for the first workers rather
	// than being refused: guards link within a few hundred milliseconds, and a job
	// of a second has that much time.
	startGracePeriod = 2 * time.Second
	// slowRunFactor is how many times longer than expected a slow run lasts. Run
	// times of good workers spread by about 0.4 around their mean.
	slowRunFactor = 2.5
)

// A process that was frozen.
const (
	// WakePause is how long an entry that has woken waits before it begins a job:
	// the request may have lain unread for seconds, and that its caller has left
	// shows only once the connection is read to its end.
	WakePause = 50 * time.Millisecond
)

// When a caller is told to come back, before random spreading to twice the time.
const (
	noWorkersRetryDelay  = time.Second
	overloadedRetryDelay = 500 * time.Millisecond
)
