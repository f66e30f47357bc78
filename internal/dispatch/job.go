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
	sent                     // with a guard, outcome unknown
	done                     // its result is here
)

// task is one task of an unfinished job.
type task struct {
	job      *job
	index    int
	state    taskState
	due      int64   // order in its team's queue
	refused  []int32 // places of guards that gave their final word
	result   TaskResult
	backoffs int // waits for the retry budget
}

func (t *task) ref() wire.Ref {
	id := t.job.spec.ID
	return wire.Ref{Member: id.Member, Key: id.Key, Task: t.index}
}

func (t *task) wasRefusedBy(place int32) bool { return slices.Contains(t.refused, place) }

// job is an accepted submission that has not been answered.
type job struct {
	spec     *Spec
	tasks    []task
	open     int // tasks without a result
	slowest  time.Duration
	deadline *timer
	held     sched.LocationSet // where its tasks were sent
}

func newJob(s *Spec, now time.Time) *job {
	j := &job{spec: s, tasks: make([]task, len(s.Tasks)), open: len(s.Tasks)}
	spacing := sched.Spacing(s.Deadline.Sub(now), len(s.Tasks))
	for i := range j.tasks {
		due := now.Add(time.Duration(i) * spacing)
		j.tasks[i] = task{job: j, index: i, due: due.UnixNano()}
	}
	return j
}

// failure is why a job failed. task and ran count only when known is set:
// otherwise the reason concerns the job as a whole.
type failure struct {
	known  bool
	task   int
	kind   errkind.Kind
	ran    errkind.Ran
	detail string
}

// fail answers a job as failed, as a whole and at once, and withdraws the rest
// of its tasks. Waiting for the others would hold back an answer that can no
// longer change.
func (c *Core) fail(now time.Time, j *job, why failure) {
	out := &Outcome{ID: j.spec.ID, Slowest: j.slowest}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state != done {
			out.Failures = append(out.Failures, taskFailure(t, why))
		}
	}
	kind := why.kind
	if kind == errkind.DeadlineExpired && !noneRan(j, out.Failures) {
		kind = errkind.TimedOut
	}
	out.Err = errkind.New(kind, "%s", why.detail).WithRan(jobRan(j, out.Failures))
	for i := range j.tasks {
		c.abandon(&j.tasks[i])
	}
	c.finish(j, out)
}

// taskFailure tells what is known of one task without a result at the moment
// its job fails. A task that was sent and not answered is unknown: its guard
// may have started it, whatever happens to the cancel that follows.
func taskFailure(t *task, why failure) TaskFailure {
	f := TaskFailure{Task: t.index, Kind: why.kind, Detail: why.detail}
	switch {
	case why.known && why.task == t.index:
		f.Ran = why.ran
	case why.known:
		f.Kind, f.Detail = errkind.NotRun, "another task of the job failed"
		f.Ran = errkind.RanNo
	default:
		f.Ran = errkind.RanNo
	}
	if t.state != sent || why.known && why.task == t.index {
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

// jobRan joins what is known of the tasks: "no" only when no task ran.
func jobRan(j *job, failures []TaskFailure) errkind.Ran {
	if len(failures) < len(j.tasks) {
		return errkind.RanYes
	}
	all := errkind.RanNo
	for _, f := range failures {
		if f.Ran == errkind.RanYes {
			return errkind.RanYes
		}
		if f.Ran == errkind.RanUnknown {
			all = errkind.RanUnknown
		}
	}
	return all
}

func noneRan(j *job, failures []TaskFailure) bool {
	return jobRan(j, failures) == errkind.RanNo
}

// succeed answers a job whose every task has a result.
func (c *Core) succeed(j *job) {
	out := &Outcome{ID: j.spec.ID, Slowest: j.slowest, Results: make([]TaskResult, len(j.tasks))}
	for i := range j.tasks {
		out.Results[i] = j.tasks[i].result
	}
	c.finish(j, out)
}

func (c *Core) finish(j *job, out *Outcome) {
	delete(c.jobs, out.ID)
	j.tasks = nil
	// Left to run out, the timer would hold every task's body until a deadline
	// that may be a minute away: at 5,000 jobs a second, gigabytes.
	c.timers.remove(j.deadline)
	c.act(Action{Finish: out})
}

// abandon withdraws one task of a failed job. A flight stays on the books until
// its guard answers, since the slot is taken until then.
func (c *Core) abandon(t *task) {
	f := c.flights[t.ref()]
	if f == nil {
		return // not sent, or answered
	}
	f.task = nil
	if f.queued && f.guard.up {
		c.act(Action{Guard: f.guard.incarnation, Cancel: &wire.Cancel{Ref: f.ref}})
	}
}
