// Package meter counts what a dispatch machine does: starts, answers, refusals
// by guards, retries by reason, and how long jobs and tasks took. The machine
// itself stays free of figures, so that a replay of it counts nothing.
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

// machine passes every call on to the machine that it wraps. Like that one, it
// is used by one goroutine at a time.
type machine struct {
	dispatch.Machine
	figures *telemetry.Registry
	now     time.Time // of the latest call
	jobs    map[dispatch.JobID]*job
}

// job is an admitted job that has no outcome yet.
type job struct {
	admitted time.Time
	tasks    []task
}

// task is what was last heard of one task.
type task struct {
	state taskState
	why   errkind.Kind // of a refusal
}

type taskState uint8

const (
	waiting taskState = iota
	sent
	refused // finally, by the guard that it was sent to
	answered
)

// Wrap gives a machine that behaves as m and counts into figures.
func Wrap(m dispatch.Machine, figures *telemetry.Registry) dispatch.Machine {
	return &machine{Machine: m, figures: figures, jobs: make(map[dispatch.JobID]*job)}
}

// Submit implements dispatch.Machine.
func (m *machine) Submit(now time.Time, s *dispatch.Spec) *errkind.Error {
	m.now = now
	err := m.Machine.Submit(now, s)
	if err == nil {
		m.jobs[s.ID] = &job{admitted: now, tasks: make([]task, len(s.Tasks))}
	}
	return err
}

// Result implements dispatch.Machine.
func (m *machine) Result(now time.Time, g identity.Incarnation, r *wire.Result) {
	m.now = now
	switch t := m.task(r.Ref); {
	case t == nil || t.state != sent:
		// A repeated answer, or one to a job that has its outcome.
	case r.Kind == errkind.None:
		m.figures.Inc(telemetry.TasksAnswered)
		t.state = answered
	case r.Ran == errkind.RanNo:
		m.figures.Inc(telemetry.TasksNotStarted)
		t.state, t.why = refused, r.Kind
	}
	m.Machine.Result(now, g, r)
}

// GuardLeaving implements dispatch.Machine.
func (m *machine) GuardLeaving(now time.Time, g identity.Incarnation) {
	m.now = now
	m.figures.Inc(telemetry.GuardsLeft)
	m.Machine.GuardLeaving(now, g)
}

// GuardUp implements dispatch.Machine.
func (m *machine) GuardUp(now time.Time, h *wire.Hello) {
	m.now = now
	m.Machine.GuardUp(now, h)
}

// Offer implements dispatch.Machine.
func (m *machine) Offer(now time.Time, g identity.Incarnation, o *wire.Offer) {
	m.now = now
	m.Machine.Offer(now, g, o)
}

// Load implements dispatch.Machine.
func (m *machine) Load(now time.Time, g identity.Incarnation, l *wire.Load) {
	m.now = now
	m.Machine.Load(now, g, l)
}

// Tick implements dispatch.Machine.
func (m *machine) Tick(now time.Time) {
	m.now = now
	m.Machine.Tick(now)
}

// Actions implements dispatch.Machine.
func (m *machine) Actions() []dispatch.Action {
	actions := m.Machine.Actions()
	for i := range actions {
		switch a := &actions[i]; {
		case a.Start != nil:
			m.start(a.Start.Ref)
		case a.Finish != nil:
			m.finish(a.Finish.ID)
		}
	}
	return actions
}

func (m *machine) start(ref wire.Ref) {
	m.figures.Inc(telemetry.TasksStarted)
	t := m.task(ref)
	if t == nil {
		return
	}
	switch t.state {
	case waiting:
		admitted := m.jobs[idOf(ref)].admitted
		m.figures.Observe(telemetry.TaskQueueLatency, m.now.Sub(admitted))
	case sent:
		m.figures.Retried(telemetry.RetrySameGuard)
	case refused:
		m.figures.Retried(telemetry.RetryAfter(t.why))
	}
	t.state = sent
}

func (m *machine) finish(id dispatch.JobID) {
	if j := m.jobs[id]; j != nil {
		m.figures.Observe(telemetry.JobLatency, m.now.Sub(j.admitted))
		delete(m.jobs, id)
	}
}

// task finds a task of a job without an outcome, or nil.
func (m *machine) task(ref wire.Ref) *task {
	j := m.jobs[idOf(ref)]
	if j == nil || ref.Task < 0 || ref.Task >= len(j.tasks) {
		return nil
	}
	return &j.tasks[ref.Task]
}

func idOf(ref wire.Ref) dispatch.JobID { return dispatch.JobID{Member: ref.Member, Key: ref.Key} }
