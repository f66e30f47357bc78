package replay

import (
	"fmt"
	"time"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// entry is an entry process: the Core and a small registry of jobs.
type entry struct {
	process
	w           *world
	def         Entry
	index       int
	incarnation identity.Incarnation
	core        *dispatch.Core
	jobs        map[string]*held
	links       map[identity.Incarnation]*link // by guard, once it said Hello
	takeovers   map[identity.Incarnation]*takeover
	draining    bool
	stoodAt     time.Time     // begin of the newest pause
	stood       time.Duration // time spent paused
	tick        time.Time
}

// held is what the registry knows of one identity.
type held struct {
	answer  *answer // nil while the job runs
	waiting []*call
}

// answer is what a caller gets.
type answer struct {
	kind     errkind.Kind
	ran      errkind.Ran
	after    time.Duration
	results  []dispatch.TaskResult
	failures []dispatch.TaskFailure
}

func (e *entry) boot() {
	e.start()
	e.incarnation = identity.Incarnation(fmt.Sprintf("%s-%d", e.def.Name, e.life))
	p := e.w.policy
	p.Domain = e.def.Domain
	p.Entries = len(e.w.entries)
	e.core = dispatch.New(e.w.trace.Service, p, e.w.opt.Seed+uint64(e.index)*7919+uint64(e.life))
	e.jobs = make(map[string]*held)
	e.links = make(map[identity.Incarnation]*link)
	e.takeovers = make(map[identity.Incarnation]*takeover)
	e.draining = false
	e.tick = time.Time{}
}

func (e *entry) guardUp(h *wire.Hello) {
	for _, l := range e.w.links {
		if l.entry == e && l.guard.incarnation == h.Incarnation {
			e.links[h.Incarnation] = l
		}
	}
	e.core.GuardUp(e.w.clock.now, h)
	e.flush()
}

func (e *entry) guardDown(inc identity.Incarnation) {
	e.core.GuardDown(e.w.clock.now, inc)
	e.flush()
}

func (e *entry) receive(from identity.Incarnation, f *wire.Frame) {
	now := e.w.clock.now
	switch {
	case f.Result != nil:
		e.w.noteResult(f.Result)
		e.core.Result(now, from, f.Result)
	case f.Load != nil:
		e.core.Load(now, from, f.Load)
	case f.Offer != nil:
		e.core.Offer(now, from, f.Offer)
	case f.FenceReport != nil:
		e.fenceReport(from, f.FenceReport)
	case f.Collected != nil:
		e.collected(f.Collected)
	case f.Goodbye != nil:
		e.core.GuardLeaving(now, from)
	}
	e.flush()
}

// submit takes a caller's request.
func (e *entry) submit(c *call) {
	if h := e.jobs[c.job.key]; h != nil {
		if h.answer != nil {
			e.w.answer(c, h.answer)
		} else {
			h.waiting = append(h.waiting, c)
		}
		return
	}
	if c.job.home != e.incarnation {
		e.forward(c)
		return
	}
	if e.draining {
		e.jobs[c.job.key] = &held{answer: &answer{kind: errkind.Draining, ran: errkind.RanNo}}
		e.w.answer(c, e.jobs[c.job.key].answer)
		return
	}
	h := &held{waiting: []*call{c}}
	e.jobs[c.job.key] = h
	if err := e.core.Submit(e.w.clock.now, e.spec(c)); err != nil {
		e.settle(h, &answer{kind: err.Kind, ran: err.Ran, after: err.After})
	}
	e.flush()
}

func (e *entry) spec(c *call) *dispatch.Spec {
	r := c.job.req
	s := &dispatch.Spec{
		ID: c.job.id(), Team: r.Team, Deadline: c.sent.Add(r.Deadline),
		Tasks: make([][]byte, len(r.Tasks)), DeclaredMs: r.Declared.Milliseconds(), Need: r.Need,
	}
	for i := range s.Tasks {
		s.Tasks[i] = echo(wire.Ref{Key: c.job.key, Task: i})
	}
	return s
}

// forward passes a request on to the entry that minted its identity. When that
// incarnation is gone, its guards are asked.
func (e *entry) forward(c *call) {
	owner := e.w.entryOf(c.job.home)
	if owner == nil || !owner.alive {
		e.takeOver(c)
		return
	}
	if owner.paused {
		e.w.answer(c, &answer{kind: errkind.HomeUnreachable, ran: errkind.RanUnknown})
		return
	}
	delay := e.w.between(e.def.Domain, owner.def.Domain)
	c.extra = delay
	e.w.clock.after(delay, owner.later(func() { owner.submit(c) }))
}

func (e *entry) cancel(job *jobState) {
	e.core.Cancel(e.w.clock.now, job.id())
	e.flush()
}

func (e *entry) settle(h *held, a *answer) {
	h.answer = a
	for _, c := range h.waiting {
		e.w.answer(c, a)
	}
	h.waiting = nil
}

// flush carries out the core's actions and sets its next tick.
func (e *entry) flush() {
	for _, a := range e.core.Actions() {
		e.carryOut(&a)
	}
	next := e.core.NextTick()
	if next.IsZero() || next.Equal(e.tick) {
		return
	}
	e.tick = next
	e.w.clock.at(next, e.later(func() {
		if e.tick.Equal(next) {
			e.tick = time.Time{}
			e.core.Tick(e.w.clock.now)
			e.flush()
		}
	}))
}

func (e *entry) carryOut(a *dispatch.Action) {
	if a.Finish != nil {
		e.finish(a.Finish)
		return
	}
	l := e.links[a.Guard]
	if l == nil || l.guard.incarnation != a.Guard {
		return // the guard was restarted meanwhile
	}
	switch {
	case a.Start != nil:
		a.Start.Home = e.incarnation
		l.toGuard(&wire.Frame{Start: a.Start})
	case a.Cancel != nil:
		l.toGuard(&wire.Frame{Cancel: a.Cancel})
	case a.Reserve != nil:
		l.toGuard(&wire.Frame{Reserve: a.Reserve})
	}
}

func (e *entry) finish(o *dispatch.Outcome) {
	a := &answer{results: o.Results, failures: o.Failures}
	if o.Err != nil {
		a.kind, a.ran, a.after = o.Err.Kind, o.Err.Ran, o.Err.After
	}
	e.w.finished(o)
	if h := e.jobs[o.ID.Key]; h != nil {
		e.settle(h, a)
	}
}

func (e *entry) configure(p dispatch.Policy) {
	p.Domain, p.Entries = e.def.Domain, len(e.w.entries)
	e.core.Configure(e.w.clock.now, p)
	e.flush()
}
