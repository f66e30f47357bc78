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

// Options configures a replay.
type Options struct {
	Seed uint64 // of the random choices of the dispatchers
	// Placement overrides the placement of the policy, if set.
	Placement *dispatch.Placement
	// Weighting overrides the weighting of the policy, if set.
	Weighting *dispatch.Weighting
}

// Times before, during and after the events of a trace.
const (
	startupDelay          = 500 * time.Millisecond // from the start of the processes to the start of the trace, to open the links
	failureDetectionDelay = 5 * time.Second        // time allowed to detect a failing worker
	endDelay              = 2 * time.Second        // simulated time after the last deadline
)

// simulation is the state of a replay.
type simulation struct {
	trace      *Trace
	opt        Options
	policy     dispatch.Policy
	clock      clock
	traceStart time.Time // time 0 of the trace
	entries    []*entry
	guards     []*guard
	links      []*link
	jobs       map[string]*jobState // by name in the trace
	byKey      map[string]*jobState // by job key
	calls      []*call
	checker    invariantChecker
	counters   counters

	isStoreDown     bool
	pendingPolicies []*dispatch.Policy // updates made during an outage of the store
	keyCount        uint32
}

// jobState is a job of the trace. All its submissions share it.
type jobState struct {
	name      string
	key       string
	home      identity.Incarnation
	member    string
	createdMs int64
	req       *Request
}

func (j *jobState) id() dispatch.JobID { return dispatch.JobID{Member: j.member, Key: j.key} }

// call is a submission of a job by a caller.
type call struct {
	job              *jobState
	entry            *entry
	expected         *ExpectedOutcome
	sentAt           time.Time
	forwardDelay     time.Duration // additional delay of the answer to a forwarded request
	answerCount      int
	answered         time.Time
	answer           *answer
	isConnectionLost bool // no entry was available, or it terminated before it answered
	isMeasured       bool // sent in the measured window
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
	for i, cfg := range t.Entries {
		sim.entries = append(sim.entries, &entry{sim: sim, config: cfg, index: i})
	}
	for _, cfg := range t.Workers {
		g := &guard{sim: sim, config: cfg, runTimeFactor: 1}
		sim.guards = append(sim.guards, g)
		for _, e := range sim.entries {
			l := &link{sim: sim, entry: e, guard: g, delay: sim.networkDelay(e.config.Domain, cfg.Domain)}
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

// networkDelay returns the one-way delay between two failure domains.
func (sim *simulation) networkDelay(a, b string) time.Duration {
	if a == b {
		return sim.trace.Delays.Local
	}
	return sim.trace.Delays.Domain
}

// echoBody returns the body of a task and of its result. It is unique to the task,
// so that a result for the wrong task is detected.
func echoBody(r wire.Ref) []byte { return fmt.Appendf(nil, "%s/%d", r.Key, r.Task) }

func (sim *simulation) runTime(r wire.Ref) time.Duration { return sim.byKey[r.Key].req.Tasks[r.Task] }

// entryByIncarnation returns the entry whose latest incarnation is inc, or nil.
func (sim *simulation) entryByIncarnation(inc identity.Incarnation) *entry {
	for _, e := range sim.entries {
		if e.incarnation == inc {
			return e
		}
	}
	return nil
}

// availableEntry returns the entry with the given name or, if that does not accept
// connections, the next one that does, like the load balancer of the platform.
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

// newKey returns a new job key issued by the entry: a ticket with a time-ordered
// UUID.
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

// submit sends the request of a caller to an available entry.
func (sim *simulation) submit(ev *Event) {
	e := sim.availableEntry(ev.Other)
	c := &call{expected: ev.ExpectedOutcome, sentAt: sim.clock.now, entry: e, isMeasured: sim.isInWindow(ev.At)}
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

// answer sends an answer to the caller.
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

// dropCalls marks the unanswered calls of a terminated entry as lost.
func (sim *simulation) dropCalls(e *entry) {
	for _, c := range sim.calls {
		if c.entry == e && c.answerCount == 0 {
			c.isConnectionLost = true
		}
	}
}

func (sim *simulation) recordStart(g *guard, r wire.Ref) { sim.checker.recordStart(g.incarnation, r) }

func (sim *simulation) checkOutcome(o *dispatch.Outcome) { sim.checker.checkOutcome(sim.clock.now, o) }

// handleResult records a task result that arrives at an entry, and counts it as a
// retry if the task did not run.
func (sim *simulation) handleResult(r *wire.Result) {
	sim.checker.recordResult(sim.clock.now, r)
	if r.Kind != errkind.None && r.Ran == errkind.RanNo {
		sim.counters.retries[r.Kind.String()]++
	}
}

func (sim *simulation) recordFrame(f *wire.Frame) { sim.counters.countFrame(f) }
