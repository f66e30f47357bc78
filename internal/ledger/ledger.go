// Package ledger tracks the tasks that a guard accepts, starts and finishes, its
// queue, its slot offers and the results it reports. It is a deterministic state
// machine with an explicit clock: it has no goroutines, sockets or locks. The guard
// passes events to it and executes the actions it returns; replay feeds it recorded
// traces.
//
// A Ref is started at most once. A refusal with RanNo is recorded like a start, so
// that a duplicate of the same Start that arrives later is refused too.
//
// Memory is bounded: settled Refs are evicted in order of birth, oldest first, and
// the floor is raised above each evicted birth. The birth of a Ref is the creation
// time in its UUIDv7 key. A Ref born below the floor is never started, and the
// ledger makes no claim about whether it ran.
//
// The package may import errkind, identity and wire.
package ledger

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Default values of Options.
const (
	DefaultSlots         = 8
	DefaultMaxQueued     = 64                    // tasks waiting for a slot
	DefaultMaxQueueBytes = 4 << 20               // total size of their bodies
	DefaultOfferTimeout  = 25 * time.Millisecond // ten round trips between failure domains
	DefaultRetention     = 10 * time.Minute
	DefaultRemembered    = 16_000  // settled Refs: 100 s of starts at 160 per second; see MaxRecordBytes
	DefaultHeldBytes     = 2 << 20 // total size of held results
	DefaultMaxFences     = 4096    // fenced incarnations over the guard's lifetime
)

// MaxClockSkew limits how far a birth may lie ahead of this worker's clock. A record
// with a birth far in the future would outlive all others and raise the floor above
// the current time; every later Start would then be refused as expired.
const MaxClockSkew = time.Minute

// Limits on values received from an entry. Larger values indicate a bug or an
// attack, and would overflow a time or exhaust memory.
const (
	maxDurationMs     = 24 * 60 * 60 * 1000 // time until a deadline, or time in the queue
	maxIncarnationLen = identity.MaxKeyLen  // bytes
)

// heldBytesLimit ensures that a Collected with all held results fits in one frame.
const heldBytesLimit = wire.MaxFrame / 2

// maxReportedStarts limits the starts in one FenceReport so that it fits in a frame.
const maxReportedStarts = 20_000

// Options configures a Ledger. Zero fields take their defaults.
type Options struct {
	// Member is the only member whose Refs are accepted; empty accepts all members.
	Member        string
	Slots         int           // tasks running on the upstream at once
	MaxQueued     int           // tasks waiting for a slot
	MaxQueueBytes int           // total size of the bodies of queued tasks
	OfferTimeout  time.Duration // how long an offered slot is reserved for its entry
	Retention     time.Duration // age of a birth after which a settled Ref is evicted
	Remembered    int           // maximum number of settled Refs; at the limit, Refs are evicted before Retention ends
	HeldBytes     int           // maximum size of results held for a resent Start or a Collect; at most half a frame
	MaxFences     int           // maximum number of fences; a Fence for a further entry is ignored
}

func (o Options) withDefaults() Options {
	setDefault(&o.Slots, DefaultSlots)
	setDefault(&o.MaxQueued, DefaultMaxQueued)
	setDefault(&o.MaxQueueBytes, DefaultMaxQueueBytes)
	setDefault(&o.OfferTimeout, DefaultOfferTimeout)
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.Remembered, DefaultRemembered)
	setDefault(&o.HeldBytes, DefaultHeldBytes)
	o.HeldBytes = min(o.HeldBytes, heldBytesLimit)
	setDefault(&o.MaxFences, DefaultMaxFences)
	return o
}

func setDefault[T int | time.Duration](value *T, def T) {
	if *value == 0 {
		*value = def
	}
}

// Run directs the guard to run a task on the upstream immediately and only once, and
// to pass the result to FinishTask.
type Run struct {
	Ref      wire.Ref
	Body     []byte
	Deadline time.Time
}

// Send directs the guard to send a frame on the newest link of an entry.
type Send struct {
	To    identity.Incarnation
	Frame *wire.Frame
}

// Action is one operation for the owner of a Ledger to execute. Exactly one field is
// set. Actions are executed in order.
type Action struct {
	Run  *Run
	Send *Send
}

// entry is the state of one linked entry.
type entry struct {
	incarnation identity.Incarnation
	reserved    int // tasks for which the entry requested a slot
	openOffers  int // offers to the entry that are neither used nor expired
}

// Ledger is a guard's task state. Its methods take the current time, which must not
// go backwards. The zero value is not usable; use New.
type Ledger struct {
	opt         Options
	createdMs   int64 // creation time of this guard, in Unix milliseconds
	recordTable recordTable
	entries     []*entry // in the order in which they linked
	nextEntry   int      // index into entries at which the search for the next offer begins
	fenced      map[identity.Incarnation]bool

	running     int
	queue       []*queuedTask
	queueBytes  int
	offers      []offer
	lastOfferID uint64

	isHealthy  bool
	isDraining bool
	loadSeq    uint64
	actions    []Action
}

// New returns the ledger of a guard that starts at the given time. The upstream
// counts as unhealthy until SetHealthy reports otherwise.
func New(now time.Time, opt Options) *Ledger {
	opt = opt.withDefaults()
	return &Ledger{
		opt:         opt,
		createdMs:   now.UnixMilli(),
		recordTable: newRecordTable(opt),
		fenced:      make(map[identity.Incarnation]bool),
	}
}

// Actions returns the actions since the last call and clears them. The caller owns
// the returned slice.
func (l *Ledger) Actions() []Action {
	out := l.actions
	l.actions = nil
	return out
}

// Stats is a snapshot of a Ledger for metrics and status pages.
type Stats struct {
	Running, Queued, Offered int
	Remembered               int   // Refs with a record, settled or not
	HeldBytes                int   // total size of held results
	FloorMs                  int64 // birth below which records may have been evicted
	Healthy, Draining        bool
}

// Stats returns a snapshot of the ledger.
func (l *Ledger) Stats() Stats {
	return Stats{
		Running: l.running, Queued: len(l.queue), Offered: len(l.offers),
		Remembered: len(l.recordTable.records), HeldBytes: l.recordTable.heldBytes, FloorMs: l.recordTable.floorMs,
		Healthy: l.isHealthy, Draining: l.isDraining,
	}
}

// IsIdle reports whether no task is running or queued.
func (l *Ledger) IsIdle() bool { return l.running == 0 && len(l.queue) == 0 }

// Load returns a new load report. Each report has a greater Seq than the previous
// one. A guard that accepts no new work reports zero slots.
func (l *Ledger) Load() wire.Load { return l.loadReportFor("") }

// loadReportFor returns a load report for one entry. Slots reserved for offers to
// other entries are added to the queued count. Otherwise the recipient would treat
// them as free, send tasks to them and get Busy refusals.
func (l *Ledger) loadReportFor(recipient identity.Incarnation) wire.Load {
	l.loadSeq++
	offeredToOthers := len(l.offers)
	for _, o := range l.offers {
		if o.recipient.incarnation == recipient {
			offeredToOthers--
		}
	}
	load := wire.Load{
		Seq: l.loadSeq, Running: l.running, Queued: len(l.queue) + offeredToOthers,
		Draining: l.isDraining, Healthy: l.isHealthy,
	}
	if l.acceptsWork() {
		load.Slots = l.opt.Slots
	}
	return load
}

// acceptsWork reports whether new tasks are accepted.
func (l *Ledger) acceptsWork() bool { return l.isHealthy && !l.isDraining }

// LinkUp records that an entry's link is ready or was replaced by a newer one.
// Reservations made on the older link are withdrawn. A load report is sent, since
// the one in Hello may be out of date.
func (l *Ledger) LinkUp(now time.Time, incarnation identity.Incarnation) {
	l.LinkDown(now, incarnation)
	l.entries = append(l.entries, &entry{incarnation: incarnation})
	l.sendLoad(incarnation)
}

// LinkDown records that an entry has no link. Slots offered to it are released; its
// queued and running tasks stay, since it may link again.
func (l *Ledger) LinkDown(now time.Time, incarnation identity.Incarnation) {
	for i, e := range l.entries {
		if e.incarnation == incarnation {
			l.withdrawOffers(e)
			l.entries = append(l.entries[:i], l.entries[i+1:]...)
			break
		}
	}
	l.assignSlots(now)
}

func (l *Ledger) entry(incarnation identity.Incarnation) *entry {
	for _, e := range l.entries {
		if e.incarnation == incarnation {
			return e
		}
	}
	return nil
}

// SetHealthy records whether the upstream accepts requests. When it becomes
// unhealthy, queued tasks are refused so that their entries can send them to other
// guards before the deadline.
func (l *Ledger) SetHealthy(now time.Time, isHealthy bool) {
	if l.isHealthy == isHealthy {
		return
	}
	l.isHealthy = isHealthy
	if !isHealthy {
		l.refuseQueue(now, errkind.Busy)
		l.withdrawAllOffers()
	}
	l.sendLoads()
	l.assignSlots(now)
}

// Drain begins a planned, irreversible stop: new and queued tasks are refused, and
// running tasks finish. StopNotice and the load reports go out before the refusals,
// so that no entry sends a refused task back to this guard.
func (l *Ledger) Drain(now time.Time, reason string) {
	if l.isDraining {
		return
	}
	l.isDraining = true
	for _, e := range l.entries {
		l.send(e.incarnation, &wire.Frame{StopNotice: &wire.StopNotice{Reason: reason}})
	}
	l.sendLoads()
	l.withdrawAllOffers()
	l.refuseQueue(now, errkind.Draining)
}

func (l *Ledger) send(to identity.Incarnation, f *wire.Frame) {
	if l.entry(to) != nil {
		l.actions = append(l.actions, Action{Send: &Send{To: to, Frame: f}})
	}
}

func (l *Ledger) sendLoad(to identity.Incarnation) {
	load := l.loadReportFor(to)
	l.send(to, &wire.Frame{Load: &load})
}

func (l *Ledger) sendLoads() {
	for _, e := range l.entries {
		l.sendLoad(e.incarnation)
	}
}
