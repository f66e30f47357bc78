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
func (d *Dispatcher) recordWorkerSize(w *sched.Worker) {
	size := sched.Worker{Accelerators: w.Accelerators, MemoryMB: w.MemoryMB}
	if len(d.workerSizes) < maxWorkerSizes && !slices.Contains(d.workerSizes, size) {
		d.workerSizes = append(d.workerSizes, size)
	}
}

// fittedBefore reports whether any worker that has ever been connected fits the
// need. VMs are replaced throughout the day, so a similar one will probably
// connect again.
func (d *Dispatcher) fittedBefore(need Need) bool {
	return slices.ContainsFunc(d.workerSizes, func(w sched.Worker) bool { return w.Fits(need) })
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
func (d *Dispatcher) waitingTasks() int { return d.queue.Len() + d.parkedCount }

// park adds a task to the parked group for its need.
func (d *Dispatcher) park(t *task) {
	need := t.job.spec.Need
	group := d.findParked(need)
	if group == nil {
		group = &parkedGroup{need: need}
		d.parked = append(d.parked, group)
	}
	group.tasks = append(group.tasks, t)
	d.parkedCount++
}

// findParked returns the parked group for a need, or nil.
func (d *Dispatcher) findParked(need Need) *parkedGroup {
	for _, group := range d.parked {
		if group.need == need {
			return group
		}
	}
	return nil
}

// takeParked removes the first runnable task from a group, and the group itself
// once it is empty: an existing group means that tasks are waiting.
func (d *Dispatcher) takeParked(now time.Time, group *parkedGroup) (*task, bool) {
	var found *task
	for len(group.tasks) > 0 && found == nil {
		t := group.tasks[0]
		group.tasks[0] = nil // otherwise the array keeps the bodies of a finished job in memory
		group.tasks = group.tasks[1:]
		d.parkedCount--
		if d.checkRunnable(now, t) {
			found = t
		}
	}
	if len(group.tasks) == 0 {
		d.parked = slices.DeleteFunc(d.parked, func(other *parkedGroup) bool { return other == group })
	}
	return found, found != nil
}

// dispatchParked sends parked tasks before queued ones: parked tasks fit only a
// few workers, and queued tasks can use the others.
func (d *Dispatcher) dispatchParked(now time.Time) {
	for range min(maxGroupsPerEvent, len(d.parked)) {
		if len(d.parked) == 0 || !d.canPlace() {
			return
		}
		group := d.parked[0]
		copy(d.parked, d.parked[1:])
		d.parked[len(d.parked)-1] = group
		d.dispatchGroup(now, group)
	}
}

func (d *Dispatcher) dispatchGroup(now time.Time, group *parkedGroup) {
	for d.canPlace() {
		t, ok := d.takeParked(now, group)
		if !ok {
			return
		}
		workerIndex := d.chooseWorker(t)
		if workerIndex == sched.NoWorker {
			// The task moves to the end of its group: if the only free worker
			// has refused it, it must not block the others.
			d.park(t)
			return
		}
		d.sendTask(now, t, workerIndex, 0)
	}
}

// takeParkedFor removes a parked task for which a given worker has room.
func (d *Dispatcher) takeParkedFor(now time.Time, workerIndex int32) (*task, bool) {
	for i := len(d.parked) - 1; i >= 0; i-- { // in reverse, because takeParked may remove groups
		group := d.parked[i]
		if !d.pool.Workers[workerIndex].HasRoom(group.need) {
			continue
		}
		t, ok := d.takeParked(now, group)
		switch {
		case !ok:
		case t.wasRefusedBy(workerIndex):
			d.park(t)
		default:
			return t, true
		}
	}
	return nil, false
}

// canUseOffer reports whether a waiting task could use a slot of the worker.
func (d *Dispatcher) canUseOffer(workerIndex int) bool {
	if d.queue.Len() > 0 {
		return true
	}
	return slices.ContainsFunc(d.parked, func(group *parkedGroup) bool {
		return d.pool.Workers[workerIndex].HasRoom(group.need)
	})
}

// countCandidates counts the guards whose workers fit the task, including those
// that refused it. It may stop counting at limit.
func (d *Dispatcher) countCandidates(t *task, limit int) int {
	if t.job.spec.Need == (Need{}) {
		return len(d.workerIndexes)
	}
	return d.pool.CountFitting(t.job.spec.Need, limit)
}

// anyFittingStays reports whether a worker that fits is not draining.
func (d *Dispatcher) anyFittingStays(need Need) bool {
	for i, g := range d.guards {
		if g != nil && !g.isDraining && d.pool.Workers[i].Fits(need) {
			return true
		}
	}
	return false
}
