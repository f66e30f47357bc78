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

// Bounds of the searches. The exhaustive search covers every sequence of searchDepth
// transitions from a start; a state is visited again only with a greater remaining
// depth.
const (
	searchDepth      = 4
	randomWalkSeeds  = 1000
	randomWalkLength = 80
	clockSkew        = 1500 * time.Millisecond
	tickInterval     = time.Second
	birthCount       = 40 // one birth every half second, starting at epoch
	keysPerBirth     = 2  // with different owners
)

var worldOptions = Options{
	PromiseInterval: time.Second, PromiseLead: 2 * time.Second, JoinLead: 2 * time.Second,
	CeilingLead: 6 * time.Second, CeilingRenewAge: 2 * time.Second, StoreRetryDelay: time.Second,
	TakeoverDelay: time.Second, RankDelay: time.Millisecond, Retention: time.Hour,
}

// mutation is a deliberate violation of the rules that the search must detect.
type mutation uint8

const (
	noMutation                 mutation = iota
	horizonFromOwnPromise               // the horizon ignores the promises of other members
	noPromiseLimitWhilePending          // an unanswered append does not limit the promises
	clockInsteadOfBirth                 // the horizon is compared with the owner's clock and not with the birth
	takeoverAtClock                     // a non-member's version begins at its clock and not at the ceiling
	answerOfAnySwap                     // an answer is attributed to the pending swap whatever its ID
)

// world consists of the members a and b, the non-member c, and the store. A
// permission is recorded when a machine first gives it, since a process may act on it
// at any later time, however long it was paused.
type world struct {
	mutation     mutation
	now          time.Time
	machines     [3]*Machine
	crashed      [3]bool
	isClockAhead [3]bool // the entry's clock is ahead by clockSkew
	storeHistory []storeValue
	requests     []swapRequest                   // compare-and-swaps in flight
	answers      []swapAnswer                    // answers in flight
	starterOf    [birthCount * keysPerBirth]int8 // entry index plus 1, by key; 0 for none
	checkedViews [3]*View                        // views already checked; permissions change only with the view
}

type storeValue struct {
	value    []byte
	revision int64
}

type swapRequest struct {
	from     int
	swap     Swap
	answered bool // the sender timed out and has received OutcomeUnknown
}

type swapAnswer struct {
	to       int
	id       uint64
	outcome  Outcome
	revision int64
}

var worldKeys = func() (out [birthCount * keysPerBirth]identity.Key) {
	for i := range out {
		out[i] = plainKey(epoch.Add(time.Duration(i/keysPerBirth)*tickInterval/2), uint64(i%keysPerBirth)*7+3)
	}
	return out
}()

var entryNames = [3]identity.Incarnation{"a", "b", "c"}

func newWorld(t *testing.T, mut mutation) *world {
	w := &world{mutation: mut, now: epoch}
	value, err := History{Versions: []Version{{
		Version: 1, FromMs: epoch.UnixMilli(), Members: []wire.EntryAddr{addr("a"), addr("b")},
		CeilingMs: epoch.Add(worldOptions.CeilingLead).UnixMilli(),
	}}}.Encode()
	qt.Assert(t, err, qt.IsNil)
	w.storeHistory = []storeValue{{value, 1}}
	for i, name := range entryNames {
		w.machines[i] = NewMachine(addr(name), worldOptions)
	}
	for i := range entryNames {
		w.readStore(i, false)
		w.runActions(i, false)
	}
	return w
}

func (w *world) clone() *world {
	c := *w
	for i, m := range w.machines {
		c.machines[i] = cloneMachine(m)
	}
	c.storeHistory = slices.Clone(w.storeHistory)
	c.requests = slices.Clone(w.requests)
	c.answers = slices.Clone(w.answers)
	return &c
}

func cloneMachine(m *Machine) *Machine {
	c := &Machine{
		self: m.self, opt: m.opt, versions: slices.Clone(m.versions), revision: m.revision,
		storedVersion: m.storedVersion, hasReadStore: m.hasReadStore, answered: m.answered,
		ownPromiseMs: m.ownPromiseMs, promisesMs: maps.Clone(m.promisesMs),
		futurePromises: maps.Clone(m.futurePromises), lastSwapID: m.lastSwapID,
		joinRequests: maps.Clone(m.joinRequests), suspectedSince: maps.Clone(m.suspectedSince),
		undeclaredGone: maps.Clone(m.undeclaredGone), isLeaving: m.isLeaving,
		hasPledgedToStay: m.hasPledgedToStay, stayingPeers: maps.Clone(m.stayingPeers),
		isFenced: m.isFenced, nextPromise: m.nextPromise, nextRead: m.nextRead,
		nextJoin: m.nextJoin, joinAttempts: m.joinAttempts, changePendingSince: m.changePendingSince,
	}
	if m.pending != nil {
		p := *m.pending
		c.pending = &p
	}
	c.view.Store(m.view.Load())
	return c
}

// fingerprint returns a text that differs between different states. Times are
// relative to epoch.
func (w *world) fingerprint() string {
	var s strings.Builder
	fmt.Fprint(&s, w.now.Sub(epoch), w.crashed, w.isClockAhead, w.starterOf)
	for _, m := range w.machines {
		fmt.Fprint(&s, "|", m.revision, m.storedVersion, m.ownPromiseMs, m.promisesMs, m.futurePromises,
			m.joinRequests, m.suspectedSince, m.undeclaredGone, m.isFenced, m.isLeaving,
			m.hasPledgedToStay, m.stayingPeers, m.nextPromise.Sub(epoch), m.nextRead.Sub(epoch),
			m.nextJoin.Sub(epoch), m.joinAttempts, m.changePendingSince.Sub(epoch),
			m.answered.Sub(epoch), len(m.versions))
		if v, ok := m.last(); ok {
			fmt.Fprint(&s, v.Version, v.FromMs, v.CeilingMs, len(v.Members), v.Gone)
		}
		if m.pending != nil {
			fmt.Fprint(&s, m.pending.promiseLimitMs, m.pending.isInFlight, m.pending.swap.Expect, m.pending.nextAttempt.Sub(epoch))
		}
	}
	for _, r := range w.requests {
		fmt.Fprint(&s, r.from, r.answered, r.swap.Expect, string(r.swap.Value))
	}
	fmt.Fprint(&s, w.answers)
	last := w.storeHistory[len(w.storeHistory)-1]
	fmt.Fprint(&s, last.revision, string(last.value))
	return s.String()
}

// clock returns the time on entry i's clock.
func (w *world) clock(i int) time.Time {
	if w.isClockAhead[i] {
		return w.now.Add(clockSkew)
	}
	return w.now
}

// runActions executes the actions of machine i. Its messages are delivered at once or
// dropped.
func (w *world) runActions(i int, dropMessages bool) {
	m := w.machines[i]
	for _, a := range m.Actions() {
		switch {
		case a.Broadcast != nil:
			w.broadcastPromise(i, *a.Broadcast, dropMessages)
		case a.Swap != nil:
			w.enqueueSwap(i, *a.Swap)
		case a.Announce != nil && !dropMessages:
			w.sendVersions(i, a.Announce)
		case a.Join != nil && !dropMessages:
			w.deliverTo(a.Join.To, func(o *Machine, now time.Time) { o.HandleJoin(now, a.Join.Request) })
		}
	}
}

func (w *world) broadcastPromise(i int, p wire.Promise, dropMessages bool) {
	for j, o := range w.machines {
		if j != i && !dropMessages && !w.crashed[j] {
			o.Promise(w.clock(j), entryNames[i], p)
		}
		if j != i && w.mutation == horizonFromOwnPromise {
			w.machines[i].promisesMs[entryNames[j]] = p.UntilMs // as if every member had made the same promise
		}
	}
}

func (w *world) sendVersions(i int, a *Announce) {
	for j, name := range entryNames {
		if j != i && (a.To == "" || a.To == name) {
			w.deliverTo(name, func(o *Machine, now time.Time) {
				for _, r := range a.Versions {
					o.HandleRoster(now, r)
				}
			})
		}
	}
}

func (w *world) deliverTo(name identity.Incarnation, f func(*Machine, time.Time)) {
	if j := slices.Index(entryNames[:], name); !w.crashed[j] {
		f(w.machines[j], w.clock(j))
	}
}

func (w *world) enqueueSwap(i int, s Swap) {
	if w.mutation == takeoverAtClock && entryNames[i] == "c" {
		h, _ := DecodeHistory(s.Value)
		h.Versions[len(h.Versions)-1].FromMs = max(w.clock(i).UnixMilli(), h.Versions[0].FromMs)
		s.Value, _ = h.Encode()
	}
	w.requests = append(w.requests, swapRequest{from: i, swap: s})
	if w.mutation == noPromiseLimitWhilePending {
		w.machines[i].pending.promiseLimitMs = noPromiseLimit
	}
}

// readStore passes the store's current value, or the previous one if stale, to entry
// i.
func (w *world) readStore(i int, stale bool) {
	v := w.storeHistory[len(w.storeHistory)-1]
	if stale && len(w.storeHistory) > 1 {
		v = w.storeHistory[len(w.storeHistory)-2]
	}
	_ = w.machines[i].HandleStoreValue(w.clock(i), v.value, v.revision)
}

// tick advances the time by tickInterval and calls Tick on entry i.
func (w *world) tick(i int, dropMessages bool) {
	w.now = w.now.Add(tickInterval)
	w.machines[i].Tick(w.clock(i))
	w.runActions(i, dropMessages)
}

// executeSwap executes the oldest request at the store. Its answer may be lost.
func (w *world) executeSwap(dropAnswer bool) {
	r := w.requests[0]
	w.requests = w.requests[1:]
	last := w.storeHistory[len(w.storeHistory)-1]
	outcome := OutcomeConflict
	if r.swap.Expect == last.revision {
		outcome = OutcomeDone
		w.storeHistory = append(w.storeHistory, storeValue{r.swap.Value, last.revision + 1})
	}
	if dropAnswer {
		outcome = OutcomeUnknown
	}
	if !r.answered {
		w.answers = append(w.answers, swapAnswer{r.from, r.swap.ID, outcome, last.revision + 1})
	}
}

// deliverAnswer delivers the store's oldest answer.
func (w *world) deliverAnswer() {
	a := w.answers[0]
	w.answers = w.answers[1:]
	m := w.machines[a.to]
	if w.mutation == answerOfAnySwap && m.pending != nil {
		a.id = m.pending.swap.ID
	}
	if !w.crashed[a.to] {
		m.HandleSwapResult(w.clock(a.to), a.id, a.outcome, a.revision)
	}
}

// timeOutSwap makes the sender of the oldest request time out while it is in flight.
func (w *world) timeOutSwap() {
	r := w.requests[0]
	r.answered = true
	w.requests = append(w.requests[1:], r)
	if !w.crashed[r.from] {
		w.machines[r.from].HandleSwapResult(w.clock(r.from), r.swap.ID, OutcomeUnknown, 0)
	}
}

// transitions returns all transitions that are possible in this state.
func (w *world) transitions() (out []func(*world)) {
	for i := range w.machines {
		if !w.crashed[i] {
			out = append(out, w.entryTransitions(i)...)
		}
	}
	if len(w.requests) > 0 {
		out = append(out, func(w *world) { w.executeSwap(false) }, func(w *world) { w.executeSwap(true) })
		if !w.requests[0].answered {
			out = append(out, (*world).timeOutSwap)
		}
	}
	if len(w.answers) > 0 {
		out = append(out, (*world).deliverAnswer)
	}
	if !w.crashed[0] {
		out = append(out, func(w *world) { w.crashed[0] = true })
	}
	return out
}

func (w *world) entryTransitions(i int) (out []func(*world)) {
	out = append(out,
		func(w *world) { w.tick(i, false) },
		func(w *world) { w.readStore(i, false); w.runActions(i, true) },
		func(w *world) { w.readStore(i, true); w.runActions(i, true) },
		func(w *world) { w.isClockAhead[i] = !w.isClockAhead[i] })
	if i < 2 {
		out = append(out, func(w *world) { w.tick(i, true) })
		if !w.machines[i].isLeaving {
			out = append(out, func(w *world) { w.machines[i].Leave(w.clock(i)); w.runActions(i, false) })
		}
	}
	for j := range 2 {
		if i != j && !w.machines[i].undeclaredGone[entryNames[j]] {
			out = append(out, func(w *world) { w.machines[i].ReportGone(w.clock(i), entryNames[j]); w.runActions(i, true) })
		}
	}
	return out
}

// checkSingleStarter records which entries may start which keys, and returns an error
// if a key has two starters.
func (w *world) checkSingleStarter() error {
	for i, m := range w.machines {
		v := m.View()
		if w.crashed[i] || v == w.checkedViews[i] && w.mutation != clockInsteadOfBirth {
			continue
		}
		w.checkedViews[i] = v
		for k, key := range worldKeys {
			if w.starterOf[k] == int8(i+1) || !w.mayStart(m, w.clock(i), key) {
				continue
			}
			if s := w.starterOf[k]; s != 0 && s != int8(i+1) {
				return fmt.Errorf("key born at %v may be started by %s and by %s",
					time.UnixMilli(key.BirthMs).Sub(epoch), entryNames[s-1], entryNames[i])
			}
			w.starterOf[k] = int8(i + 1)
		}
	}
	return nil
}

func (w *world) mayStart(m *Machine, now time.Time, key identity.Key) bool {
	if w.mutation == clockInsteadOfBirth {
		key.BirthMs = now.UnixMilli()
	}
	v := m.View()
	if owner, _, ok := v.Owner(member, key); !ok || owner != m.self.Incarnation {
		return false // MayStart would refuse as well, but allocates an error
	}
	err := v.MayStart(member, key)
	return err == nil || err.Kind == errkind.None
}

// search visits every state within a number of transitions.
type search struct {
	hashSeed     maphash.Seed
	visitedDepth map[uint64]int8 // state hash to greatest remaining depth at a visit
	states       int
}

func (s *search) visit(w *world, depth int8) error {
	if depth == 0 {
		return nil
	}
	hash := maphash.String(s.hashSeed, w.fingerprint())
	if visited, ok := s.visitedDepth[hash]; ok && visited >= depth {
		return nil
	}
	s.visitedDepth[hash] = depth
	s.states++
	for _, transition := range w.transitions() {
		next := w.clone()
		if err := next.apply(transition); err != nil {
			return err
		}
		if err := s.visit(next, depth-1); err != nil {
			return err
		}
	}
	return nil
}

// searchStarts lists transitions that lead to states in which a violation of the
// rules is most likely. The exhaustive search runs once from each.
var searchStarts = map[string][]func(*world){
	"start": nil,
	"append in flight": {
		func(w *world) { w.tick(0, false) }, func(w *world) { w.tick(1, false) },
		func(w *world) { w.readStore(0, false); w.machines[0].ReportGone(w.now, "b"); w.runActions(0, true) },
	},
	"append executed, answer lost": {
		func(w *world) { w.tick(0, false) }, func(w *world) { w.tick(1, false) },
		func(w *world) { w.readStore(0, false); w.machines[0].ReportGone(w.now, "b"); w.runActions(0, true) },
		func(w *world) { w.executeSwap(true); w.deliverAnswer() },
	},
	"non-member considers both members gone": {
		func(w *world) { w.tick(0, false) }, func(w *world) { w.tick(1, false) },
		func(w *world) { w.machines[2].ReportGone(w.now, "a"); w.machines[2].ReportGone(w.now, "b") },
		func(w *world) { w.tick(2, true) }, func(w *world) { w.readStore(2, false); w.runActions(2, true) },
	},
}

// apply performs a transition and drops the messages that result from it.
func (w *world) apply(transition func(*world)) error {
	transition(w)
	for i := range w.machines {
		if !w.crashed[i] {
			w.runActions(i, true)
		}
	}
	return w.checkSingleStarter()
}

func searchFrom(t *testing.T, mut mutation, start string, depth int8) (int, error) {
	w := newWorld(t, mut)
	for _, transition := range searchStarts[start] {
		if err := w.apply(transition); err != nil {
			return 0, err
		}
	}
	s := &search{hashSeed: maphash.MakeSeed(), visitedDepth: make(map[uint64]int8)}
	err := s.visit(w, depth)
	return s.states, err
}

// randomWalk performs random transitions, determined by seed.
func randomWalk(t *testing.T, mut mutation, seed uint64, transitions int) error {
	rng := rand.New(rand.NewPCG(seed, 0))
	w := newWorld(t, mut)
	for range transitions {
		choices := w.transitions()
		if err := w.apply(choices[rng.IntN(len(choices))]); err != nil {
			return err
		}
	}
	return nil
}

// Guards against two entries starting the same key, so that a job submitted twice could run twice.
// Entries pause, crash, are wrongly considered gone and lose messages; their store writes are slow,
// late, or take effect without an answer. All sequences up to searchDepth are covered.
func TestExhaustiveSearchFindsNoKeyWithTwoStarters(t *testing.T) {
	for start := range searchStarts {
		t.Run(start, func(t *testing.T) {
			t.Parallel()
			states, err := searchFrom(t, noMutation, start, searchDepth)
			qt.Check(t, err, qt.IsNil)
			t.Logf("depth %d, %d states", searchDepth, states)
		})
	}
}

// The same in long random sequences.
func TestRandomWalksFindNoKeyWithTwoStarters(t *testing.T) {
	for seed := range uint64(randomWalkSeeds) {
		qt.Assert(t, randomWalk(t, noMutation, seed, randomWalkLength), qt.IsNil, qt.Commentf("seed %d", seed))
	}
}

// The random walk must detect each deliberate violation; otherwise its passing proves
// nothing.
func TestRandomWalksDetectMutations(t *testing.T) {
	for mut, name := range map[mutation]string{
		horizonFromOwnPromise:      "horizon from own promise only",
		noPromiseLimitWhilePending: "no promise limit while an append is pending",
		clockInsteadOfBirth:        "clock compared instead of birth",
		takeoverAtClock:            "non-member begins at its clock",
		answerOfAnySwap:            "answer attributed to another swap",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(randomWalkSeeds) {
				if err := randomWalk(t, mut, seed, randomWalkLength); err != nil {
					t.Logf("found with seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("violation not found with %d seeds", randomWalkSeeds)
		})
	}
}
