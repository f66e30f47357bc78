package batch

import (
	"wigeontray/internal/errkind"
	"wigeontray/internal/policy"
	"wigeontray/internal/runs"
	"wigeontray/internal/wire"
)

// Limits on worker crashes during a task's runs. Every task that was at a worker when it crashed
// is a suspect. Suspects are placed on different workers, so that a second crash identifies the
// task that caused it.
const (
	// maxCrashes is the number of crashes of workers that were certainly running a task from which
	// on the task's job fails.
	maxCrashes = 2
	// maxSuspectedCrashes is the number of worker crashes, certain or possible, from which a task
	// is not started again.
	maxSuspectedCrashes = 3
)

// crashCount counts the worker crashes during the runs of one task.
type crashCount struct {
	certain  int // the task was at the worker
	possible int // the task may have been at the worker
}

func (c crashCount) total() int { return c.certain + c.possible }

// crashCounts holds the crash counts of the most recent tasks. The counts are kept after the job
// has ended, because its caller may resubmit it to this or to another entry.
type crashCounts struct {
	counts map[wire.TaskName]crashCount
	ring   []wire.TaskName // tasks in order of insertion; the oldest is evicted first
	next   int             // next position in ring
}

func newCrashCounts(size int) *crashCounts {
	return &crashCounts{counts: make(map[wire.TaskName]crashCount), ring: make([]wire.TaskName, size)}
}

// add adds delta to a task's count and evicts the oldest task if this one is new.
func (c *crashCounts) add(t wire.TaskName, delta crashCount) {
	count, exists := c.counts[t]
	if !exists {
		delete(c.counts, c.ring[c.next])
		c.ring[c.next] = t
		c.next = (c.next + 1) % len(c.ring)
	}
	c.counts[t] = crashCount{certain: count.certain + delta.certain, possible: count.possible + delta.possible}
}

func (c *crashCounts) get(t wire.TaskName) crashCount { return c.counts[t] }

func taskNameOf(k runs.Key) wire.TaskName {
	return wire.TaskName{Job: k.Job, Step: k.Step, Index: k.Index}
}

// HandleWorkerCrash counts a worker crash for the tasks of other entries that were, or may have
// been, at the worker: their jobs may be submitted to this entry next.
func (m *Machine) HandleWorkerCrash(c *wire.WorkerCrash) {
	for _, t := range c.Tasks {
		m.crashes.add(t, crashCount{certain: 1})
	}
	for _, t := range c.Suspects {
		m.crashes.add(t, crashCount{possible: 1})
	}
}

// recordCrash counts the worker crash that a run's end reports, if any.
func (m *Machine) recordCrash(k runs.Key, e *wire.RunEnd) {
	switch {
	case m.options.Disabled.Has(policy.CrashLimit):
	case e.Crashed:
		m.crashes.add(taskNameOf(k), crashCount{certain: 1})
	case e.Suspected:
		m.crashes.add(taskNameOf(k), crashCount{possible: 1})
	}
}

// checkCrashLimits returns an error if a task of a submitted job must not be started because of
// earlier worker crashes.
func (m *Machine) checkCrashLimits(spec *Job) *errkind.Error {
	if len(m.crashes.counts) == 0 {
		return nil
	}
	for step := range spec.Steps {
		for index := range spec.Steps[step].Count {
			t := wire.TaskName{Job: spec.ID, Step: step, Index: index}
			if err := m.crashes.get(t).checkLimit(t); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkLimit returns an error if the task must not be started again.
func (c crashCount) checkLimit(t wire.TaskName) *errkind.Error {
	switch {
	case c.certain >= maxCrashes:
		return errkind.New(errkind.UpstreamFailed, "%d workers crashed under task %d of step %d", c.certain, t.Index, t.Step)
	case c.total() >= maxSuspectedCrashes:
		return errkind.New(errkind.WorkerLost, "%d workers crashed where task %d of step %d may have run", c.total(), t.Index, t.Step)
	}
	return nil
}
