package dispatch

import (
	"slices"
	"time"

	"wigeontray/internal/sched"
	"wigeontray/internal/wire"
)

// Need is the resource requirement of each task of a job.
type Need = sched.Need

// Limits on the resources that a guard may announce.
const (
	maxAccelerators = 1024
	maxMemoryMB     = 1 << 30
)

// setResources copies the announced resources of a worker. Values are clamped
// because an integer overflow would make a large worker appear to have none.
func setResources(w *sched.Worker, h *wire.Hello) {
	w.Accelerators = int16(min(max(0, h.Accelerator), maxAccelerators))
	w.MemoryMB = int32(min(max(0, h.MemoryMB), maxMemoryMB))
}

// maxWorkerSizes limits the number of stored worker sizes; a fleet has only a
// few.
const maxWorkerSizes = 64

// recordWorkerSize stores the size of a worker for as long as the entry runs.
func (c *Dispatcher) recordWorkerSize(w *sched.Worker) {
	size := sched.Worker{Accelerators: w.Accelerators, MemoryMB: w.MemoryMB}
	if len(c.workerSizes) < maxWorkerSizes && !slices.Contains(c.workerSizes, size) {
		c.workerSizes = append(c.workerSizes, size)
	}
}

// fitBefore reports whether any worker that has ever been connected fits the
// need. VMs are replaced throughout the day, so a similar one will probably
// connect again.
func (c *Dispatcher) fitBefore(need Need) bool {
	return slices.ContainsFunc(c.workerSizes, func(w sched.Worker) bool { return w.Fits(need) })
}

// parkedGroup holds waiting tasks with the same need, for which no worker had
// room.
//
// If they stayed in the queue, they would block tasks that any worker can run,
// and each event would dequeue and requeue all of them.
type parkedGroup struct {
	need  Need
	tasks []*task
}

// maxGroupsPerEvent limits how many parked groups one event processes; the
// others follow in later events. Callers choose the needs and could create many
// groups.
const maxGroupsPerEvent = 4

// waitingTasks returns the number of queued and parked tasks.
func (c *Dispatcher) waitingTasks() int { return c.queue.Len() + c.parkedCount }

// park adds a task to the parked group for its need.
func (c *Dispatcher) park(t *task) {
	need := t.job.spec.Need
	group := c.findParked(need)
	if group == nil {
		group = &parkedGroup{need: need}
		c.parked = append(c.parked, group)
	}
	group.tasks = append(group.tasks, t)
	c.parkedCount++
}

// findParked returns the parked group for a need, or nil.
func (c *Dispatcher) findParked(need Need) *parkedGroup {
	for _, group := range c.parked {
		if group.need == need {
			return group
		}
	}
	return nil
}

// takeParked removes the first runnable task from a group, and the group itself
// once it is empty: an existing group means that tasks are waiting.
func (c *Dispatcher) takeParked(now time.Time, group *parkedGroup) (*task, bool) {
	var found *task
	for len(group.tasks) > 0 && found == nil {
		t := group.tasks[0]
		group.tasks[0] = nil // otherwise the array keeps the bodies of a finished job in memory
		group.tasks = group.tasks[1:]
		c.parkedCount--
		if c.checkRunnable(now, t) {
			found = t
		}
	}
	if len(group.tasks) == 0 {
		c.parked = slices.DeleteFunc(c.parked, func(other *parkedGroup) bool { return other == group })
	}
	return found, found != nil
}

// dispatchParked sends parked tasks before queued ones: parked tasks fit only a
// few workers, and queued tasks can use the others.
func (c *Dispatcher) dispatchParked(now time.Time) {
	for range min(maxGroupsPerEvent, len(c.parked)) {
		if len(c.parked) == 0 || !c.canPlace() {
			return
		}
		group := c.parked[0]
		copy(c.parked, c.parked[1:])
		c.parked[len(c.parked)-1] = group
		c.dispatchGroup(now, group)
	}
}

func (c *Dispatcher) dispatchGroup(now time.Time, group *parkedGroup) {
	for c.canPlace() {
		t, ok := c.takeParked(now, group)
		if !ok {
			return
		}
		workerIndex := c.chooseWorker(t)
		if workerIndex == sched.NoWorker {
			// The task moves to the end of its group: if the only free worker
			// has refused it, it must not block the others.
			c.park(t)
			return
		}
		c.sendTask(now, t, workerIndex, 0)
	}
}

// takeParkedFor removes a parked task for which a given worker has room.
func (c *Dispatcher) takeParkedFor(now time.Time, workerIndex int32) (*task, bool) {
	for i := len(c.parked) - 1; i >= 0; i-- { // in reverse, because takeParked may remove groups
		group := c.parked[i]
		if !c.pool.Workers[workerIndex].HasRoom(group.need) {
			continue
		}
		t, ok := c.takeParked(now, group)
		switch {
		case !ok:
		case t.wasRefusedBy(workerIndex):
			c.park(t)
		default:
			return t, true
		}
	}
	return nil, false
}

// canUseOffer reports whether a waiting task could use a slot of the worker.
func (c *Dispatcher) canUseOffer(workerIndex int) bool {
	if c.queue.Len() > 0 {
		return true
	}
	return slices.ContainsFunc(c.parked, func(group *parkedGroup) bool {
		return c.pool.Workers[workerIndex].HasRoom(group.need)
	})
}

// countCandidates counts the guards whose workers fit the task, including those
// that refused it. It may stop counting at limit.
func (c *Dispatcher) countCandidates(t *task, limit int) int {
	if t.job.spec.Need == (Need{}) {
		return len(c.workerIndexes)
	}
	return c.pool.CountFitting(t.job.spec.Need, limit)
}

// anyFittingStays reports whether a worker that fits is not draining.
func (c *Dispatcher) anyFittingStays(need Need) bool {
	for i, g := range c.guards {
		if g != nil && !g.isDraining && c.pool.Workers[i].Fits(need) {
			return true
		}
	}
	return false
}
