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
	// linkRate is what the link of an entry carries in each direction, in bytes a second; 0
	// for no bound.
	linkRate    float64
	slowAnswers time.Duration            // by how much later workers answer
	resend      time.Duration            // when callers without an answer send a job again
	off         policy.Set               // mechanisms that are switched off
	drains      wire.Drains              // as the operators have them
	drained     map[string]time.Duration // since when guards know of a domain's drain
	broken      []string                 // rules that were broken
	counts      simCounts

	worked float64 // at workers, in cores times seconds
	wasted float64 // the part of it that served no caller in time
}

// simFaults are the chances of faults, each by call or frame.
type simFaults struct {
	lateOrder  float64 // an order gets no answer and is carried out seconds later
	lostAnswer float64 // an order is carried out and its answer lost
	failRun    float64 // a run fails
}

type simCounts struct{ sent, complete, failed, refused, unknown, starts, fetched, crashes int }

type simJob struct {
	id      string
	steps   []batch.Step
	began   time.Duration
	ended   bool
	failed  bool // it was told so
	refused bool // every answer said that it has not run
	doubt   bool // an attempt ended without a final answer
	started bool // a task of it was started at a worker

	queue  *batch.Queue         // simQueue if nil
	took   time.Duration        // how long its tasks usually take; by their estimate if 0
	text   string               // what its tasks are; "x" if empty
	worked float64              // in cores times seconds
	told   func(*batch.Outcome) // is given its answer; may be nil

	crashes bool           // each worker that starts the first task of a step of it
	crashed map[string]int // workers so far, by task
	under   map[string]int // crashes of workers where a task was, whatever their cause
	fails   int            // runs that failed
	again   map[string]int // starts of a task after mostCrashed of them
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
		texts: make(map[string]string), worker: s.workers[i], links: make(map[identity.Incarnation]*simLink),
	}
	s.guards[i] = g
	s.informGuard(g)
	for _, e := range s.entries {
		s.link(e, g)
	}
}

// drain lets the operators drain some failure domains and take all others back. Entries and
// guards hear of it within a few round trips.
func (s *sim) drain(domains ...string) {
	s.drains = wire.Drains{Revision: s.drains.Revision + 1, Domains: domains}
	for _, e := range s.entries {
		s.informEntry(e)
	}
	for _, g := range s.guards {
		s.informGuard(g)
	}
	before := s.drained
	s.drained = make(map[string]time.Duration)
	for _, d := range domains {
		s.drained[d] = s.now + drainHeard
		if since, ok := before[d]; ok {
			s.drained[d] = since
		}
	}
}

// drainHeard is within what time all processes that are not frozen have heard of a drain.
const drainHeard = 20 * simDelay

func (s *sim) informEntry(e *simEntry) {
	if s.drains.Revision == 0 {
		return
	}
	s.after(time.Duration(s.rng.Int64N(int64(drainHeard))), func() {
		if !e.gone {
			e.take(func() { e.step(func() { e.m.SetDrains(s.now, &s.drains) }) })
		}
	})
}

func (s *sim) informGuard(g *simGuard) {
	if s.drains.Revision == 0 {
		return
	}
	s.after(time.Duration(s.rng.Int64N(int64(drainHeard))), func() {
		if !g.gone {
			g.take(func() { g.step(func() { g.m.SetDrains(s.now, &s.drains) }) })
		}
	})
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
		s.informEntry(s.entries[i])
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
	hello := &wire.RunHello{Version: wire.Version, Texts: string(g.id), Incarnation: g.id, Worker: g.m.Worker(), Load: g.m.Load(s.now, "")}
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
	came, size := sent(f)
	l.toEntry = max(l.toEntry, s.passes(&l.entry.in, size)+simDelay, l.cut)
	s.at(l.toEntry, func() {
		if l.up && !l.entry.gone {
			l.entry.take(func() { l.entry.receive(l.guard.id, came) })
		}
	})
}

func (l *simLink) frameToGuard(f *wire.Frame) {
	s := l.entry.s
	came, size := sent(f)
	l.toGuard = max(l.toGuard, s.passes(&l.entry.out, size)+simDelay, l.cut)
	s.at(l.toGuard, func() {
		if l.up && !l.guard.gone {
			l.guard.take(func() { l.guard.receive(l.entry.id, came) })
		}
	})
}
