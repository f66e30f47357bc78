// Package runs manages the task runs on one worker: it allocates the worker's capacity,
// starts and stops runs, renews the worker's lease, and stops the runs of entries that
// have gone silent. It is a state machine with an explicit clock and has no goroutines,
// sockets or locks. A guard passes events to it and carries out the actions that it
// returns.
//
// A task may be run again from the start, but two runs of it must never overlap. The
// machine therefore reports the end of a run (wire.RunEnd) only when the run is proved
// to be neither at the worker nor on its way there.
//
// All times are durations on the guard's clock, which includes time during which its
// VM was suspended.
//
// The package may import only errkind, identity, policy, sched and wire of this project.
package runs

import (
	"cmp"
	"errors"
	"fmt"
	"strings"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/policy"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// Key identifies one run of one task.
type Key struct {
	Job         string
	Step, Index int
	Run         int64
}

func (k Key) compare(other Key) int {
	return cmp.Or(strings.Compare(k.Job, other.Job), k.Step-other.Step, k.Index-other.Index, cmp.Compare(k.Run, other.Run))
}

// Report is a status report of a worker.
type Report struct {
	wire.WorkerInstance
	Seq      int64 // increases with each report of the instance
	ClockMs  int64 // the worker's clock, in milliseconds
	Draining bool
	Service  string
	Domain   string // failure domain
	Rack     string
	Labels   []string
	Capacity sched.Resources
	Cold     bool // temporarily slow after a start or a drain
	// IsRecalled reports whether an earlier process of the guard received and stored the
	// report. The capacity may have shrunk since.
	IsRecalled bool `json:"-"`
}

// Upper limits of a plausible capacity.
const (
	maxCPU      = 1 << 30 // thousandths of a core
	maxMemoryMB = 1 << 30
	maxGPUs     = 1 << 16
)

// maxTimeMs is the upper limit of a plausible clock or start time, in milliseconds. The fencing token
// follows from both: a report of another program could raise it beyond what any guard can exceed.
const maxTimeMs = 1 << 43

// Check returns an error if the report does not describe a usable worker. The report may come from
// another program than a worker: without a clock, the worker would get a fencing token below those
// of earlier guards, and an implausible capacity would allow more tasks than the worker has room
// for. A capacity of zero is valid, because a worker may temporarily have none left.
func (r *Report) Check() error {
	switch {
	case r.ID == "":
		return errors.New("report without id")
	case r.Service == "":
		return errors.New("report without service")
	case r.Domain == "":
		return errors.New("report without failure domain")
	case r.StartMs < 0 || r.StartMs > maxTimeMs:
		return fmt.Errorf("report with a start time of %d ms", r.StartMs)
	case r.Seq < 0:
		return fmt.Errorf("report with number %d", r.Seq)
	case r.ClockMs <= 0 || r.ClockMs > maxTimeMs:
		return fmt.Errorf("report with a clock of %d ms", r.ClockMs)
	case r.Capacity.CPU < 0 || r.Capacity.MemoryMB < 0 || r.Capacity.GPUs < 0,
		r.Capacity.CPU > maxCPU || r.Capacity.MemoryMB > maxMemoryMB || r.Capacity.GPUs > maxGPUs:
		return fmt.Errorf("report with a capacity of %+v", r.Capacity)
	}
	return nil
}

// Lease is the part that all requests to the worker have in common.
type Lease struct {
	Worker  wire.WorkerInstance // the addressed instance; a worker with another ID refuses
	Token   int64               // fencing token
	UntilMs int64               // end of the lease on the worker's clock; 0 leaves it unchanged
}

// Start requests that the worker start a run. Pass the answer to
// Machine.HandleStartAnswer.
type Start struct {
	Lease
	Key     Key
	Text    string        // description of the job's tasks, for the worker
	Timeout time.Duration // after this time the verdict is NoAnswer
}

// Fetch requests the text of a job from another guard. Pass the answer to
// Machine.HandleFetchAnswer.
type Fetch struct {
	From    identity.Incarnation // the entry that sent the job
	Job     string
	Source  string        // address of the other guard
	Timeout time.Duration // after this time the text counts as unavailable
}

// Stop requests that the worker end a run, or never start it. Pass the answer to
// Machine.HandleStopAnswer.
type Stop struct {
	Lease
	Key     Key
	Timeout time.Duration // after this time the verdict is NoAnswer
}

// Hold is a long poll that renews the lease and requests the lists of active and ended
// runs. Pass the answer to Machine.HandleHoldAnswer. At most one Hold is in flight at a time.
type Hold struct {
	Lease
	Ack     int64         // acknowledges the ends up to this number
	Wait    time.Duration // the worker answers when a run ends, at the latest after Wait
	Timeout time.Duration // after Wait and this time the verdict is NoAnswer
}

// Send is a frame to send to an entry.
type Send struct {
	To    identity.Incarnation
	Frame *wire.Frame
}

// Action is a request that the owner of a Machine must carry out. Exactly one field is
// set.
type Action struct {
	// RejectedReport is a report whose instance is not at the worker's address. It was delayed, or
	// comes from another program; the owner logs and counts it.
	RejectedReport *Report
	// CrashReport lists all tasks that may have caused a crash of the worker, for the entries that
	// are not linked to this guard.
	CrashReport *wire.WorkerCrash

	Fetch *Fetch
	Start *Start
	Stop  *Stop
	Hold  *Hold
	Send  *Send
}

// Verdict is the result of a request to a worker.
type Verdict uint8

// Verdicts. All except Done and NoAnswer mean that the request had no effect.
const (
	Done          Verdict = iota
	NoAnswer              // the request may have been carried out, or may still be
	NoRoom                // the worker has too little free capacity for the run
	Outdated              // the worker has seen this run or a later one of the task
	LeaseExpired          // the lease had expired when the request arrived
	FencedOff             // the worker has seen a greater fencing token
	WrongInstance         // another worker instance has the address
	Unhealthy             // the worker accepts no requests at present
	Malformed             // the worker cannot parse the request
)

// String returns the name that logs show.
func (v Verdict) String() string {
	return [...]string{"done", "no answer", "no room", "outdated", "lease over", "fenced off", "other worker", "unhealthy", "malformed"}[v]
}

// StartAnswer is the answer to a Start.
type StartAnswer struct {
	Verdict    Verdict
	IsConnLost bool  // with NoAnswer: the connection was refused, reset or closed
	ClockMs    int64 // the worker's clock; 0 if the answer has none
}

// Outcome is the outcome of a run at the worker.
type Outcome uint8

// Outcomes of a run.
const (
	EndDone Outcome = iota
	EndFailed
	EndStopped
	EndLeaseExpired // the lease expired
)

// Ended is an entry in a worker's list of ended runs.
type Ended struct {
	Number  int64 // counts the ended runs of a worker instance
	Key     Key
	Outcome Outcome
}

// Active is an entry in a worker's list of active runs.
type Active struct {
	Key     Key
	Percent int64 // progress
}

// HoldAnswer is the answer to a Hold.
type HoldAnswer struct {
	Verdict       Verdict
	IsConnRefused bool  // with NoAnswer: the worker's address refused the connection
	IsConnLost    bool  // with NoAnswer: the connection was refused, reset or closed
	StartMs       int64 // start time of the instance that answered; 0 if the answer has none
	ClockMs       int64
	Active        []Active
	Ended         []Ended
}

// Options configures a Machine.
type Options struct {
	Timing   Timing        // the zero value selects the timing for DefaultResendDelay
	MaxLease time.Duration // longest lease that a worker accepts; DefaultMaxLease if 0
	Disabled policy.Set    // disabled mechanisms
}

// DefaultMaxLease is the longest lease that a worker accepts, unless the settings give another one.
const DefaultMaxLease = time.Second

// Timeouts, intervals and limits of the machine.
const (
	// renewInterval is how long a Hold waits for a run to end. A busy worker answers
	// sooner. A lost answer is not noticed before this time has passed.
	renewInterval = 60 * time.Millisecond
	// requestTimeout is the timeout of a request to the worker. A worker on the guard's
	// own VM answers within one or two milliseconds, and the guard's processor may pause
	// for up to 20 ms.
	requestTimeout = 40 * time.Millisecond
	// fetchTimeout is the timeout for fetching the text of a job from another guard. It
	// covers connecting and answering between failure domains, and pauses of both
	// processors.
	fetchTimeout = 120 * time.Millisecond
	// maxStartAttempts is how often a start is sent before it is abandoned.
	maxStartAttempts = 3
	// MaxStopDelay is the longest time, including a margin, that the worker takes to end
	// a run after it has acknowledged the stop.
	MaxStopDelay = 100 * time.Millisecond
	// requestRetryDelay is the delay before an unanswered request is sent again.
	requestRetryDelay = 30 * time.Millisecond
	// clockSkewMargin is how much longer than Timing.Lease a lease may last on the
	// guard's clock. The worker's clock may be 2% slow, both during the lease and since
	// its last report; reports come every 1.5 s.
	clockSkewMargin = 50 * time.Millisecond
	// probeInterval is the interval between Holds to an unreachable worker.
	probeInterval = 500 * time.Millisecond
	// maxUnansweredHolds is the number of consecutive unanswered Holds after which a
	// worker counts as unreachable. They take about as long as its lease.
	maxUnansweredHolds = 4
)
