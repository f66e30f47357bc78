// Package meter counts the operations of a dispatch.Machine: starts, results,
// refusals by guards, retries by reason, and the latencies of jobs and tasks.
// The state machine itself updates no metrics, so that a replay of it counts
// nothing.
//
// The package may import dispatch, errkind, identity, telemetry and wire.
package meter

import (
	"time"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// countingMachine forwards every call to the wrapped Machine. Like the wrapped
// one, it must be used by one goroutine at a time.
type countingMachine struct {
	dispatch.Machine
	metrics *telemetry.Registry
	now     time.Time // time of the latest call
	jobs    map[dispatch.JobID]*job
}

// job is an admitted job without an outcome.
type job struct {
	admitted time.Time
	tasks    []task
}

// task is the latest known state of one task.
type task struct {
	state       taskState
	refusalKind errkind.Kind // kind of the latest refusal
}

type taskState uint8

const (
	waiting taskState = iota
	sent
	refused // by the guard that it was sent to; the guard will not start it later
	answered
)

// Wrap returns a Machine that behaves like m and counts into metrics.
func Wrap(m dispatch.Machine, metrics *telemetry.Registry) dispatch.Machine {
	return &countingMachine{Machine: m, metrics: metrics, jobs: make(map[dispatch.JobID]*job)}
}

// Submit implements dispatch.Machine.
func (m *countingMachine) Submit(now time.Time, s *dispatch.Spec) *errkind.Error {
	m.now = now
	err := m.Machine.Submit(now, s)
	if err == nil {
		m.jobs[s.ID] = &job{admitted: now, tasks: make([]task, len(s.Tasks))}
	}
	return err
}

// Result implements dispatch.Machine.
func (m *countingMachine) Result(now time.Time, g identity.Incarnation, r *wire.Result) {
	m.now = now
	switch t := m.task(r.Ref); {
	case t == nil || t.state != sent:
		// A duplicate result, or one for a job that has its outcome.
	case r.Kind == errkind.None:
		m.metrics.Inc(telemetry.TasksAnswered)
		t.state = answered
	case r.Ran == errkind.RanNo:
		m.metrics.Inc(telemetry.TasksNotStarted)
		t.state, t.refusalKind = refused, r.Kind
	}
	m.Machine.Result(now, g, r)
}

// GuardDraining implements dispatch.Machine.
func (m *countingMachine) GuardDraining(now time.Time, g identity.Incarnation) {
	m.now = now
	m.metrics.Inc(telemetry.GuardsLeft)
	m.Machine.GuardDraining(now, g)
}

// GuardConnected implements dispatch.Machine.
func (m *countingMachine) GuardConnected(now time.Time, h *wire.Hello) {
	m.now = now
	m.Machine.GuardConnected(now, h)
}

// Offer implements dispatch.Machine.
func (m *countingMachine) Offer(now time.Time, g identity.Incarnation, o *wire.Offer) {
	m.now = now
	m.Machine.Offer(now, g, o)
}

// Load implements dispatch.Machine.
func (m *countingMachine) Load(now time.Time, g identity.Incarnation, l *wire.Load) {
	m.now = now
	m.Machine.Load(now, g, l)
}

// Tick implements dispatch.Machine.
func (m *countingMachine) Tick(now time.Time) {
	m.now = now
	m.Machine.Tick(now)
}

// Actions implements dispatch.Machine.
func (m *countingMachine) Actions() []dispatch.Action {
	actions := m.Machine.Actions()
	for i := range actions {
		switch a := &actions[i]; {
		case a.Start != nil:
			m.recordStart(a.Start.Ref)
		case a.Finish != nil:
			m.recordFinish(a.Finish.ID)
		}
	}
	return actions
}

func (m *countingMachine) recordStart(ref wire.Ref) {
	m.metrics.Inc(telemetry.TasksStarted)
	t := m.task(ref)
	if t == nil {
		return
	}
	switch t.state {
	case waiting:
		admitted := m.jobs[jobIDOf(ref)].admitted
		m.metrics.Observe(telemetry.TaskQueueLatency, m.now.Sub(admitted))
	case sent:
		m.metrics.CountRetry(telemetry.RetrySameGuard)
	case refused:
		m.metrics.CountRetry(telemetry.RetryAfter(t.refusalKind))
	}
	t.state = sent
}

func (m *countingMachine) recordFinish(id dispatch.JobID) {
	if j := m.jobs[id]; j != nil {
		m.metrics.Observe(telemetry.JobLatency, m.now.Sub(j.admitted))
		delete(m.jobs, id)
	}
}

// task returns a task of a job without an outcome, or nil.
func (m *countingMachine) task(ref wire.Ref) *task {
	j := m.jobs[jobIDOf(ref)]
	if j == nil || ref.Task < 0 || ref.Task >= len(j.tasks) {
		return nil
	}
	return &j.tasks[ref.Task]
}

func jobIDOf(ref wire.Ref) dispatch.JobID { return dispatch.JobID{Member: ref.Member, Key: ref.Key} }
