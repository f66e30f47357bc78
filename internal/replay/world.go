package replay

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/wire"
)

// Options of a replay.
type Options struct {
	Seed uint64
	// Placement, when set, replaces the policy's placement.
	Placement *dispatch.Placement
	// Weighting, when set, replaces the policy's weighting.
	Weighting *dispatch.Weighting
}

// Times around a replay.
const (
	startupDelay          = 500 * time.Millisecond // links open before the trace begins
	failureDetectionDelay = 5 * time.Second        // time allowed to notice a failing worker
	endDelay              = 2 * time.Second        // after the last deadline
)

// simulation is one replay.
type simulation struct {
	trace      *Trace
	opt        Options
	policy     dispatch.Policy
	clock      clock
	traceStart time.Time // moment zero of the trace
	entries    []*entry
	guards     []*guard
	links      []*link
	jobs       map[string]*jobState // by name in the trace
	byKey      map[string]*jobState
	calls      []*call
	checker    invariantChecker
	counters   counters

	isStoreDown     bool
	pendingPolicies []*dispatch.Policy // amendments that wait for the store
	keyCount        uint32
}

// jobState is one job, however often it is submitted.
type jobState struct {
	name      string
	key       string
	home      identity.Incarnation
	member    string
	createdMs int64
	req       *Request
}

func (j *jobState) id() dispatch.JobID { return dispatch.JobID{Member: j.member, Key: j.key} }

// call is one submission of a job by a caller.
type call struct {
	job              *jobState
	entry            *entry
	expected         *Want
	sentAt           time.Time
	forwardDelay     time.Duration // delay of a forwarded answer
	answerCount      int
	answered         time.Time
	answer           *answer
	isConnectionLost bool // the entry died with the caller's connection
	isMeasured       bool // inside the measured window
}

func newSimulation(t *Trace, opt Options) *simulation {
	sim := &simulation{trace: t, opt: opt, policy: t.Policy, jobs: map[string]*jobState{}, byKey: map[string]*jobState{}}
	if opt.Placement != nil {
		sim.policy.Placement = *opt.Placement
	}
	if opt.Weighting != nil {
		sim.policy.Weighting = *opt.Weighting
	}
	sim.clock.now = epoch
	sim.traceStart = epoch.Add(startupDelay)
	sim.checker.init()
	sim.counters.init(sim)
	for i, d := range t.Entries {
		sim.entries = append(sim.entries, &entry{sim: sim, config: d, index: i})
	}
	for _, d := range t.Workers {
		g := &guard{sim: sim, config: d, runTimeFactor: 1}
		sim.guards = append(sim.guards, g)
		for _, e := range sim.entries {
			l := &link{sim: sim, entry: e, guard: g, delay: sim.networkDelay(e.config.Domain, d.Domain)}
			g.links = append(g.links, l)
			sim.links = append(sim.links, l)
		}
	}
	for _, e := range sim.entries {
		e.boot()
	}
	for _, g := range sim.guards {
		g.boot()
	}
	return sim
}

func (sim *simulation) networkDelay(a, b string) time.Duration {
	if a == b {
		return sim.trace.Delays.Local
	}
	return sim.trace.Delays.Domain
}

// echoBody is the body of a task and of its result, so that a swapped answer shows.
func echoBody(r wire.Ref) []byte { return fmt.Appendf(nil, "%s/%d", r.Key, r.Task) }

func (sim *simulation) runTime(r wire.Ref) time.Duration { return sim.byKey[r.Key].req.Tasks[r.Task] }

func (sim *simulation) entryByIncarnation(inc identity.Incarnation) *entry {
	for _, e := range sim.entries {
		if e.incarnation == inc {
			return e
		}
	}
	return nil
}

// availableEntry gives the entry called name or, if it does not take connections,
// the next one that does: what the platform's balancer does.
func (sim *simulation) availableEntry(name string) *entry {
	first := -1
	for i, e := range sim.entries {
		if e.config.Name == name {
			first = i
		}
	}
	for i := range sim.entries {
		if e := sim.entries[(first+i)%len(sim.entries)]; first >= 0 && e.isAlive && !e.isDraining {
			return e
		}
	}
	return nil
}

// newKey mints a ticket of the entry.
func (sim *simulation) newKey(home identity.Incarnation) string {
	sim.keyCount++
	var u uuid.UUID
	ms := uint64(sim.clock.now.UnixMilli())
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	u[6], u[8] = 0x70, 0x80
	for i := range 4 {
		u[12+i] = byte(sim.keyCount >> (24 - 8*i))
	}
	return string(home) + "." + u.String()
}

// submit sends a caller's request on its way.
func (sim *simulation) submit(ev *Event) {
	e := sim.availableEntry(ev.Other)
	c := &call{expected: ev.Want, sentAt: sim.clock.now, entry: e, isMeasured: sim.isInWindow(ev.At)}
	sim.calls = append(sim.calls, c)
	c.job = sim.jobs[ev.Target]
	if c.job == nil {
		c.job = sim.newJob(ev, e)
	}
	if e == nil {
		c.isConnectionLost = true
		return
	}
	sim.clock.after(sim.trace.Delays.Client, e.inGeneration(func() { e.submit(c) }))
}

func (sim *simulation) newJob(ev *Event, e *entry) *jobState {
	member, _, _ := strings.Cut(sim.trace.Service, "/")
	j := &jobState{name: ev.Target, member: member, req: ev.Request}
	if e != nil {
		j.home = e.incarnation
	}
	j.key, j.createdMs = sim.newKey(j.home), sim.clock.now.UnixMilli()
	sim.jobs[ev.Target], sim.byKey[j.key] = j, j
	return j
}

func (sim *simulation) isInWindow(at time.Duration) bool {
	return at >= sim.trace.MeasureFrom && (sim.trace.MeasureUntil == 0 || at < sim.trace.MeasureUntil)
}

// answer carries an answer to the caller.
func (sim *simulation) answer(c *call, a *answer) {
	sim.clock.after(c.forwardDelay+sim.trace.Delays.Client, func() {
		if c.isConnectionLost {
			return
		}
		c.answerCount++
		c.answer, c.answered = a, sim.clock.now
		sim.checker.answered(sim, c)
	})
}

// dropCalls ends the connections of the callers of a dead entry.
func (sim *simulation) dropCalls(e *entry) {
	for _, c := range sim.calls {
		if c.entry == e && c.answerCount == 0 {
			c.isConnectionLost = true
		}
	}
}

func (sim *simulation) recordStart(g *guard, r wire.Ref) { sim.checker.recordStart(g.incarnation, r) }

func (sim *simulation) checkOutcome(o *dispatch.Outcome) { sim.checker.checkOutcome(sim.clock.now, o) }

func (sim *simulation) handleResult(r *wire.Result) {
	sim.checker.recordResult(sim.clock.now, r)
	if r.Kind != errkind.None && r.Ran == errkind.RanNo {
		sim.counters.retries[r.Kind.String()]++
	}
}

func (sim *simulation) recordFrame(f *wire.Frame) { sim.counters.countFrame(f) }
