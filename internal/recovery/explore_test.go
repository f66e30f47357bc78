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

// The bounds of the random search.
const (
	seeds = 1500
	moves = 200
)

// rule is the way in which a model breaks the rule on purpose.
type rule uint8

const (
	soundRule      rule = iota
	noWitness           // a guard is used before the witnesses know of it
	trustLeftOut        // a witness that a roster left out trusts its old list
	ownerNotFinal       // a recovery begins while the owner may change
	fenceForgotten      // a guard reports but goes on obeying the fenced entry
)

// move makes one random thing happen.
func (m *model) move() {
	n, o := m.pick(m.names()), m.pick(m.names())
	e := m.entries[n]
	g := m.pick(slices.Sorted(maps.Keys(m.guards)))
	switch k := m.rng.IntN(100); {
	case k < 40:
		m.deliver()
	case k < 54:
		m.now = m.now.Add(time.Duration(m.rng.IntN(800)) * time.Millisecond)
		m.tick(n)
	case k < 62:
		m.store()
	case k < 65:
		e.paused = !e.paused
	case e.dead || e.paused:
	case k < 81:
		m.submit(n, m.keys[m.rng.IntN(len(m.keys))])
	case k < 84:
		_ = e.roster.Stored(m.now, m.value, m.rev)
		m.after(n)
	case k < 86:
		m.unlink(n, o)
	case k < 89:
		m.link(n, o)
	case k < 91 && o != n:
		if m.rng.IntN(3) == 0 {
			e.roster.Suspect(m.now, o)
		} else {
			e.roster.Gone(m.now, o)
		}
		m.after(n)
	case k < 92:
		m.unlinkGuard(n, g, m.rng.IntN(2) == 0)
	case k < 96:
		m.linkGuard(n, g)
	case k < 98:
		m.rare(n, g)
	}
}

func (m *model) tick(n name) {
	if e := m.entries[n]; !e.dead && !e.paused {
		e.roster.Tick(m.now)
		e.recover.Tick(m.now)
		m.after(n)
	}
}

// rare kills and starts processes. An entry that is killed never comes back, and
// its frames may still arrive; a successor starts in its place.
func (m *model) rare(n, g name) {
	switch m.rng.IntN(4) {
	case 0:
		m.entries[n].dead = true
		for _, o := range m.names() {
			m.unlink(n, o)
		}
		fallthrough
	case 1:
		if next := name("d" + fmt.Sprint(len(m.entries))); len(m.entries) < 5 {
			m.entryStarts(next)
		}
	case 2:
		m.newGuard()
	default:
		m.guards[g].dead = true
		for _, o := range m.names() {
			m.unlinkGuard(o, g, false)
		}
	}
}

func (m *model) newGuard() {
	if len(m.guards) < 4 {
		m.guardStarts(name("y" + fmt.Sprint(len(m.guards))))
	}
}

// store carries out one compare-and-swap, out of order at times, or delivers an
// answer that was held up. The answer may be lost, or the sender may give up
// before the write is carried out.
func (m *model) store() {
	switch {
	case len(m.answers) > 0 && m.rng.IntN(2) == 0:
		a := m.answers[0]
		m.answers = m.answers[1:]
		m.answer(a)
		return
	case len(m.swaps) == 0:
		return
	}
	i := m.rng.IntN(len(m.swaps))
	s := m.swaps[i]
	if !s.silent && m.rng.IntN(5) == 0 {
		m.swaps[i].silent = true
		m.answer(answer{s.from, s.s.ID, roster.OutcomeUnknown, 0})
		return
	}
	m.swaps = slices.Delete(m.swaps, i, i+1)
	a := answer{s.from, s.s.ID, roster.OutcomeConflict, 0}
	if s.s.Expect == m.rev {
		m.value, m.rev = s.s.Value, m.rev+1
		a.outcome, a.revision = roster.OutcomeDone, m.rev
	}
	if m.rng.IntN(3) == 0 {
		a.outcome = roster.OutcomeUnknown
	}
	switch {
	case s.silent:
	case m.rng.IntN(2) == 0:
		m.answer(a)
	default:
		m.answers = append(m.answers, a)
	}
}

func (m *model) answer(a answer) {
	if e := m.entries[a.to]; !e.dead {
		e.roster.Swapped(m.now, a.id, a.outcome, a.revision)
		m.after(a.to)
	}
}

// cutOff takes an entry away from the others, who leave it out of the roster or
// declare it gone. It goes on alone, or is paused until a later move.
func (m *model) cutOff(declare bool) {
	victim := m.pick(slices.DeleteFunc(m.names(), func(n name) bool { return n == m.leftOut }))
	if !declare {
		m.leftOut = victim
	}
	for _, o := range m.names() {
		m.unlink(victim, o)
	}
	m.entries[victim].paused = declare && m.rng.IntN(2) == 0
	m.newGuard()
	for range 6 {
		m.now = m.now.Add(timing.Period)
		for _, n := range m.names() {
			e := m.entries[n]
			if n == victim || e.dead || e.paused {
				continue
			}
			if declare {
				e.roster.Gone(m.now, victim)
			} else {
				e.roster.Suspect(m.now, victim)
			}
			m.tick(n)
			m.store()
		}
		for range 8 {
			m.deliver()
		}
	}
}

// submitAll brings each key to some entry.
func (m *model) submitAll() {
	for _, key := range m.keys {
		if n := m.pick(m.names()); !m.entries[n].dead && !m.entries[n].paused {
			m.submit(n, key)
		}
	}
}

// run mixes random moves with an entry that is left out and one that is declared
// gone, after which callers ask for all keys.
func run(r rule, seed uint64) (m *model) {
	m = newModel(r, seed)
	for i := range moves {
		switch {
		case i == moves/4 && m.rng.IntN(2) == 0:
			m.cutOff(false)
			m.submitAll()
		case i == moves/2:
			m.cutOff(true)
		case i > moves/2 && i%8 == 0:
			m.submitAll()
		}
		if m.move(); m.err != nil {
			break
		}
	}
	return m
}

// Entries and guards die, are paused, cut off, taken for dead while they live
// and replaced; frames are lost with links, and writes to the store come late,
// in another order or without an answer. A task that starts twice is a second
// escort; a false "not run" makes the caller book one.
func TestNothingStartsTwiceAndNotRunIsTrue(t *testing.T) {
	ran, proved := 0, 0
	for seed := range uint64(seeds) {
		m := run(soundRule, seed)
		qt.Assert(t, m.err, qt.IsNil, qt.Commentf("seed %d", seed))
		ran, proved = ran+len(m.starts), proved+len(m.notRun)
	}
	t.Logf("%d seeds, %d moves each: %d tasks ran, %d were proved not run", seeds, moves, ran, proved)
	qt.Assert(t, ran > seeds/4 && proved > seeds/50, qt.IsTrue, qt.Commentf("%d ran, %d proved", ran, proved))
}

// The search must be able to find a broken rule, or its silence means nothing.
func TestSearchFindsBrokenRules(t *testing.T) {
	for r, what := range map[rule]string{
		noWitness: "guards used before witnesses know", trustLeftOut: "left-out witness trusted",
		ownerNotFinal: "owner not final", fenceForgotten: "fence forgotten",
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				if m := run(r, seed); m.err != nil {
					t.Logf("found with seed %d: %v", seed, m.err)
					return
				}
			}
			t.Errorf("not found with %d seeds", seeds)
		})
	}
}
