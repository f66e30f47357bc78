package replay

import (
	"fmt"
	"time"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// entry simulates an entry process: a dispatch.Dispatcher and a simplified job
// registry.
type entry struct {
	process
	sim         *simulation
	config      Entry
	index       int
	incarnation identity.Incarnation
	dispatcher  *dispatch.Dispatcher
	jobs        map[string]*jobRecord
	links       map[identity.Incarnation]*link // by guard, from the receipt of its Hello
	takeovers   map[identity.Incarnation]*takeover
	isDraining  bool
	pausedAt    time.Time     // start of the latest pause
	pausedTime  time.Duration // total time of the ended pauses
	nextTick    time.Time
}

// jobRecord is what the registry of an entry stores for one job key.
type jobRecord struct {
	answer       *answer // nil while the job runs
	waitingCalls []*call
}

// answer is the response to a caller.
type answer struct {
	kind       errkind.Kind
	ran        errkind.Ran
	retryAfter time.Duration
	results    []dispatch.TaskResult
	failures   []dispatch.TaskFailure
}

// boot starts a new incarnation of the entry with empty state.
func (e *entry) boot() {
	e.start()
	e.incarnation = identity.Incarnation(fmt.Sprintf("%s-%d", e.config.Name, e.generation))
	p := e.sim.policy
	p.Domain = e.config.Domain
	p.Entries = len(e.sim.entries)
	e.dispatcher = dispatch.New(e.sim.trace.Service, p, e.sim.opt.Seed+uint64(e.index)*7919+uint64(e.generation))
	e.jobs = make(map[string]*jobRecord)
	e.links = make(map[identity.Incarnation]*link)
	e.takeovers = make(map[identity.Incarnation]*takeover)
	e.isDraining = false
	e.nextTick = time.Time{}
}

func (e *entry) guardUp(h *wire.Hello) {
	for _, l := range e.sim.links {
		if l.entry == e && l.guard.incarnation == h.Incarnation {
			e.links[h.Incarnation] = l
		}
	}
	e.dispatcher.GuardConnected(e.sim.clock.now, h)
	e.applyActions()
}

func (e *entry) guardDown(inc identity.Incarnation) {
	e.dispatcher.GuardDisconnected(e.sim.clock.now, inc)
	e.applyActions()
}

func (e *entry) receive(from identity.Incarnation, f *wire.Frame) {
	now := e.sim.clock.now
	switch {
	case f.Result != nil:
		e.sim.handleResult(f.Result)
		e.dispatcher.Result(now, from, f.Result)
	case f.Load != nil:
		e.dispatcher.Load(now, from, f.Load)
	case f.Offer != nil:
		e.dispatcher.Offer(now, from, f.Offer)
	case f.FenceReport != nil:
		e.handleFenceReport(from, f.FenceReport)
	case f.Collected != nil:
		e.handleCollected(f.Collected)
	case f.StopNotice != nil:
		e.dispatcher.GuardDraining(now, from)
	}
	e.applyActions()
}

// submit handles the request of a caller. A job with a record is not dispatched
// again: the call gets the stored answer or waits for it.
func (e *entry) submit(c *call) {
	if record := e.jobs[c.job.key]; record != nil {
		if record.answer != nil {
			e.sim.answer(c, record.answer)
		} else {
			record.waitingCalls = append(record.waitingCalls, c)
		}
		return
	}
	if c.job.home != e.incarnation {
		e.forward(c)
		return
	}
	if e.isDraining {
		e.jobs[c.job.key] = &jobRecord{answer: &answer{kind: errkind.Draining, ran: errkind.RanNo}}
		e.sim.answer(c, e.jobs[c.job.key].answer)
		return
	}
	record := &jobRecord{waitingCalls: []*call{c}}
	e.jobs[c.job.key] = record
	if err := e.dispatcher.Submit(e.sim.clock.now, e.jobSpec(c)); err != nil {
		e.completeJob(record, &answer{kind: err.Kind, ran: err.Ran, retryAfter: err.After})
	}
	e.applyActions()
}

func (e *entry) jobSpec(c *call) *dispatch.Spec {
	r := c.job.req
	s := &dispatch.Spec{
		ID: c.job.id(), Team: r.Team, Deadline: c.sentAt.Add(r.Deadline),
		Tasks: make([][]byte, len(r.Tasks)), DeclaredMs: r.Declared.Milliseconds(), Need: r.Need,
	}
	for i := range s.Tasks {
		s.Tasks[i] = echoBody(wire.Ref{Key: c.job.key, Task: i})
	}
	return s
}

// forward sends a request to the home of its job, the incarnation of an entry that
// issued the job key. If that incarnation has terminated, the outcome is collected
// from the guards.
func (e *entry) forward(c *call) {
	homeEntry := e.sim.entryByIncarnation(c.job.home)
	if homeEntry == nil || !homeEntry.isAlive {
		e.startTakeover(c)
		return
	}
	if homeEntry.isPaused {
		e.sim.answer(c, &answer{kind: errkind.HomeUnreachable, ran: errkind.RanUnknown})
		return
	}
	delay := e.sim.networkDelay(e.config.Domain, homeEntry.config.Domain)
	c.forwardDelay = delay
	e.sim.clock.after(delay, homeEntry.inGeneration(func() { homeEntry.submit(c) }))
}

func (e *entry) cancel(job *jobState) {
	e.dispatcher.Cancel(e.sim.clock.now, job.id())
	e.applyActions()
}

// completeJob stores the answer of a job and sends it to all waiting calls.
func (e *entry) completeJob(record *jobRecord, a *answer) {
	record.answer = a
	for _, c := range record.waitingCalls {
		e.sim.answer(c, a)
	}
	record.waitingCalls = nil
}

// applyActions performs the pending actions of the dispatcher and schedules its
// next tick.
func (e *entry) applyActions() {
	for _, a := range e.dispatcher.Actions() {
		e.applyAction(&a)
	}
	next := e.dispatcher.NextTick()
	if next.IsZero() || next.Equal(e.nextTick) {
		return
	}
	e.nextTick = next
	e.sim.clock.at(next, e.inGeneration(func() {
		if e.nextTick.Equal(next) {
			e.nextTick = time.Time{}
			e.dispatcher.Tick(e.sim.clock.now)
			e.applyActions()
		}
	}))
}

func (e *entry) applyAction(a *dispatch.Action) {
	if a.Finish != nil {
		e.finishJob(a.Finish)
		return
	}
	l := e.links[a.Guard]
	if l == nil || l.guard.incarnation != a.Guard {
		return // the guard was restarted in the meantime
	}
	switch {
	case a.Start != nil:
		a.Start.Home = e.incarnation
		l.sendToGuard(&wire.Frame{Start: a.Start})
	case a.Cancel != nil:
		l.sendToGuard(&wire.Frame{Cancel: a.Cancel})
	case a.Reserve != nil:
		l.sendToGuard(&wire.Frame{Reserve: a.Reserve})
	}
}

func (e *entry) finishJob(o *dispatch.Outcome) {
	a := &answer{results: o.Results, failures: o.Failures}
	if o.Err != nil {
		a.kind, a.ran, a.retryAfter = o.Err.Kind, o.Err.Ran, o.Err.After
	}
	e.sim.checkOutcome(o)
	if record := e.jobs[o.ID.Key]; record != nil {
		e.completeJob(record, a)
	}
}

func (e *entry) configure(p dispatch.Policy) {
	p.Domain, p.Entries = e.config.Domain, len(e.sim.entries)
	e.dispatcher.Configure(e.sim.clock.now, p)
	e.applyActions()
}
