package batch_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"wigeontray/internal/batch"
	"wigeontray/internal/identity"
	"wigeontray/internal/policy"
	"wigeontray/internal/runs"
	"wigeontray/internal/wire"
)

// sim plays entries, guards, workers and callers of one service in one thread,
// under one clock and one seed, with faults between them. It checks what callers
// and workers must never see.
type sim struct {
	rng    *rand.Rand
	now    time.Duration
	events eventHeap
	seq    int

	entries []*simEntry
	guards  []*simGuard
	workers []*simWorker
	jobs    map[string]*simJob
	running map[string]string // task to the worker that runs it
	faults  simFaults
	resend  time.Duration // when callers without an answer send a job again
	off     policy.Set    // mechanisms that are switched off
	broken  []string      // rules that were broken
	counts  simCounts

	worked float64 // at workers, in cores times seconds
	wasted float64 // the part of it that served no caller in time
}

// simFaults are the chances of faults, each by call or frame.
type simFaults struct {
	lateOrder  float64 // an order gets no answer and is carried out seconds later
	lostAnswer float64 // an order is carried out and its answer lost
	failRun    float64 // a run fails
}

type simCounts struct{ sent, complete, failed, refused, unknown, starts int }

type simJob struct {
	id      string
	steps   []batch.Step
	began   time.Duration
	ended   bool
	refused bool // every answer said that it has not run
	doubt   bool // an attempt ended without a final answer
	started bool // a task of it was started at a worker

	queue  *batch.Queue         // simQueue if nil
	took   time.Duration        // how long its tasks usually take; by their estimate if 0
	worked float64              // in cores times seconds
	told   func(*batch.Outcome) // is given its answer; may be nil
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simEntry is one entry; a frozen one keeps what comes until it wakes.
type simEntry struct {
	s       *sim
	id      identity.Incarnation
	m       *batch.Machine
	waiters map[string]func(*batch.Outcome)
	frozen  time.Duration // until then
	woke    time.Duration // when it last woke
	held    []func()
	tickAt  time.Duration
	gone    bool
}

type simGuard struct {
	s      *sim
	id     identity.Incarnation
	m      *runs.Machine
	worker *simWorker
	links  map[identity.Incarnation]*simLink
	frozen time.Duration
	held   []func()
	tickAt time.Duration
	gone   bool
}

// simLink carries frames in order between an entry and a guard. While it is cut
// they are held up, and arrive in order when it heals.
type simLink struct {
	entry   *simEntry
	guard   *simGuard
	up      bool
	cut     time.Duration // until then
	toEntry time.Duration // arrival of the newest frame
	toGuard time.Duration
}

const simDelay = time.Millisecond

func newSim(seed uint64, entries, guards int, resend time.Duration, off policy.Set) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), resend: resend, off: off,
		jobs: make(map[string]*simJob), running: make(map[string]string),
		now: time.Hour,
	}
	for i := range entries {
		s.entries = append(s.entries, s.newEntry(i, 0))
	}
	for i := range guards {
		w := &simWorker{s: s, name: fmt.Sprintf("w%d", i), number: i}
		w.reset()
		s.workers = append(s.workers, w)
		s.guards = append(s.guards, nil)
		s.startGuard(i)
		s.report(i)
	}
	return s
}

func (s *sim) newEntry(i, life int) *simEntry {
	id := identity.Incarnation(fmt.Sprintf("e%d-%d", i, life))
	return &simEntry{
		s: s, id: id, m: batch.New(s.now, batch.Options{Domain: domainOf(i), Seed: s.rng.Uint64(), Timing: runs.TimingFor(s.resend), Off: s.off}),
		waiters: make(map[string]func(*batch.Outcome)),
	}
}

func domainOf(i int) string { return fmt.Sprintf("d%d", i%2) }

func (s *sim) at(t time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: max(t, s.now), seq: s.seq, do: do})
}

func (s *sim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

// run plays until a time.
func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until && len(s.broken) == 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = max(s.now, until)
}

func (s *sim) breaks(format string, args ...any) {
	s.broken = append(s.broken, fmt.Sprintf("%v: ", s.now-time.Hour)+fmt.Sprintf(format, args...))
}

// startGuard starts a new incarnation of a guard and links it to all entries.
func (s *sim) startGuard(i int) {
	life := 0
	if old := s.guards[i]; old != nil {
		fmt.Sscanf(string(old.id), fmt.Sprintf("g%d-%%d", i), &life)
		life++
	}
	g := &simGuard{
		s: s, id: identity.Incarnation(fmt.Sprintf("g%d-%d", i, life)), m: runs.New(runs.Options{Timing: runs.TimingFor(s.resend), Off: s.off}),
		worker: s.workers[i], links: make(map[identity.Incarnation]*simLink),
	}
	s.guards[i] = g
	for _, e := range s.entries {
		s.link(e, g)
	}
}

// killGuard ends a guard's process and starts another a little later.
func (s *sim) killGuard(i int, down time.Duration) {
	g := s.guards[i]
	if g.gone {
		return
	}
	g.gone = true
	for _, l := range g.inOrder() {
		s.unlink(l)
	}
	s.after(down, func() { s.startGuard(i) })
}

// killEntry ends an entry's process: its callers hear nothing more. Another one
// takes its place.
func (s *sim) killEntry(i int, down time.Duration, silent bool) {
	e := s.entries[i]
	if e.gone {
		return
	}
	e.gone = true
	for _, g := range s.guards {
		if l := g.links[e.id]; l != nil && !silent {
			s.unlink(l)
		}
	}
	life := 0
	fmt.Sscanf(string(e.id), fmt.Sprintf("e%d-%%d", i), &life)
	s.after(down, func() {
		s.entries[i] = s.newEntry(i, life+1)
		for _, g := range s.guards {
			if !g.gone {
				if l := g.links[e.id]; l != nil {
					s.unlink(l)
				}
				s.link(s.entries[i], g)
			}
		}
	})
}

// inOrder gives a guard's links in the order of their entries.
func (g *simGuard) inOrder() []*simLink {
	var out []*simLink
	for _, id := range slices.Sorted(maps.Keys(g.links)) {
		out = append(out, g.links[id])
	}
	return out
}

func (s *sim) link(e *simEntry, g *simGuard) {
	l := &simLink{entry: e, guard: g, up: true}
	hello := &wire.RunHello{Incarnation: g.id, Worker: g.m.Worker(), Load: g.m.Load(s.now, "")}
	g.links[e.id] = l
	s.after(simDelay, func() {
		if !l.up || e.gone || g.gone {
			return
		}
		e.take(func() { e.step(func() { e.m.GuardUp(s.now, hello) }) })
		g.take(func() {
			g.step(func() { g.m.LinkUp(s.now, e.id) })
			w := g.m.Worker()
			l.frameToEntry(&wire.Frame{GuardBeat: &wire.GuardBeat{Load: g.m.Load(s.now, e.id), Worker: &w}})
		})
	})
}

// unlink breaks a link; both ends that live notice, and the guard dials again.
func (s *sim) unlink(l *simLink) {
	if !l.up {
		return
	}
	l.up = false
	e, g := l.entry, l.guard
	s.after(simDelay, func() {
		if !e.gone {
			e.take(func() { e.step(func() { e.m.GuardDown(s.now, g.id) }) })
		}
		if !g.gone && g.links[e.id] == l {
			delete(g.links, e.id)
			g.take(func() { g.step(func() { g.m.LinkDown(s.now, e.id) }) })
			s.after(100*time.Millisecond, func() {
				if !e.gone && !g.gone && g.links[e.id] == nil {
					s.link(e, g)
				}
			})
		}
	})
}

func (l *simLink) frameToEntry(f *wire.Frame) {
	s := l.entry.s
	l.toEntry = max(l.toEntry, s.now+simDelay, l.cut)
	s.at(l.toEntry, func() {
		if l.up && !l.entry.gone {
			l.entry.take(func() { l.entry.receive(l.guard.id, f) })
		}
	})
}

func (l *simLink) frameToGuard(f *wire.Frame) {
	s := l.entry.s
	l.toGuard = max(l.toGuard, s.now+simDelay, l.cut)
	s.at(l.toGuard, func() {
		if l.up && !l.guard.gone {
			l.guard.take(func() { l.guard.receive(l.entry.id, f) })
		}
	})
}

// take lets an entry do something now, or when it wakes. It then takes first note
// that it was frozen.
func (e *simEntry) take(do func()) {
	takeNow(e.s, &e.frozen, &e.held, do, func() {
		e.woke = e.s.now
		e.step(func() { e.m.Woke(e.s.now) })
	})
}

func (g *simGuard) take(do func()) { takeNow(g.s, &g.frozen, &g.held, do, func() {}) }

func takeNow(s *sim, frozen *time.Duration, held *[]func(), do, woke func()) {
	if s.now >= *frozen {
		do()
		return
	}
	*held = append(*held, do)
	if len(*held) == 1 {
		wake(s, frozen, held, woke)
	}
}

// wake does what was held up once a process is no longer frozen.
func wake(s *sim, frozen *time.Duration, held *[]func(), woke func()) {
	s.at(*frozen, func() {
		if s.now < *frozen {
			wake(s, frozen, held, woke)
			return
		}
		woke()
		waiting := *held
		*held = nil
		for _, do := range waiting {
			do()
		}
	})
}

func (e *simEntry) receive(from identity.Incarnation, f *wire.Frame) {
	e.step(func() {
		switch {
		case f.RunsEnded != nil:
			e.m.Ended(e.s.now, from, f.RunsEnded)
		case f.GuardBeat != nil:
			e.m.Beat(e.s.now, from, f.GuardBeat)
		}
	})
}

func (e *simEntry) step(do func()) {
	s := e.s
	do()
	for _, a := range e.m.Actions(s.now) {
		switch {
		case a.Finish != nil:
			if answer := e.waiters[a.Finish.ID]; answer != nil {
				delete(e.waiters, a.Finish.ID)
				answer(a.Finish)
			}
		case a.Drop:
			if l := e.linkTo(a.Guard); l != nil {
				s.unlink(l)
			}
		case a.Frame != nil:
			if l := e.linkTo(a.Guard); l != nil {
				l.frameToGuard(a.Frame)
			}
		}
	}
	if next := e.m.NextTick(); next > 0 && next != e.tickAt {
		e.tickAt = next
		s.at(next, func() {
			if !e.gone && e.tickAt == next {
				e.take(func() { e.tickAt = 0; e.step(func() { e.m.Tick(s.now) }) })
			}
		})
	}
}

func (e *simEntry) linkTo(guard identity.Incarnation) *simLink {
	for _, g := range e.s.guards {
		if l := g.links[e.id]; g.id == guard && l != nil && l.up {
			return l
		}
	}
	return nil
}

func (g *simGuard) receive(from identity.Incarnation, f *wire.Frame) {
	g.step(func() {
		now := g.s.now
		switch {
		case f.RunTasks != nil:
			g.m.Run(now, from, f.RunTasks)
		case f.StopRuns != nil:
			g.m.StopJob(now, from, f.StopRuns)
		case f.EntryBeat != nil:
			g.m.Beat(now, from, f.EntryBeat)
		}
	})
}

func (g *simGuard) step(do func()) {
	s := g.s
	do()
	for _, a := range g.m.Actions(s.now) {
		switch {
		case a.Send != nil:
			if l := g.links[a.Send.To]; l != nil && l.up {
				l.frameToEntry(a.Send.Frame)
			}
		case a.Start != nil:
			g.order(a.Start.AnswerIn, func() any { return g.worker.start(a.Start) }, func(got any) {
				answer, ok := got.(runs.StartAnswer)
				if !ok {
					answer = runs.StartAnswer{Verdict: runs.NoAnswer}
				}
				g.step(func() { g.m.Started(s.now, a.Start.Key, answer) })
			})
		case a.Stop != nil:
			g.order(a.Stop.AnswerIn, func() any { return g.worker.stop(a.Stop) }, func(got any) {
				v, ok := got.(runs.Verdict)
				if !ok {
					v = runs.NoAnswer
				}
				g.step(func() { g.m.Stopped(s.now, a.Stop.Key, v, 0) })
			})
		case a.Hold != nil:
			g.worker.hold(g, a.Hold)
		}
	}
	if next := g.m.NextTick(); next > 0 && next != g.tickAt {
		g.tickAt = next
		s.at(next, func() {
			if !g.gone && g.tickAt == next {
				g.take(func() { g.tickAt = 0; g.step(func() { g.m.Tick(s.now) }) })
			}
		})
	}
}

// order sends an order to the worker; got is nil if no answer comes in time. An
// order of a guard that has died since still arrives.
func (g *simGuard) order(timeout time.Duration, carryOut func() any, answered func(got any)) {
	s := g.s
	back := func(after time.Duration, got any) {
		s.after(after, func() {
			if !g.gone {
				g.take(func() { answered(got) })
			}
		})
	}
	switch p := s.rng.Float64(); {
	case p < s.faults.lateOrder/2:
		s.after(2*time.Second+time.Duration(s.rng.Int64N(int64(10*time.Second))), func() { carryOut() })
		back(timeout, nil)
	case p < s.faults.lateOrder:
		s.after(time.Duration(s.rng.Int64N(int64(600*time.Millisecond))), func() { carryOut() })
		back(timeout, nil)
	case p < s.faults.lateOrder+s.faults.lostAnswer:
		s.after(simDelay/2, func() { carryOut() })
		back(timeout, nil)
	default:
		s.after(simDelay/2, func() { back(simDelay/2, carryOut()) })
	}
}
