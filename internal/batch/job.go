package batch

import (
	"slices"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/wire"
)

// job is a job that has not been answered.
type job struct {
	spec    *Job
	packed  *wire.PackedText // its text; nil if packing saves nothing
	source  *site            // whose guard has its text for others; nil for none
	seq     uint64           // order of arrival
	goal    time.Duration    // by when it should end
	sendBy  time.Duration    // when it is refused if nothing of it was sent
	steps   []step
	flights []*flight
	story   []Event
	open    int  // tasks that are not done
	waiting int  // tasks that wait for room
	sent    bool // a task was sent to a guard
	ran     bool // a task was, or may have been, started
	done    bool // it was answered
	tried   bool // room was looked for, and some tasks found none
}

// step is the state of one step.
type step struct {
	spec    *Step
	number  int
	tasks   []task
	open    int // tasks that are not done
	waiting []int
	at      map[*site]int // tasks at each site
}

// task is the state of one task.
type task struct {
	run      int64 // number of its last start
	failed   int   // runs that failed
	refusals int
	crashes  int     // of workers where it ran or may have run
	moved    bool    // a run of it was given back as too slow, or stood still
	avoid    []*site // sites where it failed or was lost
}

// newJob takes a job whose longest chain of steps is expected to take chain. lastRun is
// the greatest number of an earlier run of its tasks.
func (m *Machine) newJob(spec *Job, now, chain time.Duration, lastRun int64) *job {
	m.seq++
	j := &job{spec: spec, packed: wire.PackText(spec.Text), seq: m.seq, steps: make([]step, len(spec.Steps))}
	j.goal = now + goalOf(spec.Queue, chain)
	j.sendBy = now + m.mostWait(spec.Queue, chain)
	for i := range spec.Steps {
		s := &j.steps[i]
		s.spec, s.number = &spec.Steps[i], i
		s.open = s.spec.Count
		s.tasks = make([]task, s.spec.Count)
		for t := range s.tasks {
			s.tasks[t].run = lastRun
			s.tasks[t].crashes = m.crashes.of(wire.TaskName{Job: spec.ID, Step: i, Index: t}).all()
		}
		s.at = make(map[*site]int)
		j.open += s.spec.Count
	}
	for i := range j.steps {
		j.release(&j.steps[i])
	}
	return j
}

// lastRun is the greatest number of a run of the job's tasks.
func (j *job) lastRun() int64 {
	last := int64(0)
	for i := range j.steps {
		for t := range j.steps[i].tasks {
			last = max(last, j.steps[i].tasks[t].run)
		}
	}
	return last
}

func (j *job) note(e Event) {
	if len(j.story) < mostEvents {
		j.story = append(j.story, e)
	}
}

// release lets the tasks of a step wait for room if all steps before are done.
func (j *job) release(s *step) {
	for _, before := range s.spec.After {
		if j.steps[before].open > 0 {
			return
		}
	}
	s.waiting = make([]int, s.spec.Count)
	for i := range s.waiting {
		s.waiting[i] = i
	}
	j.waiting += s.spec.Count
}

// stepDone releases the steps that waited for a step.
func (j *job) stepDone(done int) {
	for i := range j.steps {
		s := &j.steps[i]
		if slices.Contains(s.spec.After, done) {
			j.release(s)
		}
	}
}

// again lets a task wait for room once more.
func (j *job) again(s *step, index int) {
	s.waiting = append(s.waiting, index)
	j.waiting++
}

// before orders jobs that wait: by priority, then by arrival.
func (j *job) before(o *job) bool {
	if j.spec.Queue.Priority != o.spec.Queue.Priority {
		return j.spec.Queue.Priority < o.spec.Queue.Priority
	}
	return j.seq < o.seq
}

func compareJobs(a, b *job) int {
	switch {
	case a == b:
		return 0
	case a.before(b):
		return -1
	}
	return 1
}

// refusal makes the error of a job of which no task was started.
func refusal(kind errkind.Kind, after time.Duration, format string, args ...any) *errkind.Error {
	return errkind.New(kind, format, args...).WithRan(errkind.RanNo).WithAfter(after)
}
