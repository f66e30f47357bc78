package batch_test

import (
	"time"

	"wigeontray/internal/batch"
	"wigeontray/internal/identity"
	"wigeontray/internal/runs"
	"wigeontray/internal/wire"
)

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
	in, out simPipe // its VM's link
}

type simGuard struct {
	s      *sim
	id     identity.Incarnation
	m      *runs.Machine
	worker *simWorker
	links  map[identity.Incarnation]*simLink
	frozen time.Duration
	woke   time.Duration // when it last woke
	held   []func()
	tickAt time.Duration
	gone   bool
	texts  map[string]string // of jobs, for other guards
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

// simPipe is one direction of a VM's link, which carries what is put on it in order.
type simPipe struct{ free time.Duration }

// packetBytes is what the headers of a small packet take.
const packetBytes = 66

// sent gives a frame as it comes, and what it takes on a link, in bytes.
func sent(f *wire.Frame) (came *wire.Frame, size int) {
	b, err := wire.Encode(f)
	if err == nil {
		came, err = wire.Decode(b)
	}
	if err != nil {
		panic(err) // every frame of the machines can be encoded
	}
	return came, len(b) + packetBytes
}

// passes tells when size bytes that are put on a link now have passed it.
func (s *sim) passes(p *simPipe, size int) time.Duration {
	if s.linkRate <= 0 {
		return s.now
	}
	p.free = max(p.free, s.now) + time.Duration(float64(size)/s.linkRate*float64(time.Second))
	return p.free
}

// take lets an entry do something now, or when it wakes. It then takes first note
// that it was frozen.
func (e *simEntry) take(do func()) {
	takeNow(e.s, &e.frozen, &e.held, do, func() {
		e.woke = e.s.now
		e.step(func() { e.m.Woke(e.s.now) })
	})
}

func (g *simGuard) take(do func()) {
	takeNow(g.s, &g.frozen, &g.held, do, func() { g.woke = g.s.now })
}

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
		case f.WorkerCrash != nil:
			e.m.NoteCrash(f.WorkerCrash)
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
			if f.RunTasks.Keep {
				g.texts[f.RunTasks.Job] = f.RunTasks.Text
			}
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
		case a.Fetch != nil:
			g.fetch(a.Fetch)
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

// fetch gets a text from another guard.
func (g *simGuard) fetch(f *runs.Fetch) {
	s := g.s
	answer := func(text string, ok bool) func() {
		return func() {
			if !g.gone {
				g.take(func() { g.step(func() { g.m.Fetched(s.now, f.From, f.Job, text, ok) }) })
			}
		}
	}
	s.after(2*simDelay, func() {
		for _, o := range s.guards {
			if text, ok := o.texts[f.Job]; ok && string(o.id) == f.Source && !o.gone && s.now >= o.frozen {
				s.counts.fetched++
				s.after(2*simDelay, answer(text, true))
				return
			}
		}
		s.after(f.AnswerIn, answer("", false))
	})
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
		s.after(simDelay/2, func() {
			got, late := carryOut(), simDelay/2+s.slowAnswers
			if late < timeout {
				back(late, got)
			} else {
				back(timeout, nil)
			}
		})
	}
}
