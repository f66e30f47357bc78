package dispatch

import (
	"math/rand/v2"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// Core is the Machine of one service at one entry.
//
// It leaves Home of a wire.Start empty: the entry fills in its own incarnation
// when it carries out the action.
type Core struct {
	service string
	policy  Policy
	rng     *rand.Rand

	pool    sched.Pool // what decisions read; same places as guards
	guards  []*guard   // nil at unused places
	places  map[identity.Incarnation]int
	domains numbering
	racks   numbering

	jobs     map[JobID]*job
	flights  map[wire.Ref]*flight
	queue    sched.Queue[*task]
	aside    []*task        // tasks that no usable worker may take now
	sizes    []sched.Worker // sizes of workers seen so far
	classes  []*needClass   // tasks set apart until a worker has room for their need
	apart    int            // how many tasks those are
	timers   timerHeap
	runs     *sched.RunTimeStats
	rate     sched.StartRate
	budget   sched.RetryBudget
	buckets  map[string]*sched.TokenBucket
	arrivals uint64 // times that tasks began to wait
	owed     int    // offers that all guards still owe
	polling  bool   // a poll timer is set
	watching bool   // a watch timer is set

	actions, handed []Action
}

var _ Machine = (*Core)(nil)

// New returns the Core of service under p. seed fixes every random choice.
func New(service string, p Policy, seed uint64) *Core {
	return &Core{
		service: service,
		policy:  p,
		rng:     rand.New(rand.NewPCG(seed, 0)),
		places:  make(map[identity.Incarnation]int),
		jobs:    make(map[JobID]*job),
		flights: make(map[wire.Ref]*flight),
		runs:    sched.NewRunTimeStats(),
		budget:  sched.NewRetryBudget(),
		buckets: make(map[string]*sched.TokenBucket),
	}
}

// Actions implements Machine.
func (c *Core) Actions() []Action {
	out := c.actions
	c.actions, c.handed = c.handed[:0], out
	return out
}

// Jobs implements Machine.
func (c *Core) Jobs() int { return len(c.jobs) }

// Configure implements Machine.
func (c *Core) Configure(now time.Time, p Policy) {
	c.policy = p
	c.pump(now)
}

// Submit implements Machine.
func (c *Core) Submit(now time.Time, s *Spec) *errkind.Error {
	if err := c.admit(now, s); err != nil {
		return err
	}
	j := newJob(s, now)
	c.jobs[s.ID] = j
	j.deadline = c.timers.add(s.Deadline, timer{job: j})
	for i := range j.tasks {
		c.enqueue(&j.tasks[i])
	}
	c.arrivals++
	c.pump(now)
	return nil
}

// Cancel implements Machine.
func (c *Core) Cancel(now time.Time, id JobID) {
	if j := c.jobs[id]; j != nil {
		c.fail(now, j, failure{kind: errkind.Cancelled, detail: "the caller cancelled the job"})
		c.pump(now)
	}
}

// Tick implements Machine.
func (c *Core) Tick(now time.Time) {
	for {
		t, ok := c.timers.due(now)
		if !ok {
			break
		}
		c.expire(now, t)
	}
	c.pump(now)
}

// NextTick implements Machine.
func (c *Core) NextTick() time.Time { return c.timers.next() }

func (c *Core) expire(now time.Time, t *timer) {
	switch {
	case t.poll:
		c.poll(now)
	case t.job != nil:
		c.fail(now, t.job, failure{kind: errkind.DeadlineExpired, detail: "the deadline passed"})
	case t.task != nil && t.task.job.tasks != nil:
		c.retry(now, t.task)
	case t.probe && c.guards[t.guard.place] == t.guard:
		c.probe(t.guard)
	case t.watch:
		c.watch(now)
	case t.guard != nil && !t.probe:
		c.graceOver(now, t.guard, t.downs)
	}
}

func (c *Core) act(a Action) { c.actions = append(c.actions, a) }

// enqueue puts a task that has provably not started into the fair queue.
func (c *Core) enqueue(t *task) {
	t.state = waiting
	s := t.job.spec
	c.queue.Push(s.Team, c.policy.Teams[s.Team].Weight, sched.Item[*task]{Value: t, Due: t.due})
}

// pump sends waiting tasks for as long as a worker is believed to have a free
// slot or has offered one, and reserves slots for what is left.
func (c *Core) pump(now time.Time) {
	c.pumpApart(now)
	for c.queue.Len() > 0 && c.mayPlace() {
		t, ok := c.next(now)
		if !ok {
			break
		}
		need := t.job.spec.Need
		if need != (Need{}) && c.class(need) != nil {
			c.setApart(t) // behind its likes, which found no room
		} else if at := c.place(t); at != sched.NoWorker {
			c.send(now, t, at, 0)
		} else if need != (Need{}) {
			c.setApart(t)
		} else {
			c.aside = append(c.aside, t)
		}
	}
	for _, t := range c.aside {
		c.enqueue(t)
	}
	c.aside = c.aside[:0]
	if c.waitingTasks() == 0 {
		return
	}
	c.reserve(now)
	if !c.polling {
		c.polling = true
		c.timers.add(now.Add(pollEvery), timer{poll: true})
	}
}

// next takes the next task that still waits. A job whose time does not suffice
// even for a quick run is answered at once: a start would only cost others a
// slot.
func (c *Core) next(now time.Time) (*task, bool) {
	for {
		t, ok := c.queue.Pop()
		if !ok {
			return nil, false
		}
		if c.live(now, t) {
			return t, true
		}
	}
}

// live tells whether a task that waited is still to be run.
func (c *Core) live(now time.Time, t *task) bool {
	if t.state != waiting || t.job.tasks == nil {
		return false // its job was answered while it waited
	}
	if c.runs.HasEstimate() && t.job.spec.Deadline.Sub(now) < c.runs.P10 {
		c.fail(now, t.job, failure{kind: errkind.DeadlineExpired, detail: "no time is left to run the task"})
		return false
	}
	return true
}

// mayPlace tells whether place can succeed for a task without refusals.
func (c *Core) mayPlace() bool {
	switch c.policy.Placement {
	case LateBinding:
		return false
	case Chosen, LeastKnown:
		return c.pool.FleetStats.WithFreeSlot > 0
	}
	return c.pool.FleetStats.Usable > 0
}

// place chooses a worker for t, or sched.NoWorker.
func (c *Core) place(t *task) int {
	q := sched.PlacementRequest{Domain: c.domains.number(c.policy.Domain), Excluded: t.refused, JobLocations: t.job.held, Need: t.job.spec.Need}
	switch c.policy.Placement {
	case Random:
		return sched.RandomUsable(c.pool.Workers, &q, c.rng)
	case TwoChoices:
		return sched.LeastLoadedOfTwo(c.pool.Workers, &q, c.rng, false)
	case TwoChoicesLoad:
		return sched.LeastLoadedOfTwo(c.pool.Workers, &q, c.rng, true)
	}
	if q.Need.Accelerators > 0 && c.pool.FleetStats.WithIdleAccelerator == 0 || c.awaitsOffer(t) {
		return sched.NoWorker
	}
	return sched.LeastLoaded(c.pool.Workers, &q, c.rng)
}

// When a refused task is sent on reports again. Each refusal shuts one more
// guard for it, which matters in a small fleet; in a large one with many workers
// believed free, the next one takes it sooner than an offer comes.
const (
	mostRefusals = 4
	manyOpen     = 64 // workers with a slot believed free
)

// awaitsOffer tells whether t is bound by an offer only. The last guards that
// may still take it are told to keep it instead.
func (c *Core) awaitsOffer(t *task) bool {
	n := len(t.refused)
	if n == 0 || !c.reserves() || c.candidates(t, n+lastGuards+1)-n <= lastGuards {
		return false
	}
	return n >= mostRefusals || c.pool.FleetStats.WithFreeSlot < manyOpen
}

// Doubt about old load reports.
const (
	pollEvery = 10 * time.Millisecond
	staleLoad = 30 * time.Millisecond
)

// poll doubts old reports while tasks wait: each round takes one task off what
// a silent worker was reported to run for others. An entry that has no task of
// its own at a worker hears nothing from it; without this, one report of full
// workers would keep its queue waiting for good.
func (c *Core) poll(now time.Time) {
	c.polling = false
	c.forgetReservations(now)
	c.rate.EndInterval(now, c.queue.Len() > 0, c.nominalRate(&c.pool.FleetStats))
	for i, g := range c.guards {
		if w := c.pool.Workers[i]; g != nil && now.Sub(g.heard) > staleLoad && w.OtherTasks > 0 {
			w.OtherTasks--
			c.pool.Set(i, w)
		}
	}
}

// send hands t to the worker at place at. From here on the task may have
// started, until the guard's final word says that it did not.
func (c *Core) send(now time.Time, t *task, at int, offer uint64) {
	g := c.guards[at]
	t.state = sent
	start := c.start(now, t)
	start.Offered = offer
	c.flights[start.Ref] = &flight{ref: start.Ref, task: t, guard: g, sent: now, queued: start.WaitMs > 0, accelerators: t.job.spec.Need.Accelerators}
	c.addOwn(at, 1, t.job.spec.Need.Accelerators)
	t.job.held.Add(&c.pool.Workers[at])
	c.rate.RecordStart()
	if len(t.refused) == 0 {
		c.budget.AddFirstStart(c.policy.RetryRatio)
	}
	if !c.watching {
		c.watching = true
		c.timers.add(now.Add(watchEvery), timer{watch: true})
	}
	c.act(Action{Guard: g.incarnation, Start: start})
}

func (c *Core) start(now time.Time, t *task) *wire.Start {
	s := t.job.spec
	left := max(1, s.Deadline.Sub(now).Milliseconds())
	return &wire.Start{Ref: t.ref(), Of: len(t.job.tasks), LeftMs: left, WaitMs: c.waitMs(t, left), Body: s.Tasks[t.index]}
}

// waitMs tells how long the guard may let the task wait for a slot. A refusal
// is final for that guard, so the last guards that may still take the task are
// told to keep it; otherwise a task that was refused Busy everywhere could
// never run.
func (c *Core) waitMs(t *task, left int64) int64 {
	switch c.policy.Placement {
	case Random, TwoChoices, TwoChoicesLoad:
		return left
	}
	n := len(t.refused)
	if c.policy.Weighting == WeighMessages || c.candidates(t, n+lastGuards+1)-n <= lastGuards {
		return left
	}
	return 0
}
