package runs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/policy"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

type state uint8

const (
	starting     state = iota // start requested, not answered
	running                   // accepted by the worker
	stopping                  // stop due or requested
	awaitingText              // the text of its job is being fetched
)

// run is a run that may be at the worker.
type run struct {
	key              Key
	entry            identity.Incarnation
	need             sched.Resources
	text             string
	state            state
	deadline         time.Duration // when the run is stopped because its result is no longer needed
	requestedAt      time.Duration // when the start was first sent
	startAttempts    int           // number of starts sent
	lastSentAt       time.Duration // when the last start was sent
	isAccepted       bool          // the worker has confirmed the start
	acceptedAt       time.Duration // when the worker confirmed the start
	outlastsInstance bool          // it does not end with the present instance: it may be active at its successor
	missingSince     time.Duration // when a Hold answer first listed the run neither as active nor as ended; 0 if none did
	expectedTime     time.Duration // expected run time; 0 if unknown
	hasMoved         bool          // already moved off a slow worker, must not move again
	crashCount       int           // worker crashes during runs of the task that its entry has recorded
	percent          int64         // progress in the newest list
	advancedAt       time.Duration // when percent last changed
	endAfterStop     wire.RunEnd   // reported to the entry once the stop has taken effect
	hasStopInFlight  bool          // a stop request is unanswered
	nextStopAt       time.Duration // when the next stop request is due if none is in flight
	stopConfirmedAt  time.Duration // when the worker confirmed a stop; 0 if it has not
}

// entryState is the state kept for one entry.
type entryState struct {
	isLinked      bool
	isRetiring    bool           // its link will be closed: it gets no worker and no offers
	latestClock   time.Duration  // the latest guard clock that a frame of the entry carried
	lastSeq       uint64         // Seq of its last RunTasks
	tasksAge      time.Duration  // age of that frame on arrival
	needsLoad     bool           // tasksAge must be sent to the entry without delay
	loadSentAt    time.Duration  // when a load was last sent to the entry
	demand        wire.RunDemand // of the tasks for which the entry has found no capacity
	offer         offer
	unusedOffers  int    // consecutive offers that expired unanswered, at most maxUnusedOffers
	lastOfferTurn uint64 // Machine.offerTurns at the last offer
	runs          int    // number of its runs in Machine.runs
	stated        statedDemand
	// hasStrictOffers is set if it uses offers only for tasks as urgent as its demand.
	hasStrictOffers bool
}

// Machine is the state machine of one guard and its worker.
type Machine struct {
	timing    Timing
	disabled  policy.Set
	entries   map[identity.Incarnation]*entryState
	runs      map[Key]*run
	allocated sched.Resources // total need of runs

	worker          wire.RunWorker // as announced
	instance        instance
	candidate       *candidate // to be verified; nil if there is none
	maxLease        time.Duration
	isGuardDraining bool // Drain has begun a planned stop of the guard
	drains          wire.Drains
	paceWindow      paceWindow
	slowness        slownessEstimate
	// The worker counts as lossy from lossySince until lossyUntil.
	lossySince, lossyUntil time.Duration
	answerDelay            time.Duration // longest recent delay of an answer, decaying

	pendingEnds map[identity.Incarnation][]wire.RunEnd // not sent yet
	offerTurns  uint64                                 // number of offers made
	actions     []Action
}

// New returns a Machine whose worker has not reported yet.
func New(opt Options) *Machine {
	return &Machine{
		timing:      opt.Timing.OrDefault(),
		disabled:    opt.Disabled,
		maxLease:    cmp.Or(opt.MaxLease, DefaultMaxLease),
		entries:     make(map[identity.Incarnation]*entryState),
		runs:        make(map[Key]*run),
		pendingEnds: make(map[identity.Incarnation][]wire.RunEnd),
	}
}

// Actions returns the actions that have accumulated since the last call. The caller owns
// the slice.
func (m *Machine) Actions(now time.Duration) []Action {
	m.flush(now)
	m.sendHoldIfDue(now)
	out := m.actions
	m.actions = nil
	return out
}

// Worker returns the description of the worker that entries receive.
func (m *Machine) Worker() wire.RunWorker { return m.worker }

// Load returns the guard's load as it is sent to the given entry. The free capacity excludes what
// is offered to other entries.
func (m *Machine) Load(now time.Duration, entry identity.Incarnation) wire.RunLoad {
	ent := m.entries[entry]
	if ent == nil {
		return wire.RunLoad{ClockMs: now.Milliseconds(), Free: m.freeCapacityFor(nil)}
	}
	return wire.RunLoad{
		ClockMs: now.Milliseconds(), SeenSeq: ent.lastSeq, Free: m.freeCapacityFor(ent),
		AgeMs: ent.tasksAge.Milliseconds(),
	}
}

// Running returns the number of runs that may be at the worker, including those that await
// their text.
func (m *Machine) Running() int { return len(m.runs) }

// IsSettled reports whether there are no runs and the worker has received an acknowledgement
// of every end.
func (m *Machine) IsSettled() bool {
	return len(m.runs) == 0 && m.instance.endCursor == m.instance.ackedCursor
}

func (m *Machine) freeCapacity() sched.Resources {
	if !m.worker.Usable {
		return sched.Resources{}
	}
	return m.worker.Capacity.Minus(m.allocated)
}

// addRun records a run and allocates its capacity.
func (m *Machine) addRun(r *run) {
	m.runs[r.key] = r
	m.allocated = m.allocated.Plus(r.need)
	m.entries[r.entry].runs++
}

// endRun removes a run, frees its capacity and queues its end for the entry.
func (m *Machine) endRun(now time.Duration, r *run, end wire.RunEnd) {
	delete(m.runs, r.key)
	m.allocated = m.allocated.Minus(r.need)
	if ent := m.entries[r.entry]; ent != nil {
		ent.runs--
	}
	if end.Kind == errkind.None {
		m.recordFinishedPace(now, r)
	}
	m.removeJobPace(r.key.Job)
	if end.Ran == errkind.RanYes {
		end.RunMs = (now - r.requestedAt).Milliseconds()
	}
	m.queueEnd(r.entry, r.key, end)
	m.removeIdleEntry(r.entry)
}

// removeIdleEntry deletes the state of an entry that has neither a link nor runs.
func (m *Machine) removeIdleEntry(entry identity.Incarnation) {
	if ent := m.entries[entry]; ent != nil && !ent.isLinked && ent.runs == 0 {
		delete(m.entries, entry)
	}
}

func (m *Machine) queueEnd(entry identity.Incarnation, k Key, end wire.RunEnd) {
	end.Job, end.Step, end.Index, end.Run = k.Job, k.Step, k.Index, k.Run
	if ent := m.entries[entry]; ent != nil && ent.isLinked {
		m.pendingEnds[entry] = append(m.pendingEnds[entry], end)
	}
}

// flush offers free capacity to waiting entries and sends the queued ends, in one frame per
// entry.
func (m *Machine) flush(now time.Duration) {
	offered := m.makeOffers(now)
	for _, entry := range m.sortedEntries() {
		ent := m.entries[entry]
		pendingEnds := m.pendingEnds[entry]
		switch {
		case !ent.isLinked:
		case len(pendingEnds) > 0:
			m.sendFrame(now, entry, &wire.Frame{RunsEnded: &wire.RunsEnded{Ends: pendingEnds, Load: m.Load(now, entry)}})
		case offered[ent] || ent.needsLoad:
			m.sendFrame(now, entry, &wire.Frame{GuardHeartbeat: &wire.GuardHeartbeat{Load: m.Load(now, entry)}})
		}
	}
	clear(m.pendingEnds)
}

func (m *Machine) sendFrame(now time.Duration, to identity.Incarnation, f *wire.Frame) {
	ent := m.entries[to]
	ent.loadSentAt, ent.needsLoad = now, false
	switch {
	case f.RunsEnded != nil:
		m.addTotalAsked(now, ent, &f.RunsEnded.Load)
	case f.GuardHeartbeat != nil:
		m.addTotalAsked(now, ent, &f.GuardHeartbeat.Load)
	}
	m.actions = append(m.actions, Action{Send: &Send{To: to, Frame: f}})
}

// announceWorker sends the description of the worker to all linked entries.
func (m *Machine) announceWorker(now time.Duration) {
	for _, entry := range m.sortedEntries() {
		ent := m.entries[entry]
		if ent.isLinked {
			m.announceWorkerTo(now, entry, ent)
		}
	}
}

func (m *Machine) announceWorkerTo(now time.Duration, entry identity.Incarnation, ent *entryState) {
	snapshot := m.worker
	snapshot.Usable = snapshot.Usable && !ent.isRetiring
	m.sendFrame(now, entry, &wire.Frame{GuardHeartbeat: &wire.GuardHeartbeat{Load: m.Load(now, entry), Worker: &snapshot}})
}

// SetRetiring sets whether the link to an entry will be closed. Its runs may finish.
func (m *Machine) SetRetiring(now time.Duration, entry identity.Incarnation, isRetiring bool) {
	ent := m.entries[entry]
	if ent == nil || !ent.isLinked || ent.isRetiring == isRetiring {
		return
	}
	ent.isRetiring, ent.offer = isRetiring, offer{}
	m.announceWorkerTo(now, entry, ent)
}

// HasRunsOf reports whether runs of an entry may be at the worker.
func (m *Machine) HasRunsOf(entry identity.Incarnation) bool {
	ent := m.entries[entry]
	return ent != nil && ent.runs > 0
}

// setUsable sets whether the worker accepts new tasks, and announces a change. A worker that
// is leaving or drained, or whose guard is draining, stays unusable.
func (m *Machine) setUsable(now time.Duration, isUsable bool) {
	isUsable = isUsable && m.isWorkerUsable()
	if m.worker.Usable == isUsable {
		return
	}
	m.worker.Usable = isUsable
	m.announceWorker(now)
}

// Drain begins a planned stop of the guard: active runs may finish, new tasks are refused.
func (m *Machine) Drain(now time.Duration) {
	if m.isGuardDraining {
		return
	}
	m.isGuardDraining = true
	m.worker.Leaving, m.worker.Usable = true, false
	m.announceWorker(now)
}

// sortedRuns returns the runs in key order, so that equal events lead to equal actions.
func (m *Machine) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(m.runs), func(a, b *run) int { return a.key.compare(b.key) })
}

// sortedEntries returns the names of the entries in order.
func (m *Machine) sortedEntries() []identity.Incarnation { return slices.Sorted(maps.Keys(m.entries)) }

// endNotRun returns the end of a run that never started.
func endNotRun(kind errkind.Kind) wire.RunEnd { return wire.RunEnd{Kind: kind, Ran: errkind.RanNo} }

// endWithdrawn returns the end of a run that was stopped and may have started.
func endWithdrawn(kind errkind.Kind) wire.RunEnd { return wire.RunEnd{Kind: kind} }

// endLost returns the end of a run that has ended with its worker.
func endLost() wire.RunEnd { return wire.RunEnd{Kind: errkind.WorkerLost, Ran: errkind.RanYes} }
