package recovery_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/roster"
)

// Limits of the random search.
const (
	seedCount = 1500
	moveCount = 200
)

// injectedFault selects the rule of the protocol that a model violates on purpose.
type injectedFault uint8

const (
	noFault             injectedFault = iota
	skipWitnessAcks                   // a guard is used before the witnesses have acknowledged it
	trustRemovedWitness               // a witness removed by a roster relies on its old list
	nonFinalOwner                     // a recovery begins while the owner may still change
	ignoreFence                       // a guard sends its report but continues to accept tasks of the fenced entry
)

// randomMove executes one random event.
func (m *model) randomMove() {
	n, o := m.pick(m.entryNames()), m.pick(m.entryNames())
	e := m.entries[n]
	g := m.pick(slices.Sorted(maps.Keys(m.guards)))
	switch k := m.rng.IntN(100); {
	case k < 40:
		m.deliver()
	case k < 54:
		m.now = m.now.Add(time.Duration(m.rng.IntN(800)) * time.Millisecond)
		m.tickEntry(n)
	case k < 62:
		m.stepStore()
	case k < 65:
		e.isPaused = !e.isPaused
	case e.hasCrashed || e.isPaused:
	case k < 81:
		m.submit(n, m.keys[m.rng.IntN(len(m.keys))])
	case k < 84:
		_ = e.roster.HandleStoreValue(m.now, m.storeValue, m.storeRevision)
		m.runActions(n)
	case k < 86:
		m.unlink(n, o)
	case k < 89:
		m.link(n, o)
	case k < 91 && o != n:
		if m.rng.IntN(3) == 0 {
			e.roster.Suspect(m.now, o)
		} else {
			e.roster.ReportGone(m.now, o)
		}
		m.runActions(n)
	case k < 92:
		m.unlinkGuard(n, g, m.rng.IntN(2) == 0)
	case k < 96:
		m.linkGuard(n, g)
	case k < 98:
		m.rareMove(n, g)
	}
}

func (m *model) tickEntry(n incarnation) {
	if e := m.entries[n]; !e.hasCrashed && !e.isPaused {
		e.roster.Tick(m.now)
		e.recoveryMachine.Tick(m.now)
		m.runActions(n)
	}
}

// rareMove crashes and starts processes. A crashed entry never restarts, but its
// frames may still arrive; a successor with another name starts in its place.
func (m *model) rareMove(n, g incarnation) {
	switch m.rng.IntN(4) {
	case 0:
		m.entries[n].hasCrashed = true
		for _, o := range m.entryNames() {
			m.unlink(n, o)
		}
		fallthrough
	case 1:
		if next := incarnation("d" + fmt.Sprint(len(m.entries))); len(m.entries) < 5 {
			m.startEntry(next)
		}
	case 2:
		m.addGuard()
	default:
		m.guards[g].hasCrashed = true
		for _, o := range m.entryNames() {
			m.unlinkGuard(o, g, false)
		}
	}
}

func (m *model) addGuard() {
	if len(m.guards) < 4 {
		m.startGuard(incarnation("y" + fmt.Sprint(len(m.guards))))
	}
}

// stepStore executes one compare-and-swap, sometimes out of order, or delivers a
// delayed answer. The answer may be lost, or the sender may give up before the write
// is executed.
func (m *model) stepStore() {
	switch {
	case len(m.delayedAnswers) > 0 && m.rng.IntN(2) == 0:
		a := m.delayedAnswers[0]
		m.delayedAnswers = m.delayedAnswers[1:]
		m.storeAnswer(a)
		return
	case len(m.pendingWrites) == 0:
		return
	}
	i := m.rng.IntN(len(m.pendingWrites))
	s := m.pendingWrites[i]
	if !s.isAbandoned && m.rng.IntN(5) == 0 {
		m.pendingWrites[i].isAbandoned = true
		m.storeAnswer(storeAnswer{s.from, s.s.ID, roster.OutcomeUnknown, 0})
		return
	}
	m.pendingWrites = slices.Delete(m.pendingWrites, i, i+1)
	a := storeAnswer{s.from, s.s.ID, roster.OutcomeConflict, 0}
	if s.s.Expect == m.storeRevision {
		m.storeValue, m.storeRevision = s.s.Value, m.storeRevision+1
		a.outcome, a.revision = roster.OutcomeDone, m.storeRevision
	}
	if m.rng.IntN(3) == 0 {
		a.outcome = roster.OutcomeUnknown
	}
	switch {
	case s.isAbandoned:
	case m.rng.IntN(2) == 0:
		m.storeAnswer(a)
	default:
		m.delayedAnswers = append(m.delayedAnswers, a)
	}
}

// storeAnswer passes the store's answer to the entry that made the write.
func (m *model) storeAnswer(a storeAnswer) {
	if e := m.entries[a.to]; !e.hasCrashed {
		e.roster.HandleSwapResult(m.now, a.id, a.outcome, a.revision)
		m.runActions(a.to)
	}
}

// isolateEntry disconnects an entry from the others, which remove it from the roster
// or declare it gone. It continues alone, or is paused until a later move.
func (m *model) isolateEntry(isDeclaredGone bool) {
	victim := m.pick(slices.DeleteFunc(m.entryNames(), func(n incarnation) bool { return n == m.removedEntry }))
	if !isDeclaredGone {
		m.removedEntry = victim
	}
	for _, o := range m.entryNames() {
		m.unlink(victim, o)
	}
	m.entries[victim].isPaused = isDeclaredGone && m.rng.IntN(2) == 0
	m.addGuard()
	for range 6 {
		m.now = m.now.Add(rosterOptions.PromiseInterval)
		for _, n := range m.entryNames() {
			e := m.entries[n]
			if n == victim || e.hasCrashed || e.isPaused {
				continue
			}
			if isDeclaredGone {
				e.roster.ReportGone(m.now, victim)
			} else {
				e.roster.Suspect(m.now, victim)
			}
			m.tickEntry(n)
			m.stepStore()
		}
		for range 8 {
			m.deliver()
		}
	}
}

// submitAll submits each key to a random entry.
func (m *model) submitAll() {
	for _, key := range m.keys {
		if n := m.pick(m.entryNames()); !m.entries[n].hasCrashed && !m.entries[n].isPaused {
			m.submit(n, key)
		}
	}
}

// runModel combines random moves with an entry that is removed from the roster and
// one that is declared gone, after which callers submit all keys.
func runModel(fault injectedFault, seed uint64) (m *model) {
	m = newModel(fault, seed)
	for i := range moveCount {
		switch {
		case i == moveCount/4 && m.rng.IntN(2) == 0:
			m.isolateEntry(false)
			m.submitAll()
		case i == moveCount/2:
			m.isolateEntry(true)
		case i > moveCount/2 && i%8 == 0:
			m.submitAll()
		}
		if m.randomMove(); m.violation != nil {
			break
		}
	}
	return m
}

// Guards against a task that starts twice, or a false "not run", after which the caller resubmits it.
// Entries and guards crash, pause, disconnect, are declared gone while running, and are replaced;
// frames are lost with their links; store writes are delayed, reordered or not answered.
func TestNoDoubleStartAndNoFalseNotRun(t *testing.T) {
	ran, proved := 0, 0
	for seed := range uint64(seedCount) {
		m := runModel(noFault, seed)
		qt.Assert(t, m.violation, qt.IsNil, qt.Commentf("seed %d", seed))
		ran, proved = ran+len(m.startCount), proved+len(m.reportedNotRun)
	}
	t.Logf("%d seeds, %d moves each: %d tasks ran, %d were proved not run", seedCount, moveCount, ran, proved)
	qt.Assert(t, ran > seedCount/4 && proved > seedCount/50, qt.IsTrue, qt.Commentf("%d ran, %d proved", ran, proved))
}

// The search must detect each injected fault; otherwise a run without violations
// would prove nothing.
func TestSearchDetectsInjectedFaults(t *testing.T) {
	for fault, description := range map[injectedFault]string{
		skipWitnessAcks: "guards used without acknowledgements", trustRemovedWitness: "removed witness trusted",
		nonFinalOwner: "owner not final", ignoreFence: "fence ignored",
	} {
		t.Run(description, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seedCount) {
				if m := runModel(fault, seed); m.violation != nil {
					t.Logf("found with seed %d: %v", seed, m.violation)
					return
				}
			}
			t.Errorf("not found with %d seeds", seedCount)
		})
	}
}
