package batch

import (
	"cmp"
	"slices"
	"time"

	"wigeontray/internal/policy"
	"wigeontray/internal/runs"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// pump sends waiting tasks, in order, wherever there is room.
func (m *Machine) pump(now time.Duration) {
	m.uplink.holds = false
	if len(m.queue) == 0 {
		return
	}
	free := m.mostFree()
	for i := 0; i < len(m.queue); {
		j := m.queue[i]
		if !m.uplink.open(now) {
			return
		}
		j.tried = true
		if free > 0 && m.mayBegin(j, free) && m.place(now, j, free) {
			free = m.mostFree()
		}
		if j.waiting == 0 {
			m.queue = slices.Delete(m.queue, i, i+1)
		} else {
			i++
		}
	}
}

// urgencyMemory is how long the most urgent priority that was asked for is remembered.
// It outlasts the pauses of a kind of request that comes once in some seconds.
const urgencyMemory = 10 * time.Second

// urgency is the most urgent priority of which a job came lately.
type urgency struct {
	priority int
	at       time.Duration // when the last one came
}

// noteUrgency learns from a job how urgent those of its service are.
func (m *Machine) noteUrgency(now time.Duration, q *Queue) {
	u, known := m.urgent[q.Service]
	if !known || q.Priority <= u.priority || now-u.at > urgencyMemory {
		m.urgent[q.Service] = urgency{priority: q.Priority, at: now}
	}
}

// wholePart is the part of a service's room up to which a job waits to begin as a
// whole. A larger one might never find all at once.
const wholePart = 0.25

// mayBegin tells whether the tasks of a job that wait may be sent. A job that more
// urgent ones may overtake begins only if there is room for all of them. Begun in part,
// it holds that room while the rest of it waits behind all that is more urgent, and ends
// too late. What waits as a whole can still be refused as not run.
//
// free is the most free processor of any site. Most jobs of a long queue have no task that
// is that small, and need no look at the sites: there is one at each event of a full fleet.
func (m *Machine) mayBegin(j *job, free int64) bool {
	q := j.spec.Queue
	if j.sent || q.Priority <= m.urgent[q.Service].priority || m.opt.Off.Has(policy.WholeStarts) {
		return true
	}
	for i := range j.steps {
		s := &j.steps[i]
		if len(s.waiting) > 0 && (s.spec.Need.CPU > free || !m.hasRoomFor(q, s)) {
			return false
		}
	}
	return true
}

// hasRoomFor tells whether all tasks of a step that wait find room at once, or as many as
// wholePart stands for.
func (m *Machine) hasRoomFor(q *Queue, s *step) bool {
	wanted := len(s.waiting)
	if s.spec.Need.CPU > 0 {
		capacity, _ := m.room(q.Service)
		wanted = min(wanted, max(1, int(wholePart*float64(capacity))/int(s.spec.Need.CPU)))
	}
	ask := askFor(q, s.spec)
	return sched.Places(m.view, &ask, cmp.Or(s.spec.PerWorker, wanted), wanted) >= wanted
}

// askFor is what each task of a step must find at its site.
func askFor(q *Queue, s *Step) sched.Ask {
	return sched.Ask{Service: q.Service, Need: s.Need, Label: s.Label}
}

// mostFree is the most free processor of any site, in thousandths of a core: no
// task that needs more can be placed.
func (m *Machine) mostFree() int64 {
	most := int64(0)
	for i := range m.view {
		if s := &m.view[i]; s.State == sched.Usable {
			most = max(most, s.Free.CPU)
		}
	}
	return most
}

// place sends what has room of one job, one frame a site, and tells whether
// anything was sent.
func (m *Machine) place(now time.Duration, j *job, free int64) bool {
	var batches []*batch
	for i := range j.steps {
		s := &j.steps[i]
		if len(s.waiting) > 0 && s.spec.Need.CPU <= free {
			batches = m.placeStep(now, j, s, batches)
		}
	}
	for _, b := range batches {
		m.send(now, j, b)
	}
	return len(batches) > 0
}

// batch is what goes to one site in one frame.
type batch struct {
	site  *site
	tasks []wire.RunTask
}

func (m *Machine) placeStep(now time.Duration, j *job, s *step, batches []*batch) []*batch {
	left := s.waiting[:0]
	for _, index := range s.waiting {
		at := m.choose(j, s, index, batches)
		if at == nil {
			left = append(left, index)
			continue
		}
		b := batchFor(&batches, at)
		b.tasks = append(b.tasks, m.take(now, j, s, index, at))
	}
	s.waiting = left
	return batches
}

func batchFor(batches *[]*batch, at *site) *batch {
	for _, b := range *batches {
		if b.site == at {
			return b
		}
	}
	b := &batch{site: at}
	*batches = append(*batches, b)
	return b
}

// choose gives the site for a task, or nil. A site that gets other tasks of the job goes
// first: it is sent the job's text anyway.
func (m *Machine) choose(j *job, s *step, index int, batches []*batch) *site {
	t := &s.tasks[index]
	ask := askFor(j.spec.Queue, s.spec)
	ask.Rack = s.spec.Rack
	if !m.opt.Off.Has(policy.OwnDomain) {
		ask.Domain = m.opt.Domain
	}
	if s.spec.PerWorker > 0 || len(t.avoid) > 0 || t.crashes > 0 {
		ask.Avoid = func(i int) bool {
			at := m.sites[i]
			return s.spec.PerWorker > 0 && s.at[at] >= s.spec.PerWorker || slices.Contains(t.avoid, at) ||
				t.crashes > 0 && at.suspects > 0 && !m.opt.Off.Has(policy.SuspectsApart)
		}
	}
	for _, b := range batches {
		if m.uplink.rate == 0 {
			break
		}
		if at := b.site.place; m.view[at].Open(&ask) && (ask.Avoid == nil || !ask.Avoid(at)) {
			return b.site
		}
	}
	i := sched.BestSite(m.view, &ask)
	if i == sched.NoWorker {
		return nil
	}
	return m.sites[i]
}

// take books a task on a site.
func (m *Machine) take(now time.Duration, j *job, s *step, index int, at *site) wire.RunTask {
	t := &s.tasks[index]
	t.run++
	k := runs.Key{Job: j.spec.ID, Step: s.number, Index: index, Run: t.run}
	m.flights[k] = &flight{key: k, job: j, step: s, site: at, suspect: t.crashes > 0}
	if t.crashes > 0 {
		at.suspects++
	}
	j.flights = append(j.flights, m.flights[k])
	s.at[at]++
	j.waiting--
	j.sent = true
	v := &m.view[at.place]
	if v.Own++; v.Own == 1 {
		at.since = now
	}
	v.Free = v.Free.Minus(s.spec.Need)
	return wire.RunTask{
		Step: s.number, Index: index, Run: t.run, Need: s.spec.Need,
		ExpectMs: m.expect(j.spec.Queue, s.spec).Milliseconds(), Moved: t.moved,
		Crashes: t.crashes,
	}
}

func (m *Machine) send(now time.Duration, j *job, b *batch) {
	at := b.site
	at.seq++
	var sum sched.Room
	for i := range b.tasks {
		sum = sum.Plus(b.tasks[i].Need)
	}
	demand := m.demand()
	at.demand = demand
	j.note(Event{At: now, What: Sent, Guard: at.guard, Tasks: len(b.tasks), Free: m.view[at.place].Free.CPU + sum.CPU, Age: now - at.heard})
	run := &wire.RunTasks{
		Seq: at.seq, ClockMs: at.clockMs(now), Job: j.spec.ID,
		LeftMs: (j.spec.Deadline - now).Milliseconds(), Tasks: b.tasks, Demand: demand, Request: j.spec.Request,
		SelfLimiting: j.spec.Queue.SelfLimiting,
	}
	m.addText(j, at, run)
	sent := m.frame(now, at, &wire.Frame{RunTasks: run})
	at.unseen = append(at.unseen, unseen{seq: at.seq, room: sum, sent: sent})
}

// addText adds the text of a job to a frame for a site. While the link is short and another
// guard has the text, it is fetched from there: that costs a round trip between guards, and
// saves the most of what this entry sends.
func (m *Machine) addText(j *job, at *site, run *wire.RunTasks) {
	size := len(j.spec.Text)
	if j.packed != nil {
		size = len(j.packed.Bytes)
	}
	thin := m.uplink.takes(float64(size)) >= fetchPays && at.texts != ""
	if thin && j.source != nil && m.sites[j.source.place] == j.source {
		run.Source = j.source.texts
		return
	}
	if thin {
		j.source, run.Keep = at, true
	}
	if at.packs && j.packed != nil {
		run.Packed = j.packed
	} else {
		run.Text = j.spec.Text
	}
}

// fetchPays is how long a text has to take on the link for a round trip between guards to
// be worth it: those of a job are sent one after the other, and fetched at the same time.
const fetchPays = 2 * time.Millisecond

func (m *Machine) frame(now time.Duration, at *site, f *wire.Frame) mark {
	at.lastSent = now
	m.actions = append(m.actions, Action{Guard: at.guard, Frame: f})
	return m.uplink.put(now, f)
}
