package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// maxSlots bounds what a guard may claim. A claim beyond it is an error of its
// settings; believed, it would draw all work to one worker.
const maxSlots = 4096

// lastGuards is how many guards may be left for a task before they are told to
// keep it until a slot is free.
const lastGuards = 2

// guard is one incarnation of a guard, from its first Hello until it is gone.
type guard struct {
	incarnation identity.Incarnation
	worker      string
	place       int
	up          bool
	leaving     bool
	downs       int    // link losses; tells a stale grace timer from a due one
	seq         uint64 // of the newest load report
	unwell      bool   // reports its upstream as down
	heard       time.Time
	health      sched.Health
	sick        bool      // quarantined
	silent      bool      // has not answered for long
	owes        bool      // used by watch: a task is overdue
	want        int       // offers that it still owes
	reserved    time.Time // when it was last asked for offers
	declined    uint64    // Core.arrivals when its offer was last of no use
}

// flight is one task that was sent and not answered.
type flight struct {
	ref    wire.Ref
	task   *task // nil when the job was answered meanwhile
	guard  *guard
	sent   time.Time
	queued bool // the guard may hold it in its own queue
	// accelerators that the task takes; its job may be gone before it lands
	accelerators int
}

// GuardUp implements Machine.
func (c *Core) GuardUp(now time.Time, h *wire.Hello) {
	g := c.guardAt(h.Incarnation)
	known := g != nil
	if !known {
		c.dropPredecessors(now, h)
		g = c.addGuard(h)
	}
	g.up, g.leaving = true, h.Load.Draining
	w := c.pool.Workers[g.place]
	w.Slots = int32(min(max(0, h.Slots), maxSlots))
	describe(&w, h)
	c.noteSize(&w)
	c.pool.Set(g.place, w)
	g.seq, g.unwell = 0, false
	c.takeLoad(now, g, &h.Load)
	c.setState(g)
	if known {
		c.resend(now, g)
	} else {
		c.failUnfit(now) // not before: the successor may be the one that fits
	}
	c.pump(now)
}

func (c *Core) addGuard(h *wire.Hello) *guard {
	place := slices.Index(c.guards, nil)
	if place < 0 {
		place = c.pool.AddWorker()
		c.guards = append(c.guards, nil)
	}
	g := &guard{incarnation: h.Incarnation, worker: h.Worker, place: place}
	c.guards[place] = g
	c.pool.Set(place, sched.Worker{Domain: c.domains.number(h.Domain), Rack: c.racks.number(h.Rack)})
	c.places[h.Incarnation] = place
	return g
}

// dropPredecessors gives up on earlier incarnations of a restarted guard whose
// link is down: their memory is gone with the process, so no answer can come.
// Without it every job on a killed guard would wait out the whole grace time.
func (c *Core) dropPredecessors(now time.Time, h *wire.Hello) {
	for _, g := range c.guards {
		if g != nil && g.worker == h.Worker && !g.up {
			c.removeGuard(now, g)
		}
	}
}

// resend repeats every start that the guard has not answered. The link was
// lost with messages on it; without this their jobs would wait for answers
// that never come. The guard starts a Ref at most once, so a start that did
// arrive is not started again. Withdrawn tasks are cancelled, not resent.
func (c *Core) resend(now time.Time, g *guard) {
	for _, f := range c.flightsOf(g) {
		if f.task == nil {
			c.act(Action{Guard: g.incarnation, Cancel: &wire.Cancel{Ref: f.ref}})
			c.land(f)
			continue
		}
		c.act(Action{Guard: g.incarnation, Start: c.start(now, f.task)})
	}
}

// flightsOf lists a guard's flights in a fixed order, as the order of a map
// would make replays differ.
func (c *Core) flightsOf(g *guard) []*flight {
	var out []*flight
	for _, f := range c.flights {
		if f.guard == g {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b *flight) int {
		return cmp.Or(a.sent.Compare(b.sent), strings.Compare(a.ref.Key, b.ref.Key),
			strings.Compare(a.ref.Member, b.ref.Member), a.ref.Task-b.ref.Task)
	})
	return out
}

// GuardDown implements Machine.
func (c *Core) GuardDown(now time.Time, inc identity.Incarnation) {
	g := c.guardAt(inc)
	if g == nil || !g.up {
		return
	}
	g.up = false
	g.downs++
	c.setState(g)
	c.timers.add(now.Add(c.policy.Grace), timer{guard: g, downs: g.downs})
}

// graceOver gives up on a guard whose link did not come back.
func (c *Core) graceOver(now time.Time, g *guard, downs int) {
	if !g.up && g.downs == downs && c.guards[g.place] == g {
		c.removeGuard(now, g)
		c.failUnfit(now)
	}
}

func (c *Core) removeGuard(now time.Time, g *guard) {
	for _, f := range c.flightsOf(g) {
		t := f.task
		c.land(f)
		if t != nil && t.job.tasks != nil {
			c.fail(now, t.job, failure{known: true, task: t.index, kind: errkind.WorkerLost,
				ran: errkind.RanUnknown, detail: "the guard " + string(g.incarnation) + " was lost"})
		}
	}
	delete(c.places, g.incarnation)
	c.setWant(g, 0)
	c.guards[g.place] = nil
	c.pool.Set(g.place, sched.Worker{})
	c.forgetPlace(int32(g.place))
}

// failUnfit answers every job that no guard is left for; all that it still
// could do is wait for its deadline.
func (c *Core) failUnfit(now time.Time) {
	ids := make([]JobID, 0, len(c.jobs))
	for id, j := range c.jobs {
		if c.lost(j.spec.Need) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b JobID) int {
		return cmp.Or(strings.Compare(a.Key, b.Key), strings.Compare(a.Member, b.Member))
	})
	for _, id := range ids {
		c.fail(now, c.jobs[id], failure{kind: errkind.NoWorkers, detail: "the last worker that fits was lost"})
	}
}

// lost tells whether no worker is left that fits a need.
func (c *Core) lost(need Need) bool {
	if need == (Need{}) {
		return len(c.places) == 0
	}
	return c.pool.CountFitting(need, 1) == 0
}

// forgetPlace drops a place from the lists of refusals, as another guard may
// take it and would be passed over.
func (c *Core) forgetPlace(place int32) {
	for _, j := range c.jobs {
		for i := range j.tasks {
			t := &j.tasks[i]
			t.refused = slices.DeleteFunc(t.refused, func(p int32) bool { return p == place })
		}
	}
}

// GuardLeaving implements Machine.
func (c *Core) GuardLeaving(_ time.Time, inc identity.Incarnation) {
	if g := c.guardAt(inc); g != nil {
		g.leaving = true
		c.setState(g)
	}
}

// Load implements Machine.
func (c *Core) Load(now time.Time, inc identity.Incarnation, l *wire.Load) {
	if g := c.guardAt(inc); g != nil {
		c.takeLoad(now, g, l)
		c.pump(now)
	}
}

// takeLoad notes a guard's report unless a newer one came first: a late one
// would show slots as free that have been taken since. A guard that takes no
// new work reports no slots.
func (c *Core) takeLoad(now time.Time, g *guard, l *wire.Load) {
	if l.Seq == 0 || l.Seq <= g.seq {
		return
	}
	g.seq, g.heard = l.Seq, now
	w := c.pool.Workers[g.place]
	w.Slots = int32(min(max(0, l.Slots), maxSlots))
	w.OtherTasks = max(0, int32(l.Running+l.Queued)-w.OwnTasks)
	c.pool.Set(g.place, w)
	if unwell := !l.Healthy; g.silent || l.Draining || unwell != g.unwell {
		g.silent, g.unwell = false, unwell
		g.leaving = g.leaving || l.Draining
		c.setState(g)
	}
}

func (c *Core) setState(g *guard) {
	w := c.pool.Workers[g.place]
	switch {
	case g.leaving || !g.up || g.unwell:
		w.State = sched.Leaving
	case g.sick:
		w.State = sched.Quarantined
	case g.silent:
		w.State = sched.Unresponsive
	default:
		w.State = sched.Usable
	}
	c.pool.Set(g.place, w)
	if w.State != sched.Usable {
		c.setWant(g, 0)
	}
	if c.pool.FleetStats.Usable == 0 && c.pool.FleetStats.Excluded > 0 {
		c.unbar()
	}
}

// unbar puts every barred worker back to use. Workers are barred while enough
// others are left; when those leave, the barred ones are all there is, and a slow
// worker serves better than none. Without this, each request would be refused
// until the next probe, as if the service had no worker.
func (c *Core) unbar() {
	for _, g := range c.guards {
		if g != nil && (g.sick || g.silent) {
			g.sick, g.silent = false, false
			c.setState(g)
		}
	}
}

func (c *Core) addOwn(place int, n int32, accelerators int) {
	w := c.pool.Workers[place]
	w.OwnTasks += n
	w.UsedAccelerators += int16(n) * int16(accelerators)
	c.pool.Set(place, w)
}

func (c *Core) guardAt(inc identity.Incarnation) *guard {
	if place, ok := c.places[inc]; ok {
		return c.guards[place]
	}
	return nil
}

// land takes a flight off the books.
func (c *Core) land(f *flight) {
	delete(c.flights, f.ref)
	c.addOwn(f.guard.place, -1, f.accelerators)
}

// numbering gives small numbers to names, in order of appearance from 1.
type numbering struct{ names map[string]uint16 }

func (n *numbering) number(name string) uint16 {
	if n.names == nil {
		n.names = make(map[string]uint16)
	}
	if _, ok := n.names[name]; !ok {
		n.names[name] = uint16(len(n.names) + 1)
	}
	return n.names[name]
}
