package wire

import (
	"slices"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
)

// Messages about tasks that run on a worker under a lease, between an entry and
// the guard of the worker. A task may be run again from the start, but never
// twice at the same time.

// RunHello opens a link from a guard whose worker runs tasks under leases.
type RunHello struct {
	Version     int                  `cbor:"1,keyasint"`
	MinVersion  int                  `cbor:"2,keyasint"`
	Incarnation identity.Incarnation `cbor:"3,keyasint"`
	Worker      RunWorker            `cbor:"4,keyasint"`
	Load        RunLoad              `cbor:"5,keyasint"`
	Revision    int64                `cbor:"6,keyasint,omitempty"` // configuration that the guard holds
	Software    string               `cbor:"7,keyasint,omitempty"` // version of the binary
	// Texts is where other guards fetch texts of jobs that this one has; empty for nowhere.
	Texts string `cbor:"8,keyasint,omitempty"`
}

// RunWelcome accepts a RunHello.
type RunWelcome struct {
	Version     int                  `cbor:"1,keyasint"`
	Incarnation identity.Incarnation `cbor:"2,keyasint"`
	Revision    int64                `cbor:"3,keyasint,omitempty"` // configuration in force at the entry
	Entries     []string             `cbor:"4,keyasint,omitempty"` // addresses the guard should link to
	Software    string               `cbor:"5,keyasint,omitempty"`
}

// RunWorker describes the worker beside a guard.
type RunWorker struct {
	ID       string     `cbor:"1,keyasint,omitempty"` // names one life of the worker; empty while there is none
	Service  string     `cbor:"2,keyasint,omitempty"`
	Domain   string     `cbor:"3,keyasint,omitempty"` // failure domain
	Rack     string     `cbor:"4,keyasint,omitempty"`
	Labels   []string   `cbor:"5,keyasint,omitempty"`
	Capacity sched.Room `cbor:"6,keyasint"`
	Usable   bool       `cbor:"7,keyasint,omitempty"`  // takes new tasks
	Leaving  bool       `cbor:"8,keyasint,omitempty"`  // announced its stop, or its guard did
	Slow     bool       `cbor:"9,keyasint,omitempty"`  // its runs advance much slower than expected
	Cold     bool       `cbor:"10,keyasint,omitempty"` // it says that it is slow for now, after its start or a drain
}

// RunLoad is a guard's state at one moment, as one entry is told it.
type RunLoad struct {
	ClockMs int64      `cbor:"1,keyasint"`           // the guard's clock, which counts suspended time
	Seen    uint64     `cbor:"2,keyasint,omitempty"` // Seq of the entry's last RunTasks that is counted in
	Free    sched.Room `cbor:"3,keyasint"`           // less what is offered to other entries
	AgeMs   int64      `cbor:"4,keyasint,omitempty"` // of the RunTasks that Seen tells, when it came
}

// RunTasks asks a guard to start tasks of one job. Those that do not fit are
// refused at once.
type RunTasks struct {
	Seq     uint64    `cbor:"1,keyasint"` // grows by one on a link
	ClockMs int64     `cbor:"2,keyasint"` // the guard's clock at sending, as the entry estimates it
	Job     string    `cbor:"3,keyasint"`
	Text    string    `cbor:"4,keyasint,omitempty"` // what the tasks are, for the worker
	LeftMs  int64     `cbor:"5,keyasint"`           // time until they are of no use and are stopped
	Tasks   []RunTask `cbor:"6,keyasint"`
	Demand  RunDemand `cbor:"7,keyasint"` // what is left without room after these
	// Request is the caller's name for its submission, for the guard's log: an entry
	// that loses its power leaves no line of the jobs that it had.
	Request string `cbor:"8,keyasint,omitempty"`
	// Packed is in place of Text where that saves something; Decode unpacks it.
	Packed *PackedText `cbor:"9,keyasint,omitempty"`
	// Source is the address of a guard that has the text, where it is left out.
	Source string `cbor:"10,keyasint,omitempty"`
	// Keep asks the guard to have the text ready for others.
	Keep bool `cbor:"11,keyasint,omitempty"`
	// SelfLimiting tells that the workers of the service refuse by themselves what does not
	// fit.
	SelfLimiting bool `cbor:"12,keyasint,omitempty"`
}

// RunDemand tells a guard what an entry's tasks that wait would take. The zero value
// means that none wait.
type RunDemand struct {
	CPU      int64 `cbor:"1,keyasint,omitempty"` // of all of them, thousandths of a core
	LeastCPU int64 `cbor:"2,keyasint,omitempty"` // of the smallest
	Priority int   `cbor:"3,keyasint,omitempty"` // of the most urgent; 0 goes first
	// UrgentCPU is the processor of the smallest among the most urgent.
	UrgentCPU int64 `cbor:"4,keyasint,omitempty"`
}

// RunTask is one task. Run numbers its starts, from 1.
type RunTask struct {
	Step  int        `cbor:"1,keyasint"`
	Index int        `cbor:"2,keyasint"`
	Run   int64      `cbor:"3,keyasint"`
	Need  sched.Room `cbor:"4,keyasint"`
	// ExpectMs is how long it is expected to run; 0 if that is not known.
	ExpectMs int64 `cbor:"5,keyasint,omitempty"`
	// Moved tells that an earlier run was given back as too slow; this one stays.
	Moved bool `cbor:"6,keyasint,omitempty"`
	// Crashes is under how many workers' crashes the task has run, or may have.
	Crashes int `cbor:"7,keyasint,omitempty"`
}

// RunsEnded tells the entry what became of its tasks.
type RunsEnded struct {
	Ends []RunEnd `cbor:"1,keyasint"`
	Load RunLoad  `cbor:"2,keyasint"`
}

// RunEnd is a guard's final word on one run: it does not run at this worker and
// never will.
type RunEnd struct {
	Job   string `cbor:"1,keyasint"`
	Step  int    `cbor:"2,keyasint"`
	Index int    `cbor:"3,keyasint"`
	Run   int64  `cbor:"4,keyasint"`
	// Kind is None if the task was done.
	Kind  errkind.Kind `cbor:"5,keyasint,omitempty"`
	Ran   errkind.Ran  `cbor:"6,keyasint,omitempty"`
	RunMs int64        `cbor:"7,keyasint,omitempty"` // from start to end
	// Renumber asks for a greater Run: the worker has seen this one or a later.
	Renumber bool `cbor:"8,keyasint,omitempty"`
	// NoText tells that the text was not to be had from its Source.
	NoText bool `cbor:"9,keyasint,omitempty"`
	// Crashed tells that the worker crashed while the run was there.
	Crashed bool `cbor:"10,keyasint,omitempty"`
	// Suspected tells that the worker crashed, and that the run may have been there.
	Suspected bool `cbor:"11,keyasint,omitempty"`
}

// StopRuns withdraws all tasks of a job. Those that started are ended.
type StopRuns struct {
	ClockMs int64  `cbor:"1,keyasint"`
	Job     string `cbor:"2,keyasint"`
}

// EntryBeat tells a guard that the entry lives and still wants its tasks there.
type EntryBeat struct {
	ClockMs int64 `cbor:"1,keyasint"` // as in RunTasks
	// Demand is of the tasks for which the entry sees no room; the guard then offers
	// it room that becomes free.
	Demand RunDemand `cbor:"2,keyasint"`
}

// GuardBeat tells an entry that the guard lives, and its state.
type GuardBeat struct {
	Load   RunLoad    `cbor:"1,keyasint"`
	Worker *RunWorker `cbor:"2,keyasint,omitempty"` // when it has changed
}

// Desired carries the operators' configuration as they wrote it. A process
// obeys the highest version that it has seen. Without a document it tells which
// version the sender has.
type Desired struct {
	Version  int64  `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint,omitempty"`
	Ask      bool   `cbor:"3,keyasint,omitempty"` // the sender asks for a newer one
	// A large document comes in pieces, in order: Document is the one that begins at Offset
	// of Size bytes. Size is 0 for a whole document.
	Offset int64 `cbor:"4,keyasint,omitempty"`
	Size   int64 `cbor:"5,keyasint,omitempty"`
}

// Drains lists the failure domains that the operators have asked to drain, as they stood at
// a revision of the store. A process obeys the highest revision that it has seen.
type Drains struct {
	Revision int64    `cbor:"1,keyasint"`           // 0: the sender does not know of drains yet
	Domains  []string `cbor:"2,keyasint,omitempty"` // sorted
}

// Has tells whether a failure domain is drained.
func (d *Drains) Has(domain string) bool { return slices.Contains(d.Domains, domain) }

// Same tells whether both list the same domains, at whatever revision.
func (d *Drains) Same(o *Drains) bool { return slices.Equal(d.Domains, o.Domains) }

// WorkerCrash tells an entry of other entries' tasks that were at a worker when it crashed:
// their jobs may come to it next.
type WorkerCrash struct {
	Tasks []TaskName `cbor:"1,keyasint"`
	// Suspects may have been there.
	Suspects []TaskName `cbor:"2,keyasint,omitempty"`
}

// TaskName names a task of a job.
type TaskName struct {
	Job   string `cbor:"1,keyasint"`
	Step  int    `cbor:"2,keyasint"`
	Index int    `cbor:"3,keyasint"`
}

// Entries lists the addresses of entries that the sender has come to know.
type Entries struct {
	Addresses []string `cbor:"1,keyasint"`
}

// JobQuery asks every other entry of a guard for a job. The guard relays it, as
// entries have no links to each other, and tells From by a JobReport with Asked how
// many entries it has relayed it to.
type JobQuery struct {
	Seq    uint64               `cbor:"1,keyasint"` // of From
	From   identity.Incarnation `cbor:"2,keyasint"` // the entry that asks
	Job    string               `cbor:"3,keyasint"`
	Cancel bool                 `cbor:"4,keyasint,omitempty"` // the job is to be withdrawn where it is under way
}

// JobReport answers a JobQuery. The guard relays it to the entry To.
type JobReport struct {
	Seq   uint64               `cbor:"1,keyasint"`
	To    identity.Incarnation `cbor:"2,keyasint"`
	State int                  `cbor:"3,keyasint,omitempty"` // a batch.State; 0 if the sender does not know the job
	Asked *int                 `cbor:"4,keyasint,omitempty"` // set by the guard: entries that were asked
}
