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

// Machine stores the announcements of an entry's peers and recovers the jobs of
// peers that a roster has declared gone.
type Machine struct {
	self              identity.Incarnation
	opt               Options
	entries           map[identity.Incarnation]*entryState
	guardDownSince    map[identity.Incarnation]time.Time // zero while linked, else when its link was lost
	recoveries        map[jobKey]*jobRecovery
	rosterVersion     int64 // last roster version received
	lastAbsentVersion int64 // last version that this entry was not a member of, or that followed a gap
	actions           []Action

	collectBudget     int // queries left in the second that began at budgetWindowStart
	budgetWindowStart time.Time
}

// jobRecovery is the recovery of one job in progress.
type jobRecovery struct {
	job       Job
	startedAt time.Time
	deadline  time.Time
	nextPoll  time.Time
	taskCount int
	results   map[int]wire.Result
	// queried holds the guards that were asked for results. The value is true for a
	// guard that has answered or that reported a start.
	queried     map[identity.Incarnation]bool
	isThrottled bool // a query waits for the collect budget
}

// firstFailure returns the result of the first failed task, or nil.
func (r *jobRecovery) firstFailure() *wire.Result {
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
		self:           self,
		opt:            opt.withDefaults(),
		entries:        make(map[identity.Incarnation]*entryState),
		guardDownSince: make(map[identity.Incarnation]time.Time),
		recoveries:     make(map[jobKey]*jobRecovery),
	}
}

// Actions returns the actions since the last call and clears them.
func (m *Machine) Actions() []Action {
	out := m.actions
	m.actions = nil
	return out
}

// RecordContact records contact with an entry.
func (m *Machine) RecordContact(now time.Time, peer identity.Incarnation) {
	m.entryState(peer).lastSeen = now
}

// entryState returns the state of an entry and creates it if necessary.
func (m *Machine) entryState(inc identity.Incarnation) *entryState {
	e := m.entries[inc]
	if e == nil {
		e = &entryState{guards: make(map[identity.Incarnation]int64)}
		m.entries[inc] = e
	}
	return e
}

// unknownEntry is returned for a home without stored state. Callers choose the names
// in their tickets and must not be able to exhaust memory with invented ones.
var unknownEntry = new(entryState)

// lookupEntry returns the state of an entry, or unknownEntry. It stores nothing.
func (m *Machine) lookupEntry(inc identity.Incarnation) *entryState {
	if e := m.entries[inc]; e != nil {
		return e
	}
	return unknownEntry
}

// Witness handles a peer's announcement and acknowledges it.
func (m *Machine) Witness(now time.Time, from identity.Incarnation, w *wire.Witness) {
	e := m.entryState(from)
	e.lastSeen = now
	if e.applyWitness(w) {
		m.actions = append(m.actions, Action{Peer: from, Acknowledge: &wire.WitnessAck{Seq: w.Seq}})
	}
}

// Roster handles a roster version. Versions must be passed once each and in order.
// hasGap reports that earlier versions were missed, in which this entry may not have
// been a member.
func (m *Machine) Roster(now time.Time, r *wire.Roster, hasGap bool) {
	if r.Version <= m.rosterVersion {
		return
	}
	m.rosterVersion = r.Version
	if hasGap || !slices.ContainsFunc(r.Members, func(e wire.EntryAddr) bool { return e.Incarnation == m.self }) {
		m.lastAbsentVersion = r.Version
	}
	for _, inc := range r.Gone {
		m.declareGone(now, inc)
	}
}

func (m *Machine) declareGone(now time.Time, gone identity.Incarnation) {
	e := m.entryState(gone)
	if !e.gone.IsZero() {
		return
	}
	e.declareGone(now, m.lastAbsentVersion)
	for _, g := range slices.Sorted(maps.Keys(m.guardDownSince)) {
		if m.guardDownSince[g].IsZero() {
			m.sendFence(g, gone, e)
		}
	}
}

func (m *Machine) sendFence(g, gone identity.Incarnation, e *entryState) {
	lastSeen := e.lastSeen
	if lastSeen.IsZero() {
		lastSeen = e.gone
	}
	sinceMs := lastSeen.Add(-m.opt.ReportWindow).UnixMilli()
	m.actions = append(m.actions, Action{Guard: g, Fence: &wire.Fence{FencedEntry: gone, SinceMs: sinceMs}})
}

// GuardUp records a guard's link. The guard is sent a Fence at once for each gone
// entry about which it has not reported.
func (m *Machine) GuardUp(now time.Time, g identity.Incarnation) {
	m.guardDownSince[g] = time.Time{}
	for _, inc := range slices.Sorted(maps.Keys(m.entries)) {
		e := m.entries[inc]
		if _, reported := e.reportFloors[g]; !e.gone.IsZero() && !reported {
			m.sendFence(g, inc, e)
		}
	}
	m.Tick(now)
}

// GuardDown records a lost link.
func (m *Machine) GuardDown(now time.Time, g identity.Incarnation) {
	if downSince, known := m.guardDownSince[g]; known && downSince.IsZero() {
		m.guardDownSince[g] = now
	}
	m.Tick(now)
}

// Report handles a guard's answer to a Fence.
func (m *Machine) Report(now time.Time, g identity.Incarnation, r *wire.FenceReport) {
	e := m.lookupEntry(r.FencedEntry)
	e.addReport(g, r)
	if e.updateSummary(); len(e.missingReports) == 0 {
		m.Tick(now)
		return
	}
	// All other jobs wait for the next tick: examining every job for every report
	// would take seconds of CPU time with hundreds of guards.
	for _, s := range r.Started {
		if job := m.recoveries[jobKey{s.Ref.Member, s.Ref.Key}]; job != nil {
			m.advance(now, job)
		}
	}
}

// Recover starts the recovery of j. A Finding follows by the deadline at the latest.
// j.Home must be the final owner.
func (m *Machine) Recover(now time.Time, j Job, deadline time.Time) {
	key := jobKey{j.Member, j.Key}
	if underway := m.recoveries[key]; underway != nil && underway.job == j {
		return
	}
	if m.recoveries[key] != nil || len(m.recoveries) >= maxRecoveries {
		m.finishJob(j, RetryLater, nil)
		return
	}
	r := &jobRecovery{
		job: j, startedAt: now, deadline: deadline,
		results: make(map[int]wire.Result), queried: make(map[identity.Incarnation]bool),
	}
	m.recoveries[key] = r
	m.advance(now, r)
}

// Collected handles the results that a guard holds of a job.
func (m *Machine) Collected(now time.Time, g identity.Incarnation, c *wire.Collected) {
	r := m.recoveries[jobKey{c.Member, c.Key}]
	if r == nil {
		return
	}
	r.queried[g] = true
	r.taskCount = max(r.taskCount, c.Of)
	for _, res := range c.Results {
		if res.Ran != errkind.RanNo {
			r.results[res.Ref.Task] = res
		}
	}
	m.advance(now, r)
}

// Tick advances all recoveries and removes expired state.
func (m *Machine) Tick(now time.Time) {
	for _, r := range m.sortedRecoveries() {
		m.advance(now, r)
	}
	for inc, e := range m.entries {
		if m.isExpired(now, e) {
			delete(m.entries, inc)
		} else if e.gone.IsZero() {
			e.pruneDropped(now.Add(-m.opt.Retention).UnixMilli())
		}
	}
	for g, downSince := range m.guardDownSince {
		if !downSince.IsZero() && now.Sub(downSince) > m.opt.Retention {
			delete(m.guardDownSince, g)
		}
	}
}

// isExpired reports whether e is no longer needed. An entry that was not declared
// gone may still be running and rely on its witnesses.
func (m *Machine) isExpired(now time.Time, e *entryState) bool {
	return !e.gone.IsZero() && now.Sub(e.gone) > m.opt.Retention
}

func (m *Machine) sortedRecoveries() []*jobRecovery {
	return slices.SortedFunc(maps.Values(m.recoveries), func(a, b *jobRecovery) int {
		return cmp.Or(cmp.Compare(a.job.Member, b.job.Member), cmp.Compare(a.job.Key, b.job.Key))
	})
}

// advance sends the queries that are due for a job and finishes it when there is a
// verdict.
func (m *Machine) advance(now time.Time, r *jobRecovery) {
	e := m.lookupEntry(r.job.Home)
	ev := e.evidenceFor(r.job, func(g identity.Incarnation) bool { return m.isGuardLost(now, g) })
	for _, starts := range ev.started {
		for _, s := range starts {
			r.taskCount = max(r.taskCount, s.Of)
		}
	}
	m.sendCollects(now, r, ev)
	if v := m.verdict(now, r, e, ev); v != Pending {
		delete(m.recoveries, jobKey{r.job.Member, r.job.Key})
		m.finishJob(r.job, v, r)
	}
}

func (m *Machine) finishJob(j Job, v Verdict, r *jobRecovery) {
	f := &Finding{Job: j, Verdict: v}
	switch v {
	case Complete:
		for task := range r.taskCount {
			f.Results = append(f.Results, r.results[task])
		}
	case Failed:
		f.Failure = r.firstFailure()
	}
	m.actions = append(m.actions, Action{Finding: f})
}
