// Package ledger owns a guard's starts: which tasks were accepted, started and
// finished, who waits for a slot, and what was said of each. It is a state
// machine under an explicit clock: it has no goroutine, no socket and no lock.
// A guard feeds it what happens and carries out the actions it returns; replay
// feeds it recorded traces.
//
// A Ref is started at most once, and a refusal with RanNo is kept like a start,
// so that it stays true when a duplicate of the same Start arrives later.
// Memory is bounded: settled Refs are forgotten from the oldest birth on, and
// every forgotten birth lies below the floor. What is below the floor is never
// started, and nothing is claimed about whether it ran.
//
// The package may import errkind, identity and wire.
package ledger

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Defaults of Options.
const (
	DefaultSlots      = 8
	DefaultMaxQueued  = 64                    // tasks that wait for a slot
	DefaultQueueBytes = 4 << 20               // bytes of their bodies
	DefaultHold       = 25 * time.Millisecond // ten round trips between failure domains
	DefaultRetention  = 10 * time.Minute
	DefaultRemembered = 16_000  // settled Refs, 100 s of starts at 160 a second; see RecordBytes
	DefaultHeldBytes  = 2 << 20 // bytes of results
	DefaultMaxFences  = 4096    // fenced incarnations in the guard's life
)

// MaxAhead is how far in the future a birth may lie by this worker's clock.
// A birth far ahead would outlive every other in memory and push the floor
// above the present: each later Start would then be refused as expired.
const MaxAhead = time.Minute

// Bounds on what an entry may say. A value beyond them is a bug or an attack,
// and would overflow a time or fill the memory.
const (
	maxLeftMs = 24 * 60 * 60 * 1000 // time until a deadline
	maxName   = identity.MaxKeyLen  // bytes of an incarnation
)

// maxHeldBytes lets a Collected with every held result fit one frame.
const maxHeldBytes = wire.MaxFrame / 2

// maxReported bounds the starts in one FenceReport, so that it fits a frame.
const maxReported = 20_000

// Options configures a Ledger. A zero field takes its default.
type Options struct {
	// Member is the only member whose Refs are accepted; empty accepts all.
	Member     string
	Slots      int           // tasks on the upstream at once
	MaxQueued  int           // tasks waiting for a slot
	QueueBytes int           // bytes of the bodies of waiting tasks
	Hold       time.Duration // how long an offered slot is kept for its entry
	Retention  time.Duration // age of a birth after which a settled Ref is forgotten
	Remembered int           // settled Refs kept at most; when full, Retention is cut short
	HeldBytes  int           // bytes of results kept for a resent Start or a Collect, at most half a frame
	MaxFences  int           // fences kept; a further Fence is not answered
}

func (o Options) withDefaults() Options {
	setDefault(&o.Slots, DefaultSlots)
	setDefault(&o.MaxQueued, DefaultMaxQueued)
	setDefault(&o.QueueBytes, DefaultQueueBytes)
	setDefault(&o.Hold, DefaultHold)
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.Remembered, DefaultRemembered)
	setDefault(&o.HeldBytes, DefaultHeldBytes)
	o.HeldBytes = min(o.HeldBytes, maxHeldBytes)
	setDefault(&o.MaxFences, DefaultMaxFences)
	return o
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Run asks the guard to run a task on the upstream, now and once, and to call
// Finished with the result.
type Run struct {
	Ref      wire.Ref
	Body     []byte
	Deadline time.Time
}

// Send asks the guard to send a frame on the newest link of an entry.
type Send struct {
	To    identity.Incarnation
	Frame *wire.Frame
}

// Action is one thing that the owner of a Ledger must do. Exactly one field is
// set. Actions are carried out in order.
type Action struct {
	Run  *Run
	Send *Send
}

// entry is one linked entry.
type entry struct {
	name    identity.Incarnation
	want    int // tasks for which it reserved a slot
	offered int // its offers that are still held
}

// Ledger is a guard's state. Its methods take the current time, which never
// runs backwards. The zero value is not usable; see New.
type Ledger struct {
	opt     Options
	bornMs  int64 // when this guard began, milliseconds of the Unix epoch
	memory  memory
	entries []*entry // in the order in which they linked
	turn    int      // index into entries of the next offer
	fenced  map[identity.Incarnation]bool

	running    int
	queue      []*waiter
	queueBytes int
	offers     []offer
	offerID    uint64

	healthy  bool
	draining bool
	loadSeq  uint64
	actions  []Action
}

// New returns the ledger of a guard that starts now. Its upstream counts as
// unhealthy until Health says otherwise.
func New(now time.Time, opt Options) *Ledger {
	opt = opt.withDefaults()
	return &Ledger{
		opt:    opt,
		bornMs: now.UnixMilli(),
		memory: newMemory(opt),
		fenced: make(map[identity.Incarnation]bool),
	}
}

// Actions returns the actions since the last call, for the caller to keep.
func (l *Ledger) Actions() []Action {
	out := l.actions
	l.actions = nil
	return out
}

// Stats is a reading of a Ledger for counters and status pages.
type Stats struct {
	Running, Queued, Offered int
	Remembered               int   // Refs in memory, settled or not
	HeldBytes                int   // bytes of held results
	FloorMs                  int64 // birth below which Refs may be forgotten
	Healthy, Draining        bool
}

// Stats reads the ledger.
func (l *Ledger) Stats() Stats {
	return Stats{
		Running: l.running, Queued: len(l.queue), Offered: len(l.offers),
		Remembered: len(l.memory.records), HeldBytes: l.memory.heldBytes, FloorMs: l.memory.floorMs,
		Healthy: l.healthy, Draining: l.draining,
	}
}

// Idle tells whether no task runs or waits.
func (l *Ledger) Idle() bool { return l.running == 0 && len(l.queue) == 0 }

// Load makes a new load report; each has a greater Seq than the one before. A
// guard that takes no new work reports no slots.
func (l *Ledger) Load() wire.Load { return l.loadFor("") }

// loadFor is a report for one entry. Slots that are held for offers to other
// entries count as queued: the entry would take them for free, send tasks there
// and have them refused as busy.
func (l *Ledger) loadFor(to identity.Incarnation) wire.Load {
	l.loadSeq++
	held := len(l.offers)
	for _, o := range l.offers {
		if o.to.name == to {
			held--
		}
	}
	load := wire.Load{
		Seq: l.loadSeq, Running: l.running, Queued: len(l.queue) + held,
		Draining: l.draining, Healthy: l.healthy,
	}
	if l.open() {
		load.Slots = l.opt.Slots
	}
	return load
}

// open tells whether new work is taken.
func (l *Ledger) open() bool { return l.healthy && !l.draining }

// LinkUp notes that an entry's link is ready, or was replaced by a newer one.
// What it had reserved on the older link is withdrawn. A load report follows,
// since the one in Hello may be out of date by now.
func (l *Ledger) LinkUp(now time.Time, name identity.Incarnation) {
	l.LinkDown(now, name)
	l.entries = append(l.entries, &entry{name: name})
	l.sendLoad(name)
}

// LinkDown notes that an entry has no link any more. Its offered slots become
// free; its waiting and running tasks stay, as it may link again.
func (l *Ledger) LinkDown(now time.Time, name identity.Incarnation) {
	for i, e := range l.entries {
		if e.name == name {
			l.releaseOffers(e)
			l.entries = append(l.entries[:i], l.entries[i+1:]...)
			break
		}
	}
	l.assign(now)
}

func (l *Ledger) entry(name identity.Incarnation) *entry {
	for _, e := range l.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// Health notes whether the upstream takes requests. While it does not, waiting
// tasks are refused, so that their entries can send them elsewhere in time.
func (l *Ledger) Health(now time.Time, healthy bool) {
	if l.healthy == healthy {
		return
	}
	l.healthy = healthy
	if !healthy {
		l.refuseQueue(now, errkind.Busy)
		l.releaseAllOffers()
	}
	l.sendLoads()
	l.assign(now)
}

// Drain begins a planned stop, for good: new and waiting tasks are refused,
// running ones finish. The announcement goes out before the refusals, so that
// no entry sends a refused task back to this guard.
func (l *Ledger) Drain(now time.Time, reason string) {
	if l.draining {
		return
	}
	l.draining = true
	for _, e := range l.entries {
		l.send(e.name, &wire.Frame{Goodbye: &wire.Goodbye{Reason: reason}})
	}
	l.sendLoads()
	l.releaseAllOffers()
	l.refuseQueue(now, errkind.Draining)
}

func (l *Ledger) send(to identity.Incarnation, f *wire.Frame) {
	if l.entry(to) != nil {
		l.actions = append(l.actions, Action{Send: &Send{To: to, Frame: f}})
	}
}

func (l *Ledger) sendLoad(to identity.Incarnation) {
	load := l.loadFor(to)
	l.send(to, &wire.Frame{Load: &load})
}

func (l *Ledger) sendLoads() {
	for _, e := range l.entries {
		l.sendLoad(e.name)
	}
}
