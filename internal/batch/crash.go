package batch

import (
	"wigeontray/internal/errkind"
	"wigeontray/internal/policy"
	"wigeontray/internal/runs"
	"wigeontray/internal/wire"
)

// Bounds of the crashes of workers under a task. All that was at a worker is suspected of its
// crash; suspects run apart from each other, so that the second crash tells the cause.
const (
	// maxCrashes is under how many crashes a task may run before its job has failed.
	maxCrashes = 2
	// maxSuspectedCrashes is how many workers may crash where the task ran or may have run before it
	// is not started any more.
	maxSuspectedCrashes = 3
)

// crashCount counts the crashes of workers under one task.
type crashCount struct {
	certain  int
	possible int // it may have been there
}

func (c crashCount) total() int { return c.certain + c.possible }

// crashCounts counts the crashes of workers under tasks, for the newest tasks. The counts
// outlast the jobs: a caller may send a job again, here or to another entry.
type crashCounts struct {
	counts map[wire.TaskName]crashCount
	ring   []wire.TaskName
	next   int
}

func newCrashCounts(size int) *crashCounts {
	return &crashCounts{counts: make(map[wire.TaskName]crashCount), ring: make([]wire.TaskName, size)}
}

// add adds to the count of a task.
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

// NoteCrash takes the tasks of other entries that were at a worker when it crashed.
func (m *Machine) NoteCrash(c *wire.WorkerCrash) {
	for _, t := range c.Tasks {
		m.crashes.add(t, crashCount{certain: 1})
	}
	for _, t := range c.Suspects {
		m.crashes.add(t, crashCount{possible: 1})
	}
}

// recordCrash counts what an end says of a crash of its worker.
func (m *Machine) recordCrash(k runs.Key, e *wire.RunEnd) {
	switch {
	case m.options.Off.Has(policy.CrashLimit):
	case e.Crashed:
		m.crashes.add(taskNameOf(k), crashCount{certain: 1})
	case e.Suspected:
		m.crashes.add(taskNameOf(k), crashCount{possible: 1})
	}
}

// checkCrashLimits tells why no task of a job that comes again is started, or nil.
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

// checkLimit tells why a task is not started any more, or nil.
func (c crashCount) checkLimit(t wire.TaskName) *errkind.Error {
	switch {
	case c.certain >= maxCrashes:
		return errkind.New(errkind.UpstreamFailed, "%d workers crashed under task %d of step %d", c.certain, t.Index, t.Step)
	case c.total() >= maxSuspectedCrashes:
		return errkind.New(errkind.WorkerLost, "%d workers crashed where task %d of step %d may have run", c.total(), t.Index, t.Step)
	}
	return nil
}
