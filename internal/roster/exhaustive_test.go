package roster

import (
	"fmt"
	"hash/maphash"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// The bound of the exhaustive search. Every sequence of exhaustiveDepth moves
// from the start is covered; equal states are visited once per remaining depth.
const (
	exhaustiveDepth = 4
	walkSeeds       = 1000
	walkMoves       = 80
	skew            = 1500 * time.Millisecond
	step            = time.Second
	births          = 40 // one key each half second from the epoch on
	variants        = 2  // keys with different owners for each birth
)

var exhaustiveOptions = Options{
	Period: time.Second, Horizon: 2 * time.Second, JoinLead: 2 * time.Second,
	Lead: 6 * time.Second, Renew: 2 * time.Second, Retry: time.Second,
	Takeover: time.Second, RankDelay: time.Millisecond, Retention: time.Hour,
}

// rule is the way in which a world breaks the rule on purpose.
type rule uint8

const (
	soundRule       rule = iota
	ownPromiseOnly       // the horizon counts this entry's own promise alone
	promiseOn            // an unanswered append does not cap the promises
	clockNotBirth        // the owner's clock is compared in place of the birth
	takeoverByClock      // an outsider's roster begins now and not at the ceiling
	anyAnswer            // an answer is taken for that to the write on its way
)

// world is two members, a and b, an outsider c, and the store. A permission is
// recorded at the moment at which a machine first gives it, since a process may
// act on it at any later time, however long it was paused.
type world struct {
	rule     rule
	now      time.Time
	machines [3]*Machine
	dead     [3]bool
	ahead    [3]bool // the entry's clock runs ahead by skew
	values   []stored
	queue    []request // compare-and-swaps on their way
	answers  []answer  // and their answers
	starter  [births * variants]int8
	checked  [3]*View // permissions change with the view only
}

type stored struct {
	value    []byte
	revision int64
}

type request struct {
	from     int
	swap     Swap
	answered bool // the sender already gave up on it
}

type answer struct {
	to       int
	id       uint64
	outcome  Outcome
	revision int64
}

var worldKeys = func() (out [births * variants]identity.Key) {
	for i := range out {
		out[i] = plainKey(epoch.Add(time.Duration(i/variants)*step/2), uint64(i%variants)*7+3)
	}
	return out
}()

var names = [3]identity.Incarnation{"a", "b", "c"}

func newWorld(t *testing.T, r rule) *world {
	w := &world{rule: r, now: epoch}
	value, err := History{Versions: []Version{{
		Version: 1, FromMs: epoch.UnixMilli(), Members: []wire.EntryAddr{addr("a"), addr("b")},
		CeilingMs: epoch.Add(exhaustiveOptions.Lead).UnixMilli(),
	}}}.Encode()
	qt.Assert(t, err, qt.IsNil)
	w.values = []stored{{value, 1}}
	for i, name := range names {
		w.machines[i] = NewMachine(addr(name), exhaustiveOptions)
	}
	for i := range names {
		w.read(i, false)
		w.collect(i, false)
	}
	return w
}

func (w *world) clone() *world {
	c := *w
	for i, m := range w.machines {
		c.machines[i] = cloneMachine(m)
	}
	c.values = slices.Clone(w.values)
	c.queue = slices.Clone(w.queue)
	c.answers = slices.Clone(w.answers)
	return &c
}

func cloneMachine(m *Machine) *Machine {
	c := &Machine{
		self: m.self, opt: m.opt, versions: slices.Clone(m.versions), revision: m.revision, stored: m.stored,
		read: m.read, answered: m.answered, own: m.own, current: maps.Clone(m.current), later: maps.Clone(m.later),
		swaps: m.swaps, joiners: maps.Clone(m.joiners), suspects: maps.Clone(m.suspects), gone: maps.Clone(m.gone),
		leaving: m.leaving, stays: m.stays, staying: maps.Clone(m.staying), fenced: m.fenced, nextPromise: m.nextPromise, nextRead: m.nextRead,
		nextJoin: m.nextJoin, joinTurn: m.joinTurn, changeSince: m.changeSince,
	}
	if m.pending != nil {
		p := *m.pending
		c.pending = &p
	}
	c.view.Store(m.view.Load())
	return c
}

// fingerprint tells states apart. Times are taken relative to the epoch.
func (w *world) fingerprint() string {
	var s strings.Builder
	fmt.Fprint(&s, w.now.Sub(epoch), w.dead, w.ahead, w.starter)
	for _, m := range w.machines {
		fmt.Fprint(&s, "|", m.revision, m.stored, m.own, m.current, m.later, m.joiners, m.suspects, m.gone,
			m.fenced, m.leaving, m.stays, m.staying, m.nextPromise.Sub(epoch), m.nextRead.Sub(epoch), m.nextJoin.Sub(epoch), m.joinTurn,
			m.changeSince.Sub(epoch), m.answered.Sub(epoch), len(m.versions))
		if v, ok := m.last(); ok {
			fmt.Fprint(&s, v.Version, v.FromMs, v.CeilingMs, len(v.Members), v.Gone)
		}
		if m.pending != nil {
			fmt.Fprint(&s, m.pending.capMs, m.pending.inFlight, m.pending.swap.Expect, m.pending.next.Sub(epoch))
		}
	}
	for _, r := range w.queue {
		fmt.Fprint(&s, r.from, r.answered, r.swap.Expect, string(r.swap.Value))
	}
	fmt.Fprint(&s, w.answers)
	last := w.values[len(w.values)-1]
	fmt.Fprint(&s, last.revision, string(last.value))
	return s.String()
}

// clock is what entry i takes for the time.
func (w *world) clock(i int) time.Time {
	if w.ahead[i] {
		return w.now.Add(skew)
	}
	return w.now
}

// collect carries out the actions of machine i; its messages are lost or arrive.
func (w *world) collect(i int, lose bool) {
	m := w.machines[i]
	for _, a := range m.Actions() {
		switch {
		case a.Broadcast != nil:
			w.promise(i, *a.Broadcast, lose)
		case a.Swap != nil:
			w.send(i, *a.Swap)
		case a.Announce != nil && !lose:
			w.announce(i, a.Announce)
		case a.Join != nil && !lose:
			w.to(a.Join.To, func(o *Machine, now time.Time) { o.JoinAsked(now, a.Join.Ask) })
		}
	}
}

func (w *world) promise(i int, p wire.Promise, lose bool) {
	for j, o := range w.machines {
		if j != i && !lose && !w.dead[j] {
			o.Promise(w.clock(j), names[i], p)
		}
		if j != i && w.rule == ownPromiseOnly {
			w.machines[i].current[names[j]] = p.UntilMs // as if all had promised the same
		}
	}
}

func (w *world) announce(i int, a *Announce) {
	for j, name := range names {
		if j != i && (a.To == "" || a.To == name) {
			w.to(name, func(o *Machine, now time.Time) {
				for _, r := range a.Versions {
					o.Learned(now, r)
				}
			})
		}
	}
}

func (w *world) to(name identity.Incarnation, f func(*Machine, time.Time)) {
	if j := slices.Index(names[:], name); !w.dead[j] {
		f(w.machines[j], w.clock(j))
	}
}

func (w *world) send(i int, s Swap) {
	if w.rule == takeoverByClock && names[i] == "c" {
		h, _ := DecodeHistory(s.Value)
		h.Versions[len(h.Versions)-1].FromMs = max(w.clock(i).UnixMilli(), h.Versions[0].FromMs)
		s.Value, _ = h.Encode()
	}
	w.queue = append(w.queue, request{from: i, swap: s})
	if w.rule == promiseOn {
		w.machines[i].pending.capMs = noCap
	}
}

// read gives entry i the store's value, or the one before it.
func (w *world) read(i int, stale bool) {
	v := w.values[len(w.values)-1]
	if stale && len(w.values) > 1 {
		v = w.values[len(w.values)-2]
	}
	_ = w.machines[i].Stored(w.clock(i), v.value, v.revision)
}

// tick lets a second pass and runs one entry.
func (w *world) tick(i int, lose bool) {
	w.now = w.now.Add(step)
	w.machines[i].Tick(w.clock(i))
	w.collect(i, lose)
}

// execute carries out the oldest request at the store; its answer may be lost.
func (w *world) execute(loseAnswer bool) {
	r := w.queue[0]
	w.queue = w.queue[1:]
	last := w.values[len(w.values)-1]
	outcome := OutcomeConflict
	if r.swap.Expect == last.revision {
		outcome = OutcomeDone
		w.values = append(w.values, stored{r.swap.Value, last.revision + 1})
	}
	if loseAnswer {
		outcome = OutcomeUnknown
	}
	if !r.answered {
		w.answers = append(w.answers, answer{r.from, r.swap.ID, outcome, last.revision + 1})
	}
}

// answer delivers the oldest answer of the store.
func (w *world) answer() {
	a := w.answers[0]
	w.answers = w.answers[1:]
	m := w.machines[a.to]
	if w.rule == anyAnswer && m.pending != nil {
		a.id = m.pending.swap.ID
	}
	if !w.dead[a.to] {
		m.Swapped(w.clock(a.to), a.id, a.outcome, a.revision)
	}
}

// giveUp lets the sender of the oldest request time out while it is on its way.
func (w *world) giveUp() {
	r := w.queue[0]
	r.answered = true
	w.queue = append(w.queue[1:], r)
	if !w.dead[r.from] {
		w.machines[r.from].Swapped(w.clock(r.from), r.swap.ID, OutcomeUnknown, 0)
	}
}

// moves lists what can happen next.
func (w *world) moves() (out []func(*world)) {
	for i := range w.machines {
		if !w.dead[i] {
			out = append(out, w.movesOf(i)...)
		}
	}
	if len(w.queue) > 0 {
		out = append(out, func(w *world) { w.execute(false) }, func(w *world) { w.execute(true) })
		if !w.queue[0].answered {
			out = append(out, (*world).giveUp)
		}
	}
	if len(w.answers) > 0 {
		out = append(out, (*world).answer)
	}
	if !w.dead[0] {
		out = append(out, func(w *world) { w.dead[0] = true })
	}
	return out
}

func (w *world) movesOf(i int) (out []func(*world)) {
	out = append(out,
		func(w *world) { w.tick(i, false) },
		func(w *world) { w.read(i, false); w.collect(i, true) },
		func(w *world) { w.read(i, true); w.collect(i, true) },
		func(w *world) { w.ahead[i] = !w.ahead[i] })
	if i < 2 {
		out = append(out, func(w *world) { w.tick(i, true) })
		if !w.machines[i].leaving {
			out = append(out, func(w *world) { w.machines[i].Leave(w.clock(i)); w.collect(i, false) })
		}
	}
	for j := range 2 {
		if i != j && !w.machines[i].gone[names[j]] {
			out = append(out, func(w *world) { w.machines[i].Gone(w.clock(i), names[j]); w.collect(i, true) })
		}
	}
	return out
}

// check records who may start what, and reports a key with two starters.
func (w *world) check() error {
	for i, m := range w.machines {
		v := m.View()
		if w.dead[i] || v == w.checked[i] && w.rule != clockNotBirth {
			continue
		}
		w.checked[i] = v
		for k, key := range worldKeys {
			if w.starter[k] == int8(i+1) || !w.mayStart(m, w.clock(i), key) {
				continue
			}
			if s := w.starter[k]; s != 0 && s != int8(i+1) {
				return fmt.Errorf("key born at %v may be started by %s and by %s",
					time.UnixMilli(key.BirthMs).Sub(epoch), names[s-1], names[i])
			}
			w.starter[k] = int8(i + 1)
		}
	}
	return nil
}

func (w *world) mayStart(m *Machine, now time.Time, key identity.Key) bool {
	if w.rule == clockNotBirth {
		key.BirthMs = now.UnixMilli()
	}
	v := m.View()
	if owner, _, ok := v.Owner(member, key); !ok || owner != m.self.Incarnation {
		return false // as MayStart would say, without making an error
	}
	err := v.MayStart(member, key)
	return err == nil || err.Kind == errkind.None
}

// search visits every state within depth moves.
type search struct {
	seed   maphash.Seed
	seen   map[uint64]int8 // greatest remaining depth with which it was visited
	states int
}

func (s *search) visit(w *world, depth int8) error {
	if depth == 0 {
		return nil
	}
	print := maphash.String(s.seed, w.fingerprint())
	if left, ok := s.seen[print]; ok && left >= depth {
		return nil
	}
	s.seen[print] = depth
	s.states++
	for _, move := range w.moves() {
		next := w.clone()
		if err := next.play(move); err != nil {
			return err
		}
		if err := s.visit(next, depth-1); err != nil {
			return err
		}
	}
	return nil
}

// openings lead to the moments at which a rule is most easily broken; the
// exhaustive search begins anew behind each.
var openings = map[string][]func(*world){
	"start": nil,
	"append in flight": {
		func(w *world) { w.tick(0, false) }, func(w *world) { w.tick(1, false) },
		func(w *world) { w.read(0, false); w.machines[0].Gone(w.now, "b"); w.collect(0, true) },
	},
	"appended, answer lost": {
		func(w *world) { w.tick(0, false) }, func(w *world) { w.tick(1, false) },
		func(w *world) { w.read(0, false); w.machines[0].Gone(w.now, "b"); w.collect(0, true) },
		func(w *world) { w.execute(true); w.answer() },
	},
	"outsider believes both gone": {
		func(w *world) { w.tick(0, false) }, func(w *world) { w.tick(1, false) },
		func(w *world) { w.machines[2].Gone(w.now, "a"); w.machines[2].Gone(w.now, "b") },
		func(w *world) { w.tick(2, true) }, func(w *world) { w.read(2, false); w.collect(2, true) },
	},
}

// play makes one move and drops the messages that answer it.
func (w *world) play(move func(*world)) error {
	move(w)
	for i := range w.machines {
		if !w.dead[i] {
			w.collect(i, true)
		}
	}
	return w.check()
}

func explore(t *testing.T, r rule, opening string, depth int8) (int, error) {
	w := newWorld(t, r)
	for _, move := range openings[opening] {
		if err := w.play(move); err != nil {
			return 0, err
		}
	}
	s := &search{seed: maphash.MakeSeed(), seen: make(map[uint64]int8)}
	err := s.visit(w, depth)
	return s.states, err
}

// walk makes random moves; the seed tells which.
func walk(t *testing.T, r rule, seed uint64, moves int) error {
	rng := rand.New(rand.NewPCG(seed, 0))
	w := newWorld(t, r)
	for range moves {
		choice := w.moves()
		if err := w.play(choice[rng.IntN(len(choice))]); err != nil {
			return err
		}
	}
	return nil
}

// Entries are paused, die, are taken for dead while they live, lose messages,
// and their writes to the store are slow, late or take effect without an answer,
// in every order up to the depth. If two of them could start the same identity,
// a caller who submits twice would get two escorts.
func TestNoTwoEntriesMayStartTheSameKey(t *testing.T) {
	for opening := range openings {
		t.Run(opening, func(t *testing.T) {
			t.Parallel()
			states, err := explore(t, soundRule, opening, exhaustiveDepth)
			qt.Check(t, err, qt.IsNil)
			t.Logf("depth %d, %d states", exhaustiveDepth, states)
		})
	}
}

// The same as above, in long random orders.
func TestRandomOrdersNeverGiveTwoStarters(t *testing.T) {
	for seed := range uint64(walkSeeds) {
		qt.Assert(t, walk(t, soundRule, seed, walkMoves), qt.IsNil, qt.Commentf("seed %d", seed))
	}
}

// The random search must be able to find a broken rule, or its silence means
// nothing.
func TestRandomOrdersFindBrokenRules(t *testing.T) {
	for r, name := range map[rule]string{
		ownPromiseOnly: "own promise only", promiseOn: "appender goes on promising",
		clockNotBirth: "clock in place of birth", takeoverByClock: "outsider begins by its clock",
		anyAnswer: "answer taken for another write's",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(walkSeeds) {
				if err := walk(t, r, seed, walkMoves); err != nil {
					t.Logf("found with seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("not found with %d seeds", walkSeeds)
		})
	}
}
