package batchnode

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"wigeontray/internal/batch"
	"wigeontray/internal/identity"
	"wigeontray/internal/policy"
	"wigeontray/internal/runs"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// EntryOptions configures an Entry.
type EntryOptions struct {
	Name    string      // process name, part of the incarnation
	Domain  string      // failure domain of this VM
	Address string      // host and port at which guards connect
	Seed    uint64      // of the machine's random choices
	Timing  runs.Timing // the default if zero
	// SharesByDemand and SharesByCaller are as in batch.Options.
	SharesByDemand, SharesByCaller bool
	// StrictOffers is as in batch.Options.
	StrictOffers bool
	Clock        Clock
	Metrics      *telemetry.Registry
	Log          *log.Logger
	RoutineLog   *log.Logger // for lines about normal operation; Log if nil
	// Apply validates and activates a configuration document; an error leaves the previous
	// one active. Calls are serialized and versions increase.
	Apply func(version int64, document []byte) error
}

// Entry runs the jobs of callers on the workers of its guards; a caller gets the response
// when its job has ended. All methods are safe for concurrent use. Lock order: configMu,
// then mu.
type Entry struct {
	opt EntryOptions
	id  identity.Incarnation
	// startedAt is when the entry was created.
	startedAt time.Duration

	mu             sync.Mutex
	machine        *batch.Machine
	links          map[identity.Incarnation]wire.Link
	waiters        map[string][]*waiter
	acceptSlots    chan struct{} // one element for each link that is being accepted
	known          addressList   // addresses of all entries, this one included
	hasEntryList   bool          // known was read from the store, or received from a guard
	asksNextGuard  bool          // known is requested from the next guard that links
	smallServices  smallServices
	relayedCrashes []relayedCrash // latest, oldest first
	queries        queries
	outgoingCopies outgoingCopies
	deadlineTimer  *deadlineTimer
	lastHeartbeat  time.Duration // last time recorded by RunHeartbeat; 0 if it does not run
	shareLog       shareLog
	recentRefusals recentRefusals
	resumedAt      time.Duration // when the end of a freeze was last detected; 0 if never

	configMu        sync.Mutex
	configVersion   int64 // of the active configuration; 0 before the first
	configDocument  []byte
	configAppliedAt time.Duration
	newerConfig     newerConfig
	drains          entryDrains
	unknownOrders   []string // keys of operator orders that this version does not support
}

// waiter is a caller's request that waits for the outcome of a job.
type waiter struct {
	outcome   chan *batch.Outcome
	startedAt time.Duration
}

// NewEntry returns an entry without links to guards and without a configuration.
func NewEntry(opt EntryOptions) *Entry {
	if opt.RoutineLog == nil {
		opt.RoutineLog = opt.Log
	}
	opt.Timing = opt.Timing.OrDefault()
	e := &Entry{
		opt:            opt,
		id:             identity.NewIncarnation(opt.Name),
		startedAt:      opt.Clock(),
		machine:        batch.New(opt.Clock(), batch.Options{Domain: opt.Domain, Seed: opt.Seed, Timing: opt.Timing, Disabled: policy.Linked(), SharesByDemand: opt.SharesByDemand, SharesByCaller: opt.SharesByCaller, StrictOffers: opt.StrictOffers}),
		links:          make(map[identity.Incarnation]wire.Link),
		waiters:        make(map[string][]*waiter),
		acceptSlots:    make(chan struct{}, maxConcurrentAccepts),
		known:          newAddressList([]string{opt.Address}),
		shareLog:       shareLog{logged: make(map[string]*loggedShare)},
		queries:        queries{pending: make(map[uint64]*query)},
		outgoingCopies: outgoingCopies{inProgress: make(map[wire.Link]*outgoingCopy)},
	}
	e.deadlineTimer = newDeadlineTimer(opt.Clock, func() {
		e.step(func(now time.Duration, m *batch.Machine) { m.Tick(now) })
	})
	return e
}

// ID returns the incarnation of this entry.
func (e *Entry) ID() identity.Incarnation { return e.id }

// step passes one event to the machine and executes the resulting actions.
func (e *Entry) step(event func(now time.Duration, m *batch.Machine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepLocked(event)
}

func (e *Entry) stepLocked(event func(now time.Duration, m *batch.Machine)) {
	now := e.opt.Clock()
	e.detectFreeze(now)
	before := e.machine.LinkRate()
	event(now, e.machine)
	if rate := e.machine.LinkRate(); rate != before {
		e.reportLinkRate(before, rate)
	}
	for _, action := range e.machine.Actions(now) {
		e.execute(now, &action)
	}
	e.logShareChanges(now)
	e.deadlineTimer.set(e.machine.NextTick())
}

// reportLinkRate publishes the measured bandwidth of the uplink, and logs when a limit is newly
// detected.
func (e *Entry) reportLinkRate(before, rate int64) {
	e.opt.Metrics.Set(telemetry.LinkBandwidth, rate)
	if before == 0 {
		e.opt.Log.Info("uplink bandwidth is limited", "link_rate", rate)
	}
}

func (e *Entry) execute(now time.Duration, action *batch.Action) {
	switch {
	case action.Finish != nil:
		e.finishJob(now, action.Finish)
	case action.CloseLink:
		e.opt.Log.Warn("guard timed out", "guard", action.Guard)
		e.opt.Metrics.Inc(telemetry.GuardsLost)
		e.closeLink(action.Guard, "silent")
	case action.Frame != nil:
		e.sendToGuard(action.Guard, action.Frame)
	}
}

// sendToGuard sends a frame if the guard is linked. Send errors are only logged: the reader
// of the link detects its loss and notifies the machine. mu must be held.
func (e *Entry) sendToGuard(guard identity.Incarnation, f *wire.Frame) {
	link := e.links[guard]
	if link == nil {
		return
	}
	if f.RunTasks != nil {
		e.opt.Metrics.Add(telemetry.TasksStarted, int64(len(f.RunTasks.Tasks)))
	}
	if err := link.Send(f); err != nil {
		e.opt.Log.Warn("frame not sent", "guard", guard, "err", err)
	}
}

// sendDirect sends a frame that the machine did not produce, and has the machine account for
// its bytes on the uplink. mu must be held.
func (e *Entry) sendDirect(link wire.Link, f *wire.Frame) {
	e.machine.RecordExternalFrame(e.opt.Clock(), f)
	_ = link.Send(f) // the reader of the link detects its loss
}

func (e *Entry) closeLink(guard identity.Incarnation, reason string) {
	if link := e.links[guard]; link != nil {
		delete(e.links, guard)
		delete(e.outgoingCopies.inProgress, link)
		link.Close(reason)
	}
}

// Workers returns the number of workers that accept tasks.
func (e *Entry) Workers() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Workers()
}

// Close closes all links and stops the timer.
func (e *Entry) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.links {
		e.closeLink(id, "entry stops")
	}
	e.deadlineTimer.stop()
}
