package sched

import "cmp"

// Resources is an amount of resources: what a task requires, or what a worker
// has in total or has free.
type Resources struct {
	CPU      int64 `cbor:"1,keyasint,omitempty"` // thousandths of a core
	MemoryMB int64 `cbor:"2,keyasint,omitempty"` // megabytes
	GPUs     int64 `cbor:"3,keyasint,omitempty"` // whole accelerators
}

// CanFit reports whether r is enough for one such task.
func (r Resources) CanFit(task Resources) bool {
	return r.CPU >= task.CPU && r.MemoryMB >= task.MemoryMB && r.GPUs >= task.GPUs
}

// CountFitting returns how many such tasks fit into r at once, up to limit.
func (r Resources) CountFitting(task Resources, limit int) int {
	count := int64(limit)
	for _, pair := range [...][2]int64{{r.CPU, task.CPU}, {r.MemoryMB, task.MemoryMB}, {r.GPUs, task.GPUs}} {
		available, required := pair[0], pair[1]
		if required > 0 {
			count = min(count, available/required)
		}
	}
	return int(max(0, count))
}

// Max returns the larger amount of each resource.
func (r Resources) Max(other Resources) Resources {
	return Resources{CPU: max(r.CPU, other.CPU), MemoryMB: max(r.MemoryMB, other.MemoryMB), GPUs: max(r.GPUs, other.GPUs)}
}

// Plus returns the sum.
func (r Resources) Plus(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, MemoryMB: r.MemoryMB + other.MemoryMB, GPUs: r.GPUs + other.GPUs}
}

// Minus returns the difference; an amount is negative where other has more.
func (r Resources) Minus(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, MemoryMB: r.MemoryMB - other.MemoryMB, GPUs: r.GPUs - other.GPUs}
}

// WorkerView is one entry's view of a worker on which resources are allocated
// by amount instead of by slots.
type WorkerView struct {
	Service     string
	Domain      string
	Rack        string
	Labels      []string
	Capacity    Resources
	Free        Resources // capacity minus the tasks that are running or were sent
	State       State     // only Usable workers get tasks
	Slowness    float64   // run time relative to the expected one; 0 for 1
	MaxOwnTasks int       // most tasks of this entry during probation; 0 for no limit
	OwnTasks    int       // tasks of this entry on the worker
	// MaxPriority is the priority of the least urgent tasks that may use the free resources, if
	// HasMaxPriority is set. 0 is the most urgent priority.
	HasMaxPriority bool
	MaxPriority    int
}

// TaskRequest describes the requirements of a task to be placed.
type TaskRequest struct {
	Service string
	Need    Resources
	Label   string // label that the worker must have; empty for none
	Rack    string // rack that holds the task's data; empty for none
	Domain  string // failure domain of the entry
	// Priority is the task's priority; 0 is the most urgent.
	Priority int
	// MaxSlowness is the slowness of a worker up to which the task is expected to end in time.
	MaxSlowness float64
	// IsExcluded reports whether the task must not be placed on the worker with
	// the given index; nil if no worker is excluded.
	IsExcluded func(index int) bool
}

// RunTimeFactor returns the run time on the worker relative to the expected one.
func (w *WorkerView) RunTimeFactor() float64 { return cmp.Or(w.Slowness, 1) }

// CanRun reports whether the worker could run the task if it were idle.
func (w *WorkerView) CanRun(req *TaskRequest) bool {
	if w.State == Absent || w.Service != req.Service || !w.Capacity.CanFit(req.Need) {
		return false
	}
	return req.Label == "" || w.hasLabel(req.Label)
}

func (w *WorkerView) hasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// CanAccept reports whether the worker may be given the task now.
func (w *WorkerView) CanAccept(req *TaskRequest) bool {
	if w.State != Usable || !w.Free.CanFit(req.Need) || !w.CanRun(req) {
		return false
	}
	if w.HasMaxPriority && req.Priority > w.MaxPriority {
		return false
	}
	return w.MaxOwnTasks == 0 || w.OwnTasks < w.MaxOwnTasks
}

// CountPlacements counts how many such tasks could be placed now, at most
// perWorker on each worker and limit in total.
func CountPlacements(workers []WorkerView, req *TaskRequest, perWorker, limit int) int {
	count := 0
	for i := range workers {
		w := &workers[i]
		if !w.CanAccept(req) {
			continue
		}
		fitting := w.Free.CountFitting(req.Need, perWorker)
		if w.MaxOwnTasks > 0 {
			fitting = min(fitting, w.MaxOwnTasks-w.OwnTasks)
		}
		if count += fitting; count >= limit {
			return limit
		}
	}
	return count
}

// BestWorker returns the index of the worker for a task, or NoWorker. It prefers
// the rack of the task's data, then workers on which the task ends in time or
// else soonest, then the entry's own failure domain, then the most free CPU. Preferring the own failure domain reduces traffic between
// domains and makes entries of different domains rarely choose the same worker;
// preferring the most free CPU keeps a job's tasks on few workers.
func BestWorker(workers []WorkerView, req *TaskRequest) int {
	best, bestRank := NoWorker, workerRank{}
	for i := range workers {
		w := &workers[i]
		if !w.CanAccept(req) || req.IsExcluded != nil && req.IsExcluded(i) {
			continue
		}
		rank := w.rank(req)
		if best == NoWorker || rank.isBefore(bestRank) || rank == bestRank && w.Free.CPU > workers[best].Free.CPU {
			best, bestRank = i, rank
		}
	}
	return best
}

// workerRank is the order of preference among the workers that can accept a task.
type workerRank struct {
	isNearData  bool
	slowness    float64 // 0 if the task is expected to end in time
	isOwnDomain bool
}

func (w *WorkerView) rank(req *TaskRequest) workerRank {
	rank := workerRank{isNearData: req.Rack != "" && w.Rack == req.Rack, isOwnDomain: w.Domain == req.Domain}
	if w.IsTooSlow(req) {
		rank.slowness = w.RunTimeFactor()
	}
	return rank
}

// IsTooSlow reports whether the task is not expected to end in time on the worker.
func (w *WorkerView) IsTooSlow(req *TaskRequest) bool {
	return w.RunTimeFactor() > req.MaxSlowness
}

// HasTimelyWorker reports whether some worker, with or without free room, may be given the task and is
// expected to end it in time.
func HasTimelyWorker(workers []WorkerView, req *TaskRequest) bool {
	for i := range workers {
		w := &workers[i]
		if w.State == Usable && w.CanRun(req) && !w.IsTooSlow(req) && (req.IsExcluded == nil || !req.IsExcluded(i)) {
			return true
		}
	}
	return false
}

func (r workerRank) isBefore(other workerRank) bool {
	switch {
	case r.isNearData != other.isNearData:
		return r.isNearData
	case r.slowness != other.slowness:
		return r.slowness < other.slowness
	}
	return r.isOwnDomain && !other.isOwnDomain
}
