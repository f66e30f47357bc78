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
	starting state = iota // ordered, not answered
	running               // the worker has it
	stopping              // its end is ordered or wanted
	awaiting              // the text of its job is not there yet
)

// run is a run that may be at the worker.
type run struct {
	key      Key
	entry    identity.Incarnation
	need     sched.Room
	text     string
	state    state
	deadline time.Duration // when it is of no use any more
	ordered  time.Duration // when its start was first sent
	tries    int           // starts sent
	sent     time.Duration // when the last one was
	answered bool          // its start was answered
	present  time.Duration // when its start was answered
	missed   time.Duration // when the worker first listed it neither as present nor as ended; 0 if it did not
	expect   time.Duration // how long it should run; 0 if that is not known
	moved    bool          // it may not be given back as slow
	crashes  int           // of workers under the task, as far as its entry knows
	percent  int64         // of its work, when it was last seen to advance
	advanced time.Duration // and when that was
	why      wire.RunEnd   // what the entry is told when it has been stopped
	stopSent bool          // a stop is under way
	stopAt   time.Duration // when the next stop is due if none is under way
	stopped  time.Duration // when a stop was confirmed; 0 if none was
}

// permit is what the machine knows of one entry.
type permit struct {
	linked   bool
	newest   time.Duration  // the guard's clock in the entry's newest word
	seen     uint64         // Seq of its last RunTasks
	age      time.Duration  // how old that was when it came
	owed     bool           // the entry is to be told that age at once
	lastSent time.Duration  // when it was last sent a load
	demand   wire.RunDemand // of its tasks without room
	offer    offer
	unused   int    // offers in a row that the entry did not answer, up to mostUnused
	turn     uint64 // when it was last made an offer
	runs     int
}

// Machine is the state of one guard and its worker.
type Machine struct {
	timing  Timing
	off     policy.Set
	entries map[identity.Incarnation]*permit
	runs    map[Key]*run
	taken   sched.Room

	worker  wire.RunWorker // as announced
	life    life
	next    *Report // another life that has reported and is to be verified
	leaving bool    // the guard stops
	drains  wire.Drains
	pacing  pacing
	// Answers are expected to be missing from doubtFrom until doubtful.
	doubtFrom, doubtful time.Duration
	delay               time.Duration // of the worker's answers, the longest of late

	ends    map[identity.Incarnation][]wire.RunEnd // to be sent
	turns   uint64                                 // offers made so far
	actions []Action
}

// New returns the machine of a guard whose worker has not reported yet.
func New(opt Options) *Machine {
	return &Machine{
		timing:  opt.Timing.OrDefault(),
		off:     opt.Off,
		entries: make(map[identity.Incarnation]*permit),
		runs:    make(map[Key]*run),
		ends:    make(map[identity.Incarnation][]wire.RunEnd),
	}
}

// Actions returns the actions since the last call, for the caller to keep.
func (m *Machine) Actions(now time.Duration) []Action {
	m.flush(now)
	m.pumpHold(now)
	out := m.actions
	m.actions = nil
	return out
}

// Worker describes the worker as it is announced.
func (m *Machine) Worker() wire.RunWorker { return m.worker }

// Load is the state as one entry is told it.
func (m *Machine) Load(now time.Duration, entry identity.Incarnation) wire.RunLoad {
	p := m.entries[entry]
	if p == nil {
		return wire.RunLoad{ClockMs: now.Milliseconds(), Free: m.freeFor(nil)}
	}
	return wire.RunLoad{
		ClockMs: now.Milliseconds(), Seen: p.seen, Free: m.freeFor(p),
		AgeMs: p.age.Milliseconds(),
	}
}

// Running tells how many runs may be at the worker.
func (m *Machine) Running() int { return len(m.runs) }

// Settled tells whether nothing runs and the worker knows that each end is noted.
func (m *Machine) Settled() bool { return len(m.runs) == 0 && m.life.cursor == m.life.acked }

func (m *Machine) free() sched.Room {
	if !m.worker.Usable {
		return sched.Room{}
	}
	return m.worker.Capacity.Minus(m.taken)
}

// add counts a run in.
func (m *Machine) add(r *run) {
	m.runs[r.key] = r
	m.taken = m.taken.Plus(r.need)
	m.entries[r.entry].runs++
}

// end takes a run off the books and tells its entry.
func (m *Machine) end(now time.Duration, r *run, e wire.RunEnd) {
	delete(m.runs, r.key)
	m.taken = m.taken.Minus(r.need)
	if p := m.entries[r.entry]; p != nil {
		p.runs--
	}
	if e.Kind == errkind.None {
		m.ranPace(now, r)
	}
	m.forgetPace(r.key.Job)
	if e.Ran == errkind.RanYes {
		e.RunMs = (now - r.ordered).Milliseconds()
	}
	m.tell(r.entry, r.key, e)
	m.forgetIdle(r.entry)
}

// forgetIdle drops an entry that has neither link nor runs.
func (m *Machine) forgetIdle(name identity.Incarnation) {
	if p := m.entries[name]; p != nil && !p.linked && p.runs == 0 {
		delete(m.entries, name)
	}
}

func (m *Machine) tell(entry identity.Incarnation, k Key, e wire.RunEnd) {
	e.Job, e.Step, e.Index, e.Run = k.Job, k.Step, k.Index, k.Run
	if p := m.entries[entry]; p != nil && p.linked {
		m.ends[entry] = append(m.ends[entry], e)
	}
}

// flush offers what is free to entries that wait for room, and sends the ends, one
// frame an entry.
func (m *Machine) flush(now time.Duration) {
	offered := m.makeOffers(now)
	for _, name := range m.names() {
		p := m.entries[name]
		ends := m.ends[name]
		switch {
		case !p.linked:
		case len(ends) > 0:
			m.send(now, name, &wire.Frame{RunsEnded: &wire.RunsEnded{Ends: ends, Load: m.Load(now, name)}})
		case offered[p] || p.owed:
			m.send(now, name, &wire.Frame{GuardBeat: &wire.GuardBeat{Load: m.Load(now, name)}})
		}
	}
	clear(m.ends)
}

func (m *Machine) send(now time.Duration, to identity.Incarnation, f *wire.Frame) {
	m.entries[to].lastSent, m.entries[to].owed = now, false
	m.actions = append(m.actions, Action{Send: &Send{To: to, Frame: f}})
}

// announce tells all entries of a change of the worker.
func (m *Machine) announce(now time.Duration) {
	for _, name := range m.names() {
		p := m.entries[name]
		if p.linked {
			w := m.worker
			m.send(now, name, &wire.Frame{GuardBeat: &wire.GuardBeat{Load: m.Load(now, name), Worker: &w}})
		}
	}
}

// setUsable notes whether new tasks are taken, and announces a change.
func (m *Machine) setUsable(now time.Duration, usable bool) {
	usable = usable && !m.leaving && !m.worker.Leaving && !m.Drained()
	if m.worker.Usable == usable {
		return
	}
	m.worker.Usable = usable
	m.announce(now)
}

// Drain begins a planned stop of the guard: what runs may end, nothing is started.
func (m *Machine) Drain(now time.Duration) {
	if m.leaving {
		return
	}
	m.leaving = true
	m.worker.Leaving, m.worker.Usable = true, false
	m.announce(now)
}

// inOrder gives the runs in a fixed order, so that the same events lead to the
// same actions each time.
func (m *Machine) inOrder() []*run {
	return slices.SortedFunc(maps.Values(m.runs), func(a, b *run) int { return a.key.compare(b.key) })
}

// names gives the entries in a fixed order.
func (m *Machine) names() []identity.Incarnation { return slices.Sorted(maps.Keys(m.entries)) }

// notRun is the end of a run that the worker never began.
func notRun(kind errkind.Kind) wire.RunEnd { return wire.RunEnd{Kind: kind, Ran: errkind.RanNo} }

// withdrawn is the end of a run that was stopped and may have begun.
func withdrawn(kind errkind.Kind) wire.RunEnd { return wire.RunEnd{Kind: kind} }
