// Package runs owns the tasks that run on one worker under a lease: room, starts,
// ends, stops, and for which entries the guard still works. It is a state machine
// under an explicit clock, without goroutine, socket or lock. A guard feeds it
// what happens and carries out the actions that it returns.
//
// A task may be run again from the start, but never twice at the same time. The
// machine's final word on a run, a wire.RunEnd, therefore comes only once the run
// provably neither is at the worker nor will come there.
//
// Times are durations on the guard's clock, which counts the time in which its
// VM was suspended.
//
// The package may import errkind, identity, policy, sched and wire.
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

// Key names one run of one task.
type Key struct {
	Job         string
	Step, Index int
	Run         int64
}

func (k Key) compare(other Key) int {
	return cmp.Or(strings.Compare(k.Job, other.Job), k.Step-other.Step, k.Index-other.Index, cmp.Compare(k.Run, other.Run))
}

// Report is what a worker says of itself.
type Report struct {
	ID       string // names one life of the worker
	Seq      int64  // grows with each report of that life
	ClockMs  int64  // the worker's clock, in milliseconds
	Draining bool
	Service  string
	Domain   string // failure domain
	Rack     string
	Labels   []string
	Capacity sched.Room
	Cold     bool // it is slow for now, after its start or a drain
	// Recalled tells that an earlier guard was given the report: the capacity may have
	// shrunk since.
	Recalled bool `json:"-"`
}

// Bounds of a capacity that is believed.
const (
	maxCPU      = 1 << 30 // thousandths of a core
	maxMemoryMB = 1 << 30
	maxGPUs     = 1 << 16
)

// Check tells why a report names no worker to use, or nil. Another writer may have
// made it: without a clock, its worker would get a fencing token below those of earlier
// guards, and a capacity that is not to be believed would free room that is not there.
// A worker may have no capacity left for a while.
func (r *Report) Check() error {
	switch {
	case r.ID == "":
		return errors.New("report without id")
	case r.Service == "":
		return errors.New("report without service")
	case r.Domain == "":
		return errors.New("report without failure domain")
	case r.Seq < 0:
		return fmt.Errorf("report with number %d", r.Seq)
	case r.ClockMs <= 0:
		return fmt.Errorf("report with a clock of %d ms", r.ClockMs)
	case r.Capacity.CPU < 0 || r.Capacity.MemoryMB < 0 || r.Capacity.GPUs < 0,
		r.Capacity.CPU > maxCPU || r.Capacity.MemoryMB > maxMemoryMB || r.Capacity.GPUs > maxGPUs:
		return fmt.Errorf("report with a capacity of %+v", r.Capacity)
	}
	return nil
}

// Lease is what every order to the worker carries.
type Lease struct {
	Worker  string // the life that is meant; any other refuses
	Token   int64  // fencing token
	UntilMs int64  // end of the lease on the worker's clock; 0 leaves it as it is
}

// Start orders a run. Its answer goes to Machine.Started.
type Start struct {
	Lease
	Key      Key
	Text     string
	AnswerIn time.Duration // after which it counts as unanswered
}

// Fetch gets the text of a job from another guard. Its answer goes to Machine.Fetched.
type Fetch struct {
	From     identity.Incarnation // the entry whose job it is
	Job      string
	Source   string        // address of the guard
	AnswerIn time.Duration // after which it counts as not to be had
}

// Stop orders the end of a run, or that it is never started. Its answer goes to
// Machine.Stopped.
type Stop struct {
	Lease
	Key      Key
	AnswerIn time.Duration // after which it counts as unanswered
}

// Hold renews the lease and asks what runs and what has ended. Its answer goes
// to Machine.Held. Only one is under way at a time.
type Hold struct {
	Lease
	Ack      int64         // ends up to this number are noted
	Wait     time.Duration // the worker answers when something ends, or after this time
	AnswerIn time.Duration // it counts as unanswered after Wait and this time
}

// Send is a frame for an entry.
type Send struct {
	To    identity.Incarnation
	Frame *wire.Frame
}

// Action is one thing that the owner of a Machine must do. Exactly one field is
// set.
type Action struct {
	Fetch *Fetch
	Start *Start
	Stop  *Stop
	Hold  *Hold
	Send  *Send
}

// Verdict is a worker's answer to an order.
type Verdict uint8

// Verdicts. All but Done and NoAnswer mean that the order had no effect.
const (
	Done        Verdict = iota
	NoAnswer            // it may have been carried out, or may be later
	NoRoom              // the worker has no room for the run
	Outdated            // the worker has seen this run or a later one
	LeaseOver           // the lease had ended when the order came
	FencedOff           // the worker has seen a greater fencing token
	OtherWorker         // the address belongs to another life of a worker
	Unhealthy           // the worker takes no orders now
	Malformed           // the worker does not understand the order
)

// String gives the word that logs have.
func (v Verdict) String() string {
	return [...]string{"done", "no answer", "no room", "outdated", "lease over", "fenced off", "other worker", "unhealthy", "malformed"}[v]
}

// StartAnswer answers a Start.
type StartAnswer struct {
	Verdict Verdict
	ClockMs int64 // the worker's clock; 0 if it was not told
}

// How tells how a run ended.
type How uint8

// Ways in which a run ends.
const (
	EndDone How = iota
	EndFailed
	EndStopped
	EndLapsed // its lease ended
)

// Ended is an end that a worker lists.
type Ended struct {
	Number int64 // grows by one in each life of the worker
	Key    Key
	How    How
}

// Active is a run that a worker lists as present.
type Active struct {
	Key     Key
	Percent int64 // of its work
}

// HoldAnswer answers a Hold.
type HoldAnswer struct {
	Verdict Verdict
	Gone    bool // with NoAnswer: nothing listens at the worker's address
	ClockMs int64
	Active  []Active
	Ended   []Ended
}

// Options of a Machine.
type Options struct {
	Timing Timing     // that for the default if left out
	Off    policy.Set // mechanisms that are switched off
}

// Bounds in time of the machine.
const (
	// renewInterval is how long a Hold waits for an end. A busy worker answers sooner;
	// the answer to one that is lost is missed only after this time.
	renewInterval = 60 * time.Millisecond
	// orderTimeout is when an order counts as unanswered: a worker on the guard's own
	// VM answers in one or two milliseconds, and the guard's processor pauses
	// for up to 20 ms.
	orderTimeout = 40 * time.Millisecond
	// fetchTimeout is when the text of a job counts as not to be had from another guard:
	// a connection and an answer between failure domains, and pauses of two processors.
	fetchTimeout = 120 * time.Millisecond
	// maxStartAttempts is how often a start is sent before it is given up.
	maxStartAttempts = 3
	// MaxStopDelay bounds how long an acknowledged stop takes at the worker, with
	// margin.
	MaxStopDelay = 100 * time.Millisecond
	// orderRetryDelay is the pause before an order without an answer is repeated.
	orderRetryDelay = 30 * time.Millisecond
	// clockSkewMargin is by how much longer than Timing.Lease a lease may last. The
	// worker's clock may be 2% slow: over the lease, and over the time since its
	// last report, of which one comes every 1.5 s.
	clockSkewMargin = 50 * time.Millisecond
	// probeInterval is how often a worker that does not answer is asked again.
	probeInterval = 500 * time.Millisecond
	// maxUnansweredHolds is how many Holds in a row go unanswered before a worker counts
	// as unreachable, which takes about as long as its lease.
	maxUnansweredHolds = 4
)
