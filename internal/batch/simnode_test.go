package batch_test

import (
	"time"

	"wigeontray/internal/batch"
	"wigeontray/internal/identity"
	"wigeontray/internal/runs"
	"wigeontray/internal/wire"
)

// simEntry is one entry. While it is suspended, its events are deferred.
type simEntry struct {
	s              *sim
	id             identity.Incarnation
	m              *batch.Machine
	waiters        map[string]func(*batch.Outcome)
	suspendedUntil time.Duration // end of its suspension
	resumedAt      time.Duration // end of its last suspension
	deferred       []func()
	tickAt         time.Duration
	hasExited      bool
	in, out        simPipe // its VM's link
}

// simGuard is one guard. While it is suspended, its events are deferred.
type simGuard struct {
	s              *sim
	id             identity.Incarnation
	m              *runs.Machine
	worker         *simWorker
	links          map[identity.Incarnation]*simLink
	suspendedUntil time.Duration
	resumedAt      time.Duration // end of its last suspension
	deferred       []func()
	tickAt         time.Duration
	hasExited      bool
	texts          map[string]string // texts of jobs kept for other guards, by job ID
}

// simLink delivers frames in order between an entry and a guard. While it is cut, frames are
// delayed, and arrive in order afterwards.
type simLink struct {
	entry        *simEntry
	guard        *simGuard
	isUp         bool
	cutUntil     time.Duration // end of the cut
	entryArrival time.Duration // arrival of the latest frame at the entry
	guardArrival time.Duration // arrival of the latest frame at the guard
}

// simDelay is the latency of an idle link.
const simDelay = time.Millisecond

// simPipe is one direction of a VM's link, which transmits data in order.
type simPipe struct{ freeAt time.Duration }

// packetHeaderBytes is the size of the headers of a small packet.
const packetHeaderBytes = 66

// transcode encodes and decodes a frame, and returns its size on a link in bytes.
func transcode(f *wire.Frame) (received *wire.Frame, size int) {
	b, err := wire.Encode(f)
	if err == nil {
		received, err = wire.Decode(b)
	}
	if err != nil {
		panic(err) // the machines issue only frames that can be encoded
	}
	return received, len(b) + packetHeaderBytes
}

// transmit returns the time at which size bytes put on the link now have passed it.
func (s *sim) transmit(p *simPipe, size int) time.Duration {
	if s.linkRate <= 0 {
		return s.now
	}
	p.freeAt = max(p.freeAt, s.now) + time.Duration(float64(size)/s.linkRate*float64(time.Second))
	return p.freeAt
}

// handle runs an event now or, if the entry is suspended, when it resumes. On resuming, the entry
// first handles the suspension itself.
func (e *simEntry) handle(do func()) {
	handleOrDefer(e.s, &e.suspendedUntil, &e.deferred, do, func() {
		e.resumedAt = e.s.now
		e.step(func() { e.m.HandleResume(e.s.now) })
	})
}

func (g *simGuard) handle(do func()) {
	handleOrDefer(g.s, &g.suspendedUntil, &g.deferred, do, func() { g.resumedAt = g.s.now })
}

// handleOrDefer runs an event now, or defers it until the process resumes.
func handleOrDefer(s *sim, suspendedUntil *time.Duration, deferred *[]func(), do, onResume func()) {
	if s.now >= *suspendedUntil {
		do()
		return
	}
	*deferred = append(*deferred, do)
	if len(*deferred) == 1 {
		scheduleResume(s, suspendedUntil, deferred, onResume)
	}
}

// scheduleResume schedules onResume and the deferred events for the end of the suspension.
func scheduleResume(s *sim, suspendedUntil *time.Duration, deferred *[]func(), onResume func()) {
	s.at(*suspendedUntil, func() {
		if s.now < *suspendedUntil {
			scheduleResume(s, suspendedUntil, deferred, onResume)
			return
		}
		onResume()
		events := *deferred
		*deferred = nil
		for _, do := range events {
			do()
		}
	})
}

func (e *simEntry) receive(from identity.Incarnation, f *wire.Frame) {
	e.step(func() {
		switch {
		case f.RunsEnded != nil:
			e.m.HandleRunsEnded(e.s.now, from, f.RunsEnded)
		case f.GuardHeartbeat != nil:
			e.m.HandleBeat(e.s.now, from, f.GuardHeartbeat)
		case f.WorkerCrash != nil:
			e.m.HandleWorkerCrash(f.WorkerCrash)
		}
	})
}

// step passes an event to the machine and carries out its actions.
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
		case a.CloseLink:
			if l := e.linkTo(a.Guard); l != nil {
				s.unlink(l)
			}
		case a.Frame != nil:
			if l := e.linkTo(a.Guard); l != nil {
				l.sendToGuard(a.Frame)
			}
		}
	}
	if next := e.m.NextTick(); next > 0 && next != e.tickAt {
		e.tickAt = next
		s.at(next, func() {
			if !e.hasExited && e.tickAt == next {
				e.handle(func() { e.tickAt = 0; e.step(func() { e.m.Tick(s.now) }) })
			}
		})
	}
}

func (e *simEntry) linkTo(guard identity.Incarnation) *simLink {
	for _, g := range e.s.guards {
		if l := g.links[e.id]; g.id == guard && l != nil && l.isUp {
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
		case f.EntryHeartbeat != nil:
			g.m.HandleBeat(now, from, f.EntryHeartbeat)
		}
	})
}

// step passes an event to the machine and carries out its actions.
func (g *simGuard) step(do func()) {
	s := g.s
	do()
	for _, a := range g.m.Actions(s.now) {
		switch {
		case a.Send != nil:
			if l := g.links[a.Send.To]; l != nil && l.isUp {
				l.sendToEntry(a.Send.Frame)
			}
		case a.Fetch != nil:
			g.fetch(a.Fetch)
		case a.Start != nil:
			g.sendOrder(a.Start.Timeout, func() any { return g.worker.start(a.Start) }, func(result any) {
				answer, ok := result.(runs.StartAnswer)
				if !ok {
					answer = runs.StartAnswer{Verdict: runs.NoAnswer}
				}
				g.step(func() { g.m.HandleStartAnswer(s.now, a.Start.Key, answer) })
			})
		case a.Stop != nil:
			g.sendOrder(a.Stop.Timeout, func() any { return g.worker.stop(a.Stop) }, func(result any) {
				v, ok := result.(runs.Verdict)
				if !ok {
					v = runs.NoAnswer
				}
				g.step(func() { g.m.HandleStopAnswer(s.now, a.Stop.Key, v, 0) })
			})
		case a.Hold != nil:
			g.worker.hold(g, a.Hold)
		}
	}
	if next := g.m.NextTick(); next > 0 && next != g.tickAt {
		g.tickAt = next
		s.at(next, func() {
			if !g.hasExited && g.tickAt == next {
				g.handle(func() { g.tickAt = 0; g.step(func() { g.m.Tick(s.now) }) })
			}
		})
	}
}

// fetch fetches a text from another guard.
func (g *simGuard) fetch(f *runs.Fetch) {
	s := g.s
	answer := func(text string, ok bool) func() {
		return func() {
			if !g.hasExited {
				g.handle(func() { g.step(func() { g.m.HandleFetchAnswer(s.now, f.From, f.Job, text, ok) }) })
			}
		}
	}
	s.after(2*simDelay, func() {
		for _, o := range s.guards {
			if text, ok := o.texts[f.Job]; ok && string(o.id) == f.Source && !o.hasExited && s.now >= o.suspendedUntil {
				s.counts.fetched++
				s.after(2*simDelay, answer(text, true))
				return
			}
		}
		s.after(f.Timeout, answer("", false))
	})
}

// sendOrder sends an order to the worker; result is nil if no answer arrives within the timeout.
// An order arrives even if the guard has terminated since.
func (g *simGuard) sendOrder(timeout time.Duration, execute func() any, onAnswer func(result any)) {
	s := g.s
	reply := func(after time.Duration, result any) {
		s.after(after, func() {
			if !g.hasExited {
				g.handle(func() { onAnswer(result) })
			}
		})
	}
	switch p := s.rng.Float64(); {
	case p < s.faults.lateOrder/2:
		s.after(2*time.Second+time.Duration(s.rng.Int64N(int64(10*time.Second))), func() { execute() })
		reply(timeout, nil)
	case p < s.faults.lateOrder:
		s.after(time.Duration(s.rng.Int64N(int64(600*time.Millisecond))), func() { execute() })
		reply(timeout, nil)
	case p < s.faults.lateOrder+s.faults.lostAnswer:
		s.after(simDelay/2, func() { execute() })
		reply(timeout, nil)
	default:
		s.after(simDelay/2, func() {
			result, delay := execute(), simDelay/2+s.answerDelay
			if delay < timeout {
				reply(delay, result)
			} else {
				reply(timeout, nil)
			}
		})
	}
}
