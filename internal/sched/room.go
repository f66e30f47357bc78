package sched

// Room is an amount of resources: what a task requires, or what a worker has in
// total or has free.
type Room struct {
	CPU      int64 `cbor:"1,keyasint,omitempty"` // thousandths of a core
	MemoryMB int64 `cbor:"2,keyasint,omitempty"` // megabytes
	GPUs     int64 `cbor:"3,keyasint,omitempty"` // whole accelerators
}

// Holds reports whether r is enough for a task.
func (r Room) Holds(task Room) bool {
	return r.CPU >= task.CPU && r.MemoryMB >= task.MemoryMB && r.GPUs >= task.GPUs
}

// CountFitting returns how many such tasks fit into r at once, up to limit.
func (r Room) CountFitting(task Room, limit int) int {
	count := int64(limit)
	for _, pair := range [...][2]int64{{r.CPU, task.CPU}, {r.MemoryMB, task.MemoryMB}, {r.GPUs, task.GPUs}} {
		available, required := pair[0], pair[1]
		if required > 0 {
			count = min(count, available/required)
		}
	}
	return int(max(0, count))
}

// Most returns the larger amount of each resource.
func (r Room) Most(other Room) Room {
	return Room{CPU: max(r.CPU, other.CPU), MemoryMB: max(r.MemoryMB, other.MemoryMB), GPUs: max(r.GPUs, other.GPUs)}
}

// Plus returns the sum.
func (r Room) Plus(other Room) Room {
	return Room{CPU: r.CPU + other.CPU, MemoryMB: r.MemoryMB + other.MemoryMB, GPUs: r.GPUs + other.GPUs}
}

// Minus returns the difference; an amount is negative where other has more.
func (r Room) Minus(other Room) Room {
	return Room{CPU: r.CPU - other.CPU, MemoryMB: r.MemoryMB - other.MemoryMB, GPUs: r.GPUs - other.GPUs}
}

// Site is one entry's view of a worker on which resources are allocated by
// amount instead of by slots.
type Site struct {
	Service  string
	Domain   string
	Rack     string
	Labels   []string
	Capacity Room
	Free     Room  // capacity minus the tasks that are running or were sent
	State    State // only Usable sites get tasks
	Limit    int   // most tasks of this entry during probation; 0 for no limit
	Own      int   // tasks of this entry on the worker
}

// Ask describes the requirements of a task to be placed.
type Ask struct {
	Service string
	Need    Room
	Label   string // label that the site must have; empty for none
	Rack    string // rack that holds the task's data; empty for none
	Domain  string // failure domain of the entry
	Avoid   func(site int) bool
}

// Suits reports whether the site could run the task if it were idle.
func (s *Site) Suits(a *Ask) bool {
	if s.State == Absent || s.Service != a.Service || !s.Capacity.Holds(a.Need) {
		return false
	}
	return a.Label == "" || s.hasLabel(a.Label)
}

func (s *Site) hasLabel(label string) bool {
	for _, l := range s.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Open reports whether the site may be given the task now.
func (s *Site) Open(a *Ask) bool {
	if s.State != Usable || !s.Free.Holds(a.Need) || !s.Suits(a) {
		return false
	}
	return s.Limit == 0 || s.Own < s.Limit
}

// Places counts how many such tasks could be placed now, at most perSite at
// each site and limit in total.
func Places(sites []Site, a *Ask, perSite, limit int) int {
	count := 0
	for i := range sites {
		s := &sites[i]
		if !s.Open(a) {
			continue
		}
		fitting := s.Free.CountFitting(a.Need, perSite)
		if s.Limit > 0 {
			fitting = min(fitting, s.Limit-s.Own)
		}
		if count += fitting; count >= limit {
			return limit
		}
	}
	return count
}

// BestSite returns the index of the site for a task, or NoWorker. It prefers
// the rack of the task's data, then the entry's own failure domain, then the
// most free CPU. Preferring the own failure domain reduces traffic between
// domains and makes entries of different domains rarely choose the same worker;
// preferring the most free CPU keeps a job's tasks on few workers.
func BestSite(sites []Site, a *Ask) int {
	best, bestRank := NoWorker, 0
	for i := range sites {
		s := &sites[i]
		if !s.Open(a) || a.Avoid != nil && a.Avoid(i) {
			continue
		}
		rank := s.rank(a)
		if best == NoWorker || rank > bestRank || rank == bestRank && s.Free.CPU > sites[best].Free.CPU {
			best, bestRank = i, rank
		}
	}
	return best
}

func (s *Site) rank(a *Ask) int {
	rank := 0
	if a.Rack != "" && s.Rack == a.Rack {
		rank += 2
	}
	if s.Domain == a.Domain {
		rank++
	}
	return rank
}
