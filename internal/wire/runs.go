package wire

import (
	"slices"
	"strconv"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
)

// Messages between an entry and the guard of a worker about tasks that run under a lease.
// Such a task may be restarted from the beginning, but never runs twice at the same time.

// RunHello opens a link from a guard whose worker runs tasks under leases.
type RunHello struct {
	Version     int                  `cbor:"1,keyasint"`
	MinVersion  int                  `cbor:"2,keyasint"`
	Incarnation identity.Incarnation `cbor:"3,keyasint"`
	Worker      RunWorker            `cbor:"4,keyasint"`
	Load        RunLoad              `cbor:"5,keyasint"`
	Revision    int64                `cbor:"6,keyasint,omitempty"` // revision of the configuration that the guard holds
	Software    string               `cbor:"7,keyasint,omitempty"` // version of the binary
	// Texts is the address where other guards can fetch job texts that this guard holds;
	// empty if they cannot.
	Texts string `cbor:"8,keyasint,omitempty"`
}

// RunWelcome accepts a RunHello.
type RunWelcome struct {
	Version     int                  `cbor:"1,keyasint"`
	Incarnation identity.Incarnation `cbor:"2,keyasint"`
	Revision    int64                `cbor:"3,keyasint,omitempty"` // revision of the configuration that the entry applies
	Entries     []string             `cbor:"4,keyasint,omitempty"` // addresses of further entries
	Software    string               `cbor:"5,keyasint,omitempty"`
	LinkAll     bool                 `cbor:"6,keyasint,omitempty"` // as in Entries
}

// WorkerInstance identifies one start of a worker. A worker that restarts under the same ID has
// another start time, and retains nothing of the earlier instance: neither runs nor clock, fencing
// token or numbers.
type WorkerInstance struct {
	ID string `cbor:"1,keyasint,omitempty"` // empty if there is no worker
	// StartMs is the Unix time of the start in milliseconds. It is 0 if the worker does not report
	// it; every instance then has an ID of its own.
	StartMs int64 `cbor:"11,keyasint,omitempty" json:",omitempty"`
}

// String returns the form that logs show.
func (w WorkerInstance) String() string {
	if w.StartMs == 0 {
		return w.ID
	}
	return w.ID + "@" + strconv.FormatInt(w.StartMs, 10)
}

// RunWorker describes the worker of a guard. Its ID is empty while there is no worker.
type RunWorker struct {
	WorkerInstance
	Service  string          `cbor:"2,keyasint,omitempty"`
	Domain   string          `cbor:"3,keyasint,omitempty"` // failure domain
	Rack     string          `cbor:"4,keyasint,omitempty"`
	Labels   []string        `cbor:"5,keyasint,omitempty"`
	Capacity sched.Resources `cbor:"6,keyasint"`
	Usable   bool            `cbor:"7,keyasint,omitempty"`  // accepts new tasks
	Leaving  bool            `cbor:"8,keyasint,omitempty"`  // the worker or its guard has announced that it stops
	Slow     bool            `cbor:"9,keyasint,omitempty"`  // its runs progress much more slowly than expected
	Cold     bool            `cbor:"10,keyasint,omitempty"` // it reports that it is slow for now, after its start or a drain
	// SlownessPercent is how long runs take there relative to the time expected of them, in percent;
	// 0 if they take about that time.
	SlownessPercent int `cbor:"12,keyasint,omitempty"`
}

// Slowness returns how long runs take on the worker relative to the time expected of them.
func (w *RunWorker) Slowness() float64 {
	if w.SlownessPercent == 0 {
		return 1
	}
	return float64(w.SlownessPercent) / 100
}

// RunLoad is the state of a guard at one moment, as reported to one entry.
type RunLoad struct {
	ClockMs int64           `cbor:"1,keyasint"`           // the guard's clock, which includes time in suspension
	SeenSeq uint64          `cbor:"2,keyasint,omitempty"` // Seq of the last RunTasks of the entry that this report accounts for
	Free    sched.Resources `cbor:"3,keyasint"`           // free capacity, without what is offered to other entries
	AgeMs   int64           `cbor:"4,keyasint,omitempty"` // age of the RunTasks with Seq SeenSeq when it arrived
	// Asked is the sum of what the entries linked to the guard ask for; nil if it is not due.
	Asked *sched.AskedWork `cbor:"5,keyasint,omitempty"`
}

// RunTasks asks a guard to start tasks of one job. Tasks that do not fit are refused at
// once.
type RunTasks struct {
	Seq     uint64    `cbor:"1,keyasint"` // increases by one with each RunTasks on a link
	ClockMs int64     `cbor:"2,keyasint"` // the guard's clock at the time of sending, as estimated by the entry
	Job     string    `cbor:"3,keyasint"`
	Text    string    `cbor:"4,keyasint,omitempty"` // description of the tasks for the worker
	LeftMs  int64     `cbor:"5,keyasint"`           // time until the tasks are obsolete and are stopped
	Tasks   []RunTask `cbor:"6,keyasint"`
	Demand  RunDemand `cbor:"7,keyasint"` // demand that remains without capacity after these tasks
	// Request is the caller's name for its submission. The guard logs it, since an entry
	// that loses power leaves no log of its jobs.
	Request string `cbor:"8,keyasint,omitempty"`
	// Packed replaces Text where that saves bytes; Decode decompresses it.
	Packed *PackedText `cbor:"9,keyasint,omitempty"`
	// Source is the address of a guard that holds the text, if the text is left out.
	Source string `cbor:"10,keyasint,omitempty"`
	// Keep asks the guard to keep the text available for other guards.
	Keep bool `cbor:"11,keyasint,omitempty"`
	// SelfLimiting reports that the workers of the service refuse tasks that do not fit.
	SelfLimiting bool `cbor:"12,keyasint,omitempty"`
	// Asked is what the callers of the entry ask for; nil if it is not due.
	Asked *sched.AskedWork `cbor:"13,keyasint,omitempty"`
	// WaitedMs is the age of the oldest of the most urgent jobs that wait.
	WaitedMs int64 `cbor:"14,keyasint,omitempty"`
	// StrictOffers is set if the entry uses the capacity that it is offered only for tasks as urgent
	// as the demand that it has stated.
	StrictOffers bool `cbor:"15,keyasint,omitempty"`
}

// RunDemand describes the resources that the waiting tasks of an entry need. The zero value
// means that no task waits.
type RunDemand struct {
	CPU      int64 `cbor:"1,keyasint,omitempty"` // total, in thousandths of a core
	MinCPU   int64 `cbor:"2,keyasint,omitempty"` // of the smallest task
	Priority int   `cbor:"3,keyasint,omitempty"` // of the most urgent task; 0 is the most urgent
	// MinUrgentCPU is the CPU need of the smallest of the most urgent tasks.
	MinUrgentCPU int64 `cbor:"4,keyasint,omitempty"`
	// OverShare is set if all of the most urgent tasks are beyond their callers' shares.
	OverShare bool `cbor:"5,keyasint,omitempty"`
}

// IsMoreUrgent reports whether the most urgent tasks go before those of another demand.
func (d *RunDemand) IsMoreUrgent(other *RunDemand) bool {
	if d.Priority != other.Priority {
		return d.Priority < other.Priority
	}
	return !d.OverShare && other.OverShare
}

// RunTask is one task to start. Run numbers the starts of the task, from 1.
type RunTask struct {
	Step  int             `cbor:"1,keyasint"`
	Index int             `cbor:"2,keyasint"`
	Run   int64           `cbor:"3,keyasint"`
	Need  sched.Resources `cbor:"4,keyasint"`
	// ExpectMs is the expected run time; 0 if unknown.
	ExpectMs int64 `cbor:"5,keyasint,omitempty"`
	// Relocated reports that an earlier run was returned because it was too slow; this run
	// must not be returned again.
	Relocated bool `cbor:"6,keyasint,omitempty"`
	// Crashes counts the worker crashes during which the task was running or may have been.
	Crashes int `cbor:"7,keyasint,omitempty"`
}

// RunsEnded reports the outcome of runs to the entry.
type RunsEnded struct {
	Ends []RunEnd `cbor:"1,keyasint"`
	Load RunLoad  `cbor:"2,keyasint"`
}

// RunEnd is the final report on one run: it is not running at this worker and never will
// be.
type RunEnd struct {
	Job   string `cbor:"1,keyasint"`
	Step  int    `cbor:"2,keyasint"`
	Index int    `cbor:"3,keyasint"`
	Run   int64  `cbor:"4,keyasint"`
	// Kind is None if the task completed.
	Kind  errkind.Kind `cbor:"5,keyasint,omitempty"`
	Ran   errkind.Ran  `cbor:"6,keyasint,omitempty"`
	RunMs int64        `cbor:"7,keyasint,omitempty"` // from start to end
	// Renumber requests a greater Run: the worker has already seen this one or a later one.
	Renumber bool `cbor:"8,keyasint,omitempty"`
	// TextUnavailable reports that the text could not be fetched from its Source.
	TextUnavailable bool `cbor:"9,keyasint,omitempty"`
	// Crashed reports that the worker crashed while the run was on it.
	Crashed bool `cbor:"10,keyasint,omitempty"`
	// Suspected reports that the worker crashed and that the run may have been on it.
	Suspected bool `cbor:"11,keyasint,omitempty"`
}

// StopRuns withdraws all tasks of a job. Running tasks are terminated.
type StopRuns struct {
	ClockMs int64  `cbor:"1,keyasint"`
	Job     string `cbor:"2,keyasint"`
}

// EntryHeartbeat is the heartbeat of an entry: it is alive and still needs its tasks at the
// guard.
type EntryHeartbeat struct {
	ClockMs int64 `cbor:"1,keyasint"` // as in RunTasks
	// Demand covers the tasks for which the entry sees no capacity. The guard offers
	// capacity to the entry when some becomes free.
	Demand RunDemand `cbor:"2,keyasint"`
	// Asked, WaitedMs and StrictOffers are as in RunTasks.
	Asked        *sched.AskedWork `cbor:"3,keyasint,omitempty"`
	WaitedMs     int64            `cbor:"4,keyasint,omitempty"`
	StrictOffers bool             `cbor:"5,keyasint,omitempty"`
}

// GuardHeartbeat is the heartbeat of a guard, with its state.
type GuardHeartbeat struct {
	Load   RunLoad    `cbor:"1,keyasint"`
	Worker *RunWorker `cbor:"2,keyasint,omitempty"` // set if it has changed
}

// DesiredConfig carries the operators' configuration document as they wrote it. A process
// applies the highest version that it has received. Without a document the message only
// announces the version that the sender holds.
type DesiredConfig struct {
	Version  int64  `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint,omitempty"`
	Ask      bool   `cbor:"3,keyasint,omitempty"` // the sender requests a newer version
	// A large document is sent in pieces, in order: Document is the piece that begins at
	// Offset of Size bytes. Size is 0 for a complete document.
	Offset int64 `cbor:"4,keyasint,omitempty"`
	Size   int64 `cbor:"5,keyasint,omitempty"`
}

// Drains lists the failure domains that the operators have asked to drain, as of a revision
// of the store. A process applies the highest revision that it has received.
type Drains struct {
	Revision int64    `cbor:"1,keyasint"`           // 0: the sender has no information about drains yet
	Domains  []string `cbor:"2,keyasint,omitempty"` // sorted
}

// Contains reports whether a failure domain is drained.
func (d *Drains) Contains(domain string) bool { return slices.Contains(d.Domains, domain) }

// SameDomains reports whether both list the same domains, regardless of the revision.
func (d *Drains) SameDomains(o *Drains) bool { return slices.Equal(d.Domains, o.Domains) }

// WorkerCrash reports to an entry which tasks of other entries were on a worker when it
// crashed, since their jobs may be submitted to this entry next.
type WorkerCrash struct {
	Tasks []TaskName `cbor:"1,keyasint"`
	// Suspects lists the tasks that may have been on the worker.
	Suspects []TaskName `cbor:"2,keyasint,omitempty"`
}

// TaskName identifies a task of a job.
type TaskName struct {
	Job   string `cbor:"1,keyasint"`
	Step  int    `cbor:"2,keyasint"`
	Index int    `cbor:"3,keyasint"`
}

// CrashRelay carries the report of a worker crash from a guard that is linked to a part of the
// entries to the other entries: to an entry of the guard, which sends it to further guards, and
// from these to their entries.
type CrashRelay struct {
	Origin identity.Incarnation `cbor:"1,keyasint"` // guard of the worker
	Seq    uint64               `cbor:"2,keyasint"` // counts the crashes that Origin has reported
	Crash  WorkerCrash          `cbor:"3,keyasint"`
	// Targets are the addresses of the entries to which the guard that receives the frame passes
	// it on; empty in other frames.
	Targets []string `cbor:"4,keyasint,omitempty"`
}

// Entries lists the entry addresses that the sender has learned. Entries send them to guards, and a guard
// to an entry that asks for them.
type Entries struct {
	Addresses []string `cbor:"1,keyasint"`
	// LinkAll asks a guard of the entry's choice to link to all entries, as its service has few
	// guards. Only the announcers of a guard send it.
	LinkAll bool `cbor:"2,keyasint,omitempty"`
	// Ask is set by an entry that cannot read the list of entries from the store: the guard answers with the
	// addresses that it knows.
	Ask bool `cbor:"3,keyasint,omitempty"`
}

// JobQuery asks other entries for a job. A guard relays it, since entries have no links to each
// other, and reports to From how many entries it has relayed it to, in a JobReport with
// QueriedEntries. A guard may be linked to a part of the entries only; several then get a JobQuery
// with the same Seq and different Targets.
type JobQuery struct {
	Seq    uint64               `cbor:"1,keyasint"` // assigned by From
	From   identity.Incarnation `cbor:"2,keyasint"` // entry that asks
	Job    string               `cbor:"3,keyasint"`
	Cancel bool                 `cbor:"4,keyasint,omitempty"` // cancel the job where it is in progress
	// Targets are the addresses of the entries that the guard asks; empty for all of its entries.
	Targets []string `cbor:"5,keyasint,omitempty"`
}

// CancelledJobs tells an entry that links to a guard which jobs were cancelled recently, by the JobQuery
// frames that the guard has relayed. The entry may have started, or been unreachable, since.
type CancelledJobs struct {
	Jobs []string `cbor:"1,keyasint"`
}

// JobReport is the response to a JobQuery. The guard relays it to the entry To.
type JobReport struct {
	Seq            uint64               `cbor:"1,keyasint"`
	To             identity.Incarnation `cbor:"2,keyasint"`
	State          int                  `cbor:"3,keyasint,omitempty"` // a batch.State; 0 if the job is unknown to the sender
	QueriedEntries *int                 `cbor:"4,keyasint,omitempty"` // set by the guard: number of entries that were asked
	Address        string               `cbor:"5,keyasint,omitempty"` // of the entry that reports; empty if a guard does
	Unreached      []string             `cbor:"6,keyasint,omitempty"` // set by the guard: targets to which it has no link
}
