package batch

import (
	"slices"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/wire"
)

// job is the state of a job that has not been answered.
type job struct {
	spec              *Job
	packedText        *wire.PackedText // compressed text; nil if compression saves nothing
	textSource        *guard           // guard from which other guards fetch the text; nil for none
	arrivedAt         time.Duration
	seq               uint64        // order of arrival
	targetEnd         time.Duration // time at which it should end
	sendDeadline      time.Duration // time at which it is refused if no task was sent
	holdUntil         time.Duration // time until which its first task may wait for a worker that is fast enough
	isHeld            bool          // a task waits although a worker that is too slow has room
	steps             []step
	activeRuns        []*activeRun
	events            []Event
	unfinished        int  // tasks not completed
	waiting           int  // tasks that wait for placement
	hasSentTasks      bool // a task was sent to a guard
	mayHaveRun        bool // a task was, or may have been, started
	isAnswered        bool // its Finish action was issued
	isOverShare       bool // it is beyond its caller's share
	hasTriedPlacement bool // placement was attempted; tasks still waiting found no room
}

// step is the state of one step of a job.
type step struct {
	spec       *Step
	stepIndex  int
	tasks      []task
	unfinished int            // tasks not completed
	waiting    []int          // indexes of tasks that wait for placement
	at         map[*guard]int // number of active runs at each guard
}

// task is the state of one task.
type task struct {
	runNumber    int64    // number of its latest run
	failedRuns   int      // failed runs, limited by Queue.MaxAttempts
	refusals     int      // lost or refused runs, limited by maxRefusals
	crashes      int      // crashes of workers where it ran or may have run
	wasRelocated bool     // a run was returned because it was too slow or made no progress
	avoid        []*guard // guards where a run failed, was refused or was lost
}

// newJob returns the state of a new job. criticalPath is the expected length of its longest chain
// of steps; lastRun is the highest run number that its tasks had in an earlier submission.
func (m *Machine) newJob(spec *Job, now, criticalPath time.Duration, lastRun int64) *job {
	m.seq++
	j := &job{arrivedAt: now, spec: spec, packedText: wire.PackText(spec.Text), seq: m.seq, steps: make([]step, len(spec.Steps))}
	j.targetEnd = now + targetDuration(spec.Queue, criticalPath)
	maxWait := m.maxWait(spec.Queue, criticalPath)
	j.sendDeadline, j.holdUntil = now+maxWait, now+maxWait/2
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

// maxRun returns the highest run number of the job's tasks.
func (j *job) maxRun() int64 {
	highest := int64(0)
	for i := range j.steps {
		for t := range j.steps[i].tasks {
			highest = max(highest, j.steps[i].tasks[t].runNumber)
		}
	}
	return highest
}

// addEvent records an event, unless the job has maxEvents.
func (j *job) addEvent(e Event) {
	if len(j.events) < maxEvents {
		j.events = append(j.events, e)
	}
}

// releaseStep marks the tasks of a step as waiting if all steps it depends on are complete.
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

// releaseDependents releases the steps that depend on the finished step.
func (j *job) releaseDependents(finished int) {
	for i := range j.steps {
		s := &j.steps[i]
		if slices.Contains(s.spec.After, finished) {
			j.releaseStep(s)
		}
	}
}

// requeueTask marks a task as waiting again.
func (j *job) requeueTask(s *step, index int) {
	s.waiting = append(s.waiting, index)
	j.waiting++
}

// precedes reports whether j goes before other in the queue: by priority, then jobs within their callers'
// shares, then by arrival.
func (j *job) precedes(other *job) bool {
	if j.spec.Queue.Priority != other.spec.Queue.Priority {
		return j.spec.Queue.Priority < other.spec.Queue.Priority
	}
	if j.isOverShare != other.isOverShare {
		return other.isOverShare
	}
	return j.seq < other.seq
}

// compareJobs is the comparison function of the queue's order.
func compareJobs(a, b *job) int {
	switch {
	case a == b:
		return 0
	case a.precedes(b):
		return -1
	}
	return 1
}

// newRefusal returns the error of a job of which no task was started.
func newRefusal(kind errkind.Kind, retryAfter time.Duration, format string, args ...any) *errkind.Error {
	return errkind.New(kind, format, args...).WithRan(errkind.RanNo).WithAfter(retryAfter)
}
