// Package wire owns the protocol between the system's own processes: typed
// messages, their CBOR form, and a link that carries them over WebSocket.
//
// Every field has an integer key that is never used again for another meaning.
// A reader passes over keys it does not know, and a missing key reads as the
// zero value, so that processes of neighbouring versions understand each other.
// Times on the wire are durations in milliseconds, never clock readings of
// another machine, but for identities' births.
//
// The package may import errkind, identity and sched, and nothing else of the
// project.
package wire

import (
	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
)

// Version is the protocol version that this build speaks; MinVersion is the
// oldest one that it still understands.
const (
	Version    = 4
	MinVersion = 1
)

// Versions from which on a peer understands something.
const (
	PackedSince = 2 // packed texts
	AsksSince   = 2 // an entry asks for a configuration that it is told of
	PiecesSince = 3 // a guard takes a configuration in pieces
)

// Frame is what one WebSocket message holds: exactly one of its fields is set.
// A frame in which none is set comes from a newer process and is counted and
// passed over.
type Frame struct {
	Hello       *Hello       `cbor:"1,keyasint,omitempty"`
	Welcome     *Welcome     `cbor:"2,keyasint,omitempty"`
	Start       *Start       `cbor:"3,keyasint,omitempty"`
	Result      *Result      `cbor:"4,keyasint,omitempty"`
	Cancel      *Cancel      `cbor:"5,keyasint,omitempty"`
	Load        *Load        `cbor:"6,keyasint,omitempty"`
	Reserve     *Reserve     `cbor:"7,keyasint,omitempty"`
	Offer       *Offer       `cbor:"8,keyasint,omitempty"`
	Fence       *Fence       `cbor:"9,keyasint,omitempty"`
	FenceReport *FenceReport `cbor:"10,keyasint,omitempty"`
	Config      *Config      `cbor:"11,keyasint,omitempty"`
	ConfigAck   *ConfigAck   `cbor:"12,keyasint,omitempty"`
	PeerHello   *PeerHello   `cbor:"13,keyasint,omitempty"`
	Promise     *Promise     `cbor:"14,keyasint,omitempty"`
	Roster      *Roster      `cbor:"15,keyasint,omitempty"`
	Join        *Join        `cbor:"16,keyasint,omitempty"`
	Forward     *Forward     `cbor:"17,keyasint,omitempty"`
	Forwarded   *Forwarded   `cbor:"18,keyasint,omitempty"`
	Collect     *Collect     `cbor:"19,keyasint,omitempty"`
	Collected   *Collected   `cbor:"20,keyasint,omitempty"`
	Goodbye     *Goodbye     `cbor:"21,keyasint,omitempty"`
	Witness     *Witness     `cbor:"22,keyasint,omitempty"`
	Witnessed   *Witnessed   `cbor:"23,keyasint,omitempty"`
	RunHello    *RunHello    `cbor:"24,keyasint,omitempty"`
	RunWelcome  *RunWelcome  `cbor:"25,keyasint,omitempty"`
	RunTasks    *RunTasks    `cbor:"26,keyasint,omitempty"`
	RunsEnded   *RunsEnded   `cbor:"27,keyasint,omitempty"`
	StopRuns    *StopRuns    `cbor:"28,keyasint,omitempty"`
	EntryBeat   *EntryBeat   `cbor:"29,keyasint,omitempty"`
	GuardBeat   *GuardBeat   `cbor:"30,keyasint,omitempty"`
	Desired     *Desired     `cbor:"31,keyasint,omitempty"`
	Entries     *Entries     `cbor:"32,keyasint,omitempty"`
	JobQuery    *JobQuery    `cbor:"33,keyasint,omitempty"`
	JobReport   *JobReport   `cbor:"34,keyasint,omitempty"`
	Drains      *Drains      `cbor:"35,keyasint,omitempty"`
	WorkerCrash *WorkerCrash `cbor:"36,keyasint,omitempty"`
}

// Hello opens a link from a guard to an entry and announces its upstream.
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
	Accelerator int                  `cbor:"10,keyasint,omitempty"` // accelerators on the worker
	Revision    int64                `cbor:"11,keyasint,omitempty"` // configuration in force at the guard
	Load        Load                 `cbor:"12,keyasint"`
	Software    string               `cbor:"13,keyasint,omitempty"` // version of the binary
	Key         string               `cbor:"14,keyasint,omitempty"` // the member's guard key, or the fleet's
	MemoryMB    int                  `cbor:"15,keyasint,omitempty"` // memory of the worker, megabytes; 0 if not known
}

// Welcome accepts a link.
type Welcome struct {
	Version     int                  `cbor:"1,keyasint"`
	Incarnation identity.Incarnation `cbor:"2,keyasint"`
	Revision    int64                `cbor:"3,keyasint"`
	Entries     []EntryAddr          `cbor:"4,keyasint,omitempty"` // entries the guard should also link to
	Software    string               `cbor:"5,keyasint,omitempty"`
}

// EntryAddr tells where an entry is reached.
type EntryAddr struct {
	Incarnation identity.Incarnation `cbor:"1,keyasint" json:"incarnation"`
	Inner       string               `cbor:"2,keyasint" json:"inner"` // host:port of the inner protocol
	Domain      string               `cbor:"3,keyasint,omitempty" json:"domain,omitempty"`
}

// Ref names one task for good: the member's job identity and the task's index.
type Ref struct {
	Member string `cbor:"1,keyasint"`
	Key    string `cbor:"2,keyasint"`
	Task   int    `cbor:"3,keyasint"`
}

// Start asks a guard to start a task. The guard starts a Ref at most once,
// however often it is asked.
type Start struct {
	Ref     Ref                  `cbor:"1,keyasint"`
	Of      int                  `cbor:"2,keyasint"`           // tasks in the job
	Home    identity.Incarnation `cbor:"3,keyasint"`           // the entry that owns the job
	LeftMs  int64                `cbor:"4,keyasint"`           // time left until the deadline
	WaitMs  int64                `cbor:"5,keyasint,omitempty"` // may wait this long for a slot; 0 refuses Busy at once
	Body    []byte               `cbor:"6,keyasint"`
	Offered uint64               `cbor:"7,keyasint,omitempty"` // the offer this start answers
}

// Result is a guard's word on one task.
//
// With Kind None the task ran and Status and Body are the upstream's answer.
// With Ran == RanNo it is final: this guard has not started the Ref and never
// will, and only then may the entry send the task elsewhere.
type Result struct {
	Ref    Ref          `cbor:"1,keyasint"`
	Kind   errkind.Kind `cbor:"2,keyasint,omitempty"`
	Ran    errkind.Ran  `cbor:"3,keyasint,omitempty"`
	Status int          `cbor:"4,keyasint,omitempty"`
	Body   []byte       `cbor:"5,keyasint,omitempty"`
	Detail string       `cbor:"6,keyasint,omitempty"`
	RunMs  int64        `cbor:"7,keyasint,omitempty"` // time on the upstream
	Load   Load         `cbor:"8,keyasint"`
}

// Cancel withdraws a task. A guard that has not started it answers with a
// Result of kind Cancelled and RanNo; one that has started it lets it finish.
type Cancel struct {
	Ref Ref `cbor:"1,keyasint"`
}

// Load is a guard's state at one moment; it rides on results.
type Load struct {
	Seq      uint64 `cbor:"1,keyasint"` // grows; an older report is dropped
	Running  int    `cbor:"2,keyasint"`
	Queued   int    `cbor:"3,keyasint"`
	Slots    int    `cbor:"4,keyasint"`
	Draining bool   `cbor:"5,keyasint,omitempty"`
	Healthy  bool   `cbor:"6,keyasint,omitempty"`
}

// Reserve tells a guard that the entry holds Want tasks waiting for a slot.
// It replaces the entry's earlier Reserve; zero withdraws it.
type Reserve struct {
	Want int `cbor:"1,keyasint"`
}

// Offer grants the entry one free slot until it starts a task on it or
// HoldMs have passed.
type Offer struct {
	ID     uint64 `cbor:"1,keyasint"`
	HoldMs int64  `cbor:"2,keyasint"`
	Load   Load   `cbor:"3,keyasint"`
}

// Fence tells a guard that the entry Gone will never be obeyed again. The
// guard answers with all that it ever started for it.
type Fence struct {
	Gone identity.Incarnation `cbor:"1,keyasint"`
	// SinceMs limits the report to identities born from here on.
	SinceMs int64 `cbor:"2,keyasint,omitempty"`
}

// FenceReport answers a Fence.
type FenceReport struct {
	Gone    identity.Incarnation `cbor:"1,keyasint"`
	Started []Started            `cbor:"2,keyasint,omitempty"`
	// FloorMs is the birth below which the guard no longer remembers starts, or
	// the SinceMs that it was asked for, whichever is greater.
	FloorMs int64 `cbor:"3,keyasint,omitempty"`
}

// Started is one start that a guard remembers.
type Started struct {
	Ref  Ref  `cbor:"1,keyasint"`
	Of   int  `cbor:"2,keyasint"`
	Done bool `cbor:"3,keyasint,omitempty"` // its result can be collected
}

// Collect asks a guard for the results that it holds of a job.
type Collect struct {
	Member string `cbor:"1,keyasint"`
	Key    string `cbor:"2,keyasint"`
}

// Collected answers a Collect.
type Collected struct {
	Member  string   `cbor:"1,keyasint"`
	Key     string   `cbor:"2,keyasint"`
	Results []Result `cbor:"3,keyasint,omitempty"`
	Of      int      `cbor:"4,keyasint,omitempty"` // tasks in the job, 0 if nothing is known of it
}

// Witness tells a peer at which guards the sender starts tasks, so that the peer
// knows after the sender's death which guards have to be asked. The sender uses
// a new guard only once its witnesses have acknowledged it. See package recovery.
type Witness struct {
	Seq     uint64                 `cbor:"1,keyasint"`
	Guards  []identity.Incarnation `cbor:"2,keyasint,omitempty"` // added
	Dropped []DroppedGuard         `cbor:"3,keyasint,omitempty"`
	// SinceMs, when set, makes the peer a witness: every identity born from here
	// on starts only at guards that the peer has acknowledged. Version is the
	// roster version under which the sender says so.
	SinceMs int64 `cbor:"4,keyasint,omitempty"`
	Version int64 `cbor:"5,keyasint,omitempty"`
}

// DroppedGuard is a guard at which the sender starts nothing more. Identities
// born from AfterMs on were never sent to it.
type DroppedGuard struct {
	Guard   identity.Incarnation `cbor:"1,keyasint"`
	AfterMs int64                `cbor:"2,keyasint"`
}

// Witnessed acknowledges a Witness.
type Witnessed struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// Config carries a whole configuration snapshot, encoded by package record.
type Config struct {
	Revision int64  `cbor:"1,keyasint"`
	Snapshot []byte `cbor:"2,keyasint"`
}

// ConfigAck tells which revision is in force at the sender.
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

// Promise is an entry's word that it will append no roster after Version that
// begins before UntilMs. math.MaxInt64 resigns: it will append none at all. See
// package roster.
type Promise struct {
	Version int64 `cbor:"1,keyasint"`
	UntilMs int64 `cbor:"2,keyasint"`
	Leaving bool  `cbor:"3,keyasint,omitempty"` // the sender stops and would resign
	Stays   bool  `cbor:"4,keyasint,omitempty"` // the sender will not resign under Version
}

// Roster is one version of the list of entries that own plain identities.
type Roster struct {
	Version int64       `cbor:"1,keyasint"`
	FromMs  int64       `cbor:"2,keyasint"` // births from here on belong to this version
	Members []EntryAddr `cbor:"3,keyasint"`
	// CeilingMs bounds every promise under this version; it only grows.
	CeilingMs int64 `cbor:"4,keyasint,omitempty"`
	// Gone are entries that this version declares gone for good.
	Gone []identity.Incarnation `cbor:"5,keyasint,omitempty"`
}

// Join asks a roster member to append a roster that includes the sender.
type Join struct {
	Entry EntryAddr `cbor:"1,keyasint"`
}

// Forward carries a caller's request to the entry that owns its identity.
type Forward struct {
	ID     uint64 `cbor:"1,keyasint"`
	Op     string `cbor:"2,keyasint"` // an Op constant
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

// Forwarded answers a Forward with an HTTP status and JSON body for the caller.
type Forwarded struct {
	ID     uint64       `cbor:"1,keyasint"`
	Status int          `cbor:"2,keyasint"`
	Body   []byte       `cbor:"3,keyasint,omitempty"`
	Kind   errkind.Kind `cbor:"4,keyasint,omitempty"`
	// AfterMs is the Retry-After of the answer, 0 for none.
	AfterMs int64 `cbor:"5,keyasint,omitempty"`
}

// Goodbye announces a planned stop: the sender starts nothing more.
type Goodbye struct {
	Reason string `cbor:"1,keyasint,omitempty"`
}
