package dispatch

import (
	"slices"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

type taskState uint8

const (
	waiting taskState = iota // provably not started
	sent                     // sent to a guard, result unknown
	done                     // result received
)

// task is one task of an unfinished job.
type task struct {
	job          *job
	index        int
	state        taskState
	due          int64   // sort key in its team's queue
	refusedBy    []int32 // worker indexes of guards that refused the task; a refusal is final
	result       TaskResult
	backoffCount int // delays caused by an exhausted retry budget
}

func (t *task) ref() wire.Ref {
	id := t.job.spec.ID
	return wire.Ref{Member: id.Member, Key: id.Key, Task: t.index}
}

func (t *task) wasRefusedBy(workerIndex int32) bool { return slices.Contains(t.refusedBy, workerIndex) }

// job is an admitted job without an outcome.
type job struct {
	spec           *Spec
	tasks          []task
	unfinished     int // number of tasks without a result
	longestRunTime time.Duration
	deadlineTimer  *timer
	locations      sched.LocationSet // failure domains and racks that its tasks were sent to
}

func newJob(s *Spec, now time.Time) *job {
	j := &job{spec: s, tasks: make([]task, len(s.Tasks)), unfinished: len(s.Tasks)}
	spacing := sched.TaskSpacing(s.Deadline.Sub(now), len(s.Tasks))
	for i := range j.tasks {
		due := now.Add(time.Duration(i) * spacing)
		j.tasks[i] = task{job: j, index: i, due: due.UnixNano()}
	}
	return j
}

// failure describes why a job failed. task and ran are valid only if hasTask is
// set; otherwise the cause concerns the job as a whole.
type failure struct {
	hasTask bool
	task    int
	kind    errkind.Kind
	ran     errkind.Ran
	detail  string
}

// failJob fails a whole job immediately and withdraws its remaining tasks.
// Waiting for the other tasks would only delay an answer that can no longer
// change.
func (d *Dispatcher) failJob(now time.Time, j *job, cause failure) {
	outcome := &Outcome{ID: j.spec.ID, LongestRunTime: j.longestRunTime}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state != done {
			outcome.Failures = append(outcome.Failures, taskFailure(t, cause))
		}
	}
	kind := cause.kind
	if kind == errkind.DeadlineExpired && !noneRan(j, outcome.Failures) {
		kind = errkind.TimedOut
	}
	outcome.Err = errkind.New(kind, "%s", cause.detail).WithRan(jobRan(j, outcome.Failures))
	for i := range j.tasks {
		d.withdrawTask(&j.tasks[i])
	}
	d.finishJob(j, outcome)
}

// taskFailure states what is known of a task without a result when its job
// fails. A task that was sent and has no result is reported as unknown: its
// guard may have started it, whatever the subsequent cancel achieves.
func taskFailure(t *task, cause failure) TaskFailure {
	f := TaskFailure{Task: t.index, Kind: cause.kind, Detail: cause.detail}
	switch {
	case cause.hasTask && cause.task == t.index:
		f.Ran = cause.ran
	case cause.hasTask:
		f.Kind, f.Detail = errkind.NotRun, "another task of the job failed"
		f.Ran = errkind.RanNo
	default:
		f.Ran = errkind.RanNo
	}
	if t.state != sent || cause.hasTask && cause.task == t.index {
		return f
	}
	f.Ran = errkind.RanUnknown
	switch f.Kind {
	case errkind.DeadlineExpired:
		f.Kind = errkind.TimedOut
	case errkind.NotRun:
		f.Kind = errkind.OutcomeUnknown
	}
	return f
}

// jobRan combines the state of all tasks: "no" only if no task ran.
func jobRan(j *job, failures []TaskFailure) errkind.Ran {
	if len(failures) < len(j.tasks) {
		return errkind.RanYes
	}
	ran := errkind.RanNo
	for _, f := range failures {
		if f.Ran == errkind.RanYes {
			return errkind.RanYes
		}
		if f.Ran == errkind.RanUnknown {
			ran = errkind.RanUnknown
		}
	}
	return ran
}

func noneRan(j *job, failures []TaskFailure) bool {
	return jobRan(j, failures) == errkind.RanNo
}

// succeedJob finishes a job after every task has a result.
func (d *Dispatcher) succeedJob(j *job) {
	outcome := &Outcome{ID: j.spec.ID, LongestRunTime: j.longestRunTime, Results: make([]TaskResult, len(j.tasks))}
	for i := range j.tasks {
		outcome.Results[i] = j.tasks[i].result
	}
	d.finishJob(j, outcome)
}

// finishJob removes a job and emits its outcome.
func (d *Dispatcher) finishJob(j *job, outcome *Outcome) {
	delete(d.jobs, outcome.ID)
	j.tasks = nil
	// A timer left in the heap would keep the bodies of all tasks in memory
	// until the deadline, up to a minute later: gigabytes at 5,000 jobs per
	// second.
	d.timers.remove(j.deadlineTimer)
	d.emit(Action{Finish: outcome})
}

// withdrawTask withdraws one task of a failed job. Its attempt remains until
// the guard sends a result, because the slot is in use until then.
func (d *Dispatcher) withdrawTask(t *task) {
	a := d.attempts[t.ref()]
	if a == nil {
		return // not sent, or the result was received
	}
	a.task = nil
	if a.canBeQueued && a.guard.isConnected {
		d.emit(Action{Guard: a.guard.incarnation, Cancel: &wire.Cancel{Ref: a.ref}})
	}
}
