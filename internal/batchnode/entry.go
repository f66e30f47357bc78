package batchnode

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"wigeontray/internal/batch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/policy"
	"wigeontray/internal/runs"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// EntryOptions configures an Entry.
type EntryOptions struct {
	Name    string // of the process, for its incarnation
	Domain  string // failure domain
	Address string // where guards reach it
	Seed    uint64
	Timing  runs.Timing // that for the default if left out
	Clock   Clock
	Metrics *telemetry.Registry
	Log     *log.Logger
	Routine *log.Logger // for lines that tell of nothing unusual; Log if nil
	// Apply puts a document of the operators in force, or tells why it cannot be.
	// Calls come one at a time, with growing versions.
	Apply func(version int64, document []byte) error
}

// Entry serves jobs that are answered when they end. Its methods may be called
// from many goroutines. Lock order: configMu, then mu.
type Entry struct {
	opt EntryOptions
	id  identity.Incarnation

	mu      sync.Mutex
	machine *batch.Machine
	links   map[identity.Incarnation]wire.Link
	waiters map[string][]*waiter
	known   []string // addresses of entries
	queries queries
	copies  copies // of the configuration
	alarm   *alarm
	beat    time.Duration // when this process was last seen to run
	woke    time.Duration // when it was last found to have been frozen

	configMu sync.Mutex
	version  int64 // in force; 0 before the first
	document []byte
	inForce  time.Duration // since when
	offered  offered
	drains   entryDrains
	unknown  []string // keys of orders that this version does not know
}

// waiter is a caller's request that waits for the answer of a job.
type waiter struct {
	answer chan *batch.Outcome
	began  time.Duration
}

// NewEntry returns an entry without guards and configuration.
func NewEntry(opt EntryOptions) *Entry {
	if opt.Routine == nil {
		opt.Routine = opt.Log
	}
	opt.Timing = opt.Timing.OrDefault()
	e := &Entry{
		opt:     opt,
		id:      identity.NewIncarnation(opt.Name),
		machine: batch.New(opt.Clock(), batch.Options{Domain: opt.Domain, Seed: opt.Seed, Timing: opt.Timing, Off: policy.Linked()}),
		links:   make(map[identity.Incarnation]wire.Link),
		waiters: make(map[string][]*waiter),
		known:   []string{opt.Address},
		queries: queries{open: make(map[uint64]*query)},
		copies:  copies{sending: make(map[wire.Link]*outCopy)},
	}
	e.alarm = newAlarm(opt.Clock, func() {
		e.step(func(now time.Duration, m *batch.Machine) { m.Tick(now) })
	})
	return e
}

// ID is the incarnation of this entry.
func (e *Entry) ID() identity.Incarnation { return e.id }

// step lets the machine take one event and carries out what follows.
func (e *Entry) step(event func(now time.Duration, m *batch.Machine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepLocked(event)
}

func (e *Entry) stepLocked(event func(now time.Duration, m *batch.Machine)) {
	now := e.opt.Clock()
	e.checkStall(now)
	before := e.machine.LinkRate()
	event(now, e.machine)
	if rate := e.machine.LinkRate(); rate != before {
		e.noteLink(before, rate)
	}
	for _, a := range e.machine.Actions(now) {
		e.carryOut(now, &a)
	}
	e.alarm.set(e.machine.NextTick())
}

// noteLink tells of what the link has been found to bear.
func (e *Entry) noteLink(before, rate int64) {
	e.opt.Metrics.Set(telemetry.LinkRate, rate)
	if before == 0 {
		e.opt.Log.Info("link is thin", "link_rate", rate)
	}
}

func (e *Entry) carryOut(now time.Duration, a *batch.Action) {
	switch {
	case a.Finish != nil:
		e.finish(now, a.Finish)
	case a.Drop:
		e.opt.Log.Warn("guard is silent", "guard", a.Guard)
		e.opt.Metrics.Inc(telemetry.GuardsLost)
		e.unlink(a.Guard, "silent")
	case a.Frame != nil:
		e.post(a.Guard, a.Frame)
	}
}

// post sends a frame if the guard has a link. A lost link is noticed by its
// reader, which tells the machine.
func (e *Entry) post(to identity.Incarnation, f *wire.Frame) {
	link := e.links[to]
	if link == nil {
		return
	}
	if f.RunTasks != nil {
		e.opt.Metrics.Add(telemetry.TasksStarted, int64(len(f.RunTasks.Tasks)))
	}
	if err := link.Send(f); err != nil {
		e.opt.Log.Warn("frame not sent", "guard", to, "err", err)
	}
}

// sendBeside sends a frame that the machine does not know of. mu is held.
func (e *Entry) sendBeside(link wire.Link, f *wire.Frame) {
	e.machine.Beside(e.opt.Clock(), f)
	_ = link.Send(f) // a lost link is noticed by its reader
}

func (e *Entry) unlink(guard identity.Incarnation, why string) {
	if link := e.links[guard]; link != nil {
		delete(e.links, guard)
		delete(e.copies.sending, link)
		link.Close(why)
	}
}

func (e *Entry) finish(now time.Duration, out *batch.Outcome) {
	waiting := e.waiters[out.ID]
	delete(e.waiters, out.ID)
	e.count(out)
	for _, w := range waiting {
		e.opt.Metrics.Observe(telemetry.JobLatency, now-w.began)
		w.answer <- out
	}
	e.tell(now, out)
}

// tell writes the story of a job: one line if it is complete, and one for each
// decision if it is not. The decisions are kept until then, as which jobs will fail
// shows only at their end, and lines for all would cost more than the work.
func (e *Entry) tell(now time.Duration, out *batch.Outcome) {
	if out.Err == nil {
		e.opt.Routine.Info("job ended", "job", out.ID, "request", out.Job.Request, "outcome", "complete", "took", now-out.Story[0].At, "events", len(out.Story))
		return
	}
	for i := range out.Story {
		s := &out.Story[i]
		e.opt.Log.Info(s.What.String(), "job", out.ID, "ago", now-s.At, "guard", s.Guard, "tasks", s.Tasks,
			"outcome", s.Kind, "free", s.Free, "age", s.Age, "wait", s.Wait, "goal", s.Goal)
	}
	e.opt.Log.Info("job ended", "job", out.ID, "request", out.Job.Request, "queue", out.Job.Queue.Name, "outcome", out.Err.Kind, "ran", out.Err.Ran, "cause", out.Err.Detail, "took", now-out.Story[0].At)
}

func (e *Entry) count(out *batch.Outcome) {
	switch {
	case out.Err == nil:
		e.opt.Metrics.Inc(telemetry.JobsAnswered)
	case out.Err.Kind == errkind.Cancelled:
		e.opt.Metrics.Inc(telemetry.JobsCancelled)
	default:
		e.opt.Metrics.Inc(telemetry.JobsFailed)
	}
}

// Submit runs a job and returns its outcome. left is how long the caller waits.
// A job that is under way already is joined, and one that is complete or has
// failed for good gets the same answer again. If ctx ends first, nobody waits for
// the answer, and the job is withdrawn unless another request has joined it.
func (e *Entry) Submit(ctx context.Context, job *batch.Job, left time.Duration) *batch.Outcome {
	if !e.afterWake(ctx) {
		return nil
	}
	if job.HeldUp && e.runsElsewhere(ctx, job.ID) {
		e.notBegun(job, "another entry runs it")
		return &batch.Outcome{ID: job.ID, Err: errkind.New(errkind.OutcomeUnknown, "another entry runs the job")}
	}
	if ctx.Err() != nil {
		return nil
	}
	w, out := e.begin(job, left)
	if out != nil {
		return out
	}
	select {
	case out := <-w.answer:
		return out
	case <-ctx.Done():
		e.abandon(job.ID, w)
		return nil
	}
}

// CallerLeft notes a request that is not begun, as its caller had left before it was
// read.
func (e *Entry) CallerLeft(job *batch.Job) {
	e.opt.Metrics.Inc(telemetry.CallersGone)
	e.notBegun(job, "its caller has left")
}

func (e *Entry) notBegun(job *batch.Job, cause string) {
	e.opt.Log.Info("request not begun", "job", job.ID, "request", job.Request, "cause", cause)
}

func (e *Entry) begin(job *batch.Job, left time.Duration) (*waiter, *batch.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := &waiter{answer: make(chan *batch.Outcome, 1), began: e.opt.Clock()}
	switch e.machine.State(job.ID) {
	case batch.Queued, batch.Running:
		e.opt.Metrics.Inc(telemetry.JobsResubmitted)
		e.waiters[job.ID] = append(e.waiters[job.ID], w)
		return w, nil
	case batch.Complete:
		e.opt.Metrics.Inc(telemetry.JobsResubmitted)
		return nil, &batch.Outcome{ID: job.ID}
	case batch.Failed:
		e.opt.Metrics.Inc(telemetry.JobsResubmitted)
		return nil, &batch.Outcome{ID: job.ID, Err: errkind.New(errkind.UpstreamFailed, "the job has failed before")}
	}
	var refused *errkind.Error
	e.waiters[job.ID] = append(e.waiters[job.ID], w)
	e.stepLocked(func(now time.Duration, m *batch.Machine) {
		job.Deadline = now + left
		refused = m.Submit(now, job)
	})
	if refused != nil {
		delete(e.waiters, job.ID)
		e.opt.Metrics.Refused(refused.Kind)
		s := e.machine.Snapshot(w.began)
		e.opt.Log.Info("job refused", "job", job.ID, "request", job.Request, "queue", job.Queue.Name, "reason", refused.Kind, "cause", refused.Detail, "after", refused.After,
			"waiting", s.Waiting, "running", s.Running, "workers", s.Workers, "free", s.Free, "entries", s.Entries, "link_rate", s.LinkRate, "link_ahead", s.LinkAhead)
		return nil, &batch.Outcome{ID: job.ID, Err: refused}
	}
	e.opt.Metrics.Inc(telemetry.JobsAccepted)
	return w, nil
}

// abandon takes back one caller's interest in a job.
func (e *Entry) abandon(id string, w *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var rest []*waiter
	for _, o := range e.waiters[id] {
		if o != w {
			rest = append(rest, o)
		}
	}
	if len(rest) > 0 {
		e.waiters[id] = rest
		return
	}
	delete(e.waiters, id)
	e.stepLocked(func(now time.Duration, m *batch.Machine) { m.Cancel(now, id) })
}

// Cancel withdraws a job and tells whether it was under way here.
func (e *Entry) Cancel(id string) (found bool) {
	e.step(func(now time.Duration, m *batch.Machine) { found = m.Cancel(now, id) })
	return found
}

// State tells what is known of a job.
func (e *Entry) State(id string) batch.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.State(id)
}

// Pending counts a queue's jobs of which no task has been sent to a worker.
func (e *Entry) Pending(queue string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, pending := e.machine.Jobs(queue)
	return pending
}

// Open counts the jobs that are not answered.
func (e *Entry) Open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	open, _ := e.machine.Jobs("")
	return open
}

// Workers counts the workers that may be given tasks.
func (e *Entry) Workers() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Workers()
}

// AnswerAll answers every job. A process that ends without would cut its callers
// off, and they could not tell whether their jobs had been read.
func (e *Entry) AnswerAll(why string) {
	e.step(func(now time.Duration, m *batch.Machine) { m.AnswerAll(now, why) })
}

// Close ends all links and timers.
func (e *Entry) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.links {
		e.unlink(id, "entry stops")
	}
	e.alarm.stop()
}
