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
	Name       string      // process name, part of the incarnation
	Domain     string      // failure domain of this VM
	Address    string      // host and port at which guards connect
	Seed       uint64      // of the machine's random choices
	Timing     runs.Timing // the default if zero
	Clock      Clock
	Metrics    *telemetry.Registry
	Log        *log.Logger
	RoutineLog *log.Logger // for lines about normal operation; Log if nil
	// Apply validates and activates a configuration document; an error leaves the previous
	// one active. Calls are serialized and versions increase.
	Apply func(version int64, document []byte) error
}

// Entry runs the jobs of callers on the workers of its guards; a caller gets the response
// when its job has ended. All methods are safe for concurrent use. Lock order: configMu,
// then mu.
type Entry struct {
	opt EntryOptions
	id  identity.Incarnation
	// startedAt is when the entry was created.
	startedAt time.Duration

	mu             sync.Mutex
	machine        *batch.Machine
	links          map[identity.Incarnation]wire.Link
	waiters        map[string][]*waiter
	acceptSlots    chan struct{} // one element for each link that is being accepted
	known          addressList   // addresses of all entries, this one included
	small          smallServices
	relayedCrashes []relayedCrash // latest, oldest first
	queries        queries
	outgoingCopies outgoingCopies
	deadlineTimer  *deadlineTimer
	lastHeartbeat  time.Duration // last time recorded by RunHeartbeat; 0 if it does not run
	resumedAt      time.Duration // when the end of a freeze was last detected; 0 if never

	configMu        sync.Mutex
	configVersion   int64 // of the active configuration; 0 before the first
	configDocument  []byte
	configAppliedAt time.Duration
	newerConfig     newerConfig
	drains          entryDrains
	unknownOrders   []string // keys of operator orders that this version does not support
}

// waiter is a caller's request that waits for the outcome of a job.
type waiter struct {
	outcome   chan *batch.Outcome
	startedAt time.Duration
}

// NewEntry returns an entry without links to guards and without a configuration.
func NewEntry(opt EntryOptions) *Entry {
	if opt.RoutineLog == nil {
		opt.RoutineLog = opt.Log
	}
	opt.Timing = opt.Timing.OrDefault()
	e := &Entry{
		opt:            opt,
		id:             identity.NewIncarnation(opt.Name),
		startedAt:      opt.Clock(),
		machine:        batch.New(opt.Clock(), batch.Options{Domain: opt.Domain, Seed: opt.Seed, Timing: opt.Timing, Disabled: policy.Linked()}),
		links:          make(map[identity.Incarnation]wire.Link),
		waiters:        make(map[string][]*waiter),
		acceptSlots:    make(chan struct{}, maxConcurrentAccepts),
		known:          newAddressList([]string{opt.Address}),
		queries:        queries{pending: make(map[uint64]*query)},
		outgoingCopies: outgoingCopies{inProgress: make(map[wire.Link]*outgoingCopy)},
	}
	e.deadlineTimer = newDeadlineTimer(opt.Clock, func() {
		e.step(func(now time.Duration, m *batch.Machine) { m.Tick(now) })
	})
	return e
}

// ID returns the incarnation of this entry.
func (e *Entry) ID() identity.Incarnation { return e.id }

// step passes one event to the machine and executes the resulting actions.
func (e *Entry) step(event func(now time.Duration, m *batch.Machine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepLocked(event)
}

func (e *Entry) stepLocked(event func(now time.Duration, m *batch.Machine)) {
	now := e.opt.Clock()
	e.detectFreeze(now)
	before := e.machine.LinkRate()
	event(now, e.machine)
	if rate := e.machine.LinkRate(); rate != before {
		e.reportLinkRate(before, rate)
	}
	for _, action := range e.machine.Actions(now) {
		e.execute(now, &action)
	}
	e.deadlineTimer.set(e.machine.NextTick())
}

// reportLinkRate publishes the measured bandwidth of the uplink, and logs when a limit is newly
// detected.
func (e *Entry) reportLinkRate(before, rate int64) {
	e.opt.Metrics.Set(telemetry.LinkBandwidth, rate)
	if before == 0 {
		e.opt.Log.Info("uplink bandwidth is limited", "link_rate", rate)
	}
}

func (e *Entry) execute(now time.Duration, action *batch.Action) {
	switch {
	case action.Finish != nil:
		e.finishJob(now, action.Finish)
	case action.CloseLink:
		e.opt.Log.Warn("guard timed out", "guard", action.Guard)
		e.opt.Metrics.Inc(telemetry.GuardsLost)
		e.closeLink(action.Guard, "silent")
	case action.Frame != nil:
		e.sendToGuard(action.Guard, action.Frame)
	}
}

// sendToGuard sends a frame if the guard is linked. Send errors are only logged: the reader
// of the link detects its loss and notifies the machine. mu must be held.
func (e *Entry) sendToGuard(guard identity.Incarnation, f *wire.Frame) {
	link := e.links[guard]
	if link == nil {
		return
	}
	if f.RunTasks != nil {
		e.opt.Metrics.Add(telemetry.TasksStarted, int64(len(f.RunTasks.Tasks)))
	}
	if err := link.Send(f); err != nil {
		e.opt.Log.Warn("frame not sent", "guard", guard, "err", err)
	}
}

// sendDirect sends a frame that the machine did not produce, and has the machine account for
// its bytes on the uplink. mu must be held.
func (e *Entry) sendDirect(link wire.Link, f *wire.Frame) {
	e.machine.RecordExternalFrame(e.opt.Clock(), f)
	_ = link.Send(f) // the reader of the link detects its loss
}

func (e *Entry) closeLink(guard identity.Incarnation, reason string) {
	if link := e.links[guard]; link != nil {
		delete(e.links, guard)
		delete(e.outgoingCopies.inProgress, link)
		link.Close(reason)
	}
}

func (e *Entry) finishJob(now time.Duration, out *batch.Outcome) {
	waiting := e.waiters[out.ID]
	delete(e.waiters, out.ID)
	e.countOutcome(out)
	for _, w := range waiting {
		e.opt.Metrics.Observe(telemetry.JobLatency, now-w.startedAt)
		w.outcome <- out
	}
	e.logOutcome(now, out)
}

// logOutcome logs the outcome of a job: one line if it is complete, and otherwise also one
// line per decision about it. The decisions are buffered until the job ends, because only
// then is it known whether it failed, and logging them for every job would cost more than
// running the jobs.
func (e *Entry) logOutcome(now time.Duration, out *batch.Outcome) {
	if out.Err == nil {
		e.opt.RoutineLog.Info("job ended", "job", out.ID, "request", out.Job.Request, "outcome", "complete", "took", now-out.Events[0].At, "events", len(out.Events))
		return
	}
	for i := range out.Events {
		event := &out.Events[i]
		e.opt.Log.Info(event.Decision.String(), "job", out.ID, "ago", now-event.At, "guard", event.Guard, "tasks", event.Tasks,
			"outcome", event.Kind, "free", event.Free, "age", event.Age, "wait", event.ExpectedWait, "goal", event.TargetDuration)
	}
	e.opt.Log.Info("job ended", "job", out.ID, "request", out.Job.Request, "queue", out.Job.Queue.Name, "outcome", out.Err.Kind, "ran", out.Err.Ran, "cause", out.Err.Detail, "took", now-out.Events[0].At)
}

func (e *Entry) countOutcome(out *batch.Outcome) {
	switch {
	case out.Err == nil:
		e.opt.Metrics.Inc(telemetry.JobsAnswered)
	case out.Err.Kind == errkind.Cancelled:
		e.opt.Metrics.Inc(telemetry.JobsCancelled)
	default:
		e.opt.Metrics.Inc(telemetry.JobsFailed)
	}
}

// Submit runs a job and returns its outcome. timeout is how long the caller waits. If the
// job is already queued or running, the request joins it; if it is complete or has failed
// permanently, the same outcome is returned again. A job whose request may have been delayed
// (HeldUp) is refused if another entry runs it. If ctx ends first, Submit returns nil and
// the job is cancelled, unless another request waits for it.
func (e *Entry) Submit(ctx context.Context, job *batch.Job, timeout time.Duration) *batch.Outcome {
	if !e.waitAfterResume(ctx) {
		return nil
	}
	if job.HeldUp && e.runsElsewhere(ctx, job.ID) {
		e.logNotStarted(job, "another entry runs it")
		return &batch.Outcome{ID: job.ID, Err: errkind.New(errkind.OutcomeUnknown, "another entry runs the job")}
	}
	if ctx.Err() != nil {
		return nil
	}
	w, out := e.submitOrJoin(job, timeout)
	if out != nil {
		return out
	}
	select {
	case out := <-w.outcome:
		return out
	case <-ctx.Done():
		e.abandon(job.ID, w)
		return nil
	}
}

// HandleCallerDisconnect logs and counts a request that is not started because its caller disconnected
// before the request was read.
func (e *Entry) HandleCallerDisconnect(job *batch.Job) {
	e.opt.Metrics.Inc(telemetry.CallersDisconnected)
	e.logNotStarted(job, "its caller has left")
}

func (e *Entry) logNotStarted(job *batch.Job, cause string) {
	e.opt.Log.Info("request not begun", "job", job.ID, "request", job.Request, "cause", cause)
}

func (e *Entry) submitOrJoin(job *batch.Job, timeout time.Duration) (*waiter, *batch.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := &waiter{outcome: make(chan *batch.Outcome, 1), startedAt: e.opt.Clock()}
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
		job.Deadline = now + timeout
		refused = m.Submit(now, job)
	})
	if refused != nil {
		delete(e.waiters, job.ID)
		e.opt.Metrics.CountRefusal(refused.Kind)
		s := e.machine.Snapshot(w.startedAt)
		e.opt.Log.Info("job refused", "job", job.ID, "request", job.Request, "queue", job.Queue.Name, "reason", refused.Kind, "cause", refused.Detail, "after", refused.After,
			"waiting", s.Waiting, "running", s.Running, "workers", s.Workers, "free", s.Free, "entries", s.Entries, "link_rate", s.LinkRate, "link_ahead", s.LinkBacklog)
		return nil, &batch.Outcome{ID: job.ID, Err: refused}
	}
	e.opt.Metrics.Inc(telemetry.JobsAccepted)
	return w, nil
}

// abandon removes a waiter from a job, and cancels the job if it was the last one.
func (e *Entry) abandon(id string, w *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var remaining []*waiter
	for _, other := range e.waiters[id] {
		if other != w {
			remaining = append(remaining, other)
		}
	}
	if len(remaining) > 0 {
		e.waiters[id] = remaining
		return
	}
	delete(e.waiters, id)
	e.stepLocked(func(now time.Duration, m *batch.Machine) { m.Cancel(now, id) })
}

// Cancel cancels a job and reports whether it was queued or running at this entry.
func (e *Entry) Cancel(id string) (found bool) {
	e.step(func(now time.Duration, m *batch.Machine) { found = m.Cancel(now, id) })
	return found
}

// State returns the state of a job at this entry.
func (e *Entry) State(id string) batch.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.State(id)
}

// Pending returns the number of jobs in a queue of which no task was sent to a worker yet.
func (e *Entry) Pending(queue string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, pending := e.machine.Jobs(queue)
	return pending
}

// OpenJobs returns the number of jobs without an outcome.
func (e *Entry) OpenJobs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	open, _ := e.machine.Jobs("")
	return open
}

// Workers returns the number of workers that accept tasks.
func (e *Entry) Workers() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Workers()
}

// AnswerAll fails every open job: its outcome is unknown unless nothing of it ran. If the
// process exited without it, the connections of the callers would break, and the callers
// could not determine whether their jobs had been read.
func (e *Entry) AnswerAll(reason string) {
	e.step(func(now time.Duration, m *batch.Machine) { m.AnswerAll(now, reason) })
}

// Close closes all links and stops the timer.
func (e *Entry) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.links {
		e.closeLink(id, "entry stops")
	}
	e.deadlineTimer.stop()
}
