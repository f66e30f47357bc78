package runs

import (
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
	starting     state = iota // ordered, not answered
	running                   // the worker has it
	stopping                  // its end is ordered or wanted
	awaitingText              // the text of its job is not there yet
)

// run is a run that may be at the worker.
type run struct {
	key             Key
	entry           identity.Incarnation
	need            sched.Room
	text            string
	state           state
	deadline        time.Duration // when it is of no use any more
	orderedAt       time.Duration // when its start was first sent
	startAttempts   int           // starts sent
	lastSentAt      time.Duration // when the last one was
	isAnswered      bool          // its start was answered
	answeredAt      time.Duration // when its start was answered
	missingSince    time.Duration // when the worker first listed it neither as present nor as ended; 0 if it did not
	expectedTime    time.Duration // how long it should run; 0 if that is not known
	hasMoved        bool          // it may not be given back as slow
	crashCount      int           // of workers under the task, as far as its entry knows
	percent         int64         // of its work, when it was last seen to advance
	advancedAt      time.Duration // and when that was
	endAfterStop    wire.RunEnd   // what the entry is told when it has been stopped
	hasStopInFlight bool          // a stop is under way
	nextStopAt      time.Duration // when the next stop is due if none is under way
	stopConfirmedAt time.Duration // when a stop was confirmed; 0 if none was
}

// entryState is what the machine knows of one entry.
type entryState struct {
	isLinked      bool
	latestClock   time.Duration  // the guard's clock in the entry's newest word
	lastSeq       uint64         // Seq of its last RunTasks
	tasksAge      time.Duration  // how old that was when it came
	needsLoad     bool           // the entry is to be told that age at once
	loadSentAt    time.Duration  // when it was last sent a load
	demand        wire.RunDemand // of its tasks without room
	offer         offer
	unusedOffers  int    // offers in a row that the entry did not answer, up to maxUnusedOffers
	lastOfferTurn uint64 // when it was last made an offer
	runs          int
}

// Machine is the state of one guard and its worker.
type Machine struct {
	timing    Timing
	disabled  policy.Set
	entries   map[identity.Incarnation]*entryState
	runs      map[Key]*run
	allocated sched.Room

	worker     wire.RunWorker // as announced
	instance   instance
	candidate  *Report // another life that has reported and is to be verified
	isLeaving  bool    // the guard stops
	drains     wire.Drains
	paceWindow paceWindow
	// Answers are expected to be missing from lossySince until doubtful.
	lossySince, lossyUntil time.Duration
	answerDelay            time.Duration // of the worker's answers, the longest of late

	pendingEnds map[identity.Incarnation][]wire.RunEnd // to be sent
	offerTurns  uint64                                 // offers made so far
	actions     []Action
}

// New returns the machine of a guard whose worker has not reported yet.
func New(opt Options) *Machine {
	return &Machine{
		timing:      opt.Timing.OrDefault(),
		disabled:    opt.Off,
		entries:     make(map[identity.Incarnation]*entryState),
		runs:        make(map[Key]*run),
		pendingEnds: make(map[identity.Incarnation][]wire.RunEnd),
	}
}

// Actions returns the actions since the last call, for the caller to keep.
func (m *Machine) Actions(now time.Duration) []Action {
	m.flush(now)
	m.sendHoldIfDue(now)
	out := m.actions
	m.actions = nil
	return out
}

// Worker describes the worker as it is announced.
func (m *Machine) Worker() wire.RunWorker { return m.worker }

// Load is the state as one entry is told it.
func (m *Machine) Load(now time.Duration, entry identity.Incarnation) wire.RunLoad {
	ent := m.entries[entry]
	if ent == nil {
		return wire.RunLoad{ClockMs: now.Milliseconds(), Free: m.freeRoomFor(nil)}
	}
	return wire.RunLoad{
		ClockMs: now.Milliseconds(), Seen: ent.lastSeq, Free: m.freeRoomFor(ent),
		AgeMs: ent.tasksAge.Milliseconds(),
	}
}

// Running tells how many runs may be at the worker.
func (m *Machine) Running() int { return len(m.runs) }

// Settled tells whether nothing runs and the worker knows that each end is noted.
func (m *Machine) Settled() bool {
	return len(m.runs) == 0 && m.instance.endCursor == m.instance.ackedCursor
}

func (m *Machine) freeRoom() sched.Room {
	if !m.worker.Usable {
		return sched.Room{}
	}
	return m.worker.Capacity.Minus(m.allocated)
}

// addRun counts a run in.
func (m *Machine) addRun(r *run) {
	m.runs[r.key] = r
	m.allocated = m.allocated.Plus(r.need)
	m.entries[r.entry].runs++
}

// endRun takes a run off the books and tells its entry.
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
		end.RunMs = (now - r.orderedAt).Milliseconds()
	}
	m.queueEnd(r.entry, r.key, end)
	m.removeIdleEntry(r.entry)
}

// removeIdleEntry drops an entry that has neither link nor runs.
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

// flush offers what is free to entries that wait for room, and sends the ends, one
// frame an entry.
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
			m.sendFrame(now, entry, &wire.Frame{GuardBeat: &wire.GuardBeat{Load: m.Load(now, entry)}})
		}
	}
	clear(m.pendingEnds)
}

func (m *Machine) sendFrame(now time.Duration, to identity.Incarnation, f *wire.Frame) {
	m.entries[to].loadSentAt, m.entries[to].needsLoad = now, false
	m.actions = append(m.actions, Action{Send: &Send{To: to, Frame: f}})
}

// announceWorker tells all entries of a change of the worker.
func (m *Machine) announceWorker(now time.Duration) {
	for _, entry := range m.sortedEntries() {
		ent := m.entries[entry]
		if ent.isLinked {
			snapshot := m.worker
			m.sendFrame(now, entry, &wire.Frame{GuardBeat: &wire.GuardBeat{Load: m.Load(now, entry), Worker: &snapshot}})
		}
	}
}

// setUsable notes whether new tasks are taken, and announces a change.
func (m *Machine) setUsable(now time.Duration, isUsable bool) {
	isUsable = isUsable && !m.isLeaving && !m.worker.Leaving && !m.Drained()
	if m.worker.Usable == isUsable {
		return
	}
	m.worker.Usable = isUsable
	m.announceWorker(now)
}

// Drain begins a planned stop of the guard: what runs may end, nothing is started.
func (m *Machine) Drain(now time.Duration) {
	if m.isLeaving {
		return
	}
	m.isLeaving = true
	m.worker.Leaving, m.worker.Usable = true, false
	m.announceWorker(now)
}

// sortedRuns gives the runs in a fixed order, so that the same events lead to the
// same actions each time.
func (m *Machine) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(m.runs), func(a, b *run) int { return a.key.compare(b.key) })
}

// sortedEntries gives the entries in a fixed order.
func (m *Machine) sortedEntries() []identity.Incarnation { return slices.Sorted(maps.Keys(m.entries)) }

// endNotRun is the end of a run that the worker never began.
func endNotRun(kind errkind.Kind) wire.RunEnd { return wire.RunEnd{Kind: kind, Ran: errkind.RanNo} }

// endWithdrawn is the end of a run that was stopped and may have begun.
func endWithdrawn(kind errkind.Kind) wire.RunEnd { return wire.RunEnd{Kind: kind} }
