// Package wire defines the protocol between the processes of the system: typed messages,
// their CBOR encoding, and a link that carries them over WebSocket.
//
// Every field has an integer key that is never reused with another meaning. A decoder
// ignores unknown keys, and a missing key decodes as the zero value, so that processes of
// adjacent versions are compatible. Times on the wire are durations in milliseconds, never
// readings of another machine's clock; the exception is the creation times of identities.
//
// The package may import errkind, identity, membudget and sched, and nothing else of the project.
package wire

import (
	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
)

// Version is the protocol version of this build. MinVersion is the oldest version that it
// accepts from a peer.
const (
	Version    = 4
	MinVersion = 1
)

// Protocol versions in which features were introduced.
const (
	PackedTextVersion    = 2 // compressed job texts
	ConfigRequestVersion = 2 // an entry requests a configuration whose version is announced to it
	ConfigPiecesVersion  = 3 // a guard accepts a configuration in pieces
)

// Frame is the content of one WebSocket message. Exactly one of its fields is set. A frame
// with none set has a type that only newer versions define; it is counted and ignored.
type Frame struct {
	Hello          *Hello          `cbor:"1,keyasint,omitempty"`
	Welcome        *Welcome        `cbor:"2,keyasint,omitempty"`
	Start          *Start          `cbor:"3,keyasint,omitempty"`
	Result         *Result         `cbor:"4,keyasint,omitempty"`
	Cancel         *Cancel         `cbor:"5,keyasint,omitempty"`
	Load           *Load           `cbor:"6,keyasint,omitempty"`
	Reserve        *Reserve        `cbor:"7,keyasint,omitempty"`
	Offer          *Offer          `cbor:"8,keyasint,omitempty"`
	Fence          *Fence          `cbor:"9,keyasint,omitempty"`
	FenceReport    *FenceReport    `cbor:"10,keyasint,omitempty"`
	Config         *Config         `cbor:"11,keyasint,omitempty"`
	ConfigAck      *ConfigAck      `cbor:"12,keyasint,omitempty"`
	PeerHello      *PeerHello      `cbor:"13,keyasint,omitempty"`
	Promise        *Promise        `cbor:"14,keyasint,omitempty"`
	Roster         *Roster         `cbor:"15,keyasint,omitempty"`
	Join           *Join           `cbor:"16,keyasint,omitempty"`
	Forward        *Forward        `cbor:"17,keyasint,omitempty"`
	Forwarded      *Forwarded      `cbor:"18,keyasint,omitempty"`
	Collect        *Collect        `cbor:"19,keyasint,omitempty"`
	Collected      *Collected      `cbor:"20,keyasint,omitempty"`
	StopNotice     *StopNotice     `cbor:"21,keyasint,omitempty"`
	Witness        *Witness        `cbor:"22,keyasint,omitempty"`
	WitnessAck     *WitnessAck     `cbor:"23,keyasint,omitempty"`
	RunHello       *RunHello       `cbor:"24,keyasint,omitempty"`
	RunWelcome     *RunWelcome     `cbor:"25,keyasint,omitempty"`
	RunTasks       *RunTasks       `cbor:"26,keyasint,omitempty"`
	RunsEnded      *RunsEnded      `cbor:"27,keyasint,omitempty"`
	StopRuns       *StopRuns       `cbor:"28,keyasint,omitempty"`
	EntryHeartbeat *EntryHeartbeat `cbor:"29,keyasint,omitempty"`
	GuardHeartbeat *GuardHeartbeat `cbor:"30,keyasint,omitempty"`
	DesiredConfig  *DesiredConfig  `cbor:"31,keyasint,omitempty"`
	Entries        *Entries        `cbor:"32,keyasint,omitempty"`
	JobQuery       *JobQuery       `cbor:"33,keyasint,omitempty"`
	JobReport      *JobReport      `cbor:"34,keyasint,omitempty"`
	Drains         *Drains         `cbor:"35,keyasint,omitempty"`
	WorkerCrash    *WorkerCrash    `cbor:"36,keyasint,omitempty"`
	CrashRelay     *CrashRelay     `cbor:"37,keyasint,omitempty"`
	CancelledJobs  *CancelledJobs  `cbor:"38,keyasint,omitempty"`
}

// Hello opens a link from a guard to an entry and describes the guard's upstream.
type Hello struct {
	Version     int                  `cbor:"1,keyasint"`
	MinVersion  int                  `cbor:"2,keyasint"`
	Incarnation identity.Incarnation `cbor:"3,keyasint"`
	Service     string               `cbor:"4,keyasint"` // "member/service"
	Worker      string               `cbor:"5,keyasint"`
	Rack        string               `cbor:"6,keyasint"`
	Domain      string               `cbor:"7,keyasint"` // failure domain
	Region      string               `cbor:"8,keyasint"`
	Slots       int                  `cbor:"9,keyasint"`
	Accelerator int                  `cbor:"10,keyasint,omitempty"` // number of accelerators of the worker
	Revision    int64                `cbor:"11,keyasint,omitempty"` // revision of the configuration that the guard applies
	Load        Load                 `cbor:"12,keyasint"`
	Software    string               `cbor:"13,keyasint,omitempty"` // version of the binary
	Key         string               `cbor:"14,keyasint,omitempty"` // guard key of the member, or key of the fleet
	MemoryMB    int                  `cbor:"15,keyasint,omitempty"` // memory of the worker in megabytes; 0 if unknown
}

// Welcome accepts a Hello.
type Welcome struct {
	Version     int                  `cbor:"1,keyasint"`
	Incarnation identity.Incarnation `cbor:"2,keyasint"`
	Revision    int64                `cbor:"3,keyasint"`
	Entries     []EntryAddr          `cbor:"4,keyasint,omitempty"` // further entries that the guard should link to
	Software    string               `cbor:"5,keyasint,omitempty"`
}

// EntryAddr is the address of an entry.
type EntryAddr struct {
	Incarnation identity.Incarnation `cbor:"1,keyasint" json:"incarnation"`
	Inner       string               `cbor:"2,keyasint" json:"inner"` // host:port of the inner protocol
	Domain      string               `cbor:"3,keyasint,omitempty" json:"domain,omitempty"`
}

// Ref identifies a task permanently: the identity of the member's job and the index of the
// task in it.
type Ref struct {
	Member string `cbor:"1,keyasint"`
	Key    string `cbor:"2,keyasint"`
	Task   int    `cbor:"3,keyasint"`
}

// Start asks a guard to start a task. A guard starts a Ref at most once, however many Start
// frames it receives.
type Start struct {
	Ref     Ref                  `cbor:"1,keyasint"`
	Of      int                  `cbor:"2,keyasint"`           // number of tasks in the job
	Home    identity.Incarnation `cbor:"3,keyasint"`           // entry that owns the job
	LeftMs  int64                `cbor:"4,keyasint"`           // time left until the deadline
	WaitMs  int64                `cbor:"5,keyasint,omitempty"` // how long the task may wait for a slot; 0 means refuse with Busy if none is free
	Body    []byte               `cbor:"6,keyasint"`
	OfferID uint64               `cbor:"7,keyasint,omitempty"` // ID of the Offer that this start uses
}

// Result reports the outcome of a task.
//
// If Kind is None the task ran, and Status and Body are the upstream's answer. If Ran is
// RanNo the result is final: this guard has not started the Ref and never will. Only then
// may the entry send the task to another guard.
type Result struct {
	Ref    Ref          `cbor:"1,keyasint"`
	Kind   errkind.Kind `cbor:"2,keyasint,omitempty"`
	Ran    errkind.Ran  `cbor:"3,keyasint,omitempty"`
	Status int          `cbor:"4,keyasint,omitempty"`
	Body   []byte       `cbor:"5,keyasint,omitempty"`
	Detail string       `cbor:"6,keyasint,omitempty"`
	RunMs  int64        `cbor:"7,keyasint,omitempty"` // time that the upstream took
	Load   Load         `cbor:"8,keyasint"`
}

// Cancel withdraws a task. A guard that has not started it responds with a Result of kind
// Cancelled and RanNo; a guard that has started it lets it finish.
type Cancel struct {
	Ref Ref `cbor:"1,keyasint"`
}

// Load is the state of a guard at one moment. It is included in results and other frames.
type Load struct {
	Seq      uint64 `cbor:"1,keyasint"` // increases; older reports are ignored
	Running  int    `cbor:"2,keyasint"`
	Queued   int    `cbor:"3,keyasint"`
	Slots    int    `cbor:"4,keyasint"`
	Draining bool   `cbor:"5,keyasint,omitempty"`
	Healthy  bool   `cbor:"6,keyasint,omitempty"`
}

// Reserve reports to a guard how many tasks at the entry wait for a slot. It replaces the
// entry's previous Reserve; zero withdraws it.
type Reserve struct {
	Want int `cbor:"1,keyasint"`
}

// Offer reserves one free slot for the entry until it starts a task there or HoldMs have
// passed.
type Offer struct {
	ID     uint64 `cbor:"1,keyasint"`
	HoldMs int64  `cbor:"2,keyasint"`
	Load   Load   `cbor:"3,keyasint"`
}

// Fence instructs a guard to ignore the entry FencedEntry permanently. The guard responds
// with all tasks that it ever started for that entry.
type Fence struct {
	FencedEntry identity.Incarnation `cbor:"1,keyasint"`
	// SinceMs limits the report to identities created at or after this time.
	SinceMs int64 `cbor:"2,keyasint,omitempty"`
}

// FenceReport is the response to a Fence.
type FenceReport struct {
	FencedEntry identity.Incarnation `cbor:"1,keyasint"`
	Started     []Started            `cbor:"2,keyasint,omitempty"`
	// FloorMs is the creation time below which the guard no longer stores starts, or the
	// requested SinceMs, whichever is greater.
	FloorMs int64 `cbor:"3,keyasint,omitempty"`
}

// Started is one start that a guard has recorded.
type Started struct {
	Ref  Ref  `cbor:"1,keyasint"`
	Of   int  `cbor:"2,keyasint"`
	Done bool `cbor:"3,keyasint,omitempty"` // its result can be collected
}

// Collect asks a guard for the results that it holds for a job.
type Collect struct {
	Member string `cbor:"1,keyasint"`
	Key    string `cbor:"2,keyasint"`
}

// Collected is the response to a Collect.
type Collected struct {
	Member  string   `cbor:"1,keyasint"`
	Key     string   `cbor:"2,keyasint"`
	Results []Result `cbor:"3,keyasint,omitempty"`
	Of      int      `cbor:"4,keyasint,omitempty"` // number of tasks in the job; 0 if the job is unknown
}

// Witness reports to a peer at which guards the sender starts tasks, so that the peer can
// determine after a failure of the sender which guards have to be queried. The sender uses
// a new guard only once its witnesses have acknowledged it. See package recovery.
type Witness struct {
	Seq     uint64                 `cbor:"1,keyasint"`
	Guards  []identity.Incarnation `cbor:"2,keyasint,omitempty"` // guards added
	Dropped []DroppedGuard         `cbor:"3,keyasint,omitempty"`
	// SinceMs, when set, makes the peer a witness: identities created at or after it start
	// only at guards that the peer has acknowledged. Version is the roster version under
	// which the sender declares this.
	SinceMs int64 `cbor:"4,keyasint,omitempty"`
	Version int64 `cbor:"5,keyasint,omitempty"`
}

// DroppedGuard is a guard at which the sender starts no more tasks. Identities created at
// or after AfterMs were never sent to it.
type DroppedGuard struct {
	Guard   identity.Incarnation `cbor:"1,keyasint"`
	AfterMs int64                `cbor:"2,keyasint"`
}

// WitnessAck acknowledges a Witness.
type WitnessAck struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// Config carries a complete configuration snapshot, encoded by package record.
type Config struct {
	Revision int64  `cbor:"1,keyasint"`
	Snapshot []byte `cbor:"2,keyasint"`
}

// ConfigAck reports the configuration revision that the sender applies.
type ConfigAck struct {
	Revision int64 `cbor:"1,keyasint"`
}

// PeerHello opens a link between two entries.
type PeerHello struct {
	Version     int                  `cbor:"1,keyasint"`
	MinVersion  int                  `cbor:"2,keyasint"`
	Incarnation identity.Incarnation `cbor:"3,keyasint"`
	Inner       string               `cbor:"4,keyasint"`
	Region      string               `cbor:"5,keyasint"`
	Domain      string               `cbor:"6,keyasint"`
	Revision    int64                `cbor:"7,keyasint"`
	Key         string               `cbor:"8,keyasint,omitempty"`
}

// Promise commits an entry to append no roster version after Version that takes effect
// before UntilMs. math.MaxInt64 is a resignation: the entry will append none at all. See
// package roster.
type Promise struct {
	Version int64 `cbor:"1,keyasint"`
	UntilMs int64 `cbor:"2,keyasint"`
	Leaving bool  `cbor:"3,keyasint,omitempty"` // the sender is stopping and is ready to resign
	Stays   bool  `cbor:"4,keyasint,omitempty"` // the sender will not resign under Version
}

// Roster is one version of the list of entries that own plain identities.
type Roster struct {
	Version int64       `cbor:"1,keyasint"`
	FromMs  int64       `cbor:"2,keyasint"` // identities created at or after this time belong to this version
	Members []EntryAddr `cbor:"3,keyasint"`
	// CeilingMs is an upper bound for every Promise under this version; it never decreases.
	CeilingMs int64 `cbor:"4,keyasint,omitempty"`
	// Gone lists the entries that this version declares permanently lost.
	Gone []identity.Incarnation `cbor:"5,keyasint,omitempty"`
}

// Join asks a roster member to append a roster version that includes the sender.
type Join struct {
	Entry EntryAddr `cbor:"1,keyasint"`
}

// Forward carries a caller's request to the entry that owns its identity.
type Forward struct {
	ID     uint64 `cbor:"1,keyasint"`
	Op     string `cbor:"2,keyasint"` // one of the Op constants
	Member string `cbor:"3,keyasint"`
	Key    string `cbor:"4,keyasint"`
	LeftMs int64  `cbor:"5,keyasint"`
	WaitMs int64  `cbor:"6,keyasint,omitempty"`
	Body   []byte `cbor:"7,keyasint,omitempty"`
}

// Operations of a Forward.
const (
	OpSubmit = "submit"
	OpFetch  = "fetch"
	OpCancel = "cancel"
)

// Forwarded is the response to a Forward, with the HTTP status and the JSON body for the
// caller.
type Forwarded struct {
	ID     uint64       `cbor:"1,keyasint"`
	Status int          `cbor:"2,keyasint"`
	Body   []byte       `cbor:"3,keyasint,omitempty"`
	Kind   errkind.Kind `cbor:"4,keyasint,omitempty"`
	// RetryAfterMs is the Retry-After time of the response; 0 if there is none.
	RetryAfterMs int64 `cbor:"5,keyasint,omitempty"`
}

// StopNotice announces a planned stop. The sender starts no more tasks.
type StopNotice struct {
	Reason string `cbor:"1,keyasint,omitempty"`
}
