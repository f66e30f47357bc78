package sched

// Resources is an amount of resources: what a task requires, or what a worker has in
// total or has free.
type Resources struct {
	CPU      int64 `cbor:"1,keyasint,omitempty"` // thousandths of a core
	MemoryMB int64 `cbor:"2,keyasint,omitempty"` // megabytes
	GPUs     int64 `cbor:"3,keyasint,omitempty"` // whole accelerators
}

// CanFit reports whether r is enough for a task.
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

// WorkerView is one entry's view of a worker on which resources are allocated by
// amount instead of by slots.
type WorkerView struct {
	Service     string
	Domain      string
	Rack        string
	Labels      []string
	Capacity    Resources
	Free        Resources // capacity minus the tasks that are running or were sent
	State       State     // only Usable sites get tasks
	MaxOwnTasks int       // most tasks of this entry during probation; 0 for no limit
	OwnTasks    int       // tasks of this entry on the worker
}

// TaskRequest describes the requirements of a task to be placed.
type TaskRequest struct {
	Service    string
	Need       Resources
	Label      string // label that the site must have; empty for none
	Rack       string // rack that holds the task's data; empty for none
	Domain     string // failure domain of the entry
	IsExcluded func(site int) bool
}

// CanRun reports whether the site could run the task if it were idle.
func (s *WorkerView) CanRun(a *TaskRequest) bool {
	if s.State == Absent || s.Service != a.Service || !s.Capacity.CanFit(a.Need) {
		return false
	}
	return a.Label == "" || s.hasLabel(a.Label)
}

func (s *WorkerView) hasLabel(label string) bool {
	for _, l := range s.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// CanAccept reports whether the site may be given the task now.
func (s *WorkerView) CanAccept(a *TaskRequest) bool {
	if s.State != Usable || !s.Free.CanFit(a.Need) || !s.CanRun(a) {
		return false
	}
	return s.MaxOwnTasks == 0 || s.OwnTasks < s.MaxOwnTasks
}

// CountPlacements counts how many such tasks could be placed now, at most perSite at
// each site and limit in total.
func CountPlacements(sites []WorkerView, a *TaskRequest, perSite, limit int) int {
	count := 0
	for i := range sites {
		s := &sites[i]
		if !s.CanAccept(a) {
			continue
		}
		fitting := s.Free.CountFitting(a.Need, perSite)
		if s.MaxOwnTasks > 0 {
			fitting = min(fitting, s.MaxOwnTasks-s.OwnTasks)
		}
		if count += fitting; count >= limit {
			return limit
		}
	}
	return count
}

// BestWorker returns the index of the site for a task, or NoWorker. It prefers
// the rack of the task's data, then the entry's own failure domain, then the
// most free CPU. Preferring the own failure domain reduces traffic between
// domains and makes entries of different domains rarely choose the same worker;
// preferring the most free CPU keeps a job's tasks on few workers.
func BestWorker(sites []WorkerView, a *TaskRequest) int {
	best, bestRank := NoWorker, 0
	for i := range sites {
		s := &sites[i]
		if !s.CanAccept(a) || a.IsExcluded != nil && a.IsExcluded(i) {
			continue
		}
		rank := s.rank(a)
		if best == NoWorker || rank > bestRank || rank == bestRank && s.Free.CPU > sites[best].Free.CPU {
			best, bestRank = i, rank
		}
	}
	return best
}

func (s *WorkerView) rank(a *TaskRequest) int {
	rank := 0
	if a.Rack != "" && s.Rack == a.Rack {
		rank += 2
	}
	if s.Domain == a.Domain {
		rank++
	}
	return rank
}
