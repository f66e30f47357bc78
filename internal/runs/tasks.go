package runs

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/policy"
	"wigeontray/internal/wire"
)

// LinkUp notes that an entry's link is ready.
func (m *Machine) LinkUp(now time.Duration, name identity.Incarnation) {
	p := m.entries[name]
	if p == nil {
		p = new(permit)
		m.entries[name] = p
	}
	p.linked, p.demand, p.offer, p.seen, p.unused = true, wire.RunDemand{}, offer{}, 0, 0
	p.newest, p.age = now, 0
}

// LinkDown notes that an entry's link was lost. Its runs are stopped: the entry
// may be gone, and its callers then send their jobs to another one.
func (m *Machine) LinkDown(now time.Duration, name identity.Incarnation) {
	p := m.entries[name]
	if p == nil {
		return
	}
	p.linked, p.demand, p.offer = false, wire.RunDemand{}, offer{}
	m.stopAll(now, name, withdrawn(errkind.Cancelled))
	m.forgetIdle(name)
}

// Run takes tasks from an entry. What does not fit is refused at once.
func (m *Machine) Run(now time.Duration, from identity.Incarnation, t *wire.RunTasks) {
	p := m.entries[from]
	if p == nil || !p.linked {
		return
	}
	p.seen, p.demand, p.offer, p.unused = t.Seq, t.Demand, offer{}, 0
	kind := m.refusal(now, p, t)
	awaited := false
	for i := range t.Tasks {
		r := m.begin(now, from, t, &t.Tasks[i], kind)
		awaited = awaited || r != nil && r.state == awaiting
	}
	if awaited {
		m.actions = append(m.actions, Action{Fetch: &Fetch{From: from, Job: t.Job, Source: t.Source, AnswerIn: fetchTime}})
	}
}

// lateTasks is the age from which on an entry is told at once how old its tasks were when
// they came, as it is after its first ones: it may be sending more than its link carries, and
// would learn that only from the end of a run.
const lateTasks = 30 * time.Millisecond

// refusal tells why none of the tasks may start, or None. A frame that was held
// up on its way is refused by its age: its job may have been sent again and run
// elsewhere meanwhile.
func (m *Machine) refusal(now time.Duration, p *permit, t *wire.RunTasks) errkind.Kind {
	p.hear(t.ClockMs)
	p.age = max(0, now-milliseconds(t.ClockMs))
	p.owed = t.Seq == 1 || p.age > lateTasks
	switch {
	case now-milliseconds(t.ClockMs) > m.timing.Permit:
		return errkind.Fenced
	case t.LeftMs <= 0:
		return errkind.DeadlineExpired
	case m.life.recalled && !t.SelfLimiting:
		return errkind.Busy // its capacity is not known for sure
	}
	return m.closed()
}

// closed tells why the worker takes no new run, or None.
func (m *Machine) closed() errkind.Kind {
	switch {
	case m.worker.Leaving || m.Drained():
		return errkind.Draining
	case !m.worker.Usable:
		return errkind.NoWorkers
	}
	return errkind.None
}

func (p *permit) hear(clockMs int64) { p.newest = max(p.newest, milliseconds(clockMs)) }

func (m *Machine) begin(now time.Duration, from identity.Incarnation, t *wire.RunTasks, task *wire.RunTask, kind errkind.Kind) *run {
	k := Key{Job: t.Job, Step: task.Step, Index: task.Index, Run: task.Run}
	if m.runs[k] != nil {
		return nil
	}
	switch {
	case kind != errkind.None:
	case !m.freeFor(m.entries[from]).Holds(task.Need):
		kind = errkind.Busy
	case m.otherRun(k), task.Crashes > 0 && m.hasSuspect() && !m.off.Has(policy.SuspectsApart):
		kind = errkind.Busy
	}
	if kind != errkind.None {
		m.tell(from, k, notRun(kind))
		return nil
	}
	left := milliseconds(t.LeftMs)
	r := &run{key: k, entry: from, need: task.Need, text: t.Text, deadline: now + left, ordered: now, expect: milliseconds(task.ExpectMs), moved: task.Moved, crashes: task.Crashes}
	m.add(r)
	if t.Source != "" {
		r.state = awaiting
	} else {
		m.orderStart(now, r)
	}
	return r
}

// Fetched takes the text of an entry's job, or that it was not to be had. The room of the
// runs that await it was held meanwhile.
func (m *Machine) Fetched(now time.Duration, from identity.Incarnation, job, text string, ok bool) {
	for _, r := range m.inOrder() {
		if r.state != awaiting || r.entry != from || r.key.Job != job {
			continue
		}
		switch kind := m.closed(); {
		case !ok:
			e := notRun(errkind.Busy)
			e.NoText = true
			m.end(now, r, e)
		case kind != errkind.None:
			m.end(now, r, notRun(kind))
		case m.overfull():
			m.end(now, r, notRun(errkind.Busy))
		default:
			r.state, r.text, r.ordered = starting, text, now
			m.orderStart(now, r)
		}
	}
}

func (m *Machine) orderStart(now time.Duration, r *run) {
	r.tries++
	r.sent = now
	m.noteOrder(now)
	m.actions = append(m.actions, Action{Start: &Start{Lease: m.leaseFrom(now), Key: r.key, Text: r.text, AnswerIn: m.answerIn(now)}})
}

// otherRun tells whether another run of the same task may be at this worker.
func (m *Machine) otherRun(k Key) bool {
	for o := range m.runs {
		if o.Job == k.Job && o.Step == k.Step && o.Index == k.Index {
			return true
		}
	}
	return false
}

// StopJob ends all runs of a job for the entry.
func (m *Machine) StopJob(now time.Duration, from identity.Incarnation, s *wire.StopRuns) {
	if p := m.entries[from]; p != nil {
		p.hear(s.ClockMs)
	}
	for _, r := range m.inOrder() {
		if r.key.Job == s.Job && r.entry == from {
			m.stop(now, r, withdrawn(errkind.Cancelled))
		}
	}
}

// Beat notes that an entry lives.
func (m *Machine) Beat(_ time.Duration, from identity.Incarnation, b *wire.EntryBeat) {
	if p := m.entries[from]; p != nil {
		p.hear(b.ClockMs)
		p.demand, p.unused = b.Demand, 0
		if p.offer.room.CPU < max(1, b.Demand.LeastCPU) || b.Demand.CPU == 0 {
			p.offer = offer{} // it has no use for it
		}
	}
}

func (m *Machine) stopAll(now time.Duration, entry identity.Incarnation, why wire.RunEnd) {
	for _, r := range m.inOrder() {
		if r.entry == entry {
			m.stop(now, r, why)
		}
	}
}

// stop ends a run. why is told once it is gone.
func (m *Machine) stop(now time.Duration, r *run, why wire.RunEnd) {
	switch r.state {
	case stopping:
		return
	case awaiting:
		m.end(now, r, notRun(why.Kind))
		return
	}
	r.state, r.why, r.stopAt = stopping, why, now
	m.orderStop(now, r)
}

func (m *Machine) orderStop(now time.Duration, r *run) {
	if r.stopSent || r.stopped > 0 || now < r.stopAt {
		return
	}
	r.stopSent = true
	l := m.leaseFrom(now)
	l.UntilMs = 0
	m.actions = append(m.actions, Action{Stop: &Stop{Lease: l, Key: r.key, AnswerIn: m.answerIn(now)}})
}

// Started takes the answer to a Start.
func (m *Machine) Started(now time.Duration, k Key, a StartAnswer) {
	m.noteClock(now, a.ClockMs)
	m.noteAnswer(now, a.Verdict)
	r := m.runs[k]
	if r == nil || r.answered {
		return
	}
	if a.Verdict != NoAnswer {
		m.noteDelay(now - r.sent)
	}
	if a.Verdict == NoAnswer && r.state == starting && r.tries < startTries && !m.Drained() && !m.overfull() {
		// The worker takes a run that is there already, or has been, for the same
		// one: sent again, it starts now or is found running. A copy that is
		// carried out seconds later is refused by its number or its lease.
		m.orderStart(now, r)
		return
	}
	if a.Verdict == Done || a.Verdict == Outdated && r.tries > 1 {
		// Outdated by an earlier copy of the same start: the lists tell how its run
		// does or has ended.
		r.answered, r.present, r.advanced = true, now, now
		if r.state == starting {
			r.state = running
		}
		return
	}
	if a.Verdict == NoAnswer || r.tries > 1 {
		// It, or an earlier copy that got no answer, may be at the worker or come
		// later. Stopped under the same number, it can do neither, and the task may
		// run elsewhere.
		m.stop(now, r, withdrawn(errkind.NotRun))
		return
	}
	m.refused(now, r, a.Verdict)
}

// refused ends a run that the worker did not take.
func (m *Machine) refused(now time.Duration, r *run, v Verdict) {
	e := notRun(errkind.Busy)
	switch v {
	case Outdated:
		e.Renumber = true
	case Malformed:
		e.Kind = errkind.BadRequest
	case FencedOff, OtherWorker:
		e.Kind = errkind.NoWorkers
		m.lostControl(now)
	case Unhealthy:
		e.Kind = errkind.UpstreamFailed
	}
	if r.state == stopping && !e.Renumber {
		e.Kind = r.why.Kind
	}
	m.end(now, r, e)
}

// Stopped takes the answer to a Stop: whether the worker confirmed it.
func (m *Machine) Stopped(now time.Duration, k Key, v Verdict, clockMs int64) {
	m.noteClock(now, clockMs)
	m.noteAnswer(now, v)
	r := m.runs[k]
	if r == nil {
		return
	}
	r.stopSent = false
	switch v {
	case Done, Outdated:
		r.stopped = now
	case OtherWorker:
		m.end(now, r, r.why)
	default:
		r.stopAt = now + retryOrder
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
