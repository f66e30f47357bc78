// Package replay runs traces in a discrete-event simulation of the production
// decision code: a dispatch.Dispatcher for each entry and a ledger.Ledger for each
// guard, with a simulated clock and delayed messages between them. It checks the
// invariants that hold in every replay and the outcome that the trace states for
// each request, and compares response times with an ideal.
//
// Replays are deterministic: the same trace and options give an identical report.
package replay

import (
	"time"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
)

// Trace is a topology, a policy, and the events and loads of a replay.
// docs/trace-format.md describes the text form that Parse reads.
type Trace struct {
	Name    string
	Service string // "member/service"
	Policy  dispatch.Policy
	Delays  Delays
	Entries []Entry
	Workers []Worker
	Loads   []Load
	Events  []Event
	Limits  []Limit
	// MeasureFrom and MeasureUntil limit the arrivals that the measures include. A
	// zero MeasureUntil includes all to the end. Earlier arrivals are a warm-up, in
	// which dispatchers learn run times and rates.
	MeasureFrom, MeasureUntil time.Duration
}

// Delays are the one-way network delays.
type Delays struct {
	Client time.Duration // between a caller and an entry
	Domain time.Duration // between failure domains
	Local  time.Duration // inside a failure domain
}

// DefaultDelays are the network delays at the sites of Ayni.
var DefaultDelays = Delays{Client: time.Millisecond, Domain: 500 * time.Microsecond, Local: 100 * time.Microsecond}

// Entry describes an entry process.
type Entry struct{ Name, Domain string }

// Worker describes a worker with its guard and upstream.
type Worker struct {
	Name, Rack, Domain string
	Slots              int // maximum number of tasks that run at the same time
	Accelerators       int
	MemoryMB           int // 0 if unknown
}

// Op is the type of an event.
type Op string

// Operations of a trace.
const (
	OpSubmit    Op = "submit"     // a caller submits a new job
	OpResubmit  Op = "resubmit"   // a caller submits a job again, with the same key
	OpCancel    Op = "cancel"     // a caller cancels a job at an entry
	OpKill      Op = "kill"       // the process terminates; its peers see a connection reset
	OpRestart   Op = "restart"    // a killed process starts as a new incarnation
	OpPause     Op = "pause"      // the process is suspended without notice to its peers
	OpResume    Op = "resume"     // a paused process continues with the events that were queued for it
	OpCut       Op = "cut"        // messages between two processes are delayed until the heal
	OpHeal      Op = "heal"       // ends a cut
	OpReset     Op = "reset"      // a link breaks; the messages in transit are lost
	OpDrain     Op = "drain"      // planned stop of an entry or a guard
	OpFailing   Op = "failing"    // the upstream fails every task immediately
	OpWorking   Op = "working"    // the upstream succeeds again and runs at full speed
	OpSlow      Op = "slow"       // the upstream takes SlowFactor times as long
	OpWarm      Op = "warm"       // the upstream runs at full speed; not counted as a return of the worker
	OpUnhealthy Op = "unhealthy"  // the health check of the upstream fails at the guard
	OpHealthy   Op = "healthy"    // the health check succeeds again
	OpStoreDown Op = "store-down" // configuration cannot be read
	OpStoreUp   Op = "store-up"   // ends a store outage and applies the updates made in it
	OpConfigure Op = "configure"  // operators change the policy in the store
)

// Event is an operation at a time of the trace.
type Event struct {
	At              time.Duration // from the start of the trace
	Op              Op
	Target          string           // process, worker or job
	Other           string           // second process, or the entry that the request is sent to
	SlowFactor      float64          // of OpSlow
	Request         *Request         // of OpSubmit and OpResubmit
	ExpectedOutcome *ExpectedOutcome // nil if the trace states none
	Policy          *dispatch.Policy // new policy of OpConfigure
}

// Request is the content of a submission.
type Request struct {
	Job      string // name of the job in the trace
	Team     string
	Deadline time.Duration   // relative to the submission by the caller
	Declared time.Duration   // the caller's estimate of one task
	Need     dispatch.Need   // of each task
	Tasks    []time.Duration // run time of each task
}

// ExpectedOutcome is the outcome that a trace states for a submission. Ran is
// checked unless AnyRan is set. Before is the maximum time from the submission to
// the answer; 0 is no limit.
type ExpectedOutcome struct {
	Kinds          []errkind.Kind // any of these is accepted; None is a complete answer
	ConnectionLost bool           // a connection that is lost with its entry is accepted
	Ran            errkind.Ran
	AnyRan         bool
	Before         time.Duration
}

// Limit is a minimum or maximum for one measure of the replay.
type Limit struct {
	Measure string
	AtLeast bool // Value is a minimum; otherwise it is a maximum
	Value   float64
}

// Load describes generated background traffic.
type Load struct {
	Start, Duration time.Duration
	OfferedShare    float64       // offered work as a share of the capacity of all slots
	Seed            uint64        // of the random arrivals, run times and job sizes
	Teams           []string      // chosen uniformly for each job; empty for jobs without a team
	Deadline        time.Duration // of each job, relative to its submission
	MinRunTime      time.Duration // of a task
	MaxRunTime      time.Duration // of a task
	MaxTasksPerJob  int           // maximum number of tasks in a job; 0 for the usual mix of job sizes
	CancelShare     float64       // share of jobs that are cancelled
	// CancelInterval, if positive, makes cancellations coincide: those of all jobs that
	// arrive in the same interval take place at its end. Otherwise, a cancellation
	// follows the arrival of its job by a random time of less than MaxRunTime.
	CancelInterval time.Duration
}
