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
	bootTime   = 500 * time.Millisecond // links open before the trace begins
	failSettle = 5 * time.Second        // time allowed to notice a failing worker
	tailTime   = 2 * time.Second        // after the last deadline
)

// world is one replay.
type world struct {
	trace   *Trace
	opt     Options
	policy  dispatch.Policy
	clock   clock
	begin   time.Time // moment zero of the trace
	entries []*entry
	guards  []*guard
	links   []*link
	jobs    map[string]*jobState // by name in the trace
	byKey   map[string]*jobState
	calls   []*call
	check   checker
	tally   tally

	storeDown bool
	pending   []*dispatch.Policy // amendments that wait for the store
	keys      uint32
}

// jobState is one job, however often it is submitted.
type jobState struct {
	name    string
	key     string
	home    identity.Incarnation
	member  string
	birthMs int64
	req     *Request
}

func (j *jobState) id() dispatch.JobID { return dispatch.JobID{Member: j.member, Key: j.key} }

// call is one submission of a job by a caller.
type call struct {
	job      *jobState
	entry    *entry
	want     *Want
	sent     time.Time
	extra    time.Duration // delay of a forwarded answer
	answers  int
	answered time.Time
	answer   *answer
	lost     bool // the entry died with the caller's connection
	counted  bool // inside the measured window
}

func newWorld(t *Trace, opt Options) *world {
	w := &world{trace: t, opt: opt, policy: t.Policy, jobs: map[string]*jobState{}, byKey: map[string]*jobState{}}
	if opt.Placement != nil {
		w.policy.Placement = *opt.Placement
	}
	if opt.Weighting != nil {
		w.policy.Weighting = *opt.Weighting
	}
	w.clock.now = epoch
	w.begin = epoch.Add(bootTime)
	w.check.init()
	w.tally.init(w)
	for i, d := range t.Entries {
		w.entries = append(w.entries, &entry{w: w, def: d, index: i})
	}
	for _, d := range t.Workers {
		g := &guard{w: w, def: d, factor: 1}
		w.guards = append(w.guards, g)
		for _, e := range w.entries {
			l := &link{w: w, entry: e, guard: g, delay: w.between(e.def.Domain, d.Domain)}
			g.links = append(g.links, l)
			w.links = append(w.links, l)
		}
	}
	for _, e := range w.entries {
		e.boot()
	}
	for _, g := range w.guards {
		g.boot()
	}
	return w
}

func (w *world) between(a, b string) time.Duration {
	if a == b {
		return w.trace.Delays.Local
	}
	return w.trace.Delays.Domain
}

// echo is the body of a task and of its result, so that a swapped answer shows.
func echo(r wire.Ref) []byte { return fmt.Appendf(nil, "%s/%d", r.Key, r.Task) }

func (w *world) runTime(r wire.Ref) time.Duration { return w.byKey[r.Key].req.Tasks[r.Task] }

func (w *world) entryOf(inc identity.Incarnation) *entry {
	for _, e := range w.entries {
		if e.incarnation == inc {
			return e
		}
	}
	return nil
}

// liveEntry gives the entry called name or, if it does not take connections,
// the next one that does: what the platform's balancer does.
func (w *world) liveEntry(name string) *entry {
	first := -1
	for i, e := range w.entries {
		if e.def.Name == name {
			first = i
		}
	}
	for i := range w.entries {
		if e := w.entries[(first+i)%len(w.entries)]; first >= 0 && e.alive && !e.draining {
			return e
		}
	}
	return nil
}

// newKey mints a ticket of the entry.
func (w *world) newKey(home identity.Incarnation) string {
	w.keys++
	var u uuid.UUID
	ms := uint64(w.clock.now.UnixMilli())
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	u[6], u[8] = 0x70, 0x80
	for i := range 4 {
		u[12+i] = byte(w.keys >> (24 - 8*i))
	}
	return string(home) + "." + u.String()
}

// submit sends a caller's request on its way.
func (w *world) submit(ev *Event) {
	e := w.liveEntry(ev.Other)
	c := &call{want: ev.Want, sent: w.clock.now, entry: e, counted: w.inWindow(ev.At)}
	w.calls = append(w.calls, c)
	c.job = w.jobs[ev.Target]
	if c.job == nil {
		c.job = w.newJob(ev, e)
	}
	if e == nil {
		c.lost = true
		return
	}
	w.clock.after(w.trace.Delays.Client, e.later(func() { e.submit(c) }))
}

func (w *world) newJob(ev *Event, e *entry) *jobState {
	member, _, _ := strings.Cut(w.trace.Service, "/")
	j := &jobState{name: ev.Target, member: member, req: ev.Request}
	if e != nil {
		j.home = e.incarnation
	}
	j.key, j.birthMs = w.newKey(j.home), w.clock.now.UnixMilli()
	w.jobs[ev.Target], w.byKey[j.key] = j, j
	return j
}

func (w *world) inWindow(at time.Duration) bool {
	return at >= w.trace.From && (w.trace.Until == 0 || at < w.trace.Until)
}

// answer carries an answer to the caller.
func (w *world) answer(c *call, a *answer) {
	w.clock.after(c.extra+w.trace.Delays.Client, func() {
		if c.lost {
			return
		}
		c.answers++
		c.answer, c.answered = a, w.clock.now
		w.check.answered(w, c)
	})
}

// loseCalls ends the connections of the callers of a dead entry.
func (w *world) loseCalls(e *entry) {
	for _, c := range w.calls {
		if c.entry == e && c.answers == 0 {
			c.lost = true
		}
	}
}

func (w *world) started(g *guard, r wire.Ref) { w.check.started(g.incarnation, r) }

func (w *world) finished(o *dispatch.Outcome) { w.check.finished(w.clock.now, o) }

func (w *world) noteResult(r *wire.Result) {
	w.check.result(w.clock.now, r)
	if r.Kind != errkind.None && r.Ran == errkind.RanNo {
		w.tally.retries[r.Kind.String()]++
	}
}

func (w *world) count(f *wire.Frame) { w.tally.frame(f) }
