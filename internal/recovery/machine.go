package recovery

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Machine is the side of an entry that outlives another: it keeps what its peers
// announce, and recovers jobs of those that a roster declared gone.
type Machine struct {
	self    identity.Incarnation
	opt     Options
	homes   map[identity.Incarnation]*home
	guards  map[identity.Incarnation]time.Time // zero while linked, else when lost
	jobs    map[jobName]*recovery
	version int64 // last roster version taken
	absent  int64 // last one that left this entry out
	actions []Action

	budget     int // questions left in the second that began at budgetFrom
	budgetFrom time.Time
}

// recovery is one job under way.
type recovery struct {
	job      Job
	began    time.Time
	deadline time.Time
	nextPoll time.Time
	of       int
	results  map[int]wire.Result
	// asked holds the guards that were asked for results: true once answered.
	asked map[identity.Incarnation]bool
	held  bool // a question waits for the budget
}

// failure gives the first result of a task that ran badly, or nil.
func (r *recovery) failure() *wire.Result {
	for _, task := range slices.Sorted(maps.Keys(r.results)) {
		if res := r.results[task]; res.Kind != errkind.None {
			return &res
		}
	}
	return nil
}

// NewMachine returns the machine of the entry self.
func NewMachine(self identity.Incarnation, opt Options) *Machine {
	return &Machine{
		self:   self,
		opt:    opt.withDefaults(),
		homes:  make(map[identity.Incarnation]*home),
		guards: make(map[identity.Incarnation]time.Time),
		jobs:   make(map[jobName]*recovery),
	}
}

// Actions returns the actions since the last call.
func (m *Machine) Actions() []Action {
	out := m.actions
	m.actions = nil
	return out
}

// Seen notes a sign of life of an entry.
func (m *Machine) Seen(now time.Time, peer identity.Incarnation) { m.home(peer).seen = now }

func (m *Machine) home(inc identity.Incarnation) *home {
	h := m.homes[inc]
	if h == nil {
		h = &home{guards: make(map[identity.Incarnation]int64)}
		m.homes[inc] = h
	}
	return h
}

// unheard stands for a home that nothing is known of. Callers make up the names
// in their tickets, and must not fill the memory with them.
var unheard = new(home)

func (m *Machine) lookup(inc identity.Incarnation) *home {
	if h := m.homes[inc]; h != nil {
		return h
	}
	return unheard
}

// Witness takes a peer's announcement and acknowledges it.
func (m *Machine) Witness(now time.Time, from identity.Incarnation, w *wire.Witness) {
	h := m.home(from)
	h.seen = now
	if h.witnessed(w) {
		m.actions = append(m.actions, Action{Peer: from, Acknowledge: &wire.Witnessed{Seq: w.Seq}})
	}
}

// Roster takes a roster version, each once and in order. gap tells that versions
// before it were missed: this entry may have been left out in one of them.
func (m *Machine) Roster(now time.Time, r *wire.Roster, gap bool) {
	if r.Version <= m.version {
		return
	}
	m.version = r.Version
	if gap || !slices.ContainsFunc(r.Members, func(e wire.EntryAddr) bool { return e.Incarnation == m.self }) {
		m.absent = r.Version
	}
	for _, inc := range r.Gone {
		m.declare(now, inc)
	}
}

func (m *Machine) declare(now time.Time, gone identity.Incarnation) {
	h := m.home(gone)
	if !h.gone.IsZero() {
		return
	}
	h.declare(now, m.absent)
	for _, g := range slices.Sorted(maps.Keys(m.guards)) {
		if m.guards[g].IsZero() {
			m.fence(g, gone, h)
		}
	}
}

func (m *Machine) fence(g, gone identity.Incarnation, h *home) {
	seen := h.seen
	if seen.IsZero() {
		seen = h.gone
	}
	since := seen.Add(-m.opt.Window).UnixMilli()
	m.actions = append(m.actions, Action{Guard: g, Fence: &wire.Fence{Gone: gone, SinceMs: since}})
}

// GuardUp notes a guard's link. A guard that has not reported yet, or has just
// come up, is told at once who is gone.
func (m *Machine) GuardUp(now time.Time, g identity.Incarnation) {
	m.guards[g] = time.Time{}
	for _, inc := range slices.Sorted(maps.Keys(m.homes)) {
		h := m.homes[inc]
		if _, reported := h.reports[g]; !h.gone.IsZero() && !reported {
			m.fence(g, inc, h)
		}
	}
	m.Tick(now)
}

// GuardDown notes a lost link.
func (m *Machine) GuardDown(now time.Time, g identity.Incarnation) {
	if since, known := m.guards[g]; known && since.IsZero() {
		m.guards[g] = now
	}
	m.Tick(now)
}

// Report takes a guard's answer to a fence.
func (m *Machine) Report(now time.Time, g identity.Incarnation, r *wire.FenceReport) {
	h := m.lookup(r.Gone)
	h.take(g, r)
	if h.summarise(); len(h.silent) == 0 {
		m.Tick(now)
		return
	}
	// The others wait for the next tick: looking at every job for every report
	// would cost seconds of a processor at hundreds of guards.
	for _, s := range r.Started {
		if job := m.jobs[jobName{s.Ref.Member, s.Ref.Key}]; job != nil {
			m.advance(now, job)
		}
	}
}

// Recover begins to find out about j; a Finding follows at the deadline at the
// latest. j.Home must be the final owner.
func (m *Machine) Recover(now time.Time, j Job, deadline time.Time) {
	name := jobName{j.Member, j.Key}
	if underway := m.jobs[name]; underway != nil && underway.job == j {
		return
	}
	if m.jobs[name] != nil || len(m.jobs) >= maxJobs {
		m.finish(j, Later, nil)
		return
	}
	r := &recovery{
		job: j, began: now, deadline: deadline,
		results: make(map[int]wire.Result), asked: make(map[identity.Incarnation]bool),
	}
	m.jobs[name] = r
	m.advance(now, r)
}

// Collected takes the results that a guard holds of a job.
func (m *Machine) Collected(now time.Time, g identity.Incarnation, c *wire.Collected) {
	r := m.jobs[jobName{c.Member, c.Key}]
	if r == nil {
		return
	}
	r.asked[g] = true
	r.of = max(r.of, c.Of)
	for _, res := range c.Results {
		if res.Ran != errkind.RanNo {
			r.results[res.Ref.Task] = res
		}
	}
	m.advance(now, r)
}

// Tick does what is due.
func (m *Machine) Tick(now time.Time) {
	for _, r := range m.sortedJobs() {
		m.advance(now, r)
	}
	for inc, h := range m.homes {
		if m.expired(now, h) {
			delete(m.homes, inc)
		} else if h.gone.IsZero() {
			h.prune(now.Add(-m.opt.Retention).UnixMilli())
		}
	}
	for g, lost := range m.guards {
		if !lost.IsZero() && now.Sub(lost) > m.opt.Retention {
			delete(m.guards, g)
		}
	}
}

// expired tells whether nothing of h can matter any more. A home that is not
// declared gone may still be alive and count on its witnesses.
func (m *Machine) expired(now time.Time, h *home) bool {
	return !h.gone.IsZero() && now.Sub(h.gone) > m.opt.Retention
}

func (m *Machine) sortedJobs() []*recovery {
	return slices.SortedFunc(maps.Values(m.jobs), func(a, b *recovery) int {
		return cmp.Or(cmp.Compare(a.job.Member, b.job.Member), cmp.Compare(a.job.Key, b.job.Key))
	})
}

// advance asks what is still to be asked about a job and ends it when there is a
// verdict.
func (m *Machine) advance(now time.Time, r *recovery) {
	h := m.lookup(r.job.Home)
	p := h.evidence(r.job, func(g identity.Incarnation) bool { return m.isLost(now, g) })
	for _, starts := range p.started {
		for _, s := range starts {
			r.of = max(r.of, s.Of)
		}
	}
	m.collect(now, r, p)
	if v := m.verdict(now, r, h, p); v != Wait {
		delete(m.jobs, jobName{r.job.Member, r.job.Key})
		m.finish(r.job, v, r)
	}
}

func (m *Machine) verdict(now time.Time, r *recovery, h *home, p proof) Verdict {
	switch {
	case r.of > 0 && len(r.results) == r.of:
		if r.failure() != nil {
			return Failed
		}
		return Whole
	case h.gone.IsZero():
		return m.undeclared(now, r)
	case p.possible && !p.silent:
		return m.proved(now, r, p)
	case m.canStillChange(now, r, p) && now.Before(r.deadline):
		return Wait
	case m.canStillChange(now, r, p):
		return Later
	default:
		return Unknown
	}
}

// undeclared judges a job whose home has not been declared gone: guards may hold
// the whole answer, and nothing else can be said yet.
func (m *Machine) undeclared(now time.Time, r *recovery) Verdict {
	if now.Before(r.deadline) && now.Sub(r.began) < m.opt.Grace {
		return Wait
	}
	return Later
}

// proved judges a job about which every guard has spoken.
func (m *Machine) proved(now time.Time, r *recovery, p proof) Verdict {
	if len(p.started) == 0 {
		return NotRun
	}
	missing, lost := m.missing(now, r, p)
	switch {
	case missing == 0:
		return Failed
	case lost == missing:
		return Unknown
	case now.Before(r.deadline):
		return Wait
	default:
		return Later
	}
}

// missing counts the tasks that started and have no result yet, and those among
// them whose guard is lost.
func (m *Machine) missing(now time.Time, r *recovery, p proof) (missing, lost int) {
	for g, starts := range p.started {
		for _, s := range starts {
			if _, have := r.results[s.Ref.Task]; have {
				continue
			}
			missing++
			if m.isLost(now, g) {
				lost++
			}
		}
	}
	return missing, lost
}

// canStillChange tells whether waiting can bring more: a guard that has not
// reported or not answered is linked or may come back, or a started task is
// being worked on.
func (m *Machine) canStillChange(now time.Time, r *recovery, p proof) bool {
	if p.awaited {
		return true
	}
	for g, answered := range r.asked {
		if !answered && !m.isLost(now, g) && m.lookup(r.job.Home).falls(g, r.job.BirthMs) {
			return true
		}
	}
	missing, lost := m.missing(now, r, p)
	return r.held || missing > lost
}

// isLost tells whether g has been away for longer than the grace time, or was
// never linked to this entry.
func (m *Machine) isLost(now time.Time, g identity.Incarnation) bool {
	since, known := m.guards[g]
	return !known || !since.IsZero() && now.Sub(since) >= m.opt.Grace
}

// collect asks guards for results: those that reported a start again and again
// until the task is done, and any other one that may hold something once.
func (m *Machine) collect(now time.Time, r *recovery, p proof) {
	poll := !now.Before(r.nextPoll)
	if poll {
		r.nextPoll = now.Add(m.opt.Poll)
	}
	r.held = false
	for _, g := range m.candidates(r, p) {
		_, started := p.started[g]
		if started && poll || m.worthAsking(g, r) && m.spend(now, r) {
			r.asked[g] = r.asked[g] || started
			m.actions = append(m.actions, Action{Guard: g, Collect: &wire.Collect{Member: r.job.Member, Key: r.job.Key}})
		}
	}
}

// candidates lists the linked guards that may hold results of a job, sorted:
// those that reported a start, when the reports say enough about its time.
func (m *Machine) candidates(r *recovery, p proof) (out []identity.Incarnation) {
	h := m.lookup(r.job.Home)
	if !h.gone.IsZero() && r.job.BirthMs >= h.topMs {
		out = slices.Sorted(maps.Keys(p.started))
	} else {
		out = slices.Sorted(maps.Keys(m.guards))
	}
	return slices.DeleteFunc(out, func(g identity.Incarnation) bool {
		lost, known := m.guards[g]
		return !known || !lost.IsZero()
	})
}

// worthAsking tells whether g may hold results of a job without having reported
// its start: the home is not declared gone yet, or the report does not reach
// back to the birth.
func (m *Machine) worthAsking(g identity.Incarnation, r *recovery) bool {
	if _, asked := r.asked[g]; asked {
		return false
	}
	h := m.lookup(r.job.Home)
	return h.gone.IsZero() || h.falls(g, r.job.BirthMs)
}

// spend takes one question from this second's budget. Without it, the callers of
// a dead entry who ask again would have every guard asked about every job.
func (m *Machine) spend(now time.Time, r *recovery) bool {
	if now.Sub(m.budgetFrom) >= time.Second {
		m.budgetFrom, m.budget = now, collectsPerSecond
	}
	if m.budget == 0 {
		r.held = true
		return false
	}
	m.budget--
	return true
}

func (m *Machine) finish(j Job, v Verdict, r *recovery) {
	f := &Finding{Job: j, Verdict: v}
	switch v {
	case Whole:
		for task := range r.of {
			f.Results = append(f.Results, r.results[task])
		}
	case Failed:
		f.Failure = r.failure()
	}
	m.actions = append(m.actions, Action{Finding: f})
}
