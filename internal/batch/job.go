package batch

import (
	"slices"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/wire"
)

// job is a job that has not been answered.
type job struct {
	spec              *Job
	packedText        *wire.PackedText // its text; nil if packing saves nothing
	textSource        *guard           // whose guard has its text for others; nil for none
	seq               uint64           // order of arrival
	targetEnd         time.Duration    // by when it should end
	sendDeadline      time.Duration    // when it is refused if nothing of it was sent
	steps             []step
	activeRuns        []*activeRun
	events            []Event
	unfinished        int  // tasks that are not done
	waiting           int  // tasks that wait for room
	hasSentTasks      bool // a task was sent to a guard
	mayHaveRun        bool // a task was, or may have been, started
	isAnswered        bool // it was answered
	hasTriedPlacement bool // room was looked for, and some tasks found none
}

// step is the state of one step.
type step struct {
	spec       *Step
	stepIndex  int
	tasks      []task
	unfinished int // tasks that are not done
	waiting    []int
	at         map[*guard]int // tasks at each site
}

// task is the state of one task.
type task struct {
	runNumber  int64 // number of its last start
	failedRuns int   // runs that failed
	refusals   int
	crashes    int      // of workers where it ran or may have run
	wasMoved   bool     // a run of it was given back as too slow, or stood still
	avoid      []*guard // sites where it failed or was lost
}

// newJob takes a job whose longest chain of steps is expected to take chain. runNumber is
// the greatest number of an earlier run of its tasks.
func (m *Machine) newJob(spec *Job, now, criticalPath time.Duration, lastRun int64) *job {
	m.seq++
	j := &job{spec: spec, packedText: wire.PackText(spec.Text), seq: m.seq, steps: make([]step, len(spec.Steps))}
	j.targetEnd = now + targetDuration(spec.Queue, criticalPath)
	j.sendDeadline = now + m.maxWait(spec.Queue, criticalPath)
	for i := range spec.Steps {
		s := &j.steps[i]
		s.spec, s.stepIndex = &spec.Steps[i], i
		s.unfinished = s.spec.Count
		s.tasks = make([]task, s.spec.Count)
		for t := range s.tasks {
			s.tasks[t].runNumber = lastRun
			s.tasks[t].crashes = m.crashes.get(wire.TaskName{Job: spec.ID, Step: i, Index: t}).total()
		}
		s.at = make(map[*guard]int)
		j.unfinished += s.spec.Count
	}
	for i := range j.steps {
		j.releaseStep(&j.steps[i])
	}
	return j
}

// runNumber is the greatest number of a run of the job's tasks.
func (j *job) maxRun() int64 {
	highest := int64(0)
	for i := range j.steps {
		for t := range j.steps[i].tasks {
			highest = max(highest, j.steps[i].tasks[t].runNumber)
		}
	}
	return highest
}

func (j *job) addEvent(e Event) {
	if len(j.events) < maxEvents {
		j.events = append(j.events, e)
	}
}

// releaseStep lets the tasks of a step wait for room if all steps before are done.
func (j *job) releaseStep(s *step) {
	for _, dependency := range s.spec.After {
		if j.steps[dependency].unfinished > 0 {
			return
		}
	}
	s.waiting = make([]int, s.spec.Count)
	for i := range s.waiting {
		s.waiting[i] = i
	}
	j.waiting += s.spec.Count
}

// releaseDependents releases the steps that waited for a step.
func (j *job) releaseDependents(finished int) {
	for i := range j.steps {
		s := &j.steps[i]
		if slices.Contains(s.spec.After, finished) {
			j.releaseStep(s)
		}
	}
}

// requeueTask lets a task wait for room once more.
func (j *job) requeueTask(s *step, index int) {
	s.waiting = append(s.waiting, index)
	j.waiting++
}

// precedes orders jobs that wait: by priority, then by arrival.
func (j *job) precedes(other *job) bool {
	if j.spec.Queue.Priority != other.spec.Queue.Priority {
		return j.spec.Queue.Priority < other.spec.Queue.Priority
	}
	return j.seq < other.seq
}

func compareJobs(a, b *job) int {
	switch {
	case a == b:
		return 0
	case a.precedes(b):
		return -1
	}
	return 1
}

// newRefusal makes the error of a job of which no task was started.
func newRefusal(kind errkind.Kind, retryAfter time.Duration, format string, args ...any) *errkind.Error {
	return errkind.New(kind, format, args...).WithRan(errkind.RanNo).WithAfter(retryAfter)
}
