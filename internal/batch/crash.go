package batch

import (
	"wigeontray/internal/errkind"
	"wigeontray/internal/runs"
	"wigeontray/internal/wire"
)

// mostCrashes is under how many workers' crashes a task may run before its job has failed. All
// that was at a worker is suspected of its crash; suspects run apart from each other, so that
// the second crash tells the cause.
const mostCrashes = 2

// crashCounts counts the crashes of workers under tasks, for the newest tasks. The counts
// outlast the jobs: a caller may send a job again, here or to another entry.
type crashCounts struct {
	counts map[wire.TaskName]int
	ring   []wire.TaskName
	next   int
}

func newCrashCounts(size int) *crashCounts {
	return &crashCounts{counts: make(map[wire.TaskName]int), ring: make([]wire.TaskName, size)}
}

// add counts one crash and gives how many there were.
func (c *crashCounts) add(t wire.TaskName) int {
	if c.counts[t] == 0 {
		delete(c.counts, c.ring[c.next])
		c.ring[c.next] = t
		c.next = (c.next + 1) % len(c.ring)
	}
	c.counts[t]++
	return c.counts[t]
}

func (c *crashCounts) of(t wire.TaskName) int { return c.counts[t] }

func nameOf(k runs.Key) wire.TaskName { return wire.TaskName{Job: k.Job, Step: k.Step, Index: k.Index} }

// NoteCrash takes the tasks of other entries that were at a worker when it crashed.
func (m *Machine) NoteCrash(c *wire.WorkerCrash) {
	for _, t := range c.Tasks {
		m.crashes.add(t)
	}
}

// givenUp tells why a job that comes again has failed, or nil.
func (m *Machine) givenUp(spec *Job) *errkind.Error {
	if len(m.crashes.counts) == 0 {
		return nil
	}
	for step := range spec.Steps {
		for index := range spec.Steps[step].Count {
			if n := m.crashes.of(wire.TaskName{Job: spec.ID, Step: step, Index: index}); n >= mostCrashes {
				return errCrashes(step, index, n)
			}
		}
	}
	return nil
}

func errCrashes(step, index, n int) *errkind.Error {
	return errkind.New(errkind.UpstreamFailed, "%d workers crashed under task %d of step %d", n, index, step)
}
