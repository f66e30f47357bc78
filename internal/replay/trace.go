// Package replay runs recorded traces against the real decision code: a
// dispatch.Core at each entry and a ledger.Ledger at each guard, under an
// explicit clock, joined by an event queue that delays their messages. It
// checks the promises that must always hold and the outcome that the trace
// states for each request, and measures response against an ideal.
//
// Same trace, same options: same report, to the last digit.
package replay

import (
	"time"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
)

// Trace is a topology, a policy and what happens. docs/trace-format.md
// describes the text form that Parse reads.
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
	// From and Until bound the arrivals that the measures count; a zero Until
	// counts to the end. What comes earlier warms the learned figures up.
	MeasureFrom, MeasureUntil time.Duration
}

// Delays of messages, one way.
type Delays struct {
	Client time.Duration // between a caller and an entry
	Domain time.Duration // between failure domains
	Local  time.Duration // inside a failure domain
}

// DefaultDelays are those of Ayni's sites.
var DefaultDelays = Delays{Client: time.Millisecond, Domain: 500 * time.Microsecond, Local: 100 * time.Microsecond}

// Entry is an entry process.
type Entry struct{ Name, Domain string }

// Worker is a worker with its guard and upstream.
type Worker struct {
	Name, Rack, Domain string
	Slots              int
	Accelerators       int
	MemoryMB           int // 0 if not known
}

// Op is what happens in an Event.
type Op string

// Operations of a trace.
const (
	OpSubmit    Op = "submit"
	OpResubmit  Op = "resubmit"
	OpCancel    Op = "cancel"
	OpKill      Op = "kill"      // process ends; peers see a reset
	OpRestart   Op = "restart"   // a new incarnation of a killed process
	OpPause     Op = "pause"     // process stands still; nobody is told
	OpResume    Op = "resume"    // it goes on with what waited for it
	OpCut       Op = "cut"       // messages between two processes are held up
	OpHeal      Op = "heal"      // they flow again
	OpReset     Op = "reset"     // a link breaks, with the messages on it
	OpDrain     Op = "drain"     // planned stop of a guard
	OpFailing   Op = "failing"   // the upstream fails every task at once
	OpWorking   Op = "working"   // the upstream is sound and of full speed
	OpSlow      Op = "slow"      // the upstream takes Factor times as long
	OpWarm      Op = "warm"      // the upstream is of full speed; no return by itself
	OpUnhealthy Op = "unhealthy" // the guard finds its upstream down
	OpHealthy   Op = "healthy"
	OpStoreDown Op = "store-down" // configuration cannot be read
	OpStoreUp   Op = "store-up"
	OpConfigure Op = "configure" // operators amend the policy in the store
)

// Event is one thing that happens at a moment.
type Event struct {
	At         time.Duration
	Op         Op
	Target     string // process, worker or job
	Other      string // second process, or the entry that is asked
	SlowFactor float64
	Request    *Request
	Want       *Want
	Policy     *dispatch.Policy
}

// Request is one submission of a job.
type Request struct {
	Job      string // name in the trace
	Team     string
	Deadline time.Duration // from the caller's submission
	Declared time.Duration // the caller's estimate of one task
	Need     dispatch.Need // of each task
	Tasks    []time.Duration
}

// Want is the outcome that a trace states for a submission. Ran is checked
// unless AnyRan is set; Before bounds the answer's time from submission.
type Want struct {
	Kinds  []errkind.Kind // any of these; None is a whole answer
	Lost   bool           // or the caller's connection breaks with its entry
	Ran    errkind.Ran
	AnyRan bool
	Before time.Duration
}

// Limit is a bound on one measure of the whole replay.
type Limit struct {
	Measure string
	AtLeast bool // else at most
	Value   float64
}

// Load is generated background traffic.
type Load struct {
	Start, Duration time.Duration
	OfferedShare    float64 // share of all slots that the work needs
	Seed            uint64
	Teams           []string // drawn evenly; empty for none
	Deadline        time.Duration
	MinRunTime      time.Duration
	MaxRunTime      time.Duration
	MaxTasksPerJob  int     // most tasks in a job; 0 for the usual mix
	CancelShare     float64 // share of jobs that are cancelled
	CancelInterval  time.Duration
}
